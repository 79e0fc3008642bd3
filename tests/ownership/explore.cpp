/// @file
/// Model checker for CellMachine: a breadth-first search over all sequences of deliveries, losses,
/// restarts, takeovers and time steps, up to a depth, starting from a small cell that serves.
///
/// usage: explore [--depth N] [--states N] [--shape plain|heirless|unchecked|transfer]
/// Prints the number of states that were seen. If an invariant is violated, prints the events that
/// led to it and exits with 1.

#include "core/hashing.h"
#include "tests/standins/flags.h"
#include "tests/support/cluster_simulation.h"

#include <deque>
#include <functional>
#include <iostream>
#include <unordered_set>

namespace {

using namespace hawthornlug;
using namespace hawthornlug::testing;

const std::string kCell = "cells/s/x/0";
const std::string kOtherCell = "cells/s/y/0";
/// Long enough for a lease to expire within three steps, short enough for a step to end between a
/// renewal and the expiry.
constexpr Duration kTimeStep = milliseconds(450);

/// An event that may happen next, and how to apply it.
struct Event
{
  std::string name;
  std::function<void(ClusterSimulation&)> apply;
};

/// Limits on values that only grow: events beyond them are left out, so that the search stays
/// small.
struct SearchBounds
{
  Incarnation maxServerIncarnation = 2;
  FencingToken maxToken = 3;
  Epoch maxEpoch = 7;
};

ClusterShape ShapeOf(const std::string& aName)
{
  ClusterShape shape;
  shape.daemons = { "d1", "d2" };
  shape.cells[kCell] = { "a", "b" };
  shape.shards[kCell] = { 0 };
  // Lease renewals no more often than time steps keep the number of states small.
  shape.timings.renewInterval = kTimeStep;
  shape.timings.retryDelay = kTimeStep;
  shape.timings.maxOrderDuration = milliseconds(500);
  if (aName == "heirless") {
    shape.cells[kCell] = { "a" };
  } else if (aName == "unchecked") {
    shape.unchecked = { "a", "b" };
  } else if (aName == "transfer") {
    shape.daemons = { "d1" };
    shape.cells[kCell] = { "a" };
    shape.cells[kOtherCell] = { "e" };
  }
  return shape;
}

/// All events that may happen next.
std::vector<Event> PossibleEvents(ClusterSimulation& aCluster,
                                  const ClusterShape& aShape,
                                  const SearchBounds& aBounds)
{
  std::vector<Event> events;
  const auto add = [&](std::string aName, std::function<void(ClusterSimulation&)> aApply) {
    events.push_back({ std::move(aName), std::move(aApply) });
  };
  for (const Message& it : aCluster.Messages()) {
    const std::uint64_t n = it.number;
    add("deliver " + std::to_string(n),
        [n](ClusterSimulation& aNextState) { aNextState.Deliver(n); });
    if (!it.abandoned && !it.failed) {
      add("time out " + std::to_string(n),
          [n](ClusterSimulation& aNextState) { aNextState.TimeOutMessage(n, false); });
    }
  }
  add("time step", [](ClusterSimulation& aNextState) { aNextState.Advance(kTimeStep); });
  for (const auto& entry : aShape.cells) {
    const std::string cell = entry.first;
    const std::vector<std::string>& servers = entry.second;
    for (const std::string& daemon : aShape.daemons) {
      if (!aCluster.Daemons().at(daemon).alive) {
        continue;
      }
      const CellMachine& machine = aCluster.MachineOf(daemon, cell);
      const CellRole role = machine.Role();
      if (role == CellRole::kIdle && machine.LastKnownObject().token < aBounds.maxToken) {
        add(daemon + " takes over", [=](ClusterSimulation& aNextState) {
          aNextState.SendCachedObjects(daemon);
          aNextState.TakeOver(daemon, cell);
        });
      }
      const auto owner = machine.OwnerOf(0);
      if (role != CellRole::kAttached || !owner || owner->epoch >= aBounds.maxEpoch) {
        continue;
      }
      for (const std::string& server : servers) {
        std::string name = daemon;
        name.append(" moves the shard to ").append(server);
        add(std::move(name),
            [=](ClusterSimulation& aNextState) { aNextState.MoveShard(daemon, cell, 0, server); });
      }
      for (const auto& target : aShape.cells) {
        const std::string other = target.first;
        if (other != cell) {
          std::string name = daemon;
          name.append(" sends the shard to ").append(other);
          add(std::move(name),
              [=](ClusterSimulation& aNextState) { aNextState.SendShard(daemon, cell, 0, other); });
        }
      }
      add(daemon + " receives cached objects",
          [=](ClusterSimulation& aNextState) { aNextState.SendCachedObjects(daemon); });
    }
  }
  if (aShape.daemons.size() > 1) {
    if (aCluster.Daemons().at("d1").alive) {
      add("d1 is killed", [](ClusterSimulation& aNextState) { aNextState.KillDaemon("d1"); });
    } else {
      const DaemonRef stopped = aCluster.StoppedDaemons().front();
      add("d2 confirms that d1 has stopped", [stopped](ClusterSimulation& aNextState) {
        aNextState.ConfirmDaemonStopped("d2", stopped);
      });
    }
  }
  for (const auto& [id, server] : aCluster.Servers()) {
    if (server.incarnation < aBounds.maxServerIncarnation) {
      add(id + " restarts",
          [id = id](ClusterSimulation& aNextState) { aNextState.RestartServer(id); });
    }
  }
  return events;
}

/// A reached state and the events that led to it.
struct SearchNode
{
  ClusterSimulation cluster;
  std::size_t depth = 0;
  std::vector<std::string> path;
};

int Explore(const std::string& aShapeName, std::size_t aDepthLimit, std::size_t aStateLimit)
{
  const ClusterShape shape = ShapeOf(aShapeName);
  ClusterSimulation start(shape);
  start.DisableTranscript();
  for (const auto& [cell, servers] : shape.cells) {
    start.TakeOver("d1", cell);
    start.DeliverAll();
    start.TakeOver("d1", cell);
  }
  start.RunFor(milliseconds(1400), kTimeStep);
  std::unordered_set<std::uint64_t> seen = { HashOf(start.Describe()) };
  std::deque<SearchNode> queue;
  queue.push_back({ start, 0, {} });
  std::size_t servingStates = 0;
  std::size_t maxDepth = 0;
  while (!queue.empty() && seen.size() < aStateLimit) {
    SearchNode node = std::move(queue.front());
    queue.pop_front();
    if (node.depth >= aDepthLimit) {
      continue;
    }
    for (const Event& it : PossibleEvents(node.cluster, shape, SearchBounds{})) {
      SearchNode next = node;
      it.apply(next.cluster);
      ++next.depth;
      next.path.push_back(it.name);
      if (!next.cluster.Violation().empty()) {
        std::cout << aShapeName << ": " << next.cluster.Violation() << " after " << seen.size()
                  << " states:\n";
        for (const std::string& event : next.path) {
          std::cout << "  " << event << '\n';
        }
        return 1;
      }
      if (!seen.insert(HashOf(next.cluster.Describe())).second) {
        continue;
      }
      servingStates += next.cluster.CountServedShards() > 0 ? 1 : 0;
      maxDepth = std::max(maxDepth, next.depth);
      queue.push_back(std::move(next));
    }
  }
  std::cout << aShapeName << ": one owner per shard in " << seen.size() << " states, " << maxDepth
            << " steps deep, serving a shard in " << servingStates << '\n';
  // A search that stays near the start, or in which no shard is ever served, would check nothing.
  return maxDepth > 3 && servingStates > 0 ? 0 : 1;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const standins::Flags flags(aArgumentCount, aArguments);
  return Explore(flags.Text("shape", "plain"),
                 static_cast<std::size_t>(flags.Number("depth", 40)),
                 static_cast<std::size_t>(flags.Number("states", 200000)));
}
