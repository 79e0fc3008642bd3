/// @file
/// The whole way of a request over real sockets, for tests of what callers are told: a caller, the
/// forwarder with its server and its client, and backend servers on another thread.
#pragma once

#include "adapters/asio_timers.h"
#include "core/key_digest.h"
#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/loopback.h"
#include "tests/support/scripted_server.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// How long a server may still run what its caller was told of.
inline constexpr Duration kAfterwards = milliseconds(200);

inline constexpr std::string_view kCallersKey = "key-of-acme";

/// What a caller states with its request.
struct CallerRequest
{
  bool idempotent = false;
  std::string id = "r1";
  std::size_t bodyBytes = 0;
  Duration deadline = seconds(3);
};

/// Header of a request in the wire's form.
inline std::string HeadOf(const CallerRequest& aRequest)
{
  return std::string(aRequest.bodyBytes > 0 ? "POST" : "GET") +
         (aRequest.idempotent ? " /safe/x" : " /unsafe/x") + " HTTP/1.1\r\nHost: h\r\n" +
         "X-Hawthornlug-Attempt-Id: " + aRequest.id +
         "\r\nX-Hawthornlug-Key: " + std::string(kCallersKey) +
         "\r\nX-Hawthornlug-Deadline-Ms: " + std::to_string(Millis(aRequest.deadline)) + "\r\n" +
         "Content-Length: " + std::to_string(aRequest.bodyBytes) + "\r\n\r\n";
}

inline std::string BytesOf(const CallerRequest& aRequest)
{
  return HeadOf(aRequest) + std::string(aRequest.bodyBytes, 'x');
}

/// The connection of one caller, which notes what it is told.
class PromiseCaller
{
public:
  PromiseCaller(asio::io_context& aContext,
                const asio::ip::tcp::endpoint& aEndpoint,
                ScriptedServers& aServers)
    : mSocket(aContext)
    , mServers(aServers)
  {
    mSocket.connect(aEndpoint);
    mSocket.non_blocking(true);
  }

  /// States that the next answer is the one to request @p aRequest.
  void Expect(const CallerRequest& aRequest)
  {
    mIds.push_back(aRequest.id);
    if (!aRequest.idempotent) {
      mServers.NoteOnce(aRequest.id);
    }
  }
  void Write(const std::string& aBytes)
  {
    mUnwritten += aBytes;
    Poll();
  }
  void Send(const CallerRequest& aRequest)
  {
    Expect(aRequest);
    Write(BytesOf(aRequest));
  }
  /// Writes and reads what is possible without waiting.
  void Poll()
  {
    asio::error_code ec;
    while (!mUnwritten.empty() && !ec) {
      mUnwritten.erase(0, mSocket.write_some(asio::buffer(mUnwritten), ec));
    }
    ec.clear();
    std::array<char, 4096> buf{};
    while (!ec) {
      const std::size_t n = mSocket.read_some(asio::buffer(buf), ec);
      mReader.Append({ buf.data(), n });
      while (mReader.Advance() == http::ReadState::kComplete) {
        Note(mReader.TakeResponse());
      }
    }
    closed = closed || (ec && ec != asio::error::would_block);
  }
  void Close()
  {
    asio::error_code ec;
    mSocket.close(ec);
  }

  std::vector<http::Response> answers;
  bool closed = false;

private:
  void Note(http::Response aResponse)
  {
    if (!mIds.empty()) {
      mServers.NoteStatus(mIds.front(), aResponse.status);
      mIds.pop_front();
    }
    answers.push_back(std::move(aResponse));
  }

  asio::ip::tcp::socket mSocket;
  ScriptedServers& mServers;
  std::deque<std::string> mIds;
  std::string mUnwritten;
  http::MessageReader mReader{ http::MessageReader::Mode::kResponses, http::ReadLimits() };
};

/// Two routes, "safe" and "unsafe", to servers that work on one script.
class PromiseFixture
{
public:
  explicit PromiseFixture(unsigned aServers,
                          std::vector<Step> aScript,
                          Accepting aAccepting = Accepting::kServe,
                          const AnswerLimits& aLimits = {})
    : servers(aServers, std::move(aScript), aAccepting)
    , backends(context, log, metrics, aLimits)
    , entry(context, endpoint, forwarder)
  {
    config.version = 1;
    for (const bool it : { true, false }) {
      RouteRule rule = Rule(it ? "safe" : "unsafe", it);
      rule.maxAttempts = 3;
      rule.timeout = seconds(4);
      config.routes.push_back(rule);
    }
    config.services["s"].name = "s";
    routes.Apply(config);
    noticeTimers.now = timers.Now();
    for (unsigned n = 0; n < aServers; ++n) {
      Register(ScriptedServers::IdOf(n), servers.Address(n));
    }
    ticks = timers.Every(milliseconds(10), [this](Instant) {
      forwarder.Dispatch();
      forwarder.Hedge();
    });
  }

