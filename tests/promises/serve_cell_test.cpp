/// @file
/// What the attached daemon's cell says of an order that it has sent, whatever refuses it
/// afterwards.

#include "runtime/cell_runner.h"
#include "tests/support/manual_timers.h"
#include "tests/support/told_ledger.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr Duration kDeadline = seconds(10);
constexpr ShardId kShard = 0;
constexpr std::size_t kQueueLimit = 256;
constexpr std::size_t kHeldLimit = 2048;
const DaemonRef kSelf{ "d1", 1 };

class MemoryPlatform : public PlatformPort
{
public:
  Result<PlatformObject> Get(const std::string&) override
  {
    return leaf::new_error(PlatformError::kNotFound);
  }
  Result<Version> Put(const std::string&, Version aExpected, const std::string&) override
  {
    return aExpected + 1;
  }
  Result<ObjectChanges> Watch(Version, Duration) override { return ObjectChanges{}; }
  Result<HostList> Hosts() override { return HostList{}; }
};

/// The orders that were sent and wait for the test to complete them.
struct SentOrder
{
  std::string id;
  ServerPort::SendDone done;
};
using SentOrders = std::deque<SentOrder>;

class FakeCall : public http::Call
{
public:
  void Cancel() override {}
};

/// Accepts all control calls and leaves orders to the test.
class FakeServer : public ServerPort
{
public:
  explicit FakeServer(SentOrders& aSent)
    : mSent(aSent)
  {
  }
  void Fence(const FenceServer& aCall, const DaemonRef&, ReplyDone aDone) override
  {
    Accept(aCall.number, aDone);
  }
  void Grant(const GrantServer& aCall, ReplyDone aDone) override { Accept(aCall.number, aDone); }
  std::shared_ptr<http::Call> Send(const Order& aOrder,
                                   const SendTerms&,
                                   AttemptPermit,
                                   SendDone aDone) override
  {
    mSent.push_back({ aOrder.requestId, std::move(aDone) });
    return std::make_shared<FakeCall>();
  }
  void Cancel(const std::string&) override {}

private:
  static void Accept(CallNumber aNumber, const ReplyDone& aDone)
  {
    ServerReply reply;
    reply.outcome = CallOutcome::kAccepted;
    reply.number = aNumber;
    reply.incarnation = 1;
    aDone(reply);
  }

  SentOrders& mSent;
};

class FakeServers : public ServerPortFactory
{
public:
  std::unique_ptr<ServerPort> Make(const ServerAddress&) override
  {
    return std::make_unique<FakeServer>(sent);
  }

  SentOrders sent;
};

class InlineWorkers : public WorkerPool
{
public:
  void Post(std::function<void()> aTask) override { aTask(); }
};

class NoPeers : public PeerPort
{
public:
  void SetReceiver(Receiver) override {}
  void Send(const std::string&, wire::Envelope, Delivery, Unsent) override {}
  bool IsRefused(const std::string&) override { return false; }
};

class NoSpans : public SpanPort
{
public:
  void Record(const Span&) override {}
};

/// A cell of one server and one shard that this daemon leads.
struct Fixture
{
  Fixture()
  {
    service.name = "s";
    service.shards = 1;
    service.deadline = kDeadline;
    service.slots = 1;
    config.name = "cells/s/x/0";
    config.service = "s";
    config.domain = "x";
    ServerConfig server;
    server.id = "a";
    server.domain = "x";
    config.servers = { server };
    cell->SetInitialShards({ kShard });
    cell->Configure(config, service, false);
    cell->TakeOver();
    for (int n = 0; n < 5; ++n) {
      Pass(milliseconds(10));
      cell->TakeOver();
    }
    REQUIRE(cell->PhaseOf(kShard) == ShardPhase::kServing);
  }

  void Pass(Duration aTime)
  {
    timers.now += aTime;
    cell->Tick(timers.now);
  }

