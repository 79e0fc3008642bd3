/// @file
/// Tests the limit on the requests to a server that is warming up.

#include "limits/warm_up_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("two issuers together keep a cold server's limit, whenever the permits are used",
          "[limits]")
{
  const double perSecond = GENERATE(8.6, 11.6, 14.15);
  const Duration useAfter = GENERATE(milliseconds(0), milliseconds(100), milliseconds(249));
  WarmUpLimit first;
  WarmUpLimit second;
  std::vector<Instant> usedAt;
  const Instant start = Instant() + seconds(100);
  for (Instant now = start; now < start + seconds(10); now += milliseconds(10)) {
    const unsigned granted =
      first.Take("s", 3, perSecond, now) + second.Take("s", 50, perSecond, now);
    // The permits of the first half second are saved up for as long as they last.
    const Instant use = now < start + milliseconds(500) ? now + useAfter : now;
    usedAt.insert(usedAt.end(), granted, use);
  }
  REQUIRE(usedAt.size() > 10);
  for (const Instant from : usedAt) {
    const auto inSecond = std::count_if(usedAt.begin(), usedAt.end(), [&](Instant aUse) {
      return aUse >= from && aUse < from + seconds(1);
    });
    CHECK(static_cast<double>(inSecond) <= perSecond);
  }
}

TEST_CASE("servers have limits of their own, and a small limit still lets one request through",
          "[limits]")
{
  WarmUpLimit limit;
  const Instant now = Instant() + seconds(100);
  CHECK(limit.Take("a", 2, 11.6, now) == 2);
  CHECK(limit.Take("a", 9, 11.6, now) == 3);
  CHECK(limit.Take("a", 1, 11.6, now) == 0);
  CHECK(limit.Take("b", 1, 11.6, now) == 1);
  CHECK(limit.Take("c", 5, 0.5, now) == 1);
  CHECK(limit.Take("c", 5, 0.5, now) == 0);
  CHECK(limit.Take("a", 9, 11.6, now + seconds(1) + kPermitLifetime) == 5);
}
