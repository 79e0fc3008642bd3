/// @file
/// Whole sessions of daemons, servers and the platform around the real decision code, under a
/// manual clock. Each session's transcript is kept in tests/golden and must not change.
/// HAWTHORNLUG_UPDATE_GOLDEN=1 writes the transcripts anew.

#include "tests/support/world.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

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

/// The last message that is a write to the platform.
std::uint64_t LastWrite(const World& aWorld)
{
  std::uint64_t number = 0;
  for (const Message& it : aWorld.Messages()) {
    number = std::holds_alternative<WriteCell>(it.action) && !it.order ? it.number : number;
  }
  return number;
}

const std::vector<Session>& Sessions()
{
  static const std::vector<Session> kSessions = {
    { "planned-move",
      Shape,
      [](World& w) {
        Order(w, "d1", 0);
        w.Move("d1", kCell, 0, "c");
        w.Settle();
        Order(w, "d1", 0);
        w.Run(milliseconds(300));
      },
      3 },
    { "move-waits-for-orders-in-flight",
      Unchecked,
      [](World& w) {
        w.Order("d1", kCell, 0);
        const std::uint64_t order = w.Messages().back().number;
        w.Move("d1", kCell, 0, OwnerIn(w, "d1", 0) == "c" ? "b" : "c");
        for (int n = 0; n < 5; ++n) {
          w.Advance(milliseconds(20));
          for (const Message& it : std::vector<Message>(w.Messages())) {
            if (it.number != order) {
              w.Deliver(it.number);
              w.Deliver(it.number);
            }
          }
          if (w.Order("d1", kCell, 0)) {
            w.Deliver(w.Messages().back().number);
          }
        }
        w.Deliver(order);
        w.Run(milliseconds(300));
        Order(w, "d1", 0);
      },
      3 },
    { "server-lost",
      Shape,
      [](World& w) {
        Order(w, "d1", 0);
        w.KillServer(OwnerIn(w, "d1", 0));
        w.Run(milliseconds(1500));
        Order(w, "d1", 0);
      },
      3 },
    { "server-lost-while-the-platform-is-down",
      Shape,
      [](World& w) {
        w.SetPlatformUp(false);
        w.KillServer(OwnerIn(w, "d1", 0));
        w.Run(milliseconds(1500));
        Order(w, "d1", 0);
        w.SetPlatformUp(true);
        w.Run(milliseconds(600));
      },
      3 },
    { "heir-from-memory-then-daemon-lost",
      Shape,
      [](World& w) {
        w.SetPlatformUp(false);
        w.KillServer(OwnerIn(w, "d1", 0));
        w.Run(milliseconds(1500));
        Order(w, "d1", 0);
        w.KillDaemon("d1");
        w.SetPlatformUp(true);
        // The successor comes after the heir's grant has lapsed and still learns its epoch.
        w.Run(milliseconds(2000));
        w.ShowObjects("d2");
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(200));
        w.Witness("d2", { "d1", 1 });
        w.Run(milliseconds(2000));
        Order(w, "d2", 0);
      },
      3 },
    { "frozen-server-wakes",
      Shape,
      [](World& w) {
        const std::string owner = OwnerIn(w, "d1", 0);
        w.SetFrozen(owner, true);
        w.Order("d1", kCell, 0);
        w.Order("d1", kCell, 0);
        w.Run(milliseconds(1500));
        Order(w, "d1", 0);
        w.SetFrozen(owner, false);
        // All that waited in its sockets is read now, the renewals too.
        for (const Message& it : std::vector<Message>(w.Messages())) {
          w.Deliver(it.number);
        }
        w.Run(milliseconds(600));
        Order(w, "d1", 0);
      },
      3 },
    { "frozen-unchecked-server-wakes",
      Unchecked,
      [](World& w) {
        const std::string owner = OwnerIn(w, "d1", 0);
        w.SetFrozen(owner, true);
        w.Order("d1", kCell, 0);
        w.Run(milliseconds(5000));
        Order(w, "d1", 0);
        w.SetFrozen(owner, false);
        for (const Message& it : std::vector<Message>(w.Messages())) {
          w.Deliver(it.number);
        }
        w.Run(milliseconds(600));
      },
      3 },
    { "server-restarts",
      Shape,
      [](World& w) {
        w.RestartServer(OwnerIn(w, "d1", 0));
        w.Run(milliseconds(800));
        Order(w, "d1", 0);
      },
      3 },
    { "daemon-lost",
      Shape,
      [](World& w) {
        Order(w, "d1", 0);
        w.KillDaemon("d1");
        w.ShowObjects("d2");
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(200));
        Order(w, "d2", 0);
      },
      3 },
    { "daemon-and-server-lost",
      Shape,
      [](World& w) {
        w.KillServer("a");
        w.KillDaemon("d1");
        w.ShowObjects("d2");
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(2500));
        w.Say("-- nothing proves yet that d1 is gone");
        w.Witness("d2", { "d1", 1 });
        w.Run(milliseconds(1600));
        Order(w, "d2", 0);
      },
      3 },
    { "every-holder-must-be-gone",
      Shape,
      [](World& w) {
        // d1 goes on renewing a, which neither of the later daemons can reach.
        w.CutPlatform("d1", true);
        w.Cut("d2", "a", true);
        w.Cut("d3", "a", true);
        w.TakeOver("d2", kCell);
        w.Settle();
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(200));
        w.TakeOver("d3", kCell);
        w.Settle();
        w.TakeOver("d3", kCell);
        w.Run(milliseconds(200));
        w.KillDaemon("d2");
        w.Witness("d3", { "d2", 1 });
        w.Run(milliseconds(3000));
        w.Say("-- d1 still holds a's grants");
        w.KillDaemon("d1");
        w.Witness("d3", { "d1", 1 });
        w.Run(milliseconds(2000));
      },
      3 },
    { "superseded-daemon-cut-from-the-platform",
      Shape,
      [](World& w) {
        w.CutPlatform("d1", true);
        w.TakeOver("d2", kCell);
        w.Settle();
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(400));
        Order(w, "d1", 0);
        Order(w, "d2", 0);
      },
      3 },
    { "hand-over",
      Shape,
      [](World& w) {
        w.Order("d1", kCell, 0);
        w.HandOver("d1", kCell, "d2");
        w.Run(milliseconds(100));
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(200));
        Order(w, "d2", 0);
      },
      3 },
    { "hand-over-of-unchecked-servers",
      Unchecked,
      [](World& w) {
        w.Order("d1", kCell, 0);
        w.HandOver("d1", kCell, "d2");
        w.Run(milliseconds(100));
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(400));
        Order(w, "d2", 0);
      },
      3 },
    { "unchecked-daemon-lost",
      Unchecked,
      [](World& w) {
        w.KillDaemon("d1");
        w.ShowObjects("d2");
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(500));
        w.Say("-- it may not be taken before d1 is proven gone");
        w.Witness("d2", { "d1", 1 });
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(4000));
        Order(w, "d2", 0);
      },
      3 },
    { "write-answer-lost-after-taking-effect",
      Shape,
      [](World& w) {
        w.Move("d1", kCell, 0, "c");
        while (LastWrite(w) == 0) {
          w.Deliver(w.Messages().front().number);
        }
        const std::uint64_t write = LastWrite(w);
        w.Deliver(write);
        w.GiveUp(write, false);
        w.Run(milliseconds(600));
        Order(w, "d1", 0);
      },
      3 },
    { "planned-move-abandoned-and-written-late",
      Shape,
      [](World& w) {
        w.Move("d1", kCell, 0, OwnerIn(w, "d1", 0) == "c" ? "b" : "c");
        while (LastWrite(w) == 0) {
          w.Deliver(w.Messages().front().number);
        }
        const std::uint64_t write = LastWrite(w);
        w.GiveUp(write, false);
        w.Run(milliseconds(700));
        Order(w, "d1", 0);
        w.Deliver(write);
        w.Run(milliseconds(300));
        w.Move("d1", kCell, 1, "a");
        w.Move("d1", kCell, 1, "b");
        w.Run(milliseconds(700));
        Order(w, "d1", 0);
      },
      3 },
    { "shard-sent-to-another-cell",
      TwoCells,
      [](World& w) {
        Order(w, "d1", 0);
        w.Send("d1", kCell, 0, kOther);
        w.Run(milliseconds(600));
        w.Order("d3", kOther, 0);
        w.Settle();
        w.Send("d3", kOther, 0, kCell);
        w.Run(milliseconds(600));
        Order(w, "d1", 0);
      },
      4 },
    { "departure-written-late-is-not-taken-back",
      TwoCells,
      [](World& w) {
        w.Send("d1", kCell, 0, kOther);
        while (LastWrite(w) == 0) {
          w.Deliver(w.Messages().front().number);
        }
        const std::uint64_t write = LastWrite(w);
        w.GiveUp(write, false);
        w.Run(milliseconds(800));
        w.Say("-- whether it left is not known, so it is served nowhere");
        w.Deliver(write);
        w.Run(milliseconds(1500));
      },
      4 },
    { "receiver-lost-while-a-shard-is-on-its-way",
      TwoCells,
      [](World& w) {
        w.Send("d1", kCell, 0, kOther);
        w.Settle();
        w.KillDaemon("d3");
        w.Run(milliseconds(300));
        w.ShowObjects("d2");
        w.TakeOver("d2", kOther);
        w.Run(milliseconds(800));
      },
      4 },
    { "sender-lost-while-a-shard-is-on-its-way",
      TwoCells,
      [](World& w) {
        w.Send("d1", kCell, 0, kOther);
        w.Settle();
        w.KillDaemon("d1");
        w.Run(milliseconds(300));
        w.ShowObjects("d2");
        w.TakeOver("d2", kCell);
        w.Run(milliseconds(800));
      },
      4 },
    { "two-daemons-take-at-once",
      Shape,
      [](World& w) {
        w.KillDaemon("d1");
        w.ShowObjects("d2");
        w.ShowObjects("d3");
        w.TakeOver("d2", kCell);
        w.TakeOver("d3", kCell);
        w.Run(milliseconds(500));
        Order(w, "d2", 0);
        Order(w, "d3", 0);
      },
      3 },
    { "late-answers-of-an-earlier-attachment",
      Shape,
      [](World& w) {
        w.HandOver("d1", kCell, "d2");
        w.Run(milliseconds(40));
        w.TakeOver("d2", kCell);
        w.Settle();
        w.Run(milliseconds(100));
        w.HandOver("d2", kCell, "d1");
        w.Run(milliseconds(40));
        w.TakeOver("d1", kCell);
        w.Run(milliseconds(300));
        Order(w, "d1", 0);
      },
      3 },
  };
  return kSessions;
}

std::string ReadGolden(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream buf;
  buf << file.rdbuf();
  return buf.str();
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
    CHECK(world.Broken() == "");
    CHECK(world.ServedShards() == session.served);
    const std::string file = std::string(HAWTHORNLUG_GOLDEN) + "/" + session.name + ".txt";
    if (std::getenv("HAWTHORNLUG_UPDATE_GOLDEN") != nullptr) {
      std::ofstream(file) << text;
    }
    CHECK(ReadGolden(file) == text);
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
  while (world.ServedShards() == 3) {
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
  while (world.ServedShards() < 3) {
    world.Run(milliseconds(5), milliseconds(5));
  }
  CHECK(world.Now() - begunAt < milliseconds(100));
}
