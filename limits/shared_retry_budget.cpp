#include "limits/shared_retry_budget.h"

#include <algorithm>

namespace hawthornlug {

SharedRetryBudget::Bucket& SharedRetryBudget::BucketAt(Instant aNow)
{
  const Duration width = std::max<Duration>(Duration(1), mAllowance.window / kBuckets);
  const std::int64_t index = aNow.time_since_epoch() / width;
  Bucket& bucket = mBuckets.at(static_cast<std::size_t>(index) % mBuckets.size());
  if (bucket.index != index) {
    bucket = { index, 0, 0 };
  }
  return bucket;
}

void SharedRetryBudget::OnRequest(Instant aNow)
{
  ++BucketAt(aNow).requests;
}

bool SharedRetryBudget::TakeRetry(Instant aNow, unsigned aDaemons)
{
  return TakeWithin(aNow, aDaemons, kRetryPart);
}

bool SharedRetryBudget::TakeHedge(Instant aNow, unsigned aDaemons)
{
  return TakeWithin(aNow, aDaemons, kHedgePart);
}

bool SharedRetryBudget::TakeWithin(Instant aNow, unsigned aDaemons, double aPart)
{
  Bucket& current = BucketAt(aNow);
  unsigned requests = 0;
  unsigned retries = 0;
  for (const Bucket& it : mBuckets) {
    if (it.index >= 0 && current.index - it.index < static_cast<std::int64_t>(mBuckets.size())) {
      requests += it.requests;
      retries += it.retries;
    }
  }
  const double allowed =
    aPart * (mAllowance.share * requests + mAllowance.slack / std::max(1U, aDaemons));
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

} // namespace hawthornlug
