#include "runtime/range_runner.h"

#include "membership/role_ranking.h"
#include "runtime/store_follower.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kLoadHalfLife = milliseconds(2500);
constexpr Duration kPlanInterval = milliseconds(250);
constexpr Duration kReportInterval = milliseconds(300);
/// After its start a daemon waits this long for the others' heartbeats before it grants anything.
constexpr Duration kStartupListenTime = milliseconds(1500);
/// The keys are granted for the first time only when no server has been registered or changed for
/// this long.
constexpr Duration kRegistryQuietTime = milliseconds(1200);
/// How long there must have been no leader before a daemon takes over...
constexpr Duration kLeaderAbsence = milliseconds(200);
/// ...and the extra wait for each live daemon that ranks before it.
constexpr Duration kRankDelay = milliseconds(700);
/// How long there must have been no leader before a daemon that has started lately takes over from
/// an older copy of the record.
constexpr Duration kNewcomerDelay = milliseconds(2500);
/// A daemon that has received nothing from the store for longer does not take over.
constexpr Duration kMaxStoreAge = milliseconds(3000);
constexpr Duration kTakeoverRetryDelay = milliseconds(500);
/// How long a superseded daemon makes no takeover attempt.
constexpr Duration kSupersededDelay = milliseconds(2500);
/// A heartbeat without a claim counts only if it arrives later than this after a takeover: an
/// earlier leader's own takeover may have been written without its knowing it yet, for as long as a
/// write waits for its answer (1.5 s).
constexpr Duration kHeartbeatSettleTime = milliseconds(2000);
/// Timeout of the leader's watch on the range record: it confirms at least this often that the
/// record still names it.
constexpr Duration kRecordWatchTimeout = milliseconds(1500);
constexpr Duration kWatchRetryDelay = milliseconds(300);
/// Interval at which a leader reads a record that it has to write anew.
constexpr Duration kRestoringReadInterval = milliseconds(200);
/// A leader that the store has not confirmed for longer yields to a daemon that reaches the store.
constexpr Duration kMaxUnconfirmedLead = milliseconds(3200);
/// A record that was confirmed less than this time ago is not watched.
constexpr Duration kMinConfirmationAge = milliseconds(1000);
constexpr Duration kReadRetryDelay = milliseconds(400);
/// The servers are passed to the granter at this interval, and at once when an entry changes.
constexpr Duration kServersInterval = milliseconds(100);
/// Limit of the leader's messages about changed ranges: each change goes to every daemon.
constexpr unsigned kTableMessagesPerSecond = 900;
/// Timeout of the health check of a server that is to get its first keys.
constexpr Duration kVettingTimeout = milliseconds(500);
/// Keys that have moved are served slowly for some seconds if their handover is missing: they do
/// not move again within this time without need.
constexpr Duration kSettleTime = seconds(5);
/// A release waits for the running requests, so for about a service time. One that takes longer
/// than this shows that its server is slow to answer.
constexpr Duration kUsualRelease = milliseconds(1000);
/// Release commands that a server is sent at a time: each takes a connection of its own. A fifth of
/// a server's connections is left for commands and probes, 22 of 110.
constexpr std::size_t kMaxReleases = 12;
/// Shortest interval between two requests for the range table.
constexpr Duration kTableRequestInterval = milliseconds(300);

} // namespace

RangeRunner::RangeRunner(std::string aService,
                         const GrantTiming& aTiming,
                         RangeServices aServices,
                         std::function<void()> aChanged,
                         const LoadFeatures& aFeatures)
  : mService(std::move(aService))
  , mTiming(aTiming)
  , mServices(aServices)
  , mOnRangesChanged(std::move(aChanged))
  , mGranter(aServices.mesh.Self(), aTiming)
  , mPlansByCost(aFeatures.Has(LoadFeature::kPlacement))
  , mKeyLoad(kLoadHalfLife)
  , mReport(mService, aServices.log, aServices.metrics)
  , mStartedAt(aServices.timers.Now())
  , mServersChangedAt(mStartedAt)
  , mLeaderSeenAt(mStartedAt)
{
  if (mPlansByCost) {
    mGranter.SetJoinsNeighbours(true);
    mGranter.SetMaxReleases(kMaxReleases);
  }
}

