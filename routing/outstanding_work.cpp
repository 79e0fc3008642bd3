#include "routing/outstanding_work.h"

#include <algorithm>

namespace hawthornlug {

std::uint64_t OutstandingWork::Add(RunningWork aWork, double aRelativeServiceTime, Instant aSentAt)
{
  mRequests[++mLastNumber] = { std::move(aWork), std::max(0.1, aRelativeServiceTime), aSentAt };
  return mLastNumber;
}

Duration OutstandingWork::Remaining(const WorkEstimator& aEstimates, Instant aNow) const
{
  Duration remaining = Duration::zero();
  for (const auto& [number, it] : mRequests) {
    const Duration elapsed = Scaled(aNow - it.sentAt, 1.0 / it.relativeServiceTime);
    remaining += aEstimates.RemainingOf(it.work.route, it.work.work, elapsed);
  }
  return remaining;
}

Duration TimeToFreeSlot(unsigned aOutstanding, unsigned aSlots, Duration aRemaining)
{
  const unsigned slots = std::max(1U, aSlots);
  if (aOutstanding < slots) {
    return Duration::zero();
  }
  // The first of n requests that run ends after about an n-th of their mean remaining time.
  const double mean = InSeconds(aRemaining) / aOutstanding;
  return FromSeconds(mean * (aOutstanding - slots + 1) / slots);
}

} // namespace hawthornlug
