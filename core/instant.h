/// @file
/// Time types of the code that takes decisions: monotonic instants in microseconds. That code never
/// reads a clock itself; the time is passed to it.
#pragma once

#include <chrono>
#include <cstdint>

namespace hawthornlug {

/// The clock type of Instant. It has no now(): the current time comes from TimerService::Now().
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

/// A reading of a backend server's own clock, in microseconds; comparable only with readings of the
/// same server's clock.
using ServerInstant = std::int64_t;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns @p aDuration in whole milliseconds, rounded down.
constexpr std::int64_t Millis(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

/// Returns @p aDuration in seconds.
constexpr double InSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

/// Returns @p aSeconds as a duration, rounded down to microseconds.
constexpr Duration FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

/// Returns @p aDuration times @p aFactor, rounded down to microseconds.
constexpr Duration Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace hawthornlug
