/// @file
/// The work of all keys at one time, for the planning of moves.
#pragma once

#include "ownership/key_range.h"

#include <vector>

namespace hawthornlug {

/// Work by key, in seconds of server time per second. The sums of ranges take constant time, and
/// splits logarithmic time, because a plan asks for thousands of them.
class WorkTable
{
public:
  /// No work for any key.
  WorkTable();
  /// @p aExpected: the work that each key is expected to have; @p aMeasured: the work measured so
  /// far, which is less where the work has just risen. Both have an entry for each key.
  WorkTable(const std::vector<double>& aExpected, const std::vector<double>& aMeasured);

  /// Returns the expected work of a range.
  double WorkIn(const KeyRange& aKeys) const { return Between(mExpected, aKeys); }
  /// Returns the measured work of a range.
  double MeasuredIn(const KeyRange& aKeys) const { return Between(mMeasured, aKeys); }
  /// Returns the lowest key up to which, itself included, the keys of the range have at least
  /// @p aWork; @p aKeys.to if the whole range has less.
  RangeKey SplitAfter(const KeyRange& aKeys, double aWork) const;
  /// Returns the key of the range with the most work.
  RangeKey BusiestIn(const KeyRange& aKeys) const;

private:
  static double Between(const std::vector<double>& aSums, const KeyRange& aKeys)
  {
    return aSums[aKeys.to + 1] - aSums[aKeys.from];
  }

  /// Entry n is the work of all keys below n.
  std::vector<double> mExpected;
  std::vector<double> mMeasured;
};

} // namespace hawthornlug
