/// @file
/// Tests of the forwarder with fake backend servers and callers.

#include "limits/request_cost.h"
#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/fake_backends.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// A forwarder with two servers of one service.
class ForwarderFixture
{
public:
  ForwarderFixture()
  {
    RouteConfig config;
    config.version = 1;
    config.routes = { Rule("safe", true), Rule("unsafe", false) };
    config.services["s"].name = "s";
    routes.Apply(config);
    for (const char* const it : { "a", "b" }) {
      ServerEntry entry;
      entry.id = it;
      entry.service = "s";
      entry.domain = "here";
      entry.slots = 2;
      selector.Put(entry, timers.now);
    }
  }

  std::shared_ptr<FakeExchange> SendRequest(const std::string& aRoute)
  {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "GET";
    exchange->request.target = "/" + aRoute + "/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "r" + std::to_string(++requestCount));
    exchange->request.headers.Add("X-Hawthornlug-Deadline-Ms", "1500");
    forwarder.OnRequest(exchange);
    return exchange;
  }

  void AdvanceTime(Duration aTime)
  {
    timers.now += aTime;
    forwarder.Dispatch();
    forwarder.Hedge();
  }

  RouteTable routes;
  ServerSelector selector{ "here" };
  FakeBackends backends;
  platform::PlatformCallerHeaders headers;
  NoRanges ranges;
  ManualTimers timers;
  RecordingNotices notices{ selector, timers };
  DecisionLog log{ "test" };
  Metrics metrics;
  RecordingSpans spans;
  FakeQuotas quotas;
  Forwarder forwarder{
    { routes, selector, backends, headers, ranges, notices, timers, log, metrics, spans, quotas },
    { 0.2, seconds(10), 58.0 }
  };
  unsigned requestCount = 0;
};

struct RetryCase
{
  std::string route;
  ForwardResult result;
  /// The status of the server's answer.
  int serverStatus;
  /// Whether it is sent to a second server.
  bool retried;
  /// The caller's status code if it is not; 0 for no answer yet.
  int status;
};

} // namespace

TEST_CASE("failed attempts are retried only if the request can't have run or is idempotent",
          "[runtime][forwarder]")
{
  const auto row = GENERATE(values<RetryCase>({
    { "safe", ForwardResult::kBroken, 200, true, 0 },
    { "safe", ForwardResult::kNotRun, 503, true, 0 },
    { "safe", ForwardResult::kConnectionRefused, 200, true, 0 },
    { "safe", ForwardResult::kUnstated, 503, true, 0 },
    { "safe", ForwardResult::kUnstated, 421, true, 0 },
    // Another server of the application would limit the caller, too.
    { "safe", ForwardResult::kUnstated, 429, false, 502 },
    { "safe", ForwardResult::kUnstated, 408, false, 502 },
    { "unsafe", ForwardResult::kBroken, 200, false, 502 },
    { "unsafe", ForwardResult::kTimedOut, 200, false, 504 },
    { "unsafe", ForwardResult::kNotRun, 503, true, 0 },
    { "unsafe", ForwardResult::kUnreachable, 200, true, 0 },
    { "unsafe", ForwardResult::kNotAccepted, 200, true, 0 },
    { "unsafe", ForwardResult::kUnstated, 503, false, 502 },
    { "unsafe", ForwardResult::kUnstated, 421, false, 502 },
  }));
  INFO(row.route << " " << NameOf(kForwardResultNames, row.result));
  ForwarderFixture fixture;
  const auto exchange = fixture.SendRequest(row.route);
  REQUIRE(fixture.backends.sent.size() == 1);
  fixture.backends.Complete(0, row.result, row.serverStatus);
  fixture.AdvanceTime(milliseconds(1));
  CHECK(StatusOf(exchange) == row.status);
  REQUIRE(fixture.backends.sent.size() == (row.retried ? 2 : 1));
  if (row.retried) {
    CHECK(fixture.backends.sent[1]->server != fixture.backends.sent[0]->server);
    fixture.backends.Complete(1, ForwardResult::kAnswered);
    CHECK(StatusOf(exchange) == 200);
  }
}