void RangeRunner::Tick(Instant aNow, const RangeDaemonState& aDaemon)
{
  UpdateEra(aDaemon.storeEra, aNow);
  mTerms.Note(std::max(mDirectory.Term(), mGranter.Term()), aNow);
  ReportWork(aNow);
  if (mGranter.IsIdle()) {
    if (aDaemon.readsRecord) {
      ReadRecord(aNow);
    }
    Elect(aNow, aDaemon);
    return;
  }
  if (aDaemon.leaving && AnnouncedLeader()) {
    mGranter.Resign();
    return;
  }
  if (ShouldYield(aNow)) {
    mServices.log.Write(EventId::kRangesSuperseded,
                        { { "service", mService }, { "reason", "store-lost" } });
    mGranter.Resign();
    mLeaderSeenAt = aNow;
    mTakeoverRetryAt = aNow + kSupersededDelay;
    return;
  }
  if (mServersChangedAt >= mServersUpdatedAt || aNow - mServersUpdatedAt >= kServersInterval) {
    UpdateGrantableServers();
    VetServers(aNow);
    CheckEarlierLeaders();
  }
  WatchRecord(aNow);
  if (mGranter.IsLeader() && aNow - mPlannedAt >= kPlanInterval) {
    mPlannedAt = aNow;
    Plan(aNow);
  }
  Execute(mGranter.Tick(aNow));
  Publish();
  LogGranterEvents();
}

void RangeRunner::UpdateEra(const std::optional<StoreEra>& aEra, Instant aNow)
{
  if (!aEra || mEra >= aEra) {
    return;
  }
  mEra = aEra;
  mEraKnownAt = aNow;
  mMustListRecord = true;
  mWatchRetryAt = aNow;
  mGranter.OnStoreEra(*aEra, aNow);
}

bool RangeRunner::ShouldLetOthersRestore(const StoredObject& aRecord, Instant aNow) const
{
  RangeRecord record;
  const bool isOlderCopy =
    DecodeRangeRecord(aRecord.value, record) && record.era && *record.era != aRecord.revision.Era();
  const bool isNewcomer = aNow - mStartedAt < mGranter.RenewalLimit();
  return isOlderCopy && isNewcomer && !mServices.mesh.LivePeers().empty() &&
         aNow - mLeaderSeenAt < kNewcomerDelay;
}

bool RangeRunner::HaveEarlierErasEnded(Instant aNow) const
{
  // A daemon that has not run for long need not have heard of all that led.
  if (mEraKnownAt - mStartedAt < mGranter.RenewalLimit()) {
    return false;
  }
  const std::vector<const MeshPeer*> peers = mServices.mesh.KnownPeers(aNow);
  return std::all_of(peers.begin(), peers.end(), [this](const MeshPeer* aPeer) {
    return aPeer->live && aPeer->storeEra >= *mEra && !aPeer->claims.contains(mService);
  });
}

bool RangeRunner::ShouldYield(Instant aNow) const
{
  const Instant confirmedAt =
    mGranter.IsRestoring() ? std::max(mGranter.ConfirmedAt(), mEraKnownAt) : mGranter.ConfirmedAt();
  if (!mGranter.IsLeader() || aNow - confirmedAt < kMaxUnconfirmedLead) {
    return false;
  }
  const std::vector<const MeshPeer*>& peers = mServices.mesh.LivePeers();
  return std::any_of(peers.begin(), peers.end(), [](const MeshPeer* aPeer) {
    const bool watches = aPeer->storeAge > Duration::zero();
    return watches && StoreFollower::IsReliable(aPeer->storeAge) && !aPeer->leaving;
  });
}

std::optional<std::string> RangeRunner::AnnouncedLeader() const
{
  std::optional<std::string> leader;
  std::uint64_t term = 0;
  for (const MeshPeer* it : mServices.mesh.LivePeers()) {
    const auto claim = it->claims.find(mService);
    if (claim != it->claims.end() && claim->second > term && !it->leaving) {
      term = claim->second;
      leader = it->ref.id;
    }
  }
  return term >= mGranter.Term() ? leader : std::nullopt;
}

