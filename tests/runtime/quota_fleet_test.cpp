/// @file
/// Quotas in whole fleets over a simulated network with delay and loss: whether an organisation
/// ever gets more than its quota, and how much of the quota can be used.

#include "runtime/quota_exchange.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <numeric>
#include <random>

using namespace hawthornlug;

namespace {

constexpr Duration kStep = milliseconds(5);
constexpr unsigned kStepsPerTick = 4;
constexpr Duration kViewInterval = milliseconds(100);
/// When a daemon that is not heard any more is lost for the others.
constexpr Duration kSilence = milliseconds(1300);
/// Until when a daemon has not heard the others after its start.
constexpr Duration kDiscovery = milliseconds(900);
constexpr Duration kWindow = seconds(5);
/// When a case begins to measure, and to disturb.
constexpr Duration kWarmUp = seconds(5);
constexpr Duration kDisturbance = seconds(8);
/// Tokens that were spent just before a limit was lowered are still charged, so that the new one
/// can be used up after this time.
constexpr Duration kLowerTime = seconds(6);
/// A raised limit can be used up after this time.
constexpr Duration kRaiseTime = milliseconds(500);
constexpr double kLossShare = 0.01;

/// An organisation, the requests that arrive for it and what became of them.
struct Organisation
{
  std::string name;
  QuotaLimit limit;
  double arrivalsPerSecond = 0.0;
  /// Requests that arrived, and that were sent to servers, in each step.
  std::vector<double> arrived = {};
  std::vector<double> used = {};
  unsigned granted = 0;
  unsigned exceeded = 0;
  unsigned unknown = 0;
};

/// Messages of one kind that were sent, and their size.
struct Traffic
{
  double messages = 0.0;
  double bytes = 0.0;
};

/// Daemons in domains, with everything of a daemon that quotas need.
class Fleet
{
public:
  Fleet(unsigned aDaemons,
        unsigned aDomains,
        std::vector<Organisation> aOrganisations,
        const QuotaTolerance& aTolerance = {})
    : organisations(std::move(aOrganisations))
    , mTolerance(aTolerance)
    , mHeardAt(aDaemons, std::vector<Instant>(aDaemons))
    , mDeliveredAt(aDaemons, std::vector<Instant>(aDaemons))
  {
    for (unsigned n = 0; n < aDaemons; ++n) {
      Node& node = mNodes.emplace_back();
      node.id = "d" + std::to_string(n);
      node.domain = n % aDomains;
      Start(n);
    }
    ApplyLimits();
  }

  Duration Elapsed() const { return mNow - mStartedAt; }
  std::size_t Size() const { return mNodes.size(); }

  void ApplyLimits()
  {
    for (Node& it : mNodes) {
      ApplyLimits(it);
    }
  }

  /// Ends a daemon's run and begins a new one.
  void Start(std::size_t aDaemon)
  {
    Node& node = mNodes[aDaemon];
    node.inbox.clear();
    node.claims.clear();
    node.startedAt = mNow;
    node.running = true;
    node.exchange = std::make_unique<QuotaExchange>(
      DaemonRef{ node.id, ++node.incarnation },
      [this, aDaemon](const std::string& aTo, wire::Envelope aMessage) {
        Send(aDaemon, std::stoul(aTo.substr(1)), std::move(aMessage));
      },
      mLog,
      mMetrics,
      mNow);
    node.exchange->SetCandidates(DomainName(node), { { node.id, DomainName(node), 0 } });
    node.exchange->SetTolerance(mTolerance);
    ApplyLimits(node);
  }
  void Stop(std::size_t aDaemon) { mNodes[aDaemon].running = false; }
  /// A paused daemon does nothing; what it is sent waits.
  void SetPaused(std::size_t aDaemon, bool aPaused) { mNodes[aDaemon].paused = aPaused; }
  /// Daemons in the island and others do not reach each other; messages between them are delivered
  /// when the partition ends.
  void SetInIsland(std::size_t aDaemon, bool aInIsland) { mNodes[aDaemon].inIsland = aInIsland; }
  std::size_t KeeperOfFleet() const
  {
    const Node& node =
      mNodes[std::stoul(mNodes[0].exchange->KeeperOf(QuotaLevel::kDomain).substr(1))];
    return std::stoul(node.exchange->KeeperOf(QuotaLevel::kFleet).substr(1));
  }

