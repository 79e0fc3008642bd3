#include "placement/work_table.h"

#include <algorithm>

namespace hawthornlug {

namespace {

std::vector<double> SumsOf(const std::vector<double>& aWork)
{
  std::vector<double> sums(kLastKey + 2, 0.0);
  for (std::size_t n = 0; n <= kLastKey; ++n) {
    sums[n + 1] = sums[n] + aWork[n];
  }
  return sums;
}

} // namespace

WorkTable::WorkTable()
  : mExpected(kLastKey + 2, 0.0)
  , mMeasured(kLastKey + 2, 0.0)
{
}

WorkTable::WorkTable(const std::vector<double>& aExpected, const std::vector<double>& aMeasured)
  : mExpected(SumsOf(aExpected))
  , mMeasured(SumsOf(aMeasured))
{
}

RangeKey WorkTable::SplitAfter(const KeyRange& aKeys, double aWork) const
{
  const auto first = mExpected.begin() + aKeys.from + 1;
  const auto last = mExpected.begin() + aKeys.to + 1;
  const auto it = std::lower_bound(first, last, mExpected[aKeys.from] + aWork);
  return aKeys.from + static_cast<RangeKey>(it - first);
}

RangeKey WorkTable::BusiestIn(const KeyRange& aKeys) const
{
  RangeKey busiest = aKeys.from;
  double most = -1.0;
  for (RangeKey key = aKeys.from; key <= aKeys.to; ++key) {
    const double work = mExpected[key + 1] - mExpected[key];
    if (work > most) {
      most = work;
      busiest = key;
    }
  }
  return busiest;
}

} // namespace hawthornlug
