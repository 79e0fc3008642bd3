/// @file
/// Remembers since when a daemon has known the terms of a service's leaders.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <deque>

namespace hawthornlug {

/// When each of the latest terms was first known. Who led in an earlier term had been superseded by
/// then.
class TermHistory
{
public:
  /// Notes that @p aTerm is known, if it is higher than all before.
  void Note(std::uint64_t aTerm, Instant aNow);
  /// The highest term that has been known for @p aDuration; 0 if there is none.
  std::uint64_t KnownFor(Duration aDuration, Instant aNow) const;

private:
  struct Entry
  {
    std::uint64_t term = 0;
    Instant knownAt;
  };
  /// Rising terms. Bounded: a forgotten one only makes the answer lower.
  std::deque<Entry> mEntries;
};

} // namespace hawthornlug
