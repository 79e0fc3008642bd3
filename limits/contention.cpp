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
/// A move of a key takes less than this.
constexpr Duration kPlaceLifetime = seconds(5);
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
  std::erase_if(mContendedAt,
                [aNow](const auto& aEntry) { return aNow - aEntry.second >= kContendedTime; });
  std::erase_if(
    mPlaces, [aNow](const auto& aEntry) { return aNow - aEntry.second.seenAt > kPlaceLifetime; });
  if (aNow - mTargetsExpiredAt < kTargetLifetime) {
    return;
  }
  mTargetsExpiredAt = aNow;
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

WaitingLevels Contention::DemandOf(std::uint32_t aTarget, Instant aNow) const
{
  const auto waiting = mWaiting.find(aTarget);
  WaitingLevels demand = waiting == mWaiting.end() ? WaitingLevels{} : waiting->second;
  const auto it = mTargets.find(aTarget);
  if (it == mTargets.end()) {
    return demand;
  }
  Target target = it->second;
  AdvancePeriod(target, aNow);
  for (std::size_t n = 0; n < kWaitingLevels; ++n) {
    demand.at(n) = std::max(demand.at(n), target.arrivals.at(n) + target.earlierArrivals.at(n));
  }
  return demand;
}

WaitingLevels Contention::WaitingInPass(std::uint32_t aTarget) const
{
  const auto it = mWaitingInPass.find(aTarget);
  return it == mWaitingInPass.end() ? WaitingLevels{} : it->second;
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

void Contention::RecordPlace(const ContendingRequest& aRequest, Instant aNow)
{
  const WaitingLevels others = mAllotment.OthersFor(aRequest.target);
  if (DemotionOf(aRequest) > 0 && TotalOf(others) > 0) {
    mPlaces[*aRequest.key] = { aRequest.target, others, aNow };
  }
}

void Contention::FollowKey(const ContendingRequest& aRequest, Instant aNow)
{
  if (!aRequest.key) {
    return;
  }
  const auto place = mPlaces.find(*aRequest.key);
  if (place == mPlaces.end() || place->second.target == aRequest.target) {
    return;
  }
  mAllotment.AssumeOthers(aRequest.target, place->second.others, aNow);
  Target& target = mTargets[aRequest.target];
  target.usedAt = aNow;
  target.dominant = mTargets[place->second.target].dominant;
  place->second.target = aRequest.target;
}

void Contention::OnArrival(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow)
{
  FollowKey(aRequest, aNow);
  Target& target = mTargets[aRequest.target];
  target.usedAt = aNow;
  AdvancePeriod(target, aNow);
  if (aRequest.key) {
    target.dominant.OnRequest(*aRequest.key, aNow);
  }
  RecordPlace(aRequest, aNow);
  const std::size_t level = LevelOf(aRequest);
  ++target.arrivals.at(level);
  mAllotment.OnArrival(aRequest.target, level, ShareOf(aRequest, aRoom, aNow), aNow);
}

RoomShare Contention::ShareOf(const ContendingRequest& aRequest,
                              const ServerRoom& aRoom,
                              Instant aNow)
{
  FollowKey(aRequest, aNow);
  return mAllotment.ShareOf(
    aRequest.target, LevelOf(aRequest), DemandOf(aRequest.target, aNow), aRoom, aNow);
}

void Contention::BeginPass()
{
  mWaitingInPass.clear();
}

void Contention::EndPass()
{
  mWaiting = mWaitingInPass;
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
  mContendedAt[aRequest.target] = aNow;
  ++mWaitingInPass[aRequest.target].at(LevelOf(aRequest));
}

void Contention::OnRejected(const ContendingRequest& aRequest,
                            Duration aWaited,
                            Duration aTargetLatency,
                            Instant aNow)
{
  mContendedAt[aRequest.target] = aNow;
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
  const WaitingLevels before = WaitingInPass(aRequest.target);
  const RoomShare share = ShareOf(aRequest, aRoom, aNow);
  const std::size_t level = LevelOf(aRequest);
  const unsigned atServer =
    aRoom.outstanding >= aRoom.slots ? aRoom.outstanding - aRoom.slots + 1 : 0;
  double wait = 0.0;
  if (share.unlimited) {
    wait = (TotalOf(before) + atServer) / aRoom.perSecond;
  } else {
    const double missing = before.at(level) + 1.0 - share.credit;
    wait = std::max(0.0, missing) / std::max(share.perSecond, 1.0 / kLongestWaitSeconds) +
           atServer / aRoom.perSecond;
  }
  aQueue.contended = true;
  aQueue.expectedWait = FromSeconds(std::min(wait, kLongestWaitSeconds));
  const WaitingLevels others = mAllotment.OthersFor(aRequest.target);
  aQueue.othersInTime = TotalOf(before) + TotalOf(others) > 0;
}

WaitingCounts Contention::Demand(Instant aNow) const
{
  WaitingCounts demand;
  for (const auto& [target, contendedAt] : mContendedAt) {
    const WaitingLevels levels = DemandOf(target, aNow);
    if (aNow - contendedAt < kContendedTime && TotalOf(levels) > 0) {
      demand[target] = levels;
    }
  }
  LimitTargets(demand, kMaxWaitingTargets);
  return demand;
}

} // namespace hawthornlug
