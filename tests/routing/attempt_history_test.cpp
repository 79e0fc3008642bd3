/// @file
/// Which results of an attempt keep the next one off the connections that are open.

#include "routing/attempt_history.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

// Guards against TWICE and wrong answers: any earlier answer may be written once more.
TEST_CASE("a server that has answered a request gets it again on a new connection only",
          "[routing][reports]")
{
  struct Row
  {
    ForwardResult result;
    bool needsNew;
  };
  const auto row = GENERATE(values<Row>({
    { ForwardResult::kAnswered, true },
    { ForwardResult::kNotRun, true },
    { ForwardResult::kNotOwner, true },
    { ForwardResult::kBroken, true },
    { ForwardResult::kUnreachable, false },
    { ForwardResult::kConnectionRefused, false },
    { ForwardResult::kTimedOut, false },
    { ForwardResult::kTooLarge, false },
  }));
  INFO(NameOf(kForwardResultNames, row.result));
  AttemptHistory history;
  CHECK_FALSE(history.NeedsNewConnection("a"));
  history.OnResult("a", row.result);
  CHECK(history.NeedsNewConnection("a") == row.needsNew);
  CHECK_FALSE(history.NeedsNewConnection("b"));
}
