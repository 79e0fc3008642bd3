/// @file
/// Entries of other writers stand in the store's lists while real daemons are started: whatever
/// their names and bytes, the servers behind them are found and used.

#include "tests/support/platform_fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace hawthornlug::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three daemons read the store; the fourth hears from them.
constexpr unsigned kDaemons = 4;
constexpr unsigned kAllKeys = 16;
constexpr seconds kStart{ 12 };

/// Names that mean something else, or nothing, in a request target if they are written as they are.
/// Each stands between two servers of the fleet.
const std::vector<std::string> kOddNames = {
  "i-0&Watch=1", "i-0&after=i-9", "i-1+2", "i-1 2",   "i-2#x",       "i-2%41",      "i-2%",
  "i-3?after=z", "i-3=4",         "i-4/5", "i-4\"\\", "i-4\r\nX: y", "i-5\xC3\xA4",
};

/// Entries that can't be read, as they are listed.
const std::vector<std::string> kUnreadable = {
  "null",
  "\xFF",
  R"({"Metadata":null,"Spec":{}})",
  R"({"Metadata":{"Revision":5},"Spec":{}})",
  R"({"Metadata":{"Name":"","Revision":5},"Spec":{}})",
  "{\"Metadata\":{\"Name\":\"i-\xFF\",\"Revision\":5},\"Spec\":{}}",
  R"({"Metadata":{"Name":"i-odd","Revision":"5"},"Spec":{}})",
  R"({"Metadata":{"Name":"i-odd","Revision":5,"Deleting":"no"},"Spec":{}})",
  "{\"Metadata\":{\"Name\":\"i-odd\",\"Revision\":5},\"Spec\":{\"Address\":\"\xFF\"}}",
};

void KillAndStartAll(PlatformFleet& aFleet)
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    aFleet.Signal(n, SIGKILL);
  }
  for (unsigned n = 0; n < kDaemons; ++n) {
    aFleet.StartDaemon(n);
  }
}

void RestartAll(PlatformFleet& aFleet)
{
  KillAndStartAll(aFleet);
  for (unsigned n = 0; n < kDaemons; ++n) {
    REQUIRE(aFleet.RunUntil([&] { return aFleet.IsReady(n); }, kStart));
  }
  CHECK(aFleet.RunUntil([&] { return aFleet.KeysHeld() == kAllKeys; }, kStart));
  aFleet.RunFor(milliseconds(500));
}

/// Checks that all requests of some seconds are served.
void CheckServed(PlatformFleet& aFleet, seconds aTime)
{
  const FleetLedger before = aFleet.Ledger();
  aFleet.SetLoad(true);
  aFleet.RunFor(aTime);
  aFleet.SetLoad(false);
  const FleetLedger& ledger = aFleet.Ledger();
  CHECK(ledger.asked - before.asked > 50 * aTime.count());
  CHECK(ledger.served - before.served == ledger.asked - before.asked);
  for (const std::string& it : ledger.broken) {
    FAIL_CHECK(it);
  }
}

/// Puts another configuration in force and has a server leave.
void Change(PlatformFleet& aFleet)
{
  aFleet.Configure(5, true);
  aFleet.Server(0).Register("draining");
}

/// Checks that all daemons act on what Change() has changed.
void CheckChanged(PlatformFleet& aFleet)
{
  aFleet.RunFor(seconds(2));
  const unsigned runs = aFleet.Server(0).Runs();
  for (unsigned n = 0; n < kDaemons; ++n) {
    CHECK(aFleet.Ask(n, "/more/x", -1) == 200);
  }
  CheckServed(aFleet, seconds(1));
  CHECK(aFleet.Server(0).Runs() == runs);
}

} // namespace

TEST_CASE("all daemons are restarted while entries with odd names stand", "[process][platform]")
{
  PlatformFleet fleet(kDaemons, 3);
  // Each entry is the last of a page.
  fleet.Store().SetPageSize(1);
  for (const std::string& it : kOddNames) {
    fleet.Store().Put("servers", it, { { "Service", "plain" }, { "State", "odd" } });
  }
  RestartAll(fleet);
  CheckServed(fleet, seconds(2));
  // What changes while they stand is seen, too.
  Change(fleet);
  CheckChanged(fleet);
  for (const std::string& it : kOddNames) {
    fleet.Store().Remove("servers", it);
  }
  CheckServed(fleet, seconds(1));
}

TEST_CASE("all daemons are restarted while entries that can't be read stand", "[process][platform]")
{
  // Behind each server's entry stands one that can't be read. A list goes on behind the former.
  PlatformFleet fleet(kDaemons, 5, static_cast<unsigned>(kUnreadable.size()) - 5);
  fleet.Store().SetPageSize(2);
  const auto writeAll = [&fleet] {
    for (unsigned n = 0; n < kUnreadable.size(); ++n) {
      fleet.Store().PutText("servers", fleet.Server(n).Id() + "-odd", kUnreadable[n]);
    }
  };
  writeAll();
  RestartAll(fleet);
  CheckServed(fleet, seconds(2));
  // They are written while daemons watch, too.
  writeAll();
  Change(fleet);
  writeAll();
  CheckChanged(fleet);
}

TEST_CASE("a list that doesn't advance costs few calls, and what it shows is used",
          "[process][platform]")
{
  constexpr seconds kTime{ 4 };
  PlatformFleet fleet(kDaemons, 3);
  // The first page shows all plain servers.
  fleet.Store().SetPageSize(4);
  fleet.Store().SetRepeating(true);
  KillAndStartAll(fleet);
  const unsigned before = fleet.Store().PagesAsked("servers");
  fleet.RunFor(kTime);
  // Each daemon reads two pages at most each second.
  CHECK(fleet.Store().PagesAsked("servers") - before <= kTime.count() * kDaemons * 2);
  for (unsigned n = 0; n < kDaemons; ++n) {
    CHECK(fleet.Ask(n, "/read/x", -1) == 200);
  }
  fleet.Store().SetRepeating(false);
  CHECK(fleet.RunUntil([&] { return fleet.KeysHeld() == kAllKeys; }, seconds(8)));
  fleet.RunFor(milliseconds(500));
  CheckServed(fleet, seconds(1));
}

TEST_CASE("a daemon that could never read the list of servers doesn't say that it is ready",
          "[process][platform]")
{
  PlatformFleet fleet(kDaemons, 3);
  // Its brackets don't match, so that no entry of its page can be told from the others.
  fleet.Store().PutText("servers", "a", R"({"Metadata":{"Name":"a","Revision":5},"Spec":[})");
  KillAndStartAll(fleet);
  unsigned ready = 0;
  REQUIRE(fleet.RunUntil([&] { return fleet.Ask(0, "/nowhere/x", -1) == 404; }, kStart));
  for (unsigned n = 0; n < kDaemons * 10; ++n) {
    fleet.RunFor(milliseconds(100));
    ready += fleet.IsReady(n % kDaemons) ? 1 : 0;
  }
  CHECK(ready == 0);
  CHECK(fleet.Ask(0, "/read/x", -1) == 503);
  fleet.Store().Remove("servers", "a");
  for (unsigned n = 0; n < kDaemons; ++n) {
    CHECK(fleet.RunUntil([&] { return fleet.IsReady(n); }, seconds(3)));
  }
  CHECK(fleet.RunUntil([&] { return fleet.KeysHeld() == kAllKeys; }, seconds(8)));
  fleet.RunFor(milliseconds(500));
  CheckServed(fleet, seconds(1));
}
