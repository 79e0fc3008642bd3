#include "core/hashing.h"

#include <xxhash.h>

namespace hawthornlug {

std::uint64_t HashOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

ShardId ShardOf(std::string_view aKey, std::uint32_t aShardCount)
{
  return static_cast<ShardId>(HashOf(aKey) % aShardCount);
}

std::uint64_t RendezvousWeight(std::string_view aItem, std::string_view aMember)
{
  return XXH3_64bits_withSeed(aItem.data(), aItem.size(), HashOf(aMember));
}

} // namespace hawthornlug
