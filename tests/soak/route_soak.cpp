/// @file
/// Randomized soak of `hawthornlug route`: real daemons on the real clock, stand-ins for the store
/// and the backend servers, troubles of all kinds in series, rules checked while it runs.
///
/// usage: route_soak --seed N --seconds S [--daemons 8] [--servers 27] [--restores 1] [--storms 1]
/// With --restores 1 the store comes back from an older copy after two of three outages. With
/// --storms 1 configurations come in series, at times while half of the daemons are killed, and all
/// daemons that nothing has happened to must follow in time.
/// The seed chooses the troubles; what the processes make of them differs from run to run. Exits
/// with 1 if a rule was broken (the daemons' logs are kept then), with 2 if the soak did not start.

#include "tests/standins/flags.h"
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

constexpr unsigned kKeys = 65536;
/// Of 16 keys, KeysHeld() counts how many are held.
constexpr unsigned kSampledKeys = 16;
constexpr milliseconds kCheckInterval{ 50 };
constexpr milliseconds kHeartbeatInterval{ 1000 };
constexpr milliseconds kLongestSharing{ 500 };
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
constexpr int kNotFound = 404;
constexpr int kOk = 200;

volatile std::sig_atomic_t gStopped = 0;

void OnSignal(int /*aSignal*/)
{
  gStopped = 1;
}

/// A trouble of one server, from one action to another.
struct ServerTrouble
{
  const char* name;
  unsigned fromMs;
  unsigned toMs;
  void (*begin)(StandInServer&);
  void (*end)(StandInServer&);
};

void Ready(StandInServer& aServer)
{
  aServer.Register("ready");
}

/// A restart in place: the server registers when the trouble ends.
constexpr std::array<ServerTrouble, 5> kServerTroubles = {
  { { "restart", 0, 2000, [](StandInServer& aServer) { aServer.Restart(); }, Ready },
    { "restart", 0, 2000, [](StandInServer& aServer) { aServer.Restart(); }, Ready },
    { "drain", 1000, 6000, [](StandInServer& aServer) { aServer.Register("draining"); }, Ready },
    { "silent",
      1000,
      6000,
      [](StandInServer& aServer) { aServer.SetSilent(true); },
      [](StandInServer& aServer) { aServer.SetSilent(false); } },
    { "twice",
      0,
      0,
      [](StandInServer& aServer) { aServer.AnswerTwice(); },
      [](StandInServer&) {} } }
};

/// Objects on a page of the store's lists: each list has several.
constexpr std::size_t kPageSize = 3;

class Soak
{
public:
  Soak(std::uint64_t aSeed, unsigned aDaemons, unsigned aServers, bool aRestores, bool aStorms)
    : mSeed(aSeed)
    , mRestores(aRestores)
    , mLastKind(aStorms ? 15 : 12)
    , mRandom(aSeed)
    , mDaemons(aDaemons)
    , mFleet(aDaemons, aServers / 4, aServers - aServers / 4)
    , mSharedSince(kKeys)
    , mTroubledAt(aDaemons, steady_clock::now())
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
    if (Goes()) {
      mFleet.SetLoad(false);
      FindBroken();
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
    mFleet.SetLoadInterval(kLoadInterval);
    mFleet.SetLoad(up);
    return up;
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
    std::vector<std::uint8_t> holders(kKeys);
    for (unsigned n = 0; n < mFleet.Servers(); ++n) {
      for (const StandInServer::Hold& it : mFleet.Server(n).AllHolds()) {
        if (it.until > aNow && !it.excused) {
          std::for_each(
            holders.begin() + it.from, holders.begin() + it.to + 1, [](auto& aCount) { ++aCount; });
        }
      }
    }
    bool shared = false;
    for (unsigned key = 0; key < kKeys; ++key) {
      if (holders[key] < 2) {
        mSharedSince[key] = {};
        continue;
      }
      shared = true;
      if (mSharedSince[key] == steady_clock::time_point()) {
        mSharedSince[key] = aNow;
      } else if (aNow - mSharedSince[key] > kLongestSharing) {
        Break("OWNER: two servers held key " + std::to_string(key) +
              " for over 500 ms:" + HoldersOf(key));
        return;
      }
    }
    mSharedChecks += shared ? 1 : 0;
    if (!shared) {
      mFleet.ForgetSharedRuns();
    }
  }

  std::string HoldersOf(unsigned aKey)
  {
    std::ostringstream text;
    for (unsigned n = 0; n < mFleet.Servers(); ++n) {
      const StandInServer::Hold* const hold = mFleet.Server(n).FindHold(aKey);
      if (hold != nullptr) {
        text << " " << mFleet.Server(n).Id() << " (life " << mFleet.Server(n).Life() << ") "
             << hold->from << "-" << hold->to << " token " << hold->token << " for another "
             << Seconds(hold->until - steady_clock::now()) << " s;";
      }
    }
    return text.str();
  }

  void CheckProcesses()
  {
    for (unsigned n = 0; n < mDaemons; ++n) {
      if (mFleet.IsUp(n) && mFleet.HasEnded(n)) {
        Break("Fault: daemon " + std::to_string(n) + " ended by itself");
      }
    }
  }

