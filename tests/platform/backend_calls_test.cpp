/// @file
/// How BackendCalls translates the responses of backend servers: to commands, to requests on
/// connections that a faulty server writes to twice, and what they state about the server.

#include "http/server.h"
#include "platform/backend_calls.h"
#include "tests/support/byte_server.h"
#include "tests/support/loopback.h"
#include "tests/support/permits.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::platform;
using namespace hawthornlug::testing;

namespace {

/// A backend server that answers every command with the same status.
class FixedStatusServer : public http::Handler
{
public:
  explicit FixedStatusServer(int aStatus)
    : mStatus(aStatus)
  {
  }
  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    http::Response response;
    response.status = mStatus;
    aExchange->Respond(response);
  }
  void OnBadRequest(int, http::ReadState) override {}

private:
  int mStatus;
};

struct Row
{
  int status;
  CommandResult grant;
  CommandResult release;
};

/// A backend server that answers with the headers that the test sets.
class HeaderServer : public http::Handler
{
public:
  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    http::Response response;
    response.status = status;
    for (const auto& [name, value] : headers) {
      response.headers.Add(name, value);
    }
    aExchange->Respond(response);
  }
  void OnBadRequest(int, http::ReadState) override {}

  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
};

http::Request MakeRequest(const std::string& aId)
{
  http::Request request;
  request.method = "POST";
  request.target = "/x";
  request.headers.Add("Host", "h");
  request.headers.Add("X-Hawthornlug-Attempt-Id", aId);
  return request;
}

/// Forwards a request and waits for its outcome.
ForwardOutcome ForwardTo(asio::io_context& aContext,
                         BackendCalls& aCalls,
                         const std::string& aAddress,
                         const std::string& aId,
                         bool aFreshConnection = false)
{
  ForwardTerms terms;
  terms.address = aAddress;
  terms.instance = "me";
  terms.timeLeft = seconds(2);
  terms.maxIdle = seconds(2);
  terms.freshConnection = aFreshConnection;
  std::optional<ForwardOutcome> outcome;
  aCalls.Forward(MakeRequest(aId),
                 terms,
                 hawthornlug::test::MakePermit(),
                 [&](ForwardOutcome aOutcome) { outcome = std::move(aOutcome); });
  REQUIRE(RunUntil(aContext, [&] { return outcome.has_value(); }));
  return *outcome;
}

} // namespace

TEST_CASE("responses to commands are translated", "[platform]")
{
  const auto row = GENERATE(values<Row>({
    { 200, CommandResult::kDone, CommandResult::kDone },
    { 400, CommandResult::kRejected, CommandResult::kRejected },
    { 409, CommandResult::kSuperseded, CommandResult::kSuperseded },
    { 421, CommandResult::kOtherServer, CommandResult::kOtherServer },
    { 500, CommandResult::kNoAnswer, CommandResult::kNoAnswer },
    { 503, CommandResult::kNoAnswer, CommandResult::kNoAnswer },
  }));
  INFO(row.status);
  asio::io_context context;
  FixedStatusServer server(row.status);
  const auto endpoint = FreeEndpoint(context);
  http::Server listener(context, endpoint, server);
  Metrics metrics;
  DecisionLog log("test");
  BackendCalls calls(context, log, metrics);
  const std::string address = "127.0.0.1:" + std::to_string(endpoint.port());
  std::optional<CommandResult> granted;
  std::optional<CommandResult> released;
  const auto grantDone = [&](const CommandOutcome& aOutcome) { granted = aOutcome.result; };
  const auto releaseDone = [&](const CommandOutcome& aOutcome) { released = aOutcome.result; };
  calls.Grant({ address, { "a", 1 }, {}, 3, seconds(4), false, "" }, seconds(2), grantDone);
  calls.Release({ address, { "a", 1 }, {}, 3 }, seconds(2), releaseDone);
  CHECK(RunUntil(context, [&] { return granted && released; }));
  CHECK(granted == row.grant);
  CHECK(released == row.release);
}

