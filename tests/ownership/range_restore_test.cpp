/// @file
/// The range granter after a restore of the store: what its leader takes for confirmed, and what
/// becomes of ranges whose owners are not.

#include "ownership/range_granter.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hawthornlug;

namespace {

constexpr Duration kStep = milliseconds(20);
const DaemonRef kSelf{ "d", 1 };

/// A leader, two servers that own half of the keys each, and the store's record.
class RestoreFixture
{
public:
  RestoreFixture()
    : granter(kSelf, timing)
  {
    SetServers(1);
    granter.OnStoreEra(kFirstStoreEra, now);
    granter.TakeOver(std::nullopt, { "a", "b" }, now);
    Advance(seconds(1));
  }

  /// Sets the registered incarnation of server "a".
  void SetServers(Incarnation aIncarnation)
  {
    granter.SetServers({ { "a", { aIncarnation, "address-a", true, true } },
                         { "b", { 1, "address-b", true, true } } });
  }

  /// The store is restored as it is: its record is an older copy from now on.
  void Restore()
  {
    record->revision = StoreRevision(record->revision.Number(), kFirstStoreEra + 1);
    granter.OnStoreEra(kFirstStoreEra + 1, now);
  }

  void Advance(Duration aDuration)
  {
    for (const Instant end = now + aDuration; now < end; now += kStep) {
      if (record) {
        granter.OnRecordRead(*record, now, now);
      }
      for (const GranterAction& it : granter.Tick(now)) {
        Execute(it);
      }
      AnswerTimeouts();
      for (GranterEvent& it : granter.TakeEvents()) {
        events.push_back(std::move(it));
      }
    }
  }

  const RangeGranter::Range& RangeOf(RangeKey aKey) const
  {
    return std::prev(granter.Ranges().upper_bound(aKey))->second;
  }

  std::size_t GrantsTo(const std::string& aServer) const
  {
    return std::count(granted.begin(), granted.end(), aServer);
  }

  GrantTiming timing;
  Instant now{ seconds(100) };
  RangeGranter granter;
  std::optional<StoredObject> record;
  /// Servers that do not answer.
  std::set<std::string> silent;
  /// The servers of all grants that were sent.
  std::vector<std::string> granted;
  std::vector<GranterEvent> events;
  /// Called before the next write is made, once.
  std::function<void()> beforeWrite;

private:
  void Execute(const GranterAction& aAction)
  {
    if (const auto* grant = std::get_if<GrantKeys>(&aAction)) {
      granted.push_back(grant->server);
      if (silent.contains(grant->server)) {
        mUnanswered.emplace_back(now + timing.grantTimeout, grant->order);
        return;
      }
      granter.OnGranted(grant->order, CommandResult::kDone, now);
    } else if (const auto* write = std::get_if<WriteRecord>(&aAction)) {
      if (beforeWrite) {
        std::exchange(beforeWrite, nullptr)();
      }
      const bool matches = write->expected == (record ? record->revision : write->expected);
      if (matches) {
        const StoreRevision next(write->expected.Number() + 10, write->expected.Era());
        record = StoredObject{ "service", next, false, write->value };
      }
      granter.OnWritten({ matches ? StoreResult::kDone : StoreResult::kConflict, record }, now);
    }
  }

  void AnswerTimeouts()
  {
    while (!mUnanswered.empty() && mUnanswered.front().first <= now) {
      const std::uint64_t order = mUnanswered.front().second;
      mUnanswered.erase(mUnanswered.begin());
      granter.OnGranted(order, CommandResult::kNoAnswer, now);
    }
  }

  std::vector<std::pair<Instant, std::uint64_t>> mUnanswered;
};

} // namespace

TEST_CASE("a restored store: the leader goes on with the owners that confirm",
          "[ownership][ranges][restore]")
{
  RestoreFixture fixture;
  const FencingToken before = fixture.RangeOf(0).owned.token;
  fixture.Restore();
  CHECK(fixture.granter.IsLeader());
  fixture.Advance(seconds(2));
  REQUIRE(fixture.events.back().type == GranterEvent::Type::kRestored);
  CHECK(fixture.events.back().confirmed == 2);
  CHECK(fixture.events.back().uncertain == 0);
  CHECK(fixture.RangeOf(0).owned.token > before);
  CHECK(fixture.RangeOf(0).owned.token > FirstNumberOf(kFirstStoreEra + 1));
  CHECK(fixture.RangeOf(0).phase == RangePhase::kHeld);
}

