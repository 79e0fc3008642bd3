/// @file
/// Explores the real decision code of one small cell: every order of deliveries, losses, restarts,
/// takeovers and steps of time, up to a depth, from a cell that serves.
///
/// usage: explore [--depth N] [--states N] [--shape plain|heirless|unchecked|transfer]
/// Prints how many states were seen; exits with 1 and the steps that led there when an invariant
/// breaks.

#include "core/hashing.h"
#include "tests/standins/flags.h"
#include "tests/support/world.h"

#include <deque>
#include <functional>
#include <iostream>
#include <unordered_set>

namespace {

using namespace hawthornlug;
using namespace hawthornlug::testing;

const std::string kCell = "cells/s/x/0";
const std::string kOther = "cells/s/y/0";
/// Long enough for a lapse in three steps, short enough to fall between a renewal and the lapse.
constexpr Duration kStep = milliseconds(450);

struct Choice
{
  std::string name;
  std::function<void(World&)> act;
};

struct Bounds
{
  Incarnation maxServerRuns = 2;
  FencingToken maxToken = 3;
  Epoch maxEpoch = 7;
};

WorldShape ShapeOf(const std::string& aName)
{
  WorldShape shape;
  shape.daemons = { "d1", "d2" };
  shape.cells[kCell] = { "a", "b" };
  shape.shards[kCell] = { 0 };
  // Renewals only at the pace of the steps keep the number of states small.
  shape.timings.renewInterval = kStep;
  shape.timings.retryDelay = kStep;
  shape.timings.longestOrder = milliseconds(500);
  if (aName == "heirless") {
    shape.cells[kCell] = { "a" };
  } else if (aName == "unchecked") {
    shape.unchecked = { "a", "b" };
  } else if (aName == "transfer") {
    shape.daemons = { "d1" };
    shape.cells[kCell] = { "a" };
    shape.cells[kOther] = { "e" };
  }
  return shape;
}

/// Everything that may happen next.
std::vector<Choice> ChoicesOf(World& aWorld, const WorldShape& aShape, const Bounds& aBounds)
{
  std::vector<Choice> choices;
  const auto add = [&](std::string aName, std::function<void(World&)> aAct) {
    choices.push_back({ std::move(aName), std::move(aAct) });
  };
  for (const Message& it : aWorld.Messages()) {
    const std::uint64_t n = it.number;
    add("deliver " + std::to_string(n), [n](World& aNext) { aNext.Deliver(n); });
    if (!it.abandoned && !it.lost) {
      add("give up " + std::to_string(n), [n](World& aNext) { aNext.GiveUp(n, false); });
    }
  }
  add("time", [](World& aNext) { aNext.Advance(kStep); });
  for (const auto& entry : aShape.cells) {
    const std::string cell = entry.first;
    const std::vector<std::string>& servers = entry.second;
    for (const std::string& daemon : aShape.daemons) {
      if (!aWorld.Daemons().at(daemon).alive) {
        continue;
      }
      const CellMachine& machine = aWorld.MachineOf(daemon, cell);
      const CellRole role = machine.Role();
      if (role == CellRole::kIdle && machine.Base().token < aBounds.maxToken) {
        add(daemon + " takes", [=](World& aNext) {
          aNext.ShowObjects(daemon);
          aNext.TakeOver(daemon, cell);
        });
      }
      const auto owner = machine.OwnerOf(0);
      if (role != CellRole::kAttached || !owner || owner->epoch >= aBounds.maxEpoch) {
        continue;
      }
      for (const std::string& server : servers) {
        std::string name = daemon;
        name.append(" moves to ").append(server);
        add(std::move(name), [=](World& aNext) { aNext.Move(daemon, cell, 0, server); });
      }
      for (const auto& target : aShape.cells) {
        const std::string other = target.first;
        if (other != cell) {
          std::string name = daemon;
          name.append(" sends to ").append(other);
          add(std::move(name), [=](World& aNext) { aNext.Send(daemon, cell, 0, other); });
        }
      }
      add(daemon + " looks", [=](World& aNext) { aNext.ShowObjects(daemon); });
    }
  }
  if (aShape.daemons.size() > 1) {
    if (aWorld.Daemons().at("d1").alive) {
      add("d1 dies", [](World& aNext) { aNext.KillDaemon("d1"); });
    } else {
      const DaemonRef gone = aWorld.Gone().front();
      add("d2 sees that d1 is gone", [gone](World& aNext) { aNext.Witness("d2", gone); });
    }
  }
  for (const auto& [id, server] : aWorld.Servers()) {
    if (server.incarnation < aBounds.maxServerRuns) {
      add(id + " restarts", [id = id](World& aNext) { aNext.RestartServer(id); });
    }
  }
  return choices;
}

struct Node
{
  World world;
  std::size_t depth = 0;
  std::vector<std::string> path;
};

int Explore(const std::string& aShape, std::size_t aDepth, std::size_t aStates)
{
  const WorldShape shape = ShapeOf(aShape);
  World start(shape);
  start.SetQuiet();
  for (const auto& [cell, servers] : shape.cells) {
    start.TakeOver("d1", cell);
    start.Settle();
    start.TakeOver("d1", cell);
  }
  start.Run(milliseconds(1400), kStep);
  std::unordered_set<std::uint64_t> seen = { HashOf(start.Describe()) };
  std::deque<Node> queue;
  queue.push_back({ start, 0, {} });
  std::size_t served = 0;
  std::size_t deepest = 0;
  while (!queue.empty() && seen.size() < aStates) {
    Node node = std::move(queue.front());
    queue.pop_front();
    if (node.depth >= aDepth) {
      continue;
    }
    for (const Choice& it : ChoicesOf(node.world, shape, Bounds{})) {
      Node next = node;
      it.act(next.world);
      ++next.depth;
      next.path.push_back(it.name);
      if (!next.world.Broken().empty()) {
        std::cout << aShape << ": " << next.world.Broken() << " after " << seen.size()
                  << " states:\n";
        for (const std::string& step : next.path) {
          std::cout << "  " << step << '\n';
        }
        return 1;
      }
      if (!seen.insert(HashOf(next.world.Describe())).second) {
        continue;
      }
      served += next.world.ServedShards() > 0 ? 1 : 0;
      deepest = std::max(deepest, next.depth);
      queue.push_back(std::move(next));
    }
  }
  std::cout << aShape << ": one owner in " << seen.size() << " states, " << deepest
            << " steps deep, served in " << served << '\n';
  // A search that never gets past the start, or in which nothing is served, proves nothing.
  return deepest > 3 && served > 0 ? 0 : 1;
}

} // namespace

int main(int aCount, char** aWords)
{
  const standins::Flags flags(aCount, aWords);
  return Explore(flags.Text("shape", "plain"),
                 static_cast<std::size_t>(flags.Number("depth", 40)),
                 static_cast<std::size_t>(flags.Number("states", 200000)));
}
