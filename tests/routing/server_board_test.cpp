/// @file
/// The choice of a server: room, own domain first, cold and failing servers.

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

ServerNeed Need()
{
  ServerNeed need;
  need.service = "s";
  need.work = milliseconds(200);
  need.idempotent = true;
  need.targetLatency = milliseconds(600);
  need.targetLeft = milliseconds(600);
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

/// A board with one server at home and one in another domain.
ServerBoard Board()
{
  ServerBoard board("home");
  board.Put(Entry("near", "home"), kStart);
  board.Put(Entry("far", "away"), kStart);
  board.SetDaemons({ { "home", 2 }, { "away", 2 } });
  return board;
}

std::string Chosen(ServerBoard& aBoard, const ServerNeed& aNeed, Instant aNow = kStart)
{
  const ServerChoice choice = aBoard.Choose(aNeed, aNow);
  return choice.server ? choice.server->id : std::string(NameOf(kServerBarNames, choice.bar));
}

} // namespace

TEST_CASE("the own domain goes first while it has room, then others, then nobody", "[routing]")
{
  ServerBoard board = Board();
  std::vector<InFlightSlot> slots;
  for (const char* const it : { "near", "near", "near", "far", "far", "far" }) {
    const std::string id = Chosen(board, Need());
    CHECK(id == it);
    slots.push_back(board.Take(id, kStart));
  }
  CHECK(Chosen(board, Need()) == "full");
  slots.erase(slots.begin());
  CHECK(Chosen(board, Need()) == "near");
}

TEST_CASE("a slot that is let go of is free, however it ends", "[routing]")
{
  ServerBoard board = Board();
  {
    InFlightSlot one = board.Take("near", kStart);
    InFlightSlot two = std::move(one);
    CHECK(board.InFlight().at(ServerBoard::NumberOf("near")) == 1);
    two = board.Take("far", kStart);
    CHECK(board.InFlight().count(ServerBoard::NumberOf("near")) == 0);
    two.Release();
    two.Release();
  }
  CHECK(board.InFlight().empty());
}

TEST_CASE("what other daemons have in flight counts until it is old", "[routing]")
{
  ServerBoard board = Board();
  board.SetOthers("other", { { ServerBoard::NumberOf("near"), 3 } }, kStart);
  CHECK(Chosen(board, Need()) == "far");
  CHECK(Chosen(board, Need(), kStart + seconds(2)) == "near");
  board.SetOthers("other", {}, kStart);
  CHECK(Chosen(board, Need()) == "near");
}

TEST_CASE("no new request goes to a server that may not have it", "[routing]")
{
  ServerBoard board = Board();
  ServerNeed need = Need();
  SECTION("leaving")
  {
    ServerEntry entry = Entry("near", "home");
    entry.state = ServerState::kDraining;
    board.Put(entry, kStart);
    CHECK_FALSE(board.IsOpen("near"));
  }
  SECTION("its domain is out")
  {
    board.SetDomainsOut({ "home" });
  }
  SECTION("it had the request already")
  {
    need.tried = { "near" };
  }
  SECTION("it is gone")
  {
    board.Remove("near");
  }
  CHECK(Chosen(board, need) == "far");
}

TEST_CASE("a key's owner is the only choice", "[routing]")
{
  ServerBoard board = Board();
  ServerNeed need = Need();
  need.owner = "far";
  CHECK(Chosen(board, need) == "far");
  need.owner = "gone";
  CHECK(Chosen(board, need) == "unknown");
}

TEST_CASE("a failing server is left a trickle and taken back by its success", "[routing]")
{
  ServerBoard board = Board();
  Instant now = kStart;
  unsigned failures = 0;
  while (!board.IsFailing("near", now)) {
    board.OnSample("near", Sample(ForwardResult::kBroken), now);
    REQUIRE(++failures < 10);
  }
  CHECK(Chosen(board, Need(), now) == "far");
  now += seconds(1);
  CHECK(board.IsFailing("near", now));
  ServerNeed unsafe = Need();
  unsafe.idempotent = false;
  CHECK(Chosen(board, unsafe, now) == "far");
  REQUIRE(Chosen(board, Need(), now) == "near");
  const InFlightSlot slot = board.Take("near", now);
  CHECK(Chosen(board, Need(), now) == "far");
  for (unsigned n = 0; n < 10; ++n) {
    board.OnSample("near", Sample(ForwardResult::kAnswered), now);
  }
  CHECK(Chosen(board, Need(), now) == "near");
}

