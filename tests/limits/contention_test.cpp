/// @file
/// The parts of the decisions on contended servers: division of a room, shares, dominant keys,
/// rejection and retry.

#include "limits/contention.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };
constexpr std::uint32_t kTarget = 7;

ContendingRequest Terms(int aPriority, std::uint64_t aKey)
{
  ContendingRequest terms;
  terms.target = kTarget;
  terms.key = aKey;
  terms.priority = aPriority;
  return terms;
}

WaitingRequest Request()
{
  WaitingRequest request;
  request.targetLatency = milliseconds(600);
  request.timeToTarget = milliseconds(600);
  request.timeLeft = milliseconds(1200);
  request.work = milliseconds(200);
  return request;
}

} // namespace

// Guards against levels that starve, and against room that is left unused.
TEST_CASE("the room goes to the highest level, and a tenth to those below", "[limits][contention]")
{
  struct Row
  {
    std::string name;
    WaitingLevels demand;
    std::array<double, kWaitingLevels> division;
  };
  const auto row = GENERATE(values<Row>({
    { "one level", { 20, 0, 0, 0 }, { 10, 0, 0, 0 } },
    { "two levels", { 20, 20, 0, 0 }, { 9, 1, 0, 0 } },
    { "three levels", { 20, 20, 20, 0 }, { 9, 0.9, 0.1, 0 } },
    { "few urgent requests", { 2, 20, 0, 0 }, { 2, 8, 0, 0 } },
    { "the lowest alone", { 0, 0, 0, 20 }, { 0, 0, 0, 10 } },
    { "room for all", { 2, 3, 1, 1 }, { 2, 3, 1, 1 } },
  }));
  INFO(row.name);
  const auto division = DivideRoom(10.0, row.demand);
  for (std::size_t n = 0; n < kWaitingLevels; ++n) {
    INFO(n);
    CHECK(division.at(n) == Approx(row.division.at(n)));
  }
}

// Guards against a limit that is not called for, and against one that is lifted too early.
TEST_CASE("a share is limited only while others wait, and until their reports expire",
          "[limits][contention]")
{
  RoomAllotment allotment("d1");
  const ServerRoom room{ 4, 5, 20.0 };
  const WaitingLevels own{ 4, 0, 0, 0 };
  CHECK(allotment.ShareOf(kTarget, 0, own, room, kStart).unlimited);
  allotment.SetOthers("d2", { { kTarget, { 96, 0, 0, 0 } } }, kStart);
  allotment.Tick(kStart);
  const RoomShare share = allotment.ShareOf(kTarget, 0, own, room, kStart);
  CHECK_FALSE(share.unlimited);
  // The server ends 20 requests a second, and this daemon has 4 of 100 requests.
  CHECK(share.perSecond == Approx(0.04 * 20.0));
  CHECK(allotment.ShareOf(kTarget + 1, 0, own, room, kStart).unlimited);
  allotment.Tick(kStart + milliseconds(1499));
  CHECK_FALSE(allotment.ShareOf(kTarget, 0, own, room, kStart).unlimited);
  allotment.Tick(kStart + milliseconds(1500));
  CHECK(allotment.ShareOf(kTarget, 0, own, room, kStart).unlimited);
}

// Guards against a fleet that is cut in two, of which each part uses the whole room.
TEST_CASE("daemons that are not heard keep their part of the room", "[limits][contention]")
{
  RoomAllotment allotment("d1");
  const WaitingLevels own{ 50, 0, 0, 0 };
  allotment.SetOthers("d2", { { kTarget, { 50, 0, 0, 0 } } }, kStart);
  allotment.Tick(kStart);
  const double whole = allotment.ShareOf(kTarget, 0, own, { 3, 4, 20.0 }, kStart).perSecond;
  allotment.SetHeardShare(0.5);
  const double half = allotment.ShareOf(kTarget, 0, own, { 3, 2, 20.0 }, kStart).perSecond;
  CHECK(half == Approx(whole / 2));
}

// Guards against daemons with little demand that would never get a whole request.
TEST_CASE("fractions of a share are carried over", "[limits][contention]")
{
  RoomAllotment allotment("d1");
  const ServerRoom room{ 4, 5, 20.0 };
  const WaitingLevels own{ 1, 0, 0, 0 };
  allotment.SetOthers("d2", { { kTarget, { 74, 0, 0, 0 } } }, kStart);
  allotment.Tick(kStart);
  unsigned sent = 0;
  for (unsigned n = 0; n < 200; ++n) {
    allotment.OnArrival(kTarget, 0, allotment.ShareOf(kTarget, 0, own, room, kStart), kStart);
    if (allotment.ShareOf(kTarget, 0, own, room, kStart).credit >= 1.0) {
      allotment.OnSent(kTarget, 0, kStart);
      ++sent;
    }
  }
  // A tenth of the requests: 7.5 in the window of 375 ms, of 75.
  CHECK(sent >= 19);
  CHECK(sent <= 21);
}

// Guards against daemons that begin with equal fractions and send at the same time.
TEST_CASE("daemons begin with different fractions", "[limits][contention]")
{
  unsigned upper = 0;
  for (unsigned n = 0; n < 88; ++n) {
    RoomAllotment allotment("d" + std::to_string(n));
    allotment.SetOthers("other", { { kTarget, { 90, 0, 0, 0 } } }, kStart);
    allotment.Tick(kStart);
    const RoomShare share = allotment.ShareOf(kTarget, 0, { 1, 0, 0, 0 }, { 4, 5, 20.0 }, kStart);
    upper += share.credit > 0.5 ? 1 : 0;
  }
  CHECK(upper > 30);
  CHECK(upper < 58);
}

