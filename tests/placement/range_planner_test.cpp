/// @file
/// Tests the measurement of load by key and the planning of range moves: adjacent hot keys, servers
/// that join and servers that must lose their keys.

#include "placement/range_planner.h"

#include "placement/fleet_planner.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };

std::vector<PlannedServer> Servers(unsigned aCount, double aCapacity = 3.0)
{
  std::vector<PlannedServer> servers;
  for (unsigned n = 0; n < aCount; ++n) {
    servers.push_back({ "s" + std::to_string(n), aCapacity, true });
  }
  return servers;
}

std::vector<PlannedRange> EqualRanges(unsigned aCount)
{
  std::vector<PlannedRange> ranges;
  const unsigned keys = kLastKey + 1;
  for (unsigned n = 0; n < aCount; ++n) {
    PlannedRange range;
    range.keys = { keys * n / aCount, keys * (n + 1) / aCount - 1 };
    range.owner = "s" + std::to_string(n);
    ranges.push_back(range);
  }
  return ranges;
}

/// Returns the moves that PlanFleet() plans, in the form of PlanRanges().
std::vector<RangeMove> PlanByCost(const std::vector<PlannedRange>& aRanges,
                                  const std::vector<PlannedServer>& aServers,
                                  const KeyLoad& aLoad)
{
  std::vector<double> work;
  for (RangeKey key = 0; key <= kLastKey; ++key) {
    work.push_back(aLoad.WorkIn({ key, key }));
  }
  std::vector<RangeMove> moves;
  for (const FleetMove& it : PlanFleet(aRanges, aServers, { work, work }, {}).moves) {
    moves.push_back(it.move);
  }
  return moves;
}

using Planner = std::vector<RangeMove> (*)(const std::vector<PlannedRange>&,
                                           const std::vector<PlannedServer>&,
                                           const KeyLoad&);

std::vector<RangeMove> PlanByNumber(const std::vector<PlannedRange>& aRanges,
                                    const std::vector<PlannedServer>& aServers,
                                    const KeyLoad& aLoad)
{
  return PlanRanges(aRanges, aServers, aLoad, {});
}

/// Changes the ranges as if all moves were complete.
void ApplyMoves(std::vector<PlannedRange>& aRanges, const std::vector<RangeMove>& aMoves)
{
  for (const RangeMove& move : aMoves) {
    std::vector<PlannedRange> next;
    for (const PlannedRange& it : aRanges) {
      if (!it.keys.Overlaps(move.keys)) {
        next.push_back(it);
        continue;
      }
      REQUIRE(it.keys.Contains(move.keys.from));
      REQUIRE(it.keys.Contains(move.keys.to));
      PlannedRange part = it;
      if (it.keys.from < move.keys.from) {
        part.keys = { it.keys.from, move.keys.from - 1 };
        next.push_back(part);
      }
      part.keys = move.keys;
      part.owner = move.to;
      part.mustMove = false;
      next.push_back(part);
      part = it;
      if (move.keys.to < it.keys.to) {
        part.keys = { move.keys.to + 1, it.keys.to };
        next.push_back(part);
      }
    }
    aRanges = next;
  }
}

std::map<std::string, double> WorkByServer(const std::vector<PlannedRange>& aRanges,
                                           const KeyLoad& aLoad)
{
  std::map<std::string, double> work;
  for (const PlannedRange& it : aRanges) {
    work[it.owner] += aLoad.WorkIn(it.keys);
  }
  return work;
}

double HighestWork(const std::map<std::string, double>& aWork)
{
  double highest = 0.0;
  for (const auto& [server, work] : aWork) {
    highest = std::max(highest, work);
  }
  return highest;
}

} // namespace

TEST_CASE("a steady load is reported as work per second, and old load decays", "[placement]")
{
  KeyLoad load(milliseconds(2500));
  Instant now = kStart;
  for (unsigned n = 0; n < 600; ++n) {
    load.Add(7, milliseconds(100), now);
    now += milliseconds(50);
    if (n % 5 == 0) {
      load.Decay(now);
    }
  }
  load.Decay(now);
  // 20 requests of 100 ms a second keep two slots busy.
  CHECK(load.WorkIn({ 7, 7 }) == Approx(2.0).epsilon(0.1));
  CHECK(load.WorkIn({ 8, kLastKey }) == 0.0);
  load.Decay(now + seconds(5));
  CHECK(load.TotalWork() == Approx(0.5).epsilon(0.1));
  load.Decay(now + seconds(60));
  CHECK(load.TotalWork() == 0.0);
}

