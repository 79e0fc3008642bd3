/// @file
/// One caller's request at its entry daemon, from its arrival to its outcome.
#pragma once

#include "ports/caller_port.h"
#include "runtime/attached.h"
#include "runtime/peer_calls.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace hawthornlug {

/// What the requests of an entry daemon work with.
struct EntryParts
{
  Services& services;
  const DaemonView& directory;
  const ShardRoutingTable& routes;
  Attached& attached;
  PeerCalls& calls;
};

/// Finds the daemon that runs the order, tries again where that is safe, and settles what became
/// of an order whose answer is overdue. Safe to use from any thread.
class EntryRequest
  : public OrderInProgress
  , public std::enable_shared_from_this<EntryRequest>
{
public:
  /// @p aDone is called once.
  EntryRequest(EntryParts aParts, Order aOrder, ShardId aShard, RequestHandler::Done aDone);

  void Start() { TryOnce(); }
  /// Looks at what is due; to be called every few milliseconds.
  void Tick(Instant aNow);
  void Abandon() override;
  /// Whether its outcome has been told.
  bool IsDone() const;

private:
  enum class Phase
  {
    kTrying,    ///< Runs in this daemon, or is on its way to another one.
    kForwarded, ///< Sent to another daemon.
    kSettling,  ///< That daemon has been asked what became of it.
    kPausing,   ///< Waits for the next try.
    kDone,
  };

  /// What a look at the clock found to be due.
  enum class Due
  {
    kNothing,
    kTry,
    kGiveUpCall,
    kSettle,
    kUnsettled,
  };

  void TryOnce();
  void RunHere();
  void Forward(const DaemonRef& aTo);
  void Settle();
  Due FindDue(Instant aNow, bool aLost) const;
  /// Takes the outcome of a try: the last one, or one that is tried again.
  void Conclude(const OrderAnswer& aAnswer);
  /// Takes the other daemon's word on what became of the order.
  void OnSettled(CallEnd aEnd, const OrderAnswer& aAnswer);
  void EndCalls();
  wire::Envelope MakeEnvelope() const;
  void RecordForward(const OrderAnswer& aAnswer) const;

  EntryParts mParts;
  const DaemonRef mSelf;
  const Order mOrder;
  const ShardId mShard;
  RequestHandler::Done mDone;

  mutable std::mutex mMutex;
  Phase mPhase = Phase::kTrying;
  Instant mResumeAt;
  std::shared_ptr<OrderInProgress> mHere;
  /// The daemon that was sent to.
  DaemonRef mTo;
  std::string mEndpoint;
  TraceContext mForwardSpan;
  Instant mForwardedAt;
  std::uint64_t mCall = 0;
  std::uint64_t mQuestion = 0;
  bool mAbandoned = false;
};

/// Writes a span of an order, if its trace is sampled.
void RecordOrderSpan(SpanPort& aSpans,
                     const Order& aOrder,
                     const TraceContext& aContext,
                     std::uint64_t aParent,
                     const char* aName,
                     Instant aStart,
                     Instant aEnd,
                     const OrderAnswer& aAnswer);

} // namespace hawthornlug
