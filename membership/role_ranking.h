/// @file
/// Which daemons take on the roles that only a few of them need to have. Every daemon ranks all
/// that it hears; no daemon is asked. Two daemons with different views may both take on a role, so
/// a role must be harmless to have twice, or be confirmed by the store.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// A daemon that may take on a role.
struct RoleCandidate
{
  std::string id;
  /// Its failure domain.
  std::string domain;
  /// Power class of its host.
  unsigned power = 0;
};

/// Power class of a host: 0 for the weakest, one more for each doubling of the scarcer of processor
/// share and link. @p aCores: processor time per second that it may use, in cores. 0 for a figure
/// that is not known.
unsigned PowerClassOf(double aCores, double aLinkMbps);

/// Number of candidates that are preferred to @p aSelf for a role: those on stronger hosts, and
/// among equals those with the higher rendezvous weight for the role's name.
unsigned RankOf(const std::string& aRole,
                const RoleCandidate& aSelf,
                const std::vector<RoleCandidate>& aOthers);

/// RankOf() among the candidates of the own failure domain only.
unsigned RankInDomain(const std::string& aRole,
                      const RoleCandidate& aSelf,
                      const std::vector<RoleCandidate>& aOthers);

/// Rank for a role that is spread over failure domains: the first of each domain come before the
/// second of any.
unsigned SpreadRankOf(const std::string& aRole,
                      const RoleCandidate& aSelf,
                      const std::vector<RoleCandidate>& aOthers);

/// The first @p aCount candidates of each failure domain for a role, the preferred ones first.
std::map<std::string, std::vector<std::string>> RankedByDomain(
  const std::string& aRole,
  const std::vector<RoleCandidate>& aCandidates,
  unsigned aCount);

/// The candidates of RankedByDomain(), of all failure domains together.
std::set<std::string> FirstOfEachDomain(const std::string& aRole,
                                        const std::vector<RoleCandidate>& aCandidates,
                                        unsigned aCount);

} // namespace hawthornlug
