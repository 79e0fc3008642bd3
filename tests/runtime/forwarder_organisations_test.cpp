/// @file
/// Authentication of organisations and their quotas in the forwarder, with fake backend servers.

#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/fake_backends.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

const std::vector<std::string> kAcme = { "key-of-acme" };

OrganisationRule Organisation(const std::string& aName,
                              const std::string& aKey,
                              double aRate = 0.0,
                              std::optional<int> aPriority = {})
{
  return { aName, { DigestOf(aKey) }, aPriority, aRate, 0.0 };
}

/// A forwarder with two servers of one service, and two organisations.
class OrganisationFixture
{
public:
  OrganisationFixture()
  {
    Configure(1, { Organisation("acme", "key-of-acme"), Organisation("zed", "key-of-zed") });
    for (const char* const it : { "a", "b" }) {
      ServerEntry entry;
      entry.id = it;
      entry.service = "s";
      entry.domain = "here";
      entry.slots = 2;
      selector.Put(entry, timers.now);
    }
  }

  void Configure(std::uint64_t aVersion,
                 const std::vector<OrganisationRule>& aOrganisations,
                 bool aAuthenticates = true)
  {
    RouteConfig config;
    config.version = aVersion;
    config.authenticates = aAuthenticates;
    config.routes = { Rule("safe", true), Rule("unsafe", false), Rule("open", true) };
    config.routes.back().open = true;
    config.services["s"].name = "s";
    for (const OrganisationRule& it : aOrganisations) {
      config.organisations[it.name] = it;
    }
    routes.Apply(config);
  }

  std::shared_ptr<FakeExchange> SendRequest(const std::vector<std::string>& aKeys,
                                            const std::string& aRoute = "safe")
  {
    auto exchange = MakeExchange(aKeys, aRoute);
    forwarder.OnRequest(exchange);
    return exchange;
  }

  std::shared_ptr<FakeExchange> MakeExchange(const std::vector<std::string>& aKeys,
                                             const std::string& aRoute)
  {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "GET";
    exchange->request.target = "/" + aRoute + "/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "r" + std::to_string(++requestCount));
    exchange->request.headers.Add("X-Hawthornlug-Deadline-Ms", "1000");
    for (const std::string& it : aKeys) {
      exchange->request.headers.Add("X-Hawthornlug-Key", it);
    }
    return exchange;
  }

  /// Advances time in steps, as the daemon's ticks do.
  void AdvanceTime(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += milliseconds(20)) {
      timers.now += milliseconds(20);
      forwarder.Dispatch();
      forwarder.Hedge();
    }
  }

  bool HasMetric(const std::string& aLine) const
  {
    return metrics.Text().find(aLine + "\n") != std::string::npos;
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

struct KeyCase
{
  std::string name;
  std::vector<std::string> keys;
  std::string route;
  /// 0 if the request is sent to a server.
  int status;
  std::string organisation;
};

} // namespace

TEST_CASE("a request runs only with the key of an organisation", "[runtime][forwarder]")
{
  const auto row = GENERATE(values<KeyCase>({
    { "key", { "key-of-acme" }, "safe", 0, "acme" },
    { "other key", { "key-of-zed" }, "safe", 0, "zed" },
    { "no key", {}, "safe", 401, "" },
    { "unknown key", { "key-of-nobody" }, "safe", 401, "" },
    { "key in another case", { "KEY-OF-ACME" }, "safe", 401, "" },
    { "digest as key", { ToText(DigestOf("key-of-acme")) }, "safe", 401, "" },
    { "empty key", { "" }, "safe", 400, "" },
    { "two keys", { "key-of-acme", "key-of-acme" }, "safe", 400, "" },
    { "long key", { std::string(257, 'k') }, "safe", 400, "" },
    { "key that is not ASCII", { "k\xc3\xa9y" }, "safe", 400, "" },
    { "open route", {}, "open", 0, "" },
    { "open route with a key", { "key-of-acme" }, "open", 0, "" },
    { "open route with two keys", { "a", "b" }, "open", 0, "" },
    { "no route", { "key-of-acme" }, "none", 404, "" },
  }));
  INFO(row.name);
  OrganisationFixture fixture;
  const auto exchange = fixture.SendRequest(row.keys, row.route);
  CHECK(StatusOf(exchange) == row.status);
  REQUIRE(fixture.backends.sent.size() == (row.status == 0 ? 1 : 0));
  if (row.status == 0) {
    CHECK(fixture.backends.sent[0]->replacesIdentity);
    CHECK(fixture.backends.sent[0]->organisation == row.organisation);
  }
  CHECK(fixture.quotas.claims.size() == (row.organisation.empty() ? 0 : 1));
  CHECK(fixture.HasMetric("hawthornlug_unauthenticated_total 1") == (row.status == 401));
}

