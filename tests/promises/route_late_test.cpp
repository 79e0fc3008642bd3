/// @file
/// Promises that are made late: a request that waits for its turn or for its retry, or a daemon
/// whose loop was held up. Over real sockets, against what servers ran.

#include "tests/support/promise_fixture.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr Duration kDeadline = milliseconds(300);
constexpr Duration kServerTime = milliseconds(150);
constexpr std::string_view kSealed =
  "X-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Server-Seal: s\r\n";
constexpr std::string_view kStated =
  "X-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Not-Executed: 1\r\n";

Step Answers(int aStatus, std::string_view aFields, bool aRuns, Duration aTime = Duration::zero())
{
  Step step{ "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + std::string(aFields) +
             "Content-Length: 0\r\n\r\n" };
  step.runs = aRuns;
  step.takes = std::chrono::ceil<std::chrono::milliseconds>(aTime);
  return step;
}

/// What happens while a request waits for the delay of its retry.
enum class InDelay
{
  kDeadline,
  kStopping,
  kHeldUp,
  kCallerLeaves,
};

struct DelayRow
{
  std::string name;
  InDelay what;
};

/// Longer than the delay of a retry.
constexpr Duration kBeyondDelay = milliseconds(400);
/// Within the delay of a retry.
constexpr Duration kInDelay = milliseconds(140);

} // namespace

// Guards against REFUSED: a request that was answered while it waited for its retry is sent again.
TEST_CASE("a request that is answered in its retry's delay is not sent again", "[promises][route]")
{
  const auto row = GENERATE(values<DelayRow>({
    { "the deadline ends", InDelay::kDeadline },
    { "the daemon stops", InDelay::kStopping },
    { "the loop is held up past the deadline", InDelay::kHeldUp },
    { "the caller leaves", InDelay::kCallerLeaves },
  }));
  const auto idempotent = GENERATE(false, true);
  INFO(row.name << (idempotent ? ", idempotent" : ", may run once"));
  PromiseFixture fixture(1, { Answers(421, kStated, false), Answers(200, kSealed, true) });
  CallerRequest request{ idempotent };
  request.deadline = row.what == InDelay::kDeadline ? kInDelay : kDeadline;
  PromiseCaller& caller = fixture.NewCaller();
  caller.Send(request);
  REQUIRE(fixture.Until([&] { return fixture.servers.Arrived() == 1; }));
  fixture.Run(milliseconds(20));
  switch (row.what) {
    case InDelay::kDeadline:
      break;
    case InDelay::kStopping:
      fixture.forwarder.Stop(fixture.timers.Now(), fixture.timers.Now() + milliseconds(50));
      break;
    case InDelay::kHeldUp:
      PromiseFixture::HoldUp(kBeyondDelay);
      break;
    case InDelay::kCallerLeaves:
      caller.Close();
      break;
  }
  if (row.what != InDelay::kCallerLeaves) {
    CHECK(fixture.AwaitFirst(caller) == 503);
  }
  fixture.forwarder.Stop(Instant::max(), Instant::max());
  fixture.Run(kBeyondDelay);
  CHECK(fixture.servers.Arrived() == 1);
  CheckTold(fixture);
}

namespace {

/// Where a request is while the loop is held up.
enum class Where
{
  kQueue,      ///< All servers are full; one becomes free meanwhile.
  kConnecting, ///< A new connection has been accepted; nothing has been written.
  kAtServer,   ///< The server answers meanwhile.
};

struct HeldUpRow
{
  std::string name;
  Where place;
  Step step;
  /// What the caller may get beside 502, 503 and 504.
  int otherStatus;
  bool idempotent;
};

std::vector<HeldUpRow> HeldUpRows()
{
  const Step served = Answers(200, kSealed, true, kServerTime);
  const Step refused = Answers(503, kStated, false, kServerTime);
  const Step unstated = Answers(503, kSealed, true, kServerTime);
  std::vector<HeldUpRow> rows;
  for (const bool it : { false, true }) {
    rows.push_back({ "in the queue", Where::kQueue, served, 200, it });
    rows.push_back({ "before it is written", Where::kConnecting, served, 200, it });
    rows.push_back({ "at a server that serves", Where::kAtServer, served, 200, it });
    rows.push_back({ "at a server that refuses", Where::kAtServer, refused, 503, it });
    rows.push_back(
      { "at a server that answers 503 unstated", Where::kAtServer, unstated, 502, it });
  }
  return rows;
}

/// Sends the request of a row, and brings it where it is while the loop is held up.
void BringTo(PromiseFixture& aFixture, const HeldUpRow& aRow)
{
  const std::size_t accepted = aFixture.servers.Accepted();
  const std::size_t arrived = aFixture.servers.Arrived();
  CallerRequest request{ aRow.idempotent };
  request.deadline = kDeadline;
  aFixture.NewCaller().Send(request);
  if (aRow.place == Where::kQueue) {
    aFixture.Run(milliseconds(5));
  } else if (aRow.place == Where::kConnecting) {
    aFixture.StepUntilAccepted(accepted);
  } else {
    REQUIRE(aFixture.Until([&] { return aFixture.servers.Arrived() > arrived; }));
  }
}

void CheckHeldUp(const PromiseFixture& aFixture, const HeldUpRow& aRow)
{
  INFO(aRow.name << (aRow.idempotent ? ", idempotent" : ", may run once"));
  const PromiseCaller& caller = *aFixture.callers.back();
  REQUIRE(caller.answers.size() == 1);
  const int status = caller.answers.front().status;
  CHECK((status == aRow.otherStatus || status == 502 || status == 503 || status == 504));
  CheckTold(aFixture);
  if (status == 503) {
    CHECK(aFixture.servers.Runs("r1") == 0);
  }
}

} // namespace

