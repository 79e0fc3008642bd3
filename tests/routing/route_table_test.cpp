/// @file
/// Route table: lookup by host name and longest prefix, weighted shares, versions.

#include "routing/route_table.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

RouteRule Rule(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  RouteRule rule;
  rule.name = aName;
  rule.host = aHost;
  rule.pathPrefix = aPrefix;
  rule.shares = { { "one", 1.0 } };
  return rule;
}

RouteConfig Config(std::uint64_t aVersion, std::vector<RouteRule> aRules)
{
  RouteConfig config;
  config.version = aVersion;
  config.routes = std::move(aRules);
  return config;
}

struct Lookup
{
  std::string host;
  std::string path;
  std::string route;
};

} // namespace

TEST_CASE("the route with the longest prefix of the path is found", "[routing]")
{
  RouteTable table;
  table.Apply(Config(1,
                     { Rule("all", "h.example", "/"),
                       Rule("a", "h.example", "/a/"),
                       Rule("ab", "h.example", "/a/b/"),
                       Rule("other", "o.example", "/a/") }));
  const auto row = GENERATE(values<Lookup>({
    { "h.example", "/a/b/c", "ab" },
    { "h.example", "/a/b/", "ab" },
    { "h.example", "/a/b", "a" },
    { "h.example", "/a/bc/d", "a" },
    { "h.example", "/x", "all" },
    { "H.Example:8080", "/a/", "a" },
    { "o.example", "/a/x", "other" },
    { "o.example", "/b/", "" },
    { "none.example", "/a/", "" },
    { "h.example", "", "" },
  }));
  INFO(row.host << row.path);
  const RouteRule* const rule = table.Find(row.host, row.path);
  CHECK((rule == nullptr ? "" : rule->name) == row.route);
}

TEST_CASE("an older configuration never replaces a newer one", "[routing]")
{
  RouteTable table;
  CHECK(table.IsEmpty());
  CHECK(table.Apply(Config(7, { Rule("a", "h", "/a/") })));
  CHECK_FALSE(table.Apply(Config(6, {})));
  CHECK(table.Version() == 7);
  CHECK(table.Find("h", "/a/") != nullptr);
  CHECK(table.Apply(Config(12, {})));
  CHECK(table.Find("h", "/a/") == nullptr);
}

TEST_CASE("requests are distributed over the shares in proportion to their weights", "[routing]")
{
  const auto weights = GENERATE(
    std::vector<double>{ 90, 10 }, std::vector<double>{ 1, 1, 2 }, std::vector<double>{ 0, 5 });
  RouteRule rule = Rule("a", "h", "/a/");
  rule.shares.clear();
  double total = 0.0;
  for (std::size_t n = 0; n < weights.size(); ++n) {
    rule.shares.push_back({ "s" + std::to_string(n), weights[n] });
    total += weights[n];
  }
  RouteTable table;
  table.Apply(Config(1, { rule }));
  std::map<std::string, unsigned> counts;
  const unsigned requests = 1000;
  for (unsigned n = 0; n < requests; ++n) {
    ++counts[table.ChooseService(*table.Find("h", "/a/"))];
  }
  for (std::size_t n = 0; n < weights.size(); ++n) {
    const double share = counts["s" + std::to_string(n)] / static_cast<double>(requests);
    CHECK(share == Approx(weights[n] / total).margin(0.005));
  }
}
