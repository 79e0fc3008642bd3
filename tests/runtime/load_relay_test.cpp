/// @file
/// How fleets of many sizes learn where each other's requests are in flight: how old the counts
/// are, what they cost in messages and bytes, and what happens when a relay is lost.

#include "runtime/load_reporter.h"
#include "tests/support/manual_timers.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr Duration kTick = milliseconds(20);
constexpr Duration kRoleInterval = milliseconds(100);
constexpr Duration kStartTime = seconds(7);
/// Bounds of the age of what a daemon knows of its own domain, and of others.
constexpr Duration kMaxOwnAge = milliseconds(200);
constexpr Duration kMaxForeignAge = milliseconds(400);
/// What a member may be sent and send for control traffic, of which this is one part.
constexpr double kControlBytesPerSecond = 21000.0;
constexpr double kMemberMessagesPerSecond = 40;
/// What a relay of a domain with 57 daemons sends and receives.
constexpr double kRelayMessagesPerSecond = 2500;
constexpr const char* kServer = "s0";
constexpr std::uint32_t kWaitedFor = 4711;

/// Daemons with the parts that report load, and a network that delivers at once. "d0", "d1", ...
/// are in the domains "z0", "z1", ... in turn; the servers "s0", "s1", ... own keys.
class LoadFleet
{
public:
  LoadFleet(unsigned aDaemons, unsigned aDomains, unsigned aServers)
  {
    for (unsigned n = 0; n < aDaemons; ++n) {
      const std::string id = "d" + std::to_string(n);
      mNodes[id] = std::make_unique<Node>(*this, id, DomainName(n, aDomains), aServers);
      mIds.push_back(id);
    }
    for (const auto& [id, node] : mNodes) {
      node->mesh.AddEndpoint("d0");
    }
  }

  /// Advances the time; every daemon that runs ticks, and messages are delivered with the tick.
  void Run(Duration aTime)
  {
    for (const Instant end = mTimers.now + aTime; mTimers.now < end; mTimers.now += kTick) {
      for (const auto& [id, node] : mNodes) {
        if (node->running) {
          node->Tick(mTimers.now);
        }
      }
      Deliver();
    }
  }

  /// Each daemon begins or ends a request at some server.
  void ChangeRequests()
  {
    for (std::size_t n = 0; n < mIds.size(); ++n) {
      Node& node = *mNodes.at(mIds[n]);
      const unsigned server = static_cast<unsigned>(7 * n + 13 * mChanges) % node.servers;
      if (node.slots.size() < 4) {
        node.slots.push_back(node.selector.Take("s" + std::to_string(server), mTimers.now));
      } else {
        node.slots.pop_front();
      }
    }
    ++mChanges;
  }

  /// A request of the daemon arrives for a contended target, and waits until the next one does.
  void AddWaiting(const std::string& aDaemon)
  {
    ContendingRequest request;
    request.target = kWaitedFor;
    Contention& contention = mNodes.at(aDaemon)->contention;
    contention.BeginPass();
    contention.OnWaiting(request, mTimers.now);
    contention.EndPass();
  }

  /// The requests that the daemon believes to wait at others.
  unsigned KnownWaiting(const std::string& aDaemon) const
  {
    Node& node = *mNodes.at(aDaemon);
    node.contention.Tick(mTimers.now);
    return TotalOf(node.contention.Allotment().OthersFor(kWaitedFor));
  }

  InFlightSlot Take(const std::string& aDaemon)
  {
    return mNodes.at(aDaemon)->selector.Take(kServer, mTimers.now);
  }

  /// Requests that a daemon believes to be at the server.
  unsigned KnownRequests(const std::string& aDaemon) const
  {
    ServerRequirements need;
    need.owner = kServer;
    return mNodes.at(aDaemon)->selector.Choose(need, mTimers.now).outstanding;
  }