  PendingOrderPtr Submit(const std::string& aId, Duration aDeadline = kDeadline)
  {
    auto pending = std::make_shared<PendingOrder>();
    pending->shard = kShard;
    pending->order.requestId = aId;
    pending->order.key = "k";
    pending->order.caller = aId;
    pending->order.repeatable = true;
    pending->order.deadline = timers.now + aDeadline;
    pending->done = [this, aId](const OrderAnswer& aAnswer) {
      ++answers[aId];
      told[aId] = aAnswer;
      if (aAnswer.outcome == Outcome::kNotRun) {
        ledger.NotePromise(aId, std::string(NameOf(kRefusalNames, aAnswer.refusal)));
      }
    };
    cell->Submit(pending);
    return pending;
  }

  /// Ends the first order that runs; one that gets no answer has run.
  void Complete(SendResult aResult)
  {
    REQUIRE_FALSE(servers.sent.empty());
    SentOrder order = std::move(servers.sent.front());
    servers.sent.pop_front();
    if (aResult == SendResult::kNoAnswer || aResult == SendResult::kAnswered) {
      ledger.NoteRun(order.id);
    }
    SendAnswer answer;
    answer.result = aResult;
    answer.status = 200;
    order.done(std::move(answer));
  }

  MemoryPlatform platform;
  FakeServers servers;
  NoPeers peers;
  ManualTimers timers;
  InlineWorkers workers;
  EventLog log{ "error" };
  hawthornlug::Metrics metrics;
  NoSpans spans;
  ObjectCache cache;
  Services services{ platform, servers, peers,   timers, timers, workers,
                     workers,  log,     metrics, spans,  cache };
  ServiceConfig service;
  CellConfig config;
  std::shared_ptr<CellRunner> cell = std::make_shared<CellRunner>("cells/s/x/0", kSelf, services);
  ToldLedger ledger;
  std::map<std::string, OrderAnswer> told;
  std::map<std::string, unsigned> answers;
};

/// A way by which the order "r" is refused after its first attempt, which is still open, ends with
/// the given result.
struct Path
{
  std::string name;
  std::string reason;
  std::function<void(Fixture&, const PendingOrderPtr&, SendResult)> play;
};

/// Ends the first attempt; another order takes the server's slot before the retry.
void RetryBehindAnother(Fixture& aFixture, SendResult aFirst)
{
  aFixture.Complete(aFirst);
  aFixture.Submit("other");
  aFixture.Pass(milliseconds(25));
}

void EndSecondAttempt(Fixture& aFixture, SendResult aFirst, SendResult aSecond)
{
  aFixture.Complete(aFirst);
  aFixture.Pass(milliseconds(25));
  aFixture.timers.now += kDeadline - milliseconds(35);
  aFixture.Complete(aSecond);
}