TEST_CASE("a slow server is chosen less the slower it is", "[routing]")
{
  ServerBoard board("home");
  board.Put(Entry("fast", "home"), kStart);
  board.Put(Entry("slow", "home"), kStart);
  for (unsigned n = 0; n < 30; ++n) {
    board.OnSample("slow", Sample(ForwardResult::kAnswered, milliseconds(1000)), kStart);
  }
  CHECK(board.PaceOf("slow", kStart) > 3.0);
  std::vector<InFlightSlot> slots;
  for (unsigned n = 0; n < 3; ++n) {
    CHECK(Chosen(board, Need()) == "fast");
    slots.push_back(board.Take("fast", kStart));
  }
  CHECK(Chosen(board, Need()) == "slow");
}

TEST_CASE("a cold server gets no more than all daemons together may send", "[routing]")
{
  ServerBoard board("home");
  ServiceRule rule;
  rule.name = "s";
  rule.warmUpPerSecond = 2.4;
  board.SetRule(rule);
  board.SetWarmUpAllowance(1.5, 5.0);
  board.SetDaemons({ { "home", 3 }, { "away", 6 } });
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
  // Three daemons in the server's domain share 2.4 * 1.5 + 5 requests in any second.
  CHECK(sent >= 1);
  CHECK(3 * (sent + 1) <= 2.4 * 1.5 + 5.0 + 3);
  CHECK(board.IsCold("cold", kStart + seconds(2)));
  CHECK_FALSE(board.IsCold("cold", kStart + seconds(4)));
}

TEST_CASE("daemons of other domains leave a cold server to those of its own", "[routing]")
{
  ServerBoard board("away");
  board.SetDaemons({ { "home", 1 }, { "away", 1 } });
  ServerEntry entry = Entry("cold", "home");
  entry.warmUpLeft = seconds(3);
  board.Put(entry, kStart);
  CHECK(Chosen(board, Need()) == "cold");
  CHECK_FALSE(board.Choose(Need(), kStart).server.has_value());
  board.SetDaemons({ { "away", 1 } });
  CHECK(board.Choose(Need(), kStart).server.has_value());
}

TEST_CASE("nothing that was learned of one run holds for the next", "[routing]")
{
  ServerBoard board("home");
  board.Put(Entry("a", "home"), kStart);
  for (unsigned n = 0; n < 10; ++n) {
    board.OnSample("a", Sample(ForwardResult::kBroken), kStart);
  }
  REQUIRE(board.IsFailing("a", kStart));
  ServerEntry next = Entry("a", "home");
  next.incarnation = 2;
  board.Put(next, kStart);
  CHECK_FALSE(board.IsFailing("a", kStart));
}

TEST_CASE("all daemons together stay within the connections that a server takes", "[routing]")
{
  struct Row
  {
    unsigned bound;
    unsigned daemons;
    unsigned part;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 4, 16 },
    { 110, 9, 9 },
    { 51, 8, 5 },
    { 10, 4, 2 },
    { 130, 91, 1 },
    { 3, 100, 1 },
  }));
  ServerBoard board = Board();
  board.SetDaemons({ { "home", row.daemons } });
  ServiceRule rule;
  rule.name = "s";
  rule.maxConnections = row.bound;
  board.SetRule(rule);
  CHECK(board.ConnectionsTo("near") == row.part);
  CHECK(board.ConnectionsTo("unknown") == 0);
  // More requests at a time would need more connections.
  std::vector<InFlightSlot> slots;
  const unsigned most = std::min(row.part, 3U);
  for (unsigned n = 0; n < most; ++n) {
    CHECK(Chosen(board, Need()) == "near");
    slots.push_back(board.Take("near", kStart));
  }
  CHECK(Chosen(board, Need()) == "far");
}

TEST_CASE("a request waits at a full server only where slots become free fast", "[routing]")
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
  ServerBoard board("home");
  board.Put(Entry("near", "home"), kStart);
  ServerNeed need = Need();
  need.work = row.work;
  std::vector<InFlightSlot> slots;
  for (int n = 0; n < 3; ++n) {
    CHECK(Chosen(board, need) == "near");
    slots.push_back(board.Take("near", kStart));
  }
  CHECK(Chosen(board, need) == row.chosen);
  // One at the most, and none while another server has room.
  slots.push_back(board.Take("near", kStart));
  CHECK(Chosen(board, need) == "full");
  board.Put(Entry("far", "away"), kStart);
  slots.pop_back();
  CHECK(Chosen(board, need) == "far");
}
