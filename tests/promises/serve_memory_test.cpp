/// @file
/// What the attached daemon says when it is asked about an order, by what it remembers.

#include "routing/request_table.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr Instant kNow{ seconds(100) };
constexpr Duration kRetention = seconds(30);
constexpr std::size_t kLimit = 100;

void RunOrders(RequestTable& aTable, Instant aNow, const std::string& aPrefix, std::size_t aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    const std::string id = aPrefix + std::to_string(n);
    aTable.Begin(aNow, id);
    aTable.Finish(aNow, id, OrderAnswer::Unknown(Refusal::kNoAnswer));
  }
}

std::string Ask(RequestTable& aTable, Instant aNow, const std::string& aId)
{
  return std::string(NameOf(kRequestStateNames, aTable.Ask(aNow, aId).state));
}

} // namespace

TEST_CASE("an order that has run and was forgotten early is not said to be not run",
          "[serve][memory]")
{
  RequestTable table(kRetention, kLimit);
  RunOrders(table, kNow, "r", kLimit * 2);
  CHECK(Ask(table, kNow, "r0") == "forgotten");
  // So is an order that was never seen: the two can't be told apart.
  CHECK(Ask(table, kNow + kRetention - seconds(1), "unseen") == "forgotten");
  CHECK(Ask(table, kNow, "r199") == "finished");
  // All that was forgotten early would have expired by now.
  CHECK(Ask(table, kNow + kRetention, "unseen") == "tombstone");
}

TEST_CASE("a finished order is remembered for the whole retention from its end", "[serve][memory]")
{
  RequestTable table(kRetention, kLimit);
  table.Begin(kNow, "r");
  table.Finish(kNow + seconds(20), "r", OrderAnswer::Unknown(Refusal::kNoAnswer));
  CHECK(Ask(table, kNow + seconds(31), "r") == "finished");
  CHECK(Ask(table, kNow + seconds(49), "r") == "finished");
}

TEST_CASE("an order that was said to be not run stays refused for the whole retention",
          "[serve][memory]")
{
  RequestTable table(kRetention, kLimit);
  REQUIRE(Ask(table, kNow, "r") == "tombstone");
  RunOrders(table, kNow, "other", kLimit * 2);
  CHECK(table.Begin(kNow + kRetention - seconds(1), "r").state == RequestState::kTombstone);
}

TEST_CASE("questions don't fill the memory, and what is said to be not run stays refused",
          "[serve][memory]")
{
  RequestTable table(kRetention, kLimit);
  std::size_t falsehoods = 0;
  for (std::size_t n = 0; n < kLimit * 3; ++n) {
    Ask(table, kNow, "r" + std::to_string(n));
  }
  CHECK(table.Size() <= kLimit);
  CHECK(Ask(table, kNow, "r0") == "tombstone");
  CHECK(Ask(table, kNow, "r299") == "forgotten");
  for (std::size_t n = 0; n < kLimit * 3; ++n) {
    const std::string id = "r" + std::to_string(n);
    const bool toldNotRun = n < kLimit;
    const bool runs = table.Begin(kNow, id).state == RequestState::kUnseen;
    falsehoods += toldNotRun && runs ? 1 : 0;
  }
  CHECK(falsehoods == 0);
}
