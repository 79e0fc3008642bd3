/// @file
/// The forwarder's requests for servers for which requests wait at other daemons too, with and
/// without LoadFeature::kContention.

#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// Keeps requests until the test answers them, the oldest first.
class SlowBackends : public BackendPort
{
public:
  std::shared_ptr<http::Call> Forward(const http::Request& aRequest,
                                      const ForwardTerms&,
                                      AttemptPermit,
                                      ForwardDone aDone) override
  {
    sent.push_back(aRequest.target);
    mOpen.push_back(std::move(aDone));
    return std::make_shared<OpenCall>();
  }
  void Grant(const GrantCommand&, Duration, CommandDone) override {}
  void Release(const ReleaseCommand&, Duration, CommandDone) override {}
  void CheckHealth(const std::string&, const std::string&, Duration, HealthDone) override {}

  void Answer(ForwardResult aResult = ForwardResult::kAnswered)
  {
    const ForwardDone done = std::move(mOpen.front());
    mOpen.erase(mOpen.begin());
    ForwardOutcome outcome;
    outcome.result = aResult;
    outcome.response.status = 200;
    done(std::move(outcome));
  }
  bool HasOpen() const { return !mOpen.empty(); }
  void ForgetOpen() { mOpen.clear(); }

  std::vector<std::string> sent;

private:
  struct OpenCall : http::Call
  {
    void Cancel() override {}
  };
  std::vector<ForwardDone> mOpen;
};

/// A forwarder with one server of a service without keys, which has two slots.
class ContendedFixture
{
public:
  explicit ContendedFixture(bool aContention)
  {
    RouteConfig config;
    config.version = 1;
    config.routes = { PriorityRule("urgent", 0), PriorityRule("normal", 1) };
    config.services["s"].name = "s";
    routes.Apply(config);
    ServerEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.domain = "here";
    entry.slots = 2;
    selector.Put(entry, timers.now);
    selector.SetContention(aContention);
    forwarder = std::make_unique<Forwarder>(ForwarderServices{ routes,
                                                               selector,
                                                               backends,
                                                               headers,
                                                               ranges,
                                                               notices,
                                                               timers,
                                                               log,
                                                               metrics,
                                                               spans,
                                                               quotas,
                                                               aContention ? &contended : nullptr },
                                            RetryAllowance{ 0.2, seconds(10), 58.0 });
  }
  ContendedFixture(const ContendedFixture&) = delete;
  ContendedFixture& operator=(const ContendedFixture&) = delete;
  // Breaks the reference cycle between requests and their unfinished calls.
  ~ContendedFixture() { backends.ForgetOpen(); }

  std::shared_ptr<FakeExchange> Send(const std::string& aRoute)
  {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "GET";
    exchange->request.target = "/" + aRoute + "/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "r" + std::to_string(++mRequests));
    exchange->request.headers.Add("X-Hawthornlug-Deadline-Ms", "1200");
    forwarder->OnRequest(exchange);
    return exchange;
  }

  /// Another daemon reports the demand for the service.
  void SetOthers(const WaitingLevels& aLevels)
  {
    contended.Decisions().Allotment().SetOthers(
      "other", { { WaitingTargetOf("s"), aLevels } }, timers.now);
    contended.Tick(timers.now);
  }

  void Advance(Duration aTime)
  {
    timers.now += aTime;
    contended.Tick(timers.now);
    forwarder->Dispatch();
  }

  RouteTable routes;
  ServerSelector selector{ "here" };
  SlowBackends backends;
  platform::PlatformCallerHeaders headers;
  NoRanges ranges;
  ManualTimers timers;
  RecordingNotices notices{ selector, timers };
  DecisionLog log{ "test" };
  Metrics metrics;
  RecordingSpans spans;
  FakeQuotas quotas;
  ContendedQueue contended{ "self", selector, log, metrics };
  std::unique_ptr<Forwarder> forwarder;

private:
  static RouteRule PriorityRule(const std::string& aName, int aPriority)
  {
    RouteRule rule = Rule(aName, false);
    rule.priority = aPriority;
    return rule;
  }

  unsigned mRequests = 0;
};

/// -1 if the answer has no retry delay.
double RetryAfterSeconds(const FakeExchange& aExchange)
{
  const std::string text(aExchange.answer->headers.Get("Retry-After"));
  return text.empty() ? -1.0 : std::stod(text);
}

} // namespace