  void Register(const std::string& aId, const std::string& aAddress, unsigned aSlots = 8)
  {
    ServerEntry it;
    it.id = aId;
    it.service = "s";
    it.domain = "here";
    it.address = aAddress;
    it.slots = aSlots;
    selector.Put(it, timers.Now());
  }
  void Unregister(const std::string& aId) { selector.Remove(aId, timers.Now()); }
  /// From now on, callers need the key of an organisation, which theirs state; see quotas.
  void RequireKeys()
  {
    ++config.version;
    config.authenticates = true;
    config.organisations["acme"] = { "acme", { DigestOf(std::string(kCallersKey)) }, {}, 0.0, 0.0 };
    routes.Apply(config);
  }
  PromiseCaller& NewCaller()
  {
    callers.push_back(std::make_unique<PromiseCaller>(context, endpoint, servers));
    return *callers.back();
  }
  /// Whether a metric has been counted.
  bool Counted(const std::string& aMetric) const
  {
    return metrics.Text().find(aMetric) != std::string::npos;
  }
  /// Does what is possible without waiting.
  void Poll()
  {
    context.restart();
    context.poll();
    PollCallers();
  }
  void Run(Duration aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    testing::RunUntil(context, [&] {
      PollCallers();
      return std::chrono::steady_clock::now() >= end;
    });
  }
  template<typename F>
  bool Until(F aDone)
  {
    return testing::RunUntil(context, [&] {
      PollCallers();
      return aDone();
    });
  }
  /// Sends a request on a new connection and returns the status of its answer; 0 for none.
  int Ask(const CallerRequest& aRequest)
  {
    PromiseCaller& caller = NewCaller();
    caller.Send(aRequest);
    return AwaitAnswer(caller);
  }
  int AwaitAnswer(PromiseCaller& aCaller)
  {
    const std::size_t n = aCaller.answers.size();
    Until([&] { return aCaller.answers.size() > n || aCaller.closed; });
    return aCaller.answers.size() > n ? aCaller.answers[n].status : 0;
  }
  /// Leaves the first server one slot, and gives it a request.
  void OccupyServer()
  {
    Register(ScriptedServers::IdOf(0), servers.Address(0), 1);
    const std::size_t arrived = servers.Arrived();
    NewCaller().Send({ false, "other" });
    REQUIRE(Until([&] { return servers.Arrived() > arrived; }));
  }
  /// Runs single handlers of the loop until a server has accepted more than @p aBefore connections.
  void StepUntilAccepted(std::size_t aBefore)
  {
    const auto end = std::chrono::steady_clock::now() + testing::kLongest;
    while (servers.Accepted() <= aBefore && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.poll_one();
    }
  }
  /// The status of the first answer to a caller; waits for it. 0 for none.
  int AwaitFirst(PromiseCaller& aCaller)
  {
    Until([&] { return !aCaller.answers.empty() || aCaller.closed; });
    return aCaller.answers.empty() ? 0 : aCaller.answers.front().status;
  }
  /// Keeps the daemon's loop from running.
  static void HoldUp(Duration aTime) { std::this_thread::sleep_for(aTime); }

  asio::io_context context;
  ScriptedServers servers;
  LoopTimers timers{ context };
  RouteConfig config;
  RouteTable routes;
  ServerSelector selector{ "here" };
  DecisionLog log{ "test" };
  Metrics metrics;
  platform::BackendCalls backends;
  platform::PlatformCallerHeaders headers;
  NoRanges ranges;
  /// The time at which notices are put into effect.
  ManualTimers noticeTimers;
  RecordingNotices notices{ selector, noticeTimers };
  RecordingSpans spans;
  FakeQuotas quotas;
  Forwarder forwarder{
    { routes, selector, backends, headers, ranges, notices, timers, log, metrics, spans, quotas },
    { 0.2, seconds(10), 58.0 }
  };
  asio::ip::tcp::endpoint endpoint = testing::FreeEndpoint(context);
  http::Server entry;
  std::vector<std::unique_ptr<PromiseCaller>> callers;
  std::unique_ptr<TimerSubscription> ticks;

private:
  void PollCallers()
  {
    for (const auto& it : callers) {
      it->Poll();
    }
  }
};

/// Runs all fixtures side by side until @p aDone holds, or for testing::kLongest.
template<typename F>
void RunAllUntil(std::deque<PromiseFixture>& aFixtures, F aDone)
{
  const auto end = std::chrono::steady_clock::now() + testing::kLongest;
  while (!aDone() && std::chrono::steady_clock::now() < end) {
    for (PromiseFixture& it : aFixtures) {
      it.Poll();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

inline void RunAllFor(std::deque<PromiseFixture>& aFixtures, Duration aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  RunAllUntil(aFixtures, [&] { return std::chrono::steady_clock::now() >= end; });
}

/// Checks that no caller was told what isn't true, and that no promise had to be held back.
inline void CheckTold(const PromiseFixture& aFixture)
{
  for (const std::string& it : aFixture.servers.Falsehoods()) {
    FAIL_CHECK(it);
  }
  CHECK_FALSE(aFixture.Counted("false_promises_total"));
}

} // namespace hawthornlug::test
