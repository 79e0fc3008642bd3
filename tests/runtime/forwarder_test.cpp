/// @file
/// The path of a request, with servers and callers as fakes.

#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using hawthornlug::test::ManualTimers;

namespace {

/// Keeps what was forwarded until the test says how it comes out.
class FakeBackends : public BackendPort
{
public:
  FakeBackends() = default;
  FakeBackends(const FakeBackends&) = delete;
  FakeBackends& operator=(const FakeBackends&) = delete;
  ~FakeBackends() override
  {
    // A request and its unfinished call refer to each other.
    for (const auto& it : sent) {
      it->done = nullptr;
    }
  }

  struct Sent : http::Call
  {
    std::string server;
    Duration timeLeft = Duration::zero();
    ForwardDone done;
    bool cancelled = false;
    void Cancel() override { cancelled = true; }
  };

  std::shared_ptr<http::Call> Forward(const http::Request&,
                                      const ForwardTerms& aTerms,
                                      ForwardDone aDone) override
  {
    auto it = std::make_shared<Sent>();
    it->server = aTerms.instance;
    it->timeLeft = aTerms.timeLeft;
    it->done = std::move(aDone);
    sent.push_back(it);
    return it;
  }
  void Grant(const GrantOrder&, Duration, OrderDone) override {}
  void Release(const ReleaseOrder&, Duration, OrderDone) override {}
  void CheckHealth(const std::string&, const std::string&, Duration, HealthDone) override {}

  void End(std::size_t aIndex, ForwardResult aResult, int aStatus = 200)
  {
    ForwardOutcome outcome;
    outcome.result = aResult;
    outcome.response.status = aStatus;
    sent.at(aIndex)->done(std::move(outcome));
  }

  std::vector<std::shared_ptr<Sent>> sent;
};

class FakeExchange : public http::Exchange
{
public:
  http::Request& Received() override { return request; }
  void Respond(http::Response aResponse) override { answer = std::move(aResponse); }
  std::size_t AnswersBehind() const override { return behind; }
  void SetAbandoned(Abandoned aAbandoned) override { abandoned = std::move(aAbandoned); }

  http::Request request;
  std::optional<http::Response> answer;
  std::size_t behind = 0;
  Abandoned abandoned;
};

class NoRanges : public RangeFinder
{
public:
  RangeRunner* FindRanges(const std::string&) override { return nullptr; }
};

class KeptSpans : public SpanPort
{
public:
  void Record(const Span& aSpan) override { spans.push_back(aSpan); }

  std::vector<Span> spans;
};

RouteRule Rule(const std::string& aName, bool aIdempotent)
{
  RouteRule rule;
  rule.name = aName;
  rule.host = "h";
  rule.pathPrefix = "/" + aName + "/";
  rule.shares = { { "s", 1.0 } };
  rule.idempotent = aIdempotent;
  rule.timeout = milliseconds(1200);
  rule.targetLatency = milliseconds(600);
  rule.maxAttempts = 2;
  return rule;
}

/// A forwarder with two servers of one service.
class Bench
{
public:
  Bench()
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
      board.Put(entry, timers.now);
    }
  }

  std::shared_ptr<FakeExchange> Ask(const std::string& aRoute)
  {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "GET";
    exchange->request.target = "/" + aRoute + "/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "r" + std::to_string(++asked));
    exchange->request.headers.Add("X-Hawthornlug-Deadline-Ms", "1500");
    forwarder.OnRequest(exchange);
    return exchange;
  }

  void Pass(Duration aTime)
  {
    timers.now += aTime;
    forwarder.Dispatch();
    forwarder.Hedge();
  }

  RouteTable routes;
  ServerBoard board{ "here" };
  FakeBackends backends;
  platform::PlatformCallerHeaders headers;
  NoRanges ranges;
  ManualTimers timers;
  DecisionLog log{ "test" };
  Metrics metrics;
  KeptSpans spans;
  Forwarder forwarder{ { routes, board, backends, headers, ranges, timers, log, metrics, spans },
                       { 0.2, seconds(10), 58.0 } };
  unsigned asked = 0;
};

int StatusOf(const std::shared_ptr<FakeExchange>& aExchange)
{
  return aExchange->answer ? aExchange->answer->status : 0;
}

struct Outcome
{
  std::string route;
  ForwardResult result;
  /// Whether it is sent to a second server.
  bool again;
  /// What the caller gets if it is not.
  int status;
};

} // namespace

