#include "runtime/range_runner.h"

#include "core/hashing.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kLoadHalfLife = milliseconds(2500);
constexpr Duration kPlanInterval = milliseconds(250);
constexpr Duration kReportInterval = milliseconds(300);
/// A daemon that was not run for so long may have been superseded meanwhile.
constexpr Duration kLongestGap = milliseconds(900);
/// A daemon that has just started hears the others before it grants anything.
constexpr Duration kListenFirst = milliseconds(1500);
/// All keys are given out for the first time only when the registry has been quiet for so long.
constexpr Duration kRegistryQuiet = milliseconds(1200);
/// How long nobody must have claimed the ranges, and more for each daemon that goes first.
constexpr Duration kUnclaimed = milliseconds(200);
constexpr Duration kRankDelay = milliseconds(700);
constexpr Duration kStoreFresh = milliseconds(3000);
constexpr Duration kTakeoverRetry = milliseconds(500);
/// How long a daemon that was superseded leaves the ranges to the other one.
constexpr Duration kAfterSuperseded = milliseconds(2500);
/// Beats that arrive later than this after a takeover were sent after it was known.
constexpr Duration kBeatsSettled = milliseconds(1200);
/// The holder reads so often that the record still names it.
constexpr Duration kRecordWatchWait = milliseconds(1500);
constexpr Duration kWatchRetry = milliseconds(300);
constexpr Duration kReadRetry = milliseconds(400);
constexpr Duration kAskInterval = milliseconds(300);

} // namespace

RangeRunner::RangeRunner(std::string aService,
                         const GrantTiming& aTiming,
                         RangeServices aServices,
                         std::function<void()> aChanged)
  : mService(std::move(aService))
  , mTiming(aTiming)
  , mServices(aServices)
  , mChanged(std::move(aChanged))
  , mGranter(aServices.mesh.Self(), aTiming)
  , mLoad(kLoadHalfLife)
  , mStartedAt(aServices.timers.Now())
  , mServersChangedAt(mStartedAt)
  , mClaimSeenAt(mStartedAt)
  , mTickedAt(mStartedAt)
{
}

void RangeRunner::Tick(Instant aNow, Duration aStoreAge, bool aLeaving)
{
  const Duration gap = aNow - mTickedAt;
  mTickedAt = aNow;
  if (!mGranter.IsIdle() && gap > kLongestGap) {
    // Nothing may be ordered on what was known before the gap.
    mServices.log.Write(
      EventId::kRangesSuperseded,
      { { "service", mService }, { "reason", "paused" }, { "gap-ms", Millis(gap) } });
    mGranter.Resign();
    mClaimSeenAt = aNow;
  }
  ReportWork(aNow);
  if (mGranter.IsIdle()) {
    ReadRecord(aNow);
    Elect(aNow, aStoreAge, aLeaving);
    return;
  }
  if (aLeaving && Claimant()) {
    mGranter.Resign();
    return;
  }
  FeedServers();
  WatchRecord(aNow);
  if (mGranter.IsHolder() && aNow - mPlannedAt >= kPlanInterval) {
    mPlannedAt = aNow;
    Plan(aNow);
  }
  Carry(mGranter.Tick(aNow));
  Publish();
  LogNotes();
}

std::optional<std::string> RangeRunner::Claimant() const
{
  std::optional<std::string> claimant;
  std::uint64_t term = 0;
  for (const MeshPeer* it : mServices.mesh.LivePeers()) {
    const auto claim = it->claims.find(mService);
    if (claim != it->claims.end() && claim->second > term && !it->leaving) {
      term = claim->second;
      claimant = it->ref.id;
    }
  }
  return term >= mGranter.Term() ? claimant : std::nullopt;
}

unsigned RangeRunner::Rank() const
{
  const std::uint64_t own = RendezvousWeight(mService, mServices.mesh.Self().id);
  unsigned rank = 0;
  for (const MeshPeer* it : mServices.mesh.LivePeers()) {
    const bool able = !it->leaving && it->storeAge < kStoreFresh;
    rank += able && RendezvousWeight(mService, it->ref.id) > own ? 1 : 0;
  }
  return rank;
}

std::vector<std::string> RangeRunner::OpenServers() const
{
  std::vector<std::string> ids;
  for (const ServerEntry& it : mServices.board.ServersOf(mService)) {
    if (mServices.board.IsOpen(it.id)) {
      ids.push_back(it.id);
    }
  }
  return ids;
}

