/// @file
/// The whole way of an order with real sockets: a caller, the entry, the cell, and a server that
/// answers in odd forms. What callers are told is compared with what the server has run.

#include "adapters/asio_timers.h"
#include "adapters/http_callers.h"
#include "adapters/http_server.h"
#include "runtime/cell_runner.h"
#include "runtime/entry.h"
#include "tests/support/loopback.h"
#include "tests/support/raw_server.h"
#include "tests/support/told_ledger.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace hawthornlug;
using namespace hawthornlug::test;
using namespace hawthornlug::testing;
using asio::ip::tcp;

namespace {

constexpr Duration kDeadline = milliseconds(300);
constexpr Duration kTick = milliseconds(5);
/// How long a server may still run what its caller was told of.
constexpr Duration kAfterwards = milliseconds(200);
constexpr ShardId kShard = 0;
const std::string kCell = "cells/s/x/0";
const DaemonRef kSelf{ "d1", 1 };

/// What a server does with one attempt.
struct ServerAct
{
  bool runs = false;
  /// ID stands for the id of the order. Empty: the connection is closed without an answer.
  std::string bytes;
  bool ends = false;
};

std::string Answer(int aStatus, const std::string& aFields, const std::string& aBody = "no")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Grants all that it is asked for, and acts on orders as it is told: on the first attempt of each,
/// and on all later ones.
class OddServer : public http::Handler
{
public:
  OddServer(ServerAct aFirst, ServerAct aLater)
    : mFirst(std::move(aFirst))
    , mLater(std::move(aLater))
    , mServer(mContext, FreeEndpoint(mContext), *this)
    , mThread([this] { mContext.run(); })
  {
  }
  ~OddServer() override
  {
    mContext.stop();
    mThread.join();
  }
  OddServer(const OddServer&) = delete;
  OddServer& operator=(const OddServer&) = delete;

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    const std::string id(aExchange->Received().headers.Get("Hawthornlug-Request-Id"));
    if (id.empty()) {
      RawServer::Write(
        *aExchange,
        Answer(200, "", R"({"incarnation":5,"clock_us":100,"draining":false,"grants":[]})"),
        false);
      return;
    }
    const ServerAct& act = mAttempts[id]++ == 0 ? mFirst : mLater;
    if (act.runs) {
      const std::lock_guard lock(mMutex);
      mLedger.NoteRun(id);
    }
    std::string bytes = act.bytes;
    for (auto at = bytes.find("ID"); at != std::string::npos; at = bytes.find("ID", at)) {
      bytes.replace(at, 2, id);
    }
    RawServer::Write(*aExchange, bytes, act.ends || bytes.empty());
  }
  void OnBadRequest(int, http::ReadState) override {}

  std::string Url() const { return "http://" + mServer.Address(); }
  void UseLedger(const std::function<void(ToldLedger&)>& aUse)
  {
    const std::lock_guard lock(mMutex);
    aUse(mLedger);
  }

private:
  const ServerAct mFirst;
  const ServerAct mLater;
  /// By request id; used on the server's thread only.
  std::map<std::string, unsigned> mAttempts;
  std::mutex mMutex;
  ToldLedger mLedger;
  asio::io_context mContext;
  RawServer mServer;
  std::thread mThread;
};

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

class NoOperators : public OperatorHandler
{
public:
  bool IsReady() const override { return true; }
  std::string Status() const override { return {}; }
  std::string Explain(const std::string&, const std::string&) const override { return {}; }
  std::string Metrics() const override { return {}; }
};

class OneDaemon : public DaemonView
{
public:
  DaemonRef Self() const override { return kSelf; }
  std::shared_ptr<const Configuration> Config() const override { return config; }
  std::shared_ptr<CellRunner> FindCell(const std::string&) const override { return cell; }
  bool IsLive(const DaemonRef&) const override { return true; }
  std::optional<std::string> EndpointOf(const std::string&) const override { return std::nullopt; }
  bool IsIsolated(const std::string&) const override { return false; }

