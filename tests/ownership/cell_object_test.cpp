#include "ownership/cell_object.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

CellObject SampleCell()
{
  CellObject cell;
  cell.attached = { "d1", 7 };
  cell.token = 3;
  cell.servers["a"] = { 11, { { "d0", 2 } } };
  cell.servers["b"] = { 0, {} };
  cell.shards[5] = { "a", 4, "b" };
  cell.shards[9] = { "b", 1, "" };
  cell.departures[6] = { 8, "cells/s/y/0" };
  cell.arrivals[5] = "cells/s/z/1";
  return cell;
}

/// Returns the decoded object, or std::nullopt if decoding fails.
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

TEST_CASE("a cell object is unchanged by encoding and decoding", "[ownership]")
{
  CHECK(Decode(EncodeCell(SampleCell())) == SampleCell());
}

TEST_CASE("decoding a malformed cell object fails", "[ownership]")
{
  const std::string text = GENERATE("",
                                    "{",
                                    "[]",
                                    "{}",
                                    R"({"attached":["d"],"token":1})",
                                    R"({"attached":["d",1],"token":"x","servers":{}})");
  CHECK_FALSE(Decode(text).has_value());
}

TEST_CASE("cell names are parsed, and malformed ones are rejected", "[ownership]")
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
