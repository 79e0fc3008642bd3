/// @file
/// What the entry daemon says of an order after attempts at other daemons, by what is known of each
/// attempt.

#include "tests/support/entry_fixture.h"

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

/// How long a daemon surely remembers an order that it has received.
constexpr Duration kMemory = seconds(30);

/// What the other daemon does with the first attempt.
enum class First
{
  kNone,        ///< There is no first attempt.
  kUnsent,      ///< Nothing is sent.
  kRefused,     ///< It answers that it has not run the order.
  kUnknown,     ///< It answers that the order may have run.
  kNeverAnswer, ///< It seems to stop before it answers.
};
constexpr EnumNames<5> kFirstNames = { "none", "unsent", "refused", "unknown", "never-answer" };

bool MayHaveRun(First aFirst)
{
  return aFirst == First::kUnknown || aFirst == First::kNeverAnswer;
}

wire::OrderAnswer NotRunMessage(Refusal aRefusal)
{
  wire::OrderAnswer message;
  message.set_outcome(static_cast<std::uint32_t>(Outcome::kNotRun));
  message.set_reason(static_cast<std::uint32_t>(aRefusal));
  return message;
}

/// The other daemon: what it does with the first order and with those after it.
struct OtherDaemon
{
  void OnOrder(const wire::Envelope& aMessage, const PeerPort::Unsent& aUnsent)
  {
    const std::uint64_t call = aMessage.order().call();
    if (++orders > 1) {
      next(call, aUnsent);
      return;
    }
    switch (first) {
      case First::kNone:
        next(call, aUnsent);
        break;
      case First::kUnsent:
        aUnsent();
        break;
      case First::kRefused:
        fixture.calls.OnAnswer(call, DecodeAnswer(NotRunMessage(Refusal::kNotMine)));
        break;
      case First::kUnknown:
        fixture.calls.OnAnswer(call, OrderAnswer::Unknown(Refusal::kNoAnswer));
        break;
      case First::kNeverAnswer:
        fixture.peerLive = false;
        break;
    }
    afterFirst();
  }

  EntryFixture& fixture;
  First first = First::kNone;
  std::function<void(std::uint64_t, const PeerPort::Unsent&)> next = {};
  std::function<void()> afterFirst = [] {};
  int orders = 0;
};

} // namespace

TEST_CASE("what another daemon refuses is not run only if no earlier attempt may have run it",
          "[serve][entry]")
{
  using trompeloeil::_;
  const auto first = GENERATE(First::kNone, First::kUnsent, First::kRefused, First::kUnknown);
  const auto refusal = GENERATE(Refusal::kUnknownService,
                                Refusal::kBadRequest,
                                Refusal::kNoRoute,
                                Refusal::kNotMine,
                                Refusal::kNoOwner,
                                Refusal::kOverloaded,
                                Refusal::kDeadline,
                                Refusal::kUnreachable,
                                Refusal::kRefused,
                                Refusal::kDomainOut,
                                Refusal::kDomainIsolated,
                                Refusal::kTombstone,
                                Refusal::kStopping,
                                Refusal::kAbandoned);
  INFO(NameOf(kFirstNames, first) << ", " << NameOf(kRefusalNames, refusal));
  EntryFixture fixture;
  OtherDaemon other{ fixture, first };
  other.next = [&](std::uint64_t aCall, const PeerPort::Unsent&) {
    fixture.calls.OnAnswer(aCall, DecodeAnswer(NotRunMessage(refusal)));
  };
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).LR_SIDE_EFFECT(other.OnOrder(_2, _4));
  const OrderAnswer answer = fixture.Handle("GET");
  CHECK((answer.outcome == Outcome::kNotRun) == !MayHaveRun(first));
  CHECK(answer.refusal == (MayHaveRun(first) ? Refusal::kNoAnswer : refusal));
}

