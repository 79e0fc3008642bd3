/// @file
/// Waiting policy: wait or reject, order of the queue, retry delay; hedging, the shared retry
/// budget and service time estimates.

#include "limits/hedge_policy.h"
#include "limits/route_work.h"
#include "limits/shared_retry_budget.h"
#include "limits/waiting_policy.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

WaitingRequest Request()
{
  WaitingRequest request;
  request.priority = 2;
  request.targetLatency = milliseconds(600);
  request.timeToTarget = milliseconds(600);
  request.timeLeft = milliseconds(1500);
  request.work = milliseconds(200);
  return request;
}

struct VerdictCase
{
  std::string name;
  Duration waited;
  Duration timeLeft;
  unsigned servers;
  bool moving;
  WaitDecision verdict;
};

} // namespace

TEST_CASE("a request waits only while it can still be answered in time", "[limits]")
{
  const auto row = GENERATE(values<VerdictCase>({
    { "new", Duration(0), milliseconds(1500), 3, false, WaitDecision::kWait },
    { "too late", Duration(0), milliseconds(100), 3, false, WaitDecision::kTooLate },
    { "no usable server", milliseconds(80), milliseconds(1400), 0, false, WaitDecision::kNoServer },
    { "owner changing", milliseconds(80), milliseconds(1400), 0, true, WaitDecision::kWait },
    { "owner changing, long wait",
      milliseconds(900),
      milliseconds(600),
      0,
      true,
      WaitDecision::kWait },
    { "owner changing, too little time left",
      milliseconds(1250),
      milliseconds(250),
      0,
      true,
      WaitDecision::kNoServer },
    { "long in the queue",
      milliseconds(500),
      milliseconds(1000),
      3,
      false,
      WaitDecision::kOverload },
  }));
  INFO(row.name);
  WaitingRequest request = Request();
  request.waited = row.waited;
  request.timeLeft = row.timeLeft;
  request.timeToTarget = request.targetLatency - row.waited;
  const WaitConditions queue{ row.servers, Duration::zero(), row.moving };
  CHECK(NameOf(kWaitDecisionNames, DecideWait(request, queue)) ==
        NameOf(kWaitDecisionNames, row.verdict));
}

TEST_CASE("a request is rejected at once when its expected wait is too long", "[limits]")
{
  CHECK(DecideWait(Request(), { 3, milliseconds(1400), false }) == WaitDecision::kOverload);
}

TEST_CASE("a request waits in a stopping daemon only while it can be answered before the end",
          "[limits]")
{
  struct StopRow
  {
    Duration untilStop;
    bool moving;
    WaitDecision verdict;
  };
  const auto row = GENERATE(values<StopRow>({
    { seconds(3), false, WaitDecision::kWait },
    { seconds(3), true, WaitDecision::kWait },
    { milliseconds(650), true, WaitDecision::kStopping },
    { milliseconds(200), false, WaitDecision::kStopping },
    { Duration::zero(), true, WaitDecision::kStopping },
  }));
  WaitConditions queue;
  queue.usableServers = 3;
  queue.moving = row.moving;
  queue.untilStop = row.untilStop;
  INFO(Millis(row.untilStop));
  CHECK(DecideWait(Request(), queue) == row.verdict);
}

TEST_CASE("a request that blocks ready answers is rejected after a shorter wait", "[limits]")
{
  WaitingRequest request = Request();
  request.waited = milliseconds(150);
  CHECK(DecideWait(request, { 3, Duration::zero(), false }) == WaitDecision::kWait);
  CHECK(DecideWait(request, { 0, Duration::zero(), true }) == WaitDecision::kWait);
  request.blockedAnswers = 1;
  CHECK(DecideWait(request, { 3, Duration::zero(), false }) == WaitDecision::kBlocksAnswers);
  CHECK(DecideWait(request, { 0, Duration::zero(), true }) == WaitDecision::kBlocksAnswers);
  CHECK(WaitingRank(request) < WaitingRank(Request()));
}

