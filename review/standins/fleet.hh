/// @file
/// A small deployment: the store, upstreams, and daemons as separate processes that are started
/// with the command of the deploy file.
#pragma once

#include "upstream.hh"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <list>
#include <random>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// How a case is run; from the words of the command line.
struct CaseOptions
{
  /// Root of the repository, where the daemons run.
  std::string root;
  /// The command of the deploy file.
  std::string command;
  std::string record;
  bool trouble = true;
};

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline Address FreeAddress(const std::string& aIp)
{
  Address address{ aIp, 0 };
  const Socket probe = Socket::Listen(address);
  static std::set<std::string> used;
  for (int port = 20000 + static_cast<int>(std::random_device()() % 10000);; ++port) {
    address.port = port;
    try {
      Socket::Listen(address);
    } catch (const std::runtime_error&) {
      continue;
    }
    if (used.insert(address.Text()).second) {
      return address;
    }
  }
}

/// An answer that a client got.
struct ClientAnswer
{
  /// 0 if the connection ended or the client's time ran out without an answer.
  int status = 0;
  /// The connection ended without an answer.
  bool closed = false;
  std::string retryAfter;
};

struct ClientRequest
{
  std::string method = "GET";
  std::string path;
  std::string id;
  int key = -1;
  int deadlineMs = 2000;
};

class Fleet
{
public:
  struct Daemon
  {
    std::string name;
    std::string zone;
    std::string ip;
    Address callers;
    Address readiness;
    Address control;
    std::string settings;
    pid_t pid = 0;
  };

  Fleet(const CaseOptions& aOptions, unsigned aDaemons)
    : mOptions(aOptions)
    , mRecord(aOptions.record)
    , mLedger(mRecord)
    , mNetwork("127." + std::to_string(20 + std::random_device()() % 200) + "." +
               std::to_string(std::random_device()() % 250) + ".")
    , mStoreAddress(FreeAddress(mNetwork + "1"))
    , mStore(mStoreAddress, mRecord)
  {
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    mFolder = ::mkdtemp(folder.data());
    for (unsigned n = 0; n < aDaemons; ++n) {
      Daemon daemon;
      daemon.name = "edge-" + std::to_string(n + 1);
      daemon.zone = ZoneOf(n);
      daemon.ip = mNetwork + std::to_string(100 + n);
      daemon.callers = FreeAddress(daemon.ip);
      daemon.readiness = FreeAddress(daemon.ip);
      daemon.control = FreeAddress(daemon.ip);
      daemon.settings = mFolder + "/" + daemon.name + ".toml";
      mDaemons.push_back(daemon);
    }
  }

  ~Fleet()
  {
    for (Daemon& it : mDaemons) {
      Kill(it);
    }
    mLedger.Stop();
    for (const auto& it : mUpstreams) {
      it->Stop();
    }
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }

  static std::string ZoneOf(unsigned aIndex) { return aIndex % 2 == 0 ? "north" : "south"; }

  Upstream& AddUpstream(UpstreamOptions aOptions)
  {
    aOptions.zone = ZoneOf(static_cast<unsigned>(mUpstreams.size()));
    aOptions.address = FreeAddress(mNetwork + std::to_string(10 + mUpstreams.size()));
    const std::string id = aOptions.id;
    mUpstreams.push_back(std::make_unique<Upstream>(std::move(aOptions), mStore, mLedger));
    mUpstreams.back()->Start(id);
    mUpstreams.back()->Register("ready");
    return *mUpstreams.back();
  }

