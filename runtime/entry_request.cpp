#include "runtime/entry_request.h"

#include "runtime/wire_codec.h"

namespace hawthornlug {

namespace {

constexpr Duration kRetryPause = milliseconds(10);
/// How long to wait beyond the deadline for the answer of a daemon that refuses at the deadline.
constexpr Duration kAnswerGrace = milliseconds(50);
constexpr Duration kSettlePatience = milliseconds(300);

/// Whether another try may find the way that this one missed. Nothing has been sent to a server.
bool MayFindAnotherWay(const OrderAnswer& aAnswer)
{
  if (aAnswer.outcome != Outcome::kNotRun) {
    return false;
  }
  return aAnswer.refusal == Refusal::kNotMine || aAnswer.refusal == Refusal::kNoRoute ||
         aAnswer.refusal == Refusal::kUnreachable || aAnswer.refusal == Refusal::kStopping;
}

} // namespace

EntryRequest::EntryRequest(EntryParts aParts,
                           Order aOrder,
                           ShardId aShard,
                           RequestHandler::Done aDone)
  : mParts(aParts)
  , mSelf(aParts.directory.Self())
  , mOrder(std::move(aOrder))
  , mShard(aShard)
  , mDone(std::move(aDone))
{
}

void EntryRequest::TryOnce()
{
  const auto route = mParts.routes.Find(mOrder.service, mShard);
  if (route && route->attached == mSelf) {
    RunHere();
    return;
  }
  if (route && mParts.directory.IsIsolated(route->domain)) {
    Conclude(OrderAnswer::NotRun(Refusal::kDomainIsolated, seconds(1)));
    return;
  }
  if (!route || !mParts.directory.IsLive(route->attached)) {
    Conclude(OrderAnswer::NotRun(Refusal::kNoRoute));
    return;
  }
  Forward(route->attached);
}

void EntryRequest::RunHere()
{
  if (const auto seen = mParts.attached.Accept(mOrder.requestId, mOrder.repeatable)) {
    Conclude(*seen);
    return;
  }
  std::shared_ptr<OrderInProgress> here = mParts.attached.Run(
    mOrder, [self = shared_from_this()](const OrderAnswer& aAnswer) { self->Conclude(aAnswer); });
  bool abandoned = false;
  {
    const std::lock_guard lock(mMutex);
    abandoned = mAbandoned;
    if (mPhase == Phase::kTrying) {
      mHere = here;
    }
  }
  if (abandoned && here) {
    here->Abandon();
  }
}

wire::Envelope EntryRequest::MakeEnvelope() const
{
  wire::Envelope envelope;
  envelope.mutable_from()->set_id(mSelf.id);
  envelope.mutable_from()->set_incarnation(mSelf.incarnation);
  // Only the run that is meant may take an order, or say that it did not.
  envelope.set_to_incarnation(mTo.incarnation);
  return envelope;
}

void EntryRequest::Forward(const DaemonRef& aTo)
{
  const auto endpoint = mParts.directory.EndpointOf(aTo.id);
  if (!endpoint) {
    Conclude(OrderAnswer::NotRun(Refusal::kNoRoute));
    return;
  }
  const std::uint64_t call =
    mParts.calls.Begin([self = shared_from_this()](CallEnd aEnd, const OrderAnswer& aAnswer) {
      const bool answered = aEnd == CallEnd::kAnswered;
      self->Conclude(answered ? aAnswer : OrderAnswer::NotRun(Refusal::kUnreachable));
    });
  Order order = mOrder;
  order.trace = mOrder.trace.Child();
  wire::Envelope envelope;
  {
    const std::lock_guard lock(mMutex);
    mPhase = Phase::kForwarded;
    mTo = aTo;
    mEndpoint = *endpoint;
    mCall = call;
    mForwardSpan = order.trace;
    mForwardedAt = mParts.services.timers.Now();
    envelope = MakeEnvelope();
    EncodeOrder(order, mForwardedAt, *envelope.mutable_order());
  }
  envelope.mutable_order()->set_call(call);
  mParts.services.peers.Send(*endpoint,
                             std::move(envelope),
                             Delivery::kNowOrNever,
                             [&calls = mParts.calls, call] { calls.OnUnsent(call); });
}

void EntryRequest::Settle()
{
  const std::uint64_t question =
    mParts.calls.Begin([self = shared_from_this()](CallEnd aEnd, const OrderAnswer& aAnswer) {
      self->OnSettled(aEnd, aAnswer);
    });
  wire::Envelope envelope;
  std::string endpoint;
  {
    const std::lock_guard lock(mMutex);
    if (mPhase != Phase::kForwarded) {
      mParts.calls.End(question);
      return;
    }
    mPhase = Phase::kSettling;
    mQuestion = question;
    mResumeAt = mParts.services.timers.Now() + kSettlePatience;
    envelope = MakeEnvelope();
    endpoint = mEndpoint;
  }
  envelope.mutable_question()->set_call(question);
  envelope.mutable_question()->set_request_id(mOrder.requestId);
  mParts.services.peers.Send(endpoint,
                             std::move(envelope),
                             Delivery::kSoon,
                             [&calls = mParts.calls, question] { calls.OnUnsent(question); });
}

void EntryRequest::OnSettled(CallEnd aEnd, const OrderAnswer& aAnswer)
{
  if (aEnd == CallEnd::kUnsent) {
    Conclude(OrderAnswer::Unknown(Refusal::kNoAnswer));
    return;
  }
  const bool inHand =
    aAnswer.outcome == Outcome::kUnknown && aAnswer.refusal == Refusal::kInProgress;
  const Instant now = mParts.services.timers.Now();
  if (!inHand || now >= mOrder.deadline + kAnswerGrace) {
    Conclude(aAnswer);
    return;
  }
  // A daemon that says it has the order in hand is there, however silent it seemed.
  const std::lock_guard lock(mMutex);
  if (mPhase == Phase::kSettling) {
    mPhase = Phase::kForwarded;
  }
}

EntryRequest::Due EntryRequest::FindDue(Instant aNow, bool aLost) const
{
  switch (mPhase) {
    case Phase::kPausing:
      return aNow >= mResumeAt ? Due::kTry : Due::kNothing;
    case Phase::kSettling:
      return aNow >= mResumeAt ? Due::kUnsettled : Due::kNothing;
    case Phase::kForwarded:
      if (!aLost && aNow < mOrder.deadline + kAnswerGrace) {
        return Due::kNothing;
      }
      return mOrder.repeatable ? Due::kGiveUpCall : Due::kSettle;
    case Phase::kTrying:
    case Phase::kDone:
      break;
  }
  return Due::kNothing;
}

void EntryRequest::Tick(Instant aNow)
{
  DaemonRef to;
  {
    const std::lock_guard lock(mMutex);
    to = mTo;
  }
  const bool lost = !to.id.empty() && !mParts.directory.IsLive(to);
  Due due = Due::kNothing;
  {
    const std::lock_guard lock(mMutex);
    due = FindDue(aNow, lost);
    if (due == Due::kTry) {
      mPhase = Phase::kTrying;
    }
  }
  switch (due) {
    case Due::kTry:
      TryOnce();
      break;
    case Due::kGiveUpCall:
    case Due::kUnsettled:
      Conclude(OrderAnswer::Unknown(Refusal::kNoAnswer));
      break;
    case Due::kSettle:
      Settle();
      break;
    case Due::kNothing:
      break;
  }
}

bool EntryRequest::IsDone() const
{
  const std::lock_guard lock(mMutex);
  return mPhase == Phase::kDone;
}

void EntryRequest::EndCalls()
{
  mParts.calls.End(mCall);
  mParts.calls.End(mQuestion);
  mCall = 0;
  mQuestion = 0;
}

void EntryRequest::RecordForward(const OrderAnswer& aAnswer) const
{
  RecordOrderSpan(mParts.services.spans,
                  mOrder,
                  mForwardSpan,
                  mOrder.trace.span,
                  "forward",
                  mForwardedAt,
                  mParts.services.timers.Now(),
                  aAnswer);
}

void EntryRequest::Conclude(const OrderAnswer& aAnswer)
{
  const Instant now = mParts.services.timers.Now();
  {
    const std::lock_guard lock(mMutex);
    if (mPhase == Phase::kDone || mPhase == Phase::kPausing) {
      return;
    }
    if (mCall != 0) {
      RecordForward(aAnswer);
    }
    EndCalls();
    mHere.reset();
    const bool repeatLost = aAnswer.outcome == Outcome::kUnknown && mOrder.repeatable &&
                            aAnswer.refusal != Refusal::kInProgress;
    const bool again = !mAbandoned && (MayFindAnotherWay(aAnswer) || repeatLost);
    if (again && now + kRetryPause < mOrder.deadline) {
      mPhase = Phase::kPausing;
      mResumeAt = now + kRetryPause;
      return;
    }
    mPhase = Phase::kDone;
  }
  const RequestHandler::Done done = std::move(mDone);
  mDone = nullptr;
  done(aAnswer);
}

void EntryRequest::Abandon()
{
  std::shared_ptr<OrderInProgress> here;
  wire::Envelope envelope;
  std::string endpoint;
  {
    const std::lock_guard lock(mMutex);
    mAbandoned = true;
    here = mHere;
    if (mCall != 0) {
      envelope = MakeEnvelope();
      envelope.mutable_order_abandoned()->set_call(mCall);
      endpoint = mEndpoint;
    }
  }
  if (here) {
    here->Abandon();
  }
  if (!endpoint.empty()) {
    mParts.services.peers.Send(endpoint, std::move(envelope), Delivery::kNowOrNever, [] {});
  }
}

void RecordOrderSpan(SpanPort& aSpans,
                     const Order& aOrder,
                     const TraceContext& aContext,
                     std::uint64_t aParent,
                     const char* aName,
                     Instant aStart,
                     Instant aEnd,
                     const OrderAnswer& aAnswer)
{
  if (!aContext.sampled) {
    return;
  }
  Span span;
  span.context = aContext;
  span.parent = aParent;
  span.name = aName;
  span.start = aStart;
  span.end = aEnd;
  span.service = aOrder.service;
  span.requestId = aOrder.requestId;
  span.outcome = NameOf(kOutcomeNames, aAnswer.outcome);
  aSpans.Record(span);
}

} // namespace hawthornlug
