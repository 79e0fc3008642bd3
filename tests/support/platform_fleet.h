/// @file
/// The users' platform in small, for process tests: a store, registered backend servers, callers,
/// and daemons as real processes. The stand-ins run on one thread of the test's process.
#pragma once

#include "http/client.h"
#include "http/server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hawthornlug::test {

using Json = nlohmann::json;

/// What callers got, and what servers saw.
struct FleetLedger
{
  unsigned asked = 0;
  unsigned served = 0;
  unsigned notRun = 0;
  unsigned failed = 0;
  unsigned closed = 0;
  /// Runs by request id.
  std::map<std::string, unsigned> runs;
  /// Rules that were broken.
  std::set<std::string> broken;
};

/// The platform's object store.
class StandInStore : public http::Handler
{
public:
  StandInStore(asio::io_context& aContext, const std::string& aAddress);

  void Put(const std::string& aKind, const std::string& aName, const Json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  /// The store answers 503 from now on, to all.
  void SetDown(bool aDown) { mDown = aDown; }
  const Json* Find(const std::string& aKind, const std::string& aName) const;

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int, http::ReadState) override {}

private:
  struct Object
  {
    Json body;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  struct Watcher
  {
    std::shared_ptr<http::Exchange> exchange;
    std::string kind;
    std::uint64_t since = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };

  void Write(const std::shared_ptr<http::Exchange>& aExchange,
             const std::string& aKind,
             const std::string& aName);
  void List(const std::shared_ptr<http::Exchange>& aExchange, const std::string& aKind);
  void Watch(const std::shared_ptr<http::Exchange>& aExchange,
             const std::string& aKind,
             std::uint64_t aSince,
             std::chrono::milliseconds aWait);
  void Changed();
  Json EventsSince(const std::string& aKind, std::uint64_t aSince) const;

  asio::io_context& mContext;
  std::unique_ptr<http::Server> mServer;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::list<Watcher> mWatchers;
  std::uint64_t mRevision = 1;
  bool mDown = false;
};

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
  /// Registers the server, or changes its state.
  void Register(const std::string& aState);
  bool Holds(unsigned aKey) const;
  unsigned Runs() const { return mRuns; }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int, http::ReadState) override {}

private:
  struct Hold
  {
    unsigned from = 0;
    unsigned to = 0;
    std::uint64_t token = 0;
    std::chrono::steady_clock::time_point until;
  };

  http::Response Order(const http::Request& aRequest);
  void Run(const std::shared_ptr<http::Exchange>& aExchange);

  PlatformFleet& mFleet;
  std::string mId;
  std::string mService;
  std::string mAddress;
  bool mKeyed;
  std::unique_ptr<http::Server> mServer;
  std::vector<Hold> mHolds;
  unsigned mRunning = 0;
  unsigned mRuns = 0;
};

/// The whole: made, started, put under load, checked.
class PlatformFleet
{
public:
  PlatformFleet(unsigned aDaemons, unsigned aServers);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /// Puts a configuration with this version in force; @p aMore adds a route for /more/.
  void Configure(unsigned aVersion, bool aMore);
  void StartDaemon(unsigned aDaemon);
  void Signal(unsigned aDaemon, int aSignal);
  /// Waits for a daemon's process; its exit status, or -1 if it did not end in time.
  int AwaitEnd(unsigned aDaemon, std::chrono::seconds aLongest);

  /// Runs the stand-ins and callers for so long.
  void RunFor(std::chrono::milliseconds aTime);
  /// Runs until @p aDone; false if that takes too long.
  bool RunUntil(const std::function<bool()>& aDone, std::chrono::seconds aLongest);
  /// Begins or ends the load: requests of all kinds, to all daemons that are up.
  void SetLoad(bool aOn);
  /// Sends one request to one daemon and returns its status, 0 for no answer.
  int Ask(unsigned aDaemon, const std::string& aTarget, int aKey);
  bool IsReady(unsigned aDaemon);
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
    std::string callers;
    std::string readiness;
    std::string mesh;
    std::string settings;
  };

  void WriteSettings(unsigned aDaemon);
  void Load();
  void Send(unsigned aDaemon, bool aKeyed, bool aUnsafe);

  asio::io_context mContext{ 1 };
  http::Client mClient;
  std::string mStoreAddress;
  std::unique_ptr<StandInStore> mStore;
  std::vector<std::unique_ptr<StandInServer>> mServers;
  std::vector<Daemon> mDaemons;
  std::string mFolder;
  FleetLedger mLedger;
  asio::steady_timer mLoadTimer;
  bool mLoading = false;
  unsigned mSent = 0;
  unsigned mUnderWay = 0;
};

} // namespace hawthornlug::test