void RangeRunner::Elect(Instant aNow, Duration aStoreAge, bool aLeaving)
{
  if (Claimant()) {
    mClaimSeenAt = aNow;
    return;
  }
  const bool ready = aNow - mStartedAt > kListenFirst && aNow > mTakeoverRetryAt;
  if (aLeaving || mListing || !ready || aStoreAge > kStoreFresh) {
    return;
  }
  if (aNow - mClaimSeenAt > kUnclaimed + kRankDelay * Rank()) {
    BeginTakeover();
  }
}

void RangeRunner::ReadRecord(Instant aNow)
{
  if (mDirectory.IsKnown() || mListing || aNow < mReadRetryAt) {
    return;
  }
  mListing = true;
  mReadRetryAt = aNow + kReadRetry;
  mServices.store.List(ObjectKind::kRanges, false, [this](const StoreReading& aReading) {
    mListing = false;
    const StoredObject* const object = FindRecord(aReading);
    RangeRecord record;
    if (object == nullptr || !DecodeRangeRecord(object->value, record)) {
      return;
    }
    // Servers may still hold their keys, whoever grants them.
    DirectoryUpdate update{ record.term, 0, true, {} };
    for (const OwnedRange& it : record.ranges) {
      update.ranges.push_back({ it.keys, it.owner.id, false });
    }
    if (mDirectory.Apply(update)) {
      mChanged();
    }
    const DaemonRef& self = mServices.mesh.Self();
    const bool ownEarlierRun =
      record.holder.id == self.id && record.holder.incarnation < self.incarnation;
    if (ownEarlierRun && mGranter.IsIdle() && !Claimant()) {
      TakeOver(*object, record.holder);
    }
  });
}

const StoredObject* RangeRunner::FindRecord(const StoreReading& aReading) const
{
  if (aReading.result != StoreResult::kDone) {
    return nullptr;
  }
  const auto it = std::find_if(
    aReading.objects.begin(), aReading.objects.end(), [this](const StoredObject& aObject) {
      return aObject.name == mService && !aObject.removed;
    });
  return it == aReading.objects.end() ? nullptr : &*it;
}

void RangeRunner::TakeOver(const StoredObject& aRecord, const DaemonRef& aHolder)
{
  FeedServers();
  mEarlier = aHolder;
  mGranter.TakeOver(aRecord, {}, mServices.timers.Now());
}

void RangeRunner::BeginTakeover()
{
  mListing = true;
  mServices.store.List(
    ObjectKind::kRanges, false, [this](const StoreReading& aReading) { OnRecordListed(aReading); });
}

void RangeRunner::OnRecordListed(const StoreReading& aReading)
{
  mListing = false;
  const Instant now = mServices.timers.Now();
  mTakeoverRetryAt = now + kTakeoverRetry;
  if (aReading.result != StoreResult::kDone || !mGranter.IsIdle() || Claimant()) {
    return;
  }
  if (const StoredObject* const it = FindRecord(aReading)) {
    RangeRecord record;
    if (!DecodeRangeRecord(it->value, record)) {
      mServices.log.Write(EventId::kObjectUnreadable,
                          { { "object", it->name }, { "reason", "range record" } });
    }
    TakeOver(*it, record.holder);
    return;
  }
  FeedServers();
  const std::vector<std::string> servers = OpenServers();
  if (servers.empty() || now - mServersChangedAt < kRegistryQuiet) {
    return;
  }
  mEarlier = DaemonRef();
  mGranter.TakeOver(std::nullopt, servers, now);
}

void RangeRunner::WatchRecord(Instant aNow)
{
  if (mWatching || !mGranter.IsHolder() || aNow < mWatchRetryAt) {
    return;
  }
  mWatching = true;
  mWatchedFrom = std::max(mWatchedFrom, mGranter.Revision());
  const auto done = [this](const StoreReading& aReading) { OnRecordWatched(aReading); };
  if (mRecordHistoryGone) {
    mServices.store.List(ObjectKind::kRanges, false, done);
  } else {
    mServices.store.Watch(ObjectKind::kRanges, mWatchedFrom, kRecordWatchWait, done);
  }
}

void RangeRunner::OnRecordWatched(const StoreReading& aReading)
{
  mWatching = false;
  const Instant now = mServices.timers.Now();
  mRecordHistoryGone = aReading.result == StoreResult::kHistoryGone;
  if (aReading.result != StoreResult::kDone) {
    mWatchRetryAt = now + kWatchRetry;
    return;
  }
  mWatchedFrom = std::max(mWatchedFrom, aReading.at);
  if (!mGranter.IsHolder()) {
    return;
  }
  bool seen = false;
  for (const StoredObject& it : aReading.objects) {
    if (it.name == mService) {
      seen = true;
      mGranter.OnRecordRead(it, now);
    }
  }
  if (!seen) {
    mGranter.OnRecordUnchanged(now);
  }
  LogNotes();
}

