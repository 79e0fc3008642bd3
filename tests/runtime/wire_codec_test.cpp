/// @file
/// Tests that messages between daemons carry the bytes that callers and servers send unchanged.

#include "runtime/wire_codec.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("an order whose strings are not valid UTF-8 arrives unchanged", "[runtime]")
{
  const Instant now(seconds(1000));
  const std::string bytes = "a\xff\x80\xc3";
  Order order;
  order.requestId = bytes;
  order.service = "bookings";
  order.key = bytes;
  order.method = "GET";
  order.target = "/" + bytes;
  order.caller = bytes;
  order.headers = { { "X-" + bytes, bytes } };
  order.body = bytes;
  wire::Envelope sent;
  EncodeOrder(order, now, *sent.mutable_order());
  wire::Envelope received;
  REQUIRE(received.ParseFromString(sent.SerializeAsString()));
  const Order decoded = DecodeOrder(received.order(), now);
  CHECK(decoded.requestId == bytes);
  CHECK(decoded.key == bytes);
  CHECK(decoded.target == "/" + bytes);
  CHECK(decoded.caller == bytes);
  REQUIRE(decoded.headers.size() == 1);
  CHECK(decoded.headers[0].name == "X-" + bytes);
  CHECK(decoded.headers[0].value == bytes);
  CHECK(decoded.body == bytes);
}

TEST_CASE("an answer whose headers are not valid UTF-8 arrives unchanged", "[runtime]")
{
  OrderAnswer answer;
  answer.outcome = StatedOutcome::Done();
  answer.status = 200;
  answer.headers = { { "X-Name", "Mure\xba" } };
  wire::Envelope sent;
  EncodeAnswer(answer, *sent.mutable_answer());
  wire::Envelope received;
  REQUIRE(received.ParseFromString(sent.SerializeAsString()));
  const OrderAnswer decoded = DecodeAnswer(received.answer());
  REQUIRE(decoded.headers.size() == 1);
  CHECK(decoded.headers[0].value == "Mure\xba");
}

TEST_CASE("an answer of another daemon that can't be written to a caller has an unknown outcome",
          "[runtime][answers]")
{
  struct Row
  {
    std::string name;
    int status;
    HeaderField field;
    std::string server;
  };
  const auto row = GENERATE(values<Row>({
    { "no status", 0, { "X-One", "1" }, "s1" },
    { "status 99", 99, { "X-One", "1" }, "s1" },
    { "an interim status", 100, { "X-One", "1" }, "s1" },
    { "status 600", 600, { "X-One", "1" }, "s1" },
    { "a status that is no number of this size", -1, { "X-One", "1" }, "s1" },
    { "a blank in a name", 200, { "X One", "1" }, "s1" },
    { "an empty name", 200, { "", "1" }, "s1" },
    { "a control byte in a name", 200, { "X\x01One", "1" }, "s1" },
    { "a line's end in a value", 200, { "X-One", "1\r\nX-Two: 2" }, "s1" },
    { "a control byte in a value", 200, { "X-One", "\x01" }, "s1" },
    { "a line's end in the server's name", 200, { "X-One", "1" }, "s1\r\nX-Two: 2" },
  }));
  INFO(row.name);
  OrderAnswer answer;
  answer.outcome = StatedOutcome::Done();
  answer.status = row.status;
  answer.headers = { row.field };
  answer.server = row.server;
  answer.body = "hello";
  wire::OrderAnswer message;
  EncodeAnswer(answer, message);
  const OrderAnswer decoded = DecodeAnswer(message);
  CHECK(NameOf(kOutcomeNames, decoded.outcome.Value()) == "unknown");
  CHECK(decoded.headers.empty());
  CHECK(decoded.server.empty());
  CHECK(decoded.body.empty());
}

TEST_CASE("a rejection by another daemon, which has no status, arrives as it is", "[runtime]")
{
  wire::OrderAnswer message;
  EncodeAnswer(RefuseUnsent(Refusal::kOverloaded), message);
  const OrderAnswer decoded = DecodeAnswer(message);
  CHECK(NameOf(kOutcomeNames, decoded.outcome.Value()) == "not-run");
  CHECK(decoded.refusal == Refusal::kOverloaded);
}
