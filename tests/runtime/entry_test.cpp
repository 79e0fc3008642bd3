/// @file
/// Tests of the path of a request from one daemon to another, with a mocked peer port and simulated
/// time.

#include "runtime/entry.h"
#include "runtime/remote_orders.h"
#include "runtime/wire_codec.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace hawthornlug;

namespace {

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
struct Fixture
{
  Fixture()
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

} // namespace

TEST_CASE("an order names the incarnation of the daemon that it is sent to", "[runtime]")
{
  using trompeloeil::_;
  Fixture fixture;
  wire::Envelope sent;
  REQUIRE_CALL(fixture.peers, Send("tcp://d2", _, Delivery::kNowOrNever, _))
    .LR_SIDE_EFFECT(sent = _2)
    .LR_SIDE_EFFECT({
      OrderAnswer answer;
      answer.outcome = Outcome::kDone;
      answer.status = 201;
      fixture.calls.OnAnswer(_2.order().call(), answer);
    });
  const OrderAnswer answer = fixture.Handle("POST");
  CHECK(answer.outcome == Outcome::kDone);
  CHECK(answer.status == 201);
  CHECK(sent.to_incarnation() == 7);
  CHECK(sent.order().request_id() == "r");
}

TEST_CASE("a non-repeatable order is sent once, and then its outcome is asked for", "[runtime]")
{
  using trompeloeil::_;
  Fixture fixture;
  struct Row
  {
    OrderAnswer reply;
    Outcome outcome;
  };
  const auto row = GENERATE(values<Row>({
    { OrderAnswer::NotRun(Refusal::kTombstone), Outcome::kNotRun },
    { OrderAnswer::Unknown(Refusal::kInProgress), Outcome::kUnknown },
  }));
  trompeloeil::sequence sequence;
  REQUIRE_CALL(fixture.peers, Send(_, _, Delivery::kNowOrNever, _))
    .WITH(_2.has_order())
    .IN_SEQUENCE(sequence);
  REQUIRE_CALL(fixture.peers, Send(_, _, Delivery::kSoon, _))
    .WITH(_2.has_question())
    .IN_SEQUENCE(sequence)
    .LR_SIDE_EFFECT(fixture.calls.OnAnswer(_2.question().call(), row.reply));
  CHECK(fixture.Handle("POST").outcome == row.outcome);
}

TEST_CASE("an answer that arrives after its daemon seemed to have stopped still reaches the caller",
          "[runtime]")
{
  using trompeloeil::_;
  Fixture fixture;
  std::uint64_t order = 0;
  OrderAnswer late;
  late.outcome = Outcome::kDone;
  late.status = 201;
  ALLOW_CALL(fixture.peers, Send(_, _, Delivery::kNowOrNever, _))
    .WITH(_2.has_order())
    .LR_SIDE_EFFECT(order = _2.order().call())
    .LR_SIDE_EFFECT(fixture.peerLive = false);
  ALLOW_CALL(fixture.peers, Send(_, _, Delivery::kSoon, _))
    .WITH(_2.has_question())
    .LR_SIDE_EFFECT(
      fixture.calls.OnAnswer(_2.question().call(), OrderAnswer::Unknown(Refusal::kInProgress)))
    .LR_SIDE_EFFECT(fixture.calls.OnAnswer(order, late));
  const OrderAnswer answer = fixture.Handle("POST");
  CHECK(answer.outcome == Outcome::kDone);
  CHECK(answer.status == 201);
}

TEST_CASE("an order that has been received is in progress before it is started", "[runtime]")
{
  Fixture fixture;
  CHECK_FALSE(fixture.attached.Accept("r", false));
  CHECK(fixture.attached.Ask("r").refusal == Refusal::kInProgress);
  CHECK(fixture.attached.Accept("r", false)->refusal == Refusal::kInProgress);
  CHECK(fixture.attached.Ask("never-seen").refusal == Refusal::kTombstone);
  CHECK(fixture.attached.Accept("never-seen", false)->refusal == Refusal::kTombstone);
  CHECK_FALSE(fixture.attached.Accept("repeatable", true));
  CHECK_FALSE(fixture.attached.Accept("repeatable", true));
}

TEST_CASE("an order that was certainly not sent is not run", "[runtime]")
{
  using trompeloeil::_;
  Fixture fixture;
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).SIDE_EFFECT(_4());
  const std::string method = GENERATE("GET", "POST");
  const OrderAnswer answer = fixture.Handle(method);
  CHECK(answer.outcome == Outcome::kNotRun);
  CHECK(answer.refusal == Refusal::kUnreachable);
}

