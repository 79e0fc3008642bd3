/// @file
/// Tests of the range granter: first grant, moves, takeover, and servers that stop or do not
/// answer.

#include "ownership/range_granter.h"
#include "ownership/term_history.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hawthornlug;

namespace {

constexpr Duration kStep = milliseconds(50);

/// A granter, a store that always answers, and servers whose results a test can set.
class GranterFixture
{
public:
  explicit GranterFixture(DaemonRef aDaemon = { "d", 1 })
    : granter(std::move(aDaemon), timing)
  {
    SetServers({ "a", "b" });
  }
  /// Runs a first leader for a second, then returns a fixture in which @p aDaemon takes over with
  /// the record that the first one stored.
  static GranterFixture AfterTakeover(DaemonRef aDaemon)
  {
    GranterFixture predecessor;
    predecessor.granter.TakeOver(std::nullopt, { "a", "b" }, predecessor.now);
    predecessor.Advance(seconds(1));
    return predecessor.SucceededBy(std::move(aDaemon));
  }

  void SetServers(const std::vector<std::string>& aIds)
  {
    std::map<std::string, GrantableServer> servers;
    for (const std::string& it : aIds) {
      servers[it] = { incarnations[it] + 1, "address-" + it, true, true };
    }
    granter.SetServers(std::move(servers));
  }
  /// The registry shows that a server has started again under its id.
  void ShowRestart(const std::string& aServer)
  {
    ++incarnations[aServer];
    SetServers({ "a", "b" });
  }
  /// Ends this leader; returns a fixture in which @p aDaemon succeeds it.
  GranterFixture SucceededBy(DaemonRef aDaemon)
  {
    GranterFixture next(std::move(aDaemon));
    next.record = record;
    next.granter.TakeOver(record, {}, next.now);
    return next;
  }

  void Advance(Duration aDuration)
  {
    for (const Instant end = now + aDuration; now < end; now += kStep) {
      granter.OnRecordUnchanged(now, now);
      for (const GranterAction& it : granter.Tick(now)) {
        Execute(it);
      }
      granter.TakeUpdate();
    }
  }

  /// Runs until @p aServer owns the key. Returns the time that took, or nothing if it takes longer
  /// than @p aTimeout.
  std::optional<Duration> AdvanceUntilOwned(RangeKey aKey,
                                            const std::string& aServer,
                                            Duration aTimeout)
  {
    const Instant start = now;
    while (now - start < aTimeout) {
      if (OwnerOf(aKey) == aServer) {
        return now - start;
      }
      Advance(kStep);
    }
    return std::nullopt;
  }

  std::string OwnerOf(RangeKey aKey) const
  {
    for (const auto& [from, range] : granter.Ranges()) {
      if (range.owned.keys.Contains(aKey) && range.phase == RangePhase::kHeld) {
        return range.owned.owner.id;
      }
    }
    return "";
  }

  /// The owner that the directory names for a key; empty while nobody serves it.
  std::string ServingOwnerOf(RangeKey aKey) const
  {
    for (const DirectoryRange& it : granter.DirectorySnapshot().ranges) {
      if (it.keys.Contains(aKey)) {
        return it.moving ? "" : it.server;
      }
    }
    return "";
  }

  GrantTiming timing;
  Instant now{ seconds(100) };
  RangeGranter granter;
  std::optional<StoredObject> record;
  /// How often each server has restarted.
  std::map<std::string, Incarnation> incarnations;
  /// Results of the commands to a server, if not "done".
  std::map<std::string, CommandResult> results;
  /// Servers whose grants get no result yet, and the numbers of these grants.
  std::set<std::string> pendingServers;
  std::vector<std::uint64_t> pending;
  /// Commands that were sent, such as "grant a 0-32767 token 1".
  std::vector<std::string> commands;

private:
  CommandResult ResultOf(const std::string& aServer) const
  {
    const auto it = results.find(aServer);
    return it == results.end() ? CommandResult::kDone : it->second;
  }

  void AppendCommand(const char* aCommand,
                     const std::string& aServer,
                     const KeyRange& aKeys,
                     FencingToken aToken)
  {
    std::string line = aCommand;
    line += " " + aServer + " " + std::to_string(aKeys.from) + "-" + std::to_string(aKeys.to);
    line += " token " + std::to_string(aToken);
    commands.push_back(line);
  }

