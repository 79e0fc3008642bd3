#include "membership/refresh_schedule.h"

#include "config/news_budget.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// The pause after a call that succeeded is this multiple of the call's time.
constexpr int kPausePerCallTime = 4;
/// First pause after a call that failed, and the longest one.
constexpr Duration kMinBackoff = milliseconds(500);
constexpr Duration kMaxBackoff = seconds(4);

} // namespace

bool RefreshSchedule::IsDue(ObjectKind aKind, Instant aAsOf, unsigned aRank, Instant aNow) const
{
  const bool mayCall = mOpen == 0 || mBackoff == Duration::zero();
  return mayCall && aNow >= mRetryAt &&
         aNow - aAsOf >= CurrencyPatience(aKind) + RefreshDelay(aRank);
}

void RefreshSchedule::OnBegun()
{
  ++mOpen;
}

void RefreshSchedule::OnEnded(bool aDone, Duration aTime, Instant aNow)
{
  --mOpen;
  mBackoff = aDone ? Duration::zero() : std::clamp(2 * mBackoff, kMinBackoff, kMaxBackoff);
  const Duration pause = aDone ? std::min(kPausePerCallTime * aTime, kMaxBackoff) : mBackoff;
  mRetryAt = std::max(mRetryAt, aNow + pause);
}

} // namespace hawthornlug
