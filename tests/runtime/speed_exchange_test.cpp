/// @file
/// Exchange of measured service times: every daemon learns every measurement once, what that costs
/// in messages and bytes, and the loss of a relay.

#include "runtime/load_reporter.h"
#include "runtime/speed_exchange.h"
#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr std::uint32_t kServers = 255;
constexpr std::size_t kDomains = 3;

/// One daemon's exchange, fed with what its mesh has received.
struct ExchangeNode
{
  ExchangeNode(MeshNode& aNode, DecisionLog& aLog, Instant aNow)
    : node(aNode)
    , exchange(speeds, aNode.mesh, aLog)
  {
    for (std::uint32_t n = 0; n < kServers; ++n) {
      speeds.Put(n, "s", 1, aNow);
    }
  }

  void Take(const MeshPeer& aSender, const wire::Envelope& aMessage, Instant aNow)
  {
    if (!aMessage.has_service_times()) {
      return;
    }
    const LoadScope scope = static_cast<LoadScope>(aMessage.service_times().scope());
    const bool fromRelay = scope == LoadScope::kOthers && relay == aSender.ref.id;
    const bool asRelay = scope == LoadScope::kDomain && relay == "";
    if (scope == LoadScope::kSender || scope == LoadScope::kMember || fromRelay || asRelay) {
      for (const auto& [server, sum] : SumsOf(aMessage.service_times())) {
        received += sum.samples;
      }
    }
    exchange.OnReport(aSender, aMessage.service_times(), aNow);
  }

  MeshNode& node;
  ServerSpeeds speeds;
  SpeedExchange exchange;
  std::optional<std::string> relay;
  /// Samples of other daemons that were used here.
  std::size_t received = 0;
};

/// A fleet whose domains use the relays that the test sets.
class ExchangeFleet
{
public:
  explicit ExchangeFleet(unsigned aDaemons)
    : simulation(aDaemons, { "a", "b", "c" })
  {
    simulation.Run(seconds(6));
    REQUIRE(simulation.AllLive());
    for (const auto& it : simulation.nodes) {
      it->listener.messages.clear();
      nodes.push_back(std::make_unique<ExchangeNode>(*it, simulation.log, simulation.timers.now));
    }
  }

  /// Makes each domain use its @p aRank th daemon as its relay; others may be candidates too.
  void UseRelays(std::size_t aRank)
  {
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      const std::size_t relay = aRank * kDomains + n % kDomains;
      nodes[n]->relay = relay == n ? std::string() : "d" + std::to_string(relay);
      std::set<std::string> foreign;
      for (std::size_t it = 0; it < 2 * kDomains; ++it) {
        if (it % kDomains != n % kDomains) {
          foreign.insert("d" + std::to_string(it));
        }
      }
      nodes[n]->exchange.SetForeignRelays(foreign);
    }
  }

  void Run(Duration aTime)
  {
    for (const Instant end = simulation.timers.now + aTime; simulation.timers.now < end;) {
      for (const auto& it : nodes) {
        if (!simulation.network.isolated.contains(it->node.mesh.Self().id)) {
          it->exchange.Tick(it->relay, simulation.timers.now);
        }
      }
      simulation.Run(kMeshTick);
      Deliver();
    }
  }

  std::size_t TotalReceived() const
  {
    std::size_t total = 0;
    for (const auto& it : nodes) {
      total += it->received;
    }
    return total;
  }

  MeshSimulation simulation;
  std::vector<std::unique_ptr<ExchangeNode>> nodes;

private:
  void Deliver()
  {
    for (const auto& it : nodes) {
      for (const wire::Envelope& message : it->node.listener.messages) {
        MeshPeer sender;
        sender.ref.id = message.from().id();
        it->Take(sender, message, simulation.timers.now);
      }
      it->node.listener.messages.clear();
    }
  }
};

} // namespace