  void Execute(const GranterAction& aAction)
  {
    if (const auto* grant = std::get_if<GrantKeys>(&aAction)) {
      AppendCommand("grant", grant->server, grant->grant.range, grant->grant.token);
      if (pendingServers.contains(grant->server)) {
        pending.push_back(grant->order);
        return;
      }
      granter.OnGranted(grant->order, ResultOf(grant->server), now);
    } else if (const auto* release = std::get_if<ReleaseKeys>(&aAction)) {
      AppendCommand("release", release->server, release->release.range, release->release.token);
      granter.OnReleased(release->order, { ResultOf(release->server), "warm" }, now);
    } else {
      const auto& write = std::get<WriteRecord>(aAction);
      REQUIRE(write.expected == (record ? record->revision : StoreRevision()));
      record = StoredObject{ "service",
                             StoreRevision(write.expected.Number() + 10, write.expected.Era()),
                             false,
                             write.value };
      granter.OnWritten({ StoreResult::kDone, record }, now);
    }
  }
};

bool ContainsLine(const std::vector<std::string>& aLines, const std::string& aLine)
{
  return std::find(aLines.begin(), aLines.end(), aLine) != aLines.end();
}

} // namespace

TEST_CASE("the first grant divides all keys; grants are renewed before they expire",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(4));
  CHECK(fixture.OwnerOf(0) == "a");
  CHECK(fixture.OwnerOf(kLastKey) == "b");
  const auto renewals =
    std::count(fixture.commands.begin(), fixture.commands.end(), "grant a 0-32767 token 1");
  CHECK(renewals >= 3);
  CHECK(renewals <= 5);
}

TEST_CASE("part of a range moves by release, write and grant, with a higher token",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.granter.Move({ { 100, 200 }, "b" }, fixture.now);
  REQUIRE(fixture.AdvanceUntilOwned(150, "b", seconds(1)));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.OwnerOf(99) == "a");
  CHECK(fixture.OwnerOf(201) == "a");
  CHECK(ContainsLine(fixture.commands, "release a 100-200 token 1"));
  CHECK(ContainsLine(fixture.commands, "grant b 100-200 token 11"));
}

// Guards against a record that keeps a range for each move that there ever was.
TEST_CASE("a moved range becomes one range with its new owner's neighbours if that is asked for",
          "[ownership][ranges]")
{
  const bool joins = GENERATE(true, false);
  GranterFixture fixture;
  fixture.granter.SetJoinsNeighbours(joins);
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.granter.Move({ { 32000, 32767 }, "b" }, fixture.now);
  REQUIRE(fixture.AdvanceUntilOwned(32100, "b", seconds(1)));
  CHECK(fixture.ServingOwnerOf(40000) == "b");
  fixture.Advance(seconds(3));
  CHECK(fixture.granter.Ranges().size() == (joins ? 2 : 3));
  CHECK(ContainsLine(fixture.commands, "grant b 32000-65535 token 11") == joins);
  CHECK(fixture.OwnerOf(40000) == "b");
  CHECK(fixture.ServingOwnerOf(40000) == "b");
  CHECK(ContainsLine(fixture.commands, "release a 32000-32767 token 1"));

  // The joined range moves like any other.
  fixture.granter.Move({ { 32500, 50000 }, "a" }, fixture.now);
  CHECK(fixture.AdvanceUntilOwned(40000, "a", seconds(1)).has_value() == joins);
}

// Guards against a server whose connections are used up by the releases of a hot stretch.
TEST_CASE("a server is sent a limited number of releases at a time, and serves the other keys",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.SetMaxReleases(3);
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  for (RangeKey key = 100; key < 110; ++key) {
    fixture.granter.Move({ { key, key }, "b" }, fixture.now);
  }
  std::vector<std::uint64_t> releases;
  const auto collect = [&] {
    for (const GranterAction& it : fixture.granter.Tick(fixture.now)) {
      if (const auto* release = std::get_if<ReleaseKeys>(&it)) {
        releases.push_back(release->order);
      }
    }
    fixture.granter.TakeUpdate();
  };
  collect();
  CHECK(releases.size() == 3);
  CHECK(fixture.ServingOwnerOf(102).empty());
  CHECK(fixture.ServingOwnerOf(103) == "a");
  CHECK(fixture.ServingOwnerOf(109) == "a");
  fixture.granter.OnReleased(releases.front(), { CommandResult::kDone, "warm" }, fixture.now);
  collect();
  CHECK(releases.size() == 4);
}

