/// @file
/// A request's claim on the quota of its organisation, from its arrival to its answer.
#pragma once

#include "limits/quota_gate.h"
#include "runtime/request_admission.h"

#include <memory>
#include <optional>
#include <unordered_set>

namespace hawthornlug {

/// Owns a request's ticket. A request without an organisation needs none: it counts as granted.
class QuotaClaim
{
public:
  /// The claims that have a ticket. Calls to servers keep their requests beyond the end of the
  /// forwarder, when the gate that gave the tickets may be gone: the forwarder releases them all.
  using OpenClaims = std::unordered_set<QuotaClaim*>;

  QuotaClaim() = default;
  ~QuotaClaim() { Release(); }
  QuotaClaim(const QuotaClaim&) = delete;
  QuotaClaim& operator=(const QuotaClaim&) = delete;

  /// Takes over a ticket. The claim is in @p aOpen until it is released.
  void Begin(std::unique_ptr<QuotaTicket> aTicket, std::shared_ptr<OpenClaims> aOpen);
  /// A claim that was granted once stays granted: it covers all attempts of its request.
  QuotaState State(Instant aNow);
  /// How to answer a request whose claim failed; nothing if it is granted or pending.
  std::optional<AdmissionRefusal> Refusal(Instant aNow);
  /// Reports an attempt that may have run.
  void MarkUsed(Instant aNow);
  /// Gives back what was not used.
  void Release();
  static void ReleaseAll(const OpenClaims& aOpen);

private:
  std::unique_ptr<QuotaTicket> mTicket;
  /// Null without a ticket.
  std::shared_ptr<OpenClaims> mOpen;
  bool mGranted = false;
};

} // namespace hawthornlug
