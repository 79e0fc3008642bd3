/// @file
/// What operators do, as processes: drains, failure domains out and in, shutdowns, races.

#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace hawthornlug::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// "A few seconds" in which a change must have taken effect.
constexpr seconds kFewSeconds{ 5 };
/// An accepted configuration is in force everywhere within this.
constexpr seconds kInForce{ 8 };

std::uint64_t Served(Fleet& aFleet, const std::string& aServer)
{
  return aFleet.Get(aFleet.Server(aServer).url, "/counters").value("served", 0);
}

std::uint64_t ServedIn(Fleet& aFleet, const std::string& aDomain)
{
  std::uint64_t served = 0;
  for (const Process& it : aFleet.Servers()) {
    served += it.domain == aDomain ? Served(aFleet, it.id) : 0;
  }
  return served;
}

std::size_t ShardsIn(Fleet& aFleet, const std::string& aDomain)
{
  for (const Process& it : aFleet.Daemons()) {
    if (it.domain != aDomain || it.pid == 0) {
      continue;
    }
    const json status = aFleet.Get(it.url, "/-/status");
    for (const json& cell : status["cells"]) {
      if (cell["role"] == "attached") {
        return cell["shards"];
      }
    }
  }
  return 0;
}

const LoadShape kLightLoad = { .rate = 200, .seconds = 2, .keys = 2000, .writes = 0.5 };

} // namespace

TEST_CASE("a draining server gets no new work after a few seconds and nothing is refused",
          "[process]")
{
  Fleet fleet(FleetShape{});
  const std::string server = fleet.Servers()[0].id;
  auto load =
    fleet.StartLoad({ .rate = 200, .seconds = 6, .keys = 2000, .writes = 0.5, .log = "drain" });
  load.wait_for(seconds(1));
  REQUIRE(fleet.Apply(fleet.Config({ { server, "draining" } })) == 0);
  const bool empty = WaitUntil(kFewSeconds, [&] {
    return fleet.Get(fleet.Server(server).url, "/counters").value("grants", 1) == 0;
  });
  CHECK(empty);
  const json result = load.get();
  INFO(result.dump());
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  const std::uint64_t served = Served(fleet, server);
  fleet.Load(kLightLoad);
  CHECK(Served(fleet, server) == served);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("drain")), Catch::Equals(std::string()));
}

TEST_CASE("a failure domain that is taken out gets no new work after a few seconds", "[process]")
{
  Fleet fleet(FleetShape{});
  auto load =
    fleet.StartLoad({ .rate = 200, .seconds = 7, .keys = 2000, .writes = 0.5, .log = "out" });
  load.wait_for(seconds(1));
  REQUIRE(fleet.Apply(fleet.Config({ { "south", "out" } })) == 0);
  CHECK(WaitUntil(kFewSeconds, [&] { return ShardsIn(fleet, "south") == 0; }));
  const json result = load.get();
  INFO(result.dump());
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  const std::uint64_t served = ServedIn(fleet, "south");
  const json after = fleet.Load(kLightLoad);
  CHECK(after["outcomes"].value("done", 0) == after["requests"]);
  CHECK(ServedIn(fleet, "south") == served);
  // Brought back, it gets its share again and nothing is refused meanwhile.
  REQUIRE(fleet.Apply(fleet.Config()) == 0);
  const json back =
    fleet.Load({ .rate = 200, .seconds = 4, .keys = 2000, .writes = 0.5, .log = "back" });
  CHECK(back["outcomes"].value("done", 0) == back["requests"]);
  CHECK(WaitUntil(seconds(20), [&] { return ShardsIn(fleet, "south") >= 28; }));
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("back")), Catch::Equals(std::string()));
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("out")), Catch::Equals(std::string()));
}

TEST_CASE("a graceful shutdown of a daemon cuts no request", "[process]")
{
  Fleet fleet(FleetShape{});
  const json explained = fleet.Explain("k1");
  Process& leaving = fleet.Daemon(explained["attached"]["id"]);
  std::vector<Process> all = fleet.Daemons();
  // The balancer sends callers to hosts that are ready: all but the one that leaves.
  std::vector<std::string> targets;
  for (const Process& it : all) {
    if (it.id != leaving.id) {
      targets.push_back(it.url);
    }
  }
  auto load = fleet.StartLoad(
    { .rate = 300, .seconds = 5, .keys = 500, .writes = 0.7, .log = "leave", .targets = targets });
  load.wait_for(seconds(1));
  fleet.Signal(leaving, SIGTERM);
  CHECK(fleet.WaitForEnd(leaving) == 0);
  const json result = load.get();
  INFO(result.dump());
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("leave")), Catch::Equals(std::string()));
}

// Guards against LOST: the daemon ended while answers to orders of other daemons were due from it.
TEST_CASE("a graceful shutdown of a daemon answers the orders that other daemons have sent it",
          "[process]")
{
  FleetShape shape;
  // Longer than it takes to hand the cells over; half of the deadline, since an order that is at
  // work when its cell changes hands is begun anew.
  shape.workUs = 3000000;
  shape.deadlineMs = 9500;
  Fleet fleet(shape);
  Process& leaving = fleet.Daemon(fleet.Explain("k1")["attached"]["id"]);
  std::size_t entry = 0;
  while (fleet.Daemons()[entry].id == leaving.id) {
    ++entry;
  }
  auto answer = std::async(std::launch::async, [&] { return fleet.Call(entry, "POST", "k1"); });
  answer.wait_for(milliseconds(500));
  fleet.Signal(leaving, SIGTERM);
  CHECK(fleet.WaitForEnd(leaving) == 0);
  const CallerAnswer got = answer.get();
  INFO(got.reason);
  CHECK(got.status == 200);
  CHECK(got.outcome == "done");
}

