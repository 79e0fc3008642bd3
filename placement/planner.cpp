#include "placement/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hawthornlug {

namespace {

/// Loads of the servers while moves are chosen.
class Balance
{
public:
  Balance(const std::vector<ServerLoad>& aServers, const std::vector<ShardLoad>& aShards)
    : mServers(aServers)
    , mLoad(aServers.size(), 0.0)
    , mCount(aServers.size(), 0)
  {
    for (const ShardLoad& it : aShards) {
      Add(it.owner, it.work);
    }
  }

  void Add(std::size_t aServer, double aWork)
  {
    mLoad[aServer] += Cost(aServer, aWork);
    ++mCount[aServer];
  }

  void Move(std::size_t aFrom, std::size_t aTo, double aWork)
  {
    mLoad[aFrom] -= Cost(aFrom, aWork);
    --mCount[aFrom];
    Add(aTo, aWork);
  }

  /// What @p aWork costs on a server, relative to what that server bears.
  double Cost(std::size_t aServer, double aWork) const
  {
    return aWork * mServers[aServer].slowness / mServers[aServer].capacity;
  }

  double Load(std::size_t aServer) const { return mLoad[aServer]; }

  /// The higher of the two servers' loads after a move.
  double After(std::size_t aFrom, std::size_t aTo, double aWork) const
  {
    return std::max(mLoad[aTo] + Cost(aTo, aWork), mLoad[aFrom] - Cost(aFrom, aWork));
  }

  /// The accepting server that is loaded least, shards counting where loads are equal.
  std::size_t Lightest(std::size_t aExcept) const
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

  std::size_t Heaviest() const
  {
    std::size_t best = 0;
    for (std::size_t n = 1; n < mServers.size(); ++n) {
      if (mLoad[n] > mLoad[best]) {
        best = n;
      }
    }
    return best;
  }

  double Mean() const
  {
    std::size_t accepting = 0;
    double sum = 0.0;
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      sum += mLoad[n];
      accepting += mServers[n].accepting && !mServers[n].draining ? 1 : 0;
    }
    return accepting == 0 ? 0.0 : sum / static_cast<double>(accepting);
  }

private:
  std::pair<double, std::size_t> Rank(std::size_t aServer) const
  {
    return { mLoad[aServer], mCount[aServer] };
  }

  const std::vector<ServerLoad>& mServers;
  std::vector<double> mLoad;
  std::vector<std::size_t> mCount;
};

/// Shards by work, the most first, in an order that does not depend on the input's.
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

/// The movable shard of @p aFrom that levels the two servers best; the number of shards if none.
std::size_t BestMove(const std::vector<ShardLoad>& aShards,
                     const std::vector<std::size_t>& aOwners,
                     const Balance& aBalance,
                     std::size_t aFrom,
                     std::size_t aTo)
{
  std::size_t best = aShards.size();
  double bestAfter = aBalance.Load(aFrom);
  for (std::size_t n = 0; n < aShards.size(); ++n) {
    const ShardLoad& shard = aShards[n];
    if (aOwners[n] != aFrom || !shard.movable || shard.work <= 0.0) {
      continue;
    }
    const double after = aBalance.After(aFrom, aTo, shard.work);
    if (after < bestAfter) {
      best = n;
      bestAfter = after;
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
  Balance balance(aServers, aShards);
  const std::vector<std::size_t> order = HottestFirst(aShards);
  std::vector<std::size_t> owner(aShards.size());
  for (std::size_t n = 0; n < aShards.size(); ++n) {
    owner[n] = aShards[n].owner;
  }
  const auto move = [&](std::size_t aIndex, std::size_t aTo, MoveReason aReason) {
    balance.Move(owner[aIndex], aTo, aShards[aIndex].work);
    owner[aIndex] = aTo;
    moves.push_back({ aShards[aIndex].shard, aTo, aReason });
  };
  for (const std::size_t it : order) {
    if (!aServers[owner[it]].draining || moves.size() >= aRules.maxDrainMoves) {
      continue;
    }
    const std::size_t to = balance.Lightest(owner[it]);
    if (to < aServers.size()) {
      move(it, to, MoveReason::kDraining);
    }
  }
  std::size_t shed = 0;
  for (const std::size_t it : order) {
    const std::size_t from = owner[it];
    const bool straggling = aServers[from].slowness >= aRules.stragglerFrom;
    if (!straggling || shed >= aRules.maxStragglerMoves) {
      continue;
    }
    const std::size_t to = balance.Lightest(from);
    const double after = to < aServers.size()
                           ? balance.Load(to) + balance.Cost(to, aShards[it].work)
                           : balance.Load(from);
    if (after < balance.Load(from)) {
      move(it, to, MoveReason::kStraggler);
      ++shed;
    }
  }
  for (std::size_t round = 0; round < aBudget; ++round) {
    const std::size_t from = balance.Heaviest();
    const double mean = balance.Mean();
    const std::size_t to = balance.Lightest(from);
    const bool balanced = balance.Load(from) <= mean * aRules.tolerance;
    if (to >= aServers.size() || mean <= 0.0 || balanced) {
      break;
    }
    const std::size_t best = BestMove(aShards, owner, balance, from, to);
    if (best >= aShards.size() || balance.Load(from) - balance.After(from, to, aShards[best].work) <
                                    mean * aRules.leastGain) {
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
  const double perServer = static_cast<double>(shards) / static_cast<double>(servers);
  const double share = perServer * static_cast<double>(own->servers);
  const bool out = own->servers == 0;
  if (!out && static_cast<double>(own->shards) <= share * aTolerance) {
    return transfers;
  }
  const auto surplus = static_cast<std::size_t>(static_cast<double>(own->shards) - share);
  std::size_t left = out ? own->shards : std::min(surplus, aBudget);
  double wanted = 0.0;
  const auto lack = [&](const CellLoad& aLoad) {
    const double fair = perServer * static_cast<double>(aLoad.servers);
    return std::max(0.0, fair - static_cast<double>(aLoad.shards));
  };
  for (const CellLoad& it : aCells) {
    wanted += it.cell == aCell ? 0.0 : lack(it);
  }
  for (const CellLoad& it : aCells) {
    if (it.cell == aCell || lack(it) <= 0.0) {
      continue;
    }
    const auto part = static_cast<std::size_t>(
      std::ceil(static_cast<double>(out ? own->shards : surplus) * lack(it) / wanted));
    const std::size_t n = std::min(part, left);
    if (n > 0) {
      transfers.push_back({ it.cell, n });
      left -= n;
    }
  }
  return transfers;
}

} // namespace hawthornlug
