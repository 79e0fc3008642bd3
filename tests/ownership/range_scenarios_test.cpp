/// @file
/// Scripted scenarios of the range granter in a simulation of daemons, servers and a store. The
/// transcript of each scenario must equal the file with its name in tests/golden/ranges.
/// HAWTHORNLUG_UPDATE_GOLDEN=1 rewrites these files.

#include "tests/support/golden.h"
#include "tests/support/range_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;
using hawthornlug::testing::GoldenTranscript;

namespace {

constexpr std::uint64_t kSeed = 7;

/// No random faults, moves or takeovers: only what the scenario schedules happens.
RangeFaults NoFaults()
{
  RangeFaults noFaults;
  noFaults.lateGrants = 0;
  noFaults.lostCommands = 0;
  noFaults.lostReleaseAnswers = 0;
  noFaults.unansweredWrites = 0;
  noFaults.moveChance = 0;
  noFaults.takeoverChance = 0;
  noFaults.disruptions = 0;
  noFaults.maxRegistryLag = Duration::zero();
  noFaults.duration = seconds(60);
  return noFaults;
}

struct RangeScenario
{
  std::string name;
  std::function<void(RangeSimulation&)> schedule;
  StoreEra firstEra = 0;
};

void LateGrants(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    RangeFaults late = NoFaults();
    late.lateGrants = 1.0;
    aSimulation.SetFaults(late);
    aSimulation.MoveBucket(3, 1);
  });
  aSimulation.Schedule(seconds(18), [&] {
    aSimulation.SetFaults(NoFaults());
    aSimulation.MoveBucket(3, 2);
  });
}

void ServerRestarted(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] { aSimulation.MoveBucket(0, 3); });
  aSimulation.Schedule(seconds(12), [&] { aSimulation.RestartServer(3); });
  aSimulation.Schedule(seconds(13), [&] { aSimulation.MoveBucket(0, 1); });
}

void SupersededAndIsolated(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    aSimulation.IsolateFromStore(0, seconds(30));
    aSimulation.MoveBucket(5, 0);
  });
  aSimulation.Schedule(seconds(12), [&] { aSimulation.TakeOver(1); });
  aSimulation.Schedule(seconds(14), [&] { aSimulation.MoveBucket(6, 0); });
}

void ReleaseAnswerLost(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    RangeFaults lost = NoFaults();
    lost.lostReleaseAnswers = 1.0;
    aSimulation.SetFaults(lost);
    aSimulation.MoveBucket(2, 3);
    aSimulation.MoveBucket(9, 0);
  });
  aSimulation.Schedule(seconds(20), [&] { aSimulation.SetFaults(NoFaults()); });
}

void StoreUnreachable(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    for (unsigned n = 0; n < RangeSimulation::kDaemons; ++n) {
      aSimulation.IsolateFromStore(n, seconds(9));
    }
    aSimulation.MoveBucket(4, 2);
  });
  aSimulation.Schedule(seconds(14), [&] { aSimulation.StopServer(3); });
  // The moves that the planner requests once the owner has been unresponsive for some time.
  aSimulation.Schedule(seconds(20), [&] {
    for (unsigned bucket = 12; bucket < RangeSimulation::kBuckets; ++bucket) {
      aSimulation.MoveBucket(bucket, bucket % 3);
    }
  });
}

void FrozenLeader(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    aSimulation.MoveBucket(7, 0);
    aSimulation.FreezeDaemon(0, seconds(9));
  });
  aSimulation.Schedule(seconds(12), [&] { aSimulation.TakeOver(1); });
  aSimulation.Schedule(seconds(14), [&] { aSimulation.MoveBucket(8, 0); });
}

void TwoTakeoversWithinAGrant(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] { aSimulation.MoveBucket(7, 0); });
  aSimulation.Schedule(milliseconds(10100), [&] { aSimulation.TakeOver(1); });
  aSimulation.Schedule(milliseconds(10900), [&] { aSimulation.TakeOver(2); });
  aSimulation.Schedule(milliseconds(11400), [&] { aSimulation.MoveBucket(7, 3); });
}

void RecoveryAfterFullRestart(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    aSimulation.MoveBucket(8, 0);
    aSimulation.RestartAllDaemons();
    for (unsigned n = 0; n < RangeSimulation::kServers; ++n) {
      aSimulation.RestartServer(n);
    }
  });
  aSimulation.Schedule(seconds(12), [&] { aSimulation.TakeOver(2); });
}

void EarlierLeaderCutOffWithItsServer(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] { aSimulation.CutDomain(0, 2, seconds(30)); });
  aSimulation.Schedule(seconds(11), [&] { aSimulation.TakeOver(1); });
  aSimulation.Schedule(seconds(12), [&] { aSimulation.TakeOver(2); });
  // The second leader restarts; the third one, which succeeds it, hears that.
  aSimulation.Schedule(milliseconds(12500), [&] { aSimulation.RestartDaemon(1); });
  aSimulation.Schedule(seconds(14), [&] { aSimulation.MoveBucket(8, 1); });
}

void ServerRestartedWhileItsKeysMove(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(10), [&] {
    RangeFaults lagging = NoFaults();
    lagging.maxRegistryLag = seconds(3);
    aSimulation.SetFaults(lagging);
    aSimulation.RestartServer(2);
  });
  // The release is lost, so that the keys are still on their way when the registry shows the
  // restart.
  aSimulation.Schedule(milliseconds(11200), [&] {
    aSimulation.IsolateFromServer(0, 2, milliseconds(100));
    aSimulation.MoveBucket(8, 1);
  });
}

