/// @file
/// A model of a fleet, with and without the feature request-cost: completion times, bytes between
/// failure domains, and the loss of a relay halfway.

#include "limits/request_cost.h"
#include "limits/route_work.h"
#include "routing/server_selector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

using namespace hawthornlug;

namespace {

struct ModelSettings
{
  /// Parts of the feature.
  bool speeds = false;
  bool costs = false;
  bool domainCost = false;
  bool relayLost = false;
  std::uint32_t seed = 1;
  unsigned daemons = 88;
  unsigned domains = 3;
  unsigned servers = 29;
  unsigned slots = 4;
  double requestsPerSecond = 420.0;
  /// Mean service time on a server of normal speed, in seconds.
  double meanWork = 0.1;
  double tailShare = 0.03;
  double tailFactor = 7.0;
  double spread = 0.5;
};

struct ModelResult
{
  double mean = 0.0;
  double p95 = 0.0;
  double late = 0.0;
  double foreignBytesPerSecond = 0.0;
  /// Share of the requests that went to another domain, by route.
  std::map<std::string, double> foreignShare;
};

constexpr Duration kTarget = milliseconds(600);
constexpr Duration kOneWayForeign = microseconds(900);
constexpr Duration kOneWay = microseconds(200);
constexpr Duration kReportInterval = milliseconds(80);
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kLength = seconds(60);
/// Time until daemons use another relay than the lost one.
constexpr Duration kRelaySilence = milliseconds(1000);
constexpr Duration kSpellLength = milliseconds(400);
constexpr double kSpellFactor = 3.0;
/// Mean time between two spells of a server, in seconds.
constexpr double kSpellInterval = 8.0;

/// A route's share of the requests, relative service time, and size of the answer.
struct ModelRoute
{
  const char* name;
  double share;
  double work;
  std::size_t answerBytes;
};
constexpr ModelRoute kRoutes[] = { { "small", 0.6, 0.8, 400 },
                                   { "medium", 0.2, 1.0, 10000 },
                                   { "large", 0.2, 1.6, 90000 } };

/// Daemons that choose servers, servers that run requests, and reports between the daemons.
class FleetModel
{
public:
  explicit FleetModel(const ModelSettings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.seed)
  {
    for (unsigned n = 0; n < aSettings.daemons; ++n) {
      mDaemons.push_back(std::make_unique<Daemon>(NameOfDomain(n), "d" + std::to_string(n)));
      Daemon& daemon = *mDaemons.back();
      if (aSettings.speeds) {
        daemon.work = std::make_unique<RequestCost>();
        daemon.selector.ShareSpeeds(daemon.speeds);
      }
      if (aSettings.costs) {
        daemon.selector.UseEstimates(*daemon.work);
      }
    }
    for (unsigned n = 0; n < aSettings.servers; ++n) {
      AddServer(n);
    }
  }

  ModelResult Run()
  {
    ScheduleArrival();
    for (Duration at = Duration::zero(); at < kLength; at += kTickInterval) {
      Schedule(Instant() + at, [this] { Tick(); });
    }
    while (!mEvents.empty()) {
      const auto next = mEvents.top().run;
      mNow = mEvents.top().at;
      mEvents.pop();
      next();
    }
    return Result();
  }

private:
  struct Event
  {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(at, number) > std::pair(aOther.at, aOther.number);
    }
  };
  struct Request
  {
    std::size_t daemon = 0;
    const ModelRoute* route = nullptr;
    double seconds = 0.0;
    Instant arrivedAt;
    Instant sentAt;
    Duration work = Duration::zero();
    double pace = 1.0;
    bool slowWhenSent = false;
    unsigned outstanding = 0;
    InFlightSlot slot;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Daemon
  {
    Daemon(const std::string& aDomain, const std::string& aId)
      : domain(aDomain)
      , selector(aDomain, aId)
    {
    }
    std::string domain;
    ServerSpeeds speeds;
    std::unique_ptr<WorkEstimator> work = std::make_unique<RouteWork>();
    ServerSelector selector;
    std::deque<RequestPtr> waiting;
    bool running = true;
  };
  struct Server
  {
    ServerEntry entry;
    double speed = 1.0;
    unsigned runningRequests = 0;
    std::deque<RequestPtr> queue;
    Instant spellEnd;
  };
  std::string NameOfDomain(std::size_t aNumber) const
  {
    return "z" + std::to_string(aNumber % mSettings.domains);
  }

