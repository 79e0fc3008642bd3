/// @file
/// Cached, possibly stale location of each shard. A wrong entry costs one more hop between daemons,
/// nothing else.
#pragma once

#include "ownership/cell_object.h"

#include <map>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace hawthornlug {

/// Cell of a shard, and the daemon that is attached to the cell, that is, leads it.
struct ShardRoute
{
  std::string cell;
  /// Failure domain of the cell.
  std::string domain;
  DaemonRef attached;
};

/// Maps each shard to its cell and each cell to its attached daemon, as read from the stored cell
/// objects.
class ShardRoutingTable
{
public:
  /// Updates the table with a cell's object; does nothing unless its version is newer than the
  /// last.
  void Learn(const std::string& aCell, Version aVersion, const CellObject& aObject);
  /// Nothing if the cell of the shard is not known.
  std::optional<ShardRoute> Find(const std::string& aService, ShardId aShard) const;

private:
  struct ShardLocation
  {
    /// Index in mCells; negative if not known.
    int cell = -1;
    /// Epoch of the record by which the cell has the shard; a lower one never replaces it.
    Epoch epoch = 0;
  };

  struct CellEntry
  {
    std::string name;
    std::string domain;
    Version version = 0;
    DaemonRef attached;
  };

  /// Returns the index of the cell in mCells.
  int FindOrAddCell(const std::string& aCell, const CellAddress& aAddress);
  /// Sets the cell of a shard unless a later epoch is known.
  static void SetLocation(std::vector<ShardLocation>& aLocations,
                          ShardId aShard,
                          int aCell,
                          Epoch aEpoch);

  mutable std::shared_mutex mMutex;
  std::vector<CellEntry> mCells;
  /// Index in mCells by cell name.
  std::map<std::string, int> mCellIndexes;
  /// Locations by service, then by shard.
  std::map<std::string, std::vector<ShardLocation>> mLocations;
};

} // namespace hawthornlug
