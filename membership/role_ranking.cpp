#include "membership/role_ranking.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace hawthornlug {

namespace {

/// A host with this processor share and link is of the weakest class.
constexpr double kWeakestCores = 0.1;
constexpr double kWeakestLinkMbps = 10.0;
constexpr double kMaxPowerClass = 15.0;

/// What candidates are compared by; the greater one is preferred.
using Preference = std::pair<unsigned, std::uint64_t>;
using RankedCandidate = std::pair<Preference, const RoleCandidate*>;

Preference PreferenceOf(const std::string& aRole, const RoleCandidate& aCandidate)
{
  return { aCandidate.power, RendezvousWeight(aRole, aCandidate.id) };
}

/// Sorts candidates, the preferred ones first.
void SortByPreference(std::vector<RankedCandidate>& aCandidates)
{
  std::sort(aCandidates.begin(), aCandidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
}

} // namespace

unsigned PowerClassOf(double aCores, double aLinkMbps)
{
  const double processor = aCores > 0.0 ? aCores / kWeakestCores : 1.0;
  const double link = aLinkMbps > 0.0 ? aLinkMbps / kWeakestLinkMbps : 1.0;
  // The share of 0.2 cores is twice that of 0.1, also where the quotient comes out just below 2.
  constexpr double kRounding = 1e-6;
  const double doublings = std::log2(std::max(1.0, std::min(processor, link))) + kRounding;
  return static_cast<unsigned>(std::min(doublings, kMaxPowerClass));
}

unsigned RankOf(const std::string& aRole,
                const RoleCandidate& aSelf,
                const std::vector<RoleCandidate>& aOthers)
{
  const Preference own = PreferenceOf(aRole, aSelf);
  return static_cast<unsigned>(
    std::count_if(aOthers.begin(), aOthers.end(), [&](const RoleCandidate& aOther) {
      return PreferenceOf(aRole, aOther) > own;
    }));
}

unsigned RankInDomain(const std::string& aRole,
                      const RoleCandidate& aSelf,
                      const std::vector<RoleCandidate>& aOthers)
{
  const Preference own = PreferenceOf(aRole, aSelf);
  return static_cast<unsigned>(
    std::count_if(aOthers.begin(), aOthers.end(), [&](const RoleCandidate& aOther) {
      return aOther.domain == aSelf.domain && PreferenceOf(aRole, aOther) > own;
    }));
}

unsigned SpreadRankOf(const std::string& aRole,
                      const RoleCandidate& aSelf,
                      const std::vector<RoleCandidate>& aOthers)
{
  std::vector<RankedCandidate> order;
  order.reserve(aOthers.size() + 1);
  order.emplace_back(PreferenceOf(aRole, aSelf), &aSelf);
  for (const RoleCandidate& it : aOthers) {
    order.emplace_back(PreferenceOf(aRole, it), &it);
  }
  SortByPreference(order);
  const unsigned ownTurn = RankInDomain(aRole, aSelf, aOthers);
  std::map<std::string, unsigned> turns;
  unsigned rank = 0;
  bool beforeSelf = true;
  for (const auto& [preference, candidate] : order) {
    const unsigned turn = turns[candidate->domain]++;
    beforeSelf = beforeSelf && candidate != &aSelf;
    rank += turn < ownTurn || (turn == ownTurn && beforeSelf) ? 1 : 0;
  }
  return rank;
}

std::map<std::string, std::vector<std::string>> RankedByDomain(
  const std::string& aRole,
  const std::vector<RoleCandidate>& aCandidates,
  unsigned aCount)
{
  std::vector<RankedCandidate> order;
  order.reserve(aCandidates.size());
  for (const RoleCandidate& it : aCandidates) {
    order.emplace_back(PreferenceOf(aRole, it), &it);
  }
  SortByPreference(order);
  std::map<std::string, std::vector<std::string>> ranked;
  for (const auto& [preference, candidate] : order) {
    std::vector<std::string>& ofDomain = ranked[candidate->domain];
    if (ofDomain.size() < aCount) {
      ofDomain.push_back(candidate->id);
    }
  }
  return ranked;
}

std::set<std::string> FirstOfEachDomain(const std::string& aRole,
                                        const std::vector<RoleCandidate>& aCandidates,
                                        unsigned aCount)
{
  std::set<std::string> first;
  for (const auto& [domain, ranked] : RankedByDomain(aRole, aCandidates, aCount)) {
    first.insert(ranked.begin(), ranked.end());
  }
  return first;
}

} // namespace hawthornlug
