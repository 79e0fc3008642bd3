/// @file
/// How HttpServer translates the responses of backend servers that write more than they were asked.

#include "adapters/http_server.h"
#include "tests/support/byte_server.h"
#include "tests/support/permits.h"

#include <catch2/catch.hpp>

#include <future>

using namespace hawthornlug;
using namespace hawthornlug::test;
using namespace hawthornlug::testing;

namespace {

constexpr std::chrono::seconds kLongest(5);

/// Sends an order on the loop and waits for its answer.
SendAnswer SendOrder(HttpServer& aServer, const std::string& aId)
{
  Order order;
  order.requestId = aId;
  order.method = "POST";
  order.target = "/x";
  SendTerms terms;
  terms.timeout = seconds(2);
  auto answered = std::make_shared<std::promise<SendAnswer>>();
  std::future<SendAnswer> answer = answered->get_future();
  aServer.Send(order, terms, MakePermit(), [answered](const SendAnswer& aAnswer) {
    answered->set_value(aAnswer);
  });
  REQUIRE(answer.wait_for(kLongest) == std::future_status::ready);
  return answer.get();
}

/// An HTTP loop with a server on it that sends the given bytes.
struct ServerUnderTest
{
  explicit ServerUnderTest(std::vector<std::string> aAnswers)
  {
    loop.DispatchAndWait(
      [&] { bytes = std::make_unique<ByteServer>(loop.Context(), std::move(aAnswers)); });
    ServerAddress address;
    address.id = "s1";
    address.url = "http://" + bytes->Address();
    address.connections = 4;
    server = std::make_unique<HttpServer>(loop, address);
  }
  ~ServerUnderTest() { loop.Stop(); }

  HttpLoop loop;
  std::unique_ptr<ByteServer> bytes;
  std::unique_ptr<HttpServer> server;
};

} // namespace

TEST_CASE("an earlier refusal that a server writes once more refuses no other order",
          "[adapters][reports]")
{
  const std::string done =
    "HTTP/1.1 200 OK\r\nHawthornlug-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
  struct Row
  {
    std::string name;
    std::string refusal;
    SendResult result;
  };
  const auto row = GENERATE(values<Row>({
    { "with the id of the order that it refused",
      "HTTP/1.1 409 X\r\nHawthornlug-Request-Id: r0\r\nHawthornlug-Refused: token\r\n"
      "Content-Length: 0\r\n\r\n",
      SendResult::kNoAnswer },
    { "without an id",
      "HTTP/1.1 409 X\r\nHawthornlug-Refused: token\r\nContent-Length: 0\r\n\r\n",
      SendResult::kNoAnswer },
    { "overload, without an id",
      "HTTP/1.1 503 X\r\nHawthornlug-Refused: shed\r\nContent-Length: 0\r\n\r\n",
      SendResult::kNoAnswer },
    { "with the id of this order",
      "HTTP/1.1 409 X\r\nHawthornlug-Request-Id: r2\r\nHawthornlug-Refused: token\r\n"
      "Content-Length: 0\r\n\r\n",
      SendResult::kRefused },
    { "overload, with the id of this order",
      "HTTP/1.1 503 X\r\nHawthornlug-Request-Id: r2\r\nHawthornlug-Refused: shed\r\n"
      "Content-Length: 0\r\n\r\n",
      SendResult::kShed },
  }));
  INFO(row.name);
  ServerUnderTest test({ done, row.refusal });
  REQUIRE(SendOrder(*test.server, "r1").result == SendResult::kAnswered);
  const SendAnswer second = SendOrder(*test.server, "r2");
  CHECK(NameOf(kSendResultNames, second.result) == NameOf(kSendResultNames, row.result));
}

TEST_CASE("a refusal without an id on a new connection belongs to its only order",
          "[adapters][reports]")
{
  ServerUnderTest test(
    { "HTTP/1.1 409 X\r\nHawthornlug-Refused: token\r\nContent-Length: 0\r\n\r\n" });
  CHECK(SendOrder(*test.server, "r1").result == SendResult::kRefused);
}

// Guards against an order that runs twice: the copy bears the order's id, as its next answer does.
TEST_CASE("a refusal that is written once more does not refuse the next attempt of its order",
          "[adapters][reports]")
{
  // The server accepts one connection: what is sent on a new one gets no answer.
  const std::string refusal = GENERATE(as<std::string>(),
                                       "HTTP/1.1 409 X\r\nHawthornlug-Request-Id: r1\r\n"
                                       "Hawthornlug-Refused: token\r\nContent-Length: 0\r\n\r\n",
                                       "HTTP/1.1 503 X\r\nHawthornlug-Request-Id: r1\r\n"
                                       "Hawthornlug-Refused: shed\r\nContent-Length: 0\r\n\r\n");
  ServerUnderTest test({ refusal, refusal, refusal });
  REQUIRE(SendOrder(*test.server, "r1").result != SendResult::kNoAnswer);
  const SendAnswer second = SendOrder(*test.server, "r1");
  CHECK(NameOf(kSendResultNames, second.result) == NameOf(kSendResultNames, SendResult::kNoAnswer));
}
