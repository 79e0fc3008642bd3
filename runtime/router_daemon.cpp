#include "runtime/router_daemon.h"

#include "core/json_text.h"
#include "http/client.h"
#include "limits/request_cost.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace hawthornlug {

namespace {

constexpr Duration kTickInterval = milliseconds(20);
/// A tick that is later than this is logged: requests and callers that leave are noticed as late.
constexpr Duration kLongLoopDelay = milliseconds(100);
/// Number of daemons that watch the store for all.
constexpr unsigned kStoreWatchers = 3;
constexpr const char* kWatcherRole = "store-watchers";
/// Number of daemons of each failure domain that may pass on counts of requests in flight.
constexpr unsigned kLoadRelays = 2;
constexpr const char* kLoadRelayRole = "load-relays";
/// Number of daemons of each failure domain whose addresses are in the store.
constexpr unsigned kRegistrars = 2;
constexpr const char* kRegistrarRole = "registrars";
/// Roles are decided anew this soon after the daemons that can have them have changed...
constexpr Duration kRoleInterval = milliseconds(100);
/// ...and at this interval without a change.
constexpr Duration kRoleRefreshInterval = seconds(1);
/// After its start a daemon takes no role before it has had this time to hear the others.
constexpr Duration kSettleTime = milliseconds(300);
/// After this time a daemon does not rely on the others to tell it what it needs to serve.
constexpr Duration kStartPatience = milliseconds(1200);
/// Interval at which a daemon that hears nobody reads the addresses in the store...
constexpr Duration kLoneDirectoryInterval = seconds(4);
/// ...and at which registrars read them, to find daemons that all others have lost.
constexpr Duration kDirectoryInterval = seconds(30);
/// Interval at which the number of servers with a known speed is recorded.
constexpr Duration kSpeedsInterval = seconds(1);
constexpr std::string_view kMeshScheme = "tcp://";
/// Longest time until a daemon knows what another one has reported, also through relays.
constexpr Duration kMaxHeartbeatGap = milliseconds(1200);
/// After a restore of the store, servers write their entries again within 3 s; PendingRemovals
/// waits a part of that by itself.
constexpr Duration kReregistrationTime = milliseconds(1200);

/// Reads the mesh endpoint from a daemon's entry; nothing if it is not an IP address with a port.
/// The library for messages would look up names, and all messages would wait for that.
std::optional<std::string> ReadMeshEndpoint(const std::string& aValue)
{
  const auto entry = nlohmann::json::parse(aValue, nullptr, false);
  if (!entry.is_object()) {
    return std::nullopt;
  }
  const auto endpoint = entry.value("endpoint", nlohmann::json());
  if (!endpoint.is_string()) {
    return std::nullopt;
  }
  const auto text = endpoint.get<std::string>();
  const bool valid =
    text.starts_with(kMeshScheme) && http::ParseEndpoint(text.substr(kMeshScheme.size()));
  return valid ? std::optional(text) : std::nullopt;
}

} // namespace