TEST_CASE("an order that finds no way after an attempt is not run only if that may not have run it",
          "[serve][entry]")
{
  using trompeloeil::_;
  struct Row
  {
    std::string name;
    Refusal refusal;
    void (*close)(EntryFixture&);
  };
  const auto first =
    GENERATE(First::kNone, First::kUnsent, First::kRefused, First::kUnknown, First::kNeverAnswer);
  const auto row = GENERATE(values<Row>({
    { "no live daemon",
      Refusal::kNoRoute,
      [](EntryFixture& aFixture) { aFixture.peerLive = false; } },
    { "the domain is isolated",
      Refusal::kDomainIsolated,
      [](EntryFixture& aFixture) { aFixture.domainIsolated = true; } },
    { "nothing can be sent",
      Refusal::kUnreachable,
      [](EntryFixture& aFixture) { aFixture.peerLive = true; } },
  }));
  INFO(NameOf(kFirstNames, first) << ", then " << row.name);
  int looks = 0;
  EntryFixture fixture;
  OtherDaemon other{ fixture, first };
  other.next = [](std::uint64_t, const PeerPort::Unsent& aUnsent) { aUnsent(); };
  if (first == First::kNeverAnswer && row.refusal == Refusal::kUnreachable) {
    // The daemon is seen again after its first order was given up.
    fixture.allowed.push_back(
      NAMED_ALLOW_CALL(fixture.daemonView, IsLive(_)).LR_RETURN(other.orders == 0 || ++looks > 1));
  } else if (first != First::kNone) {
    other.afterFirst = [&] { row.close(fixture); };
  } else {
    row.close(fixture);
  }
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).LR_SIDE_EFFECT(other.OnOrder(_2, _4));
  const OrderAnswer answer = fixture.Handle("GET");
  CHECK((answer.outcome == Outcome::kNotRun) == !MayHaveRun(first));
  CHECK(answer.refusal == (MayHaveRun(first) ? Refusal::kNoAnswer : row.refusal));
}

TEST_CASE("a daemon that contradicts itself does not say that an order is not run",
          "[serve][entry]")
{
  const auto reason =
    GENERATE(Refusal::kNone, Refusal::kNoAnswer, Refusal::kInProgress, Refusal::kNoOwner);
  INFO(NameOf(kRefusalNames, reason));
  const OrderAnswer answer = DecodeAnswer(NotRunMessage(reason));
  CHECK((answer.outcome == Outcome::kNotRun) == (reason == Refusal::kNoOwner));
}

TEST_CASE("an order of an unknown service is not run", "[serve][entry]")
{
  EntryFixture fixture;
  Order order;
  order.service = "t";
  std::optional<OrderAnswer> told;
  fixture.entry.Handle(order, [&](const OrderAnswer& aAnswer) { told = aAnswer; });
  REQUIRE(told);
  CHECK(told->outcome == Outcome::kNotRun);
  CHECK(told->refusal == Refusal::kUnknownService);
}

// A daemon that was stopped for longer than the other one remembers asks about what has run.
TEST_CASE("a daemon's word that it has not seen an order counts only while it remembers all orders",
          "[serve][entry]")
{
  using trompeloeil::_;
  struct Row
  {
    Duration pause;
    Outcome outcome;
  };
  const auto row = GENERATE(values<Row>({
    { Duration::zero(), Outcome::kNotRun },
    { kMemory / 2, Outcome::kNotRun },
    { kMemory, Outcome::kUnknown },
    { kMemory * 2, Outcome::kUnknown },
  }));
  INFO(Millis(row.pause));
  EntryFixture fixture;
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).WITH(_2.has_order()).LR_SIDE_EFFECT({
    fixture.timers.Advance(row.pause);
    fixture.peerLive = false;
  });
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).WITH(_2.has_question()).LR_SIDE_EFFECT({
    fixture.calls.OnAnswer(_2.question().call(), DecodeAnswer(NotRunMessage(Refusal::kTombstone)));
  });
  CHECK(fixture.Handle("POST").outcome == row.outcome);
}

TEST_CASE("metrics count refusals by outcome and reason", "[serve][entry][metrics]")
{
  using trompeloeil::_;
  EntryFixture fixture;
  ALLOW_CALL(fixture.peers, Send(_, _, _, _)).LR_SIDE_EFFECT({
    fixture.calls.OnAnswer(_2.order().call(), DecodeAnswer(NotRunMessage(Refusal::kNoOwner)));
  });
  fixture.Handle("GET");
  const std::string text = fixture.metrics.Text();
  CHECK(text.find("refusals_total{outcome=\"not-run\",reason=\"no-owner\"} 1") !=
        std::string::npos);
}
