/// @file
/// The range granter step by step: first grant, moves, takeover, servers that end or fall silent.

#include "ownership/range_granter.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr Duration kStep = milliseconds(50);

/// A granter, a store that always answers, and servers whose answers a test chooses.
class Session
{
public:
  explicit Session(DaemonRef aDaemon = { "d", 1 })
    : granter(std::move(aDaemon), timing)
  {
    SetServers({ "a", "b" });
  }
  /// A second of a first holder's work, as the record has it, and then another holder.
  static Session After(DaemonRef aDaemon)
  {
    Session first;
    first.granter.TakeOver(std::nullopt, { "a", "b" }, first.now);
    first.Run(seconds(1));
    Session second(std::move(aDaemon));
    second.record = first.record;
    second.granter.TakeOver(first.record, {}, second.now);
    return second;
  }

  void SetServers(const std::vector<std::string>& aIds)
  {
    std::map<std::string, GrantableServer> servers;
    for (const std::string& it : aIds) {
      servers[it] = { 1, "address-" + it, true, true };
    }
    granter.SetServers(std::move(servers));
  }

  void Run(Duration aTime)
  {
    for (const Instant end = now + aTime; now < end; now += kStep) {
      granter.OnRecordUnchanged(now);
      for (const GranterAction& it : granter.Tick(now)) {
        Carry(it);
      }
      granter.TakeUpdate();
    }
  }

  /// Runs until the key's owner is @p aServer; how long that took, or nothing.
  std::optional<Duration> RunUntilOwned(RangeKey aKey,
                                        const std::string& aServer,
                                        Duration aLongest)
  {
    const Instant start = now;
    while (now - start < aLongest) {
      if (OwnerOf(aKey) == aServer) {
        return now - start;
      }
      Run(kStep);
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

  GrantTiming timing;
  Instant now{ seconds(100) };
  RangeGranter granter;
  std::optional<StoredObject> record;
  /// Servers whose orders get another result than "done".
  std::map<std::string, OrderResult> results;
  /// What was ordered, like "grant a 0-32767 token 1".
  std::vector<std::string> orders;

private:
  OrderResult ResultOf(const std::string& aServer) const
  {
    const auto it = results.find(aServer);
    return it == results.end() ? OrderResult::kDone : it->second;
  }

  void Say(const char* aOrder,
           const std::string& aServer,
           const KeyRange& aKeys,
           FencingToken aToken)
  {
    std::string line = aOrder;
    line += " " + aServer + " " + std::to_string(aKeys.from) + "-" + std::to_string(aKeys.to);
    line += " token " + std::to_string(aToken);
    orders.push_back(line);
  }

  void Carry(const GranterAction& aAction)
  {
    if (const auto* grant = std::get_if<GrantKeys>(&aAction)) {
      Say("grant", grant->server, grant->grant.range, grant->grant.token);
      granter.OnGranted(grant->order, ResultOf(grant->server), now);
    } else if (const auto* release = std::get_if<ReleaseKeys>(&aAction)) {
      Say("release", release->server, release->release.range, release->release.token);
      granter.OnReleased(release->order, { ResultOf(release->server), "warm" }, now);
    } else {
      const auto& write = std::get<WriteRecord>(aAction);
      REQUIRE(write.expected == (record ? record->revision : 0));
      record = StoredObject{ "service", write.expected + 10, false, write.value };
      granter.OnWritten({ StoreResult::kDone, record }, now);
    }
  }
};

bool Holds(const std::vector<std::string>& aOrders, const std::string& aLine)
{
  return std::find(aOrders.begin(), aOrders.end(), aLine) != aOrders.end();
}

} // namespace

TEST_CASE("the first grant divides all keys; each is renewed in time", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(4));
  CHECK(session.OwnerOf(0) == "a");
  CHECK(session.OwnerOf(kLastKey) == "b");
  const auto renewals =
    std::count(session.orders.begin(), session.orders.end(), "grant a 0-32767 token 1");
  CHECK(renewals >= 3);
  CHECK(renewals <= 5);
}

TEST_CASE("a piece moves by release, write and grant, with a higher token", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(1));
  session.granter.Move({ { 100, 200 }, "b" }, session.now);
  REQUIRE(session.RunUntilOwned(150, "b", seconds(1)));
  session.Run(milliseconds(100));
  CHECK(session.OwnerOf(99) == "a");
  CHECK(session.OwnerOf(201) == "a");
  CHECK(Holds(session.orders, "release a 100-200 token 1"));
  CHECK(Holds(session.orders, "grant b 100-200 token 11"));
}

