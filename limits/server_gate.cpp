#include "limits/server_gate.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Weight of the newest sample in the usual latency is one part in this many.
constexpr std::int64_t kLatencySmoothing = 32;
/// Flows that are remembered before those without a claim are dropped.
constexpr std::size_t kMaxFlows = 1024;

} // namespace

ServerGate::ServerGate(GateLimits aLimits)
  : mLimits(aLimits)
  , mAllowed(1)
{
}

GateDecision ServerGate::Offer(Instant aNow, const GateOffer& aOffer)
{
  if (aOffer.deadline <= aNow) {
    return GateDecision::kRefuse;
  }
  if (mRunning < mAllowed && mQueue.empty()) {
    ++mRunning;
    TakeTurn(aOffer);
    return GateDecision::kRun;
  }
  const bool tooLate = aNow + ExpectedWait() >= aOffer.deadline;
  if (mQueue.size() >= mLimits.queueLimit || tooLate) {
    return GateDecision::kRefuse;
  }
  mQueue.emplace(Turn{ TakeTurn(aOffer), aOffer.deadline, aOffer.ticket }, aOffer);
  return GateDecision::kQueue;
}

std::uint64_t ServerGate::TakeTurn(const GateOffer& aOffer)
{
  if (mKeyTurns.size() > kMaxFlows || mCallerTurns.size() > kMaxFlows) {
    const auto idle = [&](const auto& aFlow) { return aFlow.second <= mVirtualTime; };
    std::erase_if(mKeyTurns, idle);
    std::erase_if(mCallerTurns, idle);
  }
  std::uint64_t& keyTurn = mKeyTurns[aOffer.keyFlow];
  std::uint64_t& callerTurn = mCallerTurns[aOffer.callerFlow];
  const std::uint64_t start = std::max({ mVirtualTime, keyTurn, callerTurn });
  keyTurn = start + 1;
  callerTurn = start + 1;
  return start;
}

std::vector<TicketId> ServerGate::Finish(Instant aNow, Duration aLatency, GateResult aResult)
{
  if (mRunning > 0) {
    --mRunning;
  }
  if (aResult == GateResult::kShed) {
    OnColdStart();
  } else if (aResult == GateResult::kServed) {
    OnServed(aNow, aLatency);
  }
  return StartWaiting();
}

bool ServerGate::IsJump(Duration aLatency) const
{
  return mLatency.count() > 0 && aLatency >= mLimits.coldLatencyFloor &&
         aLatency > mLatency * mLimits.coldLatencyFactor;
}

void ServerGate::OnServed(Instant aNow, Duration aLatency)
{
  mSlowInARow = IsJump(aLatency) ? mSlowInARow + 1 : 0;
  if (mSlowInARow == 1) {
    mSlowSince = aNow;
  }
  const bool lasting = aNow - mSlowSince >= mLimits.coldAfter;
  if (mSlowInARow >= mLimits.coldAnswers && lasting) {
    OnColdStart();
  } else if (mSlowInARow == 0) {
    Grow(aLatency);
  }
  mLatency =
    mLatency.count() == 0 ? aLatency : mLatency + (aLatency - mLatency) / kLatencySmoothing;
}

std::vector<TicketId> ServerGate::GiveBack()
{
  if (mRunning > 0) {
    --mRunning;
  }
  return StartWaiting();
}

void ServerGate::Grow(Duration aLatency)
{
  const bool stillCold =
    mReference.count() > 0 && aLatency > mReference * mLimits.warmLatencyFactor;
  if (mAllowed >= mLimits.slots || stillCold) {
    return;
  }
  ++mServedSinceGrowth;
  if (mServedSinceGrowth >= mLimits.warmupPerSlot) {
    ++mAllowed;
    mServedSinceGrowth = 0;
  }
}

std::vector<TicketId> ServerGate::StartWaiting()
{
  std::vector<TicketId> started;
  while (mRunning < mAllowed && !mQueue.empty()) {
    const auto it = mQueue.begin();
    mVirtualTime = std::max(mVirtualTime, it->first.start);
    started.push_back(it->first.ticket);
    mQueue.erase(it);
    ++mRunning;
  }
  if (mQueue.empty()) {
    mKeyTurns.clear();
    mCallerTurns.clear();
  }
  return started;
}

std::vector<TicketId> ServerGate::Expire(Instant aNow)
{
  std::vector<TicketId> expired;
  for (auto it = mQueue.begin(); it != mQueue.end();) {
    if (it->first.deadline > aNow) {
      ++it;
      continue;
    }
    expired.push_back(it->first.ticket);
    it = mQueue.erase(it);
  }
  return expired;
}

bool ServerGate::Cancel(TicketId aTicket)
{
  return std::erase_if(mQueue,
                       [&](const auto& aEntry) { return aEntry.first.ticket == aTicket; }) != 0;
}

void ServerGate::OnColdStart()
{
  mAllowed = 1;
  mServedSinceGrowth = 0;
  mSlowInARow = 0;
}

void ServerGate::SetSlots(std::uint32_t aSlots)
{
  mLimits.slots = aSlots;
  mAllowed = std::min(mAllowed, aSlots);
}

void ServerGate::SetReference(Duration aLatency)
{
  mReference = aLatency;
}

Duration ServerGate::ExpectedWait() const
{
  if (mLatency.count() == 0) {
    return Duration::zero();
  }
  const auto ahead = static_cast<std::int64_t>(mQueue.size()) + 1;
  return mLatency * ahead / std::max<std::int64_t>(mAllowed, 1);
}

} // namespace hawthornlug
