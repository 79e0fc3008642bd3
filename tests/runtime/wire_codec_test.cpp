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
  answer.outcome = Outcome::kDone;
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
