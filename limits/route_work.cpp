#include "limits/route_work.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Share of the target latency that a route's work is taken to be at first.
constexpr double kFirstGuess = 0.36;
/// The newest sample counts at least so much.
constexpr double kLeastWeight = 0.03;

} // namespace

Duration RouteWork::Of(const std::string& aRoute, Duration aTargetLatency) const
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end()) {
    return Scaled(aTargetLatency, kFirstGuess);
  }
  return Duration(static_cast<Duration::rep>(it->second.micros));
}

void RouteWork::OnServed(const std::string& aRoute, Duration aElapsed, double aPace)
{
  Learned& it = mRoutes[aRoute];
  const double sample = static_cast<double>(aElapsed.count()) / std::max(0.1, aPace);
  ++it.samples;
  const double weight = std::max(kLeastWeight, 1.0 / it.samples);
  it.micros += weight * (sample - it.micros);
}

} // namespace hawthornlug
