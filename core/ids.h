/// @file
/// Identities shared by all modules.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hawthornlug {

/// Number of a shard within its service.
using ShardId = std::uint32_t;
/// Counts the owners that a shard has had; only rises.
using Epoch = std::uint64_t;
/// Counts the daemons that have been attached to a cell; only rises.
using FencingToken = std::uint64_t;
/// One run of a process; a later run has a higher number.
using Incarnation = std::uint64_t;
/// Version of a platform object; 0 means that the object does not exist.
using Version = std::uint64_t;

/// One run of one daemon.
struct DaemonRef
{
  std::string id;
  Incarnation incarnation = 0;

  bool operator==(const DaemonRef&) const = default;
  // The linter takes the comparison's own 0 for a null pointer.
  auto operator<=>(const DaemonRef&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace hawthornlug