// Guards against requests that wait for most of their target latency in a queue that is known to
// be hopeless.
TEST_CASE("a request for a hopeless queue is rejected when it arrives", "[runtime][contention]")
{
  const bool contention = GENERATE(false, true);
  INFO(contention);
  ContendedFixture fixture(contention);
  fixture.SetOthers({ 2000, 2000, 0, 0 });
  unsigned rejected = 0;
  for (unsigned n = 0; n < 50; ++n) {
    const auto exchange = fixture.Send("normal");
    rejected += StatusOf(exchange) == 503 ? 1 : 0;
  }
  CHECK((contention ? rejected >= 45 : rejected == 0));
  CHECK(fixture.backends.sent.size() >= (contention ? 0 : 2));
  if (contention) {
    CHECK(fixture.metrics.Text().find("contention_rejected_total") == std::string::npos);
    fixture.contended.Tick(fixture.timers.now);
    CHECK(fixture.metrics.Text().find("contention_rejected_total{after=\"arrival\"}") !=
          std::string::npos);
  }
}

// Guards against rejections when a daemon knows only of its own requests and has few of them.
TEST_CASE("without reports of others, a short queue is no reason to reject",
          "[runtime][contention]")
{
  ContendedFixture fixture(true);
  std::vector<std::shared_ptr<FakeExchange>> exchanges;
  for (unsigned n = 0; n < 4; ++n) {
    exchanges.push_back(fixture.Send("urgent"));
  }
  CHECK(fixture.backends.sent.size() >= 2);
  CHECK(std::all_of(exchanges.begin(), exchanges.end(), [](const auto& aExchange) {
    return StatusOf(aExchange) == 0;
  }));
  while (fixture.backends.sent.size() < 4) {
    fixture.Advance(milliseconds(50));
    fixture.backends.Answer();
  }
}

// Guards against a long queue of the daemon's own, of which all would be rejected late.
TEST_CASE("without reports of others, a request behind too many own ones is rejected at once",
          "[runtime][contention]")
{
  ContendedFixture fixture(true);
  unsigned rejected = 0;
  for (unsigned n = 0; n < 40; ++n) {
    rejected += StatusOf(fixture.Send("urgent")) == 503 ? 1 : 0;
  }
  CHECK(rejected > 25);
  CHECK(rejected < 38);
}

// Guards against less urgent requests that use the room of the urgent ones.
TEST_CASE("the urgent requests get the room of a contended service", "[runtime][contention]")
{
  ContendedFixture fixture(true);
  unsigned urgent = 0;
  unsigned normal = 0;
  // 100 requests a second of this daemon, and as many of another; the server ends 10 of them.
  for (unsigned n = 0; n < 500; ++n) {
    fixture.SetOthers({ 19, 19, 0, 0 });
    fixture.Send("urgent");
    fixture.Send("normal");
    if (n % 5 == 4 && fixture.backends.HasOpen()) {
      fixture.backends.Answer();
    }
    fixture.Advance(milliseconds(20));
  }
  for (const std::string& it : fixture.backends.sent) {
    (it.find("urgent") != std::string::npos ? urgent : normal) += 1;
  }
  // The server could run 100 requests in this time, and the other daemon has half of them.
  CHECK(urgent > 0);
  CHECK(normal > 0);
  CHECK(urgent > 4 * normal);
}

// Guards against callers that come back at once, only to be rejected again.
TEST_CASE("a caller of a hopeless queue is told to come back as late as it can",
          "[runtime][contention]")
{
  ContendedFixture fixture(true);
  fixture.SetOthers({ 2000, 2000, 0, 0 });
  std::shared_ptr<FakeExchange> exchange = fixture.Send("normal");
  for (unsigned n = 0; n < 3 && StatusOf(exchange) != 503; ++n) {
    exchange = fixture.Send("normal");
  }
  REQUIRE(StatusOf(exchange) == 503);
  CHECK(RetryAfterSeconds(*exchange) == Approx(0.4));
}

// Guards against a key of one service that is taken for the same number of another service, whose
// requests would then be limited by the demand for the first.
TEST_CASE("keys of two services have nothing to do with each other", "[runtime][contention]")
{
  ContendedFixture fixture(true);
  ServerEntry entry;
  entry.slots = 4;
  for (const char* const it : { "owner-t", "owner-u" }) {
    entry.id = it;
    entry.service = entry.id.substr(entry.id.size() - 1);
    fixture.selector.Put(entry, fixture.timers.now);
  }
  const Instant now = fixture.timers.now;
  const QueuedRequest hot{ "t", "owner-t", 7, 0, milliseconds(200) };
  const QueuedRequest other{ "u", "owner-u", 7, 0, milliseconds(200) };
  fixture.contended.Decisions().Allotment().SetOthers(
    "other", { { ServerSelector::HashedIdOf("owner-t"), { 900, 900, 900, 0 } } }, now);
  fixture.contended.Tick(now);
  for (unsigned n = 0; n < 10; ++n) {
    fixture.contended.OnArrival(hot, now);
  }
  CHECK(fixture.contended.DemotionOf(hot) > 0);
  CHECK(fixture.contended.IsLimited(hot, now));
  CHECK_FALSE(fixture.contended.IsLimited(other, now));
  CHECK(fixture.contended.DemotionOf(other) == 0);
  CHECK(fixture.contended.IsLimited(hot, now));
}