TEST_CASE("without organisations nothing is authenticated", "[runtime][forwarder]")
{
  const auto keys = GENERATE(values<std::vector<std::string>>({ {}, { "key" }, { "a", "b" } }));
  OrganisationFixture fixture;
  fixture.Configure(2, {}, false);
  fixture.SendRequest(keys);
  REQUIRE(fixture.backends.sent.size() == 1);
  CHECK_FALSE(fixture.backends.sent[0]->replacesIdentity);
  CHECK(fixture.quotas.claims.empty());
}

TEST_CASE("a configuration whose list of organisations is empty lets nobody in",
          "[runtime][forwarder]")
{
  // The last organisation is removed: that must not open the routes to everybody.
  OrganisationFixture fixture;
  fixture.Configure(2, {});
  CHECK(StatusOf(fixture.SendRequest(kAcme)) == 401);
  CHECK(StatusOf(fixture.SendRequest({})) == 401);
  CHECK(fixture.backends.sent.empty());
  fixture.SendRequest({}, "open");
  CHECK(fixture.backends.sent.size() == 1);
}

TEST_CASE("without a configuration a key makes no difference: 503", "[runtime][forwarder]")
{
  const auto keys = GENERATE(values<std::vector<std::string>>({ {}, { "key" }, { "a", "b" } }));
  OrganisationFixture fixture;
  fixture.routes = RouteTable();
  CHECK(StatusOf(fixture.SendRequest(keys)) == 503);
}

TEST_CASE("each request is checked against the configuration in force", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  const auto first = fixture.SendRequest(kAcme);
  REQUIRE(fixture.backends.sent.size() == 1);
  fixture.Configure(2, { Organisation("acme", "new-key"), Organisation("zed", "key-of-zed") });
  // The key is withdrawn from the next request on; the one that was accepted is still answered.
  CHECK(StatusOf(fixture.SendRequest(kAcme)) == 401);
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  CHECK(StatusOf(first) == 200);
  fixture.SendRequest({ "new-key" });
  CHECK(fixture.backends.sent.size() == 2);
  // An earlier version does not come back.
  fixture.Configure(1, { Organisation("acme", "key-of-acme") });
  CHECK(StatusOf(fixture.SendRequest(kAcme)) == 401);
}

TEST_CASE("the organisation's priority replaces the route's", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  fixture.Configure(
    2, { Organisation("acme", "key-of-acme", 0.0, 3), Organisation("zed", "key-of-zed", 0.0, 0) });
  for (unsigned n = 0; n < 4; ++n) {
    fixture.SendRequest({}, "open");
  }
  REQUIRE(fixture.backends.sent.size() == 4);
  fixture.SendRequest(kAcme);
  fixture.SendRequest({ "key-of-zed" });
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  REQUIRE(fixture.backends.sent.size() == 5);
  CHECK(fixture.backends.sent[4]->organisation == "zed");
}

TEST_CASE("a quota's state decides what becomes of a request", "[runtime][forwarder]")
{
  struct Row
  {
    QuotaState state;
    int status;
    std::string retryAfter;
  };
  const auto row = GENERATE(values<Row>({
    { QuotaState::kGranted, 0, "" },
    { QuotaState::kPending, 0, "" },
    { QuotaState::kExceeded, 429, "0.340" },
    { QuotaState::kUnknown, 503, "0.700" },
  }));
  // Decided at the arrival, or while the request waits.
  const bool later = GENERATE(false, true);
  INFO(NameOf(kQuotaStateNames, row.state) << (later ? " later" : " at once"));
  OrganisationFixture fixture;
  fixture.quotas.state = later ? QuotaState::kPending : row.state;
  const auto exchange = fixture.SendRequest(kAcme);
  if (later) {
    CHECK(fixture.backends.sent.empty());
    fixture.quotas.state = row.state;
    fixture.AdvanceTime(milliseconds(20));
  }
  CHECK(StatusOf(exchange) == row.status);
  CHECK(fixture.backends.sent.size() == (row.state == QuotaState::kGranted ? 1 : 0));
  CHECK(fixture.forwarder.Waiting() == (row.state == QuotaState::kPending ? 1 : 0));
  CHECK(fixture.quotas.open == (row.status == 0 ? 1 : 0));
  CHECK(fixture.quotas.givenBack == (row.status == 0 ? 0 : 1));
  if (row.status != 0) {
    CHECK(exchange->answer->headers.Get("Retry-After") == row.retryAfter);
  }
  CHECK(fixture.HasMetric("hawthornlug_organisation_over_quota_total{organisation=\"acme\"} 1") ==
        (row.status == 429));
}