// Guards against a server whose broken answers leave it as trusted as a sound one.
TEST_CASE("a broken answer is its server's failure also on a connection that was used before",
          "[runtime][forwarder][answers]")
{
  struct Row
  {
    bool reused;
    bool answerBegan;
    bool failed;
  };
  const auto row = GENERATE(values<Row>({
    { false, false, true },
    { false, true, true },
    { true, true, true },
    // The connection was probably closed while it was idle.
    { true, false, false },
  }));
  INFO("reused " << row.reused << ", answer begun " << row.answerBegan);
  ForwarderFixture fixture;
  fixture.selector.Remove("b", fixture.timers.now);
  constexpr std::size_t kRequests = 10;
  for (std::size_t n = 0; n < kRequests; ++n) {
    fixture.SendRequest("unsafe");
    fixture.AdvanceTime(milliseconds(1));
    if (fixture.backends.sent.size() == n + 1) {
      ForwardOutcome outcome;
      outcome.result = ForwardResult::kBroken;
      outcome.reused = row.reused;
      outcome.answerBegan = row.answerBegan;
      fixture.backends.sent[n]->done(std::move(outcome));
    }
  }
  // A server that fails gets no further requests for a while.
  CHECK((fixture.backends.sent.size() < kRequests) == row.failed);
}

// Guards against a sound server that is left alone for what its application answers to some
// callers.
TEST_CASE("a status that can't be passed on is its server's failure only from 500 on",
          "[runtime][forwarder][promises]")
{
  struct Row
  {
    int status;
    bool failed;
  };
  const auto row = GENERATE(values<Row>({
    { 408, false },
    { 421, false },
    { 429, false },
    { 503, true },
  }));
  INFO(row.status);
  ForwarderFixture fixture;
  fixture.selector.Remove("b", fixture.timers.now);
  constexpr std::size_t kRequests = 10;
  for (std::size_t n = 0; n < kRequests; ++n) {
    const auto exchange = fixture.SendRequest("unsafe");
    fixture.AdvanceTime(milliseconds(1));
    if (fixture.backends.sent.size() == n + 1) {
      fixture.backends.Complete(n, ForwardResult::kUnstated, row.status);
      CHECK(StatusOf(exchange) == 502);
    }
  }
  CHECK((fixture.backends.sent.size() < kRequests) == row.failed);
}

TEST_CASE("a request that may have run is answered with 502, not 503", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto exchange = fixture.SendRequest("unsafe");
  fixture.backends.Complete(0, ForwardResult::kNotRun);
  fixture.AdvanceTime(milliseconds(1));
  REQUIRE(fixture.backends.sent.size() == 2);
  fixture.backends.Complete(1, ForwardResult::kBroken);
  fixture.AdvanceTime(milliseconds(1));
  CHECK(StatusOf(exchange) == 502);
  const auto refused = fixture.SendRequest("unsafe");
  fixture.backends.Complete(2, ForwardResult::kNotRun);
  fixture.AdvanceTime(milliseconds(1));
  if (fixture.backends.sent.size() > 3) {
    fixture.backends.Complete(3, ForwardResult::kNotRun);
  }
  CHECK(StatusOf(refused) == 503);
}

TEST_CASE("a server that refused a request gets it again on a new connection only",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  fixture.selector.Remove("b", fixture.timers.now);
  fixture.SendRequest("unsafe");
  REQUIRE(fixture.backends.sent.size() == 1);
  CHECK_FALSE(fixture.backends.sent[0]->freshConnection);
  fixture.backends.Complete(0, ForwardResult::kNotOwner);
  fixture.AdvanceTime(milliseconds(400));
  REQUIRE(fixture.backends.sent.size() == 2);
  CHECK(fixture.backends.sent[1]->server == "a");
  CHECK(fixture.backends.sent[1]->freshConnection);
}

