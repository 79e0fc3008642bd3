#include "limits/quota_pool.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Tokens are handed out in advance only from above this part of the burst, so that they do not lie
/// unused at some members while requests wait at others.
constexpr double kReservePart = 0.5;
/// Shares add up to 1 with rounding errors.
constexpr double kShareTolerance = 1e-9;
constexpr Duration kMaxRetryAfter = seconds(60);
/// Part of the tolerated excess with which a pool starts. In one window a pool may start twice, and
/// so may the pool of the fleet and those of the domains after each other.
constexpr double kStartPart = 0.25;

/// Divides @p aTokens into equal parts of which none exceeds what is wanted. The parts that are
/// larger by one go to the first from @p aFirst on.
std::vector<std::uint32_t> DivideEqually(std::uint32_t aTokens,
                                         const std::vector<std::uint32_t>& aWanted,
                                         std::size_t aFirst)
{
  std::vector<std::uint32_t> parts(aWanted.size(), 0);
  std::vector<std::size_t> open;
  for (std::size_t n = 0; n < aWanted.size(); ++n) {
    open.push_back((aFirst + n) % aWanted.size());
  }
  while (aTokens > 0) {
    std::erase_if(open, [&](std::size_t aIndex) { return parts[aIndex] == aWanted[aIndex]; });
    if (open.empty()) {
      break;
    }
    const auto each = std::max(1U, aTokens / static_cast<std::uint32_t>(open.size()));
    for (const std::size_t it : open) {
      const std::uint32_t part = std::min({ each, aTokens, aWanted[it] - parts[it] });
      parts[it] += part;
      aTokens -= part;
    }
  }
  return parts;
}

std::uint32_t WholeTokens(double aLevel)
{
  constexpr double kMaxTokens = 1e9;
  return static_cast<std::uint32_t>(std::clamp(aLevel + kShareTolerance, 0.0, kMaxTokens));
}

} // namespace

QuotaPool::QuotaPool(Settings aSettings)
  : mSettings(aSettings)
{
}

void QuotaPool::Settle(Stock& aStock, Instant aNow) const
{
  if (mLent) {
    if (aNow >= aStock.tokensUntil) {
      aStock.level = std::min(aStock.level, 0.0);
    }
    return;
  }
  // The time after the end of a loan does not count, also if the pool has been paused since.
  const Instant until = std::min(aNow, mShareUntil);
  if (until > aStock.updatedAt) {
    aStock.level += aStock.limit.ratePerSecond * mShare * InSeconds(until - aStock.updatedAt);
  }
  aStock.updatedAt = std::max(aStock.updatedAt, aNow);
  aStock.level = std::min(aStock.level, Cap(aStock) - static_cast<double>(aStock.outstanding));
}

void QuotaPool::SettleAll(Instant aNow)
{
  for (auto& [number, stock] : mStocks) {
    Settle(stock, aNow);
  }
}

void QuotaPool::AddStartTokens(double aShare, Instant aNow)
{
  if (mLent || mTolerance.window <= Duration::zero()) {
    return;
  }
  if (mStartSharesAt != Instant()) {
    mStartShares += InSeconds(aNow - mStartSharesAt) / InSeconds(mTolerance.window);
  }
  mStartSharesAt = aNow;
  mStartShares = std::min(1.0, mStartShares);
  const double share = std::clamp(aShare, 0.0, mStartShares);
  mStartShares -= share;
  for (auto& [number, stock] : mStocks) {
    stock.level += share * kStartPart * ToleratedExcess(stock.limit, mTolerance);
    Settle(stock, aNow);
  }
}

void QuotaPool::UpdateStocks(Instant aNow)
{
  if (mMembers.empty()) {
    mStocks.clear();
    mAsked.clear();
    mActive.clear();
    mReported.clear();
    return;
  }
  if (mStocks.empty()) {
    for (const auto& [number, limit] : mLimits) {
      Stock& stock = mStocks[number];
      stock.limit = limit;
      stock.updatedAt = aNow;
    }
  }
}