std::vector<Path> Paths()
{
  using F = Fixture;
  using P = PendingOrderPtr;
  using R = SendResult;
  return {
    { "held past its deadline",
      "no-owner",
      [](F& aFixture, const P&, R aFirst) {
        aFixture.Complete(aFirst);
        aFixture.Pass(kDeadline);
      } },
    { "too many held orders",
      "no-owner",
      [](F& aFixture, const P&, R aFirst) {
        aFixture.timers.now += seconds(2);
        for (std::size_t n = 0; n < kHeldLimit; ++n) {
          aFixture.Submit("held" + std::to_string(n));
        }
        aFixture.Complete(aFirst);
      } },
    { "in the queue at its deadline",
      "deadline",
      [](F& aFixture, const P&, R aFirst) {
        RetryBehindAnother(aFixture, aFirst);
        aFixture.Pass(kDeadline);
      } },
    { "the queue is full",
      "overloaded",
      [](F& aFixture, const P&, R aFirst) {
        aFixture.Complete(aFirst);
        for (std::size_t n = 0; n < kQueueLimit + 1; ++n) {
          aFixture.Submit("queued" + std::to_string(n));
        }
        aFixture.Pass(milliseconds(25));
      } },
    { "the cell has gone to another daemon",
      "not-mine",
      [](F& aFixture, const P&, R aFirst) {
        aFixture.Complete(aFirst);
        CellObject object;
        object.attached = { "d2", 1 };
        object.token = 9;
        object.shards[kShard] = { "a", 5, "" };
        aFixture.cell->OnCachedObject(99, object);
        aFixture.Pass(milliseconds(25));
      } },
    { "the failure domain is out of service",
      "domain-out",
      [](F& aFixture, const P&, R aFirst) {
        aFixture.cell->Configure(aFixture.config, aFixture.service, true);
        aFixture.Complete(aFirst);
        aFixture.Pass(seconds(3));
      } },
    { "the caller left while it waited for its retry",
      "abandoned",
      [](F& aFixture, const P& aOrder, R aFirst) {
        aFixture.Complete(aFirst);
        aFixture.cell->Abandon(aOrder);
      } },
    { "the caller left while it waited in the queue",
      "abandoned",
      [](F& aFixture, const P& aOrder, R aFirst) {
        RetryBehindAnother(aFixture, aFirst);
        aFixture.cell->Abandon(aOrder);
      } },
    { "the retry did not reach the server",
      "unreachable",
      [](F& aFixture, const P&, R aFirst) {
        EndSecondAttempt(aFixture, aFirst, SendResult::kUnreachable);
      } },
    { "the retry was refused by the server",
      "server-refused",
      [](F& aFixture, const P&, R aFirst) {
        EndSecondAttempt(aFixture, aFirst, SendResult::kRefused);
      } },
    { "the retry was shed by the server",
      "overloaded",
      [](F& aFixture, const P&, R aFirst) {
        EndSecondAttempt(aFixture, aFirst, SendResult::kShed);
      } },
  };
}

} // namespace

TEST_CASE("an order that was sent and then refused is not run only if no server may have run it",
          "[serve][cell]")
{
  const auto first = GENERATE(
    SendResult::kNoAnswer, SendResult::kUnreachable, SendResult::kRefused, SendResult::kShed);
  for (const Path& it : Paths()) {
    INFO(it.name << " after " << NameOf(kSendResultNames, first));
    Fixture fixture;
    const PendingOrderPtr order = fixture.Submit("r");
    REQUIRE(fixture.servers.sent.size() == 1);
    it.play(fixture, order, first);
    CHECK(fixture.answers["r"] == 1);
    const OrderAnswer& told = fixture.told["r"];
    const bool mayHaveRun = first == SendResult::kNoAnswer;
    CHECK((told.outcome == Outcome::kNotRun) == !mayHaveRun);
    CHECK(NameOf(kRefusalNames, told.refusal) == (mayHaveRun ? "no-answer" : it.reason));
    CHECK(fixture.ledger.Falsehoods().empty());
    // Nothing that was told of may run later.
    for (int n = 0; n < 20; ++n) {
      fixture.Pass(milliseconds(50));
    }
    CHECK(std::none_of(fixture.servers.sent.begin(),
                       fixture.servers.sent.end(),
                       [](const auto& aSent) { return aSent.id == "r"; }));
    CHECK(fixture.answers["r"] == 1);
  }
}

TEST_CASE("an order that was never sent is refused as not run", "[serve][cell]")
{
  struct Row
  {
    std::string reason;
    void (*play)(Fixture&);
  };
  const auto row = GENERATE(values<Row>({
    { "deadline", [](Fixture& aFixture) { aFixture.Submit("r", Duration::zero()); } },
    { "not-mine",
      [](Fixture& aFixture) {
        CellObject object;
        object.attached = { "d2", 1 };
        object.token = 9;
        aFixture.cell->OnCachedObject(99, object);
        aFixture.Submit("r");
      } },
    { "abandoned",
      [](Fixture& aFixture) {
        aFixture.Submit("other");
        aFixture.cell->Abandon(aFixture.Submit("r"));
      } },
  }));
  Fixture fixture;
  row.play(fixture);
  CHECK(NameOf(kRefusalNames, fixture.told["r"].refusal) == row.reason);
  CHECK(fixture.told["r"].outcome == Outcome::kNotRun);
  CHECK(fixture.answers["r"] == 1);
}
