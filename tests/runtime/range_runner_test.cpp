/// @file
/// Tests what the leader of a keyed service sends to the other daemons.

#include "runtime/range_runner.h"
#include "tests/support/mesh_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// A store in memory. Answers are kept until Deliver().
class MemoryStore : public ObjectStore
{
public:
  void List(ObjectKind aKind, bool, ReadDone aDone) override
  {
    mPending.push_back([this, aKind, aDone] { aDone(Reading(aKind)); });
  }
  void Watch(ObjectKind, StoreRevision, Duration, ReadDone aDone) override
  {
    mPending.push_back([this, aDone] {
      StoreReading unchanged;
      unchanged.result = watchResult;
      unchanged.at = StoreRevision(mRevision);
      aDone(unchanged);
    });
  }
  void Write(ObjectKind aKind,
             const std::string& aName,
             StoreRevision aExpected,
             const std::string& aValue,
             WriteDone aDone) override
  {
    ++writes;
    mPending.push_back([this, aKind, aName, aExpected, aValue, aDone] {
      StoredObject& object = mObjects[{ aKind, aName }];
      StoreWrite write;
      write.result = StoreResult::kConflict;
      if (object.revision == aExpected) {
        object = { aName, StoreRevision(++mRevision), false, aValue };
        write.result = StoreResult::kDone;
      }
      write.object = object;
      aDone(write);
    });
  }

  void Deliver()
  {
    std::vector<std::function<void()>> calls;
    calls.swap(mPending);
    for (const auto& it : calls) {
      it();
    }
  }

  /// How lists and watches end.
  StoreResult listResult = StoreResult::kDone;
  StoreResult watchResult = StoreResult::kDone;
  unsigned writes = 0;

private:
  StoreReading Reading(ObjectKind aKind) const
  {
    StoreReading reading;
    reading.result = listResult;
    reading.at = StoreRevision(mRevision);
    for (const auto& [name, object] : mObjects) {
      if (name.first == aKind) {
        reading.objects.push_back(object);
      }
    }
    return reading;
  }

  std::vector<std::function<void()>> mPending;
  std::map<std::pair<ObjectKind, std::string>, StoredObject> mObjects;
  std::uint64_t mRevision = 1;
};

/// Servers that grant and release at once. Answers are kept until Deliver().
class WillingBackends : public BackendPort
{
public:
  std::shared_ptr<http::Call> Forward(const http::Request&,
                                      const ForwardTerms&,
                                      AttemptPermit,
                                      ForwardDone) override
  {
    return nullptr;
  }
  void Grant(const GrantCommand&, Duration, CommandDone aDone) override
  {
    ++grants;
    Answer(aDone);
  }
  void Release(const ReleaseCommand&, Duration, CommandDone aDone) override { Answer(aDone); }
  void CheckHealth(const std::string& aAddress,
                   const std::string&,
                   Duration,
                   HealthDone aDone) override
  {
    if (!silent.contains(aAddress)) {
      mPendingChecks.push_back(std::move(aDone));
    }
  }

  /// Addresses of servers that answer no health check.
  std::set<std::string> silent;
  unsigned grants = 0;

  void Deliver()
  {
    std::vector<HealthDone> checks;
    checks.swap(mPendingChecks);
    for (const HealthDone& it : checks) {
      HealthReport report;
      report.answered = true;
      it(report);
    }
    std::vector<CommandDone> calls;
    calls.swap(mPending);
    for (const CommandDone& it : calls) {
      CommandOutcome outcome;
      outcome.result = CommandResult::kDone;
      it(outcome);
    }
  }

private:
  void Answer(const CommandDone& aDone) { mPending.push_back(aDone); }

  std::vector<CommandDone> mPending;
  std::vector<HealthDone> mPendingChecks;
};

class IgnoredNotices : public ServerNoticeSink
{
public:
  void OnServerNotice(const ServerRef&, const ServerNotice&) override {}
};

} // namespace

