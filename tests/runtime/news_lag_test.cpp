/// @file
/// Tests how long daemons go on by a state of the store that has changed, while others of them are
/// lost, those first that watch the store for all.

#include "membership/role_ranking.h"
#include "tests/support/router_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// Longest time from the store's confirmation of a change until it is in force at a daemon.
constexpr Duration kLagBound = seconds(1);
constexpr Duration kStep = milliseconds(10);

/// What happens to the daemons that are lost.
enum class Loss
{
  kKilled,
  kFrozen,
  kCutOff,       ///< From the store and from all other daemons.
  kCutFromStore, ///< They are heard, and hear the others.
  kCutFromPeers, ///< They reach the store.
};
constexpr EnumNames<5> kLossNames = { "killed",
                                      "frozen",
                                      "cut off",
                                      "cut from the store",
                                      "cut from the others" };

/// Whether a daemon that this has happened to still has to learn of changes in time.
bool IsInTouch(Loss aLoss)
{
  return aLoss == Loss::kCutFromStore || aLoss == Loss::kCutFromPeers;
}

/// What changes in the store.
enum class News
{
  kConfiguration,
  kLeavingServers,
};

/// Daemons in the order in which they watch the store.
std::vector<unsigned> WatchOrder(const RouterSimulation& aSimulation, unsigned aDomains)
{
  std::vector<RoleCandidate> all;
  all.reserve(aSimulation.DaemonCount());
  for (unsigned n = 0; n < aSimulation.DaemonCount(); ++n) {
    all.push_back({ "d" + std::to_string(n), "domain-" + std::to_string(n % aDomains), 0 });
  }
  std::vector<std::pair<unsigned, unsigned>> ranked;
  ranked.reserve(all.size());
  for (unsigned n = 0; n < all.size(); ++n) {
    std::vector<RoleCandidate> others = all;
    others.erase(others.begin() + n);
    ranked.emplace_back(SpreadRankOf("store-watchers", all[n], others), n);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<unsigned> order;
  order.reserve(ranked.size());
  for (const auto& [rank, n] : ranked) {
    order.push_back(n);
  }
  return order;
}

/// A fleet, changes in the store, and how late each of them is in force at each daemon.
class LagMeter
{
public:
  LagMeter(unsigned aDaemons, unsigned aDomains, News aNews)
    : simulation({ aDaemons, aDomains, aDaemons })
    , mNews(aNews)
  {
    simulation.Run(seconds(10));
    REQUIRE(simulation.InForce(1) == aDaemons);
  }

  void Lose(unsigned aDaemon, Loss aLoss)
  {
    switch (aLoss) {
      case Loss::kKilled:
        simulation.Kill(aDaemon);
        break;
      case Loss::kFrozen:
        simulation.Freeze(aDaemon);
        break;
      case Loss::kCutOff:
        simulation.CutFromStore(aDaemon, true);
        simulation.CutFromPeers(aDaemon, true);
        break;
      case Loss::kCutFromStore:
        simulation.CutFromStore(aDaemon, true);
        break;
      case Loss::kCutFromPeers:
        simulation.CutFromPeers(aDaemon, true);
        break;
    }
    if (!IsInTouch(aLoss)) {
      mLost.insert(aDaemon);
    }
  }

  /// Makes a change in the store.
  void Change()
  {
    const auto n = static_cast<unsigned>(mChangedAt.size());
    mChangedAt.push_back(simulation.timers.Now());
    if (mNews == News::kConfiguration) {
      simulation.Configure(VersionOf(n), 0);
    } else {
      simulation.Drain(ServerOf(n), "domain-0");
    }
  }

  /// Runs for @p aTime; a change comes every @p aInterval, or none if it is 0.
  void Run(Duration aTime, Duration aInterval)
  {
    const Instant end = simulation.timers.Now() + aTime;
    while (simulation.timers.Now() < end) {
      if (aInterval > Duration::zero() && simulation.timers.Now() >= mNextChangeAt) {
        mNextChangeAt = simulation.timers.Now() + aInterval;
        Change();
      }
      simulation.Run(kStep);
      Sample();
    }
  }

  /// The longest lag so far, of changes that are not in force yet as well.
  Duration Worst() const { return mWorst; }
  const std::string& WorstDaemon() const { return mWorstDaemon; }

  RouterSimulation simulation;

private:
  static std::uint64_t VersionOf(unsigned aChange) { return aChange + 2; }
  static std::string ServerOf(unsigned aChange) { return "leaving-" + std::to_string(aChange); }

  bool IsInForce(const RouterDaemon& aDaemon, unsigned aChange) const
  {
    return mNews == News::kConfiguration
             ? aDaemon.ConfigurationVersion() >= VersionOf(aChange)
             : aDaemon.StateOfServer(ServerOf(aChange)) == ServerState::kDraining;
  }

  void Sample()
  {
    mInForce.resize(simulation.DaemonCount(), 0);
    for (unsigned n = 0; n < simulation.DaemonCount(); ++n) {
      const RouterDaemon* const daemon = simulation.Daemon(n);
      if (daemon == nullptr || mLost.contains(n)) {
        continue;
      }
      unsigned& change = mInForce[n];
      while (change < mChangedAt.size() && IsInForce(*daemon, change)) {
        ++change;
      }
      if (change < mChangedAt.size() && simulation.timers.Now() - mChangedAt[change] > mWorst) {
        mWorst = simulation.timers.Now() - mChangedAt[change];
        mWorstDaemon = "d" + std::to_string(n);
      }
    }
  }

  News mNews;
  std::set<unsigned> mLost;
  std::vector<Instant> mChangedAt;
  Instant mNextChangeAt;
  /// Number of changes that are in force, by daemon.
  std::vector<unsigned> mInForce;
  Duration mWorst = Duration::zero();
  std::string mWorstDaemon;
};

/// One run: half of the daemons are lost.
struct LossRun
{
  unsigned daemons = 9;
  unsigned domains = 3;
  News news = News::kConfiguration;
  Loss loss = Loss::kKilled;
  /// Time between two losses; 0 if all come at once.
  Duration lossInterval = Duration::zero();
  /// Time between two changes; 0 if there is one, right after the last loss.
  Duration changeInterval = Duration::zero();
  /// Time from the start to the first loss, to hit calls and heartbeats at different moments.
  Duration phase = Duration::zero();
};

void CheckLag(const LossRun& aRun)
{
  LagMeter meter(aRun.daemons, aRun.domains, aRun.news);
  const std::vector<unsigned> order = WatchOrder(meter.simulation, aRun.domains);
  meter.Run(milliseconds(500) + aRun.phase, aRun.changeInterval);
  for (unsigned n = 0; n < aRun.daemons / 2; ++n) {
    meter.Lose(order[n], aRun.loss);
    if (aRun.lossInterval > Duration::zero()) {
      meter.Run(aRun.lossInterval, aRun.changeInterval);
    }
  }
  if (aRun.changeInterval == Duration::zero()) {
    meter.Change();
  }
  meter.Run(milliseconds(3500), aRun.changeInterval);
  INFO(aRun.daemons << " daemons, half of them " << NameOf(kLossNames, aRun.loss)
                    << (aRun.lossInterval == Duration::zero() ? " at once" : " one by one")
                    << ", changes every " << Millis(aRun.changeInterval) << " ms, phase "
                    << Millis(aRun.phase) << " ms: " << Millis(meter.Worst()) << " ms behind, "
                    << meter.WorstDaemon());
  CHECK(meter.Worst() < kLagBound);
}

} // namespace

