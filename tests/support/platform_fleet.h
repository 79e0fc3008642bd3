/// @file
/// The users' platform in small, for process tests: a store, registered backend servers, callers,
/// and daemons as real processes. The stand-ins run on one thread of the test's process.
#pragma once

#include "http/client.h"
#include "http/server.h"
#include "tests/support/odd_conduct.h"
#include "tests/support/port_range.h"
#include "tests/support/raw_server.h"
#include "tests/support/standin_store.h"
#include "tests/support/told_ledger.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hawthornlug::test {

/// Names and values of headers.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What callers got, and what servers saw.
struct FleetLedger
{
  unsigned asked = 0;
  unsigned served = 0;
  unsigned notRun = 0;
  unsigned failed = 0;
  unsigned closed = 0;
  /// Requests that may be repeated, and those of them that were not served.
  unsigned safeAsked = 0;
  unsigned safeUnserved = 0;
  /// Headers of the request that a server began to run last.
  http::Headers lastRun;
  /// What callers were told of their requests, against what servers ran.
  ToldLedger told;
  /// When a server last began to run a request, by request id.
  std::map<std::string, std::chrono::steady_clock::time_point> runAt;
  /// For how long the requests that were answered 504 had run by then; the longest of all times if
  /// no server had them. They count as failed, too.
  std::map<std::string, std::chrono::milliseconds> timedOut;
  /// Rules that were broken.
  std::set<std::string> broken;
  /// Grants with the token of an earlier life of the same server.
  unsigned oldTokens = 0;
};

/// What a server says of itself in the store.
Json ServerObject(const std::string& aService,
                  const std::string& aAddress,
                  const std::string& aState,
                  unsigned aSeq,
                  std::int64_t aBorn);

class PlatformFleet;

/// One backend server, keyed or not.
class StandInServer : public http::Handler
{
public:
  StandInServer(PlatformFleet& aFleet,
                std::string aId,
                std::string aService,
                std::string aAddress,
                bool aKeyed);

  const std::string& Id() const { return mId; }
  const std::string& Address() const { return mAddress; }
  /// Keys that the server was given.
  struct Hold
  {
    unsigned from = 0;
    unsigned to = 0;
    std::uint64_t token = 0;
    std::chrono::steady_clock::time_point until;
    /// Whether the grant came so soon after a daemon was thawed that it doesn't count.
    bool excused = false;
  };

  /// Registers the server, or changes its state. Does it later if the store is down.
  void Register(const std::string& aState);
  /// Writes the entry once more, if the server is registered and the store is up.
  void Heartbeat();
  /// Ends the server and starts it under its id and address: it forgets all, and isn't registered.
  void Restart();
  unsigned Life() const { return mLife; }
  bool IsKeyed() const { return mKeyed; }
  /// A silent server takes no request and no order; it does so later, when it isn't silent.
  void SetSilent(bool aSilent);
  /// The next answer to an order is written twice.
  void AnswerTwice() { mAnswersTwice = true; }
  /// Treats requests in odd ways, in turn; in none: as a sound server does.
  void SetOdd(std::vector<const OddConduct*> aConducts);
  /// The clock that measures holds runs 2% slow.
  void SlowClock() { mSecond = std::chrono::milliseconds(1020); }
  bool Holds(unsigned aKey) const { return FindHold(aKey) != nullptr; }
  /// The hold in force on a key, or nullptr.
  const Hold* FindHold(unsigned aKey) const;
  const std::vector<Hold>& AllHolds() const { return mHolds; }
  unsigned Runs() const { return mRuns; }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int, http::ReadState) override {}

