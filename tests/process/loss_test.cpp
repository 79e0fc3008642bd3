/// @file
/// Losses as processes: servers, daemons, the platform, and two of them together.

#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace hawthornlug::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A key is served again within this after a loss.
constexpr seconds kServedAgain{ 3 };

/// The place among the daemons of one that is not attached to the key's cell.
std::size_t OtherEntry(Fleet& aFleet, const std::string& aKey)
{
  const std::string attached = aFleet.Explain(aKey)["attached"]["id"];
  for (std::size_t n = 0; n < aFleet.Daemons().size(); ++n) {
    if (aFleet.Daemons()[n].id != attached) {
      return n;
    }
  }
  return 0;
}

/// Makes bookings until one is done; false if none is within the limit.
bool ServedWithin(Fleet& aFleet, std::size_t aEntry, const std::string& aKey, milliseconds aLimit)
{
  return WaitUntil(aLimit, [&] { return aFleet.Call(aEntry, "POST", aKey).outcome == "done"; });
}

} // namespace

TEST_CASE("a key is served again soon after its server is lost", "[process]")
{
  const bool platformDown = GENERATE(false, true);
  Fleet fleet(FleetShape{});
  const CallerAnswer before = fleet.Call(0, "POST", "k1", "first");
  REQUIRE(before.outcome == "done");
  const std::size_t entry = OtherEntry(fleet, "k1");
  if (platformDown) {
    fleet.Platform({ { "down", true } });
  }
  fleet.Kill(fleet.Server(before.server));
  CHECK(ServedWithin(fleet, entry, "k1", kServedAgain));
  const CallerAnswer after = fleet.Call(entry, "POST", "k1");
  CHECK(after.server != before.server);
  CHECK(after.epoch > before.epoch);
  CHECK(fleet.CheckLedger({ { "first", "done" } }).empty());
}

TEST_CASE("a key is served again soon after its attached daemon is lost", "[process]")
{
  Fleet fleet(FleetShape{});
  const CallerAnswer before = fleet.Call(0, "POST", "k1", "first");
  REQUIRE(before.outcome == "done");
  const std::size_t entry = OtherEntry(fleet, "k1");
  fleet.Kill(fleet.Daemon(fleet.Explain("k1")["attached"]["id"]));
  CHECK(ServedWithin(fleet, entry, "k1", kServedAgain));
  // The server was reachable all the time, so the owner has not changed.
  const CallerAnswer after = fleet.Call(entry, "POST", "k1");
  CHECK(after.server == before.server);
  CHECK(after.epoch == before.epoch);
  CHECK(fleet.CheckLedger({}).empty());
}

TEST_CASE("a key is served again after its daemon and its server are lost together", "[process]")
{
  Fleet fleet(FleetShape{});
  const CallerAnswer before = fleet.Call(0, "POST", "k1", "first");
  REQUIRE(before.outcome == "done");
  const std::size_t entry = OtherEntry(fleet, "k1");
  fleet.Kill(fleet.Server(before.server));
  fleet.Kill(fleet.Daemon(fleet.Explain("k1")["attached"]["id"]));
  CHECK(ServedWithin(fleet, entry, "k1", seconds(6)));
  CHECK(fleet.CheckLedger({}).empty());
}

TEST_CASE("a frozen server that wakes runs nothing that waited in its sockets", "[process]")
{
  const std::string fencing = GENERATE("checked", "unchecked");
  FleetShape shape;
  shape.fencing = fencing;
  Fleet fleet(shape);
  const CallerAnswer before = fleet.Call(0, "POST", "k1", "first");
  REQUIRE(before.outcome == "done");
  const std::size_t entry = OtherEntry(fleet, "k1");
  fleet.Signal(fleet.Server(before.server), SIGSTOP);
  std::vector<std::future<CallerAnswer>> waiting;
  waiting.reserve(3);
  for (int n = 0; n < 3; ++n) {
    waiting.push_back(std::async(std::launch::async, [&, n] {
      return fleet.Call(entry, "POST", "k1", "while-frozen-" + std::to_string(n));
    }));
  }
  std::map<std::string, std::string> outcomes;
  for (std::size_t n = 0; n < waiting.size(); ++n) {
    outcomes["while-frozen-" + std::to_string(n)] = waiting[n].get().outcome;
  }
  REQUIRE(ServedWithin(fleet, entry, "k1", seconds(10)));
  const CallerAnswer after = fleet.Call(entry, "POST", "k1", "after");
  CHECK(after.server != before.server);
  fleet.Signal(fleet.Server(before.server), SIGCONT);
  // The woken server is taken back into the cell; by then it has read all that waited.
  const bool back = WaitUntil(seconds(10), [&] {
    const auto status =
      fleet.Get(fleet.Daemon(fleet.Explain("k1")["attached"]["id"]).url, "/-/status");
    for (const auto& cell : status["cells"]) {
      for (const auto& it : cell["servers"]) {
        if (it["id"] == before.server && it["usable"] == true) {
          return true;
        }
      }
    }
    return false;
  });
  CHECK(back);
  CHECK(fleet.CheckLedger(outcomes).empty());
}

