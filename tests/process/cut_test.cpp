/// @file
/// Daemons that are cut off from each other, as processes with a relay between them.

#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <future>

using namespace hawthornlug::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An accepted configuration is in force everywhere within this.
constexpr seconds kInForce{ 8 };
/// A key is served again within this.
constexpr seconds kServedAgain{ 3 };
/// How long a cut may take to be noticed and its end to be forgotten; far above what is promised.
constexpr seconds kPatience{ 15 };

constexpr std::size_t kNorth = 0;
constexpr std::size_t kSouth = 2;

/// A key whose owner is in @p aDomain.
std::string KeyIn(Fleet& aFleet, const std::string& aDomain)
{
  for (int n = 0;; ++n) {
    std::string key = "k" + std::to_string(n);
    if (aFleet.Explain(key)["domain"] == aDomain) {
      return key;
    }
  }
}

bool IsDone(Fleet& aFleet, std::size_t aDaemon, const std::string& aKey)
{
  return aFleet.Call(aDaemon, "POST", aKey).outcome == "done";
}

bool IsRefusedAsCutOff(Fleet& aFleet, std::size_t aDaemon, const std::string& aKey)
{
  const CallerAnswer answer = aFleet.Call(aDaemon, "POST", aKey);
  return answer.outcome == "not-run" && answer.reason == "domain-cut-off";
}

} // namespace

TEST_CASE("failure domains that are cut off from each other go on with their own shards",
          "[process]")
{
  FleetShape shape;
  shape.relayed = true;
  Fleet fleet(shape);
  const std::string northern = KeyIn(fleet, "north");
  const std::string southern = KeyIn(fleet, "south");
  auto load = fleet.StartLoad(
    { .rate = 100, .seconds = 8, .keys = 500, .writes = 0.7, .threads = 64, .log = "cut" });
  load.wait_for(seconds(1));
  // The south loses the north and the platform at once.
  fleet.Cut(fleet.Between("north", "south"));
  fleet.Platform({ { "down", true } }, "south");
  CHECK(WaitUntil(kPatience, [&] { return IsRefusedAsCutOff(fleet, kNorth, southern); }));
  CHECK(WaitUntil(kPatience, [&] { return IsRefusedAsCutOff(fleet, kSouth, northern); }));
  CHECK(IsDone(fleet, kNorth, northern));
  CHECK(IsDone(fleet, kSouth, southern));

  // A configuration that is accepted meanwhile reaches the south when the cut ends.
  const std::string drained = fleet.Servers()[0].id;
  REQUIRE(fleet.Apply(fleet.Config({ { drained, "draining" } }), false) == 0);
  const auto version = [&](std::size_t aDaemon) {
    return fleet.Get(fleet.Daemons()[aDaemon].url, "/-/status").value("config_version", 0);
  };
  const int old = version(kSouth);
  CHECK(WaitUntil(kInForce, [&] { return version(kNorth) > old; }));
  CHECK(version(kSouth) == old);
  fleet.Cut({});
  fleet.Platform({ { "down", false } }, "south");
  CHECK(WaitUntil(kInForce, [&] { return version(kSouth) == version(kNorth); }));
  CHECK(WaitUntil(kPatience, [&] { return IsDone(fleet, kNorth, southern); }));
  CHECK(WaitUntil(kPatience, [&] { return IsDone(fleet, kSouth, northern); }));

  const json result = load.get();
  INFO(result.dump());
  CHECK(result["wrong_answers"] == 0);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("cut")), Catch::Equals(std::string()));
}

TEST_CASE("a daemon that is heard by nobody loses its cells and doubles nothing", "[process]")
{
  const std::string fencing = GENERATE("checked", "unchecked");
  INFO(fencing);
  FleetShape shape;
  shape.relayed = true;
  shape.fencing = fencing;
  Fleet fleet(shape);
  const std::string key = KeyIn(fleet, "north");
  const std::string attached = fleet.Explain(key)["attached"]["id"];
  auto load = fleet.StartLoad(
    { .rate = 150, .seconds = 6, .keys = 500, .writes = 0.7, .threads = 64, .log = "unheard" });
  load.wait_for(seconds(1));
  // It hears all others and reaches the platform and the servers; they don't hear it.
  std::vector<std::pair<std::string, std::string>> cuts;
  for (const Process& it : fleet.Daemons()) {
    if (it.id != attached) {
      cuts.emplace_back(attached, it.id);
    }
  }
  fleet.Cut(cuts);
  const bool checked = fencing == "checked";
  const std::size_t neighbour = fleet.Daemons()[0].id == attached ? 1 : 0;
  if (checked) {
    // Servers that check tokens let a neighbour take over from a daemon that still runs.
    CHECK(WaitUntil(kServedAgain, [&] { return IsDone(fleet, neighbour, key); }));
  }
  const json result = load.get();
  INFO(result.dump());
  fleet.Cut({});
  CHECK(WaitUntil(kPatience, [&] { return IsDone(fleet, neighbour, key); }));
  CHECK(WaitUntil(kPatience, [&] { return IsDone(fleet, kSouth, key); }));
  CHECK(result["wrong_answers"] == 0);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("unheard")), Catch::Equals(std::string()));
}
