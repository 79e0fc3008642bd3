/// @file
/// A daemon that routes callers' requests to backend servers; connects the components for that.
#pragma once

#include "limits/shared_retry_budget.h"
#include "membership/pending_removals.h"
#include "ports/object_store.h"
#include "runtime/forwarder.h"
#include "runtime/load_reporter.h"
#include "runtime/mesh.h"
#include "runtime/range_runner.h"
#include "runtime/server_notice_relay.h"
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
  /// Share (0 to 1) of the requests without a trace header whose spans are recorded.
  double traceSample = 0.0;
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
  /// The handler of callers' requests.
  http::Handler& Requests() { return mForwarder; }

  /// Applies changed settings: seeds, retries, warm-up. Changes of other settings need a restart.
  void ApplySettings(const RouterSettings& aSettings);
  /// Whether callers may be sent here.
  bool IsReady() const { return !mLeaving && !mRoutes.IsEmpty(); }
  /// Begins to stop: other daemons take over this daemon's tasks. New requests are accepted for
  /// @p aAcceptTime more.
  void Leave(Duration aAcceptTime);
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
  /// Records by how much the event loop is behind, and logs it if that is much.
  void ObserveLoopDelay(Instant aNow);
  void OnObjects(ObjectKind aKind, const std::vector<StoredObject>& aObjects);
  void OnServer(const StoredObject& aObject);
  void RemoveServer(const std::string& aId);
  void OnConfiguration(const StoredObject& aObject);
  /// Time since the store last answered any daemon that watches it.
  Duration StoreAge(Instant aNow) const;
  /// Removes the servers whose registry entries were removed and are certain not to come back.
  void RemoveGoneServers(Instant aNow);
  /// Whether this daemon is one of the few that watch the store and pass changes on to the others.
  bool MustWatchStore() const;
  /// Writes this daemon's registry entry, then reads the addresses of the other daemons.
  void Register();
  void OnStoredObjects(const wire::StoredObjects& aMessage);
  /// Sends the changes that another daemon has requested.
  void SendStoredObjects(const std::string& aDaemon, const wire::StoredObjectsQuestion& aRequest);

  RouterSettings mSettings;
  RouterServices mServices;
  ObjectMirror mMirror;
  RouteTable mRoutes;
  ServerSelector mSelector;
  Mesh mMesh;
  LoadReporter mLoadReporter;
  ServerNoticeRelay mNoticeRelay;
  WarmUpPermits mWarmUpPermits;
  StoreFollower mStoreFollower;
  std::map<std::string, std::unique_ptr<RangeRunner>> mRanges;
  Forwarder mForwarder;
  PendingRemovals mPendingRemovals;
  /// When stored objects were last requested from another daemon.
  Instant mObjectsRequestedAt;
  bool mLeaving = false;
  /// Whether the last heartbeats reported failing calls to the store.
  bool mReportedFailing = false;
  bool mRegistered = false;
  bool mRegistering = false;
  Version mRegisteredRevision = 0;
  /// When Tick() was last called; the epoch before the first call.
  Instant mTickedAt;
  /// Messages of other daemons that were received since then.
  unsigned mMessagesSinceTick = 0;
  std::unique_ptr<TimerSubscription> mTimer;
};

} // namespace hawthornlug
