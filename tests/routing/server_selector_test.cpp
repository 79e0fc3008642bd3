/// @file
/// Selection of a server: free slots, own failure domain first, cold and failing servers.

#include "limits/request_cost.h"
#include "routing/choice_spread.h"
#include "routing/server_selector.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };

ServerEntry Entry(const std::string& aId, const std::string& aDomain)
{
  ServerEntry entry;
  entry.id = aId;
  entry.service = "s";
  entry.address = "127.0.0.1:1";
  entry.domain = aDomain;
  entry.slots = 3;
  return entry;
}

ServerRequirements Need()
{
  ServerRequirements need;
  need.service = "s";
  need.work = milliseconds(200);
  need.idempotent = true;
  need.targetLatency = milliseconds(600);
  need.timeToTarget = milliseconds(600);
  return need;
}

ForwardSample Sample(ForwardResult aResult, Duration aElapsed = milliseconds(200))
{
  ForwardSample sample;
  sample.result = aResult;
  sample.elapsed = aElapsed;
  sample.work = milliseconds(200);
  return sample;
}

/// A selector with one server in the daemon's own failure domain and one in another.
ServerSelector Selector()
{
  ServerSelector selector("home");
  selector.Put(Entry("near", "home"), kStart);
  selector.Put(Entry("far", "away"), kStart);
  selector.SetDaemonCounts({ { "home", 2 }, { "away", 2 } });
  return selector;
}

std::string ChosenServer(ServerSelector& aSelector,
                         const ServerRequirements& aNeed,
                         Instant aNow = kStart)
{
  const ServerChoice choice = aSelector.Choose(aNeed, aNow);
  return choice.server ? choice.server->id
                       : std::string(NameOf(kServerUnavailabilityNames, choice.unavailability));
}

} // namespace

TEST_CASE("servers of the own domain are chosen first, then others, then none when all are full",
          "[routing]")
{
  ServerSelector selector = Selector();
  std::vector<InFlightSlot> slots;
  for (const char* const it : { "near", "near", "near", "far", "far", "far" }) {
    const std::string id = ChosenServer(selector, Need());
    CHECK(id == it);
    slots.push_back(selector.Take(id, kStart));
  }
  CHECK(ChosenServer(selector, Need()) == "full");
  slots.erase(slots.begin());
  CHECK(ChosenServer(selector, Need()) == "near");
}

TEST_CASE("an in-flight slot is freed by release, move assignment and destruction, once each",
          "[routing]")
{
  ServerSelector selector = Selector();
  {
    InFlightSlot one = selector.Take("near", kStart);
    InFlightSlot two = std::move(one);
    CHECK(selector.InFlight().at(ServerSelector::HashedIdOf("near")) == 1);
    two = selector.Take("far", kStart);
    CHECK(selector.InFlight().count(ServerSelector::HashedIdOf("near")) == 0);
    two.Release();
    two.Release();
  }
  CHECK(selector.InFlight().empty());
}

TEST_CASE("in-flight counts of other daemons are used until they expire", "[routing]")
{
  ServerSelector selector = Selector();
  selector.SetPeerCounts("other", { { ServerSelector::HashedIdOf("near"), 3 } }, kStart);
  CHECK(ChosenServer(selector, Need()) == "far");
  CHECK(ChosenServer(selector, Need(), kStart + seconds(2)) == "near");
  selector.SetPeerCounts("other", {}, kStart);
  CHECK(ChosenServer(selector, Need()) == "near");
}

TEST_CASE("no new request goes to a server that is unavailable to it", "[routing]")
{
  ServerSelector selector = Selector();
  ServerRequirements need = Need();
  SECTION("the server is draining")
  {
    ServerEntry entry = Entry("near", "home");
    entry.state = ServerState::kDraining;
    selector.Put(entry, kStart);
    CHECK_FALSE(selector.IsOpen("near"));
  }
  SECTION("its failure domain is out of service")
  {
    selector.SetDomainsOutOfService({ "home" });
  }
  SECTION("the request was sent to it before")
  {
    need.triedServers = { "near" };
  }
  SECTION("it is deregistered")
  {
    selector.Remove("near", kStart);
  }
  CHECK(ChosenServer(selector, need) == "far");
}

TEST_CASE("a request for a key goes to the key's owner only", "[routing]")
{
  ServerSelector selector = Selector();
  ServerRequirements need = Need();
  need.owner = "far";
  CHECK(ChosenServer(selector, need) == "far");
  need.owner = "gone";
  CHECK(ChosenServer(selector, need) == "unknown");
}

