#include "placement/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hawthornlug {

namespace {

/// Load of each server, updated as moves are planned.
class LoadTable
{
public:
  LoadTable(const std::vector<ServerLoad>& aServers, const std::vector<ShardLoad>& aShards)
    : mServers(aServers)
    , mLoadByServer(aServers.size(), 0.0)
    , mShardCountByServer(aServers.size(), 0)
  {
    for (const ShardLoad& it : aShards) {
      Add(it.owner, it.work);
    }
  }

  void Add(std::size_t aServer, double aWork)
  {
    mLoadByServer[aServer] += LoadOfWork(aServer, aWork);
    ++mShardCountByServer[aServer];
  }

  void Move(std::size_t aFrom, std::size_t aTo, double aWork)
  {
    mLoadByServer[aFrom] -= LoadOfWork(aFrom, aWork);
    --mShardCountByServer[aFrom];
    Add(aTo, aWork);
  }

  /// Returns the load that @p aWork causes on a server, relative to its capacity.
  double LoadOfWork(std::size_t aServer, double aWork) const
  {
    return aWork * mServers[aServer].slowness / mServers[aServer].capacity;
  }

  double Load(std::size_t aServer) const { return mLoadByServer[aServer]; }

  /// Returns the higher of the two servers' loads after a move.
  double HigherLoadAfter(std::size_t aFrom, std::size_t aTo, double aWork) const
  {
    return std::max(mLoadByServer[aTo] + LoadOfWork(aTo, aWork),
                    mLoadByServer[aFrom] - LoadOfWork(aFrom, aWork));
  }

  /// Returns the accepting server with the lowest load, or of equal loads the fewest shards; the
  /// number of servers if there is none.
  std::size_t LeastLoaded(std::size_t aExcept) const
  {
    std::size_t best = mServers.size();
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      if (n == aExcept || !mServers[n].accepting || mServers[n].draining) {
        continue;
      }
      if (best == mServers.size() || Rank(n) < Rank(best)) {
        best = n;
      }
    }
    return best;
  }

  /// Returns the server with the highest load, whether or not it accepts shards.
  std::size_t MostLoaded() const
  {
    std::size_t best = 0;
    for (std::size_t n = 1; n < mServers.size(); ++n) {
      if (mLoadByServer[n] > mLoadByServer[best]) {
        best = n;
      }
    }
    return best;
  }

  /// Returns the total load divided by the number of servers that accept shards; 0 if none does.
  double MeanLoad() const
  {
    std::size_t accepting = 0;
    double sum = 0.0;
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      sum += mLoadByServer[n];
      accepting += mServers[n].accepting && !mServers[n].draining ? 1 : 0;
    }
    return accepting == 0 ? 0.0 : sum / static_cast<double>(accepting);
  }

private:
  std::pair<double, std::size_t> Rank(std::size_t aServer) const
  {
    return { mLoadByServer[aServer], mShardCountByServer[aServer] };
  }

  const std::vector<ServerLoad>& mServers;
  std::vector<double> mLoadByServer;
  std::vector<std::size_t> mShardCountByServer;
};

/// Returns the indexes of the shards by descending work. The order does not depend on the order of
/// the input: shards with equal work are sorted by id.
std::vector<std::size_t> HottestFirst(const std::vector<ShardLoad>& aShards)
{
  std::vector<std::size_t> order(aShards.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    const ShardLoad& left = aShards[aLeft];
    const ShardLoad& right = aShards[aRight];
    return left.work != right.work ? left.work > right.work : left.shard < right.shard;
  });
  return order;
}

/// Returns the index of the movable shard of @p aFrom whose move to @p aTo makes the higher of the
/// two servers' loads lowest; the number of shards if no move lowers it.
std::size_t BestMove(const std::vector<ShardLoad>& aShards,
                     const std::vector<std::size_t>& aOwners,
                     const LoadTable& aLoads,
                     std::size_t aFrom,
                     std::size_t aTo)
{
  std::size_t best = aShards.size();
  double bestLoad = aLoads.Load(aFrom);
  for (std::size_t n = 0; n < aShards.size(); ++n) {
    const ShardLoad& shard = aShards[n];
    if (aOwners[n] != aFrom || !shard.movable || shard.work <= 0.0) {
      continue;
    }
    const double loadAfter = aLoads.HigherLoadAfter(aFrom, aTo, shard.work);
    if (loadAfter < bestLoad) {
      best = n;
      bestLoad = loadAfter;
    }
  }
  return best;
}

} // namespace

