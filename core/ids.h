/// @file
/// Identifiers and version numbers that all modules use.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hawthornlug {

/// Number of a shard within its service.
using ShardId = std::uint32_t;
/// Number of the current ownership of a shard; rises with each new owner and never falls.
using Epoch = std::uint64_t;
/// Identifies the daemon that is attached to a cell (the one daemon that leads it). Rises with each
/// newly attached daemon and never falls, so that a server can reject calls from an earlier one.
using FencingToken = std::uint64_t;
/// Identifies one process of a daemon or server; after a restart the number is higher.
using Incarnation = std::uint64_t;
/// Version of a platform object; 0 means that the object does not exist.
using Version = std::uint64_t;

/// Identifies one process of one daemon.
struct DaemonRef
{
  std::string id;
  Incarnation incarnation = 0;

  bool operator==(const DaemonRef&) const = default;
  // False positive: the linter takes the literal 0 in the generated comparison for a null pointer.
  auto operator<=>(const DaemonRef&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Identifies one process of one backend server. An empty id means no server.
struct ServerRef
{
  std::string id;
  Incarnation incarnation = 0;

  bool operator==(const ServerRef&) const = default;
  // The linter's false positive, as above.
  auto operator<=>(const ServerRef&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace hawthornlug