TEST_CASE("a caller's disconnect cancels its attempt and releases its slot", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto exchange = fixture.SendRequest("safe");
  CHECK(fixture.selector.InFlight().size() == 1);
  exchange->abandoned();
  CHECK(fixture.backends.sent[0]->cancelled);
  CHECK(fixture.selector.InFlight().empty());
  CHECK_FALSE(exchange->answer);
}

TEST_CASE("requests queue in the router while all slots are taken, and are all answered",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  std::vector<std::shared_ptr<FakeExchange>> exchanges;
  for (unsigned n = 0; n < 6; ++n) {
    exchanges.push_back(fixture.SendRequest("safe"));
  }
  CHECK(fixture.backends.sent.size() == 4);
  CHECK(fixture.forwarder.Waiting() == 2);
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  CHECK(fixture.backends.sent.size() == 5);
  fixture.AdvanceTime(milliseconds(1000));
  // No slot became free for the last one: it is rejected while the caller can still retry.
  CHECK(StatusOf(exchanges[5]) == 503);
  CHECK(exchanges[5]->answer->headers.Find("Retry-After"));
  CHECK(fixture.forwarder.Waiting() == 0);
}

TEST_CASE("a late idempotent request gets a second attempt; the first answer counts",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto exchange = fixture.SendRequest("safe");
  fixture.AdvanceTime(milliseconds(100));
  CHECK(fixture.backends.sent.size() == 1);
  fixture.AdvanceTime(milliseconds(190));
  REQUIRE(fixture.backends.sent.size() == 2);
  CHECK(fixture.backends.sent[1]->server != fixture.backends.sent[0]->server);
  fixture.backends.Complete(1, ForwardResult::kAnswered);
  CHECK(StatusOf(exchange) == 200);
  CHECK(fixture.backends.sent[0]->cancelled);
  CHECK(fixture.selector.InFlight().empty());
  const auto unsafe = fixture.SendRequest("unsafe");
  fixture.AdvanceTime(milliseconds(500));
  CHECK(fixture.backends.sent.size() == 3);
}

TEST_CASE("a failed first attempt does not answer the request while its hedge is in flight",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto exchange = fixture.SendRequest("safe");
  fixture.AdvanceTime(milliseconds(290));
  REQUIRE(fixture.backends.sent.size() == 2);
  fixture.backends.Complete(0, ForwardResult::kBroken);
  CHECK_FALSE(exchange->answer);
  fixture.backends.Complete(1, ForwardResult::kAnswered);
  CHECK(StatusOf(exchange) == 200);
}

TEST_CASE("a server's error response is passed on if the retry fails too", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto exchange = fixture.SendRequest("safe");
  fixture.backends.Complete(0, ForwardResult::kAnswered, 500);
  fixture.AdvanceTime(milliseconds(1));
  REQUIRE(fixture.backends.sent.size() == 2);
  fixture.backends.Complete(1, ForwardResult::kAnswered, 500);
  CHECK(StatusOf(exchange) == 500);
}

TEST_CASE("the timeout sent to a server is at most the time left until the deadline",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  fixture.SendRequest("safe");
  CHECK(fixture.backends.sent[0]->timeLeft == milliseconds(1200));
  fixture.timers.now += milliseconds(500);
  fixture.backends.Complete(0, ForwardResult::kNotRun);
  fixture.AdvanceTime(milliseconds(0));
  CHECK(fixture.backends.sent[1]->timeLeft == milliseconds(700));
}

TEST_CASE("a request without a route gets 404, one without the required headers 400",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  CHECK(StatusOf(fixture.SendRequest("nowhere")) == 404);
  auto withoutHeaders = std::make_shared<FakeExchange>();
  withoutHeaders->request.target = "/safe/x";
  withoutHeaders->request.headers.Add("Host", "h");
  fixture.forwarder.OnRequest(withoutHeaders);
  CHECK(StatusOf(withoutHeaders) == 400);
  CHECK(fixture.backends.sent.empty());
}

