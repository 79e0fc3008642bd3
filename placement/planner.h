/// @file
/// Decides which shards to move between the servers of a cell, and between cells.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace hawthornlug {

/// Why a shard is to be moved, in order of priority.
enum class MoveReason
{
  kDraining,  ///< The owner is being drained.
  kStraggler, ///< The owner is much slower than the cell's other servers.
  kImbalance, ///< The owner has more than its share of the load.
};
inline constexpr EnumNames<3> kMoveReasonNames = { "draining", "straggler", "imbalance" };

/// A server as the planner sees it.
struct ServerLoad
{
  std::string id;
  /// Whether shards may be moved to it.
  bool accepting = true;
  /// Whether all its shards are to be moved to other servers.
  bool draining = false;
  /// Time that an order takes on it relative to the median of the cell's servers; 1 is normal.
  double slowness = 1.0;
  /// Work that it can handle relative to the other servers; above 0.
  double capacity = 1.0;
};

/// A shard as the planner sees it.
struct ShardLoad
{
  ShardId shard = 0;
  /// Index of the owner in the list of servers.
  std::size_t owner = 0;
  /// Server time that its orders take, in seconds per second, on a server with slowness 1.
  double work = 0.0;
  /// Whether it may be moved for balance.
  bool movable = true;
};

/// Thresholds and limits of PlanCell().
struct PlannerRules
{
  /// Nothing is moved for balance while the highest load is at most this multiple of the mean load.
  double tolerance = 1.10;
  /// Slowness from which a server counts as a straggler.
  double stragglerSlowness = 3.0;
  /// A move for balance must lower the highest load by at least this share of the mean load.
  double minGain = 0.002;
  /// Largest number of moves off draining servers in one round.
  std::size_t maxDrainMoves = 64;
  /// Largest number of moves off stragglers in one round.
  std::size_t maxStragglerMoves = 96;
};

/// A shard that is to get another owner.
struct PlannedMove
{
  ShardId shard = 0;
  /// Index of the new owner in the list of servers.
  std::size_t server = 0;
  MoveReason reason = MoveReason::kImbalance;
};

/// Returns the moves of one round, most urgent first; at most @p aBudget of them are for balance.
/// The same input gives the same moves on every daemon.
std::vector<PlannedMove> PlanCell(const std::vector<ServerLoad>& aServers,
                                  const std::vector<ShardLoad>& aShards,
                                  std::size_t aBudget,
                                  const PlannerRules& aRules = {});

/// A cell as the planner sees it.
struct CellLoad
{
  std::string cell;
  /// Number of its shards, including those that are being moved to it.
  std::size_t shards = 0;
  /// Number of its servers that accept shards; with 0 the cell must send all its shards away.
  std::size_t servers = 0;
};

/// A number of shards that a cell should send to another cell.
struct CellTransfer
{
  std::string toCell;
  std::size_t shards = 0;
};

/// Returns how many shards @p aCell should send to which other cells now. Each cell's share of the
/// shards is in proportion to its servers. The cell sends none while it has at most @p aTolerance
/// times its share, and otherwise at most @p aBudget; if it has no servers that accept shards, it
/// sends all of them.
std::vector<CellTransfer> PlanTransfers(const std::string& aCell,
                                        const std::vector<CellLoad>& aCells,
                                        std::size_t aBudget,
                                        double aTolerance);

} // namespace hawthornlug
