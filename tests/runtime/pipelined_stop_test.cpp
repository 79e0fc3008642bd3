/// @file
/// Requests that may run once, pipelined on one connection, while their daemon stops: callers,
/// servers and sockets are real.

#include "adapters/asio_timers.h"
#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/loopback.h"
#include "tests/support/told_ledger.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;
using namespace hawthornlug::testing;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kTick = milliseconds(20);

/// Notes the requests that it runs, and answers them when the test says so.
class NotingServer : public http::Handler
{
public:
  NotingServer(asio::io_context& aContext, ToldLedger& aLedger)
    : mLedger(aLedger)
    , mEndpoint(FreeEndpoint(aContext))
    , mServer(aContext, mEndpoint, *this)
  {
  }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    mLedger.NoteRun(std::string(aExchange->Received().headers.Get("X-Hawthornlug-Attempt-Id")));
    running.push_back(std::move(aExchange));
  }
  void OnBadRequest(int, http::ReadState) override {}

  void AnswerAll()
  {
    for (const auto& it : std::exchange(running, {})) {
      http::Response response;
      response.status = 200;
      response.headers.Add("X-Hawthornlug-Attempt-Id",
                           std::string(it->Received().headers.Get("X-Hawthornlug-Attempt-Id")));
      response.headers.Add("X-Hawthornlug-Server-Seal", "seal");
      it->Respond(std::move(response));
    }
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mEndpoint.port()); }

  std::vector<std::shared_ptr<http::Exchange>> running;

private:
  ToldLedger& mLedger;
  Tcp::endpoint mEndpoint;
  http::Server mServer;
};

std::string IdOf(std::size_t aNumber)
{
  return "r" + std::to_string(aNumber);
}

/// A forwarder between a caller's connection and a server.
class StoppingFixture
{
public:
  StoppingFixture()
    : server(context, ledger)
    , entry(context, mEndpoint, mForwarder)
    , mCaller(context)
  {
    RouteConfig config;
    config.version = 1;
    config.routes = { Rule("unsafe", false) };
    config.services["s"].name = "s";
    mRoutes.Apply(config);
    ServerEntry it;
    it.id = "a";
    it.service = "s";
    it.domain = "here";
    it.address = server.Address();
    it.slots = 64;
    mSelector.Put(it, mTimers.Now());
    mCaller.connect(mEndpoint);
    mCaller.non_blocking(true);
    mTicks = mTimers.Every(kTick, [this](Instant) { mForwarder.Dispatch(); });
  }

  /// Sends the next request, without awaiting the answers to those before it.
  void Send()
  {
    const std::string id = IdOf(sent++);
    ledger.NoteOnce(id);
    asio::error_code ec;
    asio::write(mCaller,
                asio::buffer("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Hawthornlug-Attempt-Id: " +
                             id + "\r\nContent-Length: 0\r\n\r\n"),
                ec);
  }

  /// Reads what has come; returns whether the connection has ended.
  bool HasEnded()
  {
    std::array<char, 4096> buf{};
    asio::error_code ec;
    received.append(buf.data(), mCaller.read_some(asio::buffer(buf), ec));
    return ec && ec != asio::error::would_block;
  }

  bool IsAnswered(std::size_t aNumber) const
  {
    return received.find("X-Hawthornlug-Attempt-Id: " + IdOf(aNumber) + "\r\n") !=
           std::string::npos;
  }

  /// By the protocol, callers take all requests behind a response that closes the connection for
  /// not read.
  void NoteUnread()
  {
    if (received.find("Connection: close") == std::string::npos) {
      return;
    }
    for (std::size_t n = 0; n < sent; ++n) {
      if (!IsAnswered(n)) {
        ledger.NotePromise(IdOf(n), "an answer that closes ahead of it");
      }
    }
  }

  asio::io_context context;
  ToldLedger ledger;
  NotingServer server;

private:
  LoopTimers mTimers{ context };
  RouteTable mRoutes;
  ServerSelector mSelector{ "here" };
  DecisionLog mLog{ "test" };
  Metrics mMetrics;
  platform::BackendCalls mBackends{ context, mLog, mMetrics, {} };
  platform::PlatformCallerHeaders mHeaders;
  NoRanges mRanges;
  ManualTimers mNoticeTimers;
  RecordingNotices mNotices{ mSelector, mNoticeTimers };
  RecordingSpans mSpans;
  FakeQuotas mQuotas;
  Forwarder mForwarder{ { mRoutes,
                          mSelector,
                          mBackends,
                          mHeaders,
                          mRanges,
                          mNotices,
                          mTimers,
                          mLog,
                          mMetrics,
                          mSpans,
                          mQuotas },
                        { 0.2, seconds(10), 58.0 } };
  Tcp::endpoint mEndpoint = FreeEndpoint(context);

public:
  http::Server entry;
  std::string received;
  std::size_t sent = 0;

private:
  Tcp::socket mCaller;
  std::unique_ptr<TimerSubscription> mTicks;
};

} // namespace

// Guards against TWICE: a stop closed the connection ahead of requests that were running.
TEST_CASE("a stop tells no pipelined request that it was not read if it has run",
          "[runtime][forwarder][closing]")
{
  struct Row
  {
    std::string name;
    std::size_t beforeStop;
    /// Sent before the first answer.
    std::size_t afterStop;
    /// Whether the caller sends on behind each answer.
    bool sendsOn;
  };
  const auto row = GENERATE(values<Row>({
    { "one", 1, 0, false },
    { "three", 3, 0, false },
    { "more than are passed on at a time", 20, 0, false },
    { "some sent during the stop", 2, 2, false },
    { "a caller that sends on", 3, 1, true },
  }));
  INFO(row.name);
  constexpr std::size_t kMaxPassedOn = 16;
  StoppingFixture fixture;
  const auto send = [&](std::size_t aTimes) {
    for (std::size_t n = 0; n < aTimes; ++n) {
      fixture.Send();
    }
    const std::size_t running = std::min(fixture.sent, kMaxPassedOn);
    REQUIRE(RunUntil(fixture.context, [&] { return fixture.server.running.size() == running; }));
  };
  send(row.beforeStop);
  fixture.entry.Drain();
  send(row.afterStop);
  const std::size_t passedOn = fixture.server.running.size();
  fixture.server.AnswerAll();
  CHECK(RunUntil(fixture.context, [&] {
    if (row.sendsOn && !fixture.received.empty() && fixture.sent < 100) {
      fixture.Send();
    }
    fixture.server.AnswerAll();
    return fixture.HasEnded();
  }));
  fixture.NoteUnread();
  CHECK(fixture.ledger.Falsehoods().empty());
  for (std::size_t n = 0; n < passedOn; ++n) {
    CHECK(fixture.IsAnswered(n));
  }
  CHECK(RunUntil(fixture.context, [&] { return fixture.entry.IsIdle(); }));
}