  /// Writes the manifest: a keyed service `ledger` and one without keys, `desk`.
  void Configure(double aTimeoutS = 2.0, double aTargetS = 0.8)
  {
    const auto route = [&](const char* aPrefix, const char* aKind, const char* aService) {
      return Json{ { "Host", "books.example" },
                   { "PathPrefix", aPrefix },
                   { "Kind", aKind },
                   { "TimeoutS", aTimeoutS },
                   { "TargetLatencyS", aTargetS },
                   { "Priority", 1 },
                   { "Service", aService },
                   { "MaxAttempts", 2 } };
    };
    const auto service = [](bool aKeyed) {
      Json rule = {
        { "HealthPath", "/health" }, { "MaxConns", 110 }, { "WarmupS", 3.0 }, { "WarmupPerS", 12.0 }
      };
      if (aKeyed) {
        rule["Sharded"] = true;
        rule["WarmS"] = 3.0;
      }
      return rule;
    };
    mStore.Put("config",
               "main",
               { { "Version", "r7" },
                 { "Routes",
                   { { "key-read", route("/kread/", "safe", "ledger") },
                     { "key-write", route("/kwrite/", "unsafe", "ledger") },
                     { "read", route("/read/", "safe", "desk") },
                     { "write", route("/write/", "unsafe", "desk") } } },
                 { "Services", { { "ledger", service(true) }, { "desk", service(false) } } },
                 { "Limits",
                   { { "MaxHeaderBytes", 16384 },
                     { "MaxBodyBytes", 1048576 },
                     { "HeaderTimeoutS", 3 },
                     { "IdleTimeoutS", 15 } } } });
  }

  void StartDaemons()
  {
    for (Daemon& it : mDaemons) {
      WriteSettings(it);
      Start(it);
    }
  }

