/// @file
/// Selection of a server: free slots, own failure domain first, cold and failing servers.

#include "routing/server_board.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };

ServerEntry Entry(const std::string& aId, const std::string& aDomain)
{
  ServerEntry entry;
  entry.id = aId;
  entry.service = "s";
  entry.address = "127.0.0.1:1";
  entry.domain = aDomain;
  entry.slots = 3;
  return entry;
}

ServerRequirements Need()
{
  ServerRequirements need;
  need.service = "s";
  need.work = milliseconds(200);
  need.idempotent = true;
  need.targetLatency = milliseconds(600);
  need.timeToTarget = milliseconds(600);
  return need;
}

ForwardSample Sample(ForwardResult aResult, Duration aElapsed = milliseconds(200))
{
  ForwardSample sample;
  sample.result = aResult;
  sample.elapsed = aElapsed;
  sample.work = milliseconds(200);
  return sample;
}

/// A board with one server in the daemon's own failure domain and one in another.
ServerSelector Board()
{
  ServerSelector board("home");
  board.Put(Entry("near", "home"), kStart);
  board.Put(Entry("far", "away"), kStart);
  board.SetDaemonCounts({ { "home", 2 }, { "away", 2 } });
  return board;
}

std::string ChosenServer(ServerSelector& aBoard,
                         const ServerRequirements& aNeed,
                         Instant aNow = kStart)
{
  const ServerChoice choice = aBoard.Choose(aNeed, aNow);
  return choice.server ? choice.server->id
                       : std::string(NameOf(kServerUnavailabilityNames, choice.unavailability));
}

} // namespace

TEST_CASE("servers of the own domain are chosen first, then others, then none when all are full",
          "[routing]")
{
  ServerSelector board = Board();
  std::vector<InFlightSlot> slots;
  for (const char* const it : { "near", "near", "near", "far", "far", "far" }) {
    const std::string id = ChosenServer(board, Need());
    CHECK(id == it);
    slots.push_back(board.Take(id, kStart));
  }
  CHECK(ChosenServer(board, Need()) == "full");
  slots.erase(slots.begin());
  CHECK(ChosenServer(board, Need()) == "near");
}

TEST_CASE("an in-flight slot is freed by release, move assignment and destruction, once each",
          "[routing]")
{
  ServerSelector board = Board();
  {
    InFlightSlot one = board.Take("near", kStart);
    InFlightSlot two = std::move(one);
    CHECK(board.InFlight().at(ServerSelector::HashedIdOf("near")) == 1);
    two = board.Take("far", kStart);
    CHECK(board.InFlight().count(ServerSelector::HashedIdOf("near")) == 0);
    two.Release();
    two.Release();
  }
  CHECK(board.InFlight().empty());
}

TEST_CASE("in-flight counts of other daemons are used until they expire", "[routing]")
{
  ServerSelector board = Board();
  board.SetPeerCounts("other", { { ServerSelector::HashedIdOf("near"), 3 } }, kStart);
  CHECK(ChosenServer(board, Need()) == "far");
  CHECK(ChosenServer(board, Need(), kStart + seconds(2)) == "near");
  board.SetPeerCounts("other", {}, kStart);
  CHECK(ChosenServer(board, Need()) == "near");
}

TEST_CASE("no new request goes to a server that is unavailable to it", "[routing]")
{
  ServerSelector board = Board();
  ServerRequirements need = Need();
  SECTION("the server is draining")
  {
    ServerEntry entry = Entry("near", "home");
    entry.state = ServerState::kDraining;
    board.Put(entry, kStart);
    CHECK_FALSE(board.IsOpen("near"));
  }
  SECTION("its failure domain is out of service")
  {
    board.SetDomainsOutOfService({ "home" });
  }
  SECTION("the request was sent to it before")
  {
    need.triedServers = { "near" };
  }
  SECTION("it is deregistered")
  {
    board.Remove("near");
  }
  CHECK(ChosenServer(board, need) == "far");
}

TEST_CASE("a request for a key goes to the key's owner only", "[routing]")
{
  ServerSelector board = Board();
  ServerRequirements need = Need();
  need.owner = "far";
  CHECK(ChosenServer(board, need) == "far");
  need.owner = "gone";
  CHECK(ChosenServer(board, need) == "unknown");
}

TEST_CASE("a failing server gets trial requests only, and others again after its success",
          "[routing]")
{
  ServerSelector board = Board();
  Instant now = kStart;
  unsigned failures = 0;
  while (!board.IsFailing("near", now)) {
    board.OnResult("near", Sample(ForwardResult::kBroken), now);
    REQUIRE(++failures < 10);
  }
  CHECK(ChosenServer(board, Need(), now) == "far");
  now += seconds(1);
  CHECK(board.IsFailing("near", now));
  ServerRequirements nonIdempotent = Need();
  nonIdempotent.idempotent = false;
  CHECK(ChosenServer(board, nonIdempotent, now) == "far");
  REQUIRE(ChosenServer(board, Need(), now) == "near");
  const InFlightSlot slot = board.Take("near", now);
  CHECK(ChosenServer(board, Need(), now) == "far");
  for (unsigned n = 0; n < 10; ++n) {
    board.OnResult("near", Sample(ForwardResult::kAnswered), now);
  }
  CHECK(ChosenServer(board, Need(), now) == "near");
}