  void Run(Duration aTime)
  {
    for (const Instant end = mNow + aTime; mNow < end; mNow += kStep, ++mSteps) {
      if (Elapsed() % kViewInterval == Duration::zero()) {
        UpdateViews();
      }
      for (std::size_t n = 0; n < mNodes.size(); ++n) {
        Step(mNodes[n], (mSteps + n) % kStepsPerTick == 0);
      }
      Arrive();
    }
  }

  std::vector<Organisation> organisations;
  /// Within domains and between them, since the start.
  Traffic ownDomain;
  Traffic otherDomains;
  /// How long requests have waited for their quota, all together.
  Duration waited = Duration::zero();
  /// Weight of a domain among those at which requests arrive.
  std::function<double(unsigned)> domainWeight = [](unsigned) { return 1.0; };

private:
  struct Claim
  {
    std::size_t organisation;
    std::unique_ptr<QuotaTicket> ticket;
    Instant claimedAt;
  };
  struct Message
  {
    Instant at;
    std::size_t from;
    Incarnation incarnation;
    wire::Envelope content;
  };
  struct Node
  {
    std::string id;
    unsigned domain = 0;
    Incarnation incarnation = 0;
    Instant startedAt;
    bool running = false;
    bool paused = false;
    bool inIsland = false;
    std::unique_ptr<QuotaExchange> exchange;
    std::deque<Message> inbox;
    /// Requests that wait for their quota.
    std::vector<Claim> claims;
  };

  static std::string DomainName(const Node& aNode) { return "z" + std::to_string(aNode.domain); }

  void ApplyLimits(Node& aNode)
  {
    std::map<std::string, QuotaLimit> limits;
    for (const Organisation& it : organisations) {
      limits[it.name] = it.limit;
    }
    aNode.exchange->SetLimits(limits, mNow);
  }

  bool IsCut(std::size_t aFrom, std::size_t aTo) const
  {
    return mNodes[aFrom].inIsland != mNodes[aTo].inIsland;
  }

  void Send(std::size_t aFrom, std::size_t aTo, wire::Envelope aMessage)
  {
    const Node& from = mNodes[aFrom];
    const bool near = from.domain == mNodes[aTo].domain;
    Traffic& traffic = near ? ownDomain : otherDomains;
    traffic.messages += 1.0;
    traffic.bytes += static_cast<double>(aMessage.ByteSizeLong());
    if (std::uniform_real_distribution<>()(mRandom) < kLossShare) {
      return;
    }
    const Duration delay =
      milliseconds(std::uniform_int_distribution<>(near ? 1 : 10, near ? 5 : 40)(mRandom));
    // Messages of a connection stay in order.
    Instant& at = mDeliveredAt[aFrom][aTo];
    at = std::max(at, mNow + delay);
    mNodes[aTo].inbox.push_back({ at, aFrom, from.incarnation, std::move(aMessage) });
  }

  void Receive(Node& aNode, const Message& aMessage)
  {
    if (aMessage.content.has_quota_report()) {
      aNode.exchange->OnReport(
        { mNodes[aMessage.from].id, aMessage.incarnation }, aMessage.content.quota_report(), mNow);
    } else {
      aNode.exchange->OnAnswer(mNodes[aMessage.from].id, aMessage.content.quota_answer(), mNow);
    }
  }

