/// @file
/// What a daemon knows of the owners of a service's keys; enough to send requests, never to
/// change owners.
#pragma once

#include "ownership/key_range.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// A range as requests see it.
struct DirectoryRange
{
  KeyRange keys;
  std::string server;
  /// The range is changing hands: requests wait.
  bool moving = false;

  bool operator==(const DirectoryRange&) const = default;
};

/// State of the directory of one service at one version, or changes that lead to it.
struct DirectoryUpdate
{
  std::uint64_t term = 0;
  std::uint64_t version = 0;
  /// All ranges; else changes that follow the version before.
  bool whole = false;
  std::vector<DirectoryRange> ranges;
};

/// Owners by key, as the daemon that grants the ranges tells them.
class RangeDirectory
{
public:
  /// Takes an update; false if it is old, or if updates before it are missing.
  bool Apply(const DirectoryUpdate& aUpdate);
  /// Owner of @p aKey; null while nothing is known of it.
  const DirectoryRange* Find(RangeKey aKey) const;
  /// Everything, for a daemon that knows less.
  DirectoryUpdate Whole() const;

  bool IsKnown() const { return !mRanges.empty(); }
  std::uint64_t Term() const { return mTerm; }
  std::uint64_t Version() const { return mVersion; }

private:
  void Put(const DirectoryRange& aRange);

  std::uint64_t mTerm = 0;
  std::uint64_t mVersion = 0;
  /// By first key, without gaps once anything is known.
  std::map<RangeKey, DirectoryRange> mRanges;
};

} // namespace hawthornlug