  void Start(Daemon& aDaemon)
  {
    std::vector<std::string> words;
    std::istringstream text(mOptions.command);
    for (std::string word; text >> word;) {
      words.push_back(word);
    }
    std::vector<char*> args;
    for (std::string& it : words) {
      args.push_back(it.data());
    }
    args.push_back(nullptr);
    std::vector<std::string> variables = { "HAWTHORNLUG_CONFIG=" + aDaemon.settings,
                                           "PATH=/usr/bin:/bin" };
    std::vector<char*> env = { variables[0].data(), variables[1].data(), nullptr };
    const std::string log = mFolder + "/" + aDaemon.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, STDOUT_FILENO);
      ::dup2(fd, STDERR_FILENO);
      if (::chdir(mOptions.root.c_str()) == 0) {
        ::execve(args[0], args.data(), env.data());
      }
      ::_exit(127);
    }
    aDaemon.pid = pid;
    mRecord.Write("daemon " + aDaemon.name + " is started, callers at " + aDaemon.callers.Text());
  }

  void Signal(Daemon& aDaemon, int aSignal)
  {
    mRecord.Write("daemon " + aDaemon.name + " gets signal " + std::to_string(aSignal));
    ::kill(aDaemon.pid, aSignal);
  }

  void Kill(Daemon& aDaemon)
  {
    if (aDaemon.pid > 0) {
      ::kill(aDaemon.pid, SIGKILL);
      ::waitpid(aDaemon.pid, nullptr, 0);
      aDaemon.pid = 0;
    }
  }

  /// Whether the process has ended; it is then no longer killed at the end.
  bool HasEnded(Daemon& aDaemon)
  {
    if (aDaemon.pid > 0 && ::waitpid(aDaemon.pid, nullptr, WNOHANG) == aDaemon.pid) {
      mRecord.Write("daemon " + aDaemon.name + " has ended");
      aDaemon.pid = 0;
    }
    return aDaemon.pid == 0;
  }

  /// Sends one request on a connection of its own and waits for the answer.
  ClientAnswer Ask(const Daemon& aDaemon, const ClientRequest& aRequest)
  {
    ClientAnswer answer;
    mRecord.Write("client: " + aRequest.method + " " + aRequest.path + " " + aRequest.id +
                  (aRequest.key < 0 ? "" : " key " + std::to_string(aRequest.key)) + " to " +
                  aDaemon.name);
    auto socket = Socket::Connect(aDaemon.callers);
    if (!socket) {
      mRecord.Write("client: " + aRequest.id + " gets no connection");
      return answer;
    }
    const auto until = Clock::now() + Millis(aRequest.deadlineMs);
    if (!socket->Send(Serialize(aRequest))) {
      return answer;
    }
    const auto response = socket->Receive(until);
    answer.closed = !response && socket->HasEnded();
    if (response) {
      answer.status = response->Status();
      answer.retryAfter = response->Get("Retry-After");
      Check(aRequest, *response);
    }
    mRecord.Write("client: " + aRequest.id + " gets " +
                  (response        ? std::to_string(answer.status)
                   : answer.closed ? std::string("a closed connection")
                                   : std::string("nothing in time")));
    return answer;
  }

  static std::string Serialize(const ClientRequest& aRequest)
  {
    Message message;
    message.first = aRequest.method + " " + aRequest.path + " HTTP/1.1";
    message.headers = { { "Host", "books.example" },
                        { "X-Hawthornlug-Attempt-Id", aRequest.id },
                        { "X-Hawthornlug-Deadline-Ms", std::to_string(aRequest.deadlineMs) } };
    if (aRequest.key >= 0) {
      message.headers.emplace_back("X-Hawthornlug-Shard-Key", std::to_string(aRequest.key));
    }
    return message.Serialize();
  }

  /// Checks an answer by the rules MIXED and, when the fleet has come to rest, REFUSED.
  void Check(const ClientRequest& aRequest, const Message& aResponse)
  {
    const int status = aResponse.Status();
    const bool success = status >= 200 && status < 300;
    if (success && (aResponse.Get("X-Hawthornlug-Server-Seal").empty() ||
                    aResponse.body != "answer to " + aRequest.id)) {
      mRecord.Broken("MIXED: " + aRequest.id + " gets a success that is not its own answer");
    }
    const bool refused = status == 503 || status == 429 || status == 408 || status == 421;
    if (refused && aRequest.method != "GET") {
      const std::lock_guard lock(mMutex);
      mRefused.insert(aRequest.id);
    }
  }

  /// Checks that no request that was refused as not run has run.
  void CheckRefused()
  {
    const std::lock_guard lock(mMutex);
    for (const std::string& it : mRefused) {
      if (mLedger.Runs(it) > 0) {
        mRecord.Broken("REFUSED: " + it + " was answered as not run and has run");
      }
    }
  }

  bool IsReady(const Daemon& aDaemon)
  {
    auto socket = Socket::Connect(aDaemon.readiness);
    if (!socket || !socket->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")) {
      return false;
    }
    const auto response = socket->Receive(Clock::now() + std::chrono::seconds(1));
    return response && response->Status() == 200;
  }

  /// Waits until all daemons are ready and all keys are held.
  bool AwaitService(std::chrono::seconds aLongest)
  {
    return Await(aLongest, [this] {
      const bool ready = std::all_of(
        mDaemons.begin(), mDaemons.end(), [this](const Daemon& aIt) { return IsReady(aIt); });
      unsigned held = 0;
      for (const auto& it : mUpstreams) {
        held += it->CountHeld();
      }
      return ready && held >= kKeys / 256;
    });
  }

  static bool Await(Millis aLongest, const std::function<bool()>& aCondition)
  {
    const auto until = Clock::now() + aLongest;
    while (Clock::now() < until) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(Millis(20));
    }
    return false;
  }

  std::vector<Daemon>& Daemons() { return mDaemons; }
  Upstream& At(std::size_t aIndex) { return *mUpstreams.at(aIndex); }
  Store& StoreOf() { return mStore; }
  Record& Log() { return mRecord; }
  Ledger& LedgerOf() { return mLedger; }
  const std::string& Folder() const { return mFolder; }

