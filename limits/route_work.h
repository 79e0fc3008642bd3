/// @file
/// How long requests of each route take on a server.
#pragma once

#include "core/instant.h"

#include <map>
#include <string>

namespace hawthornlug {

/// Learned service times, relative to a server of normal speed.
class RouteWork
{
public:
  /// Expected work of a request; until something is known, a share of the target latency.
  Duration Of(const std::string& aRoute, Duration aTargetLatency) const;
  /// A request took @p aElapsed on a server that did not make it wait and takes @p aPace times as
  /// long as one of normal speed.
  void OnServed(const std::string& aRoute, Duration aElapsed, double aPace);

private:
  struct Learned
  {
    double micros = 0.0;
    unsigned samples = 0;
  };

  std::map<std::string, Learned> mRoutes;
};

} // namespace hawthornlug
