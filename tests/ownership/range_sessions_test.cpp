/// @file
/// Whole sessions of the range granter in a small world of daemons, servers and a store. Each
/// session's transcript is kept in tests/golden/ranges and must not change.
/// HAWTHORNLUG_UPDATE_GOLDEN=1 writes the transcripts anew.

#include "tests/support/golden.h"
#include "tests/support/range_world.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;
using hawthornlug::testing::KeptTranscript;

namespace {

constexpr std::uint64_t kSeed = 7;

/// Nothing goes wrong of its own accord.
RangeTroubles Calm()
{
  RangeTroubles calm;
  calm.lateOrders = 0;
  calm.lostOrders = 0;
  calm.lostReleaseAnswers = 0;
  calm.lostWrites = 0;
  calm.moves = 0;
  calm.takeovers = 0;
  calm.events = 0;
  calm.length = seconds(60);
  return calm;
}

struct RangeSession
{
  std::string name;
  std::function<void(RangeWorld&)> plan;
};

void LateGrants(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] {
    RangeTroubles late = Calm();
    late.lateOrders = 1.0;
    aWorld.SetTroubles(late);
    aWorld.MoveBucket(3, 1);
  });
  aWorld.At(seconds(18), [&] {
    aWorld.SetTroubles(Calm());
    aWorld.MoveBucket(3, 2);
  });
}

void ServerReborn(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] { aWorld.MoveBucket(0, 3); });
  aWorld.At(seconds(12), [&] { aWorld.RestartServer(3); });
  aWorld.At(seconds(13), [&] { aWorld.MoveBucket(0, 1); });
}

void SupersededAndCutOff(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] {
    aWorld.CutFromStore(0, seconds(30));
    aWorld.MoveBucket(5, 0);
  });
  aWorld.At(seconds(12), [&] { aWorld.TakeOver(1); });
  aWorld.At(seconds(14), [&] { aWorld.MoveBucket(6, 0); });
}

void ReleaseAnswerLost(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] {
    RangeTroubles lost = Calm();
    lost.lostReleaseAnswers = 1.0;
    aWorld.SetTroubles(lost);
    aWorld.MoveBucket(2, 3);
    aWorld.MoveBucket(9, 0);
  });
  aWorld.At(seconds(20), [&] { aWorld.SetTroubles(Calm()); });
}

void StoreAway(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] {
    for (unsigned n = 0; n < RangeWorld::kDaemons; ++n) {
      aWorld.CutFromStore(n, seconds(9));
    }
    aWorld.MoveBucket(4, 2);
  });
  aWorld.At(seconds(14), [&] { aWorld.StopServer(3); });
  // What the planner orders once the owner has been silent for long.
  aWorld.At(seconds(20), [&] {
    for (unsigned bucket = 12; bucket < RangeWorld::kBuckets; ++bucket) {
      aWorld.MoveBucket(bucket, bucket % 3);
    }
  });
}

void FrozenHolder(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] {
    aWorld.MoveBucket(7, 0);
    aWorld.FreezeDaemon(0, seconds(9));
  });
  aWorld.At(seconds(12), [&] { aWorld.TakeOver(1); });
  aWorld.At(seconds(14), [&] { aWorld.MoveBucket(8, 0); });
}

void TwoTakeoversWithinAHold(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] { aWorld.MoveBucket(7, 0); });
  aWorld.At(milliseconds(10100), [&] { aWorld.TakeOver(1); });
  aWorld.At(milliseconds(10900), [&] { aWorld.TakeOver(2); });
  aWorld.At(milliseconds(11400), [&] { aWorld.MoveBucket(7, 3); });
}

void RecoveryFromNothing(RangeWorld& aWorld)
{
  aWorld.At(seconds(10), [&] {
    aWorld.MoveBucket(8, 0);
    aWorld.RestartAllDaemons();
    for (unsigned n = 0; n < RangeWorld::kServers; ++n) {
      aWorld.RestartServer(n);
    }
  });
  aWorld.At(seconds(12), [&] { aWorld.TakeOver(2); });
}

const std::vector<RangeSession>& Sessions()
{
  static const std::vector<RangeSession> sessions = {
    { "late-grants", LateGrants },
    { "server-reborn", ServerReborn },
    { "superseded-and-cut-off", SupersededAndCutOff },
    { "release-answer-lost", ReleaseAnswerLost },
    { "store-away-and-server-stopped", StoreAway },
    { "frozen-holder", FrozenHolder },
    { "two-takeovers-within-a-hold", TwoTakeoversWithinAHold },
    { "recovery-from-nothing", RecoveryFromNothing },
  };
  return sessions;
}

} // namespace

TEST_CASE("whole sessions of ranges keep one owner and their transcripts", "[ownership][ranges]")
{
  const std::size_t n = GENERATE(range<std::size_t>(0, Sessions().size()));
  const RangeSession& session = Sessions()[n];
  DYNAMIC_SECTION(session.name)
  {
    RangeWorld world(kSeed, Calm());
    world.At(milliseconds(1), [&] { world.TakeOver(0); });
    session.plan(world);
    const std::string broken = world.Run();
    std::string text;
    for (const std::string& it : world.Log()) {
      text += it + "\n";
    }
    INFO(text);
    CHECK_THAT(broken, Catch::Equals(std::string()));
    CHECK(world.HeldAtTheEnd() == RangeWorld::kBuckets);
    CHECK(KeptTranscript("ranges/" + session.name, text) == text);
  }
}