std::vector<PlannedMove> PlanCell(const std::vector<ServerLoad>& aServers,
                                  const std::vector<ShardLoad>& aShards,
                                  std::size_t aBudget,
                                  const PlannerRules& aRules)
{
  std::vector<PlannedMove> moves;
  if (aServers.size() < 2) {
    return moves;
  }
  LoadTable loads(aServers, aShards);
  const std::vector<std::size_t> hottestFirst = HottestFirst(aShards);
  std::vector<std::size_t> owners(aShards.size());
  for (std::size_t n = 0; n < aShards.size(); ++n) {
    owners[n] = aShards[n].owner;
  }
  const auto move = [&](std::size_t aIndex, std::size_t aTo, MoveReason aReason) {
    loads.Move(owners[aIndex], aTo, aShards[aIndex].work);
    owners[aIndex] = aTo;
    moves.push_back({ aShards[aIndex].shard, aTo, aReason });
  };
  for (const std::size_t it : hottestFirst) {
    if (!aServers[owners[it]].draining || moves.size() >= aRules.maxDrainMoves) {
      continue;
    }
    const std::size_t to = loads.LeastLoaded(owners[it]);
    if (to < aServers.size()) {
      move(it, to, MoveReason::kDraining);
    }
  }
  std::size_t stragglerMoves = 0;
  for (const std::size_t it : hottestFirst) {
    const std::size_t from = owners[it];
    const bool isStraggler = aServers[from].slowness >= aRules.stragglerSlowness;
    if (!isStraggler || stragglerMoves >= aRules.maxStragglerMoves) {
      continue;
    }
    const std::size_t to = loads.LeastLoaded(from);
    const double loadAfter = to < aServers.size()
                               ? loads.Load(to) + loads.LoadOfWork(to, aShards[it].work)
                               : loads.Load(from);
    if (loadAfter < loads.Load(from)) {
      move(it, to, MoveReason::kStraggler);
      ++stragglerMoves;
    }
  }
  for (std::size_t round = 0; round < aBudget; ++round) {
    const std::size_t from = loads.MostLoaded();
    const double mean = loads.MeanLoad();
    const std::size_t to = loads.LeastLoaded(from);
    const bool balanced = loads.Load(from) <= mean * aRules.tolerance;
    if (to >= aServers.size() || mean <= 0.0 || balanced) {
      break;
    }
    const std::size_t best = BestMove(aShards, owners, loads, from, to);
    if (best >= aShards.size() ||
        loads.Load(from) - loads.HigherLoadAfter(from, to, aShards[best].work) <
          mean * aRules.minGain) {
      break;
    }
    move(best, to, MoveReason::kImbalance);
  }
  return moves;
}

std::vector<CellTransfer> PlanTransfers(const std::string& aCell,
                                        const std::vector<CellLoad>& aCells,
                                        std::size_t aBudget,
                                        double aTolerance)
{
  std::size_t shards = 0;
  std::size_t servers = 0;
  const CellLoad* own = nullptr;
  for (const CellLoad& it : aCells) {
    shards += it.shards;
    servers += it.servers;
    own = it.cell == aCell ? &it : own;
  }
  std::vector<CellTransfer> transfers;
  if (own == nullptr || servers == 0) {
    return transfers;
  }
  const double shardsPerServer = static_cast<double>(shards) / static_cast<double>(servers);
  const double share = shardsPerServer * static_cast<double>(own->servers);
  const bool mustSendAll = own->servers == 0;
  if (!mustSendAll && static_cast<double>(own->shards) <= share * aTolerance) {
    return transfers;
  }
  const auto surplus = static_cast<std::size_t>(static_cast<double>(own->shards) - share);
  std::size_t remaining = mustSendAll ? own->shards : std::min(surplus, aBudget);
  double totalDeficit = 0.0;
  const auto deficit = [&](const CellLoad& aLoad) {
    const double fairShare = shardsPerServer * static_cast<double>(aLoad.servers);
    return std::max(0.0, fairShare - static_cast<double>(aLoad.shards));
  };
  for (const CellLoad& it : aCells) {
    totalDeficit += it.cell == aCell ? 0.0 : deficit(it);
  }
  for (const CellLoad& it : aCells) {
    if (it.cell == aCell || deficit(it) <= 0.0) {
      continue;
    }
    const auto part = static_cast<std::size_t>(std::ceil(
      static_cast<double>(mustSendAll ? own->shards : surplus) * deficit(it) / totalDeficit));
    const std::size_t n = std::min(part, remaining);
    if (n > 0) {
      transfers.push_back({ it.cell, n });
      remaining -= n;
    }
  }
  return transfers;
}

} // namespace hawthornlug