TEST_CASE("a failing server gets trial requests only, and others again after its success",
          "[routing]")
{
  ServerSelector selector = Selector();
  Instant now = kStart;
  unsigned failures = 0;
  while (!selector.IsFailing("near", now)) {
    selector.OnResult("near", Sample(ForwardResult::kBroken), now);
    REQUIRE(++failures < 10);
  }
  CHECK(ChosenServer(selector, Need(), now) == "far");
  now += seconds(1);
  CHECK(selector.IsFailing("near", now));
  ServerRequirements nonIdempotent = Need();
  nonIdempotent.idempotent = false;
  CHECK(ChosenServer(selector, nonIdempotent, now) == "far");
  REQUIRE(ChosenServer(selector, Need(), now) == "near");
  const InFlightSlot slot = selector.Take("near", now);
  CHECK(ChosenServer(selector, Need(), now) == "far");
  for (unsigned n = 0; n < 10; ++n) {
    selector.OnResult("near", Sample(ForwardResult::kAnswered), now);
  }
  CHECK(ChosenServer(selector, Need(), now) == "near");
}

TEST_CASE("a slow server is chosen only when the fast one is full", "[routing]")
{
  ServerSelector selector("home");
  selector.Put(Entry("fast", "home"), kStart);
  selector.Put(Entry("slow", "home"), kStart);
  for (unsigned n = 0; n < 30; ++n) {
    selector.OnResult("slow", Sample(ForwardResult::kAnswered, milliseconds(1000)), kStart);
  }
  CHECK(selector.RelativeServiceTimeOf("slow", kStart) > 3.0);
  std::vector<InFlightSlot> slots;
  for (unsigned n = 0; n < 3; ++n) {
    CHECK(ChosenServer(selector, Need()) == "fast");
    slots.push_back(selector.Take("fast", kStart));
  }
  CHECK(ChosenServer(selector, Need()) == "slow");
}

TEST_CASE("daemons that know nothing of each other's requests choose different servers",
          "[routing]")
{
  constexpr unsigned kDaemons = 17;
  std::map<std::string, unsigned> requests;
  for (unsigned n = 0; n < kDaemons; ++n) {
    ServerSelector selector("home", "daemon-" + std::to_string(n));
    for (unsigned m = 0; m < 21; ++m) {
      selector.Put(Entry("server-" + std::to_string(m), "home"), kStart);
    }
    selector.Put(Entry("far", "away"), kStart);
    ++requests[ChosenServer(selector, Need())];
  }
  CHECK(requests["far"] == 0);
  for (const auto& [server, n] : requests) {
    INFO(server);
    // A server has three slots, and one request may wait there.
    CHECK(n <= 4);
  }
}

TEST_CASE("a cold server gets a request for each unexpired permit, and none without", "[routing]")
{
  ServerSelector selector("home");
  ServiceRule rule;
  rule.name = "s";
  rule.warmUpPerSecond = 2.4;
  selector.SetServiceRule(rule);
  selector.SetWarmUpAllowance(1.5, 5.0);
  ServerEntry entry = Entry("cold", "home");
  entry.warmUpLeft = seconds(3);
  selector.Put(entry, kStart);
  CHECK(selector.WarmUpLimitOf("cold") == Approx(2.4 * 1.5 + 5.0));
  REQUIRE(selector.ColdServers(kStart).size() == 1);
  CHECK(selector.Choose(Need(), kStart).unavailability == ServerUnavailability::kCold);
  selector.SetPermits("cold", 2, kStart + milliseconds(250));
  unsigned sent = 0;
  for (unsigned n = 0; n < 5; ++n) {
    if (selector.Choose(Need(), kStart).server) {
      const InFlightSlot slot = selector.Take("cold", kStart);
      ++sent;
    }
  }
  CHECK(sent == 2);
  selector.SetPermits("cold", 2, kStart + milliseconds(250));
  CHECK_FALSE(selector.Choose(Need(), kStart + milliseconds(250)).server.has_value());
  CHECK(selector.IsCold("cold", kStart + seconds(2)));
  CHECK_FALSE(selector.IsCold("cold", kStart + seconds(4)));
  // A server that is warm needs none.
  CHECK(selector.ColdServers(kStart + seconds(4)).empty());
  CHECK(selector.Choose(Need(), kStart + seconds(4)).server.has_value());
}

