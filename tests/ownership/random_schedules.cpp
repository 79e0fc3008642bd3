/// @file
/// Randomized fault injection for CellMachine in the cluster simulation.
///
/// usage: random_schedules [--seeds N] [--first N] [--steps N] [--held 0|1] [--show SEED]
/// Runs short schedules of events and faults, each from one seed. Prints the seed of the first
/// schedule that violates an invariant, or after which not all shards are served again, and exits
/// with 1. --held 1 also delays single messages, some for longer than any operation takes. --show
/// prints the transcript of one schedule.

#include "tests/standins/flags.h"
#include "tests/support/cluster_simulation.h"

#include <array>
#include <iostream>
#include <random>

namespace {

using namespace hawthornlug;
using namespace hawthornlug::testing;

ClusterShape ShapeOf(std::uint64_t aSeed)
{
  ClusterShape shape;
  shape.daemons = { "d1", "d2", "d3" };
  shape.cells["cells/s/x/0"] = { "a", "b", "c" };
  shape.shards["cells/s/x/0"] = { 0, 1 };
  if (aSeed % 3 == 1) {
    shape.cells["cells/s/y/0"] = { "e", "f" };
    shape.shards["cells/s/y/0"] = { 2 };
  }
  if (aSeed % 3 == 2) {
    shape.unchecked = { "b" };
  }
  return shape;
}

/// Draws events and applies them to the simulation.
class ScheduleGenerator
{
public:
  ScheduleGenerator(ClusterSimulation& aCluster,
                    const ClusterShape& aShape,
                    std::uint64_t aSeed,
                    bool aDelaysMessages)
    : mCluster(aCluster)
    , mShape(aShape)
    , mProfile((aSeed / 3) % kProfiles)
    , mDelaysMessages(aDelaysMessages)
    , mRandom(aSeed)
  {
  }

  void Step()
  {
    if (mDelaysMessages) {
      HoldOrRelease();
    }
    std::uint64_t draw = Draw(100);
    for (std::size_t n = 0; n < kActions; ++n) {
      if (draw < kWeights[mProfile][n]) {
        PerformAction(n);
        return;
      }
      draw -= kWeights[mProfile][n];
    }
  }

private:
  static constexpr std::size_t kActions = 9;
  static constexpr std::size_t kProfiles = 4;
  /// Percentages of: deliver, advance time, submit an order, time out a message, send cached
  /// objects, take over, move, confirm that a daemon stopped, fault. The first profile is
  /// balanced; the others favour takeovers, moves between cells, and moves inside a cell.
  static constexpr std::array<std::array<std::uint64_t, kActions>, kProfiles> kWeights = {
    { { 45, 17, 10, 4, 4, 3, 4, 4, 9 },
      { 18, 34, 8, 2, 4, 8, 4, 8, 14 },
      { 42, 12, 5, 7, 14, 3, 14, 1, 2 },
      { 40, 14, 18, 6, 2, 2, 14, 1, 3 } }
  };

  void PerformAction(std::size_t aAction)
  {
    switch (aAction) {
      case 0:
        DeliverMessages();
        break;
      case 1:
        AdvanceTime();
        break;
      case 2:
        mCluster.SubmitOrder(RandomDaemon(), RandomCell(), RandomShard());
        break;
      case 3:
        TimeOutSomeMessage();
        break;
      case 4:
        mCluster.SendCachedObjects(RandomDaemon());
        break;
      case 5:
        TakeOver();
        break;
      case 6:
        MoveOrHandOver();
        break;
      case 7:
        ConfirmSomeDaemonStopped();
        break;
      default:
        InjectFault();
        break;
    }
  }

  /// In most profiles messages are usually delivered meanwhile, so that only the leases that a
  /// fault affects expire.
  void AdvanceTime()
  {
    const Duration by = milliseconds(10 + 10 * static_cast<std::int64_t>(Draw(40)));
    if (mProfile != 0 && Draw(4) != 0) {
      mCluster.RunFor(by);
    } else {
      mCluster.Advance(by);
    }
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }

  template<typename T>
  const T& Pick(const std::vector<T>& aItems)
  {
    return aItems[Draw(aItems.size())];
  }

