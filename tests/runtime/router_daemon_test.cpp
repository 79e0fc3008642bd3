/// @file
/// Tests of whole routing daemons together, in simulated time: what they cost the store, how fast a
/// configuration reaches all, and who moves the keys of servers that leave.

#include "runtime/range_runner.h"
#include "tests/support/router_simulation.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// Longest time from the acknowledgement of a configuration until it is in force everywhere.
constexpr Duration kConfigurationBound = seconds(2);
/// Link of the slowest hosts: 10 Mbit/s.
constexpr double kSlowLink = 1.25e6;
constexpr std::size_t kLargeConfiguration = 1000000;

/// Time until all running daemons have the configuration; at most ten seconds.
Duration TimeInForce(RouterSimulation& aSimulation, std::uint64_t aVersion)
{
  const Instant start = aSimulation.timers.Now();
  while (aSimulation.InForce(aVersion) < aSimulation.Running() &&
         aSimulation.timers.Now() - start < seconds(10)) {
    aSimulation.Run(milliseconds(20));
  }
  return aSimulation.timers.Now() - start;
}

/// Whether all running daemons know an owner of a key.
bool AllKnowOwners(RouterSimulation& aSimulation, unsigned aDaemons)
{
  for (unsigned n = 0; n < aDaemons; ++n) {
    RouterDaemon* const daemon = aSimulation.Daemon(n);
    RangeRunner* const ranges = daemon == nullptr ? nullptr : daemon->FindRanges("s");
    if (daemon != nullptr && (ranges == nullptr || ranges->Find(7) == nullptr)) {
      return false;
    }
  }
  return true;
}

/// Calls of the store that daemons make in their first @p aTime.
std::size_t CallsOf(unsigned aDaemons, Duration aTime)
{
  RouterSimulation simulation({ aDaemons, 4, 12 });
  simulation.Run(aTime);
  CHECK(simulation.InForce(1) == aDaemons);
  CHECK(AllKnowOwners(simulation, aDaemons));
  return simulation.store.Calls();
}

} // namespace

TEST_CASE("calls to the store grow with failure domains, not with hosts", "[runtime][router]")
{
  const std::size_t few = CallsOf(12, seconds(40));
  const std::size_t many = CallsOf(48, seconds(40));
  INFO(few << " calls of 12 daemons, " << many << " of 48");
  CHECK(static_cast<double>(many) < 1.3 * static_cast<double>(few));
}

TEST_CASE("servers that change one after the other are read together", "[runtime][router]")
{
  constexpr unsigned kChanges = 100;
  constexpr Duration kBetweenChanges = milliseconds(30);
  RouterSimulation simulation({ 12, 4, 12 });
  simulation.Run(seconds(10));
  const std::size_t before = simulation.store.Calls(StoreCall::kWatch);
  for (unsigned n = 0; n < kChanges; ++n) {
    simulation.Register("new-" + std::to_string(n), "domain-0", 1);
    simulation.Run(kBetweenChanges);
  }
  const std::size_t calls = simulation.store.Calls(StoreCall::kWatch) - before;
  // Three daemons watch; each may call the store five times a second.
  const double bound = 3 * 5 * InSeconds(kChanges * kBetweenChanges);
  CHECK(static_cast<double>(calls) < bound);
  // Every daemon soon knows the last one.
  simulation.Run(seconds(1));
  for (unsigned n = 0; n < 12; ++n) {
    CHECK(simulation.Daemon(n)->KnowsServer("new-99"));
  }
}

TEST_CASE("daemons that start together all serve within five seconds", "[runtime][router]")
{
  const unsigned daemons = GENERATE(1u, 2u, 9u, 48u);
  INFO(daemons);
  RouterSimulation simulation({ daemons, 3, 9, kSlowLink });
  simulation.Run(seconds(5));
  CHECK(simulation.InForce(1) == daemons);
  simulation.Run(seconds(1));
  CHECK(AllKnowOwners(simulation, daemons));
}

TEST_CASE("a daemon that restarts learns everything from the others", "[runtime][router]")
{
  RouterSimulation simulation({ 12, 3, 9, kSlowLink });
  simulation.Run(seconds(8));
  const std::size_t calls = simulation.store.Calls(StoreCall::kList);
  // Not one of the seeds.
  simulation.Restart(7);
  simulation.Run(seconds(1));
  CHECK(simulation.Daemon(7)->ConfigurationVersion() == 1);
  CHECK(AllKnowOwners(simulation, 12));
  CHECK(simulation.store.Calls(StoreCall::kList) == calls);
}

TEST_CASE("a daemon whose seeds are all gone finds the others through the store",
          "[runtime][router]")
{
  RouterSimulation simulation({ 12, 3, 9 });
  simulation.Run(seconds(8));
  for (const unsigned n : { 0U, 1U, 2U }) {
    simulation.Kill(n);
  }
  simulation.Run(seconds(3));
  simulation.Restart(7);
  simulation.Run(seconds(8));
  CHECK(simulation.Daemon(7)->ConfigurationVersion() == 1);
  CHECK(simulation.Daemon(7)->LivePeerCount() == 8);
}

