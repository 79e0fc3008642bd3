/// @file
/// One daemon: membership, configuration, and the cells of its failure domain.
#pragma once

#include "core/snapshot.h"
#include "membership/stop_verifier.h"
#include "ports/caller_port.h"
#include "runtime/entry.h"
#include "runtime/remote_orders.h"

#include <atomic>
#include <condition_variable>
#include <thread>

namespace hawthornlug {

/// Settings of a daemon, apart from those of its adapters.
struct DaemonSettings
{
  Member self;
  /// Daemons known from the start, in addition to those that the platform lists.
  std::vector<Member> seeds;
  /// Share of new traces that are kept, from 0 to 1.
  double traceSample = 0.0;
  /// Longest delay until a change of the hosts shows in the platform's list of hosts.
  Duration hostListLag = seconds(30);
};

/// Creates the parts of one daemon and connects them. Start() starts its timers and threads,
/// Leave() hands its cells over to other daemons, Stop() ends the timers and threads. A cell is the
/// servers of one service in one failure domain; at most one daemon, the attached one, leads it.
class Daemon
  : public DaemonView
  , public OperatorHandler
{
public:
  Daemon(DaemonSettings aSettings, Services& aServices);
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /// Hands all cells over; returns when that is done or @p aTimeout has passed. Requests are served
  /// meanwhile.
  void Leave(Duration aTimeout);
  /// Waits up to @p aTimeout until the orders that other daemons have sent are answered.
  void AwaitRemoteOrders(Duration aTimeout) const;
  /// Ends the daemon's timers and its watch thread; does not hand over any cell.
  void Stop();

  RequestHandler& Requests() { return mEntry; }

  DaemonRef Self() const override;
  std::shared_ptr<const Configuration> Config() const override;
  std::shared_ptr<CellRunner> FindCell(const std::string& aCell) const override;
  bool IsLive(const DaemonRef& aRef) const override;
  std::optional<std::string> EndpointOf(const std::string& aDaemon) const override;
  bool IsIsolated(const std::string& aDomain) const override;

  bool IsReady() const override;
  std::string Status() const override;
  std::string Explain(const std::string& aService, const std::string& aKey) const override;
  std::string Metrics() const override;

private:
  using CellMap = std::map<std::string, std::shared_ptr<CellRunner>>;
  /// The newest copy of a cell's object that this daemon has, possibly stale.
  struct KnownCell
  {
    Version version = 0;
    std::shared_ptr<const CellObject> object;
  };

  void OnMessage(wire::Envelope aEnvelope);
  /// Runs an order, a caller's request, that another daemon has forwarded.
  void OnOrder(wire::Envelope aEnvelope);
  void OnHeartbeat(const wire::Envelope& aEnvelope);
  void SendTo(const std::string& aDaemon, wire::Envelope aEnvelope);
  /// Sends the answer to the call @p aCall of the daemon incarnation @p aTo.
  void SendAnswer(const wire::Ref& aTo, std::uint64_t aCall, const OrderAnswer& aAnswer);
  wire::Envelope MakeEnvelope() const;

  /// Processes a changed object of the cache.
  void OnObject(const PlatformObject& aObject);
  void OnConfigObject(const PlatformObject& aObject);
  /// Returns version 0 and no object if there is no copy.
  KnownCell KnownCellOf(const std::string& aCell) const;
  void OnCellObject(const PlatformObject& aObject);
  /// Creates the runners of the cells that this daemon may be attached to and configures them.
  void ConfigureCells(const Configuration& aConfig);

  void TickCells(Instant aNow);
  void TickMembership(Instant aNow);
  void TickAttachments(Instant aNow);
  /// Takes the cell over or hands it over, as its preferred daemon requires.
  void UpdateAttachment(Instant aNow, const CellConfig& aCell, CellRunner& aRunner);
  /// Stores the first layout of a service, which assigns shards to its cells, unless there is one,
  /// and takes over the cells of which this daemon is the preferred one.
  void PrepareLayout(const std::string& aService);
  /// Live daemons that may be attached to cells of a failure domain. Needs mMutex.
  std::vector<Member> AttachableDaemons(const Configuration& aConfig,
                                        const std::string& aDomain) const;
  /// The daemon that should be attached to a cell: the one of highest rendezvous weight that is
  /// neither leaving nor draining; nothing if there is none. Needs mMutex.
  std::optional<Member> PreferredDaemon(const std::string& aCell, const std::string& aDomain) const;
  /// Whether operators have declared the failure domain lost.
  static bool IsDomainLost(const Configuration& aConfig, const std::string& aDomain);
  /// Whether operators have declared the daemon's failure domain lost.
  bool IsInLostDomain(const std::string& aDaemon) const;
  /// Looks for proof that the daemons that the cells wait for have stopped. Blocks.
  void SearchStopProofs();
  /// Returns what proves that a daemon incarnation has stopped. Blocks, since it may connect to the
  /// daemon's host.
  StopProof StopProofOf(const DaemonRef& aRef);
  /// Plans moves of shards for the cells that this daemon is attached to.
  void PlanMoves(Instant aNow);
  /// Reads the platform's list of hosts. Blocks.
  void RefreshHosts();
  /// Watches the platform for changes until Stop(); runs on the watch thread.
  void WatchLoop();
  /// Whether this daemon watches the platform for its failure domain. The others read the platform
  /// less often and receive changes from daemons whose heartbeats show a newer revision.
  bool IsWatcher() const;
  void SetPlatformUp(bool aUp);
  /// Returns the shards and the servers in service of all cells of a service. Needs mMutex.
  std::vector<CellLoad> CellLoadsOf(const Configuration& aConfig,
                                    const std::string& aService) const;

  const DaemonSettings mSettings;
  Services& mServices;
  ShardRoutingTable mRoutes;
  PeerCalls mPeerCalls;
  Attached mAttached;
  RemoteOrders mRemoteOrders;
  Entry mEntry;

  /// Held while a configuration is applied; taken before all other locks.
  std::mutex mConfigMutex;
  mutable std::mutex mMutex;
  Membership mMembership;
  std::map<std::string, KnownCell> mKnownCells;
  StopVerifier mStopVerifier;
  /// Since when daemons other than this one have been the preferred ones of a cell.
  std::map<std::string, Instant> mOtherPreferredSince;
  /// Services whose first layout is being prepared.
  std::set<std::string> mLayoutsInPreparation;
  Instant mStartedAt;
  std::atomic<Version> mConfigVersion{ 0 };
  Snapshot<Configuration> mConfig;
  Snapshot<CellMap> mCells;
  /// The configured cells that this daemon may be attached to: those of its failure domain and of
  /// lost ones, and those that it has a runner for.
  Snapshot<std::vector<CellConfig>> mCellConfigs;
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mPlatformUp{ true };
  std::atomic<bool> mSearchingStopProofs{ false };
  std::vector<std::unique_ptr<TimerSubscription>> mTimers;
  /// Ends the pauses of the watch thread when the daemon stops.
  std::condition_variable mStopSignal;
  std::mutex mStopMutex;
  std::thread mWatchThread;
};

} // namespace hawthornlug
