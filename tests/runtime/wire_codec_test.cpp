/// @file
/// Messages between daemons carry what callers send as it is.

#include "runtime/wire_codec.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("an order whose texts are no UTF-8 arrives as it was sent", "[runtime]")
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
  wire::Envelope taken;
  REQUIRE(taken.ParseFromString(sent.SerializeAsString()));
  const Order arrived = DecodeOrder(taken.order(), now);
  CHECK(arrived.requestId == bytes);
  CHECK(arrived.key == bytes);
  CHECK(arrived.target == "/" + bytes);
  CHECK(arrived.caller == bytes);
  REQUIRE(arrived.headers.size() == 1);
  CHECK(arrived.headers[0].name == "X-" + bytes);
  CHECK(arrived.headers[0].value == bytes);
  CHECK(arrived.body == bytes);
}

TEST_CASE("an answer whose headers are no UTF-8 arrives as it was sent", "[runtime]")
{
  OrderAnswer answer;
  answer.outcome = Outcome::kDone;
  answer.status = 200;
  answer.headers = { { "X-Name", "Mure\xba" } };
  wire::Envelope sent;
  EncodeAnswer(answer, *sent.mutable_answer());
  wire::Envelope taken;
  REQUIRE(taken.ParseFromString(sent.SerializeAsString()));
  const OrderAnswer arrived = DecodeAnswer(taken.answer());
  REQUIRE(arrived.headers.size() == 1);
  CHECK(arrived.headers[0].value == "Mure\xba");
}
