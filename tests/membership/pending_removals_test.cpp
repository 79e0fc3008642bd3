/// @file
/// Tests which removals from the registry mean that a server is gone, and from when on.

#include "membership/pending_removals.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };
using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("without an outage a server whose entry is removed is gone at once", "[membership]")
{
  PendingRemovals entries;
  entries.OnRemoved("a");
  CHECK(entries.TakeConfirmed(kStart) == Ids{ "a" });
  CHECK(entries.TakeConfirmed(kStart).empty());
}

TEST_CASE("a server whose entry expired in an outage has 2.2 seconds to renew it", "[membership]")
{
  PendingRemovals entries;
  entries.OnOutage(kStart);
  entries.OnOutage(kStart + seconds(4));
  // An earlier time of the same outage does not shorten the wait.
  entries.OnOutage(kStart + seconds(1));
  entries.OnRemoved("back");
  entries.OnRemoved("gone");
  CHECK(entries.TakeConfirmed(kStart + seconds(5)).empty());
  entries.OnPresent("back");
  CHECK(entries.TakeConfirmed(kStart + seconds(6)).empty());
  CHECK(entries.TakeConfirmed(kStart + milliseconds(6200)) == Ids{ "gone" });
  // A later removal is not attributed to that outage.
  entries.OnRemoved("later");
  CHECK(entries.TakeConfirmed(kStart + seconds(9)) == Ids{ "later" });
}
