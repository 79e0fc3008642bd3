/// @file
/// A daemon's account and a keeper's pool of the organisations' quotas, each by itself.

#include "limits/quota_account.h"
#include "limits/quota_pool.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr OrganisationNumber kCustomer = 7;
constexpr Duration kTokenTime = milliseconds(500);

/// An account whose reports are answered as a test says.
struct AccountFixture
{
  AccountFixture() { account.SetLimits({ { kCustomer, { 10.0, 10.0 } } }); }

  std::unique_ptr<QuotaTicket> Claim() { return account.Claim(kCustomer, now); }
  QuotaDemand Report()
  {
    const QuotaDemands demands = account.Demands(now);
    reportedAt = now;
    const auto it = demands.find(kCustomer);
    return it == demands.end() ? QuotaDemand() : it->second;
  }
  bool Answer(const QuotaGrant& aGrant)
  {
    return account.OnGrants({ { kCustomer, aGrant } }, reportedAt + kTokenTime, now);
  }
  /// Reports a claim that is withdrawn afterwards, and gets tokens at once.
  void Get(std::uint32_t aTokens)
  {
    const auto claim = Claim();
    Report();
    Answer({ aTokens, false, {} });
  }

  QuotaAccount account;
  Instant now{ seconds(100) };
  Instant reportedAt;
};

/// A pool that daemons of the given names report to; each lends an equal share.
struct PoolFixture
{
  explicit PoolFixture(QuotaLimit aLimit = { 100.0, 20.0 })
  {
    pool.SetLimits({ { kCustomer, aLimit } }, now);
  }

  void Report(const std::string& aMember, const QuotaDemand& aDemand, double aShare = 0.5)
  {
    const Instant answeredAt = sequences[aMember] == 0 ? Instant() : answered[aMember];
    pool.OnReport({ aMember, 1 },
                  { ++sequences[aMember], aShare, answeredAt },
                  { { kCustomer, aDemand } },
                  now);
  }
  /// Hands out, and returns what each member is granted.
  std::map<std::string, QuotaGrant> HandOut()
  {
    std::map<std::string, QuotaGrant> grants;
    for (const QuotaPoolAnswer& it : pool.TakeAnswers(now)) {
      answered[it.member.id] = now;
      if (it.grants.contains(kCustomer)) {
        grants[it.member.id] = it.grants.at(kCustomer);
      }
    }
    return grants;
  }
  /// Members "a" and "b" without demand lend their shares for a while.
  void Lend(Duration aTime)
  {
    for (const Instant end = now + aTime; now < end; now += milliseconds(100)) {
      Report("a", {});
      Report("b", {});
      HandOut();
    }
  }

  QuotaPool pool{ { milliseconds(600), kTokenTime } };
  Instant now{ seconds(100) };
  std::map<std::string, std::uint64_t> sequences;
  std::map<std::string, Instant> answered;
};

} // namespace

TEST_CASE_METHOD(AccountFixture, "a first request waits for the pool", "[limits][quota]")
{
  const auto ticket = Claim();
  CHECK(ticket->State(now) == QuotaState::kPending);
  CHECK(account.IsUrgent());
  const QuotaDemand demand = Report();
  CHECK(demand.waiting == 1);
  CHECK(demand.wanted == 1);
  CHECK_FALSE(account.IsUrgent());
  CHECK(Answer({ 1, false, {} }));
  CHECK(ticket->State(now) == QuotaState::kGranted);
}

TEST_CASE_METHOD(AccountFixture,
                 "a request that no pool answers ends as unknown",
                 "[limits][quota]")
{
  const auto ticket = Claim();
  now += milliseconds(499);
  CHECK(ticket->State(now) == QuotaState::kPending);
  now += milliseconds(1);
  CHECK(ticket->State(now) == QuotaState::kUnknown);
  CHECK(ticket->RetryAfter(now) > Duration::zero());
  // It does not take a token that arrives later.
  CHECK(Report().waiting == 0);
}

TEST_CASE_METHOD(AccountFixture,
                 "an exhausted quota rejects at once for a while",
                 "[limits][quota]")
{
  const auto waiting = Claim();
  Report();
  CHECK(Answer({ 0, true, milliseconds(300) }));
  CHECK(waiting->State(now) == QuotaState::kExceeded);
  CHECK(waiting->RetryAfter(now) == milliseconds(300));
  now += milliseconds(100);
  const auto second = Claim();
  CHECK(second->State(now) == QuotaState::kExceeded);
  CHECK(second->RetryAfter(now) == milliseconds(200));
  // The pool learns of what was rejected.
  CHECK(Report().waiting == 1);
  CHECK(Report().waiting == 0);
  now += kQuotaExhaustedMemory;
  CHECK(Claim()->State(now) == QuotaState::kPending);
}