RouterDaemon::RouterDaemon(const RouterSettings& aSettings, RouterServices aServices)
  : mSettings(aSettings)
  , mServices(aServices)
  , mSelector(aSettings.domain, aSettings.self.id)
  , mMesh(aServices.peers,
          aServices.timers,
          aServices.log,
          aSettings.self,
          aSettings.domain,
          aSettings.meshEndpoint,
          aSettings.power)
  , mLoadReporter(mSelector, mMesh)
  , mSpeedExchange(mSpeeds, mMesh, aServices.log)
  , mNoticeRelay(mSelector, mMesh, *this, aServices.timers, aServices.log, aServices.metrics)
  , mWarmUpPermits(mSelector, mMesh, aServices.timers.Now())
  , mCurrency(mMirror, mMesh, aServices.timers.Now())
  , mStoreFollower(
      aServices.store,
      mMirror,
      aServices.timers,
      aServices.log,
      [this](ObjectKind aKind, const std::vector<StoredObject>& aObjects) {
        OnObjects(aKind, aObjects, { "store" });
      },
      [this](ObjectKind aKind, Instant aAsOf) {
        mCurrency.OnReading(
          aKind, aAsOf, mStoreFollower.WatchesClosely() || mStoreFollower.IsRefresh(aKind));
      })
  , mObjectExchange(
      mMirror,
      mMesh,
      aServices.reader,
      aSettings.linkBytesPerSecond,
      [this](ObjectKind aKind) { mStoreFollower.ReadOnce(aKind); },
      [this](ObjectKind aKind,
             const std::vector<StoredObject>& aObjects,
             const NewsOrigin& aOrigin) { OnObjects(aKind, aObjects, aOrigin); })
  , mQuotaExchange(
      aSettings.self,
      [this](const std::string& aDaemon, wire::Envelope aMessage) {
        mMesh.Send(aDaemon, std::move(aMessage), Delivery::kNowOrNever);
      },
      aServices.log,
      aServices.metrics,
      aServices.timers.Now())
  , mContendedQueue(aSettings.features.Has(LoadFeature::kContention)
                      ? std::make_unique<ContendedQueue>(aSettings.self.id,
                                                         mSelector,
                                                         aServices.log,
                                                         aServices.metrics)
                      : nullptr)
  , mForwarder({ mRoutes,
                 mSelector,
                 aServices.backends,
                 aServices.headers,
                 *this,
                 mNoticeRelay,
                 aServices.timers,
                 aServices.log,
                 aServices.metrics,
                 aServices.spans,
                 mQuotaExchange,
                 mContendedQueue.get() },
               aSettings.retries)
  , mStartedAt(aServices.timers.Now())
{
  mMesh.SetListener(*this);
  if (mSettings.features.Has(LoadFeature::kRequestCost)) {
    mForwarder.SetWorkEstimator(std::make_unique<RequestCost>());
    mSelector.ShareSpeeds(mSpeeds);
    mSelector.UseEstimates(mForwarder.Estimates());
  }
  mSelector.SetWarmUpAllowance(aSettings.warmUpOvershoot, aSettings.warmUpSlack);
  mForwarder.SetTraceSample(aSettings.traceSample);
  mQuotaExchange.SetTolerance(aSettings.quotaTolerance);
  if (mContendedQueue) {
    mSelector.SetContention(true);
    mLoadReporter.SetContention(mContendedQueue->Decisions());
  }
}

void RouterDaemon::ApplySettings(const RouterSettings& aSettings)
{
  for (const std::string& it : aSettings.seeds) {
    mMesh.AddEndpoint(it);
  }
  mForwarder.SetRetryAllowance(aSettings.retries);
  mQuotaExchange.SetTolerance(aSettings.quotaTolerance);
  mSelector.SetWarmUpAllowance(aSettings.warmUpOvershoot, aSettings.warmUpSlack);
}

void RouterDaemon::Start()
{
  for (const std::string& it : mSettings.seeds) {
    mMesh.AddEndpoint(it);
  }
  mStoreFollower.Follow(ObjectKind::kServer);
  mStoreFollower.Follow(ObjectKind::kConfiguration);
  mStoreFollower.Follow(ObjectKind::kDomainOut);
  mTimer = mServices.timers.Every(kTickInterval, [this](Instant aNow) { Tick(aNow); });
}

void RouterDaemon::Take(const wire::Envelope& aMessage)
{
  ++mMessagesSinceTick;
  mServices.metrics.Count("peer_messages_total");
  mMesh.Receive(aMessage);
}

void RouterDaemon::ObserveLoopDelay(Instant aNow)
{
  const Duration delay =
    mTickedAt == Instant() ? Duration::zero() : aNow - mTickedAt - kTickInterval;
  mTickedAt = aNow;
  mServices.metrics.Observe("loop_delay_seconds", std::max(delay, Duration::zero()));
  if (delay > kLongLoopDelay) {
    mServices.log.Write(EventId::kLoopDelayed,
                        { { "delay-ms", Millis(delay) },
                          { "peer-messages", mMessagesSinceTick },
                          { "waiting", mForwarder.Waiting() } });
  }
  mMessagesSinceTick = 0;
}

