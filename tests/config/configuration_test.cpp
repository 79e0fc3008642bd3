#include "config/configuration.h"
#include "config/object_cache.h"
#include "config/stored_config.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const std::string kValidConfiguration = R"(
failure_domains:
  - name: north
  - name: south
    state: out
services:
  - name: bookings
    shards: 64
    slots: 3
    deadline_ms: 1500
    repeatable: [GET]
    servers:
      - { id: s1, domain: north, url: "http://127.0.0.1:1" }
      - { id: s2, domain: south, url: "http://127.0.0.1:2", fencing: unchecked }
)";

/// Returns the kind of error with which the text is rejected, or nothing if it is accepted.
std::optional<ConfigErrorKind> RejectionOf(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<ConfigErrorKind>> {
      BOOST_LEAF_AUTO(config, ParseConfiguration({ { "test.yaml", aText } }));
      (void)config;
      return std::optional<ConfigErrorKind>();
    },
    [](const ConfigError& aError) { return std::optional<ConfigErrorKind>(aError.kind); },
    [] { return std::optional<ConfigErrorKind>(ConfigErrorKind::kUnreadable); });
}

Configuration Parse(const std::string& aText)
{
  return leaf::try_handle_all(
    [&] {
      return ParseConfiguration({ { "test.yaml", aText } });
    },
    [] { return Configuration(); });
}

/// Returns the valid configuration with @p aFrom replaced by @p aTo.
std::string ValidConfigurationWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kValidConfiguration;
  const std::size_t at = text.find(aFrom);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

/// Returns the kind of error with which @p aNext is rejected as the successor of the valid
/// configuration, or nothing if it is accepted.
std::optional<ConfigErrorKind> SuccessorRejection(const std::string& aNext)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<ConfigErrorKind>> {
      BOOST_LEAF_AUTO(current, SucceedConfiguration({}, Parse(kValidConfiguration)));
      BOOST_LEAF_AUTO(next, SucceedConfiguration(current, Parse(aNext)));
      (void)next;
      return std::optional<ConfigErrorKind>();
    },
    [](const ConfigError& aError) { return std::optional<ConfigErrorKind>(aError.kind); },
    [] { return std::optional<ConfigErrorKind>(ConfigErrorKind::kUnreadable); });
}

} // namespace

TEST_CASE("a valid configuration is parsed and survives a round trip through its text form",
          "[config]")
{
  CHECK_FALSE(RejectionOf(kValidConfiguration));
  const Configuration config = Parse(kValidConfiguration);
  REQUIRE(config.services.size() == 1);
  CHECK(config.FindDomain("south")->state == DomainState::kOut);
  CHECK(config.services[0].deadline == milliseconds(1500));
  CHECK(config.services[0].repeatable == std::set<std::string>{ "GET" });
  CHECK(config.services[0].servers[1].fencing == Fencing::kUnchecked);
  CHECK(EncodeConfiguration(Parse(EncodeConfiguration(config))) == EncodeConfiguration(config));
}

TEST_CASE("an invalid configuration is rejected with the right kind of error", "[config]")
{
  struct Row
  {
    std::string from;
    std::string to;
    ConfigErrorKind kind;
  };
  const auto row = GENERATE(
    values<Row>({ { "shards: 64", "shards: 64\n    shards: 65", ConfigErrorKind::kDuplicateKey },
                  { "slots: 3", "slotz: 3", ConfigErrorKind::kUnknownField },
                  { "domain: south", "domain: west", ConfigErrorKind::kUnknownDomain },
                  { "id: s2", "id: s1", ConfigErrorKind::kDuplicateName },
                  { "127.0.0.1:2", "127.0.0.1:1", ConfigErrorKind::kDuplicateName },
                  { "shards: 64", "shards: -1", ConfigErrorKind::kBadValue },
                  { "shards: 64", "shards: many", ConfigErrorKind::kBadValue },
                  { "slots: 3", "slots: 0", ConfigErrorKind::kBadValue },
                  { "state: out", "state: away", ConfigErrorKind::kBadValue },
                  { "[GET]", "[get]", ConfigErrorKind::kBadValue },
                  { "http://127.0.0.1:1", "ftp://x", ConfigErrorKind::kBadValue },
                  { "name: bookings", "name: -x", ConfigErrorKind::kBadValue },
                  { "id: s1, ", "", ConfigErrorKind::kMissingField },
                  { "services:", "services: [", ConfigErrorKind::kSyntax } }));
  INFO(row.from << " -> " << row.to);
  CHECK(RejectionOf(ValidConfigurationWith(row.from, row.to)) == row.kind);
}

TEST_CASE("settings that are fixed once a service exists can't be changed", "[config]")
{
  CHECK_FALSE(SuccessorRejection(kValidConfiguration));
  CHECK_FALSE(SuccessorRejection(ValidConfigurationWith("slots: 3", "slots: 4")));
  CHECK(SuccessorRejection(ValidConfigurationWith("shards: 64", "shards: 128")) ==
        ConfigErrorKind::kImmutable);
  CHECK(SuccessorRejection(ValidConfigurationWith("domain: south", "domain: north")) ==
        ConfigErrorKind::kImmutable);
}

TEST_CASE("a cell has at most four servers, and servers stay in their cells", "[config]")
{
  const std::size_t servers = GENERATE(1, 3, 4, 5, 8, 9, 15);
  Configuration config;
  config.domains.push_back({ "north", DomainState::kIn });
  ServiceConfig service;
  service.name = "s";
  for (std::size_t n = 0; n < servers; ++n) {
    ServerConfig server;
    server.id = "s" + std::to_string(n);
    server.domain = "north";
    service.servers.push_back(server);
  }
  config.services.push_back(service);
  const Configuration first = leaf::try_handle_all([&] { return SucceedConfiguration({}, config); },
                                                   [] { return Configuration(); });
  const auto cells = CellsOf(first);
  CHECK(cells.size() == (servers + 3) / 4);
  ShardId shards = 0;
  for (const auto& [cell, range] : MakeLayout(first.services.at(0))) {
    CHECK(range.first == shards);
    shards = range.second;
  }
  CHECK(shards == service.shards);
  for (const CellConfig& it : cells) {
    CHECK(it.servers.size() <= 4);
  }
  // When the first server is removed, the others stay in their cells.
  config.services[0].servers.erase(config.services[0].servers.begin());
  const Configuration next = leaf::try_handle_all(
    [&] { return SucceedConfiguration(first, config); }, [] { return Configuration(); });
  for (const ServerConfig& it : next.services.at(0).servers) {
    for (const ServerConfig& before : first.services[0].servers) {
      if (before.id == it.id) {
        CHECK(before.cell == it.cell);
      }
    }
  }
}

TEST_CASE("the cache never replaces an object by an older version", "[config]")
{
  ObjectCache cache;
  std::vector<Version> notified;
  cache.SetListener([&](const PlatformObject& aObject) { notified.push_back(aObject.version); });
  cache.Merge({ 5, { { "config/current", 5, "new" } } }, 0);
  cache.Merge({ 3, { { "config/current", 3, "old" } } }, 0);
  cache.MergeOne({ "config/current", 4, "older" });
  CHECK(cache.Find("config/current")->value == "new");
  CHECK(cache.Revision() == 5);
  CHECK(notified == std::vector<Version>{ 5 });
  // Changes that begin after the cache's revision leave a gap, so the revision stays.
  cache.Merge({ 9, { { "cells/s/x/0", 9, "c" } } }, 7);
  CHECK(cache.Revision() == 5);
  CHECK(cache.Since(5).items.size() == 1);
}