// Guards against an owner change while a grant with the earlier token may still be applied.
TEST_CASE("a grant that is pending while its range gets a higher token counts until it has expired",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.SetJoinsNeighbours(true);
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.pendingServers = { "b" };
  while (fixture.pending.empty()) {
    fixture.Advance(kStep);
  }
  fixture.granter.Move({ { 32000, 32767 }, "b" }, fixture.now);
  REQUIRE(fixture.AdvanceUntilOwned(32100, "b", seconds(1)));
  const Instant raisedAt = fixture.now;
  fixture.granter.OnGranted(fixture.pending.front(), CommandResult::kNoAnswer, fixture.now);
  fixture.pendingServers.clear();
  fixture.results["b"] = CommandResult::kNoAnswer;
  fixture.Advance(seconds(2));
  fixture.granter.Move({ { 32768, kLastKey }, "a" }, fixture.now);
  REQUIRE(fixture.AdvanceUntilOwned(40000, "a", seconds(30)));
  CHECK(fixture.now - raisedAt >= fixture.timing.hold);
}

TEST_CASE("keys stay with an owner that serves them while a grant to it is unanswered",
          "[ownership][ranges]")
{
  // The grant may be applied late. A release would leave the keys without an owner until it has
  // expired.
  const bool pendingWhenMoved = GENERATE(true, false);
  INFO(
    "the grant " << (pendingWhenMoved ? "is pending when the move begins" : "has failed before"));
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.pendingServers = { "a" };
  while (fixture.pending.empty()) {
    fixture.Advance(kStep);
  }
  const auto failGrant = [&] {
    fixture.granter.OnGranted(fixture.pending.front(), CommandResult::kNoAnswer, fixture.now);
    fixture.pendingServers.clear();
  };
  if (!pendingWhenMoved) {
    failGrant();
  }
  fixture.granter.Move({ { 100, 200 }, "b" }, fixture.now);
  fixture.Advance(kStep);
  CHECK(fixture.ServingOwnerOf(150) == "a");
  if (pendingWhenMoved) {
    failGrant();
  }
  fixture.Advance(seconds(1));
  CHECK(fixture.ServingOwnerOf(150) == "a");
  CHECK_FALSE(ContainsLine(fixture.commands, "release a 100-200 token 1"));

  // Once the unanswered grant has expired, the keys move at once.
  fixture.Advance(seconds(4));
  fixture.granter.Move({ { 100, 200 }, "b" }, fixture.now);
  CHECK(fixture.AdvanceUntilOwned(150, "b", milliseconds(500)));
}

TEST_CASE("a takeover keeps the owners and grants with a higher token", "[ownership][ranges]")
{
  GranterFixture second = GranterFixture::AfterTakeover({ "d", 2 });
  second.Advance(seconds(1));
  CHECK(second.OwnerOf(0) == "a");
  CHECK(ContainsLine(second.commands, "grant a 0-32767 token 11"));
  CHECK_FALSE(second.granter.DirectorySnapshot().ranges.empty());
}

TEST_CASE("keys of an unresponsive owner move only after its grants have expired",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(2));
  fixture.results["a"] = CommandResult::kNoAnswer;
  fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
  const auto elapsed = fixture.AdvanceUntilOwned(0, "b", seconds(20));
  REQUIRE(elapsed);
  CHECK(*elapsed >= fixture.timing.hold - fixture.timing.renewalInterval);
  CHECK(*elapsed <= fixture.timing.hold + seconds(2));
}

TEST_CASE(
  "after a takeover, keys of an owner that never answers move once all old grants have expired",
  "[ownership][ranges]")
{
  // The earlier leader is another daemon, which may still renew its grants.
  GranterFixture second = GranterFixture::AfterTakeover({ "e", 1 });
  second.results["a"] = CommandResult::kNoAnswer;
  second.Advance(seconds(1));
  second.granter.Move({ { 0, 32767 }, "b" }, second.now);
  const Duration earlierRenewals =
    second.timing.unconfirmedRenewalLimit + second.timing.maxConfirmationAge;
  const auto elapsed = second.AdvanceUntilOwned(0, "b", seconds(60));
  REQUIRE(elapsed);
  CHECK(*elapsed >= earlierRenewals + second.timing.hold - seconds(1));
  CHECK(*elapsed <= earlierRenewals + second.timing.hold + seconds(4));
}