  /// Holding a message is about as likely as releasing one, so that only a few are delayed at a
  /// time.
  void HoldOrRelease()
  {
    const std::uint64_t draw = Draw(100);
    if (draw < 6 && !mCluster.Messages().empty()) {
      mCluster.HoldMessage(Pick(mCluster.Messages()).number);
    } else if (draw < 10 && !mCluster.HeldMessages().empty()) {
      auto it = mCluster.HeldMessages().begin();
      std::advance(it, static_cast<std::ptrdiff_t>(Draw(mCluster.HeldMessages().size())));
      mCluster.ReleaseMessage(*it);
    }
  }

  std::string RandomDaemon() { return Pick(mShape.daemons); }

  std::string RandomCell()
  {
    auto it = mShape.cells.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Draw(mShape.cells.size())));
    return it->first;
  }

  std::string RandomServer() { return Pick(mShape.cells.at(RandomCell())); }
  ShardId RandomShard() { return static_cast<ShardId>(Draw(3)); }

  void DeliverMessages()
  {
    for (std::uint64_t n = Draw(6) + 1; n > 0 && !mCluster.Messages().empty(); --n) {
      mCluster.Deliver(Pick(mCluster.Messages()).number);
    }
  }

  void TimeOutSomeMessage()
  {
    if (mCluster.Messages().empty()) {
      return;
    }
    const Message message = Pick(mCluster.Messages());
    mCluster.TimeOutMessage(message.number, Draw(2) == 0);
  }

  bool IsRunning(const std::string& aDaemon)
  {
    const SimulatedDaemon& daemon = mCluster.Daemons().at(aDaemon);
    return daemon.alive && !daemon.paused;
  }

  void TakeOver()
  {
    const std::string daemon = RandomDaemon();
    if (IsRunning(daemon)) {
      mCluster.TakeOver(daemon, RandomCell());
    }
  }

  void MoveOrHandOver()
  {
    const std::string daemon = RandomDaemon();
    if (!IsRunning(daemon)) {
      return;
    }
    switch (Draw(6)) {
      case 0:
        mCluster.HandOver(daemon, RandomCell(), RandomDaemon());
        break;
      case 1:
      case 2:
        mCluster.SendShard(daemon, RandomCell(), RandomShard(), RandomCell());
        break;
      default: {
        const std::string cell = RandomCell();
        mCluster.MoveShard(daemon, cell, RandomShard(), Pick(mShape.cells.at(cell)));
        break;
      }
    }
  }

  void ConfirmSomeDaemonStopped()
  {
    const auto stopped = mCluster.StoppedDaemons();
    if (!stopped.empty()) {
      mCluster.ConfirmDaemonStopped(RandomDaemon(), Pick(stopped));
    }
  }

  void InjectFault()
  {
    const std::string daemon = RandomDaemon();
    const std::string server = RandomServer();
    switch (Draw(12)) {
      case 0:
        mCluster.RestartDaemon(daemon);
        break;
      case 1:
        if (mCluster.Daemons().at(daemon).alive) {
          mCluster.KillDaemon(daemon);
        } else {
          mCluster.RestartDaemon(daemon);
        }
        break;
      case 2:
        if (mCluster.Daemons().at(daemon).alive) {
          mCluster.SetDaemonPaused(daemon, !mCluster.Daemons().at(daemon).paused);
        }
        break;
      case 3:
        mCluster.RestartServer(server);
        break;
      case 4:
        if (mCluster.Servers().at(server).alive) {
          mCluster.KillServer(server);
        } else {
          mCluster.RestartServer(server);
        }
        break;
      case 5:
      case 6:
        if (mCluster.Servers().at(server).alive) {
          mCluster.SetServerFrozen(server, !mCluster.Servers().at(server).frozen);
        }
        break;
      case 7:
        mCluster.SetPlatformUp(Draw(3) != 0);
        break;
      case 8:
        mCluster.SetPlatformPartitioned(daemon, Draw(3) != 0);
        break;
      default:
        mCluster.SetServerPartitioned(daemon, server, Draw(3) != 0);
        break;
    }
  }

  ClusterSimulation& mCluster;
  const ClusterShape& mShape;
  const std::size_t mProfile;
  const bool mDelaysMessages;
  std::mt19937_64 mRandom;
};

void ConfirmAllStoppedDaemons(ClusterSimulation& aCluster, const ClusterShape& aShape)
{
  for (const DaemonRef& stopped : aCluster.StoppedDaemons()) {
    for (const std::string& it : aShape.daemons) {
      aCluster.ConfirmDaemonStopped(it, stopped);
    }
  }
}

