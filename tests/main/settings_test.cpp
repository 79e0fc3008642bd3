#include "core/event_log.h"
#include "main/settings.h"
#include "tests/support/paths.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

using namespace hawthornlug;

namespace {

ServeSettings Good()
{
  ServeSettings settings;
  settings.daemon.self.id = "d1";
  settings.daemon.self.domain = "north";
  settings.daemon.self.peerEndpoint = "tcp://127.0.0.1:8081";
  settings.peerListen = "tcp://0.0.0.0:8081";
  settings.httpHost = "127.0.0.1";
  settings.httpPort = 8080;
  settings.platformUrl = "http://127.0.0.1:7070";
  settings.logLevel = "info";
  settings.workerThreads = 1;
  return settings;
}

std::string Read(const std::string& aFile)
{
  std::ifstream file(testing::SourceFolder() / aFile);
  std::ostringstream buf;
  buf << file.rdbuf();
  return buf.str();
}

} // namespace

TEST_CASE("every wrong setting is named", "[main]")
{
  CHECK(CheckServe(Good()).empty());
  struct Row
  {
    std::string setting;
    std::function<void(ServeSettings&)> spoil;
  };
  const auto row = GENERATE(values<Row>({
    { "id", [](ServeSettings& s) { s.daemon.self.id = ""; } },
    { "domain", [](ServeSettings& s) { s.daemon.self.domain = "a b"; } },
    { "http", [](ServeSettings& s) { s.httpPort = 70000; } },
    { "http", [](ServeSettings& s) { s.httpHost = "localhost"; } },
    { "peer", [](ServeSettings& s) { s.daemon.self.peerEndpoint = "127.0.0.1:1"; } },
    { "peer-listen", [](ServeSettings& s) { s.peerListen = "127.0.0.1:1"; } },
    { "platform", [](ServeSettings& s) { s.platformUrl = "127.0.0.1:1"; } },
    { "log-level", [](ServeSettings& s) { s.logLevel = "loud"; } },
    { "trace-sample", [](ServeSettings& s) { s.daemon.traceSample = 2.0; } },
    { "max-connections", [](ServeSettings& s) { s.callerLimits.maxConnections = 0; } },
    { "max-connections", [](ServeSettings& s) { s.callerLimits.maxConnections = 70000; } },
    { "worker-threads", [](ServeSettings& s) { s.workerThreads = 0; } },
    { "worker-threads", [](ServeSettings& s) { s.workerThreads = 5000; } },
    { "host-list-lag-ms", [](ServeSettings& s) { s.daemon.hostListLag = Duration::zero(); } },
    { "seeds", [](ServeSettings& s) { s.daemon.seeds.emplace_back(); } },
  }));
  ServeSettings settings = Good();
  row.spoil(settings);
  const auto errors = CheckServe(settings);
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].setting == row.setting);
}

TEST_CASE("an environment variable stands in for its flag", "[main]")
{
  ::setenv("HAWTHORNLUG_ID", "from-variable", 1);
  ::setenv("HAWTHORNLUG_DOMAIN", "north", 1);
  ServeSettings settings;
  CHECK(ParseServe({ "serve" }, settings) == ParseResult::kRun);
  CHECK(settings.daemon.self.id == "from-variable");
  ServeSettings flagged;
  CHECK(ParseServe({ "serve", "--id", "from-flag" }, flagged) == ParseResult::kRun);
  CHECK(flagged.daemon.self.id == "from-flag");
  ::unsetenv("HAWTHORNLUG_ID");
  ::unsetenv("HAWTHORNLUG_DOMAIN");
}

TEST_CASE("wrong settings of route are refused", "[main]")
{
  using Words = std::vector<std::string>;
  struct Row
  {
    Words words;
    ParseResult result;
  };
  const auto row = GENERATE(values<Row>({
    { { "route", "--settings", "f" }, ParseResult::kRun },
    { { "route", "--settings", "f", "--metrics-port", "9464" }, ParseResult::kRun },
    { { "route", "--settings", "f", "--trace-file", "-", "--trace-sample", "1" },
      ParseResult::kRun },
    { { "route" }, ParseResult::kUsageError },
    { { "route", "--settings", "f", "--metrics-port", "70000" }, ParseResult::kUsageError },
    { { "route", "--settings", "f", "--metrics-port", "x" }, ParseResult::kUsageError },
    { { "route", "--settings", "f", "--trace-sample", "2" }, ParseResult::kUsageError },
    { { "route", "--settings", "f", "--trace-sample", "much" }, ParseResult::kUsageError },
    { { "route", "--settings", "f", "--nonsense" }, ParseResult::kUsageError },
    { { "route", "--settings", "f", "--without", "contention,placement" }, ParseResult::kRun },
    { { "route", "--settings", "f", "--without", "contention;placement" },
      ParseResult::kUsageError },
  }));
  RouteSettings settings;
  CHECK(ParseRoute(row.words, settings) == row.result);
}

TEST_CASE("the catalogue lists every event once", "[core]")
{
  const std::string page = Read("docs/EVENTS.md");
  std::set<int> numbers;
  for (std::size_t n = 0; n < EventCount(); ++n) {
    const EventInfo& info = InfoOf(static_cast<EventId>(n));
    CHECK(numbers.insert(info.number).second);
    const std::string row = "| H" + std::to_string(info.number) + " | " + std::string(info.name);
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("the decisions see no socket, thread or wall clock", "[core]")
{
  const std::string file = GENERATE("ownership/cell_machine.cpp",
                                    "ownership/cell_object.cpp",
                                    "placement/planner.cpp",
                                    "membership/stop_verifier.cpp",
                                    "membership/pending_removals.cpp",
                                    "membership/membership.cpp",
                                    "limits/server_gate.cpp",
                                    "limits/retry_budget.cpp",
                                    "config/object_mirror.cpp",
                                    "limits/route_work.cpp",
                                    "limits/shared_retry_budget.cpp",
                                    "limits/waiting_policy.cpp",
                                    "ownership/key_range.cpp",
                                    "ownership/range_directory.cpp",
                                    "ownership/range_granter.cpp",
                                    "placement/key_load.cpp",
                                    "placement/range_planner.cpp",
                                    "routing/route_table.cpp",
                                    "routing/server_selector.cpp");
  const std::string text = Read(file);
  REQUIRE_FALSE(text.empty());
  const std::string word = GENERATE("httplib",
                                    "zmq",
                                    "asio",
                                    "<thread>",
                                    "<mutex>",
                                    "system_clock",
                                    "steady_clock",
                                    "adapters/",
                                    "runtime/",
                                    "main/");
  INFO(file << " " << word);
  CHECK(text.find(word) == std::string::npos);
}