private:
  using Time = std::chrono::steady_clock::time_point;

  void Handle(const std::shared_ptr<http::Exchange>& aExchange, Time aArrival);
  http::Response Order(const http::Request& aRequest, Time aArrival);
  /// Treats a request in an odd way.
  void HandleOddly(const std::shared_ptr<http::Exchange>& aExchange, const OddConduct& aConduct);
  /// Refuses a request, also with copies, as @p aConduct has it.
  void RefuseOddly(const std::shared_ptr<http::Exchange>& aExchange, const OddConduct& aConduct);
  /// Notes that a request begins to run.
  void NoteRun(const http::Request& aRequest);
  /// Runs a request and answers it, in an odd form if there is one.
  void Run(const std::shared_ptr<http::Exchange>& aExchange, const OddConduct* aConduct);

  PlatformFleet& mFleet;
  std::string mId;
  std::string mService;
  std::string mAddress;
  bool mKeyed;
  std::unique_ptr<testing::RawServer> mServer;
  std::vector<Hold> mHolds;
  unsigned mRunning = 0;
  unsigned mRuns = 0;
  unsigned mLife = 1;
  unsigned mSeq = 0;
  std::int64_t mBorn = 1;
  /// The state in the registry; empty while the server isn't registered.
  std::string mState;
  bool mSilent = false;
  bool mAnswersTwice = false;
  /// Odd ways, and how many requests were treated in them.
  std::vector<const OddConduct*> mOdd;
  unsigned mOddly = 0;
  /// Ids that were refused and are run when they come again.
  std::set<std::string> mRefusedOnce;
  std::chrono::milliseconds mSecond{ 1000 };
  std::vector<std::pair<std::shared_ptr<http::Exchange>, Time>> mWaiting;
};

/// The whole: made, started, put under load, checked.
class PlatformFleet
{
public:
  PlatformFleet(unsigned aDaemons, unsigned aServers)
    : PlatformFleet(aDaemons, aServers, aServers)
  {
  }
  /// Each daemon is told that it may use @p aMemoryMb megabytes.
  PlatformFleet(unsigned aDaemons,
                unsigned aPlainServers,
                unsigned aKeyedServers,
                unsigned aMemoryMb = 256);
  /// Registers a server that this fleet doesn't run.
  void RegisterOther(const std::string& aId,
                     const std::string& aService,
                     const std::string& aAddress);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /// Puts a configuration with this version in force; @p aMore adds a route for /more/.
  void Configure(unsigned aVersion, bool aMore);
  /// Sets how many servers a request may be sent to, in the configurations that follow.
  void SetMaxAttempts(unsigned aMaxAttempts) { mMaxAttempts = aMaxAttempts; }
  /// Lists these organisations in the configurations that follow; /read/ becomes an open route with
  /// @p aOpenRead.
  void SetTenants(const Json& aTenants, bool aOpenRead);
  /// The load's requests bear these keys of organisations, in turn.
  void SetApiKeys(std::vector<std::string> aKeys) { mApiKeys = std::move(aKeys); }
  void StartDaemon(unsigned aDaemon);
  /// Starts a daemon whose log goes to a small pipe that nobody reads.
  void StartUnreadDaemon(unsigned aDaemon);
  void Signal(unsigned aDaemon, int aSignal);
  bool IsUp(unsigned aDaemon) const { return mDaemons.at(aDaemon).up; }
  /// Whether a daemon's process has ended; it is reaped then.
  bool HasEnded(unsigned aDaemon);
  /// The file with a daemon's settings.
  const std::string& SettingsOf(unsigned aDaemon) const { return mDaemons.at(aDaemon).settings; }
  /// How a daemon's process that HasEnded() reaped ended: "status N" or "signal N".
  std::string EndOf(unsigned aDaemon) const;
  /// The most memory that a daemon's process has had, in bytes; 0 if it has ended.
  std::size_t PeakMemory(unsigned aDaemon) const;
  /// Waits for a daemon's process; its exit status, or -1 if it did not end in time.
  int AwaitEnd(unsigned aDaemon, std::chrono::seconds aLongest);