// Guards against samples that are lost between relays, and against such that are counted twice.
TEST_CASE("every daemon gets each measurement of the others exactly once", "[runtime][speeds]")
{
  const unsigned daemons = GENERATE(9u, 88u);
  ExchangeFleet fleet(daemons);
  if (daemons >= 16) {
    fleet.UseRelays(0);
  }
  fleet.Run(seconds(2));
  for (const auto& it : fleet.nodes) {
    it->speeds.OnSample(7, 1.5, fleet.simulation.timers.now);
  }
  fleet.Run(seconds(6));
  for (const auto& it : fleet.nodes) {
    INFO(it->node.mesh.Self().id);
    CHECK(it->received == daemons - 1);
    CHECK(it->speeds.KnownServers(fleet.simulation.timers.now) == 1);
  }
}

TEST_CASE("measurements pass again after a relay was lost and replaced", "[runtime][speeds]")
{
  ExchangeFleet fleet(88);
  fleet.UseRelays(0);
  fleet.Run(seconds(3));
  fleet.simulation.network.isolated = { "d0" };
  fleet.UseRelays(1);
  fleet.nodes[0]->relay = "";
  fleet.Run(seconds(1));
  for (const auto& it : fleet.nodes) {
    it->received = 0;
    it->speeds.OnSample(7, 1.5, fleet.simulation.timers.now);
  }
  fleet.Run(seconds(7));
  for (std::size_t n = 1; n < fleet.nodes.size(); ++n) {
    INFO(fleet.nodes[n]->node.mesh.Self().id);
    CHECK(fleet.nodes[n]->received == 86);
  }
}

TEST_CASE("an implausible report is not learned, and a scope of a later version is ignored",
          "[runtime][speeds]")
{
  ExchangeFleet fleet(4);
  MeshPeer sender;
  sender.ref.id = "d1";
  wire::ServiceTimes report;
  report.add_servers(3);
  report.add_samples(100);
  report.add_relative_times(4000000000U);
  fleet.nodes[0]->exchange.OnReport(sender, report, fleet.simulation.timers.now);
  report.set_relative_times(0, 100000);
  report.set_scope(77);
  fleet.nodes[0]->exchange.OnReport(sender, report, fleet.simulation.timers.now);
  CHECK(fleet.nodes[0]->speeds.KnownServers(fleet.simulation.timers.now) == 0);
}

// Guards against traffic that grows with the number of daemons or servers.
TEST_CASE("a daemon sends and receives few bytes for the shared speeds", "[runtime][speeds]")
{
  ExchangeFleet fleet(88);
  fleet.UseRelays(0);
  std::map<std::string, std::size_t> bytes;
  std::size_t foreignBytes = 0;
  fleet.simulation.network.onSend =
    [&](const std::string& aFrom, const std::string& aTo, const wire::Envelope& aMessage) {
      if (aMessage.has_service_times()) {
        bytes[aFrom] += aMessage.ByteSizeLong();
        bytes[aTo] += aMessage.ByteSizeLong();
        const bool foreign =
          std::stoul(aFrom.substr(1)) % kDomains != std::stoul(aTo.substr(1)) % kDomains;
        foreignBytes += foreign ? aMessage.ByteSizeLong() : 0;
      }
    };
  constexpr std::size_t kSeconds = 20;
  for (std::size_t second = 0; second < kSeconds; ++second) {
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
      // 30 requests a second at each of 88 daemons.
      for (std::size_t it = 0; it < 30; ++it) {
        fleet.nodes[n]->speeds.OnSample(
          static_cast<std::uint32_t>((it * 17 + n * 31 + second * 7) % kServers),
          1.0,
          fleet.simulation.timers.now);
      }
    }
    fleet.Run(seconds(1));
  }
  std::size_t member = 0;
  std::size_t relay = 0;
  for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
    std::size_t& most = n < kDomains ? relay : member;
    most = std::max(most, bytes["d" + std::to_string(n)] / kSeconds);
  }
  WARN("bytes a second: member " << member << ", relay " << relay << ", between domains in all "
                                 << foreignBytes / kSeconds);
  CHECK(member < 5000);
  CHECK(relay < 130000);
  // Each of three relays sends at most 1,000 bytes a second to each of four others.
  CHECK(foreignBytes / kSeconds < 14000);
}
