/// @file
/// The comparison of what callers were told with what servers ran finds each kind of falsehood.

#include "tests/support/told_ledger.h"

#include <catch2/catch.hpp>

using hawthornlug::test::ToldLedger;

TEST_CASE("promises are compared with earlier and later runs", "[promises]")
{
  for (const int status : { 408, 421, 429, 503 }) {
    INFO(status);
    ToldLedger ledger;
    ledger.NoteRun("before");
    ledger.NoteStatus("before", status);
    CHECK(ledger.Falsehoods().size() == 1);
    ledger.NoteStatus("after", status);
    CHECK(ledger.Falsehoods().size() == 1);
    ledger.NoteRun("after");
    CHECK(ledger.Falsehoods().size() == 2);
  }
}

TEST_CASE("other statuses promise nothing", "[promises]")
{
  for (const int status : { 200, 400, 404, 500, 502, 504 }) {
    INFO(status);
    ToldLedger ledger;
    ledger.NoteRun("x");
    ledger.NoteStatus("x", status);
    ledger.NoteRun("x");
    CHECK(ledger.Falsehoods().empty());
  }
}

TEST_CASE("what may run once and runs twice is found, wherever it runs", "[promises]")
{
  ToldLedger ledger;
  ledger.NoteOnce("once");
  ledger.NoteRun("once", "a life 1");
  CHECK(ledger.Falsehoods().empty());
  ledger.NoteRun("once", "b life 2");
  REQUIRE(ledger.Falsehoods().size() == 1);
  CHECK(ledger.Falsehoods()[0].find("a life 1 b life 2") != std::string::npos);
}

TEST_CASE("what may run once and was sent behind a response that closes may not run", "[promises]")
{
  ToldLedger ledger;
  for (const char* const it : { "ran", "runs", "safe", "unread" }) {
    if (it != std::string("safe")) {
      ledger.NoteOnce(it);
    }
  }
  ledger.NoteRun("ran");
  ledger.NoteRun("safe");
  for (const char* const it : { "ran", "runs", "safe", "unread" }) {
    ledger.NoteBehindClose(it);
  }
  ledger.NoteRun("runs");
  CHECK(ledger.SentBehindClose() == 4);
  CHECK(ledger.RanBehindClose(false) == 3);
  CHECK(ledger.RanBehindClose(true) == 2);
  CHECK(ledger.Falsehoods().size() == 2);
}
