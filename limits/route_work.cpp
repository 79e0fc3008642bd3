#include "limits/route_work.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Assumed service time of a route before its first sample, as a share of the target latency.
constexpr double kInitialShare = 0.36;
/// Smallest weight of the newest sample in the average.
constexpr double kMinSampleWeight = 0.03;

} // namespace

Duration RouteWork::Of(const std::string& aRoute, Duration aTargetLatency) const
{
  const auto it = mEstimates.find(aRoute);
  if (it == mEstimates.end()) {
    return Scaled(aTargetLatency, kInitialShare);
  }
  return Duration(static_cast<Duration::rep>(it->second.micros));
}

void RouteWork::OnServed(const std::string& aRoute, Duration aElapsed, double aRelativeServiceTime)
{
  Estimate& estimate = mEstimates[aRoute];
  const double sample = static_cast<double>(aElapsed.count()) / std::max(0.1, aRelativeServiceTime);
  ++estimate.samples;
  const double weight = std::max(kMinSampleWeight, 1.0 / estimate.samples);
  estimate.micros += weight * (sample - estimate.micros);
}

} // namespace hawthornlug
