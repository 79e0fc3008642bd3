/// @file
/// Stand-in for a backend server: takes fenced grants and orders, keeps a ledger.
///
/// Flags: --id TEXT, --port N, --slots N, --fencing checked|unchecked, --ledger FILE,
/// --work-us N (time of an order), --probe-us N, --connect-us N, --cold-orders N (orders until
/// warm), --load-lag-ms N, --fail-cold 0|1 (whether overload while cold costs a pause).
/// GET /ledger, POST /fault {"latency_ms","shed","cold"}, POST /_/drain, GET /load, GET /health.

#include "tests/standins/flags.h"
#include "tests/standins/http_listener.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace {

using nlohmann::json;

/// How long a server that leaves waits for its shards to be moved off.
constexpr std::chrono::seconds kLongestLeave{ 10 };

std::int64_t NowMicros()
{
  std::timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

std::uint64_t NumberOf(const httplib::Request& aRequest, const char* aName)
{
  const std::string text = aRequest.get_header_value(aName);
  return text.empty() ? 0 : std::stoull(text);
}

/// The document as text; what is no UTF-8 in it is replaced.
std::string Text(const json& aDocument)
{
  return aDocument.dump(-1, ' ', false, json::error_handler_t::replace);
}

class BackendServer
{
public:
  explicit BackendServer(const standins::Flags& aFlags);

  void Attach(httplib::Server& aServer);
  /// Says that it leaves and serves on until it has no shards, or until it has waited too long.
  void Leave();

private:
  void Fence(const json& aBody, httplib::Response& aResponse);
  void Grants(const json& aBody, httplib::Response& aResponse);
  void Probe(const json& aBody, httplib::Response& aResponse);
  void Run(const httplib::Request& aRequest, httplib::Response& aResponse);
  const char* WhyRefuse(const httplib::Request& aRequest) const;
  void Commit(const httplib::Request& aRequest, httplib::Response& aResponse);
  void GreetConnection(int aPort);
  json Reply() const;
  static void Refuse(const char* aWhy,
                     const httplib::Request& aRequest,
                     httplib::Response& aResponse);

  const std::string mId;
  const bool mChecked;
  const std::uint32_t mSlots;
  const std::int64_t mWorkUs;
  const std::int64_t mProbeUs;
  const std::int64_t mConnectUs;
  const std::int64_t mColdOrders;
  const std::int64_t mLoadLagMs;
  const std::uint64_t mIncarnation;
  /// The server's clock has its own zero.
  const std::int64_t mClockOffset = 1000000000;

  std::mutex mMutex;
  std::pair<std::uint64_t, std::uint64_t> mLastCall;
  std::int64_t mLeaseUntil = 0;
  std::map<std::uint32_t, std::uint64_t> mGrants;
  /// The highest epoch of each shard that was ever granted; a later daemon asks for it.
  std::map<std::uint32_t, std::uint64_t> mHighest;
  std::uint32_t mRunning = 0;
  std::int64_t mColdLeft = 0;
  bool mDraining = false;
  bool mLeaving = false;
  /// Requests whose answers are not written yet.
  std::atomic<int> mUnwritten{ 0 };
  std::int64_t mFaultLatencyMs = 0;
  bool mFaultShed = false;
  std::set<std::string> mCancelled;
  /// Told when work that is under way is to be dropped.
  std::condition_variable mDropped;
  std::set<int> mPorts;
  json mLedger = json::array();
  std::map<std::string, std::uint64_t> mSequences;
  std::map<std::string, std::uint64_t> mCounters;
  std::deque<std::pair<std::int64_t, std::uint32_t>> mLoads;
  std::FILE* mLedgerFile = nullptr;
};

BackendServer::BackendServer(const standins::Flags& aFlags)
  : mId(aFlags.Text("id", "server"))
  , mChecked(aFlags.Text("fencing", "checked") == "checked")
  , mSlots(static_cast<std::uint32_t>(aFlags.Number("slots", 3)))
  , mWorkUs(aFlags.Number("work-us", 2000))
  , mProbeUs(aFlags.Number("probe-us", 6000))
  , mConnectUs(aFlags.Number("connect-us", 1000))
  , mColdOrders(aFlags.Number("cold-orders", 0))
  , mLoadLagMs(aFlags.Number("load-lag-ms", 2000))
  , mIncarnation(static_cast<std::uint64_t>(NowMicros()))
  , mColdLeft(mColdOrders)
{
  const std::string file = aFlags.Text("ledger", "");
  if (!file.empty()) {
    mLedgerFile = std::fopen(file.c_str(), "ae");
  }
}

json BackendServer::Reply() const
{
  return { { "incarnation", mIncarnation },
           { "clock_us", NowMicros() + mClockOffset },
           { "draining", mLeaving || mDraining } };
}

void BackendServer::Refuse(const char* aWhy,
                           const httplib::Request& aRequest,
                           httplib::Response& aResponse)
{
  aResponse.set_header("Hawthornlug-Request-Id",
                       aRequest.get_header_value("Hawthornlug-Request-Id"));
  const bool shed = std::string(aWhy) == "shed";
  aResponse.status = shed ? 503 : 409;
  aResponse.set_header("Hawthornlug-Refused", aWhy);
}

void BackendServer::GreetConnection(int aPort)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mPorts.insert(aPort).second) {
      return;
    }
    ++mCounters["connections"];
  }
  std::this_thread::sleep_for(std::chrono::microseconds(mConnectUs));
}

