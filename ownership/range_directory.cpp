#include "ownership/range_directory.h"

#include <tuple>

namespace hawthornlug {

bool RangeDirectory::Apply(const DirectoryUpdate& aUpdate)
{
  const bool isNewer =
    std::tie(aUpdate.term, aUpdate.version) > std::tie(mTerm, mVersion) || mRanges.empty();
  const bool isNextVersion = aUpdate.term == mTerm && aUpdate.version == mVersion + 1;
  if (!isNewer || (!aUpdate.whole && !isNextVersion)) {
    return false;
  }
  if (aUpdate.whole) {
    mRanges.clear();
  }
  for (const DirectoryRange& it : aUpdate.ranges) {
    Insert(it);
  }
  mTerm = aUpdate.term;
  mVersion = aUpdate.version;
  return true;
}

void RangeDirectory::Insert(const DirectoryRange& aRange)
{
  // Existing ranges that overlap the new one are trimmed, split or removed.
  auto it = mRanges.upper_bound(aRange.keys.to);
  while (it != mRanges.begin()) {
    --it;
    const DirectoryRange existing = it->second;
    if (!existing.keys.Overlaps(aRange.keys)) {
      break;
    }
    it = mRanges.erase(it);
    if (existing.keys.to > aRange.keys.to) {
      DirectoryRange remainder = existing;
      remainder.keys.from = aRange.keys.to + 1;
      it = mRanges.insert_or_assign(remainder.keys.from, remainder).first;
    }
    if (existing.keys.from < aRange.keys.from) {
      DirectoryRange remainder = existing;
      remainder.keys.to = aRange.keys.from - 1;
      it = mRanges.insert_or_assign(remainder.keys.from, remainder).first;
      break;
    }
  }
  mRanges.insert_or_assign(aRange.keys.from, aRange);
}

const DirectoryRange* RangeDirectory::Find(RangeKey aKey) const
{
  auto it = mRanges.upper_bound(aKey);
  if (it == mRanges.begin()) {
    return nullptr;
  }
  --it;
  return it->second.keys.Contains(aKey) ? &it->second : nullptr;
}

DirectoryUpdate RangeDirectory::AsSnapshot() const
{
  DirectoryUpdate update;
  update.term = mTerm;
  update.version = mVersion;
  update.whole = true;
  for (const auto& [from, range] : mRanges) {
    update.ranges.push_back(range);
  }
  return update;
}

} // namespace hawthornlug
