/// @file
/// Percent-decoding and query parameters of request targets.

#include "http/syntax.h"
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

TEST_CASE("text is percent-encoded, and decoded to what it was", "[http]")
{
  struct Row
  {
    std::string text;
    std::string encoded;
  };
  const auto row = GENERATE(values<Row>({
    { "", "" },
    { "aZ09-._~", "aZ09-._~" },
    { "cells/s/d/0", "cells/s/d/0" },
    { "a b&c=d+e", "a%20b%26c%3Dd%2Be" },
    { "100%41?#", "100%2541%3F%23" },
    { "\xc3\xa9\r\n", "%C3%A9%0D%0A" },
  }));
  INFO(row.text);
  CHECK(http::EncodePercent(row.text, "/") == row.encoded);
  CHECK(http::DecodePercent(row.encoded) == row.text);
  CHECK(http::EncodePercent("a/b") == "a%2Fb");
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

TEST_CASE("no part of a target is taken for another one", "[http]")
{
  struct Row
  {
    std::string name;
    std::string encoded;
  };
  const auto row = GENERATE(values<Row>({
    { "plain-1", "plain-1" },
    { "a&Watch=1", "a%26Watch%3D1" },
    { "a+b c", "a%2Bb%20c" },
    { "a#b%41", "a%23b%2541" },
    { "a?b", "a%3Fb" },
    { "\xff\r\n", "%FF%0D%0A" },
    { std::string("a\0b", 3), "a%00b" },
  }));
  INFO(row.name);
  CHECK(http::TargetBuilder("/x").Segment(row.name).Build() == "/x/" + row.encoded);
  CHECK(http::TargetBuilder("/x").Segments("a/" + row.name).Build() == "/x/a/" + row.encoded);
  const std::string target =
    http::TargetBuilder("/x").Parameter("after", row.name).Parameter("n", 7).Build();
  CHECK(target == "/x?after=" + row.encoded + "&n=7");
  const std::string query = target.substr(target.find('?') + 1);
  CHECK(http::QueryValue(query, "after") == row.name);
  CHECK(http::QueryValue(query, "n") == "7");
}

TEST_CASE("a slash ends a segment, but not a name in it", "[http]")
{
  CHECK(http::TargetBuilder("/x").Segment("a/b").Build() == "/x/a%2Fb");
  CHECK(http::TargetBuilder("/x").Segments("a/b").Build() == "/x/a/b");
}

TEST_CASE("any text becomes a target that can be sent", "[http]")
{
  std::string all;
  for (int n = 0; n < 256; ++n) {
    all.push_back(static_cast<char>(n));
  }
  const auto text =
    GENERATE_COPY(values<std::string>({ "", "/", "%", "%%41", "a b", "//h/x", all }));
  http::Request request;
  request.method = "GET";
  request.target = http::EncodeTarget(text);
  CHECK(http::IsWellFormed(request));
  CHECK(request.target.starts_with('/'));
  CHECK(request.target.find('#') == std::string::npos);
  CHECK(http::EncodeTarget(request.target) == request.target);
}
