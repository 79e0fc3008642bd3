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
  void List(ObjectKind, bool, ReadDone aDone) override
  {
    ++lists;
    calls.push_back(std::move(aDone));
  }
  void Watch(ObjectKind, StoreRevision, Duration, ReadDone aDone) override
  {
    calls.push_back(std::move(aDone));
  }
  void Write(ObjectKind, const std::string&, StoreRevision, const std::string&, WriteDone) override
  {
  }

  /// Completes all pending calls.
  void Complete(StoreResult aResult)
  {
    std::vector<ReadDone> ended;
    ended.swap(calls);
    for (const ReadDone& it : ended) {
      StoreReading reading;
      reading.result = aResult;
      reading.at = StoreRevision(++revision);
      reading.objects = objects;
      it(reading);
    }
  }

  std::vector<ReadDone> calls;
  /// What each answer holds.
  std::vector<StoredObject> objects;
  std::uint64_t revision = 0;
  unsigned lists = 0;
};

struct Fixture
{
  /// The first lists end with @p aFirst.
  explicit Fixture(StoreResult aFirst = StoreResult::kDone)
  {
    follower.Follow(ObjectKind::kServer);
    follower.Follow(ObjectKind::kConfiguration);
    AdvanceTime(milliseconds(20));
    store.Complete(aFirst);
    AdvanceTime(milliseconds(20));
  }

  void AdvanceTime(Duration aTime)
  {
    timers.now += aTime;
    follower.Tick(timers.now, StoreFollower::Reading::kWatchingClosely);
  }

  ManualStore store;
  ObjectMirror mirror;
  ManualTimers timers;
  DecisionLog log{ "test" };
  StoreFollower follower{ store, mirror, timers, log, [](auto, const auto&) {}, [](auto, auto) {} };
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

TEST_CASE("a list with a gap is used for what it has, and is not taken for a whole one",
          "[runtime][store]")
{
  Fixture fixture;
  const StoreRevision before = fixture.mirror.At(ObjectKind::kServer);
  // Both kinds have to be listed again.
  fixture.store.Complete(StoreResult::kHistoryGone);
  fixture.AdvanceTime(milliseconds(20));
  REQUIRE(fixture.store.lists == 4);
  fixture.store.objects = { { "a", StoreRevision(1), false, "{}" },
                            { "b", StoreRevision(2), false, "{}" } };
  fixture.store.Complete(StoreResult::kDone);
  fixture.AdvanceTime(milliseconds(300));
  fixture.store.Complete(StoreResult::kHistoryGone);
  fixture.AdvanceTime(milliseconds(20));
  REQUIRE(fixture.store.lists == 6);
  const StoreRevision whole = fixture.mirror.At(ObjectKind::kServer);
  REQUIRE(whole > before);
  fixture.store.objects = { { "c", StoreRevision(100), false, "{}" } };
  fixture.store.Complete(StoreResult::kIncomplete);
  CHECK(fixture.mirror.At(ObjectKind::kServer) == whole);
  CHECK(fixture.mirror.All(ObjectKind::kServer).size() == 3);
  // It is listed again, but not at once; the store is neither lost nor failing.
  CHECK_FALSE(fixture.follower.IsFailing());
  fixture.AdvanceTime(milliseconds(900));
  CHECK(fixture.store.lists == 6);
  fixture.AdvanceTime(milliseconds(200));
  CHECK(fixture.store.lists == 8);
  CHECK_FALSE(fixture.follower.IsLost());
  fixture.store.Complete(StoreResult::kDone);
  CHECK(fixture.mirror.At(ObjectKind::kServer) > whole);
  CHECK(fixture.mirror.All(ObjectKind::kServer).size() == 1);
}

TEST_CASE("lists that keep having a gap are called for ever more rarely", "[runtime][store]")
{
  Fixture fixture;
  fixture.store.Complete(StoreResult::kHistoryGone);
  constexpr unsigned kTicksPerSecond = 50;
  constexpr unsigned kSeconds = 60;
  const unsigned before = fixture.store.lists;
  for (unsigned n = 0; n < kSeconds * kTicksPerSecond; ++n) {
    fixture.AdvanceTime(milliseconds(20));
    fixture.store.Complete(StoreResult::kIncomplete);
  }
  // Two kinds, each every four seconds in the end.
  CHECK(fixture.store.lists - before <= 2 * (kSeconds / 4 + 4));
  CHECK(fixture.store.lists - before >= 2 * (kSeconds / 4 - 4));
}

TEST_CASE("a kind counts as listed once a whole list of it was read", "[runtime][store]")
{
  const auto result = GENERATE(StoreResult::kDone,
                               StoreResult::kIncomplete,
                               StoreResult::kMalformed,
                               StoreResult::kRefused,
                               StoreResult::kUnknown);
  Fixture fixture(result);
  CHECK(fixture.follower.HasListed(ObjectKind::kServer) == (result == StoreResult::kDone));
  CHECK_FALSE(fixture.follower.HasListed(ObjectKind::kRanges));
  fixture.AdvanceTime(seconds(1));
  fixture.store.Complete(StoreResult::kDone);
  fixture.store.Complete(StoreResult::kRefused);
  CHECK(fixture.follower.HasListed(ObjectKind::kServer));
}

TEST_CASE("a refresh for which the store has no history any more lists at once", "[runtime][store]")
{
  Fixture fixture;
  fixture.store.Complete(StoreResult::kDone);
  REQUIRE(fixture.store.lists == 2);
  std::vector<bool> ended;
  REQUIRE(
    fixture.follower.Refresh(ObjectKind::kServer, [&](bool aDone) { ended.push_back(aDone); }));
  CHECK_FALSE(fixture.follower.Refresh(ObjectKind::kServer, nullptr));
  fixture.store.Complete(StoreResult::kHistoryGone);
  CHECK(ended.empty());
  CHECK(fixture.store.lists == 3);
  fixture.store.Complete(StoreResult::kDone);
  CHECK(ended == std::vector<bool>{ true });
}

TEST_CASE("after changes that can't be parsed the kind is listed", "[runtime][store]")
{
  Fixture fixture;
  REQUIRE(fixture.store.lists == 2);
  fixture.store.Complete(StoreResult::kMalformed);
  fixture.AdvanceTime(milliseconds(200));
  CHECK(fixture.store.lists == 4);
  fixture.store.Complete(StoreResult::kDone);
  fixture.AdvanceTime(milliseconds(20));
  // From that list changes are watched again.
  CHECK(fixture.store.lists == 4);
  CHECK(fixture.store.calls.size() == 2);
}
