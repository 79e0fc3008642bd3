/// @file
/// A daemon's copy of the owners of a service's keys. It may be out of date: requests are routed by
/// it, but ownership is never changed on the strength of it.
#pragma once

#include "ownership/key_range.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// A key range and the server that requests for it are sent to.
struct DirectoryRange
{
  KeyRange keys;
  std::string server;
  /// The range is being moved to another owner: requests wait.
  bool moving = false;

  bool operator==(const DirectoryRange&) const = default;
};

/// Snapshot of a service's directory at one version, or the changes from the previous version to
/// it.
struct DirectoryUpdate
{
  std::uint64_t term = 0;
  std::uint64_t version = 0;
  /// True: @ref ranges is a snapshot. False: it has only what changed since the previous version.
  bool whole = false;
  std::vector<DirectoryRange> ranges;
};

/// Owners by key, as published by the leader: the daemon that grants the service's ranges.
class RangeDirectory
{
public:
  /// Applies an update. Returns false, with no change, if the update is not newer than the
  /// directory, or if it is not a snapshot and the update before it is missing.
  bool Apply(const DirectoryUpdate& aUpdate);
  /// Returns the range that contains @p aKey, or null if the directory has none.
  const DirectoryRange* Find(RangeKey aKey) const;
  /// Returns a snapshot of all ranges, to be sent to a daemon whose directory is behind.
  DirectoryUpdate AsSnapshot() const;

  bool HasRanges() const { return !mRanges.empty(); }
  std::uint64_t Term() const { return mTerm; }
  std::uint64_t Version() const { return mVersion; }

private:
  /// Inserts @p aRange; existing ranges lose the keys that it covers.
  void Insert(const DirectoryRange& aRange);

  std::uint64_t mTerm = 0;
  std::uint64_t mVersion = 0;
  /// By first key. Without gaps once an update has been applied.
  std::map<RangeKey, DirectoryRange> mRanges;
};

} // namespace hawthornlug
