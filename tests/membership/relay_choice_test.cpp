/// @file
/// Tests when a daemon replaces a relay, and by which one.

#include "membership/relay_choice.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

using Ids = std::vector<std::string>;

constexpr Instant kStart{ seconds(1000) };
constexpr RelayChoice::Settings kTwoRelays = { 2, milliseconds(500), seconds(3) };

RelayChoice MakeChoice()
{
  RelayChoice choice("self", kTwoRelays);
  choice.SetCandidates({ "a", "b", "self", "c" });
  return choice;
}

} // namespace

TEST_CASE("the first candidates are used while they are heard", "[membership][relays]")
{
  RelayChoice choice = MakeChoice();
  for (Instant now = kStart; now < kStart + seconds(3); now += milliseconds(250)) {
    CHECK(choice.Choose(now) == Ids{ "a", "b" });
    choice.OnHeard("a", now);
    choice.OnHeard("b", now);
  }
}

TEST_CASE("a relay that is silent is replaced by the next candidate, for a time",
          "[membership][relays]")
{
  RelayChoice choice = MakeChoice();
  CHECK(choice.Choose(kStart) == Ids{ "a", "b" });
  choice.OnHeard("b", kStart + milliseconds(400));
  CHECK(choice.Choose(kStart + milliseconds(500)) == Ids{ "a", "b" });
  // This daemon itself is never silent.
  const Instant replacedAt = kStart + milliseconds(510);
  CHECK(choice.Choose(replacedAt) == Ids{ "b", "self" });
  // A candidate that is not used is not expected to be heard.
  choice.OnHeard("b", replacedAt + milliseconds(2900));
  CHECK(choice.Choose(replacedAt + milliseconds(2900)) == Ids{ "b", "self" });
  CHECK(choice.Choose(replacedAt + milliseconds(3000)) == Ids{ "a", "b" });
  CHECK(choice.Choose(replacedAt + milliseconds(3500)) == Ids{ "a", "self" });
  CHECK(choice.Choose(replacedAt + milliseconds(3510)) == Ids{ "self", "c" });
}

TEST_CASE("no relay is left when all candidates are silent", "[membership][relays]")
{
  RelayChoice choice("other", { 1, milliseconds(500), seconds(3) });
  choice.SetCandidates({ "a", "b" });
  CHECK(choice.Choose(kStart) == Ids{ "a" });
  CHECK(choice.Choose(kStart + milliseconds(600)) == Ids{ "b" });
  CHECK(choice.Choose(kStart + milliseconds(1200)).empty());
  CHECK(choice.Choose(kStart + milliseconds(3700)) == Ids{ "a" });
}

TEST_CASE("a candidate that comes back after it was none is not avoided", "[membership][relays]")
{
  RelayChoice choice = MakeChoice();
  choice.Choose(kStart);
  CHECK(choice.Choose(kStart + milliseconds(600)) == Ids{ "self", "c" });
  choice.SetCandidates({ "self", "c" });
  choice.Choose(kStart + milliseconds(700));
  choice.SetCandidates({ "a", "b", "self", "c" });
  CHECK(choice.Choose(kStart + milliseconds(800)) == Ids{ "a", "b" });
}
