/// @file
/// Expected service time of each route.
#pragma once

#include "core/instant.h"

#include <map>
#include <string>

namespace hawthornlug {

/// Estimates the service time of each route on a server of normal speed from served requests.
class RouteWork
{
public:
  /// Expected service time of a request; a share of the target latency until one has been served.
  Duration Of(const std::string& aRoute, Duration aTargetLatency) const;
  /// Records that a request took @p aElapsed, without queueing, on a server that takes
  /// @p aRelativeServiceTime times as long as one of normal speed.
  void OnServed(const std::string& aRoute, Duration aElapsed, double aRelativeServiceTime);

private:
  struct Estimate
  {
    /// Moving average of the service time in microseconds.
    double micros = 0.0;
    unsigned samples = 0;
  };

  std::map<std::string, Estimate> mEstimates;
};

} // namespace hawthornlug