TEST_CASE_METHOD(AccountFixture,
                 "a token that was not used serves the next request",
                 "[limits][quota]")
{
  Get(1);
  auto ticket = Claim();
  CHECK(ticket->State(now) == QuotaState::kGranted);
  ticket->MarkUsed(now);
  ticket.reset();
  CHECK(Claim()->State(now) == QuotaState::kPending);
  CHECK(Report().used == 1);
}

TEST_CASE_METHOD(AccountFixture, "tokens expire by the time of the report", "[limits][quota]")
{
  auto claim = Claim();
  Report();
  now += milliseconds(400);
  // The answer comes late: the pool considers the tokens expired soon.
  Answer({ 1, false, {} });
  CHECK(claim->State(now) == QuotaState::kGranted);
  claim.reset();
  CHECK(Claim()->State(now) == QuotaState::kGranted);
  now += milliseconds(100);
  CHECK(Claim()->State(now) == QuotaState::kPending);
  CHECK(Report().held == 0);
}

TEST_CASE_METHOD(AccountFixture,
                 "further attempts of a request go into debt once",
                 "[limits][quota]")
{
  const auto ticket = Claim();
  Get(1);
  ticket->MarkUsed(now);
  ticket->MarkUsed(now);
  const QuotaDemand demand = Report();
  CHECK(demand.used == 2);
  CHECK(demand.held == 0);
  // The pool has charged itself, so that the grant is whole.
  Answer({ 1, false, {} });
  CHECK(Claim()->State(now) == QuotaState::kGranted);
}

TEST_CASE_METHOD(AccountFixture,
                 "a granted request whose token expired asks for another",
                 "[limits][quota]")
{
  const auto ticket = Claim();
  Get(1);
  account.DropTokens();
  CHECK(ticket->State(now) == QuotaState::kGranted);
  const QuotaDemand demand = Report();
  CHECK(demand.held == 0);
  CHECK(demand.waiting == 1);
  Answer({ 1, false, {} });
  // The new token is the granted request's.
  CHECK(Claim()->State(now) == QuotaState::kPending);
}

TEST_CASE_METHOD(AccountFixture, "changed limits take effect at once", "[limits][quota]")
{
  Get(5);
  SECTION("a lowered limit drops tokens")
  {
    CHECK(account.SetLimits({ { kCustomer, { 5.0, 10.0 } } }));
    CHECK(Claim()->State(now) == QuotaState::kPending);
  }
  SECTION("a raised limit ends the rejections")
  {
    Report();
    Answer({ 0, true, seconds(1) });
    account.DropTokens();
    CHECK(Claim()->State(now) == QuotaState::kExceeded);
    CHECK_FALSE(account.SetLimits({ { kCustomer, { 20.0, 20.0 } } }));
    CHECK(Claim()->State(now) == QuotaState::kPending);
  }
  SECTION("an organisation without a limit is granted, also what waits")
  {
    account.DropTokens();
    const auto waiting = Claim();
    account.SetLimits({});
    CHECK(waiting->State(now) == QuotaState::kGranted);
    CHECK(Claim()->State(now) == QuotaState::kGranted);
    CHECK(Report().wanted == 0);
    waiting->MarkUsed(now);
  }
}

TEST_CASE_METHOD(PoolFixture, "a pool starts empty and fills up to the burst", "[limits][quota]")
{
  Report("a", { 0, 0, 100, 100 });
  CHECK(HandOut()["a"].granted == 0);
  Lend(seconds(5));
  CHECK(pool.Share() == Approx(1.0));
  Report("a", { 0, 0, 100, 100 });
  CHECK(HandOut()["a"].granted == 20);
  // What members hold counts, so that nothing more arises while the tokens are held.
  now += milliseconds(100);
  Report("a", { 0, 20, 100, 100 });
  CHECK(HandOut()["a"].granted == 0);
  // What was spent arises again, at the rate.
  now += milliseconds(100);
  Report("a", { 20, 0, 100, 100 });
  HandOut();
  now += milliseconds(100);
  Report("a", { 20, 0, 100, 100 });
  CHECK(HandOut()["a"].granted == 10);
}

