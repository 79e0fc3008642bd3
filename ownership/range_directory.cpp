#include "ownership/range_directory.h"

#include <tuple>

namespace hawthornlug {

bool RangeDirectory::Apply(const DirectoryUpdate& aUpdate)
{
  const bool newer =
    std::tie(aUpdate.term, aUpdate.version) > std::tie(mTerm, mVersion) || mRanges.empty();
  const bool follows = aUpdate.term == mTerm && aUpdate.version == mVersion + 1;
  if (!newer || (!aUpdate.whole && !follows)) {
    return false;
  }
  if (aUpdate.whole) {
    mRanges.clear();
  }
  for (const DirectoryRange& it : aUpdate.ranges) {
    Put(it);
  }
  mTerm = aUpdate.term;
  mVersion = aUpdate.version;
  return true;
}

void RangeDirectory::Put(const DirectoryRange& aRange)
{
  // What the new range covers of others is taken off them.
  auto it = mRanges.upper_bound(aRange.keys.to);
  while (it != mRanges.begin()) {
    --it;
    const DirectoryRange old = it->second;
    if (!old.keys.Overlaps(aRange.keys)) {
      break;
    }
    it = mRanges.erase(it);
    if (old.keys.to > aRange.keys.to) {
      DirectoryRange rest = old;
      rest.keys.from = aRange.keys.to + 1;
      it = mRanges.insert_or_assign(rest.keys.from, rest).first;
    }
    if (old.keys.from < aRange.keys.from) {
      DirectoryRange rest = old;
      rest.keys.to = aRange.keys.from - 1;
      it = mRanges.insert_or_assign(rest.keys.from, rest).first;
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

DirectoryUpdate RangeDirectory::Whole() const
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
