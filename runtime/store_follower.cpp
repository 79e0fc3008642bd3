#include "runtime/store_follower.h"

#include "config/news_budget.h"

#include <algorithm>
#include <utility>

namespace hawthornlug {

namespace {

/// The store counts as lost if it has not answered for this long.
constexpr Duration kLostAfter = milliseconds(3500);
/// Servers' registry entries may expire if the store does not answer for this long; longer than a
/// watch's timeout.
constexpr Duration kMinOutage = milliseconds(2500);
/// After this many consecutive failed calls the store counts as not serving this daemon.
constexpr unsigned kMinFailures = 2;
/// Smallest age that is reported while calls fail.
constexpr Duration kMinAgeWhenFailing = milliseconds(2400);
/// Smallest reported age of a daemon that watches the store; 0 means that it does not watch.
constexpr Duration kMinReportedAge = milliseconds(1);
constexpr Duration kRetryDelay = milliseconds(150);
/// Shortest wait of a watch: it returns what has changed already.
constexpr Duration kNoWait = milliseconds(1);
/// A list that has a gap may take many pages, and probably has it again.
constexpr Duration kGapRetryDelay = seconds(1);
constexpr unsigned kMaxRetryFactor = 4;

} // namespace

StoreFollower::StoreFollower(ObjectStore& aStore,
                             ObjectMirror& aMirror,
                             TimerService& aTimers,
                             DecisionLog& aLog,
                             Changed aChanged,
                             Current aCurrent)
  : mStore(aStore)
  , mMirror(aMirror)
  , mTimers(aTimers)
  , mLog(aLog)
  , mOnChanged(std::move(aChanged))
  , mOnCurrent(std::move(aCurrent))
  , mAnsweredAt(aTimers.Now())
{
}

void StoreFollower::Follow(ObjectKind aKind)
{
  mFollowed.at(static_cast<std::size_t>(aKind)).active = true;
}

bool StoreFollower::HasListed(ObjectKind aKind) const
{
  return mFollowed.at(static_cast<std::size_t>(aKind)).listed;
}

bool StoreFollower::IsFailing() const
{
  return mFailedInRow >= kMinFailures;
}

Duration StoreFollower::ReportedAge(Instant aNow) const
{
  return std::max(Age(aNow), IsFailing() ? kMinAgeWhenFailing : kMinReportedAge);
}

bool StoreFollower::IsReliable(Duration aReportedAge)
{
  return aReportedAge < kMinAgeWhenFailing;
}

bool StoreFollower::IsOutage(Duration aAge)
{
  return aAge >= kMinOutage;
}

void StoreFollower::OnAnswered(Instant aNow)
{
  mAnsweredAt = aNow;
  mFailedInRow = 0;
  if (mLost) {
    mLost = false;
    mLog.Write(EventId::kStoreBack, {});
  }
}

bool StoreFollower::IsDue(ObjectKind aKind, Instant aNow, Reading aReading) const
{
  const Followed& it = mFollowed.at(static_cast<std::size_t>(aKind));
  const bool missing = aReading == Reading::kMissing && mMirror.At(aKind).IsNone();
  const bool watches = aReading == Reading::kWatching || aReading == Reading::kWatchingClosely;
  const bool wanted = watches || missing || it.wanted;
  return it.active && !it.busy && wanted && aNow >= it.nextAt;
}

void StoreFollower::ReadOnce(ObjectKind aKind)
{
  mFollowed.at(static_cast<std::size_t>(aKind)).wanted = true;
}

void StoreFollower::Tick(Instant aNow, Reading aReading)
{
  mWatchesClosely = aReading == Reading::kWatchingClosely;
  const bool watches = aReading == Reading::kWatching || mWatchesClosely;
  if (watches && !mWatches) {
    // The time in which other daemons watched instead of this one is no outage.
    mAnsweredAt = aNow;
  }
  mWatches = watches;
  if (watches && !mLost && Age(aNow) > kLostAfter) {
    mLost = true;
    mLog.Write(EventId::kStoreLost, { { "silent-ms", Millis(Age(aNow)) } });
  }
  for (std::size_t n = 0; n < mFollowed.size(); ++n) {
    if (IsDue(static_cast<ObjectKind>(n), aNow, aReading)) {
      Start(static_cast<ObjectKind>(n), aNow);
    }
  }
}

bool StoreFollower::Refresh(ObjectKind aKind, RefreshDone aDone)
{
  Followed& followed = mFollowed.at(static_cast<std::size_t>(aKind));
  if (followed.busy || !followed.active) {
    return false;
  }
  followed.refreshDone = std::move(aDone);
  Call(aKind, kNoWait, mTimers.Now());
  return true;
}

bool StoreFollower::IsRefresh(ObjectKind aKind) const
{
  return mFollowed.at(static_cast<std::size_t>(aKind)).refreshDone != nullptr;
}

Duration StoreFollower::WaitOf(ObjectKind aKind, Instant aNow) const
{
  if (aKind == ObjectKind::kDomainOut) {
    return kDomainWatchWait;
  }
  if (!mWatchesClosely) {
    return kWatchWait;
  }
  const Duration wait = CloseWatchWait(aKind);
  return std::max(kNoWait, wait - aNow.time_since_epoch() % wait);
}

void StoreFollower::Start(ObjectKind aKind, Instant aNow)
{
  Call(aKind, WaitOf(aKind, aNow), aNow);
}

void StoreFollower::Call(ObjectKind aKind, Duration aWait, Instant aNow)
{
  Followed& followed = mFollowed.at(static_cast<std::size_t>(aKind));
  followed.busy = true;
  followed.nextAt = aNow;
  followed.startedAt = aNow;
  followed.wait = Duration::zero();
  const StoreRevision since = mMirror.At(aKind);
  if (followed.mustList || followed.wanted || since.IsNone()) {
    followed.wanted = false;
    mStore.List(aKind, false, [this, aKind](const StoreReading& aReading) {
      OnReading(aKind, aReading, [&] { return mMirror.ApplyList(aKind, aReading); });
    });
    return;
  }
  followed.wait = aWait;
  mStore.Watch(aKind, since, aWait, [this, aKind, since](const StoreReading& aReading) {
    OnReading(aKind, aReading, [&] { return mMirror.ApplyChanges(aKind, since, aReading); });
  });
}

void StoreFollower::OnFailure(Followed& aFollowed, StoreResult aResult)
{
  if (aResult == StoreResult::kHistoryGone) {
    aFollowed.mustList = true;
    OnAnswered(mTimers.Now());
    return;
  }
  const bool hasGap = aResult == StoreResult::kIncomplete;
  if (hasGap) {
    OnAnswered(mTimers.Now());
  } else {
    ++mFailedInRow;
  }
  // Changes can't be watched from a list that has a gap, and those that can't be parsed would be
  // received once more.
  aFollowed.mustList = aFollowed.mustList || hasGap || aResult == StoreResult::kMalformed;
  aFollowed.failures = std::min(aFollowed.failures + 1, kMaxRetryFactor);
  aFollowed.nextAt = mTimers.Now() + (hasGap ? kGapRetryDelay : kRetryDelay) * aFollowed.failures;
}

void StoreFollower::ApplyPart(ObjectKind aKind, const StoreReading& aReading)
{
  const std::vector<StoredObject> changes = mMirror.ApplyPart(aKind, aReading);
  if (!changes.empty()) {
    mOnChanged(aKind, changes);
  }
}

void StoreFollower::OnReading(ObjectKind aKind,
                              const StoreReading& aReading,
                              const std::function<std::vector<StoredObject>()>& aApply)
{
  Followed& followed = mFollowed.at(static_cast<std::size_t>(aKind));
  followed.busy = false;
  const bool done = aReading.result == StoreResult::kDone;
  const bool wasWatch = followed.wait > Duration::zero();
  if (aReading.result == StoreResult::kHistoryGone && IsRefresh(aKind) && wasWatch) {
    followed.mustList = true;
    Call(aKind, kNoWait, mTimers.Now());
    return;
  }
  if (done) {
    OnDone(aKind, aReading, aApply());
  } else {
    OnFailure(followed, aReading.result);
    if (aReading.result == StoreResult::kIncomplete) {
      ApplyPart(aKind, aReading);
    }
  }
  if (followed.refreshDone) {
    std::exchange(followed.refreshDone, nullptr)(done);
  }
}

void StoreFollower::OnDone(ObjectKind aKind,
                           const StoreReading& aReading,
                           const std::vector<StoredObject>& aChanges)
{
  Followed& followed = mFollowed.at(static_cast<std::size_t>(aKind));
  const Instant now = mTimers.Now();
  followed.failures = 0;
  followed.listed = true;
  // A list with revision 0 is of a kind that the store does not know yet: it is listed again.
  followed.mustList = aReading.at.IsNone();
  OnAnswered(now);
  if (followed.mustList) {
    followed.nextAt = now + kRetryDelay;
  }
  if (!aChanges.empty()) {
    if (aKind == ObjectKind::kServer) {
      const Duration pause = mWatchesClosely ? kCloseServersPause : kServersPause;
      followed.nextAt = std::max(followed.nextAt, now + pause);
    }
    mOnChanged(aKind, aChanges);
  }
  // A watch without a change has seen its wait pass.
  const Duration waited = aReading.objects.empty() ? followed.wait : Duration::zero();
  mOnCurrent(aKind, std::min(now, followed.startedAt + waited));
}

} // namespace hawthornlug