bool QuotaPool::SetLimits(const QuotaLimits& aLimits, Instant aNow)
{
  SettleAll(aNow);
  mLimits = aLimits;
  std::erase_if(mStocks, [&](const auto& aEntry) { return !aLimits.contains(aEntry.first); });
  if (mMembers.empty()) {
    return false;
  }
  bool lowered = false;
  for (const auto& [number, limit] : aLimits) {
    const auto [it, isNew] = mStocks.try_emplace(number);
    Stock& stock = it->second;
    if (isNew) {
      stock.updatedAt = aNow;
    } else if (limit.burst < stock.limit.burst || limit.ratePerSecond < stock.limit.ratePerSecond) {
      lowered = true;
      stock.level = mLent ? std::min(stock.level, 0.0) : stock.level;
    } else if (limit != stock.limit) {
      stock.exhaustedUntil = Instant();
    }
    stock.limit = limit;
    Settle(stock, aNow);
  }
  return lowered;
}

void QuotaPool::Refresh(Instant aNow)
{
  double share = 0.0;
  Instant shareUntil = Instant::max();
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    Member& member = it->second;
    const bool isLender = member.loanUntil > aNow;
    if (isLender) {
      share += member.share;
      shareUntil = std::min(shareUntil, member.loanUntil);
    }
    if (member.tokensUntil > aNow) {
      ++it;
      continue;
    }
    DropAll(member, aNow);
    it = isLender ? std::next(it) : mMembers.erase(it);
  }
  if (std::abs(share - mShare) > kShareTolerance) {
    SettleAll(aNow);
    const double added = share - mShare;
    mShare = share;
    mShareUntil = shareUntil;
    SettleAll(aNow);
    AddStartTokens(added, aNow);
  }
  mShareUntil = shareUntil;
  UpdateStocks(aNow);
}

void QuotaPool::Drop(const Holding& aHolding, Stock& aStock, bool aUnused, Instant aNow)
{
  Settle(aStock, aNow);
  aStock.outstanding -= aHolding.outstanding;
  --aStock.holders;
  if (aUnused) {
    aStock.level += static_cast<double>(aHolding.outstanding);
  } else {
    aStock.used += static_cast<std::uint64_t>(aHolding.outstanding);
  }
}

void QuotaPool::DropAll(Member& aMember, Instant aNow)
{
  for (const auto& [number, holding] : aMember.holdings) {
    const auto stock = mStocks.find(number);
    if (stock != mStocks.end()) {
      Drop(holding, stock->second, false, aNow);
    }
  }
  aMember.holdings.clear();
}

void QuotaPool::OnReport(const DaemonRef& aMember,
                         const QuotaReportHead& aHead,
                         const QuotaDemands& aDemands,
                         Instant aNow)
{
  Refresh(aNow);
  Member& member = mMembers[aMember];
  if (aHead.sequence <= member.sequence) {
    return;
  }
  UpdateStocks(aNow);
  member.sequence = aHead.sequence;
  member.isAnswerDue = true;
  member.tokensUntil = aNow + mSettings.tokenTime;
  member.grants.clear();
  if (aHead.answeredAt != Instant() && aHead.answeredAt <= aNow) {
    member.loanUntil = aHead.answeredAt + mSettings.loanTime;
    member.share = aHead.share;
  }
  if (aHead.answeredAt == Instant()) {
    // The member may have spent tokens of another pool since its last report here.
    DropAll(member, aNow);
  }
  // An organisation that is not listed has no tokens at the member, and none were spent.
  std::erase_if(member.holdings, [&](const auto& aEntry) {
    const auto stock = mStocks.find(aEntry.first);
    const bool isListed = aDemands.contains(aEntry.first) && stock != mStocks.end();
    if (!isListed && stock != mStocks.end()) {
      Drop(aEntry.second, stock->second, true, aNow);
    }
    return !isListed;
  });
  for (const auto& [organisation, demand] : aDemands) {
    Add(demand, organisation, aMember, member, aNow);
  }
}

void QuotaPool::Add(const QuotaDemand& aDemand,
                    OrganisationNumber aOrganisation,
                    const DaemonRef& aId,
                    Member& aMember,
                    Instant aNow)
{
  const auto found = mStocks.find(aOrganisation);
  if (found == mStocks.end()) {
    return;
  }
  Stock& stock = found->second;
  Settle(stock, aNow);
  const auto [it, isNew] = aMember.holdings.try_emplace(aOrganisation);
  Holding& holding = it->second;
  const std::int64_t held = aDemand.held;
  if (isNew) {
    ++stock.holders;
  } else if (aDemand.used >= holding.used) {
    const std::uint64_t used = aDemand.used - holding.used;
    stock.used += used;
    stock.uses.Add(static_cast<double>(used), aNow);
    // What was granted and is neither spent nor held was lost on the way or is given back. It is
    // negative if the member has spent more than its tokens.
    stock.level += static_cast<double>(holding.outstanding - held) - static_cast<double>(used);
  }
  stock.outstanding += held - holding.outstanding;
  holding = { aDemand.used, held, aDemand.wanted, std::min(aDemand.waiting, aDemand.wanted) };
  mActive.insert(aOrganisation);
  if (holding.wanted > 0) {
    stock.asking.insert(aId);
    mAsked.insert(aOrganisation);
  }
}