unsigned RangeRunner::Rank() const
{
  std::vector<RoleCandidate> others;
  for (const MeshPeer* it : mServices.mesh.LivePeers()) {
    if (!it->leaving && it->storeAge < kMaxStoreAge) {
      others.push_back({ it->ref.id, it->domain, it->power });
    }
  }
  return RankOf(mService, mServices.mesh.AsCandidate(), others);
}

std::vector<std::string> RangeRunner::OpenServers() const
{
  std::vector<std::string> ids;
  for (const ServerEntry& it : mServices.selector.ServersOf(mService)) {
    if (mServices.selector.IsOpen(it.id)) {
      ids.push_back(it.id);
    }
  }
  return ids;
}

void RangeRunner::Elect(Instant aNow, const RangeDaemonState& aDaemon)
{
  if (AnnouncedLeader()) {
    mLeaderSeenAt = aNow;
    return;
  }
  const bool ready = aNow - mStartedAt > kStartupListenTime && aNow > mTakeoverRetryAt;
  if (aDaemon.leaving || mListing || !ready || aDaemon.storeAge > kMaxStoreAge) {
    return;
  }
  if (aNow - mLeaderSeenAt > kLeaderAbsence + kRankDelay * Rank()) {
    BeginTakeover();
  }
}

void RangeRunner::ReadRecord(Instant aNow)
{
  if (mDirectory.HasRanges() || mListing || aNow < mReadRetryAt) {
    return;
  }
  mListing = true;
  mReadRetryAt = aNow + kReadRetryDelay;
  mServices.store.List(ObjectKind::kRanges, false, [this, aNow](const StoreReading& aReading) {
    mListing = false;
    const StoredObject* const object = FindRecord(aReading);
    if (object != nullptr) {
      NoteRecord(*object, aNow);
    }
    RangeRecord record;
    if (object == nullptr || !DecodeRangeRecord(object->value, record)) {
      return;
    }
    // The owners are valid without a leader too: the servers may still hold their keys.
    DirectoryUpdate update{ record.term, 0, true, {} };
    for (const OwnedRange& it : record.ranges) {
      update.ranges.push_back({ it.keys, it.owner.id, false });
    }
    if (mDirectory.Apply(update)) {
      mOnRangesChanged();
    }
    const DaemonRef& self = mServices.mesh.Self();
    const bool ownEarlierIncarnation =
      record.leader.id == self.id && record.leader.incarnation < self.incarnation;
    const bool isOlderCopy = record.era && *record.era != object->revision.Era();
    if (ownEarlierIncarnation && !isOlderCopy && mGranter.IsIdle() && !AnnouncedLeader()) {
      TakeOver(*object);
    }
  });
}

const StoredObject* RangeRunner::FindRecord(const StoreReading& aReading) const
{
  // What a list with a gap shows exists; what it lacks may exist as well.
  if (aReading.result != StoreResult::kDone && aReading.result != StoreResult::kIncomplete) {
    return nullptr;
  }
  const auto it = std::find_if(
    aReading.objects.begin(), aReading.objects.end(), [this](const StoredObject& aObject) {
      return aObject.name == mService && !aObject.removed;
    });
  return it == aReading.objects.end() ? nullptr : &*it;
}

void RangeRunner::NoteRecord(const StoredObject& aRecord, Instant aAskedAt)
{
  if (aRecord.revision < mRecordRevision) {
    RangeRecord record;
    DecodeRangeRecord(aRecord.value, record);
    mServices.log.Write(EventId::kRecordWentBack,
                        { { "service", mService },
                          { "revision", aRecord.revision.Number() },
                          { "era", aRecord.revision.Era() },
                          { "known", mRecordRevision.Number() },
                          { "term", record.term },
                          { "leader", record.leader.id } });
  }
  mRecordRevision = std::max(mRecordRevision, aRecord.revision);
  mRecordAskedAt = aAskedAt;
}

void RangeRunner::TakeOver(const StoredObject& aRecord)
{
  UpdateGrantableServers();
  const Instant now = mServices.timers.Now();
  mGranter.TakeOver(aRecord, {}, now, mTerms.KnownFor(mGranter.RenewalLimit(), now));
}

