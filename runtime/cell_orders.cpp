/// @file
/// The orders of a cell: from their submission to the answers of their servers.

#include "runtime/cell_runner.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthornlug {

namespace {

/// Orders that one cell holds at most.
constexpr std::size_t kMaxHeldOrders = 2048;
constexpr unsigned kMaxRetries = 8;
constexpr Duration kRetryDelay = milliseconds(20);
/// Time after a failure domain was taken out of service during which it still serves the shards
/// that could not be moved yet.
constexpr Duration kDomainOutGrace = seconds(2);

GateResult GateResultOf(SendResult aResult)
{
  switch (aResult) {
    case SendResult::kAnswered:
      return GateResult::kServed;
    case SendResult::kShed:
      return GateResult::kShed;
    default:
      return GateResult::kFailed;
  }
}

Refusal RefusalOf(SendResult aResult)
{
  switch (aResult) {
    case SendResult::kShed:
      return Refusal::kOverloaded;
    case SendResult::kRefused:
      return Refusal::kRefused;
    case SendResult::kUnreachable:
      return Refusal::kUnreachable;
    case SendResult::kAnswered:
    case SendResult::kNoAnswer:
      break;
  }
  return Refusal::kNoAnswer;
}

/// The answer of the server that ran the order.
OrderAnswer AnswerOf(SendAnswer aAnswer, const Admission& aAdmission)
{
  OrderAnswer answer = OrderAnswer::Done(aAnswer.status);
  answer.headers = std::move(aAnswer.headers);
  answer.body = std::move(aAnswer.body);
  answer.server = aAdmission.server;
  answer.epoch = aAdmission.epoch;
  return answer;
}

} // namespace

void CellRunner::Submit(const PendingOrderPtr& aOrder)
{
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    aOrder->arrivedAt = mServices.timers.Now();
    aOrder->ticket = ++mNextTicket;
    mRetryBudget.OnRequest();
    RouteOrder(aOrder, effects);
    CollectActions(effects);
  }
  Execute(effects);
}

void CellRunner::Abandon(const PendingOrderPtr& aOrder)
{
  Effects effects;
  std::shared_ptr<http::Call> call;
  {
    const std::lock_guard lock(mMutex);
    aOrder->abandoned = true;
    const auto server = mServers.find(aOrder->server);
    const bool waits = server != mServers.end() && server->second.gate->Cancel(aOrder->ticket);
    const bool held = std::erase(mHeldOrders, aOrder) != 0;
    if (waits) {
      server->second.queued.erase(aOrder->ticket);
    }
    if (waits || held) {
      RefuseOrder(aOrder, Refusal::kAbandoned, effects);
    } else if (aOrder->order.repeatable) {
      call = aOrder->call;
    }
  }
  Execute(effects);
  if (call) {
    call->Cancel();
  }
}

void CellRunner::RouteOrder(const PendingOrderPtr& aOrder, Effects& aEffects)
{
  const Instant now = mServices.timers.Now();
  if (aOrder->order.deadline <= now) {
    RefuseOrder(aOrder, Refusal::kDeadline, aEffects);
    return;
  }
  if (mDomainOutSince && now - *mDomainOutSince >= kDomainOutGrace) {
    if (mMachine.PhaseOf(aOrder->shard)) {
      RefuseOrder(aOrder, Refusal::kDomainOut, aEffects);
    } else {
      RedirectOrder(aOrder, aEffects);
    }
    return;
  }
  const Admission admission = mMachine.Admit(now, aOrder->shard);
  if (admission.kind == AdmissionKind::kNotMine) {
    RedirectOrder(aOrder, aEffects);
    return;
  }
  const auto it = mServers.find(admission.server);
  if (admission.kind == AdmissionKind::kHold || it == mServers.end()) {
    HoldOrder(aOrder, aEffects);
    return;
  }
  Server& server = it->second;
  aOrder->server = admission.server;
  GateOffer offer;
  offer.ticket = aOrder->ticket;
  offer.keyFlow = HashOf(aOrder->order.key);
  offer.callerFlow = HashOf(aOrder->order.caller);
  offer.deadline = aOrder->order.deadline;
  switch (server.gate->Offer(now, offer)) {
    case GateDecision::kRun:
      mMachine.OrderStarted(aOrder->shard);
      aEffects.admitted.push_back({ aOrder, admission });
      return;
    case GateDecision::kQueue:
      server.queued.emplace(aOrder->ticket, aOrder);
      return;
    case GateDecision::kRefuse:
      RefuseOrder(aOrder, Refusal::kOverloaded, aEffects, server.gate->ExpectedWait());
      return;
  }
}

