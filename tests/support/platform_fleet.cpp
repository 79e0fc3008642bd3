#include "tests/support/platform_fleet.h"

#include "tests/support/paths.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace hawthornlug::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// UnfreezeSlackS of the sites.
constexpr milliseconds kUnfreezeSlack{ 300 };
constexpr milliseconds kPatience{ 2000 };
constexpr int kSmallPipeBytes = 4096;
constexpr unsigned kKeyStep = 4096;
constexpr unsigned kKeys = 65536;

} // namespace

PlatformFleet::PlatformFleet(unsigned aDaemons,
                             unsigned aPlainServers,
                             unsigned aKeyedServers,
                             unsigned aMemoryMb)
  : mClient(mContext)
  , mStoreAddress(mPorts.NextAddress())
  , mStore(std::make_unique<StandInStore>(mContext, mStoreAddress))
  , mMemoryMb(aMemoryMb)
  , mLastGrants(kKeys)
  , mLoadTimer(mContext)
{
  std::string folder = "/tmp/hawthornlug-platform-XXXXXX";
  mFolder = ::mkdtemp(folder.data());
  Configure(1, false);
  for (unsigned n = 0; n < aPlainServers + aKeyedServers; ++n) {
    const bool keyed = n >= aPlainServers;
    mServers.push_back(std::make_unique<StandInServer>(
      *this, "i-" + std::to_string(n), keyed ? "keyed" : "plain", mPorts.NextAddress(), keyed));
    mServers.back()->Register("ready");
  }
  for (unsigned n = 0; n < aDaemons; ++n) {
    Daemon daemon;
    daemon.callers = mPorts.NextAddress();
    daemon.readiness = mPorts.NextAddress();
    daemon.mesh = mPorts.NextAddress();
    daemon.settings = mFolder + "/daemon-" + std::to_string(n) + ".toml";
    mDaemons.push_back(std::move(daemon));
  }
  for (unsigned n = 0; n < aDaemons; ++n) {
    WriteSettings(n);
    StartDaemon(n);
  }
}

PlatformFleet::~PlatformFleet()
{
  for (Daemon& it : mDaemons) {
    if (it.pid > 0) {
      ::kill(it.pid, SIGKILL);
      ::waitpid(it.pid, nullptr, 0);
    }
  }
  for (const int it : mUnreadPipes) {
    ::close(it);
  }
  if (!mKeepsFolder) {
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }
}

const std::string& PlatformFleet::KeepFolder()
{
  mKeepsFolder = true;
  return mFolder;
}

void PlatformFleet::SetTenants(const Json& aTenants, bool aOpenRead)
{
  mTenants = aTenants;
  mOpenRead = aOpenRead;
}

void PlatformFleet::Configure(unsigned aVersion, bool aMore)
{
  const auto route = [this](const char* aPrefix, const char* aKind, const char* aService) {
    return Json{ { "Host", "h.example" }, { "PathPrefix", aPrefix },      { "Kind", aKind },
                 { "TimeoutS", 2.0 },     { "TargetLatencyS", 0.5 },      { "Priority", 1 },
                 { "Service", aService }, { "MaxAttempts", mMaxAttempts } };
  };
  Json routes = { { "read", route("/read/", "safe", "plain") },
                  { "write", route("/write/", "unsafe", "plain") },
                  { "key", route("/key/", "safe", "keyed") },
                  { "keywrite", route("/keywrite/", "unsafe", "keyed") } };
  if (aMore) {
    routes["more"] = route("/more/", "safe", "plain");
  }
  if (mOpenRead) {
    routes["read"]["Anonymous"] = true;
  }
  Json configuration = { { "Version", "r" + std::to_string(aVersion) },
                         { "Routes", routes },
                         { "Services",
                           { { "plain", { { "HealthPath", "/health" } } },
                             { "keyed", { { "HealthPath", "/health" }, { "Sharded", true } } } } },
                         { "Limits",
                           { { "MaxHeaderBytes", 16384 },
                             { "MaxBodyBytes", 100000 },
                             { "HeaderTimeoutS", 3 },
                             { "IdleTimeoutS", 15 } } } };
  if (!mTenants.is_null()) {
    configuration["Tenants"] = mTenants;
  }
  mStore->Put("config", "main", configuration);
}