TEST_CASE("a takeover keeps the owners under a higher token", "[ownership][ranges]")
{
  Session second = Session::After({ "d", 2 });
  second.Run(seconds(1));
  CHECK(second.OwnerOf(0) == "a");
  CHECK(Holds(second.orders, "grant a 0-32767 token 11"));
  CHECK_FALSE(second.granter.WholeDirectory().ranges.empty());
}

TEST_CASE("a silent owner's keys move when its grants have lapsed, not before",
          "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(2));
  session.results["a"] = OrderResult::kNoAnswer;
  session.granter.Move({ { 0, 32767 }, "b" }, session.now);
  const auto took = session.RunUntilOwned(0, "b", seconds(20));
  REQUIRE(took);
  CHECK(*took >= session.timing.hold - session.timing.renewal);
  CHECK(*took <= session.timing.hold + seconds(2));
}

TEST_CASE("after a takeover an unreached owner's keys move in the end", "[ownership][ranges]")
{
  // The earlier holder is another daemon that may still renew.
  Session second = Session::After({ "e", 1 });
  second.results["a"] = OrderResult::kNoAnswer;
  second.Run(seconds(1));
  second.granter.Move({ { 0, 32767 }, "b" }, second.now);
  const Duration blind = second.timing.blindRenewal + second.timing.confirmationLag;
  const auto took = second.RunUntilOwned(0, "b", seconds(60));
  REQUIRE(took);
  CHECK(*took >= blind + second.timing.hold - seconds(1));
  CHECK(*took <= blind + second.timing.hold + seconds(4));
}

TEST_CASE("once the earlier holder has stopped, only its last grant is waited out",
          "[ownership][ranges]")
{
  Session second = Session::After({ "e", 1 });
  second.results["a"] = OrderResult::kNotSent;
  second.Run(milliseconds(100));
  second.granter.OnEarlierHolderStopped(second.now);
  second.granter.Move({ { 0, 32767 }, "b" }, second.now);
  const auto took = second.RunUntilOwned(0, "b", seconds(60));
  REQUIRE(took);
  CHECK(*took >= second.timing.hold);
  CHECK(*took <= second.timing.hold + seconds(1));
}

TEST_CASE("another server at the owner's address proves the owner's end", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(1));
  session.results["a"] = OrderResult::kOtherServer;
  session.Run(seconds(2));
  // Its keys are free, and wait for a new owner.
  session.granter.Move({ { 0, 32767 }, "b" }, session.now);
  const auto took = session.RunUntilOwned(0, "b", seconds(2));
  REQUIRE(took);
  CHECK(*took < milliseconds(500));
}

TEST_CASE("another server that answers a release proves the owner's end", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(1));
  // The release meets the other server before any renewal does.
  session.results["a"] = OrderResult::kOtherServer;
  session.granter.Move({ { 0, 32767 }, "b" }, session.now);
  const auto took = session.RunUntilOwned(0, "b", seconds(10));
  REQUIRE(took);
  CHECK(*took < milliseconds(500));
}

TEST_CASE("a holder that is refused for a higher token stops at once", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(1));
  session.results["a"] = OrderResult::kSuperseded;
  session.Run(seconds(2));
  CHECK(session.granter.IsIdle());
  const std::size_t orders = session.orders.size();
  session.Run(seconds(5));
  CHECK(session.orders.size() == orders);
}

TEST_CASE("a holder that can't confirm its record stops renewing", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(1));
  const Instant end = session.now + session.timing.blindRenewal + seconds(3);
  std::size_t last = 0;
  Instant lastAt;
  for (; session.now < end; session.now += kStep) {
    for (const GranterAction& it : session.granter.Tick(session.now)) {
      if (const auto* grant = std::get_if<GrantKeys>(&it)) {
        session.granter.OnGranted(grant->order, OrderResult::kDone, session.now);
        ++last;
        lastAt = session.now;
      }
    }
  }
  CHECK(last > 10);
  CHECK(lastAt <= end - seconds(3) + kStep);
}

TEST_CASE("a record that names another holder ends this one", "[ownership][ranges]")
{
  Session session;
  session.granter.TakeOver(std::nullopt, { "a", "b" }, session.now);
  session.Run(seconds(1));
  session.granter.OnRecordRead(*session.record, session.now);
  CHECK(session.granter.IsHolder());
  RangeRecord other;
  REQUIRE(DecodeRangeRecord(session.record->value, other));
  other.holder = { "e", 1 };
  ++other.term;
  session.granter.OnRecordRead({ "service", 99, false, EncodeRangeRecord(other) }, session.now);
  CHECK(session.granter.IsIdle());
}

TEST_CASE("a record with gaps or other bytes is no record", "[ownership][ranges]")
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
