/// @file
/// A daemon's tokens of the organisations' quotas, and the requests that claim them.
#pragma once

#include "limits/quota_gate.h"
#include "limits/quota_terms.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornlug {

/// Grants requests out of the tokens that a pool has granted to this daemon, and reports what it
/// needs. Requests of an organisation without tokens wait for the pool's answer, unless the pool
/// has lately stated that the quota is used up.
class QuotaAccount
{
public:
  QuotaAccount();
  ~QuotaAccount();
  QuotaAccount(const QuotaAccount&) = delete;
  QuotaAccount& operator=(const QuotaAccount&) = delete;

  /// Sets the limits by organisation. Claims of organisations that have no limit any more are
  /// granted. Returns whether a limit was lowered: its tokens are dropped, and the pool's answers
  /// to earlier reports must not be accepted.
  bool SetLimits(const QuotaLimits& aLimits);
  /// Claims a token for one request; none for an organisation without a limit.
  std::unique_ptr<QuotaTicket> Claim(std::optional<OrganisationNumber> aOrganisation, Instant aNow);
  /// Whether a request has begun to wait since the last report.
  bool IsUrgent() const { return mUrgent; }
  /// Whether there is demand to report.
  bool HasDemand() const { return !mActive.empty(); }
  /// Returns the content of the next report.
  QuotaDemands Demands(Instant aNow);
  /// Takes the keeper's answer to the latest report. @p aUntil: when the tokens expire. Returns
  /// whether claims have been decided.
  bool OnGrants(const QuotaGrants& aGrants, Instant aUntil, Instant aNow);
  /// Drops all tokens, since another keeper does not know of them.
  void DropTokens();

private:
  class Ticket;
  struct Organisation;

  /// Organisations with a limit.
  std::unordered_map<OrganisationNumber, std::shared_ptr<Organisation>> mOrganisations;
  /// Those of them that the next report may have to list.
  std::set<OrganisationNumber> mActive;
  /// Those that the latest report has listed.
  std::vector<OrganisationNumber> mReported;
  bool mUrgent = false;
};

} // namespace hawthornlug