void PlatformFleet::WriteSettings(unsigned aDaemon)
{
  const Daemon& daemon = mDaemons[aDaemon];
  std::ofstream file(daemon.settings);
  file << "NodeName = \"d" << aDaemon << "\"\nIpAddr = \"127.0.0.1\"\nZone = \"here\"\nSeeds = [";
  for (std::size_t n = 0; n < mDaemons.size() && n < 3; ++n) {
    file << (n > 0 ? "," : "") << '"' << mDaemons[n].mesh << '"';
  }
  file << "]\n[Bind]\nFrontHttp = \"" << daemon.callers << "\"\nReadyAddr = \"" << daemon.readiness
       << "\"\nControlPlane = \"" << daemon.mesh << "\"\n[ContractBounds]\nGraceS = 6\n"
       << "RetryBudgetRatio = 0.2\nRetrySlack = 58\n[Limits]\nMemoryMb = " << mMemoryMb
       << "\n[Provider]\nAddress = \"" << mStoreAddress << "\"\n";
}

void PlatformFleet::StartDaemon(unsigned aDaemon)
{
  const std::string log = mFolder + "/daemon-" + std::to_string(aDaemon) + ".log";
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  Spawn(aDaemon, output);
  ::close(output);
}

void PlatformFleet::StartUnreadDaemon(unsigned aDaemon)
{
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("can't make a pipe");
  }
  ::fcntl(ends[1], F_SETPIPE_SZ, kSmallPipeBytes);
  Spawn(aDaemon, ends[1]);
  ::close(ends[1]);
  mUnreadPipes.push_back(ends[0]);
}

void PlatformFleet::Spawn(unsigned aDaemon, int aOutput)
{
  Daemon& daemon = mDaemons[aDaemon];
  const std::string program = testing::BuildFolder() / "hawthornlug";
  std::array<std::string, 4> words = { program, "route", "--settings", daemon.settings };
  std::array<char*, 5> args = {
    words[0].data(), words[1].data(), words[2].data(), words[3].data()
  };
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_adddup2(&actions, aOutput, STDOUT_FILENO);
  // A daemon that had our sockets would keep ports and connections open.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
    ::posix_spawn(&daemon.pid, program.c_str(), &actions, nullptr, args.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), "can't start " + program);
  }
  daemon.up = true;
}

void PlatformFleet::Signal(unsigned aDaemon, int aSignal)
{
  Daemon& daemon = mDaemons[aDaemon];
  ::kill(daemon.pid, aSignal);
  if (aSignal == SIGKILL) {
    ::waitpid(daemon.pid, nullptr, 0);
    daemon.pid = 0;
  }
  if (aSignal == SIGCONT) {
    mThawedAt = steady_clock::now();
  }
  daemon.up = daemon.up && aSignal != SIGKILL && aSignal != SIGTERM;
}

bool PlatformFleet::HasEnded(unsigned aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  if (daemon.pid > 0 && ::waitpid(daemon.pid, &daemon.endStatus, WNOHANG) == daemon.pid) {
    daemon.pid = 0;
    daemon.up = false;
  }
  return daemon.pid == 0;
}

std::string PlatformFleet::EndOf(unsigned aDaemon) const
{
  const int status = mDaemons.at(aDaemon).endStatus;
  return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                             : "status " + std::to_string(WEXITSTATUS(status));
}

bool PlatformFleet::JustThawed() const
{
  return steady_clock::now() - mThawedAt < kUnfreezeSlack;
}

void PlatformFleet::NoteRun(const StandInServer& aServer, unsigned aKey)
{
  const StandInServer::Hold* const own = aServer.FindHold(aKey);
  if (own == nullptr || own->excused) {
    return;
  }
  for (const auto& it : mServers) {
    const StandInServer::Hold* const hold = it->FindHold(aKey);
    if (it.get() == &aServer || hold == nullptr || hold->excused) {
      continue;
    }
    auto& runners = mSharedRuns[std::minmax(&aServer, static_cast<const StandInServer*>(it.get()))];
    runners.insert(&aServer);
    if (runners.size() > 1) {
      mLedger.broken.insert("two servers began requests on keys that both held, at key " +
                            std::to_string(aKey));
    }
  }
}

void PlatformFleet::NoteGrant(const StandInServer& aServer, const StandInServer::Hold& aHold)
{
  if (aHold.excused || aHold.until <= steady_clock::now()) {
    return;
  }
  bool oldToken = false;
  for (unsigned key = aHold.from; key <= aHold.to; ++key) {
    LastGrant& last = mLastGrants.at(key);
    if (last.server != &aServer && last.token >= aHold.token) {
      mLedger.broken.insert(aServer.Id() + " took key " + std::to_string(key) + " with token " +
                            std::to_string(aHold.token) + ", " + last.server->Id() + " had " +
                            std::to_string(last.token));
      return;
    }
    oldToken = oldToken || (last.life != aServer.Life() && last.token >= aHold.token);
    if (aHold.token >= last.token) {
      last = { aHold.token, &aServer, aServer.Life() };
    }
  }
  mLedger.oldTokens += oldToken ? 1 : 0;
}

