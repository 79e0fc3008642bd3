/// @file
/// Simulates the meshes of several daemons over a network from which a test can isolate daemons.
#pragma once

#include "runtime/mesh.h"
#include "tests/support/manual_timers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
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
      for (const std::string& it : { mFrom, aEndpoint }) {
        ++mNetwork.traffic[it].messages;
        mNetwork.traffic[it].bytes += aMessage.ByteSizeLong();
      }
      if (mNetwork.onSend) {
        mNetwork.onSend(mFrom, aEndpoint, aMessage);
      }
      if (!mNetwork.IsCut(mFrom, aEndpoint)) {
        mNetwork.messages.emplace_back(aEndpoint, std::move(aMessage));
      }
    }
    bool IsRefused(const std::string&) override { return false; }

  private:
    Network& mNetwork;
    std::string mFrom;
  };

  /// Messages that an endpoint has sent and received; dropped ones included.
  struct Traffic
  {
    std::size_t messages = 0;
    std::size_t bytes = 0;
  };

  bool IsCut(const std::string& aFrom, const std::string& aTo) const
  {
    const bool partitioned = !island.empty() && island.contains(aFrom) != island.contains(aTo);
    return partitioned || isolated.contains(aFrom) || isolated.contains(aTo);
  }

  std::deque<std::pair<std::string, wire::Envelope>> messages;
  /// Endpoints that are isolated from all others.
  std::set<std::string> isolated;
  /// Endpoints that reach each other, but none of the others.
  std::set<std::string> island;
  std::map<std::string, Traffic> traffic;
  /// Called with sender, receiver and each message that is sent.
  std::function<void(const std::string&, const std::string&, const wire::Envelope&)> onSend;
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
           const std::string& aDomain,
           Incarnation aIncarnation = 1)
    : port(aNetwork, aId)
    , mesh(port, aTimers, aLog, { aId, aIncarnation }, aDomain, aId)
  {
    mesh.SetListener(listener);
  }

  Network::Port port;
  RecordingMeshListener listener;
  Mesh mesh;
};

/// Daemons "d0", "d1", ... in the given domains in turn; all know the address of "d0".
class MeshSimulation
{
public:
  explicit MeshSimulation(unsigned aCount,
                          const std::vector<std::string>& aDomains = { "north", "south" })
  {
    for (unsigned n = 0; n < aCount; ++n) {
      Add("d" + std::to_string(n), aDomains[n % aDomains.size()]);
    }
    for (unsigned n = 1; n < aCount; ++n) {
      nodes[n]->mesh.AddEndpoint("d0");
    }
  }

  /// Replaces every daemon by a new run of it that knows the address of "d0" only.
  void RestartAll()
  {
    for (std::unique_ptr<MeshNode>& it : nodes) {
      const DaemonRef self = it->mesh.Self();
      it = std::make_unique<MeshNode>(
        network, timers, log, self.id, it->mesh.Domain(), self.incarnation + 1);
      it->mesh.AddEndpoint("d0");
    }
    network.messages.clear();
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
      Deliver();
    }
  }

  /// Whether every daemon has every other one as a live peer.
  bool AllLive() const
  {
    return std::all_of(nodes.begin(), nodes.end(), [this](const auto& aNode) {
      const std::size_t live = aNode->mesh.LivePeers().size();
      if (live != nodes.size() - 1) {
        UNSCOPED_INFO(aNode->mesh.Self().id << " has " << live << " live peers");
      }
      return live == nodes.size() - 1;
    });
  }

  Network network;
  ManualTimers timers;
  DecisionLog log{ "test" };
  std::vector<std::unique_ptr<MeshNode>> nodes;

private:
  void Deliver()
  {
    std::map<std::string, MeshNode*> receivers;
    for (const auto& it : nodes) {
      receivers[it->mesh.Self().id] = it.get();
    }
    while (!network.messages.empty()) {
      const auto [endpoint, message] = std::move(network.messages.front());
      network.messages.pop_front();
      const auto receiver = receivers.find(endpoint);
      if (receiver != receivers.end()) {
        receiver->second->mesh.Receive(message);
      }
    }
  }
};

} // namespace hawthornlug::test
