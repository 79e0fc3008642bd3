/// @file
/// Daemons that share the room of one contended server: a model of 88 daemons and a server with 4
/// slots and a queue of 16, whose requests arrive at 25 times the rate that it can serve.

#include "limits/contention.h"

#include <catch2/catch.hpp>

#include <deque>
#include <list>
#include <random>

using namespace hawthornlug;

namespace {

constexpr unsigned kDaemons = 88;
constexpr unsigned kSlots = 4;
constexpr std::size_t kServerQueue = 16;
constexpr double kArrivalsPerSecond = 500.0;
constexpr Duration kServiceTime = milliseconds(190);
constexpr Duration kTarget = milliseconds(600);
constexpr Duration kTimeout = milliseconds(1200);
constexpr Duration kReportAge = milliseconds(80);
constexpr Duration kReportInterval = milliseconds(20);
constexpr Duration kStep = milliseconds(1);
constexpr Duration kPassInterval = milliseconds(20);
/// Requests that a daemon which allots no room lets wait at the server.
constexpr unsigned kQueuedUnlimited = 1;
/// Requests that a daemon with an allotment lets wait at the server: 1 and those that end in 100
/// ms.
constexpr unsigned kQueuedAllotted = 3;
constexpr std::uint32_t kServer = 7;
constexpr std::uint64_t kHotKey = 1;
constexpr Duration kSettleTime = seconds(3);
constexpr Duration kMeasuredTime = seconds(20);
/// A burst for one key as it was seen in a fleet of 88 daemons.
constexpr Duration kBurstTime = seconds(5);
constexpr double kBurstArrivalsPerSecond = 820.0;
/// Time until the daemons know of a burst, and the server has ended what it got until then: no
/// daemon can know of the requests that others send within the age of a report.
constexpr Duration kUnknownTime = milliseconds(300);

/// What is unlike the normal case.
enum class Fault
{
  kNone,
  kDomainCutOff, ///< A third of the daemons hear only each other.
  kRelayLost,    ///< For 800 ms of every 5 s, a third of the daemons send and receive no reports.
};

struct Scenario
{
  std::string name;
  Fault fault;
  /// Share of the requests that are for one key.
  double hotShare;
  /// Whether daemons share the room.
  bool contention = true;
  /// Whether the run is a burst that begins with an idle fleet and whose rejected callers come back
  /// once.
  bool burst = false;
};

struct ModelRequest
{
  ContendingRequest terms;
  unsigned daemon = 0;
  Instant receivedAt;
  bool isNew = true;
  bool cameBack = false;
};

struct Counts
{
  unsigned arrivals = 0;
  unsigned served = 0;
  unsigned inTime = 0;
};

struct Results
{
  unsigned reachedServer = 0;
  unsigned turnedAway = 0;
  unsigned rejected = 0;
  unsigned rejectedAtArrival = 0;
  unsigned rejectedLate = 0;
  double busySlots = 0.0;
  unsigned steps = 0;
  std::array<Counts, kWaitingLevels> byPriority;
  Counts hot;
  Counts others;

  double TurnedAwayShare() const { return 1.0 * turnedAway / reachedServer; }
  double BusyShare() const { return busySlots / (steps * kSlots); }
  double LateShare() const { return 1.0 * rejectedLate / rejected; }
};

double ServedShare(const Counts& aCounts)
{
  return 1.0 * aCounts.served / std::max(1U, aCounts.arrivals);
}

/// The daemons, their reports, and the server.
class Model
{
public:
  explicit Model(const Scenario& aScenario)
    : mScenario(aScenario)
  {
    for (unsigned n = 0; n < kDaemons; ++n) {
      mDaemons.push_back(std::make_unique<Daemon>("d" + std::to_string(n)));
      mDaemons.back()->group = aScenario.fault == Fault::kDomainCutOff && n % 3 == 0 ? 1 : 0;
    }
    for (const auto& it : mDaemons) {
      const double heard = static_cast<double>(GroupSize(it->group)) / kDaemons;
      it->contention.Allotment().SetHeardShare(heard);
    }
  }

