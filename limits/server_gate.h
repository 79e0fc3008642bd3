/// @file
/// Admission of orders (callers' requests) to one backend server: slots, a bounded fair queue, and
/// slow start of a cold server.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornlug {

/// Identifies a waiting or running order within one gate.
using TicketId = std::uint64_t;

/// Decision on an offered order.
enum class GateDecision
{
  kRun,
  kQueue,
  kRefuse,
};
inline constexpr EnumNames<3> kGateDecisionNames = { "run", "queue", "refuse" };

/// An order that requests a slot.
struct GateOffer
{
  TicketId ticket = 0;
  /// Identifies the key; the queue shares the slots fairly among keys.
  std::uint64_t keyFlow = 0;
  /// Identifies the caller; the queue shares the slots fairly among callers.
  std::uint64_t callerFlow = 0;
  Instant deadline;
};

/// Result of an order that was sent to the server.
enum class GateResult
{
  kServed,
  kShed,   ///< The server rejected it because of overload.
  kFailed, ///< No answer was received.
};
inline constexpr EnumNames<3> kGateResultNames = { "served", "shed", "failed" };

/// Limits of one gate, and the thresholds of its slow start.
struct GateLimits
{
  /// Orders that the warm server may run at the same time.
  std::uint32_t slots = 1;
  /// Orders that may wait in the queue.
  std::size_t queueLimit = 256;
  /// Orders that a cold server has to serve before it gets one more slot.
  std::uint32_t warmupPerSlot = 48;
  /// A server is taken to have restarted without notice if this many answers in a row, over at
  /// least this time, take more than the factor times the usual latency and at least the floor. The
  /// time keeps a burst of new connections, which is slow for a moment, from being taken for a
  /// restart.
  std::uint32_t restartSlowAnswers = 4;
  Duration restartSlowTime = milliseconds(100);
  std::int64_t restartLatencyFactor = 4;
  Duration restartLatencyFloor = milliseconds(5);
  /// A cold server gets no further slot while its latency is above this multiple of the latency of
  /// the fastest warm server of its cell.
  std::int64_t warmLatencyFactor = 2;
};

/// Decides when orders run at one server. The decisions depend on the arguments and earlier calls
/// only. Not thread-safe: calls must be serialised.
class ServerGate
{
public:
  explicit ServerGate(GateLimits aLimits);

  /// Runs an order, queues it, or refuses it because the queue is full or its deadline can't be
  /// met.
  GateDecision Offer(Instant aNow, const GateOffer& aOffer);
  /// Records the result of a running order; returns the queued tickets that run now.
  std::vector<TicketId> Finish(Instant aNow, Duration aLatency, GateResult aResult);
  /// Frees the slot of an order that was not sent; returns the queued tickets that run now.
  std::vector<TicketId> ReleaseUnusedSlot();
  /// Removes the tickets whose deadline has passed from the queue and returns them.
  std::vector<TicketId> Expire(Instant aNow);
  /// Removes a ticket from the queue; false if it isn't queued.
  bool Cancel(TicketId aTicket);
  /// Starts the slow start of a server that restarted or is overloaded: one order at a time at
  /// first, more as orders are served.
  void BeginSlowStart();
  void SetSlots(std::uint32_t aSlots);
  /// Sets the usual latency of the fastest warm server of the cell; 0 if none is warm.
  void SetWarmLatency(Duration aLatency);

  std::uint32_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mQueue.size(); }
  /// Orders that may run at the same time at present.
  std::uint32_t ConcurrencyLimit() const { return mConcurrencyLimit; }
  bool IsCold() const { return mConcurrencyLimit < mLimits.slots; }
  /// Moving average of the latency of served orders; 0 before the first.
  Duration UsualLatency() const { return mUsualLatency; }
  /// Expected wait of an order that is offered now.
  Duration ExpectedWait() const;

private:
  /// Position in the queue: by start tag, then by deadline.
  struct QueuePosition
  {
    /// Virtual time at which the order is due under start-time fair queueing.
    std::uint64_t startTag = 0;
    Instant deadline;
    TicketId ticket = 0;

    bool operator<(const QueuePosition& aOther) const
    {
      return std::tie(startTag, deadline, ticket) <
             std::tie(aOther.startTag, aOther.deadline, aOther.ticket);
    }
  };

  /// Starts queued orders while slots are free.
  std::vector<TicketId> StartQueued();
  /// Returns the start tag of an order by start-time fair queueing over its key and its caller: the
  /// virtual time, or the later finish tag of the two flows. Each order counts as one unit.
  std::uint64_t AssignStartTag(const GateOffer& aOffer);
  /// Whether a latency is so far above the usual one that the server may have restarted.
  bool IsLatencyJump(Duration aLatency) const;
  void OnServed(Instant aNow, Duration aLatency);
  /// Counts a served order and raises the limit of a cold server if it has served enough.
  void RaiseLimit(Duration aLatency);

  GateLimits mLimits;
  /// Orders that may run at the same time at present.
  std::uint32_t mConcurrencyLimit;
  std::uint32_t mRunning = 0;
  std::uint32_t mServedSinceRaise = 0;
  /// Answers in a row that were latency jumps, and the time of the first of them.
  std::uint32_t mConsecutiveSlow = 0;
  Instant mSlowSince;
  Duration mUsualLatency = Duration::zero();
  /// Usual latency of the fastest warm server of the cell; 0 if none is warm.
  Duration mWarmLatency = Duration::zero();
  std::map<QueuePosition, GateOffer> mQueue;
  /// Start tag of the order that was started last from the queue.
  std::uint64_t mVirtualTime = 0;
  /// Finish tag of the last order of each key and of each caller.
  std::map<std::uint64_t, std::uint64_t> mKeyFinishTags;
  std::map<std::uint64_t, std::uint64_t> mCallerFinishTags;
};

} // namespace hawthornlug