  void FindBroken()
  {
    for (const std::string& it : mFleet.Ledger().broken) {
      // Without regard to time, which CheckHolds() has.
      if (!it.starts_with("two servers hold key")) {
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

  static std::string Seconds(steady_clock::duration aTime)
  {
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << std::chrono::duration<double>(aTime).count();
    return text.str();
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
      After(at, [this, kind = Draw(0, mLastKind)] {
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

  void Play(unsigned aKind)
  {
    static constexpr std::array<int, 5> kSignals = { SIGSTOP, SIGSTOP, SIGKILL, SIGTERM, SIGHUP };
    if (aKind < kSignals.size()) {
      StopDaemon(FreeDaemon(), kSignals.at(aKind));
    } else if (aKind < kSignals.size() + kServerTroubles.size()) {
      Disturb(kServerTroubles.at(aKind - kSignals.size()), Draw(0, 3) > 0);
    } else if (aKind == 10) {
      Outage();
    } else if (aKind == 11) {
      if (Draw(0, 2) == 0) {
        WriteUnreadable();
      } else {
        WriteOdd();
      }
    } else if (aKind > 12) {
      BeginStorm(aKind == 13);
    } else if (Disturb(kServerTroubles[0], true)) {
      // The granter of the server that has just restarted stops.
      After(DrawTime(0, 300), [this, signal = Draw(0, 1) == 0 ? SIGKILL : SIGSTOP] {
        Say("granter", "stops");
        StopDaemon(mBusyDaemons.contains(mFleet.Granter()) ? -1 : mFleet.Granter(), signal);
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
      const int status = mFleet.Ask(n, "/more/x", -1);
      ++mLooked;
      if ((mHasMore && status == kNotFound) || (!mHasMore && status == kOk)) {
        Break("CONFIG: daemon " + std::to_string(n) + " answers " + std::to_string(status) +
              " 2 s after version " + std::to_string(aVersion) +
              (mHasMore ? ", which has the route" : ", which has no such route"));
      }
    }
  }

  /// Begins a trouble at a server that has none, and ends it later; false if all have one.
  bool Disturb(const ServerTrouble& aTrouble, bool aKeyed)
  {
    std::vector<StandInServer*> free;
    for (unsigned n = 0; n < mFleet.Servers(); ++n) {
      StandInServer* const server = &mFleet.Server(n);
      if (!mBusyServers.contains(server) && server->IsKeyed() == aKeyed) {
        free.push_back(server);
      }
    }
    if (free.empty()) {
      return false;
    }
    StandInServer* const server = free[Draw(0, free.size() - 1)];
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
    const std::array<Json, 6> specs = {
      Json("no entry at all"),
      Json{ { "Service", "keyed" }, { "State", "ready" } },
      Json{ { "Service", "keyed" }, { "State", "odd" }, { "Address", 7 }, { "born", "x" } },
      Json{ { "Service", "keyed" }, { "State", "ready" }, { "Address", "127.0.0.1:70000" } },
      Json{ { "Service", Json::array({ 1 }) }, { "born", -1.5 }, { "Seq", nullptr } },
      Json(nullptr)
    };
    const std::array<std::string, 6> names = { "i-odd-1",   "i-1&Watch=1", "i-2+3 4",
                                               "i-3#%41?/", "i-4\r\nX: y", "i-5\xC3\xA4" };
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
    const std::array<const char*, 4> texts = { "null",
                                               "\xFF",
                                               R"({"Metadata":{"Revision":5},"Spec":{}})",
                                               "{\"Metadata\":{\"Name\":\"\xFF\"}}" };
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

  int Report()
  {
    const FleetLedger& ledger = mFleet.Ledger();
    std::cout << "asked " << ledger.asked << ", served " << ledger.served << ", not run "
              << ledger.notRun << ", failed " << ledger.failed << ", closed " << ledger.closed
              << "; checks that saw a key shared " << mSharedChecks << "; old tokens in new lives "
              << ledger.oldTokens << "; keys held at the end " << mFleet.KeysHeld() << "/"
              << kSampledKeys << "; daemons asked for a new version " << mLooked << "\ntroubles:";
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
              << "\nlogs: " << mFleet.KeepFolder() << "\nlast troubles:\n";
    const std::size_t skipped = mTold.size() - std::min(mTold.size(), kTroublesShown);
    for (std::size_t n = skipped; n < mTold.size(); ++n) {
      std::cout << "  " << mTold[n] << "\n";
    }
    std::cout << std::flush;
    return 1;
  }

  std::uint64_t mSeed;
  bool mRestores;
  /// The last kind of trouble that is played.
  unsigned mLastKind;
  std::mt19937_64 mRandom;
  unsigned mDaemons;
  PlatformFleet mFleet;
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
  /// By key: since when two servers have held it.
  std::vector<steady_clock::time_point> mSharedSince;
  unsigned mSharedChecks = 0;
  /// When something last happened to each daemon, and to the store.
  std::vector<steady_clock::time_point> mTroubledAt;
  steady_clock::time_point mStoreTroubledAt = mBegan;
  /// The configuration that was written last, and whether it has the route for /more/.
  unsigned mVersion = 1;
  bool mHasMore = false;
  unsigned mLooked = 0;
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
    Soak soak(static_cast<std::uint64_t>(flags.Number("seed", 1)),
              static_cast<unsigned>(flags.Number("daemons", 8)),
              static_cast<unsigned>(flags.Number("servers", 27)),
              flags.Number("restores", 0) != 0,
              flags.Number("storms", 0) != 0);
    return soak.Run(seconds(flags.Number("seconds", 40)));
  } catch (const std::exception& aError) {
    std::cout << "soak failed: " << aError.what() << std::endl;
    return 2;
  }
}