void RangeRunner::BeginTakeover()
{
  mListing = true;
  mServices.store.List(ObjectKind::kRanges,
                       false,
                       [this, asked = mServices.timers.Now()](const StoreReading& aReading) {
                         if (const StoredObject* const it = FindRecord(aReading)) {
                           NoteRecord(*it, asked);
                         }
                         OnRecordListed(aReading);
                       });
}

void RangeRunner::OnRecordListed(const StoreReading& aReading)
{
  mListing = false;
  const Instant now = mServices.timers.Now();
  mTakeoverRetryAt = now + kTakeoverRetryDelay;
  if (!mGranter.IsIdle() || AnnouncedLeader()) {
    return;
  }
  if (const StoredObject* const it = FindRecord(aReading)) {
    RangeRecord record;
    if (!DecodeRangeRecord(it->value, record)) {
      mServices.log.Write(EventId::kObjectUnreadable,
                          { { "object", it->name }, { "reason", "range record" } });
    }
    if (!ShouldLetOthersRestore(*it, now)) {
      TakeOver(*it);
    }
    return;
  }
  if (aReading.result != StoreResult::kDone) {
    return;
  }
  UpdateGrantableServers();
  const std::vector<std::string> servers = OpenServers();
  if (servers.empty() || now - mServersChangedAt < kRegistryQuietTime) {
    return;
  }
  mGranter.TakeOver(std::nullopt, servers, now);
}

void RangeRunner::WatchRecord(Instant aNow)
{
  // A write of this daemon's that the store has accepted confirms the record, too.
  const bool confirmed =
    aNow - mGranter.ConfirmedAt() < kMinConfirmationAge && !mGranter.IsRestoring();
  if (mWatching || confirmed || !mGranter.IsLeader() || aNow < mWatchRetryAt) {
    return;
  }
  mWatching = true;
  mWatchSentAt = aNow;
  mWatchRetryAt = mGranter.IsRestoring() ? aNow + kRestoringReadInterval : mWatchRetryAt;
  mWatchRevision = std::max(mWatchRevision, mGranter.Revision());
  const bool lists = mMustListRecord || mGranter.IsRestoring();
  const auto done = [this, lists](const StoreReading& aReading) {
    OnRecordWatched(aReading, lists);
  };
  if (lists) {
    mServices.store.List(ObjectKind::kRanges, false, done);
  } else {
    mServices.store.Watch(ObjectKind::kRanges, mWatchRevision, kRecordWatchTimeout, done);
  }
}

void RangeRunner::OnRecordWatched(const StoreReading& aReading, bool aIsList)
{
  mWatching = false;
  const Instant now = mServices.timers.Now();
  const bool isWhole = aReading.result == StoreResult::kDone;
  const bool hasGap = aReading.result == StoreResult::kIncomplete;
  mMustListRecord = hasGap || aReading.result == StoreResult::kHistoryGone ||
                    aReading.result == StoreResult::kMalformed;
  if (isWhole) {
    mWatchRevision = std::max(mWatchRevision, aReading.at);
  } else {
    mWatchRetryAt = now + kWatchRetryDelay;
  }
  if ((!isWhole && !hasGap) || !mGranter.IsLeader()) {
    return;
  }
  bool seen = false;
  for (const StoredObject& it : aReading.objects) {
    if (it.name == mService) {
      seen = true;
      NoteRecord(it, mWatchSentAt);
      mGranter.OnRecordRead(it, mWatchSentAt, now);
    }
  }
  if (!seen && isWhole && aIsList) {
    mGranter.OnRecordMissing(aReading.at.Era(), now);
  } else if (!seen && isWhole) {
    mGranter.OnRecordUnchanged(mWatchSentAt, now);
  }
  LogGranterEvents();
}

void RangeRunner::UpdateGrantableServers()
{
  mServersUpdatedAt = mServices.timers.Now();
  std::map<std::string, GrantableServer> servers;
  for (const ServerEntry& it : mServices.selector.ServersOf(mService)) {
    servers[it.id] = { it.incarnation, it.address, true, mServices.selector.IsOpen(it.id) };
  }
  mGranter.SetServers(std::move(servers));
}

