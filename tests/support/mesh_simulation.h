/// @file
/// Simulates the meshes of several daemons over a network from which a test can isolate daemons.
#pragma once

#include "runtime/mesh.h"
#include "tests/support/manual_timers.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug::test {

inline constexpr Duration kMeshTick = milliseconds(20);

/// Queues messages for delivery; drops those from and to isolated endpoints.
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
      if (!mNetwork.isolated.contains(mFrom) && !mNetwork.isolated.contains(aEndpoint)) {
        mNetwork.messages.emplace_back(aEndpoint, std::move(aMessage));
      }
    }
    bool IsRefused(const std::string&) override { return false; }

  private:
    Network& mNetwork;
    std::string mFrom;
  };

  std::deque<std::pair<std::string, wire::Envelope>> messages;
  /// Endpoints that are isolated from all others.
  std::set<std::string> isolated;
  /// Size of all messages sent, dropped ones included.
  std::size_t bytes = 0;
};

/// Records what the mesh reports.
class RecordingMeshListener : public MeshListener
{
public:
  MeshSelf DescribeSelf() override { return self; }
  void OnHeartbeat(const MeshPeer&, const wire::RouterBeat&) override {}
  void OnMessage(const MeshPeer&, const wire::Envelope& aMessage) override
  {
    messages.push_back(aMessage);
  }
  void OnPeerLost(const std::string& aDaemon) override { lost.push_back(aDaemon); }

  MeshSelf self;
  std::vector<std::string> lost;
  std::vector<wire::Envelope> messages;
};

/// One daemon's mesh and what it needs.
struct MeshNode
{
  MeshNode(Network& aNetwork,
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
  RecordingMeshListener listener;
  Mesh mesh;
};

/// Daemons "d0", "d1", ... alternately in the domains "north" and "south"; all know the address of
/// "d0".
class MeshSimulation
{
public:
  explicit MeshSimulation(unsigned aCount)
  {
    for (unsigned n = 0; n < aCount; ++n) {
      Add("d" + std::to_string(n), n % 2 == 0 ? "north" : "south");
    }
    for (unsigned n = 1; n < aCount; ++n) {
      nodes[n]->mesh.AddEndpoint("d0");
    }
  }

  MeshNode& Add(const std::string& aId, const std::string& aDomain)
  {
    nodes.push_back(std::make_unique<MeshNode>(network, timers, log, aId, aDomain));
    return *nodes.back();
  }

  /// Advances the simulated time by @p aTime and delivers all messages.
  void Run(Duration aTime)
  {
    for (const Instant end = timers.now + aTime; timers.now < end; timers.now += kMeshTick) {
      for (const auto& it : nodes) {
        it->mesh.Tick(timers.now);
      }
      while (!network.messages.empty()) {
        const auto [endpoint, message] = network.messages.front();
        network.messages.pop_front();
        for (const auto& it : nodes) {
          if (it->mesh.Self().id == endpoint) {
            it->mesh.Receive(message);
          }
        }
      }
    }
  }

  /// Whether every daemon has every other one as a live peer.
  bool AllLive() const
  {
    return std::all_of(nodes.begin(), nodes.end(), [this](const auto& aNode) {
      return aNode->mesh.LivePeers().size() == nodes.size() - 1;
    });
  }

  Network network;
  ManualTimers timers;
  DecisionLog log{ "test" };
  std::vector<std::unique_ptr<MeshNode>> nodes;
};

} // namespace hawthornlug::test
