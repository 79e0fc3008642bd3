/// @file
/// How daemons find, hear and lose each other.

#include "tests/support/mesh_world.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

TEST_CASE("daemons that know one of them find all others", "[runtime][mesh]")
{
  MeshWorld world(9);
  world.Run(seconds(3));
  CHECK(world.AllHeard());
}

TEST_CASE("a daemon whose first beats are lost is heard all the same", "[runtime][mesh]")
{
  MeshWorld world(5);
  world.Run(seconds(3));
  MeshNode& late = world.Add("late", "south");
  world.network.cut = { "late" };
  late.mesh.AddEndpoint("d0");
  world.Run(seconds(4));
  world.network.cut.clear();
  world.Run(seconds(3));
  CHECK(world.AllHeard());
}

TEST_CASE("a daemon that is cut off is lost, and heard again afterwards", "[runtime][mesh]")
{
  MeshWorld world(4);
  world.Run(seconds(3));
  world.network.cut = { "d1" };
  world.Run(milliseconds(2300));
  CHECK(world.nodes[1]->mesh.LivePeers().empty());
  CHECK_FALSE(world.nodes[0]->mesh.IsLive("d1"));
  CHECK(world.nodes[0]->listener.lost == std::vector<std::string>{ "d1" });
  world.network.cut.clear();
  world.Run(seconds(2));
  CHECK(world.AllHeard());
}

TEST_CASE("what a daemon says of itself reaches the others with its next beat", "[runtime][mesh]")
{
  MeshWorld world(3);
  world.Run(seconds(3));
  world.nodes[2]->listener.self.claims["service"] = 7;
  world.nodes[2]->mesh.BeatNow();
  world.Run(kMeshTick);
  for (const MeshPeer* it : world.nodes[1]->mesh.LivePeers()) {
    CHECK(it->claims.contains("service") == (it->ref.id == "d2"));
  }
}

TEST_CASE("a settled daemon's beats cost little", "[runtime][mesh]")
{
  MeshWorld world(9);
  world.Run(seconds(10));
  world.network.bytes = 0;
  world.Run(seconds(10));
  // Budget for all control traffic of a daemon: 21 KB/s, also where all hear each other.
  CHECK(static_cast<double>(world.network.bytes) / 9 / 10 < 2000.0);
}
