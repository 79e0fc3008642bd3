/// @file
/// Stand-in for the platform: objects with versions, conditional updates, watches by long poll, a
/// lagging list of hosts, call counters. It listens on several ports, so that a failure domain can
/// be cut off from it while others are not.
///
/// Flags: --port N, --extra-ports N,N,..., --host-lag-ms N.
/// POST /control {"port":N,"down":bool,"slow_ms":N,"lose_answers":N}; without a port: all ports.
/// POST /odd {"objects":[TEXT...],"hosts":[TEXT...]} adds entries to all watches and lists of
/// hosts. POST /hosts [{"id","domain","http","peer","leaving"}] sets the list; it shows after the
/// lag.

#include "tests/standins/flags.h"
#include "tests/standins/http_listener.h"

#include <chrono>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

struct Object
{
  std::uint64_t version = 0;
  std::string value;
};

struct Faults
{
  bool down = false;
  int slowMs = 0;
  int loseAnswers = 0;
};

class Platform
{
public:
  explicit Platform(std::int64_t aHostLagMs)
    : mHostLag(aHostLagMs)
  {
  }

  void Attach(httplib::Server& aServer, int aPort);

private:
  bool Enter(int aPort, const char* aCall, httplib::Response& aResponse);
  void Get(const std::string& aName, httplib::Response& aResponse);
  void Put(int aPort, const httplib::Request& aRequest, httplib::Response& aResponse);
  void Watch(int aPort, const httplib::Request& aRequest, httplib::Response& aResponse);
  void Control(const json& aBody);
  std::string Hosts();
  /// The text of a list with the odd entries behind the others.
  std::string WithOdd(const json& aList, const std::string& aName) const;

  static json Show(const std::string& aName, const Object& aObject)
  {
    return { { "name", aName }, { "version", aObject.version }, { "value", aObject.value } };
  }

  const std::chrono::milliseconds mHostLag;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Object> mObjects;
  std::uint64_t mRevision = 0;
  std::map<int, Faults> mFaults;
  std::map<std::string, std::uint64_t> mCounters;
  json mShownHosts = json::array();
  /// Texts of entries that other writers have put beside ours, by the list that they are in.
  std::map<std::string, std::vector<std::string>> mOddEntries;
  std::vector<std::pair<Clock::time_point, json>> mComingHosts;
};

bool Platform::Enter(int aPort, const char* aCall, httplib::Response& aResponse)
{
  int slowMs = 0;
  {
    const std::lock_guard lock(mMutex);
    ++mCounters[aCall];
    slowMs = mFaults[aPort].slowMs;
  }
  if (slowMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(slowMs));
  }
  const std::lock_guard lock(mMutex);
  if (mFaults[aPort].down) {
    aResponse.status = 503;
    return false;
  }
  return true;
}

void Platform::Get(const std::string& aName, httplib::Response& aResponse)
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aName);
  if (it == mObjects.end()) {
    aResponse.status = 404;
    return;
  }
  aResponse.set_content(Show(aName, it->second).dump(), "application/json");
}

void Platform::Put(int aPort, const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string name = aRequest.matches[1];
  const std::uint64_t expected = std::stoull(aRequest.get_param_value("expected"));
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(name);
  const std::uint64_t current = it == mObjects.end() ? 0 : it->second.version;
  if (current != expected) {
    aResponse.status = 409;
    aResponse.set_content(json{ { "version", current } }.dump(), "application/json");
    return;
  }
  mObjects[name] = { ++mRevision, aRequest.body };
  mChanged.notify_all();
  Faults& faults = mFaults[aPort];
  if (faults.loseAnswers > 0) {
    --faults.loseAnswers;
    // The head goes out and the body never comes, so the connection breaks.
    aResponse.set_content_provider(
      64, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    return;
  }
  aResponse.set_content(json{ { "version", mRevision } }.dump(), "application/json");
}

void Platform::Watch(int aPort, const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::uint64_t since = std::stoull(aRequest.get_param_value("since"));
  const std::chrono::milliseconds wait(std::stoll(aRequest.get_param_value("timeout_ms")));
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, wait, [&] { return mRevision > since || mFaults[aPort].down; });
  if (mFaults[aPort].down) {
    aResponse.status = 503;
    return;
  }
  json objects = json::array();
  for (const auto& [name, object] : mObjects) {
    if (object.version > since) {
      objects.push_back(Show(name, object));
    }
  }
  aResponse.set_content(R"({"revision":)" + std::to_string(mRevision) + R"(,"objects":)" +
                          WithOdd(objects, "objects") + "}",
                        "application/json");
}

