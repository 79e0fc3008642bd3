/// @file
/// Refusals of the daemon's own, without an attempt, over real sockets: nothing of what is refused
/// reaches a server, then or later.

#include "tests/support/promise_fixture.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr Duration kServerTime = milliseconds(900);
constexpr Duration kShort = milliseconds(150);
constexpr std::size_t kBodyBytes = 100;
/// More than the daemon may hold in the rows about memory.
constexpr std::size_t kLargeBytes = 400'000;
constexpr std::size_t kHeldBytes = 200'000;

Step Serves(Duration aTime = Duration::zero())
{
  Step step{ "HTTP/1.1 200 X\r\nX-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Server-Seal: s\r\n"
             "Content-Length: 0\r\n\r\n" };
  step.takes = std::chrono::ceil<std::chrono::milliseconds>(aTime);
  step.moment = Moment::kHeader;
  return step;
}

/// Why a request is refused.
enum class Cause
{
  kNoConfiguration,
  kStopping,
  kEndsTooSoon,
  kNoTimeLeft,
  kNoServer,
  kFull,
  kFullAndShort,
  kBlocksAnswers,
  kPaused,
  kQuotaExceeded,
  kQuotaUnknown,
  kQuotaExceededLater,
  kQuotaUnknownLater,
  kQuotaNeverKnown,
  kStoppingWithoutQuota,
  kLateHeader,
  kLateBody,
  kIdleInBody,
  kMemory,
};

struct RefusalRow
{
  std::string name;
  Cause cause;
  int status;
};

bool IsOfBody(Cause aCause)
{
  return aCause == Cause::kLateBody || aCause == Cause::kIdleInBody || aCause == Cause::kMemory;
}

/// The request that is to be refused.
CallerRequest RequestFor(Cause aCause, bool aIdempotent)
{
  CallerRequest request{ aIdempotent, "r1", kBodyBytes };
  switch (aCause) {
    case Cause::kNoTimeLeft:
      request.deadline = Duration::zero();
      break;
    case Cause::kFullAndShort:
    case Cause::kLateBody:
    case Cause::kQuotaNeverKnown:
      request.deadline = kShort;
      break;
    case Cause::kMemory:
      request.bodyBytes = kLargeBytes;
      break;
    default:
      break;
  }
  return request;
}

/// What of the request is sent before the refusal.
std::string FirstPart(Cause aCause, const CallerRequest& aRequest)
{
  const std::string bytes = BytesOf(aRequest);
  if (aCause == Cause::kLateHeader) {
    return bytes.substr(0, HeadOf(aRequest).size() - 4);
  }
  return IsOfBody(aCause) ? bytes.substr(0, bytes.size() - kBodyBytes / 2) : bytes;
}

/// Brings the daemon into the state in which it refuses; what must come after the request has been
/// received is done by Follow().
void Arrange(PromiseFixture& aFixture, Cause aCause)
{
  const Instant now = aFixture.timers.Now();
  http::ServerLimits limits = aFixture.entry.Limits();
  switch (aCause) {
    case Cause::kNoConfiguration:
      aFixture.routes = RouteTable();
      break;
    case Cause::kStopping:
      aFixture.forwarder.Stop(now, now + seconds(60));
      break;
    case Cause::kEndsTooSoon:
      aFixture.forwarder.Stop(now + seconds(60), now + milliseconds(100));
      break;
    case Cause::kFull:
    case Cause::kFullAndShort:
    case Cause::kBlocksAnswers:
      aFixture.OccupyServer();
      break;
    case Cause::kPaused:
      REQUIRE(aFixture.Ask({ false, "other" }) == 503);
      break;
    case Cause::kQuotaExceeded:
    case Cause::kQuotaUnknown:
      aFixture.RequireKeys();
      aFixture.quotas.state =
        aCause == Cause::kQuotaExceeded ? QuotaState::kExceeded : QuotaState::kUnknown;
      break;
    case Cause::kQuotaExceededLater:
    case Cause::kQuotaUnknownLater:
    case Cause::kQuotaNeverKnown:
    case Cause::kStoppingWithoutQuota:
      aFixture.RequireKeys();
      aFixture.quotas.state = QuotaState::kPending;
      break;
    case Cause::kLateHeader:
      limits.headerTimeout = kShort;
      break;
    case Cause::kIdleInBody:
      limits.idleTimeout = kShort;
      break;
    case Cause::kMemory:
      limits.heldBytes = kHeldBytes;
      break;
    case Cause::kNoTimeLeft:
    case Cause::kNoServer:
    case Cause::kLateBody:
      break;
  }
  aFixture.entry.SetLimits(limits);
}

