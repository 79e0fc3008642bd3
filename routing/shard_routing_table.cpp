#include "routing/shard_routing_table.h"

#include <mutex>

namespace hawthornlug {

int ShardRoutingTable::FindOrAddCell(const std::string& aCell, const CellAddress& aAddress)
{
  const auto [it, inserted] = mCellIndexes.try_emplace(aCell, static_cast<int>(mCells.size()));
  if (inserted) {
    mCells.push_back({ aCell, aAddress.domain, 0, {} });
  }
  return it->second;
}

void ShardRoutingTable::SetLocation(std::vector<ShardLocation>& aLocations,
                                    ShardId aShard,
                                    int aCell,
                                    Epoch aEpoch)
{
  if (aLocations.size() <= aShard) {
    aLocations.resize(aShard + 1);
  }
  ShardLocation& location = aLocations[aShard];
  if (aEpoch >= location.epoch) {
    location = { aCell, aEpoch };
  }
}

void ShardRoutingTable::Learn(const std::string& aCell, Version aVersion, const CellObject& aObject)
{
  const auto address = ParseCellName(aCell);
  if (!address) {
    return;
  }
  const std::unique_lock lock(mMutex);
  const int index = FindOrAddCell(aCell, *address);
  CellEntry& entry = mCells[static_cast<std::size_t>(index)];
  if (aVersion <= entry.version) {
    return;
  }
  entry.version = aVersion;
  entry.attached = aObject.attached;
  std::vector<ShardLocation>& locations = mLocations[address->service];
  for (const auto& [shard, record] : aObject.shards) {
    SetLocation(locations, shard, index, record.epoch);
  }
  for (const auto& [shard, out] : aObject.departures) {
    const auto target = ParseCellName(out.toCell);
    if (target) {
      SetLocation(locations, shard, FindOrAddCell(out.toCell, *target), out.epoch);
    }
  }
}

std::optional<ShardRoute> ShardRoutingTable::Find(const std::string& aService, ShardId aShard) const
{
  const std::shared_lock lock(mMutex);
  const auto service = mLocations.find(aService);
  if (service == mLocations.end() || aShard >= service->second.size()) {
    return std::nullopt;
  }
  const int index = service->second[aShard].cell;
  if (index < 0) {
    return std::nullopt;
  }
  const CellEntry& cell = mCells[static_cast<std::size_t>(index)];
  return ShardRoute{ cell.name, cell.domain, cell.attached };
}

} // namespace hawthornlug