  void AddServer(unsigned aNumber)
  {
    Server server;
    server.entry.id = "s" + std::to_string(aNumber);
    server.entry.service = "s";
    server.entry.domain = NameOfDomain(aNumber);
    server.entry.slots = mSettings.slots;
    server.speed = std::uniform_real_distribution<double>(0.5, 1.7)(mRandom);
    for (const auto& it : mDaemons) {
      it->selector.Put(server.entry, mNow);
    }
    mServers.push_back(std::move(server));
  }

  void Schedule(Instant aAt, std::function<void()> aRun)
  {
    mEvents.push({ aAt, ++mEventCount, std::move(aRun) });
  }

  double Exponential(double aMean)
  {
    return std::exponential_distribution<double>(1.0 / aMean)(mRandom);
  }

  void ScheduleArrival()
  {
    const Instant at = mNow + FromSeconds(Exponential(1.0 / mSettings.requestsPerSecond));
    if (at < Instant() + kLength) {
      Schedule(at, [this] {
        ScheduleArrival();
        Arrive();
      });
    }
  }

  void Arrive()
  {
    auto request = std::make_shared<Request>();
    request->daemon = std::uniform_int_distribution<std::size_t>(0, mDaemons.size() - 1)(mRandom);
    if (!mDaemons[request->daemon]->running) {
      request->daemon = (request->daemon + mSettings.domains) % mDaemons.size();
    }
    double draw = std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
    for (const ModelRoute& it : kRoutes) {
      request->route = &it;
      draw -= it.share;
      if (draw < 0.0) {
        break;
      }
    }
    const bool isLong = std::bernoulli_distribution(mSettings.tailShare)(mRandom);
    const double spread = mSettings.spread;
    request->seconds = mSettings.meanWork * request->route->work *
                       std::lognormal_distribution<double>(0.0, spread)(mRandom) *
                       (isLong ? mSettings.tailFactor : 1.0) / std::exp(spread * spread / 2) /
                       (1.0 + mSettings.tailShare * (mSettings.tailFactor - 1.0));
    request->arrivedAt = mNow;
    mDaemons[request->daemon]->waiting.push_back(request);
    Dispatch(*mDaemons[request->daemon]);
  }

  static RequestTraits TraitsOf(const Request& aRequest)
  {
    return { aRequest.route->name, "s", "GET", 0, std::nullopt };
  }

  void Dispatch(Daemon& aDaemon)
  {
    std::deque<RequestPtr> waiting;
    waiting.swap(aDaemon.waiting);
    for (const RequestPtr& it : waiting) {
      it->work = aDaemon.work->Of(TraitsOf(*it), kTarget);
      ServerRequirements need;
      need.service = "s";
      need.work = it->work;
      need.targetLatency = kTarget;
      need.timeToTarget = it->arrivedAt + kTarget - mNow;
      need.idempotent = true;
      if (mSettings.domainCost) {
        need.expectedBytes = aDaemon.work->AnswerBytesOf(it->route->name);
      }
      const ServerChoice choice = aDaemon.selector.Choose(need, mNow);
      if (!choice.server) {
        aDaemon.waiting.push_back(it);
        continue;
      }
      Send(aDaemon, it, choice);
    }
  }

  void Send(Daemon& aDaemon, const RequestPtr& aRequest, const ServerChoice& aChoice)
  {
    const std::string& id = aChoice.server->id;
    aRequest->sentAt = mNow;
    aRequest->pace = aDaemon.selector.RelativeServiceTimeOf(id, mNow);
    aRequest->slowWhenSent = aDaemon.selector.IsSlowForAWhile(id, mNow);
    aRequest->outstanding = aChoice.outstanding;
    aRequest->slot = aDaemon.selector.Take(id, mNow, { aRequest->route->name, aRequest->work });
    const std::size_t server = std::stoul(id.substr(1));
    const bool foreign = aChoice.server->domain != aDaemon.domain;
    if (mNow >= Instant() + kWarmUp) {
      ++mSent[aRequest->route->name];
      mSentForeign[aRequest->route->name] += foreign ? 1 : 0;
      mForeignBytes += foreign ? aRequest->route->answerBytes : 0;
    }
    Schedule(mNow + (foreign ? kOneWayForeign : kOneWay), [this, server, aRequest] {
      mServers[server].queue.push_back(aRequest);
      Start(server);
    });
  }

