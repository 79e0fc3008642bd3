/// @file
/// Finds the busiest key of each server, and the utilisation that the others can share evenly.
#pragma once

#include "ownership/key_range.h"

#include <optional>
#include <vector>

namespace hawthornlug {

/// What one server can do and has to do, in seconds of server time per second.
struct ServerWork
{
  double capacity = 1.0;
  double work = 0.0;
  /// The busiest of the keys that it holds, and that key's work. Keys can't be divided, so moves
  /// can't bring the server's work below this.
  std::optional<RangeKey> busiestKey;
  double busiestWork = 0.0;

  double Utilisation() const { return work / capacity; }
  double BusiestUtilisation() const { return busiestWork / capacity; }
};

/// Utilisation by its busiest key alone from which on a server can't serve the key's neighbours as
/// well: less than one slot in ten is left to them.
inline constexpr double kTooHot = 0.9;

/// Returns the mean utilisation of the servers that can be balanced: without those whose busiest
/// key alone has more than that.
double BalancedUtilisation(const std::vector<ServerWork>& aServers);

} // namespace hawthornlug