TEST_CASE("a stopping daemon rejects requests from the set time on", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  fixture.forwarder.Stop(fixture.timers.now + seconds(2), fixture.timers.now + seconds(5));
  const auto early = fixture.SendRequest("safe");
  CHECK(fixture.backends.sent.size() == 1);
  fixture.AdvanceTime(seconds(2));
  const auto late = fixture.SendRequest("safe");
  CHECK(StatusOf(late) == 503);
  CHECK(late->answer->headers.Find("Retry-After"));
}

TEST_CASE("a stopping daemon answers requests that wait before it ends", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  // No server is left: the requests wait for one that joins.
  fixture.forwarder.Stop(fixture.timers.now + seconds(1), fixture.timers.now + milliseconds(900));
  std::vector<std::shared_ptr<FakeExchange>> exchanges;
  for (unsigned n = 0; n < 6; ++n) {
    exchanges.push_back(fixture.SendRequest("unsafe"));
  }
  REQUIRE(fixture.backends.sent.size() == 4);
  fixture.AdvanceTime(milliseconds(590));
  CHECK(StatusOf(exchanges[4]) == 503);
  CHECK(StatusOf(exchanges[5]) == 503);
  CHECK(fixture.forwarder.Waiting() == 0);
  // What is at a server is waited for.
  CHECK(StatusOf(exchanges[0]) == 0);
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  CHECK(StatusOf(exchanges[0]) == 200);
}

TEST_CASE("a stopping daemon passes on no request that it could not answer before it ends",
          "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto left = GENERATE(milliseconds(100), milliseconds(320), seconds(4));
  fixture.forwarder.Stop(fixture.timers.now + seconds(1), fixture.timers.now + left);
  const auto exchange = fixture.SendRequest("unsafe");
  const bool fits = left == seconds(4);
  CHECK(fixture.backends.sent.size() == (fits ? 1 : 0));
  CHECK(StatusOf(exchange) == (fits ? 0 : 503));
}

TEST_CASE("without a configuration requests get 503, not 404", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  fixture.routes = RouteTable();
  CHECK(StatusOf(fixture.SendRequest("safe")) == 503);
}

TEST_CASE("each hop of a sampled request has a span in its caller's trace", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const TraceContext caller = TraceContext::Make(true);
  const auto sendTraced = [&] {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "GET";
    exchange->request.target = "/safe/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "traced");
    exchange->request.headers.Add("traceparent", caller.Header());
    fixture.forwarder.OnRequest(exchange);
    return exchange;
  };
  // All four slots are taken, so that the request waits.
  for (int n = 0; n < 4; ++n) {
    fixture.SendRequest("unsafe");
  }
  const auto exchange = sendTraced();
  fixture.AdvanceTime(milliseconds(20));
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  fixture.AdvanceTime(milliseconds(30));
  fixture.backends.Complete(4, ForwardResult::kAnswered);
  REQUIRE(StatusOf(exchange) == 200);
  REQUIRE(fixture.spans.spans.size() == 3);
  const Span& queue = fixture.spans.spans[0];
  const Span& server = fixture.spans.spans[1];
  const Span& entry = fixture.spans.spans[2];
  CHECK(queue.name == "queue");
  CHECK(queue.end - queue.start == milliseconds(20));
  CHECK(server.name == "server");
  CHECK(server.outcome == "answered");
  CHECK(server.end - server.start == milliseconds(30));
  CHECK(entry.name == "entry");
  CHECK(entry.outcome == "200");
  CHECK(entry.parent == caller.span);
  CHECK(queue.parent == entry.context.span);
  CHECK(server.parent == entry.context.span);
  for (const Span& it : fixture.spans.spans) {
    CHECK(it.context.TraceId() == caller.TraceId());
    CHECK(it.requestId == "traced");
    CHECK(it.service == "s");
  }
}