/// Ends all faults and waits for recovery. Returns the violated invariant, or a message if not all
/// shards are served again; empty on success.
std::string RecoverAndCheck(ClusterSimulation& aCluster, const ClusterShape& aShape)
{
  aCluster.SetPlatformUp(true);
  while (!aCluster.HeldMessages().empty()) {
    aCluster.ReleaseMessage(*aCluster.HeldMessages().begin());
  }
  for (const auto& [cell, servers] : aShape.cells) {
    for (const std::string& it : servers) {
      aCluster.SetServerFrozen(it, false);
      if (!aCluster.Servers().at(it).alive) {
        aCluster.RestartServer(it);
      }
      for (const std::string& daemon : aShape.daemons) {
        aCluster.SetServerPartitioned(daemon, it, false);
      }
    }
  }
  for (const std::string& it : aShape.daemons) {
    aCluster.SetDaemonPaused(it, false);
    aCluster.SetPlatformPartitioned(it, false);
    if (!aCluster.Daemons().at(it).alive) {
      aCluster.RestartDaemon(it);
    }
  }
  aCluster.RunFor(seconds(6));
  // The first takeover attempts may only read the cell's object, on which a later one depends.
  for (int round = 0; round < 5; ++round) {
    ConfirmAllStoppedDaemons(aCluster, aShape);
    for (const auto& [cell, servers] : aShape.cells) {
      aCluster.TakeOver("d1", cell);
      for (const std::string& it : aShape.daemons) {
        // A daemon to which the cell was handed over has to take it over itself.
        if (aCluster.MachineOf(it, cell).LastKnownObject().attached ==
            aCluster.Daemons().at(it).Ref()) {
          aCluster.TakeOver(it, cell);
        }
      }
    }
    aCluster.RunFor(milliseconds(200));
  }
  ConfirmAllStoppedDaemons(aCluster, aShape);
  aCluster.RunFor(seconds(8));
  std::size_t shardCount = 0;
  for (const auto& [cell, list] : aShape.shards) {
    shardCount += list.size();
  }
  const std::size_t served = aCluster.CountServedShards();
  if (aCluster.Violation().empty() && served != shardCount) {
    return std::to_string(served) + " of " + std::to_string(shardCount) +
           " shards are served again";
  }
  return aCluster.Violation();
}

/// Runs one schedule. Returns the violated invariant or the failure to recover; empty on success.
std::string RunSchedule(std::uint64_t aSeed, std::int64_t aSteps, bool aDelaysMessages, bool aPrint)
{
  const ClusterShape shape = ShapeOf(aSeed);
  ClusterSimulation cluster(shape);
  if (!aPrint) {
    cluster.DisableTranscript();
  }
  for (const auto& [cell, servers] : shape.cells) {
    cluster.TakeOver("d1", cell);
  }
  cluster.RunFor(milliseconds(400));
  ScheduleGenerator schedule(cluster, shape, aSeed, aDelaysMessages);
  for (std::int64_t n = 0; n < aSteps && cluster.Violation().empty(); ++n) {
    schedule.Step();
  }
  std::string failure = cluster.Violation();
  if (failure.empty()) {
    failure = RecoverAndCheck(cluster, shape);
  }
  if (aPrint) {
    for (const std::string& it : cluster.Transcript()) {
      std::cout << it << '\n';
    }
    std::cout << cluster.Describe() << '\n';
  }
  return failure;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const standins::Flags flags(aArgumentCount, aArguments);
  const std::int64_t steps = flags.Number("steps", 200);
  const bool delaysMessages = flags.Number("held", 0) != 0;
  const std::int64_t show = flags.Number("show", -1);
  if (show >= 0) {
    std::cout << "seed " << show << ": "
              << RunSchedule(static_cast<std::uint64_t>(show), steps, delaysMessages, true) << '\n';
    return 0;
  }
  const auto first = static_cast<std::uint64_t>(flags.Number("first", 0));
  const auto seeds = static_cast<std::uint64_t>(flags.Number("seeds", 10000));
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const std::string failure = RunSchedule(seed, steps, delaysMessages, false);
    if (!failure.empty()) {
      std::cout << "seed " << seed << " steps " << steps << ": " << failure << '\n';
      return 1;
    }
  }
  std::cout << "one owner per shard in " << seeds << " schedules of " << steps << " steps\n";
  return 0;
}