  void Start(std::size_t aServer)
  {
    Server& server = mServers[aServer];
    while (server.runningRequests < mSettings.slots && !server.queue.empty()) {
      const RequestPtr request = server.queue.front();
      server.queue.pop_front();
      ++server.runningRequests;
      const double spell = mNow < server.spellEnd ? kSpellFactor : 1.0;
      Schedule(mNow + FromSeconds(request->seconds * server.speed * spell),
               [this, aServer, request] { End(aServer, request); });
    }
  }

  void End(std::size_t aServer, const RequestPtr& aRequest)
  {
    Server& server = mServers[aServer];
    --server.runningRequests;
    Start(aServer);
    LoadReport load;
    load.running = server.runningRequests;
    load.waiting = static_cast<unsigned>(server.queue.size());
    load.slots = mSettings.slots;
    load.slowness = mNow < server.spellEnd ? kSpellFactor : 1.0;
    const bool foreign = server.entry.domain != mDaemons[aRequest->daemon]->domain;
    Schedule(mNow + (foreign ? kOneWayForeign : kOneWay),
             [this, aServer, aRequest, load] { Answer(aServer, aRequest, load); });
  }

  void Answer(std::size_t aServer, const RequestPtr& aRequest, const LoadReport& aLoad)
  {
    Daemon& daemon = *mDaemons[aRequest->daemon];
    aRequest->slot.Release();
    ForwardSample sample;
    sample.result = ForwardResult::kAnswered;
    sample.elapsed = mNow - aRequest->sentAt;
    sample.work = aRequest->work;
    sample.outstanding = aRequest->outstanding;
    sample.load = aLoad;
    sample.workIsMeasured = daemon.work->IsMeasured(aRequest->route->name);
    sample.slowWhenSent = aRequest->slowWhenSent;
    daemon.selector.OnResult(mServers[aServer].entry.id, sample, mNow);
    if (aRequest->outstanding < mSettings.slots) {
      daemon.work->OnServed(TraitsOf(*aRequest),
                            { sample.elapsed,
                              aRequest->pace,
                              aRequest->work,
                              aRequest->route->answerBytes,
                              aRequest->slowWhenSent || IsSlowForAWhile(aLoad) });
    }
    if (aRequest->arrivedAt >= Instant() + kWarmUp) {
      mCompletions.push_back(InSeconds(mNow - aRequest->arrivedAt));
    }
    Dispatch(daemon);
  }

  void Tick()
  {
    for (Server& it : mServers) {
      if (Exponential(kSpellInterval) < InSeconds(kTickInterval)) {
        it.spellEnd = mNow + kSpellLength;
      }
    }
    if (mSettings.relayLost && mNow >= Instant() + kLength / 2) {
      mDaemons[0]->running = false;
    }
    if (mNow - mReportedAt >= kReportInterval) {
      mReportedAt = mNow;
      ExchangeLoad();
    }
    if (mNow - mSpeedsSentAt >= seconds(1)) {
      mSpeedsSentAt = mNow;
      ExchangeSpeeds();
    }
    for (const auto& it : mDaemons) {
      Dispatch(*it);
    }
  }

  /// Whether the daemons of domain z0 have no relay.
  bool IsRelayMissing() const
  {
    const Instant lostAt = Instant() + kLength / 2;
    return mSettings.relayLost && mNow >= lostAt && mNow < lostAt + kRelaySilence;
  }

  /// Delivers the reports of the last interval and makes those that arrive after the next one.
  void ExchangeLoad()
  {
    std::map<std::string, InFlightCounts> domains;
    std::map<std::string, InFlightCounts> shared;
    std::vector<InFlightCounts> own;
    for (const auto& it : mDaemons) {
      own.push_back(it->selector.InFlight());
      AddCounts(domains[it->domain], own.back());
      AddCounts(shared[it->domain], it->selector.InFlightAtSharedServers());
    }
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      Daemon& daemon = *mDaemons[n];
      if (IsRelayMissing() && daemon.domain == "z0") {
        continue;
      }
      InFlightCounts others = domains[daemon.domain];
      for (const auto& [server, count] : own[n]) {
        others[server] -= count;
      }
      for (const auto& [domain, counts] : shared) {
        if (domain != daemon.domain && !(IsRelayMissing() && domain == "z0")) {
          AddCounts(others, counts);
        }
      }
      Schedule(mNow + kReportInterval / 2, [this, n, others = std::move(others)] {
        mDaemons[n]->selector.SetPeerCounts("relay", others, mNow);
      });
    }
  }

