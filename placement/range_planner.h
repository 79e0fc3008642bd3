/// @file
/// Which pieces of key ranges go to which servers.
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
  /// Seconds of work that it does in a second.
  double capacity = 1.0;
  /// May be given keys.
  bool open = true;
};

/// A range as the planner sees it.
struct PlannedRange
{
  KeyRange keys;
  std::string owner;
  /// Where it is going, if it is on the move.
  std::string target;
  /// Its owner must lose it: it is leaving, out, or silent.
  bool mustMove = false;
  bool moving = false;
};

/// Bounds on one plan.
struct PlanBounds
{
  /// Ranges that may be on the move for balance at the same time.
  unsigned atOnce = 6;
  /// A server gives work away from this share of its capacity on.
  double busy = 0.55;
  /// And only if it has so much more than the mean.
  double imbalance = 1.3;
};

/// Plans moves: what must move first, then work for servers that have none, then balance. It
/// answers hot keys side by side: a range is cut where its work is, down to single keys.
std::vector<RangeMove> PlanRanges(const std::vector<PlannedRange>& aRanges,
                                  const std::vector<PlannedServer>& aServers,
                                  const KeyLoad& aLoad,
                                  const PlanBounds& aBounds);

} // namespace hawthornlug