void CellRunner::RefuseOrder(const PendingOrderPtr& aOrder,
                             Refusal aRefusal,
                             Effects& aEffects,
                             Duration aRetryAfter)
{
  aEffects.answered.push_back({ aOrder, Refuse(aOrder->execution, aRefusal, aRetryAfter) });
}

void CellRunner::RedirectOrder(const PendingOrderPtr& aOrder, Effects& aEffects) const
{
  RefuseOrder(aOrder, Refusal::kNotMine, aEffects);
  aEffects.answered.back().answer.redirect = mMachine.LastKnownObject().attached;
}

void CellRunner::HoldOrder(const PendingOrderPtr& aOrder, Effects& aEffects)
{
  if (mHeldOrders.size() >= kMaxHeldOrders) {
    RefuseOrder(aOrder, Refusal::kNoOwner, aEffects);
    return;
  }
  mHeldOrders.push_back(aOrder);
}

void CellRunner::RouteHeldOrders(Effects& aEffects)
{
  if (mHeldOrders.empty()) {
    return;
  }
  const Instant now = mServices.timers.Now();
  std::deque<PendingOrderPtr> held;
  held.swap(mHeldOrders);
  for (const PendingOrderPtr& it : held) {
    if (it->order.deadline <= now) {
      RefuseOrder(it, Refusal::kNoOwner, aEffects);
    } else if (it->notBefore > now) {
      mHeldOrders.push_back(it);
    } else {
      RouteOrder(it, aEffects);
    }
  }
}

void CellRunner::StartQueuedOrders(const std::string& aServer,
                                   std::vector<TicketId> aTickets,
                                   Effects& aEffects)
{
  Server& server = mServers.at(aServer);
  const Instant now = mServices.timers.Now();
  // A slot that is given back may start further tickets, so the list grows during the loop.
  for (std::size_t n = 0; n < aTickets.size(); ++n) {
    const auto it = server.queued.find(aTickets[n]);
    const PendingOrderPtr order = it->second;
    server.queued.erase(it);
    const Admission admission = mMachine.Admit(now, order->shard);
    const bool here = admission.kind == AdmissionKind::kServe && admission.server == aServer;
    if (here && order->order.deadline > now) {
      mMachine.OrderStarted(order->shard);
      aEffects.admitted.push_back({ order, admission });
      continue;
    }
    const std::vector<TicketId> more = server.gate->ReleaseUnusedSlot();
    aTickets.insert(aTickets.end(), more.begin(), more.end());
    HoldOrder(order, aEffects);
  }
}

std::optional<AttemptPermit> CellRunner::BeginAttempt(const PendingOrderPtr& aOrder)
{
  const std::lock_guard lock(mMutex);
  std::optional<AttemptPermit> permit = aOrder->execution.Begin();
  if (permit) {
    aOrder->attempt = permit->Number();
  }
  return permit;
}

void CellRunner::ReturnSlot(const AdmittedOrder& aAdmitted)
{
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    ReleaseSlot(
      aAdmitted, SendResult::kUnreachable, mServices.timers.Now(), Duration::zero(), effects);
    CollectActions(effects);
  }
  Execute(effects);
}

void CellRunner::RunOrder(const AdmittedOrder& aAdmitted)
{
  const PendingOrderPtr& pending = aAdmitted.order;
  const Instant now = mServices.timers.Now();
  std::optional<AttemptPermit> permit = BeginAttempt(pending);
  const Admission& admission = aAdmitted.admission;
  SendTerms terms;
  terms.shard = pending->shard;
  terms.epoch = admission.epoch;
  terms.token = admission.token;
  terms.incarnation = admission.incarnation;
  terms.deadline = admission.reading + (pending->order.deadline - admission.clockReadAt).count();
  terms.timeout = std::max<Duration>(pending->order.deadline - now, milliseconds(1));
  terms.span = pending->order.trace.Child();
  if (now - pending->arrivedAt > milliseconds(1)) {
    RecordSpan(aAdmitted, "queue", pending->arrivedAt, now, true);
  }
  if (!permit) {
    // It has been answered; only its slot is given back.
    ReturnSlot(aAdmitted);
    return;
  }
  if (pending->order.deadline <= now) {
    SendAnswer unsent;
    unsent.result = SendResult::kUnreachable;
    FinishOrder(aAdmitted, std::move(unsent), now);
    return;
  }
  std::shared_ptr<http::Call> call =
    PortOf(admission.server)
      ->Send(pending->order,
             terms,
             std::move(*permit),
             [self = shared_from_this(), aAdmitted, span = terms.span, now](SendAnswer aAnswer) {
               self->OnAnswer(aAdmitted, span, now, std::move(aAnswer));
             });
  {
    const std::lock_guard lock(mMutex);
    if (!pending->abandoned || !pending->order.repeatable) {
      pending->call.swap(call);
      return;
    }
  }
  call->Cancel();
}

