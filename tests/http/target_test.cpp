/// @file
/// Percent-decoding and query parameters of request targets.

#include "http/target.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("percent-encoding is decoded, malformed sequences are kept", "[http]")
{
  struct Row
  {
    std::string text;
    std::string decoded;
  };
  const auto row = GENERATE(values<Row>({
    { "", "" },
    { "/a/b", "/a/b" },
    { "/a%20b", "/a b" },
    { "%2F%2f", "//" },
    { "%c3%a9", "\xc3\xa9" },
    { "100%", "100%" },
    { "100%4", "100%4" },
    { "%zz%1z", "%zz%1z" },
    { "a+b", "a+b" },
  }));
  INFO(row.text);
  CHECK(http::DecodePercent(row.text) == row.decoded);
}

TEST_CASE("query parameters are found by name", "[http]")
{
  const std::string query = "service=s&key=a%26b+c&empty=&lone&key=second";
  CHECK(http::QueryValue(query, "service") == "s");
  CHECK(http::QueryValue(query, "key") == "a&b c");
  CHECK(http::QueryValue(query, "empty").empty());
  CHECK(http::QueryValue(query, "lone").empty());
  CHECK(http::QueryValue(query, "absent").empty());
  CHECK(http::QueryValue("", "key").empty());
}