void RangeRunner::FeedServers()
{
  std::map<std::string, GrantableServer> servers;
  for (const ServerEntry& it : mServices.board.ServersOf(mService)) {
    servers[it.id] = { it.incarnation, it.address, true, mServices.board.IsOpen(it.id) };
  }
  mGranter.SetServers(std::move(servers));
  for (const MeshPeer* it : mServices.mesh.LivePeers()) {
    // A beat that it sent well after the takeover shows that it grants no more.
    const bool stopped =
      it->ref.id == mEarlier.id &&
      (it->ref.incarnation > mEarlier.incarnation ||
       (!it->claims.contains(mService) && it->heardAt > mTakenAt + kBeatsSettled));
    if (stopped && mGranter.IsHolder()) {
      mGranter.OnEarlierHolderStopped(mServices.timers.Now());
      mEarlier = DaemonRef();
      break;
    }
  }
  if (mEarlier.id == mServices.mesh.Self().id &&
      mEarlier.incarnation < mServices.mesh.Self().incarnation && mGranter.IsHolder()) {
    mGranter.OnEarlierHolderStopped(mServices.timers.Now());
    mEarlier = DaemonRef();
  }
}

void RangeRunner::Plan(Instant aNow)
{
  mLoad.Settle(aNow);
  std::vector<PlannedServer> servers;
  std::map<std::string, bool> silent;
  for (const auto& [from, range] : mGranter.Ranges()) {
    if (range.ownerEnded || mGranter.IsOwnerSilent(range, aNow)) {
      silent[range.owned.owner.id] = true;
    }
  }
  for (const ServerEntry& it : mServices.board.ServersOf(mService)) {
    PlannedServer server;
    server.id = it.id;
    server.capacity = it.slots / std::max(0.2, mServices.board.PaceOf(it.id, aNow));
    server.open = mServices.board.IsOpen(it.id) && !silent.contains(it.id) &&
                  !mServices.board.IsFailing(it.id, aNow);
    servers.push_back(server);
  }
  std::vector<PlannedRange> ranges;
  for (const auto& [from, range] : mGranter.Ranges()) {
    PlannedRange it;
    it.keys = range.owned.keys;
    it.owner = range.owned.owner.id;
    it.moving = range.phase != RangePhase::kHeld;
    const bool ownerOpen = mServices.board.IsOpen(it.owner) && !silent.contains(it.owner);
    if (it.moving) {
      it.target = range.target;
      const bool writing = range.phase == RangePhase::kWriting;
      it.mustMove = !writing && !mServices.board.IsOpen(range.target);
    } else {
      it.mustMove = !ownerOpen;
    }
    ranges.push_back(std::move(it));
  }
  for (const RangeMove& it : PlanRanges(ranges, servers, mLoad, {})) {
    mGranter.Move(it, aNow);
  }
}

void RangeRunner::Carry(const std::vector<GranterAction>& aActions)
{
  for (const GranterAction& it : aActions) {
    std::visit([this](const auto& aAction) { Carry(aAction); }, it);
  }
}

void RangeRunner::LogFailedOrder(const char* aOrder,
                                 const std::string& aServer,
                                 const KeyRange& aKeys,
                                 OrderResult aResult)
{
  if (aResult == OrderResult::kDone) {
    return;
  }
  mServices.log.Write(EventId::kOrderFailed,
                      { { "order", aOrder },
                        { "service", mService },
                        { "server", aServer },
                        { "from", aKeys.from },
                        { "to", aKeys.to },
                        { "result", NameOf(kOrderResultNames, aResult) } });
}

void RangeRunner::Carry(const GrantKeys& aAction)
{
  mServices.metrics.Count("grants_sent_total");
  mServices.backends.Grant(
    aAction.grant,
    mTiming.orderTimeout,
    [this, order = aAction.order, server = aAction.server, range = aAction.grant.range](
      const OrderOutcome& aOutcome) {
      LogFailedOrder("grant", server, range, aOutcome.result);
      mGranter.OnGranted(order, aOutcome.result, mServices.timers.Now());
      Publish();
      LogNotes();
    });
}

void RangeRunner::Carry(const ReleaseKeys& aAction)
{
  mServices.metrics.Count("releases_sent_total");
  mServices.backends.Release(
    aAction.release,
    mTiming.releaseTimeout,
    [this, order = aAction.order, server = aAction.server, range = aAction.release.range](
      const OrderOutcome& aOutcome) {
      LogFailedOrder("release", server, range, aOutcome.result);
      const Instant now = mServices.timers.Now();
      mGranter.OnReleased(order, aOutcome, now);
      Carry(mGranter.Tick(now));
    });
}