// Guards against callers that are all rejected after a restart of the fleet, and against a pool
// that hands out more than is tolerated because its members come and go.
TEST_CASE_METHOD(PoolFixture,
                 "a pool starts with a part of the tolerated excess",
                 "[limits][quota]")
{
  pool.SetTolerance({ seconds(5), 0.1, 20.0 });
  pool.SetLimits({ { kCustomer, { 100.0, 200.0 } } }, now);
  // A quarter of 0.1 x (100 x 5 + 200) + 20.
  constexpr std::uint32_t kStart = 22;
  Lend(milliseconds(200));
  Report("a", { 0, 0, 100, 100 });
  const std::uint32_t first = HandOut()["a"].granted;
  CHECK(first >= kStart);
  CHECK(first <= kStart + 100 * 0.3);
  // The share is taken back and lent again.
  now += seconds(1);
  Lend(milliseconds(200));
  Report("a", { first, 0, 100, 100 });
  CHECK(HandOut()["a"].granted <= kStart * 0.3 + 100 * 0.3);
}

TEST_CASE_METHOD(PoolFixture, "granted tokens that were lost return", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 20, 20 });
  CHECK(HandOut()["a"].granted == 20);
  Report("a", { 0, 0, 20, 20 });
  CHECK(HandOut()["a"].granted == 20);
}

TEST_CASE_METHOD(PoolFixture, "tokens of a silent member count as spent", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 20, 20 });
  HandOut();
  for (unsigned n = 0; n < 5; ++n) {
    now += milliseconds(100);
    Report("b", { 0, 0, 100, 100 });
    // Until they expire they leave no room for others.
    CHECK(HandOut()["b"].granted == 0);
  }
  now += milliseconds(100);
  Report("b", { 0, 0, 100, 100 });
  CHECK(HandOut()["b"].granted < 10);
}

TEST_CASE_METHOD(PoolFixture, "a debt is charged", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 1, 1 });
  HandOut();
  Report("a", { 11, 0, 0, 0 });
  HandOut();
  Report("b", { 0, 0, 100, 100 });
  CHECK(HandOut()["b"].granted == 9);
}

TEST_CASE_METHOD(PoolFixture,
                 "a member that was elsewhere is not charged for it",
                 "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 1, 1 });
  HandOut();
  // A report that names no answer is the first to this keeper since another one was used.
  sequences["a"] += 100;
  pool.OnReport({ "a", 1 }, { 200, 0.5, Instant() }, { { kCustomer, { 500, 0, 0, 0 } } }, now);
  Report("b", { 0, 0, 100, 100 });
  CHECK(HandOut()["b"].granted == 19);
}

TEST_CASE_METHOD(PoolFixture, "members get equal parts of scarce tokens", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 1000, 1000 });
  Report("b", { 0, 0, 1000, 1000 });
  Report("c", { 0, 0, 3, 3 });
  auto grants = HandOut();
  CHECK(grants["c"].granted == 3);
  CHECK(grants["a"].granted + grants["b"].granted == 17);
  CHECK(std::max(grants["a"].granted, grants["b"].granted) == 9);
  // Single tokens go to all in turn.
  std::map<std::string, unsigned> sums;
  std::map<std::string, std::uint64_t> used = { { "a", grants["a"].granted },
                                                { "b", grants["b"].granted } };
  for (unsigned n = 0; n < 100; ++n) {
    now += milliseconds(10);
    for (const std::string& it : { std::string("a"), std::string("b") }) {
      Report(it, { used[it], 0, 1000, 1000 });
    }
    grants = HandOut();
    for (const auto& [member, grant] : grants) {
      sums[member] += grant.granted;
      used[member] += grant.granted;
    }
  }
  CHECK(sums["a"] + sums["b"] >= 95);
  CHECK(std::abs(static_cast<int>(sums["a"]) - static_cast<int>(sums["b"])) <= 2);
}

TEST_CASE_METHOD(PoolFixture, "what is asked for in advance leaves a reserve", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 100, 0 });
  auto grants = HandOut();
  CHECK(grants["a"].granted == 10);
  CHECK_FALSE(grants["a"].exhausted);
  Report("b", { 0, 0, 4, 4 });
  CHECK(HandOut()["b"].granted == 4);
}

TEST_CASE_METHOD(PoolFixture, "an exhausted pool says when there will be tokens", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 70, 70 });
  const QuotaGrant grant = HandOut()["a"];
  CHECK(grant.granted == 20);
  CHECK(grant.exhausted);
  // 50 requests at 100 a second.
  CHECK(Millis(grant.retryAfter) == 500);
}