  std::shared_ptr<const Configuration> config;
  std::shared_ptr<CellRunner> cell;
};

/// A caller's answer.
struct Told
{
  int status = 0;
  std::string outcome;
};

std::string FieldOf(const std::string& aBytes, const std::string& aName)
{
  const auto at = aBytes.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 4;
  return aBytes.substr(begin, aBytes.find('\r', begin) - begin);
}

/// One daemon that leads a cell of one server and one shard.
struct Path
{
  explicit Path(const std::string& aServerUrl)
  {
    ServiceConfig service;
    service.name = "s";
    service.shards = 1;
    service.deadline = kDeadline;
    service.slots = 4;
    auto configuration = std::make_shared<Configuration>();
    configuration->services.push_back(service);
    view.config = configuration;
    CellConfig cell;
    cell.name = kCell;
    cell.service = "s";
    cell.domain = "x";
    ServerConfig server;
    server.id = "a";
    server.domain = "x";
    server.url = aServerUrl;
    cell.servers = { server };
    view.cell = std::make_shared<CellRunner>(kCell, kSelf, services);
    view.cell->SetInitialShards({ kShard });
    view.cell->Configure(cell, service, false);
    CellObject object;
    object.attached = kSelf;
    object.shards[kShard] = { "a", 1, "" };
    routes.Learn(kCell, 1, object);
    ticks.push_back(timers.Every(kTick, [this](Instant aNow) {
      view.cell->Tick(aNow);
      entry.Tick(aNow);
    }));
    const auto end = timers.Now() + kLongest;
    while (view.cell->PhaseOf(kShard) != ShardPhase::kServing && timers.Now() < end) {
      view.cell->TakeOver();
      std::this_thread::sleep_for(kTick);
    }
    REQUIRE(view.cell->PhaseOf(kShard) == ShardPhase::kServing);
    REQUIRE(callers.Listen("127.0.0.1", endpoint.port()));
  }
  ~Path()
  {
    ticks.clear();
    callers.Stop(Duration::zero());
    loop.Stop();
    // Their last tasks use what is destroyed before them.
    workers.Join();
  }
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;

  Told Call(const std::string& aMethod, const std::string& aId)
  {
    tcp::socket socket(context);
    socket.connect(endpoint);
    asio::write(socket,
                asio::buffer(aMethod + " /s/k HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
                             "Idempotency-Key: " + aId + "\r\nContent-Length: 0\r\n\r\n"));
    std::string bytes;
    asio::async_read(
      socket, asio::dynamic_buffer(bytes), [](const asio::error_code&, std::size_t) {});
    context.restart();
    context.run_for(kLongest);
    REQUIRE(bytes.size() > 12);
    return { std::atoi(bytes.substr(9, 3).c_str()), FieldOf(bytes, "Hawthornlug-Outcome") };
  }

  asio::io_context context;
  const tcp::endpoint endpoint = FreeEndpoint(context);
  HttpLoop loop;
  HttpServerFactory servers{ loop };
  MemoryPlatform platform;
  NoPeers peers;
  AsioTimers timers;
  AsioWorkers workers{ 2 };
  EventLog log{ "error" };
  hawthornlug::Metrics metrics;
  NoSpans spans;
  ObjectCache cache;
  Services services{ platform, servers, peers,   timers, timers, workers,
                     workers,  log,     metrics, spans,  cache };
  OneDaemon view;
  ShardRoutingTable routes;
  PeerCalls calls;
  Attached attached{ services, view, routes };
  Entry entry{ services, view, routes, attached, calls, 0.0 };
  NoOperators operators;
  HttpCallers callers{ loop, entry, operators, {} };
  std::vector<std::unique_ptr<TimerSubscription>> ticks;
};

const std::string kId = "Hawthornlug-Request-Id: ID\r\n";
const std::string kRefused = "Hawthornlug-Refused: token\r\n";
const std::string kShed = "Hawthornlug-Refused: shed\r\n";

ServerAct Ran(std::string aBytes, bool aEnds = false)
{
  return { true, std::move(aBytes), aEnds };
}

