/// @file
/// What may be said of a request, from what is known of its attempts.

#include "core/execution_record.h"
#include "http/promise.h"

#include <catch2/catch.hpp>

#include <type_traits>
#include <vector>

using namespace hawthornlug;

namespace {

constexpr auto kMayHaveRun = AttemptEvidence::kMayHaveRun;
constexpr auto kNothingWritten = AttemptEvidence::kNothingWritten;
constexpr auto kRefused = AttemptEvidence::kRefused;

} // namespace

// Neither a proof nor a permit can be made but by a record.
static_assert(!std::is_default_constructible_v<NotRunProof>);
static_assert(!std::is_aggregate_v<NotRunProof>);
static_assert(!std::is_default_constructible_v<AttemptPermit>);
static_assert(!std::is_aggregate_v<AttemptPermit>);
static_assert(!std::is_copy_constructible_v<AttemptPermit>);
static_assert(!std::is_copy_constructible_v<ExecutionRecord>);
// A status is a promise or promises nothing, and can't be taken for the other.
static_assert(!std::is_convertible_v<int, http::PlainStatus>);
static_assert(!std::is_convertible_v<int, http::PromiseStatus>);
static_assert(http::PlainStatus(503).Value() == http::PlainStatus::kBadGateway);

TEST_CASE("a request is proved not to have run only if no attempt may have run it",
          "[core][promises]")
{
  struct Row
  {
    std::string name;
    std::vector<AttemptEvidence> ended;
    unsigned open;
    bool proved;
  };
  const auto row = GENERATE(values<Row>({
    { "no attempt", {}, 0, true },
    { "nothing written", { kNothingWritten }, 0, true },
    { "refused", { kRefused }, 0, true },
    { "refused, nothing written, refused", { kRefused, kNothingWritten, kRefused }, 0, true },
    { "may have run", { kMayHaveRun }, 0, false },
    { "may have run, then refused", { kMayHaveRun, kRefused }, 0, false },
    { "may have run, then nothing written", { kMayHaveRun, kNothingWritten }, 0, false },
    { "refused, then may have run", { kRefused, kMayHaveRun }, 0, false },
    { "one under way", {}, 1, false },
    { "one refused, one under way", { kRefused }, 1, false },
  }));
  INFO(row.name);
  ExecutionRecord record;
  for (unsigned n = 0; n < row.open; ++n) {
    REQUIRE(record.Begin());
  }
  for (const AttemptEvidence it : row.ended) {
    const auto permit = record.Begin();
    REQUIRE(permit);
    record.End(permit->Number(), it);
  }
  CHECK(record.MayHaveRun() == !row.proved);
  CHECK(record.Close().has_value() == row.proved);
}

TEST_CASE("no attempt begins once a request is closed", "[core][promises]")
{
  ExecutionRecord record;
  REQUIRE(record.Close());
  CHECK_FALSE(record.Begin());
  CHECK(record.Close());
}

TEST_CASE("the end of an attempt that is not under way proves nothing", "[core][promises]")
{
  ExecutionRecord record;
  SECTION("never begun")
  {
    record.End(1, kRefused);
  }
  SECTION("ended twice, while another one is under way")
  {
    const auto first = record.Begin();
    const auto second = record.Begin();
    REQUIRE((first && second));
    record.End(first->Number(), kRefused);
    record.End(first->Number(), kRefused);
  }
  SECTION("ended twice")
  {
    const auto permit = record.Begin();
    REQUIRE(permit);
    record.End(permit->Number(), kRefused);
    record.End(permit->Number(), kRefused);
  }
  CHECK_FALSE(record.Close());
}

TEST_CASE("exactly 408, 421, 429 and 503 are promises", "[core][promises]")
{
  for (int status = 100; status < 600; ++status) {
    INFO(status);
    const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
    CHECK(http::PromiseOf(status).has_value() == promises);
    CHECK_FALSE(http::PromiseOf(http::PlainStatus(status).Value()));
  }
}
