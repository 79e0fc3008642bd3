/// @file
/// Who takes on a role: the strong, spread over failure domains, the same by every daemon's view.

#include "membership/role_ranking.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace hawthornlug;

namespace {

constexpr unsigned kHolders = 3;

/// A fleet in which the first hosts of each domain are strong.
std::vector<RoleCandidate> Fleet(unsigned aDomains, unsigned aPerDomain, unsigned aStrong)
{
  std::vector<RoleCandidate> fleet;
  for (unsigned domain = 0; domain < aDomains; ++domain) {
    for (unsigned n = 0; n < aPerDomain; ++n) {
      const std::string name = "domain-" + std::to_string(domain);
      fleet.push_back({ name + "-" + std::to_string(n), name, n < aStrong ? 2U : 0U });
    }
  }
  return fleet;
}

std::vector<RoleCandidate> Others(const std::vector<RoleCandidate>& aFleet, std::size_t aSelf)
{
  std::vector<RoleCandidate> others = aFleet;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(aSelf));
  return others;
}

} // namespace

TEST_CASE("the power class follows the scarcer of processor and link", "[membership][roles]")
{
  struct Row
  {
    double cores;
    double linkMbps;
    unsigned power;
  };
  const auto row = GENERATE(values<Row>({
    { 0.1, 20.0, 0 },
    { 0.1, 1000.0, 0 },
    { 0.2, 1000.0, 1 },
    { 0.5, 10.0, 0 },
    { 0.5, 200.0, 2 },
    { 4.0, 10000.0, 5 },
    { 0.0, 0.0, 0 },
    { 1e30, 1e30, 15 },
  }));
  INFO(row.cores << " cores, " << row.linkMbps << " Mbit/s");
  CHECK(PowerClassOf(row.cores, row.linkMbps) == row.power);
}

TEST_CASE("each rank is taken once, by strong hosts first", "[membership][roles]")
{
  const auto fleet = Fleet(6, 32, 3);
  std::set<unsigned> ranks;
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    const unsigned rank = RankOf("role", fleet[n], Others(fleet, n));
    ranks.insert(rank);
    CHECK((rank < 18) == (fleet[n].power > 0));
  }
  CHECK(ranks.size() == fleet.size());
}

TEST_CASE("a spread role goes to different domains while there are enough", "[membership][roles]")
{
  struct Row
  {
    unsigned domains;
    unsigned perDomain;
  };
  const auto row =
    GENERATE(values<Row>({ { 1, 1 }, { 1, 9 }, { 2, 5 }, { 3, 4 }, { 4, 2 }, { 6, 32 } }));
  INFO(row.domains << " domains of " << row.perDomain);
  const auto fleet = Fleet(row.domains, row.perDomain, 1);
  std::map<std::string, unsigned> holders;
  std::set<unsigned> ranks;
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    const unsigned rank = SpreadRankOf("role", fleet[n], Others(fleet, n));
    ranks.insert(rank);
    holders[fleet[n].domain] += rank < kHolders ? 1 : 0;
    if (rank < std::min(kHolders, row.domains)) {
      CHECK(fleet[n].power > 0);
    }
  }
  CHECK(ranks.size() == fleet.size());
  for (const auto& [domain, count] : holders) {
    INFO(domain);
    CHECK(count <= std::max(1U, (kHolders + row.domains - 1) / row.domains));
  }
}

TEST_CASE("different roles do not pile up on one host", "[membership][roles]")
{
  const auto fleet = Fleet(6, 32, 3);
  std::set<std::string> firsts;
  for (unsigned role = 0; role < 20; ++role) {
    for (std::size_t n = 0; n < fleet.size(); ++n) {
      if (RankOf("role-" + std::to_string(role), fleet[n], Others(fleet, n)) == 0) {
        firsts.insert(fleet[n].id);
      }
    }
  }
  CHECK(firsts.size() >= 8);
}

TEST_CASE("the first of each domain are those that rank themselves so", "[membership][roles]")
{
  const auto fleet = Fleet(4, 9, 1);
  const auto first = FirstOfEachDomain("role", fleet, 2);
  CHECK(first.size() == 8);
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    INFO(fleet[n].id);
    CHECK(first.contains(fleet[n].id) == (RankInDomain("role", fleet[n], Others(fleet, n)) < 2));
  }
}
