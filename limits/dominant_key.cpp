#include "limits/dominant_key.h"

#include <algorithm>
#include <cmath>

namespace hawthornlug {

namespace {

/// A request counts half as much after this time: long enough for a daemon that gets one
/// ninetieth of the fleet's requests to see several.
constexpr Duration kHalfLife = seconds(1);
/// A key dominates only after as many requests: fewer may follow each other by chance.
constexpr double kMinRequests = 3.0;
constexpr double kMajority = 0.5;

} // namespace

void DominantKey::Decay(Instant aNow)
{
  const double age = std::max(0.0, InSeconds(aNow - mUpdatedAt) / InSeconds(kHalfLife));
  const double factor = std::exp2(-age);
  mLead *= factor;
  mOfKey *= factor;
  mAll *= factor;
  mUpdatedAt = aNow;
}

void DominantKey::OnRequest(std::uint64_t aKey, Instant aNow)
{
  Decay(aNow);
  mAll += 1.0;
  if (aKey == mKey) {
    mLead += 1.0;
    mOfKey += 1.0;
    return;
  }
  mLead -= 1.0;
  if (mLead < 0.0) {
    mKey = aKey;
    mLead = 1.0;
    mOfKey = 1.0;
  }
}

bool DominantKey::Dominates(std::uint64_t aKey) const
{
  return aKey == mKey && mOfKey >= kMinRequests && mOfKey > kMajority * mAll;
}

} // namespace hawthornlug