TEST_CASE("changes of the configuration are in force within a second though half of the daemons "
          "are lost, the watchers first",
          "[runtime][lag]")
{
  LossRun run;
  run.loss =
    GENERATE(Loss::kKilled, Loss::kFrozen, Loss::kCutOff, Loss::kCutFromStore, Loss::kCutFromPeers);
  run.lossInterval = GENERATE(milliseconds(0), milliseconds(150));
  run.changeInterval = GENERATE(milliseconds(0), milliseconds(60));
  run.phase = GENERATE(milliseconds(0), milliseconds(130), milliseconds(270), milliseconds(410));
  CheckLag(run);
}

TEST_CASE("servers that leave are known within a second though half of the daemons are lost, the "
          "watchers first",
          "[runtime][lag]")
{
  LossRun run;
  run.news = News::kLeavingServers;
  run.loss =
    GENERATE(Loss::kKilled, Loss::kFrozen, Loss::kCutOff, Loss::kCutFromStore, Loss::kCutFromPeers);
  run.lossInterval = GENERATE(milliseconds(0), milliseconds(150));
  run.changeInterval = GENERATE(milliseconds(0), milliseconds(60));
  run.phase = GENERATE(milliseconds(0), milliseconds(130), milliseconds(270), milliseconds(410));
  CheckLag(run);
}

TEST_CASE("changes are in force within a second in a fleet with relays though half of it is lost",
          "[runtime][lag]")
{
  LossRun run;
  run.daemons = 90;
  run.domains = 6;
  run.news = GENERATE(News::kConfiguration, News::kLeavingServers);
  run.loss = GENERATE(Loss::kKilled, Loss::kCutFromStore);
  run.changeInterval = GENERATE(milliseconds(0), milliseconds(60));
  CheckLag(run);
}
