#include "limits/server_gate.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// The newest sample has a weight of one in this number in the moving average of the latency.
constexpr std::int64_t kLatencySmoothingDivisor = 32;
/// When more flows than this are remembered, those whose finish tags have passed are dropped.
constexpr std::size_t kMaxFlows = 1024;

} // namespace

ServerGate::ServerGate(GateLimits aLimits)
  : mLimits(aLimits)
  , mConcurrencyLimit(1)
{
}

GateDecision ServerGate::Offer(Instant aNow, const GateOffer& aOffer)
{
  if (aOffer.deadline <= aNow) {
    return GateDecision::kRefuse;
  }
  if (mRunning < mConcurrencyLimit && mQueue.empty()) {
    ++mRunning;
    AssignStartTag(aOffer);
    return GateDecision::kRun;
  }
  const bool tooLate = aNow + ExpectedWait() >= aOffer.deadline;
  if (mQueue.size() >= mLimits.queueLimit || tooLate) {
    return GateDecision::kRefuse;
  }
  mQueue.emplace(QueuePosition{ AssignStartTag(aOffer), aOffer.deadline, aOffer.ticket }, aOffer);
  return GateDecision::kQueue;
}

std::uint64_t ServerGate::AssignStartTag(const GateOffer& aOffer)
{
  if (mKeyFinishTags.size() > kMaxFlows || mCallerFinishTags.size() > kMaxFlows) {
    const auto idle = [&](const auto& aFlow) { return aFlow.second <= mVirtualTime; };
    std::erase_if(mKeyFinishTags, idle);
    std::erase_if(mCallerFinishTags, idle);
  }
  std::uint64_t& keyFinishTag = mKeyFinishTags[aOffer.keyFlow];
  std::uint64_t& callerFinishTag = mCallerFinishTags[aOffer.callerFlow];
  const std::uint64_t startTag = std::max({ mVirtualTime, keyFinishTag, callerFinishTag });
  keyFinishTag = startTag + 1;
  callerFinishTag = startTag + 1;
  return startTag;
}

std::vector<TicketId> ServerGate::Finish(Instant aNow, Duration aLatency, GateResult aResult)
{
  if (mRunning > 0) {
    --mRunning;
  }
  if (aResult == GateResult::kShed) {
    BeginSlowStart();
  } else if (aResult == GateResult::kServed) {
    OnServed(aNow, aLatency);
  }
  return StartQueued();
}

bool ServerGate::IsLatencyJump(Duration aLatency) const
{
  return mUsualLatency.count() > 0 && aLatency >= mLimits.restartLatencyFloor &&
         aLatency > mUsualLatency * mLimits.restartLatencyFactor;
}

void ServerGate::OnServed(Instant aNow, Duration aLatency)
{
  mConsecutiveSlow = IsLatencyJump(aLatency) ? mConsecutiveSlow + 1 : 0;
  if (mConsecutiveSlow == 1) {
    mSlowSince = aNow;
  }
  const bool lastsLongEnough = aNow - mSlowSince >= mLimits.restartSlowTime;
  if (mConsecutiveSlow >= mLimits.restartSlowAnswers && lastsLongEnough) {
    BeginSlowStart();
  } else if (mConsecutiveSlow == 0) {
    RaiseLimit(aLatency);
  }
  mUsualLatency = mUsualLatency.count() == 0
                    ? aLatency
                    : mUsualLatency + (aLatency - mUsualLatency) / kLatencySmoothingDivisor;
}

std::vector<TicketId> ServerGate::ReleaseUnusedSlot()
{
  if (mRunning > 0) {
    --mRunning;
  }
  return StartQueued();
}

void ServerGate::RaiseLimit(Duration aLatency)
{
  const bool stillCold =
    mWarmLatency.count() > 0 && aLatency > mWarmLatency * mLimits.warmLatencyFactor;
  if (mConcurrencyLimit >= mLimits.slots || stillCold) {
    return;
  }
  ++mServedSinceRaise;
  if (mServedSinceRaise >= mLimits.warmupPerSlot) {
    ++mConcurrencyLimit;
    mServedSinceRaise = 0;
  }
}

std::vector<TicketId> ServerGate::StartQueued()
{
  std::vector<TicketId> started;
  while (mRunning < mConcurrencyLimit && !mQueue.empty()) {
    const auto it = mQueue.begin();
    mVirtualTime = std::max(mVirtualTime, it->first.startTag);
    started.push_back(it->first.ticket);
    mQueue.erase(it);
    ++mRunning;
  }
  if (mQueue.empty()) {
    mKeyFinishTags.clear();
    mCallerFinishTags.clear();
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

void ServerGate::BeginSlowStart()
{
  mConcurrencyLimit = 1;
  mServedSinceRaise = 0;
  mConsecutiveSlow = 0;
}

void ServerGate::SetSlots(std::uint32_t aSlots)
{
  mLimits.slots = aSlots;
  mConcurrencyLimit = std::min(mConcurrencyLimit, aSlots);
}

void ServerGate::SetWarmLatency(Duration aLatency)
{
  mWarmLatency = aLatency;
}

Duration ServerGate::ExpectedWait() const
{
  if (mUsualLatency.count() == 0) {
    return Duration::zero();
  }
  const auto ahead = static_cast<std::int64_t>(mQueue.size()) + 1;
  return mUsualLatency * ahead / std::max<std::int64_t>(mConcurrencyLimit, 1);
}

} // namespace hawthornlug
