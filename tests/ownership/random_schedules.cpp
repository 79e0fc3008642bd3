/// @file
/// Random schedules of faults over the real decision code.
///
/// usage: random_schedules [--seeds N] [--first N] [--steps N] [--held 0|1] [--show SEED]
/// Runs short schedules, each from one seed; prints the seed of the first that breaks an invariant
/// and exits with 1. --held 1 also holds single messages back, some for longer than all else
/// takes. --show prints a schedule's transcript.

#include "tests/standins/flags.h"
#include "tests/support/world.h"

#include <array>
#include <iostream>
#include <random>

namespace {

using namespace hawthornlug;
using namespace hawthornlug::testing;

WorldShape ShapeOf(std::uint64_t aSeed)
{
  WorldShape shape;
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

/// Draws what happens next.
class Schedule
{
public:
  Schedule(World& aWorld, const WorldShape& aShape, std::uint64_t aSeed, bool aHolds)
    : mWorld(aWorld)
    , mShape(aShape)
    , mProfile((aSeed / 3) % kProfiles)
    , mHolds(aHolds)
    , mRandom(aSeed)
  {
  }

  void Step()
  {
    if (mHolds) {
      HoldOrRelease();
    }
    std::uint64_t draw = Draw(100);
    for (std::size_t n = 0; n < kActions; ++n) {
      if (draw < kWeights[mProfile][n]) {
        Act(n);
        return;
      }
      draw -= kWeights[mProfile][n];
    }
  }

private:
  static constexpr std::size_t kActions = 9;
  static constexpr std::size_t kProfiles = 4;
  /// Shares in a hundred of: deliver, time, order, give up, show, take over, move, witness, fault.
  /// The profiles dwell on everything, takeovers, moves between cells, and moves inside a cell.
  static constexpr std::array<std::array<std::uint64_t, kActions>, kProfiles> kWeights = {
    { { 45, 17, 10, 4, 4, 3, 4, 4, 9 },
      { 18, 34, 8, 2, 4, 8, 4, 8, 14 },
      { 42, 12, 5, 7, 14, 3, 14, 1, 2 },
      { 40, 14, 18, 6, 2, 2, 14, 1, 3 } }
  };

  void Act(std::size_t aAction)
  {
    switch (aAction) {
      case 0:
        DeliverSome();
        break;
      case 1:
        PassTime();
        break;
      case 2:
        mWorld.Order(Daemon(), Cell(), Shard());
        break;
      case 3:
        GiveUpSome();
        break;
      case 4:
        mWorld.ShowObjects(Daemon());
        break;
      case 5:
        TakeOver();
        break;
      case 6:
        Move();
        break;
      case 7:
        WitnessSome();
        break;
      default:
        Fault();
        break;
    }
  }

  /// In most profiles all that works goes on working, so that only what is broken lapses.
  void PassTime()
  {
    const Duration by = milliseconds(10 + 10 * static_cast<std::int64_t>(Draw(40)));
    if (mProfile != 0 && Draw(4) != 0) {
      mWorld.Run(by);
    } else {
      mWorld.Advance(by);
    }
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }

  template<typename T>
  const T& Pick(const std::vector<T>& aItems)
  {
    return aItems[Draw(aItems.size())];
  }

  /// A message is held about as often as a held one is released, so that a few are late at a time.
  void HoldOrRelease()
  {
    const std::uint64_t draw = Draw(100);
    if (draw < 6 && !mWorld.Messages().empty()) {
      mWorld.Hold(Pick(mWorld.Messages()).number);
    } else if (draw < 10 && !mWorld.Held().empty()) {
      auto it = mWorld.Held().begin();
      std::advance(it, static_cast<std::ptrdiff_t>(Draw(mWorld.Held().size())));
      mWorld.Release(*it);
    }
  }

  std::string Daemon() { return Pick(mShape.daemons); }

  std::string Cell()
  {
    auto it = mShape.cells.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Draw(mShape.cells.size())));
    return it->first;
  }

  std::string Server() { return Pick(mShape.cells.at(Cell())); }
  ShardId Shard() { return static_cast<ShardId>(Draw(3)); }

  void DeliverSome()
  {
    for (std::uint64_t n = Draw(6) + 1; n > 0 && !mWorld.Messages().empty(); --n) {
      mWorld.Deliver(Pick(mWorld.Messages()).number);
    }
  }

  void GiveUpSome()
  {
    if (mWorld.Messages().empty()) {
      return;
    }
    const Message message = Pick(mWorld.Messages());
    mWorld.GiveUp(message.number, Draw(2) == 0);
  }

  bool IsUp(const std::string& aDaemon)
  {
    const FakeDaemon& daemon = mWorld.Daemons().at(aDaemon);
    return daemon.alive && !daemon.paused;
  }

  void TakeOver()
  {
    const std::string daemon = Daemon();
    if (IsUp(daemon)) {
      mWorld.TakeOver(daemon, Cell());
    }
  }

  void Move()
  {
    const std::string daemon = Daemon();
    if (!IsUp(daemon)) {
      return;
    }
    switch (Draw(6)) {
      case 0:
        mWorld.HandOver(daemon, Cell(), Daemon());
        break;
      case 1:
      case 2:
        mWorld.Send(daemon, Cell(), Shard(), Cell());
        break;
      default: {
        const std::string cell = Cell();
        mWorld.Move(daemon, cell, Shard(), Pick(mShape.cells.at(cell)));
        break;
      }
    }
  }

  void WitnessSome()
  {
    const auto gone = mWorld.Gone();
    if (!gone.empty()) {
      mWorld.Witness(Daemon(), Pick(gone));
    }
  }

