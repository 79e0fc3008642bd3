/// @file
/// What servers state about themselves keeps requests from them, for as long as it holds.

#include "routing/server_selector.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };
const ServerNotice kLeaving{ true, Duration::zero() };

ServerNotice Pause(Duration aPause)
{
  return { false, aPause };
}

ServerEntry Entry(Incarnation aIncarnation)
{
  ServerEntry entry;
  entry.id = "a";
  entry.service = "s";
  entry.domain = "home";
  entry.slots = 3;
  entry.incarnation = aIncarnation;
  return entry;
}

/// A selector with one server, the incarnation 5 of "a".
ServerSelector Selector()
{
  ServerSelector selector("home");
  selector.Put(Entry(5), kStart);
  return selector;
}

ServerChoice Choose(const ServerSelector& aSelector, Instant aNow)
{
  ServerRequirements need;
  need.service = "s";
  need.work = milliseconds(200);
  need.idempotent = true;
  need.targetLatency = milliseconds(600);
  need.timeToTarget = milliseconds(600);
  return aSelector.Choose(need, aNow);
}

/// Why no request goes to the only server; "none" if one does.
std::string Bar(const ServerSelector& aSelector, Instant aNow = kStart)
{
  return std::string(NameOf(kServerUnavailabilityNames, Choose(aSelector, aNow).unavailability));
}

} // namespace

TEST_CASE("a server that says it leaves gets no request until another incarnation is registered",
          "[routing][notices]")
{
  ServerSelector selector = Selector();
  REQUIRE(Bar(selector) == "none");
  CHECK(selector.OnNotice({ "a", 5 }, kLeaving, kStart));
  REQUIRE(Bar(selector) == "leaving");
  CHECK_FALSE(selector.IsOpen("a"));
  SECTION("the store still lists it as ready")
  {
    selector.Put(Entry(5), kStart);
    CHECK(Bar(selector) == "leaving");
  }
  SECTION("its entry expires and is back")
  {
    selector.Remove("a", kStart);
    selector.Put(Entry(5), kStart + seconds(120));
    CHECK(Bar(selector, kStart + seconds(120)) == "leaving");
  }
  SECTION("a stale reading shows an earlier incarnation")
  {
    selector.Put(Entry(4), kStart);
    CHECK(Bar(selector) == "leaving");
  }
  SECTION("the configuration of its service changes")
  {
    ServiceRule rule;
    rule.name = "s";
    rule.maxConnections = 50;
    selector.SetServiceRule(rule);
    CHECK(Bar(selector) == "leaving");
  }
  SECTION("time passes")
  {
    CHECK(Bar(selector, kStart + seconds(3600)) == "leaving");
  }
  SECTION("it says so a second time")
  {
    CHECK_FALSE(selector.OnNotice({ "a", 5 }, kLeaving, kStart));
    CHECK(Bar(selector) == "leaving");
  }
  SECTION("it was reborn at the address, under the same id")
  {
    selector.Put(Entry(6), kStart);
    CHECK(Bar(selector) == "none");
    // An answer of the earlier incarnation that was under way.
    CHECK_FALSE(selector.OnNotice({ "a", 5 }, kLeaving, kStart));
    CHECK(Bar(selector) == "none");
  }
}

TEST_CASE("a notice of a server that is not registered yet holds once it is", "[routing][notices]")
{
  ServerSelector selector("home");
  CHECK(selector.OnNotice({ "a", 5 }, kLeaving, kStart));
  selector.Put(Entry(5), kStart);
  CHECK(Bar(selector) == "leaving");
}

TEST_CASE("a server that asks for a pause gets no request in that time", "[routing][notices]")
{
  ServerSelector selector = Selector();
  selector.OnNotice({ "a", 5 }, Pause(seconds(2)), kStart);
  CHECK(Bar(selector) == "paused");
  CHECK(Choose(selector, kStart).pausedUntil == kStart + seconds(2));
  CHECK(selector.IsOpen("a"));
  CHECK(Bar(selector, kStart + milliseconds(1999)) == "paused");
  CHECK(Bar(selector, kStart + seconds(2)) == "none");
  SECTION("a shorter one does not shorten it")
  {
    selector.OnNotice({ "a", 5 }, Pause(milliseconds(100)), kStart + seconds(1));
    CHECK(Bar(selector, kStart + milliseconds(1999)) == "paused");
  }
  SECTION("another one begins anew")
  {
    selector.OnNotice({ "a", 5 }, Pause(seconds(2)), kStart + seconds(1));
    CHECK(Bar(selector, kStart + milliseconds(2999)) == "paused");
  }
  SECTION("it outlasts a removal from the registry")
  {
    selector.Remove("a", kStart);
    selector.Put(Entry(5), kStart);
    CHECK(Bar(selector) == "paused");
  }
  SECTION("it ends with the incarnation")
  {
    selector.Put(Entry(6), kStart);
    CHECK(Bar(selector) == "none");
  }
  SECTION("a failing server gets no trial request either")
  {
    ForwardSample sample;
    sample.result = ForwardResult::kUnreachable;
    selector.OnResult("a", sample, kStart);
    CHECK(Bar(selector, kStart + seconds(1)) == "paused");
  }
}

TEST_CASE("the end of a pause is known only if all servers that take requests have asked for one",
          "[routing][notices]")
{
  ServerSelector selector = Selector();
  ServerEntry other = Entry(5);
  other.id = "b";
  other.slots = 1;
  selector.Put(other, kStart);
  selector.OnNotice({ "a", 5 }, Pause(seconds(2)), kStart);
  const InFlightSlot taken = selector.Take("b", kStart);
  // The other server is only full.
  CHECK(Bar(selector) == "full");
  CHECK(Choose(selector, kStart).pausedUntil == Instant());
  selector.OnNotice({ "b", 5 }, Pause(seconds(1)), kStart);
  CHECK(Choose(selector, kStart).pausedUntil == kStart + seconds(1));
  // A server that leaves is no reason to expect anything of it.
  selector.OnNotice({ "b", 5 }, kLeaving, kStart);
  CHECK(Choose(selector, kStart).pausedUntil == kStart + seconds(2));
}

TEST_CASE("old notices are forgotten once their server is not registered", "[routing][notices]")
{
  ServerNotices notices;
  notices.Record({ "a", 5 }, kLeaving, kStart);
  notices.Record({ "b", 7 }, kLeaving, kStart);
  CHECK(notices.RecentlyLeaving(kStart).size() == 2);
  const Instant later = kStart + seconds(3600);
  CHECK(notices.RecentlyLeaving(later).empty());
  notices.Forget([](const std::string& aServer) { return aServer == "a"; }, later);
  CHECK(notices.IsLeaving({ "a", 5 }));
  CHECK_FALSE(notices.IsLeaving({ "b", 7 }));
}