TEST_CASE("work goes on from memory while the platform is down", "[process]")
{
  Fleet fleet(FleetShape{});
  fleet.Platform({ { "down", true } });
  const auto result = fleet.Load({ .rate = 100, .seconds = 3, .writes = 0.5, .log = "outage" });
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  CHECK(fleet.CheckLedger(fleet.LoadLog("outage")).empty());
}

TEST_CASE("outcomes are true under kills at each hop", "[process][sanitized]")
{
  const std::string fencing = GENERATE("checked", "unchecked");
  FleetShape shape;
  shape.fencing = fencing;
  Fleet fleet(shape);
  auto load = fleet.StartLoad(
    { .rate = 300, .seconds = 8, .keys = 200, .writes = 0.7, .threads = 32, .log = "kills" });
  const auto pause = [&](milliseconds aTime) { load.wait_for(aTime); };
  pause(milliseconds(800));
  fleet.Kill(fleet.Servers()[0]);
  pause(milliseconds(800));
  fleet.Kill(fleet.Daemons()[1]);
  pause(milliseconds(800));
  fleet.Restart(fleet.Servers()[0]);
  fleet.Signal(fleet.Servers()[4], SIGSTOP);
  pause(milliseconds(1500));
  fleet.Signal(fleet.Servers()[4], SIGCONT);
  fleet.Restart(fleet.Daemons()[1]);
  pause(milliseconds(500));
  fleet.Platform({ { "lose_answers", 3 } });
  fleet.Kill(fleet.Servers()[3]);
  pause(milliseconds(700));
  fleet.Restart(fleet.Servers()[3]);
  const auto result = load.get();
  INFO(result.dump());
  CHECK(result["wrong_answers"] == 0);
  CHECK(result["outcomes"].value("done", 0) > 0);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("kills")), Catch::Equals(std::string()));
}

TEST_CASE("outcomes are true when a daemon freezes and wakes", "[process]")
{
  Fleet fleet(FleetShape{});
  std::vector<std::string> targets;
  for (std::size_t n = 1; n < fleet.Daemons().size(); ++n) {
    targets.push_back(fleet.Daemons()[n].url);
  }
  auto load = fleet.StartLoad({ .rate = 200,
                                .seconds = 7,
                                .keys = 200,
                                .writes = 0.7,
                                .threads = 32,
                                .log = "frozen",
                                .targets = targets });
  for (const milliseconds it : { milliseconds(300), milliseconds(1000), milliseconds(2500) }) {
    load.wait_for(milliseconds(500));
    fleet.Signal(fleet.Daemons()[0], SIGSTOP);
    load.wait_for(it);
    fleet.Signal(fleet.Daemons()[0], SIGCONT);
  }
  const auto result = load.get();
  INFO(result.dump());
  CHECK(result["wrong_answers"] == 0);
  CHECK(result["outcomes"].value("done", 0) > 0);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("frozen")), Catch::Equals(std::string()));
}

TEST_CASE("a domain that is cut off from the platform goes on with its shards", "[process]")
{
  Fleet fleet(FleetShape{});
  fleet.Platform({ { "down", true } }, "north");
  const auto result = fleet.Load({ .rate = 100, .seconds = 2, .writes = 0.5, .log = "cut" });
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  // A server lost now is replaced from memory.
  const CallerAnswer before = fleet.Call(0, "POST", "k7");
  REQUIRE(before.outcome == "done");
  fleet.Kill(fleet.Server(before.server));
  CHECK(ServedWithin(fleet, 0, "k7", kServedAgain));
  CHECK(fleet.CheckLedger(fleet.LoadLog("cut")).empty());
}

TEST_CASE("a daemon that is restarted while the platform is down costs its cells only", "[process]")
{
  Fleet fleet(FleetShape{});
  const CallerAnswer before = fleet.Call(0, "POST", "k1", "first");
  REQUIRE(before.outcome == "done");
  const std::string lost = fleet.Explain("k1")["attached"]["id"];
  const std::size_t entry = OtherEntry(fleet, "k1");
  fleet.Platform({ { "down", true } });
  fleet.Restart(fleet.Daemon(lost));
  const auto load =
    fleet.Load({ .rate = 50, .seconds = 3, .writes = 1, .threads = 64, .log = "restart" });
  INFO(load.dump());
  // The other failure domain serves on, and what is refused or unknown is said truly.
  CHECK(load["outcomes"].value("done", 0) > 0);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("restart")), Catch::Equals(std::string()));
  fleet.Platform({ { "down", false } });
  CHECK(ServedWithin(fleet, entry, "k1", seconds(8)));
  CHECK_THAT(fleet.CheckLedger({ { "first", "done" } }), Catch::Equals(std::string()));
}
