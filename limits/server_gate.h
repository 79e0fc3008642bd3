/// @file
/// Admits orders to one backend server: slots, a bounded queue, and care after a cold start.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornlug {

/// Names a waiting or running order within one gate.
using TicketId = std::uint64_t;

/// What happens to an offered order.
enum class GateDecision
{
  kRun,
  kQueue,
  kRefuse,
};
inline constexpr EnumNames<3> kGateDecisionNames = { "run", "queue", "refuse" };

/// An order that asks for a slot.
struct GateOffer
{
  TicketId ticket = 0;
  /// Orders of one key take turns with orders of other keys.
  std::uint64_t keyFlow = 0;
  /// Orders of one caller take turns with orders of other callers.
  std::uint64_t callerFlow = 0;
  Instant deadline;
};

/// How an order that ran came out.
enum class GateResult
{
  kServed,
  kShed,   ///< The server said that it is overloaded.
  kFailed, ///< No answer.
};
inline constexpr EnumNames<3> kGateResultNames = { "served", "shed", "failed" };

struct GateLimits
{
  std::uint32_t slots = 1;
  std::size_t queueLimit = 256;
  /// Served orders that a cold server has to answer for each further slot.
  std::uint32_t warmupPerSlot = 48;
  /// So many answers in a row, over so long a time, that take so many times the usual latency and
  /// at least the floor are the sign of a server that was restarted without a word. A burst of
  /// new connections is not.
  std::uint32_t coldAnswers = 4;
  Duration coldAfter = milliseconds(100);
  std::int64_t coldLatencyFactor = 4;
  Duration coldLatencyFloor = milliseconds(5);
  /// A server that takes so many times its warm siblings' latency is not given a further slot.
  std::int64_t warmLatencyFactor = 2;
};

/// Decides when orders run at one server. Purely a function of its inputs; the caller serialises.
class ServerGate
{
public:
  explicit ServerGate(GateLimits aLimits);

  GateDecision Offer(Instant aNow, const GateOffer& aOffer);
  /// Takes in a result; returns the tickets that run now.
  std::vector<TicketId> Finish(Instant aNow, Duration aLatency, GateResult aResult);
  /// Gives a slot back that was not used; returns the tickets that run now.
  std::vector<TicketId> GiveBack();
  /// Takes overdue tickets out of the queue and returns them.
  std::vector<TicketId> Expire(Instant aNow);
  /// Takes one waiting ticket out; false if it isn't waiting.
  bool Cancel(TicketId aTicket);
  /// The server has been restarted: one order at first, more only by success.
  void OnColdStart();
  void SetSlots(std::uint32_t aSlots);
  /// Sets what warm siblings take for an order; 0 if none is warm.
  void SetReference(Duration aLatency);

  std::uint32_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mQueue.size(); }
  /// Orders that may run at once at present.
  std::uint32_t Allowed() const { return mAllowed; }
  bool IsCold() const { return mAllowed < mLimits.slots; }
  /// Usual latency of a served order; 0 before the first.
  Duration UsualLatency() const { return mLatency; }
  /// How long an order would wait that is offered now.
  Duration ExpectedWait() const;

private:
  /// Place in the queue: the fair share's turn first, then the deadline.
  struct Turn
  {
    std::uint64_t start = 0;
    Instant deadline;
    TicketId ticket = 0;

    bool operator<(const Turn& aOther) const
    {
      return std::tie(start, deadline, ticket) <
             std::tie(aOther.start, aOther.deadline, aOther.ticket);
    }
  };

  std::vector<TicketId> StartWaiting();
  std::uint64_t TakeTurn(const GateOffer& aOffer);
  bool IsJump(Duration aLatency) const;
  void OnServed(Instant aNow, Duration aLatency);
  void Grow(Duration aLatency);

  GateLimits mLimits;
  std::uint32_t mAllowed;
  std::uint32_t mRunning = 0;
  std::uint32_t mServedSinceGrowth = 0;
  std::uint32_t mSlowInARow = 0;
  Instant mSlowSince;
  Duration mLatency = Duration::zero();
  Duration mReference = Duration::zero();
  std::map<Turn, GateOffer> mQueue;
  std::uint64_t mVirtualTime = 0;
  std::map<std::uint64_t, std::uint64_t> mKeyTurns;
  std::map<std::uint64_t, std::uint64_t> mCallerTurns;
};

} // namespace hawthornlug
