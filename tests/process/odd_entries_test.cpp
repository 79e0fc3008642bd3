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

constexpr unsigned kDaemons = 3;
constexpr unsigned kAllKeys = 16;
constexpr seconds kStart{ 12 };

/// Names that mean something else, or nothing, in a request target if they are written as they are.
/// Each stands between two servers of the fleet.
const std::vector<std::string> kOddNames = {
  "i-0&Watch=1", "i-0&after=i-9", "i-1+2", "i-1 2",   "i-2#x",       "i-2%41",      "i-2%",
  "i-3?after=z", "i-3=4",         "i-4/5", "i-4\"\\", "i-4\r\nX: y", "i-5\xC3\xA4",
};

void RestartAll(PlatformFleet& aFleet)
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    aFleet.Signal(n, SIGKILL);
  }
  for (unsigned n = 0; n < kDaemons; ++n) {
    aFleet.StartDaemon(n);
  }
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
  fleet.Configure(5, true);
  fleet.Server(0).Register("draining");
  fleet.RunFor(seconds(2));
  const unsigned runs = fleet.Server(0).Runs();
  for (unsigned n = 0; n < kDaemons; ++n) {
    CHECK(fleet.Ask(n, "/more/x", -1) == 200);
  }
  CheckServed(fleet, seconds(1));
  CHECK(fleet.Server(0).Runs() == runs);
  for (const std::string& it : kOddNames) {
    fleet.Store().Remove("servers", it);
  }
  CheckServed(fleet, seconds(1));
}