void BackendServer::Fence(const json& aBody, httplib::Response& aResponse)
{
  const std::pair call{ aBody["token"].get<std::uint64_t>(), aBody["number"].get<std::uint64_t>() };
  const std::lock_guard lock(mMutex);
  if (call <= mLastCall) {
    aResponse.status = 409;
    return;
  }
  mLastCall = call;
  json grants = json::array();
  for (const auto& [shard, epoch] : mHighest) {
    grants.push_back(json::array({ shard, epoch }));
  }
  mGrants.clear();
  mLeaseUntil = 0;
  json reply = Reply();
  reply["grants"] = grants;
  aResponse.set_content(reply.dump(), "application/json");
}

void BackendServer::Grants(const json& aBody, httplib::Response& aResponse)
{
  const std::pair call{ aBody["token"].get<std::uint64_t>(), aBody["number"].get<std::uint64_t>() };
  const std::lock_guard lock(mMutex);
  if (aBody["incarnation"].get<std::uint64_t>() != mIncarnation) {
    aResponse.status = 412;
    aResponse.set_content(Reply().dump(), "application/json");
    return;
  }
  if (call <= mLastCall || call.first != mLastCall.first) {
    aResponse.status = 409;
    return;
  }
  mLastCall = call;
  mLeaseUntil = aBody["until_us"].get<std::int64_t>();
  for (const json& it : aBody["remove"]) {
    mGrants.erase(it.get<std::uint32_t>());
  }
  for (const json& it : aBody["add"]) {
    const auto shard = it[0].get<std::uint32_t>();
    const auto epoch = it[1].get<std::uint64_t>();
    mGrants[shard] = epoch;
    mHighest[shard] = std::max(mHighest[shard], epoch);
  }
  aResponse.set_content(Reply().dump(), "application/json");
}

void BackendServer::Probe(const json& aBody, httplib::Response& aResponse)
{
  const std::uint64_t expected = aBody.value("incarnation", mIncarnation);
  aResponse.status = expected == mIncarnation ? 200 : 412;
  aResponse.set_content(Reply().dump(), "application/json");
}