void RouterDaemon::Tick(Instant aNow)
{
  ObserveLoopDelay(aNow);
  mServices.peers.Poll();
  const bool rolesCurrent = mMesh.ChangeCount() == mRolesDecidedFor;
  if (aNow - mRolesDecidedAt >= (rolesCurrent ? kRoleRefreshInterval : kRoleInterval)) {
    UpdateRoles(aNow);
  }
  mStoreFollower.Tick(aNow, StoreReadingNow(aNow));
  if (mStoreFollower.IsFailing() != mReportedFailing) {
    // Other daemons must start to watch the store in this daemon's place, or can stop.
    mReportedFailing = mStoreFollower.IsFailing();
    mMesh.SendHeartbeatNow();
  }
  mMesh.Tick(aNow);
  mObjectExchange.Tick(aNow);
  RefreshStale(aNow);
  mCurrency.Tick(aNow);
  mSelector.SetRegistryAsOf(mCurrency.AsOf(ObjectKind::kServer));
  // Heartbeats state the era that the ranges have been told.
  UpdateStoreEra(aNow);
  RemoveGoneServers(aNow);
  KeepDirectory(aNow);
  RangeDaemonState state;
  state.storeAge = mStoreFollower.Watches() ? mStoreFollower.Age(aNow) : Duration::zero();
  state.leaving = mLeaving;
  state.readsRecord = mWatchesStore || IsPastPatience(aNow);
  state.storeEra = mStoreEra;
  for (const auto& [service, ranges] : mRanges) {
    ranges->Tick(aNow, state);
  }
  mQuotaExchange.Tick(aNow);
  if (mContendedQueue) {
    mContendedQueue->Tick(aNow);
  }
  mForwarder.Dispatch();
  if (mWarmUpPermits.Tick(mForwarder.WaitingForCold(), mLeaving, aNow)) {
    mForwarder.Dispatch();
  }
  mForwarder.Hedge();
  mLoadReporter.Tick(aNow);
  if (mSettings.features.Has(LoadFeature::kRequestCost)) {
    UpdateSpeeds(aNow);
  }
}

void RouterDaemon::UpdateStoreEra(Instant aNow)
{
  std::optional<StoreEra> era = mServices.store.Era();
  for (const MeshPeer* it : mMesh.LivePeers()) {
    if (it->storeEra > 0) {
      era = std::max(era.value_or(0), it->storeEra);
    }
  }
  // Other daemons may have passed on what they read after a restore.
  for (std::size_t n = 0; n < kObjectKinds; ++n) {
    const StoreRevision at = mMirror.At(static_cast<ObjectKind>(n));
    if (!at.IsNone()) {
      era = std::max(era.value_or(0), at.Era());
    }
  }
  if (!era || mStoreEra >= era) {
    return;
  }
  const std::optional<StoreEra> before = std::exchange(mStoreEra, era);
  if (!before) {
    return;
  }
  mServices.log.Write(EventId::kStoreRestored, { { "era", *era }, { "before", *before } });
  mServices.metrics.Count("store_restores_total");
  // Servers that registered since the copy are listed again once they have written their entries.
  mPendingRemovals.OnOutage(aNow + kReregistrationTime);
  // What this daemon wrote may be gone.
  mRegistered = false;
  if (mStoreFollower.Watches()) {
    for (const ObjectKind it :
         { ObjectKind::kServer, ObjectKind::kConfiguration, ObjectKind::kDomainOut }) {
      mStoreFollower.ReadOnce(it);
    }
  }
}

