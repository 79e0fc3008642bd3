/// @file
/// The whole path as processes: from a caller at any entry host to the one owner of a key.

#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <set>

using namespace hawthornlug::testing;
using nlohmann::json;

TEST_CASE("a booking made at any entry host is run by the key's one owner", "[process][sanitized]")
{
  FleetShape shape;
  shape.traceSample = 1.0;
  Fleet fleet(shape);
  std::set<std::string> servers;
  for (std::size_t n = 0; n < fleet.Daemons().size(); ++n) {
    const CallerAnswer answer = fleet.Call(n, "POST", "wedding", "b" + std::to_string(n));
    CHECK(answer.status == 200);
    CHECK(answer.outcome == "done");
    CHECK(answer.requestId == "b" + std::to_string(n));
    servers.insert(answer.server);
  }
  CHECK(servers.size() == 1);
  CHECK(fleet.CheckLedger({ { "b0", "done" }, { "b3", "done" } }).empty());

  SECTION("a repeated Idempotency-Key gets the first answer and runs nothing")
  {
    const CallerAnswer again = fleet.Call(1, "POST", "wedding", "b0");
    CHECK(again.outcome == "done");
    CHECK(json::parse(again.body)["sequence"] == 1);
    CHECK(fleet.Ledger().size() == fleet.Daemons().size());
  }

  SECTION("every hop has a span in the caller's trace")
  {
    std::map<std::string, std::set<std::string>> names;
    const bool whole = WaitUntil(std::chrono::seconds(5), [&] {
      names.clear();
      for (const json& it : fleet.Spans()) {
        names[it["request_id"]].insert(it["name"].get<std::string>());
      }
      return std::any_of(names.begin(), names.end(), [](const auto& aTrace) {
        return aTrace.second == std::set<std::string>{ "entry", "forward", "server" };
      });
    });
    CHECK(whole);
  }

  SECTION("bad requests get a typed refusal and run nothing")
  {
    struct Row
    {
      std::string path;
      int status;
      std::string reason;
    };
    const auto row = GENERATE(Row{ "/nothing/k", 404, "unknown-service" },
                              Row{ "/bookings", 400, "bad-request" },
                              Row{ "/bookings/" + std::string(600, 'x'), 400, "bad-request" });
    const json answer = fleet.Get(fleet.Daemons()[0].url, row.path);
    CHECK(answer.value("outcome", "") == "not-run");
    CHECK(answer.value("reason", "") == row.reason);
  }
}

TEST_CASE("names that are no UTF-8 harm no daemon", "[process]")
{
  FleetShape shape;
  shape.traceSample = 1.0;
  Fleet fleet(shape);
  const std::string bytes = "b\xff\x80";
  for (std::size_t n = 0; n < fleet.Daemons().size(); ++n) {
    const std::string& url = fleet.Daemons()[n].url;
    INFO(url);
    const json explained = fleet.Get(url, "/-/explain?service=bookings&key=%FF");
    CHECK(explained.contains("shard"));
    const CallerAnswer answer = fleet.Call(n, "POST", "wed%FFding", bytes + std::to_string(n));
    CHECK(answer.outcome == "done");
    CHECK(answer.requestId == bytes + std::to_string(n));
  }
  for (std::size_t n = 0; n < fleet.Daemons().size(); ++n) {
    CHECK(fleet.Call(n, "POST", "wedding", "plain" + std::to_string(n)).outcome == "done");
  }
}

namespace {

/// Orders that the servers were told to drop.
std::size_t Cancelled(Fleet& aFleet)
{
  std::size_t n = 0;
  for (const Process& it : aFleet.Servers()) {
    n += aFleet.Get(it.url, "/counters").value("cancelled", std::size_t{ 0 });
  }
  return n;
}

/// Asks a daemon and leaves before it has answered.
void AskAndLeave(const Process& aDaemon, const std::string& aMethod)
{
  httplib::Client client(aDaemon.url);
  client.set_read_timeout(std::chrono::milliseconds(400));
  httplib::Request request;
  request.method = aMethod;
  request.path = "/bookings/wedding";
  const httplib::Result answer = client.send(request);
  INFO((answer ? answer->body : "no answer"));
  CHECK_FALSE(answer);
}

} // namespace

TEST_CASE("a caller that leaves stops work that may be repeated, and no other", "[process]")
{
  FleetShape shape;
  shape.workUs = 1500000;
  Fleet fleet(shape);
  std::size_t expected = 0;
  // One of the daemons is attached to the owner's cell, the others forward to it.
  for (const Process& it : fleet.Daemons()) {
    AskAndLeave(it, "GET");
    ++expected;
    INFO(it.id);
    CHECK(WaitUntil(std::chrono::milliseconds(500), [&] { return Cancelled(fleet) == expected; }));
  }
  AskAndLeave(fleet.Daemons()[0], "POST");
  CHECK_FALSE(
    WaitUntil(std::chrono::milliseconds(500), [&] { return Cancelled(fleet) != expected; }));
  CHECK(WaitUntil(std::chrono::seconds(3), [&] { return fleet.Ledger().size() == 1; }));
}

TEST_CASE("the operators' commands tell what was done", "[process]")
{
  Fleet fleet(FleetShape{});
  const std::string daemon = fleet.Daemons()[0].url;
  CHECK(fleet.Tool({ "status", "--daemon", daemon }) == 0);
  CHECK(fleet.Tool({ "explain", "bookings", "k1", "--daemon", daemon, "--json" }) == 0);
  CHECK(fleet.Tool({ "explain", "nothing", "k1", "--daemon", daemon }) == 1);
  CHECK(fleet.Tool({ "explain", "bookings" }) == 2);
  CHECK(fleet.Tool({ "serve", "--http", "nowhere" }) == 2);
  CHECK(fleet.Tool({ "drain", "nobody", "--platform", daemon }) == 1);
  CHECK(fleet.Tool({ "version" }) == 0);
  CHECK(fleet.Tool({ "nonsense" }) == 2);
  CHECK(fleet.Tool({ "serve", "--help" }) == 0);
}