const char* BackendServer::WhyRefuse(const httplib::Request& aRequest) const
{
  const std::int64_t now = NowMicros() + mClockOffset;
  if (now > static_cast<std::int64_t>(NumberOf(aRequest, "Hawthornlug-Deadline"))) {
    return "late";
  }
  if (mCancelled.count(aRequest.get_header_value("Hawthornlug-Request-Id")) != 0) {
    return "cancelled";
  }
  if (!mChecked) {
    return nullptr;
  }
  if (NumberOf(aRequest, "Hawthornlug-Incarnation") != mIncarnation) {
    return "incarnation";
  }
  if (NumberOf(aRequest, "Hawthornlug-Token") != mLastCall.first) {
    return "token";
  }
  const auto grant =
    mGrants.find(static_cast<std::uint32_t>(NumberOf(aRequest, "Hawthornlug-Shard")));
  const bool granted = now < mLeaseUntil && grant != mGrants.end() &&
                       grant->second == NumberOf(aRequest, "Hawthornlug-Epoch");
  return granted ? nullptr : "no-grant";
}

void BackendServer::Run(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::int64_t workUs = mWorkUs;
  {
    const std::lock_guard lock(mMutex);
    const char* why = WhyRefuse(aRequest);
    if (why == nullptr && mDraining) {
      why = "draining";
    }
    const bool cold = mColdLeft > 0;
    const bool full = mRunning >= (cold ? 1 : mSlots);
    if (why == nullptr && (mFaultShed || full)) {
      why = "shed";
      ++mCounters[cold ? "cold_overloads" : "overloads"];
    }
    if (why != nullptr) {
      ++mCounters[why];
      Refuse(why, aRequest, aResponse);
      return;
    }
    ++mRunning;
    mCounters["most_running"] = std::max<std::uint64_t>(mCounters["most_running"], mRunning);
    mLoads.emplace_back(NowMicros(), mRunning);
    workUs += mFaultLatencyMs * 1000 + (cold ? 4 * mWorkUs : 0);
  }
  std::unique_lock lock(mMutex);
  const std::string id = aRequest.get_header_value("Hawthornlug-Request-Id");
  mDropped.wait_for(
    lock, std::chrono::microseconds(workUs), [&] { return mCancelled.count(id) != 0; });
  --mRunning;
  // The grant must still live when the work takes effect.
  const char* why = WhyRefuse(aRequest);
  if (why != nullptr) {
    ++mCounters[why];
    Refuse(why, aRequest, aResponse);
    return;
  }
  Commit(aRequest, aResponse);
}

void BackendServer::Commit(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  mColdLeft = std::max<std::int64_t>(0, mColdLeft - 1);
  const std::string id = aRequest.get_header_value("Hawthornlug-Request-Id");
  const std::string key = aRequest.get_header_value("Hawthornlug-Key");
  const bool read = aRequest.method == "GET" || aRequest.method == "HEAD";
  const std::uint64_t epoch = NumberOf(aRequest, "Hawthornlug-Epoch");
  const std::uint64_t sequence = read ? mSequences[key] : ++mSequences[key];
  const json entry = { { "request_id", id },
                       { "service", aRequest.get_header_value("Hawthornlug-Service") },
                       { "key", key },
                       { "epoch", epoch },
                       { "method", aRequest.method } };
  ++mCounters["served"];
  if (!read) {
    mLedger.push_back(entry);
    if (mLedgerFile != nullptr) {
      const std::string line = Text(entry) + "\n";
      std::fwrite(line.data(), 1, line.size(), mLedgerFile);
      std::fflush(mLedgerFile);
    }
  }
  aResponse.set_header("Hawthornlug-Request-Id", id);
  const json answer = { { "server", mId },
                        { "key", key },
                        { "epoch", epoch },
                        { "sequence", sequence },
                        { "method", aRequest.method },
                        { "echo", aRequest.body.size() },
                        { "request_id", id } };
  aResponse.set_content(Text(answer) + "\n", "application/json");
}