TEST_CASE_METHOD(PoolFixture, "a pool without a share does not know", "[limits][quota]")
{
  Report("a", { 0, 0, 1, 1 }, 0.0);
  CHECK_FALSE(HandOut()["a"].exhausted);
}

TEST_CASE_METHOD(PoolFixture, "a loan ends a fixed time after the answer", "[limits][quota]")
{
  Lend(seconds(2));
  const Instant lastAnswer = now - milliseconds(100);
  now = lastAnswer + milliseconds(599);
  // These reports were delayed; they extend nothing beyond the answer that they name.
  Report("a", {});
  Report("b", {});
  pool.TakeAnswers(now);
  CHECK(pool.Share() == Approx(1.0));
  now = lastAnswer + milliseconds(600);
  pool.TakeAnswers(now);
  CHECK(pool.Share() == 0.0);
}

TEST_CASE_METHOD(PoolFixture, "a paused pool gains nothing after its loans", "[limits][quota]")
{
  Lend(seconds(2));
  Report("a", { 0, 0, 20, 20 });
  HandOut();
  now += seconds(10);
  Report("a", { 20, 0, 100, 100 });
  CHECK(HandOut()["a"].granted == 0);
}

TEST_CASE_METHOD(PoolFixture, "a changed limit takes effect in the pool at once", "[limits][quota]")
{
  Lend(seconds(2));
  pool.SetLimits({ { kCustomer, { 100.0, 5.0 } } }, now);
  Report("a", { 0, 0, 100, 100 });
  CHECK(HandOut()["a"].granted == 5);
  pool.SetLimits({ { kCustomer, { 1000.0, 50.0 } } }, now);
  now += milliseconds(20);
  Report("a", { 5, 0, 100, 100 });
  CHECK(HandOut()["a"].granted >= 20);
}

TEST_CASE_METHOD(PoolFixture, "a pool that lends passes on what it is granted", "[limits][quota]")
{
  pool.SetLent(true, now);
  Lend(seconds(2));
  Report("a", { 0, 0, 8, 8 });
  auto grants = HandOut();
  CHECK(grants["a"].granted == 0);
  // Nothing is known yet, so that the request waits.
  CHECK_FALSE(grants["a"].exhausted);
  CHECK(pool.IsUrgent());
  QuotaDemand demand = pool.Demands(now)[kCustomer];
  CHECK(demand.waiting == 8);
  pool.OnGrants({ { kCustomer, { 5, true, milliseconds(700) } } }, now + kTokenTime, now);
  grants = HandOut();
  CHECK(grants["a"].granted == 5);
  CHECK(grants["a"].exhausted);
  CHECK(grants["a"].retryAfter == milliseconds(700));
  Report("a", { 2, 3, 0, 0 });
  demand = pool.Demands(now)[kCustomer];
  CHECK(demand.used == 2);
  CHECK(demand.held == 3);
  // The other pool has to know of the requests that were rejected.
  CHECK(demand.waiting == 3);
}

TEST_CASE("answers are accepted only to the latest report and from the keeper", "[limits][quota]")
{
  Instant now{ seconds(100) };
  const Instant keeperClock{ seconds(7) };
  QuotaLink link(milliseconds(1000), 0);
  link.Use("k1", now);
  const QuotaReportHead first = link.Report(0.5, now);
  CHECK(first.share == 0.5);
  CHECK(first.answeredAt == Instant());
  const QuotaReportHead second = link.Report(0.5, now);
  CHECK_FALSE(link.Accept("k1", first.sequence, keeperClock, now));
  CHECK_FALSE(link.Accept("k2", second.sequence, keeperClock, now));
  CHECK_FALSE(link.IsLent(now));
  CHECK(link.Accept("k1", second.sequence, keeperClock, now));
  CHECK(link.IsLent(now));
  // Tokens expire here before the keeper, which counts from the receipt of the report, returns
  // them.
  CHECK(link.TokensUntil() == now + kTokenTime);
  CHECK(link.Report(0.5, now).answeredAt == keeperClock);
  // The share is not lent to another keeper before the first one's loan has ended.
  CHECK(link.Use("k2", now));
  CHECK(link.IsLent(now));
  CHECK(link.Report(0.5, now).share == 0.0);
  now += milliseconds(1000);
  CHECK_FALSE(link.IsLent(now));
  CHECK(link.Report(0.5, now).share == 0.5);
}