/// Keys move, and the store loses that.
void MoveAndRestore(RangeSimulation& aSimulation)
{
  aSimulation.Schedule(seconds(20), [&] { aSimulation.MoveBucket(3, 2); });
  aSimulation.Schedule(seconds(21), [&] { aSimulation.MoveBucket(8, 0); });
  aSimulation.Schedule(seconds(22),
                       [&] { aSimulation.RestoreStore(seconds(5), milliseconds(800)); });
}

void RestoredWithLeader(RangeSimulation& aSimulation)
{
  MoveAndRestore(aSimulation);
  aSimulation.Schedule(seconds(26), [&] { aSimulation.MoveBucket(3, 1); });
}

void RestoredTwice(RangeSimulation& aSimulation)
{
  MoveAndRestore(aSimulation);
  aSimulation.Schedule(seconds(24),
                       [&] { aSimulation.RestoreStore(seconds(6), milliseconds(300)); });
  aSimulation.Schedule(seconds(28), [&] { aSimulation.MoveBucket(3, 1); });
}

void RestoredWithoutLeader(RangeSimulation& aSimulation)
{
  MoveAndRestore(aSimulation);
  aSimulation.Schedule(seconds(22), [&] { aSimulation.RestartDaemon(0); });
  aSimulation.Schedule(seconds(24), [&] { aSimulation.TakeOver(1); });
  aSimulation.Schedule(seconds(25), [&] { aSimulation.MoveBucket(3, 1); });
}

void RestoredAllRestarted(RangeSimulation& aSimulation)
{
  MoveAndRestore(aSimulation);
  aSimulation.Schedule(seconds(22), [&] { aSimulation.RestartAllDaemons(); });
  aSimulation.Schedule(seconds(24), [&] { aSimulation.TakeOver(2); });
}

void RestoredWithStaleLeader(RangeSimulation& aSimulation)
{
  // The first leader is frozen and superseded, which the store then loses.
  aSimulation.Schedule(seconds(20), [&] { aSimulation.TakeOver(1); });
  aSimulation.Schedule(milliseconds(20010),
                       [&] { aSimulation.FreezeDaemon(0, milliseconds(800)); });
  aSimulation.Schedule(milliseconds(20200), [&] { aSimulation.MoveBucket(3, 2); });
  aSimulation.Schedule(milliseconds(20500),
                       [&] { aSimulation.RestoreStore(seconds(1), milliseconds(200)); });
}

void RestoredWhileOwnerIsWritten(RangeSimulation& aSimulation)
{
  // The write of a new owner gets no answer, and the store loses it.
  aSimulation.Schedule(seconds(20), [&] {
    RangeFaults unanswered = NoFaults();
    unanswered.unansweredWrites = 1.0;
    aSimulation.SetFaults(unanswered);
    aSimulation.MoveBucket(3, 2);
  });
  aSimulation.Schedule(milliseconds(20400), [&] {
    aSimulation.SetFaults(NoFaults());
    aSimulation.RestoreStore(seconds(1), milliseconds(100));
  });
}

const std::vector<RangeScenario>& Scenarios()
{
  static const std::vector<RangeScenario> scenarios = {
    { "late-grants", LateGrants },
    { "server-restarted", ServerRestarted },
    { "superseded-and-isolated", SupersededAndIsolated },
    { "release-answer-lost", ReleaseAnswerLost },
    { "store-unreachable-and-server-stopped", StoreUnreachable },
    { "frozen-leader", FrozenLeader },
    { "two-takeovers-within-a-grant", TwoTakeoversWithinAGrant },
    { "recovery-after-full-restart", RecoveryAfterFullRestart },
    { "earlier-leader-cut-off-with-its-server", EarlierLeaderCutOffWithItsServer },
    { "server-restarted-while-its-keys-move", ServerRestartedWhileItsKeysMove },
    { "store-restored", RestoredWithLeader, kFirstStoreEra },
    { "store-restored-twice", RestoredTwice, kFirstStoreEra },
    { "store-restored-leader-lost", RestoredWithoutLeader, kFirstStoreEra },
    { "store-restored-all-daemons-restarted", RestoredAllRestarted, kFirstStoreEra },
    { "store-restored-stale-leader", RestoredWithStaleLeader, kFirstStoreEra },
    { "store-restored-owner-being-written", RestoredWhileOwnerIsWritten, kFirstStoreEra },
  };
  return scenarios;
}

} // namespace

TEST_CASE("range scenarios keep one owner for each key and match their transcripts",
          "[ownership][ranges]")
{
  const std::size_t n = GENERATE(range<std::size_t>(0, Scenarios().size()));
  const RangeScenario& scenario = Scenarios()[n];
  DYNAMIC_SECTION(scenario.name)
  {
    RangeFaults faults = NoFaults();
    faults.firstEra = scenario.firstEra;
    RangeSimulation simulation(kSeed, faults);
    simulation.Schedule(milliseconds(1), [&] { simulation.TakeOver(0); });
    scenario.schedule(simulation);
    const std::string violation = simulation.Run();
    std::string text;
    for (const std::string& it : simulation.Log()) {
      text += it + "\n";
    }
    INFO(text);
    CHECK_THAT(violation, Catch::Equals(std::string()));
    CHECK(simulation.HeldBuckets() == RangeSimulation::kBuckets);
    CHECK(GoldenTranscript("ranges/" + scenario.name, text) == text);
  }
}