TEST_CASE("of requests without a trace the configured share is recorded", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  const auto [share, spans] = GENERATE(table<double, std::size_t>({ { 0.0, 0 }, { 1.0, 2 } }));
  fixture.forwarder.SetTraceSample(share);
  fixture.SendRequest("safe");
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  CHECK(fixture.spans.spans.size() == spans);
}

TEST_CASE("a changed retry allowance applies at once", "[runtime][forwarder]")
{
  ForwarderFixture fixture;
  fixture.forwarder.SetRetryAllowance({ 0.0, seconds(10), 0.0 });
  fixture.SendRequest("safe");
  fixture.backends.Complete(0, ForwardResult::kBroken);
  CHECK(fixture.backends.sent.size() == 1);
  fixture.forwarder.SetRetryAllowance({ 0.2, seconds(10), 58.0 });
  fixture.SendRequest("safe");
  fixture.backends.Complete(1, ForwardResult::kBroken);
  CHECK(fixture.backends.sent.size() == 3);
}

namespace {

struct NoticeCase
{
  std::string name;
  std::string route;
  ServerNotice notice;
  ForwardResult result;
  int status;
};

/// Advances time in steps, as the daemon's ticks do.
void Pass(ForwarderFixture& aFixture, Duration aTime)
{
  for (Duration passed{}; passed < aTime; passed += milliseconds(20)) {
    aFixture.AdvanceTime(milliseconds(20));
  }
}

/// How many requests were sent to the server from the @p aFirst-th on.
std::size_t SentTo(const ForwarderFixture& aFixture, const std::string& aServer, std::size_t aFirst)
{
  std::size_t n = 0;
  for (std::size_t it = aFirst; it < aFixture.backends.sent.size(); ++it) {
    n += aFixture.backends.sent[it]->server == aServer ? 1 : 0;
  }
  return n;
}

} // namespace

TEST_CASE("after a server's notice, no new, waiting, retried or hedged request goes to it",
          "[runtime][forwarder][notices]")
{
  const ServerNotice leaving{ true, Duration::zero() };
  const ServerNotice pause{ false, seconds(2) };
  const auto row = GENERATE_COPY(values<NoticeCase>({
    { "leaving, in a success", "safe", leaving, ForwardResult::kAnswered, 200 },
    { "leaving, in a refusal", "unsafe", leaving, ForwardResult::kNotRun, 503 },
    { "leaving, in an error", "safe", leaving, ForwardResult::kAnswered, 500 },
    { "pause, in a refusal", "unsafe", pause, ForwardResult::kNotRun, 503 },
    { "pause, in a refusal of an idempotent one", "safe", pause, ForwardResult::kNotRun, 503 },
    { "pause, in an answer that may have run", "safe", pause, ForwardResult::kBroken, 503 },
  }));
  INFO(row.name);
  ForwarderFixture fixture;
  // Two servers with two slots each, and two requests that wait.
  for (int n = 0; n < 6; ++n) {
    fixture.SendRequest(row.route);
  }
  REQUIRE(fixture.backends.sent.size() == 4);
  const std::string server = fixture.backends.sent[0]->server;
  fixture.backends.Complete(0, row.result, row.status, row.notice);
  CHECK(fixture.notices.servers == std::vector<ServerRef>{ { server, 0 } });
  Pass(fixture, milliseconds(500));
  fixture.SendRequest(row.route);
  Pass(fixture, milliseconds(200));
  CHECK(SentTo(fixture, server, 4) == 0);
}

TEST_CASE("a server that asked for a pause gets requests again when it is over",
          "[runtime][forwarder][notices]")
{
  ForwarderFixture fixture;
  fixture.SendRequest("safe");
  const std::string server = fixture.backends.sent[0]->server;
  fixture.backends.Complete(0, ForwardResult::kNotRun, 503, { false, milliseconds(700) });
  Pass(fixture, milliseconds(680));
  for (int n = 0; n < 4; ++n) {
    fixture.SendRequest("safe");
  }
  CHECK(SentTo(fixture, server, 1) == 0);
  Pass(fixture, milliseconds(40));
  CHECK(SentTo(fixture, server, 1) > 0);
}

