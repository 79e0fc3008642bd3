/// @file
/// Which answer is given up when the answers that are being received take too much memory.

#include "limits/held_answers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("the largest answer of the server that holds most is given up", "[limits][reports]")
{
  struct Row
  {
    std::string name;
    /// Server and size of each answer; their ids are 1, 2, 3 ...
    std::vector<std::pair<std::string, std::size_t>> answers;
    std::optional<HeldAnswers::AnswerId> givenUp;
  };
  const auto row = GENERATE(values<Row>({
    { "within the limit", { { "a", 40 }, { "b", 60 } }, std::nullopt },
    { "one answer", { { "a", 101 } }, 1 },
    { "the newest is a sound server's", { { "faulty", 99 }, { "sound", 5 } }, 1 },
    { "two servers with many", { { "a", 20 }, { "a", 30 }, { "b", 40 }, { "b", 11 } }, 3 },
    { "many small ones of a faulty server",
      { { "sound", 30 }, { "faulty", 20 }, { "faulty", 25 }, { "faulty", 26 } },
      4 },
    { "alike", { { "a", 51 }, { "b", 51 } }, 1 },
  }));
  INFO(row.name);
  HeldAnswers held(100);
  HeldAnswers::AnswerId id = 0;
  for (const auto& [server, bytes] : row.answers) {
    CHECK_FALSE(held.ToGiveUp());
    held.Update(++id, server, bytes);
  }
  CHECK(held.ToGiveUp() == row.givenUp);
}

TEST_CASE("answers that have ended are not counted", "[limits]")
{
  HeldAnswers held(100);
  held.Update(1, "a", 60);
  held.Update(1, "a", 90);
  CHECK(held.Bytes() == 90);
  held.Remove(1);
  held.Remove(1);
  CHECK(held.Bytes() == 0);
  held.Update(2, "b", 100);
  CHECK_FALSE(held.ToGiveUp());
}

TEST_CASE("a sound server's answers go on beside a faulty server's", "[limits][reports]")
{
  constexpr HeldAnswers::AnswerId kSound = 1;
  HeldAnswers held(1000);
  std::size_t sound = 0;
  // Twenty answers without end, each of which is sent again when it has been given up.
  for (unsigned n = 0; n < 2000; ++n) {
    held.Update(2 + n % 20, "faulty", 10 + n / 20);
    if (n % 10 == 0) {
      held.Update(kSound, "sound", ++sound);
    }
    while (const auto givenUp = held.ToGiveUp()) {
      REQUIRE(*givenUp != kSound);
      held.Remove(*givenUp);
    }
    REQUIRE(held.Bytes() <= 1000);
  }
}

TEST_CASE("a process's memory bounds its answers", "[limits]")
{
  const std::size_t memory = std::size_t{ 260 } << 20;
  const AnswerLimits limits = AnswerLimitsFor(memory);
  CHECK(limits.one <= limits.all);
  // A growing string is copied: the old and the new one, twice as large, are there for a moment.
  CHECK(3 * limits.all < memory / 2);
  // A page of stored objects, and answers of some megabytes, have room.
  CHECK(limits.one >= std::size_t{ 4 } << 20);
}
