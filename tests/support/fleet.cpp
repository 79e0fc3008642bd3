#include "tests/support/fleet.h"

#include "tests/support/paths.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <set>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace hawthornlug::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kPoll{ 10 };
constexpr milliseconds kReadyLimit{ 30000 };
constexpr milliseconds kEndLimit{ 20000 };
/// Offsets in the range of ports.
constexpr int kDaemonPort = 10;
constexpr int kPeerPort = 30;
constexpr int kServerPort = 50;
constexpr int kRelayPort = 80;

std::string Binary(const std::string& aName)
{
  return testing::BuildFolder() / aName;
}

std::string Url(int aPort)
{
  return "http://127.0.0.1:" + std::to_string(aPort);
}

int Spawn(const std::vector<std::string>& aWords, const std::string& aOutput)
{
  std::vector<char*> words;
  words.reserve(aWords.size() + 1);
  for (const std::string& it : aWords) {
    words.push_back(const_cast<char*>(it.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  int pid = 0;
  const int failed = ::posix_spawn(&pid, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("can't start " + aWords[0]);
  }
  return pid;
}

std::string MakeFolder()
{
  std::string name = (std::filesystem::temp_directory_path() / "hawthornlug-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("can't make a folder for the fleet");
  }
  return name;
}

std::vector<json> ReadLines(const std::string& aFile)
{
  std::vector<json> lines;
  std::ifstream file(aFile);
  std::string line;
  while (std::getline(file, line)) {
    json doc = json::parse(line, nullptr, false);
    if (!doc.is_discarded()) {
      lines.push_back(std::move(doc));
    }
  }
  return lines;
}

} // namespace

bool WaitUntil(milliseconds aLimit, const std::function<bool()>& aCondition)
{
  const auto end = Clock::now() + aLimit;
  while (!aCondition()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

Fleet::Fleet(FleetShape aShape)
  : mShape(std::move(aShape))
  , mFolder(MakeFolder())
  , mBasePort(mPorts.First())
{
  std::string extra;
  for (std::size_t n = 1; n <= mShape.domains.size(); ++n) {
    extra += (n > 1 ? "," : "") + std::to_string(mBasePort + static_cast<int>(n));
  }
  mPlatform.id = "platform";
  mPlatform.url = Url(mBasePort);
  mPlatform.words = { Binary("tests/standin_platform"),
                      "--port",
                      std::to_string(mBasePort),
                      "--extra-ports",
                      extra,
                      "--host-lag-ms",
                      "1000" };
  Start(mPlatform);
  int n = 0;
  for (const std::string& domain : mShape.domains) {
    for (std::size_t k = 1; k <= mShape.serversPerDomain; ++k) {
      Process it;
      it.id = domain + "-server-" + std::to_string(k);
      it.domain = domain;
      const int port = mBasePort + kServerPort + n++;
      it.url = Url(port);
      it.words = { Binary("tests/standin_server"),
                   "--id",
                   it.id,
                   "--port",
                   std::to_string(port),
                   "--slots",
                   std::to_string(mShape.slots),
                   "--fencing",
                   mShape.fencing,
                   "--work-us",
                   std::to_string(mShape.workUs),
                   "--cold-orders",
                   std::to_string(mShape.coldOrders),
                   "--ledger",
                   mFolder + "/" + it.id + ".ledger" };
      Start(it);
      mServers.push_back(it);
    }
  }
  json hosts = json::array();
  std::string seeds;
  std::string links;
  n = 0;
  for (const std::string& domain : mShape.domains) {
    for (std::size_t k = 1; k <= mShape.daemonsPerDomain; ++k) {
      Process it;
      it.id = domain + "-" + std::to_string(k);
      it.domain = domain;
      it.url = Url(mBasePort + kDaemonPort + n);
      const int listen = mBasePort + kPeerPort + n;
      const int seen = mShape.relayed ? mBasePort + kRelayPort + 1 + n : listen;
      const std::string peer = "tcp://127.0.0.1:" + std::to_string(seen);
      links += links.empty() ? "" : ",";
      links.append(it.id)
        .append("=")
        .append(std::to_string(seen))
        .append(":")
        .append(std::to_string(listen));
      ++n;
      hosts.push_back(
        { { "id", it.id }, { "domain", domain }, { "http", it.url }, { "peer", peer } });
      seeds += seeds.empty() ? "" : ",";
      seeds.append(it.id).append("=").append(domain).append("=").append(peer);
      it.words = { Binary("hawthornlug"),
                   "serve",
                   "--id",
                   it.id,
                   "--domain",
                   domain,
                   "--http",
                   it.url.substr(std::string("http://").size()),
                   "--peer",
                   peer,
                   "--peer-listen",
                   "tcp://127.0.0.1:" + std::to_string(listen),
                   "--platform",
                   PlatformUrl(domain),
                   "--trace-file",
                   mFolder + "/" + it.id + ".spans",
                   "--trace-sample",
                   std::to_string(mShape.traceSample) };
      mDaemons.push_back(it);
    }
  }
  if (mShape.relayed) {
    mRelay.id = "relay";
    mRelay.url = Url(mBasePort + kRelayPort);
    mRelay.words = { Binary("tests/standin_relay"),
                     "--port",
                     std::to_string(mBasePort + kRelayPort),
                     "--links",
                     links };
    Start(mRelay);
  }
  const bool platformUp = WaitUntil(kReadyLimit, [&] {
    httplib::Client client(mPlatform.url);
    return static_cast<bool>(client.Post("/hosts", hosts.dump(), "application/json"));
  });
  if (!platformUp) {
    throw std::runtime_error("the platform stand-in does not answer; see " + mFolder);
  }
  for (Process& it : mDaemons) {
    it.words.insert(it.words.end(), { "--seeds", seeds });
    Start(it);
  }
  if (Apply(Config()) != 0) {
    throw std::runtime_error("the configuration was not applied; see " + mFolder);
  }
  const bool ready = WaitUntil(kReadyLimit, [&] {
    return std::all_of(mDaemons.begin(), mDaemons.end(), [&](const Process& aDaemon) {
      return Get(aDaemon.url, "/-/status").value("ready", false);
    });
  });
  if (!ready) {
    throw std::runtime_error("the fleet did not become ready; see " + mFolder);
  }
}

Fleet::~Fleet()
{
  std::vector<Process*> all = { &mPlatform, &mRelay };
  for (Process& it : mServers) {
    all.push_back(&it);
  }
  for (Process& it : mDaemons) {
    all.push_back(&it);
  }
  for (Process* it : all) {
    if (it->pid != 0) {
      Kill(*it);
    }
  }
  if (std::getenv("HAWTHORNLUG_KEEP") == nullptr) {
    std::filesystem::remove_all(mFolder);
  }
}

std::string Fleet::PlatformUrl(const std::string& aDomain) const
{
  for (std::size_t n = 0; n < mShape.domains.size(); ++n) {
    if (mShape.domains[n] == aDomain) {
      return Url(mBasePort + static_cast<int>(n) + 1);
    }
  }
  return mPlatform.url;
}

void Fleet::Start(Process& aProcess)
{
  aProcess.pid = Spawn(aProcess.words, mFolder + "/" + aProcess.id + ".log");
}

void Fleet::Restart(Process& aProcess)
{
  if (aProcess.pid != 0) {
    Kill(aProcess);
  }
  Start(aProcess);
}

void Fleet::Signal(const Process& aProcess, int aSignal)
{
  ::kill(aProcess.pid, aSignal);
}

void Fleet::Kill(Process& aProcess)
{
  ::kill(aProcess.pid, SIGKILL);
  int status = 0;
  ::waitpid(aProcess.pid, &status, 0);
  aProcess.pid = 0;
}

int Fleet::WaitForEnd(Process& aProcess)
{
  int status = 0;
  const bool ended =
    WaitUntil(kEndLimit, [&] { return ::waitpid(aProcess.pid, &status, WNOHANG) != 0; });
  if (!ended) {
    return -1;
  }
  aProcess.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Fleet::Platform(const json& aFaults, const std::string& aDomain)
{
  json body = aFaults;
  if (!aDomain.empty()) {
    for (std::size_t n = 0; n < mShape.domains.size(); ++n) {
      if (mShape.domains[n] == aDomain) {
        body["port"] = mBasePort + static_cast<int>(n) + 1;
      }
    }
  }
  Post(mPlatform.url, "/control", body);
}

void Fleet::PutOdd(const std::vector<std::string>& aObjects, const std::vector<std::string>& aHosts)
{
  Post(mPlatform.url, "/odd", { { "objects", aObjects }, { "hosts", aHosts } });
}

void Fleet::Cut(const std::vector<std::pair<std::string, std::string>>& aCuts)
{
  Post(mRelay.url, "/cuts", aCuts);
}

std::vector<std::pair<std::string, std::string>> Fleet::Between(const std::string& aDomain,
                                                                const std::string& aOther) const
{
  std::vector<std::pair<std::string, std::string>> pairs;
  for (const Process& from : mDaemons) {
    for (const Process& to : mDaemons) {
      if (from.domain == aDomain && to.domain == aOther) {
        pairs.emplace_back(from.id, to.id);
        pairs.emplace_back(to.id, from.id);
      }
    }
  }
  return pairs;
}

int Fleet::Tool(const std::vector<std::string>& aWords)
{
  std::vector<std::string> words = { Binary("hawthornlug") };
  words.insert(words.end(), aWords.begin(), aWords.end());
  Process tool;
  tool.pid = Spawn(words, mFolder + "/tool.log");
  return WaitForEnd(tool);
}

int Fleet::Apply(const std::string& aYaml, bool aWait)
{
  static std::atomic<int> files{ 0 };
  const std::string name = mFolder + "/config-" + std::to_string(files++) + ".yaml";
  std::ofstream(name) << aYaml;
  std::vector<std::string> words = { "apply", "--platform", mPlatform.url };
  if (aWait) {
    words.push_back("--wait");
  }
  words.push_back(name);
  return Tool(words);
}

std::string Fleet::Config(const std::map<std::string, std::string>& aStates) const
{
  const auto state = [&](const std::string& aName) {
    const auto it = aStates.find(aName);
    return it == aStates.end() ? std::string("in") : it->second;
  };
  std::ostringstream buf;
  buf << "failure_domains:\n";
  for (const std::string& it : mShape.domains) {
    buf << "  - name: " << it << "\n    state: " << state(it) << "\n";
  }
  buf << "services:\n  - name: bookings\n    shards: " << mShape.shards
      << "\n    slots: " << mShape.slots
      << "\n    connections: 50\n    deadline_ms: " << mShape.deadlineMs
      << "\n    fencing: " << mShape.fencing << "\n    servers:\n";
  for (const Process& it : mServers) {
    buf << "      - id: " << it.id << "\n        domain: " << it.domain
        << "\n        url: " << it.url << "\n        state: " << state(it.id) << "\n";
  }
  return buf.str();
}

CallerAnswer Fleet::Call(std::size_t aDaemon,
                         const std::string& aMethod,
                         const std::string& aKey,
                         const std::string& aRequestId)
{
  httplib::Client client(mDaemons.at(aDaemon).url);
  client.set_read_timeout(std::chrono::seconds(10));
  httplib::Request request;
  request.method = aMethod;
  request.path = "/bookings/" + aKey;
  if (!aRequestId.empty()) {
    request.set_header("Idempotency-Key", aRequestId);
  }
  const httplib::Result result = client.send(request);
  CallerAnswer answer;
  if (!result) {
    answer.outcome = "connection-error";
    return answer;
  }
  answer.status = result->status;
  answer.outcome = result->get_header_value("Hawthornlug-Outcome");
  answer.reason = result->get_header_value("Hawthornlug-Reason");
  answer.server = result->get_header_value("Hawthornlug-Server");
  answer.requestId = result->get_header_value("Hawthornlug-Request-Id");
  const std::string epoch = result->get_header_value("Hawthornlug-Epoch");
  answer.epoch = epoch.empty() ? 0 : std::stoull(epoch);
  answer.body = result->body;
  return answer;
}

json Fleet::Load(const LoadShape& aLoad)
{
  static std::atomic<int> runs{ 0 };
  const int run = ++runs;
  const std::string output = mFolder + "/load-" + std::to_string(run) + ".json";
  std::string targets;
  for (const Process& it : mDaemons) {
    const bool meant =
      aLoad.targets.empty() || std::count(aLoad.targets.begin(), aLoad.targets.end(), it.url) != 0;
    if (meant) {
      targets += (targets.empty() ? "" : ",") + it.url;
    }
  }
  // Each run has request ids of its own.
  std::vector<std::string> words = { Binary("tests/standin_caller"),
                                     "--targets",
                                     targets,
                                     "--service",
                                     "bookings",
                                     "--seed",
                                     std::to_string(run),
                                     "--rate",
                                     std::to_string(aLoad.rate),
                                     "--seconds",
                                     std::to_string(aLoad.seconds),
                                     "--keys",
                                     std::to_string(aLoad.keys),
                                     "--writes",
                                     std::to_string(aLoad.writes),
                                     "--threads",
                                     std::to_string(aLoad.threads) };
  if (!aLoad.log.empty()) {
    words.insert(words.end(), { "--log", LogPath(aLoad.log) });
  }
  Process caller;
  caller.pid = Spawn(words, output);
  int status = 0;
  ::waitpid(caller.pid, &status, 0);
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    throw std::runtime_error("the caller stand-in ended with wait status " +
                             std::to_string(status) + "; see " + output);
  }
  std::ifstream file(output);
  return json::parse(file);
}

std::future<json> Fleet::StartLoad(const LoadShape& aLoad)
{
  return std::async(std::launch::async, [this, aLoad] { return Load(aLoad); });
}

std::string Fleet::LogPath(const std::string& aName) const
{
  return mFolder + "/" + aName + ".outcomes";
}

std::map<std::string, std::string> Fleet::LoadLog(const std::string& aName) const
{
  std::map<std::string, std::string> outcomes;
  std::ifstream file(LogPath(aName));
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream buf(line);
    std::string id;
    std::string outcome;
    buf >> id >> outcome;
    outcomes[id] = outcome;
  }
  return outcomes;
}

Process& Fleet::Server(const std::string& aId)
{
  for (Process& it : mServers) {
    if (it.id == aId) {
      return it;
    }
  }
  throw std::runtime_error("no server " + aId);
}

Process& Fleet::Daemon(const std::string& aId)
{
  for (Process& it : mDaemons) {
    if (it.id == aId) {
      return it;
    }
  }
  throw std::runtime_error("no daemon " + aId);
}

json Fleet::Get(const std::string& aUrl, const std::string& aPath)
{
  httplib::Client client(aUrl);
  client.set_read_timeout(std::chrono::seconds(2));
  const httplib::Result result = client.Get(aPath);
  json doc = result ? json::parse(result->body, nullptr, false) : json::object();
  return doc.is_discarded() ? json::object() : doc;
}

void Fleet::Post(const std::string& aUrl, const std::string& aPath, const json& aBody)
{
  httplib::Client client(aUrl);
  client.Post(aPath, aBody.dump(), "application/json");
}

json Fleet::Explain(const std::string& aKey)
{
  const std::string path = "/-/explain?service=bookings&key=" + aKey;
  for (const Process& it : mDaemons) {
    json doc = it.pid == 0 ? json::object() : Get(it.url, path);
    if (doc.value("source", "") == "attached daemon") {
      return doc;
    }
  }
  return json::object();
}

std::vector<json> Fleet::Ledger() const
{
  std::vector<json> all;
  for (const Process& it : mServers) {
    for (json& line : ReadLines(mFolder + "/" + it.id + ".ledger")) {
      line["server"] = it.id;
      all.push_back(std::move(line));
    }
  }
  return all;
}

std::string Fleet::CheckLedger(const std::map<std::string, std::string>& aOutcomes) const
{
  std::set<std::string> ran;
  std::map<std::pair<std::string, std::uint64_t>, std::string> owners;
  for (const json& it : Ledger()) {
    const std::string id = it["request_id"];
    if (!ran.insert(id).second) {
      return id + " ran twice";
    }
    const std::pair epoch{ it["key"].get<std::string>(), it["epoch"].get<std::uint64_t>() };
    const auto [owner, fresh] = owners.emplace(epoch, it["server"].get<std::string>());
    if (owner->second != it["server"]) {
      return "two servers ran " + epoch.first + " under epoch " + std::to_string(epoch.second);
    }
  }
  for (const auto& [id, outcome] : aOutcomes) {
    if (outcome == "not-run" && ran.count(id) != 0) {
      return id + " was called not run and ran";
    }
    if (outcome == "done" && ran.count(id) == 0) {
      return id + " was called done and is lost";
    }
  }
  return {};
}

std::vector<json> Fleet::Spans() const
{
  std::vector<json> all;
  for (const Process& it : mDaemons) {
    for (json& line : ReadLines(mFolder + "/" + it.id + ".spans")) {
      all.push_back(std::move(line));
    }
  }
  return all;
}

} // namespace hawthornlug::testing