  Results Run()
  {
    const Instant start = mNow;
    const Duration runTime = mScenario.burst ? kBurstTime : kSettleTime + kMeasuredTime;
    for (; mNow < start + runTime; mNow += kStep) {
      mMeasuring = mNow - start >= (mScenario.burst ? kUnknownTime : kSettleTime);
      Arrive();
      ComeBack();
      Serve();
      for (unsigned n = 0; n < kDaemons; ++n) {
        if ((mNow - Instant()) % kPassInterval == kStep * (n % 20)) {
          mDaemons[n]->contention.Tick(mNow);
          Pass(n);
        }
      }
      if ((mNow - Instant()) % kReportInterval == Duration::zero()) {
        Report();
      }
    }
    return mResults;
  }

private:
  struct Daemon
  {
    explicit Daemon(const std::string& aId)
      : contention(aId)
    {
    }
    Contention contention;
    std::list<ModelRequest> waiting;
    unsigned inFlight = 0;
    /// In flight at other daemons, as reported.
    unsigned othersInFlight = 0;
    unsigned group = 0;
  };

  /// What all daemons reported at a time.
  struct Snapshot
  {
    Instant at;
    std::vector<WaitingCounts> demand;
    std::vector<unsigned> inFlight;
  };

  unsigned GroupSize(unsigned aGroup) const
  {
    return static_cast<unsigned>(
      std::count_if(mDaemons.begin(), mDaemons.end(), [&](const auto& aDaemon) {
        return aDaemon->group == aGroup;
      }));
  }

  bool Reports(unsigned aDaemon) const
  {
    const bool lost = mScenario.fault == Fault::kRelayLost && aDaemon % 3 == 0;
    return !lost || (mNow - Instant()) % seconds(5) > milliseconds(800);
  }

  ServerRoom RoomAt(const Daemon& aDaemon) const
  {
    return { kSlots, aDaemon.inFlight + aDaemon.othersInFlight, kSlots / InSeconds(kServiceTime) };
  }

  void Arrive()
  {
    const double rate = mScenario.burst ? kBurstArrivalsPerSecond : kArrivalsPerSecond;
    std::poisson_distribution<unsigned> arrivals(rate * InSeconds(kStep));
    for (unsigned n = arrivals(mRandom); n > 0; --n) {
      ModelRequest request;
      request.daemon = static_cast<unsigned>(mRandom() % kDaemons);
      request.receivedAt = mNow;
      request.terms.target = kServer;
      request.terms.priority = static_cast<int>(mRandom() % 2);
      const bool hot = std::uniform_real_distribution<>(0.0, 1.0)(mRandom) < mScenario.hotShare;
      request.terms.key = hot ? kHotKey : 2 + mRandom() % 1000;
      Count(request, &Counts::arrivals);
      mDaemons[request.daemon]->waiting.push_back(request);
      Pass(request.daemon);
    }
  }

  /// Rejected callers that have waited as long as they were told come back, to any daemon.
  void ComeBack()
  {
    while (!mReturning.empty() && mReturning.begin()->first <= mNow) {
      ModelRequest request = mReturning.begin()->second;
      mReturning.erase(mReturning.begin());
      request.daemon = static_cast<unsigned>(mRandom() % kDaemons);
      request.isNew = true;
      request.cameBack = true;
      request.receivedAt = mNow;
      mDaemons[request.daemon]->waiting.push_back(request);
      Pass(request.daemon);
    }
  }

  WaitingRequest Describe(const Daemon& aDaemon, const ModelRequest& aRequest) const
  {
    WaitingRequest view;
    view.priority = aRequest.terms.priority;
    if (mScenario.contention) {
      view.priority += aDaemon.contention.DemotionOf(aRequest.terms);
    }
    view.waited = mNow - aRequest.receivedAt;
    view.targetLatency = kTarget;
    view.timeToTarget = kTarget - view.waited;
    view.timeLeft = kTimeout - view.waited;
    view.work = kServiceTime;
    return view;
  }

  /// Considers the waiting requests of a daemon as runtime/forwarder does.
  void Pass(unsigned aDaemon)
  {
    Daemon& daemon = *mDaemons[aDaemon];
    daemon.waiting.sort([&](const ModelRequest& aLeft, const ModelRequest& aRight) {
      return WaitingRank(Describe(daemon, aLeft)) < WaitingRank(Describe(daemon, aRight));
    });
    daemon.contention.BeginPass();
    for (auto it = daemon.waiting.begin(); it != daemon.waiting.end();) {
      const ServerRoom room = RoomAt(daemon);
      if (it->isNew) {
        daemon.contention.OnArrival(it->terms, room, mNow);
        it->isNew = false;
      }
      if (TrySend(daemon, *it, room) || RejectIfFutile(daemon, *it, room)) {
        it = daemon.waiting.erase(it);
      } else {
        daemon.contention.OnWaiting(it->terms, mNow);
        ++it;
      }
    }
    daemon.contention.EndPass();
  }

