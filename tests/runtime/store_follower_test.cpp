/// @file
/// Tests when a daemon's watch of the store can be relied on.

#include "runtime/store_follower.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using hawthornlug::test::ManualTimers;

namespace {

/// A store that answers when the test says so.
class ManualStore : public ObjectStore
{
public:
  void List(ObjectKind, bool, ReadDone aDone) override { calls.push_back(std::move(aDone)); }
  void Watch(ObjectKind, Version, Duration, ReadDone aDone) override
  {
    calls.push_back(std::move(aDone));
  }
  void Write(ObjectKind, const std::string&, Version, const std::string&, WriteDone) override {}

  /// Completes all pending calls.
  void Complete(StoreResult aResult)
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
    AdvanceTime(milliseconds(20));
    store.Complete(StoreResult::kDone);
    AdvanceTime(milliseconds(20));
  }

  void AdvanceTime(Duration aTime)
  {
    timers.now += aTime;
    follower.Tick(timers.now, StoreFollower::Reading::kWatching);
  }

  ManualStore store;
  ObjectMirror mirror;
  ManualTimers timers;
  DecisionLog log{ "test" };
  StoreFollower follower{ store, mirror, timers, log, [](auto, const auto&) {} };
};

} // namespace

TEST_CASE("a daemon that the store refuses reports it at once", "[runtime][store]")
{
  Fixture fixture;
  const auto result = GENERATE(StoreResult::kRefused, StoreResult::kUnknown);
  CHECK_FALSE(fixture.follower.IsFailing());
  CHECK(StoreFollower::IsReliable(fixture.follower.ReportedAge(fixture.timers.now)));
  fixture.store.Complete(result);
  CHECK(fixture.follower.IsFailing());
  CHECK_FALSE(StoreFollower::IsReliable(fixture.follower.ReportedAge(fixture.timers.now)));
  // The store does not count as lost, nor registry entries as expired, until it has not answered
  // for longer.
  CHECK_FALSE(fixture.follower.IsLost());
  CHECK_FALSE(StoreFollower::IsOutage(fixture.follower.ReportedAge(fixture.timers.now)));
  fixture.AdvanceTime(seconds(1));
  fixture.store.Complete(StoreResult::kDone);
  CHECK_FALSE(fixture.follower.IsFailing());
  CHECK(StoreFollower::IsReliable(fixture.follower.ReportedAge(fixture.timers.now)));
  // A daemon that watches never reports 0, which means that it does not watch.
  CHECK(fixture.follower.ReportedAge(fixture.timers.now) > Duration::zero());
}

TEST_CASE("a single failed call does not count as a failure of the store", "[runtime][store]")
{
  Fixture fixture;
  std::vector<ObjectStore::ReadDone> calls;
  calls.swap(fixture.store.calls);
  REQUIRE(calls.size() == 2);
  StoreReading refused;
  refused.result = StoreResult::kRefused;
  calls[0](refused);
  CHECK_FALSE(fixture.follower.IsFailing());
}
