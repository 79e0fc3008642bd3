/// @file
/// A daemon that routes callers' requests to backend servers; connects the components for that.
#pragma once

#include "core/load_features.h"
#include "limits/shared_retry_budget.h"
#include "membership/pending_removals.h"
#include "membership/refresh_schedule.h"
#include "ports/object_store.h"
#include "runtime/contended_queue.h"
#include "runtime/currency_exchange.h"
#include "runtime/forwarder.h"
#include "runtime/load_reporter.h"
#include "runtime/mesh.h"
#include "runtime/object_exchange.h"
#include "runtime/quota_exchange.h"
#include "runtime/range_runner.h"
#include "runtime/server_notice_relay.h"
#include "runtime/speed_exchange.h"
#include "runtime/store_follower.h"
#include "runtime/warm_up_permits.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace hawthornlug {

/// Settings of a routing daemon.
struct RouterSettings
{
  DaemonRef self;
  std::string domain;
  /// Address at which other daemons reach this one, such as "tcp://1.2.3.4:7000".
  std::string meshEndpoint;
  /// Addresses of daemons to contact first.
  std::vector<std::string> seeds;
  RetryAllowance retries;
  double warmUpOvershoot = 1.0;
  double warmUpSlack = 0.0;
  GrantTiming grants;
  /// Power class of the host.
  unsigned power = 0;
  /// What the host's link carries; 0 if that is not known.
  double linkBytesPerSecond = 0.0;
  /// Share (0 to 1) of the requests without a trace header whose spans are recorded.
  double traceSample = 0.0;
  LoadFeatures features;
  QuotaTolerance quotaTolerance;
};

/// The components that a routing daemon uses. Everything runs on one event loop.
struct RouterServices
{
  ObjectStore& store;
  ObjectReader& reader;
  BackendPort& backends;
  CallerHeaders& headers;
  PeerPort& peers;
  TimerService& timers;
  DecisionLog& log;
  Metrics& metrics;
  SpanPort& spans;
};