  bool TrySend(Daemon& aDaemon, const ModelRequest& aRequest, const ServerRoom& aRoom)
  {
    const bool on = mScenario.contention;
    const bool limited = on && aDaemon.contention.IsLimited(aRequest.terms, aRoom, mNow);
    if ((on && !aDaemon.contention.MaySend(aRequest.terms, aRoom, mNow)) ||
        aRoom.outstanding >= kSlots + (limited ? kQueuedAllotted : kQueuedUnlimited)) {
      return false;
    }
    aDaemon.contention.OnSent(aRequest.terms, aRoom, mNow);
    mResults.reachedServer += mMeasuring ? 1 : 0;
    if (mQueue.size() >= kServerQueue) {
      mResults.turnedAway += mMeasuring ? 1 : 0;
      return true;
    }
    ++aDaemon.inFlight;
    mQueue.push_back(aRequest);
    return true;
  }

  bool RejectIfFutile(Daemon& aDaemon, const ModelRequest& aRequest, const ServerRoom& aRoom)
  {
    WaitConditions queue;
    queue.usableServers = 1;
    if (mScenario.contention) {
      aDaemon.contention.Describe(queue, aRequest.terms, aRoom, mNow);
    }
    const WaitingRequest view = Describe(aDaemon, aRequest);
    if (DecideWait(view, queue) == WaitDecision::kWait) {
      return false;
    }
    aDaemon.contention.OnRejected(aRequest.terms, view.waited, kTarget, mNow);
    if (mScenario.burst && !aRequest.cameBack) {
      const double spread = std::uniform_real_distribution<>(0.0, 1.0)(mRandom);
      mReturning.emplace(mNow + RetryAfter(view, queue, spread), aRequest);
    }
    if (mMeasuring) {
      ++mResults.rejected;
      mResults.rejectedAtArrival += view.waited <= milliseconds(10) ? 1 : 0;
      mResults.rejectedLate += view.waited > kTarget / 2 ? 1 : 0;
    }
    return true;
  }

  void Serve()
  {
    for (auto it = mRunning.begin(); it != mRunning.end();) {
      if (it->second > mNow) {
        ++it;
        continue;
      }
      --mDaemons[it->first.daemon]->inFlight;
      Count(it->first, &Counts::served);
      if (mNow - it->first.receivedAt <= kTarget) {
        Count(it->first, &Counts::inTime);
      }
      it = mRunning.erase(it);
    }
    while (mRunning.size() < kSlots && !mQueue.empty()) {
      const double factor = std::uniform_real_distribution<>(0.5, 1.5)(mRandom);
      mRunning.emplace_back(mQueue.front(), mNow + Scaled(kServiceTime, factor));
      mQueue.pop_front();
    }
    if (mMeasuring) {
      mResults.busySlots += static_cast<double>(mRunning.size());
      ++mResults.steps;
    }
  }

  void Report()
  {
    Snapshot snapshot;
    snapshot.at = mNow;
    for (const auto& it : mDaemons) {
      snapshot.demand.push_back(it->contention.Demand(mNow));
      snapshot.inFlight.push_back(it->inFlight);
    }
    mReports.push_back(std::move(snapshot));
    if (mReports.front().at > mNow - kReportAge) {
      return;
    }
    const Snapshot report = std::move(mReports.front());
    mReports.pop_front();
    std::array<WaitingCounts, 2> sums;
    std::array<unsigned, 2> inFlight{};
    for (unsigned n = 0; n < kDaemons; ++n) {
      if (Reports(n)) {
        AddWaiting(sums.at(mDaemons[n]->group), report.demand[n]);
        inFlight.at(mDaemons[n]->group) += report.inFlight[n];
      }
    }
    for (unsigned n = 0; n < kDaemons; ++n) {
      Daemon& daemon = *mDaemons[n];
      if (!Reports(n)) {
        continue;
      }
      WaitingSummary own;
      own.Put("self", report.demand[n], mNow);
      daemon.contention.Allotment().SetOthers(
        "relay", own.WithoutSender(sums.at(daemon.group), "self"), mNow);
      daemon.othersInFlight = inFlight.at(daemon.group) - report.inFlight[n];
    }
  }

