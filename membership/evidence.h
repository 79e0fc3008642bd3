/// @file
/// Judges whether a run of a daemon is certainly gone.
#pragma once

#include "membership/membership.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hawthornlug {

/// What shows that a run of a daemon gives no more orders and grants.
enum class GoneProof
{
  kNone,
  kOwnHost,     ///< This daemon runs in its place.
  kDomainLost,  ///< Operators have declared its failure domain lost.
  kLaterRun,    ///< A later run of it has been heard of.
  kListDropped, ///< The platform's list of hosts does not have its host any more.
  kPortRefused, ///< Its host refuses connections to its port.
};
inline constexpr EnumNames<6> kGoneProofNames = { "none",      "own-host",     "domain-lost",
                                                  "later-run", "list-dropped", "port-refused" };

/// Weighs what is known of daemons that have fallen silent. Silence alone proves nothing: a daemon
/// that is cut off or paused may go on. Purely a function of its inputs; the caller serialises.
class Evidence
{
public:
  /// @p aListLag is the longest time by which the platform's list of hosts may lag.
  explicit Evidence(Duration aListLag);

  /// Takes in the platform's list, as read at @p aNow.
  void OnHosts(Instant aNow, std::set<std::string> aListed);

  /// Returns what proves @p aRef gone without asking its host.
  GoneProof Judge(Instant aNow,
                  const DaemonRef& aRef,
                  const Membership& aMembers,
                  bool aDomainLost);

private:
  /// Whether the list had the time to show the host and does not.
  bool IsDropped(Instant aNow, const DaemonRef& aRef);

  const Duration mListLag;
  std::optional<Instant> mListReadAt;
  std::set<std::string> mListed;
  struct Asked
  {
    Instant first;
    Instant last;
  };
  std::map<DaemonRef, Asked> mAsked;
};

} // namespace hawthornlug
