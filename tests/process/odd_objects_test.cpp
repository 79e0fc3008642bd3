/// @file
/// Daemons of `serve` are started while the platform lists objects and hosts that can't be read.

#include "tests/support/fleet.h"

#include <catch2/catch.hpp>

using namespace hawthornlug::testing;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr seconds kStart{ 20 };

const std::vector<std::string> kOddObjects = {
  "null",
  R"({"name":"cells/odd&x=1+2#%41 3","version":"8","value":"x"})",
  R"({"name":"services/odd","version":8,"value":{}})",
  R"({"name":7,"version":8,"value":"x"})",
  R"({"name":"x","version":8,"value":tru})",
};
const std::vector<std::string> kOddHosts = {
  R"({"id":"odd&x=1+2#%41 3"})",
  R"({"id":"odd\nhost","domain":7,"http":"h","peer":"p"})",
};

bool AllReady(Fleet& aFleet)
{
  return std::all_of(aFleet.Daemons().begin(), aFleet.Daemons().end(), [&](const Process& aDaemon) {
    return aFleet.Get(aDaemon.url, "/-/status").value("ready", false);
  });
}

} // namespace

TEST_CASE("daemons of serve are restarted while the platform lists what can't be read", "[process]")
{
  Fleet fleet(FleetShape{});
  fleet.PutOdd(kOddObjects, kOddHosts);
  for (Process& it : fleet.Daemons()) {
    fleet.Kill(it);
  }
  for (Process& it : fleet.Daemons()) {
    fleet.Restart(it);
  }
  REQUIRE(WaitUntil(kStart, [&] { return AllReady(fleet); }));
  const json result =
    fleet.Load({ .rate = 200, .seconds = 2, .keys = 2000, .writes = 0.5, .log = "odd" });
  INFO(result.dump());
  CHECK(result["outcomes"].value("done", 0) == result["requests"]);
  CHECK_THAT(fleet.CheckLedger(fleet.LoadLog("odd")), Catch::Equals(std::string()));
  // A change comes into force, but the command can't know that of hosts that it can't ask.
  const std::string server = fleet.Servers()[0].id;
  CHECK(fleet.Apply(fleet.Config({ { server, "draining" } }), false) == 0);
  CHECK(WaitUntil(seconds(5), [&] {
    return fleet.Get(fleet.Server(server).url, "/counters").value("grants", 1) == 0;
  }));
}

TEST_CASE("apply doesn't call a version in force while the hosts can't be listed", "[process]")
{
  Fleet fleet(FleetShape{});
  fleet.PutOdd({}, { "{" });
  CHECK(fleet.Apply(fleet.Config({ { "south", "out" } })) != 0);
  fleet.PutOdd({}, {});
  CHECK(fleet.Apply(fleet.Config()) == 0);
}