std::size_t PlatformFleet::PeakMemory(unsigned aDaemon) const
{
  constexpr std::string_view kPeak = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(mDaemons.at(aDaemon).pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(kPeak)) {
      return std::stoul(line.substr(kPeak.size())) * 1024;
    }
  }
  return 0;
}

void PlatformFleet::RegisterOther(const std::string& aId,
                                  const std::string& aService,
                                  const std::string& aAddress)
{
  mStore->Put("servers", aId, ServerObject(aService, aAddress, "ready", 1, 1));
}

int PlatformFleet::AwaitEnd(unsigned aDaemon, std::chrono::seconds aLongest)
{
  Daemon& daemon = mDaemons[aDaemon];
  int status = -1;
  const bool ended =
    RunUntil([&] { return ::waitpid(daemon.pid, &status, WNOHANG) == daemon.pid; }, aLongest);
  if (!ended) {
    return -1;
  }
  daemon.pid = 0;
  return status;
}

void PlatformFleet::RunFor(milliseconds aTime)
{
  const auto end = steady_clock::now() + aTime;
  while (steady_clock::now() < end) {
    mContext.restart();
    mContext.run_for(milliseconds(5));
    Check();
  }
}

bool PlatformFleet::RunUntil(const std::function<bool()>& aDone, std::chrono::seconds aLongest)
{
  const auto end = steady_clock::now() + aLongest;
  while (steady_clock::now() < end) {
    if (aDone()) {
      return true;
    }
    RunFor(milliseconds(10));
  }
  return false;
}

void PlatformFleet::Check()
{
  const std::vector<std::string>& falsehoods = mLedger.told.Falsehoods();
  mLedger.broken.insert(falsehoods.begin(), falsehoods.end());
  for (unsigned key = 0; key < kKeys; key += kKeyStep) {
    unsigned holders = 0;
    for (const auto& it : mServers) {
      holders += it->Holds(key) ? 1 : 0;
    }
    if (holders > 1) {
      mLedger.broken.insert("two servers hold key " + std::to_string(key));
    }
  }
}

unsigned PlatformFleet::KeysHeld() const
{
  unsigned held = 0;
  for (unsigned key = 0; key < kKeys; key += kKeyStep) {
    held += std::any_of(mServers.begin(),
                        mServers.end(),
                        [&](const auto& aServer) { return aServer->Holds(key); })
              ? 1
              : 0;
  }
  return held;
}

int PlatformFleet::Granter() const
{
  const Json* const record = mStore->Find("hawthornlug-ranges", "keyed");
  if (record == nullptr) {
    return -1;
  }
  return std::stoi(record->at("holder").get<std::string>().substr(1));
}

void PlatformFleet::SetLoad(bool aOn)
{
  mLoading = aOn;
  if (aOn) {
    Load();
    return;
  }
  mLoadTimer.cancel();
  RunUntil([this] { return mUnderWay == 0; }, std::chrono::seconds(5));
}

void PlatformFleet::Load()
{
  mLoadTimer.expires_after(mLoadInterval);
  mLoadTimer.async_wait([this](const asio::error_code& aError) {
    if (aError || !mLoading) {
      return;
    }
    ++mSent;
    for (unsigned n = 0; n < mDaemons.size(); ++n) {
      const unsigned daemon = (mSent + n) % mDaemons.size();
      if (mDaemons[daemon].up) {
        const bool keyed = mSent % 3 == 0;
        // Every second request with a key may run only once.
        Send(daemon, keyed, mSent % 3 == 1 || (keyed && mSent % 2 == 0));
        break;
      }
    }
    Load();
  });
}

http::Request PlatformFleet::MakeRequest(const std::string& aId,
                                         bool aKeyed,
                                         bool aUnsafe,
                                         unsigned aKey)
{
  http::Request request;
  request.method = aUnsafe ? "POST" : "GET";
  request.target =
    std::string(aKeyed ? (aUnsafe ? "/keywrite/" : "/key/") : (aUnsafe ? "/write/" : "/read/")) +
    aId;
  request.headers.Add("Host", "h.example");
  request.headers.Add("X-Hawthornlug-Attempt-Id", aId);
  request.headers.Add("X-Hawthornlug-Deadline-Ms", std::to_string(kPatience.count()));
  if (aKeyed) {
    request.headers.Add("X-Hawthornlug-Shard-Key", std::to_string(aKey));
  }
  if (!mApiKeys.empty()) {
    request.headers.Add("X-Hawthornlug-Key", mApiKeys[++mMade % mApiKeys.size()]);
  }
  if (aUnsafe) {
    request.body = "x";
  }
  return request;
}

