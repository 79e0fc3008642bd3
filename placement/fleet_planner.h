/// @file
/// Plans the moves of key ranges in large fleets: limited by what moving costs, not by number.
#pragma once

#include "core/enum_names.h"
#include "placement/range_planner.h"
#include "placement/work_table.h"

#include <array>
#include <string>
#include <vector>

namespace hawthornlug {

/// Why a range is moved.
enum class FleetMoveReason
{
  kOwnerLost,   ///< Its owner is draining, out of service or unresponsive.
  kEmptyServer, ///< The target has no keys yet.
  kHotKey,      ///< Its owner has a key that is too hot for one server.
  kBalance,     ///< Its owner has more than its share of the work.
  kJoin,        ///< It has little work, and becomes one range with its neighbour.
};
inline constexpr EnumNames<5> kFleetMoveReasonNames = { "owner-lost",
                                                        "empty-server",
                                                        "hot-key",
                                                        "balance",
                                                        "join" };

/// Limits and thresholds of PlanFleet().
struct FleetPlanLimits
{
  /// Share of the measured work that may be in motion for balance: keys in motion are not served.
  double maxWorkInMotion = 0.1;
  /// Work is moved off a server for balance only if its utilisation is at least this: below it, a
  /// request rarely finds all slots of the server busy.
  double minUtilisation = 0.45;
  /// It must also be at least this multiple of the mean utilisation. Differences below it are
  /// within the error of the measured work.
  double minImbalance = 1.25;
  /// No range is split for balance if there are this many. A range takes up to 60 bytes in the
  /// record, which stays below 256 KB.
  unsigned maxRanges = 4000;
  /// Ranges with little work are joined to their neighbours while there are more ranges than this
  /// multiple of the servers, or than half of maxRanges.
  double joinAbove = 3.0;
};

/// A move and its reason.
struct FleetMove
{
  RangeMove move;
  FleetMoveReason reason = FleetMoveReason::kBalance;
};

/// A key that is too hot for its server.
struct HotKey
{
  std::string server;
  RangeKey key = 0;
  /// Work of the key, in seconds of server time per second.
  double work = 0.0;
};

/// What PlanFleet() returns.
struct FleetPlan
{
  std::vector<FleetMove> moves;
  std::vector<HotKey> hotKeys;
  /// Measured work, in seconds of server time per second: of all keys, of the keys in motion for
  /// balance once the moves have begun, and of the busiest key.
  double totalWork = 0.0;
  double workInMotion = 0.0;
  double busiestKeyWork = 0.0;
};

/// Plans moves in this order: ranges that must move, then keys for servers that have none, then
/// moves for balance off the busiest servers, then moves that join ranges.
///
/// The busiest key of a server stays where it is if it alone has more than the server's share of
/// the work: another server could do no more for it, and its requests would wait during the move.
/// Its neighbours leave instead.
FleetPlan PlanFleet(const std::vector<PlannedRange>& aRanges,
                    const std::vector<PlannedServer>& aServers,
                    const WorkTable& aWork,
                    const FleetPlanLimits& aLimits);

} // namespace hawthornlug
