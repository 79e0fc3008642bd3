#include "placement/key_load.h"

#include <cmath>
#include <numbers>

namespace hawthornlug {

namespace {

/// Keys with less work than this, in seconds of server time per second, are dropped.
constexpr double kMinWork = 1e-3;
/// Limits the weight of new work if the last decay was long ago or there was none yet; in
/// half-lives.
constexpr double kMaxLead = 10.0;

} // namespace

KeyLoad::KeyLoad(Duration aHalfLife)
  // Work that arrives at a steady rate r has a decayed sum of r times the half-life over ln 2; this
  // factor turns the sum back into the rate.
  : mSumToRate(std::numbers::ln2 / InSeconds(aHalfLife))
  , mHalfLife(aHalfLife)
{
}

void KeyLoad::Add(RangeKey aKey, Duration aWork, Instant aNow)
{
  // All sums are as of the last Settle(): work that comes later is weighted higher instead.
  const double lead = InSeconds(aNow - mDecayedAt) / InSeconds(mHalfLife);
  mWorkByKey[aKey] += InSeconds(aWork) * mSumToRate * std::exp2(std::min(lead, kMaxLead));
}

void KeyLoad::Decay(Instant aNow)
{
  const double factor = std::exp2(-InSeconds(aNow - mDecayedAt) / InSeconds(mHalfLife));
  mDecayedAt = aNow;
  for (auto it = mWorkByKey.begin(); it != mWorkByKey.end();) {
    it->second *= factor;
    it = it->second < kMinWork ? mWorkByKey.erase(it) : std::next(it);
  }
}

double KeyLoad::WorkIn(const KeyRange& aKeys) const
{
  double work = 0.0;
  for (auto it = mWorkByKey.lower_bound(aKeys.from);
       it != mWorkByKey.end() && it->first <= aKeys.to;
       ++it) {
    work += it->second;
  }
  return work;
}

RangeKey KeyLoad::SplitAfter(const KeyRange& aKeys, double aWork) const
{
  double work = 0.0;
  for (auto it = mWorkByKey.lower_bound(aKeys.from);
       it != mWorkByKey.end() && it->first <= aKeys.to;
       ++it) {
    work += it->second;
    if (work >= aWork) {
      return it->first;
    }
  }
  return aKeys.to;
}

double KeyLoad::TotalWork() const
{
  return WorkIn({ 0, kLastKey });
}

} // namespace hawthornlug