  /// Runs the stand-ins and callers for so long.
  void RunFor(std::chrono::milliseconds aTime);
  /// Runs until @p aDone; false if that takes too long.
  bool RunUntil(const std::function<bool()>& aDone, std::chrono::seconds aLongest);
  /// Begins or ends the load: requests of all kinds, to all daemons that are up.
  void SetLoad(bool aOn);
  void SetLoadInterval(std::chrono::milliseconds aInterval) { mLoadInterval = aInterval; }
  /// The load's callers wait for so long beyond the deadline that their requests state.
  void SetWaitBeyondDeadline(std::chrono::milliseconds aWait) { mWaitBeyondDeadline = aWait; }
  /// A server begins a request: no other that holds its key may begin one as well.
  void NoteRun(const StandInServer& aServer, unsigned aKey);
  /// A server takes keys: its token must be above all that other servers had.
  void NoteGrant(const StandInServer& aServer, const StandInServer::Hold& aHold);
  /// Forgets which servers began requests on keys that two held.
  void ForgetSharedRuns() { mSharedRuns.clear(); }
  /// Whether grants don't count now, since a daemon has just been thawed.
  bool JustThawed() const;
  /// A request of the load, to which a server answers "answer to ID".
  http::Request MakeRequest(const std::string& aId, bool aKeyed, bool aUnsafe, unsigned aKey);
  /// A caller got an answer to a request of the load.
  void NoteAnswer(const std::string& aId, const http::Response& aResponse);
  /// Leaves the folder with the daemons' logs, and returns it.
  const std::string& KeepFolder();
  /// Sends one request to one daemon and returns its status, 0 for no answer.
  int Ask(unsigned aDaemon, const std::string& aTarget, int aKey);
  /// As Ask(), with more headers, and all that came back.
  http::CallOutcome AskWith(unsigned aDaemon,
                            const std::string& aTarget,
                            const HeaderList& aHeaders);
  /// Where a daemon listens for callers.
  const std::string& CallersAddress(unsigned aDaemon) const { return mDaemons.at(aDaemon).callers; }
  bool IsReady(unsigned aDaemon);
  /// What a daemon shows on /metrics.
  std::string MetricsOf(unsigned aDaemon);
  /// What a daemon has written to its log so far.
  std::string LogOf(unsigned aDaemon) const;
  /// Number of keys in 0, 4096, 8192, ... that some server holds.
  unsigned KeysHeld() const;
  /// Which daemon grants the keys, by the record in the store; -1 if none.
  int Granter() const;
  void Check();

  StandInStore& Store() { return *mStore; }
  StandInServer& Server(unsigned aIndex) { return *mServers.at(aIndex); }
  std::size_t Servers() const { return mServers.size(); }
  FleetLedger& Ledger() { return mLedger; }
  asio::io_context& Context() { return mContext; }

private:
  struct Daemon
  {
    pid_t pid = 0;
    bool up = false;
    /// As waitpid() has it.
    int endStatus = 0;
    std::string callers;
    std::string readiness;
    std::string mesh;
    std::string settings;
  };

  struct LastGrant
  {
    std::uint64_t token = 0;
    const StandInServer* server = nullptr;
    unsigned life = 0;
  };

  /// Calls a daemon's readiness address.
  http::CallOutcome Get(unsigned aDaemon, const std::string& aPath);
  /// Sends a request and waits for its outcome.
  http::CallOutcome Await(const std::string& aAddress,
                          const http::Request& aRequest,
                          const http::CallOptions& aOptions);
  /// Starts a daemon's process with @p aOutput as its standard output.
  void Spawn(unsigned aDaemon, int aOutput);
  void WriteSettings(unsigned aDaemon);
  void Load();
  void Send(unsigned aDaemon, bool aKeyed, bool aUnsafe);

  asio::io_context mContext{ 1 };
  http::Client mClient;
  testing::PortRange mPorts;
  std::string mStoreAddress;
  std::unique_ptr<StandInStore> mStore;
  std::vector<std::unique_ptr<StandInServer>> mServers;
  std::vector<Daemon> mDaemons;
  std::string mFolder;
  Json mTenants;
  bool mOpenRead = false;
  std::vector<std::string> mApiKeys;
  unsigned mMade = 0;
  unsigned mMaxAttempts = 2;
  unsigned mMemoryMb;
  /// Ends of pipes that are not read.
  std::vector<int> mUnreadPipes;
  bool mKeepsFolder = false;
  FleetLedger mLedger;
  /// By key.
  std::vector<LastGrant> mLastGrants;
  std::map<std::pair<const StandInServer*, const StandInServer*>, std::set<const StandInServer*>>
    mSharedRuns;
  std::chrono::steady_clock::time_point mThawedAt;
  std::chrono::milliseconds mLoadInterval{ 10 };
  std::chrono::milliseconds mWaitBeyondDeadline{ 0 };
  asio::steady_timer mLoadTimer;
  bool mLoading = false;
  unsigned mSent = 0;
  unsigned mUnderWay = 0;
};

} // namespace hawthornlug::test
