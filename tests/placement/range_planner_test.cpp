/// @file
/// Key load and the plan of ranges, under hot keys side by side and servers that come and go.

#include "placement/range_planner.h"

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

std::vector<PlannedRange> Equal(unsigned aCount)
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

/// Carries moves out at once.
void Carry(std::vector<PlannedRange>& aRanges, const std::vector<RangeMove>& aMoves)
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

std::map<std::string, double> Work(const std::vector<PlannedRange>& aRanges, const KeyLoad& aLoad)
{
  std::map<std::string, double> work;
  for (const PlannedRange& it : aRanges) {
    work[it.owner] += aLoad.Of(it.keys);
  }
  return work;
}

double Highest(const std::map<std::string, double>& aWork)
{
  double highest = 0.0;
  for (const auto& [server, work] : aWork) {
    highest = std::max(highest, work);
  }
  return highest;
}

} // namespace

TEST_CASE("a steady load is told as work per second, and old load is forgotten", "[placement]")
{
  KeyLoad load(milliseconds(2500));
  Instant now = kStart;
  for (unsigned n = 0; n < 600; ++n) {
    load.Add(7, milliseconds(100), now);
    now += milliseconds(50);
    if (n % 5 == 0) {
      load.Settle(now);
    }
  }
  load.Settle(now);
  // 20 requests of 100 ms a second keep two slots busy.
  CHECK(load.Of({ 7, 7 }) == Approx(2.0).epsilon(0.1));
  CHECK(load.Of({ 8, kLastKey }) == 0.0);
  load.Settle(now + seconds(5));
  CHECK(load.Total() == Approx(0.5).epsilon(0.1));
  load.Settle(now + seconds(60));
  CHECK(load.Total() == 0.0);
}

TEST_CASE("hot keys side by side are cut apart and spread", "[placement]")
{
  const unsigned keys = GENERATE(2u, 60u, 200u);
  KeyLoad load(seconds(2));
  load.Settle(kStart);
  for (unsigned n = 0; n < keys; ++n) {
    load.Add(20000 + n, Duration(seconds(16)) / keys, kStart);
  }
  std::vector<PlannedRange> ranges = Equal(15);
  const double before = Highest(Work(ranges, load));
  for (unsigned n = 0; n < 10; ++n) {
    Carry(ranges, PlanRanges(ranges, Servers(15), load, {}));
  }
  const double after = Highest(Work(ranges, load));
  INFO(before << " -> " << after);
  // The whole needs about two servers; two keys can only be halved.
  CHECK(after <= (keys == 2 ? 0.51 : 0.4) * before);
}

TEST_CASE("a single key is never worth moving onto a fuller server", "[placement]")
{
  KeyLoad load(seconds(2));
  load.Settle(kStart);
  load.Add(20000, seconds(30), kStart);
  const std::vector<RangeMove> moves = PlanRanges(Equal(15), Servers(15), load, {});
  for (const RangeMove& it : moves) {
    CHECK_FALSE(it.keys.Contains(20000));
  }
}

TEST_CASE("a level load is left where it is", "[placement]")
{
  KeyLoad load(seconds(2));
  load.Settle(kStart);
  for (unsigned n = 0; n < 1500; ++n) {
    load.Add(n * 43, milliseconds(60), kStart);
  }
  CHECK(PlanRanges(Equal(15), Servers(15), load, {}).empty());
}

TEST_CASE("a server that must lose its keys loses all of them at once", "[placement]")
{
  KeyLoad load(seconds(2));
  load.Settle(kStart);
  for (unsigned n = 0; n < 1500; ++n) {
    load.Add(n * 43, milliseconds(60), kStart);
  }
  std::vector<PlannedRange> ranges = Equal(15);
  std::vector<PlannedServer> servers = Servers(15);
  for (const unsigned n : { 3u, 4u, 5u }) {
    ranges[n].mustMove = true;
    servers[n].open = false;
  }
  Carry(ranges, PlanRanges(ranges, servers, load, {}));
  const auto work = Work(ranges, load);
  for (const char* const it : { "s3", "s4", "s5" }) {
    CHECK(work.count(it) == 0);
  }
  CHECK(Highest(work) < 2.0 * load.Total() / 12);
}

TEST_CASE("servers that join get keys, also when all is quiet", "[placement]")
{
  KeyLoad load(seconds(2));
  load.Settle(kStart);
  std::vector<PlannedRange> ranges = Equal(12);
  const std::vector<PlannedServer> servers = Servers(15);
  for (unsigned n = 0; n < 3; ++n) {
    Carry(ranges, PlanRanges(ranges, servers, load, {}));
  }
  std::map<std::string, unsigned> owned;
  for (const PlannedRange& it : ranges) {
    owned[it.owner] += it.keys.Width();
  }
  CHECK(owned.size() == 15);
}

TEST_CASE("without any open server nothing is planned", "[placement]")
{
  KeyLoad load(seconds(2));
  std::vector<PlannedRange> ranges = Equal(2);
  ranges[0].mustMove = true;
  std::vector<PlannedServer> servers = Servers(2);
  servers[0].open = servers[1].open = false;
  CHECK(PlanRanges(ranges, servers, load, {}).empty());
}