TEST_CASE("samples of one incarnation of a server don't apply to the next", "[routing]")
{
  ServerSelector selector("home");
  selector.Put(Entry("a", "home"), kStart);
  for (unsigned n = 0; n < 10; ++n) {
    selector.OnResult("a", Sample(ForwardResult::kBroken), kStart);
  }
  REQUIRE(selector.IsFailing("a", kStart));
  ServerEntry next = Entry("a", "home");
  next.incarnation = 2;
  selector.Put(next, kStart);
  CHECK_FALSE(selector.IsFailing("a", kStart));
}

TEST_CASE("all daemons together stay within a server's connection limit", "[routing]")
{
  struct Row
  {
    unsigned maxConnections;
    unsigned daemons;
    unsigned share;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 4, 16 },
    { 110, 9, 9 },
    { 51, 8, 5 },
    { 10, 4, 2 },
    { 130, 91, 1 },
    { 3, 100, 1 },
  }));
  ServerSelector selector = Selector();
  selector.SetDaemonCounts({ { "home", row.daemons } });
  ServiceRule rule;
  rule.name = "s";
  rule.maxConnections = row.maxConnections;
  selector.SetServiceRule(rule);
  CHECK(selector.MaxConnectionsTo("near") == row.share);
  CHECK(selector.MaxConnectionsTo("unknown") == 0);
  // Each request in flight needs a connection, so no more requests than connections are sent.
  std::vector<InFlightSlot> slots;
  const unsigned expected = std::min(row.share, 3U);
  for (unsigned n = 0; n < expected; ++n) {
    CHECK(ChosenServer(selector, Need()) == "near");
    slots.push_back(selector.Take("near", kStart));
  }
  CHECK(ChosenServer(selector, Need()) == "far");
}

TEST_CASE("a request waits at a full server only if slots become free fast", "[routing]")
{
  struct Row
  {
    Duration work;
    std::string chosen;
  };
  const auto row = GENERATE(values<Row>({
    { milliseconds(60), "near" },
    { milliseconds(140), "near" },
    { milliseconds(220), "full" },
    { milliseconds(880), "full" },
  }));
  ServerSelector selector("home");
  selector.Put(Entry("near", "home"), kStart);
  ServerRequirements need = Need();
  need.work = row.work;
  std::vector<InFlightSlot> slots;
  for (int n = 0; n < 3; ++n) {
    CHECK(ChosenServer(selector, need) == "near");
    slots.push_back(selector.Take("near", kStart));
  }
  CHECK(ChosenServer(selector, need) == row.chosen);
  // At most one request waits there, and none does while another server has room.
  slots.push_back(selector.Take("near", kStart));
  CHECK(ChosenServer(selector, need) == "full");
  selector.Put(Entry("far", "away"), kStart);
  slots.pop_back();
  CHECK(ChosenServer(selector, need) == "far");
}

namespace {

/// A selector with one owner of keys, whose circuit breaker is open.
ServerSelector FailingOwner(bool aContention, ForwardResult aLast)
{
  ServerSelector selector("home");
  ServiceRule rule;
  rule.name = "s";
  rule.keyed = true;
  selector.SetServiceRule(rule);
  ServerEntry owner = Entry("owner", "home");
  owner.slots = 4;
  selector.Put(owner, kStart);
  selector.SetContention(aContention);
  for (unsigned n = 0; n < 10; ++n) {
    selector.OnResult("owner", Sample(ForwardResult::kBroken), kStart);
  }
  selector.OnResult("owner", Sample(aLast), kStart);
  REQUIRE(selector.IsFailing("owner", kStart));
  return selector;
}

/// A selector with shared speeds and estimates, with the servers of Selector().
struct CostFixture
{
  CostFixture()
  {
    selector.ShareSpeeds(speeds);
    selector.UseEstimates(cost);
    selector.Put(Entry("near", "home"), kStart);
    selector.Put(Entry("far", "away"), kStart);
    selector.SetDaemonCounts({ { "home", 2 }, { "away", 2 } });
  }

  /// Makes the answers of the other domain known, so that its load is.
  void ReportLoad(const std::string& aId)
  {
    ForwardSample sample = Sample(ForwardResult::kAnswered);
    sample.load = LoadReport{ 0, 0, 3, 1.0 };
    selector.OnResult(aId, sample, kStart);
  }

  void LearnSpeeds(double aNear, double aFar)
  {
    speeds.Add({ { ServerSelector::HashedIdOf("near"), { 1000, 1000 * aNear } },
                 { ServerSelector::HashedIdOf("far"), { 1000, 1000 * aFar } } },
               kStart);
  }