private:
  void WriteSettings(const Daemon& aDaemon)
  {
    std::ofstream file(aDaemon.settings);
    file << "NodeName = \"" << aDaemon.name << "\"\nRole = \"router\"\nMachineClass = \"edge\"\n"
         << "ServesRoles = [\"edge\",\"control\"]\nIpAddr = \"" << aDaemon.ip << "\"\nZone = \""
         << aDaemon.zone << "\"\nRegion = \"region\"\nSeeds = [";
    for (std::size_t n = 0; n < mDaemons.size() && n < 3; ++n) {
      file << (n > 0 ? "," : "") << '"' << mDaemons[n].control.Text() << '"';
    }
    file << "]\nBootstrap = true\nHeartbeatS = 0.87\n[Zones]\nnorth = \"region\"\n"
         << "south = \"region\"\n[Bind]\nFrontHttp = \"" << aDaemon.callers.Text()
         << "\"\nReadyAddr = \"" << aDaemon.readiness.Text() << "\"\nControlPlane = \""
         << aDaemon.control.Text() << "\"\n[Limits]\nCpuShare = 0.2\nCpuCores = 1\n"
         << "MemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n[ContractBounds]\nSeedLagS = 3\n"
         << "AddrReuseS = 2\nContactS = 3\nAckS = 4\nSyncS = 4\nDrainS = 2\nGraceS = 6\n"
         << "LossSlackS = 0.2\nConfigApplyS = 2\nRollbackSlackS = 0.25\nOuterS = 5\n"
         << "RetryBudgetRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 58\nWarmupOvershoot = 1.5\n"
         << "WarmupSlack = 5\nEvacuateS = 5\nRecoveryS = 15\nHoldMaxS = 10\nUnfreezeSlackS = 0.3\n"
         << "[Provider]\nAddress = \"" << mStoreAddress.Text()
         << "\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n"
         << "ValueBytes = 1048576\n";
  }

  CaseOptions mOptions;
  Record mRecord;
  Ledger mLedger;
  std::string mNetwork;
  std::string mFolder;
  Address mStoreAddress;
  Store mStore;
  std::vector<std::unique_ptr<Upstream>> mUpstreams;
  std::vector<Daemon> mDaemons;
  std::mutex mMutex;
  std::set<std::string> mRefused;
};

/// A number without a pattern for each @p aNumber, so that keys and daemons are drawn evenly.
inline unsigned Scramble(std::uint64_t aNumber)
{
  std::uint64_t mixed = (aNumber + 1) * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<unsigned>(mixed >> 33);
}

/// Sends requests from several threads at a steady rate until it is stopped.
class Load
{
public:
  using MakeRequest = std::function<ClientRequest(unsigned aNumber)>;

  Load(Fleet& aFleet, unsigned aThreads, double aPerSecond, MakeRequest aMake)
    : mFleet(aFleet)
    , mMake(std::move(aMake))
  {
    const auto start = Clock::now();
    for (unsigned n = 0; n < aThreads; ++n) {
      mThreads.emplace_back([this, start, aPerSecond] { Run(start, aPerSecond); });
    }
  }
  ~Load() { Stop(); }

  void Stop()
  {
    mStopping = true;
    for (std::thread& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }

  unsigned Served() const { return mServed; }
  unsigned Sent() const { return mSent; }

private:
  void Run(Clock::time_point aStart, double aPerSecond)
  {
    while (!mStopping) {
      const unsigned n = mSent++;
      std::this_thread::sleep_until(
        aStart + std::chrono::microseconds(static_cast<std::int64_t>(n / aPerSecond * 1e6)));
      const std::vector<Fleet::Daemon>& daemons = mFleet.Daemons();
      const ClientAnswer answer = mFleet.Ask(daemons[Scramble(n) / 7 % daemons.size()], mMake(n));
      mServed += answer.status == 200 ? 1 : 0;
    }
  }

  Fleet& mFleet;
  MakeRequest mMake;
  std::atomic<unsigned> mSent{ 0 };
  std::atomic<unsigned> mServed{ 0 };
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mThreads;
};

/// Reads the words of the command line: ROOT COMMAND RECORD TROUBLE.
inline CaseOptions ReadOptions(int aCount, char** aWords)
{
  if (aCount != 5) {
    std::fprintf(stderr, "usage: %s ROOT COMMAND RECORD TROUBLE\n", aWords[0]);
    std::exit(kCouldNotRun);
  }
  return { aWords[1], aWords[2], aWords[3], std::string(aWords[4]) != "0" };
}

/// Runs a case; what goes wrong with the stand-ins counts as not run.
inline int RunCase(int aCount, char** aWords, int (*aCase)(const CaseOptions&))
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return aCase(ReadOptions(aCount, aWords));
  } catch (const std::exception& aError) {
    std::fprintf(stderr, "could not run: %s\n", aError.what());
    return kCouldNotRun;
  }
}

} // namespace review
