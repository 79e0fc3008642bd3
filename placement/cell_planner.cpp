#include "placement/cell_planner.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr double kSecondsPerMinute = 60.0;
constexpr double kPercent = 100.0;
/// Weights of the newest sample in the exponential moving averages.
constexpr double kLatencySmoothing = 0.6;
constexpr double kWorkSmoothing = 0.1;
/// Largest number of unused balancing moves that is saved up, so that shards that become hot can be
/// moved quickly.
constexpr double kMaxMoveCredit = 12.0;
/// Rounds count as at least this long when work per second is computed, and the first round counts
/// as exactly this long.
constexpr double kMinRoundSeconds = 0.1;
/// A server's mean latency is used only if it is the mean of at least this many orders.
constexpr std::uint64_t kMinOrdersForLatency = 5;
/// After a move, a shard is not moved for balance for this time.
constexpr Duration kBalanceCooldown = seconds(60);

} // namespace

CellPlanner::CellPlanner(PlannerBudget aBudget)
  : mBudget(aBudget)
  , mMoveCredit(kMaxMoveCredit)
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
  const double elapsed = mLastPlannedAt
                           ? std::chrono::duration<double>(aNow - *mLastPlannedAt).count()
                           : kMinRoundSeconds;
  mLastPlannedAt = aNow;
  const double movesPerMinute =
    static_cast<double>(mBudget.shards) * mBudget.percentPerMinute / kPercent;
  mMoveCredit =
    std::min(kMaxMoveCredit, mMoveCredit + movesPerMinute * elapsed / kSecondsPerMinute);
  UpdateSlowness(aServers);
  UpdateWork(std::max(elapsed, kMinRoundSeconds), aServers, aShards);
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
    const auto moved = mLastMovedAt.find(it.shard);
    const bool movable = moved == mLastMovedAt.end() || aNow - moved->second >= kBalanceCooldown;
    shards.push_back({ it.shard, it.owner, mWorkByShard[it.shard], movable });
  }
  return PlanCell(servers, shards, static_cast<std::size_t>(mMoveCredit));
}

void CellPlanner::OnMoveStarted(Instant aNow, const PlannedMove& aMove)
{
  mLastMovedAt[aMove.shard] = aNow;
  mMoveCredit -= aMove.reason == MoveReason::kImbalance ? 1.0 : 0.0;
}

double CellPlanner::SlownessOf(const std::string& aServer) const
{
  const auto it = mSlownessByServer.find(aServer);
  return it == mSlownessByServer.end() ? 1.0 : it->second;
}

void CellPlanner::UpdateSlowness(const std::vector<ServerSample>& aServers)
{
  std::vector<double> latencies;
  for (const ServerSample& it : aServers) {
    double& latency = mLatencyByServer[it.id];
    if (it.orders >= kMinOrdersForLatency) {
      latency = latency == 0.0 ? it.latency : latency + (it.latency - latency) * kLatencySmoothing;
    }
    if (latency > 0.0) {
      latencies.push_back(latency);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  const double median = latencies.empty() ? 0.0 : latencies[(latencies.size() - 1) / 2];
  mSlownessByServer.clear();
  for (const ServerSample& it : aServers) {
    const double latency = mLatencyByServer[it.id];
    mSlownessByServer[it.id] =
      median > 0.0 && latency > 0.0 ? std::max(1.0, latency / median) : 1.0;
  }
}

void CellPlanner::UpdateWork(double aSeconds,
                             const std::vector<ServerSample>& aServers,
                             const std::vector<ShardSample>& aShards)
{
  for (const ShardSample& it : aShards) {
    // A slow server takes more time for the same work: convert to the time of a normal server.
    const double slowness = SlownessOf(aServers[it.owner].id);
    double& work = mWorkByShard[it.shard];
    work += kWorkSmoothing * (it.serverSeconds / slowness / aSeconds - work);
  }
}

} // namespace hawthornlug
