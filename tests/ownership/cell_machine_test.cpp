/// @file
/// Whole sessions of daemons, servers and the platform around the real decision code, under a
/// manual clock. Each session's transcript is kept in tests/golden and must not change.
/// HAWTHORNLUG_UPDATE_GOLDEN=1 writes the transcripts anew.

#include "tests/support/golden.h"
#include "tests/support/world.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace hawthornlug;
using namespace hawthornlug::testing;

namespace {

const std::string kCell = "cells/bookings/north/0";
const std::string kOther = "cells/bookings/south/0";

WorldShape Shape()
{
  WorldShape shape;
  shape.daemons = { "d1", "d2", "d3" };
  shape.cells[kCell] = { "a", "b", "c" };
  shape.shards[kCell] = { 0, 1, 2 };
  return shape;
}

WorldShape Unchecked()
{
  WorldShape shape = Shape();
  shape.unchecked = { "a", "b", "c" };
  return shape;
}

WorldShape TwoCells()
{
  WorldShape shape = Shape();
  shape.cells[kOther] = { "e", "f" };
  shape.shards[kOther] = { 3 };
  return shape;
}

/// One whole session.
struct Session
{
  std::string name;
  std::function<WorldShape()> shape;
  std::function<void(World&)> play;
  /// Shards that must be served at the end.
  std::size_t served;
};

void Begin(World& aWorld, const WorldShape& aShape)
{
  for (const auto& [cell, servers] : aShape.cells) {
    const std::string daemon = cell == kCell ? "d1" : "d3";
    aWorld.TakeOver(daemon, cell);
    aWorld.Settle();
    aWorld.TakeOver(daemon, cell);
  }
  aWorld.Run(milliseconds(200));
}

std::string OwnerIn(World& aWorld, const std::string& aDaemon, ShardId aShard)
{
  return aWorld.MachineOf(aDaemon, kCell).OwnerOf(aShard).value_or(ShardRecord{}).owner;
}

/// Runs an order of a shard to its end.
void Order(World& aWorld, const std::string& aDaemon, ShardId aShard)
{
  aWorld.Order(aDaemon, kCell, aShard);
  aWorld.Settle();
}

/// The last message of a kind to the platform; 0 if there is none.
template<typename Action>
std::uint64_t Last(const World& aWorld)
{
  std::uint64_t number = 0;
  for (const Message& it : aWorld.Messages()) {
    number = std::holds_alternative<Action>(it.action) && !it.order ? it.number : number;
  }
  return number;
}

/// The last message that is a write to the platform.
std::uint64_t LastWrite(const World& aWorld)
{
  return Last<WriteCell>(aWorld);
}

/// Delivers messages until a write is on its way to the platform; returns its number, 0 if none is
/// ever sent.
std::uint64_t DeliverUntilWrite(World& aWorld)
{
  constexpr int kMostMessages = 1000;
  for (int n = 0; n < kMostMessages && !aWorld.Messages().empty() && LastWrite(aWorld) == 0; ++n) {
    aWorld.Deliver(aWorld.Messages().front().number);
  }
  return LastWrite(aWorld);
}

const std::vector<Session>& Sessions()
{
  static const std::vector<Session> kSessions = {
    { "planned-move",
      Shape,
      [](World& aWorld) {
        Order(aWorld, "d1", 0);
        aWorld.Move("d1", kCell, 0, "c");
        aWorld.Settle();
        Order(aWorld, "d1", 0);
        aWorld.Run(milliseconds(300));
      },
      3 },
    { "move-waits-for-orders-in-flight",
      Unchecked,
      [](World& aWorld) {
        aWorld.Order("d1", kCell, 0);
        const std::uint64_t order = aWorld.Messages().back().number;
        aWorld.Move("d1", kCell, 0, OwnerIn(aWorld, "d1", 0) == "c" ? "b" : "c");
        for (int n = 0; n < 5; ++n) {
          aWorld.Advance(milliseconds(20));
          for (const Message& it : std::vector<Message>(aWorld.Messages())) {
            if (it.number != order) {
              aWorld.Deliver(it.number);
              aWorld.Deliver(it.number);
            }
          }
          if (aWorld.Order("d1", kCell, 0)) {
            aWorld.Deliver(aWorld.Messages().back().number);
          }
        }
        aWorld.Deliver(order);
        aWorld.Run(milliseconds(300));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "server-lost",
      Shape,
      [](World& aWorld) {
        Order(aWorld, "d1", 0);
        aWorld.KillServer(OwnerIn(aWorld, "d1", 0));
        aWorld.Run(milliseconds(1500));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "server-lost-while-the-platform-is-down",
      Shape,
      [](World& aWorld) {
        aWorld.SetPlatformUp(false);
        aWorld.KillServer(OwnerIn(aWorld, "d1", 0));
        aWorld.Run(milliseconds(1500));
        Order(aWorld, "d1", 0);
        aWorld.SetPlatformUp(true);
        aWorld.Run(milliseconds(600));
      },
      3 },
    { "heir-from-memory-then-daemon-lost",
      Shape,
      [](World& aWorld) {
        aWorld.SetPlatformUp(false);
        aWorld.KillServer(OwnerIn(aWorld, "d1", 0));
        aWorld.Run(milliseconds(1500));
        Order(aWorld, "d1", 0);
        aWorld.KillDaemon("d1");
        aWorld.SetPlatformUp(true);
        // The successor comes after the heir's grant has lapsed and still learns its epoch.
        aWorld.Run(milliseconds(2000));
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(200));
        aWorld.Witness("d2", { "d1", 1 });
        aWorld.Run(milliseconds(2000));
        Order(aWorld, "d2", 0);
      },
      3 },
    { "frozen-server-wakes",
      Shape,
      [](World& aWorld) {
        const std::string owner = OwnerIn(aWorld, "d1", 0);
        aWorld.SetFrozen(owner, true);
        aWorld.Order("d1", kCell, 0);
        aWorld.Order("d1", kCell, 0);
        aWorld.Run(milliseconds(1500));
        Order(aWorld, "d1", 0);
        aWorld.SetFrozen(owner, false);
        // All that waited in its sockets is read now, the renewals too.
        for (const Message& it : std::vector<Message>(aWorld.Messages())) {
          aWorld.Deliver(it.number);
        }
        aWorld.Run(milliseconds(600));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "frozen-unchecked-server-wakes",
      Unchecked,
      [](World& aWorld) {
        const std::string owner = OwnerIn(aWorld, "d1", 0);
        aWorld.SetFrozen(owner, true);
        aWorld.Order("d1", kCell, 0);
        aWorld.Run(milliseconds(5000));
        Order(aWorld, "d1", 0);
        aWorld.SetFrozen(owner, false);
        for (const Message& it : std::vector<Message>(aWorld.Messages())) {
          aWorld.Deliver(it.number);
        }
        aWorld.Run(milliseconds(600));
      },
      3 },
    { "server-restarts",
      Shape,
      [](World& aWorld) {
        aWorld.RestartServer(OwnerIn(aWorld, "d1", 0));
        aWorld.Run(milliseconds(800));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "daemon-lost",
      Shape,
      [](World& aWorld) {
        Order(aWorld, "d1", 0);
        aWorld.KillDaemon("d1");
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(200));
        Order(aWorld, "d2", 0);
      },
      3 },
    { "daemon-and-server-lost",
      Shape,
      [](World& aWorld) {
        aWorld.KillServer("a");
        aWorld.KillDaemon("d1");
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(2500));
        aWorld.Say("-- nothing proves yet that d1 is gone");
        aWorld.Witness("d2", { "d1", 1 });
        aWorld.Run(milliseconds(1600));
        Order(aWorld, "d2", 0);
      },
      3 },
    { "every-holder-must-be-gone",
      Shape,
      [](World& aWorld) {
        // d1 goes on renewing a, which neither of the later daemons can reach.
        aWorld.CutPlatform("d1", true);
        // Nor does it hear from the others that it has been superseded.
        aWorld.Cut("d1", "b", true);
        aWorld.Cut("d1", "c", true);
        aWorld.Cut("d2", "a", true);
        aWorld.Cut("d3", "a", true);
        aWorld.TakeOver("d2", kCell);
        aWorld.Settle();
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(200));
        aWorld.TakeOver("d3", kCell);
        aWorld.Settle();
        aWorld.TakeOver("d3", kCell);
        aWorld.Run(milliseconds(200));
        aWorld.KillDaemon("d2");
        aWorld.Witness("d3", { "d2", 1 });
        aWorld.Run(milliseconds(3000));
        aWorld.Say("-- d1 still holds a's grants");
        aWorld.KillDaemon("d1");
        aWorld.Witness("d3", { "d1", 1 });
        aWorld.Run(milliseconds(2000));
      },
      3 },
    { "superseded-daemon-cut-from-the-platform",
      Shape,
      [](World& aWorld) {
        aWorld.CutPlatform("d1", true);
        aWorld.TakeOver("d2", kCell);
        aWorld.Settle();
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(400));
        Order(aWorld, "d1", 0);
        Order(aWorld, "d2", 0);
      },
      3 },
    { "hand-over",
      Shape,
      [](World& aWorld) {
        aWorld.Order("d1", kCell, 0);
        aWorld.HandOver("d1", kCell, "d2");
        aWorld.Run(milliseconds(100));
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(200));
        Order(aWorld, "d2", 0);
      },
      3 },
    { "hand-over-of-unchecked-servers",
      Unchecked,
      [](World& aWorld) {
        aWorld.Order("d1", kCell, 0);
        aWorld.HandOver("d1", kCell, "d2");
        aWorld.Run(milliseconds(100));
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(400));
        Order(aWorld, "d2", 0);
      },
      3 },
    { "unchecked-daemon-lost",
      Unchecked,
      [](World& aWorld) {
        aWorld.KillDaemon("d1");
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(500));
        aWorld.Say("-- it may not be taken before d1 is proven gone");
        aWorld.Witness("d2", { "d1", 1 });
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(4000));
        Order(aWorld, "d2", 0);
      },
      3 },
    { "write-answer-lost-after-taking-effect",
      Shape,
      [](World& aWorld) {
        aWorld.Move("d1", kCell, 0, "c");
        const std::uint64_t write = DeliverUntilWrite(aWorld);
        aWorld.Deliver(write);
        aWorld.GiveUp(write, false);
        aWorld.Run(milliseconds(600));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "planned-move-abandoned-and-written-late",
      Shape,
      [](World& aWorld) {
        aWorld.Move("d1", kCell, 0, OwnerIn(aWorld, "d1", 0) == "c" ? "b" : "c");
        const std::uint64_t write = DeliverUntilWrite(aWorld);
        aWorld.GiveUp(write, false);
        aWorld.Run(milliseconds(700));
        Order(aWorld, "d1", 0);
        aWorld.Deliver(write);
        aWorld.Run(milliseconds(300));
        aWorld.Move("d1", kCell, 1, "a");
        aWorld.Move("d1", kCell, 1, "b");
        aWorld.Run(milliseconds(700));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "shard-sent-to-another-cell",
      TwoCells,
      [](World& aWorld) {
        Order(aWorld, "d1", 0);
        aWorld.Send("d1", kCell, 0, kOther);
        aWorld.Run(milliseconds(600));
        aWorld.Order("d3", kOther, 0);
        aWorld.Settle();
        aWorld.Send("d3", kOther, 0, kCell);
        aWorld.Run(milliseconds(600));
        Order(aWorld, "d1", 0);
      },
      4 },
    { "departure-written-late-is-not-taken-back",
      TwoCells,
      [](World& aWorld) {
        aWorld.Send("d1", kCell, 0, kOther);
        const std::uint64_t write = DeliverUntilWrite(aWorld);
        aWorld.GiveUp(write, false);
        aWorld.Run(milliseconds(800));
        aWorld.Say("-- whether it left is not known, so it is served nowhere");
        aWorld.Deliver(write);
        aWorld.Run(milliseconds(1500));
      },
      4 },
    { "departure-whose-answer-is-lost",
      TwoCells,
      [](World& aWorld) {
        aWorld.Send("d1", kCell, 0, kOther);
        const std::uint64_t write = DeliverUntilWrite(aWorld);
        aWorld.Deliver(write);
        aWorld.CutPlatform("d1", true);
        aWorld.GiveUp(write, false);
        aWorld.Run(milliseconds(1500));
        aWorld.Say("-- the other cell serves it, though d1 could not know that it left");
        aWorld.CutPlatform("d1", false);
        aWorld.Run(milliseconds(1000));
      },
      4 },
    { "departure-whose-second-write-is-slow",
      TwoCells,
      [](World& aWorld) {
        aWorld.SetPlatformUp(false);
        aWorld.Send("d1", kCell, 0, kOther);
        aWorld.GiveUp(DeliverUntilWrite(aWorld), true);
        aWorld.Advance(milliseconds(120));
        const std::uint64_t second = LastWrite(aWorld);
        aWorld.Hold(second);
        aWorld.SetPlatformUp(true);
        aWorld.Run(milliseconds(600));
        aWorld.Release(second);
        aWorld.Say("-- it is written, and the answer is slow as well");
        aWorld.Hold(second);
        aWorld.Run(milliseconds(500));
        aWorld.Release(second);
        aWorld.Run(milliseconds(500));
      },
      4 },
    { "late-answer-to-an-earlier-attachments-write",
      Shape,
      [](World& aWorld) {
        aWorld.Move("d1", kCell, 0, "c");
        const std::uint64_t early = DeliverUntilWrite(aWorld);
        aWorld.Deliver(early);
        aWorld.Hold(early);
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(500));
        aWorld.Move("d2", kCell, 0, "b");
        aWorld.Run(milliseconds(500));
        aWorld.TakeOver("d1", kCell);
        const std::uint64_t taking = LastWrite(aWorld);
        aWorld.Hold(taking);
        aWorld.Move("d2", kCell, 0, "a");
        aWorld.Run(milliseconds(500));
        aWorld.Release(early);
        aWorld.Run(milliseconds(500));
        aWorld.Release(taking);
        aWorld.Run(milliseconds(500));
      },
      3 },
    { "late-reading-of-another-cell",
      TwoCells,
      [](World& aWorld) {
        aWorld.Send("d3", kOther, 3, kCell);
        aWorld.Settle();
        aWorld.ShowObjects("d1");
        const std::uint64_t reading = Last<ReadOtherCell>(aWorld);
        aWorld.Deliver(reading);
        aWorld.Hold(reading);
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(500));
        aWorld.Send("d2", kCell, 3, kOther);
        aWorld.Run(milliseconds(800));
        aWorld.TakeOver("d1", kCell);
        aWorld.Run(milliseconds(500));
        aWorld.Release(reading);
        aWorld.Run(milliseconds(500));
      },
      4 },
    { "receiver-lost-while-a-shard-is-on-its-way",
      TwoCells,
      [](World& aWorld) {
        aWorld.Send("d1", kCell, 0, kOther);
        aWorld.Settle();
        aWorld.KillDaemon("d3");
        aWorld.Run(milliseconds(300));
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kOther);
        aWorld.Run(milliseconds(800));
      },
      4 },
    { "sender-lost-while-a-shard-is-on-its-way",
      TwoCells,
      [](World& aWorld) {
        aWorld.Send("d1", kCell, 0, kOther);
        aWorld.Settle();
        aWorld.KillDaemon("d1");
        aWorld.Run(milliseconds(300));
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(800));
      },
      4 },
    { "two-daemons-take-at-once",
      Shape,
      [](World& aWorld) {
        aWorld.KillDaemon("d1");
        aWorld.ShowObjects("d2");
        aWorld.ShowObjects("d3");
        aWorld.TakeOver("d2", kCell);
        aWorld.TakeOver("d3", kCell);
        aWorld.Run(milliseconds(500));
        Order(aWorld, "d2", 0);
        Order(aWorld, "d3", 0);
      },
      3 },
    { "cut-off-domain-and-frozen-server",
      Shape,
      [](World& aWorld) {
        aWorld.CutPlatform("d1", true);
        const std::string owner = OwnerIn(aWorld, "d1", 0);
        aWorld.SetFrozen(owner, true);
        aWorld.Order("d1", kCell, 0);
        aWorld.Run(milliseconds(1500));
        Order(aWorld, "d1", 0);
        aWorld.SetFrozen(owner, false);
        for (const Message& it : std::vector<Message>(aWorld.Messages())) {
          aWorld.Deliver(it.number);
        }
        aWorld.Run(milliseconds(600));
        Order(aWorld, "d1", 0);
        aWorld.CutPlatform("d1", false);
        aWorld.Run(milliseconds(600));
      },
      3 },
    { "platform-down-and-daemon-restarted",
      Shape,
      [](World& aWorld) {
        aWorld.SetPlatformUp(false);
        aWorld.RestartDaemon("d1");
        aWorld.TakeOver("d1", kCell);
        aWorld.Run(milliseconds(2000));
        aWorld.Say("-- what was attached to d1 waits for the platform");
        Order(aWorld, "d1", 0);
        aWorld.SetPlatformUp(true);
        aWorld.Run(milliseconds(200));
        aWorld.TakeOver("d1", kCell);
        aWorld.Run(milliseconds(300));
        aWorld.TakeOver("d1", kCell);
        aWorld.Run(milliseconds(600));
        Order(aWorld, "d1", 0);
      },
      3 },
    { "domain-declared-lost",
      TwoCells,
      [](World& aWorld) {
        // All of the first cell is gone; a daemon of the other failure domain empties it.
        for (const std::string server : { "a", "b", "c" }) {
          aWorld.KillServer(server);
        }
        aWorld.KillDaemon("d1");
        aWorld.ShowObjects("d2");
        aWorld.TakeOver("d2", kCell);
        aWorld.Run(milliseconds(1500));
        aWorld.Send("d2", kCell, 0, kOther);
        aWorld.Say("-- nothing may leave before d1 is declared gone");
        aWorld.Witness("d2", { "d1", 1 });
        aWorld.Run(milliseconds(1500));
        for (const ShardId shard : { 0, 1, 2 }) {
          aWorld.Send("d2", kCell, shard, kOther);
          aWorld.Run(milliseconds(300));
        }
        aWorld.Order("d3", kOther, 0);
        aWorld.Settle();
      },
      4 },
    { "late-answers-of-an-earlier-attachment",
      Shape,
      [](World& aWorld) {
        aWorld.HandOver("d1", kCell, "d2");
        aWorld.Run(milliseconds(40));
        aWorld.TakeOver("d2", kCell);
        aWorld.Settle();
        aWorld.Run(milliseconds(100));
        aWorld.HandOver("d2", kCell, "d1");
        aWorld.Run(milliseconds(40));
        aWorld.TakeOver("d1", kCell);
        aWorld.Run(milliseconds(300));
        Order(aWorld, "d1", 0);
      },
      3 },
  };
  return kSessions;
}

} // namespace