ServerAct NotRun(std::string aBytes)
{
  return { false, std::move(aBytes), false };
}

} // namespace

TEST_CASE("callers of serve are told what their servers did, in whatever form they answer",
          "[serve][path]")
{
  struct Row
  {
    std::string name;
    ServerAct first;
    ServerAct later;
    /// What callers are told of a request that may be repeated, and of one that may not.
    std::string repeatable;
    std::string once;
  };
  const ServerAct refusal = NotRun(Answer(409, kId + kRefused));
  const ServerAct shed = NotRun(Answer(503, kId + kShed));
  const ServerAct lost = Ran("");
  const auto row = GENERATE_COPY(values<Row>({
    { "200", Ran(Answer(200, kId)), refusal, "done", "done" },
    { "408", Ran(Answer(408, kId)), refusal, "done", "done" },
    { "421", Ran(Answer(421, kId)), refusal, "done", "done" },
    { "429", Ran(Answer(429, kId)), refusal, "done", "done" },
    { "503", Ran(Answer(503, kId + "Retry-After: 1\r\n")), refusal, "done", "done" },
    { "503 with a statement in our name",
      Ran(Answer(503, kId + "Hawthornlug-Outcome: not-run\r\n")),
      refusal,
      "done",
      "done" },
    { "503 after an interim answer with a refusal",
      Ran("HTTP/1.1 102 X\r\n" + kId + kRefused + "\r\n" + Answer(503, kId)),
      refusal,
      "done",
      "done" },
    { "refused", refusal, refusal, "not-run", "not-run" },
    { "shed", shed, shed, "not-run", "not-run" },
    { "no answer, then refused", lost, refusal, "unknown", "unknown" },
    { "no answer, then shed", lost, shed, "unknown", "unknown" },
    { "no answer, then done", lost, Ran(Answer(200, kId)), "done", "unknown" },
    { "refused, then done", refusal, Ran(Answer(200, kId)), "done", "done" },
    { "refused, then no answer", refusal, lost, "unknown", "unknown" },
    { "200 with a refusal", Ran(Answer(200, kId + kRefused)), refusal, "unknown", "unknown" },
    { "204 with a refusal",
      Ran("HTTP/1.1 204 X\r\n" + kId + kShed + "\r\n"),
      refusal,
      "unknown",
      "unknown" },
    { "503 without an id", Ran(Answer(503, "")), refusal, "unknown", "unknown" },
    { "a refusal of another order",
      Ran(Answer(409, "Hawthornlug-Request-Id: other\r\n" + kRefused), true),
      refusal,
      "unknown",
      "unknown" },
    { "a refusal that is cut off",
      Ran("HTTP/1.1 409 X\r\n" + kId + kRefused + "Content-Length: 9\r\n\r\nno", true),
      refusal,
      "unknown",
      "unknown" },
    { "a refusal in a trailer",
      Ran("HTTP/1.1 503 X\r\n" + kId + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n" +
          kRefused + "\r\n"),
      refusal,
      "done",
      "done" },
  }));
  for (const std::string method : { "GET", "POST" }) {
    INFO(method << ": " << row.name);
    const std::string id = method + "1";
    OddServer server(row.first, row.later);
    Path path(server.Url());
    if (method == "POST") {
      server.UseLedger([&](ToldLedger& aLedger) { aLedger.NoteOnce(id); });
    }
    const Told told = path.Call(method, id);
    CHECK(told.outcome == (method == "GET" ? row.repeatable : row.once));
    server.UseLedger([&](ToldLedger& aLedger) {
      aLedger.NoteStatus(id, told.status);
      if (told.outcome == "not-run") {
        aLedger.NotePromise(id, "not-run");
      }
    });
    std::this_thread::sleep_for(kAfterwards);
    server.UseLedger([](const ToldLedger& aLedger) {
      CHECK_THAT(aLedger.Falsehoods(), Catch::Equals(std::vector<std::string>()));
    });
  }
}
