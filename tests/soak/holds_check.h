/// @file
/// The soak's check that no two servers hold the same key for long.
#pragma once

#include "tests/support/platform_fleet.h"

#include <chrono>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// A time in seconds, with three digits after the point.
std::string Seconds(std::chrono::steady_clock::duration aTime);

/// Remembers since when each key has been held by two servers.
class HoldsCheck
{
public:
  HoldsCheck();

  /// Looks at all keys; returns the rule that is broken, or an empty text.
  std::string Check(PlatformFleet& aFleet, std::chrono::steady_clock::time_point aNow);
  /// Number of checks that saw a key that two servers held.
  unsigned SharedChecks() const { return mSharedChecks; }

private:
  /// By key: since when two servers have held it.
  std::vector<std::chrono::steady_clock::time_point> mSharedSince;
  unsigned mSharedChecks = 0;
};

} // namespace hawthornlug::test
