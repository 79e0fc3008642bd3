/// @file
/// A daemon that routes callers' requests on the users' platform: ties the parts together.
#pragma once

#include "limits/shared_retry_budget.h"
#include "membership/lapsed_entries.h"
#include "ports/object_store.h"
#include "runtime/forwarder.h"
#include "runtime/load_teller.h"
#include "runtime/mesh.h"
#include "runtime/range_runner.h"
#include "runtime/store_follower.h"

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
  /// Where other daemons reach it, like "tcp://1.2.3.4:7000".
  std::string meshEndpoint;
  std::vector<std::string> seeds;
  RetryAllowance retries;
  double warmUpOvershoot = 1.0;
  double warmUpSlack = 0.0;
  GrantTiming grants;
  double traceSample = 0.0;
};

/// What a routing daemon works with. Everything runs on one loop.
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

  /// Begins; the loop must run afterwards.
  void Start();
  /// Takes a message of another daemon; to be called on the loop.
  void Take(const wire::Envelope& aMessage) { mMesh.Take(aMessage); }
  http::Handler& Requests() { return mForwarder; }

  /// Puts changed settings in force: seeds, retries, warm-up; the others hold until the process
  /// ends.
  void ApplySettings(const RouterSettings& aSettings);
  /// Whether callers may be sent here.
  bool IsReady() const { return !mLeaving && !mRoutes.IsEmpty(); }
  /// Leaves: others are to take over what this daemon does. New requests are taken for
  /// @p aServeOn.
  void Leave(Duration aServeOn);
  /// Whether nothing depends on this daemon any more, callers left aside.
  bool IsRelieved() const;
  /// Bounds on callers, as the configuration has them; nothing before there is one.
  std::optional<CallerBounds> Bounds() const;

  MeshSelf DescribeSelf() override;
  void OnBeat(const MeshPeer& aPeer, const wire::RouterBeat& aBeat) override;
  void OnMessage(const MeshPeer& aPeer, const wire::Envelope& aMessage) override;
  void OnPeerLost(const std::string& aDaemon) override;
  RangeRunner* FindRanges(const std::string& aService) override;

private:
  void Tick(Instant aNow);
  void OnObjects(ObjectKind aKind, const std::vector<StoredObject>& aObjects);
  void OnServer(const StoredObject& aObject);
  void DropServer(const std::string& aId);
  void OnConfiguration(const StoredObject& aObject);
  /// For how long none of the daemons that watch the store has heard from it.
  Duration StoreSilence(Instant aNow) const;
  /// Drops the servers whose entries are gone for good.
  void DropGone(Instant aNow);
  /// Whether this daemon is one of the few that watch the store for all.
  bool MustWatch() const;
  void Announce();
  void OnStoredObjects(const wire::StoredObjects& aMessage);
  void SendStoredObjects(const std::string& aDaemon, const wire::StoredObjectsQuestion& aQuestion);

  RouterSettings mSettings;
  RouterServices mServices;
  ObjectMirror mMirror;
  RouteTable mRoutes;
  ServerBoard mBoard;
  Mesh mMesh;
  LoadTeller mLoadTeller;
  StoreFollower mFollower;
  std::map<std::string, std::unique_ptr<RangeRunner>> mRanges;
  Forwarder mForwarder;
  LapsedEntries mLapsed;
  Instant mAskedAt;
  bool mLeaving = false;
  bool mToldFailing = false;
  bool mAnnounced = false;
  bool mAnnouncing = false;
  Version mAnnouncedRevision = 0;
  std::unique_ptr<TimerSubscription> mTimer;
};

} // namespace hawthornlug
