#include "runtime/store_follower.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// How long a watch waits. One that went silent is noticed half a second later, so that others
/// watch in its place before a configuration must be in force.
constexpr Duration kWatchWait = milliseconds(1200);
/// The store is lost if it was not heard for so long.
constexpr Duration kLostAfter = milliseconds(3500);
/// Servers' entries may lapse in a silence of this length; a watch waits for less.
constexpr Duration kShortestOutage = milliseconds(2500);
/// So many calls in a row that fail show that the store does not serve this daemon.
constexpr unsigned kFailing = 2;
constexpr Duration kAgeWhenFailing = milliseconds(2400);
/// A daemon that watches is told apart from one that does not by an age above 0.
constexpr Duration kLeastAge = milliseconds(1);
constexpr Duration kRetry = milliseconds(150);
constexpr unsigned kMaxRetryFactor = 4;

} // namespace

StoreFollower::StoreFollower(ObjectStore& aStore,
                             ObjectMirror& aMirror,
                             TimerService& aTimers,
                             DecisionLog& aLog,
                             Changed aChanged)
  : mStore(aStore)
  , mMirror(aMirror)
  , mTimers(aTimers)
  , mLog(aLog)
  , mChanged(std::move(aChanged))
  , mHeardAt(aTimers.Now())
{
}

void StoreFollower::Follow(ObjectKind aKind)
{
  mFollowed.at(static_cast<std::size_t>(aKind)).active = true;
}

bool StoreFollower::IsFailing() const
{
  return mFailedInRow >= kFailing;
}

Duration StoreFollower::ToldAge(Instant aNow) const
{
  return std::max(Age(aNow), IsFailing() ? kAgeWhenFailing : kLeastAge);
}

bool StoreFollower::IsAble(Duration aToldAge)
{
  return aToldAge < kAgeWhenFailing;
}

bool StoreFollower::IsOutage(Duration aSilence)
{
  return aSilence >= kShortestOutage;
}

void StoreFollower::OnHeard(Instant aNow)
{
  mHeardAt = aNow;
  mFailedInRow = 0;
  if (mLost) {
    mLost = false;
    mLog.Write(EventId::kStoreBack, {});
  }
}

bool StoreFollower::IsDue(ObjectKind aKind, Instant aNow, bool aWatches) const
{
  const Followed& it = mFollowed.at(static_cast<std::size_t>(aKind));
  const bool wanted = aWatches || mMirror.At(aKind) == 0;
  return it.active && !it.busy && wanted && aNow >= it.nextAt;
}

void StoreFollower::Tick(Instant aNow, bool aWatches)
{
  if (aWatches && !mWatches) {
    // What was not heard while others watched is no outage.
    mHeardAt = aNow;
  }
  mWatches = aWatches;
  if (aWatches && !mLost && Age(aNow) > kLostAfter) {
    mLost = true;
    mLog.Write(EventId::kStoreLost, { { "silent-ms", Millis(Age(aNow)) } });
  }
  for (std::size_t n = 0; n < mFollowed.size(); ++n) {
    if (IsDue(static_cast<ObjectKind>(n), aNow, aWatches)) {
      Start(static_cast<ObjectKind>(n), aNow);
    }
  }
}

void StoreFollower::Start(ObjectKind aKind, Instant aNow)
{
  Followed& followed = mFollowed.at(static_cast<std::size_t>(aKind));
  followed.busy = true;
  followed.nextAt = aNow;
  const Version since = mMirror.At(aKind);
  if (followed.mustList || since == 0) {
    mStore.List(aKind, false, [this, aKind](const StoreReading& aReading) {
      OnReading(aKind, aReading, [&] { return mMirror.ApplyList(aKind, aReading); });
    });
    return;
  }
  mStore.Watch(aKind, since, kWatchWait, [this, aKind, since](const StoreReading& aReading) {
    OnReading(aKind, aReading, [&] { return mMirror.ApplyChanges(aKind, since, aReading); });
  });
}

void StoreFollower::OnFailure(Followed& aFollowed, StoreResult aResult)
{
  if (aResult == StoreResult::kHistoryGone) {
    aFollowed.mustList = true;
    OnHeard(mTimers.Now());
    return;
  }
  ++mFailedInRow;
  aFollowed.failures = std::min(aFollowed.failures + 1, kMaxRetryFactor);
  aFollowed.nextAt = mTimers.Now() + kRetry * aFollowed.failures;
}

void StoreFollower::OnReading(ObjectKind aKind,
                              const StoreReading& aReading,
                              const std::function<std::vector<StoredObject>()>& aApply)
{
  Followed& followed = mFollowed.at(static_cast<std::size_t>(aKind));
  followed.busy = false;
  if (aReading.result != StoreResult::kDone) {
    OnFailure(followed, aReading.result);
    return;
  }
  followed.failures = 0;
  // A list without a revision is of a kind that is not known to the store yet.
  followed.mustList = aReading.at == 0;
  OnHeard(mTimers.Now());
  if (followed.mustList) {
    followed.nextAt = mTimers.Now() + kRetry;
  }
  const std::vector<StoredObject> changes = aApply();
  if (!changes.empty()) {
    mChanged(aKind, changes);
  }
}

} // namespace hawthornlug