std::vector<QuotaPool::Claimant> QuotaPool::ClaimantsOf(OrganisationNumber aOrganisation,
                                                        Stock& aStock)
{
  std::vector<Claimant> claimants;
  for (auto it = aStock.asking.begin(); it != aStock.asking.end();) {
    const auto member = mMembers.find(*it);
    if (member != mMembers.end()) {
      const auto holding = member->second.holdings.find(aOrganisation);
      if (holding != member->second.holdings.end() && holding->second.wanted > 0) {
        claimants.push_back({ member->second, holding->second });
        ++it;
        continue;
      }
    }
    it = aStock.asking.erase(it);
  }
  return claimants;
}

void QuotaPool::HandOut(std::uint32_t aTokens,
                        OrganisationNumber aOrganisation,
                        Stock& aStock,
                        const std::vector<Claimant>& aClaimants,
                        std::uint32_t Holding::*aAsked)
{
  if (aTokens == 0) {
    return;
  }
  std::vector<std::uint32_t> wanted;
  wanted.reserve(aClaimants.size());
  for (const Claimant& it : aClaimants) {
    wanted.push_back(it.holding.*aAsked);
  }
  const std::vector<std::uint32_t> parts = DivideEqually(aTokens, wanted, aStock.turn++);
  for (std::size_t n = 0; n < parts.size(); ++n) {
    if (parts[n] > 0) {
      Holding& holding = aClaimants[n].holding;
      holding.outstanding += parts[n];
      holding.wanted -= parts[n];
      holding.waiting -= std::min(parts[n], holding.waiting);
      aStock.outstanding += parts[n];
      aStock.level -= parts[n];
      aClaimants[n].member.grants[aOrganisation].granted += parts[n];
    }
  }
}

void QuotaPool::RejectUnserved(OrganisationNumber aOrganisation,
                               Stock& aStock,
                               const std::vector<Claimant>& aClaimants,
                               Instant aNow)
{
  const bool isExhausted = mLent ? aNow < aStock.exhaustedUntil : mShare > 0.0;
  if (!isExhausted) {
    return;
  }
  std::uint64_t unserved = 0;
  for (const Claimant& it : aClaimants) {
    unserved += it.holding.waiting;
  }
  Duration retryAfter = aStock.retryAt - aNow;
  if (!mLent) {
    // Tokens for all of them must arise, after what was spent in advance.
    const double missing = static_cast<double>(unserved) - aStock.level;
    const double rate = std::max(aStock.limit.ratePerSecond * mShare, 1e-3);
    retryAfter = FromSeconds(std::min(missing / rate, InSeconds(kMaxRetryAfter)));
  }
  for (const Claimant& it : aClaimants) {
    if (it.holding.waiting > 0) {
      QuotaGrant& grant = it.member.grants[aOrganisation];
      grant.exhausted = true;
      grant.retryAfter = std::max(retryAfter, Duration::zero());
      aStock.rejected += it.holding.waiting;
      it.holding.waiting = 0;
    }
  }
}

void QuotaPool::Distribute(OrganisationNumber aOrganisation, Stock& aStock, Instant aNow)
{
  const std::vector<Claimant> claimants = ClaimantsOf(aOrganisation, aStock);
  if (claimants.empty()) {
    return;
  }
  Settle(aStock, aNow);
  HandOut(WholeTokens(aStock.level), aOrganisation, aStock, claimants, &Holding::waiting);
  const double kept = mLent ? 0.0 : kReservePart * Cap(aStock);
  HandOut(WholeTokens(aStock.level - kept), aOrganisation, aStock, claimants, &Holding::wanted);
  RejectUnserved(aOrganisation, aStock, claimants, aNow);
  for (const Claimant& it : claimants) {
    // What is asked for in advance is asked for again with the next report.
    it.holding.wanted = it.holding.waiting;
    mUrgent = mUrgent || it.holding.waiting > 0;
  }
}