// Guards against REFUSED: what is told and what is sent cross around the deadline.
TEST_CASE("a loop that was held up around a deadline promises nothing false", "[promises][route]")
{
  const auto offset = GENERATE(values<int>({ -60, -25, -10, 0, 10, 25, 100 }));
  const std::vector<HeldUpRow> rows = HeldUpRows();
  std::deque<PromiseFixture> fixtures;
  for (const HeldUpRow& it : rows) {
    PromiseFixture& fixture = fixtures.emplace_back(1, std::vector<Step>{ it.step });
    if (it.place == Where::kQueue) {
      fixture.OccupyServer();
    }
  }
  const auto until = std::chrono::steady_clock::now() + kDeadline + milliseconds(offset);
  for (std::size_t n = 0; n < rows.size(); ++n) {
    BringTo(fixtures[n], rows[n]);
  }
  std::this_thread::sleep_until(until);
  RunAllUntil(fixtures, [&] {
    return std::all_of(fixtures.begin(), fixtures.end(), [](const PromiseFixture& aFixture) {
      return !aFixture.callers.back()->answers.empty();
    });
  });
  RunAllFor(fixtures, kAfterwards);
  for (std::size_t n = 0; n < rows.size(); ++n) {
    INFO(offset << " ms");
    CheckHeldUp(fixtures[n], rows[n]);
  }
}

namespace {

/// Why a request in the queue is answered.
enum class InQueue
{
  kWaitedTooLong,
  kDeadline,
  kStopping,
  kCallerLeaves,
};

struct QueueRow
{
  std::string name;
  InQueue what;
};

/// Longer than any request of the test waits in the queue.
constexpr Duration kLongServerTime = milliseconds(700);
constexpr unsigned kWaitingCallers = 4;

} // namespace

// Guards against REFUSED: a request that was answered in the queue takes the slot that becomes
// free.
TEST_CASE("requests that are answered in the queue are not sent when a server becomes free",
          "[promises][route]")
{
  const auto row = GENERATE(values<QueueRow>({
    { "waited too long", InQueue::kWaitedTooLong },
    { "the deadline ends", InQueue::kDeadline },
    { "the daemon stops", InQueue::kStopping },
    { "the callers leave", InQueue::kCallerLeaves },
  }));
  const auto idempotent = GENERATE(false, true);
  INFO(row.name << (idempotent ? ", idempotent" : ", may run once"));
  PromiseFixture fixture(1, { Answers(200, kSealed, true, kLongServerTime) });
  fixture.OccupyServer();
  std::vector<PromiseCaller*> waiting;
  for (unsigned n = 0; n < kWaitingCallers; ++n) {
    waiting.push_back(&fixture.NewCaller());
    CallerRequest request{ idempotent, "r" + std::to_string(n) };
    request.deadline = row.what == InQueue::kDeadline ? milliseconds(120) : seconds(3);
    waiting.back()->Send(request);
  }
  fixture.Run(milliseconds(40));
  if (row.what == InQueue::kStopping) {
    fixture.forwarder.Stop(fixture.timers.Now(), fixture.timers.Now() + milliseconds(100));
  }
  for (PromiseCaller* const it : waiting) {
    if (row.what == InQueue::kCallerLeaves) {
      it->Close();
    } else {
      CHECK(fixture.AwaitFirst(*it) == 503);
    }
  }
  fixture.forwarder.Stop(Instant::max(), Instant::max());
  fixture.Run(kLongServerTime + kAfterwards);
  CHECK(fixture.servers.Arrived() == 1);
  CheckTold(fixture);
}
