/// @file
/// Key ranges, the backend servers that own them, and the stored record of a service's ranges.
#pragma once

#include "core/ids.h"
#include "core/store_revision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// Key of a service whose backend servers own ranges of keys; 0 to kLastKey.
using RangeKey = std::uint32_t;
inline constexpr RangeKey kLastKey = 65535;

/// A range of keys. Both ends are inclusive.
struct KeyRange
{
  RangeKey from = 0;
  RangeKey to = kLastKey;

  bool operator==(const KeyRange&) const = default;
  bool Contains(RangeKey aKey) const { return aKey >= from && aKey <= to; }
  bool Overlaps(const KeyRange& aOther) const { return from <= aOther.to && aOther.from <= to; }
  std::uint32_t Width() const { return to - from + 1; }
};

/// A key range, the server that owns it, and the fencing token that its grants carry.
struct OwnedRange
{
  KeyRange keys;
  ServerRef owner;
  FencingToken token = 0;
  /// Any server may hold the keys: the store has lost who owned them. The owner is only the last
  /// one that it knows of.
  bool uncertain = false;
};

/// A daemon that led before the present leader.
struct EarlierLeader
{
  DaemonRef daemon;
  std::uint64_t term = 0;

  bool operator==(const EarlierLeader&) const = default;
};

/// Stands for all daemons that may have led in earlier eras of the store and of which it has lost
/// the record.
inline const DaemonRef kUnknownLeader{};

/// The stored record of a service's ranges: their owners, and the daemon that may change them.
struct RangeRecord
{
  /// The leader: the only daemon that may grant the service's keys to servers.
  DaemonRef leader;
  /// Leaders before this one that were not known to have stopped when the record was written. Cut
  /// off from the store, they may still renew their grants at the servers that they reach.
  std::vector<EarlierLeader> earlierLeaders;
  /// Incremented each time a daemon becomes leader.
  std::uint64_t term = 0;
  /// Number of the leader's write. A leader whose write got no answer compares it with the stored
  /// one to find out whether that write was applied.
  std::uint64_t writeNumber = 0;
  /// Era of the store for which it was written; nothing if its writer knew no eras. In another era
  /// it is an older copy: later owners may have been lost.
  std::optional<StoreEra> era;
  /// Terms and tokens are counted from here: the first number of the era of the last restore that
  /// the record has been through, 0 if there was none.
  std::uint64_t countsFrom = 0;
  /// Sorted by key, without gaps, covering all keys.
  std::vector<OwnedRange> ranges;
};

/// Returns the record as JSON.
std::string EncodeRangeRecord(const RangeRecord& aRecord);
/// Parses a record. Returns false if @p aJson is malformed or the ranges overlap or do not cover
/// all keys; @p aRecord may then be partly overwritten.
bool DecodeRangeRecord(const std::string& aJson, RangeRecord& aRecord);

} // namespace hawthornlug
