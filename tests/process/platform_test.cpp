/// @file
/// Daemons on the users' platform as processes, with stand-ins for its store and servers.

#include "tests/support/platform_fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

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
