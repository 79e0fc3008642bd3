/// @file
/// Several daemons' meshes over a network that a test cuts and that loses messages.

#include "runtime/mesh.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace hawthornlug;
using hawthornlug::test::ManualTimers;

namespace {

constexpr Duration kTick = milliseconds(20);

/// Passes messages on; loses those to addresses that are not reached.
class Network
{
public:
  class Port : public PeerPort
  {
  public:
    Port(Network& aNetwork, std::string aFrom)
      : mNetwork(aNetwork)
      , mFrom(std::move(aFrom))
    {
    }
    void SetReceiver(Receiver) override {}
    void Send(const std::string& aEndpoint, wire::Envelope aMessage, Delivery, Unsent) override
    {
      mNetwork.bytes += aMessage.ByteSizeLong();
      if (!mNetwork.cut.contains(mFrom) && !mNetwork.cut.contains(aEndpoint)) {
        mNetwork.messages.emplace_back(aEndpoint, std::move(aMessage));
      }
    }
    bool IsRefused(const std::string&) override { return false; }

  private:
    Network& mNetwork;
    std::string mFrom;
  };

  std::deque<std::pair<std::string, wire::Envelope>> messages;
  /// Endpoints that are cut off from all others.
  std::set<std::string> cut;
  std::size_t bytes = 0;
};

class Listener : public MeshListener
{
public:
  MeshSelf DescribeSelf() override { return self; }
  void OnBeat(const MeshPeer&, const wire::RouterBeat&) override {}
  void OnMessage(const MeshPeer&, const wire::Envelope&) override {}
  void OnPeerLost(const std::string& aDaemon) override { lost.push_back(aDaemon); }

  MeshSelf self;
  std::vector<std::string> lost;
};

/// One daemon's mesh and what it needs.
struct Node
{
  Node(Network& aNetwork,
       ManualTimers& aTimers,
       DecisionLog& aLog,
       const std::string& aId,
       const std::string& aDomain)
    : port(aNetwork, aId)
    , mesh(port, aTimers, aLog, { aId, 1 }, aDomain, aId)
  {
    mesh.SetListener(listener);
  }

  Network::Port port;
  Listener listener;
  Mesh mesh;
};

class World
{
public:
  explicit World(unsigned aCount)
  {
    for (unsigned n = 0; n < aCount; ++n) {
      Add("d" + std::to_string(n), n % 2 == 0 ? "north" : "south");
    }
    for (unsigned n = 1; n < aCount; ++n) {
      nodes[n]->mesh.AddEndpoint("d0");
    }
  }

  Node& Add(const std::string& aId, const std::string& aDomain)
  {
    nodes.push_back(std::make_unique<Node>(network, timers, log, aId, aDomain));
    return *nodes.back();
  }

  void Run(Duration aTime)
  {
    for (const Instant end = timers.now + aTime; timers.now < end; timers.now += kTick) {
      for (const auto& it : nodes) {
        it->mesh.Tick(timers.now);
      }
      while (!network.messages.empty()) {
        const auto [endpoint, message] = network.messages.front();
        network.messages.pop_front();
        for (const auto& it : nodes) {
          if (it->mesh.Self().id == endpoint) {
            it->mesh.Take(message);
          }
        }
      }
    }
  }

  /// Whether every daemon hears every other one.
  bool AllHeard() const
  {
    return std::all_of(nodes.begin(), nodes.end(), [this](const auto& aNode) {
      return aNode->mesh.LivePeers().size() == nodes.size() - 1;
    });
  }

  Network network;
  ManualTimers timers;
  DecisionLog log{ "test" };
  std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

TEST_CASE("daemons that know one of them find all others", "[runtime][mesh]")
{
  World world(9);
  world.Run(seconds(3));
  CHECK(world.AllHeard());
}

TEST_CASE("a daemon whose first beats are lost is heard all the same", "[runtime][mesh]")
{
  World world(5);
  world.Run(seconds(3));
  Node& late = world.Add("late", "south");
  world.network.cut = { "late" };
  late.mesh.AddEndpoint("d0");
  world.Run(seconds(4));
  world.network.cut.clear();
  world.Run(seconds(3));
  CHECK(world.AllHeard());
}

TEST_CASE("a daemon that is cut off is lost, and heard again afterwards", "[runtime][mesh]")
{
  World world(4);
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
  World world(3);
  world.Run(seconds(3));
  world.nodes[2]->listener.self.claims["service"] = 7;
  world.nodes[2]->mesh.BeatNow();
  world.Run(kTick);
  for (const MeshPeer* it : world.nodes[1]->mesh.LivePeers()) {
    CHECK(it->claims.contains("service") == (it->ref.id == "d2"));
  }
}

TEST_CASE("a settled daemon's beats cost little", "[runtime][mesh]")
{
  World world(9);
  world.Run(seconds(10));
  world.network.bytes = 0;
  world.Run(seconds(10));
  // Budget for all control traffic of a daemon: 21 KB/s, also where all hear each other.
  CHECK(static_cast<double>(world.network.bytes) / 9 / 10 < 2000.0);
}