  /// Time until all running daemons in the domain of @p aDaemon, or all elsewhere, believe that as
  /// many requests are at the server; at most two seconds.
  Duration TimeUntilKnown(const std::string& aDaemon, bool aOwnDomain, unsigned aRequests)
  {
    const Instant start = mTimers.now;
    const std::string& domain = mNodes.at(aDaemon)->mesh.Domain();
    const auto known = [&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aEntry) {
        const Node& node = *aEntry.second;
        const bool asked = node.running && (node.mesh.Domain() == domain) == aOwnDomain;
        return !asked || KnownRequests(aEntry.first) == aRequests;
      });
    };
    while (!known() && mTimers.now - start < seconds(2)) {
      Run(kTick);
    }
    return mTimers.now - start;
  }

  /// The daemon that those of the domain of "d0" prefer as their relay.
  std::string FirstRelay() const
  {
    return mNodes.at("d0")->Ranked().at(mNodes.at("d0")->mesh.Domain()).front();
  }

  /// Sets whether a daemon runs; one that does not is silent, but what it is sent is not refused.
  void SetRunning(const std::string& aDaemon, bool aRunning)
  {
    mNodes.at(aDaemon)->running = aRunning;
  }

  /// Messages and bytes about load that a daemon has sent and received.
  struct Traffic
  {
    std::size_t messages = 0;
    std::size_t bytes = 0;
  };
  const Traffic& TrafficOf(const std::string& aDaemon) const { return mTraffic.at(aDaemon); }
  void ForgetTraffic() { mTraffic.clear(); }
  const std::vector<std::string>& Ids() const { return mIds; }

private:
  class Port : public PeerPort
  {
  public:
    explicit Port(LoadFleet& aFleet, std::string aSelf)
      : mFleet(aFleet)
      , mSelf(std::move(aSelf))
    {
    }
    void SetReceiver(Receiver) override {}
    void Send(const std::string& aEndpoint, wire::Envelope aMessage, Delivery, Unsent) override
    {
      if (aMessage.has_load()) {
        for (const std::string& it : { mSelf, aEndpoint }) {
          ++mFleet.mTraffic[it].messages;
          mFleet.mTraffic[it].bytes += aMessage.ByteSizeLong();
        }
      }
      mFleet.mMessages.emplace_back(aEndpoint, std::move(aMessage));
    }
    bool IsRefused(const std::string&) override { return false; }

  private:
    LoadFleet& mFleet;
    std::string mSelf;
  };

  struct Node : public MeshListener
  {
    Node(LoadFleet& aFleet, const std::string& aId, const std::string& aDomain, unsigned aServers)
      : port(aFleet, aId)
      , timers(aFleet.mTimers)
      , servers(aServers)
      , mesh(port, timers, aFleet.mLog, { aId, 1 }, aDomain, aId)
      , selector(aDomain, aId)
      , contention(aId)
      , reporter(selector, mesh)
    {
      reporter.SetContention(contention);
      mesh.SetListener(*this);
      ServiceRule rule;
      rule.name = "keyed";
      rule.keyed = true;
      rule.maxConnections = 100000;
      selector.SetServiceRule(rule);
      for (unsigned n = 0; n < aServers; ++n) {
        ServerEntry entry;
        entry.id = "s" + std::to_string(n);
        entry.service = "keyed";
        entry.domain = "z0";
        entry.slots = 10000;
        selector.Put(entry, timers.now);
      }
    }

    MeshSelf DescribeSelf() override { return {}; }
    void OnHeartbeat(const MeshPeer&, const wire::RouterBeat&) override {}
    void OnMessage(const MeshPeer& aPeer, const wire::Envelope& aMessage) override
    {
      reporter.OnReport(aPeer, aMessage.load(), timers.now);
    }
    void OnPeerLost(const std::string& aDaemon) override
    {
      selector.SetPeerCounts(aDaemon, {}, timers.now);
    }

    std::map<std::string, std::vector<std::string>> Ranked() const
    {
      std::vector<RoleCandidate> all = { mesh.AsCandidate() };
      for (const MeshPeer* it : mesh.LivePeers()) {
        all.push_back({ it->ref.id, it->domain, it->power });
      }
      return RankedByDomain("relays", all, 2);
    }

    void Tick(Instant aNow)
    {
      mesh.Tick(aNow);
      if (mesh.ChangeCount() != rolesOf && aNow - rolesAt >= kRoleInterval) {
        rolesOf = mesh.ChangeCount();
        rolesAt = aNow;
        std::map<std::string, std::vector<std::string>> ranked = Ranked();
        std::vector<std::string> own = std::move(ranked.at(mesh.Domain()));
        ranked.erase(mesh.Domain());
        std::set<std::string> others;
        for (const auto& [domain, ids] : ranked) {
          others.insert(ids.begin(), ids.end());
        }
        reporter.SetRelays(std::move(own), std::move(others));
      }
      reporter.Tick(aNow);
    }

    Port port;
    ManualTimers& timers;
    unsigned servers;
    Mesh mesh;
    ServerSelector selector;
    Contention contention;
    LoadReporter reporter;
    std::deque<InFlightSlot> slots;
    std::uint64_t rolesOf = 0;
    Instant rolesAt;
    bool running = true;
  };

  static std::string DomainName(unsigned aDaemon, unsigned aDomains)
  {
    return "z" + std::to_string(aDaemon % aDomains);
  }

  void Deliver()
  {
    std::deque<std::pair<std::string, wire::Envelope>> messages;
    messages.swap(mMessages);
    for (const auto& [endpoint, message] : messages) {
      Node& node = *mNodes.at(endpoint);
      if (node.running) {
        node.mesh.Receive(message);
      }
    }
  }

  ManualTimers mTimers;
  DecisionLog mLog{ "fleet" };
  std::map<std::string, std::unique_ptr<Node>> mNodes;
  std::vector<std::string> mIds;
  std::deque<std::pair<std::string, wire::Envelope>> mMessages;
  std::map<std::string, Traffic> mTraffic;
  std::size_t mChanges = 0;
};