TEST_CASE("a key of an isolated failure domain is refused at once", "[runtime]")
{
  Fixture fixture;
  fixture.domainIsolated = true;
  const OrderAnswer answer = fixture.Handle("POST");
  CHECK(answer.outcome == Outcome::kNotRun);
  CHECK(answer.refusal == Refusal::kDomainIsolated);
}

TEST_CASE("nothing is sent to a daemon that is believed to have stopped", "[runtime]")
{
  Fixture fixture;
  fixture.peerLive = false;
  CHECK(fixture.Handle("POST").refusal == Refusal::kNoRoute);
}

TEST_CASE("an answer that arrives after its call has ended is ignored", "[runtime]")
{
  PeerCalls calls;
  int answered = 0;
  const auto count = [&](CallResult aResult, const OrderAnswer&) {
    answered += aResult == CallResult::kAnswered ? 1 : 0;
  };
  const std::uint64_t first = calls.Begin(count);
  calls.Cancel(first);
  const std::uint64_t second = calls.Begin(count);
  OrderAnswer answer;
  answer.status = 1;
  calls.OnAnswer(first, answer);
  CHECK(answered == 0);
  calls.OnAnswer(second, answer);
  CHECK(answered == 1);
  calls.OnAnswer(second, answer);
  CHECK(answered == 1);
}

TEST_CASE("the daemon that has received an order is notified when its caller disconnects",
          "[runtime]")
{
  using trompeloeil::_;
  Fixture fixture;
  std::uint64_t order = 0;
  std::uint64_t abandoned = 0;
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).WITH(_2.has_order()).LR_SIDE_EFFECT({
    order = _2.order().call();
  });
  REQUIRE_CALL(fixture.peers, Send("tcp://d2", _, Delivery::kNowOrNever, _))
    .WITH(_2.has_order_abandoned() && _2.to_incarnation() == 7)
    .LR_SIDE_EFFECT(abandoned = _2.order_abandoned().call());
  int answered = 0;
  const auto progress = fixture.Begin("GET", [&](const OrderAnswer&) { ++answered; });
  progress->Abandon();
  CHECK(abandoned == order);
  // An abandoned order is not tried again, whatever its answer.
  fixture.calls.OnAnswer(order, OrderAnswer::Unknown(Refusal::kNoAnswer));
  CHECK(answered == 1);
}

TEST_CASE("an order of another daemon can be abandoned by its call id while it is in progress",
          "[runtime]")
{
  class Progress : public OrderInProgress
  {
  public:
    void Abandon() override { ++abandoned; }
    int abandoned = 0;
  };
  const DaemonRef from{ "d1", 1 };
  const auto progress = std::make_shared<Progress>();
  RemoteOrders orders;
  orders.Begin(from, 5);
  orders.Abandon(from, 5);
  CHECK(progress->abandoned == 0);
  orders.Set(from, 5, progress);
  orders.Abandon({ "d1", 2 }, 5);
  orders.Abandon(from, 6);
  CHECK(progress->abandoned == 0);
  orders.Abandon(from, 5);
  CHECK(progress->abandoned == 1);
  orders.End(from, 5);
  orders.Set(from, 5, progress);
  orders.Abandon(from, 5);
  CHECK(progress->abandoned == 1);
}

TEST_CASE("an order is the same after encoding and decoding", "[runtime]")
{
  Order order;
  order.requestId = "r";
  order.service = "s";
  order.key = "k";
  order.method = "PATCH";
  order.target = "/s/k/x?y=1";
  order.headers = { { "A", "1" }, { "B", "2" } };
  order.body = std::string("\0\xff", 2);
  order.caller = "c";
  order.repeatable = true;
  order.trace = TraceContext::Make(true);
  const Instant sent{ seconds(5) };
  order.deadline = sent + milliseconds(300);
  wire::Order message;
  EncodeOrder(order, sent, message);
  // The receiver's clock is independent of the sender's.
  const Instant received{ seconds(900) };
  const Order read = DecodeOrder(message, received);
  CHECK(read.deadline == received + milliseconds(300));
  CHECK(read.body == order.body);
  CHECK(read.target == order.target);
  CHECK(read.headers.size() == 2);
  CHECK(read.trace.Header() == order.trace.Header());
  CHECK(read.repeatable);
}
