/// @file
/// Tests that a fleet of daemons keeps the limit of a server that is warming up.

#include "runtime/warm_up_permits.h"
#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr double kPerSecond = 2.4 * 1.5 + 8.0;

/// What one daemon needs to send requests to a cold server.
struct SendingDaemon
{
  SendingDaemon(MeshNode& aNode, Instant aNow)
    : node(aNode)
    , selector(aNode.mesh.Domain())
  {
    permits.emplace(selector, aNode.mesh, aNow);
  }

  MeshNode& node;
  ServerSelector selector;
  std::optional<WarmUpPermits> permits;
};

/// A fleet in which every daemon always has a request for one cold server in the domain "north".
class ColdServerFleet
{
public:
  ColdServerFleet(unsigned aDaemons, bool aKeyed, const std::string& aDomain = "north")
    : simulation(aDaemons)
    , keyed(aKeyed)
  {
    for (const auto& it : simulation.nodes) {
      daemons.push_back(std::make_unique<SendingDaemon>(*it, simulation.timers.now));
    }
    simulation.Run(seconds(5));
    ServiceRule rule;
    rule.name = "s";
    rule.keyed = aKeyed;
    rule.warmUpPerSecond = 2.4;
    ServerEntry entry;
    entry.id = "cold";
    entry.service = "s";
    entry.domain = aDomain;
    entry.slots = 1000;
    entry.warmUpLeft = seconds(60);
    for (const auto& it : daemons) {
      it->selector.SetServiceRule(rule);
      it->selector.SetWarmUpAllowance(1.5, 8.0);
      it->selector.Put(entry, simulation.timers.now);
    }
  }

  void Run(Duration aTime)
  {
    for (const Instant end = simulation.timers.now + aTime; simulation.timers.now < end;) {
      simulation.Run(kMeshTick);
      for (const auto& it : daemons) {
        Step(*it);
      }
    }
  }

  /// Most requests that the server got in one second.
  std::size_t MostInOneSecond() const
  {
    std::size_t most = 0;
    for (std::size_t n = 0; n < sentAt.size(); ++n) {
      std::size_t last = n;
      while (last < sentAt.size() && sentAt[last] < sentAt[n] + seconds(1)) {
        ++last;
      }
      most = std::max(most, last - n);
    }
    return most;
  }

  MeshSimulation simulation;
  bool keyed;
  std::vector<std::unique_ptr<SendingDaemon>> daemons;
  std::vector<Instant> sentAt;
  std::set<std::string> senderDomains;

private:
  void Step(SendingDaemon& aDaemon)
  {
    const Instant now = simulation.timers.now;
    for (const wire::Envelope& it : aDaemon.node.listener.messages) {
      if (it.has_warm_up_question()) {
        aDaemon.permits->OnQuestion(it.from().id(), it.warm_up_question(), now);
      } else if (it.has_warm_up_answer()) {
        aDaemon.permits->OnAnswer(it.warm_up_answer(), now);
      }
    }
    aDaemon.node.listener.messages.clear();
    ServerRequirements need;
    need.service = "s";
    need.owner = keyed ? "cold" : "";
    if (aDaemon.selector.Choose(need, now).server) {
      aDaemon.selector.Take("cold", now);
      sentAt.push_back(now);
      senderDomains.insert(aDaemon.node.mesh.Domain());
    }
    aDaemon.permits->Tick({ { "cold", 1 } }, false, now);
  }
};

} // namespace

TEST_CASE("the first requests of many daemons don't flood a cold server", "[runtime][warm-up]")
{
  const unsigned count = GENERATE(3u, 69u, 91u);
  const bool keyed = GENERATE(true, false);
  INFO(count << " daemons, keyed " << keyed);
  ColdServerFleet fleet(count, keyed);
  fleet.Run(seconds(4));
  // It also gets enough to become warm.
  CHECK(fleet.sentAt.size() >= 4 * 2.4);
  CHECK(static_cast<double>(fleet.MostInOneSecond()) <= kPerSecond);
}

TEST_CASE("daemons that are cut off from the others don't flood a cold server",
          "[runtime][warm-up]")
{
  const bool keyed = GENERATE(true, false);
  ColdServerFleet fleet(69, keyed);
  fleet.Run(seconds(1));
  for (unsigned n = 0; n < 69; n += 3) {
    fleet.simulation.network.isolated.insert("d" + std::to_string(n));
  }
  fleet.Run(seconds(10));
  CHECK(static_cast<double>(fleet.MostInOneSecond()) <= kPerSecond);
}

TEST_CASE("daemons that start don't flood a cold server before they know each other",
          "[runtime][warm-up]")
{
  const bool keyed = GENERATE(true, false);
  ColdServerFleet fleet(9, keyed);
  for (const auto& it : fleet.daemons) {
    // Restarted, with nothing left of what was known before.
    it->permits.emplace(it->selector, it->node.mesh, fleet.simulation.timers.now);
  }
  fleet.simulation.network.isolated = { "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8" };
  fleet.Run(milliseconds(1900));
  CHECK(fleet.sentAt.empty());
}

TEST_CASE("daemons of other domains don't send to a cold server whose domain has daemons",
          "[runtime][warm-up]")
{
  ColdServerFleet fleet(9, false);
  fleet.Run(seconds(2));
  CHECK(fleet.senderDomains == std::set<std::string>{ "north" });
  ColdServerFleet without(9, false, "elsewhere");
  without.Run(seconds(2));
  CHECK_FALSE(without.sentAt.empty());
  CHECK(static_cast<double>(without.MostInOneSecond()) <= kPerSecond);
}
