/// @file
/// Heartbeats in fleets of many sizes: what they cost, how soon a loss is known, and what happens
/// when relays, failure domains or all daemons are lost.

#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr Duration kStartTime = seconds(4);
/// A daemon's loss must be known by then in its own domain, and elsewhere.
constexpr Duration kOwnLossBound = milliseconds(1300);
constexpr Duration kForeignLossBound = milliseconds(2000);
/// One tick for the loss to be noticed in.
constexpr Duration kSlack = kMeshTick;
constexpr double kControlBytesPerSecond = 21000.0;
constexpr double kMemberMessagesPerSecond = 40.0;

struct Shape
{
  unsigned daemons;
  unsigned domains;

  unsigned DomainSize() const { return (daemons + domains - 1) / domains; }
  std::vector<std::string> Domains() const
  {
    std::vector<std::string> names;
    for (unsigned n = 0; n < domains; ++n) {
      names.push_back("z" + std::to_string(n));
    }
    return names;
  }
};

/// A fleet whose daemons all know each other.
class SettledFleet : public MeshSimulation
{
public:
  explicit SettledFleet(const Shape& aShape)
    : MeshSimulation(aShape.daemons, aShape.Domains())
  {
    Run(kStartTime);
    REQUIRE(AllLive());
    for (const auto& it : nodes) {
      it->listener.lost.clear();
    }
  }
};

/// Whether daemons other than @p aExpected were taken for lost.
bool AnyLostBut(const MeshSimulation& aSimulation, const std::set<std::string>& aExpected)
{
  for (const auto& node : aSimulation.nodes) {
    if (aExpected.contains(node->mesh.Self().id)) {
      continue;
    }
    for (const std::string& it : node->listener.lost) {
      if (!aExpected.contains(it)) {
        UNSCOPED_INFO(node->mesh.Self().id << " has lost " << it);
        return true;
      }
    }
  }
  return false;
}

/// Whether a daemon is live for any other one, of its domain or of the others.
bool IsLiveForAny(const MeshSimulation& aSimulation, const MeshNode& aNode, bool aOwnDomain)
{
  return std::any_of(aSimulation.nodes.begin(), aSimulation.nodes.end(), [&](const auto& aOther) {
    const bool asked = (aOther->mesh.Domain() == aNode.mesh.Domain()) == aOwnDomain;
    return asked && aOther->mesh.IsLive(aNode.mesh.Self().id);
  });
}

std::set<std::string> RelaysIn(const MeshSimulation& aSimulation, const std::string& aDomain)
{
  std::set<std::string> relays;
  for (const auto& it : aSimulation.nodes) {
    if (it->mesh.Domain() == aDomain && it->mesh.Relays().contains(it->mesh.Self().id)) {
      relays.insert(it->mesh.Self().id);
    }
  }
  return relays;
}

/// What a settled fleet's heartbeats cost each daemon.
void CheckCost(const Shape& aShape)
{
  INFO(aShape.daemons << " daemons in " << aShape.domains << " domains");
  SettledFleet simulation(aShape);
  simulation.network.traffic.clear();
  constexpr int kSeconds = 5;
  simulation.Run(seconds(kSeconds));
  for (const auto& it : simulation.nodes) {
    const Network::Traffic& traffic = simulation.network.traffic[it->mesh.Self().id];
    const double messages = static_cast<double>(traffic.messages) / kSeconds;
    const bool relay = it->mesh.Relays().contains(it->mesh.Self().id);
    INFO(it->mesh.Self().id << (relay ? ", a relay" : ""));
    // A relay is told by each member and tells it, and the relays of other domains.
    const double bound =
      relay ? 10.0 * (aShape.DomainSize() + 2 * aShape.domains) : kMemberMessagesPerSecond;
    CHECK(messages < bound);
    if (!relay) {
      CHECK(static_cast<double>(traffic.bytes) / kSeconds < kControlBytesPerSecond / 2);
    }
  }
  CHECK_FALSE(AnyLostBut(simulation, {}));
}

/// How soon the loss of a daemon is known.
void CheckLoss(const Shape& aShape, unsigned aLost)
{
  INFO(aShape.daemons << " daemons, " << aLost << " is lost");
  SettledFleet simulation(aShape);
  const MeshNode& node = *simulation.nodes[aLost];
  simulation.network.isolated = { node.mesh.Self().id };
  simulation.Run(kOwnLossBound + kSlack);
  CHECK_FALSE(IsLiveForAny(simulation, node, true));
  simulation.Run(kForeignLossBound - kOwnLossBound);
  CHECK_FALSE(IsLiveForAny(simulation, node, false));
  simulation.Run(seconds(3));
  CHECK_FALSE(AnyLostBut(simulation, { node.mesh.Self().id }));
}

