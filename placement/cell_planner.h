/// @file
/// Keeps what planning needs from round to round: smoothed measurements and the budget for moves.
#pragma once

#include "core/instant.h"
#include "placement/planner.h"

#include <map>
#include <optional>

namespace hawthornlug {

/// What was measured of a server since the last round.
struct ServerSample
{
  std::string id;
  bool accepting = true;
  bool draining = false;
  /// Mean time of an order in seconds; 0 if there was none.
  double latency = 0.0;
  std::uint64_t orders = 0;
};

/// What was measured of a shard since the last round.
struct ShardSample
{
  ShardId shard = 0;
  /// Index of the owner among the servers.
  std::size_t owner = 0;
  /// Time that servers spent on it, in seconds.
  double busy = 0.0;
};

struct PlannerBudget
{
  /// Share of the shards that may be moved in a minute for balance, in percent.
  double percentPerMinute = 1.0;
  std::size_t shards = 0;
};

/// Plans the moves inside one cell. Purely a function of its inputs; the caller serialises calls.
class CellPlanner
{
public:
  explicit CellPlanner(PlannerBudget aBudget = {});

  void SetBudget(PlannerBudget aBudget);
  /// Returns the moves for one round, most urgent first.
  std::vector<PlannedMove> Plan(Instant aNow,
                                const std::vector<ServerSample>& aServers,
                                const std::vector<ShardSample>& aShards);
  /// A planned move was begun.
  void OnMoved(Instant aNow, const PlannedMove& aMove);
  /// How much longer an order takes at a server than at its siblings' median; 1 is normal.
  double SlownessOf(const std::string& aServer) const;

private:
  void MeasureSlowness(const std::vector<ServerSample>& aServers);
  void MeasureWork(double aSeconds,
                   const std::vector<ServerSample>& aServers,
                   const std::vector<ShardSample>& aShards);

  PlannerBudget mBudget;
  double mCredit;
  std::optional<Instant> mPlannedAt;
  std::map<std::string, double> mLatency;
  std::map<std::string, double> mSlowness;
  std::map<ShardId, double> mWork;
  std::map<ShardId, Instant> mMovedAt;
};

} // namespace hawthornlug
