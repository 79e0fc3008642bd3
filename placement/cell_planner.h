/// @file
/// Plans the shard moves inside one cell. Keeps the state that planning needs between rounds:
/// smoothed measurements and the budget for moves.
#pragma once

#include "core/instant.h"
#include "placement/planner.h"

#include <map>
#include <optional>

namespace hawthornlug {

/// Measurements of a server since the last planning round.
struct ServerSample
{
  std::string id;
  /// Whether shards may be moved to it.
  bool accepting = true;
  /// Whether all its shards are to be moved to other servers.
  bool draining = false;
  /// Mean time of an order in seconds; 0 if there were no orders.
  double latency = 0.0;
  /// Number of orders that @c latency is the mean of.
  std::uint64_t orders = 0;
};

/// Measurements of a shard since the last planning round.
struct ShardSample
{
  ShardId shard = 0;
  /// Index of the owner in the list of servers.
  std::size_t owner = 0;
  /// Time that servers spent on its orders, in seconds.
  double serverSeconds = 0.0;
};

/// Limits how fast shards are moved for balance.
struct PlannerBudget
{
  /// Share of the shards that may be moved for balance in one minute, in percent.
  double percentPerMinute = 1.0;
  /// Number of shards of the cell.
  std::size_t shards = 0;
};

/// Plans the moves inside one cell. The result depends only on the arguments of this and earlier
/// calls. Not thread-safe: calls must be serialised.
class CellPlanner
{
public:
  explicit CellPlanner(PlannerBudget aBudget = {});

  void SetBudget(PlannerBudget aBudget);
  /// Returns the moves of one round, most urgent first.
  std::vector<PlannedMove> Plan(Instant aNow,
                                const std::vector<ServerSample>& aServers,
                                const std::vector<ShardSample>& aShards);
  /// To be called when a planned move was started: only started moves use up the budget.
  void OnMoveStarted(Instant aNow, const PlannedMove& aMove);
  /// Returns a server's latency relative to the median of the cell's servers, at least 1; 1 if
  /// unknown.
  double SlownessOf(const std::string& aServer) const;

private:
  void UpdateSlowness(const std::vector<ServerSample>& aServers);
  void UpdateWork(double aSeconds,
                  const std::vector<ServerSample>& aServers,
                  const std::vector<ShardSample>& aShards);

  PlannerBudget mBudget;
  /// Balancing moves that may be made now.
  double mMoveCredit;
  /// Time of the last planning round.
  std::optional<Instant> mLastPlannedAt;
  std::map<std::string, double> mLatencyByServer;
  std::map<std::string, double> mSlownessByServer;
  std::map<ShardId, double> mWorkByShard;
  std::map<ShardId, Instant> mLastMovedAt;
};

} // namespace hawthornlug