TEST_CASE("a leader that moves many ranges does not flood the other daemons with its table",
          "[runtime][ranges]")
{
  const unsigned daemons = GENERATE(9u, 91u);
  MeshSimulation simulation(daemons);
  simulation.Run(seconds(5));
  REQUIRE(simulation.AllLive());
  MemoryStore store;
  WillingBackends backends;
  Metrics metrics;
  IgnoredNotices notices;
  ServerSelector selector("north");
  Mesh& mesh = simulation.nodes[0]->mesh;
  ServiceRule rule;
  rule.name = "s";
  rule.keyed = true;
  selector.SetServiceRule(rule);
  ServerEntry entry;
  entry.service = "s";
  entry.slots = 4;
  for (unsigned n = 0; n < 100; ++n) {
    entry.id = "server-" + std::to_string(n);
    entry.domain = n % 2 == 0 ? "north" : "south";
    selector.Put(entry, simulation.timers.now);
  }
  RangeRunner runner(
    "s",
    GrantTiming(),
    { store, backends, mesh, selector, notices, simulation.timers, simulation.log, metrics },
    [] {});
  std::size_t messages = 0;
  const auto run = [&](Duration aTime) {
    for (const Instant end = simulation.timers.now + aTime; simulation.timers.now < end;) {
      runner.Tick(simulation.timers.now, { Duration::zero(), false, true });
      backends.Deliver();
      store.Deliver();
      for (const auto& [endpoint, message] : simulation.network.messages) {
        messages += message.has_range_table() ? 1 : 0;
      }
      simulation.Run(kMeshTick);
    }
  };
  // Whatever the rank of this daemon is, it leads in the end: no other one runs for it.
  run(seconds(90));
  REQUIRE(runner.IsLeader());
  messages = 0;
  // A failure domain goes: half of the ranges move.
  selector.SetDomainsOutOfService({ "south" });
  run(seconds(4));
  const DirectoryRange* const range = runner.Find(kLastKey);
  REQUIRE(range != nullptr);
  CHECK(selector.IsOpen(range->server));
  CHECK(messages > 0);
  CHECK(messages <= 4 * 900 + daemons);
}

// Guards against keys that nobody serves: they were moved to a server that answers nothing.
TEST_CASE("keys are not moved to a new server that answers nothing", "[runtime][ranges][reports]")
{
  MeshSimulation simulation(1);
  simulation.Run(seconds(2));
  MemoryStore store;
  WillingBackends backends;
  Metrics metrics;
  IgnoredNotices notices;
  ServerSelector selector("north");
  ServiceRule rule;
  rule.name = "s";
  rule.keyed = true;
  selector.SetServiceRule(rule);
  const auto add = [&](const std::string& aId) {
    ServerEntry entry;
    entry.service = "s";
    entry.slots = 4;
    entry.id = aId;
    entry.address = "at-" + aId;
    entry.domain = "north";
    selector.Put(entry, simulation.timers.now);
  };
  add("old");
  RangeRunner runner("s",
                     GrantTiming(),
                     { store,
                       backends,
                       simulation.nodes[0]->mesh,
                       selector,
                       notices,
                       simulation.timers,
                       simulation.log,
                       metrics },
                     [] {});
  const auto run = [&](Duration aTime) {
    for (const Instant end = simulation.timers.now + aTime; simulation.timers.now < end;) {
      runner.Tick(simulation.timers.now, { Duration::zero(), false, true });
      backends.Deliver();
      store.Deliver();
      simulation.Run(kMeshTick);
    }
  };
  const auto owns = [&](const std::string& aServer) {
    bool found = false;
    for (const DirectoryRange& it : runner.Directory().AsSnapshot().ranges) {
      found = found || it.server == aServer;
    }
    return found;
  };
  run(seconds(10));
  REQUIRE(runner.IsLeader());
  REQUIRE(owns("old"));
  backends.silent.insert("at-silent");
  add("silent");
  runner.OnServersChanged(simulation.timers.now);
  run(seconds(4));
  CHECK_FALSE(owns("silent"));
  // A new server that answers gets keys soon.
  add("sound");
  runner.OnServersChanged(simulation.timers.now);
  run(seconds(2));
  CHECK(owns("sound"));
  // So does one that has begun to answer.
  backends.silent.clear();
  run(seconds(3));
  CHECK(owns("silent"));
}

TEST_CASE("a range table or a work report that makes no sense is dropped",
          "[runtime][ranges][reports]")
{
  struct Row
  {
    std::string name;
    std::uint32_t from;
    std::uint32_t to;
    bool taken;
  };
  const auto row = GENERATE(values<Row>({
    { "all keys", 0, 65535, true },
    { "a key that does not exist", 0, 65536, false },
    { "the largest number", 4294967295U, 4294967295U, false },
    { "ends before it starts", 9, 3, false },
  }));
  INFO(row.name);
  MeshSimulation simulation(1);
  MemoryStore store;
  WillingBackends backends;
  Metrics metrics;
  IgnoredNotices notices;
  ServerSelector selector("north");
  RangeRunner runner("s",
                     GrantTiming(),
                     { store,
                       backends,
                       simulation.nodes[0]->mesh,
                       selector,
                       notices,
                       simulation.timers,
                       simulation.log,
                       metrics },
                     [] {});
  wire::RangeTable table;
  table.set_term(1);
  table.set_version(1);
  table.set_whole(true);
  table.add_ranges()->set_from(row.from);
  table.mutable_ranges(0)->set_to(row.to);
  table.mutable_ranges(0)->set_server("a");
  runner.OnRangeTable(table);
  CHECK(runner.Directory().HasRanges() == row.taken);
  wire::KeyWork work;
  work.add_keys(row.to);
  work.add_work_ms(4294967295U);
  runner.OnKeyWorkReport(work);
}

