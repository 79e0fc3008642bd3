#include "ownership/range_granter.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kWriteRetry = milliseconds(150);
constexpr Duration kOrderRetry = milliseconds(250);
/// An owner that has not taken grants for so long should lose its keys.
constexpr Duration kSilentAfter = milliseconds(900);
/// How long an owner that must lose its keys is tried to be told of a new holder.
constexpr Duration kFenceFor = milliseconds(1500);
constexpr Instant kNever{};

RangeRecord FirstRecord(const std::vector<std::string>& aOwners,
                        const std::map<std::string, GrantableServer>& aServers)
{
  RangeRecord record;
  const std::uint64_t keys = static_cast<std::uint64_t>(kLastKey) + 1;
  const std::uint64_t n = std::max<std::size_t>(1, aOwners.size());
  for (std::uint64_t i = 0; i < n; ++i) {
    OwnedRange range;
    range.keys = { static_cast<RangeKey>(keys * i / n),
                   static_cast<RangeKey>(keys * (i + 1) / n - 1) };
    if (i < aOwners.size()) {
      const auto server = aServers.find(aOwners[i]);
      range.owner = { aOwners[i], server == aServers.end() ? 0 : server->second.incarnation };
    }
    record.ranges.push_back(std::move(range));
  }
  return record;
}

} // namespace