struct Shape
{
  unsigned daemons;
  unsigned domains;
  unsigned servers;
};

/// Messages and bytes about load, in a second of steady traffic.
void CheckCost(const Shape& aShape)
{
  LoadFleet fleet(aShape.daemons, aShape.domains, aShape.servers);
  fleet.Run(kStartTime);
  fleet.ForgetTraffic();
  // Each daemon's requests change 25 times a second.
  constexpr unsigned kChanges = 25;
  for (unsigned n = 0; n < kChanges; ++n) {
    fleet.ChangeRequests();
    fleet.Run(2 * kTick);
  }
  std::vector<LoadFleet::Traffic> traffic;
  for (const std::string& it : fleet.Ids()) {
    traffic.push_back(fleet.TrafficOf(it));
  }
  std::sort(traffic.begin(), traffic.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.messages < aRight.messages;
  });
  // Relays are the busiest role: at most two in each domain.
  const LoadFleet::Traffic& member =
    traffic.at(traffic.size() - 1 - 2 * static_cast<size_t>(aShape.domains));
  CHECK(member.messages < kMemberMessagesPerSecond);
  CHECK(static_cast<double>(member.bytes) < kControlBytesPerSecond);
  CHECK(traffic.back().messages < kRelayMessagesPerSecond);
}

/// How long it takes until all know of a request, and of its end.
void CheckAge(const Shape& aShape)
{
  LoadFleet fleet(aShape.daemons, aShape.domains, aShape.servers);
  fleet.Run(kStartTime);
  for (const std::string& daemon : { fleet.FirstRelay(), std::string("d1"), std::string("d13") }) {
    INFO(daemon);
    {
      const InFlightSlot slot = fleet.Take(daemon);
      const Duration own = fleet.TimeUntilKnown(daemon, true, 1);
      CHECK(own <= kMaxOwnAge);
      CHECK(own + fleet.TimeUntilKnown(daemon, false, 1) <= kMaxForeignAge);
      // It stays known, and is not counted twice.
      fleet.Run(seconds(2));
      CHECK(fleet.TimeUntilKnown(daemon, true, 1) == Duration::zero());
      CHECK(fleet.TimeUntilKnown(daemon, false, 1) == Duration::zero());
    }
    const Duration own = fleet.TimeUntilKnown(daemon, true, 0);
    CHECK(own <= kMaxOwnAge);
    CHECK(own + fleet.TimeUntilKnown(daemon, false, 0) <= kMaxForeignAge);
  }
}

} // namespace