/// All relays of a domain are lost at once.
void CheckRelaysLost(const Shape& aShape)
{
  INFO(aShape.daemons << " daemons");
  SettledFleet simulation(aShape);
  const std::set<std::string> relays = RelaysIn(simulation, "z1");
  REQUIRE(relays.size() == 2);
  simulation.network.isolated = relays;
  simulation.Run(seconds(6));
  CHECK_FALSE(AnyLostBut(simulation, relays));
  simulation.network.isolated.clear();
  simulation.Run(seconds(2));
  CHECK(simulation.AllLive());
}

void CheckRestart(const Shape& aShape)
{
  INFO(aShape.daemons << " daemons");
  SettledFleet simulation(aShape);
  simulation.RestartAll();
  simulation.Run(seconds(2));
  CHECK(simulation.AllLive());
}

} // namespace

TEST_CASE("messages of a daemon grow with its domain and the number of domains, not with the fleet",
          "[runtime][mesh]")
{
  CheckCost(GENERATE(Shape{ 48, 4 }, Shape{ 91, 6 }));
}

TEST_CASE("the loss of a daemon is soon known everywhere, and no other is taken for lost",
          "[runtime][mesh]")
{
  const Shape shape = GENERATE(Shape{ 9, 3 }, Shape{ 48, 4 }, Shape{ 91, 6 });
  CheckLoss(shape, GENERATE(0U, 5U));
}

TEST_CASE("daemons that tell their own domain, or relays, of many changes are heard by all",
          "[runtime][mesh]")
{
  const Shape shape = GENERATE(Shape{ 9, 3 }, Shape{ 48, 4 });
  const bool toRelays = GENERATE(false, true);
  INFO(shape.daemons << " daemons, " << (toRelays ? "to relays" : "to the own domain"));
  SettledFleet simulation(shape);
  for (Duration time = Duration::zero(); time < seconds(5); time += 3 * kMeshTick) {
    for (const auto& it : simulation.nodes) {
      if (toRelays) {
        it->mesh.SendHeartbeatToRelays();
      } else {
        it->mesh.SendHeartbeatNow(Mesh::Audience::kOwnDomain);
      }
    }
    simulation.Run(3 * kMeshTick);
    CHECK_FALSE(AnyLostBut(simulation, {}));
  }
}

TEST_CASE("a daemon that was cut off alone is found again", "[runtime][mesh]")
{
  const Duration time = GENERATE(seconds(3), seconds(20));
  const unsigned cut = GENERATE(0U, 5U);
  INFO("daemon " << cut << " for " << Millis(time) << " ms");
  SettledFleet simulation({ 48, 4 });
  simulation.network.isolated = { simulation.nodes[cut]->mesh.Self().id };
  simulation.Run(time);
  simulation.network.isolated.clear();
  simulation.Run(milliseconds(1500));
  CHECK(simulation.AllLive());
}

TEST_CASE("all relays of a failure domain are lost at once, and nobody else is taken for lost",
          "[runtime][mesh]")
{
  CheckRelaysLost(GENERATE(Shape{ 48, 4 }, Shape{ 91, 6 }));
}

TEST_CASE("a failure domain that was cut off is found again", "[runtime][mesh]")
{
  const Duration time = GENERATE(seconds(3), seconds(20));
  SettledFleet simulation({ 48, 4 });
  for (const auto& it : simulation.nodes) {
    if (it->mesh.Domain() == "z1") {
      simulation.network.island.insert(it->mesh.Self().id);
    }
  }
  simulation.Run(time);
  for (const auto& it : simulation.nodes) {
    const bool inside = it->mesh.Domain() == "z1";
    CHECK(it->mesh.LivePeers().size() == (inside ? 11 : 35));
  }
  simulation.network.island.clear();
  simulation.Run(milliseconds(1500));
  CHECK(simulation.AllLive());
}

TEST_CASE("daemons that all restart at once know each other within two seconds", "[runtime][mesh]")
{
  CheckRestart(GENERATE(Shape{ 9, 3 }, Shape{ 48, 4 }, Shape{ 91, 6 }));
}