TEST_CASE("an answer states that its server leaves, or for how long it wants no requests",
          "[platform][notices]")
{
  struct NoticeRow
  {
    std::string name;
    int status;
    std::vector<std::pair<std::string, std::string>> headers;
    bool leaving;
    Duration pause;
  };
  const auto row = GENERATE(values<NoticeRow>({
    { "nothing", 200, {}, false, Duration::zero() },
    { "leaving", 200, { { "Server-Leaving", "1" } }, true, Duration::zero() },
    { "leaving, other case", 200, { { "server-leaving", "1" } }, true, Duration::zero() },
    { "leaving, in an error", 500, { { "Server-Leaving", "1" } }, true, Duration::zero() },
    { "not leaving", 200, { { "Server-Leaving", "0" } }, false, Duration::zero() },
    { "another process leaves",
      421,
      { { "Server-Leaving", "1" }, { "X-Hawthornlug-Instance-Id", "other" } },
      false,
      Duration::zero() },
    { "this process leaves and does not own the key",
      421,
      { { "Server-Leaving", "1" }, { "X-Hawthornlug-Instance-Id", "me" } },
      true,
      Duration::zero() },
    { "pause", 503, { { "Retry-After", "2" } }, false, seconds(2) },
    { "fraction", 503, { { "Retry-After", "0.25" } }, false, milliseconds(250) },
    { "both", 503, { { "Retry-After", "1" }, { "Server-Leaving", "1" } }, true, seconds(1) },
    { "another status", 429, { { "Retry-After", "2" } }, false, Duration::zero() },
    { "negative", 503, { { "Retry-After", "-1" } }, false, Duration::zero() },
    { "huge", 503, { { "Retry-After", "1e12" } }, false, seconds(300) },
    { "not finite", 503, { { "Retry-After", "inf" } }, false, Duration::zero() },
    { "a date", 503, { { "Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT" } }, false, {} },
    { "empty", 503, { { "Retry-After", "" } }, false, Duration::zero() },
  }));
  INFO(row.name);
  asio::io_context context;
  HeaderServer server;
  server.status = row.status;
  server.headers = row.headers;
  const auto endpoint = FreeEndpoint(context);
  http::Server listener(context, endpoint, server);
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  const std::string address = "127.0.0.1:" + std::to_string(endpoint.port());
  const ForwardOutcome forwarded = ForwardTo(context, calls, address, "r1");
  CHECK(forwarded.notice.leaving == row.leaving);
  CHECK(forwarded.notice.pause == row.pause);
  std::optional<CommandOutcome> granted;
  std::optional<CommandOutcome> released;
  std::optional<HealthReport> health;
  calls.Grant({ address, { "me", 1 }, {}, 3, seconds(4), false, "" },
              seconds(2),
              [&](const CommandOutcome& aOutcome) { granted = aOutcome; });
  calls.Release({ address, { "me", 1 }, {}, 3 }, seconds(2), [&](const CommandOutcome& aOutcome) {
    released = aOutcome;
  });
  calls.CheckHealth(
    address, "/health", seconds(2), [&](const HealthReport& aReport) { health = aReport; });
  REQUIRE(RunUntil(context, [&] { return granted && released && health; }));
  CHECK(granted->serverLeaving == row.leaving);
  CHECK(released->serverLeaving == row.leaving);
  // A health check is answered by whichever process has the address; its answer names it.
  if (row.status != 421) {
    CHECK(health->notice.leaving == row.leaving);
    CHECK(health->notice.pause == row.pause);
  }
}

