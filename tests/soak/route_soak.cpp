/// @file
/// Randomized soak of `hawthornlug route`: real daemons on the real clock, stand-ins for the store
/// and the backend servers, troubles of all kinds in series, rules checked while it runs.
///
/// usage: route_soak --seed N --seconds S [--daemons 8] [--servers 27] [--restores 1] [--storms 1]
///                   [--quotas 1]
/// With --restores 1 the store comes back from an older copy after two of three outages. With
/// --storms 1 configurations come in series, at times while half of the daemons are killed, and all
/// daemons that nothing has happened to must follow in time.
/// With --quotas 1 all requests are of organisations, one of which is over its quota.
/// The seed chooses the troubles; what the processes make of them differs from run to run. Exits
/// with 1 if a rule was broken (the daemons' logs are kept then), with 2 if the soak did not start.

#include "tests/soak/holds_check.h"
#include "tests/soak/odd_entries.h"
#include "tests/soak/troubles.h"
#include "tests/standins/flags.h"
#include "tests/support/fleet_callers.h"
#include "tests/support/platform_fleet.h"

#include <array>
#include <csignal>
#include <cstring>
#include <deque>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace {

using namespace hawthornlug::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Of 16 keys, KeysHeld() counts how many are held.
constexpr unsigned kSampledKeys = 16;
constexpr milliseconds kCheckInterval{ 50 };
constexpr milliseconds kHeartbeatInterval{ 1000 };
/// Copies of the store that are kept, and how often one is made: a copy is up to 10 s old.
constexpr std::size_t kCopies = 20;
constexpr milliseconds kCopyInterval{ 500 };
constexpr milliseconds kLoadInterval{ 5 };
constexpr milliseconds kPoll{ 50 };
/// GraceS of the fleet's settings.
constexpr milliseconds kGrace{ 6000 };
constexpr seconds kStart{ 30 };
constexpr seconds kRecovery{ 20 };
constexpr std::size_t kTroublesShown = 20;
/// Time between two configurations of a series.
constexpr milliseconds kStormInterval{ 60 };
/// A configuration must be in force this long after its confirmation, at daemons to which, as to
/// the store, nothing has happened for some time.
constexpr milliseconds kInForceBound{ 2000 };
constexpr milliseconds kCalmTime{ 3000 };
/// The key of the organisation without a quota.
constexpr const char* kLargeKey = "large-key";
constexpr int kNotFound = 404;
constexpr int kOk = 200;

volatile std::sig_atomic_t gStopped = 0;

void OnSignal(int /*aSignal*/)
{
  gStopped = 1;
}

/// At once, most servers that treat requests in odd ways for one trouble.
constexpr unsigned kMostOddServers = 3;
/// How long requests are compared with runs after the load has ended, and after the last daemon.
constexpr milliseconds kAfterLoad{ 2000 };
constexpr milliseconds kAfterDaemons{ 1000 };

/// Objects on a page of the store's lists: each list has several.
constexpr std::size_t kPageSize = 3;

/// What the flags say.
struct SoakOptions
{
  std::uint64_t seed = 1;
  unsigned daemons = 8;
  unsigned servers = 27;
  bool restores = false;
  bool storms = false;
  bool quotas = false;
};

class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions)
    : mSeed(aOptions.seed)
    , mRestores(aOptions.restores)
    , mQuotas(aOptions.quotas)
    , mKinds(aOptions.storms ? kTroubleKinds.size() : kKindsWithoutStorms)
    , mRandom(mSeed)
    , mDaemons(aOptions.daemons)
    , mFleet(mDaemons, aOptions.servers / 4, aOptions.servers - aOptions.servers / 4)
    , mCallers(mFleet, mDaemons, mSeed)
    , mTroubledAt(mDaemons, steady_clock::now())
  {
  }

  int Run(seconds aTime)
  {
    if (!Start()) {
      std::cout << "seed " << mSeed << ": not all daemons were ready and all keys held in time ("
                << mFleet.KeysHeld() << "/" << kSampledKeys << ")\nlogs: " << mFleet.KeepFolder()
                << "\n";
      return 2;
    }
    mBegan = steady_clock::now();
    After(milliseconds(0), [this] { PlaySeries(); });
    RunUntil(mBegan + aTime);
    mEnding = true;
    // What was begun is put right, then the fleet gets time to recover.
    const auto limit = steady_clock::now() + kRecovery;
    while (steady_clock::now() < limit && Goes() &&
           !(mActions.empty() && mFleet.KeysHeld() == kSampledKeys)) {
      RunUntil(std::min(limit, steady_clock::now() + kPoll));
    }
    mKeysAtEnd = mFleet.KeysHeld();
    if (Goes()) {
      mFleet.SetLoad(false);
      RunUntil(steady_clock::now() + kAfterLoad);
      EndDaemons();
    }
    return Report();
  }