/// What happens once the request has been received and before it is refused.
void Follow(PromiseFixture& aFixture, PromiseCaller& aCaller, Cause aCause)
{
  const Instant now = aFixture.timers.Now();
  switch (aCause) {
    case Cause::kBlocksAnswers:
      // The answer to the second request, 404, is there at once.
      aCaller.Expect({ true, "behind" });
      aCaller.Write(
        "GET /nothing/x HTTP/1.1\r\nHost: h\r\nX-Hawthornlug-Attempt-Id: behind\r\n\r\n");
      break;
    case Cause::kQuotaExceededLater:
      aFixture.Run(milliseconds(40));
      aFixture.quotas.state = QuotaState::kExceeded;
      break;
    case Cause::kQuotaUnknownLater:
      aFixture.Run(milliseconds(40));
      aFixture.quotas.state = QuotaState::kUnknown;
      break;
    case Cause::kStoppingWithoutQuota:
      aFixture.Run(milliseconds(40));
      aFixture.forwarder.Stop(now, now + milliseconds(100));
      break;
    default:
      break;
  }
}

/// All that could make a request run that has been refused: the rest of it comes, more requests
/// come, and nothing is in the way any more.
void GoOn(PromiseFixture& aFixture,
          PromiseCaller& aCaller,
          const std::string& aRest,
          bool aIdempotent)
{
  aFixture.quotas.state = QuotaState::kGranted;
  aFixture.config.version += 1;
  aFixture.routes.Apply(aFixture.config);
  aFixture.forwarder.Stop(Instant::max(), Instant::max());
  aFixture.entry.SetLimits({});
  aFixture.Register("late", aFixture.servers.Address(1));
  aCaller.Write(aRest);
  aCaller.Send({ aIdempotent, "r2" });
  aFixture.Ask({ aIdempotent, "r3" });
}

std::vector<Step> ScriptFor(Cause aCause)
{
  if (aCause == Cause::kPaused) {
    Step step{ "HTTP/1.1 503 X\r\nX-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Not-Executed: 1\r\n"
               "Retry-After: 60\r\nContent-Length: 0\r\n\r\n" };
    step.runs = false;
    return { step, Serves() };
  }
  const bool isFull =
    aCause == Cause::kFull || aCause == Cause::kFullAndShort || aCause == Cause::kBlocksAnswers;
  return { Serves(isFull ? kServerTime : Duration::zero()), Serves() };
}

} // namespace

// Guards against REFUSED: a request that the daemon has refused itself reaches a server.
TEST_CASE("what the daemon refuses itself never reaches a server", "[promises][route]")
{
  const auto row = GENERATE(values<RefusalRow>({
    { "no configuration", Cause::kNoConfiguration, 503 },
    { "stopping", Cause::kStopping, 503 },
    { "ends before it could be answered", Cause::kEndsTooSoon, 503 },
    { "too-late: the deadline is over on arrival", Cause::kNoTimeLeft, 503 },
    { "no-server", Cause::kNoServer, 503 },
    { "overload: it waits too long", Cause::kFull, 503 },
    { "overload: the server stays full until the deadline", Cause::kFullAndShort, 503 },
    { "holds-back: it blocks another answer", Cause::kBlocksAnswers, 503 },
    { "paused", Cause::kPaused, 503 },
    { "quota exceeded", Cause::kQuotaExceeded, 429 },
    { "quota unknown", Cause::kQuotaUnknown, 503 },
    { "quota exceeded after a wait", Cause::kQuotaExceededLater, 429 },
    { "quota unknown after a wait", Cause::kQuotaUnknownLater, 503 },
    { "too-late: the quota is not known until the deadline", Cause::kQuotaNeverKnown, 503 },
    { "stopping while the quota is not known", Cause::kStoppingWithoutQuota, 503 },
    { "late header", Cause::kLateHeader, 408 },
    { "late body", Cause::kLateBody, 408 },
    { "idle in the middle of a body", Cause::kIdleInBody, 408 },
    { "too much memory", Cause::kMemory, 503 },
  }));
  const auto idempotent = GENERATE(false, true);
  INFO(row.name << (idempotent ? ", idempotent" : ", may run once"));
  PromiseFixture fixture(2, ScriptFor(row.cause));
  fixture.Unregister(ScriptedServers::IdOf(1));
  if (row.cause == Cause::kNoServer) {
    fixture.Unregister(ScriptedServers::IdOf(0));
  }
  Arrange(fixture, row.cause);
  const CallerRequest request = RequestFor(row.cause, idempotent);
  const std::string first = FirstPart(row.cause, request);
  PromiseCaller& caller = fixture.NewCaller();
  const std::size_t before = fixture.servers.Bytes();
  caller.Expect(request);
  caller.Write(first);
  Follow(fixture, caller, row.cause);
  CHECK(fixture.AwaitAnswer(caller) == row.status);
  CHECK(fixture.servers.Bytes() == before);
  GoOn(fixture, caller, BytesOf(request).substr(first.size()), idempotent);
  fixture.Run(kAfterwards);
  CHECK(fixture.servers.Runs(request.id) == 0);
  // An idempotent request may have been hedged.
  CHECK(fixture.servers.Runs("r3") >= 1);
  CHECK((idempotent || fixture.servers.Runs("r3") == 1));
  CheckTold(fixture);
}

