/// @file
/// Request table, routing table, trace context and the distribution of keys over shards.

#include "core/hashing.h"
#include "core/trace_context.h"
#include "routing/request_table.h"
#include "routing/shard_routing_table.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kNow{ seconds(10) };

OrderAnswer Done()
{
  OrderAnswer answer;
  answer.outcome = StatedOutcome::Done();
  answer.status = 200;
  return answer;
}

} // namespace

TEST_CASE("a request id is run once", "[routing]")
{
  RequestTable table(seconds(30), 100);
  CHECK(table.Begin(kNow, "r").state == RequestState::kUnseen);
  CHECK(table.Begin(kNow, "r").state == RequestState::kRunning);
  table.Finish(kNow, "r", Done());
  const auto seen = table.Begin(kNow, "r");
  CHECK(seen.state == RequestState::kFinished);
  CHECK(seen.answer->status == 200);
}

TEST_CASE("an id that is queried before its request arrives is never run", "[routing]")
{
  RequestTable table(seconds(30), 100);
  CHECK(table.Ask(kNow, "r").state == RequestState::kTombstone);
  CHECK(table.Begin(kNow, "r").state == RequestState::kTombstone);
}

TEST_CASE("a running id is never reported as not run", "[routing]")
{
  RequestTable table(seconds(30), 100);
  table.Begin(kNow, "r");
  CHECK(table.Ask(kNow, "r").state == RequestState::kRunning);
  table.Finish(kNow, "r", Done());
  CHECK(table.Ask(kNow, "r").state == RequestState::kFinished);
}

TEST_CASE("an order that was not run may be retried", "[routing]")
{
  RequestTable table(seconds(30), 100);
  table.Begin(kNow, "r");
  table.Finish(kNow, "r", RefuseUnsent(Refusal::kOverloaded));
  CHECK(table.Begin(kNow, "r").state == RequestState::kUnseen);
}

TEST_CASE("the request table stays bounded and keeps running requests", "[routing]")
{
  RequestTable table(seconds(30), 100);
  table.Begin(kNow, "running");
  for (int n = 0; n < 1000; ++n) {
    const std::string id = "r" + std::to_string(n);
    table.Begin(kNow, id);
    table.Finish(kNow, id, Done());
  }
  CHECK(table.Size() <= 102);
  CHECK(table.Begin(kNow + seconds(60), "running").state == RequestState::kRunning);
  CHECK(table.Begin(kNow + seconds(60), "r999").state == RequestState::kUnseen);
}

TEST_CASE("the routing table follows the newest record of a cell", "[routing]")
{
  ShardRoutingTable table;
  CellObject cell;
  cell.attached = { "d1", 1 };
  cell.shards[4] = { "a", 3, "" };
  table.Learn("cells/s/x/0", 10, cell);
  CHECK(table.Find("s", 4)->attached.id == "d1");
  CHECK_FALSE(table.Find("s", 5));
  CHECK_FALSE(table.Find("t", 4));

  SECTION("an older record changes nothing")
  {
    cell.attached = { "d0", 1 };
    table.Learn("cells/s/x/0", 9, cell);
    CHECK(table.Find("s", 4)->attached.id == "d1");
  }
  SECTION("a shard in handover is routed to the cell that receives it")
  {
    CellObject other;
    other.attached = { "d2", 1 };
    other.shards[7] = { "e", 1, "" };
    table.Learn("cells/s/y/0", 11, other);
    cell.shards.clear();
    cell.departures[4] = { 4, "cells/s/y/0" };
    table.Learn("cells/s/x/0", 12, cell);
    CHECK(table.Find("s", 4)->attached.id == "d2");
    CHECK(table.Find("s", 4)->domain == "y");
  }
}

TEST_CASE("trace context is parsed as the W3C specification defines it", "[core]")
{
  const auto trace = TraceContext::Parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  REQUIRE(trace);
  CHECK(trace->sampled);
  CHECK(trace->Header() == "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  CHECK(trace->Child().TraceId() == trace->TraceId());
  CHECK(trace->Child().SpanId() != trace->SpanId());
  const std::string bad = GENERATE("",
                                   "00-x",
                                   "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                   "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                   "00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333z-01");
  CHECK_FALSE(TraceContext::Parse(bad));
}

TEST_CASE("keys are spread evenly over shards", "[core]")
{
  std::vector<int> counts(64, 0);
  for (int n = 0; n < 64000; ++n) {
    ++counts[ShardOf("key-" + std::to_string(n), 64)];
  }
  for (const int it : counts) {
    CHECK(it > 800);
    CHECK(it < 1200);
  }
}
