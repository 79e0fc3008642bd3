/// @file
/// Where each shard is believed to be. Only a hint: being wrong costs a hop.
#pragma once

#include "ownership/cell_object.h"

#include <map>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace hawthornlug {

/// The way to a shard.
struct Route
{
  std::string cell;
  std::string domain;
  DaemonRef attached;
};

/// Shards by cell and cells by daemon, learned from cell objects.
class RoutingTable
{
public:
  /// Takes in a cell's object; older versions are ignored.
  void Learn(const std::string& aCell, Version aVersion, const CellObject& aObject);
  std::optional<Route> Find(const std::string& aService, ShardId aShard) const;

private:
  struct Place
  {
    int cell = -1;
    Epoch epoch = 0;
  };

  struct CellEntry
  {
    std::string name;
    std::string domain;
    Version version = 0;
    DaemonRef attached;
  };

  int IndexOf(const std::string& aCell, const CellAddress& aAddress);
  static void Put(std::vector<Place>& aPlaces, ShardId aShard, int aCell, Epoch aEpoch);

  mutable std::shared_mutex mMutex;
  std::vector<CellEntry> mCells;
  std::map<std::string, int> mIndex;
  std::map<std::string, std::vector<Place>> mServices;
};

} // namespace hawthornlug
