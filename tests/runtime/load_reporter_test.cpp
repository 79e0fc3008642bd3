/// @file
/// Tests which daemons get reports of the in-flight requests, and how often.

#include "runtime/load_reporter.h"
#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// The servers as seen by a daemon in "north": one server of each service in each domain.
ServerSelector MakeSelector(Instant aNow)
{
  ServerSelector selector("north");
  for (const char* const service : { "plain", "keyed" }) {
    ServiceRule rule;
    rule.name = service;
    rule.keyed = rule.name == "keyed";
    selector.SetServiceRule(rule);
    for (const char* const domain : { "north", "south" }) {
      ServerEntry entry;
      entry.id = std::string(service) + "-" + domain;
      entry.service = service;
      entry.domain = domain;
      selector.Put(entry, aNow);
    }
  }
  return selector;
}

/// The counts that a daemon received last; none if it has received no report.
std::optional<std::map<std::uint32_t, unsigned>> LastReportedCounts(const MeshNode& aNode)
{
  for (auto it = aNode.listener.messages.rbegin(); it != aNode.listener.messages.rend(); ++it) {
    if (it->has_load()) {
      std::map<std::uint32_t, unsigned> counts;
      for (int n = 0; n < it->load().servers_size(); ++n) {
        counts[it->load().servers(n)] = it->load().counts(n);
      }
      return counts;
    }
  }
  return std::nullopt;
}

std::size_t ReportsReceived(const MeshNode& aNode)
{
  return static_cast<std::size_t>(
    std::count_if(aNode.listener.messages.begin(),
                  aNode.listener.messages.end(),
                  [](const wire::Envelope& aMessage) { return aMessage.has_load(); }));
}

} // namespace

TEST_CASE("other domains get the counts of shared servers, the own domain gets all",
          "[runtime][load]")
{
  MeshSimulation simulation(4);
  simulation.Run(seconds(3));
  REQUIRE(simulation.AllLive());
  ServerSelector selector = MakeSelector(simulation.timers.now);
  LoadReporter reporter(selector, simulation.nodes[0]->mesh);
  std::vector<InFlightSlot> slots;
  for (const char* const it : { "plain-north", "plain-south", "keyed-north" }) {
    slots.push_back(selector.Take(it, simulation.timers.now));
  }
  reporter.Tick(simulation.timers.now);
  simulation.Run(kMeshTick);
  const auto number = [](const char* aId) { return ServerSelector::HashedIdOf(aId); };
  const auto shared =
    std::map<std::uint32_t, unsigned>{ { number("plain-south"), 1 }, { number("keyed-north"), 1 } };
  auto all = shared;
  all[number("plain-north")] = 1;
  CHECK(LastReportedCounts(*simulation.nodes[2]) == all);
  CHECK(LastReportedCounts(*simulation.nodes[1]) == shared);
  CHECK(LastReportedCounts(*simulation.nodes[3]) == shared);

  SECTION("the end of requests is reported, and unchanged counts are repeated only now and then")
  {
    slots.clear();
    simulation.timers.now += milliseconds(100);
    reporter.Tick(simulation.timers.now);
    simulation.Run(kMeshTick);
    CHECK(LastReportedCounts(*simulation.nodes[1])->empty());
    const std::size_t before = ReportsReceived(*simulation.nodes[1]);
    for (int n = 0; n < 50; ++n) {
      simulation.timers.now += kMeshTick;
      reporter.Tick(simulation.timers.now);
    }
    simulation.Run(kMeshTick);
    CHECK(ReportsReceived(*simulation.nodes[1]) == before);
  }
}

TEST_CASE("a daemon's reports do not grow with the number of daemons", "[runtime][load]")
{
  const unsigned daemons = GENERATE(4u, 40u, 90u);
  MeshSimulation simulation(daemons);
  simulation.Run(seconds(5));
  REQUIRE(simulation.AllLive());
  ServerSelector selector = MakeSelector(simulation.timers.now);
  LoadReporter reporter(selector, simulation.nodes[0]->mesh);
  const std::size_t before = simulation.network.messages.size();
  REQUIRE(before == 0);
  // The counts change all the time.
  std::vector<InFlightSlot> slots;
  std::size_t foreign = 0;
  std::size_t own = 0;
  for (int n = 0; n < 500; ++n) {
    slots.push_back(selector.Take("keyed-south", simulation.timers.now));
    simulation.timers.now += kMeshTick;
    reporter.Tick(simulation.timers.now);
    for (const auto& [endpoint, message] : simulation.network.messages) {
      const bool isForeign = std::stoul(endpoint.substr(1)) % 2 == 1;
      ++(isForeign ? foreign : own);
    }
    simulation.network.messages.clear();
  }
  // The limits are 150 and 200 messages a second over ten seconds; the first message to each daemon
  // is sent at once.
  CHECK(foreign <= 10 * 150 + daemons);
  CHECK(own <= 10 * 200 + daemons);
}