TEST_CASE("reports of requests in flight cost a daemon no more in a larger fleet",
          "[runtime][load][fleet]")
{
  const auto shape = GENERATE(values<Shape>({ { 48, 6, 150 }, { 91, 6, 334 } }));
  INFO(shape.daemons << " daemons in " << shape.domains << " domains");
  CheckCost(shape);
}

TEST_CASE("a request is known in the own domain and elsewhere in time, and its end too",
          "[runtime][load][fleet]")
{
  const auto shape = GENERATE(values<Shape>({ { 20, 3, 30 }, { 91, 6, 30 } }));
  INFO(shape.daemons << " daemons in " << shape.domains << " domains");
  CheckAge(shape);
}

// Two minutes long; run by name.
TEST_CASE("the largest fleets report at the same cost and age", "[.][load][large-fleet]")
{
  const auto shape =
    GENERATE(values<Shape>({ { 195, 6, 540 }, { 341, 6, 540 }, { 470, 10, 540 } }));
  INFO(shape.daemons << " daemons in " << shape.domains << " domains");
  CheckCost(shape);
  CheckAge(shape);
}

TEST_CASE("members change to another relay when theirs falls silent", "[runtime][load][fleet]")
{
  // A silent daemon is lost for its domain after 1.3 s; counts must be passed on sooner.
  constexpr Duration kMaxGap = milliseconds(1100);
  LoadFleet fleet(60, 3, 30);
  fleet.Run(kStartTime);
  const std::string relay = fleet.FirstRelay();
  const std::string daemon = relay == "d0" ? "d3" : "d0";
  fleet.SetRunning(relay, false);
  const InFlightSlot slot = fleet.Take(daemon);
  CHECK(fleet.TimeUntilKnown(daemon, true, 1) <= kMaxGap);
  CHECK(fleet.TimeUntilKnown(daemon, false, 1) <= kMaxForeignAge);
  fleet.Run(seconds(4));
  CHECK(fleet.TimeUntilKnown(daemon, true, 1) == Duration::zero());
  // It is used again once it runs, and nothing is counted twice for long.
  fleet.SetRunning(relay, true);
  fleet.Run(seconds(6));
  CHECK(fleet.TimeUntilKnown(daemon, true, 1) == Duration::zero());
  CHECK(fleet.TimeUntilKnown(daemon, false, 1) == Duration::zero());
}

// Guards against requests that daemons of other domains don't know of, or count twice.
TEST_CASE("all daemons know how many requests wait at the others", "[runtime][load][contention]")
{
  const auto shape = GENERATE(values<Shape>({ { 5, 2, 10 }, { 60, 3, 10 } }));
  INFO(shape.daemons << " daemons in " << shape.domains << " domains");
  LoadFleet fleet(shape.daemons, shape.domains, shape.servers);
  fleet.Run(kStartTime);
  const std::vector<std::string> waiting = { fleet.FirstRelay(), "d1", "d4" };
  const std::set<std::string> distinct(waiting.begin(), waiting.end());
  const auto known = [&](const std::string& aDaemon) {
    return fleet.KnownWaiting(aDaemon) + (distinct.contains(aDaemon) ? 1 : 0);
  };
  for (unsigned n = 0; n < 50; ++n) {
    for (const std::string& it : distinct) {
      fleet.AddWaiting(it);
    }
    fleet.Run(kTick);
    if (Duration(kTick) * n > kMaxForeignAge) {
      for (const std::string& it : fleet.Ids()) {
        INFO(it << " after " << n);
        REQUIRE(known(it) == distinct.size());
      }
    }
  }
  // They expire, however long the daemon that reported them goes on to run.
  fleet.Run(seconds(2));
  for (const std::string& it : fleet.Ids()) {
    CHECK(fleet.KnownWaiting(it) == 0);
  }
}
