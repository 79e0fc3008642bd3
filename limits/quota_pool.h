/// @file
/// A pool of the tokens of the organisations' quotas, as its keeper has it.
#pragma once

#include "core/ids.h"
#include "limits/quota_link.h"
#include "limits/quota_terms.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornlug {

/// A pool's answer to the latest report of a member.
struct QuotaPoolAnswer
{
  DaemonRef member;
  std::uint64_t sequence = 0;
  QuotaGrants grants;
};

/// Hands out tokens to members by their demand. The members of a failure domain's pool are daemons,
/// those of the fleet's pool are the keepers of the domains' pools.
///
/// The members lend their shares of the quotas to the pool. Its tokens arise at the rate times the
/// sum of the shares, and what it has and what its members hold never exceeds the burst times that
/// sum. A pool that has lent the sum itself (see SetLent()) has only the tokens that it is granted,
/// and is a member of the other pool like any daemon.
///
/// What an earlier pool has handed out is not known to one that begins to count shares, which is
/// therefore empty at first. So that requests need not wait until tokens have arisen, it begins
/// with a part of the tolerated excess, which is the same part of it that the shares are of 1.
class QuotaPool
{
public:
  struct Settings
  {
    /// How long after an answer the share that the member reports next is counted.
    Duration loanTime = Duration::zero();
    /// How long after its latest report a member may still spend tokens. What it has not reported
    /// by then counts as spent.
    Duration tokenTime = Duration::zero();
  };

  explicit QuotaPool(Settings aSettings);

  /// Sets the limits by organisation. Returns whether one was lowered: tokens that another pool has
  /// granted are dropped, and its answers to earlier reports must not be accepted.
  bool SetLimits(const QuotaLimits& aLimits, Instant aNow);
  void SetTolerance(const QuotaTolerance& aTolerance) { mTolerance = aTolerance; }
  /// Takes a member's report.
  void OnReport(const DaemonRef& aMember,
                const QuotaReportHead& aHead,
                const QuotaDemands& aDemands,
                Instant aNow);
  /// Hands out tokens, and returns the answers to be sent: one to each report, and further ones to
  /// members that waited for tokens.
  std::vector<QuotaPoolAnswer> TakeAnswers(Instant aNow);
  bool HasMembers() const { return !mMembers.empty(); }
  /// Sum of the shares that are lent to the pool, from 0 to 1.
  double Share() const { return mShare; }

  /// Sets whether another pool counts the shares, so that no tokens may arise here.
  void SetLent(bool aLent, Instant aNow);
  /// Whether requests of members have begun to wait since the last report to the other pool.
  bool IsUrgent() const { return mUrgent; }
  /// Returns the content of the next report to the other pool.
  QuotaDemands Demands(Instant aNow);
  /// Takes the other pool's answer to the latest report. @p aUntil: when its tokens expire.
  void OnGrants(const QuotaGrants& aGrants, Instant aUntil, Instant aNow);
  /// Drops all tokens, since the keeper of the other pool has changed.
  void DropTokens();

private:
  /// A member's part of one organisation's tokens.
  struct Holding
  {
    std::uint64_t used = 0;
    std::int64_t outstanding = 0;
    std::uint32_t wanted = 0;
    std::uint32_t waiting = 0;
  };
  struct Member
  {
    std::uint64_t sequence = 0;
    bool isAnswerDue = false;
    double share = 0.0;
    Instant loanUntil;
    Instant tokensUntil;
    std::unordered_map<OrganisationNumber, Holding> holdings;
    /// The content of the next answer.
    QuotaGrants grants;
  };
  /// The tokens of one organisation.
  struct Stock
  {
    QuotaLimit limit;
    /// Tokens that can be handed out; negative if members have spent more than they had.
    double level = 0.0;
    Instant updatedAt;
    /// When tokens that another pool has granted expire.
    Instant tokensUntil;
    /// Tokens that members hold, and number of members that list the organisation.
    std::int64_t outstanding = 0;
    std::int64_t holders = 0;
    /// Tokens that members have spent.
    std::uint64_t used = 0;
    QuotaUseRate uses;
    /// The members that ask for tokens, and whose turn it is when there are too few.
    std::set<DaemonRef> asking;
    std::size_t turn = 0;
    /// Requests that members have been told to reject since the last report to the other pool.
    std::uint64_t rejected = 0;
    /// What that report has stated, and what the other pool is known to know.
    std::uint64_t usedReported = 0;
    std::uint64_t usedKnown = 0;
    double debtReported = 0.0;
    /// What the other pool has stated last.
    Instant exhaustedUntil;
    Instant retryAt;
  };
  /// A member that asks for an organisation's tokens.
  struct Claimant
  {
    Member& member;
    Holding& holding;
  };

  double Cap(const Stock& aStock) const { return aStock.limit.burst * mShare; }
  /// Adds the tokens that have arisen, and keeps the level within what the share permits.
  void Settle(Stock& aStock, Instant aNow) const;
  void SettleAll(Instant aNow);
  /// Adds the tokens with which a pool begins, for shares that it begins to count.
  void AddStartTokens(double aShare, Instant aNow);
  /// Ends loans and tokens whose time has passed, and adds up the shares.
  void Refresh(Instant aNow);
  /// Prepares the stocks when the pool gets its first member, and drops them with the last one.
  void UpdateStocks(Instant aNow);
  void Add(const QuotaDemand& aDemand,
           OrganisationNumber aOrganisation,
           const DaemonRef& aId,
           Member& aMember,
           Instant aNow);
  /// Ends what a member holds; the tokens return if @p aUnused.
  void Drop(const Holding& aHolding, Stock& aStock, bool aUnused, Instant aNow);
  /// Ends all that a member holds; it counts as spent.
  void DropAll(Member& aMember, Instant aNow);
  void Distribute(OrganisationNumber aOrganisation, Stock& aStock, Instant aNow);
  std::vector<Claimant> ClaimantsOf(OrganisationNumber aOrganisation, Stock& aStock);
  /// Hands out up to @p aTokens: equal parts, limited by what each claimant asks for.
  void HandOut(std::uint32_t aTokens,
               OrganisationNumber aOrganisation,
               Stock& aStock,
               const std::vector<Claimant>& aClaimants,
               std::uint32_t Holding::*aAsked);
  /// Tells members to reject the requests that have got no token, if the quota is used up.
  void RejectUnserved(OrganisationNumber aOrganisation,
                      Stock& aStock,
                      const std::vector<Claimant>& aClaimants,
                      Instant aNow);
  std::uint64_t WaitingFor(OrganisationNumber aOrganisation, const Stock& aStock) const;

  Settings mSettings;
  QuotaLimits mLimits;
  std::map<DaemonRef, Member> mMembers;
  /// By organisation; empty without members.
  std::unordered_map<OrganisationNumber, Stock> mStocks;
  /// Organisations whose tokens are asked for, and those that the next report may have to list.
  std::set<OrganisationNumber> mAsked;
  std::set<OrganisationNumber> mActive;
  std::vector<OrganisationNumber> mReported;
  double mShare = 0.0;
  /// When the first of the loans ends that make up the share.
  Instant mShareUntil;
  bool mLent = false;
  bool mUrgent = false;
  QuotaTolerance mTolerance;
  /// Shares for which tokens may be added at the start, and when that was last updated.
  double mStartShares = 1.0;
  Instant mStartSharesAt;
};

} // namespace hawthornlug
