/// @file
/// Tests of the path of a request from one daemon to another, with a mocked peer port and simulated
/// time.

#include "runtime/remote_orders.h"
#include "tests/support/entry_fixture.h"

using namespace hawthornlug;
using namespace hawthornlug::test;

using Fixture = EntryFixture;

TEST_CASE("an order names the incarnation of the daemon that it is sent to", "[runtime]")
{
  using trompeloeil::_;
  Fixture fixture;
  wire::Envelope sent;
  REQUIRE_CALL(fixture.peers, Send("tcp://d2", _, Delivery::kNowOrNever, _))
    .LR_SIDE_EFFECT(sent = _2)
    .LR_SIDE_EFFECT({
      OrderAnswer answer;
      answer.outcome = StatedOutcome::Done();
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
    { RefuseUnsent(Refusal::kTombstone), Outcome::kNotRun },
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
  late.outcome = StatedOutcome::Done();
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