RangeGranter::RangeGranter(DaemonRef aSelf, GrantTiming aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

Duration RangeGranter::LongestHold() const
{
  return Scaled(mTiming.hold, 1.0 + mTiming.clockDrift) + mTiming.slack;
}

void RangeGranter::TakeOver(const std::optional<StoredObject>& aCurrent,
                            const std::vector<std::string>& aOwners,
                            Instant aNow)
{
  if (mState != State::kIdle) {
    return;
  }
  RangeRecord record;
  mRevision = 0;
  mEarlierMayGrant = false;
  if (aCurrent) {
    if (!DecodeRangeRecord(aCurrent->value, record)) {
      return;
    }
    mRevision = aCurrent->revision;
    mEarlierMayGrant = record.holder != mSelf;
  } else {
    record = FirstRecord(aOwners, mServers);
  }
  // A higher token for every range: the earlier holder is fenced off at each server that takes it.
  for (OwnedRange& it : record.ranges) {
    it.token = mRevision + 1;
  }
  record.holder = mSelf;
  ++record.term;
  record.writeNumber = ++mWriteNumber;
  mWriting = std::move(record);
  mWriteSent = false;
  mWriteRetryAt = aNow;
  mState = State::kTaking;
}

void RangeGranter::Resign()
{
  mState = State::kIdle;
  mRanges.clear();
  mPending.clear();
  mWriting.reset();
  mTold.clear();
  mToldWhole = false;
  mToldVersion = 0;
}

void RangeGranter::SetServers(std::map<std::string, GrantableServer> aServers)
{
  // A server that is not registered any more may still hold keys: its address is kept.
  for (auto& [id, server] : mServers) {
    const auto it = aServers.find(id);
    if (it == aServers.end()) {
      server.open = false;
      server.registered = false;
    } else {
      server = it->second;
    }
  }
  mServers.merge(aServers);
}

void RangeGranter::OnEarlierHolderStopped(Instant aNow)
{
  if (!mEarlierMayGrant) {
    return;
  }
  mEarlierMayGrant = false;
  for (auto& [from, range] : mRanges) {
    if (range.inherited && !range.confirmed) {
      range.lapseAt = std::min(range.lapseAt, aNow + LongestHold());
    }
  }
}

bool RangeGranter::IsGone(const ServerRef& aOwner) const
{
  const auto it = mServers.find(aOwner.id);
  return aOwner.id.empty() || (it != mServers.end() && it->second.registered &&
                               it->second.incarnation != aOwner.incarnation);
}

bool RangeGranter::IsOwnerSilent(const Range& aRange, Instant aNow) const
{
  return aRange.failingSince != kNever && aNow - aRange.failingSince > kSilentAfter;
}

void RangeGranter::Split(RangeKey aAt)
{
  auto it = mRanges.upper_bound(aAt);
  if (it == mRanges.begin()) {
    return;
  }
  --it;
  Range& range = it->second;
  if (range.owned.keys.from == aAt || !range.owned.keys.Contains(aAt)) {
    return;
  }
  Range upper = range;
  upper.owned.keys.from = aAt;
  range.owned.keys.to = aAt - 1;
  mRanges.emplace(aAt, std::move(upper));
}

RangeGranter::Range* RangeGranter::Cut(const KeyRange& aKeys)
{
  auto it = mRanges.upper_bound(aKeys.from);
  if (it == mRanges.begin()) {
    return nullptr;
  }
  --it;
  const KeyRange& keys = it->second.owned.keys;
  if (!keys.Contains(aKeys.from) || !keys.Contains(aKeys.to)) {
    return nullptr;
  }
  if (it->second.phase != RangePhase::kHeld && keys != aKeys) {
    return nullptr;
  }
  Split(aKeys.from);
  if (aKeys.to < kLastKey) {
    Split(aKeys.to + 1);
  }
  return &mRanges.at(aKeys.from);
}

void RangeGranter::Move(const RangeMove& aMove, Instant aNow)
{
  const auto target = mServers.find(aMove.to);
  if (mState != State::kHolding || target == mServers.end() || !target->second.open) {
    return;
  }
  if (aNow - mConfirmedAt > mTiming.confirmationLag) {
    // Another daemon may be the holder by now; a release of ours would only do harm.
    return;
  }
  Range* const range = Cut(aMove.keys);
  if (range == nullptr || range->phase == RangePhase::kWriting) {
    return;
  }
  const ServerRef to{ aMove.to, target->second.incarnation };
  if (range->phase == RangePhase::kHeld && range->owned.owner == to) {
    return;
  }
  range->target = aMove.to;
  if (range->phase == RangePhase::kHeld) {
    range->phase = RangePhase::kReleasing;
    range->phaseSince = aNow;
    range->retryAt = aNow;
    range->releaseAnswered = false;
    range->handover.clear();
  }
}

void RangeGranter::SendGrant(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  const auto server = mServers.find(aRange.owned.owner.id);
  if (server == mServers.end()) {
    return;
  }
  ++aRange.outstanding;
  aRange.renewAt = aNow + mTiming.renewal;
  GrantKeys action;
  action.order = mNextOrder++;
  action.server = aRange.owned.owner.id;
  action.grant.address = server->second.address;
  action.grant.server = aRange.owned.owner;
  action.grant.range = aRange.owned.keys;
  action.grant.token = aRange.owned.token;
  action.grant.hold = mTiming.hold;
  if (!aRange.confirmed) {
    action.grant.handover = aRange.handover;
  }
  mPending[action.order] = { aRange.owned.keys, action.server, aRange.owned.token };
  aActions.emplace_back(std::move(action));
}

void RangeGranter::TickHeld(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  if (aRange.ownerEnded || IsGone(aRange.owned.owner)) {
    // The run that owned the keys is over, and with it its grant.
    aRange.phase = RangePhase::kReleased;
    aRange.phaseSince = aNow;
    aRange.handover.clear();
    aRange.target = aRange.ownerEnded ? std::string() : aRange.owned.owner.id;
    return;
  }
  const bool blind = aNow - mConfirmedAt > mTiming.blindRenewal;
  if (!blind && aRange.outstanding == 0 && aNow >= aRange.renewAt) {
    SendGrant(aRange, aNow, aActions);
  }
}

void RangeGranter::TickReleasing(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  const bool gone = aRange.ownerEnded || IsGone(aRange.owned.owner);
  const bool lapsed = aNow >= aRange.lapseAt && aRange.outstanding == 0;
  const bool released = aRange.releaseAnswered && aNow >= aRange.unansweredUntil;
  if (gone || lapsed || released) {
    aRange.phase = RangePhase::kReleased;
    aRange.phaseSince = aNow;
    return;
  }
  if (aRange.outstanding > 0 || aRange.releaseAnswered || aNow < aRange.retryAt) {
    return;
  }
  const auto server = mServers.find(aRange.owned.owner.id);
  if (server == mServers.end()) {
    return;
  }
  if (aRange.inherited && !aRange.confirmed) {
    // Until the owner knows our token, an earlier holder could renew what it releases. Each try
    // that gets no answer puts the lapse off, so there are only a few.
    if (aNow - aRange.phaseSince < kFenceFor) {
      aRange.retryAt = aNow + kOrderRetry;
      SendGrant(aRange, aNow, aActions);
    }
    return;
  }
  aRange.retryAt = aNow + mTiming.releaseTimeout + kOrderRetry;
  ReleaseKeys action;
  action.order = mNextOrder++;
  action.server = aRange.owned.owner.id;
  action.release = {
    server->second.address, aRange.owned.owner, aRange.owned.keys, aRange.owned.token
  };
  mPending[action.order] = { aRange.owned.keys, action.server, aRange.owned.token };
  aActions.emplace_back(std::move(action));
}

void RangeGranter::TickRange(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  switch (aRange.phase) {
    case RangePhase::kHeld:
      TickHeld(aRange, aNow, aActions);
      break;
    case RangePhase::kReleasing:
      TickReleasing(aRange, aNow, aActions);
      break;
    case RangePhase::kReleased:
    case RangePhase::kWriting:
      break;
  }
}

void RangeGranter::PlanWrite(Instant aNow, std::vector<GranterAction>& aActions)
{
  if (!mWriting) {
    bool changes = false;
    RangeRecord record = mRecord;
    record.ranges.clear();
    for (auto& [from, range] : mRanges) {
      OwnedRange owned = range.owned;
      const auto target = mServers.find(range.target);
      if (range.phase == RangePhase::kReleased && target != mServers.end() && target->second.open) {
        owned.owner = { range.target, target->second.incarnation };
        owned.token = mRevision + 1;
        range.phase = RangePhase::kWriting;
        changes = true;
      }
      record.ranges.push_back(std::move(owned));
    }
    if (!changes) {
      return;
    }
    record.writeNumber = ++mWriteNumber;
    mWriting = std::move(record);
    mWriteSent = false;
    mWriteRetryAt = aNow;
  }
  if (mWriteSent || aNow < mWriteRetryAt) {
    return;
  }
  mWriteSent = true;
  aActions.emplace_back(WriteRecord{ mRevision, EncodeRangeRecord(*mWriting) });
}

std::vector<GranterAction> RangeGranter::Tick(Instant aNow)
{
  std::vector<GranterAction> actions;
  if (mState == State::kIdle) {
    return actions;
  }
  if (mState == State::kHolding) {
    Join();
    for (auto& [from, range] : mRanges) {
      TickRange(range, aNow, actions);
    }
  }
  PlanWrite(aNow, actions);
  return actions;
}

void RangeGranter::OnWritten(const StoreWrite& aWrite, Instant aNow)
{
  if (!mWriting) {
    return;
  }
  mWriteSent = false;
  mWriteRetryAt = aNow + kWriteRetry;
  if (aWrite.result == StoreResult::kDone && aWrite.object) {
    Commit(aWrite.object->revision, aNow);
    return;
  }
  if (aWrite.result != StoreResult::kConflict) {
    return;
  }
  if (!aWrite.object) {
    // The object that was to be replaced is not there: begin anew from what the store has.
    Resign();
    return;
  }
  RangeRecord stored;
  const bool ours = DecodeRangeRecord(aWrite.object->value, stored) && stored.holder == mSelf &&
                    stored.writeNumber == mWriting->writeNumber;
  if (ours) {
    Commit(aWrite.object->revision, aNow);
    return;
  }
  Note({ GranterNote::What::kSuperseded, {}, mSelf.id, stored.holder.id, 0, "record" });
  Resign();
}

void RangeGranter::OnRecordRead(const StoredObject& aRecord, Instant aNow)
{
  if (mState != State::kHolding || aRecord.revision < mRevision) {
    return;
  }
  RangeRecord stored;
  const bool readable = DecodeRangeRecord(aRecord.value, stored) && !aRecord.removed;
  if (readable && stored.holder == mSelf && stored.term == mRecord.term) {
    mConfirmedAt = aNow;
    return;
  }
  Note({ GranterNote::What::kSuperseded, {}, mSelf.id, stored.holder.id, 0, "record" });
  Resign();
}

void RangeGranter::CommitTakeover(Instant aNow)
{
  mState = State::kHolding;
  const bool inherited = mRecord.term > 1;
  const Duration blind =
    mEarlierMayGrant ? mTiming.blindRenewal + mTiming.confirmationLag : Duration::zero();
  mRanges.clear();
  for (const OwnedRange& it : mRecord.ranges) {
    Range range;
    range.owned = it;
    range.inherited = inherited;
    range.renewAt = aNow;
    range.phaseSince = aNow;
    range.lapseAt = inherited ? aNow + blind + LongestHold() : aNow;
    mRanges.emplace(it.keys.from, std::move(range));
  }
  Note({ GranterNote::What::kTaken, {}, "", mSelf.id, mRecord.ranges.front().token, "" });
}

void RangeGranter::Commit(Version aRevision, Instant aNow)
{
  mRevision = aRevision;
  mRecord = std::move(*mWriting);
  mWriting.reset();
  mConfirmedAt = aNow;
  if (mState == State::kTaking) {
    CommitTakeover(aNow);
    return;
  }
  for (const OwnedRange& it : mRecord.ranges) {
    const auto found = mRanges.find(it.keys.from);
    if (found == mRanges.end() || found->second.phase != RangePhase::kWriting) {
      continue;
    }
    Range& range = found->second;
    Note({ GranterNote::What::kMoved,
           range.owned.keys,
           range.owned.owner.id,
           it.owner.id,
           it.token,
           range.releaseAnswered ? "released" : "lapsed" });
    Range next;
    next.owned = it;
    next.handover = range.handover;
    next.renewAt = aNow;
    next.lapseAt = aNow;
    next.phaseSince = aNow;
    range = std::move(next);
  }
}

void RangeGranter::OnGranted(std::uint64_t aOrder, OrderResult aResult, Instant aNow)
{
  const auto found = mPending.find(aOrder);
  if (found == mPending.end()) {
    return;
  }
  const Pending pending = found->second;
  mPending.erase(found);
  for (auto& [from, range] : mRanges) {
    if (!range.owned.keys.Overlaps(pending.keys) || range.owned.token != pending.token ||
        range.owned.owner.id != pending.server) {
      continue;
    }
    range.outstanding -= range.outstanding > 0 ? 1 : 0;
    switch (aResult) {
      case OrderResult::kDone:
        range.confirmed = true;
        range.failingSince = kNever;
        range.lapseAt = std::max(range.inherited ? kNever : range.lapseAt, aNow + LongestHold());
        range.lapseAt = std::max(range.lapseAt, range.unansweredUntil);
        range.inherited = false;
        continue;
      case OrderResult::kSuperseded:
        Note(
          { GranterNote::What::kSuperseded, pending.keys, mSelf.id, "", pending.token, "server" });
        Resign();
        return;
      case OrderResult::kNoAnswer:
        range.unansweredUntil = aNow + LongestHold();
        range.lapseAt = std::max(range.lapseAt, range.unansweredUntil);
        break;
      case OrderResult::kOtherServer:
        range.ownerEnded = true;
        break;
      case OrderResult::kRejected:
      case OrderResult::kNotSent:
      case OrderResult::kRefusedPort:
        break;
    }
    range.failingSince = range.failingSince == kNever ? aNow : range.failingSince;
    range.renewAt = aNow + kOrderRetry;
  }
}

void RangeGranter::OnReleased(std::uint64_t aOrder, const OrderOutcome& aOutcome, Instant aNow)
{
  const auto found = mPending.find(aOrder);
  if (found == mPending.end()) {
    return;
  }
  const Pending pending = found->second;
  mPending.erase(found);
  const auto it = mRanges.find(pending.keys.from);
  if (it == mRanges.end() || it->second.phase != RangePhase::kReleasing ||
      it->second.owned.token != pending.token || it->second.owned.keys != pending.keys) {
    return;
  }
  Range& range = it->second;
  if (aOutcome.result == OrderResult::kDone) {
    range.releaseAnswered = true;
    range.handover = aOutcome.handover;
    return;
  }
  if (aOutcome.result == OrderResult::kOtherServer) {
    range.ownerEnded = true;
    return;
  }
  range.retryAt = aNow + kOrderRetry;
}

void RangeGranter::Join()
{
  auto it = mRanges.begin();
  while (it != mRanges.end()) {
    const auto next = std::next(it);
    if (next == mRanges.end()) {
      return;
    }
    Range& left = it->second;
    const Range& right = next->second;
    const auto isSettled = [](const Range& aRange) {
      return aRange.phase == RangePhase::kHeld && aRange.confirmed && aRange.outstanding == 0;
    };
    const bool same =
      left.owned.owner == right.owned.owner && left.owned.token == right.owned.token;
    if (!same || !isSettled(left) || !isSettled(right)) {
      it = next;
      continue;
    }
    left.owned.keys.to = right.owned.keys.to;
    left.renewAt = std::min(left.renewAt, right.renewAt);
    left.lapseAt = std::max(left.lapseAt, right.lapseAt);
    left.unansweredUntil = std::max(left.unansweredUntil, right.unansweredUntil);
    mRanges.erase(next);
  }
}

DirectoryRange RangeGranter::View(const Range& aRange) const
{
  const bool serves = aRange.phase == RangePhase::kHeld && (aRange.confirmed || aRange.inherited);
  return { aRange.owned.keys, aRange.owned.owner.id, !serves };
}

DirectoryUpdate RangeGranter::WholeDirectory() const
{
  DirectoryUpdate update;
  update.term = mRecord.term;
  update.version = mToldVersion;
  update.whole = true;
  for (const auto& [from, range] : mTold) {
    update.ranges.push_back(range);
  }
  return update;
}

std::optional<DirectoryUpdate> RangeGranter::TakeUpdate()
{
  if (mState != State::kHolding) {
    return std::nullopt;
  }
  std::map<RangeKey, DirectoryRange> view;
  for (const auto& [from, range] : mRanges) {
    const DirectoryRange next = View(range);
    if (!view.empty()) {
      DirectoryRange& last = view.rbegin()->second;
      if (last.server == next.server && last.moving == next.moving) {
        last.keys.to = next.keys.to;
        continue;
      }
    }
    view.emplace(from, next);
  }
  DirectoryUpdate update;
  update.term = mRecord.term;
  update.whole = !mToldWhole;
  for (const auto& [from, range] : view) {
    const auto told = mTold.find(from);
    if (update.whole || told == mTold.end() || told->second != range) {
      update.ranges.push_back(range);
    }
  }
  if (update.ranges.empty()) {
    return std::nullopt;
  }
  mTold = std::move(view);
  mToldWhole = true;
  update.version = ++mToldVersion;
  return update;
}

std::vector<GranterNote> RangeGranter::TakeNotes()
{
  std::vector<GranterNote> notes;
  notes.swap(mNotes);
  return notes;
}

} // namespace hawthornlug