TEST_CASE("a graceful shutdown of a server cuts no request", "[process]")
{
  Fleet fleet(FleetShape{});
  Process& leaving = fleet.Servers()[0];
  auto load = fleet.StartLoad(
    { .rate = 300, .seconds = 6, .keys = 500, .writes = 0.7, .log = "server-leaves" });
  load.wait_for(seconds(1));
  // Nobody drains it: that it leaves is learned from the server alone.
  fleet.Signal(leaving, SIGTERM);
  const bool released = WaitUntil(
    kFewSeconds, [&] { return fleet.Get(leaving.url, "/counters").value("grants", 0) == 0; });
  CHECK(released);
  CHECK(fleet.WaitForEnd(leaving) == 0);
  const json result = load.get();
  INFO(result.dump());
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("server-leaves")), Catch::Equals(std::string()));
}

TEST_CASE("a cold server gets no more than it bears", "[process]")
{
  FleetShape shape;
  shape.coldOrders = 40;
  shape.workUs = 4000;
  Fleet fleet(shape);
  auto load = fleet.StartLoad(
    { .rate = 250, .seconds = 8, .keys = 2000, .writes = 0.5, .threads = 32, .log = "cold" });
  load.wait_for(seconds(3));
  // It comes back without warning, and its report says that it is warm.
  fleet.Restart(fleet.Servers()[0]);
  const json result = load.get();
  INFO(result.dump());
  for (const Process& it : fleet.Servers()) {
    const json counters = fleet.Get(it.url, "/counters");
    INFO(it.id << " " << counters.dump());
    CHECK(counters.value("cold_overloads", 0) == 0);
    CHECK(counters.value("overloads", 0) == 0);
  }
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("cold")), Catch::Equals(std::string()));
}

TEST_CASE("operators who race get one winner and a clear conflict", "[process]")
{
  Fleet fleet(FleetShape{});
  const std::string one = fleet.Servers()[0].id;
  const std::string two = fleet.Servers()[1].id;
  std::vector<std::future<int>> races;
  races.reserve(6);
  for (int n = 0; n < 6; ++n) {
    races.push_back(std::async(std::launch::async, [&, n] {
      return fleet.Apply(fleet.Config({ { n % 2 == 0 ? one : two, "draining" } }), false);
    }));
  }
  int won = 0;
  for (auto& it : races) {
    const int code = it.get();
    CHECK((code == 0 || code == 1));
    won += code == 0 ? 1 : 0;
  }
  CHECK(won >= 1);
  // All daemons agree on what the last winner wrote.
  CHECK(fleet.Apply(fleet.Config({ { two, "draining" } })) == 0);
  // An answer that is lost after taking effect is settled by reading back.
  fleet.Platform({ { "lose_answers", 1 } });
  CHECK(fleet.Apply(fleet.Config({ { fleet.Servers()[1].id, "draining" } })) == 0);
}

TEST_CASE("an accepted configuration is in force everywhere and never reverts",
          "[process][sanitized]")
{
  Fleet fleet(FleetShape{});
  const auto version = [&](const Process& aDaemon) {
    return fleet.Get(aDaemon.url, "/-/status").value("config_version", 0);
  };
  // One failure domain can't reach the platform: it learns from the others.
  fleet.Platform({ { "down", true } }, "north");
  const int before = version(fleet.Daemons()[0]);
  REQUIRE(fleet.Apply(fleet.Config({ { fleet.Servers()[0].id, "draining" } }), false) == 0);
  const bool everywhere = WaitUntil(kInForce, [&] {
    return std::all_of(fleet.Daemons().begin(), fleet.Daemons().end(), [&](const Process& aDaemon) {
      return version(aDaemon) > before;
    });
  });
  CHECK(everywhere);
  // A daemon that starts while it can't reach the platform takes the newest from its peers.
  const int newest = version(fleet.Daemons()[3]);
  fleet.Restart(fleet.Daemons()[0]);
  CHECK(WaitUntil(kInForce, [&] { return version(fleet.Daemons()[0]) == newest; }));
}

TEST_CASE("the keys of a failure domain that is declared lost are served by the others",
          "[process]")
{
  Fleet fleet(FleetShape{});
  std::string key;
  for (int n = 0; key.empty(); ++n) {
    const std::string candidate = "k" + std::to_string(n);
    if (fleet.Explain(candidate)["domain"] == "south") {
      key = candidate;
    }
  }
  const CallerAnswer before = fleet.Call(0, "POST", key, "first");
  REQUIRE(before.outcome == "done");
  for (Process& it : fleet.Daemons()) {
    if (it.domain == "south") {
      fleet.Kill(it);
    }
  }
  for (Process& it : fleet.Servers()) {
    if (it.domain == "south") {
      fleet.Kill(it);
    }
  }
  REQUIRE(fleet.Apply(fleet.Config({ { "south", "lost" } }), false) == 0);
  CallerAnswer after;
  const bool served = WaitUntil(seconds(10), [&] {
    after = fleet.Call(0, "POST", key);
    return after.outcome == "done";
  });
  CHECK(served);
  CHECK(after.epoch > before.epoch);
  CHECK_THAT(fleet.CheckLedger({ { "first", "done" } }), Catch::Equals(std::string()));
}