TEST_CASE("waiting for the quota ends at the deadline, not before", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  fixture.quotas.state = QuotaState::kPending;
  const auto exchange = fixture.SendRequest(kAcme);
  // Far longer than a request may wait for a server.
  fixture.AdvanceTime(milliseconds(980));
  CHECK(StatusOf(exchange) == 0);
  fixture.AdvanceTime(milliseconds(20));
  CHECK(StatusOf(exchange) == 503);
  CHECK(fixture.quotas.givenBack == 1);
  CHECK(fixture.backends.sent.empty());
}

// Guards against a request that is rejected for its long wait as soon as its quota is granted.
TEST_CASE("after a wait for the quota the wait for a server starts anew", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  for (unsigned n = 0; n < 4; ++n) {
    fixture.SendRequest({}, "open");
  }
  fixture.quotas.state = QuotaState::kPending;
  const auto exchange = fixture.SendRequest(kAcme);
  fixture.AdvanceTime(milliseconds(480));
  fixture.quotas.state = QuotaState::kGranted;
  const std::size_t before = fixture.backends.sent.size();
  fixture.AdvanceTime(milliseconds(100));
  CHECK(StatusOf(exchange) == 0);
  CHECK(fixture.forwarder.Waiting() == 1);
  fixture.backends.Complete(0, ForwardResult::kAnswered);
  REQUIRE(fixture.backends.sent.size() == before + 1);
  CHECK(fixture.backends.sent.back()->organisation == "acme");
}

TEST_CASE("a stopping daemon does not wait for a quota beyond its end", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  fixture.quotas.state = QuotaState::kPending;
  const auto exchange = fixture.SendRequest(kAcme);
  fixture.forwarder.Stop(fixture.timers.now, fixture.timers.now + milliseconds(200));
  fixture.AdvanceTime(milliseconds(20));
  CHECK(StatusOf(exchange) == 503);
  CHECK(fixture.quotas.givenBack == 1);
}

TEST_CASE("attempts that may have run use the quota, others do not", "[runtime][forwarder]")
{
  struct Row
  {
    ForwardResult result;
    unsigned used;
  };
  const auto row = GENERATE(values<Row>({
    { ForwardResult::kAnswered, 1 },
    { ForwardResult::kNotRun, 0 },
    { ForwardResult::kNotOwner, 0 },
    { ForwardResult::kUnreachable, 0 },
    { ForwardResult::kConnectionRefused, 0 },
    { ForwardResult::kBroken, 1 },
    { ForwardResult::kTimedOut, 1 },
    { ForwardResult::kTooLarge, 1 },
  }));
  INFO(NameOf(kForwardResultNames, row.result));
  OrganisationFixture fixture;
  fixture.forwarder.SetRetryAllowance({ 0.0, seconds(10), 0.0 });
  fixture.selector.Remove("b", fixture.timers.now);
  const auto exchange = fixture.SendRequest(kAcme, "unsafe");
  REQUIRE(fixture.backends.sent.size() == 1);
  fixture.backends.Complete(0, row.result);
  fixture.AdvanceTime(seconds(2));
  CHECK(StatusOf(exchange) != 0);
  CHECK(fixture.quotas.open == 0);
  CHECK(fixture.quotas.used == row.used);
  CHECK(fixture.quotas.givenBack == (row.used == 0 ? 1 : 0));
}

TEST_CASE("each further attempt that may have run uses the quota once more", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  const auto exchange = fixture.SendRequest(kAcme);
  fixture.backends.Complete(0, ForwardResult::kBroken);
  // A claim that was granted covers the retry, whatever the quota's state is by then.
  fixture.quotas.state = QuotaState::kExceeded;
  fixture.AdvanceTime(milliseconds(20));
  REQUIRE(fixture.backends.sent.size() == 2);
  CHECK(fixture.quotas.used == 1);
  fixture.backends.Complete(1, ForwardResult::kAnswered);
  CHECK(StatusOf(exchange) == 200);
  CHECK(fixture.quotas.claims.size() == 1);
  CHECK(fixture.quotas.used == 2);
  CHECK(fixture.quotas.open == 0);
}

