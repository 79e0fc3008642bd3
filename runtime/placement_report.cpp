#include "runtime/placement_report.h"

namespace hawthornlug {

namespace {

/// A key counts as hot until this many plans in a row have found it cool: one near the limit would
/// be logged again and again otherwise.
constexpr unsigned kCoolPlans = 8;

} // namespace

PlacementReport::PlacementReport(std::string aService, DecisionLog& aLog, Metrics& aMetrics)
  : mService(std::move(aService))
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

void PlacementReport::OnMoveBegun(FleetMoveReason aReason)
{
  mMetrics.Count(LabelledName(
    "placement_moves_total",
    { { "service", mService }, { "reason", NameOf(kFleetMoveReasonNames, aReason) } }));
}

void PlacementReport::OnPlanned(const FleetPlan& aPlan)
{
  const double total = aPlan.totalWork > 0.0 ? aPlan.totalWork : 1.0;
  const auto set = [this](const char* aName, double aValue) {
    mMetrics.Set(LabelledName(aName, { { "service", mService } }), aValue);
  };
  set("placement_work_in_motion", aPlan.workInMotion / total);
  set("placement_hottest_key_share", aPlan.busiestKeyWork / total);
  for (auto& [server, it] : mHotKeys) {
    ++it.coolPlans;
  }
  for (const HotKey& it : aPlan.hotKeys) {
    NoteHotKey(it);
  }
  std::erase_if(mHotKeys, [this](const auto& aKnown) {
    const bool isOver = aKnown.second.coolPlans > kCoolPlans;
    if (isOver) {
      Log(EventId::kHotKeyOver, aKnown.first, aKnown.second.hot.key, aKnown.second.hot.work);
    }
    return isOver;
  });
}

void PlacementReport::NoteHotKey(const HotKey& aHotKey)
{
  const auto known = mHotKeys.find(aHotKey.server);
  if (known == mHotKeys.end() || known->second.hot.key != aHotKey.key) {
    Log(EventId::kHotKey, aHotKey.server, aHotKey.key, aHotKey.work);
  }
  mHotKeys[aHotKey.server] = { aHotKey, 0 };
}

void PlacementReport::Log(EventId aEvent, const std::string& aServer, RangeKey aKey, double aWork)
{
  mLog.Write(
    aEvent, { { "service", mService }, { "server", aServer }, { "key", aKey }, { "work", aWork } });
}

} // namespace hawthornlug
