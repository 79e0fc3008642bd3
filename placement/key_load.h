/// @file
/// Estimates how much server time the recent requests for each key take.
#pragma once

#include "core/instant.h"
#include "ownership/key_range.h"

#include <map>

namespace hawthornlug {

/// Work by key, in seconds of server time per second, with exponential decay.
class KeyLoad
{
public:
  /// @p aHalfLife is the time after which the weight of a request has halved.
  explicit KeyLoad(Duration aHalfLife);

  /// Adds @p aWork, the server time that one request for @p aKey took.
  void Add(RangeKey aKey, Duration aWork, Instant aNow);
  /// Decays the work of all keys up to @p aNow and drops keys whose work has become negligible. To
  /// be called at intervals.
  void Decay(Instant aNow);

  /// Returns the work of a range as of the last Settle().
  double WorkIn(const KeyRange& aKeys) const;
  /// Returns the lowest key up to which, itself included, the keys of the range have at least
  /// @p aWork; @p aKeys.to if the whole range has less.
  RangeKey SplitAfter(const KeyRange& aKeys, double aWork) const;
  /// Returns the work of all keys as of the last Settle().
  double TotalWork() const;

private:
  /// Converts a decayed sum of seconds into seconds per second.
  double mSumToRate;
  Duration mHalfLife;
  /// Time of the last Settle().
  Instant mDecayedAt;
  std::map<RangeKey, double> mWorkByKey;
};

} // namespace hawthornlug