TEST_CASE("an earlier refusal that is written once more refuses no other request",
          "[platform][reports]")
{
  const std::string done = "HTTP/1.1 200 OK\r\nX-Hawthornlug-Attempt-Id: r1\r\n"
                           "X-Hawthornlug-Server-Seal: s\r\nContent-Length: 0\r\n\r\n";
  struct RefusalRow
  {
    std::string name;
    std::string refusal;
    ForwardResult result;
  };
  const auto row = GENERATE(values<RefusalRow>({
    { "with the id of the request that it refused",
      "HTTP/1.1 503 X\r\nX-Hawthornlug-Attempt-Id: r0\r\nX-Hawthornlug-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      ForwardResult::kBroken },
    { "without an id",
      "HTTP/1.1 503 X\r\nX-Hawthornlug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      ForwardResult::kBroken },
    { "not the owner, without an id",
      "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
      ForwardResult::kBroken },
    { "with the id of this request",
      "HTTP/1.1 503 X\r\nX-Hawthornlug-Attempt-Id: r2\r\nX-Hawthornlug-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      ForwardResult::kNotRun },
  }));
  INFO(row.name);
  asio::io_context context;
  ByteServer server(context, { done, row.refusal });
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  REQUIRE(ForwardTo(context, calls, server.Address(), "r1").result == ForwardResult::kAnswered);
  const ForwardOutcome second = ForwardTo(context, calls, server.Address(), "r2");
  CHECK(second.reused);
  CHECK(NameOf(kForwardResultNames, second.result) == NameOf(kForwardResultNames, row.result));
}

TEST_CASE("a refusal that is written once more does not refuse the next attempt of its request",
          "[platform][reports]")
{
  // The server accepts one connection: what is sent on a new one gets no answer.
  const std::string refusal = "HTTP/1.1 421 X\r\nX-Hawthornlug-Attempt-Id: r1\r\n"
                              "X-Hawthornlug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  asio::io_context context;
  ByteServer server(context, { refusal, refusal, refusal });
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  REQUIRE(ForwardTo(context, calls, server.Address(), "r1").result == ForwardResult::kNotOwner);
  const ForwardOutcome second = ForwardTo(context, calls, server.Address(), "r1", true);
  CHECK_FALSE(second.reused);
  CHECK(NameOf(kForwardResultNames, second.result) == "timed-out");
}

TEST_CASE("an answer that is written once more is not taken for that to the next command",
          "[platform][reports]")
{
  const std::string done = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  asio::io_context context;
  ByteServer server(context, { done, done, done });
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  std::vector<CommandResult> results;
  const auto take = [&](const CommandOutcome& aOutcome) { results.push_back(aOutcome.result); };
  GrantCommand grant;
  grant.address = server.Address();
  grant.server = { "a", 1 };
  calls.Grant(grant, seconds(1), take);
  REQUIRE(RunUntil(context, [&] { return results.size() == 1; }));
  CHECK(results.back() == CommandResult::kDone);
  SECTION("a release")
  {
    calls.Release({ server.Address(), { "a", 1 }, {}, 1 }, milliseconds(200), take);
  }
  SECTION("a grant whose answer proves that the token was accepted")
  {
    grant.provesToken = true;
    calls.Grant(grant, milliseconds(200), take);
  }
  REQUIRE(RunUntil(context, [&] { return results.size() == 2; }));
  CHECK(results.back() == CommandResult::kNoAnswer);
}

TEST_CASE("a refusal without an id on a new connection belongs to its only request",
          "[platform][reports]")
{
  asio::io_context context;
  ByteServer server(
    context, { "HTTP/1.1 503 X\r\nX-Hawthornlug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" });
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  CHECK(ForwardTo(context, calls, server.Address(), "r1").result == ForwardResult::kNotRun);
}

TEST_CASE("an answer that ends in the middle of its head is no answer", "[platform][reports]")
{
  const std::string whole = "HTTP/1.1 200 OK\r\nX-Hawthornlug-Attempt-Id: r1\r\n"
                            "X-Hawthornlug-Server-Seal: s\r\nContent-Length: 2\r\n\r\n";
  const std::size_t length = GENERATE_COPY(range<std::size_t>(1, whole.size() + 1));
  INFO(length);
  asio::io_context context;
  ByteServer server(context, { whole.substr(0, length) });
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  CHECK(ForwardTo(context, calls, server.Address(), "r1").result == ForwardResult::kBroken);
}

TEST_CASE("numbers in a server's headers that make no sense are not used", "[platform][answers]")
{
  struct HeaderRow
  {
    std::string load;
    std::string warmUp;
    bool hasLoad;
    std::optional<Duration> warmUpLeft;
  };
  const auto row = GENERATE(values<HeaderRow>({
    { "1,2,3", "1500", true, milliseconds(1500) },
    { "1,2,3,250", "0", true, milliseconds(0) },
    { "1000000,0,3", "4294967295", true, milliseconds(4294967295) },
    { "4294967295,1,3", "9223372036854775807", false, std::nullopt },
    { "1,1000001,3", "4294967296", false, std::nullopt },
    { "1,2,4000000000", "-1", false, std::nullopt },
    { "-1,2,3", "1.5", false, std::nullopt },
    { "1,2,3,99999999999", "", false, std::nullopt },
    { "1,2", "1e3", false, std::nullopt },
    { "1, 2, 3", " ", false, std::nullopt },
  }));
  INFO(row.load << " and " << row.warmUp);
  asio::io_context context;
  HeaderServer server;
  server.headers = { { "X-Hawthornlug-Server-Load", row.load },
                     { "X-Hawthornlug-Warmup-Ms", row.warmUp } };
  const auto endpoint = FreeEndpoint(context);
  http::Server listener(context, endpoint, server);
  DecisionLog log("test");
  Metrics metrics;
  BackendCalls calls(context, log, metrics);
  std::optional<HealthReport> health;
  calls.CheckHealth("127.0.0.1:" + std::to_string(endpoint.port()),
                    "/health",
                    seconds(2),
                    [&](const HealthReport& aReport) { health = aReport; });
  REQUIRE(RunUntil(context, [&] { return health.has_value(); }));
  CHECK(health->load.has_value() == row.hasLoad);
  CHECK(health->warmUpLeft == row.warmUpLeft);
}
