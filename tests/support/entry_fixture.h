/// @file
/// An entry daemon with mocked ports and simulated time, and one other daemon.
#pragma once

#include "runtime/entry.h"
#include "runtime/wire_codec.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace hawthornlug::test {

class MockPeers : public PeerPort
{
public:
  MAKE_MOCK1(SetReceiver, void(Receiver), override);
  MAKE_MOCK4(Send, void(const std::string&, wire::Envelope, Delivery, Unsent), override);
  MAKE_MOCK1(IsRefused, bool(const std::string&), override);
};

class MockDaemonView : public DaemonView
{
public:
  MAKE_CONST_MOCK0(Self, DaemonRef(), override);
  MAKE_CONST_MOCK0(Config, std::shared_ptr<const Configuration>(), override);
  MAKE_CONST_MOCK1(FindCell, std::shared_ptr<CellRunner>(const std::string&), override);
  MAKE_CONST_MOCK1(IsLive, bool(const DaemonRef&), override);
  MAKE_CONST_MOCK1(EndpointOf, std::optional<std::string>(const std::string&), override);
  MAKE_CONST_MOCK1(IsIsolated, bool(const std::string&), override);
};

class MockPlatform : public PlatformPort
{
public:
  MAKE_MOCK1(Get, Result<PlatformObject>(const std::string&), override);
  MAKE_MOCK3(Put, Result<Version>(const std::string&, Version, const std::string&), override);
  MAKE_MOCK2(Watch, Result<ObjectChanges>(Version, Duration), override);
  MAKE_MOCK0(Hosts, Result<HostList>(), override);
};

class NoServers : public ServerPortFactory
{
public:
  std::unique_ptr<ServerPort> Make(const ServerAddress&) override { return nullptr; }
};

class InlineWorkers : public WorkerPool
{
public:
  void Post(std::function<void()> aTask) override { aTask(); }
};

class NoSpans : public SpanPort
{
public:
  void Record(const Span&) override {}
};

/// The time advances by a step at each call of Now(), so that timeouts expire without waiting.
class SteppingClock : public TimerService
{
public:
  Instant Now() const override { return mNow += milliseconds(5); }
  void Advance(Duration aTime) { mNow += aTime; }
  std::unique_ptr<TimerSubscription> Every(Duration, std::function<void(Instant)>) override
  {
    return nullptr;
  }

private:
  mutable Instant mNow{ seconds(1) };
};

/// More ticks than happen before any deadline.
constexpr int kMaxTicks = 1000;

/// An entry daemon and one other daemon, which is attached to the only cell.
struct EntryFixture
{
  EntryFixture()
  {
    ServiceConfig service;
    service.name = "s";
    service.shards = 1;
    service.deadline = milliseconds(200);
    auto configuration = std::make_shared<Configuration>();
    configuration->services.push_back(service);
    config = configuration;
    CellObject cell;
    cell.attached = { "d2", 7 };
    cell.shards[0] = { "a", 1, "" };
    routes.Learn("cells/s/y/0", 1, cell);
    using trompeloeil::_;
    allowed.push_back(NAMED_ALLOW_CALL(daemonView, Self()).RETURN(DaemonRef{ "d1", 1 }));
    allowed.push_back(NAMED_ALLOW_CALL(daemonView, Config()).LR_RETURN(config));
    allowed.push_back(NAMED_ALLOW_CALL(daemonView, IsIsolated(_)).LR_RETURN(domainIsolated));
    allowed.push_back(NAMED_ALLOW_CALL(daemonView, IsLive(_)).LR_RETURN(peerLive));
    allowed.push_back(
      NAMED_ALLOW_CALL(daemonView, EndpointOf(_)).RETURN(std::optional<std::string>("tcp://d2")));
    allowed.push_back(NAMED_ALLOW_CALL(daemonView, FindCell(_)).RETURN(nullptr));
  }

  std::shared_ptr<OrderInProgress> Begin(const std::string& aMethod, RequestHandler::Done aDone)
  {
    Order order;
    order.requestId = "r";
    order.service = "s";
    order.key = "k";
    order.method = aMethod;
    return entry.Handle(order, std::move(aDone));
  }

  OrderAnswer Handle(const std::string& aMethod)
  {
    std::optional<OrderAnswer> outcome;
    Begin(aMethod, [&](const OrderAnswer& aAnswer) { outcome = aAnswer; });
    for (int n = 0; n < kMaxTicks && !outcome; ++n) {
      entry.Tick(timers.Now());
    }
    REQUIRE(outcome);
    return *outcome;
  }

  MockPeers peers;
  MockDaemonView daemonView;
  MockPlatform platform;
  NoServers servers;
  InlineWorkers workers;
  NoSpans spans;
  SteppingClock timers;
  EventLog log{ "error" };
  hawthornlug::Metrics metrics;
  ObjectCache cache;
  Services services{ platform, servers, peers,   timers, timers, workers,
                     workers,  log,     metrics, spans,  cache };
  ShardRoutingTable routes;
  PeerCalls calls;
  Attached attached{ services, daemonView, routes };
  Entry entry{ services, daemonView, routes, attached, calls, 0.0 };
  std::shared_ptr<const Configuration> config;
  bool domainIsolated = false;
  bool peerLive = true;
  std::vector<std::unique_ptr<trompeloeil::expectation>> allowed;
};

} // namespace hawthornlug::test