TEST_CASE("a hedge that is cancelled has used the quota", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  fixture.SendRequest(kAcme);
  fixture.AdvanceTime(milliseconds(300));
  REQUIRE(fixture.backends.sent.size() == 2);
  fixture.backends.Complete(1, ForwardResult::kAnswered);
  CHECK(fixture.backends.sent[0]->cancelled);
  CHECK(fixture.quotas.used == 2);
}

TEST_CASE("an abandoned request gives back its quota unless it was sent", "[runtime][forwarder]")
{
  const bool sent = GENERATE(false, true);
  INFO(sent);
  OrganisationFixture fixture;
  fixture.quotas.state = sent ? QuotaState::kGranted : QuotaState::kPending;
  const auto exchange = fixture.SendRequest(kAcme);
  REQUIRE(fixture.backends.sent.size() == (sent ? 1 : 0));
  exchange->abandoned();
  CHECK(fixture.quotas.open == 0);
  CHECK(fixture.quotas.used == (sent ? 1 : 0));
  CHECK(fixture.quotas.givenBack == (sent ? 0 : 1));
  // It is not sent when its quota is granted afterwards.
  fixture.quotas.state = QuotaState::kGranted;
  fixture.AdvanceTime(milliseconds(40));
  CHECK(fixture.backends.sent.size() == (sent ? 1 : 0));
}

// Guards against tickets that outlive the gate: calls that are open when a daemon ends keep their
// requests.
TEST_CASE("a forwarder that ends gives up all claims", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  {
    Forwarder ending({ fixture.routes,
                       fixture.selector,
                       fixture.backends,
                       fixture.headers,
                       fixture.ranges,
                       fixture.notices,
                       fixture.timers,
                       fixture.log,
                       fixture.metrics,
                       fixture.spans,
                       fixture.quotas },
                     { 0.2, seconds(10), 58.0 });
    for (unsigned n = 0; n < 6; ++n) {
      ending.OnRequest(fixture.MakeExchange(kAcme, "safe"));
    }
    CHECK(fixture.backends.sent.size() == 4);
    CHECK(fixture.quotas.open == 6);
  }
  CHECK(fixture.quotas.open == 0);
}

TEST_CASE("a request that finds no server gives back its quota", "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  fixture.selector.Remove("a", fixture.timers.now);
  fixture.selector.Remove("b", fixture.timers.now);
  const auto exchange = fixture.SendRequest(kAcme);
  fixture.AdvanceTime(seconds(2));
  CHECK(StatusOf(exchange) == 503);
  CHECK(fixture.quotas.givenBack == 1);
  CHECK(fixture.quotas.open == 0);
}

TEST_CASE("the 16 organisations with the highest limits have metrics of their own",
          "[runtime][forwarder]")
{
  OrganisationFixture fixture;
  std::vector<OrganisationRule> rules;
  for (unsigned n = 0; n < 20; ++n) {
    const std::string name = "o" + std::to_string(10 + n);
    rules.push_back(Organisation(name, "key-" + name, 100.0 + n));
  }
  rules.push_back(Organisation("a\"b\\", "key-unlimited"));
  fixture.Configure(2, rules);
  for (const OrganisationRule& it : rules) {
    const std::string key = it.name.front() == 'a' ? "key-unlimited" : "key-" + it.name;
    const auto exchange = fixture.SendRequest({ key });
    fixture.backends.Complete(fixture.backends.sent.size() - 1, ForwardResult::kAnswered);
    CHECK(StatusOf(exchange) == 200);
  }
  for (const std::string kind : { "requests", "served" }) {
    const std::string metric = "hawthornlug_organisation_" + kind + "_total{organisation=\"";
    CHECK(fixture.HasMetric(metric + "a\\\"b\\\\\"} 1"));
    CHECK(fixture.HasMetric(metric + "o15\"} 1"));
    CHECK(fixture.HasMetric(metric + "o29\"} 1"));
    CHECK(fixture.HasMetric(metric + "other\"} 5"));
    CHECK(fixture.metrics.Text().find(metric + "o14") == std::string::npos);
  }
}
