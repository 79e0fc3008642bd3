/// @file
/// Reports the placement of one service's keys: metrics, and events for keys that are too hot.
#pragma once

#include "core/decision_log.h"
#include "core/metrics.h"
#include "placement/fleet_planner.h"

#include <array>
#include <map>
#include <string>

namespace hawthornlug {

/// What the daemon that plans a service's moves logs and exports.
class PlacementReport
{
public:
  PlacementReport(std::string aService, DecisionLog& aLog, Metrics& aMetrics);

  /// A planned move has begun.
  void OnMoveBegun(FleetMoveReason aReason);
  /// Exports the figures of a plan, and logs keys that have become too hot for their server or are
  /// so no longer.
  void OnPlanned(const FleetPlan& aPlan);

private:
  /// A key that has been too hot, and the number of plans since in which it was not.
  struct KnownHotKey
  {
    HotKey hot;
    unsigned coolPlans = 0;
  };

  void NoteHotKey(const HotKey& aHotKey);
  /// Writes an event about a key that is, or was, too hot.
  void Log(EventId aEvent, const std::string& aServer, RangeKey aKey, double aWork);

  std::string mService;
  DecisionLog& mLog;
  Metrics& mMetrics;
  /// By server.
  std::map<std::string, KnownHotKey> mHotKeys;
};

} // namespace hawthornlug