void RouterDaemon::UpdateSpeeds(Instant aNow)
{
  mSpeedExchange.Tick(mLoadReporter.RelayInUse(), aNow);
  if (aNow - mSpeedsObservedAt < kSpeedsInterval) {
    return;
  }
  mSpeedsObservedAt = aNow;
  const std::size_t servers = mSpeeds.ServerCount();
  const std::size_t known = mSpeeds.KnownServers(aNow);
  mServices.metrics.Set("server_speeds_known", static_cast<double>(known));
  for (const auto& [route, error] : mForwarder.Estimates().Errors()) {
    mServices.metrics.Set(LabelledName("request_cost_error", { { "route", route } }), error);
  }
  const bool mostKnown = known > 0 && 2 * known >= servers;
  if (mostKnown != mSpeedsKnown) {
    mSpeedsKnown = mostKnown;
    mServices.log.Write(EventId::kServerSpeedsKnown,
                        { { "known", known }, { "servers", servers } });
  }
}

void RouterDaemon::UpdateRoles(Instant aNow)
{
  mRolesDecidedAt = aNow;
  // Daemons that this one does not hear may be cut off from it and send retries too, so that they
  // keep their part of the budget, and their share of the quotas.
  const auto daemons = 1 + static_cast<unsigned>(mMesh.KnownPeers(aNow).size());
  mForwarder.SetDaemonCounts(daemons);
  mQuotaExchange.SetDaemonCount(daemons);
  mSelector.SetDaemonCounts(mMesh.DaemonsByDomain());
  if (mContendedQueue) {
    const double heard = 1.0 + static_cast<double>(mMesh.LivePeers().size());
    const double known = 1.0 + static_cast<double>(mMesh.KnownPeers(aNow).size());
    mContendedQueue->Decisions().Allotment().SetHeardShare(std::min(1.0, heard / known));
  }
  if (aNow - mStartedAt < kSettleTime) {
    return;
  }
  mRolesDecidedFor = mMesh.ChangeCount();
  std::vector<RoleCandidate> all;
  std::vector<RoleCandidate> reliable;
  for (const MeshPeer* it : mMesh.LivePeers()) {
    if (it->leaving) {
      continue;
    }
    all.push_back({ it->ref.id, it->domain, it->power });
    // A daemon that has lost the store does not count as a watcher.
    if (StoreFollower::IsReliable(it->storeAge)) {
      reliable.push_back(all.back());
    }
  }
  const RoleCandidate self = mMesh.AsCandidate();
  mWatcherRank = SpreadRankOf(kWatcherRole, self, reliable);
  mWatchesStore = mWatcherRank < kStoreWatchers;
  mIsRegistrar = RankInDomain(kRegistrarRole, self, all) < kRegistrars;
  // A daemon that leaves asks the keeper that the others choose.
  std::vector<RoleCandidate> keepers = all;
  if (!mLeaving) {
    keepers.push_back(self);
  }
  mQuotaExchange.SetCandidates(mMesh.Domain(), keepers);
  all.push_back(self);
  mObjectExchange.SetIsRelay(mMesh.Relays().contains(self.id));
  UpdateLoadRelays(all);
}

void RouterDaemon::UpdateLoadRelays(const std::vector<RoleCandidate>& aCandidates)
{
  std::vector<std::string> ownDomain;
  std::set<std::string> otherDomains;
  for (auto& [domain, relays] : RankedByDomain(kLoadRelayRole, aCandidates, kLoadRelays)) {
    if (domain == mMesh.Domain()) {
      ownDomain = std::move(relays);
    } else {
      otherDomains.insert(relays.begin(), relays.end());
    }
  }
  mSpeedExchange.SetForeignRelays(otherDomains);
  mLoadReporter.SetRelays(std::move(ownDomain), std::move(otherDomains));
}

bool RouterDaemon::IsPastPatience(Instant aNow) const
{
  return aNow - mStartedAt > kStartPatience;
}

StoreFollower::Reading RouterDaemon::StoreReadingNow(Instant aNow) const
{
  if (mWatchesStore) {
    return mWatcherRank == 0 ? StoreFollower::Reading::kWatchingClosely
                             : StoreFollower::Reading::kWatching;
  }
  return IsPastPatience(aNow) ? StoreFollower::Reading::kMissing : StoreFollower::Reading::kNothing;
}

