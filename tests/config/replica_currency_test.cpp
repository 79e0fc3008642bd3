/// @file
/// How current a replica counts as follows from readings and statements only.

#include "config/replica_currency.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr ObjectKind kKind = ObjectKind::kConfiguration;
constexpr Instant kStart{ seconds(100) };

Instant After(Duration aTime)
{
  return kStart + aTime;
}

StoreReading Reading(std::uint64_t aAt, std::uint64_t aRevision, StoreEra aEra = 1)
{
  return { StoreResult::kDone,
           { { "main", StoreRevision(aRevision, aEra), false, "{}" } },
           StoreRevision(aAt, aEra) };
}

} // namespace

TEST_CASE("a statement counts only if the replica has all that it is about", "[config][currency]")
{
  struct Row
  {
    const char* name;
    StoreRevision at;
    StoreRevision changedAt;
    bool counts;
  };
  const auto row = GENERATE(values<Row>({
    { "the same", StoreRevision(20, 1), StoreRevision(15, 1), true },
    { "later, without a change", StoreRevision(30, 1), StoreRevision(15, 1), true },
    { "later, with a change that the replica's reading includes",
      StoreRevision(30, 1),
      StoreRevision(20, 1),
      true },
    { "later, with a change", StoreRevision(30, 1), StoreRevision(21, 1), false },
    { "earlier", StoreRevision(10, 1), StoreRevision(5, 1), true },
    { "of a later era", StoreRevision(10, 2), StoreRevision(5, 2), false },
    { "of an earlier era", StoreRevision(90, 0), StoreRevision(5, 0), false },
  }));
  INFO(row.name);
  ObjectMirror mirror;
  ReplicaCurrency currency(mirror, kStart);
  mirror.ApplyList(kKind, Reading(20, 15));
  currency.OnReading(kKind, After(seconds(1)));
  currency.OnStatement({ kKind, row.at, row.changedAt, After(seconds(2)) });
  CHECK(currency.AsOf(kKind) == After(seconds(row.counts ? 2 : 1)));
}

TEST_CASE("a statement counts once the change that it has is applied", "[config][currency]")
{
  ObjectMirror mirror;
  ReplicaCurrency currency(mirror, kStart);
  mirror.ApplyList(kKind, Reading(20, 15));
  currency.OnReading(kKind, After(seconds(1)));
  currency.OnStatement({ kKind, StoreRevision(30, 1), StoreRevision(25, 1), After(seconds(2)) });
  // One that is no newer must not displace it.
  currency.OnStatement({ kKind, StoreRevision(28, 1), StoreRevision(24, 1), After(seconds(3)) });
  mirror.ApplyChanges(kKind, StoreRevision(20, 1), Reading(23, 22));
  currency.OnApplied(kKind);
  CHECK(currency.AsOf(kKind) == After(seconds(1)));
  mirror.ApplyChanges(kKind, StoreRevision(23, 1), Reading(26, 25));
  currency.OnApplied(kKind);
  CHECK(currency.AsOf(kKind) == After(seconds(2)));
  CHECK(mirror.At(kKind) == StoreRevision(30, 1));
}

TEST_CASE("in a series of changes a replica that is one behind counts as one behind",
          "[config][currency]")
{
  ObjectMirror mirror;
  ReplicaCurrency currency(mirror, kStart);
  mirror.ApplyList(kKind, Reading(100, 100));
  for (std::uint64_t n = 1; n <= 100; ++n) {
    const std::uint64_t revision = 100 + n;
    currency.OnStatement({ kKind,
                           StoreRevision(revision, 1),
                           StoreRevision(revision, 1),
                           After(milliseconds(60 * n)) });
    mirror.ApplyChanges(kKind, StoreRevision(100, 1), Reading(revision - 1, revision - 1));
    currency.OnApplied(kKind);
    CHECK(currency.AsOf(kKind) == After(milliseconds(60 * (n - 1))));
  }
}

TEST_CASE("a replica without a list is current only as of the start", "[config][currency]")
{
  ObjectMirror mirror;
  ReplicaCurrency currency(mirror, kStart);
  currency.OnStatement({ kKind, StoreRevision(30, 1), StoreRevision(25, 1), After(seconds(2)) });
  CHECK(currency.AsOf(kKind) == kStart);
  // What another daemon sends then is of the time that it stated.
  mirror.ApplyList(kKind, Reading(30, 25));
  currency.OnApplied(kKind);
  CHECK(currency.AsOf(kKind) == After(seconds(2)));
}

TEST_CASE("the time up to which a replica is complete never goes back", "[config][currency]")
{
  ObjectMirror mirror;
  ReplicaCurrency currency(mirror, kStart);
  mirror.ApplyList(kKind, Reading(20, 15));
  currency.OnReading(kKind, After(seconds(5)));
  currency.OnReading(kKind, After(seconds(4)));
  currency.OnStatement({ kKind, StoreRevision(20, 1), StoreRevision(15, 1), After(seconds(3)) });
  CHECK(currency.AsOf(kKind) == After(seconds(5)));
}
