/// @file
/// How the requests that wait at several daemons are added up and reported.

#include "routing/waiting_counts.h"
#include "runtime/load_messages.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };

} // namespace

// Guards against a daemon that counts its own requests among those of the others.
TEST_CASE("waiting requests are added up by level, and each sender gets the sum of the others",
          "[routing][contention]")
{
  WaitingSummary summary;
  summary.Put("d1", { { 1, { 2, 0, 1, 0 } }, { 2, { 1, 0, 0, 0 } } }, kStart);
  summary.Put("d2", { { 1, { 0, 3, 1, 0 } } }, kStart + milliseconds(100));
  const WaitingCounts total = summary.Total();
  CHECK(total == WaitingCounts{ { 1, { 2, 3, 2, 0 } }, { 2, { 1, 0, 0, 0 } } });
  CHECK(summary.WithoutSender(total, "d1") == WaitingCounts{ { 1, { 0, 3, 1, 0 } } });
  CHECK(summary.WithoutSender(total, "unknown") == total);
  summary.Expire(kStart + milliseconds(500));
  CHECK(summary.Total() == WaitingCounts{ { 1, { 0, 3, 1, 0 } } });
  summary.Remove("d2");
  CHECK(summary.IsEmpty());
}

TEST_CASE("priorities below 3 share a level", "[routing][contention]")
{
  CHECK(WaitingLevelOf(-1) == 0);
  CHECK(WaitingLevelOf(0) == 0);
  CHECK(WaitingLevelOf(2) == 2);
  CHECK(WaitingLevelOf(7) == 3);
}

// Guards against messages that grow with the number of servers.
TEST_CASE("a report lists the 64 targets with the highest demand", "[runtime][contention]")
{
  WaitingCounts waiting;
  for (std::uint32_t n = 0; n < 100; ++n) {
    waiting[n] = { n, 1, 0, 0 };
  }
  const wire::Envelope message =
    MakeLoadMessage({ { 5, 2 } }, LoadScope::kMember, std::move(waiting));
  const WaitingCounts read = WaitingOf(message.load());
  CHECK(CountsOf(message.load()) == InFlightCounts{ { 5, 2 } });
  CHECK(read.size() == 64);
  CHECK(read.begin()->first == 36);
  CHECK(read.at(99) == WaitingLevels{ 99, 1, 0, 0 });
}

// Guards against a malformed report that is read beyond its end.
TEST_CASE("a target without a count for each level is left out", "[runtime][contention]")
{
  wire::Envelope message =
    MakeLoadMessage({}, LoadScope::kMember, { { 1, { 1, 2, 3, 4 } }, { 2, { 5, 6, 7, 8 } } });
  message.mutable_load()->mutable_waiting()->RemoveLast();
  CHECK(WaitingOf(message.load()) == WaitingCounts{ { 1, { 1, 2, 3, 4 } } });
  message.mutable_load()->clear_waiting();
  CHECK(WaitingOf(message.load()).empty());
}
