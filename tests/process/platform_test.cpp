/// @file
/// Daemons on the users' platform as processes, with stand-ins for its store and servers.

#include "tests/support/platform_fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace hawthornlug::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned kAllKeys = 16;
constexpr seconds kStart{ 12 };
/// GraceS in the daemons' settings.
constexpr seconds kGrace{ 6 };

/// Waits until all daemons are ready and all keys are held.
void AwaitStart(PlatformFleet& aFleet, unsigned aDaemons)
{
  for (unsigned n = 0; n < aDaemons; ++n) {
    REQUIRE(aFleet.RunUntil([&] { return aFleet.IsReady(n); }, kStart));
  }
  REQUIRE(aFleet.RunUntil([&] { return aFleet.KeysHeld() == kAllKeys; }, kStart));
  aFleet.RunFor(milliseconds(500));
}

void CheckNothingBroken(PlatformFleet& aFleet)
{
  for (const std::string& it : aFleet.Ledger().broken) {
    FAIL_CHECK(it);
  }
}

HeaderList WithKey(const std::string& aKey)
{
  return { { "X-Hawthornlug-Key", aKey }, { "X-Hawthornlug-Tenant", "forged" } };
}

/// The status of an answer; 0 for none.
int StatusOf(const hawthornlug::http::CallOutcome& aOutcome)
{
  return aOutcome.result == hawthornlug::http::CallResult::kAnswered ? aOutcome.response.status : 0;
}

/// Checks that neither the logs nor the metrics of the daemons contain any of the keys.
void CheckNoKeyShown(PlatformFleet& aFleet,
                     unsigned aDaemons,
                     const std::vector<std::string>& aKeys)
{
  for (unsigned n = 0; n < aDaemons; ++n) {
    const std::string log = aFleet.LogOf(n);
    const std::string metrics = aFleet.MetricsOf(n);
    INFO("daemon " << n);
    CHECK(log.find("H810") != std::string::npos);
    CHECK(metrics.find("hawthornlug_organisation_requests_total{organisation=\"acme\"}") !=
          std::string::npos);
    for (const std::string& it : aKeys) {
      CHECK(log.find(it) == std::string::npos);
      CHECK(metrics.find(it) == std::string::npos);
    }
  }
}

} // namespace

TEST_CASE("a calm while: everything is served, changes are in force in time", "[process][platform]")
{
  PlatformFleet fleet(3, 3);
  AwaitStart(fleet, 3);
  fleet.SetLoad(true);
  fleet.RunFor(seconds(3));
  CHECK(fleet.Ask(0, "/more/x", -1) == 404);
  fleet.Configure(5, true);
  fleet.RunFor(seconds(2));
  for (unsigned n = 0; n < 3; ++n) {
    CHECK(fleet.Ask(n, "/more/x", -1) == 200);
  }
  // A server that is leaving gets nothing two seconds later, and its keys have another owner.
  fleet.Server(0).Register("draining");
  fleet.Server(3).Register("draining");
  fleet.RunFor(seconds(2));
  const unsigned plain = fleet.Server(0).Runs();
  const unsigned keyed = fleet.Server(3).Runs();
  fleet.RunFor(seconds(2));
  CHECK(fleet.Server(0).Runs() == plain);
  CHECK(fleet.Server(3).Runs() == keyed);
  CHECK(fleet.KeysHeld() == kAllKeys);
  fleet.SetLoad(false);
  const FleetLedger& ledger = fleet.Ledger();
  CHECK(ledger.asked > 500);
  CHECK(ledger.served == ledger.asked);
  CheckNothingBroken(fleet);
}

TEST_CASE("the granting daemon is killed: keys stay with their owners", "[process][platform]")
{
  PlatformFleet fleet(3, 3);
  AwaitStart(fleet, 3);
  fleet.SetLoad(true);
  fleet.RunFor(seconds(1));
  const int granter = fleet.Granter();
  REQUIRE(granter >= 0);
  fleet.Signal(static_cast<unsigned>(granter), SIGKILL);
  fleet.RunFor(milliseconds(100));
  const FleetLedger before = fleet.Ledger();
  REQUIRE(
    fleet.RunUntil([&] { return fleet.Granter() != granter && fleet.Granter() >= 0; }, seconds(5)));
  fleet.RunFor(seconds(5));
  CHECK(fleet.KeysHeld() == kAllKeys);
  fleet.StartDaemon(static_cast<unsigned>(granter));
  fleet.RunFor(seconds(2));
  fleet.SetLoad(false);
  const FleetLedger& ledger = fleet.Ledger();
  // The load goes round the daemon that is down; what it had in hand was lost with it.
  CHECK(ledger.closed <= 20);
  CHECK(ledger.served - before.served > 400);
  CheckNothingBroken(fleet);
}