// Guards against one key that takes the whole room of its server.
TEST_CASE("requests for a key that has most of them are less urgent", "[limits][contention]")
{
  Contention contention("d1");
  const ServerRoom room{ 4, 5, 20.0 };
  Instant now = kStart;
  CHECK(contention.DemotionOf(Terms(0, 1)) == 0);
  for (unsigned n = 0; n < 40; ++n) {
    contention.OnArrival(Terms(0, n % 4 == 0 ? 100 + n : 1), room, now);
    now += milliseconds(50);
  }
  CHECK(contention.DemotionOf(Terms(0, 1)) > 0);
  CHECK(contention.DemotionOf(Terms(0, 100)) == 0);
  // Requests for many keys replace it.
  for (unsigned n = 0; n < 40; ++n) {
    contention.OnArrival(Terms(0, n), room, now);
    now += milliseconds(50);
  }
  CHECK(contention.DemotionOf(Terms(0, 1)) == 0);
}

// Guards against reports of servers for which nothing waits, and against unbounded reports.
TEST_CASE("only demand that finds no room is reported, and of 64 targets at most",
          "[limits][contention]")
{
  Contention contention("d1");
  const ServerRoom room{ 4, 0, 20.0 };
  contention.OnArrival(Terms(1, 1), room, kStart);
  CHECK(contention.Demand(kStart).empty());
  contention.BeginPass();
  contention.OnWaiting(Terms(1, 1), kStart);
  contention.EndPass();
  CHECK(contention.Demand(kStart) == WaitingCounts{ { kTarget, { 0, 1, 0, 0 } } });
  for (std::uint32_t n = 0; n < 100; ++n) {
    ContendingRequest terms = Terms(0, 1);
    terms.target = 1000 + n;
    contention.OnArrival(terms, room, kStart);
    contention.OnRejected(terms, Duration::zero(), milliseconds(600), kStart);
  }
  CHECK(contention.Demand(kStart).size() == 64);
  CHECK(contention.Demand(kStart + milliseconds(500)).empty());
  CHECK(contention.Totals().rejectedAtArrival == 100);
}

// Guards against requests that wait though they can't meet their target, and against an idle server
// whose requests are rejected.
TEST_CASE("a request that misses its target waits only if nothing else uses the room",
          "[limits][contention]")
{
  struct Row
  {
    std::string name;
    Duration expectedWait;
    bool contended;
    bool othersInTime;
    WaitDecision decision;
  };
  const auto row = GENERATE(values<Row>({
    { "in time", milliseconds(390), true, true, WaitDecision::kWait },
    { "misses its target", milliseconds(410), true, true, WaitDecision::kOverload },
    { "misses its target alone", milliseconds(410), true, false, WaitDecision::kWait },
    { "misses its deadline alone", milliseconds(1010), true, false, WaitDecision::kOverload },
    { "feature off", milliseconds(410), false, true, WaitDecision::kWait },
  }));
  INFO(row.name);
  WaitConditions queue;
  queue.usableServers = 1;
  queue.expectedWait = row.expectedWait;
  queue.contended = row.contended;
  queue.othersInTime = row.othersInTime;
  CHECK(DecideWait(Request(), queue) == row.decision);
  queue.moving = true;
  CHECK(DecideWait(Request(), queue) == WaitDecision::kWait);
}

// Guards against callers that come back before there is room.
TEST_CASE("a caller is told when the queue is short enough, or to come back late",
          "[limits][contention]")
{
  WaitConditions queue;
  queue.usableServers = 1;
  queue.contended = true;
  queue.expectedWait = milliseconds(600);
  CHECK(RetryAfter(Request(), queue, 0.0) == milliseconds(200));
  CHECK(RetryAfter(Request(), queue, 0.5) == milliseconds(300));
  queue.expectedWait = seconds(20);
  CHECK(RetryAfter(Request(), queue, 0.0) == Request().timeLeft / 3);
}

// Guards against daemons that all send their waiting requests when a hot key has a new owner.
TEST_CASE("the demand for a dominant key follows it to its new owner", "[limits][contention]")
{
  Contention contention("d1");
  const ServerRoom room{ 4, 5, 20.0 };
  contention.Allotment().SetOthers("d2", { { kTarget, { 0, 0, 500, 0 } } }, kStart);
  contention.Tick(kStart);
  for (unsigned n = 0; n < 10; ++n) {
    contention.OnArrival(Terms(0, 1), room, kStart);
  }
  ContendingRequest moved = Terms(0, 1);
  moved.target = kTarget + 1;
  ContendingRequest other = Terms(0, 2);
  other.target = kTarget + 2;
  CHECK_FALSE(contention.IsLimited(other, room, kStart));
  CHECK(contention.IsLimited(moved, room, kStart + milliseconds(300)));
  CHECK(contention.DemotionOf(moved) > 0);
  contention.Tick(kStart + milliseconds(699));
  CHECK(contention.IsLimited(moved, room, kStart + milliseconds(699)));
  // By then, reports contain the demand for the new owner.
  contention.Tick(kStart + milliseconds(700));
  CHECK_FALSE(contention.IsLimited(moved, room, kStart + milliseconds(700)));
}
