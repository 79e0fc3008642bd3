/// @file
/// Shares the organisations' quotas among all daemons.
#pragma once

#include "core/decision_log.h"
#include "core/metrics.h"
#include "limits/quota_account.h"
#include "limits/quota_gate.h"
#include "limits/quota_link.h"
#include "limits/quota_pool.h"
#include "membership/relay_choice.h"
#include "membership/role_ranking.h"
#include "runtime/quota_messages.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornlug {

/// Reports this daemon's demand to the keeper of its failure domain's pool, and keeps a pool for
/// those that report to it. A daemon becomes a keeper by being sent reports: which one to report to
/// is the members' decision. A wrong choice reduces what can be used, but no limit is exceeded (see
/// QuotaPool). docs/design/organisations.md describes the whole.
class QuotaExchange : public QuotaGate
{
public:
  /// Sends a message to another daemon; what can't be sent at once is dropped.
  using SendFunction = std::function<void(const std::string& aDaemon, wire::Envelope aMessage)>;

  QuotaExchange(DaemonRef aSelf,
                SendFunction aSend,
                DecisionLog& aLog,
                Metrics& aMetrics,
                Instant aStartedAt);

  /// Sets the limits by name of the organisation; to be called with each configuration.
  void SetLimits(const std::map<std::string, QuotaLimit>& aLimits, Instant aNow);
  void SetTolerance(const QuotaTolerance& aTolerance);
  /// Sets the number of daemons that own a share: this one and all that have been heard recently.
  void SetDaemonCount(unsigned aDaemons) { mDaemons = aDaemons; }
  /// Sets the daemons that may keep pools, this one included. The first of each failure domain keep
  /// the domains' pools, and the first of them that of the fleet.
  void SetCandidates(const std::string& aOwnDomain, const std::vector<RoleCandidate>& aCandidates);
  /// Sends what is due; to be called every few milliseconds. Returns whether claims have been
  /// decided.
  bool Tick(Instant aNow);
  void OnReport(const DaemonRef& aSender, const wire::QuotaReport& aReport, Instant aNow);
  /// Returns whether claims have been decided.
  bool OnAnswer(const std::string& aSender, const wire::QuotaAnswer& aAnswer, Instant aNow);

  /// The daemon that keeps the pool that this one's reports of the level go to; empty before the
  /// first.
  const std::string& KeeperOf(QuotaLevel aLevel) const
  {
    return (aLevel == QuotaLevel::kDomain ? mAccountLink : mPoolLink).Keeper();
  }

  std::unique_ptr<QuotaTicket> Claim(const std::string& aOrganisation, Instant aNow) override;

private:
  /// Sets a choice's candidates; this daemon is the last one if it is not among them.
  void SetCandidates(RelayChoice& aChoice, std::vector<std::string> aCandidates) const;
  void ChooseKeeper(QuotaLevel aLevel, RelayChoice& aChoice, QuotaLink& aLink, Instant aNow);
  void ReportToDomain(Instant aNow);
  void ReportToFleet(Instant aNow);
  void AnswerMembers(QuotaLevel aLevel, QuotaPool& aPool, Instant aNow);
  /// Passes a message to another daemon, or to the own pool.
  void Deliver(const std::string& aDaemon, wire::Envelope aMessage, Instant aNow);
  /// The part of every quota that this daemon owns.
  double OwnShare(Instant aNow) const;

  DaemonRef mSelf;
  SendFunction mSend;
  DecisionLog& mLog;
  Metrics& mMetrics;
  Instant mStartedAt;
  unsigned mDaemons = 1;
  /// Numbers of the organisations with a limit.
  std::unordered_map<std::string, OrganisationNumber> mNumbers;
  QuotaAccount mAccount;
  RelayChoice mDomainChoice;
  RelayChoice mFleetChoice;
  /// The account's link with the domain's pool, and the domain's with the fleet's.
  QuotaLink mAccountLink;
  QuotaLink mPoolLink;
  QuotaPool mDomainPool;
  QuotaPool mFleetPool;
  /// Whether claims have been decided since the last tick by messages to the own pool.
  bool mDecided = false;
};

} // namespace hawthornlug
