/// @file
/// A quota gate for daemons without quotas.
#pragma once

#include "limits/quota_gate.h"

#include <map>
#include <memory>
#include <string>

namespace hawthornlug {

/// The limit of an organisation over all daemons together.
struct OrganisationLimit
{
  /// Requests a second; 0: no limit.
  double ratePerSecond = 0.0;
  double burst = 0.0;
};

/// Grants every claim at once.
class OpenQuotaGate : public QuotaGate
{
public:
  /// Takes the limits of a configuration, by organisation name. They are not enforced.
  void SetLimits(const std::map<std::string, OrganisationLimit>& /*aLimits*/) {}

  std::unique_ptr<QuotaTicket> Claim(const std::string& /*aOrganisation*/,
                                     Instant /*aNow*/) override
  {
    return std::make_unique<Ticket>();
  }

private:
  class Ticket : public QuotaTicket
  {
  public:
    QuotaState State(Instant /*aNow*/) override { return QuotaState::kGranted; }
    Duration RetryAfter(Instant /*aNow*/) const override { return Duration::zero(); }
    void MarkUsed(Instant /*aNow*/) override {}
  };
};

} // namespace hawthornlug