  void Step(Node& aNode, bool aTicks)
  {
    if (!aNode.running || aNode.paused) {
      return;
    }
    const auto self = static_cast<std::size_t>(&aNode - mNodes.data());
    std::deque<Message> inbox;
    inbox.swap(aNode.inbox);
    for (Message& it : inbox) {
      if (it.at > mNow || IsCut(it.from, self)) {
        aNode.inbox.push_back(std::move(it));
      } else {
        Receive(aNode, it);
      }
    }
    if (aTicks) {
      aNode.exchange->Tick(mNow);
    }
    std::erase_if(aNode.claims, [&](Claim& aClaim) { return Decide(aClaim); });
  }

  /// Sends the request, or rejects it; returns false as long as neither is decided.
  bool Decide(Claim& aClaim)
  {
    Organisation& organisation = organisations[aClaim.organisation];
    switch (aClaim.ticket->State(mNow)) {
      case QuotaState::kPending:
        return false;
      case QuotaState::kGranted:
        aClaim.ticket->MarkUsed(mNow);
        ++organisation.granted;
        ++organisation.used.back();
        break;
      case QuotaState::kExceeded:
        ++organisation.exceeded;
        break;
      case QuotaState::kUnknown:
        ++organisation.unknown;
        break;
    }
    waited += mNow - aClaim.claimedAt;
    return true;
  }

  void Arrive()
  {
    std::vector<double> weights;
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      const Node& node = mNodes[n];
      // Daemons get unequal parts of the traffic.
      weights.push_back(node.running && !node.paused
                          ? domainWeight(node.domain) / static_cast<double>(1 + n % 7)
                          : 0.0);
    }
    std::discrete_distribution<std::size_t> daemon(weights.begin(), weights.end());
    for (std::size_t n = 0; n < organisations.size(); ++n) {
      Organisation& organisation = organisations[n];
      organisation.used.push_back(0.0);
      const double mean = organisation.arrivalsPerSecond * InSeconds(kStep);
      const int arrivals = mean > 0.0 ? std::poisson_distribution<>(mean)(mRandom) : 0;
      organisation.arrived.push_back(arrivals);
      for (int left = arrivals; left > 0; --left) {
        Node& node = mNodes[daemon(mRandom)];
        Claim claim{ n, node.exchange->Claim(organisation.name, mNow), mNow };
        if (!Decide(claim)) {
          node.claims.push_back(std::move(claim));
        }
      }
    }
  }

  /// Tells each daemon which others it hears, as heartbeats do.
  void UpdateViews()
  {
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      Node& node = mNodes[n];
      std::vector<RoleCandidate> live = { { node.id, DomainName(node), 0 } };
      unsigned known = 1;
      for (std::size_t m = 0; m < mNodes.size(); ++m) {
        const Node& other = mNodes[m];
        const bool heard =
          other.running && !other.paused && !IsCut(n, m) && mNow - other.startedAt >= kDiscovery;
        Instant& heardAt = mHeardAt[n][m];
        heardAt = heard ? mNow : heardAt;
        const bool sinceStart = heardAt > node.startedAt + kDiscovery;
        if (m != n && sinceStart) {
          ++known;
          if (mNow - heardAt < kSilence) {
            live.push_back({ other.id, DomainName(other), 0 });
          }
        }
      }
      if (node.running && !node.paused) {
        node.exchange->SetDaemonCount(known);
        node.exchange->SetCandidates(DomainName(node), live);
      }
    }
  }

  QuotaTolerance mTolerance;
  std::mt19937 mRandom{ 1 };
  Instant mNow{ seconds(1000) };
  Instant mStartedAt = mNow;
  std::size_t mSteps = 0;
  DecisionLog mLog{ "quota" };
  Metrics mMetrics;
  std::vector<Node> mNodes;
  std::vector<std::vector<Instant>> mHeardAt;
  /// When the latest message between two daemons is delivered.
  std::vector<std::vector<Instant>> mDeliveredAt;
};

std::size_t StepsIn(Duration aTime)
{
  return static_cast<std::size_t>(aTime / kStep);
}