void BackendServer::Leave()
{
  const auto isDone = [this] {
    const std::lock_guard lock(mMutex);
    mLeaving = true;
    const bool lapsed = NowMicros() + mClockOffset >= mLeaseUntil;
    return (mGrants.empty() || lapsed) && mUnwritten == 0;
  };
  const auto end = std::chrono::steady_clock::now() + kLongestLeave;
  while (!isDone() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void BackendServer::Attach(httplib::Server& aServer)
{
  aServer.set_pre_routing_handler([this](const httplib::Request&, httplib::Response&) {
    ++mUnwritten;
    return httplib::Server::HandlerResponse::Unhandled;
  });
  aServer.set_logger([this](const httplib::Request&, const httplib::Response&) { --mUnwritten; });
  const auto control = [this](void (BackendServer::*aCall)(const json&, httplib::Response&)) {
    return [this, aCall](const httplib::Request& aRequest, httplib::Response& aResponse) {
      GreetConnection(aRequest.remote_port);
      std::this_thread::sleep_for(std::chrono::microseconds(mProbeUs));
      (this->*aCall)(json::parse(aRequest.body), aResponse);
    };
  };
  aServer.Post("/_/fence", control(&BackendServer::Fence));
  aServer.Post("/_/grants", control(&BackendServer::Grants));
  aServer.Post("/_/probe", control(&BackendServer::Probe));
  aServer.Post("/_/cancel", [this](const httplib::Request& aRequest, httplib::Response&) {
    const std::lock_guard lock(mMutex);
    mCancelled.insert(json::parse(aRequest.body)["request_id"].get<std::string>());
    mDropped.notify_all();
  });
  aServer.Post("/_/drain", [this](const httplib::Request&, httplib::Response&) {
    const std::lock_guard lock(mMutex);
    mDraining = true;
  });
  aServer.Post("/fault", [this](const httplib::Request& aRequest, httplib::Response&) {
    const json body = json::parse(aRequest.body);
    const std::lock_guard lock(mMutex);
    mFaultLatencyMs = body.value("latency_ms", mFaultLatencyMs);
    mFaultShed = body.value("shed", mFaultShed);
    if (body.value("cold", false)) {
      mColdLeft = std::max<std::int64_t>(mColdOrders, 1);
    }
  });
  aServer.Get("/ledger", [this](const httplib::Request&, httplib::Response& aResponse) {
    const std::lock_guard lock(mMutex);
    aResponse.set_content(mLedger.dump(), "application/json");
  });
  aServer.Get("/counters", [this](const httplib::Request&, httplib::Response& aResponse) {
    const std::lock_guard lock(mMutex);
    json doc = mCounters;
    doc["incarnation"] = mIncarnation;
    doc["cold"] = mColdLeft > 0;
    doc["grants"] = mGrants.size();
    doc["cancelled"] = mCancelled.size();
    aResponse.set_content(doc.dump(), "application/json");
  });
  aServer.Get("/health", [this](const httplib::Request&, httplib::Response& aResponse) {
    std::this_thread::sleep_for(std::chrono::microseconds(mProbeUs));
    aResponse.set_content("{\"state\":\"warm\"}", "application/json");
  });
  aServer.Get("/load", [this](const httplib::Request&, httplib::Response& aResponse) {
    const std::lock_guard lock(mMutex);
    std::uint32_t shown = 0;
    while (!mLoads.empty() && mLoads.front().first <= NowMicros() - mLoadLagMs * 1000) {
      shown = mLoads.front().second;
      mLoads.pop_front();
    }
    aResponse.set_content(json{ { "running", shown } }.dump(), "application/json");
  });
  const auto run = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    GreetConnection(aRequest.remote_port);
    Run(aRequest, aResponse);
  };
  aServer.Get("/.*", run);
  aServer.Post("/.*", run);
  aServer.Put("/.*", run);
  aServer.Patch("/.*", run);
  aServer.Delete("/.*", run);
  aServer.Options("/.*", run);
}

} // namespace

int main(int aCount, char** aWords)
{
  standins::BlockSignals();
  const standins::Flags flags(aCount, aWords);
  BackendServer backend(flags);
  httplib::Server server;
  standins::Prepare(server, static_cast<std::size_t>(flags.Number("threads", 32)));
  backend.Attach(server);
  return standins::RunUntilSignal({ { &server, static_cast<int>(flags.Number("port", 9000)) } },
                                  [&] {
                                    backend.Leave();
                                    // The listener would wait for connections that are idle.
                                    std::_Exit(0);
                                  });
}
