/// @file
/// Hash functions that must return the same values on every daemon, since daemons use them to agree
/// on the shard of a key without a message.
#pragma once

#include "core/ids.h"

#include <string_view>

namespace hawthornlug {

/// Returns the 64-bit hash of @p aText.
std::uint64_t HashOf(std::string_view aText);

/// Returns the shard that @p aKey belongs to when its service has @p aShardCount shards, which must
/// not be 0.
ShardId ShardOf(std::string_view aKey, std::uint32_t aShardCount);

/// Returns the weight of @p aMember for @p aItem in rendezvous hashing: the member with the highest
/// weight is chosen.
std::uint64_t RendezvousWeight(std::string_view aItem, std::string_view aMember);

} // namespace hawthornlug
