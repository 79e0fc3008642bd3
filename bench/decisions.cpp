/// @file
/// Costs of the decisions at the size to come, with sizes of messages and records as counters.

#include "config/stored_config.h"
#include "membership/membership.h"
#include "ownership/cell_machine.h"
#include "placement/fleet_planner.h"
#include "placement/key_profile.h"
#include "placement/planner.h"
#include "routing/shard_routing_table.h"
#include "runtime/wire_codec.h"

#include <benchmark/benchmark.h>
#include <cmath>

namespace {

using namespace hawthornlug;

CellObject MakeCell(std::size_t aShards, std::size_t aServers)
{
  CellObject cell;
  cell.attached = { "north-entry-17", 1796362956769373 };
  cell.token = 12;
  for (std::size_t n = 0; n < aServers; ++n) {
    cell.servers["bookings-" + std::to_string(n)] = { 1796362956769373 + n, {} };
  }
  for (std::size_t n = 0; n < aShards; ++n) {
    ShardRecord record;
    record.owner = "bookings-" + std::to_string(n % aServers);
    record.standby = "bookings-" + std::to_string((n + 1) % aServers);
    record.epoch = 1000 + n;
    cell.shards[static_cast<ShardId>(n * 70)] = record;
  }
  return cell;
}

void PlannerRound(benchmark::State& aState)
{
  const auto shardCount = static_cast<std::size_t>(aState.range(0));
  const auto serverCount = static_cast<std::size_t>(aState.range(1));
  std::vector<ServerLoad> servers(serverCount);
  std::vector<ShardLoad> shards;
  for (std::size_t n = 0; n < shardCount; ++n) {
    const double work = 1.0 / std::pow(static_cast<double>(n + 1), 0.9);
    shards.push_back({ static_cast<ShardId>(n), (n * 7919) % serverCount, work, true });
  }
  std::size_t moves = 0;
  for (auto it : aState) {
    moves = PlanCell(servers, shards, shardCount / 6000 + 1).size();
    benchmark::DoNotOptimize(moves);
  }
  aState.counters["moves"] = static_cast<double>(moves);
}
BENCHMARK(PlannerRound)->Args({ 218, 4 })->Args({ 16384, 1000 })->Unit(benchmark::kMicrosecond);

/// A plan of the ranges of a keyed service, with the measure that it needs: 60,000 keys with work,
/// of which 200 neighbouring ones have just become busy.
void FleetPlanRound(benchmark::State& aState)
{
  const auto serverCount = static_cast<std::size_t>(aState.range(0));
  const auto rangeCount = static_cast<std::size_t>(aState.range(1));
  std::vector<PlannedServer> servers;
  for (std::size_t n = 0; n < serverCount; ++n) {
    servers.push_back({ "bookings-" + std::to_string(n), 4.0, true, 4 });
  }
  std::vector<PlannedRange> ranges;
  for (std::size_t n = 0; n < rangeCount; ++n) {
    PlannedRange range;
    range.keys = { static_cast<RangeKey>(65536 * n / rangeCount),
                   static_cast<RangeKey>(65536 * (n + 1) / rangeCount - 1) };
    range.owner = servers[n % serverCount].id;
    ranges.push_back(range);
  }
  KeyProfile profile;
  Instant now{ seconds(100) };
  const auto addWork = [&](RangeKey aFrom, RangeKey aTo, double aSeconds) {
    for (RangeKey key = aFrom; key <= aTo; ++key) {
      profile.Add(key, FromSeconds(aSeconds / (aTo - aFrom + 1)), now);
    }
  };
  const double perSecond = 1.5 * static_cast<double>(serverCount);
  for (int n = 0; n < 40; ++n) {
    addWork(0, 60000, perSecond / 4);
    now += milliseconds(250);
    profile.Decay(now);
  }
  addWork(20000, 20200, perSecond / 8);
  std::size_t moves = 0;
  for (auto it : aState) {
    // The time stands still, so that each round finds the same load.
    profile.Decay(now);
    moves = PlanFleet(ranges, servers, profile.Table(), {}).moves.size();
  }
  aState.counters["moves"] = static_cast<double>(moves);
}
BENCHMARK(FleetPlanRound)
  ->Args({ 226, 700 })
  ->Args({ 1000, 3000 })
  ->Args({ 1000, 4000 })
  ->Unit(benchmark::kMillisecond);

void CellEncode(benchmark::State& aState)
{
  const CellObject cell = MakeCell(static_cast<std::size_t>(aState.range(0)), 4);
  std::size_t bytes = 0;
  for (auto it : aState) {
    bytes = EncodeCell(cell).size();
    benchmark::DoNotOptimize(bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(CellEncode)->Arg(64)->Arg(256)->Arg(1024)->Unit(benchmark::kMicrosecond);

void CellLearn(benchmark::State& aState)
{
  const std::string text = EncodeCell(MakeCell(static_cast<std::size_t>(aState.range(0)), 4));
  ShardRoutingTable routes;
  Version version = 0;
  for (auto it : aState) {
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(cell, DecodeCell(text));
        routes.Learn("cells/s/x/0", ++version, cell);
        return {};
      },
      [] {});
  }
}
BENCHMARK(CellLearn)->Arg(64)->Arg(256)->Arg(1024)->Unit(benchmark::kMicrosecond);

/// One renewal of each server of a settled cell, and fifty ticks: a second of an attached cell.
void CellSecond(benchmark::State& aState)
{
  const auto shards = static_cast<std::size_t>(aState.range(0));
  CellMachine machine("cells/s/x/0", { "d1", 1 }, CellTimings{});
  std::vector<ShardId> ids;
  for (std::size_t n = 0; n < shards; ++n) {
    ids.push_back(static_cast<ShardId>(n));
  }
  machine.SetInitialShards(ids);
  Instant now{ seconds(100) };
  machine.SetServers(now, { { "a" }, { "b" }, { "c" }, { "d" } });
  machine.TakeOver(now);
  machine.OnObject(now, 0, std::nullopt);
  machine.TakeOver(now);
  Version version = 0;
  std::uint64_t calls = 0;
  const auto answer = [&] {
    for (const CellAction& it : machine.TakeActions()) {
      if (const auto* write = std::get_if<WriteCell>(&it)) {
        machine.OnWritten(now, write->id, WriteOutcome::kWritten, ++version);
      } else if (const auto* fence = std::get_if<FenceServer>(&it)) {
        ServerReply reply{ CallOutcome::kAccepted, fence->number, 1, 0, {} };
        reply.reading = now.time_since_epoch().count();
        machine.OnFenced(now, fence->server, reply);
      } else if (const auto* grant = std::get_if<GrantServer>(&it)) {
        ServerReply reply{ CallOutcome::kAccepted, grant->number, 1, 0, {} };
        reply.reading = now.time_since_epoch().count();
        machine.OnGranted(now, grant->server, reply);
        ++calls;
      }
    }
  };
  for (int n = 0; n < 200; ++n) {
    now += milliseconds(20);
    machine.OnTick(now);
    answer();
  }
  if (machine.UnservedCount() != 0) {
    aState.SkipWithError("the cell does not serve");
  }
  calls = 0;
  for (auto it : aState) {
    for (int n = 0; n < 50; ++n) {
      now += milliseconds(20);
      machine.OnTick(now);
      answer();
    }
  }
  aState.counters["renewals"] =
    benchmark::Counter(static_cast<double>(calls), benchmark::Counter::kAvgIterations);
}
BENCHMARK(CellSecond)->Arg(64)->Arg(256)->Arg(1024)->Unit(benchmark::kMicrosecond);

/// Reading a whole configuration, as each daemon does at each change.
void ConfigRead(benchmark::State& aState)
{
  Configuration config;
  config.domains.push_back({ "north", DomainState::kIn });
  ServiceConfig service;
  service.name = "bookings";
  for (std::int64_t n = 0; n < aState.range(0); ++n) {
    ServerConfig server;
    server.id = "bookings-" + std::to_string(n);
    server.domain = "north";
    server.url = "http://10.100.200.1:" + std::to_string(9000 + n);
    server.cell = static_cast<std::size_t>(n / 4);
    service.servers.push_back(std::move(server));
  }
  config.services.push_back(std::move(service));
  const std::string text = EncodeStoredConfig(config, "id");
  for (auto it : aState) {
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(stored, DecodeStoredConfig(text));
        benchmark::DoNotOptimize(stored);
        return {};
      },
      [] {});
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ConfigRead)->Arg(30)->Arg(250)->Arg(1000)->Unit(benchmark::kMillisecond);

Member MakeMember(std::size_t aNumber, std::size_t aDomains)
{
  Member member;
  member.id = "entry-" + std::to_string(10000 + aNumber);
  member.domain = "domain-" + std::to_string(aNumber % aDomains);
  member.incarnation = 1796362956769373 + aNumber;
  member.httpUrl = "http://10.100.200." + std::to_string(aNumber % 256) + ":8080";
  member.peerEndpoint = "tcp://10.100.200." + std::to_string(aNumber % 256) + ":8081";
  return member;
}

/// A second of membership: twenty ticks, the heartbeats sent and as many received.
void MembershipSecond(benchmark::State& aState)
{
  const auto daemons = static_cast<std::size_t>(aState.range(0));
  constexpr std::size_t kDomains = 10;
  Membership membership(MakeMember(0, kDomains), {});
  Instant now{ seconds(100) };
  HeartbeatInfo table;
  for (std::size_t n = 1; n < daemons; ++n) {
    table.changes.push_back(MakeMember(n, kDomains));
  }
  membership.OnHeartbeat(now, MakeMember(kDomains, kDomains), table);
  now += seconds(10);
  HeartbeatInfo quiet;
  for (std::size_t n = 0; n < kDomains; ++n) {
    quiet.domainAges["domain-" + std::to_string(n)] = milliseconds(100);
  }
  std::uint64_t bytes = 0;
  std::uint64_t sent = 0;
  for (auto it : aState) {
    for (int n = 0; n < 20; ++n) {
      now += milliseconds(50);
      for (std::size_t k = kDomains; k < daemons; k += kDomains) {
        // All neighbours are heard, so that nobody is suspected.
        membership.OnHeartbeat(now, MakeMember(k, kDomains), quiet);
        if (k >= 3 * kDomains && n % 8 != 0) {
          break;
        }
      }
      for (const OutgoingHeartbeat& out : membership.OnTick(now)) {
        wire::Envelope envelope;
        EncodeHeartbeat(membership.Self(), out.heartbeat, *envelope.mutable_heartbeat());
        bytes += envelope.ByteSizeLong();
        ++sent;
      }
      benchmark::DoNotOptimize(membership.TakeChanges());
    }
  }
  const auto perSecond = benchmark::Counter::kAvgIterations;
  aState.counters["sent"] = benchmark::Counter(static_cast<double>(sent), perSecond);
  aState.counters["bytes_sent"] = benchmark::Counter(static_cast<double>(bytes), perSecond);
}
BENCHMARK(MembershipSecond)->Arg(40)->Arg(160)->Arg(470)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