TEST_CASE("once the earlier leader has stopped, keys move after the lifetime of one grant",
          "[ownership][ranges]")
{
  GranterFixture second = GranterFixture::AfterTakeover({ "e", 1 });
  second.results["a"] = CommandResult::kNotSent;
  second.Advance(milliseconds(100));
  second.granter.OnEarlierLeaderStopped({ "d", 1 }, second.now);
  second.granter.Move({ { 0, 32767 }, "b" }, second.now);
  const auto elapsed = second.AdvanceUntilOwned(0, "b", seconds(60));
  REQUIRE(elapsed);
  CHECK(*elapsed >= second.timing.hold);
  CHECK(*elapsed <= second.timing.hold + seconds(1));
}

TEST_CASE("keys of an unreachable owner stay with it while any earlier leader may renew its grants",
          "[ownership][ranges]")
{
  // The first leader is cut off with server a; only the second one is known to have stopped.
  GranterFixture second = GranterFixture::AfterTakeover({ "e", 1 });
  second.results["a"] = CommandResult::kNotSent;
  second.Advance(seconds(1));
  GranterFixture third = second.SucceededBy({ "f", 1 });
  third.results["a"] = CommandResult::kNotSent;
  third.Advance(seconds(1));
  third.granter.OnEarlierLeaderStopped({ "e", 1 }, third.now);
  third.granter.Move({ { 0, 32767 }, "b" }, third.now);
  const auto elapsed = third.AdvanceUntilOwned(0, "b", seconds(60));
  REQUIRE(elapsed);
  CHECK(*elapsed >= third.timing.unconfirmedRenewalLimit + third.timing.hold - seconds(1));
}

TEST_CASE(
  "keys of an owner that has accepted the new leader's token move once its own grants expire",
  "[ownership][ranges]")
{
  // The earlier leader is lost for good, and some time later a server too.
  GranterFixture second = GranterFixture::AfterTakeover({ "e", 1 });
  second.Advance(seconds(1));
  second.results["a"] = CommandResult::kNotSent;
  second.granter.Move({ { 0, 32767 }, "b" }, second.now);
  const auto elapsed = second.AdvanceUntilOwned(0, "b", seconds(60));
  REQUIRE(elapsed);
  CHECK(*elapsed >= second.timing.hold - second.timing.renewalInterval);
  CHECK(*elapsed <= second.timing.hold + seconds(2));
}

TEST_CASE("an earlier leader is named in the record until it has stopped or cannot renew any more",
          "[ownership][ranges]")
{
  GranterFixture second = GranterFixture::AfterTakeover({ "e", 1 });
  const auto earlierInRecord = [](const GranterFixture& aFixture) {
    RangeRecord record;
    REQUIRE(DecodeRangeRecord(aFixture.record->value, record));
    return record.earlierLeaders;
  };
  second.Advance(seconds(1));
  const std::vector<EarlierLeader> first = { { { "d", 1 }, 1 } };
  CHECK(earlierInRecord(second) == first);
  SECTION("it has stopped")
  {
    second.granter.OnEarlierLeaderStopped({ "d", 1 }, second.now);
    second.granter.Move({ { 0, 9 }, "b" }, second.now);
    second.Advance(seconds(1));
    CHECK(earlierInRecord(second).empty());
  }
  SECTION("a later process of the same daemon succeeds")
  {
    GranterFixture third = second.SucceededBy({ "d", 2 });
    third.Advance(seconds(1));
    const std::vector<EarlierLeader> left = { { { "e", 1 }, 2 } };
    CHECK(earlierInRecord(third) == left);
  }
  SECTION("its successor has been known for long enough")
  {
    GranterFixture third({ "f", 1 });
    third.record = second.record;
    third.granter.TakeOver(second.record, {}, third.now, 2);
    third.Advance(seconds(1));
    const std::vector<EarlierLeader> left = { { { "e", 1 }, 2 } };
    CHECK(earlierInRecord(third) == left);
  }
  SECTION("enough time has passed")
  {
    second.Advance(seconds(25));
    second.granter.Move({ { 0, 9 }, "b" }, second.now);
    second.Advance(seconds(1));
    CHECK(earlierInRecord(second).empty());
  }
}