/// Requests between two times of the run.
double Between(const std::vector<double>& aRequests, Duration aFrom, Duration aTo)
{
  const auto begin = aRequests.begin();
  return std::accumulate(begin + static_cast<std::ptrdiff_t>(StepsIn(aFrom)),
                         begin + static_cast<std::ptrdiff_t>(StepsIn(aTo)),
                         0.0);
}

/// The most that was sent in any window from @p aFrom to @p aTo.
double MostInWindow(const Organisation& aOrganisation, Duration aFrom, Duration aTo)
{
  const std::vector<double>& used = aOrganisation.used;
  const std::size_t width = StepsIn(kWindow);
  double inWindow = 0.0;
  double most = 0.0;
  for (std::size_t n = StepsIn(aFrom); n < StepsIn(aTo); ++n) {
    inWindow += used[n] - (n >= StepsIn(aFrom) + width ? used[n - width] : 0.0);
    most = std::max(most, inWindow);
  }
  return most;
}

/// A disturbance, and what must be usable while it lasts.
struct Case
{
  std::string name;
  /// Called once, when the disturbance begins, and when it ends.
  std::function<void(Fleet&)> begin;
  std::function<void(Fleet&)> end;
  Duration length = seconds(4);
  /// Share of the quota that is usable in the whole run, about a third of which is disturbed. Where
  /// nothing is broken it is the goal; elsewhere about a tenth less than was simulated with six
  /// seeds.
  double usable = 0.95;
};

void MoveTraffic(Fleet& aFleet)
{
  aFleet.domainWeight = [&aFleet](unsigned aDomain) {
    return aDomain == static_cast<unsigned>(aFleet.Elapsed() / seconds(1)) % 3 ? 1.0 : 0.02;
  };
}

std::vector<Case> Cases()
{
  const auto nothing = [](Fleet&) {};
  const auto third = [](bool aInIsland) {
    return [aInIsland](Fleet& aFleet) {
      for (std::size_t n = 0; n < aFleet.Size(); n += 3) {
        aFleet.SetInIsland(n, aInIsland);
      }
    };
  };
  const auto someOfAllDomains = [](bool aInIsland) {
    return [aInIsland](Fleet& aFleet) {
      for (std::size_t n = 0; n < aFleet.Size() / 3; ++n) {
        aFleet.SetInIsland(n, aInIsland);
      }
    };
  };
  const auto restartAll = [](Fleet& aFleet) {
    for (std::size_t n = 0; n < aFleet.Size(); ++n) {
      aFleet.Start(n);
    }
  };
  const auto paused = std::make_shared<std::size_t>();
  return {
    { "nothing", nothing, nothing },
    { "traffic moves between domains", MoveTraffic, nothing },
    { "a domain is partitioned", third(true), third(false), seconds(4), 0.75 },
    { "a third is partitioned", someOfAllDomains(true), someOfAllDomains(false), seconds(4), 0.7 },
    { "short partitions", third(true), third(false), milliseconds(1400), 0.7 },
    { "all are restarted", restartAll, nothing, seconds(4), 0.75 },
    { "the keeper is restarted",
      [](Fleet& aFleet) { aFleet.Start(aFleet.KeeperOfFleet()); },
      nothing,
      seconds(4),
      0.7 },
    { "the keeper is killed",
      [](Fleet& aFleet) { aFleet.Stop(aFleet.KeeperOfFleet()); },
      nothing,
      seconds(4),
      0.75 },
    { "the keeper is paused",
      [paused](Fleet& aFleet) {
        *paused = aFleet.KeeperOfFleet();
        aFleet.SetPaused(*paused, true);
      },
      [paused](Fleet& aFleet) { aFleet.SetPaused(*paused, false); },
      seconds(3),
      0.7 },
  };
}

