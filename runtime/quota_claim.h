/// @file
/// A request's claim on the quota of its organisation, from its arrival to its answer.
#pragma once

#include "limits/quota_gate.h"
#include "runtime/request_admission.h"

#include <memory>
#include <optional>

namespace hawthornlug {

/// Owns a request's ticket. A request without an organisation needs none: it counts as granted.
class QuotaClaim
{
public:
  QuotaClaim() = default;
  explicit QuotaClaim(std::unique_ptr<QuotaTicket> aTicket)
    : mTicket(std::move(aTicket))
  {
  }

  /// A claim that was granted once stays granted: it covers all attempts of its request.
  QuotaState State(Instant aNow);
  /// How to answer a request whose claim failed; nothing if it is granted or pending.
  std::optional<AdmissionRefusal> Refusal(Instant aNow);
  /// Reports an attempt that may have run.
  void MarkUsed(Instant aNow);
  /// Gives back what was not used.
  void Release() { mTicket.reset(); }

private:
  std::unique_ptr<QuotaTicket> mTicket;
  bool mGranted = false;
};

} // namespace hawthornlug