TEST_CASE("if all servers have asked for a long pause, callers are told at once when it ends",
          "[runtime][forwarder][notices]")
{
  const std::string route = GENERATE("safe", "unsafe");
  INFO(route);
  ForwarderFixture fixture;
  const auto first = fixture.SendRequest(route);
  fixture.backends.Complete(0, ForwardResult::kNotRun, 503, { false, seconds(5) });
  fixture.AdvanceTime(milliseconds(1));
  REQUIRE(fixture.backends.sent.size() == 2);
  fixture.backends.Complete(1, ForwardResult::kNotRun, 503, { false, seconds(5) });
  const auto second = fixture.SendRequest(route);
  for (const auto& it : { first, second }) {
    REQUIRE(StatusOf(it) == 503);
    CHECK(std::stod(std::string(it->answer->headers.Get("Retry-After"))) >= 4.99);
  }
  CHECK(fixture.backends.sent.size() == 2);
}

TEST_CASE("a notice concerns the incarnation that the request was sent to",
          "[runtime][forwarder][notices]")
{
  ForwarderFixture fixture;
  fixture.SendRequest("safe");
  ServerEntry reborn;
  reborn.id = fixture.backends.sent[0]->server;
  reborn.service = "s";
  reborn.domain = "here";
  reborn.slots = 2;
  reborn.incarnation = 9;
  fixture.selector.Put(reborn, fixture.timers.now);
  fixture.backends.Complete(0, ForwardResult::kAnswered, 200, { true, Duration::zero() });
  CHECK(fixture.selector.IsOpen(reborn.id));
}

// Guards against a route's work estimate that ignores what distinguishes its requests.
TEST_CASE("with request costs, the estimate follows body size, and the size of answers is learned",
          "[runtime][cost]")
{
  ForwarderFixture fixture;
  fixture.forwarder.SetWorkEstimator(std::make_unique<RequestCost>());
  fixture.selector.UseEstimates(fixture.forwarder.Estimates());
  for (int n = 0; n < 60; ++n) {
    fixture.SendRequest("safe");
    fixture.AdvanceTime(milliseconds(40));
    fixture.backends.Complete(fixture.backends.sent.size() - 1, ForwardResult::kAnswered);
  }
  const WorkEstimator& estimates = fixture.forwarder.Estimates();
  const RequestTraits traits{ "safe", "s", "GET", 0, std::nullopt };
  CHECK(InSeconds(estimates.Of(traits, milliseconds(600))) == Approx(0.04).epsilon(0.1));
  CHECK(estimates.IsMeasured("safe"));
  CHECK(estimates.AnswerBytesOf("safe") == 0U);
  CHECK_FALSE(estimates.IsMeasured("unsafe"));
  CHECK(estimates.Errors().at("safe") < 0.2);
}

TEST_CASE("without request costs, a route's estimate is its mean whatever the request",
          "[runtime][cost]")
{
  ForwarderFixture fixture;
  for (int n = 0; n < 60; ++n) {
    fixture.SendRequest("safe");
    fixture.AdvanceTime(milliseconds(40));
    fixture.backends.Complete(fixture.backends.sent.size() - 1, ForwardResult::kAnswered);
  }
  const WorkEstimator& estimates = fixture.forwarder.Estimates();
  const RequestTraits large{ "safe", "s", "PUT", 60000, 7U };
  CHECK(InSeconds(estimates.Of(large, milliseconds(600))) == Approx(0.04).epsilon(0.1));
  CHECK_FALSE(estimates.IsMeasured("safe"));
  CHECK_FALSE(estimates.AnswerBytesOf("safe"));
  CHECK(estimates.Errors().empty());
}