TEST_CASE("a large configuration is in force everywhere in time, over slow links",
          "[runtime][router]")
{
  // As many daemons as the users' second deployment has.
  RouterSimulation simulation({ 69, 4, 60, kSlowLink });
  simulation.Run(seconds(10));
  REQUIRE(simulation.InForce(1) == 69);
  const std::size_t bytes = simulation.BytesSent();
  simulation.Configure(2, kLargeConfiguration);
  const Duration time = TimeInForce(simulation, 2);
  INFO(Millis(time) << " ms, " << (simulation.BytesSent() - bytes) / kLargeConfiguration
                    << " times its size sent");
  CHECK(time <= kConfigurationBound);
  // Nobody is sent the object twice.
  CHECK(simulation.BytesSent() - bytes < 80 * kLargeConfiguration);
}

TEST_CASE("the keys of a server that says it leaves are moved, though the store lists it as ready",
          "[runtime][router][notices]")
{
  RouterSimulation simulation({ 9, 3, 9 });
  simulation.Run(seconds(10));
  REQUIRE(AllKnowOwners(simulation, 9));
  const std::string owner = simulation.Daemon(4)->FindRanges("s")->Find(7)->server;
  simulation.backends.leaving.insert(owner);
  // A renewal is answered within 1.1 s; a move takes release, write and grant.
  simulation.Run(seconds(2));
  for (unsigned n = 0; n < 9; ++n) {
    INFO(n);
    const DirectoryRange* const range = simulation.Daemon(n)->FindRanges("s")->Find(7);
    REQUIRE(range != nullptr);
    CHECK(range->server != owner);
    CHECK_FALSE(range->moving);
  }
  // Its entry is written again, by a store that does not know.
  simulation.Register(owner, "domain-0", 1);
  simulation.Run(seconds(3));
  CHECK(simulation.Daemon(4)->FindRanges("s")->Find(7)->server != owner);
  // Another incarnation may be given keys.
  simulation.backends.leaving.erase(owner);
  simulation.Register(owner, "domain-0", 2);
  simulation.Run(seconds(8));
  bool owns = false;
  for (const DirectoryRange& it :
       simulation.Daemon(4)->FindRanges("s")->Directory().AsSnapshot().ranges) {
    owns = owns || it.server == owner;
  }
  CHECK(owns);
}

TEST_CASE("a leader that the store turns away yields to a daemon that the store serves",
          "[runtime][router]")
{
  RouterSimulation simulation({ 9, 3, 9 });
  simulation.Run(seconds(10));
  const std::optional<unsigned> first = simulation.Leader();
  REQUIRE(first);
  simulation.RefuseAtStore(*first, true);
  simulation.Run(seconds(5));
  const std::optional<unsigned> second = simulation.Leader();
  REQUIRE(second);
  CHECK(*second != *first);
  // The new leader can move keys.
  const std::string owner = simulation.Daemon(*first)->FindRanges("s")->Find(7)->server;
  simulation.backends.leaving.insert(owner);
  simulation.Run(seconds(2));
  CHECK(simulation.Daemon(*first)->FindRanges("s")->Find(7)->server != owner);
}

TEST_CASE("a leader goes on while the store turns everyone away", "[runtime][router]")
{
  RouterSimulation simulation({ 9, 3, 9 });
  simulation.Run(seconds(10));
  const std::optional<unsigned> leader = simulation.Leader();
  REQUIRE(leader);
  for (unsigned n = 0; n < 9; ++n) {
    simulation.RefuseAtStore(n, true);
  }
  simulation.Run(seconds(9));
  CHECK(simulation.Leader() == leader);
  CHECK(AllKnowOwners(simulation, 9));
}

TEST_CASE("a fleet that has lost power knows configuration and owners again within a second",
          "[runtime][router]")
{
  // Keys must be served again within 3 s of a loss; the processes' own start takes its part of it.
  const unsigned daemons = GENERATE(9u, 48u);
  INFO(daemons);
  RouterSimulation simulation({ daemons, 3, 9 });
  simulation.Run(seconds(10));
  for (unsigned n = 0; n < daemons; ++n) {
    simulation.Restart(n);
  }
  simulation.Run(seconds(1));
  CHECK(simulation.InForce(1) == daemons);
  CHECK(AllKnowOwners(simulation, daemons));
}