/// Checks that no window of what was sent from @p aFrom to @p aTo exceeds the organisation's quota
/// and the tolerated excess.
void CheckBound(const Organisation& aOrganisation,
                Duration aFrom,
                Duration aTo,
                const QuotaTolerance& aTolerance = {})
{
  const QuotaLimit& limit = aOrganisation.limit;
  INFO(aOrganisation.name);
  CHECK(MostInWindow(aOrganisation, aFrom, aTo) <= limit.ratePerSecond * InSeconds(kWindow) +
                                                     limit.burst +
                                                     ToleratedExcess(limit, aTolerance));
}

/// Checks that a share of the quota, or of the requests if there were fewer, was sent.
void CheckUsable(const Organisation& aOrganisation, Duration aFrom, Duration aTo, double aShare)
{
  const double arrived = Between(aOrganisation.arrived, aFrom, aTo);
  const double quota =
    std::min(aOrganisation.limit.ratePerSecond * InSeconds(aTo - aFrom), arrived);
  INFO(aOrganisation.name << ": granted " << aOrganisation.granted << ", exceeded "
                          << aOrganisation.exceeded << ", unknown " << aOrganisation.unknown);
  CHECK(Between(aOrganisation.used, aFrom, aTo) >= aShare * quota);
}

} // namespace

TEST_CASE("no organisation gets more than its quota, and nearly all of it can be used",
          "[limits][quota][fleet]")
{
  struct Row
  {
    unsigned daemons;
    QuotaTolerance tolerance;
  };
  const auto row = GENERATE(values<Row>({
    { 9, {} },
    { 9, { seconds(5), 0.1, 20.0 } },
    { 90, {} },
  }));
  const auto scenario = GENERATE(from_range(Cases()));
  INFO(row.daemons << " daemons, " << scenario.name << ", tolerated " << row.tolerance.overshoot);
  // The first floods, the second uses its quota just up, the third is within its quota. The others
  // begin to flood with a full burst, during the disturbance and after it.
  Fleet fleet(row.daemons,
              3,
              { { "flood", { 300, 300 }, 3000 },
                { "full", { 100, 100 }, 100 },
                { "quiet", { 30, 30 }, 15 },
                { "flood during", { 200, 200 }, 0 },
                { "flood after", { 200, 200 }, 0 } },
              row.tolerance);
  fleet.Run(kDisturbance);
  scenario.begin(fleet);
  fleet.Run(milliseconds(600));
  fleet.organisations[3].arrivalsPerSecond = 2000;
  fleet.Run(scenario.length - milliseconds(600));
  scenario.end(fleet);
  fleet.Run(milliseconds(200));
  fleet.organisations[4].arrivalsPerSecond = 2000;
  fleet.Run(seconds(8));
  for (const Organisation& it : fleet.organisations) {
    CheckBound(it, Duration::zero(), fleet.Elapsed(), row.tolerance);
    const auto first =
      std::find_if(it.arrived.begin(), it.arrived.end(), [](double aN) { return aN > 0.0; });
    const Duration from = kStep * (first - it.arrived.begin());
    CheckUsable(it, std::max(from, kWarmUp), fleet.Elapsed(), scenario.usable);
  }
}

TEST_CASE("a changed limit is in force at once", "[limits][quota][fleet]")
{
  const unsigned daemons = GENERATE(9U, 90U);
  INFO(daemons << " daemons");
  Fleet fleet(daemons, 3, { { "flood", { 300, 300 }, 2000 } });
  const auto setLimit = [&](double aLimit) {
    fleet.organisations[0].limit = { aLimit, aLimit };
    fleet.ApplyLimits();
  };
  fleet.Run(kWarmUp);
  setLimit(20);
  const Duration lowered = fleet.Elapsed();
  fleet.Run(seconds(14));
  CheckBound(fleet.organisations[0], lowered, fleet.Elapsed());
  CheckUsable(fleet.organisations[0], lowered + kLowerTime, fleet.Elapsed(), 0.95);
  setLimit(300);
  const Duration raised = fleet.Elapsed();
  fleet.Run(seconds(6));
  CheckBound(fleet.organisations[0], raised, fleet.Elapsed());
  CheckUsable(fleet.organisations[0], raised + kRaiseTime, fleet.Elapsed(), 0.95);
}