TEST_CASE("that a daemon leaves is known everywhere within half a second", "[runtime][mesh]")
{
  const unsigned leaving = GENERATE(0U, 5U);
  SettledFleet simulation({ 48, 4 });
  MeshNode& node = *simulation.nodes[leaving];
  node.listener.self.leaving = true;
  node.mesh.SendHeartbeatNow();
  simulation.Run(milliseconds(500));
  for (const auto& it : simulation.nodes) {
    for (const MeshPeer* peer : it->mesh.LivePeers()) {
      CHECK(peer->leaving == (peer->ref.id == node.mesh.Self().id));
    }
  }
}

TEST_CASE("relays that used no relay themselves a moment ago are used all the same",
          "[runtime][mesh]")
{
  SettledFleet simulation({ 48, 4 });
  const std::set<std::string> relays = RelaysIn(simulation, "z1");
  MeshNode& member = *simulation.nodes[5];
  REQUIRE_FALSE(relays.contains(member.mesh.Self().id));
  // A relay takes only the first of two messages with one heartbeat.
  std::map<std::string, std::map<std::uint64_t, bool>> usedAsRelay;
  simulation.network.onSend =
    [&](const std::string& aFrom, const std::string& aTo, const wire::Envelope& aMessage) {
      if (aFrom == member.mesh.Self().id && relays.contains(aTo) && aMessage.has_beat()) {
        const wire::RouterBeat& heartbeat = aMessage.beat();
        usedAsRelay[aTo].try_emplace(heartbeat.sequence(), heartbeat.relay_use() != 0);
      }
    };
  for (Duration time = Duration::zero(); time < milliseconds(420); time += kMeshTick) {
    for (const MeshPeer* it : member.mesh.LivePeers()) {
      if (relays.contains(it->ref.id)) {
        wire::Envelope heartbeat;
        heartbeat.mutable_from()->set_id(it->ref.id);
        heartbeat.mutable_from()->set_incarnation(it->ref.incarnation);
        heartbeat.mutable_beat()->set_sequence(it->sequence + 1);
        heartbeat.mutable_beat()->set_direct(true);
        // It passes something on, so that it is not replaced as silent.
        heartbeat.mutable_beat()->add_heard(it->contentNumber);
        heartbeat.mutable_beat()->add_heard_ages(0);
        member.mesh.Receive(heartbeat);
      }
    }
    simulation.Run(kMeshTick);
  }
  for (const std::string& it : relays) {
    REQUIRE_FALSE(usedAsRelay[it].empty());
    for (const auto& [sequence, used] : usedAsRelay[it]) {
      CHECK(used);
    }
  }
}

TEST_CASE("a daemon whose version knows no relays hears all, and is heard by all",
          "[runtime][mesh]")
{
  SettledFleet simulation({ 48, 4 });
  Network::Port port(simulation.network, "old");
  std::set<std::string> heard;
  simulation.network.onSend =
    [&](const std::string& aFrom, const std::string& aTo, const wire::Envelope&) {
      if (aTo == "old") {
        heard.insert(aFrom);
      }
    };
  for (std::uint64_t n = 1; n <= 12; ++n) {
    wire::Envelope heartbeat;
    heartbeat.mutable_from()->set_id("old");
    heartbeat.mutable_from()->set_incarnation(1);
    heartbeat.mutable_beat()->set_sequence(n);
    heartbeat.mutable_beat()->set_domain("z1");
    heartbeat.mutable_beat()->set_endpoint("old");
    for (const auto& it : simulation.nodes) {
      port.Send(it->mesh.Self().id, heartbeat, Delivery::kSoon, nullptr);
    }
    if (n == 8) {
      heard.clear();
    }
    simulation.Run(milliseconds(400));
  }
  CHECK(heard.size() == simulation.nodes.size());
  for (const auto& it : simulation.nodes) {
    CHECK(it->mesh.IsLive("old"));
    CHECK_FALSE(it->mesh.Relays().contains("old"));
  }
}

TEST_CASE("heartbeats of the largest fleets", "[.large-fleet]")
{
  const Shape shape = GENERATE(Shape{ 195, 6 }, Shape{ 341, 6 }, Shape{ 470, 10 });
  CheckCost(shape);
  CheckLoss(shape, 5);
  CheckRelaysLost(shape);
  CheckRestart(shape);
}