TEST_CASE("what may be repeated is, and nothing else", "[runtime][forwarder]")
{
  const auto row = GENERATE(values<Outcome>({
    { "safe", ForwardResult::kBroken, true, 0 },
    { "safe", ForwardResult::kNotRun, true, 0 },
    { "safe", ForwardResult::kRefusedPort, true, 0 },
    { "unsafe", ForwardResult::kBroken, false, 502 },
    { "unsafe", ForwardResult::kTimedOut, false, 504 },
    { "unsafe", ForwardResult::kNotRun, true, 0 },
    { "unsafe", ForwardResult::kUnreachable, true, 0 },
  }));
  INFO(row.route << " " << NameOf(kForwardResultNames, row.result));
  Bench bench;
  const auto exchange = bench.Ask(row.route);
  REQUIRE(bench.backends.sent.size() == 1);
  bench.backends.End(0, row.result);
  bench.Pass(milliseconds(1));
  CHECK(StatusOf(exchange) == row.status);
  REQUIRE(bench.backends.sent.size() == (row.again ? 2 : 1));
  if (row.again) {
    CHECK(bench.backends.sent[1]->server != bench.backends.sent[0]->server);
    bench.backends.End(1, ForwardResult::kAnswered);
    CHECK(StatusOf(exchange) == 200);
  }
}

TEST_CASE("a request that may have run is never said not to have", "[runtime][forwarder]")
{
  Bench bench;
  const auto exchange = bench.Ask("unsafe");
  bench.backends.End(0, ForwardResult::kNotRun);
  bench.Pass(milliseconds(1));
  REQUIRE(bench.backends.sent.size() == 2);
  bench.backends.End(1, ForwardResult::kBroken);
  bench.Pass(milliseconds(1));
  CHECK(StatusOf(exchange) == 502);
  const auto refused = bench.Ask("unsafe");
  bench.backends.End(2, ForwardResult::kNotRun);
  bench.Pass(milliseconds(1));
  if (bench.backends.sent.size() > 3) {
    bench.backends.End(3, ForwardResult::kNotRun);
  }
  CHECK(StatusOf(refused) == 503);
}

TEST_CASE("a caller that leaves cancels its attempt and gives its slot back",
          "[runtime][forwarder]")
{
  Bench bench;
  const auto exchange = bench.Ask("safe");
  CHECK(bench.board.InFlight().size() == 1);
  exchange->abandoned();
  CHECK(bench.backends.sent[0]->cancelled);
  CHECK(bench.board.InFlight().empty());
  CHECK_FALSE(exchange->answer);
}

TEST_CASE("requests wait here when all slots are taken, and are answered in the end",
          "[runtime][forwarder]")
{
  Bench bench;
  std::vector<std::shared_ptr<FakeExchange>> exchanges;
  for (unsigned n = 0; n < 6; ++n) {
    exchanges.push_back(bench.Ask("safe"));
  }
  CHECK(bench.backends.sent.size() == 4);
  CHECK(bench.forwarder.Waiting() == 2);
  bench.backends.End(0, ForwardResult::kAnswered);
  CHECK(bench.backends.sent.size() == 5);
  bench.Pass(milliseconds(1000));
  // The last one waited in vain: it is told so while that is of use.
  CHECK(StatusOf(exchanges[5]) == 503);
  CHECK(exchanges[5]->answer->headers.Find("Retry-After"));
  CHECK(bench.forwarder.Waiting() == 0);
}

TEST_CASE("a late idempotent request gets a second attempt; the first answer counts",
          "[runtime][forwarder]")
{
  Bench bench;
  const auto exchange = bench.Ask("safe");
  bench.Pass(milliseconds(100));
  CHECK(bench.backends.sent.size() == 1);
  bench.Pass(milliseconds(190));
  REQUIRE(bench.backends.sent.size() == 2);
  CHECK(bench.backends.sent[1]->server != bench.backends.sent[0]->server);
  bench.backends.End(1, ForwardResult::kAnswered);
  CHECK(StatusOf(exchange) == 200);
  CHECK(bench.backends.sent[0]->cancelled);
  CHECK(bench.board.InFlight().empty());
  const auto unsafe = bench.Ask("unsafe");
  bench.Pass(milliseconds(500));
  CHECK(bench.backends.sent.size() == 3);
}

TEST_CASE("a failing attempt leaves the hedge to answer", "[runtime][forwarder]")
{
  Bench bench;
  const auto exchange = bench.Ask("safe");
  bench.Pass(milliseconds(290));
  REQUIRE(bench.backends.sent.size() == 2);
  bench.backends.End(0, ForwardResult::kBroken);
  CHECK_FALSE(exchange->answer);
  bench.backends.End(1, ForwardResult::kAnswered);
  CHECK(StatusOf(exchange) == 200);
}

