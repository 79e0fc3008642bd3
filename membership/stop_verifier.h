/// @file
/// Determines whether an incarnation of a daemon has certainly stopped.
#pragma once

#include "membership/membership.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hawthornlug {

/// Proof that an incarnation of a daemon has stopped, and so sends no more orders and grants.
enum class StopProof
{
  kNone,
  kOwnHost,          ///< This daemon is another incarnation with the same id.
  kDomainLost,       ///< Operators have declared its failure domain lost.
  kLaterIncarnation, ///< A later incarnation of it is known.
  kListDropped,      ///< Its host is no longer in the platform's list of hosts.
  kPortRefused,      ///< Its host refuses connections to its port.
};
inline constexpr EnumNames<6> kStopProofNames = { "none",      "own-host",     "domain-lost",
                                                  "later-run", "list-dropped", "port-refused" };

/// Determines whether unresponsive daemons have stopped. Missing heartbeats alone prove nothing: a
/// daemon that is partitioned or paused may continue. The state depends only on the arguments of
/// the calls. Not thread-safe: calls must be serialised.
class StopVerifier
{
public:
  /// @p aListLag is the longest time by which the platform's list of hosts may be out of date.
  explicit StopVerifier(Duration aListLag);

  /// Sets the ids in the platform's list of hosts, which was read at @p aNow.
  void OnHostList(Instant aNow, std::set<std::string> aListedHosts);

  /// Returns a proof that @p aRef has stopped, or StopProof::kNone if there is none. Does not
  /// contact its host, so StopProof::kPortRefused is never returned. @p aDomainLost is whether
  /// operators have declared the failure domain of @p aRef lost.
  StopProof FindProof(Instant aNow,
                      const DaemonRef& aRef,
                      const Membership& aMembers,
                      bool aDomainLost);

private:
  /// Whether the host of @p aRef is missing from a list that is recent enough to contain it.
  bool IsDroppedFromList(Instant aNow, const DaemonRef& aRef);

  const Duration mListLag;
  std::optional<Instant> mListReadAt;
  std::set<std::string> mListedHosts;
  /// Times of the first and the last query that checked an incarnation against the list of hosts.
  struct QueryTimes
  {
    Instant first;
    Instant last;
  };
  std::map<DaemonRef, QueryTimes> mQueryTimes;
};

} // namespace hawthornlug
