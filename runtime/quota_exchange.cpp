#include "runtime/quota_exchange.h"

#include "core/hashing.h"

#include <algorithm>
#include <set>

namespace hawthornlug {

namespace {

constexpr const char* kKeeperRole = "quota-keepers";
/// Number of daemons of each failure domain, and of all, that are tried before a daemon keeps a
/// pool by itself.
constexpr unsigned kKeepersPerDomain = 2;
constexpr unsigned kFleetKeepers = 3;
/// Intervals of reports: while requests wait for tokens, while there is demand, and otherwise.
constexpr Duration kUrgentInterval = milliseconds(40);
constexpr Duration kDemandInterval = milliseconds(100);
constexpr Duration kIdleInterval = milliseconds(250);
/// How long after an answer the loan counts that the next report states. A domain's pool needs
/// several idle intervals to bridge a lost message; the fleet's pool is reported to more often.
constexpr Duration kDomainLoanTime = milliseconds(600);
constexpr Duration kFleetLoanTime = milliseconds(500);
/// A lender considers its share lent for longer than the keeper does, since clocks differ in speed
/// and the pool of the fleet may count a share that a domain's pool has just lost.
constexpr Duration kLoanMargin = milliseconds(50);
constexpr Duration kAccountLendTime = kDomainLoanTime + kFleetLoanTime + kLoanMargin;
constexpr Duration kPoolLendTime = kFleetLoanTime + kLoanMargin;
/// How long after its latest report a daemon may spend tokens, by the keeper's clock. Tokens of a
/// domain's pool may be passed on until they expire, and are then valid as long again.
constexpr Duration kTokenTime = milliseconds(500);
/// A keeper that has answered nothing for this long is replaced...
constexpr Duration kKeeperSilence = milliseconds(700);
/// ...and not preferred again for this long.
constexpr Duration kKeeperAvoidance = seconds(3);
/// After its start a daemon does not know how many others there are.
constexpr Duration kSettleTime = milliseconds(1200);

} // namespace

QuotaExchange::QuotaExchange(DaemonRef aSelf,
                             SendFunction aSend,
                             DecisionLog& aLog,
                             Metrics& aMetrics,
                             Instant aStartedAt)
  : mSelf(std::move(aSelf))
  , mSend(std::move(aSend))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mStartedAt(aStartedAt)
  , mDomainChoice(mSelf.id, { 1, kKeeperSilence, kKeeperAvoidance })
  , mFleetChoice(mSelf.id, { 1, kKeeperSilence, kKeeperAvoidance })
  , mAccountLink(kAccountLendTime,
                 static_cast<std::uint64_t>(aStartedAt.time_since_epoch().count()))
  , mPoolLink(kPoolLendTime, static_cast<std::uint64_t>(aStartedAt.time_since_epoch().count()))
  , mDomainPool({ kDomainLoanTime, kTokenTime })
  , mFleetPool({ kFleetLoanTime, 2 * kTokenTime })
{
  SetCandidates({}, {});
}

void QuotaExchange::SetTolerance(const QuotaTolerance& aTolerance)
{
  mDomainPool.SetTolerance(aTolerance);
  mFleetPool.SetTolerance(aTolerance);
}

void QuotaExchange::SetLimits(const std::map<std::string, QuotaLimit>& aLimits, Instant aNow)
{
  mNumbers.clear();
  QuotaLimits limits;
  for (const auto& [name, limit] : aLimits) {
    if (limit.ratePerSecond <= 0.0) {
      continue;
    }
    auto number = static_cast<OrganisationNumber>(HashOf(name));
    // Names are taken in their order, so that all daemons give the second of two that have the same
    // number the same other one.
    while (limits.contains(number)) {
      ++number;
    }
    // A burst below one request would never let any pass.
    limits[number] = { limit.ratePerSecond, std::max(limit.burst, 1.0) };
    mNumbers[name] = number;
  }
  mLog.Write(EventId::kQuotaLimits, { { "organisations", mNumbers.size() } });
  // Answers under way were given by the higher limit.
  if (mAccount.SetLimits(limits)) {
    mAccountLink.DiscardAnswers();
  }
  if (mDomainPool.SetLimits(limits, aNow)) {
    mPoolLink.DiscardAnswers();
  }
  mFleetPool.SetLimits(limits, aNow);
}

void QuotaExchange::SetCandidates(RelayChoice& aChoice, std::vector<std::string> aCandidates) const
{
  if (std::find(aCandidates.begin(), aCandidates.end(), mSelf.id) == aCandidates.end()) {
    aCandidates.push_back(mSelf.id);
  }
  aChoice.SetCandidates(std::move(aCandidates));
}

void QuotaExchange::SetCandidates(const std::string& aOwnDomain,
                                  const std::vector<RoleCandidate>& aCandidates)
{
  auto ranked = RankedByDomain(kKeeperRole, aCandidates, kKeepersPerDomain);
  const std::set<std::string> firsts = FirstOfEachDomain(kKeeperRole, aCandidates, 1);
  std::vector<RoleCandidate> ofFleet;
  for (const RoleCandidate& it : aCandidates) {
    if (firsts.contains(it.id)) {
      ofFleet.push_back({ it.id, {}, it.power });
    }
  }
  SetCandidates(mDomainChoice, std::move(ranked[aOwnDomain]));
  SetCandidates(mFleetChoice, std::move(RankedByDomain(kKeeperRole, ofFleet, kFleetKeepers)[{}]));
}

double QuotaExchange::OwnShare(Instant aNow) const
{
  return aNow - mStartedAt < kSettleTime ? 0.0 : 1.0 / std::max(1U, mDaemons);
}

void QuotaExchange::ChooseKeeper(QuotaLevel aLevel,
                                 RelayChoice& aChoice,
                                 QuotaLink& aLink,
                                 Instant aNow)
{
  // This daemon, which is never silent, is one of the candidates.
  const std::string keeper = aChoice.Choose(aNow).front();
  const std::string before = aLink.Keeper();
  if (!aLink.Use(keeper, aNow)) {
    return;
  }
  mLog.Write(
    EventId::kQuotaKeeper,
    { { "pool", NameOf(kQuotaLevelNames, aLevel) }, { "keeper", keeper }, { "before", before } });
  if (aLevel == QuotaLevel::kDomain) {
    mAccount.DropTokens();
  } else {
    mDomainPool.DropTokens();
  }
}

bool QuotaExchange::Tick(Instant aNow)
{
  if (mNumbers.empty()) {
    return false;
  }
  mDecided = false;
  ChooseKeeper(QuotaLevel::kDomain, mDomainChoice, mAccountLink, aNow);
  ReportToDomain(aNow);
  if (mDomainPool.HasMembers()) {
    ChooseKeeper(QuotaLevel::kFleet, mFleetChoice, mPoolLink, aNow);
    mDomainPool.SetLent(mPoolLink.IsLent(aNow), aNow);
    AnswerMembers(QuotaLevel::kDomain, mDomainPool, aNow);
    ReportToFleet(aNow);
  }
  if (mFleetPool.HasMembers()) {
    AnswerMembers(QuotaLevel::kFleet, mFleetPool, aNow);
  }
  mMetrics.Set("quota_domain_pool_share", mDomainPool.Share());
  mMetrics.Set("quota_fleet_pool_share", mFleetPool.Share());
  return mDecided;
}

void QuotaExchange::ReportToDomain(Instant aNow)
{
  const Duration interval = mAccount.IsUrgent()    ? kUrgentInterval
                            : mAccount.HasDemand() ? kDemandInterval
                                                   : kIdleInterval;
  if (mAccountLink.IsDue(interval, aNow)) {
    const QuotaReportHead head = mAccountLink.Report(OwnShare(aNow), aNow);
    Deliver(mAccountLink.Keeper(),
            MakeQuotaReport(QuotaLevel::kDomain, head, mAccount.Demands(aNow)),
            aNow);
  }
}

void QuotaExchange::ReportToFleet(Instant aNow)
{
  const Duration interval = mDomainPool.IsUrgent() ? kUrgentInterval : kDemandInterval;
  if (mPoolLink.IsDue(interval, aNow)) {
    const QuotaReportHead head = mPoolLink.Report(mDomainPool.Share(), aNow);
    Deliver(mPoolLink.Keeper(),
            MakeQuotaReport(QuotaLevel::kFleet, head, mDomainPool.Demands(aNow)),
            aNow);
  }
}

void QuotaExchange::AnswerMembers(QuotaLevel aLevel, QuotaPool& aPool, Instant aNow)
{
  for (const QuotaPoolAnswer& it : aPool.TakeAnswers(aNow)) {
    Deliver(it.member.id, MakeQuotaAnswer(aLevel, it, aNow), aNow);
  }
}

void QuotaExchange::Deliver(const std::string& aDaemon, wire::Envelope aMessage, Instant aNow)
{
  if (aDaemon != mSelf.id) {
    mMetrics.Count("quota_messages_total");
    mSend(aDaemon, std::move(aMessage));
  } else if (aMessage.has_quota_report()) {
    OnReport(mSelf, aMessage.quota_report(), aNow);
  } else {
    mDecided = OnAnswer(mSelf.id, aMessage.quota_answer(), aNow) || mDecided;
  }
}

void QuotaExchange::OnReport(const DaemonRef& aSender,
                             const wire::QuotaReport& aReport,
                             Instant aNow)
{
  const std::optional<QuotaLevel> level = QuotaLevelOf(aReport.level());
  const std::optional<QuotaReportHead> head = QuotaHeadOf(aReport);
  // Without limits nothing is handed out, and the pool does not tick.
  if (!level || !head || mNumbers.empty()) {
    return;
  }
  QuotaPool& pool = *level == QuotaLevel::kDomain ? mDomainPool : mFleetPool;
  pool.OnReport(aSender, *head, QuotaDemandsOf(aReport), aNow);
}

bool QuotaExchange::OnAnswer(const std::string& aSender,
                             const wire::QuotaAnswer& aAnswer,
                             Instant aNow)
{
  const std::optional<QuotaLevel> level = QuotaLevelOf(aAnswer.level());
  if (!level) {
    return false;
  }
  const bool ofDomain = *level == QuotaLevel::kDomain;
  QuotaLink& link = ofDomain ? mAccountLink : mPoolLink;
  const Instant keeperClock{ Duration(aAnswer.sent_us()) };
  if (!link.Accept(aSender, aAnswer.sequence(), keeperClock, aNow)) {
    return false;
  }
  (ofDomain ? mDomainChoice : mFleetChoice).OnHeard(aSender, aNow);
  if (ofDomain) {
    return mAccount.OnGrants(QuotaGrantsOf(aAnswer), link.TokensUntil(), aNow);
  }
  mDomainPool.SetLent(true, aNow);
  mDomainPool.OnGrants(QuotaGrantsOf(aAnswer), link.TokensUntil(), aNow);
  return false;
}

std::unique_ptr<QuotaTicket> QuotaExchange::Claim(const std::string& aOrganisation, Instant aNow)
{
  const auto number = mNumbers.find(aOrganisation);
  return mAccount.Claim(number == mNumbers.end() ? std::nullopt : std::optional(number->second),
                        aNow);
}

} // namespace hawthornlug
