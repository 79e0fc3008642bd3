#include "limits/retry_budget.h"

#include <algorithm>

namespace hawthornlug {

void RetryBudget::OnRequest()
{
  mCredit = std::min(kMaxCredit, mCredit + kCreditPerRequest);
}

bool RetryBudget::TakeRetry(Instant aNow)
{
  const double elapsed = std::chrono::duration<double>(aNow - mRefilledAt).count();
  mRefilledAt = aNow;
  mCredit = std::min(kMaxCredit, mCredit + std::max(elapsed, 0.0) * kCreditPerSecond);
  if (mCredit < 1.0) {
    return false;
  }
  mCredit -= 1.0;
  return true;
}

} // namespace hawthornlug
