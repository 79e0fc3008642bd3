/// @file
/// Daemons of `serve` are started while the platform lists objects and hosts that can't be read.

#include "tests/support/fleet.h"
#include "tests/support/server_on_thread.h"

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

TEST_CASE("operators' commands refuse a daemon's answer that they can't read", "[process]")
{
  constexpr int kExitRefused = 1;
  struct Row
  {
    std::vector<std::string> words;
    std::string body;
  };
  const std::vector<std::string> status = { "status" };
  const std::vector<std::string> explain = { "explain", "bookings", "k&1" };
  const std::vector<Row> rows = {
    { status, "[1]" },
    { status, "7" },
    { status, R"({"id":7})" },
    { status, R"({"members":3})" },
    { status, R"({"cells":[7]})" },
    { explain, R"("text")" },
    { explain, R"({"moves":[{"event":7}]})" },
    { explain, R"({"attached":7})" },
  };
  Fleet fleet({ .domains = { "north" } });
  for (const Row& row : rows) {
    INFO(row.words[0] << " " << row.body);
    const ServerOnThread daemon({ "",
                                  "HTTP/1.1 200 OK\r\nContent-Length: " +
                                    std::to_string(row.body.size()) + "\r\n\r\n" + row.body,
                                  false });
    std::vector<std::string> words = row.words;
    words.insert(words.begin() + 1, { "--daemon", daemon.Url() });
    CHECK(fleet.Tool(words) == kExitRefused);
  }
}
