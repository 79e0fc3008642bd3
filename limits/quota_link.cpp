#include "limits/quota_link.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// A report that has not been answered for this long counts as lost.
constexpr Duration kAnswerPatience = milliseconds(200);
constexpr Duration kTokenTime = milliseconds(500);

} // namespace

QuotaLink::QuotaLink(Duration aLendTime, std::uint64_t aFirstSequence)
  : mLendTime(aLendTime)
  , mSequence(aFirstSequence)
{
}

bool QuotaLink::Use(const std::string& aKeeper, Instant aNow)
{
  if (aKeeper == mKeeper) {
    return false;
  }
  mKeeper = aKeeper;
  if (mHasLent) {
    mLentElsewhereUntil = std::max(mLentElsewhereUntil, mLentUntil);
  }
  mHasLent = false;
  mLentUntil = aNow;
  mAnsweredAt = Instant();
  mAnswerable = false;
  mAnswered = true;
  return true;
}

bool QuotaLink::IsDue(Duration aInterval, Instant aNow) const
{
  return aNow - mReportedAt >= (mAnswered ? aInterval : std::max(aInterval, kAnswerPatience));
}

QuotaReportHead QuotaLink::Report(double aShare, Instant aNow)
{
  mReportedAt = aNow;
  mAnswerable = true;
  mAnswered = false;
  const double share = aNow < mLentElsewhereUntil ? 0.0 : aShare;
  mHasLent = mHasLent || share > 0.0;
  return { ++mSequence, share, mAnsweredAt };
}

bool QuotaLink::Accept(const std::string& aKeeper,
                       std::uint64_t aSequence,
                       Instant aKeeperClock,
                       Instant aNow)
{
  if (!mAnswerable || aKeeper != mKeeper || aSequence != mSequence) {
    return false;
  }
  mAnswered = true;
  mAnsweredAt = aKeeperClock;
  mLentUntil = aNow + mLendTime;
  return true;
}

Instant QuotaLink::TokensUntil() const
{
  return mReportedAt + kTokenTime;
}

} // namespace hawthornlug
