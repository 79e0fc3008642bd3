/// @file
/// Placement policies side by side on small fakes: hawthornlug's planner, consistent hashing by
/// rendezvous without moves, and least-loaded greedy without a budget. One table in one run.
///
/// usage: placement [SEEDS]
/// Twelve servers of three slots, 1,024 shards, 20,000 keys. Two of twelve servers are ten times
/// slower for 30 s in the middle of a run of 90 s; the second half of the first 30 s is the quiet
/// time that imbalance, churn and the first latencies are taken from.

#include "core/hashing.h"
#include "placement/cell_planner.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace {

using namespace hawthornlug;

constexpr std::size_t kServers = 12;
constexpr std::size_t kCells = 4;
constexpr std::size_t kSlots = 3;
constexpr std::size_t kShards = 1024;
constexpr std::size_t kKeys = 20000;
constexpr double kServiceSeconds = 0.006;
constexpr double kUtilisation = 0.5;
constexpr double kSeconds = 90.0;
constexpr double kSlowFrom = 30.0;
constexpr double kSlowUntil = 60.0;
constexpr double kSlowness = 10.0;
constexpr double kWarmup = 15.0;

/// What a policy sees each second.
struct Round
{
  double now = 0.0;
  std::vector<std::size_t> owners;
  /// Seconds that servers spent on each shard in the last second.
  std::vector<double> busy;
  /// Mean time of an order at each server in the last second; 0 if there was none.
  std::vector<double> latency;
};

class Policy
{
public:
  virtual ~Policy() = default;
  virtual const char* Name() const = 0;
  virtual std::vector<std::size_t> Initial() const = 0;
  /// Returns the owners from now on.
  virtual std::vector<std::size_t> Plan(const Round& aRound) = 0;
};

std::string NameOfServer(std::size_t aServer)
{
  return "server-" + std::to_string(aServer);
}

/// Each shard at the server of the highest weight, for good.
class ConsistentHashing : public Policy
{
public:
  const char* Name() const override { return "consistent hashing"; }
  std::vector<std::size_t> Initial() const override
  {
    std::vector<std::size_t> owners(kShards);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      std::uint64_t best = 0;
      for (std::size_t n = 0; n < kServers; ++n) {
        const std::uint64_t weight = RendezvousWeight(std::to_string(shard), NameOfServer(n));
        if (weight >= best) {
          best = weight;
          owners[shard] = n;
        }
      }
    }
    return owners;
  }
  std::vector<std::size_t> Plan(const Round& aRound) override { return aRound.owners; }
};

/// Every second all shards anew, the busiest first, each to the server that is loaded least.
class LeastLoaded : public Policy
{
public:
  const char* Name() const override { return "least loaded, no budget"; }
  std::vector<std::size_t> Initial() const override
  {
    std::vector<std::size_t> owners(kShards);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      owners[shard] = shard % kServers;
    }
    return owners;
  }
  std::vector<std::size_t> Plan(const Round& aRound) override
  {
    std::vector<std::size_t> order(kShards);
    for (std::size_t n = 0; n < kShards; ++n) {
      order[n] = n;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aRound.busy[aLeft] > aRound.busy[aRight];
    });
    std::vector<double> load(kServers, 0.0);
    std::vector<std::size_t> owners(kShards);
    for (const std::size_t shard : order) {
      const auto it = std::min_element(load.begin(), load.end());
      owners[shard] = static_cast<std::size_t>(it - load.begin());
      *it += aRound.busy[shard] + 1e-9;
    }
    return owners;
  }
};

