/// @file
/// Ranges of keys and their owners.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornlug {

/// A key of a service whose servers own ranges of keys.
using RangeKey = std::uint32_t;
inline constexpr RangeKey kLastKey = 65535;

/// A range of keys, both ends inclusive.
struct KeyRange
{
  RangeKey from = 0;
  RangeKey to = kLastKey;

  bool operator==(const KeyRange&) const = default;
  bool Contains(RangeKey aKey) const { return aKey >= from && aKey <= to; }
  bool Overlaps(const KeyRange& aOther) const { return from <= aOther.to && aOther.from <= to; }
  std::uint32_t Width() const { return to - from + 1; }
};

/// One run of one backend server; no id means no server.
struct ServerRef
{
  std::string id;
  Incarnation incarnation = 0;

  bool operator==(const ServerRef&) const = default;
};

/// A range, who owns it, and the fencing token of its grants.
struct OwnedRange
{
  KeyRange keys;
  ServerRef owner;
  FencingToken token = 0;
};

/// What the store keeps of a service's ranges: who may change them, and their owners.
struct RangeRecord
{
  /// The daemon that alone gives servers their keys.
  DaemonRef holder;
  /// Counts the holders.
  std::uint64_t term = 0;
  /// Tells two writes apart whose answers were lost.
  std::uint64_t writeNumber = 0;
  /// In the order of their keys, without gaps.
  std::vector<OwnedRange> ranges;
};

/// The record as JSON.
std::string EncodeRangeRecord(const RangeRecord& aRecord);
/// Reads a record; false if it is malformed or its ranges have gaps.
bool DecodeRangeRecord(const std::string& aJson, RangeRecord& aRecord);

} // namespace hawthornlug