// Guards against keys of callers that a daemon of an earlier version passes on and this one keeps
// and passes on in turn.
TEST_CASE("what another daemon sends is kept without secrets", "[runtime][router]")
{
  RouterSimulation simulation({ 3, 1, 2 });
  simulation.Run(seconds(3));
  wire::Envelope message;
  message.mutable_from()->set_id("d1");
  message.mutable_from()->set_incarnation(1);
  wire::StoredObjects& objects = *message.mutable_stored_objects();
  objects.set_kind(static_cast<std::uint32_t>(ObjectKind::kConfiguration));
  objects.set_whole(true);
  objects.set_at(1000000);
  wire::StoredObjects::Item& item = *objects.add_items();
  item.set_name("main");
  item.set_revision(1000000);
  item.set_value(R"({"version":99,"secret":"key"})");
  simulation.Daemon(0)->Take(message);
  CHECK(simulation.Daemon(0)->ConfigurationVersion() == 99);
}

// Guards the wiring: reports and answers must reach the exchanges, and keepers must be chosen.
TEST_CASE("whole daemons share the quota of an organisation", "[runtime][router][quota]")
{
  constexpr unsigned kDaemons = 12;
  constexpr double kRate = 100.0;
  constexpr Duration kStep = milliseconds(20);
  RouterSimulation simulation({ kDaemons, 4, 12 });
  simulation.Run(seconds(3));
  for (unsigned n = 0; n < kDaemons; ++n) {
    simulation.Daemon(n)->Quotas().SetLimits({ { "customer", { kRate, kRate } } },
                                             simulation.timers.Now());
  }
  simulation.Run(seconds(3));
  unsigned granted = 0;
  std::vector<std::unique_ptr<QuotaTicket>> claims;
  const Instant end = simulation.timers.Now() + seconds(10);
  while (simulation.timers.Now() < end) {
    const Instant now = simulation.timers.Now();
    for (double n = 0; n < 2.0 * kRate * InSeconds(kStep); ++n) {
      claims.push_back(simulation.Daemon(5)->Quotas().Claim("customer", now));
    }
    simulation.Run(kStep);
    std::erase_if(claims, [&](const auto& aClaim) {
      const QuotaState state = aClaim->State(simulation.timers.Now());
      if (state == QuotaState::kGranted) {
        aClaim->MarkUsed(simulation.timers.Now());
        ++granted;
      }
      return state != QuotaState::kPending;
    });
  }
  // A single daemon can use all of the rate and the burst.
  const double usable = 10.0 * kRate + kRate;
  CHECK(granted >= 0.95 * usable);
  CHECK(granted <= usable + 1.0);
}

// Guards against a daemon that does not pass reports on to the shared speeds, or does without the
// feature.
TEST_CASE("daemons learn servers' speeds from reports only with the feature", "[runtime][speeds]")
{
  const bool isOn = GENERATE(false, true);
  RouterSimulation::Shape shape{ 6, 2, 4 };
  shape.features.Set(LoadFeature::kRequestCost, isOn);
  RouterSimulation simulation(shape);
  simulation.Run(seconds(5));
  REQUIRE(simulation.InForce(1) == 6);
  wire::Envelope message;
  message.mutable_from()->set_incarnation(1);
  message.mutable_service_times()->add_servers(ServerSelector::HashedIdOf("server-0"));
  message.mutable_service_times()->add_samples(50);
  message.mutable_service_times()->add_relative_times(60000);
  for (unsigned n = 0; n < 6; ++n) {
    message.mutable_from()->set_id(n == 0 ? "d1" : "d0");
    simulation.Daemon(n)->Take(message);
  }
  simulation.Run(seconds(2));
  const std::string metrics = simulation.metrics.Text();
  const bool isKnown = metrics.find("hawthornlug_server_speeds_known 1\n") != std::string::npos;
  INFO(metrics);
  CHECK(isKnown == isOn);
}

TEST_CASE("daemons call no address of the directory that is none of a daemon", "[runtime][router]")
{
  struct Row
  {
    std::string entry;
    bool called;
  };
  const auto row = GENERATE(values<Row>({
    { R"({"endpoint":"tcp://10.9.9.9:7000"})", true },
    { R"({"endpoint":"tcp://some-name:7000"})", false },
    { R"({"endpoint":"tcp://*:7000"})", false },
    { R"({"endpoint":"tcp://10.9.9.9"})", false },
    { R"({"endpoint":"tcp://10.9.9.9:70000"})", false },
    { R"({"endpoint":"tcp://10.9.9.9:7000;tcp://10.9.9.8:7000"})", false },
    { R"({"endpoint":"10.9.9.9:7000"})", false },
    { R"({"endpoint":"ipc:///x"})", false },
    { R"({"endpoint":"inproc://x"})", false },
    { R"({"endpoint":""})", false },
    { R"({"endpoint":7})", false },
    { R"(["tcp://10.9.9.9:7000"])", false },
    { "null", false },
    { "tcp://10.9.9.9:7000", false },
  }));
  INFO(row.entry);
  RouterSimulation simulation({ 3, 3, 3 });
  simulation.store.Put(ObjectKind::kDaemon, "odd&x=1 2", row.entry);
  simulation.Run(seconds(40));
  CHECK(simulation.strangers.empty() != row.called);
  CHECK(simulation.InForce(1) == 3);
}