TEST_CASE("whole sessions keep one owner and their transcripts", "[ownership]")
{
  const std::size_t n = GENERATE(range<std::size_t>(0, Sessions().size()));
  const Session& session = Sessions()[n];
  DYNAMIC_SECTION(session.name)
  {
    const WorldShape shape = session.shape();
    World world(shape);
    Begin(world, shape);
    REQUIRE(world.ServedShards() == session.served);
    session.play(world);
    std::string text;
    for (const std::string& it : world.Transcript()) {
      text += it + "\n";
    }
    INFO(text);
    CHECK_THAT(world.Broken(), Catch::Equals(std::string()));
    CHECK(world.ServedShards() == session.served);
    CHECK(KeptTranscript(session.name, text) == text);
  }
}

TEST_CASE("a lost server's shards are served again well within three seconds", "[ownership]")
{
  const bool platformUp = GENERATE(true, false);
  World world(Shape());
  Begin(world, Shape());
  world.SetPlatformUp(platformUp);
  const Instant lostAt = world.Now();
  world.KillServer(OwnerIn(world, "d1", 0));
  while (world.ServedShards() == 3 && world.Now() - lostAt < seconds(10)) {
    world.Run(milliseconds(20));
  }
  while (world.ServedShards() < 3 && world.Now() - lostAt < seconds(10)) {
    world.Run(milliseconds(20));
  }
  CHECK(world.Now() - lostAt <= seconds(3));
}