  static ServerRequirements NeedOf(std::size_t aBytes)
  {
    ServerRequirements need = Need();
    need.expectedBytes = aBytes;
    return need;
  }

  ServerSpeeds speeds;
  RequestCost cost;
  ServerSelector selector{ "home" };
};

} // namespace

// Guards against an open circuit breaker that makes the keys of an owner unavailable, and against
// requests for an owner that can't be reached.
TEST_CASE("an owner that can be reached gets half of its slots while its circuit breaker is open",
          "[routing][contention]")
{
  struct Row
  {
    bool contention;
    ForwardResult last;
    unsigned sent;
  };
  const auto row = GENERATE(values<Row>({
    { false, ForwardResult::kNotRun, 0 },
    { true, ForwardResult::kNotRun, 2 },
    { true, ForwardResult::kBroken, 2 },
    { true, ForwardResult::kTimedOut, 2 },
    { true, ForwardResult::kConnectionRefused, 0 },
    { true, ForwardResult::kUnreachable, 0 },
  }));
  INFO(row.contention << " " << NameOf(kForwardResultNames, row.last));
  ServerSelector selector = FailingOwner(row.contention, row.last);
  ServerRequirements need = Need();
  need.owner = "owner";
  need.idempotent = false;
  std::vector<InFlightSlot> slots;
  while (slots.size() < 5 && selector.Choose(need, kStart).server) {
    slots.push_back(selector.Take("owner", kStart));
  }
  CHECK(slots.size() == row.sent);
  CHECK(selector.Choose(need, kStart).unavailability ==
        (row.sent > 0 ? ServerUnavailability::kFull : ServerUnavailability::kFailing));
}

// Guards against requests without keys that are sent to a failing server though others are well.
TEST_CASE("an open circuit breaker still keeps requests without an owner away",
          "[routing][contention]")
{
  ServerSelector selector = FailingOwner(true, ForwardResult::kNotRun);
  ServerRequirements need = Need();
  need.idempotent = false;
  CHECK(selector.Choose(need, kStart).unavailability == ServerUnavailability::kFailing);
}

TEST_CASE("the room of a service is that of its open servers", "[routing][contention]")
{
  ServerSelector selector = Selector();
  const InFlightSlot slot = selector.Take("near", kStart);
  const ServerRoom near = selector.RoomOf("near", milliseconds(200), kStart);
  CHECK(near.slots == 3);
  CHECK(near.outstanding == 1);
  CHECK(near.perSecond == Approx(15.0));
  CHECK(selector.RoomOfService("s", milliseconds(200), kStart).slots == 6);
  CHECK(selector.RoomOfService("s", milliseconds(200), kStart).outstanding == 1);
  selector.SetDomainsOutOfService({ "away" });
  CHECK(selector.RoomOfService("s", milliseconds(200), kStart).slots == 3);
  CHECK(selector.RoomOf("gone", milliseconds(200), kStart).slots == 0);
  CHECK(selector.RoomOfService("gone", milliseconds(200), kStart).slots == 0);
}

TEST_CASE("shared speeds decide the relative service time, not this daemon's samples alone",
          "[routing][speeds]")
{
  CostFixture it;
  it.LearnSpeeds(1.5, 0.5);
  CHECK(it.selector.RelativeServiceTimeOf("near", kStart) == Approx(1.5).epsilon(0.1));
  CHECK(it.selector.RelativeServiceTimeOf("far", kStart) == Approx(0.5).epsilon(0.1));
}

// Guards against samples that say nothing about a server's lasting speed.
TEST_CASE("only usual samples with a measured estimate are shared", "[routing][speeds]")
{
  CostFixture it;
  ForwardSample sample = Sample(ForwardResult::kAnswered, milliseconds(400));
  it.selector.OnResult("near", sample, kStart);
  CHECK(it.speeds.TakeOwnSums().empty());
  sample.workIsMeasured = true;
  sample.slowWhenSent = true;
  it.selector.OnResult("near", sample, kStart);
  sample.slowWhenSent = false;
  sample.load = LoadReport{ 0, 0, 3, 3.0 };
  it.selector.OnResult("near", sample, kStart);
  sample.load->slowness = 1.0;
  sample.outstanding = 3;
  it.selector.OnResult("near", sample, kStart);
  sample.outstanding = 0;
  sample.failed = true;
  it.selector.OnResult("near", sample, kStart);
  CHECK(it.speeds.TakeOwnSums().empty());
  sample.failed = false;
  it.selector.OnResult("near", sample, kStart);
  CHECK(it.speeds.TakeOwnSums().size() == 1);
}