TEST_CASE("a slow server is chosen only when the fast one is full", "[routing]")
{
  ServerSelector board("home");
  board.Put(Entry("fast", "home"), kStart);
  board.Put(Entry("slow", "home"), kStart);
  for (unsigned n = 0; n < 30; ++n) {
    board.OnResult("slow", Sample(ForwardResult::kAnswered, milliseconds(1000)), kStart);
  }
  CHECK(board.RelativeServiceTimeOf("slow", kStart) > 3.0);
  std::vector<InFlightSlot> slots;
  for (unsigned n = 0; n < 3; ++n) {
    CHECK(ChosenServer(board, Need()) == "fast");
    slots.push_back(board.Take("fast", kStart));
  }
  CHECK(ChosenServer(board, Need()) == "slow");
}

TEST_CASE("a cold server gets no more requests than its warm-up limit for all daemons together",
          "[routing]")
{
  ServerSelector board("home");
  ServiceRule rule;
  rule.name = "s";
  rule.warmUpPerSecond = 2.4;
  board.SetServiceRule(rule);
  board.SetWarmUpAllowance(1.5, 5.0);
  board.SetDaemonCounts({ { "home", 3 }, { "away", 6 } });
  ServerEntry entry = Entry("cold", "home");
  entry.warmUpLeft = seconds(3);
  board.Put(entry, kStart);
  unsigned sent = 0;
  for (Instant now = kStart; now < kStart + seconds(1); now += milliseconds(10)) {
    if (board.Choose(Need(), now).server) {
      const InFlightSlot slot = board.Take("cold", now);
      ++sent;
    }
  }
  // The three daemons of the server's domain share a limit of 2.4 * 1.5 + 5 requests in any second.
  CHECK(sent >= 1);
  CHECK(3 * (sent + 1) <= 2.4 * 1.5 + 5.0 + 3);
  CHECK(board.IsCold("cold", kStart + seconds(2)));
  CHECK_FALSE(board.IsCold("cold", kStart + seconds(4)));
}

TEST_CASE("daemons of other domains don't send to a cold server whose domain has daemons",
          "[routing]")
{
  ServerSelector board("away");
  board.SetDaemonCounts({ { "home", 1 }, { "away", 1 } });
  ServerEntry entry = Entry("cold", "home");
  entry.warmUpLeft = seconds(3);
  board.Put(entry, kStart);
  CHECK(ChosenServer(board, Need()) == "cold");
  CHECK_FALSE(board.Choose(Need(), kStart).server.has_value());
  board.SetDaemonCounts({ { "away", 1 } });
  CHECK(board.Choose(Need(), kStart).server.has_value());
}

TEST_CASE("samples of one incarnation of a server don't apply to the next", "[routing]")
{
  ServerSelector board("home");
  board.Put(Entry("a", "home"), kStart);
  for (unsigned n = 0; n < 10; ++n) {
    board.OnResult("a", Sample(ForwardResult::kBroken), kStart);
  }
  REQUIRE(board.IsFailing("a", kStart));
  ServerEntry next = Entry("a", "home");
  next.incarnation = 2;
  board.Put(next, kStart);
  CHECK_FALSE(board.IsFailing("a", kStart));
}

TEST_CASE("all daemons together stay within a server's connection limit", "[routing]")
{
  struct Row
  {
    unsigned maxConnections;
    unsigned daemons;
    unsigned share;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 4, 16 },
    { 110, 9, 9 },
    { 51, 8, 5 },
    { 10, 4, 2 },
    { 130, 91, 1 },
    { 3, 100, 1 },
  }));
  ServerSelector board = Board();
  board.SetDaemonCounts({ { "home", row.daemons } });
  ServiceRule rule;
  rule.name = "s";
  rule.maxConnections = row.maxConnections;
  board.SetServiceRule(rule);
  CHECK(board.MaxConnectionsTo("near") == row.share);
  CHECK(board.MaxConnectionsTo("unknown") == 0);
  // Each request in flight needs a connection, so no more requests than connections are sent.
  std::vector<InFlightSlot> slots;
  const unsigned expected = std::min(row.share, 3U);
  for (unsigned n = 0; n < expected; ++n) {
    CHECK(ChosenServer(board, Need()) == "near");
    slots.push_back(board.Take("near", kStart));
  }
  CHECK(ChosenServer(board, Need()) == "far");
}

TEST_CASE("a request waits at a full server only if slots become free fast", "[routing]")
{
  struct Row
  {
    Duration work;
    std::string chosen;
  };
  const auto row = GENERATE(values<Row>({
    { milliseconds(60), "near" },
    { milliseconds(140), "near" },
    { milliseconds(220), "full" },
    { milliseconds(880), "full" },
  }));
  ServerSelector board("home");
  board.Put(Entry("near", "home"), kStart);
  ServerRequirements need = Need();
  need.work = row.work;
  std::vector<InFlightSlot> slots;
  for (int n = 0; n < 3; ++n) {
    CHECK(ChosenServer(board, need) == "near");
    slots.push_back(board.Take("near", kStart));
  }
  CHECK(ChosenServer(board, need) == row.chosen);
  // At most one request waits there, and none does while another server has room.
  slots.push_back(board.Take("near", kStart));
  CHECK(ChosenServer(board, need) == "full");
  board.Put(Entry("far", "away"), kStart);
  slots.pop_back();
  CHECK(ChosenServer(board, need) == "far");
}
