#include "runtime/entry_request.h"

#include "runtime/wire_codec.h"

namespace hawthornlug {

namespace {

constexpr Duration kRetryDelay = milliseconds(10);
/// How long to wait beyond the deadline. The other daemon refuses the order at the deadline, and
/// its answer still has to arrive.
constexpr Duration kAnswerGrace = milliseconds(50);
/// How long to wait for a daemon's reply to the question of what the outcome of an order is.
constexpr Duration kOutcomeQueryTimeout = milliseconds(300);

/// How much shorter the other daemon's memory is taken to be than it is, since clocks differ.
constexpr Duration kMemoryMargin = seconds(5);

/// Whether the attempt failed before the order was sent to a server, for a reason that another
/// attempt may not meet, so that it is safe and useful to try again.
bool IsRoutingFailure(const OrderAnswer& aAnswer)
{
  if (aAnswer.outcome != Outcome::kNotRun) {
    return false;
  }
  return aAnswer.refusal == Refusal::kNotMine || aAnswer.refusal == Refusal::kNoRoute ||
         aAnswer.refusal == Refusal::kUnreachable || aAnswer.refusal == Refusal::kStopping;
}

} // namespace

EntryRequest::EntryRequest(EntryContext aContext,
                           Order aOrder,
                           ShardId aShard,
                           RequestHandler::Done aDone)
  : mContext(aContext)
  , mSelf(aContext.daemonView.Self())
  , mOrder(std::move(aOrder))
  , mShard(aShard)
  , mDone(std::move(aDone))
{
}

void EntryRequest::StartAttempt()
{
  const auto route = mContext.routes.Find(mOrder.service, mShard);
  if (route && route->attached == mSelf) {
    RunLocally();
    return;
  }
  if (route && mContext.daemonView.IsIsolated(route->domain)) {
    EndWithoutRoute(Refusal::kDomainIsolated, seconds(1));
    return;
  }
  if (!route || !mContext.daemonView.IsLive(route->attached)) {
    EndWithoutRoute(Refusal::kNoRoute);
    return;
  }
  Forward(route->attached);
}

std::optional<AttemptNumber> EntryRequest::BeginAttempt()
{
  const std::lock_guard lock(mMutex);
  const std::optional<AttemptPermit> permit = mExecution.Begin();
  if (!permit) {
    return std::nullopt;
  }
  mAttempt = permit->Number();
  return mAttempt;
}

void EntryRequest::RunLocally()
{
  const auto attempt = BeginAttempt();
  if (!attempt) {
    return;
  }
  if (const auto answer = mContext.attached.Accept(mOrder.requestId, mOrder.repeatable)) {
    EndAttempt(*attempt, *answer);
    return;
  }
  std::shared_ptr<OrderInProgress> localOrder = mContext.attached.Run(
    mOrder, [self = shared_from_this(), n = *attempt](const OrderAnswer& aAnswer) {
      self->EndAttempt(n, aAnswer);
    });
  bool abandoned = false;
  {
    const std::lock_guard lock(mMutex);
    abandoned = mAbandoned;
    if (mPhase == Phase::kAttempting && mAttempt == *attempt) {
      mLocalOrder = localOrder;
    }
  }
  if (abandoned && localOrder) {
    localOrder->Abandon();
  }
}

wire::Envelope EntryRequest::MakeEnvelope() const
{
  wire::Envelope envelope;
  envelope.mutable_from()->set_id(mSelf.id);
  envelope.mutable_from()->set_incarnation(mSelf.incarnation);
  // Only the addressed incarnation of the daemon may accept an order, or state that it was not run:
  // another incarnation does not know what this one has received.
  envelope.set_to_incarnation(mPeer.incarnation);
  return envelope;
}

void EntryRequest::Forward(const DaemonRef& aPeer)
{
  const auto endpoint = mContext.daemonView.EndpointOf(aPeer.id);
  if (!endpoint) {
    EndWithoutRoute(Refusal::kNoRoute);
    return;
  }
  const auto attempt = BeginAttempt();
  if (!attempt) {
    return;
  }
  const std::uint64_t call = mContext.calls.Begin(
    [self = shared_from_this(), n = *attempt](CallResult aResult, const OrderAnswer& aAnswer) {
      const bool answered = aResult == CallResult::kAnswered;
      self->EndAttempt(
        n,
        answered ? aAnswer : RefuseAfter(AttemptEvidence::kNothingWritten, Refusal::kUnreachable));
    });
  Order order = mOrder;
  order.trace = mOrder.trace.Child();
  wire::Envelope envelope;
  {
    const std::lock_guard lock(mMutex);
    mPhase = Phase::kForwarded;
    mPeer = aPeer;
    mPeerEndpoint = *endpoint;
    mForwardCall = call;
    mForwardSpan = order.trace;
    mForwardedAt = mContext.services.timers.Now();
    envelope = MakeEnvelope();
    EncodeOrder(order, mForwardedAt, *envelope.mutable_order());
  }
  envelope.mutable_order()->set_call(call);
  mContext.services.peers.Send(*endpoint,
                               std::move(envelope),
                               Delivery::kNowOrNever,
                               [&calls = mContext.calls, call] { calls.OnUnsent(call); });
}

void EntryRequest::QueryOutcome()
{
  AttemptNumber attempt = 0;
  {
    const std::lock_guard lock(mMutex);
    attempt = mAttempt;
  }
  const std::uint64_t queryCall = mContext.calls.Begin(
    [self = shared_from_this(), attempt](CallResult aResult, const OrderAnswer& aAnswer) {
      self->OnOutcomeReply(attempt, aResult, aAnswer);
    });
  wire::Envelope envelope;
  std::string endpoint;
  {
    const std::lock_guard lock(mMutex);
    if (mPhase != Phase::kForwarded || mAttempt != attempt) {
      mContext.calls.Cancel(queryCall);
      return;
    }
    mPhase = Phase::kQueryingOutcome;
    mQueryCall = queryCall;
    mPhaseDeadline = mContext.services.timers.Now() + kOutcomeQueryTimeout;
    envelope = MakeEnvelope();
    endpoint = mPeerEndpoint;
  }
  envelope.mutable_question()->set_call(queryCall);
  envelope.mutable_question()->set_request_id(mOrder.requestId);
  mContext.services.peers.Send(endpoint,
                               std::move(envelope),
                               Delivery::kSoon,
                               [&calls = mContext.calls, queryCall] { calls.OnUnsent(queryCall); });
}

bool EntryRequest::IsRemembered(Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  return aNow - mForwardedAt < Attached::kRequestRetention - kMemoryMargin;
}

void EntryRequest::OnOutcomeReply(AttemptNumber aAttempt,
                                  CallResult aResult,
                                  const OrderAnswer& aAnswer)
{
  const Instant now = mContext.services.timers.Now();
  // A daemon that has not seen the order says that it is not run, and so does one that has
  // forgotten it: this daemon may have been stopped for so long.
  const bool believed = aAnswer.outcome != Outcome::kNotRun || IsRemembered(now);
  if (aResult == CallResult::kUnsent || !believed) {
    EndAttempt(aAttempt, OrderAnswer::Unknown(Refusal::kNoAnswer));
    return;
  }
  const bool inProgress =
    aAnswer.outcome == Outcome::kUnknown && aAnswer.refusal == Refusal::kInProgress;
  if (!inProgress || now >= mOrder.deadline + kAnswerGrace) {
    EndAttempt(aAttempt, aAnswer);
    return;
  }
  // The daemon replied that the order is in progress, so it is running even if heartbeats were
  // missed. Go back to waiting for its answer.
  const std::lock_guard lock(mMutex);
  if (mPhase == Phase::kQueryingOutcome && mAttempt == aAttempt) {
    mPhase = Phase::kForwarded;
  }
}

EntryRequest::DueAction EntryRequest::FindDueAction(Instant aNow, bool aPeerLost) const
{
  switch (mPhase) {
    case Phase::kWaitingToRetry:
      return aNow >= mPhaseDeadline ? DueAction::kRetry : DueAction::kNothing;
    case Phase::kQueryingOutcome:
      return aNow >= mPhaseDeadline ? DueAction::kGiveUpQuery : DueAction::kNothing;
    case Phase::kForwarded:
      if (!aPeerLost && aNow < mOrder.deadline + kAnswerGrace) {
        return DueAction::kNothing;
      }
      return mOrder.repeatable ? DueAction::kGiveUpForward : DueAction::kQueryOutcome;
    case Phase::kAttempting:
    case Phase::kDone:
      break;
  }
  return DueAction::kNothing;
}

void EntryRequest::Tick(Instant aNow)
{
  DaemonRef peer;
  {
    const std::lock_guard lock(mMutex);
    peer = mPeer;
  }
  const bool peerLost = !peer.id.empty() && !mContext.daemonView.IsLive(peer);
  DueAction due = DueAction::kNothing;
  AttemptNumber attempt = 0;
  {
    const std::lock_guard lock(mMutex);
    attempt = mAttempt;
    due = FindDueAction(aNow, peerLost);
    if (due == DueAction::kRetry) {
      mPhase = Phase::kAttempting;
    }
  }
  switch (due) {
    case DueAction::kRetry:
      StartAttempt();
      break;
    case DueAction::kGiveUpForward:
    case DueAction::kGiveUpQuery:
      EndAttempt(attempt, OrderAnswer::Unknown(Refusal::kNoAnswer));
      break;
    case DueAction::kQueryOutcome:
      QueryOutcome();
      break;
    case DueAction::kNothing:
      break;
  }
}

bool EntryRequest::IsDone() const
{
  const std::lock_guard lock(mMutex);
  return mPhase == Phase::kDone;
}

void EntryRequest::CancelCalls()
{
  mContext.calls.Cancel(mForwardCall);
  mContext.calls.Cancel(mQueryCall);
  mForwardCall = 0;
  mQueryCall = 0;
}

void EntryRequest::RecordForward(const OrderAnswer& aAnswer) const
{
  RecordOrderSpan(mContext.services.spans,
                  mOrder,
                  mForwardSpan,
                  mOrder.trace.span,
                  "forward",
                  mForwardedAt,
                  mContext.services.timers.Now(),
                  aAnswer);
}

bool EntryRequest::ScheduleRetry()
{
  const Instant now = mContext.services.timers.Now();
  if (mAbandoned || now + kRetryDelay >= mOrder.deadline) {
    return false;
  }
  mPhase = Phase::kWaitingToRetry;
  mPhaseDeadline = now + kRetryDelay;
  return true;
}

OrderAnswer EntryRequest::Close(const OrderAnswer& aAnswer)
{
  mPhase = Phase::kDone;
  OrderAnswer refusal = Refuse(mExecution, aAnswer.refusal, aAnswer.retryAfter);
  if (aAnswer.outcome != Outcome::kNotRun) {
    return aAnswer;
  }
  refusal.redirect = aAnswer.redirect;
  return refusal;
}

void EntryRequest::Report(const OrderAnswer& aAnswer)
{
  const RequestHandler::Done done = std::move(mDone);
  mDone = nullptr;
  done(aAnswer);
}

void EntryRequest::EndWithoutRoute(Refusal aRefusal, Duration aRetryAfter)
{
  OrderAnswer answer;
  {
    const std::lock_guard lock(mMutex);
    if (mPhase != Phase::kAttempting) {
      return;
    }
    if (aRefusal == Refusal::kNoRoute && ScheduleRetry()) {
      return;
    }
    answer = Close(RefuseUnsent(aRefusal, aRetryAfter));
  }
  Report(answer);
}

void EntryRequest::EndAttempt(AttemptNumber aAttempt, const OrderAnswer& aAnswer)
{
  OrderAnswer answer;
  {
    const std::lock_guard lock(mMutex);
    const bool ended = mPhase == Phase::kDone || mPhase == Phase::kWaitingToRetry;
    if (ended || aAttempt != mAttempt) {
      return;
    }
    if (mForwardCall != 0) {
      RecordForward(aAnswer);
    }
    CancelCalls();
    mLocalOrder.reset();
    mExecution.End(aAttempt, EvidenceOf(aAnswer.outcome));
    const bool repeatAfterLoss = aAnswer.outcome == Outcome::kUnknown && mOrder.repeatable &&
                                 aAnswer.refusal != Refusal::kInProgress;
    if ((IsRoutingFailure(aAnswer) || repeatAfterLoss) && ScheduleRetry()) {
      return;
    }
    answer = Close(aAnswer);
  }
  Report(answer);
}

void EntryRequest::Abandon()
{
  std::shared_ptr<OrderInProgress> localOrder;
  wire::Envelope envelope;
  std::string endpoint;
  {
    const std::lock_guard lock(mMutex);
    mAbandoned = true;
    localOrder = mLocalOrder;
    if (mForwardCall != 0) {
      envelope = MakeEnvelope();
      envelope.mutable_order_abandoned()->set_call(mForwardCall);
      endpoint = mPeerEndpoint;
    }
  }
  if (localOrder) {
    localOrder->Abandon();
  }
  if (!endpoint.empty()) {
    mContext.services.peers.Send(endpoint, std::move(envelope), Delivery::kNowOrNever, [] {});
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
  span.outcome = NameOf(kOutcomeNames, aAnswer.outcome.Value());
  aSpans.Record(span);
}

} // namespace hawthornlug
