/// @file
/// Tests the planning of moves in large fleets under load: stretches of hot keys, single hot keys,
/// skewed load, and servers that do not answer.

#include "placement/fleet_planner.h"
#include "tests/support/placement_simulation.h"

#include <catch2/catch.hpp>
#include <chrono>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// A fleet that has been balanced under its ordinary traffic.
PlacementSimulation SettledFleet(unsigned aServers,
                                 unsigned aSeed,
                                 unsigned aMaxReleases = std::numeric_limits<unsigned>::max())
{
  PlacementSimulation fleet({ aServers, 2.5, aSeed, aMaxReleases });
  fleet.Run(seconds(20));
  fleet.moves = 0;
  fleet.repeatedMoves = 0;
  fleet.peakInMotion = fleet.peakTrueInMotion = 0.0;
  return fleet;
}

} // namespace

// Guards against a limit by number: six moves at a time left a fleet of 226 servers unbalanced.
TEST_CASE("skewed load is balanced with moves in parallel, and few moves follow", "[placement]")
{
  const unsigned servers = GENERATE(226u, 1000u);
  PlacementSimulation fleet({ servers, 2.5, 1 });
  const Duration time = fleet.RunUntilBalanced(seconds(30));
  const unsigned moves = fleet.moves;
  fleet.Run(seconds(30) - time);
  fleet.moves = 0;
  fleet.Run(seconds(10));
  INFO(servers << ": balanced after " << Millis(time) << " ms and " << moves << " moves, then "
               << fleet.moves << " moves in 10 s, " << fleet.repeatedMoves << " repeated");
  CHECK(time <= seconds(12));
  CHECK(fleet.peakInMotion <= 0.1);
  CHECK(fleet.repeatedMoves <= servers / 50);
  CHECK(fleet.moves <= servers / 5);
  CHECK(fleet.WorstRatio() <= 1.5);
}

// Guards against hot stretches that are recognised late, spread over too few servers, or moved
// again and again.
TEST_CASE("hot stretches of neighbouring keys are spread within two seconds", "[placement]")
{
  const unsigned servers = GENERATE(226u, 1000u);
  const unsigned seed = GENERATE(1u, 2u, 3u, 4u, 5u);
  PlacementSimulation fleet = SettledFleet(servers, seed);
  fleet.SetHot({ 20000, 200, 0.4 });
  const Duration first = fleet.RunUntilBalanced(seconds(5));
  const unsigned firstMoves = fleet.moves;
  fleet.Run(seconds(5) - first);
  const unsigned allFirstMoves = fleet.moves;
  const double worst = fleet.WorstRatio();
  fleet.SetHot({ 44000, 60, 0.4 });
  const Duration second = fleet.RunUntilBalanced(seconds(5));
  const unsigned secondMoves = fleet.moves;
  fleet.Run(seconds(5) - second);
  INFO(servers << "/" << seed << ": first " << Millis(first) << " ms, " << firstMoves << " moves, "
               << allFirstMoves - firstMoves << " later, worst " << worst << "; second "
               << Millis(second) << " ms, " << secondMoves - allFirstMoves << " moves, "
               << fleet.moves - secondMoves << " later, worst " << fleet.WorstRatio()
               << "; repeated " << fleet.repeatedMoves << ", in motion " << fleet.peakInMotion
               << ", truly " << fleet.peakTrueInMotion << ", ranges " << fleet.RangeCount());
  CHECK(first <= seconds(2));
  CHECK(second <= seconds(2));
  CHECK(worst <= 1.5);
  CHECK(fleet.WorstRatio() <= 1.5);
  CHECK(fleet.peakInMotion <= 0.1);
  // 200 keys have to leave one server, and a server that gets one of the 60 keys sheds others.
  CHECK(fleet.moves <= servers + 600);
  CHECK(fleet.repeatedMoves <= fleet.moves / 4);
}

// Guards against releases that wait for each other at one server for long: the leader sends a
// server few at a time, since each takes a connection.
TEST_CASE("a hot stretch is spread soon although its server is sent few releases at a time",
          "[placement]")
{
  const unsigned seed = GENERATE(1u, 2u, 3u, 4u, 5u);
  PlacementSimulation fleet = SettledFleet(226, seed, 12);
  fleet.SetHot({ 20000, 200, 0.4 });
  const Duration time = fleet.RunUntilBalanced(seconds(5));
  INFO(seed << ": " << Millis(time) << " ms, " << fleet.moves << " moves, truly in motion "
            << fleet.peakTrueInMotion);
  CHECK(time <= seconds(3));
  CHECK(fleet.peakInMotion <= 0.1);
}

