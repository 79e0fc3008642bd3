/// @file
/// Decides which shards to move between the servers of a cell, and between cells.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace hawthornlug {

/// Why a shard is to be moved; earlier reasons are served first.
enum class MoveReason
{
  kDraining,  ///< The server leaves.
  kStraggler, ///< The server is much slower than its siblings.
  kImbalance, ///< The server bears more than its share.
};
inline constexpr EnumNames<3> kMoveReasonNames = { "draining", "straggler", "imbalance" };

/// A server as the planner sees it.
struct ServerLoad
{
  std::string id;
  /// Whether shards may be moved to it.
  bool accepting = true;
  /// Whether all shards are to be moved off it.
  bool draining = false;
  /// Time that an order takes here relative to the median of the siblings; 1 is normal.
  double slowness = 1.0;
  /// Work that the server can bear relative to its siblings; above 0.
  double capacity = 1.0;
};

/// A shard as the planner sees it.
struct ShardLoad
{
  ShardId shard = 0;
  /// Index of the owner among the servers.
  std::size_t owner = 0;
  /// Time that servers spent on it, in seconds a second, as a normal server would.
  double work = 0.0;
  /// Whether it may be moved for balance.
  bool movable = true;
};

struct PlannerRules
{
  /// Worst load over mean load up to which nothing is moved.
  double tolerance = 1.10;
  /// Slowness from which a server counts as a straggler.
  double stragglerFrom = 3.0;
  /// Least share of the mean load that a move for balance must save at the worst server.
  double leastGain = 0.002;
  std::size_t maxDrainMoves = 64;
  std::size_t maxStragglerMoves = 96;
};

struct PlannedMove
{
  ShardId shard = 0;
  /// Index of the new owner among the servers.
  std::size_t server = 0;
  MoveReason reason = MoveReason::kImbalance;
};

/// Returns the moves for one round, most urgent first; at most @p aBudget of them for balance.
/// The same input gives the same moves on every daemon.
std::vector<PlannedMove> PlanCell(const std::vector<ServerLoad>& aServers,
                                  const std::vector<ShardLoad>& aShards,
                                  std::size_t aBudget,
                                  const PlannerRules& aRules = {});

/// A cell as the planner sees it.
struct CellLoad
{
  std::string cell;
  /// Shards in it, those on their way to it included.
  std::size_t shards = 0;
  /// Number of its servers that accept shards; 0 takes it out.
  std::size_t servers = 0;
};

/// How many shards a cell should send to another one.
struct CellTransfer
{
  std::string toCell;
  std::size_t shards = 0;
};

/// Returns what @p aCell should send now, at most @p aBudget shards unless it has been taken out.
std::vector<CellTransfer> PlanTransfers(const std::string& aCell,
                                        const std::vector<CellLoad>& aCells,
                                        std::size_t aBudget,
                                        double aTolerance);

} // namespace hawthornlug
