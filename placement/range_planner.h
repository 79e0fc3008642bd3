/// @file
/// Decides which key ranges, or pieces of them, to move to which servers.
#pragma once

#include "ownership/range_granter.h"
#include "placement/key_load.h"

#include <string>
#include <vector>

namespace hawthornlug {

/// A server as the planner sees it.
struct PlannedServer
{
  std::string id;
  /// Work that it can do, in seconds of server time per second.
  double capacity = 1.0;
  /// Whether keys may be moved to it.
  bool open = true;
  /// Number of requests that it runs at the same time. Used by PlanFleet().
  unsigned slots = 4;
};

/// A range as the planner sees it.
struct PlannedRange
{
  KeyRange keys;
  std::string owner;
  /// The server that the range is being moved to; empty if it is not being moved.
  std::string target;
  /// Whether it must be moved: its owner, or while it is being moved its target, is draining, out
  /// of service or unresponsive.
  bool mustMove = false;
  bool moving = false;
  /// A move for balance would not be begun now. Used by PlanFleet(), like the following fields.
  bool mustStay = false;
  /// It got its owner so recently that it should not move again without need.
  bool justMoved = false;
  /// It is being moved, and its owner has not answered the release for longer than usual.
  bool overdue = false;
};

/// Limits and thresholds of PlanRanges().
struct RangePlanLimits
{
  /// Largest number of ranges that are moved for balance at the same time.
  unsigned maxConcurrentMoves = 6;
  /// Work is moved off a server for balance only if its utilisation, which is its work over its
  /// capacity, is at least this.
  double minUtilisation = 0.55;
  /// It must also be at least this multiple of the mean utilisation.
  double minImbalance = 1.3;
};

/// Plans moves in this order: ranges that must move, then keys for servers that have none, then
/// moves for balance. Adjacent hot keys are spread over servers: a range is split according to the
/// work of its keys, down to single keys.
std::vector<RangeMove> PlanRanges(const std::vector<PlannedRange>& aRanges,
                                  const std::vector<PlannedServer>& aServers,
                                  const KeyLoad& aLoad,
                                  const RangePlanLimits& aLimits);

} // namespace hawthornlug
