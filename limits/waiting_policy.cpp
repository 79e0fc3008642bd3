#include "limits/waiting_policy.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Least part of the expected service time that must be left.
constexpr double kLeastService = 0.6;
/// A request without any usable server waits for this share of its target latency.
constexpr double kPatienceWithoutServer = 0.12;
/// And for this share while answers that are ready wait behind it.
constexpr double kPatienceHoldingBack = 0.12;
constexpr double kLeastServiceAfterMove = 1.3;
/// A request may wait in the queue for this share of its target latency.
constexpr double kPatienceInQueue = 0.75;
/// One step of priority counts as much as this share of the target latency.
constexpr double kPriorityWeight = 0.25;
/// Each answer that waits behind a request counts as much as this share of its target latency.
constexpr double kHoldingBackWeight = 0.25;
/// Requests that miss their target go behind all others.
constexpr double kLatePenalty = 1000.0;
constexpr Duration kShortestRetryAfter = milliseconds(50);

double Ratio(Duration aPart, Duration aWhole)
{
  return static_cast<double>(aPart.count()) /
         static_cast<double>(std::max<Duration::rep>(1, aWhole.count()));
}

} // namespace

WaitVerdict JudgeWaiting(const WaitingRequest& aRequest, const WaitingQueue& aQueue)
{
  if (aRequest.timeLeft < Scaled(aRequest.work, kLeastService)) {
    return WaitVerdict::kTooLate;
  }
  const double waited = Ratio(aRequest.waited, aRequest.targetLatency);
  if (aRequest.answersBehind > 0 && waited > kPatienceHoldingBack) {
    return WaitVerdict::kHoldsBack;
  }
  if (aQueue.moving) {
    // The keys' new owner has room as a rule, and a rejected caller would come back to the same.
    return aRequest.timeLeft > Scaled(aRequest.work, kLeastServiceAfterMove)
             ? WaitVerdict::kWait
             : WaitVerdict::kNoServer;
  }
  if (aQueue.usableServers == 0) {
    return waited < kPatienceWithoutServer ? WaitVerdict::kWait : WaitVerdict::kNoServer;
  }
  if (aQueue.expectedWait + aRequest.work > aRequest.timeLeft) {
    return WaitVerdict::kOverload;
  }
  return waited < kPatienceInQueue ? WaitVerdict::kWait : WaitVerdict::kOverload;
}

double WaitingRank(const WaitingRequest& aRequest)
{
  const bool late = aRequest.targetLeft < aRequest.work;
  const double left = Ratio(aRequest.targetLeft - aRequest.work, aRequest.targetLatency);
  return (late ? kLatePenalty : 0.0) + left + kPriorityWeight * aRequest.priority -
         kHoldingBackWeight * aRequest.answersBehind;
}

Duration RetryAfter(const WaitingRequest& aRequest, const WaitingQueue& aQueue, double aSpread)
{
  const Duration base = std::max(aQueue.expectedWait / 2, aRequest.work / 4);
  const Duration spread = Scaled(aRequest.work, aSpread);
  // Callers wait a third of what they have left at most; later is as good as never.
  const Duration longest = aRequest.timeLeft / 3;
  return std::max(kShortestRetryAfter, std::min(base + spread, longest));
}

} // namespace hawthornlug