void RouterDaemon::RefreshStale(Instant aNow)
{
  for (const ObjectKind it : kReplicatedKinds) {
    const Instant asOf = mCurrency.AsOf(it);
    const auto done = [this, aNow](bool aDone) {
      const Instant now = mServices.timers.Now();
      mRefreshes.OnEnded(aDone, now - aNow, now);
    };
    if (!mRefreshes.IsDue(it, asOf, mWatcherRank, aNow) || !mStoreFollower.Refresh(it, done)) {
      continue;
    }
    mRefreshes.OnBegun();
    mServices.metrics.Count("store_refreshes_total");
    mServices.log.Write(EventId::kReplicaStale,
                        { { "kind", NameOf(kObjectKindNames, it) },
                          { "age-ms", Millis(aNow - asOf) },
                          { "rank", mWatcherRank } });
  }
}

void RouterDaemon::KeepDirectory(Instant aNow)
{
  if (!IsPastPatience(aNow) || mStoreFollower.IsLost()) {
    return;
  }
  if (mIsRegistrar) {
    Register();
  }
  const bool alone = mMesh.LivePeers().empty();
  const Duration interval = alone ? kLoneDirectoryInterval : kDirectoryInterval;
  if ((alone || mIsRegistrar) && aNow - mDirectoryReadAt > interval) {
    mDirectoryReadAt = aNow;
    ReadDirectory();
  }
}

void RouterDaemon::Register()
{
  if (mRegistered || mRegistering) {
    return;
  }
  mRegistering = true;
  // A revision of an earlier era stands for another state.
  const StoreEra era = mServices.store.Era().value_or(0);
  if (mRegisteredRevision.Era() != era) {
    mRegisteredRevision = StoreRevision(0, era);
  }
  const nlohmann::json value = { { "endpoint", mSettings.meshEndpoint },
                                 { "domain", mSettings.domain },
                                 { "incarnation", mSettings.self.incarnation } };
  mServices.store.Write(ObjectKind::kDaemon,
                        mSettings.self.id,
                        mRegisteredRevision,
                        JsonText(value),
                        [this](const StoreWrite& aWrite) {
                          mRegistering = false;
                          if (aWrite.result == StoreResult::kConflict && aWrite.object) {
                            // The entry is that of an earlier incarnation of this daemon; the next
                            // attempt replaces it.
                            mRegisteredRevision = aWrite.object->revision;
                          }
                          // An answer from before a restore tells of an entry that is gone.
                          mRegistered = aWrite.result == StoreResult::kDone && aWrite.object &&
                                        aWrite.object->revision.Era() == mStoreEra.value_or(0);
                        });
}

void RouterDaemon::ReadDirectory()
{
  mServices.store.List(ObjectKind::kDaemon, true, [this](const StoreReading& aReading) {
    for (const StoredObject& it : aReading.objects) {
      if (const std::optional<std::string> endpoint = ReadMeshEndpoint(it.value)) {
        mMesh.AddEndpoint(*endpoint);
      }
    }
  });
}

void RouterDaemon::OnObjects(ObjectKind aKind,
                             const std::vector<StoredObject>& aObjects,
                             const NewsOrigin& aOrigin)
{
  for (const StoredObject& it : aObjects) {
    switch (aKind) {
      case ObjectKind::kServer:
        OnServer(it, aOrigin);
        break;
      case ObjectKind::kConfiguration:
        OnConfiguration(it, aOrigin);
        break;
      case ObjectKind::kDomainOut:
      case ObjectKind::kDaemon:
      case ObjectKind::kRanges:
        break;
    }
  }
  if (aKind == ObjectKind::kDomainOut) {
    std::set<std::string> domains;
    for (const StoredObject& it : mMirror.All(aKind)) {
      domains.insert(it.name);
    }
    for (const std::string& it : domains) {
      mServices.log.Write(EventId::kDomainOut,
                          { { "domain", it }, { "revision", mMirror.At(aKind).Number() } });
    }
    mSelector.SetDomainsOutOfService(std::move(domains));
  }
  mForwarder.Dispatch();
  if (!mStoreFollower.Watches() && !mStoreFollower.IsRefresh(aKind)) {
    return;
  }
  // The other daemons request the objects that this heartbeat shows to have changed. Entries of
  // servers change often, so that other domains are told through their relays only.
  if (aKind == ObjectKind::kServer) {
    mMesh.SendHeartbeatToRelays();
  } else {
    mMesh.SendHeartbeatNow();
  }
}

