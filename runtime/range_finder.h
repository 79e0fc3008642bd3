/// @file
/// Access to the key ranges of a service.
#pragma once

#include <string>

namespace hawthornlug {

class RangeRunner;

/// Finds the ranges of a keyed service.
class RangeFinder
{
public:
  virtual ~RangeFinder() = default;
  /// Null if the service has no ranges here yet.
  virtual RangeRunner* FindRanges(const std::string& aService) = 0;
};

} // namespace hawthornlug