  void Count(const ModelRequest& aRequest, unsigned Counts::*aCounter)
  {
    if (!mMeasuring) {
      return;
    }
    const auto priority = static_cast<std::size_t>(aRequest.terms.priority);
    ++(mResults.byPriority.at(priority).*aCounter);
    Counts& byKey = *aRequest.terms.key == kHotKey ? mResults.hot : mResults.others;
    ++(byKey.*aCounter);
  }

  Scenario mScenario;
  Instant mNow{ seconds(1000) };
  bool mMeasuring = false;
  std::mt19937_64 mRandom{ 4711 };
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::deque<ModelRequest> mQueue;
  std::list<std::pair<ModelRequest, Instant>> mRunning;
  std::deque<Snapshot> mReports;
  std::multimap<Instant, ModelRequest> mReturning;
  Results mResults;
};

} // namespace

// Guards against daemons that all send to the same free slot, and against requests that wait for a
// room they can't get.
TEST_CASE("daemons share the room of a contended server", "[limits][contention]")
{
  const auto scenario = GENERATE(values<Scenario>({
    { "all well", Fault::kNone, 0.0 },
    { "a third cut off", Fault::kDomainCutOff, 0.0 },
    { "a relay lost", Fault::kRelayLost, 0.0 },
    { "one key dominates", Fault::kNone, 0.99 },
  }));
  const Results results = Model(scenario).Run();
  const auto& [urgent, normal, low, lowest] = results.byPriority;
  CAPTURE(scenario.name,
          results.reachedServer,
          results.TurnedAwayShare(),
          results.BusyShare(),
          results.LateShare(),
          results.rejected,
          ServedShare(urgent),
          ServedShare(normal),
          ServedShare(results.hot),
          ServedShare(results.others));
  CHECK(results.TurnedAwayShare() < 0.05);
  CHECK(results.BusyShare() >= 0.9);
  CHECK(results.LateShare() < 0.1);
  const unsigned served = urgent.served + normal.served;
  CHECK(urgent.served >= 0.75 * served);
  CHECK(normal.served >= 0.05 * served);
  CHECK(urgent.inTime + normal.inTime >= 0.9 * served);
  if (scenario.hotShare > 0.0) {
    // The other keys have fewer requests than the server can serve.
    CHECK(ServedShare(results.others) > 0.6);
    CHECK(results.hot.served > 0.5 * served);
  }
}

// Guards against a model in which the goals are met anyway.
TEST_CASE("without shares, the model's server turns requests away and callers wait for nothing",
          "[limits][contention]")
{
  const Results results = Model({ "no shares", Fault::kNone, 0.0, false }).Run();
  const auto& [urgent, normal, low, lowest] = results.byPriority;
  CAPTURE(results.TurnedAwayShare(), results.LateShare(), urgent.served, normal.served);
  CHECK(results.TurnedAwayShare() > 0.1);
  CHECK(results.LateShare() > 0.9);
}

// Guards against shares that settle only after a burst is over.
TEST_CASE("once daemons know of a burst for one key, they reject it at its arrival",
          "[limits][contention]")
{
  const Results results = Model({ "burst", Fault::kNone, 0.98, true, true }).Run();
  const auto& [urgent, normal, low, lowest] = results.byPriority;
  const double capacity = kSlots / InSeconds(kServiceTime) * InSeconds(kBurstTime - kUnknownTime);
  CAPTURE(results.reachedServer,
          results.TurnedAwayShare(),
          results.BusyShare(),
          results.LateShare(),
          results.rejected,
          results.rejectedAtArrival,
          urgent.served,
          normal.served,
          urgent.inTime + normal.inTime,
          ServedShare(results.others));
  CHECK(results.TurnedAwayShare() < 0.05);
  CHECK(results.rejectedAtArrival > 0.9 * results.rejected);
  CHECK(results.LateShare() < 0.1);
  CHECK(urgent.served + normal.served > 0.8 * capacity);
  CHECK(urgent.served > 2 * normal.served);
}
