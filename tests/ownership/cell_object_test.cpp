#include "ownership/cell_object.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

CellObject Sample()
{
  CellObject cell;
  cell.attached = { "d1", 7 };
  cell.token = 3;
  cell.servers["a"] = { 11, { { "d0", 2 } } };
  cell.servers["b"] = { 0, {} };
  cell.shards[5] = { "a", 4, "b" };
  cell.shards[9] = { "b", 1, "" };
  cell.outs[6] = { 8, "cells/s/y/0" };
  cell.arrivals[5] = "cells/s/z/1";
  return cell;
}

/// Decodes and reports a failure as nothing.
std::optional<CellObject> Decode(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<CellObject>> {
      BOOST_LEAF_AUTO(cell, DecodeCell(aText));
      return std::optional<CellObject>(cell);
    },
    [] { return std::optional<CellObject>(); });
}

} // namespace

TEST_CASE("a cell's record survives its encoding", "[ownership]")
{
  CHECK(Decode(EncodeCell(Sample())) == Sample());
}

TEST_CASE("a malformed record is refused", "[ownership]")
{
  const std::string text = GENERATE("",
                                    "{",
                                    "[]",
                                    "{}",
                                    R"({"attached":["d"],"token":1})",
                                    R"({"attached":["d",1],"token":"x","servers":{}})");
  CHECK_FALSE(Decode(text).has_value());
}

TEST_CASE("cell names are taken apart as they were made", "[ownership]")
{
  const auto address = ParseCellName(CellName("bookings", "north", 12));
  REQUIRE(address);
  CHECK(address->service == "bookings");
  CHECK(address->domain == "north");
  CHECK(address->number == 12);
  const std::string bad = GENERATE("",
                                   "cells",
                                   "cells/a",
                                   "cells/a/b",
                                   "cells/a/b/",
                                   "cells/a/b/x",
                                   "config/current",
                                   "cells/a/b/1x");
  CHECK_FALSE(ParseCellName(bad));
}