TEST_CASE("keys of a restarted owner are granted to its new incarnation before they move",
          "[ownership][ranges]")
{
  // The new incarnation may have accepted renewals that were meant for the earlier one.
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(2));
  const bool isMoving = GENERATE(false, true);
  if (isMoving) {
    fixture.results["a"] = CommandResult::kNoAnswer;
    fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
    fixture.Advance(kStep);
    fixture.results.erase("a");
  }
  fixture.ShowRestart("a");
  fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
  fixture.commands.clear();
  fixture.Advance(milliseconds(300));
  REQUIRE_FALSE(fixture.commands.empty());
  CHECK(fixture.commands.front() == "grant a 0-32767 token 11");
  CHECK(fixture.OwnerOf(0) == "a");
  fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
  CHECK(fixture.AdvanceUntilOwned(0, "b", seconds(1)));
  CHECK(ContainsLine(fixture.commands, "release a 0-32767 token 11"));
}

TEST_CASE("keys of a restarted owner that does not answer stay until its grants have expired",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(2));
  fixture.ShowRestart("a");
  fixture.results["a"] = CommandResult::kNotSent;
  fixture.Advance(milliseconds(200));
  fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
  const auto elapsed = fixture.AdvanceUntilOwned(0, "b", seconds(20));
  REQUIRE(elapsed);
  CHECK(*elapsed >= fixture.timing.hold - fixture.timing.renewalInterval - milliseconds(200));
}

TEST_CASE("a renewal that is pending when its owner restarts counts until it must have expired",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(2));
  // The renewal reaches the new incarnation, and its answer is lost.
  fixture.pendingServers.insert("a");
  fixture.Advance(milliseconds(1200));
  const Instant sentAt = fixture.now;
  fixture.ShowRestart("a");
  fixture.pendingServers.clear();
  fixture.results["a"] = CommandResult::kNotSent;
  fixture.Advance(kStep);
  fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
  REQUIRE(fixture.AdvanceUntilOwned(0, "b", seconds(20)));
  CHECK(fixture.now - sentAt >= fixture.timing.hold);
}

TEST_CASE("a fence that was asked for is not given by an earlier renewal's answer",
          "[ownership][ranges]")
{
  GranterFixture second = GranterFixture::AfterTakeover({ "e", 1 });
  second.Advance(seconds(1));
  second.pendingServers.insert("a");
  second.Advance(milliseconds(1200));
  REQUIRE_FALSE(second.pending.empty());
  second.granter.Move({ { 0, 32767 }, "b" }, second.now);
  second.granter.OnGranted(second.pending.front(), CommandResult::kDone, second.now);
  second.pendingServers.clear();
  second.commands.clear();
  second.Advance(milliseconds(500));
  REQUIRE_FALSE(second.commands.empty());
  CHECK(second.commands.front() == "grant a 0-32767 token 11");
  CHECK(ContainsLine(second.commands, "release a 0-32767 token 11"));
}

TEST_CASE("a command answered by another server does not prove that the owner has stopped",
          "[ownership][ranges]")
{
  // A registry entry with a wrong address, or an answer that is written once more, shows the same.
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.results["a"] = CommandResult::kOtherServer;
  const Duration before = GENERATE(Duration::zero(), milliseconds(1500));
  fixture.Advance(before);
  fixture.granter.Move({ { 0, 32767 }, "b" }, fixture.now);
  const auto elapsed = fixture.AdvanceUntilOwned(0, "b", seconds(10));
  REQUIRE(elapsed);
  CHECK(*elapsed + before >= fixture.timing.hold - fixture.timing.renewalInterval);
  CHECK(*elapsed + before <= fixture.timing.hold + seconds(2));
}

TEST_CASE("a term counts as known from when it was first noted", "[ownership][ranges]")
{
  const Instant start{ seconds(100) };
  TermHistory terms;
  CHECK(terms.KnownFor(Duration::zero(), start) == 0);
  terms.Note(3, start);
  terms.Note(3, start + seconds(5));
  terms.Note(5, start + seconds(6));
  terms.Note(4, start + seconds(7));
  CHECK(terms.KnownFor(seconds(15), start + seconds(14)) == 0);
  CHECK(terms.KnownFor(seconds(15), start + seconds(15)) == 3);
  CHECK(terms.KnownFor(seconds(15), start + seconds(21)) == 5);
}

TEST_CASE("a leader that was paused sends nothing by what it knew before", "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.now += RangeGranter::kMaxTickGap + kStep;
  CHECK(fixture.granter.Tick(fixture.now).empty());
  CHECK(fixture.granter.IsIdle());
}

