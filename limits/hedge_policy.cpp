#include "limits/hedge_policy.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// The second attempt is given this many times the usual work.
constexpr double kSecondAttempt = 1.5;
/// The first attempt is left alone for this many times the usual work.
constexpr double kFirstAttempt = 1.1;

} // namespace

Instant HedgeTime(const RunningRequest& aRequest)
{
  const Instant lastMoment = aRequest.targetAt - Scaled(aRequest.work, kSecondAttempt);
  return std::max(lastMoment, aRequest.sentAt + Scaled(aRequest.work, kFirstAttempt));
}

} // namespace hawthornlug
