/// @file
/// Tests to whom heartbeats go in a fleet with relays.

#include "membership/heartbeat_relays.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

using Ids = std::set<std::string>;

constexpr Instant kStart{ seconds(1000) };

/// Three domains of @p aPerDomain daemons each; "north-0" is the daemon that is asked, and the
/// later ones of a domain are on stronger hosts.
std::vector<RoleCandidate> Others(unsigned aPerDomain)
{
  std::vector<RoleCandidate> others;
  for (const char* const domain : { "north", "south", "west" }) {
    for (unsigned n = 0; n < aPerDomain; ++n) {
      others.push_back({ domain + std::string("-") + std::to_string(n), domain, n });
    }
  }
  others.erase(others.begin());
  return others;
}

HeartbeatRelays MakeRelays(unsigned aPerDomain)
{
  HeartbeatRelays relays({ "north-0", "north", 0 });
  std::vector<RoleCandidate> others = Others(aPerDomain);
  const std::size_t count = others.size();
  relays.SetCandidates(std::move(others), count);
  return relays;
}

} // namespace

TEST_CASE("small fleets do without relays", "[membership][relays]")
{
  CHECK_FALSE(MakeRelays(5).IsFleetRelayed());
  CHECK(MakeRelays(6).IsFleetRelayed());
}

TEST_CASE("a daemon that hears none of a large fleet keeps to its relays", "[membership][relays]")
{
  HeartbeatRelays relays = MakeRelays(6);
  relays.SetCandidates({}, 17);
  CHECK(relays.IsFleetRelayed());
  CHECK(relays.OwnRelays(kStart) == std::vector<std::string>{ "north-0" });
  CHECK(relays.IsRelay(kStart));
}

TEST_CASE("the strongest hosts of each domain are its relays", "[membership][relays]")
{
  HeartbeatRelays relays = MakeRelays(6);
  CHECK(relays.OwnRelays(kStart) == std::vector<std::string>{ "north-5", "north-4" });
  CHECK(relays.ForeignRelays(kStart) == Ids{ "south-4", "south-5", "west-4", "west-5" });
  CHECK_FALSE(relays.IsRelay(kStart));
}

TEST_CASE("a daemon is a relay for as long as it is used as one", "[membership][relays]")
{
  HeartbeatRelays relays = MakeRelays(6);
  relays.OnMember("north-1", true, kStart);
  relays.OnMember("north-2", false, kStart + seconds(1));
  CHECK(relays.IsRelay(kStart + seconds(1)));
  CHECK(relays.Members(kStart + seconds(1)).at("north-1").isFirstChoice);
  CHECK(relays.Members(kStart + milliseconds(1300)).size() == 1);
  CHECK_FALSE(relays.IsRelay(kStart + milliseconds(2300)));
}

TEST_CASE("relays of other domains are those that rank first and those that act as such",
          "[membership][relays]")
{
  HeartbeatRelays relays = MakeRelays(6);
  relays.OnRelay("south-1", "south", kStart);
  CHECK(relays.ForeignRelays(kStart).contains("south-1"));
  CHECK_FALSE(relays.ForeignRelays(kStart + milliseconds(1300)).contains("south-1"));
  // Once nobody of the domain is heard, it can only be found through its former relays.
  std::vector<RoleCandidate> others = Others(6);
  std::erase_if(others, [](const RoleCandidate& aOther) { return aOther.domain == "south"; });
  relays.SetCandidates(std::move(others), 17);
  CHECK(relays.ForeignRelays(kStart + seconds(20)) == Ids{ "south-1", "west-4", "west-5" });
  CHECK(relays.ForeignRelays(kStart + seconds(60)) == Ids{ "west-4", "west-5" });
}
