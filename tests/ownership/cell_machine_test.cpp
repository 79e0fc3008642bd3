/// @file
/// Scenarios of daemons, servers and the platform around the production CellMachine, under a manual
/// clock. Each scenario's transcript must match the stored one in tests/golden.
/// HAWTHORNLUG_UPDATE_GOLDEN=1 rewrites the stored transcripts.

#include "tests/support/cluster_simulation.h"
#include "tests/support/golden.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace hawthornlug;
using namespace hawthornlug::testing;

namespace {

const std::string kCell = "cells/bookings/north/0";
const std::string kOtherCell = "cells/bookings/south/0";

ClusterShape DefaultShape()
{
  ClusterShape shape;
  shape.daemons = { "d1", "d2", "d3" };
  shape.cells[kCell] = { "a", "b", "c" };
  shape.shards[kCell] = { 0, 1, 2 };
  return shape;
}

ClusterShape UncheckedShape()
{
  ClusterShape shape = DefaultShape();
  shape.unchecked = { "a", "b", "c" };
  return shape;
}

ClusterShape TwoCellShape()
{
  ClusterShape shape = DefaultShape();
  shape.cells[kOtherCell] = { "e", "f" };
  shape.shards[kOtherCell] = { 3 };
  return shape;
}

/// A named sequence of events in a cluster that serves all its shards at the start.
struct Scenario
{
  /// Also the name of the transcript's file.
  std::string name;
  std::function<ClusterShape()> shape;
  std::function<void(ClusterSimulation&)> run;
  /// Number of shards that must be served at the start and at the end.
  std::size_t servedShards;
};

/// Attaches d1 to the first cell and d3 to the other one, and waits until they serve.
void StartServing(ClusterSimulation& aCluster, const ClusterShape& aShape)
{
  for (const auto& [cell, servers] : aShape.cells) {
    const std::string daemon = cell == kCell ? "d1" : "d3";
    aCluster.TakeOver(daemon, cell);
    aCluster.DeliverAll();
    aCluster.TakeOver(daemon, cell);
  }
  aCluster.RunFor(milliseconds(200));
}

/// The owner of a shard of the first cell as the daemon knows it; empty if it knows none.
std::string OwnerAccordingTo(ClusterSimulation& aCluster,
                             const std::string& aDaemon,
                             ShardId aShard)
{
  return aCluster.MachineOf(aDaemon, kCell).OwnerOf(aShard).value_or(ShardRecord{}).owner;
}

/// Submits an order and delivers all messages, so that the order finishes if its server responds.
void SubmitAndDeliver(ClusterSimulation& aCluster, const std::string& aDaemon, ShardId aShard)
{
  aCluster.SubmitOrder(aDaemon, kCell, aShard);
  aCluster.DeliverAll();
}

/// Number of the last control message that carries an Action; 0 if there is none.
template<typename Action>
std::uint64_t LastMessageWith(const ClusterSimulation& aCluster)
{
  std::uint64_t number = 0;
  for (const Message& it : aCluster.Messages()) {
    number = std::holds_alternative<Action>(it.action) && !it.orderId ? it.number : number;
  }
  return number;
}

/// Number of the last message that is a write to the platform; 0 if there is none.
std::uint64_t LastWrite(const ClusterSimulation& aCluster)
{
  return LastMessageWith<WriteCell>(aCluster);
}

/// Delivers messages until a write to the platform is in transit; returns its number, or 0 if no
/// write was sent.
std::uint64_t DeliverUntilWrite(ClusterSimulation& aCluster)
{
  constexpr int kMaxDeliveries = 1000;
  for (int n = 0; n < kMaxDeliveries && !aCluster.Messages().empty() && LastWrite(aCluster) == 0;
       ++n) {
    aCluster.Deliver(aCluster.Messages().front().number);
  }
  return LastWrite(aCluster);
}

const std::vector<Scenario>& Scenarios()
{
  static const std::vector<Scenario> kScenarios = {
    { "planned-move",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.MoveShard("d1", kCell, 0, "c");
        aCluster.DeliverAll();
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.RunFor(milliseconds(300));
      },
      3 },
    { "move-waits-for-orders-in-flight",
      UncheckedShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SubmitOrder("d1", kCell, 0);
        const std::uint64_t order = aCluster.Messages().back().number;
        aCluster.MoveShard("d1", kCell, 0, OwnerAccordingTo(aCluster, "d1", 0) == "c" ? "b" : "c");
        for (int n = 0; n < 5; ++n) {
          aCluster.Advance(milliseconds(20));
          for (const Message& it : std::vector<Message>(aCluster.Messages())) {
            if (it.number != order) {
              aCluster.Deliver(it.number);
              aCluster.Deliver(it.number);
            }
          }
          if (aCluster.SubmitOrder("d1", kCell, 0)) {
            aCluster.Deliver(aCluster.Messages().back().number);
          }
        }
        aCluster.Deliver(order);
        aCluster.RunFor(milliseconds(300));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "server-lost",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.KillServer(OwnerAccordingTo(aCluster, "d1", 0));
        aCluster.RunFor(milliseconds(1500));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "server-lost-while-the-platform-is-down",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SetPlatformUp(false);
        aCluster.KillServer(OwnerAccordingTo(aCluster, "d1", 0));
        aCluster.RunFor(milliseconds(1500));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SetPlatformUp(true);
        aCluster.RunFor(milliseconds(600));
      },
      3 },
    { "standby-promoted-while-platform-is-down-then-daemon-lost",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SetPlatformUp(false);
        aCluster.KillServer(OwnerAccordingTo(aCluster, "d1", 0));
        aCluster.RunFor(milliseconds(1500));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.KillDaemon("d1");
        aCluster.SetPlatformUp(true);
        // d2 takes over after the standby's grant has expired, and must still learn that grant's
        // epoch.
        aCluster.RunFor(milliseconds(2000));
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(200));
        aCluster.ConfirmDaemonStopped("d2", { "d1", 1 });
        aCluster.RunFor(milliseconds(2000));
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "frozen-server-resumes",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        const std::string owner = OwnerAccordingTo(aCluster, "d1", 0);
        aCluster.SetServerFrozen(owner, true);
        aCluster.SubmitOrder("d1", kCell, 0);
        aCluster.SubmitOrder("d1", kCell, 0);
        aCluster.RunFor(milliseconds(1500));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SetServerFrozen(owner, false);
        // The server now reads everything that was queued in its sockets, lease renewals included.
        for (const Message& it : std::vector<Message>(aCluster.Messages())) {
          aCluster.Deliver(it.number);
        }
        aCluster.RunFor(milliseconds(600));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "frozen-unchecked-server-resumes",
      UncheckedShape,
      [](ClusterSimulation& aCluster) {
        const std::string owner = OwnerAccordingTo(aCluster, "d1", 0);
        aCluster.SetServerFrozen(owner, true);
        aCluster.SubmitOrder("d1", kCell, 0);
        aCluster.RunFor(milliseconds(5000));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SetServerFrozen(owner, false);
        for (const Message& it : std::vector<Message>(aCluster.Messages())) {
          aCluster.Deliver(it.number);
        }
        aCluster.RunFor(milliseconds(600));
      },
      3 },
    { "server-restarts",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.RestartServer(OwnerAccordingTo(aCluster, "d1", 0));
        aCluster.RunFor(milliseconds(800));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "daemon-lost",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.KillDaemon("d1");
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(200));
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "daemon-and-server-lost",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.KillServer("a");
        aCluster.KillDaemon("d1");
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(2500));
        aCluster.Log("-- no proof yet that d1 has stopped");
        aCluster.ConfirmDaemonStopped("d2", { "d1", 1 });
        aCluster.RunFor(milliseconds(1600));
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "every-earlier-leader-must-have-stopped",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        // d1 goes on renewing a, which neither of the later daemons can reach.
        aCluster.SetPlatformPartitioned("d1", true);
        // b and c cannot inform d1 that it has been superseded.
        aCluster.SetServerPartitioned("d1", "b", true);
        aCluster.SetServerPartitioned("d1", "c", true);
        aCluster.SetServerPartitioned("d2", "a", true);
        aCluster.SetServerPartitioned("d3", "a", true);
        aCluster.TakeOver("d2", kCell);
        aCluster.DeliverAll();
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(200));
        aCluster.TakeOver("d3", kCell);
        aCluster.DeliverAll();
        aCluster.TakeOver("d3", kCell);
        aCluster.RunFor(milliseconds(200));
        aCluster.KillDaemon("d2");
        aCluster.ConfirmDaemonStopped("d3", { "d2", 1 });
        aCluster.RunFor(milliseconds(3000));
        aCluster.Log("-- d1 still renews a's grants");
        aCluster.KillDaemon("d1");
        aCluster.ConfirmDaemonStopped("d3", { "d1", 1 });
        aCluster.RunFor(milliseconds(2000));
      },
      3 },
    { "superseded-daemon-partitioned-from-the-platform",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SetPlatformPartitioned("d1", true);
        aCluster.TakeOver("d2", kCell);
        aCluster.DeliverAll();
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(400));
        SubmitAndDeliver(aCluster, "d1", 0);
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "handover",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SubmitOrder("d1", kCell, 0);
        aCluster.HandOver("d1", kCell, "d2");
        aCluster.RunFor(milliseconds(100));
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(200));
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "handover-of-unchecked-servers",
      UncheckedShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SubmitOrder("d1", kCell, 0);
        aCluster.HandOver("d1", kCell, "d2");
        aCluster.RunFor(milliseconds(100));
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(400));
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "unchecked-daemon-lost",
      UncheckedShape,
      [](ClusterSimulation& aCluster) {
        aCluster.KillDaemon("d1");
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(500));
        aCluster.Log("-- d2 must not take the cell over before d1 is confirmed stopped");
        aCluster.ConfirmDaemonStopped("d2", { "d1", 1 });
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(4000));
        SubmitAndDeliver(aCluster, "d2", 0);
      },
      3 },
    { "write-answer-lost-after-taking-effect",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.MoveShard("d1", kCell, 0, "c");
        const std::uint64_t write = DeliverUntilWrite(aCluster);
        aCluster.Deliver(write);
        aCluster.TimeOutMessage(write, false);
        aCluster.RunFor(milliseconds(600));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "planned-move-abandoned-and-written-late",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.MoveShard("d1", kCell, 0, OwnerAccordingTo(aCluster, "d1", 0) == "c" ? "b" : "c");
        const std::uint64_t write = DeliverUntilWrite(aCluster);
        aCluster.TimeOutMessage(write, false);
        aCluster.RunFor(milliseconds(700));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.Deliver(write);
        aCluster.RunFor(milliseconds(300));
        aCluster.MoveShard("d1", kCell, 1, "a");
        aCluster.MoveShard("d1", kCell, 1, "b");
        aCluster.RunFor(milliseconds(700));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "shard-sent-to-another-cell",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SendShard("d1", kCell, 0, kOtherCell);
        aCluster.RunFor(milliseconds(600));
        aCluster.SubmitOrder("d3", kOtherCell, 0);
        aCluster.DeliverAll();
        aCluster.SendShard("d3", kOtherCell, 0, kCell);
        aCluster.RunFor(milliseconds(600));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      4 },
    { "departure-written-late-is-not-reverted",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SendShard("d1", kCell, 0, kOtherCell);
        const std::uint64_t write = DeliverUntilWrite(aCluster);
        aCluster.TimeOutMessage(write, false);
        aCluster.RunFor(milliseconds(800));
        aCluster.Log("-- d1 does not know whether shard 0 has left, so no cell serves it");
        aCluster.Deliver(write);
        aCluster.RunFor(milliseconds(1500));
      },
      4 },
    { "departure-whose-answer-is-lost",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SendShard("d1", kCell, 0, kOtherCell);
        const std::uint64_t write = DeliverUntilWrite(aCluster);
        aCluster.Deliver(write);
        aCluster.SetPlatformPartitioned("d1", true);
        aCluster.TimeOutMessage(write, false);
        aCluster.RunFor(milliseconds(1500));
        aCluster.Log(
          "-- the other cell serves shard 0, although d1 does not know that it has left");
        aCluster.SetPlatformPartitioned("d1", false);
        aCluster.RunFor(milliseconds(1000));
      },
      4 },
    { "departure-whose-second-write-is-slow",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SetPlatformUp(false);
        aCluster.SendShard("d1", kCell, 0, kOtherCell);
        aCluster.TimeOutMessage(DeliverUntilWrite(aCluster), true);
        aCluster.Advance(milliseconds(120));
        const std::uint64_t secondWrite = LastWrite(aCluster);
        aCluster.HoldMessage(secondWrite);
        aCluster.SetPlatformUp(true);
        aCluster.RunFor(milliseconds(600));
        aCluster.ReleaseMessage(secondWrite);
        aCluster.Log("-- the write has taken effect, but its answer is delayed too");
        aCluster.HoldMessage(secondWrite);
        aCluster.RunFor(milliseconds(500));
        aCluster.ReleaseMessage(secondWrite);
        aCluster.RunFor(milliseconds(500));
      },
      4 },
    { "late-answer-to-an-earlier-attachments-write",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.MoveShard("d1", kCell, 0, "c");
        const std::uint64_t earlyWrite = DeliverUntilWrite(aCluster);
        aCluster.Deliver(earlyWrite);
        aCluster.HoldMessage(earlyWrite);
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(500));
        aCluster.MoveShard("d2", kCell, 0, "b");
        aCluster.RunFor(milliseconds(500));
        aCluster.TakeOver("d1", kCell);
        const std::uint64_t takeoverWrite = LastWrite(aCluster);
        aCluster.HoldMessage(takeoverWrite);
        aCluster.MoveShard("d2", kCell, 0, "a");
        aCluster.RunFor(milliseconds(500));
        aCluster.ReleaseMessage(earlyWrite);
        aCluster.RunFor(milliseconds(500));
        aCluster.ReleaseMessage(takeoverWrite);
        aCluster.RunFor(milliseconds(500));
      },
      3 },
    { "late-read-of-another-cell",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SendShard("d3", kOtherCell, 3, kCell);
        aCluster.DeliverAll();
        aCluster.SendCachedObjects("d1");
        const std::uint64_t delayedRead = LastMessageWith<ReadOtherCell>(aCluster);
        aCluster.Deliver(delayedRead);
        aCluster.HoldMessage(delayedRead);
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(500));
        aCluster.SendShard("d2", kCell, 3, kOtherCell);
        aCluster.RunFor(milliseconds(800));
        aCluster.TakeOver("d1", kCell);
        aCluster.RunFor(milliseconds(500));
        aCluster.ReleaseMessage(delayedRead);
        aCluster.RunFor(milliseconds(500));
      },
      4 },
    { "receiver-lost-while-a-shard-is-in-transit",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SendShard("d1", kCell, 0, kOtherCell);
        aCluster.DeliverAll();
        aCluster.KillDaemon("d3");
        aCluster.RunFor(milliseconds(300));
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kOtherCell);
        aCluster.RunFor(milliseconds(800));
      },
      4 },
    { "sender-lost-while-a-shard-is-in-transit",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SendShard("d1", kCell, 0, kOtherCell);
        aCluster.DeliverAll();
        aCluster.KillDaemon("d1");
        aCluster.RunFor(milliseconds(300));
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(800));
      },
      4 },
    { "two-daemons-take-over-at-once",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.KillDaemon("d1");
        aCluster.SendCachedObjects("d2");
        aCluster.SendCachedObjects("d3");
        aCluster.TakeOver("d2", kCell);
        aCluster.TakeOver("d3", kCell);
        aCluster.RunFor(milliseconds(500));
        SubmitAndDeliver(aCluster, "d2", 0);
        SubmitAndDeliver(aCluster, "d3", 0);
      },
      3 },
    { "isolated-domain-and-frozen-server",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SetPlatformPartitioned("d1", true);
        const std::string owner = OwnerAccordingTo(aCluster, "d1", 0);
        aCluster.SetServerFrozen(owner, true);
        aCluster.SubmitOrder("d1", kCell, 0);
        aCluster.RunFor(milliseconds(1500));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SetServerFrozen(owner, false);
        for (const Message& it : std::vector<Message>(aCluster.Messages())) {
          aCluster.Deliver(it.number);
        }
        aCluster.RunFor(milliseconds(600));
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SetPlatformPartitioned("d1", false);
        aCluster.RunFor(milliseconds(600));
      },
      3 },
    { "platform-down-and-daemon-restarted",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.SetPlatformUp(false);
        aCluster.RestartDaemon("d1");
        aCluster.TakeOver("d1", kCell);
        aCluster.RunFor(milliseconds(2000));
        aCluster.Log("-- no daemon can take the cell over until the platform is up");
        SubmitAndDeliver(aCluster, "d1", 0);
        aCluster.SetPlatformUp(true);
        aCluster.RunFor(milliseconds(200));
        aCluster.TakeOver("d1", kCell);
        aCluster.RunFor(milliseconds(300));
        aCluster.TakeOver("d1", kCell);
        aCluster.RunFor(milliseconds(600));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
    { "domain-declared-lost",
      TwoCellShape,
      [](ClusterSimulation& aCluster) {
        // All servers and the daemon of the first cell are lost; a daemon of another failure domain
        // sends its shards to the other cell.
        for (const std::string server : { "a", "b", "c" }) {
          aCluster.KillServer(server);
        }
        aCluster.KillDaemon("d1");
        aCluster.SendCachedObjects("d2");
        aCluster.TakeOver("d2", kCell);
        aCluster.RunFor(milliseconds(1500));
        aCluster.SendShard("d2", kCell, 0, kOtherCell);
        aCluster.Log("-- no shard may leave the cell before d1 is confirmed stopped");
        aCluster.ConfirmDaemonStopped("d2", { "d1", 1 });
        aCluster.RunFor(milliseconds(1500));
        for (const ShardId shard : { 0, 1, 2 }) {
          aCluster.SendShard("d2", kCell, shard, kOtherCell);
          aCluster.RunFor(milliseconds(300));
        }
        aCluster.SubmitOrder("d3", kOtherCell, 0);
        aCluster.DeliverAll();
      },
      4 },
    { "late-answers-of-an-earlier-attachment",
      DefaultShape,
      [](ClusterSimulation& aCluster) {
        aCluster.HandOver("d1", kCell, "d2");
        aCluster.RunFor(milliseconds(40));
        aCluster.TakeOver("d2", kCell);
        aCluster.DeliverAll();
        aCluster.RunFor(milliseconds(100));
        aCluster.HandOver("d2", kCell, "d1");
        aCluster.RunFor(milliseconds(40));
        aCluster.TakeOver("d1", kCell);
        aCluster.RunFor(milliseconds(300));
        SubmitAndDeliver(aCluster, "d1", 0);
      },
      3 },
  };
  return kScenarios;
}

} // namespace