std::vector<QuotaPoolAnswer> QuotaPool::TakeAnswers(Instant aNow)
{
  Refresh(aNow);
  for (auto it = mAsked.begin(); it != mAsked.end();) {
    const auto stock = mStocks.find(*it);
    if (stock != mStocks.end()) {
      Distribute(*it, stock->second, aNow);
    }
    const bool isDone = stock == mStocks.end() || stock->second.asking.empty();
    it = isDone ? mAsked.erase(it) : std::next(it);
  }
  std::vector<QuotaPoolAnswer> answers;
  for (auto& [id, member] : mMembers) {
    if (member.isAnswerDue || !member.grants.empty()) {
      answers.push_back({ id, member.sequence, std::move(member.grants) });
      member.grants.clear();
      member.isAnswerDue = false;
    }
  }
  return answers;
}

void QuotaPool::SetLent(bool aLent, Instant aNow)
{
  if (aLent == mLent) {
    return;
  }
  mLent = aLent;
  for (auto& [number, stock] : mStocks) {
    stock.level = std::min(stock.level, 0.0);
    stock.updatedAt = aNow;
  }
  AddStartTokens(mShare, aNow);
}

std::uint64_t QuotaPool::WaitingFor(OrganisationNumber aOrganisation, const Stock& aStock) const
{
  std::uint64_t waiting = 0;
  for (const DaemonRef& it : aStock.asking) {
    const auto member = mMembers.find(it);
    if (member != mMembers.end()) {
      const auto holding = member->second.holdings.find(aOrganisation);
      waiting += holding == member->second.holdings.end() ? 0 : holding->second.waiting;
    }
  }
  return waiting;
}

QuotaDemands QuotaPool::Demands(Instant aNow)
{
  mUrgent = false;
  QuotaDemands demands;
  for (auto it = mActive.begin(); it != mActive.end();) {
    const auto found = mStocks.find(*it);
    if (found == mStocks.end()) {
      it = mActive.erase(it);
      continue;
    }
    Stock& stock = found->second;
    Settle(stock, aNow);
    // Tokens that have arisen here are no part of what the other pool has granted.
    const double level = mLent ? stock.level : std::min(stock.level, 0.0);
    const double held = level + static_cast<double>(stock.outstanding);
    const std::uint32_t spare = WholeTokens(level);
    const std::uint32_t reserve = stock.uses.Reserve(aNow);
    QuotaDemand demand;
    demand.used = stock.used;
    demand.held = WholeTokens(held);
    demand.waiting = WholeTokens(static_cast<double>(WaitingFor(*it, stock) + stock.rejected));
    demand.wanted = demand.waiting + (reserve > spare ? reserve - spare : 0);
    if (demand.wanted == 0 && demand.held == 0 && stock.holders == 0 &&
        stock.used == stock.usedKnown) {
      it = mActive.erase(it);
      continue;
    }
    stock.rejected = 0;
    stock.usedReported = stock.used;
    stock.debtReported = std::max(-held, 0.0);
    demands.emplace_hint(demands.end(), *it, demand);
    ++it;
  }
  mReported.clear();
  for (const auto& [number, demand] : demands) {
    mReported.push_back(number);
  }
  return demands;
}

void QuotaPool::OnGrants(const QuotaGrants& aGrants, Instant aUntil, Instant aNow)
{
  for (const OrganisationNumber it : mReported) {
    const auto found = mStocks.find(it);
    if (found != mStocks.end()) {
      Stock& stock = found->second;
      Settle(stock, aNow);
      stock.tokensUntil = aUntil;
      stock.usedKnown = stock.usedReported;
      stock.level += stock.debtReported;
      stock.debtReported = 0.0;
    }
  }
  for (const auto& [number, grant] : aGrants) {
    const auto found = mStocks.find(number);
    if (found != mStocks.end() && aNow < aUntil) {
      Stock& stock = found->second;
      stock.level += grant.granted;
      stock.exhaustedUntil = grant.exhausted ? aNow + kQuotaExhaustedMemory : Instant();
      stock.retryAt = aNow + grant.retryAfter;
      mActive.insert(number);
    }
  }
}

void QuotaPool::DropTokens()
{
  if (!mLent) {
    return;
  }
  for (auto& [number, stock] : mStocks) {
    stock.level = std::min(stock.level, 0.0);
    stock.debtReported = 0.0;
  }
}

} // namespace hawthornlug
