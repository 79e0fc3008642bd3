#include "placement/cell_planner.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr double kSecondsPerMinute = 60.0;
constexpr double kPercent = 100.0;
constexpr double kLatencySmoothing = 0.6;
constexpr double kWorkSmoothing = 0.1;
/// Moves that may be made at once after a quiet time, so that new hot shards are followed quickly.
constexpr double kMostCredit = 12.0;
constexpr double kShortestRound = 0.1;
constexpr std::uint64_t kFewestOrders = 5;
/// A shard that was moved for balance stays where it is for so long.
constexpr Duration kSettleTime = seconds(60);

} // namespace

CellPlanner::CellPlanner(PlannerBudget aBudget)
  : mBudget(aBudget)
  , mCredit(kMostCredit)
{
}

void CellPlanner::SetBudget(PlannerBudget aBudget)
{
  mBudget = aBudget;
}

std::vector<PlannedMove> CellPlanner::Plan(Instant aNow,
                                           const std::vector<ServerSample>& aServers,
                                           const std::vector<ShardSample>& aShards)
{
  const double elapsed =
    mPlannedAt ? std::chrono::duration<double>(aNow - *mPlannedAt).count() : kShortestRound;
  mPlannedAt = aNow;
  const double perMinute =
    static_cast<double>(mBudget.shards) * mBudget.percentPerMinute / kPercent;
  mCredit = std::min(kMostCredit, mCredit + perMinute * elapsed / kSecondsPerMinute);
  MeasureSlowness(aServers);
  MeasureWork(std::max(elapsed, kShortestRound), aServers, aShards);
  std::vector<ServerLoad> servers;
  for (const ServerSample& it : aServers) {
    ServerLoad load;
    load.id = it.id;
    load.accepting = it.accepting;
    load.draining = it.draining;
    load.slowness = SlownessOf(it.id);
    servers.push_back(std::move(load));
  }
  std::vector<ShardLoad> shards;
  for (const ShardSample& it : aShards) {
    const auto moved = mMovedAt.find(it.shard);
    const bool settled = moved == mMovedAt.end() || aNow - moved->second >= kSettleTime;
    shards.push_back({ it.shard, it.owner, mWork[it.shard], settled });
  }
  return PlanCell(servers, shards, static_cast<std::size_t>(mCredit));
}

void CellPlanner::OnMoved(Instant aNow, const PlannedMove& aMove)
{
  mMovedAt[aMove.shard] = aNow;
  mCredit -= aMove.reason == MoveReason::kImbalance ? 1.0 : 0.0;
}

double CellPlanner::SlownessOf(const std::string& aServer) const
{
  const auto it = mSlowness.find(aServer);
  return it == mSlowness.end() ? 1.0 : it->second;
}

void CellPlanner::MeasureSlowness(const std::vector<ServerSample>& aServers)
{
  std::vector<double> latencies;
  for (const ServerSample& it : aServers) {
    double& latency = mLatency[it.id];
    if (it.orders >= kFewestOrders) {
      latency = latency == 0.0 ? it.latency : latency + (it.latency - latency) * kLatencySmoothing;
    }
    if (latency > 0.0) {
      latencies.push_back(latency);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  const double median = latencies.empty() ? 0.0 : latencies[(latencies.size() - 1) / 2];
  mSlowness.clear();
  for (const ServerSample& it : aServers) {
    const double latency = mLatency[it.id];
    mSlowness[it.id] = median > 0.0 && latency > 0.0 ? std::max(1.0, latency / median) : 1.0;
  }
}

void CellPlanner::MeasureWork(double aSeconds,
                              const std::vector<ServerSample>& aServers,
                              const std::vector<ShardSample>& aShards)
{
  for (const ShardSample& it : aShards) {
    // What a slow server took for a shard would have been less at a normal one.
    const double slowness = SlownessOf(aServers[it.owner].id);
    double& work = mWork[it.shard];
    work += kWorkSmoothing * (it.busy / slowness / aSeconds - work);
  }
}

} // namespace hawthornlug