// Guards against a key that is moved from server to server although none can do its work.
TEST_CASE("a key that is too hot for one server stays there alone", "[placement]")
{
  const unsigned servers = GENERATE(226u, 1000u);
  const unsigned seed = GENERATE(1u, 2u, 3u);
  PlacementSimulation fleet = SettledFleet(servers, seed);
  const RangeKey key = PlacementSimulation::KeyOf(30000);
  const std::string owner = fleet.OwnerOf(key);
  fleet.SetHot({ 30000, 1, 0.33 });
  Duration alone = Duration::zero();
  while (alone < seconds(5) && fleet.KeysOf(owner) > 1) {
    fleet.Run(milliseconds(50));
    alone += milliseconds(50);
  }
  fleet.Run(seconds(5) - alone);
  INFO(servers << "/" << seed << ": alone after " << Millis(alone) << " ms, " << fleet.moves
               << " moves, worst " << fleet.WorstRatio() << ", repeated " << fleet.repeatedMoves
               << ", in motion " << fleet.peakInMotion);
  CHECK(alone <= seconds(2));
  CHECK(fleet.OwnerOf(key) == owner);
  CHECK(fleet.KeysOf(owner) == 1);
  CHECK(fleet.movedBusyKeys.empty());
  CHECK(fleet.peakInMotion <= 0.1);
  CHECK(fleet.moves <= 50);
  CHECK(fleet.WorstRatio() <= 1.5);
  REQUIRE(fleet.lastPlan.hotKeys.size() == 1);
  CHECK(fleet.lastPlan.hotKeys.front().key == key);
  CHECK(fleet.lastPlan.hotKeys.front().server == owner);
}

// Guards against releases that get no answer and use up what may be in motion, so that servers that
// do answer can't be balanced either.
TEST_CASE("hot keys are spread although a third of the servers answer no release", "[placement]")
{
  const unsigned servers = GENERATE(226u, 1000u);
  const bool ownerAnswers = GENERATE(true, false);
  PlacementSimulation fleet = SettledFleet(servers, 1);
  std::set<std::string> silent;
  for (unsigned n = 0; n < servers; n += 3) {
    silent.insert("s" + std::to_string(n));
  }
  const std::string owner = fleet.OwnerOf(PlacementSimulation::KeyOf(20100));
  if (ownerAnswers) {
    silent.erase(owner);
  } else {
    silent.insert(owner);
  }
  fleet.SetSilent(silent, fleet.Now() + seconds(3));
  fleet.SetHot({ 20000, 200, 0.4 });
  const Duration time = fleet.RunUntilBalanced(seconds(8));
  INFO(servers << ", owner answers " << ownerAnswers << ": " << Millis(time) << " ms, "
               << fleet.moves << " moves, worst " << fleet.WorstRatio() << ", in motion "
               << fleet.peakInMotion);
  // Servers that are silent keep what they have until they answer, and then two seconds more.
  CHECK(time <= seconds(5));
  CHECK(fleet.peakInMotion <= 0.1);
}

// Guards against a record that grows with each hot stretch until no range can be split any more.
TEST_CASE("the pieces of stretches that have cooled down are joined again", "[placement]")
{
  PlacementSimulation fleet = SettledFleet(226, 1);
  std::size_t most = 0;
  for (unsigned n = 0; n < 8; ++n) {
    fleet.SetHot({ 3000 + 7000 * n, 200, 0.4 });
    const Duration time = fleet.RunUntilBalanced(seconds(5));
    CHECK(time <= seconds(2));
    fleet.Run(seconds(5) - time);
    INFO(n << ": " << Millis(time));
    fleet.SetHot({});
    fleet.Run(seconds(5));
    most = std::max(most, fleet.RangeCount());
  }
  fleet.Run(seconds(30));
  INFO("most " << most << ", in the end " << fleet.RangeCount() << ", moves " << fleet.moves
               << ", joins " << fleet.joins << ", repeated " << fleet.repeatedMoves);
  CHECK(most <= 6UL * 226);
  CHECK(fleet.RangeCount() <= 4UL * 226);
  CHECK(fleet.WorstRatio() <= 1.5);
  CHECK(fleet.peakInMotion <= 0.1);
}

TEST_CASE("a record with the largest number of ranges stays below 256 KB", "[placement]")
{
  RangeRecord record;
  record.leader = { "edge-bucharest-north-12", 1796552339128 };
  const RangeKey ranges = FleetPlanLimits().maxRanges;
  for (RangeKey n = 0; n < ranges; ++n) {
    const RangeKey next = static_cast<RangeKey>(65536ULL * (n + 1) / ranges);
    record.ranges.push_back({ { static_cast<RangeKey>(65536ULL * n / ranges), next - 1 },
                              { "i-4d3706814f", 1796552339128 },
                              1234567890 });
  }
  CHECK(EncodeRangeRecord(record).size() < 256UL * 1024);
}
