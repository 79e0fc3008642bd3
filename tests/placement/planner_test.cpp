#include "placement/planner.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <set>

using namespace hawthornlug;

namespace {

std::vector<ServerLoad> Servers(std::size_t aCount)
{
  std::vector<ServerLoad> servers(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    servers[n].id = "s" + std::to_string(n);
  }
  return servers;
}

std::vector<ShardLoad> Shards(std::size_t aCount, std::size_t aServers, double aExponent)
{
  std::vector<ShardLoad> shards;
  for (std::size_t n = 0; n < aCount; ++n) {
    const double work = 1.0 / std::pow(static_cast<double>(n + 1), aExponent);
    shards.push_back({ static_cast<ShardId>(n), n % aServers, work, true });
  }
  return shards;
}

void ApplyMoves(std::vector<ShardLoad>& aShards, const std::vector<PlannedMove>& aMoves)
{
  for (const PlannedMove& it : aMoves) {
    aShards[it.shard].owner = it.server;
  }
}

double MaxOverMeanLoad(const std::vector<ShardLoad>& aShards, std::size_t aServers)
{
  std::vector<double> load(aServers, 0.0);
  double sum = 0.0;
  for (const ShardLoad& it : aShards) {
    load[it.owner] += it.work;
    sum += it.work;
  }
  return *std::max_element(load.begin(), load.end()) * static_cast<double>(aServers) / sum;
}

} // namespace

TEST_CASE("no shard is moved while the load is balanced", "[placement]")
{
  std::vector<ShardLoad> shards = Shards(64, 4, 0.0);
  CHECK(PlanCell(Servers(4), shards, 100).empty());
}

TEST_CASE("the load is balanced in one round, and then nothing more is moved", "[placement]")
{
  const std::size_t servers = GENERATE(3u, 4u);
  std::vector<ShardLoad> shards = Shards(256, servers, 0.6);
  for (ShardLoad& it : shards) {
    it.owner = 0;
  }
  ApplyMoves(shards, PlanCell(Servers(servers), shards, 1000));
  CHECK(MaxOverMeanLoad(shards, servers) <= 1.15);
  CHECK(PlanCell(Servers(servers), shards, 1000).empty());
}

TEST_CASE("moves for balance stay within their budget", "[placement]")
{
  std::vector<ShardLoad> shards = Shards(256, 4, 1.0);
  for (ShardLoad& it : shards) {
    it.owner = 0;
  }
  const std::size_t budget = GENERATE(0u, 1u, 5u);
  CHECK(PlanCell(Servers(4), shards, budget).size() <= budget);
}

TEST_CASE("all shards are moved off a draining server and none to it", "[placement]")
{
  std::vector<ServerLoad> servers = Servers(4);
  servers[1].draining = true;
  servers[1].accepting = false;
  std::vector<ShardLoad> shards = Shards(64, 4, 1.0);
  const auto moves = PlanCell(servers, shards, 0);
  CHECK(moves.size() == 16);
  for (const PlannedMove& it : moves) {
    CHECK(it.server != 1);
    CHECK(it.reason == MoveReason::kDraining);
  }
}

TEST_CASE("the hottest shards are moved off a straggler", "[placement]")
{
  std::vector<ServerLoad> servers = Servers(4);
  servers[2].slowness = 10.0;
  std::vector<ShardLoad> shards = Shards(64, 4, 1.0);
  const auto moves = PlanCell(servers, shards, 0);
  REQUIRE_FALSE(moves.empty());
  CHECK(moves.front().shard == 2);
  for (const PlannedMove& it : moves) {
    CHECK(shards[it.shard].owner == 2);
  }
}

TEST_CASE("a shard that is not movable is not moved for balance", "[placement]")
{
  std::vector<ShardLoad> shards = Shards(64, 4, 1.0);
  for (ShardLoad& it : shards) {
    it.owner = 0;
    it.movable = it.shard % 2 == 0;
  }
  for (const PlannedMove& it : PlanCell(Servers(4), shards, 1000)) {
    CHECK(it.shard % 2 == 0);
  }
}

TEST_CASE("cells get shards in proportion to the number of their servers", "[placement]")
{
  struct Row
  {
    std::vector<CellLoad> cells;
    std::size_t sent;
  };
  const auto row = GENERATE(values<Row>({
    { { { "a", 30, 3 }, { "b", 30, 3 } }, 0 },
    { { { "a", 64, 3 }, { "b", 0, 3 } }, 32 },
    { { { "a", 30, 0 }, { "b", 30, 3 } }, 30 },
    { { { "a", 30, 0 }, { "b", 30, 0 } }, 0 },
    { { { "a", 31, 3 }, { "b", 29, 3 } }, 0 },
    { { { "a", 30, 0 }, { "b", 15, 3 }, { "c", 15, 3 } }, 30 },
  }));
  std::size_t sent = 0;
  for (const CellTransfer& it : PlanTransfers("a", row.cells, 64, 1.1)) {
    CHECK(it.toCell != "a");
    sent += it.shards;
  }
  CHECK(sent == row.sent);
}
