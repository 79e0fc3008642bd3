/// @file
/// The metrics of placement.

#include "runtime/placement_report.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("a service of any name has metrics of its own, on one line each", "[runtime][metrics]")
{
  struct Row
  {
    std::string service;
    std::string label;
  };
  const auto row = GENERATE(values<Row>({
    { "reservations", "reservations" },
    { "a b&c", "a b&c" },
    { "a\"} 7", "a\\\"} 7" },
    { "a\\", "a\\\\" },
    { "a\nhawthornlug_ready 1", "a\\nhawthornlug_ready 1" },
  }));
  INFO(row.service);
  DecisionLog log("test");
  Metrics metrics;
  PlacementReport report(row.service, log, metrics);
  report.OnMoveBegun(FleetMoveReason{});
  report.OnPlanned({});
  const std::string label = "{service=\"" + row.label + "\"";
  const std::string text = metrics.Text();
  INFO(text);
  CHECK(text.find("hawthornlug_placement_moves_total" + label + ",") != std::string::npos);
  CHECK(text.find("hawthornlug_placement_work_in_motion" + label + "} 0\n") != std::string::npos);
  CHECK(std::count(text.begin(), text.end(), '\n') == 3);
}
