/// @file
/// Whole routing daemons and servers of a keyed service, in simulated time, while one key gets many
/// more requests than its owner can run.

#include "runtime/range_runner.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/router_simulation.h"

#include <catch2/catch.hpp>

#include <random>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr unsigned kDaemons = 24;
constexpr unsigned kServers = 6;
constexpr unsigned kHotKey = 7;
constexpr Duration kStartTime = seconds(8);
constexpr Duration kBurstTime = seconds(5);
constexpr Duration kStep = milliseconds(2);
/// Requests for the hot key in each step: 500 a second.
constexpr unsigned kRequestsInStep = 1;
/// One request for another key in as many steps.
constexpr unsigned kStepsPerOtherRequest = 50;
/// Time until the daemons know of a burst: reports pass through two relays. What is sent in it, no
/// daemon knows of the others.
constexpr Duration kUnknownTime = milliseconds(400);
/// A rejection within this time is one at the arrival.
constexpr Duration kArrivalTime = milliseconds(25);

struct SentRequest
{
  std::shared_ptr<FakeExchange> exchange;
  Instant sentAt;
  bool urgent = false;
  bool hot = false;
  /// Sent while its key had no owner, so that it had to wait, or before the burst was known.
  bool mustWait = false;
};

struct Outcome
{
  unsigned urgentServed = 0;
  unsigned normalServed = 0;
  unsigned others = 0;
  unsigned othersServed = 0;
  unsigned rejected = 0;
  /// Of those that were sent when the burst was known and their keys had an owner.
  unsigned rejectedKnown = 0;
  unsigned rejectedAtArrival = 0;
  unsigned rejectedLate = 0;
  /// Requests that had reached a server, or had been turned away, when the burst became known.
  unsigned reachedUnknown = 0;
  unsigned turnedAwayUnknown = 0;
};

/// Sends a burst for one key, and a few requests for other keys, to daemons in turn.
class Burst
{
public:
  explicit Burst(RouterSimulation& aSimulation)
    : mSimulation(aSimulation)
    , mKnownAt(aSimulation.timers.Now() + kUnknownTime)
  {
  }

  Outcome Run()
  {
    for (Duration passed = Duration::zero(); passed < kBurstTime + seconds(2); passed += kStep) {
      if (passed < kBurstTime) {
        SendStep(static_cast<unsigned>(passed / kStep));
      }
      if (passed == kUnknownTime) {
        mOutcome.reachedUnknown = mSimulation.backends.reached;
        mOutcome.turnedAwayUnknown = mSimulation.backends.turnedAway;
      }
      mSimulation.Run(kStep);
      Collect();
    }
    return mOutcome;
  }

private:
  void SendStep(unsigned aStep)
  {
    for (unsigned n = 0; n < kRequestsInStep; ++n) {
      Send(kHotKey);
    }
    if (aStep % kStepsPerOtherRequest == 0) {
      ++mOutcome.others;
      Send(kHotKey + 1 + aStep / kStepsPerOtherRequest);
    }
  }

  void Send(unsigned aKey)
  {
    SentRequest request;
    request.exchange = std::make_shared<FakeExchange>();
    request.urgent = mRandom() % 2 == 0;
    request.hot = aKey == kHotKey;
    request.sentAt = mSimulation.timers.Now();
    request.exchange->request.method = "GET";
    request.exchange->request.target = request.urgent ? "/x" : "/normal/x";
    request.exchange->request.headers.Add("Host", "h");
    request.exchange->request.headers.Add("Key", std::to_string(aKey));
    RouterDaemon& daemon = *mSimulation.Daemon(mRandom() % kDaemons);
    const DirectoryRange* const range = daemon.FindRanges("s")->Find(aKey);
    request.mustWait = range == nullptr || range->moving || request.sentAt < mKnownAt;
    daemon.Requests().OnRequest(request.exchange);
    mOpen.push_back(std::move(request));
  }

  void Collect()
  {
    std::erase_if(mOpen, [this](const SentRequest& aRequest) {
      const int status = StatusOf(aRequest.exchange);
      if (status == 200) {
        ++(aRequest.urgent ? mOutcome.urgentServed : mOutcome.normalServed);
        mOutcome.othersServed += aRequest.hot ? 0 : 1;
      } else if (status != 0) {
        const Duration waited = mSimulation.timers.Now() - aRequest.sentAt;
        ++mOutcome.rejected;
        mOutcome.rejectedKnown += aRequest.mustWait ? 0 : 1;
        mOutcome.rejectedAtArrival += !aRequest.mustWait && waited <= kArrivalTime ? 1 : 0;
        mOutcome.rejectedLate += waited > milliseconds(300) ? 1 : 0;
      }
      return status != 0;
    });
  }

  RouterSimulation& mSimulation;
  Instant mKnownAt;
  std::mt19937 mRandom{ 4711 };
  std::vector<SentRequest> mOpen;
  Outcome mOutcome;
};

} // namespace

// Guards against parts that work by themselves but not together: reports through relays, shares of
// the room, rejection, and moves of the hot key's range.
TEST_CASE("a fleet rejects most requests of a burst for one key when they arrive",
          "[runtime][router][contention]")
{
  const bool contention = GENERATE(false, true);
  RouterSimulation::Shape shape{ kDaemons, 3, kServers };
  shape.features.Set(LoadFeature::kContention, contention);
  RouterSimulation simulation(shape);
  simulation.backends.RunRequests(4, 16, milliseconds(190));
  simulation.Run(kStartTime);
  const Outcome outcome = Burst(simulation).Run();
  const unsigned reached = simulation.backends.reached - outcome.reachedUnknown;
  const unsigned turnedAway = simulation.backends.turnedAway - outcome.turnedAwayUnknown;
  CAPTURE(contention,
          reached,
          turnedAway,
          simulation.backends.reached,
          simulation.backends.turnedAway,
          outcome.urgentServed,
          outcome.normalServed,
          outcome.others,
          outcome.othersServed,
          outcome.rejected,
          outcome.rejectedKnown,
          outcome.rejectedAtArrival,
          outcome.rejectedLate);
  CHECK(outcome.rejected > 2000);
  if (!contention) {
    CHECK(outcome.rejectedAtArrival < 0.5 * outcome.rejectedKnown);
    return;
  }
  CHECK(turnedAway < 0.05 * reached);
  CHECK(outcome.rejectedAtArrival > 0.9 * outcome.rejectedKnown);
  CHECK(outcome.rejectedLate < 0.1 * outcome.rejected);
  CHECK(outcome.urgentServed > outcome.normalServed);
  CHECK(outcome.othersServed > 0.6 * outcome.others);
}