/// The planner of the daemons: each cell decides alone.
class Planned : public Policy
{
public:
  Planned()
  {
    for (std::size_t cell = 0; cell < kCells; ++cell) {
      mPlanners.emplace_back(PlannerBudget{ 1.0, kShards / kCells });
    }
  }
  const char* Name() const override { return "hawthornlug"; }
  std::vector<std::size_t> Initial() const override
  {
    std::vector<std::size_t> owners(kShards);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      owners[shard] = CellOf(shard) * kPerCell + shard % kPerCell;
    }
    return owners;
  }
  std::vector<std::size_t> Plan(const Round& aRound) override
  {
    std::vector<std::size_t> owners = aRound.owners;
    const Instant now{ microseconds(static_cast<std::int64_t>(aRound.now * 1e6)) };
    for (std::size_t cell = 0; cell < kCells; ++cell) {
      std::vector<ServerSample> servers;
      for (std::size_t n = 0; n < kPerCell; ++n) {
        const std::size_t server = cell * kPerCell + n;
        servers.push_back({ NameOfServer(server), true, false, aRound.latency[server], 100 });
      }
      std::vector<ShardSample> shards;
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        if (CellOf(shard) == cell) {
          shards.push_back(
            { static_cast<ShardId>(shard), owners[shard] - cell * kPerCell, aRound.busy[shard] });
        }
      }
      for (const PlannedMove& it : mPlanners[cell].Plan(now, servers, shards)) {
        owners[it.shard] = cell * kPerCell + it.server;
        mPlanners[cell].OnMoveStarted(now, it);
      }
    }
    return owners;
  }

private:
  static constexpr std::size_t kPerCell = kServers / kCells;
  static std::size_t CellOf(std::size_t aShard) { return aShard * kCells / kShards; }

  std::vector<CellPlanner> mPlanners;
};

struct Outcome
{
  double imbalance = 0.0;
  double churn = 0.0;
  double slowChurn = 0.0;
  std::vector<double> quiet;
  std::vector<double> slow;
};

double Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto n = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(n), aValues.end());
  return aValues[n];
}

/// Servers with slots and queues, and callers that do not wait for each other.
Outcome Simulate(Policy& aPolicy, double aZipf, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> weights(kKeys);
  std::vector<std::size_t> shardOf(kKeys);
  for (std::size_t n = 0; n < kKeys; ++n) {
    weights[n] = 1.0 / std::pow(static_cast<double>(n + 1), aZipf);
    shardOf[n] = ShardOf("key-" + std::to_string(aSeed) + "-" + std::to_string(n), kShards);
  }
  std::discrete_distribution<std::size_t> keys(weights.begin(), weights.end());
  const double rate = kUtilisation * kServers * kSlots / kServiceSeconds;
  std::exponential_distribution<double> gap(rate);
  std::gamma_distribution<double> service(8.0, kServiceSeconds / 8.0);
  std::vector<std::priority_queue<double, std::vector<double>, std::greater<>>> slots(kServers);
  for (auto& it : slots) {
    for (std::size_t n = 0; n < kSlots; ++n) {
      it.push(0.0);
    }
  }
  Round round;
  round.owners = aPolicy.Initial();
  round.busy.assign(kShards, 0.0);
  std::vector<double> spent(kServers, 0.0);
  std::vector<double> orders(kServers, 0.0);
  std::vector<double> work(kServers, 0.0);
  Outcome outcome;
  double nextRound = 1.0;
  std::size_t moved = 0;
  std::size_t slowMoved = 0;
  for (double now = gap(random); now < kSeconds; now += gap(random)) {
    while (now >= nextRound) {
      round.now = nextRound;
      round.latency.assign(kServers, 0.0);
      for (std::size_t n = 0; n < kServers; ++n) {
        round.latency[n] = orders[n] > 0 ? spent[n] / orders[n] : 0.0;
      }
      const std::vector<std::size_t> owners = aPolicy.Plan(round);
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        const bool changed = owners[shard] != round.owners[shard];
        moved += changed && nextRound > kWarmup && nextRound < kSlowFrom ? 1 : 0;
        slowMoved += changed && nextRound >= kSlowFrom ? 1 : 0;
      }
      round.owners = owners;
      round.busy.assign(kShards, 0.0);
      spent.assign(kServers, 0.0);
      orders.assign(kServers, 0.0);
      nextRound += 1.0;
    }
    const std::size_t shard = shardOf[keys(random)];
    const std::size_t server = round.owners[shard];
    const bool slow = server % 6 == 0 && now >= kSlowFrom && now < kSlowUntil;
    const double needed = service(random);
    const double takes = needed * (slow ? kSlowness : 1.0);
    const double start = std::max(now, slots[server].top());
    slots[server].pop();
    slots[server].push(start + takes);
    spent[server] += takes;
    orders[server] += 1.0;
    round.busy[shard] += takes;
    const double latency = start + takes - now;
    if (now >= kWarmup && now < kSlowFrom) {
      outcome.quiet.push_back(latency);
      work[server] += needed;
    } else if (now >= kSlowFrom && now < kSlowUntil) {
      outcome.slow.push_back(latency);
    }
  }
  double sum = 0.0;
  for (const double it : work) {
    sum += it;
  }
  outcome.imbalance = *std::max_element(work.begin(), work.end()) * kServers / sum;
  const double quietMinutes = (kSlowFrom - kWarmup) / 60.0;
  const double slowMinutes = (kSeconds - kSlowFrom) / 60.0;
  outcome.churn = 100.0 * static_cast<double>(moved) / kShards / quietMinutes;
  outcome.slowChurn = 100.0 * static_cast<double>(slowMoved) / kShards / slowMinutes;
  return outcome;
}

