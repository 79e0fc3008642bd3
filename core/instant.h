/// @file
/// Time as the decision code sees it: monotonic instants with microsecond resolution.
#pragma once

#include <chrono>
#include <cstdint>

namespace hawthornlug {

/// Tag clock of all instants; it is never read directly, readings come from a Clock port.
struct Monotonic
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Monotonic>;
  // The standard library prescribes this name.
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using Duration = std::chrono::microseconds;
using Instant = Monotonic::time_point;

/// A reading of a backend server's own clock, in microseconds; only comparable with itself.
using ServerInstant = std::int64_t;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns @p aDuration in whole milliseconds, rounded down.
constexpr std::int64_t Millis(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace hawthornlug