Duration RouterDaemon::LagAtMost(ObjectKind aKind) const
{
  return mServices.timers.Now() - mCurrency.AsOf(aKind);
}

void RouterDaemon::OnServer(const StoredObject& aObject, const NewsOrigin& aOrigin)
{
  const Instant now = mServices.timers.Now();
  if (aObject.removed) {
    mPendingRemovals.OnRemoved(aObject.name);
    return;
  }
  const std::optional<ServerEntry> entry = mServices.reader.ReadServer(aObject);
  if (!entry) {
    // The entry is not a valid description of a server.
    RemoveServer(aObject.name);
    return;
  }
  mPendingRemovals.OnPresent(entry->id);
  mServices.log.Write(EventId::kServerRegistered,
                      { { "server", entry->id },
                        { "service", entry->service },
                        { "domain", entry->domain },
                        { "address", entry->address },
                        { "state", NameOf(kServerStateNames, entry->state) },
                        { "incarnation", entry->incarnation },
                        { "slots", entry->slots },
                        { "warm-up-ms", Millis(entry->warmUpLeft) },
                        { "revision", aObject.revision.Number() },
                        { "lag-at-most-ms", Millis(LagAtMost(ObjectKind::kServer)) },
                        { "source", aOrigin.source },
                        { "asked-in-vain", aOrigin.askedInVain },
                        { "known-ms", Millis(aOrigin.knownFor) } });
  if (mSelector.Find(entry->id) != nullptr) {
    mServices.metrics.Observe("server_state_lag_seconds", LagAtMost(ObjectKind::kServer));
  }
  mSelector.Put(*entry, now);
  const auto ranges = mRanges.find(entry->service);
  if (ranges != mRanges.end()) {
    ranges->second->OnServersChanged(now);
  }
}

void RouterDaemon::RemoveServer(const std::string& aId)
{
  if (mSelector.Find(aId) != nullptr) {
    mServices.log.Write(EventId::kServerDeregistered, { { "server", aId } });
    mSelector.Remove(aId, mServices.timers.Now());
  }
}

bool RouterDaemon::IsReady() const
{
  // A list that has a gap may show servers, too.
  const bool knowsServers = mStoreFollower.HasListed(ObjectKind::kServer) ||
                            !mMirror.At(ObjectKind::kServer).IsNone() || mSelector.HasServers();
  return !mLeaving && !mRoutes.IsEmpty() && knowsServers;
}

std::optional<ServerState> RouterDaemon::StateOfServer(const std::string& aId) const
{
  const ServerEntry* const entry = mSelector.Find(aId);
  return entry == nullptr ? std::nullopt : std::optional(entry->state);
}

Duration RouterDaemon::StoreAge(Instant aNow) const
{
  std::optional<Duration> age;
  if (mStoreFollower.Watches()) {
    age = mStoreFollower.Age(aNow);
  }
  for (const MeshPeer* it : mMesh.LivePeers()) {
    // A daemon that does not watch the store reports an age of 0.
    const bool watches = it->storeAge > Duration::zero();
    if (watches && (!age || it->storeAge < *age)) {
      age = it->storeAge;
    }
  }
  return age.value_or(Duration::zero());
}