TEST_CASE("scenarios keep one owner per shard and match their transcripts", "[ownership]")
{
  const std::size_t n = GENERATE(range<std::size_t>(0, Scenarios().size()));
  const Scenario& scenario = Scenarios()[n];
  DYNAMIC_SECTION(scenario.name)
  {
    const ClusterShape shape = scenario.shape();
    ClusterSimulation cluster(shape);
    StartServing(cluster, shape);
    REQUIRE(cluster.CountServedShards() == scenario.servedShards);
    scenario.run(cluster);
    std::string text;
    for (const std::string& it : cluster.Transcript()) {
      text += it + "\n";
    }
    INFO(text);
    CHECK_THAT(cluster.Violation(), Catch::Equals(std::string()));
    CHECK(cluster.CountServedShards() == scenario.servedShards);
    CHECK(GoldenTranscript(scenario.name, text) == text);
  }
}

TEST_CASE("a lost server's shards are served again within three seconds", "[ownership]")
{
  const bool platformUp = GENERATE(true, false);
  ClusterSimulation cluster(DefaultShape());
  StartServing(cluster, DefaultShape());
  cluster.SetPlatformUp(platformUp);
  const Instant lostAt = cluster.Now();
  cluster.KillServer(OwnerAccordingTo(cluster, "d1", 0));
  while (cluster.CountServedShards() == 3 && cluster.Now() - lostAt < seconds(10)) {
    cluster.RunFor(milliseconds(20));
  }
  while (cluster.CountServedShards() < 3 && cluster.Now() - lostAt < seconds(10)) {
    cluster.RunFor(milliseconds(20));
  }
  CHECK(cluster.Now() - lostAt <= seconds(3));
}