TEST_CASE("a small request crosses to a faster domain, a large one stays while it is in time",
          "[routing][cost]")
{
  CostFixture it;
  it.LearnSpeeds(1.5, 0.5);
  it.ReportLoad("far");
  CHECK(ChosenServer(it.selector, CostFixture::NeedOf(400)) == "far");
  CHECK(ChosenServer(it.selector, CostFixture::NeedOf(90000)) == "near");
  ServerRequirements late = CostFixture::NeedOf(90000);
  late.timeToTarget = milliseconds(200);
  CHECK(ChosenServer(it.selector, late) == "far");
  // Before the first answer the size is not known, and the cost is that of the feature's absence.
  CHECK(ChosenServer(it.selector, Need()) == "near");
}

TEST_CASE("a large request waits for its own domain only while that can answer soon",
          "[routing][cost]")
{
  CostFixture it;
  std::vector<InFlightSlot> slots;
  slots.reserve(4);
  for (int n = 0; n < 3; ++n) {
    slots.push_back(it.selector.Take("near", kStart, { "r", milliseconds(30) }));
  }
  ServerRequirements need = CostFixture::NeedOf(90000);
  need.work = milliseconds(30);
  need.idempotent = true;
  // The slots become free fast enough for one request to wait at the server.
  CHECK(ChosenServer(it.selector, need) == "near");
  slots.push_back(it.selector.Take("near", kStart, { "r", milliseconds(30) }));
  CHECK(ChosenServer(it.selector, need) == "full");
  need.timeToTarget = milliseconds(60);
  CHECK(ChosenServer(it.selector, need) == "far");
}

TEST_CASE("outstanding work counts in time: long requests make a server wait longer",
          "[routing][cost]")
{
  CostFixture it;
  std::vector<InFlightSlot> slots;
  for (int n = 0; n < 3; ++n) {
    slots.push_back(it.selector.Take("near", kStart, { "r", milliseconds(20) }));
    slots.push_back(it.selector.Take("far", kStart, { "r", milliseconds(900) }));
  }
  ServerRequirements need = CostFixture::NeedOf(0);
  need.work = milliseconds(30);
  const ServerChoice near = it.selector.Choose(need, kStart);
  REQUIRE(near.server);
  CHECK(near.server->id == "near");
  CHECK(near.completion < milliseconds(45));
  SECTION("released slots leave no work behind")
  {
    slots.clear();
    CHECK(it.selector.Choose(need, kStart).completion == milliseconds(30));
  }
}

TEST_CASE("the spread of choices grows with the share of taken slots", "[routing][cost]")
{
  CHECK(ChoiceSpread(0, 40) == Approx(0.0));
  CHECK(ChoiceSpread(20, 40) == Approx(2.0));
  CHECK(ChoiceSpread(40, 40) <= 6.0);
  CHECK(ChoiceSpread(0, 0) == Approx(0.0));
}

TEST_CASE("remaining work falls with the time that requests have run", "[routing][cost]")
{
  RequestCost cost;
  RequestTraits traits{ "r", "s", "GET", 0, std::nullopt };
  for (int n = 0; n < 100; ++n) {
    cost.OnServed(traits, { milliseconds(100), 1.0, milliseconds(100), 0, false });
  }
  OutstandingWork work;
  const std::uint64_t one = work.Add({ "r", milliseconds(100) }, 1.0, kStart);
  work.Add({ "r", milliseconds(100) }, 2.0, kStart);
  const Duration before = work.Remaining(cost, kStart);
  CHECK(InSeconds(before) == Approx(0.2).epsilon(0.1));
  const Duration after = work.Remaining(cost, kStart + milliseconds(80));
  CHECK(InSeconds(after) == Approx(0.08).margin(0.03));
  work.Remove(one);
  CHECK(work.Requests() == 1);
  CHECK(TimeToFreeSlot(2, 4, milliseconds(100)) == Duration::zero());
  CHECK(InSeconds(TimeToFreeSlot(4, 4, milliseconds(400))) == Approx(0.025).epsilon(0.001));
  CHECK(InSeconds(TimeToFreeSlot(7, 4, milliseconds(700))) == Approx(0.1).epsilon(0.001));
}