namespace {

/// Size of a fleet, and what sharing quotas may cost it.
struct Shape
{
  unsigned daemons;
  unsigned domains;
  unsigned organisations;
  double requestsPerSecond;
  /// Bounds for one daemon and second within its domain, and for a domain and second to and from
  /// the others.
  double messages;
  double bytes;
  double foreignMessages;
  double foreignBytes;
  /// Part of the requests, which are all within their quotas, that may be rejected: the busiest
  /// organisations have 1.6 times their usual rate, and of the rare ones several may come at once.
  double rejected;
  /// Mean time for which a request waits for its quota.
  double waitSeconds;
};

/// Sharing the quotas of organisations of very different sizes that use 1/1.6 of their limits.
void CheckCost(const Shape& aShape)
{
  double sum = 0.0;
  for (unsigned n = 1; n <= aShape.organisations; ++n) {
    sum += 1.0 / n;
  }
  std::vector<Organisation> organisations;
  for (unsigned n = 1; n <= aShape.organisations; ++n) {
    const double rate = aShape.requestsPerSecond / sum / n;
    const double limit = std::max(1.6 * rate, 2.0);
    organisations.push_back({ "customer-" + std::to_string(n), { limit, limit }, rate });
  }
  Fleet fleet(aShape.daemons, aShape.domains, std::move(organisations));
  fleet.Run(kWarmUp);
  const Traffic own = fleet.ownDomain;
  const Traffic other = fleet.otherDomains;
  const Duration waited = fleet.waited;
  constexpr double kSeconds = 5.0;
  fleet.Run(FromSeconds(kSeconds));
  double arrived = 0.0;
  double used = 0.0;
  for (const Organisation& it : fleet.organisations) {
    arrived += Between(it.arrived, kWarmUp, fleet.Elapsed());
    used += Between(it.used, kWarmUp, fleet.Elapsed());
  }
  const double daemonSeconds = kSeconds * aShape.daemons;
  const double domainSeconds = kSeconds * aShape.domains;
  CHECK(2.0 * (fleet.ownDomain.messages - own.messages) / daemonSeconds <= aShape.messages);
  CHECK(2.0 * (fleet.ownDomain.bytes - own.bytes) / daemonSeconds <= aShape.bytes);
  CHECK(2.0 * (fleet.otherDomains.messages - other.messages) / domainSeconds <=
        aShape.foreignMessages);
  CHECK(2.0 * (fleet.otherDomains.bytes - other.bytes) / domainSeconds <= aShape.foreignBytes);
  CHECK(used >= (1.0 - aShape.rejected) * arrived);
  CHECK(InSeconds(fleet.waited - waited) / arrived <= aShape.waitSeconds);
}

} // namespace

TEST_CASE("sharing quotas costs a fleet of today little", "[limits][quota][fleet]")
{
  CheckCost({ 90, 4, 87, 2300.0, 70.0, 6000.0, 50.0, 32000.0, 0.05, 0.06 });
}

TEST_CASE("sharing quotas costs large fleets what docs/CAPACITY.md states",
          "[.][limits][quota][large-fleet]")
{
  const auto shape = GENERATE(
    values<Shape>({ { 90, 4, 10000, 2300.0, 80.0, 6000.0, 50.0, 55000.0, 0.05, 0.12 },
                    { 470, 10, 87, 12000.0, 70.0, 6000.0, 60.0, 45000.0, 0.05, 0.06 },
                    { 470, 10, 10000, 12000.0, 80.0, 6000.0, 60.0, 130000.0, 0.05, 0.12 } }));
  INFO(shape.daemons << " daemons, " << shape.organisations << " organisations");
  CheckCost(shape);
}