/// Follows the store and the other daemons, and keeps the forwarder informed.
class RouterDaemon
  : public MeshListener
  , public RangeFinder
{
public:
  RouterDaemon(const RouterSettings& aSettings, RouterServices aServices);

  /// Starts to follow the store and to send heartbeats; the event loop must run afterwards.
  void Start();
  /// Processes a message of another daemon; to be called on the event loop.
  void Take(const wire::Envelope& aMessage);
  /// The quotas of organisations; they have no limits until they are set.
  QuotaExchange& Quotas() { return mQuotaExchange; }
  /// The handler of callers' requests.
  http::Handler& Requests() { return mForwarder; }

  /// Applies changed settings: seeds, retries, warm-up. Changes of other settings need a restart.
  void ApplySettings(const RouterSettings& aSettings);
  /// Ends all periodic work. Answers to calls that are under way are still processed.
  void Stop() { mTimer.reset(); }
  /// Version of the configuration in force; 0 if there is none.
  std::uint64_t ConfigurationVersion() const { return mRoutes.Version(); }
  /// Whether the server may be sent requests, as far as its registry entry tells.
  bool KnowsServer(const std::string& aId) const { return mSelector.Find(aId) != nullptr; }
  /// The state that the server's registry entry tells; nothing if it has none.
  std::optional<ServerState> StateOfServer(const std::string& aId) const;
  /// Number of other daemons that are live.
  std::size_t LivePeerCount() const { return mMesh.LivePeers().size(); }
  /// Whether callers may be sent here: the daemon has a configuration and knows which servers there
  /// are, and is not leaving.
  bool IsReady() const;
  /// Begins to stop: other daemons take over this daemon's tasks. New requests are accepted for
  /// @p aAcceptTime more, as far as they can be answered before the process ends after
  /// @p aEndsAfter.
  void Leave(Duration aAcceptTime, Duration aEndsAfter);
  /// Whether no range depends on this daemon any more; requests in progress are not considered.
  bool LeadsNoRange() const;
  /// The configured limits for callers; none before a configuration has been received.
  std::optional<CallerBounds> ConfiguredCallerBounds() const;

  MeshSelf DescribeSelf() override;
  void OnHeartbeat(const MeshPeer& aPeer, const wire::RouterBeat& aHeartbeat) override;
  void OnMessage(const MeshPeer& aPeer, const wire::Envelope& aMessage) override;
  void OnPeerLost(const std::string& aDaemon) override;
  RangeRunner* FindRanges(const std::string& aService) override;

private:
  void Tick(Instant aNow);
  /// Notices that the store was restored, by its answers or from other daemons.
  void UpdateStoreEra(Instant aNow);
  /// Records by how much the event loop is behind, and logs it if that is much.
  void ObserveLoopDelay(Instant aNow);
  /// Exchanges the servers' speeds with other daemons and records how many are known.
  void UpdateSpeeds(Instant aNow);
  void OnObjects(ObjectKind aKind,
                 const std::vector<StoredObject>& aObjects,
                 const NewsOrigin& aOrigin);
  void OnServer(const StoredObject& aObject, const NewsOrigin& aOrigin);
  void RemoveServer(const std::string& aId);
  void OnConfiguration(const StoredObject& aObject, const NewsOrigin& aOrigin);
  /// For how long, at most, a change of this kind that is applied now had been confirmed.
  Duration LagAtMost(ObjectKind aKind) const;
  /// Passes the organisations' limits of the configuration in force to the quota gate.
  void ApplyQuotaLimits();
  /// Time since the store last answered any daemon that watches it.
  Duration StoreAge(Instant aNow) const;
  /// Removes the servers whose registry entries were removed and are certain not to come back.
  void RemoveGoneServers(Instant aNow);
  /// Decides which roles this daemon has, from what it hears of the others.
  void UpdateRoles(Instant aNow);
  void UpdateLoadRelays(const std::vector<RoleCandidate>& aCandidates);
  /// What this daemon reads from the store by itself.
  StoreFollower::Reading StoreReadingNow(Instant aNow) const;
  /// Reads from the store what this daemon has not heard to be current for too long.
  void RefreshStale(Instant aNow);
  /// Whether other daemons have had the time to tell this one, after its start, what they know.
  bool IsPastPatience(Instant aNow) const;
  /// Writes this daemon's address to the store if it is one of the few by which others find the
  /// fleet, and reads the others' while it hears nobody, and now and then.
  void KeepDirectory(Instant aNow);
  void Register();
  void ReadDirectory();

  RouterSettings mSettings;
  RouterServices mServices;
  ObjectMirror mMirror;
  RouteTable mRoutes;
  /// Used only with the feature kRequestCost.
  ServerSpeeds mSpeeds;
  ServerSelector mSelector;
  Mesh mMesh;
  LoadReporter mLoadReporter;
  SpeedExchange mSpeedExchange;
  ServerNoticeRelay mNoticeRelay;
  WarmUpPermits mWarmUpPermits;
  CurrencyExchange mCurrency;
  StoreFollower mStoreFollower;
  ObjectExchange mObjectExchange;
  std::map<std::string, std::unique_ptr<RangeRunner>> mRanges;
  /// Grants requests out of the organisations' quotas; outlives the forwarder's requests.
  QuotaExchange mQuotaExchange;
  /// Null without LoadFeature::kContention.
  std::unique_ptr<ContendedQueue> mContendedQueue;
  Forwarder mForwarder;
  PendingRemovals mPendingRemovals;
  RefreshSchedule mRefreshes;
  Instant mStartedAt;
  /// The latest era of the store that this daemon has acted on; nothing before the first.
  std::optional<StoreEra> mStoreEra;
  bool mLeaving = false;
  /// The roles of this daemon, and when they were last decided.
  bool mWatchesStore = false;
  /// Number of daemons that are preferred as watchers of the store.
  unsigned mWatcherRank = 0;
  bool mIsRegistrar = false;
  Instant mRolesDecidedAt;
  /// The mesh's number of changes by then; none before the first decision.
  std::optional<std::uint64_t> mRolesDecidedFor;
  Instant mDirectoryReadAt;
  /// Whether the last heartbeats reported failing calls to the store.
  bool mReportedFailing = false;
  bool mRegistered = false;
  bool mRegistering = false;
  StoreRevision mRegisteredRevision;
  /// When Tick() was last called; the epoch before the first call.
  Instant mTickedAt;
  /// Messages of other daemons that were received since then.
  unsigned mMessagesSinceTick = 0;
  /// When the number of servers with a known speed was last recorded, and whether it was at least
  /// half of them.
  Instant mSpeedsObservedAt;
  bool mSpeedsKnown = false;
  std::unique_ptr<TimerSubscription> mTimer;
};

} // namespace hawthornlug
