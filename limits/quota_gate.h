/// @file
/// Interface through which requests claim a part of their organisation's quota.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"

#include <memory>
#include <string>

namespace hawthornlug {

/// What became of a request's claim.
enum class QuotaState
{
  kPending,  ///< The pools have not answered yet.
  kGranted,  ///< The request may be sent to a server.
  kExceeded, ///< The quota is used up.
  kUnknown,  ///< No pool has answered in time: nothing is known about the quota.
};
inline constexpr EnumNames<4> kQuotaStateNames = { "pending", "granted", "exceeded", "unknown" };

/// One request's claim on its organisation's quota. Destroying the ticket withdraws a claim that is
/// pending, and gives back one that was granted and not used.
class QuotaTicket
{
public:
  virtual ~QuotaTicket() = default;

  virtual QuotaState State(Instant aNow) = 0;
  /// Time after which a caller whose request was rejected with kExceeded should retry.
  virtual Duration RetryAfter(Instant aNow) const = 0;
  /// Reports that a server may have run the request, which spends the claim. Each further call
  /// reports one more attempt that may have run.
  virtual void MarkUsed(Instant aNow) = 0;
};

/// Grants requests out of the quotas of organisations. Calls come from the daemon's event loop.
class QuotaGate
{
public:
  virtual ~QuotaGate() = default;

  /// Claims one request. It is granted at once if the organisation has no limit.
  virtual std::unique_ptr<QuotaTicket> Claim(const std::string& aOrganisation, Instant aNow) = 0;
};

} // namespace hawthornlug
