/// @file
/// Reports of requests in flight as messages between daemons.
#pragma once

#include "core/enum_names.h"
#include "proto/peer.pb.h"
#include "routing/load_summary.h"
#include "routing/waiting_counts.h"

#include <optional>

namespace hawthornlug {

/// Whose requests a report counts. The values are part of the protocol between daemons.
enum class LoadScope : std::uint32_t
{
  kSender = 0, ///< The sender's, told to every daemon by the sender itself.
  kMember = 1, ///< The sender's, for the receiver to pass on.
  kDomain = 2, ///< Those of the sender's failure domain, for a relay of another one.
  kOthers = 3, ///< Those of all daemons but the receiver, from its relay.
};
inline constexpr EnumNames<4> kLoadScopeNames = { "sender", "member", "domain", "others" };

/// A report with at most kMaxWaitingTargets of the targets in @p aWaiting.
wire::Envelope MakeLoadMessage(const InFlightCounts& aCounts,
                               LoadScope aScope,
                               WaitingCounts aWaiting = {});

/// The counts in a report; servers without a count are left out.
InFlightCounts CountsOf(const wire::RouterLoad& aReport);

/// The waiting requests in a report; targets without a count for each level are left out.
WaitingCounts WaitingOf(const wire::RouterLoad& aReport);

/// Whose requests a report counts; none if the sender's version has scopes that this one lacks.
std::optional<LoadScope> ScopeOf(const wire::RouterLoad& aReport);

} // namespace hawthornlug