TEST_CASE("the store is away: keys and requests are served from memory", "[process][platform]")
{
  PlatformFleet fleet(3, 3);
  AwaitStart(fleet, 3);
  fleet.SetLoad(true);
  fleet.RunFor(seconds(1));
  fleet.Store().SetDown(true);
  fleet.RunFor(seconds(7));
  CHECK(fleet.KeysHeld() == kAllKeys);
  fleet.Configure(9, true);
  fleet.Store().SetDown(false);
  fleet.RunFor(seconds(3));
  for (unsigned n = 0; n < 3; ++n) {
    CHECK(fleet.Ask(n, "/more/x", -1) == 200);
  }
  fleet.SetLoad(false);
  const FleetLedger& ledger = fleet.Ledger();
  CHECK(ledger.served == ledger.asked);
  CheckNothingBroken(fleet);
}

TEST_CASE("SIGTERM under load cuts no request", "[process][platform]")
{
  PlatformFleet fleet(3, 3);
  AwaitStart(fleet, 3);
  fleet.SetLoad(true);
  fleet.RunFor(seconds(1));
  const auto granter = static_cast<unsigned>(std::max(0, fleet.Granter()));
  fleet.Signal(granter, SIGTERM);
  CHECK(fleet.RunUntil([&] { return !fleet.IsReady(granter); }, seconds(1)));
  CHECK(fleet.AwaitEnd(granter, seconds(8)) == 0);
  fleet.RunFor(seconds(2));
  CHECK(fleet.KeysHeld() == kAllKeys);
  fleet.SetLoad(false);
  const FleetLedger& ledger = fleet.Ledger();
  CHECK(ledger.closed == 0);
  CHECK(ledger.served == ledger.asked);
  CheckNothingBroken(fleet);
}

// Guards against a daemon that never ends: the last lines of its log waited for a reader.
TEST_CASE("a daemon whose log nobody reads ends within its grace time", "[process][platform]")
{
  PlatformFleet fleet(2, 2);
  AwaitStart(fleet, 2);
  fleet.Signal(1, SIGTERM);
  REQUIRE(fleet.AwaitEnd(1, kGrace) == 0);
  fleet.StartUnreadDaemon(1);
  REQUIRE(fleet.RunUntil([&] { return fleet.IsReady(1); }, kStart));
  // Each answer is a line of the log: the pipe is full soon.
  fleet.SetLoad(true);
  fleet.RunFor(seconds(2));
  fleet.SetLoad(false);
  fleet.Signal(1, SIGTERM);
  CHECK(fleet.AwaitEnd(1, kGrace) == 0);
  CheckNothingBroken(fleet);
}

// Guards against a daemon that ended by a SIGHUP soon after its start. The settings come by a named
// pipe here, so that it is certain what the daemon is doing.
TEST_CASE("a daemon that gets SIGHUP while it reads its settings goes on", "[process][platform]")
{
  PlatformFleet fleet(1, 1);
  AwaitStart(fleet, 1);
  fleet.Signal(0, SIGKILL);
  const std::string path = fleet.SettingsOf(0);
  const std::string kept = path + ".kept";
  std::filesystem::rename(path, kept);
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  fleet.StartDaemon(0);
  int pipe = -1;
  const auto isRead = [&] {
    pipe = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return pipe >= 0;
  };
  REQUIRE(fleet.RunUntil(isRead, kStart));
  fleet.Signal(0, SIGHUP);
  fleet.RunFor(milliseconds(200));
  REQUIRE_FALSE(fleet.HasEnded(0));
  std::ostringstream text;
  text << std::ifstream(kept).rdbuf();
  // For the reading that the signal asks for.
  std::filesystem::rename(kept, path);
  CHECK(::write(pipe, text.str().data(), text.str().size()) ==
        static_cast<ssize_t>(text.str().size()));
  ::close(pipe);
  CHECK(fleet.RunUntil([&] { return fleet.IsReady(0); }, kStart));
  CHECK_FALSE(fleet.HasEnded(0));
}

