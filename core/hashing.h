/// @file
/// Hashes that every daemon must compute alike.
#pragma once

#include "core/ids.h"

#include <string_view>

namespace hawthornlug {

/// Returns the 64-bit hash of @p aText.
std::uint64_t HashOf(std::string_view aText);

/// Returns the shard of @p aKey among @p aShards shards; @p aShards must not be 0.
ShardId ShardOf(std::string_view aKey, std::uint32_t aShards);

/// Returns the rendezvous weight of @p aMember for @p aItem; the highest weight wins.
std::uint64_t RendezvousWeight(std::string_view aItem, std::string_view aMember);

} // namespace hawthornlug