private:
  bool Start()
  {
    mFleet.Store().SetPageSize(kPageSize);
    for (unsigned n = 0; n < mFleet.Servers(); n += 3) {
      mFleet.Server(n).SlowClock();
    }
    const bool up = mFleet.RunUntil(
      [this] {
        for (unsigned n = 0; n < mDaemons; ++n) {
          if (!mFleet.IsReady(n)) {
            return false;
          }
        }
        return mFleet.KeysHeld() == kSampledKeys;
      },
      kStart);
    if (up && mQuotas) {
      BeginQuotas();
    }
    mFleet.SetLoadInterval(kLoadInterval);
    mFleet.SetLoad(up);
    if (up) {
      mCallers.Start();
    }
    return up;
  }

  /// A third of the requests are of an organisation that has less than it sends.
  void BeginQuotas()
  {
    mFleet.SetTenants({ { "small", { { "ApiKeys", { "small-key" } }, { "RatePerS", 60 } } },
                        { "large", { { "ApiKeys", { kLargeKey } } } } },
                      false);
    mFleet.SetApiKeys({ "small-key", kLargeKey, kLargeKey });
    mFleet.Configure(++mVersion, mHasMore);
    mFleet.RunFor(kInForceBound);
  }

  bool Goes() const { return mBroken.empty() && gStopped == 0; }

  void RunUntil(steady_clock::time_point aEnd)
  {
    while (steady_clock::now() < aEnd && Goes()) {
      mFleet.RunFor(milliseconds(5));
      const auto now = steady_clock::now();
      while (!mActions.empty() && mActions.begin()->first <= now) {
        const auto action = std::move(mActions.begin()->second);
        mActions.erase(mActions.begin());
        action();
      }
      if (now >= mNextCheck) {
        mNextCheck = now + kCheckInterval;
        CheckHolds(now);
        CheckProcesses();
        FindBroken();
      }
      WriteHeartbeats(now);
      MakeCopies(now);
    }
  }

  /// All daemons get SIGTERM while their callers go on with the connections that they have.
  void EndDaemons()
  {
    mActions.clear();
    for (unsigned n = 0; n < mDaemons; ++n) {
      if (mFleet.IsUp(n)) {
        mFleet.Signal(n, SIGTERM);
      }
    }
    const auto limit = steady_clock::now() + kGrace;
    const auto anyLeft = [this] {
      bool left = false;
      for (unsigned n = 0; n < mDaemons; ++n) {
        left = !mFleet.HasEnded(n) || left;
      }
      return left;
    };
    while (Goes() && anyLeft() && steady_clock::now() < limit) {
      RunUntil(std::min(limit, steady_clock::now() + kPoll));
    }
    for (unsigned n = 0; n < mDaemons; ++n) {
      if (!mFleet.HasEnded(n)) {
        Say("end-of-grace", "daemon " + std::to_string(n) + " is killed");
        mFleet.Signal(n, SIGKILL);
      }
    }
    mCallers.Stop();
    RunUntil(steady_clock::now() + kAfterDaemons);
    FindBroken();
  }

  void MakeCopies(steady_clock::time_point aNow)
  {
    if (!mRestores || aNow < mNextCopy || mFleet.Store().IsDown()) {
      return;
    }
    mNextCopy = aNow + kCopyInterval;
    mCopies.push_back(mFleet.Store().MakeCopy());
    if (mCopies.size() > kCopies) {
      mCopies.pop_front();
    }
  }

  /// Each server's, evenly spread.
  void WriteHeartbeats(steady_clock::time_point aNow)
  {
    while (mNextHeartbeat <= aNow) {
      mFleet.Server(mHeartbeats++ % mFleet.Servers()).Heartbeat();
      mNextHeartbeat =
        std::max(mNextHeartbeat, aNow - kHeartbeatInterval) + kHeartbeatInterval / mFleet.Servers();
    }
  }

  // Checks

  void CheckHolds(steady_clock::time_point aNow)
  {
    const std::string found = mHolds.Check(mFleet, aNow);
    if (!found.empty()) {
      Break(found);
    }
  }

  void CheckProcesses()
  {
    for (unsigned n = 0; n < mDaemons; ++n) {
      if (mFleet.IsUp(n) && mFleet.HasEnded(n)) {
        Break("Fault: daemon " + std::to_string(n) + " ended by itself, " + mFleet.EndOf(n));
      }
    }
  }

  /// Whether a finding of the fleet is a broken rule. That two servers hold a key is one only after
  /// some time, which CheckHolds() looks at.
  static bool Counts(const std::string& aFinding)
  {
    return !aFinding.starts_with("two servers hold key");
  }

  void FindBroken()
  {
    for (const std::string& it : mFleet.Ledger().broken) {
      if (Counts(it)) {
        Break(it);
      }
    }
  }

  void Break(const std::string& aRule)
  {
    if (mBroken.empty()) {
      mBroken = aRule;
      mBrokenAt = steady_clock::now() - mBegan;
    }
  }

  // Troubles

  unsigned Draw(unsigned aFrom, unsigned aTo)
  {
    return aFrom + static_cast<unsigned>(mRandom() % (aTo - aFrom + 1));
  }
  milliseconds DrawTime(unsigned aFromMs, unsigned aToMs)
  {
    return milliseconds(Draw(aFromMs, aToMs));
  }
  void After(milliseconds aTime, std::function<void()> aAction)
  {
    mActions.emplace(steady_clock::now() + aTime, std::move(aAction));
  }

  void Say(const std::string& aKind, const std::string& aText)
  {
    ++mPlayed[aKind];
    mTold.push_back(Seconds(steady_clock::now() - mBegan) + " " + aKind + " " + aText);
    std::cout << mTold.back() << std::endl;
  }

  /// Some troubles close behind one another, then a pause.
  void PlaySeries()
  {
    milliseconds at(0);
    for (unsigned left = Draw(2, 8); left > 0; --left) {
      After(at, [this, kind = kTroubleKinds.at(Draw(0, mKinds - 1))] {
        if (!mEnding) {
          Play(kind);
        }
      });
      at += DrawTime(0, 600);
    }
    After(at + DrawTime(200, 3000), [this] {
      if (!mEnding) {
        PlaySeries();
      }
    });
  }

  void Play(TroubleKind aKind)
  {
    static constexpr std::array<int, 5> kSignals = { SIGSTOP, SIGSTOP, SIGKILL, SIGTERM, SIGHUP };
    switch (aKind) {
      case TroubleKind::kSignal:
        StopDaemon(FreeDaemon(), kSignals.at(Draw(0, kSignals.size() - 1)));
        return;
      case TroubleKind::kServer:
        Disturb(kServerTroubles.at(Draw(0, kServerTroubles.size() - 1)), Draw(0, 3) > 0);
        return;
      case TroubleKind::kOddServers:
        MakeOdd(Draw(0, 1) == 0);
        return;
      case TroubleKind::kOutage:
        Outage();
        return;
      case TroubleKind::kEntry:
        if (Draw(0, 2) == 0) {
          WriteUnreadable();
        } else {
          WriteOdd();
        }
        return;
      case TroubleKind::kGranter:
        StopGranter();
        return;
      case TroubleKind::kStorm:
        BeginStorm(Draw(0, 2) == 0);
        return;
    }
  }

  /// The granter of a server that has just restarted stops.
  void StopGranter()
  {
    if (!Disturb(kServerTroubles[0], true)) {
      return;
    }
    After(DrawTime(0, 300), [this, signal = Draw(0, 1) == 0 ? SIGKILL : SIGSTOP] {
      Say("granter", "stops");
      StopDaemon(mBusyDaemons.contains(mFleet.Granter()) ? -1 : mFleet.Granter(), signal);
    });
  }

  /// Some servers treat requests in one odd way, or in some of them in turn.
  void MakeOdd(bool aKeyed)
  {
    std::vector<const OddConduct*> conducts;
    for (unsigned left = Draw(0, 1) == 0 ? 1 : Draw(2, 6); left > 0; --left) {
      conducts.push_back(&OddConducts()[Draw(0, OddConducts().size() - 1)]);
    }
    for (unsigned left = Draw(1, kMostOddServers); left > 0; --left) {
      StandInServer* const server = FreeServer(aKeyed);
      if (server == nullptr) {
        return;
      }
      const milliseconds time = DrawTime(1000, 6000);
      std::string names;
      for (const OddConduct* const it : conducts) {
        names += " " + it->name;
      }
      Say("odd-server", server->Id() + " for " + Seconds(time) + ":" + names);
      mBusyServers.insert(server);
      server->SetOdd(conducts);
      After(time, [this, server] {
        server->SetOdd({});
        mBusyServers.erase(server);
      });
    }
  }

  /// A daemon without a trouble, or -1.
  int FreeDaemon()
  {
    for (unsigned n = 0, daemon = Draw(0, mDaemons - 1); n < mDaemons; ++n, ++daemon) {
      if (!mBusyDaemons.contains(daemon % mDaemons)) {
        return static_cast<int>(daemon % mDaemons);
      }
    }
    return -1;
  }

  /// Sends a signal to a daemon; it goes on, or is started again, some time later.
  void StopDaemon(int aDaemon, int aSignal)
  {
    if (aDaemon < 0) {
      return;
    }
    const bool freezes = aSignal == SIGSTOP;
    const milliseconds time = freezes ? DrawTime(500, 8000) : DrawTime(200, 3000);
    Say(::sigabbrev_np(aSignal), "daemon " + std::to_string(aDaemon) + " for " + Seconds(time));
    mFleet.Signal(aDaemon, aSignal);
    mTroubledAt[aDaemon] = steady_clock::now();
    if (aSignal == SIGHUP) {
      return;
    }
    mBusyDaemons.insert(aDaemon);
    if (!freezes) {
      AwaitStop(aDaemon, steady_clock::now() + kGrace, time);
      return;
    }
    After(time, [this, aDaemon] {
      mFleet.Signal(aDaemon, SIGCONT);
      mTroubledAt[aDaemon] = steady_clock::now();
      mBusyDaemons.erase(aDaemon);
    });
  }

  void AwaitStop(unsigned aDaemon, steady_clock::time_point aLimit, milliseconds aAway)
  {
    if (!mFleet.HasEnded(aDaemon) && steady_clock::now() < aLimit) {
      After(kPoll, [this, aDaemon, aLimit, aAway] { AwaitStop(aDaemon, aLimit, aAway); });
      return;
    }
    if (!mFleet.HasEnded(aDaemon)) {
      Say("end-of-grace", "daemon " + std::to_string(aDaemon) + " is killed");
      mFleet.Signal(aDaemon, SIGKILL);
    }
    After(aAway, [this, aDaemon] {
      mFleet.StartDaemon(aDaemon);
      mTroubledAt[aDaemon] = steady_clock::now();
      mBusyDaemons.erase(aDaemon);
    });
  }

  /// Configurations one after the other. Each adds or drops a route; the last one is looked for at
  /// all daemons.
  void BeginStorm(bool aKillsHalf)
  {
    const unsigned count = Draw(1, 40);
    Say("storm", std::to_string(count) + (aKillsHalf ? " configurations, and kills" : ""));
    for (unsigned n = 0; n < count; ++n) {
      After(n * kStormInterval, [this, isLast = n + 1 == count] { Configure(isLast); });
    }
    for (unsigned n = 0; aKillsHalf && n < mDaemons / 2; ++n) {
      After(count * kStormInterval / 2, [this] { StopDaemon(FreeDaemon(), SIGKILL); });
    }
  }

  void Configure(bool aIsLooked)
  {
    if (mFleet.Store().IsDown() || mEnding) {
      return;
    }
    mHasMore = !mHasMore;
    mFleet.Configure(++mVersion, mHasMore);
    if (aIsLooked) {
      After(kInForceBound, [this, version = mVersion] { LookForRoute(version); });
    }
  }

  /// Whether a daemon goes on by another version than the one that was confirmed some time ago.
  void LookForRoute(unsigned aVersion)
  {
    for (unsigned n = 0; n < mDaemons; ++n) {
      const auto now = steady_clock::now();
      const bool calm = now - mTroubledAt[n] > kCalmTime && now - mStoreTroubledAt > kCalmTime;
      if (aVersion != mVersion || !calm || mBusyDaemons.contains(n) || mFleet.Store().IsDown()) {
        continue;
      }
      const HeaderList headers = { { "X-Hawthornlug-Key", kLargeKey } };
      const int status = mFleet.AskWith(n, "/more/x", headers).response.status;
      ++mLooked;
      if ((mHasMore && status == kNotFound) || (!mHasMore && status == kOk)) {
        Break("CONFIG: daemon " + std::to_string(n) + " answers " + std::to_string(status) +
              " 2 s after version " + std::to_string(aVersion) +
              (mHasMore ? ", which has the route" : ", which has no such route"));
      }
    }
  }

  /// A server without a trouble, or nullptr.
  StandInServer* FreeServer(bool aKeyed)
  {
    std::vector<StandInServer*> free;
    for (unsigned n = 0; n < mFleet.Servers(); ++n) {
      StandInServer* const server = &mFleet.Server(n);
      if (!mBusyServers.contains(server) && server->IsKeyed() == aKeyed) {
        free.push_back(server);
      }
    }
    return free.empty() ? nullptr : free[Draw(0, free.size() - 1)];
  }

  /// Begins a trouble at a server that has none, and ends it later; false if all have one.
  bool Disturb(const ServerTrouble& aTrouble, bool aKeyed)
  {
    StandInServer* const server = FreeServer(aKeyed);
    if (server == nullptr) {
      return false;
    }
    const milliseconds time = DrawTime(aTrouble.fromMs, aTrouble.toMs);
    Say(aTrouble.name, server->Id() + " for " + Seconds(time));
    mBusyServers.insert(server);
    aTrouble.begin(*server);
    After(time, [this, server, end = aTrouble.end] {
      end(*server);
      mBusyServers.erase(server);
    });
    return true;
  }

  /// The store answers 503 to all; at times some entries of servers expire meanwhile.
  void Outage()
  {
    if (mFleet.Store().IsDown()) {
      return;
    }
    const milliseconds time = DrawTime(1000, 6000);
    const unsigned lost = Draw(0, 1) * Draw(1, 5);
    Say("outage", "for " + Seconds(time) + ", " + std::to_string(lost) + " entries expire");
    mFleet.Store().SetDown(true);
    mStoreTroubledAt = steady_clock::now() + time;
    const bool restores = mRestores && !mCopies.empty() && Draw(0, 2) > 0;
    After(time, [this, lost, restores] {
      if (restores) {
        Restore();
      }
      for (unsigned n = 0; n < lost; ++n) {
        mFleet.Store().Remove("servers", mFleet.Server(Draw(0, mFleet.Servers() - 1)).Id());
      }
      mFleet.Store().SetDown(false);
    });
  }

  /// What was written since one of the copies is lost, and the copies after it with it.
  void Restore()
  {
    const auto copy = mCopies.begin() + Draw(0, mCopies.size() - 1);
    Say("restore", "by " + std::to_string(mCopies.end() - copy) + " copies");
    mFleet.Store().RestoreFrom(**copy);
    mCopies.erase(std::next(copy), mCopies.end());
  }

  /// Another writer's entry, of its own or in place of a server's, whose heartbeat puts it right.
  void WriteOdd()
  {
    const auto specs = OddSpecs();
    const auto names = OddNames();
    const unsigned kind = Draw(0, specs.size() - 1);
    const bool own = Draw(0, 1) == 0;
    const std::string name =
      own ? names.at(Draw(0, names.size() - 1)) : mFleet.Server(Draw(0, mFleet.Servers() - 1)).Id();
    Say("odd", "entry " + std::to_string(kind) + " at " + name);
    mFleet.Store().Put("servers", name, specs.at(kind));
    if (own) {
      RemoveLater(name);
    }
  }

  /// An entry that can't be read, not even its name.
  void WriteUnreadable()
  {
    const auto texts = UnreadableObjects();
    const unsigned kind = Draw(0, texts.size() - 1);
    const std::string place = "i-3-unreadable";
    Say("unreadable", "entry " + std::to_string(kind));
    mFleet.Store().PutText("servers", place, texts.at(kind));
    RemoveLater(place);
  }

  void RemoveLater(const std::string& aName)
  {
    After(DrawTime(1000, 5000), [this, aName] { mFleet.Store().Remove("servers", aName); });
  }

  void ReportTold()
  {
    const ToldLedger& told = mFleet.Ledger().told;
    std::cout << "callers of their own: sent " << mCallers.Sent() << ", answered "
              << mCallers.Answered() << "; promises";
    for (const auto& [how, count] : told.PromisesByKind()) {
      std::cout << " " << how << " " << count;
    }
    std::cout << "; sent behind a response that closes " << told.SentBehindClose() << " ("
              << mCallers.SentAfterClose() << " after it), of which ran "
              << told.RanBehindClose(false) << ", once-only " << told.RanBehindClose(true) << " "
              << told.ExampleBehindClose() << "\n";
  }

  int Report()
  {
    const FleetLedger& ledger = mFleet.Ledger();
    std::cout << "asked " << ledger.asked << ", served " << ledger.served << ", not run "
              << ledger.notRun << ", failed " << ledger.failed << ", closed " << ledger.closed
              << "; checks that saw a key shared " << mHolds.SharedChecks()
              << "; old tokens in new lives " << ledger.oldTokens << "; keys held at the end "
              << mKeysAtEnd << "/" << kSampledKeys << "; daemons asked for a new version "
              << mLooked << "\n";
    ReportTold();
    std::cout << "troubles:";
    for (const auto& [kind, count] : mPlayed) {
      std::cout << " " << kind << " " << count;
    }
    std::cout << "\n";
    if (mBroken.empty()) {
      std::cout << "seed " << mSeed << (gStopped != 0 ? ": stopped early" : "")
                << ": no rule broken" << std::endl;
      return 0;
    }
    std::cout << "seed " << mSeed << ", at " << Seconds(mBrokenAt) << " s: BROKEN: " << mBroken
              << "\nlogs: " << mFleet.KeepFolder() << "\nall that was found:\n";
    for (const std::string& it : mFleet.Ledger().broken) {
      std::cout << (Counts(it) ? "  " + it + "\n" : "");
    }
    std::cout << "last troubles:\n";
    const std::size_t skipped = mTold.size() - std::min(mTold.size(), kTroublesShown);
    for (std::size_t n = skipped; n < mTold.size(); ++n) {
      std::cout << "  " << mTold[n] << "\n";
    }
    std::cout << std::flush;
    return 1;
  }

  std::uint64_t mSeed;
  bool mRestores;
  bool mQuotas;
  /// How many of the kinds of troubles are played.
  std::size_t mKinds;
  std::mt19937_64 mRandom;
  unsigned mDaemons;
  PlatformFleet mFleet;
  FleetCallers mCallers;
  steady_clock::time_point mBegan = steady_clock::now();
  steady_clock::time_point mNextCheck = mBegan;
  steady_clock::time_point mNextHeartbeat = mBegan;
  unsigned mHeartbeats = 0;
  steady_clock::time_point mNextCopy = mBegan;
  std::deque<std::shared_ptr<const StandInStore::Copy>> mCopies;
  bool mEnding = false;
  std::multimap<steady_clock::time_point, std::function<void()>> mActions;
  std::set<unsigned> mBusyDaemons;
  std::set<const StandInServer*> mBusyServers;
  HoldsCheck mHolds;
  /// When something last happened to each daemon, and to the store.
  std::vector<steady_clock::time_point> mTroubledAt;
  steady_clock::time_point mStoreTroubledAt = mBegan;
  /// The configuration that was written last, and whether it has the route for /more/.
  unsigned mVersion = 1;
  bool mHasMore = false;
  unsigned mLooked = 0;
  unsigned mKeysAtEnd = 0;
  std::vector<std::string> mTold;
  std::map<std::string, unsigned> mPlayed;
  std::string mBroken;
  steady_clock::duration mBrokenAt{};
};

} // namespace

int main(int aCount, char** aWords)
{
  const standins::Flags flags(aCount, aWords);
  // A soak that is ended early still ends its daemons.
  for (const int it : { SIGINT, SIGTERM, SIGHUP }) {
    std::signal(it, OnSignal);
  }
  try {
    Soak soak({ .seed = static_cast<std::uint64_t>(flags.Number("seed", 1)),
                .daemons = static_cast<unsigned>(flags.Number("daemons", 8)),
                .servers = static_cast<unsigned>(flags.Number("servers", 27)),
                .restores = flags.Number("restores", 0) != 0,
                .storms = flags.Number("storms", 0) != 0,
                .quotas = flags.Number("quotas", 0) != 0 });
    return soak.Run(seconds(flags.Number("seconds", 40)));
  } catch (const std::exception& aError) {
    std::cout << "soak failed: " << aError.what() << std::endl;
    return 2;
  }
}