void CellRunner::OnAnswer(const AdmittedOrder& aAdmitted,
                          const TraceContext& aSpan,
                          Instant aStartedAt,
                          SendAnswer aAnswer)
{
  const PendingOrderPtr& pending = aAdmitted.order;
  if (pending->order.trace.sampled) {
    Span span;
    span.context = aSpan;
    span.parent = pending->order.trace.span;
    span.name = "server";
    span.start = aStartedAt;
    span.end = mServices.timers.Now();
    span.service = pending->order.service;
    span.requestId = pending->order.requestId;
    span.outcome = NameOf(kSendResultNames, aAnswer.result);
    mServices.spans.Record(span);
  }
  if (aAnswer.result == SendResult::kNoAnswer) {
    PortOf(aAdmitted.admission.server)->Cancel(pending->order.requestId);
  }
  FinishOrder(aAdmitted, std::move(aAnswer), aStartedAt);
}

void CellRunner::ReleaseSlot(const AdmittedOrder& aAdmitted,
                             SendResult aResult,
                             Instant aNow,
                             Duration aLatency,
                             Effects& aEffects)
{
  const PendingOrder& pending = *aAdmitted.order;
  const std::string& id = aAdmitted.admission.server;
  Server& server = mServers.at(id);
  const bool mayStillStart = aResult == SendResult::kNoAnswer && !server.checksFencing;
  if (mayStillStart && pending.order.deadline > aNow) {
    mUnansweredOrders.push_back({ pending.order.deadline, pending.shard });
  } else {
    mMachine.OrderFinished(aNow, pending.shard);
  }
  if (aResult == SendResult::kAnswered) {
    server.busyTime += aLatency;
    ++server.answeredOrders;
    mBusySeconds[pending.shard] += std::chrono::duration<double>(aLatency).count();
  }
  StartQueuedOrders(id, server.gate->Finish(aNow, aLatency, GateResultOf(aResult)), aEffects);
}

void CellRunner::FinishOrder(const AdmittedOrder& aAdmitted, SendAnswer aAnswer, Instant aStartedAt)
{
  const PendingOrderPtr& pending = aAdmitted.order;
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    const Instant now = mServices.timers.Now();
    pending->call.reset();
    pending->execution.End(pending->attempt, EvidenceOf(aAnswer.result));
    ReleaseSlot(aAdmitted, aAnswer.result, now, now - aStartedAt, effects);
    const bool mayRepeat =
      pending->order.repeatable || EvidenceOf(aAnswer.result) != AttemptEvidence::kMayHaveRun;
    if (aAnswer.result == SendResult::kAnswered) {
      std::ignore = pending->execution.Close();
      effects.answered.push_back({ pending, AnswerOf(std::move(aAnswer), aAdmitted.admission) });
    } else if (mayRepeat && MayRetry(*pending, now, aAnswer.result)) {
      ++pending->retries;
      pending->notBefore = now + kRetryDelay;
      HoldOrder(pending, effects);
    } else {
      RefuseOrder(pending, RefusalOf(aAnswer.result), effects);
    }
    CollectActions(effects);
  }
  Execute(effects);
}

bool CellRunner::MayRetry(const PendingOrder& aOrder, Instant aNow, SendResult aResult)
{
  const bool inTime = !aOrder.abandoned && aNow + kRetryDelay < aOrder.order.deadline;
  // No server ran the order, and it waits for a standby to become owner: this can't cause a retry
  // storm, so neither the number of retries nor the retry budget limits it.
  if (aResult == SendResult::kUnreachable || aResult == SendResult::kRefused) {
    return inTime;
  }
  return inTime && aOrder.retries < kMaxRetries && mRetryBudget.TakeRetry(aNow);
}

void CellRunner::RecordSpan(const AdmittedOrder& aAdmitted,
                            const char* aName,
                            Instant aFrom,
                            Instant aTo,
                            bool aServed)
{
  const PendingOrderPtr& pending = aAdmitted.order;
  if (!pending->order.trace.sampled) {
    return;
  }
  Span span;
  span.context = pending->order.trace.Child();
  span.parent = pending->order.trace.span;
  span.name = aName;
  span.start = aFrom;
  span.end = aTo;
  span.service = pending->order.service;
  span.requestId = pending->order.requestId;
  span.outcome = aServed ? "started" : "refused";
  mServices.spans.Record(span);
}

} // namespace hawthornlug
