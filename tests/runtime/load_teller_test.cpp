/// @file
/// Who is told how many requests are at which server, and how often.

#include "runtime/load_teller.h"
#include "tests/support/mesh_world.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// The board of a daemon in "north": one server of each service in each domain.
ServerBoard Board(Instant aNow)
{
  ServerBoard board("north");
  for (const char* const service : { "plain", "keyed" }) {
    ServiceRule rule;
    rule.name = service;
    rule.keyed = rule.name == "keyed";
    board.SetRule(rule);
    for (const char* const domain : { "north", "south" }) {
      ServerEntry entry;
      entry.id = std::string(service) + "-" + domain;
      entry.service = service;
      entry.domain = domain;
      board.Put(entry, aNow);
    }
  }
  return board;
}

/// The counts that a daemon was told last; nothing if it was told none.
std::optional<std::map<std::uint32_t, unsigned>> Heard(const MeshNode& aNode)
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

std::size_t LoadsHeard(const MeshNode& aNode)
{
  return static_cast<std::size_t>(
    std::count_if(aNode.listener.messages.begin(),
                  aNode.listener.messages.end(),
                  [](const wire::Envelope& aMessage) { return aMessage.has_load(); }));
}

} // namespace

TEST_CASE("other domains are told of shared servers, the own one of all", "[runtime][load]")
{
  MeshWorld world(4);
  world.Run(seconds(3));
  REQUIRE(world.AllHeard());
  ServerBoard board = Board(world.timers.now);
  LoadTeller teller(board, world.nodes[0]->mesh);
  std::vector<InFlightSlot> slots;
  for (const char* const it : { "plain-north", "plain-south", "keyed-north" }) {
    slots.push_back(board.Take(it, world.timers.now));
  }
  teller.Tick(world.timers.now);
  world.Run(kMeshTick);
  const auto number = [](const char* aId) { return ServerBoard::NumberOf(aId); };
  const auto shared =
    std::map<std::uint32_t, unsigned>{ { number("plain-south"), 1 }, { number("keyed-north"), 1 } };
  auto all = shared;
  all[number("plain-north")] = 1;
  CHECK(Heard(*world.nodes[2]) == all);
  CHECK(Heard(*world.nodes[1]) == shared);
  CHECK(Heard(*world.nodes[3]) == shared);

  SECTION("an end is told as well, and what has not changed only now and then")
  {
    slots.clear();
    world.timers.now += milliseconds(100);
    teller.Tick(world.timers.now);
    world.Run(kMeshTick);
    CHECK(Heard(*world.nodes[1])->empty());
    const std::size_t before = LoadsHeard(*world.nodes[1]);
    for (int n = 0; n < 50; ++n) {
      world.timers.now += kMeshTick;
      teller.Tick(world.timers.now);
    }
    world.Run(kMeshTick);
    CHECK(LoadsHeard(*world.nodes[1]) == before);
  }
}

TEST_CASE("what a daemon tells other domains does not grow with the fleet", "[runtime][load]")
{
  const unsigned daemons = GENERATE(4u, 40u, 90u);
  MeshWorld world(daemons);
  world.Run(seconds(5));
  REQUIRE(world.AllHeard());
  ServerBoard board = Board(world.timers.now);
  LoadTeller teller(board, world.nodes[0]->mesh);
  const std::size_t before = world.network.messages.size();
  REQUIRE(before == 0);
  // The counts change all the time.
  std::vector<InFlightSlot> slots;
  std::size_t foreign = 0;
  for (int n = 0; n < 500; ++n) {
    slots.push_back(board.Take("keyed-south", world.timers.now));
    world.timers.now += kMeshTick;
    teller.Tick(world.timers.now);
    for (const auto& [endpoint, message] : world.network.messages) {
      foreign += std::stoul(endpoint.substr(1)) % 2;
    }
    world.network.messages.clear();
  }
  // In ten seconds; the first message to each comes at once.
  CHECK(foreign <= 10 * 150 + daemons);
}