TEST_CASE("a server's own failure is passed on if nothing better comes", "[runtime][forwarder]")
{
  Bench bench;
  const auto exchange = bench.Ask("safe");
  bench.backends.End(0, ForwardResult::kAnswered, 500);
  bench.Pass(milliseconds(1));
  REQUIRE(bench.backends.sent.size() == 2);
  bench.backends.End(1, ForwardResult::kAnswered, 500);
  CHECK(StatusOf(exchange) == 500);
}

TEST_CASE("servers are given no more time than is left", "[runtime][forwarder]")
{
  Bench bench;
  bench.Ask("safe");
  CHECK(bench.backends.sent[0]->timeLeft == milliseconds(1200));
  bench.timers.now += milliseconds(500);
  bench.backends.End(0, ForwardResult::kNotRun);
  bench.Pass(milliseconds(0));
  CHECK(bench.backends.sent[1]->timeLeft == milliseconds(700));
}

TEST_CASE("what is no request of ours is refused with the right status", "[runtime][forwarder]")
{
  Bench bench;
  CHECK(StatusOf(bench.Ask("nowhere")) == 404);
  auto nameless = std::make_shared<FakeExchange>();
  nameless->request.target = "/safe/x";
  nameless->request.headers.Add("Host", "h");
  bench.forwarder.OnRequest(nameless);
  CHECK(StatusOf(nameless) == 400);
  CHECK(bench.backends.sent.empty());
}

TEST_CASE("a stopping daemon takes requests only while it can still answer them",
          "[runtime][forwarder]")
{
  Bench bench;
  bench.forwarder.RefuseFrom(bench.timers.now + seconds(2));
  const auto early = bench.Ask("safe");
  CHECK(bench.backends.sent.size() == 1);
  bench.Pass(seconds(2));
  const auto late = bench.Ask("safe");
  CHECK(StatusOf(late) == 503);
  CHECK(late->answer->headers.Find("Retry-After"));
}

TEST_CASE("without a configuration nothing is called unknown", "[runtime][forwarder]")
{
  Bench bench;
  bench.routes = RouteTable();
  CHECK(StatusOf(bench.Ask("safe")) == 503);
}

TEST_CASE("each hop of a sampled request has a span in its caller's trace", "[runtime][forwarder]")
{
  Bench bench;
  const TraceContext caller = TraceContext::Make(true);
  const auto ask = [&] {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "GET";
    exchange->request.target = "/safe/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "traced");
    exchange->request.headers.Add("traceparent", caller.Header());
    bench.forwarder.OnRequest(exchange);
    return exchange;
  };
  // All four slots are taken, so that the request waits.
  for (int n = 0; n < 4; ++n) {
    bench.Ask("unsafe");
  }
  const auto exchange = ask();
  bench.Pass(milliseconds(20));
  bench.backends.End(0, ForwardResult::kAnswered);
  bench.Pass(milliseconds(30));
  bench.backends.End(4, ForwardResult::kAnswered);
  REQUIRE(StatusOf(exchange) == 200);
  REQUIRE(bench.spans.spans.size() == 3);
  const Span& queue = bench.spans.spans[0];
  const Span& server = bench.spans.spans[1];
  const Span& entry = bench.spans.spans[2];
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
  for (const Span& it : bench.spans.spans) {
    CHECK(it.context.TraceId() == caller.TraceId());
    CHECK(it.requestId == "traced");
    CHECK(it.service == "s");
  }
}

TEST_CASE("of requests without a trace the wanted share is recorded", "[runtime][forwarder]")
{
  Bench bench;
  const auto [share, spans] = GENERATE(table<double, std::size_t>({ { 0.0, 0 }, { 1.0, 2 } }));
  bench.forwarder.SetTraceSample(share);
  bench.Ask("safe");
  bench.backends.End(0, ForwardResult::kAnswered);
  CHECK(bench.spans.spans.size() == spans);
}

TEST_CASE("a changed retry allowance holds at once", "[runtime][forwarder]")
{
  Bench bench;
  bench.forwarder.SetRetryAllowance({ 0.0, seconds(10), 0.0 });
  bench.Ask("safe");
  bench.backends.End(0, ForwardResult::kBroken);
  CHECK(bench.backends.sent.size() == 1);
  bench.forwarder.SetRetryAllowance({ 0.2, seconds(10), 58.0 });
  bench.Ask("safe");
  bench.backends.End(1, ForwardResult::kBroken);
  CHECK(bench.backends.sent.size() == 3);
}