void RangeRunner::VetServers(Instant aNow)
{
  if (!mGranter.IsLeader()) {
    return;
  }
  std::set<ServerRef> known;
  for (const auto& [from, range] : mGranter.Ranges()) {
    known.insert(range.owned.owner);
    if (!mGranter.IsOwnerUnresponsive(range, aNow)) {
      mVetting.OnAnswered(range.owned.owner);
    }
  }
  for (const ServerEntry& it : mServices.selector.ServersOf(mService)) {
    const ServerRef server{ it.id, it.incarnation };
    known.insert(server);
    if (!mVetting.IsCheckDue(server, aNow)) {
      continue;
    }
    mVetting.OnCheckSent(server, aNow);
    mServices.backends.CheckHealth(
      it.address,
      mServices.selector.HealthPathOf(mService),
      kVettingTimeout,
      [this, server](const HealthReport& aReport) { OnVettingAnswered(server, aReport); });
  }
  mVetting.KeepOnly(known);
}

void RangeRunner::OnVettingAnswered(const ServerRef& aServer, const HealthReport& aReport)
{
  const bool isOther = !aReport.instance.empty() && aReport.instance != aServer.id;
  if (!aReport.answered || isOther) {
    return;
  }
  mVetting.OnAnswered(aServer);
  if (!aReport.notice.IsEmpty()) {
    mServices.notices.OnServerNotice(aServer, aReport.notice);
  }
}

std::optional<RangeRunner::ProvenEnd> RangeRunner::EndOf(const DaemonRef& aLeader) const
{
  for (const MeshPeer* it : mServices.mesh.LivePeers()) {
    if (it->ref.id != aLeader.id) {
      continue;
    }
    if (it->ref.incarnation > aLeader.incarnation) {
      return ProvenEnd{ EarlierLeaderEnd::kRestarted, it };
    }
    // A heartbeat that has arrived well after the takeover and no longer claims the ranges.
    const bool gaveUp =
      !it->claims.contains(mService) && it->heartbeatAt > mBecameLeaderAt + kHeartbeatSettleTime;
    return gaveUp ? std::optional(ProvenEnd{ EarlierLeaderEnd::kNoClaim, it }) : std::nullopt;
  }
  return std::nullopt;
}

void RangeRunner::CheckEarlierLeaders()
{
  if (!mGranter.IsLeader()) {
    return;
  }
  const std::vector<EarlierLeader> leaders = mGranter.EarlierLeaders();
  const Instant checkedAt = mServices.timers.Now();
  if (HaveEarlierErasEnded(checkedAt)) {
    mGranter.OnEarlierLeaderStopped(kUnknownLeader, checkedAt);
  }
  for (const auto& [daemon, term] : leaders) {
    const std::optional<ProvenEnd> proof = EndOf(daemon);
    if (!proof) {
      continue;
    }
    const Instant now = mServices.timers.Now();
    mServices.log.Write(
      EventId::kEarlierLeaderStopped,
      { { "service", mService },
        { "leader", daemon.id },
        { "incarnation", daemon.incarnation },
        { "proof", NameOf(kEarlierLeaderEndNames, proof->end) },
        { "heartbeat", proof->peer->sequence },
        { "heartbeat-age-ms", Millis(now - proof->peer->heartbeatAt) },
        { "after-takeover-ms", Millis(proof->peer->heartbeatAt - mBecameLeaderAt) } });
    mGranter.OnEarlierLeaderStopped(daemon, now);
  }
}

std::set<std::string> RangeRunner::UnresponsiveOwners(Instant aNow) const
{
  std::set<std::string> owners;
  for (const auto& [from, range] : mGranter.Ranges()) {
    if (mGranter.IsOwnerUnresponsive(range, aNow)) {
      owners.insert(range.owned.owner.id);
    }
  }
  return owners;
}

std::vector<PlannedServer> RangeRunner::ServersToPlan(const std::set<std::string>& aUnresponsive,
                                                      Instant aNow) const
{
  std::vector<PlannedServer> servers;
  for (const ServerEntry& it : mServices.selector.ServersOf(mService)) {
    PlannedServer server;
    server.id = it.id;
    server.slots = it.slots;
    server.capacity =
      it.slots / std::max(0.2, mServices.selector.RelativeServiceTimeOf(it.id, aNow));
    server.open = mServices.selector.IsOpen(it.id) && !aUnresponsive.contains(it.id) &&
                  !mServices.selector.IsFailing(it.id, aNow) &&
                  mVetting.MayOwn({ it.id, it.incarnation });
    servers.push_back(server);
  }
  return servers;
}

