#include "ownership/range_granter.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kWriteRetryDelay = milliseconds(150);
constexpr Duration kCommandRetryDelay = milliseconds(250);
/// An owner whose grants have failed for longer than this should lose its keys.
constexpr Duration kUnresponsiveAfter = milliseconds(900);
/// How long an owner that must lose its keys is sent grants with the new leader's token, before its
/// earlier grants are left to expire.
constexpr Duration kFencingPeriod = milliseconds(1500);
/// How long a leader waits for the owners' confirmations before it writes its record to a restored
/// store: two grants that time out, and the pause between them.
constexpr Duration kConfirmationPeriod = milliseconds(1500);
constexpr Instant kNever{};

/// Record for a service that has none yet: all keys, divided evenly among @p aOwners.
RangeRecord InitialRecord(const std::vector<std::string>& aOwners,
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

FencingToken HighestToken(const RangeRecord& aRecord)
{
  FencingToken highest = 0;
  for (const OwnedRange& it : aRecord.ranges) {
    highest = std::max(highest, it.token);
  }
  return highest;
}

/// The leaders that may still grant keys once @p aSelf succeeds the leader of @p aRecord; those of
/// terms below @p aEndedBefore have ended.
std::vector<EarlierLeader> EarlierLeadersOf(const RangeRecord& aRecord,
                                            const DaemonRef& aSelf,
                                            std::uint64_t aEndedBefore)
{
  std::vector<EarlierLeader> leaders = aRecord.earlierLeaders;
  leaders.push_back({ aRecord.leader, aRecord.term });
  // An earlier process of this daemon has ended, and this one has resigned.
  std::erase_if(leaders, [&](const EarlierLeader& aLeader) {
    const bool isSelf =
      aLeader.daemon.id == aSelf.id && aLeader.daemon.incarnation <= aSelf.incarnation;
    return isSelf || aLeader.term < aEndedBefore;
  });
  return leaders;
}

} // namespace