void RouterDaemon::RemoveGoneServers(Instant aNow)
{
  if (StoreFollower::IsOutage(StoreAge(aNow))) {
    // A daemon that does not watch the store learns of its return only with the next heartbeat.
    mPendingRemovals.OnOutage(mStoreFollower.Watches() ? aNow : aNow + kMaxHeartbeatGap);
  }
  for (const std::string& it : mPendingRemovals.TakeConfirmed(aNow)) {
    RemoveServer(it);
  }
}

void RouterDaemon::OnConfiguration(const StoredObject& aObject, const NewsOrigin& aOrigin)
{
  if (aObject.removed) {
    return;
  }
  std::optional<RouteConfig> config = mServices.reader.ReadConfiguration(aObject);
  if (!config) {
    return;
  }
  const std::uint64_t previousVersion = mRoutes.Version();
  if (!mRoutes.Apply(std::move(*config)) || mRoutes.Version() == previousVersion) {
    return;
  }
  mServices.log.Write(EventId::kRoutesInForce,
                      { { "version", mRoutes.Version() },
                        { "before", previousVersion },
                        { "routes", mRoutes.Config().routes.size() },
                        { "organisations", mRoutes.Config().organisations.size() },
                        { "revision", aObject.revision.Number() },
                        { "lag-at-most-ms", Millis(LagAtMost(ObjectKind::kConfiguration)) },
                        { "source", aOrigin.source },
                        { "asked-in-vain", aOrigin.askedInVain },
                        { "known-ms", Millis(aOrigin.knownFor) } });
  if (previousVersion != 0) {
    mServices.metrics.Observe("configuration_lag_seconds", LagAtMost(ObjectKind::kConfiguration));
  }
  ApplyQuotaLimits();
  for (const auto& [name, rule] : mRoutes.Config().services) {
    mSelector.SetServiceRule(rule);
    if (rule.keyed && !mRanges.contains(name)) {
      mRanges.emplace(name,
                      std::make_unique<RangeRunner>(
                        name,
                        mSettings.grants,
                        RangeServices{ mServices.store,
                                       mServices.backends,
                                       mMesh,
                                       mSelector,
                                       mNoticeRelay,
                                       mServices.timers,
                                       mServices.log,
                                       mServices.metrics },
                        [this] { mForwarder.Dispatch(); },
                        mSettings.features));
    }
  }
}

void RouterDaemon::ApplyQuotaLimits()
{
  std::map<std::string, QuotaLimit> limits;
  for (const auto& [name, rule] : mRoutes.Config().organisations) {
    limits.emplace(name, QuotaLimit{ rule.ratePerSecond, rule.burst });
  }
  mQuotaExchange.SetLimits(limits, mServices.timers.Now());
}

RangeRunner* RouterDaemon::FindRanges(const std::string& aService)
{
  const auto it = mRanges.find(aService);
  return it == mRanges.end() ? nullptr : it->second.get();
}

std::optional<CallerBounds> RouterDaemon::ConfiguredCallerBounds() const
{
  if (mRoutes.IsEmpty()) {
    return std::nullopt;
  }
  return mRoutes.Config().bounds;
}

void RouterDaemon::Leave(Duration aAcceptTime, Duration aEndsAfter)
{
  mLeaving = true;
  const Instant now = mServices.timers.Now();
  mForwarder.Stop(now + aAcceptTime, now + aEndsAfter);
  mMesh.SendHeartbeatNow();
}

bool RouterDaemon::LeadsNoRange() const
{
  return std::none_of(
    mRanges.begin(), mRanges.end(), [](const auto& aEntry) { return aEntry.second->IsLeader(); });
}

