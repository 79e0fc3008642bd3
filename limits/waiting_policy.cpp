#include "limits/waiting_policy.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// A request is rejected if less than this share of its expected service time is left.
constexpr double kMinServiceTimeShare = 0.6;
/// Longest wait of a request without any usable server, as a share of its target latency.
constexpr double kMaxWaitWithoutServer = 0.12;
/// Longest wait of a request that blocks answers which are ready on the same connection, as a share
/// of its target latency.
constexpr double kMaxWaitBlockingAnswers = 0.12;
/// A request whose owner is changing waits while more than this multiple of its expected service
/// time is left.
constexpr double kMinServiceTimeAfterOwnerChange = 1.3;
/// Longest wait in the queue while there are usable servers, as a share of the target latency.
constexpr double kMaxWaitInQueue = 0.75;
/// One step of priority weighs as much in the rank as this share of the request's target latency.
constexpr double kPriorityWeight = 0.25;
/// Each answer that a request blocks weighs as much in the rank as this share of its target
/// latency.
constexpr double kBlockedAnswerWeight = 0.25;
/// Added to the rank of requests that will miss their target, which puts them behind all others.
constexpr double kLatePenalty = 1000.0;
/// A stopping daemon sends a request only while more than this multiple of its expected service
/// time is left: servers differ in speed, and what is cut may have run.
constexpr double kServiceTimesBeforeStop = 2.0;
/// Time that a stopping daemon leaves for answers to be written.
constexpr Duration kAnswerTimeBeforeStop = milliseconds(300);
/// Shortest time after which a rejected caller is asked to retry.
constexpr Duration kMinRetryAfter = milliseconds(50);

double Ratio(Duration aPart, Duration aWhole)
{
  return static_cast<double>(aPart.count()) /
         static_cast<double>(std::max<Duration::rep>(1, aWhole.count()));
}

/// Time after which a caller meets a queue in which it would have been accepted; as late as a
/// caller waits if that is later, so that it does not come back only to be rejected again.
Duration RetryAfterContention(const WaitingRequest& aRequest,
                              const WaitConditions& aQueue,
                              Duration aSpread)
{
  const Duration longest = aRequest.timeLeft / 3;
  const Duration accepted = std::max(aRequest.timeToTarget - aRequest.work, Duration::zero());
  const Duration shortEnough = std::max(aQueue.expectedWait - accepted, Duration::zero());
  return std::max(kMinRetryAfter, std::min(shortEnough + aSpread, longest));
}

} // namespace

bool FitsBeforeStop(Duration aWork, Duration aUntilStop)
{
  return Scaled(aWork, kServiceTimesBeforeStop) + kAnswerTimeBeforeStop < aUntilStop;
}

WaitDecision DecideWait(const WaitingRequest& aRequest, const WaitConditions& aQueue)
{
  if (!FitsBeforeStop(aRequest.work, aQueue.untilStop)) {
    return WaitDecision::kStopping;
  }
  if (aRequest.timeLeft < Scaled(aRequest.work, kMinServiceTimeShare)) {
    return WaitDecision::kTooLate;
  }
  if (aQueue.pausedFor + Scaled(aRequest.work, kMinServiceTimeShare) > aRequest.timeLeft) {
    return WaitDecision::kPaused;
  }
  const double waited = Ratio(aRequest.waited, aRequest.targetLatency);
  if (aRequest.blockedAnswers > 0 && waited > kMaxWaitBlockingAnswers) {
    return WaitDecision::kBlocksAnswers;
  }
  if (aQueue.moving) {
    // The new owner of the key usually has room, and a retry by a rejected caller would find the
    // same situation.
    return aRequest.timeLeft > Scaled(aRequest.work, kMinServiceTimeAfterOwnerChange)
             ? WaitDecision::kWait
             : WaitDecision::kNoServer;
  }
  if (aQueue.usableServers == 0) {
    return waited < kMaxWaitWithoutServer ? WaitDecision::kWait : WaitDecision::kNoServer;
  }
  if (aQueue.expectedWait + aRequest.work > aRequest.timeLeft) {
    return WaitDecision::kOverload;
  }
  if (aQueue.contended && aQueue.othersInTime &&
      aQueue.expectedWait + aRequest.work > aRequest.timeToTarget) {
    return WaitDecision::kOverload;
  }
  return waited < kMaxWaitInQueue ? WaitDecision::kWait : WaitDecision::kOverload;
}

double WaitingRank(const WaitingRequest& aRequest)
{
  const bool late = aRequest.timeToTarget < aRequest.work;
  const double left = Ratio(aRequest.timeToTarget - aRequest.work, aRequest.targetLatency);
  return (late ? kLatePenalty : 0.0) + left + kPriorityWeight * aRequest.priority -
         kBlockedAnswerWeight * aRequest.blockedAnswers;
}

Duration RetryAfter(const WaitingRequest& aRequest, const WaitConditions& aQueue, double aSpread)
{
  const Duration base = std::max(aQueue.expectedWait / 2, aRequest.work / 4);
  const Duration spread = Scaled(aRequest.work, aSpread);
  if (aQueue.pausedFor > Duration::zero()) {
    return aQueue.pausedFor + spread;
  }
  if (aQueue.contended) {
    return RetryAfterContention(aRequest, aQueue, spread);
  }
  // A caller waits for at most a third of the time that it has left: a later retry could hardly be
  // answered in time.
  const Duration longest = aRequest.timeLeft / 3;
  return std::max(kMinRetryAfter, std::min(base + spread, longest));
}

} // namespace hawthornlug