TEST_CASE("a planned move holds a shard for less than 100 ms", "[ownership]")
{
  World world(Shape());
  Begin(world, Shape());
  const Instant begunAt = world.Now();
  REQUIRE(world.Move("d1", kCell, 0, "c"));
  while (world.ServedShards() < 3 && world.Now() - begunAt < seconds(10)) {
    world.Run(milliseconds(5), milliseconds(5));
  }
  CHECK(world.Now() - begunAt < milliseconds(100));
}

TEST_CASE("an unchecked server is waited for as long as its service's orders may take",
          "[ownership]")
{
  const Duration longest = GENERATE(Duration(seconds(2)), Duration(seconds(10)));
  const WorldShape shape = Unchecked();
  World world(shape);
  world.MachineOf("d1", kCell).SetLongestOrder(longest);
  // A shorter one does not shorten the wait: orders may be under way.
  world.MachineOf("d1", kCell).SetLongestOrder(milliseconds(1));
  Begin(world, shape);
  world.KillServer(OwnerIn(world, "d1", 0));
  const Instant lostAt = world.Now();
  // It serves until the loss is noticed, and again once the server has been waited for.
  for (const bool whole : { false, true }) {
    while ((world.ServedShards() == 3) != whole) {
      world.Run(milliseconds(100));
      REQUIRE(world.Now() - lostAt < seconds(30));
    }
  }
  CHECK(world.Now() - lostAt >= longest);
}