TEST_CASE("an answer of the store that is read late does not confirm the leader",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  const Instant confirmedAt = fixture.granter.ConfirmedAt();
  const Instant askedAt = fixture.now;
  fixture.now += fixture.timing.maxConfirmationAge + kStep;
  fixture.granter.OnRecordUnchanged(askedAt, fixture.now);
  fixture.granter.OnRecordRead(*fixture.record, askedAt, fixture.now);
  CHECK(fixture.granter.ConfirmedAt() == confirmedAt);
  fixture.granter.OnRecordRead(*fixture.record, askedAt + kStep, fixture.now);
  CHECK(fixture.granter.ConfirmedAt() == fixture.now);
}

TEST_CASE("a leader that a server refuses because of a higher token resigns at once",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.results["a"] = CommandResult::kSuperseded;
  fixture.Advance(seconds(2));
  CHECK(fixture.granter.IsIdle());
  const std::size_t count = fixture.commands.size();
  fixture.Advance(seconds(5));
  CHECK(fixture.commands.size() == count);
}

TEST_CASE("a leader that cannot confirm that the record names it stops renewing",
          "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  const Instant end = fixture.now + fixture.timing.unconfirmedRenewalLimit + seconds(3);
  std::size_t renewals = 0;
  Instant lastRenewalAt;
  for (; fixture.now < end; fixture.now += kStep) {
    for (const GranterAction& it : fixture.granter.Tick(fixture.now)) {
      if (const auto* grant = std::get_if<GrantKeys>(&it)) {
        fixture.granter.OnGranted(grant->order, CommandResult::kDone, fixture.now);
        ++renewals;
        lastRenewalAt = fixture.now;
      }
    }
  }
  CHECK(renewals > 10);
  CHECK(lastRenewalAt <= end - seconds(3) + kStep);
}

TEST_CASE("a leader that the store does not confirm grants no keys anew whose grants have expired",
          "[ownership][ranges]")
{
  // The owner may have restarted while it could not be reached, and forgotten a successor's token.
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  const auto grantsDuring = [&](Duration aTime, CommandResult aResult) {
    std::size_t n = 0;
    for (const Instant end = fixture.now + aTime; fixture.now < end; fixture.now += kStep) {
      for (const GranterAction& it : fixture.granter.Tick(fixture.now)) {
        const auto& grant = std::get<GrantKeys>(it);
        const bool isToA = grant.server == "a";
        n += isToA ? 1 : 0;
        fixture.granter.OnGranted(grant.order, isToA ? aResult : CommandResult::kDone, fixture.now);
      }
    }
    return n;
  };
  CHECK(grantsDuring(seconds(5), CommandResult::kNotSent) > 5);
  CHECK(grantsDuring(seconds(2), CommandResult::kDone) == 0);
  fixture.granter.OnRecordUnchanged(fixture.now, fixture.now);
  CHECK(grantsDuring(seconds(2), CommandResult::kDone) > 0);
}

TEST_CASE("a leader resigns when the record names another leader", "[ownership][ranges]")
{
  GranterFixture fixture;
  fixture.granter.TakeOver(std::nullopt, { "a", "b" }, fixture.now);
  fixture.Advance(seconds(1));
  fixture.granter.OnRecordRead(*fixture.record, fixture.now, fixture.now);
  CHECK(fixture.granter.IsLeader());
  RangeRecord other;
  REQUIRE(DecodeRangeRecord(fixture.record->value, other));
  other.leader = { "e", 1 };
  ++other.term;
  fixture.granter.OnRecordRead(
    { "service", StoreRevision(99), false, EncodeRangeRecord(other) }, fixture.now, fixture.now);
  CHECK(fixture.granter.IsIdle());
}

TEST_CASE("malformed records and records with gaps are refused", "[ownership][ranges]")
{
  const std::string text = GENERATE(
    "",
    "null",
    "{}",
    R"({"holder":"d","incarnation":1,"term":1,"write":1,"ranges":[]})",
    R"({"holder":"d","incarnation":1,"term":1,"write":1,"ranges":[[1,65535,"a",1,1]]})",
    R"({"holder":"d","incarnation":1,"term":1,"write":1,"ranges":[[0,9,"a",1,1],[11,65535,"a",1,1]]})");
  RangeRecord record;
  CHECK_FALSE(DecodeRangeRecord(text, record));
}

TEST_CASE("a record of a daemon that names no earlier leaders is read", "[ownership][ranges]")
{
  RangeRecord record;
  CHECK(DecodeRangeRecord(
    R"({"holder":"d","incarnation":1,"term":1,"write":1,"ranges":[[0,65535,"a",1,1]]})", record));
  CHECK(record.earlierLeaders.empty());
}