/// Mean and spread of one figure over the seeds.
class Spread
{
public:
  void Add(double aValue) { mValues.push_back(aValue); }
  void Print(const char* aFormat) const
  {
    const auto [low, high] = std::minmax_element(mValues.begin(), mValues.end());
    char buf[64];
    const int n = std::snprintf(buf, sizeof buf, aFormat, *low);
    std::snprintf(buf + n, sizeof buf - static_cast<std::size_t>(n), "-");
    std::snprintf(buf + n + 1, sizeof buf - static_cast<std::size_t>(n) - 1, aFormat, *high);
    std::printf("%18s", buf);
  }

private:
  std::vector<double> mValues;
};

void RunPolicy(const std::function<std::unique_ptr<Policy>()>& aMake, double aZipf, int aSeeds)
{
  std::vector<Spread> spreads(8);
  std::string name;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    const auto policy = aMake();
    name = policy->Name();
    const Outcome it = Simulate(*policy, aZipf, static_cast<std::uint64_t>(seed));
    spreads[0].Add(it.imbalance);
    spreads[1].Add(it.churn);
    spreads[2].Add(it.slowChurn);
    spreads[3].Add(1000 * Percentile(it.quiet, 0.5));
    spreads[4].Add(1000 * Percentile(it.quiet, 0.99));
    spreads[5].Add(1000 * Percentile(it.slow, 0.5));
    spreads[6].Add(1000 * Percentile(it.slow, 0.99));
    spreads[7].Add(1000 * Percentile(it.slow, 0.999));
  }
  std::printf("%4.1f  %-24s", aZipf, name.c_str());
  spreads[0].Print("%.2f");
  spreads[1].Print("%.1f");
  spreads[2].Print("%.1f");
  for (std::size_t n = 3; n < spreads.size(); ++n) {
    spreads[n].Print("%.0f");
  }
  std::printf("\n");
}

} // namespace

int main(int aCount, char** aWords)
{
  const int seeds = aCount > 1 ? std::atoi(aWords[1]) : 5;
  std::printf("lowest to highest of %d seeds; churn in percent of keys a minute, latencies in ms\n",
              seeds);
  std::printf("%-30s%18s%18s%18s%18s%18s%18s%18s%18s\n",
              "zipf  policy",
              "imbalance",
              "churn quiet",
              "churn slow",
              "p50 quiet",
              "p99 quiet",
              "p50 slow",
              "p99 slow",
              "p99.9 slow");
  for (const double zipf : { 0.9, 1.0, 1.2 }) {
    RunPolicy([] { return std::make_unique<ConsistentHashing>(); }, zipf, seeds);
    RunPolicy([] { return std::make_unique<LeastLoaded>(); }, zipf, seeds);
    RunPolicy([] { return std::make_unique<Planned>(); }, zipf, seeds);
  }
  return 0;
}
