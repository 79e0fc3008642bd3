#include "routing/routing_table.h"

#include <mutex>

namespace hawthornlug {

int RoutingTable::IndexOf(const std::string& aCell, const CellAddress& aAddress)
{
  const auto [it, fresh] = mIndex.try_emplace(aCell, static_cast<int>(mCells.size()));
  if (fresh) {
    mCells.push_back({ aCell, aAddress.domain, 0, {} });
  }
  return it->second;
}

void RoutingTable::Put(std::vector<Place>& aPlaces, ShardId aShard, int aCell, Epoch aEpoch)
{
  if (aPlaces.size() <= aShard) {
    aPlaces.resize(aShard + 1);
  }
  Place& place = aPlaces[aShard];
  if (aEpoch >= place.epoch) {
    place = { aCell, aEpoch };
  }
}

void RoutingTable::Learn(const std::string& aCell, Version aVersion, const CellObject& aObject)
{
  const auto address = ParseCellName(aCell);
  if (!address) {
    return;
  }
  const std::unique_lock lock(mMutex);
  const int index = IndexOf(aCell, *address);
  CellEntry& entry = mCells[static_cast<std::size_t>(index)];
  if (aVersion <= entry.version) {
    return;
  }
  entry.version = aVersion;
  entry.attached = aObject.attached;
  std::vector<Place>& places = mServices[address->service];
  for (const auto& [shard, record] : aObject.shards) {
    Put(places, shard, index, record.epoch);
  }
  for (const auto& [shard, out] : aObject.outs) {
    const auto target = ParseCellName(out.toCell);
    if (target) {
      Put(places, shard, IndexOf(out.toCell, *target), out.epoch);
    }
  }
}

std::optional<Route> RoutingTable::Find(const std::string& aService, ShardId aShard) const
{
  const std::shared_lock lock(mMutex);
  const auto service = mServices.find(aService);
  if (service == mServices.end() || aShard >= service->second.size()) {
    return std::nullopt;
  }
  const int index = service->second[aShard].cell;
  if (index < 0) {
    return std::nullopt;
  }
  const CellEntry& cell = mCells[static_cast<std::size_t>(index)];
  return Route{ cell.name, cell.domain, cell.attached };
}

} // namespace hawthornlug
