#include "limits/hedge_policy.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Time that the second attempt is given, as a multiple of the expected service time.
constexpr double kSecondAttemptTime = 1.5;
/// Time before which no second attempt is sent, as a multiple of the expected service time.
constexpr double kFirstAttemptTime = 1.1;

} // namespace

Instant HedgeTime(const RunningRequest& aRequest)
{
  const Instant lastMoment = aRequest.targetAt - Scaled(aRequest.work, kSecondAttemptTime);
  return std::max(lastMoment, aRequest.sentAt + Scaled(aRequest.work, kFirstAttemptTime));
}

} // namespace hawthornlug
