#include "membership/refresh_schedule.h"

#include "config/news_budget.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// A call that takes longer counts as a sign that the store is overloaded.
constexpr Duration kSlowCall = milliseconds(100);
/// First pause after a call that failed or was slow, and the longest one.
constexpr Duration kMinBackoff = milliseconds(500);
constexpr Duration kMaxBackoff = seconds(4);

} // namespace

bool RefreshSchedule::IsDue(ObjectKind aKind, Instant aAsOf, unsigned aRank, Instant aNow) const
{
  return !mIsOpen && aNow >= mRetryAt &&
         aNow - aAsOf >= CurrencyPatience(aKind) + RefreshDelay(aRank);
}

void RefreshSchedule::OnBegun(Instant aNow)
{
  mIsOpen = true;
  mBegunAt = aNow;
}

void RefreshSchedule::OnEnded(bool aDone, Instant aNow)
{
  mIsOpen = false;
  if (aDone && aNow - mBegunAt < kSlowCall) {
    mBackoff = Duration::zero();
    return;
  }
  mBackoff = std::clamp(2 * mBackoff, kMinBackoff, kMaxBackoff);
  mRetryAt = aNow + mBackoff;
}

} // namespace hawthornlug
