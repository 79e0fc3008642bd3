#include "placement/key_load.h"

#include <cmath>
#include <numbers>

namespace hawthornlug {

namespace {

/// Work below this many seconds a second is forgotten.
constexpr double kForgotten = 1e-3;

} // namespace

KeyLoad::KeyLoad(Duration aHalfLife)
  // A steady rate of r keeps a decayed sum of r times the half-life over ln 2.
  : mPerSecond(std::numbers::ln2 / InSeconds(aHalfLife))
  , mHalfLife(aHalfLife)
{
}

void KeyLoad::Add(RangeKey aKey, Duration aWork, Instant aNow)
{
  // Since the last Settle() nothing has been decayed: later work counts more instead.
  const double lead = InSeconds(aNow - mSettledAt) / InSeconds(mHalfLife);
  mWork[aKey] += InSeconds(aWork) * mPerSecond * std::exp2(std::min(lead, 10.0));
}

void KeyLoad::Settle(Instant aNow)
{
  const double factor = std::exp2(-InSeconds(aNow - mSettledAt) / InSeconds(mHalfLife));
  mSettledAt = aNow;
  for (auto it = mWork.begin(); it != mWork.end();) {
    it->second *= factor;
    it = it->second < kForgotten ? mWork.erase(it) : std::next(it);
  }
}

double KeyLoad::Of(const KeyRange& aKeys) const
{
  double work = 0.0;
  for (auto it = mWork.lower_bound(aKeys.from); it != mWork.end() && it->first <= aKeys.to; ++it) {
    work += it->second;
  }
  return work;
}

RangeKey KeyLoad::CutAt(const KeyRange& aKeys, double aWork) const
{
  double work = 0.0;
  for (auto it = mWork.lower_bound(aKeys.from); it != mWork.end() && it->first <= aKeys.to; ++it) {
    work += it->second;
    if (work >= aWork) {
      return it->first;
    }
  }
  return aKeys.to;
}

double KeyLoad::Total() const
{
  return Of({ 0, kLastKey });
}

} // namespace hawthornlug