TEST_CASE("everything is killed and started again: owners are kept", "[process][platform]")
{
  PlatformFleet fleet(3, 3);
  AwaitStart(fleet, 3);
  const std::string before = fleet.Store().Find("hawthornlug-ranges", "keyed")->at("ranges").dump();
  for (unsigned n = 0; n < 3; ++n) {
    fleet.Signal(n, SIGKILL);
  }
  fleet.RunFor(milliseconds(500));
  for (unsigned n = 0; n < 3; ++n) {
    fleet.StartDaemon(n);
  }
  AwaitStart(fleet, 3);
  const auto owners = [](const Json& aRanges) {
    std::string text;
    for (const Json& it : aRanges) {
      text += it.at(0).dump() + ":" + it.at(2).get<std::string>() + " ";
    }
    return text;
  };
  CHECK(owners(fleet.Store().Find("hawthornlug-ranges", "keyed")->at("ranges")) ==
        owners(Json::parse(before)));
  fleet.SetLoad(true);
  fleet.RunFor(seconds(2));
  fleet.SetLoad(false);
  CHECK(fleet.Ledger().served == fleet.Ledger().asked);
  CheckNothingBroken(fleet);
}

TEST_CASE("an unreadable object and a forged entry disturb nothing", "[process][platform]")
{
  PlatformFleet fleet(2, 2);
  AwaitStart(fleet, 2);
  fleet.SetLoad(true);
  fleet.Store().Put("servers", "i-forged", { { "Service", "plain" }, { "State", "ready" } });
  fleet.Store().Put("servers", "i-text", "no entry at all");
  fleet.Store().Put("config", "main", { { "Version", "r2" } });
  fleet.RunFor(seconds(2));
  fleet.SetLoad(false);
  CHECK(fleet.Ledger().served == fleet.Ledger().asked);
  CHECK(fleet.Ask(0, "/nowhere/x", -1) == 404);
  CHECK(fleet.Ask(0, "/key/x", -1) == 400);
  CheckNothingBroken(fleet);
}

TEST_CASE("only keys in force are served and none is shown", "[process][platform]")
{
  // Three daemons watch the store; the fourth gets the configuration from them.
  constexpr unsigned kDaemons = 4;
  PlatformFleet fleet(kDaemons, 2);
  AwaitStart(fleet, kDaemons);
  // Without organisations the caller's headers reach the server as they are.
  CHECK(StatusOf(fleet.AskWith(0, "/read/x", WithKey("first-key"))) == 200);
  CHECK(fleet.Ledger().lastRun.Get("X-Hawthornlug-Key") == "first-key");
  CHECK(fleet.Ledger().lastRun.Get("X-Hawthornlug-Tenant") == "forged");
  fleet.SetTenants({ { "acme", { { "ApiKeys", { "first-key", "second-key" } } } } }, true);
  fleet.Configure(5, true);
  fleet.RunFor(milliseconds(2500));
  for (unsigned n = 0; n < kDaemons; ++n) {
    INFO("daemon " << n);
    CHECK(StatusOf(fleet.AskWith(n, "/more/x", WithKey("first-key"))) == 200);
    CHECK(fleet.Ledger().lastRun.Get("X-Hawthornlug-Tenant") == "acme");
    CHECK_FALSE(fleet.Ledger().lastRun.Find("X-Hawthornlug-Key"));
    CHECK(StatusOf(fleet.AskWith(n, "/more/x", WithKey("third-key"))) == 401);
    CHECK(StatusOf(fleet.AskWith(n, "/more/x", {})) == 401);
    CHECK(StatusOf(fleet.AskWith(n, "/more/x", WithKey("bad key"))) == 400);
    CHECK(StatusOf(fleet.AskWith(n, "/read/x", WithKey("first-key"))) == 200);
    CHECK_FALSE(fleet.Ledger().lastRun.Find("X-Hawthornlug-Tenant"));
    CHECK_FALSE(fleet.Ledger().lastRun.Find("X-Hawthornlug-Key"));
  }
  // The next version withdraws a key, and one after it is rejected: the withdrawal stays in force.
  fleet.SetTenants({ { "acme", { { "ApiKeys", { "second-key" } } } } }, true);
  fleet.Configure(6, true);
  fleet.RunFor(milliseconds(2500));
  fleet.SetTenants({ { "acme", { { "ApiKeys", { "first-key", "malformed key" } } } } }, true);
  fleet.Configure(7, true);
  fleet.RunFor(milliseconds(1000));
  for (unsigned n = 0; n < kDaemons; ++n) {
    INFO("daemon " << n);
    const auto refused = fleet.AskWith(n, "/more/x", WithKey("first-key"));
    CHECK(StatusOf(refused) == 401);
    CHECK(refused.reused);
    CHECK(StatusOf(fleet.AskWith(n, "/more/x", WithKey("second-key"))) == 200);
  }
  CheckNoKeyShown(
    fleet, kDaemons, { "first-key", "second-key", "third-key", "bad key", "malformed key" });
  CheckNothingBroken(fleet);
}
