/// @file
/// Tests how daemons discover each other, exchange heartbeats and detect lost peers.

#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

TEST_CASE("daemons that know the address of one of them discover all others", "[runtime][mesh]")
{
  MeshSimulation simulation(9);
  simulation.Run(seconds(3));
  CHECK(simulation.AllLive());
}

TEST_CASE("a daemon whose first heartbeats are lost is discovered later", "[runtime][mesh]")
{
  MeshSimulation simulation(5);
  simulation.Run(seconds(3));
  MeshNode& late = simulation.Add("late", "south");
  simulation.network.isolated = { "late" };
  late.mesh.AddEndpoint("d0");
  simulation.Run(seconds(4));
  simulation.network.isolated.clear();
  simulation.Run(seconds(3));
  CHECK(simulation.AllLive());
}

TEST_CASE("a daemon that is isolated counts as lost, and as live after the partition ends",
          "[runtime][mesh]")
{
  MeshSimulation simulation(4);
  simulation.Run(seconds(3));
  simulation.network.isolated = { "d1" };
  simulation.Run(milliseconds(2300));
  CHECK(simulation.nodes[1]->mesh.LivePeers().empty());
  CHECK_FALSE(simulation.nodes[0]->mesh.IsLive("d1"));
  CHECK(simulation.nodes[0]->listener.lost == std::vector<std::string>{ "d1" });
  simulation.network.isolated.clear();
  simulation.Run(seconds(2));
  CHECK(simulation.AllLive());
}

TEST_CASE("daemons that are cut off still count when a limit is split", "[runtime][mesh]")
{
  MeshSimulation simulation(4);
  simulation.Run(seconds(3));
  simulation.network.isolated = { "d1" };
  simulation.Run(seconds(30));
  CHECK(simulation.nodes[1]->mesh.KnownPeers(simulation.timers.now).size() == 3);
  CHECK(simulation.nodes[0]->mesh.KnownPeers(simulation.timers.now).size() == 3);
  simulation.Run(seconds(40));
  CHECK(simulation.nodes[1]->mesh.KnownPeers(simulation.timers.now).empty());
  CHECK(simulation.nodes[0]->mesh.KnownPeers(simulation.timers.now).size() == 2);
}

TEST_CASE("what a daemon reports about itself reaches the others with its next heartbeat",
          "[runtime][mesh]")
{
  MeshSimulation simulation(3);
  simulation.Run(seconds(3));
  simulation.nodes[2]->listener.self.claims["service"] = 7;
  simulation.nodes[2]->mesh.SendHeartbeatNow();
  simulation.Run(kMeshTick);
  for (const MeshPeer* it : simulation.nodes[1]->mesh.LivePeers()) {
    CHECK(it->claims.contains("service") == (it->ref.id == "d2"));
  }
}

TEST_CASE("malformed heartbeats that a relay passes on are ignored", "[runtime][mesh]")
{
  MeshSimulation simulation(3);
  simulation.Run(seconds(3));
  wire::Envelope message;
  message.mutable_from()->set_id("d1");
  message.mutable_from()->set_incarnation(1);
  wire::RouterBeat& heartbeat = *message.mutable_beat();
  heartbeat.set_sequence(1000000);
  heartbeat.set_relay_use(99);
  // Without a name; without an address; of the receiver itself.
  heartbeat.add_relayed()->mutable_beat()->set_endpoint("e");
  heartbeat.add_relayed()->mutable_from()->set_id("nowhere");
  wire::RelayedBeat& ofReceiver = *heartbeat.add_relayed();
  ofReceiver.mutable_from()->set_id("d0");
  ofReceiver.mutable_from()->set_incarnation(7);
  ofReceiver.mutable_beat()->set_endpoint("elsewhere");
  // More numbers than ages, and an age beyond any bound.
  heartbeat.add_heard(1);
  heartbeat.add_heard(2);
  heartbeat.add_heard_ages(0xffffffff);
  Mesh& mesh = simulation.nodes[0]->mesh;
  mesh.Receive(message);
  CHECK(mesh.LivePeers().size() == 2);
  CHECK(mesh.KnownPeers(simulation.timers.now).size() == 2);
  CHECK(mesh.Self().incarnation == 1);
  CHECK(mesh.IsLive("d1"));
}

TEST_CASE("the answer to a question for heartbeats names each daemon once", "[runtime][mesh]")
{
  MeshSimulation simulation(3);
  simulation.Run(seconds(3));
  wire::Envelope question;
  question.mutable_from()->set_id("d1");
  question.mutable_from()->set_incarnation(1);
  const std::uint32_t number = simulation.nodes[0]->mesh.LivePeers().back()->contentNumber;
  for (int n = 0; n < 1000; ++n) {
    question.mutable_relayed_beats_question()->add_numbers(number);
  }
  simulation.nodes[0]->mesh.Receive(question);
  REQUIRE(simulation.network.messages.size() == 1);
  CHECK(simulation.network.messages.front().second.beat().relayed_size() == 1);
}

TEST_CASE("heartbeats between known peers stay within their traffic budget", "[runtime][mesh]")
{
  MeshSimulation simulation(9);
  simulation.Run(seconds(10));
  simulation.network.bytes = 0;
  simulation.Run(seconds(10));
  // All control traffic of a daemon has a budget of 21 KB/s, also where every daemon exchanges
  // heartbeats with every other one.
  CHECK(static_cast<double>(simulation.network.bytes) / 9 / 10 < 2000.0);
}
