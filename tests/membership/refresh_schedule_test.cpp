/// @file
/// When a daemon reads the store by itself, and how rarely it calls one that does not answer.

#include "membership/refresh_schedule.h"

#include "config/news_budget.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr Instant kAsOf{ seconds(100) };
constexpr ObjectKind kKind = ObjectKind::kConfiguration;
constexpr Duration kStep = milliseconds(10);

/// Calls of a daemon to which nobody tells anything, and whose calls end after @p aCall.
unsigned CallsIn(Duration aTime, Duration aCall, bool aDone)
{
  RefreshSchedule schedule;
  unsigned calls = 0;
  Instant now = kAsOf;
  Instant endsAt;
  bool isOpen = false;
  for (; now < kAsOf + aTime; now += kStep) {
    if (isOpen && now >= endsAt) {
      isOpen = false;
      schedule.OnEnded(aDone, aCall, now);
    }
    if (!isOpen && schedule.IsDue(kKind, kAsOf, 0, now)) {
      ++calls;
      isOpen = true;
      endsAt = now + aCall;
      schedule.OnBegun();
    }
  }
  return calls;
}

} // namespace

TEST_CASE("daemons that are preferred as watchers read first, and each doubling of the rank waits "
          "one step more",
          "[membership][refresh]")
{
  struct Row
  {
    unsigned rank;
    unsigned steps;
  };
  const auto row = GENERATE(
    values<Row>({ { 0, 0 }, { 1, 1 }, { 2, 2 }, { 3, 2 }, { 4, 3 }, { 45, 6 }, { 469, 9 } }));
  INFO(row.rank);
  const RefreshSchedule schedule;
  const Instant due = kAsOf + kCurrencyPatience + row.steps * kRefreshStep;
  CHECK_FALSE(schedule.IsDue(kKind, kAsOf, row.rank, due - kStep));
  CHECK(schedule.IsDue(kKind, kAsOf, row.rank, due));
}

TEST_CASE("a store that does not answer, or slowly, is called ever more rarely",
          "[membership][refresh]")
{
  struct Row
  {
    const char* name;
    Duration call;
    bool done;
    unsigned most;
  };
  const auto row = GENERATE(values<Row>({
    { "refuses at once", milliseconds(10), false, 10 },
    { "is silent", milliseconds(500), false, 9 },
    { "is slow", milliseconds(250), true, 25 },
    { "is very slow", milliseconds(1200), true, 6 },
  }));
  INFO(row.name);
  const unsigned calls = CallsIn(seconds(30), row.call, row.done);
  CHECK(calls <= row.most);
  // It is not given up.
  CHECK(calls >= 5);
}

TEST_CASE("kinds are read at the same time, but for a store that does not answer",
          "[membership][refresh]")
{
  RefreshSchedule schedule;
  const Instant now = kAsOf + seconds(10);
  schedule.OnBegun();
  CHECK(schedule.IsDue(ObjectKind::kServer, kAsOf, 0, now));
  schedule.OnEnded(false, kStep, now);
  const Instant later = now + seconds(1);
  CHECK(schedule.IsDue(ObjectKind::kServer, kAsOf, 0, later));
  schedule.OnBegun();
  CHECK_FALSE(schedule.IsDue(kKind, kAsOf, 0, later));
  schedule.OnEnded(true, kStep, later);
  CHECK(schedule.IsDue(kKind, kAsOf, 0, later + seconds(1)));
}