TEST_CASE("a restored store: an owner that has restarted confirms nothing",
          "[ownership][ranges][restore]")
{
  RestoreFixture fixture;
  // Whether the registry shows the restart before the leader learns of the restore.
  const bool before = GENERATE(true, false);
  if (before) {
    fixture.SetServers(2);
  }
  fixture.granted.clear();
  fixture.Restore();
  if (!before) {
    fixture.SetServers(2);
  }
  fixture.Advance(seconds(2));
  CHECK(fixture.GrantsTo("a") == 0);
  CHECK(fixture.RangeOf(0).owned.uncertain);
  CHECK_FALSE(fixture.RangeOf(kLastKey).owned.uncertain);
}

TEST_CASE("a restored store: keys of an owner that does not answer are granted again in the end",
          "[ownership][ranges][restore]")
{
  RestoreFixture fixture;
  fixture.silent.insert("a");
  // At each point of the owner's series of failed grants.
  const int offset = GENERATE(range(0, 900, 60));
  INFO(offset << " ms");
  fixture.Advance(milliseconds(1200 + offset));
  fixture.Restore();
  fixture.Advance(seconds(3));
  REQUIRE_FALSE(fixture.granter.IsRestoring());
  CHECK(fixture.RangeOf(0).owned.uncertain);
  fixture.granted.clear();
  fixture.Advance(seconds(10));
  CHECK(fixture.GrantsTo("a") == 0);
  fixture.silent.clear();
  fixture.Advance(seconds(14));
  CHECK(fixture.GrantsTo("a") > 0);
  CHECK(fixture.RangeOf(0).phase == RangePhase::kHeld);
}

TEST_CASE("a restored store: a grant that is repeated once still confirms",
          "[ownership][ranges][restore]")
{
  RestoreFixture fixture;
  fixture.silent.insert("a");
  fixture.Restore();
  fixture.Advance(milliseconds(700));
  fixture.silent.clear();
  fixture.Advance(seconds(1));
  CHECK_FALSE(fixture.granter.IsRestoring());
  CHECK_FALSE(fixture.RangeOf(0).owned.uncertain);
}

TEST_CASE("a restored store: a late write of the earlier era does not end the leader",
          "[ownership][ranges][restore]")
{
  RestoreFixture fixture;
  fixture.Restore();
  fixture.beforeWrite = [&] {
    fixture.record->revision =
      StoreRevision(fixture.record->revision.Number() + 1, kFirstStoreEra + 1);
  };
  fixture.Advance(seconds(2));
  CHECK(fixture.granter.IsLeader());
  CHECK_FALSE(fixture.granter.IsRestoring());
}

TEST_CASE("a restored store: a grant of an unknown earlier leader may still be on its way",
          "[ownership][ranges][restore]")
{
  RestoreFixture first;
  RangeGranter granter({ "e", 1 }, first.timing);
  granter.OnStoreEra(kFirstStoreEra, first.now);
  granter.OnStoreEra(kFirstStoreEra + 1, first.now);
  granter.SetServers({ { "a", { 1, "address-a", true, true } } });
  first.record->revision = StoreRevision(first.record->revision.Number(), kFirstStoreEra + 1);
  granter.TakeOver(first.record, {}, first.now);
  Instant now = first.now;
  Instant grantedAt;
  const Instant ended = now + milliseconds(100);
  for (; now < ended + seconds(8) && grantedAt == Instant(); now += kStep) {
    if (now == ended) {
      granter.OnEarlierLeaderStopped(kUnknownLeader, now);
      granter.OnEarlierLeaderStopped(kSelf, now);
    }
    granter.OnRecordUnchanged(now, now);
    for (const GranterAction& it : granter.Tick(now)) {
      if (const auto* write = std::get_if<WriteRecord>(&it)) {
        const StoreRevision next(write->expected.Number() + 10, write->expected.Era());
        granter.OnWritten(
          { StoreResult::kDone, StoredObject{ "service", next, false, write->value } }, now);
      } else {
        grantedAt = now;
      }
    }
  }
  const Duration lifetime = Scaled(first.timing.hold, 1.0 + first.timing.maxClockDrift);
  CHECK(grantedAt - ended >= first.timing.grantTimeout + lifetime + first.timing.expiryMargin);
  CHECK(grantedAt - ended < seconds(6));
}
