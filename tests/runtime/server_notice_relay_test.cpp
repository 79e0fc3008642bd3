/// @file
/// Who is told that a server leaves.

#include "runtime/server_notice_relay.h"
#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

class NoRanges : public RangeFinder
{
public:
  RangeRunner* FindRanges(const std::string&) override { return nullptr; }
};

/// The relay of "d0", among four daemons; "d0" and "d2" are in the domain "north".
class RelayFixture
{
public:
  RelayFixture()
  {
    simulation.Run(seconds(3));
    ServerEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.domain = "north";
    entry.incarnation = 5;
    selector.Put(entry, simulation.timers.now);
  }

  /// How many reports that servers leave the n-th daemon has received.
  std::size_t ReportsTo(std::size_t aDaemon)
  {
    simulation.Run(kMeshTick);
    const auto& messages = simulation.nodes[aDaemon]->listener.messages;
    return static_cast<std::size_t>(
      std::count_if(messages.begin(), messages.end(), [](const wire::Envelope& aMessage) {
        return aMessage.has_servers_leaving();
      }));
  }

  MeshPeer Peer(const std::string& aId, const std::string& aDomain, Incarnation aIncarnation) const
  {
    MeshPeer peer;
    peer.ref = { aId, aIncarnation };
    peer.domain = aDomain;
    return peer;
  }

  MeshSimulation simulation{ 4 };
  ServerSelector selector{ "north" };
  NoRanges ranges;
  Metrics metrics;
  ServerNoticeRelay relay{ selector,       simulation.nodes[0]->mesh,
                           ranges,         simulation.timers,
                           simulation.log, metrics };
};

const ServerRef kServer{ "a", 5 };

} // namespace

TEST_CASE("the own failure domain is told once that a server leaves", "[runtime][notices]")
{
  RelayFixture fixture;
  fixture.relay.OnServerNotice(kServer, { true, Duration::zero() });
  fixture.relay.OnServerNotice(kServer, { true, Duration::zero() });
  CHECK_FALSE(fixture.selector.IsOpen("a"));
  CHECK(fixture.ReportsTo(2) == 1);
  CHECK(fixture.ReportsTo(1) == 0);
  CHECK(fixture.ReportsTo(3) == 0);
}

TEST_CASE("a pause concerns one daemon and is not passed on", "[runtime][notices]")
{
  RelayFixture fixture;
  fixture.relay.OnServerNotice(kServer, { false, seconds(2) });
  CHECK(fixture.selector.IsOpen("a"));
  CHECK(fixture.ReportsTo(2) == 0);
}

TEST_CASE("what another daemon reports keeps requests from a server and is not passed on",
          "[runtime][notices]")
{
  RelayFixture fixture;
  wire::ServersLeaving report;
  report.add_servers()->set_id("a");
  report.mutable_servers(0)->set_incarnation(5);
  fixture.relay.OnPeerReport(fixture.Peer("d2", "north", 1), report);
  CHECK_FALSE(fixture.selector.IsOpen("a"));
  CHECK(fixture.ReportsTo(2) == 0);
}

TEST_CASE("a daemon that has restarted is told which servers leave", "[runtime][notices]")
{
  RelayFixture fixture;
  fixture.relay.OnHeartbeat(fixture.Peer("d2", "north", 1));
  fixture.relay.OnServerNotice(kServer, { true, Duration::zero() });
  REQUIRE(fixture.ReportsTo(2) == 1);
  fixture.relay.OnHeartbeat(fixture.Peer("d2", "north", 1));
  CHECK(fixture.ReportsTo(2) == 1);
  fixture.relay.OnHeartbeat(fixture.Peer("d2", "north", 2));
  CHECK(fixture.ReportsTo(2) == 2);
  fixture.relay.OnHeartbeat(fixture.Peer("d1", "south", 2));
  CHECK(fixture.ReportsTo(1) == 0);
}
