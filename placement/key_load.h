/// @file
/// How much work each key causes, as seen lately.
#pragma once

#include "core/instant.h"
#include "ownership/key_range.h"

#include <map>

namespace hawthornlug {

/// Work by key, decayed: what was long ago counts less. In seconds of server time per second.
class KeyLoad
{
public:
  /// @p aHalfLife: after so long a request counts half.
  explicit KeyLoad(Duration aHalfLife);

  void Add(RangeKey aKey, Duration aWork, Instant aNow);
  /// Forgets what hardly counts any more; called at intervals.
  void Settle(Instant aNow);

  /// Work of a range at the time of the last Settle().
  double Of(const KeyRange& aKeys) const;
  /// The lowest key k such that the work from @p aKeys.from up to k is at least @p aWork.
  RangeKey CutAt(const KeyRange& aKeys, double aWork) const;
  double Total() const;

private:
  double mPerSecond;
  Duration mHalfLife;
  Instant mSettledAt;
  std::map<RangeKey, double> mWork;
};

} // namespace hawthornlug