MeshSelf RouterDaemon::DescribeSelf()
{
  MeshSelf self;
  for (std::size_t n = 0; n < kObjectKinds; ++n) {
    self.mirrorRevisions.push_back(mMirror.At(static_cast<ObjectKind>(n)));
    self.mirrorChanges.push_back(mMirror.ChangedAt(static_cast<ObjectKind>(n)));
  }
  // An age of 0 states that this daemon does not watch the store. It counts as eligible to become a
  // watcher, since nothing shows that the store does not answer it.
  self.storeAge = mStoreFollower.Watches() ? mStoreFollower.ReportedAge(mServices.timers.Now())
                                           : Duration::zero();
  self.storeEra = mStoreEra.value_or(0);
  self.leaving = mLeaving;
  self.configurationBytes = mObjectExchange.ConfigurationBytes();
  self.hasRole = mWatchesStore || !LeadsNoRange();
  for (const auto& [service, ranges] : mRanges) {
    if (ranges->IsLeader()) {
      self.claims[service] = ranges->LeaderTerm();
    }
    const RangeDirectory& directory = ranges->Directory();
    self.tables[service] = { directory.Term(), directory.Version() };
  }
  return self;
}

void RouterDaemon::OnHeartbeat(const MeshPeer& aPeer, const wire::RouterBeat& aHeartbeat)
{
  mNoticeRelay.OnHeartbeat(aPeer);
  for (const auto& [service, ranges] : mRanges) {
    ranges->OnHeartbeat(aPeer, aHeartbeat);
  }
  mObjectExchange.OnHeartbeat(aPeer, mServices.timers.Now());
}

void RouterDaemon::OnMessage(const MeshPeer& aPeer, const wire::Envelope& aMessage)
{
  const Instant now = mServices.timers.Now();
  if (aMessage.has_load()) {
    mLoadReporter.OnReport(aPeer, aMessage.load(), now);
  } else if (aMessage.has_service_times()) {
    mSpeedExchange.OnReport(aPeer, aMessage.service_times(), now);
  } else if (aMessage.has_key_work()) {
    if (RangeRunner* const ranges = FindRanges(aMessage.key_work().service())) {
      ranges->OnKeyWorkReport(aMessage.key_work());
    }
  } else if (aMessage.has_range_table()) {
    if (RangeRunner* const ranges = FindRanges(aMessage.range_table().service())) {
      if (ranges->OnRangeTable(aMessage.range_table())) {
        mMesh.PassOn(aPeer, aMessage);
      }
    }
  } else if (aMessage.has_range_table_question()) {
    if (RangeRunner* const ranges = FindRanges(aMessage.range_table_question().service())) {
      ranges->OnRangeTableRequest(aPeer.ref.id);
    }
  } else if (aMessage.has_warm_up_question()) {
    mWarmUpPermits.OnQuestion(aPeer.ref.id, aMessage.warm_up_question(), now);
  } else if (aMessage.has_warm_up_answer()) {
    if (mWarmUpPermits.OnAnswer(aMessage.warm_up_answer(), now)) {
      mForwarder.Dispatch();
    }
  } else if (aMessage.has_quota_report()) {
    mQuotaExchange.OnReport(aPeer.ref, aMessage.quota_report(), now);
  } else if (aMessage.has_quota_answer()) {
    if (mQuotaExchange.OnAnswer(aPeer.ref.id, aMessage.quota_answer(), now)) {
      mForwarder.Dispatch();
    }
  } else if (aMessage.has_servers_leaving()) {
    mNoticeRelay.OnPeerReport(aPeer, aMessage.servers_leaving());
  } else if (aMessage.has_stored_objects_question()) {
    mObjectExchange.OnQuestion(aPeer.ref.id, aMessage.stored_objects_question(), now);
  } else if (aMessage.has_stored_objects()) {
    mObjectExchange.OnObjects(aPeer.ref.id, aMessage.stored_objects(), now);
    for (const ObjectKind it : kReplicatedKinds) {
      mCurrency.OnApplied(it);
    }
  } else if (aMessage.has_store_currency()) {
    mCurrency.OnStatements(aPeer, aMessage, now);
  }
}

void RouterDaemon::OnPeerLost(const std::string& aDaemon)
{
  mSelector.SetPeerCounts(aDaemon, {}, mServices.timers.Now());
  mObjectExchange.OnPeerLost(aDaemon);
}

} // namespace hawthornlug