  void Fault()
  {
    const std::string daemon = Daemon();
    const std::string server = Server();
    switch (Draw(12)) {
      case 0:
        mWorld.RestartDaemon(daemon);
        break;
      case 1:
        if (mWorld.Daemons().at(daemon).alive) {
          mWorld.KillDaemon(daemon);
        } else {
          mWorld.RestartDaemon(daemon);
        }
        break;
      case 2:
        if (mWorld.Daemons().at(daemon).alive) {
          mWorld.SetPaused(daemon, !mWorld.Daemons().at(daemon).paused);
        }
        break;
      case 3:
        mWorld.RestartServer(server);
        break;
      case 4:
        if (mWorld.Servers().at(server).alive) {
          mWorld.KillServer(server);
        } else {
          mWorld.RestartServer(server);
        }
        break;
      case 5:
      case 6:
        if (mWorld.Servers().at(server).alive) {
          mWorld.SetFrozen(server, !mWorld.Servers().at(server).frozen);
        }
        break;
      case 7:
        mWorld.SetPlatformUp(Draw(3) != 0);
        break;
      case 8:
        mWorld.CutPlatform(daemon, Draw(3) != 0);
        break;
      default:
        mWorld.Cut(daemon, server, Draw(3) != 0);
        break;
    }
  }

  World& mWorld;
  const WorldShape& mShape;
  const std::size_t mProfile;
  const bool mHolds;
  std::mt19937_64 mRandom;
};

void WitnessAll(World& aWorld, const WorldShape& aShape)
{
  for (const DaemonRef& gone : aWorld.Gone()) {
    for (const std::string& it : aShape.daemons) {
      aWorld.Witness(it, gone);
    }
  }
}

/// Ends all faults and sees whether everything is served again.
std::string Heal(World& aWorld, const WorldShape& aShape)
{
  aWorld.SetPlatformUp(true);
  while (!aWorld.Held().empty()) {
    aWorld.Release(*aWorld.Held().begin());
  }
  for (const auto& [cell, servers] : aShape.cells) {
    for (const std::string& it : servers) {
      aWorld.SetFrozen(it, false);
      if (!aWorld.Servers().at(it).alive) {
        aWorld.RestartServer(it);
      }
      for (const std::string& daemon : aShape.daemons) {
        aWorld.Cut(daemon, it, false);
      }
    }
  }
  for (const std::string& it : aShape.daemons) {
    aWorld.SetPaused(it, false);
    aWorld.CutPlatform(it, false);
    if (!aWorld.Daemons().at(it).alive) {
      aWorld.RestartDaemon(it);
    }
  }
  aWorld.Run(seconds(6));
  // The first tries may only read what a later one goes by.
  for (int round = 0; round < 5; ++round) {
    WitnessAll(aWorld, aShape);
    for (const auto& [cell, servers] : aShape.cells) {
      aWorld.TakeOver("d1", cell);
      for (const std::string& it : aShape.daemons) {
        // Whoever was handed the cell comes for it.
        if (aWorld.MachineOf(it, cell).Base().attached == aWorld.Daemons().at(it).Ref()) {
          aWorld.TakeOver(it, cell);
        }
      }
    }
    aWorld.Run(milliseconds(200));
  }
  WitnessAll(aWorld, aShape);
  aWorld.Run(seconds(8));
  std::size_t shards = 0;
  for (const auto& [cell, list] : aShape.shards) {
    shards += list.size();
  }
  const std::size_t served = aWorld.ServedShards();
  if (aWorld.Broken().empty() && served != shards) {
    return std::to_string(served) + " of " + std::to_string(shards) + " shards are served again";
  }
  return aWorld.Broken();
}

std::string RunOne(std::uint64_t aSeed, std::int64_t aSteps, bool aHolds, bool aShow)
{
  const WorldShape shape = ShapeOf(aSeed);
  World world(shape);
  if (!aShow) {
    world.SetQuiet();
  }
  for (const auto& [cell, servers] : shape.cells) {
    world.TakeOver("d1", cell);
  }
  world.Run(milliseconds(400));
  Schedule schedule(world, shape, aSeed, aHolds);
  for (std::int64_t n = 0; n < aSteps && world.Broken().empty(); ++n) {
    schedule.Step();
  }
  std::string broken = world.Broken();
  if (broken.empty()) {
    broken = Heal(world, shape);
  }
  if (aShow) {
    for (const std::string& it : world.Transcript()) {
      std::cout << it << '\n';
    }
    std::cout << world.Describe() << '\n';
  }
  return broken;
}

} // namespace

int main(int aCount, char** aWords)
{
  const standins::Flags flags(aCount, aWords);
  const std::int64_t steps = flags.Number("steps", 200);
  const bool holds = flags.Number("held", 0) != 0;
  const std::int64_t show = flags.Number("show", -1);
  if (show >= 0) {
    std::cout << "seed " << show << ": "
              << RunOne(static_cast<std::uint64_t>(show), steps, holds, true) << '\n';
    return 0;
  }
  const auto first = static_cast<std::uint64_t>(flags.Number("first", 0));
  const auto seeds = static_cast<std::uint64_t>(flags.Number("seeds", 10000));
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const std::string broken = RunOne(seed, steps, holds, false);
    if (!broken.empty()) {
      std::cout << "seed " << seed << " steps " << steps << ": " << broken << '\n';
      return 1;
    }
  }
  std::cout << "one owner in " << seeds << " schedules of " << steps << " steps\n";
  return 0;
}
