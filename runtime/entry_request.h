/// @file
/// One caller's request at its entry daemon, the daemon that the caller has connected to, from its
/// arrival until it is answered.
#pragma once

#include "ports/caller_port.h"
#include "runtime/attached.h"
#include "runtime/peer_calls.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace hawthornlug {

/// The objects that all requests of an entry daemon use; they outlive the requests.
struct EntryContext
{
  Services& services;
  const DaemonView& daemonView;
  const ShardRoutingTable& routes;
  Attached& attached;
  PeerCalls& calls;
};

/// Finds the daemon that runs the order, tries again where that is safe, and asks that daemon for
/// the outcome of a non-repeatable order whose answer is overdue. Safe to use from any thread.
class EntryRequest
  : public OrderInProgress
  , public std::enable_shared_from_this<EntryRequest>
{
public:
  /// @p aDone is called once.
  EntryRequest(EntryContext aContext, Order aOrder, ShardId aShard, RequestHandler::Done aDone);

  void Start() { StartAttempt(); }
  /// Handles timeouts and retries; must be called every few milliseconds.
  void Tick(Instant aNow);
  void Abandon() override;
  /// Whether the request is finished, so that it needs no further ticks.
  bool IsDone() const;

private:
  enum class Phase
  {
    kAttempting,      ///< Runs in this daemon, or is about to be sent to another one.
    kForwarded,       ///< Sent to another daemon.
    kQueryingOutcome, ///< The other daemon has been asked for the outcome.
    kWaitingToRetry,  ///< Waits for the next attempt.
    kDone,
  };

  /// The action that Tick() has to take at the given time.
  enum class DueAction
  {
    kNothing,
    kRetry,
    kGiveUpForward,
    kQueryOutcome,
    kGiveUpQuery,
  };

  void StartAttempt();
  /// Begins an attempt to have the order run. Returns nothing if the request has been answered.
  std::optional<AttemptNumber> BeginAttempt();
  void RunLocally();
  void Forward(const DaemonRef& aPeer);
  void QueryOutcome();
  DueAction FindDueAction(Instant aNow, bool aPeerLost) const;
  /// Handles that there is no way to a daemon: schedules another attempt, or ends the request.
  void EndWithoutRoute(Refusal aRefusal, Duration aRetryAfter = kDefaultRetryAfter);
  /// Handles the answer of an attempt, which is also what is known of the attempt: schedules
  /// another attempt, or ends the request.
  void EndAttempt(AttemptNumber aAttempt, const OrderAnswer& aAnswer);
  /// Handles the other daemon's reply about the outcome of the order.
  void OnOutcomeReply(AttemptNumber aAttempt, CallResult aResult, const OrderAnswer& aAnswer);
  /// Whether the other daemon surely remembers an order that was forwarded to it.
  bool IsRemembered(Instant aNow) const;
  /// Goes into the wait for another attempt if there is time for one. The lock must be held.
  bool ScheduleRetry();
  /// Ends the request, with the lock held; returns the answer for the caller. Nothing is said to be
  /// not run if an attempt may have run it.
  OrderAnswer Close(const OrderAnswer& aAnswer);
  /// Passes the answer to mDone.
  void Report(const OrderAnswer& aAnswer);
  void CancelCalls();
  wire::Envelope MakeEnvelope() const;
  void RecordForward(const OrderAnswer& aAnswer) const;

  EntryContext mContext;
  const DaemonRef mSelf;
  const Order mOrder;
  const ShardId mShard;
  RequestHandler::Done mDone;

  mutable std::mutex mMutex;
  Phase mPhase = Phase::kAttempting;
  /// All attempts, here and at other daemons.
  ExecutionRecord mExecution;
  AttemptNumber mAttempt = 0;
  /// When the next attempt starts (kWaitingToRetry) or the query times out (kQueryingOutcome).
  Instant mPhaseDeadline;
  /// Set while the order runs in this daemon.
  std::shared_ptr<OrderInProgress> mLocalOrder;
  /// The daemon that the order was sent to; the id is empty before that.
  DaemonRef mPeer;
  std::string mPeerEndpoint;
  TraceContext mForwardSpan;
  Instant mForwardedAt;
  /// Ids of the calls in progress, 0 if there is none.
  std::uint64_t mForwardCall = 0;
  std::uint64_t mQueryCall = 0;
  bool mAbandoned = false;
};

/// Records a trace span of an order, if its trace is sampled.
void RecordOrderSpan(SpanPort& aSpans,
                     const Order& aOrder,
                     const TraceContext& aContext,
                     std::uint64_t aParent,
                     const char* aName,
                     Instant aStart,
                     Instant aEnd,
                     const OrderAnswer& aAnswer);

} // namespace hawthornlug
