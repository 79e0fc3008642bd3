/// @file
/// What a server's answers mean to `serve`, and how its callers are told, with real sockets.

#include "adapters/http_callers.h"
#include "adapters/http_server.h"
#include "tests/support/loopback.h"
#include "tests/support/permits.h"
#include "tests/support/server_on_thread.h"
#include "tests/support/told_ledger.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>

using namespace hawthornlug;
using namespace hawthornlug::test;
using namespace hawthornlug::testing;
using asio::ip::tcp;

namespace {

constexpr Duration kTimeout = milliseconds(400);

SendAnswer SendOrderTo(const std::string& aUrl)
{
  HttpLoop loop;
  ServerAddress address;
  address.id = "s1";
  address.url = aUrl;
  address.connections = 4;
  HttpServer server(loop, address);
  Order order;
  order.requestId = "r1";
  order.method = "POST";
  order.target = "/x";
  SendTerms terms;
  terms.timeout = kTimeout;
  const auto promise = std::make_shared<std::promise<SendAnswer>>();
  std::future<SendAnswer> future = promise->get_future();
  server.Send(order, terms, MakePermit(), [promise](const SendAnswer& aAnswer) {
    promise->set_value(aAnswer);
  });
  REQUIRE(future.wait_for(kLongest) == std::future_status::ready);
  loop.Stop();
  return future.get();
}

class NoOperators : public OperatorHandler
{
public:
  bool IsReady() const override { return true; }
  std::string Status() const override { return {}; }
  std::string Explain(const std::string&, const std::string&) const override { return {}; }
  std::string Metrics() const override { return {}; }
};

class FinishedOrder : public OrderInProgress
{
public:
  void Abandon() override {}
};

/// Answers all orders with one answer.
class FixedOutcome : public RequestHandler
{
public:
  explicit FixedOutcome(OrderAnswer aAnswer)
    : mAnswer(std::move(aAnswer))
  {
  }
  std::shared_ptr<OrderInProgress> Handle(Order, Done aDone) override
  {
    aDone(mAnswer);
    return std::make_shared<FinishedOrder>();
  }

private:
  OrderAnswer mAnswer;
};

/// Returns the bytes that a caller gets whose order has this outcome.
std::string TellCaller(const OrderAnswer& aAnswer, const std::string& aTarget = "/s/k")
{
  asio::io_context context;
  FixedOutcome requests(aAnswer);
  NoOperators operators;
  HttpLoop loop;
  HttpCallers callers(loop, requests, operators, {});
  const tcp::endpoint endpoint = FreeEndpoint(context);
  REQUIRE(callers.Listen("127.0.0.1", endpoint.port()));
  tcp::socket socket(context);
  socket.connect(endpoint);
  asio::write(socket,
              asio::buffer("GET " + aTarget + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  std::string bytes;
  asio::async_read(
    socket, asio::dynamic_buffer(bytes), [](const asio::error_code&, std::size_t) {});
  context.run_for(kLongest);
  return bytes;
}

bool Has(const std::string& aBytes, const std::string& aText)
{
  return aBytes.find(aText) != std::string::npos;
}

/// The answer of a server that has run its order.
OrderAnswer Ran(int aStatus, HeaderFields aFields = {})
{
  OrderAnswer answer;
  answer.outcome = StatedOutcome::Done();
  answer.status = aStatus;
  answer.headers = std::move(aFields);
  answer.server = "s1";
  answer.epoch = 7;
  answer.body = "made";
  return answer;
}

OrderAnswer Refused(Refusal aRefusal)
{
  return RefuseUnsent(aRefusal);
}

} // namespace

TEST_CASE("a server's refusal counts only with a status of failure", "[serve][answers]")
{
  struct Row
  {
    int status;
    std::string fields;
    SendResult result;
  };
  const std::string id = "Hawthornlug-Request-Id: r1\r\n";
  const std::string refused = "Hawthornlug-Refused: token\r\n";
  const std::string shed = "Hawthornlug-Refused: shed\r\n";
  const auto row = GENERATE_COPY(values<Row>({
    { 409, id + refused, SendResult::kRefused },
    { 400, id + refused, SendResult::kRefused },
    { 421, id + refused, SendResult::kRefused },
    { 500, id + refused, SendResult::kRefused },
    { 503, id + shed, SendResult::kShed },
    { 429, id + shed, SendResult::kShed },
    { 409, refused, SendResult::kRefused },
    { 409, "Hawthornlug-Request-Id: r0\r\n" + refused, SendResult::kNoAnswer },
    { 200, id + refused, SendResult::kNoAnswer },
    { 201, id + shed, SendResult::kNoAnswer },
    { 204, id + refused, SendResult::kNoAnswer },
    { 302, id + refused, SendResult::kNoAnswer },
    { 399, id + shed, SendResult::kNoAnswer },
    { 200, refused, SendResult::kNoAnswer },
    // Without the statement the server has run the order, whatever its status.
    { 408, id, SendResult::kAnswered },
    { 421, id, SendResult::kAnswered },
    { 429, id, SendResult::kAnswered },
    { 503, id, SendResult::kAnswered },
    { 503, "", SendResult::kNoAnswer },
  }));
  INFO(row.status << " " << row.fields);
  const ServerOnThread server({ "one",
                                "HTTP/1.1 " + std::to_string(row.status) + " X\r\n" + row.fields +
                                  (row.status == 204 ? "\r\n" : "Content-Length: 0\r\n\r\n") });
  const SendAnswer answer = SendOrderTo(server.Url());
  CHECK(NameOf(kSendResultNames, answer.result) == NameOf(kSendResultNames, row.result));
}

TEST_CASE("an order to an address at which nothing listens is unreachable", "[serve][answers]")
{
  asio::io_context context;
  const SendAnswer answer =
    SendOrderTo("http://127.0.0.1:" + std::to_string(FreeEndpoint(context).port()));
  CHECK(NameOf(kSendResultNames, answer.result) == "unreachable");
}

TEST_CASE("an answer that says nothing means that the order may have run", "[serve][answers]")
{
  CHECK(NameOf(kSendResultNames, SendAnswer().result) == "no-answer");
  CHECK(OrderAnswer().outcome != Outcome::kNotRun);
}

TEST_CASE("a caller is told by no status that its request has not run which has run",
          "[serve][answers]")
{
  const int status = GENERATE(200, 201, 404, 408, 409, 421, 429, 500, 502, 503, 504);
  INFO(status);
  const bool replaced = http::PromiseOf(status).has_value();
  const std::string bytes =
    TellCaller(Ran(status, { { "Retry-After", "9" }, { "X-Own", "1" }, { "Server", "own" } }));
  ToldLedger ledger;
  ledger.NoteRun("r");
  ledger.NoteStatus("r", std::atoi(bytes.substr(bytes.find(' ') + 1).c_str()));
  if (Has(bytes, "Hawthornlug-Outcome: not-run")) {
    ledger.NotePromise("r", "not-run");
  }
  CHECK(ledger.Falsehoods().empty());
  CHECK(bytes.find("HTTP/1.1 " + std::to_string(replaced ? 502 : status)) == 0);
  CHECK(Has(bytes, "Hawthornlug-Outcome: done"));
  CHECK(Has(bytes, "Hawthornlug-Server: s1"));
  CHECK(Has(bytes, "X-Own: 1"));
  CHECK(Has(bytes, "made"));
  CHECK(Has(bytes, "Retry-After") == !replaced);
  CHECK(Has(bytes, "Hawthornlug-Reason: server-status") == replaced);
  CHECK(Has(bytes, "Hawthornlug-Server-Status: " + std::to_string(status)) == replaced);
}

TEST_CASE("a server's fields that only hawthornlug writes are not passed on", "[serve][answers]")
{
  const std::string name = GENERATE(as<std::string>(),
                                    "Hawthornlug-Outcome",
                                    "hawthornlug-outcome",
                                    "Hawthornlug-Reason",
                                    "Hawthornlug-Request-Id",
                                    "Hawthornlug-Server",
                                    "Hawthornlug-Epoch",
                                    "Hawthornlug-Server-Status");
  const int status = GENERATE(200, 503);
  const std::string bytes = TellCaller(Ran(status, { { name, "not-run" }, { "X-Own", "1" } }));
  INFO(bytes);
  CHECK_FALSE(Has(bytes, ": not-run"));
  CHECK(Has(bytes, "X-Own: 1"));
}

TEST_CASE("each refusal has its status and says that the order has not run", "[serve][answers]")
{
  struct Row
  {
    Refusal refusal;
    int status;
  };
  const auto row = GENERATE(values<Row>({
    { Refusal::kUnknownService, 404 },
    { Refusal::kBadRequest, 400 },
    { Refusal::kNoRoute, 503 },
    { Refusal::kNotMine, 503 },
    { Refusal::kNoOwner, 503 },
    { Refusal::kOverloaded, 503 },
    { Refusal::kDeadline, 503 },
    { Refusal::kUnreachable, 503 },
    { Refusal::kRefused, 503 },
    { Refusal::kDomainOut, 503 },
    { Refusal::kDomainIsolated, 503 },
    { Refusal::kTombstone, 503 },
    { Refusal::kStopping, 503 },
    { Refusal::kAbandoned, 503 },
  }));
  const std::string bytes = TellCaller(Refused(row.refusal));
  INFO(bytes);
  CHECK(bytes.find("HTTP/1.1 " + std::to_string(row.status)) == 0);
  CHECK(Has(bytes, "Hawthornlug-Outcome: not-run"));
  CHECK(Has(bytes, "Hawthornlug-Reason: " + std::string(NameOf(kRefusalNames, row.refusal))));
}

TEST_CASE("what may have run is told by a status that promises nothing", "[serve][answers]")
{
  const auto refusal = GENERATE(Refusal::kNoAnswer, Refusal::kInProgress, Refusal::kNoOwner);
  const std::string bytes = TellCaller(OrderAnswer::Unknown(refusal));
  CHECK(bytes.find("HTTP/1.1 504") == 0);
  CHECK(Has(bytes, "Hawthornlug-Outcome: unknown"));
  CHECK_FALSE(Has(bytes, "Retry-After"));
}

TEST_CASE("a request that is no order is not run", "[serve][answers]")
{
  const std::string bytes = TellCaller(Ran(200), "/s");
  CHECK(bytes.find("HTTP/1.1 400") == 0);
  CHECK(Has(bytes, "Hawthornlug-Outcome: not-run"));
}
