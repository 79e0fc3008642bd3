/// @file
/// The store comes back from an older copy while daemons, as processes, serve callers.

#include "tests/support/platform_fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace hawthornlug::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned kDaemons = 4;
constexpr unsigned kServers = 4;
constexpr unsigned kAllKeys = 16;
constexpr seconds kStart{ 12 };
constexpr milliseconds kOutage{ 800 };

/// What happens between the copy and the return of the store.
enum class Trouble
{
  kNone,
  kGranterKilled,
  kGranterRestarted,
};

struct Drill
{
  const char* name;
  /// Whether the store loses what it has acknowledged, or is only away.
  bool loses = false;
  Trouble trouble = Trouble::kNone;
  /// When the servers write their entries again.
  milliseconds writtenAfter{ 0 };
};

void AwaitStart(PlatformFleet& aFleet)
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    REQUIRE(aFleet.RunUntil([&] { return aFleet.IsReady(n); }, kStart));
  }
  REQUIRE(aFleet.RunUntil([&] { return aFleet.KeysHeld() == kAllKeys; }, kStart));
  aFleet.RunFor(seconds(1));
}

/// Empties a server and takes it back, so that keys move twice.
void MoveKeys(PlatformFleet& aFleet)
{
  StandInServer& server = aFleet.Server(kServers);
  server.Register("draining");
  aFleet.RunFor(seconds(2));
  server.Register("ready");
  aFleet.RunFor(seconds(2));
}

void Play(PlatformFleet& aFleet, const Drill& aDrill)
{
  const auto copy = aFleet.Store().MakeCopy();
  MoveKeys(aFleet);
  const int granter = aFleet.Granter();
  REQUIRE(granter >= 0);
  if (aDrill.trouble != Trouble::kNone) {
    aFleet.Signal(static_cast<unsigned>(granter), SIGKILL);
  }
  if (aDrill.trouble == Trouble::kGranterRestarted) {
    aFleet.StartDaemon(static_cast<unsigned>(granter));
  }
  aFleet.Store().SetDown(true);
  aFleet.RunFor(kOutage);
  if (aDrill.loses) {
    aFleet.Store().RestoreFrom(*copy);
  }
  aFleet.Store().SetDown(false);
  aFleet.RunFor(aDrill.writtenAfter);
  for (unsigned n = 0; n < aFleet.Servers(); ++n) {
    aFleet.Server(n).Heartbeat();
  }
  aFleet.RunFor(seconds(6));
  if (aDrill.trouble == Trouble::kGranterKilled) {
    aFleet.StartDaemon(static_cast<unsigned>(granter));
    aFleet.RunFor(seconds(2));
  }
}

} // namespace

TEST_CASE("the store comes back from an older copy: each key has one owner", "[process][restore]")
{
  const auto drill = GENERATE(values<Drill>({
    { "only away", false, Trouble::kNone, milliseconds(0) },
    { "only away, the granting daemon restarts", false, Trouble::kGranterRestarted, {} },
    { "restored", true, Trouble::kNone, milliseconds(0) },
    { "restored, entries written again later", true, Trouble::kNone, milliseconds(2500) },
    { "restored, the granting daemon is lost", true, Trouble::kGranterKilled, {} },
    { "restored, the granting daemon restarts", true, Trouble::kGranterRestarted, {} },
  }));
  DYNAMIC_SECTION(drill.name)
  {
    PlatformFleet fleet(kDaemons, kServers);
    AwaitStart(fleet);
    fleet.SetLoad(true);
    Play(fleet, drill);
    Play(fleet, drill);
    CHECK(fleet.RunUntil([&] { return fleet.KeysHeld() == kAllKeys; }, seconds(25)));
    fleet.SetLoad(false);
    const FleetLedger& ledger = fleet.Ledger();
    const std::string logs = ledger.broken.empty() ? "not kept" : fleet.KeepFolder();
    INFO("served " << ledger.served << " of " << ledger.asked << ", not run " << ledger.notRun
                   << ", logs: " << logs);
    CHECK(ledger.asked > 1000);
    for (const std::string& it : ledger.broken) {
      FAIL_CHECK(it);
    }
  }
}
