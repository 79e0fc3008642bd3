/// @file
/// One daemon: membership, configuration, and the cells of its failure domain.
#pragma once

#include "core/snapshot.h"
#include "membership/evidence.h"
#include "ports/caller_port.h"
#include "runtime/entry.h"
#include "runtime/remote_orders.h"

#include <atomic>
#include <condition_variable>
#include <thread>

namespace hawthornlug {

/// Settings of a daemon that are not those of an adapter.
struct DaemonSettings
{
  Member self;
  /// Daemons to begin with, besides those that the platform lists.
  std::vector<Member> seeds;
  double traceSample = 0.0;
  /// Longest time by which the platform's list of hosts may lag.
  Duration hostListLag = seconds(30);
};

/// Ties the parts together. Start() begins, Stop() leaves in order.
class Daemon
  : public Directory
  , public OperatorHandler
{
public:
  Daemon(DaemonSettings aSettings, Services& aServices);
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /// Hands all cells over, as far as that works within @p aPatience; requests go on being served.
  void Leave(Duration aPatience);
  /// Ends the daemon's own threads and timers.
  void Stop();

  RequestHandler& Requests() { return mEntry; }

  DaemonRef Self() const override;
  std::shared_ptr<const Configuration> Config() const override;
  std::shared_ptr<CellRunner> FindCell(const std::string& aCell) const override;
  bool IsLive(const DaemonRef& aRef) const override;
  std::optional<std::string> EndpointOf(const std::string& aDaemon) const override;
  bool IsCutOff(const std::string& aDomain) const override;

  bool IsReady() const override;
  std::string Status() const override;
  std::string Explain(const std::string& aService, const std::string& aKey) const override;
  std::string Metrics() const override;

private:
  using CellMap = std::map<std::string, std::shared_ptr<CellRunner>>;
  struct KnownCell
  {
    Version version = 0;
    std::shared_ptr<const CellObject> object;
  };

  void OnMessage(wire::Envelope aEnvelope);
  void OnOrder(wire::Envelope aEnvelope);
  void OnHeartbeat(const wire::Envelope& aEnvelope);
  void SendTo(const std::string& aDaemon, wire::Envelope aEnvelope);
  /// Answers a call of the run @p aTo of a daemon.
  void SendAnswer(const wire::Ref& aTo, std::uint64_t aCall, const OrderAnswer& aAnswer);
  wire::Envelope MakeEnvelope() const;

  void OnObject(const PlatformObject& aObject);
  void OnConfigObject(const PlatformObject& aObject);
  KnownCell KnownCellOf(const std::string& aCell) const;
  void OnCellObject(const PlatformObject& aObject);
  void ConfigureCells(const Configuration& aConfig);

  void TickCells(Instant aNow);
  void TickMembers(Instant aNow);
  void TickAttachments(Instant aNow);
  void ConsiderCell(Instant aNow, const CellConfig& aCell, CellRunner& aRunner);
  void PrepareLayout(const std::string& aService);
  /// Live daemons that may be attached to cells of a failure domain.
  std::vector<Member> MayAttach(const Configuration& aConfig, const std::string& aDomain) const;
  std::optional<Member> Candidate(const std::string& aCell, const std::string& aDomain) const;
  static bool IsLost(const Configuration& aConfig, const std::string& aDomain);
  /// Whether operators have declared the daemon's failure domain lost.
  bool IsOfLostDomain(const std::string& aDaemon) const;
  void SeekEvidence();
  /// What proves a run of a daemon gone; may ask its host, so it blocks.
  GoneProof ProofOf(const DaemonRef& aRef);
  void TickPlans(Instant aNow);
  void RefreshHosts();
  void WatchLoop();
  bool IsWatcher() const;
  void SetPlatformUp(bool aUp);
  std::vector<CellLoad> LoadsOf(const Configuration& aConfig, const std::string& aService) const;

  const DaemonSettings mSettings;
  Services& mServices;
  RoutingTable mRoutes;
  PeerCalls mCalls;
  Attached mAttached;
  RemoteOrders mRemoteOrders;
  Entry mEntry;

  /// Held while a configuration is put in force; taken before all other locks.
  std::mutex mConfigMutex;
  mutable std::mutex mMutex;
  Membership mMembership;
  std::map<std::string, KnownCell> mKnownCells;
  Evidence mEvidence;
  std::map<std::string, Instant> mPreferredSince;
  std::set<std::string> mPreparing;
  Instant mStartedAt;
  std::atomic<Version> mConfigVersion{ 0 };
  Snapshot<Configuration> mConfig;
  Snapshot<CellMap> mCells;
  /// The cells of this failure domain in the configuration in force.
  Snapshot<std::vector<CellConfig>> mCellConfigs;
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mPlatformUp{ true };
  std::atomic<bool> mSeekingEvidence{ false };
  std::vector<std::unique_ptr<TimerSubscription>> mTimers;
  std::condition_variable mWake;
  std::mutex mWakeMutex;
  std::thread mWatcher;
};

} // namespace hawthornlug