  void ExchangeSpeeds()
  {
    ServiceTimeSums total;
    std::vector<ServiceTimeSums> own;
    for (const auto& it : mDaemons) {
      own.push_back(it->speeds.TakeOwnSums());
      // The samples that the lost relay had collected are lost.
      if (!(IsRelayMissing() && it->domain == "z0")) {
        AddSums(total, own.back());
      }
    }
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (!(IsRelayMissing() && mDaemons[n]->domain == "z0")) {
        mDaemons[n]->speeds.Add(SumsWithout(total, own[n]), mNow);
      }
    }
  }

  ModelResult Result()
  {
    ModelResult result;
    std::sort(mCompletions.begin(), mCompletions.end());
    for (const double it : mCompletions) {
      result.mean += it / static_cast<double>(mCompletions.size());
      result.late += it > InSeconds(kTarget) ? 1.0 / static_cast<double>(mCompletions.size()) : 0.0;
    }
    result.p95 = mCompletions[mCompletions.size() * 95 / 100];
    result.foreignBytesPerSecond =
      static_cast<double>(mForeignBytes) / InSeconds(kLength - kWarmUp);
    for (const auto& [route, sent] : mSent) {
      result.foreignShare[route] = static_cast<double>(mSentForeign[route]) / sent;
    }
    return result;
  }

  ModelSettings mSettings;
  std::mt19937 mRandom;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  Instant mNow;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::vector<Server> mServers;
  Instant mReportedAt;
  Instant mSpeedsSentAt;
  std::vector<double> mCompletions;
  std::map<std::string, unsigned> mSent;
  std::map<std::string, unsigned> mSentForeign;
  std::size_t mForeignBytes = 0;
};

std::string Describe(const ModelResult& aResult)
{
  std::ostringstream text;
  text << "mean " << 1000.0 * aResult.mean << " ms, p95 " << 1000.0 * aResult.p95 << " ms, late "
       << aResult.late << ", bytes/s between domains " << aResult.foreignBytesPerSecond
       << ", sent abroad";
  for (const auto& [route, share] : aResult.foreignShare) {
    text << " " << route << " " << share;
  }
  return text.str();
}

ModelSettings WithFeature(ModelSettings aSettings)
{
  aSettings.speeds = true;
  aSettings.costs = true;
  aSettings.domainCost = true;
  return aSettings;
}

/// Mean of the results of several seeds.
ModelResult MeanResult(ModelSettings aSettings)
{
  constexpr unsigned kSeeds = 6;
  ModelResult mean;
  for (aSettings.seed = 1; aSettings.seed <= kSeeds; ++aSettings.seed) {
    const ModelResult result = FleetModel(aSettings).Run();
    mean.mean += result.mean / kSeeds;
    mean.p95 += result.p95 / kSeeds;
    mean.late += result.late / kSeeds;
    mean.foreignBytesPerSecond += result.foreignBytesPerSecond / kSeeds;
    for (const auto& [route, share] : result.foreignShare) {
      mean.foreignShare[route] += share / kSeeds;
    }
  }
  return mean;
}

} // namespace

// Guards against a feature that makes requests slower, or that is not worth its switch.
TEST_CASE("shared speeds and request costs shorten completion times", "[routing][cost-model]")
{
  ModelSettings settings;
  settings.meanWork = GENERATE(0.07, 0.1);
  settings.relayLost = GENERATE(false, true);
  const ModelResult without = MeanResult(settings);
  const ModelResult with = MeanResult(WithFeature(settings));
  WARN("mean work " << settings.meanWork << " s" << (settings.relayLost ? ", relay lost" : "")
                    << "\n  without: " << Describe(without) << "\n  with:    " << Describe(with));
  CHECK(with.mean < 0.98 * without.mean);
  CHECK(with.p95 < 0.98 * without.p95);
  CHECK(with.late < without.late);
  // Requests with small answers may go, those with large ones stay.
  CHECK(with.foreignShare.at("large") < 0.005);
}

// Guards against daemons that all choose the same fast servers from the same old reports: without
// the spread of the choices, the mean was 18 % higher than without the feature (seed 1).
TEST_CASE("with most slots taken, the feature does no harm and saves bytes between domains",
          "[routing][cost-model]")
{
  ModelSettings settings;
  settings.meanWork = 0.17;
  const ModelResult without = MeanResult(settings);
  const ModelResult with = MeanResult(WithFeature(settings));
  WARN("without: " << Describe(without) << "\n  with:    " << Describe(with));
  CHECK(with.mean < 1.03 * without.mean);
  CHECK(with.p95 < 1.03 * without.p95);
  CHECK(with.foreignBytesPerSecond < 0.7 * without.foreignBytesPerSecond);
}