void PlatformFleet::Send(unsigned aDaemon, bool aKeyed, bool aUnsafe)
{
  const std::string id = "r" + std::to_string(mSent);
  const http::Request request = MakeRequest(id, aKeyed, aUnsafe, mSent * 7919 % kKeys);
  ++mLedger.asked;
  mLedger.safeAsked += aUnsafe ? 0 : 1;
  if (aUnsafe) {
    mLedger.told.NoteOnce(id);
  }
  ++mUnderWay;
  http::CallOptions options;
  options.timeout = kPatience + mWaitBeyondDeadline;
  mClient.Send(mDaemons[aDaemon].callers,
               request,
               options,
               [this, id, aUnsafe](const http::CallOutcome& aOutcome) {
                 --mUnderWay;
                 const bool served = aOutcome.result == http::CallResult::kAnswered &&
                                     aOutcome.response.status == 200;
                 mLedger.safeUnserved += !aUnsafe && !served ? 1 : 0;
                 if (aOutcome.result == http::CallResult::kAnswered) {
                   NoteAnswer(id, aOutcome.response);
                 } else {
                   ++mLedger.closed;
                 }
               });
}

void PlatformFleet::NoteAnswer(const std::string& aId, const http::Response& aResponse)
{
  mLedger.told.NoteStatus(aId, aResponse.status);
  if (aResponse.status == 200) {
    const bool whole = aResponse.body == "answer to " + aId &&
                       aResponse.headers.Find("X-Hawthornlug-Server-Seal").has_value();
    if (!whole) {
      mLedger.broken.insert("an answer that is not the server's whole answer");
    }
    ++mLedger.served;
  } else if (aResponse.status == 503) {
    ++mLedger.notRun;
  } else {
    ++mLedger.failed;
    if (aResponse.status == 504) {
      const auto it = mLedger.runAt.find(aId);
      mLedger.timedOut[aId] = it == mLedger.runAt.end()
                                ? milliseconds::max()
                                : std::chrono::ceil<milliseconds>(steady_clock::now() - it->second);
    }
  }
}

int PlatformFleet::Ask(unsigned aDaemon, const std::string& aTarget, int aKey)
{
  HeaderList headers;
  if (aKey >= 0) {
    headers.emplace_back("X-Hawthornlug-Shard-Key", std::to_string(aKey));
  }
  const http::CallOutcome outcome = AskWith(aDaemon, aTarget, headers);
  return outcome.result == http::CallResult::kAnswered ? outcome.response.status : 0;
}

http::CallOutcome PlatformFleet::AskWith(unsigned aDaemon,
                                         const std::string& aTarget,
                                         const HeaderList& aHeaders)
{
  const std::string id = "asked-" + std::to_string(++mSent);
  http::Request request;
  request.method = "GET";
  request.target = aTarget;
  request.headers.Add("Host", "h.example");
  request.headers.Add("X-Hawthornlug-Attempt-Id", id);
  request.headers.Add("X-Hawthornlug-Deadline-Ms", std::to_string(kPatience.count()));
  for (const auto& [name, value] : aHeaders) {
    request.headers.Add(name, value);
  }
  http::CallOptions options;
  options.timeout = kPatience;
  http::CallOutcome outcome = Await(mDaemons[aDaemon].callers, request, options);
  if (outcome.result == http::CallResult::kAnswered) {
    mLedger.told.NoteStatus(id, outcome.response.status);
  }
  return outcome;
}

http::CallOutcome PlatformFleet::Await(const std::string& aAddress,
                                       const http::Request& aRequest,
                                       const http::CallOptions& aOptions)
{
  std::optional<http::CallOutcome> outcome;
  const auto call = mClient.Send(aAddress, aRequest, aOptions, [&](http::CallOutcome aOutcome) {
    outcome = std::move(aOutcome);
  });
  if (!RunUntil([&] { return outcome.has_value(); }, std::chrono::seconds(5))) {
    call->Cancel();
    return {};
  }
  return *outcome;
}

http::CallOutcome PlatformFleet::Get(unsigned aDaemon, const std::string& aPath)
{
  http::Request request;
  request.method = "GET";
  request.target = aPath;
  request.headers.Add("Host", "h");
  return Await(mDaemons[aDaemon].readiness, request, {});
}

bool PlatformFleet::IsReady(unsigned aDaemon)
{
  const http::CallOutcome outcome = Get(aDaemon, "/ready");
  return outcome.result == http::CallResult::kAnswered && outcome.response.status == 200;
}

std::string PlatformFleet::MetricsOf(unsigned aDaemon)
{
  return Get(aDaemon, "/metrics").response.body;
}

std::string PlatformFleet::LogOf(unsigned aDaemon) const
{
  std::ifstream file(mFolder + "/daemon-" + std::to_string(aDaemon) + ".log");
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace hawthornlug::test
