/// @file
/// How the requests in flight that several daemons report are added up.

#include "routing/load_summary.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };

} // namespace

TEST_CASE("reports are added up, and each sender gets the sum of the others", "[routing][load]")
{
  LoadSummary summary;
  summary.Put("d1", { { 1, 2 }, { 2, 1 } }, kStart);
  summary.Put("d2", { { 1, 3 } }, kStart);
  summary.Put("d3", {}, kStart);
  const InFlightCounts total = summary.Total();
  CHECK(total == InFlightCounts{ { 1, 5 }, { 2, 1 } });
  struct Row
  {
    std::string sender;
    InFlightCounts others;
  };
  const auto row = GENERATE(values<Row>({
    { "d1", { { 1, 3 } } },
    { "d2", { { 1, 2 }, { 2, 1 } } },
    { "d3", { { 1, 5 }, { 2, 1 } } },
    { "unknown", { { 1, 5 }, { 2, 1 } } },
  }));
  INFO(row.sender);
  CHECK(summary.WithoutSender(total, row.sender) == row.others);
}

TEST_CASE("a report replaces the earlier one of its sender", "[routing][load]")
{
  LoadSummary summary;
  summary.Put("d1", { { 1, 2 }, { 2, 1 } }, kStart);
  summary.Put("d1", { { 2, 4 } }, kStart + milliseconds(10));
  CHECK(summary.Total() == InFlightCounts{ { 2, 4 } });
}

TEST_CASE("a report that is not renewed expires", "[routing][load]")
{
  LoadSummary summary;
  summary.Put("d1", { { 1, 2 } }, kStart);
  summary.Put("d2", { { 1, 1 } }, kStart + seconds(1));
  summary.Expire(kStart + milliseconds(1400));
  CHECK(summary.Total() == InFlightCounts{ { 1, 3 } });
  summary.Expire(kStart + milliseconds(1600));
  CHECK(summary.Total() == InFlightCounts{ { 1, 1 } });
  summary.Expire(kStart + milliseconds(2600));
  CHECK(summary.IsEmpty());
}