std::vector<PlannedRange> RangeRunner::RangesToPlan(const std::set<std::string>& aUnresponsive,
                                                    Instant aNow) const
{
  std::vector<PlannedRange> ranges;
  for (const auto& [from, range] : mGranter.Ranges()) {
    PlannedRange it;
    it.keys = range.owned.keys;
    it.owner = range.owned.owner.id;
    it.moving = range.phase != RangePhase::kHeld;
    const bool ownerOpen = mServices.selector.IsOpen(it.owner) && !aUnresponsive.contains(it.owner);
    if (it.moving) {
      it.target = range.target;
      const bool writing = range.phase == RangePhase::kWriting;
      it.mustMove = !writing && !mServices.selector.IsOpen(range.target);
    } else {
      it.mustMove = !ownerOpen;
    }
    it.mustStay = mGranter.ShouldStay(range, aNow);
    it.justMoved = aNow - range.movedAt < kSettleTime;
    it.overdue = range.phase == RangePhase::kReleasing && range.releaseSent &&
                 aNow - range.phaseSince > kUsualRelease;
    ranges.push_back(std::move(it));
  }
  return ranges;
}

void RangeRunner::Plan(Instant aNow)
{
  const std::set<std::string> unresponsive = UnresponsiveOwners(aNow);
  const std::vector<PlannedServer> servers = ServersToPlan(unresponsive, aNow);
  const std::vector<PlannedRange> ranges = RangesToPlan(unresponsive, aNow);
  if (mPlansByCost) {
    PlanByCost(ranges, servers, aNow);
    return;
  }
  mKeyLoad.Decay(aNow);
  for (const RangeMove& it : PlanRanges(ranges, servers, mKeyLoad, {})) {
    mGranter.Move(it, aNow);
  }
}

void RangeRunner::PlanByCost(const std::vector<PlannedRange>& aRanges,
                             const std::vector<PlannedServer>& aServers,
                             Instant aNow)
{
  mKeyProfile.Decay(aNow);
  const FleetPlan plan = PlanFleet(aRanges, aServers, mKeyProfile.Table(), {});
  for (const FleetMove& it : plan.moves) {
    mGranter.Move(it.move, aNow);
    if (IsMoving(it.move)) {
      mReport.OnMoveBegun(it.reason);
    }
  }
  mReport.OnPlanned(plan);
}

bool RangeRunner::IsMoving(const RangeMove& aMove) const
{
  const auto it = mGranter.Ranges().find(aMove.keys.from);
  return it != mGranter.Ranges().end() && it->second.owned.keys == aMove.keys &&
         it->second.target == aMove.to;
}

void RangeRunner::Execute(const std::vector<GranterAction>& aActions)
{
  for (const GranterAction& it : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, it);
  }
}

void RangeRunner::OnCommandAnswered(const char* aCommand,
                                    const ServerRef& aServer,
                                    const KeyRange& aKeys,
                                    const CommandOutcome& aOutcome)
{
  if (aOutcome.serverLeaving) {
    mServices.notices.OnServerNotice(aServer, { true, Duration::zero() });
  }
  if (aOutcome.result == CommandResult::kDone) {
    return;
  }
  mServices.log.Write(EventId::kOrderFailed,
                      { { "order", aCommand },
                        { "service", mService },
                        { "server", aServer.id },
                        { "from", aKeys.from },
                        { "to", aKeys.to },
                        { "result", NameOf(kCommandResultNames, aOutcome.result) } });
}

void RangeRunner::Execute(const GrantKeys& aAction)
{
  mServices.metrics.Count("grants_sent_total");
  mServices.backends.Grant(
    aAction.grant,
    mTiming.grantTimeout,
    [this, order = aAction.order, server = aAction.grant.server, range = aAction.grant.range](
      const CommandOutcome& aOutcome) {
      OnCommandAnswered("grant", server, range, aOutcome);
      mGranter.OnGranted(order, aOutcome.result, mServices.timers.Now());
      Publish();
      LogGranterEvents();
    });
}