RangeGranter::RangeGranter(DaemonRef aSelf, GrantTiming aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

Duration RangeGranter::MaxGrantLifetime() const
{
  return Scaled(mTiming.hold, 1.0 + mTiming.maxClockDrift) + mTiming.expiryMargin;
}

Duration RangeGranter::MaxEarlierGrantTime() const
{
  // A grant of the earlier leader's may be on its way.
  return RenewalLimit() + mTiming.grantTimeout + MaxGrantLifetime();
}

FencingToken RangeGranter::NextToken(const RangeRecord& aRecord) const
{
  const FencingToken next = aRecord.countsFrom + mRevision.Number() + 1;
  return std::max(next, HighestToken(aRecord) + 1);
}

RangeRecord RangeGranter::RecordToTakeOver(RangeRecord aRecord, std::uint64_t aEndedBefore)
{
  mEarlierLeaders = EarlierLeadersOf(aRecord, mSelf, aEndedBefore);
  if (aRecord.era && *aRecord.era != mRevision.Era()) {
    for (OwnedRange& it : aRecord.ranges) {
      it.uncertain = true;
    }
    aRecord.countsFrom = FirstNumberOf(mRevision.Era());
    mEarlierLeaders.push_back({ kUnknownLeader, FirstNumberOf(mRevision.Era()) });
  }
  aRecord.earlierLeaders = mEarlierLeaders;
  return aRecord;
}

void RangeGranter::TakeOver(const std::optional<StoredObject>& aCurrent,
                            const std::vector<std::string>& aOwners,
                            Instant aNow,
                            std::uint64_t aEndedBefore)
{
  if (mState != State::kIdle) {
    return;
  }
  RangeRecord record;
  mEra = mEra.value_or(aCurrent ? aCurrent->revision.Era() : 0);
  mRevision = StoreRevision(0, *mEra);
  mEarlierLeaders.clear();
  const bool mayBeLost = mHadEarlierEra || *mEra > kFirstStoreEra;
  mInherited = aCurrent || mayBeLost;
  if (aCurrent) {
    OnStoreEra(aCurrent->revision.Era(), aNow);
    const bool late = aCurrent->revision.Era() != mEra;
    if (late || !DecodeRangeRecord(aCurrent->value, record)) {
      return;
    }
    mRevision = aCurrent->revision;
    record = RecordToTakeOver(std::move(record), aEndedBefore);
  } else {
    record = InitialRecord(aOwners, mServers);
    if (mayBeLost) {
      record.era = mRevision.Era() - 1;
      record = RecordToTakeOver(std::move(record), 0);
    }
  }
  // Every range gets a higher token: a server that has accepted it refuses the earlier leader's
  // grants.
  const FencingToken token = NextToken(record);
  for (OwnedRange& it : record.ranges) {
    it.token = token;
  }
  record.leader = mSelf;
  record.term = std::max(record.term, record.countsFrom) + 1;
  record.era = mRevision.Era();
  record.writeNumber = ++mWriteNumber;
  mPendingWrite = std::move(record);
  mWriteSent = false;
  mWriteRetryAt = aNow;
  mLastTickAt = aNow;
  mState = State::kTakingOver;
}

void RangeGranter::Resign()
{
  mState = State::kIdle;
  mRanges.clear();
  mPendingCommands.clear();
  mPendingWrite.reset();
  mPublished.clear();
  mSnapshotPublished = false;
  mPublishedVersion = 0;
}

void RangeGranter::SetServers(std::map<std::string, GrantableServer> aServers)
{
  // The address of a server that is no longer registered is kept, because it may still hold keys.
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

void RangeGranter::OnEarlierLeaderStopped(const DaemonRef& aLeader, Instant aNow)
{
  const std::size_t n = std::erase_if(
    mEarlierLeaders, [&](const EarlierLeader& aEarlier) { return aEarlier.daemon == aLeader; });
  if (n > 0 && aLeader == kUnknownLeader) {
    // It may have sent a grant just before it stopped.
    mUnknownGrantsExpireAt = aNow + mTiming.grantTimeout + MaxGrantLifetime();
  }
  if (n > 0 && mEarlierLeaders.empty()) {
    mEarlierGrantsExpireAt =
      std::min(mEarlierGrantsExpireAt, std::max(aNow + MaxGrantLifetime(), mUnknownGrantsExpireAt));
  }
}

bool RangeGranter::MayGrant(const Range& aRange, Instant aNow) const
{
  const Duration unconfirmed = aNow - mLeadershipConfirmedAt;
  const bool isRenewal = aNow - aRange.acceptedAt < mTiming.hold;
  return unconfirmed <= (isRenewal ? mTiming.unconfirmedRenewalLimit : mTiming.maxConfirmationAge);
}

bool RangeGranter::HaveGrantsExpired(const Range& aRange, Instant aNow) const
{
  // An owner that has accepted this leader's token refuses earlier leaders.
  const bool earlierExpired = aRange.tokenAccepted || aNow >= mEarlierGrantsExpireAt;
  return earlierExpired && aNow >= aRange.grantsExpireAt && aRange.pendingGrants == 0;
}

bool RangeGranter::HasRestarted(const ServerRef& aOwner) const
{
  const auto it = mServers.find(aOwner.id);
  return it != mServers.end() && it->second.registered &&
         it->second.incarnation != aOwner.incarnation;
}

bool RangeGranter::IsOwnerUnresponsive(const Range& aRange, Instant aNow) const
{
  return aRange.grantsFailingSince != kNever &&
         aNow - aRange.grantsFailingSince > kUnresponsiveAfter;
}

bool RangeGranter::IsServed(const Range& aRange)
{
  return aRange.tokenAccepted || aRange.presumedServing;
}

bool RangeGranter::ShouldStay(const Range& aRange, Instant aNow) const
{
  const auto owner = mServers.find(aRange.owned.owner.id);
  const bool mayServe = owner != mServers.end() && owner->second.open &&
                        !HasRestarted(aRange.owned.owner) && !IsOwnerUnresponsive(aRange, aNow);
  return mayServe && IsServed(aRange) && aNow < aRange.unansweredExpireAt;
}

void RangeGranter::CancelMove(Range& aRange, Instant aNow)
{
  aRange.phase = RangePhase::kHeld;
  aRange.phaseSince = aNow;
  aRange.target.clear();
}

void RangeGranter::SplitAt(RangeKey aAt)
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

RangeGranter::Range* RangeGranter::SplitOff(const KeyRange& aKeys)
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
  SplitAt(aKeys.from);
  if (aKeys.to < kLastKey) {
    SplitAt(aKeys.to + 1);
  }
  return &mRanges.at(aKeys.from);
}

void RangeGranter::Move(const RangeMove& aMove, Instant aNow)
{
  const auto target = mServers.find(aMove.to);
  if (mState != State::kLeading || target == mServers.end() || !target->second.open) {
    return;
  }
  if (aNow - mLeadershipConfirmedAt > mTiming.maxConfirmationAge) {
    // Another daemon may be leader by now. A release command from this one could then only do harm:
    // the owner would lose the keys, but the write of a new owner would fail.
    return;
  }
  Range* const range = SplitOff(aMove.keys);
  if (range == nullptr || range->phase == RangePhase::kWriting || range->rebinds) {
    return;
  }
  const ServerRef to{ aMove.to, target->second.incarnation };
  const bool isHeld = range->phase == RangePhase::kHeld;
  if (isHeld && (range->owned.owner == to || ShouldStay(*range, aNow))) {
    return;
  }
  range->target = aMove.to;
  if (isHeld) {
    range->phase = RangePhase::kReleasing;
    range->phaseSince = aNow;
    range->retryAt = aNow;
    range->releaseSent = false;
    range->releaseAnswered = false;
    range->handover.clear();
    // The owner may have restarted unnoticed since it accepted this leader's token.
    range->needsFencing = true;
  }
}

void RangeGranter::SendGrant(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  const auto server = mServers.find(aRange.owned.owner.id);
  if (server == mServers.end()) {
    return;
  }
  ++aRange.pendingGrants;
  aRange.renewAt = aNow + mTiming.renewalInterval;
  GrantKeys action;
  action.order = mNextCommandId++;
  action.server = aRange.owned.owner.id;
  action.grant.address = server->second.address;
  action.grant.server = aRange.owned.owner;
  action.grant.range = aRange.owned.keys;
  action.grant.token = aRange.owned.token;
  action.grant.hold = mTiming.hold;
  action.grant.provesToken =
    !aRange.tokenAccepted || aRange.needsFencing || mState == State::kRestoring;
  if (!aRange.tokenAccepted) {
    action.grant.handover = aRange.handover;
  }
  mPendingCommands[action.order] = {
    aRange.owned.keys, action.server, aRange.owned.token, action.grant.provesToken, mEra.value_or(0)
  };
  aActions.emplace_back(std::move(action));
}

void RangeGranter::SetReleased(Range& aRange, OwnerEndProof aProof, Instant aNow)
{
  aRange.phase = RangePhase::kReleased;
  aRange.phaseSince = aNow;
  aRange.endProof = aProof;
}

void RangeGranter::Rebind(Range& aRange, Instant aNow)
{
  SetReleased(aRange, OwnerEndProof::kRestarted, aNow);
  aRange.rebinds = true;
  aRange.target = aRange.owned.owner.id;
  aRange.handover.clear();
}

void RangeGranter::TickHeld(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  if (aRange.owned.owner.id.empty()) {
    SetReleased(aRange, OwnerEndProof::kNone, aNow);
    return;
  }
  if (HasRestarted(aRange.owned.owner)) {
    if (mState == State::kLeading) {
      Rebind(aRange, aNow);
    }
    return;
  }
  if (MayGrant(aRange, aNow) && aRange.pendingGrants == 0 && aNow >= aRange.renewAt) {
    SendGrant(aRange, aNow, aActions);
  }
}

void RangeGranter::CountReleases()
{
  mSentReleases.clear();
  for (const auto& [from, range] : mRanges) {
    if (range.phase == RangePhase::kReleasing && range.releaseSent && !range.releaseAnswered) {
      ++mSentReleases[range.owned.owner.id];
    }
  }
}

void RangeGranter::SetUncertain(Range& aRange, Instant aNow)
{
  aRange.phase = RangePhase::kReleasing;
  aRange.phaseSince = aNow;
  aRange.owned.uncertain = true;
  aRange.target = aRange.owned.owner.id;
  aRange.handover.clear();
}

void RangeGranter::TickReleasing(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions)
{
  if (aRange.owned.uncertain) {
    if (aNow - aRange.phaseSince > mTiming.hold) {
      aRange.presumedServing = false;
      aRange.tokenAccepted = false;
    }
    const bool expired = aNow >= std::max(mEarlierGrantsExpireAt, aRange.grantsExpireAt);
    if (expired && aRange.pendingGrants == 0) {
      SetReleased(aRange, OwnerEndProof::kLapsed, aNow);
    }
    return;
  }
  if (HasRestarted(aRange.owned.owner)) {
    Rebind(aRange, aNow);
    return;
  }
  const bool released = aRange.releaseAnswered && aNow >= aRange.unansweredExpireAt;
  if (released || HaveGrantsExpired(aRange, aNow)) {
    SetReleased(aRange, released ? OwnerEndProof::kReleased : OwnerEndProof::kLapsed, aNow);
    return;
  }
  if (aRange.pendingGrants > 0 || aRange.releaseAnswered || aNow < aRange.retryAt) {
    return;
  }
  if (!aRange.releaseSent && ShouldStay(aRange, aNow)) {
    CancelMove(aRange, aNow);
    return;
  }
  const auto server = mServers.find(aRange.owned.owner.id);
  if (server == mServers.end()) {
    return;
  }
  if (aRange.needsFencing && aNow < mEarlierGrantsExpireAt) {
    // Until the owner has accepted this leader's token, an earlier leader could renew the keys that
    // it releases. Each grant that gets no answer postpones the expiry, so only a few are sent.
    if (aNow - aRange.phaseSince < kFencingPeriod && MayGrant(aRange, aNow)) {
      aRange.retryAt = aNow + kCommandRetryDelay;
      SendGrant(aRange, aNow, aActions);
    }
    return;
  }
  std::size_t& sent = mSentReleases[aRange.owned.owner.id];
  if (!aRange.releaseSent && sent >= mMaxReleases) {
    return;
  }
  sent += aRange.releaseSent ? 0 : 1;
  aRange.retryAt = aNow + mTiming.releaseTimeout + kCommandRetryDelay;
  aRange.releaseSent = true;
  ReleaseKeys action;
  action.order = mNextCommandId++;
  action.server = aRange.owned.owner.id;
  action.release = {
    server->second.address, aRange.owned.owner, aRange.owned.keys, aRange.owned.token
  };
  mPendingCommands[action.order] = { aRange.owned.keys, action.server, aRange.owned.token };
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
  if (mState == State::kRestoring) {
    PlanRestoringWrite(aNow);
  } else if (!mPendingWrite) {
    bool changes = false;
    RangeRecord record = mRecord;
    const FencingToken token = NextToken(mRecord);
    record.earlierLeaders =
      aNow < mEarlierGrantsExpireAt ? mEarlierLeaders : std::vector<EarlierLeader>();
    record.ranges.clear();
    for (auto& [from, range] : mRanges) {
      OwnedRange owned = range.owned;
      const auto target = mServers.find(range.target);
      const bool isGrantable = target != mServers.end() && (target->second.open || range.rebinds);
      if (range.phase == RangePhase::kReleased && isGrantable) {
        owned.owner = { range.target, target->second.incarnation };
        owned.token = token;
        owned.uncertain = false;
        range.phase = RangePhase::kWriting;
        changes = true;
      }
      record.ranges.push_back(std::move(owned));
    }
    if (!changes) {
      return;
    }
    if (mJoinsNeighbours) {
      ShareTokens(record);
    }
    record.writeNumber = ++mWriteNumber;
    mPendingWrite = std::move(record);
    mWriteSent = false;
    mWriteRetryAt = aNow;
  }
  if (!mPendingWrite || mWriteSent || aNow < mWriteRetryAt) {
    return;
  }
  mWriteSent = true;
  mWriteSentAt = aNow;
  aActions.emplace_back(WriteRecord{ mRevision, EncodeRangeRecord(*mPendingWrite) });
}

void RangeGranter::ShareTokens(RangeRecord& aRecord) const
{
  const FencingToken token = NextToken(mRecord);
  const auto share = [&](const OwnedRange& aMoved, OwnedRange& aNeighbour) {
    const auto range = mRanges.find(aNeighbour.keys.from);
    if (aMoved.token == token && aMoved.owner == aNeighbour.owner &&
        range->second.phase == RangePhase::kHeld && range->second.tokenAccepted) {
      aNeighbour.token = token;
    }
  };
  // From both sides, so that a whole row of neighbours joins.
  std::vector<OwnedRange>& ranges = aRecord.ranges;
  for (std::size_t n = 1; n < ranges.size(); ++n) {
    share(ranges[n - 1], ranges[n]);
  }
  for (std::size_t n = ranges.size(); n > 1; --n) {
    share(ranges[n - 1], ranges[n - 2]);
  }
}

void RangeGranter::SetToken(Range& aRange, FencingToken aToken, Instant aNow)
{
  // Grants with the earlier token count on: their expiry stays noted, and results that are still to
  // come will not be counted any more.
  if (aRange.pendingGrants > 0) {
    aRange.unansweredExpireAt = aNow + mTiming.grantTimeout + MaxGrantLifetime();
    aRange.grantsExpireAt = std::max(aRange.grantsExpireAt, aRange.unansweredExpireAt);
    aRange.pendingGrants = 0;
  }
  aRange.owned.token = aToken;
}

void RangeGranter::RaiseToken(Range& aRange, FencingToken aToken, Instant aNow)
{
  SetToken(aRange, aToken, aNow);
  aRange.tokenAccepted = false;
  aRange.presumedServing = true;
  aRange.handover.clear();
  aRange.renewAt = aNow;
}

std::vector<GranterAction> RangeGranter::Tick(Instant aNow)
{
  std::vector<GranterAction> actions;
  const Duration gap = aNow - mLastTickAt;
  mLastTickAt = aNow;
  if (mState == State::kIdle) {
    return actions;
  }
  if (gap > kMaxTickGap) {
    AddEvent({ GranterEvent::Type::kPaused, {}, mSelf.id, "", 0, "paused" });
    Resign();
    return actions;
  }
  if (mState == State::kLeading) {
    MergeRanges();
    CountReleases();
  }
  if (IsLeader()) {
    for (auto& [from, range] : mRanges) {
      TickRange(range, aNow, actions);
    }
  }
  PlanWrite(aNow, actions);
  return actions;
}

void RangeGranter::OnWritten(const StoreWrite& aWrite, Instant aNow)
{
  if (!mPendingWrite) {
    return;
  }
  mWriteSent = false;
  mWriteRetryAt = aNow + kWriteRetryDelay;
  if (aWrite.result == StoreResult::kDone && aWrite.object) {
    Commit(aWrite.object->revision, aNow);
    return;
  }
  if (aWrite.result != StoreResult::kConflict) {
    return;
  }
  if (!aWrite.object) {
    // The record that was to be replaced does not exist. The takeover starts anew from what the
    // store has.
    Resign();
    return;
  }
  if (mState == State::kRestoring && TakeOlderCopy(*aWrite.object)) {
    // A write of the earlier era was carried out late.
    mPendingWrite.reset();
    return;
  }
  RangeRecord stored;
  const bool isOwnWrite =
    DecodeRangeRecord(aWrite.object->value, stored) && stored.leader == mSelf &&
    stored.writeNumber == mPendingWrite->writeNumber && stored.era == mPendingWrite->era;
  if (isOwnWrite) {
    Commit(aWrite.object->revision, aNow);
    return;
  }
  AddEvent({ GranterEvent::Type::kSuperseded, {}, mSelf.id, stored.leader.id, 0, "record" });
  Resign();
}

void RangeGranter::ConfirmLeadership(Instant aAskedAt, Instant aNow)
{
  // An answer that is older, because this daemon was paused, does not show that it still leads.
  if (aNow - aAskedAt <= mTiming.maxConfirmationAge) {
    mLeadershipConfirmedAt = aNow;
  }
}

void RangeGranter::OnRecordUnchanged(Instant aAskedAt, Instant aNow)
{
  if (mState == State::kLeading) {
    ConfirmLeadership(aAskedAt, aNow);
  }
}

void RangeGranter::OnRecordRead(const StoredObject& aRecord, Instant aAskedAt, Instant aNow)
{
  OnStoreEra(aRecord.revision.Era(), aNow);
  if (!IsLeader() || aRecord.revision < mRevision) {
    return;
  }
  RangeRecord stored;
  const bool readable = DecodeRangeRecord(aRecord.value, stored) && !aRecord.removed;
  if (mState == State::kRestoring && TakeOlderCopy(aRecord)) {
    return;
  }
  const bool isOwn = readable && stored.leader == mSelf;
  if (isOwn && mState == State::kRestoring) {
    // This daemon's own write, whose outcome is still to be reported.
    return;
  }
  if (isOwn && stored.term == mRecord.term && stored.era == mRecord.era) {
    ConfirmLeadership(aAskedAt, aNow);
    return;
  }
  AddEvent({ GranterEvent::Type::kSuperseded, {}, mSelf.id, stored.leader.id, 0, "record" });
  Resign();
}

void RangeGranter::CommitTakeover(Instant aNow)
{
  mState = State::kLeading;
  const Duration longest =
    MaxEarlierGrantTime() - (mEarlierLeaders.empty() ? RenewalLimit() : Duration::zero());
  mEarlierGrantsExpireAt = mInherited ? aNow + longest : aNow;
  mRanges.clear();
  for (const OwnedRange& it : mRecord.ranges) {
    Range range;
    range.owned = it;
    range.presumedServing = mInherited;
    range.renewAt = aNow;
    range.phaseSince = aNow;
    range.grantsExpireAt = aNow;
    if (it.uncertain) {
      SetUncertain(range, aNow);
    }
    mRanges.emplace(it.keys.from, std::move(range));
  }
  AddEvent({ GranterEvent::Type::kTaken, {}, "", mSelf.id, mRecord.ranges.front().token, "" });
}

void RangeGranter::OnStoreEra(StoreEra aEra, Instant aNow)
{
  if (mEra && aEra <= *mEra) {
    return;
  }
  mHadEarlierEra = mEra.has_value();
  mEra = aEra;
  mEraKnownAt = aNow;
  mRestoredRecordKnown = false;
  if (!mHadEarlierEra) {
    return;
  }
  if (mState == State::kTakingOver) {
    Resign();
  } else if (IsLeader()) {
    BeginRestoring(aNow);
  }
}

void RangeGranter::BeginRestoring(Instant aNow)
{
  mState = State::kRestoring;
  mPendingWrite.reset();
  for (auto& [from, range] : mRanges) {
    range.confirmedInEra = false;
    if (range.owned.uncertain) {
      continue;
    }
    // A later leader may have read the new owner that was being written and granted it the keys,
    // and need not have told the earlier one. An owner that has restarted has forgotten the tokens
    // by which it would have refused.
    const bool canConfirm =
      range.phase != RangePhase::kWriting && !range.rebinds && !HasRestarted(range.owned.owner);
    if (!canConfirm) {
      SetUncertain(range, aNow);
      continue;
    }
    // A release or a lapse counts only together with the write of the next owner, which can't show
    // any more that no later leader has given the keys to another.
    CancelMove(range, aNow);
    range.releaseSent = false;
    range.releaseAnswered = false;
    range.rebinds = false;
    range.renewAt = aNow;
  }
}

bool RangeGranter::TakeOlderCopy(const StoredObject& aRecord)
{
  RangeRecord stored;
  if (aRecord.removed || aRecord.revision.Era() != mEra ||
      !DecodeRangeRecord(aRecord.value, stored) || stored.era == mEra) {
    return false;
  }
  mRestoredRecordKnown = true;
  mRestoredRevision = aRecord.revision;
  mRestoredTerm = stored.term;
  mRestoredToken = HighestToken(stored);
  return true;
}

void RangeGranter::OnRecordMissing(StoreEra aEra, Instant)
{
  if (mState == State::kRestoring && aEra == mEra) {
    mRestoredRecordKnown = true;
    mRestoredRevision = StoreRevision(0, aEra);
    mRestoredTerm = 0;
    mRestoredToken = 0;
  }
}

void RangeGranter::PlanRestoringWrite(Instant aNow)
{
  const bool allConfirmed = std::all_of(mRanges.begin(), mRanges.end(), [](const auto& aEntry) {
    return aEntry.second.confirmedInEra || aEntry.second.owned.uncertain;
  });
  const bool waited = aNow - mEraKnownAt >= kConfirmationPeriod;
  if (mPendingWrite || !mRestoredRecordKnown || !(allConfirmed || waited)) {
    return;
  }
  RangeRecord record = mRecord;
  record.ranges.clear();
  for (const auto& [from, range] : mRanges) {
    record.ranges.push_back(range.owned);
    record.ranges.back().uncertain = !range.confirmedInEra;
  }
  const StoreEra era = mRestoredRevision.Era();
  mRevision = mRestoredRevision;
  record.countsFrom = FirstNumberOf(era);
  const FencingToken token = std::max(NextToken(record), mRestoredToken + 1);
  for (OwnedRange& it : record.ranges) {
    it.token = token;
  }
  record.term = std::max({ record.term, mRestoredTerm, FirstNumberOf(era) }) + 1;
  record.era = era;
  record.earlierLeaders = mEarlierLeaders;
  record.earlierLeaders.push_back({ kUnknownLeader, FirstNumberOf(era) });
  record.writeNumber = ++mWriteNumber;
  mPendingWrite = std::move(record);
  mWriteSent = false;
  mWriteRetryAt = aNow;
}

void RangeGranter::CommitRestored(Instant aNow)
{
  mState = State::kLeading;
  mEarlierLeaders = mRecord.earlierLeaders;
  mEarlierGrantsExpireAt = aNow + MaxEarlierGrantTime();
  // The term has changed: the other daemons are told all ranges again.
  mPublished.clear();
  mSnapshotPublished = false;
  GranterEvent event;
  event.type = GranterEvent::Type::kRestored;
  event.to = mSelf.id;
  event.elapsed = aNow - mEraKnownAt;
  for (const OwnedRange& it : mRecord.ranges) {
    event.token = it.token;
    ++(it.uncertain ? event.uncertain : event.confirmed);
    Range& range = mRanges.at(it.keys.from);
    if (it.uncertain) {
      SetToken(range, it.token, aNow);
      SetUncertain(range, aNow);
    } else {
      RaiseToken(range, it.token, aNow);
    }
  }
  AddEvent(std::move(event));
}

void RangeGranter::Commit(StoreRevision aRevision, Instant aNow)
{
  mRevision = aRevision;
  mRecord = std::move(*mPendingWrite);
  mPendingWrite.reset();
  mLeadershipConfirmedAt = mWriteSentAt;
  if (mState == State::kTakingOver) {
    CommitTakeover(aNow);
    return;
  }
  if (mState == State::kRestoring) {
    CommitRestored(aNow);
    return;
  }
  for (const OwnedRange& it : mRecord.ranges) {
    const auto found = mRanges.find(it.keys.from);
    if (found == mRanges.end()) {
      continue;
    }
    Range& range = found->second;
    const bool isSame = range.owned.keys == it.keys && range.owned.owner == it.owner;
    if (range.phase == RangePhase::kHeld && isSame && range.owned.token < it.token) {
      RaiseToken(range, it.token, aNow);
    }
    if (range.phase != RangePhase::kWriting) {
      continue;
    }
    AddEvent({ GranterEvent::Type::kMoved,
               range.owned.keys,
               range.owned.owner.id,
               it.owner.id,
               it.token,
               std::string(NameOf(kOwnerEndProofNames, range.endProof)) });
    Range next;
    next.owned = it;
    next.handover = range.handover;
    next.renewAt = aNow;
    next.grantsExpireAt = aNow;
    next.phaseSince = aNow;
    next.movedAt = range.rebinds ? range.movedAt : aNow;
    if (range.rebinds) {
      // The incarnation that is there now may have accepted grants that were meant for the earlier
      // one, and has forgotten the tokens by which that one refused earlier leaders.
      next.grantsExpireAt = std::max(range.grantsExpireAt, range.unansweredExpireAt);
      next.unansweredExpireAt = range.unansweredExpireAt;
      if (range.pendingGrants > 0) {
        // Its result will not be counted any more.
        next.unansweredExpireAt = aNow + mTiming.grantTimeout + MaxGrantLifetime();
        next.grantsExpireAt = next.unansweredExpireAt;
      }
    }
    range = std::move(next);
  }
}

void RangeGranter::OnGranted(std::uint64_t aCommandId, CommandResult aResult, Instant aNow)
{
  const auto found = mPendingCommands.find(aCommandId);
  if (found == mPendingCommands.end()) {
    return;
  }
  const PendingCommand pending = found->second;
  mPendingCommands.erase(found);
  for (auto& [from, range] : mRanges) {
    if (!range.owned.keys.Overlaps(pending.keys) || range.owned.token != pending.token ||
        range.owned.owner.id != pending.server) {
      continue;
    }
    range.pendingGrants -= range.pendingGrants > 0 ? 1 : 0;
    switch (aResult) {
      case CommandResult::kDone:
        range.tokenAccepted = range.tokenAccepted || pending.provesToken;
        range.needsFencing = range.needsFencing && !pending.provesToken;
        range.confirmedInEra =
          range.confirmedInEra ||
          (pending.provesToken && pending.era == mEra && !HasRestarted(range.owned.owner));
        range.grantsFailingSince = kNever;
        range.acceptedAt = aNow;
        range.grantsExpireAt = std::max(range.grantsExpireAt, aNow + MaxGrantLifetime());
        continue;
      case CommandResult::kSuperseded:
        AddEvent(
          { GranterEvent::Type::kSuperseded, pending.keys, mSelf.id, "", pending.token, "server" });
        Resign();
        return;
      case CommandResult::kNoAnswer:
        range.unansweredExpireAt = aNow + MaxGrantLifetime();
        range.grantsExpireAt = std::max(range.grantsExpireAt, range.unansweredExpireAt);
        break;
      case CommandResult::kOtherServer:
      case CommandResult::kRejected:
      case CommandResult::kNotSent:
      case CommandResult::kConnectionRefused:
        break;
    }
    range.grantsFailingSince = range.grantsFailingSince == kNever ? aNow : range.grantsFailingSince;
    range.renewAt = aNow + kCommandRetryDelay;
  }
}

void RangeGranter::OnReleased(std::uint64_t aCommandId,
                              const CommandOutcome& aOutcome,
                              Instant aNow)
{
  const auto found = mPendingCommands.find(aCommandId);
  if (found == mPendingCommands.end()) {
    return;
  }
  const PendingCommand pending = found->second;
  mPendingCommands.erase(found);
  const auto it = mRanges.find(pending.keys.from);
  if (it == mRanges.end() || it->second.phase != RangePhase::kReleasing ||
      it->second.owned.token != pending.token || it->second.owned.keys != pending.keys) {
    return;
  }
  Range& range = it->second;
  if (aOutcome.result == CommandResult::kDone) {
    range.releaseAnswered = true;
    range.handover = aOutcome.handover;
    return;
  }
  // The owner may have restarted meanwhile, and has then forgotten the token.
  range.needsFencing = true;
  range.retryAt = aNow + kCommandRetryDelay;
}

void RangeGranter::MergeRanges()
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
      return aRange.phase == RangePhase::kHeld && aRange.tokenAccepted && aRange.pendingGrants == 0;
    };
    const bool sameGrant =
      left.owned.owner == right.owned.owner && left.owned.token == right.owned.token;
    if (!sameGrant || !isSettled(left) || !isSettled(right)) {
      it = next;
      continue;
    }
    left.owned.keys.to = right.owned.keys.to;
    left.renewAt = std::min(left.renewAt, right.renewAt);
    left.movedAt = std::max(left.movedAt, right.movedAt);
    left.grantsExpireAt = std::max(left.grantsExpireAt, right.grantsExpireAt);
    left.unansweredExpireAt = std::max(left.unansweredExpireAt, right.unansweredExpireAt);
    mRanges.erase(next);
  }
}

