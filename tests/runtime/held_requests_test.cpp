/// @file
/// Tests that no request is held past its route's timeout, whatever it waits for: callers, servers
/// and sockets are real.

#include "adapters/asio_timers.h"
#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;
using namespace hawthornlug::testing;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kTimeout = milliseconds(400);
/// The users' limit for the time past a route's timeout.
constexpr Duration kHeldBound = milliseconds(500);
constexpr Duration kTick = milliseconds(20);

/// A backend server that accepts connections and writes the same bytes to each, if any, whatever it
/// reads.
class MuteServer
{
public:
  MuteServer(asio::io_context& aContext, std::string aBytes)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mBytes(std::move(aBytes))
  {
    Accept();
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  void Accept()
  {
    mAcceptor.async_accept([this](const asio::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      asio::error_code ec;
      asio::write(aSocket, asio::buffer(mBytes), ec);
      mSockets.push_back(std::move(aSocket));
      Accept();
    });
  }

  Tcp::acceptor mAcceptor;
  std::string mBytes;
  std::vector<Tcp::socket> mSockets;
};

/// A forwarder between a caller's connection and a server that never answers to the end.
class HeldFixture
{
public:
  explicit HeldFixture(const std::string& aServerBytes)
    : server(context, aServerBytes)
    , entry(context, endpoint, forwarder)
    , caller(context)
  {
    RouteConfig config;
    config.version = 1;
    for (const bool it : { true, false }) {
      RouteRule rule = Rule(it ? "safe" : "unsafe", it);
      rule.timeout = kTimeout;
      rule.targetLatency = kTimeout / 2;
      config.routes.push_back(rule);
    }
    config.services["s"].name = "s";
    routes.Apply(config);
    ServerEntry it;
    it.id = "a";
    it.service = "s";
    it.domain = "here";
    it.address = server.Address();
    it.slots = 64;
    selector.Put(it, timers.Now());
    caller.connect(endpoint);
    caller.non_blocking(true);
    ticks = timers.Every(kTick, [this](Instant) {
      forwarder.Dispatch();
      forwarder.Hedge();
    });
  }

  void Write(const std::string& aBytes) { asio::write(caller, asio::buffer(aBytes)); }
  void Run(Duration aTime)
  {
    context.restart();
    context.run_for(aTime);
  }
  /// Number of answers so far.
  std::size_t Answers()
  {
    std::array<char, 4096> buf{};
    asio::error_code ec;
    received.append(buf.data(), caller.read_some(asio::buffer(buf), ec));
    std::size_t n = 0;
    for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
      ++n;
    }
    return n;
  }

  asio::io_context context;
  MuteServer server;
  LoopTimers timers{ context };
  RouteTable routes;
  ServerSelector selector{ "here" };
  DecisionLog log{ "test" };
  Metrics metrics;
  platform::BackendCalls backends{ context, log, metrics, {} };
  platform::PlatformCallerHeaders headers;
  NoRanges ranges;
  ManualTimers noticeTimers;
  RecordingNotices notices{ selector, noticeTimers };
  RecordingSpans spans;
  FakeQuotas quotas;
  Forwarder forwarder{
    { routes, selector, backends, headers, ranges, notices, timers, log, metrics, spans, quotas },
    { 0.2, seconds(10), 58.0 }
  };
  Tcp::endpoint endpoint = FreeEndpoint(context);
  http::Server entry;
  Tcp::socket caller;
  std::unique_ptr<TimerSubscription> ticks;
  std::string received;
};

std::string Head(const std::string& aRoute, std::size_t aBodyBytes)
{
  return (aBodyBytes > 0 ? "POST /" : "GET /") + aRoute +
         "/x HTTP/1.1\r\nHost: h\r\nX-Hawthornlug-Attempt-Id: r\r\n"
         "X-Hawthornlug-Deadline-Ms: 5000\r\n" +
         (aBodyBytes > 0 ? "Content-Length: " + std::to_string(aBodyBytes) + "\r\n" : "") + "\r\n";
}

struct HeldCase
{
  const char* name;
  /// What the caller sends at once, and what comes after a part of the timeout.
  std::string first;
  std::string later;
  Duration after;
  /// What the server writes.
  std::string answer;
  std::size_t requests;
};

std::string Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  for (std::size_t n = 0; n < aTimes; ++n) {
    text += aText;
  }
  return text;
}

} // namespace

TEST_CASE("no request is held past its route's timeout", "[runtime][forwarder][held]")
{
  const auto row = GENERATE(values<HeldCase>({
    { "the server is silent", Head("safe", 0), "", {}, "", 1 },
    { "the server is silent, unsafe", Head("unsafe", 3) + "abc", "", {}, "", 1 },
    { "the answer's header does not end",
      Head("safe", 0),
      "",
      {},
      "HTTP/1.1 200 OK\r\nContent-Le",
      1 },
    { "the answer's body does not end",
      Head("safe", 0),
      "",
      {},
      "HTTP/1.1 200 OK\r\nX-Hawthornlug-Attempt-Id: r\r\nContent-Length: 9\r\n\r\nab",
      1 },
    { "the body comes slowly", Head("unsafe", 3) + "a", "bc", milliseconds(350), "", 1 },
    { "the body comes after the timeout",
      Head("unsafe", 3) + "a",
      "bc",
      milliseconds(1100),
      "",
      1 },
    { "the body does not come", Head("unsafe", 3) + "a", "", {}, "", 1 },
    { "behind a few others", Repeated(Head("safe", 0), 4), "", {}, "", 4 },
    { "behind more than are handled at a time", Repeated(Head("safe", 0), 40), "", {}, "", 40 },
  }));
  INFO(row.name);
  HeldFixture fixture(row.answer);
  const auto start = std::chrono::steady_clock::now();
  fixture.Write(row.first);
  bool sentLater = row.later.empty();
  while (fixture.Answers() < row.requests && std::chrono::steady_clock::now() - start < kLongest) {
    fixture.Run(milliseconds(10));
    if (!sentLater && std::chrono::steady_clock::now() - start >= row.after) {
      sentLater = true;
      asio::error_code ec;
      asio::write(fixture.caller, asio::buffer(row.later), ec);
    }
  }
  const Duration elapsed =
    std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
  INFO(Millis(elapsed) << " ms, " << fixture.received.substr(0, 200));
  CHECK(fixture.Answers() == row.requests);
  CHECK(elapsed < kTimeout + kHeldBound);
}