// Guards against a feature that is switched on and not used: the planner of the daemon, its moves
// and its metrics are checked together.
TEST_CASE("a key that is too hot stays at its server, and the others leave",
          "[runtime][ranges][placement]")
{
  MeshSimulation simulation(1);
  simulation.Run(seconds(2));
  MemoryStore store;
  WillingBackends backends;
  Metrics metrics;
  IgnoredNotices notices;
  ServerSelector selector("north");
  ServiceRule rule;
  rule.name = "s";
  rule.keyed = true;
  selector.SetServiceRule(rule);
  ServerEntry entry;
  entry.service = "s";
  entry.slots = 4;
  entry.domain = "north";
  for (unsigned n = 0; n < 20; ++n) {
    entry.id = "server-" + std::to_string(n);
    selector.Put(entry, simulation.timers.now);
  }
  LoadFeatures features;
  features.Set(LoadFeature::kPlacement, true);
  RangeRunner runner(
    "s",
    GrantTiming(),
    { store,
      backends,
      simulation.nodes[0]->mesh,
      selector,
      notices,
      simulation.timers,
      simulation.log,
      metrics },
    [] {},
    features);
  const RangeKey hot = 30000;
  const auto run = [&](Duration aTime, Duration aHotWork) {
    for (const Instant end = simulation.timers.now + aTime; simulation.timers.now < end;) {
      runner.AddWork(hot, aHotWork);
      for (RangeKey key = 0; key < kLastKey; key += 1000) {
        runner.AddWork(key, milliseconds(5));
      }
      runner.Tick(simulation.timers.now, { Duration::zero(), false, true });
      backends.Deliver();
      store.Deliver();
      simulation.Run(kMeshTick);
    }
  };
  run(seconds(15), Duration::zero());
  REQUIRE(runner.IsLeader());
  const std::string owner = runner.Find(hot)->server;
  run(seconds(3), seconds(1));
  for (const DirectoryRange& it : runner.Directory().AsSnapshot().ranges) {
    INFO(it.keys.from << "-" << it.keys.to << " " << it.server);
    CHECK((it.server == owner) == (it.keys == KeyRange{ hot, hot }));
  }
  const std::string text = metrics.Text();
  CHECK(text.find("placement_moves_total{service=\"s\",reason=\"hot-key\"}") != std::string::npos);
  CHECK(text.find("placement_work_in_motion{service=\"s\"}") != std::string::npos);
  CHECK(text.find("placement_hottest_key_share{service=\"s\"} 0.") != std::string::npos);
}

TEST_CASE("a list of range records that has a gap shows records, but not that there is none",
          "[runtime][ranges][store]")
{
  MeshSimulation simulation(1);
  simulation.Run(seconds(2));
  MemoryStore store;
  WillingBackends backends;
  Metrics metrics;
  IgnoredNotices notices;
  ServerSelector selector("north");
  ServerEntry entry;
  entry.service = "s";
  entry.slots = 4;
  entry.id = "a";
  entry.domain = "north";
  selector.Put(entry, simulation.timers.now);
  RangeRunner runner("s",
                     GrantTiming(),
                     { store,
                       backends,
                       simulation.nodes[0]->mesh,
                       selector,
                       notices,
                       simulation.timers,
                       simulation.log,
                       metrics },
                     [] {});
  const auto run = [&](Duration aTime) {
    for (const Instant end = simulation.timers.now + aTime; simulation.timers.now < end;) {
      runner.Tick(simulation.timers.now, { Duration::zero(), false, true });
      backends.Deliver();
      store.Deliver();
      simulation.Run(kMeshTick);
    }
  };
  // There is no record yet, but the list doesn't say so.
  store.listResult = StoreResult::kIncomplete;
  run(seconds(15));
  CHECK_FALSE(runner.IsLeader());
  CHECK(store.writes == 0);
  store.listResult = StoreResult::kDone;
  run(seconds(10));
  REQUIRE(runner.IsLeader());
  // The leader has to list its record, and finds it.
  const auto watchResult = GENERATE(StoreResult::kHistoryGone, StoreResult::kMalformed);
  store.listResult = StoreResult::kIncomplete;
  store.watchResult = watchResult;
  run(seconds(30));
  CHECK(runner.IsLeader());
  // It goes on renewing what it has granted.
  const unsigned before = backends.grants;
  run(seconds(5));
  CHECK(backends.grants > before);
}