void RangeRunner::Execute(const ReleaseKeys& aAction)
{
  mServices.metrics.Count("releases_sent_total");
  mServices.backends.Release(
    aAction.release,
    mTiming.releaseTimeout,
    [this, order = aAction.order, server = aAction.release.server, range = aAction.release.range](
      const CommandOutcome& aOutcome) {
      OnCommandAnswered("release", server, range, aOutcome);
      const Instant now = mServices.timers.Now();
      mGranter.OnReleased(order, aOutcome, now);
      Execute(mGranter.Tick(now));
      LogGranterEvents();
    });
}

void RangeRunner::Execute(const WriteRecord& aAction)
{
  mServices.store.Write(ObjectKind::kRanges,
                        mService,
                        aAction.expected,
                        aAction.value,
                        [this](const StoreWrite& aWrite) {
                          const Instant now = mServices.timers.Now();
                          mGranter.OnWritten(aWrite, now);
                          Execute(mGranter.Tick(now));
                          Publish();
                          LogGranterEvents();
                        });
}

wire::Envelope RangeRunner::MakeTableMessage(const DirectoryUpdate& aUpdate) const
{
  wire::Envelope message;
  wire::RangeTable* const table = message.mutable_range_table();
  table->set_service(mService);
  table->set_term(aUpdate.term);
  table->set_version(aUpdate.version);
  table->set_whole(aUpdate.whole);
  for (const DirectoryRange& it : aUpdate.ranges) {
    wire::RangeTable::Range* const range = table->add_ranges();
    range->set_from(it.keys.from);
    range->set_to(it.keys.to);
    range->set_server(it.server);
    range->set_moving(it.moving);
  }
  return message;
}

void RangeRunner::Publish()
{
  // Changes that follow each other fast are sent together: the next tick sends what is left here.
  const Instant now = mServices.timers.Now();
  const auto peers = static_cast<Duration::rep>(mServices.mesh.PeersIn(Mesh::Audience::kAll));
  if (now - mPublishedAt < Duration(seconds(1)) * peers / kTableMessagesPerSecond) {
    return;
  }
  mPublishedAt = now;
  const std::optional<DirectoryUpdate> update = mGranter.TakeUpdate();
  if (!update) {
    return;
  }
  mDirectory.Apply(*update);
  mServices.mesh.SendToFleet(MakeTableMessage(*update));
  mOnRangesChanged();
}

void RangeRunner::LogGranterEvents()
{
  const Instant now = mServices.timers.Now();
  for (const GranterEvent& it : mGranter.TakeEvents()) {
    EventId id = EventId::kRangeMoved;
    if (it.type == GranterEvent::Type::kTaken) {
      id = EventId::kRangesTaken;
      mBecameLeaderAt = now;
      mServices.mesh.SendHeartbeatNow();
    } else if (it.type == GranterEvent::Type::kRestored) {
      mBecameLeaderAt = now;
      mServices.mesh.SendHeartbeatNow();
      mServices.metrics.Count("ranges_restored_total");
      mServices.log.Write(EventId::kRangesRestored,
                          { { "service", mService },
                            { "era", mGranter.Revision().Era() },
                            { "term", mGranter.Term() },
                            { "token", it.token },
                            { "confirmed", it.confirmed },
                            { "uncertain", it.uncertain },
                            { "elapsed-ms", Millis(it.elapsed) } });
      continue;
    } else if (it.type == GranterEvent::Type::kPaused) {
      id = EventId::kRangesSuperseded;
      mLeaderSeenAt = now;
    } else if (it.type == GranterEvent::Type::kSuperseded) {
      id = EventId::kRangesSuperseded;
      // The daemon that has superseded this one is running, even if no heartbeat of it has arrived
      // yet.
      mTakeoverRetryAt = now + kSupersededDelay;
    }
    mServices.log.Write(id,
                        { { "service", mService },
                          { "from", it.keys.from },
                          { "to", it.keys.to },
                          { "old", it.from },
                          { "new", it.to },
                          { "token", it.token },
                          { "term", mGranter.Term() },
                          { "era", mGranter.Revision().Era() },
                          { "revision", mGranter.Revision().Number() },
                          { "read-revision", mRecordRevision.Number() },
                          { "record-age-ms", Millis(now - mRecordAskedAt) },
                          { "reason", it.reason },
                          { "confirmed-ms", Millis(now - mGranter.ConfirmedAt()) } });
  }
}