TEST_CASE("a planned move leaves a shard unserved for less than 100 ms", "[ownership]")
{
  ClusterSimulation cluster(DefaultShape());
  StartServing(cluster, DefaultShape());
  const Instant startedAt = cluster.Now();
  REQUIRE(cluster.MoveShard("d1", kCell, 0, "c"));
  while (cluster.CountServedShards() < 3 && cluster.Now() - startedAt < seconds(10)) {
    cluster.RunFor(milliseconds(5), milliseconds(5));
  }
  CHECK(cluster.Now() - startedAt < milliseconds(100));
}

TEST_CASE("a lost unchecked server's shards move only after its service's longest order time",
          "[ownership]")
{
  const Duration maxOrderDuration = GENERATE(Duration(seconds(2)), Duration(seconds(10)));
  const ClusterShape shape = UncheckedShape();
  ClusterSimulation cluster(shape);
  cluster.MachineOf("d1", kCell).SetMaxOrderDuration(maxOrderDuration);
  // A lower value does not shorten the wait, since orders sent earlier may still be in flight.
  cluster.MachineOf("d1", kCell).SetMaxOrderDuration(milliseconds(1));
  StartServing(cluster, shape);
  cluster.KillServer(OwnerAccordingTo(cluster, "d1", 0));
  const Instant lostAt = cluster.Now();
  // First the loss is noticed and a shard is no longer served; after the wait all are served again.
  for (const bool allServed : { false, true }) {
    while ((cluster.CountServedShards() == 3) != allServed) {
      cluster.RunFor(milliseconds(100));
      REQUIRE(cluster.Now() - lostAt < seconds(30));
    }
  }
  CHECK(cluster.Now() - lostAt >= maxOrderDuration);
}