DirectoryRange RangeGranter::ToDirectoryRange(const Range& aRange) const
{
  // Until it is told to release the keys, the owner goes on serving them.
  const bool isHeld = aRange.phase == RangePhase::kHeld ||
                      (aRange.phase == RangePhase::kReleasing && !aRange.releaseSent &&
                       aRange.grantsFailingSince == kNever);
  return { aRange.owned.keys, aRange.owned.owner.id, !(isHeld && IsServed(aRange)) };
}

DirectoryUpdate RangeGranter::DirectorySnapshot() const
{
  DirectoryUpdate update;
  update.term = mRecord.term;
  update.version = mPublishedVersion;
  update.whole = true;
  for (const auto& [from, range] : mPublished) {
    update.ranges.push_back(range);
  }
  return update;
}

std::optional<DirectoryUpdate> RangeGranter::TakeUpdate()
{
  if (mState != State::kLeading) {
    return std::nullopt;
  }
  std::map<RangeKey, DirectoryRange> view;
  for (const auto& [from, range] : mRanges) {
    const DirectoryRange next = ToDirectoryRange(range);
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
  update.whole = !mSnapshotPublished;
  for (const auto& [from, range] : view) {
    const auto published = mPublished.find(from);
    if (update.whole || published == mPublished.end() || published->second != range) {
      update.ranges.push_back(range);
    }
  }
  if (update.ranges.empty()) {
    return std::nullopt;
  }
  mPublished = std::move(view);
  mSnapshotPublished = true;
  update.version = ++mPublishedVersion;
  return update;
}

std::vector<GranterEvent> RangeGranter::TakeEvents()
{
  std::vector<GranterEvent> events;
  events.swap(mEvents);
  return events;
}

} // namespace hawthornlug
