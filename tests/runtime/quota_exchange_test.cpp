/// @file
/// Quotas over the daemons' mesh: its messages, its choice of keepers, and a keeper that is lost.

#include "runtime/quota_exchange.h"
#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr unsigned kDaemons = 9;
constexpr double kRate = 100.0;
const std::string kCustomer = "customer";

/// A fleet in which each daemon has the part of a daemon that shares quotas.
class QuotaMeshes
{
public:
  QuotaMeshes()
  {
    for (const auto& it : mMeshes.nodes) {
      Mesh& mesh = it->mesh;
      mExchanges.push_back(std::make_unique<QuotaExchange>(
        mesh.Self(),
        [&mesh](const std::string& aDaemon, wire::Envelope aMessage) {
          mesh.Send(aDaemon, std::move(aMessage), Delivery::kNowOrNever);
        },
        mLog,
        mMetrics,
        Now()));
      mExchanges.back()->SetLimits({ { kCustomer, { kRate, kRate } } }, Now());
    }
  }

  Instant Now() const { return mMeshes.timers.now; }
  QuotaExchange& operator[](std::size_t aDaemon) { return *mExchanges[aDaemon]; }
  Network& Connections() { return mMeshes.network; }

  void Run(Duration aTime)
  {
    for (const Instant end = Now() + aTime; Now() < end;) {
      for (std::size_t n = 0; n < kDaemons; ++n) {
        Tick(n);
      }
      mMeshes.Run(kMeshTick);
    }
  }

  /// Sends requests to a daemon at twice the organisation's rate; returns how many are granted.
  unsigned Flood(std::size_t aDaemon, Duration aTime)
  {
    unsigned granted = 0;
    std::vector<std::unique_ptr<QuotaTicket>> claims;
    for (const Instant end = Now() + aTime; Now() < end;) {
      for (double n = 0; n < 2.0 * kRate * InSeconds(kMeshTick); ++n) {
        claims.push_back(mExchanges[aDaemon]->Claim(kCustomer, Now()));
      }
      Run(kMeshTick);
      std::erase_if(claims, [&](const auto& aClaim) {
        const QuotaState state = aClaim->State(Now());
        if (state == QuotaState::kGranted) {
          aClaim->MarkUsed(Now());
          ++granted;
        }
        return state != QuotaState::kPending;
      });
    }
    return granted;
  }

private:
  void Tick(std::size_t aDaemon)
  {
    MeshNode& node = *mMeshes.nodes[aDaemon];
    QuotaExchange& exchange = *mExchanges[aDaemon];
    std::vector<RoleCandidate> live = { node.mesh.AsCandidate() };
    for (const MeshPeer* it : node.mesh.LivePeers()) {
      live.push_back({ it->ref.id, it->domain, it->power });
    }
    exchange.SetDaemonCount(1 + static_cast<unsigned>(node.mesh.KnownPeers(Now()).size()));
    exchange.SetCandidates(node.mesh.Domain(), live);
    for (const wire::Envelope& it : std::exchange(node.listener.messages, {})) {
      if (it.has_quota_report()) {
        exchange.OnReport({ it.from().id(), it.from().incarnation() }, it.quota_report(), Now());
      } else if (it.has_quota_answer()) {
        exchange.OnAnswer(it.from().id(), it.quota_answer(), Now());
      }
    }
    exchange.Tick(Now());
  }

  DecisionLog mLog{ "quota" };
  Metrics mMetrics;
  MeshSimulation mMeshes{ kDaemons };
  std::vector<std::unique_ptr<QuotaExchange>> mExchanges;
};

} // namespace

TEST_CASE("daemons share a quota over the mesh, also when a keeper is lost", "[runtime][quota]")
{
  QuotaMeshes fleet;
  fleet.Run(seconds(5));
  // The daemons of a domain agree on its keeper, and the keepers on that of the fleet.
  const std::string keeper = fleet[0].KeeperOf(QuotaLevel::kDomain);
  REQUIRE(keeper == fleet[2].KeeperOf(QuotaLevel::kDomain));
  REQUIRE(keeper != fleet[1].KeeperOf(QuotaLevel::kDomain));
  const std::string fleetKeeper = fleet[std::stoul(keeper.substr(1))].KeeperOf(QuotaLevel::kFleet);
  const std::size_t flooded = keeper == "d0" ? 2 : 0;
  // A single daemon can use all of the quota, the burst included.
  const double usable = kRate * 5 + kRate;
  const unsigned before = fleet.Flood(flooded, seconds(5));
  CHECK(before >= 0.95 * usable);
  CHECK(before <= usable + 1);

  fleet.Connections().isolated = { keeper, fleetKeeper };
  const unsigned during = fleet.Flood(flooded, seconds(5));
  CHECK(fleet[flooded].KeeperOf(QuotaLevel::kDomain) != keeper);
  // The shares of the isolated daemons can't be used, and for 2 s those of the others neither.
  CHECK(during >= 0.4 * kRate * 5);
  CHECK(during <= usable);

  fleet.Connections().isolated.clear();
  fleet.Run(seconds(6));
  const unsigned after = fleet.Flood(flooded, seconds(5));
  CHECK(after >= 0.95 * usable);
  CHECK(after <= usable + 1);
}

TEST_CASE("messages about quotas that make no sense are ignored", "[runtime][quota]")
{
  QuotaMeshes fleet;
  wire::QuotaReport report;
  report.set_sequence(1);
  report.set_level(2);
  fleet[0].OnReport({ "d1", 1 }, report, fleet.Now());
  report.set_level(0);
  for (const double it : { -0.1, 1.1, std::nan(""), HUGE_VAL }) {
    report.set_share(it);
    CHECK_FALSE(QuotaHeadOf(report));
    fleet[0].OnReport({ "d1", 1 }, report, fleet.Now());
  }
  wire::QuotaAnswer answer;
  answer.set_level(2);
  CHECK_FALSE(fleet[0].OnAnswer("d1", answer, fleet.Now()));
  answer.set_level(0);
  CHECK_FALSE(fleet[0].OnAnswer("d1", answer, fleet.Now()));
}

TEST_CASE("organisations without a limit are granted at once", "[runtime][quota]")
{
  QuotaMeshes fleet;
  fleet[0].SetLimits({ { kCustomer, { kRate, kRate } }, { "free", { 0.0, 0.0 } } }, fleet.Now());
  CHECK(fleet[0].Claim("free", fleet.Now())->State(fleet.Now()) == QuotaState::kGranted);
  CHECK(fleet[0].Claim("unknown", fleet.Now())->State(fleet.Now()) == QuotaState::kGranted);
  CHECK(fleet[0].Claim(kCustomer, fleet.Now())->State(fleet.Now()) == QuotaState::kPending);
}
