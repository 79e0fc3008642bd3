#include "limits/contention.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Arrivals of the current period and of the one before count as demand: 1.5 periods on average.
constexpr Duration kArrivalPeriod = RoomAllotment::kDemandWindow * 2 / 3;
/// A target is reported for this long after a request last waited for it or was rejected.
constexpr Duration kContendedTime = milliseconds(500);
/// Levels by which requests for a dominant key are less urgent: with one level, the key's requests
/// of priority 0 took the room of other keys' requests of priority 1.
constexpr int kDemotion = 2;
/// Targets without requests are forgotten after this time.
constexpr Duration kTargetLifetime = seconds(10);
/// An expected wait that is longer than any request's timeout.
constexpr double kLongestWaitSeconds = 60.0;
/// Requests that were rejected within this time did not wait.
constexpr Duration kArrivalTime = milliseconds(10);

} // namespace

Contention::Contention(std::string aDaemon)
  : mAllotment(std::move(aDaemon))
{
}

void Contention::Tick(Instant aNow)
{
  mAllotment.Tick(aNow);
  for (auto& [number, target] : mTargets) {
    AdvancePeriod(target, aNow);
  }
  std::erase_if(
    mTargets, [aNow](const auto& aEntry) { return aNow - aEntry.second.usedAt > kTargetLifetime; });
}

void Contention::AdvancePeriod(Target& aTarget, Instant aNow)
{
  const Duration age = aNow - aTarget.periodStart;
  if (age < kArrivalPeriod) {
    return;
  }
  aTarget.earlierArrivals = age < 2 * kArrivalPeriod ? aTarget.arrivals : WaitingLevels{};
  aTarget.arrivals = {};
  aTarget.periodStart = age < 2 * kArrivalPeriod ? aTarget.periodStart + kArrivalPeriod : aNow;
}

WaitingLevels Contention::DemandOf(const Target& aTarget)
{
  WaitingLevels demand{};
  for (std::size_t n = 0; n < kWaitingLevels; ++n) {
    demand.at(n) =
      std::max(aTarget.waiting.at(n), aTarget.arrivals.at(n) + aTarget.earlierArrivals.at(n));
  }
  return demand;
}

int Contention::DemotionOf(const ContendingRequest& aRequest) const
{
  const auto it = mTargets.find(aRequest.target);
  const bool dominates =
    it != mTargets.end() && aRequest.key && it->second.dominant.Dominates(*aRequest.key);
  return dominates ? kDemotion : 0;
}

std::size_t Contention::LevelOf(const ContendingRequest& aRequest) const
{
  return WaitingLevelOf(aRequest.priority + DemotionOf(aRequest));
}

void Contention::OnArrival(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow)
{
  Target& target = mTargets[aRequest.target];
  target.usedAt = aNow;
  AdvancePeriod(target, aNow);
  if (aRequest.key) {
    target.dominant.OnRequest(*aRequest.key, aNow);
  }
  const std::size_t level = LevelOf(aRequest);
  ++target.arrivals.at(level);
  mAllotment.OnArrival(aRequest.target, level, ShareOf(aRequest, aRoom, aNow), aNow);
}

RoomShare Contention::ShareOf(const ContendingRequest& aRequest,
                              const ServerRoom& aRoom,
                              Instant aNow)
{
  const Target& target = mTargets[aRequest.target];
  return mAllotment.ShareOf(aRequest.target, LevelOf(aRequest), DemandOf(target), aRoom, aNow);
}

void Contention::BeginPass()
{
  for (auto& [number, target] : mTargets) {
    target.waitingInPass = {};
  }
}

void Contention::EndPass()
{
  for (auto& [number, target] : mTargets) {
    target.waiting = target.waitingInPass;
  }
}

bool Contention::IsLimited(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow)
{
  return !ShareOf(aRequest, aRoom, aNow).unlimited;
}

bool Contention::MaySend(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow)
{
  const RoomShare share = ShareOf(aRequest, aRoom, aNow);
  return share.unlimited || share.credit >= 1.0;
}

void Contention::OnSent(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow)
{
  if (IsLimited(aRequest, aRoom, aNow)) {
    ++mTotals.allotted;
    mAllotment.OnSent(aRequest.target, LevelOf(aRequest), aNow);
  }
}

void Contention::OnWaiting(const ContendingRequest& aRequest, Instant aNow)
{
  Target& target = mTargets[aRequest.target];
  target.usedAt = aNow;
  target.contendedAt = aNow;
  ++target.waitingInPass.at(LevelOf(aRequest));
}

void Contention::OnRejected(const ContendingRequest& aRequest,
                            Duration aWaited,
                            Duration aTargetLatency,
                            Instant aNow)
{
  mTargets[aRequest.target].contendedAt = aNow;
  if (aWaited < kArrivalTime) {
    ++mTotals.rejectedAtArrival;
  } else if (aWaited < aTargetLatency / 2) {
    ++mTotals.rejectedEarly;
  } else {
    ++mTotals.rejectedLate;
  }
}

void Contention::Describe(WaitConditions& aQueue,
                          const ContendingRequest& aRequest,
                          const ServerRoom& aRoom,
                          Instant aNow)
{
  if (aRoom.slots == 0) {
    return;
  }
  const Target& target = mTargets[aRequest.target];
  const RoomShare share = ShareOf(aRequest, aRoom, aNow);
  const std::size_t level = LevelOf(aRequest);
  const unsigned atServer =
    aRoom.outstanding >= aRoom.slots ? aRoom.outstanding - aRoom.slots + 1 : 0;
  double wait = 0.0;
  if (share.unlimited) {
    const unsigned ahead = TotalOf(target.waitingInPass);
    wait = (ahead + atServer) / aRoom.perSecond;
  } else {
    const double missing = target.waitingInPass.at(level) + 1.0 - share.credit;
    wait = std::max(0.0, missing) / std::max(share.perSecond, 1.0 / kLongestWaitSeconds) +
           atServer / aRoom.perSecond;
  }
  aQueue.contended = true;
  aQueue.expectedWait = FromSeconds(std::min(wait, kLongestWaitSeconds));
  const WaitingLevels others = mAllotment.OthersFor(aRequest.target);
  aQueue.othersInTime = TotalOf(target.waitingInPass) + TotalOf(others) > 0;
}

WaitingCounts Contention::Demand(Instant aNow) const
{
  WaitingCounts demand;
  for (const auto& [number, target] : mTargets) {
    const WaitingLevels levels = DemandOf(target);
    if (aNow - target.contendedAt < kContendedTime && TotalOf(levels) > 0) {
      demand[number] = levels;
    }
  }
  LimitTargets(demand, kMaxWaitingTargets);
  return demand;
}

} // namespace hawthornlug