std::string Platform::WithOdd(const json& aList, const std::string& aName) const
{
  std::string text = aList.dump();
  const auto odd = mOddEntries.find(aName);
  if (odd == mOddEntries.end()) {
    return text;
  }
  for (const std::string& it : odd->second) {
    text.pop_back();
    text += (text.size() > 1 ? "," : "") + it + "]";
  }
  return text;
}

void Platform::Control(const json& aBody)
{
  const std::lock_guard lock(mMutex);
  for (auto& [port, faults] : mFaults) {
    if (aBody.contains("port") && aBody["port"].get<int>() != port) {
      continue;
    }
    faults.down = aBody.value("down", faults.down);
    faults.slowMs = aBody.value("slow_ms", faults.slowMs);
    faults.loseAnswers = aBody.value("lose_answers", faults.loseAnswers);
  }
  mChanged.notify_all();
}

std::string Platform::Hosts()
{
  const std::lock_guard lock(mMutex);
  while (!mComingHosts.empty() && mComingHosts.front().first <= Clock::now()) {
    mShownHosts = mComingHosts.front().second;
    mComingHosts.erase(mComingHosts.begin());
  }
  return WithOdd(mShownHosts, "hosts");
}

void Platform::Attach(httplib::Server& aServer, int aPort)
{
  mFaults[aPort] = {};
  aServer.Get("/objects/(.+)",
              [=, this](const httplib::Request& aRequest, httplib::Response& aRes) {
                if (Enter(aPort, "get", aRes)) {
                  Get(aRequest.matches[1], aRes);
                }
              });
  aServer.Put("/objects/(.+)",
              [=, this](const httplib::Request& aRequest, httplib::Response& aRes) {
                if (Enter(aPort, "put", aRes)) {
                  Put(aPort, aRequest, aRes);
                }
              });
  aServer.Get("/watch", [=, this](const httplib::Request& aRequest, httplib::Response& aRes) {
    if (Enter(aPort, "watch", aRes)) {
      Watch(aPort, aRequest, aRes);
    }
  });
  aServer.Get("/hosts", [=, this](const httplib::Request&, httplib::Response& aRes) {
    if (Enter(aPort, "hosts", aRes)) {
      aRes.set_content(Hosts(), "application/json");
    }
  });
  aServer.Post("/hosts", [this](const httplib::Request& aRequest, httplib::Response&) {
    const std::lock_guard lock(mMutex);
    mComingHosts.emplace_back(Clock::now() + mHostLag, json::parse(aRequest.body));
  });
  aServer.Post("/control", [this](const httplib::Request& aRequest, httplib::Response&) {
    Control(json::parse(aRequest.body));
  });
  aServer.Post("/odd", [this](const httplib::Request& aRequest, httplib::Response&) {
    const std::lock_guard lock(mMutex);
    mOddEntries = json::parse(aRequest.body);
  });
  aServer.Get("/counters", [this](const httplib::Request&, httplib::Response& aRes) {
    const std::lock_guard lock(mMutex);
    aRes.set_content(json(mCounters).dump(), "application/json");
  });
}

} // namespace

int main(int aCount, char** aWords)
{
  standins::BlockSignals();
  const standins::Flags flags(aCount, aWords);
  Platform platform(flags.Number("host-lag-ms", 0));
  std::vector<int> ports = { static_cast<int>(flags.Number("port", 7070)) };
  std::istringstream buf(flags.Text("extra-ports", ""));
  std::string port;
  while (std::getline(buf, port, ',')) {
    ports.push_back(std::stoi(port));
  }
  std::vector<std::unique_ptr<httplib::Server>> servers;
  std::vector<std::pair<httplib::Server*, int>> running;
  for (const int it : ports) {
    servers.push_back(std::make_unique<httplib::Server>());
    standins::Prepare(*servers.back());
    platform.Attach(*servers.back(), it);
    running.emplace_back(servers.back().get(), it);
  }
  return standins::RunUntilSignal(running);
}