void RangeRunner::AddWork(RangeKey aKey, Duration aWork)
{
  mUnreportedWork[aKey] += aWork;
}

void RangeRunner::CountWork(RangeKey aKey, Duration aWork, Instant aNow)
{
  if (mPlansByCost) {
    mKeyProfile.Add(aKey, aWork, aNow);
  } else {
    mKeyLoad.Add(aKey, aWork, aNow);
  }
}

void RangeRunner::ReportWork(Instant aNow)
{
  if (mUnreportedWork.empty() || aNow - mReportedAt < kReportInterval) {
    return;
  }
  mReportedAt = aNow;
  std::map<RangeKey, Duration> work;
  work.swap(mUnreportedWork);
  if (mGranter.IsLeader()) {
    for (const auto& [key, it] : work) {
      CountWork(key, it, aNow);
    }
    return;
  }
  const auto leader = AnnouncedLeader();
  if (!leader) {
    return;
  }
  wire::Envelope message;
  wire::KeyWork* const report = message.mutable_key_work();
  report->set_service(mService);
  for (const auto& [key, it] : work) {
    report->add_keys(key);
    report->add_work_ms(static_cast<std::uint32_t>(Millis(it)));
  }
  mServices.mesh.Send(*leader, std::move(message));
}

void RangeRunner::OnKeyWorkReport(const wire::KeyWork& aWork)
{
  const Instant now = mServices.timers.Now();
  for (int n = 0; n < std::min(aWork.keys_size(), aWork.work_ms_size()); ++n) {
    if (aWork.keys(n) > kLastKey) {
      continue;
    }
    CountWork(aWork.keys(n), milliseconds(aWork.work_ms(n)), now);
  }
}

void RangeRunner::OnHeartbeat(const MeshPeer& aPeer, const wire::RouterBeat& aHeartbeat)
{
  const Instant now = mServices.timers.Now();
  for (const wire::RangeClaim& it : aHeartbeat.tables()) {
    const bool newer =
      it.service() == mService && std::make_pair(it.term(), it.version()) >
                                    std::make_pair(mDirectory.Term(), mDirectory.Version());
    if (newer && now - mTableRequestedAt > kTableRequestInterval) {
      mTableRequestedAt = now;
      wire::Envelope request;
      request.mutable_range_table_question()->set_service(mService);
      mServices.mesh.Send(aPeer.ref.id, std::move(request));
    }
  }
  const auto claim = aPeer.claims.find(mService);
  const bool higher = claim != aPeer.claims.end() && claim->second > mGranter.Term();
  if (higher && !mGranter.IsIdle()) {
    mServices.log.Write(
      EventId::kRangesSuperseded,
      { { "service", mService }, { "new", aPeer.ref.id }, { "reason", "claim" } });
    mGranter.Resign();
  }
}

bool RangeRunner::OnRangeTable(const wire::RangeTable& aTable)
{
  DirectoryUpdate update;
  update.term = aTable.term();
  update.version = aTable.version();
  update.whole = aTable.whole();
  for (const wire::RangeTable::Range& it : aTable.ranges()) {
    if (it.from() > it.to() || it.to() > kLastKey) {
      mServices.log.Write(EventId::kMessageMalformed,
                          { { "message", "range-table" }, { "service", mService } });
      return false;
    }
    update.ranges.push_back({ { it.from(), it.to() }, it.server(), it.moving() });
  }
  const bool isNewer = mDirectory.Apply(update);
  if (isNewer) {
    mOnRangesChanged();
  }
  return isNewer;
}

void RangeRunner::OnRangeTableRequest(const std::string& aDaemon)
{
  if (mDirectory.HasRanges()) {
    mServices.mesh.Send(aDaemon, MakeTableMessage(mDirectory.AsSnapshot()));
  }
}

} // namespace hawthornlug