void RangeRunner::Carry(const WriteRecord& aAction)
{
  mServices.store.Write(ObjectKind::kRanges,
                        mService,
                        aAction.expected,
                        aAction.value,
                        [this](const StoreWrite& aWrite) {
                          const Instant now = mServices.timers.Now();
                          mGranter.OnWritten(aWrite, now);
                          Carry(mGranter.Tick(now));
                          Publish();
                          LogNotes();
                        });
}

wire::Envelope RangeRunner::TableMessage(const DirectoryUpdate& aUpdate) const
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
  const std::optional<DirectoryUpdate> update = mGranter.TakeUpdate();
  if (!update) {
    return;
  }
  mDirectory.Apply(*update);
  mServices.mesh.Broadcast(TableMessage(*update), Mesh::Audience::kAll);
  mChanged();
}

void RangeRunner::LogNotes()
{
  for (const GranterNote& it : mGranter.TakeNotes()) {
    EventId id = EventId::kRangeMoved;
    if (it.what == GranterNote::What::kTaken) {
      id = EventId::kRangesTaken;
      mTakenAt = mServices.timers.Now();
      mServices.mesh.BeatNow();
    } else if (it.what == GranterNote::What::kSuperseded) {
      id = EventId::kRangesSuperseded;
      // Whoever has the ranges lives, also if it is not heard yet.
      mTakeoverRetryAt = mServices.timers.Now() + kAfterSuperseded;
    }
    mServices.log.Write(id,
                        { { "service", mService },
                          { "from", it.keys.from },
                          { "to", it.keys.to },
                          { "old", it.from },
                          { "new", it.to },
                          { "token", it.token },
                          { "reason", it.reason } });
  }
}

void RangeRunner::NoteWork(RangeKey aKey, Duration aWork)
{
  mUnreported[aKey] += aWork;
}

void RangeRunner::ReportWork(Instant aNow)
{
  if (mUnreported.empty() || aNow - mReportedAt < kReportInterval) {
    return;
  }
  mReportedAt = aNow;
  std::map<RangeKey, Duration> work;
  work.swap(mUnreported);
  if (mGranter.IsHolder()) {
    for (const auto& [key, it] : work) {
      mLoad.Add(key, it, aNow);
    }
    return;
  }
  const auto claimant = Claimant();
  if (!claimant) {
    return;
  }
  wire::Envelope message;
  wire::KeyWork* const report = message.mutable_key_work();
  report->set_service(mService);
  for (const auto& [key, it] : work) {
    report->add_keys(key);
    report->add_work_ms(static_cast<std::uint32_t>(Millis(it)));
  }
  mServices.mesh.Send(*claimant, std::move(message));
}

void RangeRunner::OnKeyWork(const wire::KeyWork& aWork)
{
  const Instant now = mServices.timers.Now();
  for (int n = 0; n < std::min(aWork.keys_size(), aWork.work_ms_size()); ++n) {
    mLoad.Add(aWork.keys(n), milliseconds(aWork.work_ms(n)), now);
  }
}

void RangeRunner::OnBeat(const MeshPeer& aPeer, const wire::RouterBeat& aBeat)
{
  const Instant now = mServices.timers.Now();
  for (const wire::RangeClaim& it : aBeat.tables()) {
    const bool newer =
      it.service() == mService && std::make_pair(it.term(), it.version()) >
                                    std::make_pair(mDirectory.Term(), mDirectory.Version());
    if (newer && now - mAskedAt > kAskInterval) {
      mAskedAt = now;
      wire::Envelope question;
      question.mutable_range_table_question()->set_service(mService);
      mServices.mesh.Send(aPeer.ref.id, std::move(question));
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

void RangeRunner::OnTable(const wire::RangeTable& aTable)
{
  DirectoryUpdate update;
  update.term = aTable.term();
  update.version = aTable.version();
  update.whole = aTable.whole();
  for (const wire::RangeTable::Range& it : aTable.ranges()) {
    update.ranges.push_back({ { it.from(), it.to() }, it.server(), it.moving() });
  }
  if (mDirectory.Apply(update)) {
    mChanged();
  }
}

void RangeRunner::OnTableQuestion(const std::string& aDaemon)
{
  if (mDirectory.Version() > 0) {
    mServices.mesh.Send(aDaemon, TableMessage(mDirectory.Whole()));
  }
}

} // namespace hawthornlug