TEST_CASE("adjacent hot keys are split and spread over servers", "[placement]")
{
  const Planner plan = GENERATE(&PlanByNumber, &PlanByCost);
  const unsigned keys = GENERATE(2u, 60u, 200u);
  KeyLoad load(seconds(2));
  load.Decay(kStart);
  for (unsigned n = 0; n < keys; ++n) {
    load.Add(20000 + n, Duration(seconds(16)) / keys, kStart);
  }
  std::vector<PlannedRange> ranges = EqualRanges(15);
  const double before = HighestWork(WorkByServer(ranges, load));
  for (unsigned n = 0; n < 10; ++n) {
    ApplyMoves(ranges, plan(ranges, Servers(15), load));
  }
  const double after = HighestWork(WorkByServer(ranges, load));
  INFO(before << " -> " << after);
  // All keys together need about two servers; of two keys, each can only get its own server.
  CHECK(after <= (keys == 2 ? 0.51 : 0.4) * before);
}

TEST_CASE("a single hot key is not moved if that only moves the overload", "[placement]")
{
  const Planner plan = GENERATE(&PlanByNumber, &PlanByCost);
  KeyLoad load(seconds(2));
  load.Decay(kStart);
  load.Add(20000, seconds(30), kStart);
  const std::vector<RangeMove> moves = plan(EqualRanges(15), Servers(15), load);
  for (const RangeMove& it : moves) {
    CHECK_FALSE(it.keys.Contains(20000));
  }
}

TEST_CASE("a balanced load causes no moves", "[placement]")
{
  const Planner plan = GENERATE(&PlanByNumber, &PlanByCost);
  KeyLoad load(seconds(2));
  load.Decay(kStart);
  for (unsigned n = 0; n < 1500; ++n) {
    load.Add(n * 43, milliseconds(60), kStart);
  }
  CHECK(plan(EqualRanges(15), Servers(15), load).empty());
}

TEST_CASE("a server that must lose its keys loses all of them in one plan", "[placement]")
{
  const Planner plan = GENERATE(&PlanByNumber, &PlanByCost);
  KeyLoad load(seconds(2));
  load.Decay(kStart);
  for (unsigned n = 0; n < 1500; ++n) {
    load.Add(n * 43, milliseconds(60), kStart);
  }
  std::vector<PlannedRange> ranges = EqualRanges(15);
  std::vector<PlannedServer> servers = Servers(15);
  for (const unsigned n : { 3u, 4u, 5u }) {
    ranges[n].mustMove = true;
    servers[n].open = false;
  }
  ApplyMoves(ranges, plan(ranges, servers, load));
  const auto work = WorkByServer(ranges, load);
  for (const char* const it : { "s3", "s4", "s5" }) {
    CHECK(work.count(it) == 0);
  }
  CHECK(HighestWork(work) < 2.0 * load.TotalWork() / 12);
}

TEST_CASE("servers that join get keys, also without load", "[placement]")
{
  const Planner plan = GENERATE(&PlanByNumber, &PlanByCost);
  KeyLoad load(seconds(2));
  load.Decay(kStart);
  std::vector<PlannedRange> ranges = EqualRanges(12);
  const std::vector<PlannedServer> servers = Servers(15);
  for (unsigned n = 0; n < 3; ++n) {
    ApplyMoves(ranges, plan(ranges, servers, load));
  }
  std::map<std::string, unsigned> ownedKeys;
  for (const PlannedRange& it : ranges) {
    ownedKeys[it.owner] += it.keys.Width();
  }
  CHECK(ownedKeys.size() == 15);
}

TEST_CASE("nothing is planned if no server may be assigned keys", "[placement]")
{
  const Planner plan = GENERATE(&PlanByNumber, &PlanByCost);
  KeyLoad load(seconds(2));
  std::vector<PlannedRange> ranges = EqualRanges(2);
  ranges[0].mustMove = true;
  std::vector<PlannedServer> servers = Servers(2);
  servers[0].open = servers[1].open = false;
  CHECK(plan(ranges, servers, load).empty());
}