TEST_CASE("a hedge is sent while it can meet the target, but not before the first attempt had time",
          "[limits]")
{
  const Instant sent{ seconds(100) };
  const Duration work = milliseconds(200);
  // Ample time: the hedge is sent at the last moment that leaves the second attempt enough time.
  const Instant relaxed = HedgeTime({ sent, sent + milliseconds(600), work });
  CHECK(relaxed > sent + work);
  CHECK(relaxed + work < sent + milliseconds(600));
  // Too little time: the hedge is not sent before the first attempt could have been answered.
  CHECK(HedgeTime({ sent, sent + milliseconds(100), work }) >= sent + work);
}

TEST_CASE("requests that can meet their target go first, then those of higher priority", "[limits]")
{
  WaitingRequest urgent = Request();
  urgent.priority = 1;
  WaitingRequest late = urgent;
  late.timeToTarget = milliseconds(-10);
  WaitingRequest waiting = Request();
  waiting.timeToTarget = milliseconds(300);
  CHECK(WaitingRank(urgent) < WaitingRank(Request()));
  CHECK(WaitingRank(Request()) < WaitingRank(late));
  // No request starves: after a while, one of lower priority goes before a new one of higher
  // priority.
  CHECK(WaitingRank(waiting) < WaitingRank(urgent));
}

TEST_CASE("rejected callers retry within their deadline, and not all at the same time", "[limits]")
{
  const WaitConditions queue{ 3, milliseconds(600), false };
  const Duration first = RetryAfter(Request(), queue, 0.0);
  const Duration last = RetryAfter(Request(), queue, 0.9);
  CHECK(first > Duration::zero());
  CHECK(last > first);
  CHECK(last <= Request().timeLeft / 3);
}

TEST_CASE("a request that can't outwait the pause of all servers is rejected at once", "[limits]")
{
  struct Row
  {
    Duration pausedFor;
    WaitDecision decision;
  };
  const auto row = GENERATE(values<Row>({
    { Duration::zero(), WaitDecision::kWait },
    { milliseconds(300), WaitDecision::kWait },
    { milliseconds(1379), WaitDecision::kWait },
    { milliseconds(1381), WaitDecision::kPaused },
    { seconds(300), WaitDecision::kPaused },
  }));
  INFO(Millis(row.pausedFor));
  WaitConditions queue{ 1 };
  queue.pausedFor = row.pausedFor;
  CHECK(DecideWait(Request(), queue) == row.decision);
  if (row.pausedFor > Duration::zero()) {
    // The caller is told the truth, also where its own deadline is sooner.
    CHECK(RetryAfter(Request(), queue, 0.0) >= row.pausedFor);
    CHECK(RetryAfter(Request(), queue, 0.9) > RetryAfter(Request(), queue, 0.1));
  }
}

TEST_CASE("all daemons together stay within the retry budget in any window", "[limits]")
{
  const unsigned daemons = GENERATE(1u, 3u, 9u);
  const RetryAllowance allowance{ 0.2, seconds(10), 58.0 };
  std::vector<SharedRetryBudget> budgets(daemons, SharedRetryBudget(allowance));
  const Instant start{ seconds(1000) };
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  for (Instant now = start; now < start + seconds(40); now += milliseconds(10)) {
    // Bursts: for two of every seven seconds, each daemon retries as often as its budget allows.
    const bool burst = (now - start) % seconds(7) < seconds(2);
    for (SharedRetryBudget& it : budgets) {
      it.OnRequest(now);
      requests.push_back(now);
      while (burst && it.TakeRetry(now, daemons)) {
        retries.push_back(now);
      }
    }
  }
  CHECK_FALSE(retries.empty());
  for (Instant from = start; from < start + seconds(30); from += milliseconds(50)) {
    const auto inWindow = [&](Instant aAt) { return aAt >= from && aAt < from + allowance.window; };
    const auto n = std::count_if(retries.begin(), retries.end(), inWindow);
    const auto all = std::count_if(requests.begin(), requests.end(), inWindow);
    REQUIRE(static_cast<double>(n) <= allowance.share * static_cast<double>(all) + allowance.slack);
  }
}

TEST_CASE("a route's service time is estimated for a server of normal speed", "[limits]")
{
  RouteWork work;
  CHECK(work.Of("r", milliseconds(600)) > Duration::zero());
  for (unsigned n = 0; n < 50; ++n) {
    work.OnServed("r", milliseconds(300), 1.5);
  }
  CHECK(Millis(work.Of("r", milliseconds(600))) == Approx(200).margin(2));
}
