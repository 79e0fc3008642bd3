/// @file
/// When a daemon that watches the store is one to rely on.

#include "runtime/store_follower.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using hawthornlug::test::ManualTimers;

namespace {

/// A store whose answers a test gives.
class HeldStore : public ObjectStore
{
public:
  void List(ObjectKind, bool, ReadDone aDone) override { calls.push_back(std::move(aDone)); }
  void Watch(ObjectKind, Version, Duration, ReadDone aDone) override
  {
    calls.push_back(std::move(aDone));
  }
  void Write(ObjectKind, const std::string&, Version, const std::string&, WriteDone) override {}

  /// Ends all calls that wait.
  void End(StoreResult aResult)
  {
    std::vector<ReadDone> ended;
    ended.swap(calls);
    for (const ReadDone& it : ended) {
      StoreReading reading;
      reading.result = aResult;
      reading.at = ++revision;
      it(reading);
    }
  }

  std::vector<ReadDone> calls;
  Version revision = 0;
};

struct Fixture
{
  Fixture()
  {
    follower.Follow(ObjectKind::kServer);
    follower.Follow(ObjectKind::kConfiguration);
    Pass(milliseconds(20));
    store.End(StoreResult::kDone);
    Pass(milliseconds(20));
  }

  void Pass(Duration aTime)
  {
    timers.now += aTime;
    follower.Tick(timers.now, true);
  }

  HeldStore store;
  ObjectMirror mirror;
  ManualTimers timers;
  DecisionLog log{ "test" };
  StoreFollower follower{ store, mirror, timers, log, [](auto, const auto&) {} };
};

} // namespace

TEST_CASE("a daemon that the store turns away says so at once", "[runtime][store]")
{
  Fixture fixture;
  const auto result = GENERATE(StoreResult::kRefused, StoreResult::kUnknown);
  CHECK_FALSE(fixture.follower.IsFailing());
  CHECK(StoreFollower::IsAble(fixture.follower.ToldAge(fixture.timers.now)));
  fixture.store.End(result);
  CHECK(fixture.follower.IsFailing());
  CHECK_FALSE(StoreFollower::IsAble(fixture.follower.ToldAge(fixture.timers.now)));
  // The store is not taken for away, nor entries for lapsed, before it has been silent for long.
  CHECK_FALSE(fixture.follower.IsLost());
  CHECK_FALSE(StoreFollower::IsOutage(fixture.follower.ToldAge(fixture.timers.now)));
  fixture.Pass(seconds(1));
  fixture.store.End(StoreResult::kDone);
  CHECK_FALSE(fixture.follower.IsFailing());
  CHECK(StoreFollower::IsAble(fixture.follower.ToldAge(fixture.timers.now)));
  // A daemon that watches never tells 0, which means that it does not.
  CHECK(fixture.follower.ToldAge(fixture.timers.now) > Duration::zero());
}

TEST_CASE("one call that is cut off is no failure of the store", "[runtime][store]")
{
  Fixture fixture;
  std::vector<ObjectStore::ReadDone> calls;
  calls.swap(fixture.store.calls);
  REQUIRE(calls.size() == 2);
  StoreReading cut;
  cut.result = StoreResult::kRefused;
  calls[0](cut);
  CHECK_FALSE(fixture.follower.IsFailing());
}