namespace {

/// Answers every request with one status, though it may have run, or has been refused by all that
/// got it.
class GateHandler : public http::Handler
{
public:
  GateHandler(int aStatus, std::optional<AttemptEvidence> aEvidence)
    : mStatus(aStatus)
    , mEvidence(aEvidence)
  {
  }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    const auto permit = aExchange->Execution().Begin();
    CHECK(permit.has_value());
    if (permit && mEvidence) {
      aExchange->Execution().End(permit->Number(), *mEvidence);
    }
    http::Response response;
    response.status = mStatus;
    response.headers.Add("X-Hawthornlug-Server-Seal", "s");
    response.body = "of the server";
    aExchange->Respond(std::move(response));
    CHECK_FALSE((http::PromiseOf(mStatus) && aExchange->Execution().Begin()));
  }
  void OnBadRequest(int, http::ReadState) override {}
  void OnFalsePromise(int aStatus) override { falsePromises.push_back(aStatus); }

  std::vector<int> falsePromises;

private:
  int mStatus;
  /// Of an attempt that has ended; nothing if it is open.
  std::optional<AttemptEvidence> mEvidence;
};

struct GateRow
{
  std::string name;
  std::optional<AttemptEvidence> evidence;
  bool mayPromise;
};

} // namespace

TEST_CASE("the HTTP server writes no promise that the record does not prove", "[promises][route]")
{
  const auto row = GENERATE(values<GateRow>({
    { "may have run", AttemptEvidence::kMayHaveRun, false },
    { "an open attempt", std::nullopt, false },
    { "refused", AttemptEvidence::kRefused, true },
    { "nothing written", AttemptEvidence::kNothingWritten, true },
  }));
  const auto status = GENERATE(408, 421, 429, 503, 200, 404, 500, 502, 504);
  INFO(row.name << ", " << status);
  const bool isReplaced = http::PromiseOf(status) && !row.mayPromise;
  asio::io_context context;
  const auto endpoint = testing::FreeEndpoint(context);
  GateHandler handler(status, row.evidence);
  http::Server server(context, endpoint, handler);
  http::Client client(context);
  http::Request request;
  request.method = "GET";
  request.target = "/x";
  std::optional<http::CallOutcome> outcome;
  client.Send("127.0.0.1:" + std::to_string(endpoint.port()),
              request,
              {},
              [&](http::CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  REQUIRE(testing::RunUntil(context, [&] { return outcome.has_value(); }));
  REQUIRE(outcome->result == http::CallResult::kAnswered);
  const http::Response& response = outcome->response;
  CHECK(response.status == (isReplaced ? 502 : status));
  CHECK(response.body == (isReplaced ? "" : "of the server"));
  CHECK(response.headers.Find("X-Hawthornlug-Server-Seal").has_value() == !isReplaced);
  CHECK(response.keepAlive == !isReplaced);
  CHECK(handler.falsePromises == (isReplaced ? std::vector<int>{ status } : std::vector<int>{}));
}
