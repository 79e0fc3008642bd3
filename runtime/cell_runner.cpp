#include "runtime/cell_runner.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>

namespace hawthornlug {

namespace {

/// Orders that one cell holds at most.
constexpr std::size_t kMaxHeldOrders = 2048;
constexpr unsigned kMaxRetries = 8;
constexpr Duration kRetryDelay = milliseconds(20);
/// Time after a failure domain was taken out of service during which it still serves the shards
/// that could not be moved yet.
constexpr Duration kDomainOutGrace = seconds(2);
/// Events that are kept for each shard.
constexpr std::size_t kMaxEventsPerShard = 4;
/// Moves to other cells that one plan may begin.
constexpr std::size_t kMaxTransfersPerRound = 64;
/// Worst load over mean load of the cells up to which no shards are moved between them.
constexpr double kTransferTolerance = 1.10;

EventId EventIdOf(CellEvent aEvent)
{
  switch (aEvent) {
    case CellEvent::kTaken:
      return EventId::kCellTaken;
    case CellEvent::kSuperseded:
      return EventId::kCellSuperseded;
    case CellEvent::kHandedOver:
      return EventId::kCellHandedOver;
    case CellEvent::kServerFenced:
      return EventId::kServerFenced;
    case CellEvent::kServerLapsed:
      return EventId::kServerLapsed;
    case CellEvent::kServerRestarted:
      return EventId::kServerRestarted;
    case CellEvent::kShardServing:
      return EventId::kShardServing;
    case CellEvent::kShardMoved:
      return EventId::kShardMoved;
    case CellEvent::kShardInherited:
      return EventId::kShardInherited;
    case CellEvent::kShardRecovered:
      return EventId::kShardRecovered;
    case CellEvent::kShardSent:
      return EventId::kShardSent;
    case CellEvent::kShardReceived:
      return EventId::kShardReceived;
    case CellEvent::kMoveAbandoned:
      return EventId::kMoveAbandoned;
  }
  return EventId::kMessageRefused;
}

WriteOutcome WriteOutcomeOf(PlatformError aError)
{
  switch (aError) {
    case PlatformError::kConflict:
      return WriteOutcome::kConflict;
    case PlatformError::kUnavailable:
    case PlatformError::kNotFound:
      return WriteOutcome::kNotWritten;
    case PlatformError::kUnknown:
    case PlatformError::kMalformed:
      break;
  }
  return WriteOutcome::kUnknown;
}

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

CellRunner::CellRunner(std::string aCell, DaemonRef aSelf, Services& aServices)
  : mCell(aCell)
  , mSelf(aSelf)
  , mServices(aServices)
  , mMachine(std::move(aCell), std::move(aSelf), CellTimings{})
{
}

// --- Inputs ---------------------------------------------------------------------------------

template<typename Input>
void CellRunner::Dispatch(Input aInput)
{
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    aInput(mServices.timers.Now());
    CollectActions(effects);
    RouteHeldOrders(effects);
  }
  Execute(effects);
}

void CellRunner::Configure(const CellConfig& aCell, const ServiceConfig& aService, bool aDomainOut)
{
  Dispatch([&](Instant aNow) {
    mService = aService;
    if (!aDomainOut) {
      mDomainOutSince.reset();
    } else if (!mDomainOutSince) {
      mDomainOutSince = aNow;
      mServices.log.Write(EventId::kDomainOut, "cell=" + mCell);
    }
    mServerSpecs.clear();
    for (const ServerConfig& it : aCell.servers) {
      const bool checked = it.fencing == Fencing::kChecked;
      Server& server = mServers[it.id];
      if (!server.port) {
        server.port = mServices.servers.Make({ it.id, it.url, checked, aService.connections });
        GateLimits limits;
        limits.slots = aService.slots;
        server.gate = std::make_unique<ServerGate>(limits);
      }
      server.gate->SetSlots(aService.slots);
      server.draining = it.state == UnitState::kDraining;
      server.checksFencing = checked;
      mServerSpecs.push_back({ it.id, checked, !server.draining && !aDomainOut });
    }
    mMachine.SetMaxOrderDuration(aService.deadline);
    ApplyServers(aNow);
  });
}

void CellRunner::ApplyServers(Instant aNow)
{
  std::vector<CellServerSpec> specs = mServerSpecs;
  for (CellServerSpec& it : specs) {
    it.accepting = it.accepting && !mServers.at(it.id).leaving;
  }
  mMachine.SetServers(aNow, specs);
}

void CellRunner::UpdateLeavingState(Instant aNow,
                                    const std::string& aServer,
                                    const ServerReply& aReply)
{
  const auto it = mServers.find(aServer);
  const bool accepted = aReply.outcome == CallOutcome::kAccepted;
  if (!accepted || it == mServers.end() || it->second.leaving == aReply.draining) {
    return;
  }
  it->second.leaving = aReply.draining;
  if (aReply.draining) {
    mServices.log.Write(EventId::kServerLeaving, "cell=" + mCell + " server=" + aServer);
  }
  ApplyServers(aNow);
}

void CellRunner::SetInitialShards(std::vector<ShardId> aShards)
{
  const std::lock_guard lock(mMutex);
  mMachine.SetInitialShards(std::move(aShards));
}

void CellRunner::SetChurnLimit(double aPercentPerMinute)
{
  const std::lock_guard lock(mMutex);
  mChurnPercentPerMinute = aPercentPerMinute;
}

void CellRunner::TakeOver()
{
  Dispatch([&](Instant aNow) { mMachine.TakeOver(aNow); });
}

void CellRunner::HandOver(const DaemonRef& aTo)
{
  Dispatch([&](Instant aNow) { mMachine.HandOver(aNow, aTo); });
}

void CellRunner::OnCachedObject(Version aVersion, const CellObject& aObject)
{
  Dispatch([&](Instant aNow) { mMachine.OnCachedObject(aNow, aVersion, aObject); });
}

void CellRunner::OnOtherCachedObject(const std::string& aCell, const CellObject& aObject)
{
  Dispatch([&](Instant aNow) { mMachine.OnOtherCachedObject(aNow, aCell, aObject); });
}

void CellRunner::OnDaemonStopped(const DaemonRef& aDaemon)
{
  Dispatch([&](Instant aNow) { mMachine.OnDaemonStopped(aNow, aDaemon); });
}

void CellRunner::Tick(Instant aNow)
{
  Dispatch([&](Instant) {
    std::erase_if(mUnansweredOrders, [&](const UnansweredOrder& aItem) {
      if (aItem.until > aNow) {
        return false;
      }
      mMachine.OrderFinished(aNow, aItem.shard);
      return true;
    });
    mMachine.OnTick(aNow);
  });
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    for (auto& [id, server] : mServers) {
      for (const TicketId ticket : server.gate->Expire(aNow)) {
        const auto it = server.queued.find(ticket);
        RefuseOrder(it->second, Refusal::kDeadline, effects);
        server.queued.erase(it);
      }
    }
  }
  Execute(effects);
}

// --- Orders ---------------------------------------------------------------------------------

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

// --- Effects --------------------------------------------------------------------------------

void CellRunner::CollectActions(Effects& aEffects)
{
  for (CellAction& it : mMachine.TakeActions()) {
    const auto* note = std::get_if<ReportCellEvent>(&it);
    if (note == nullptr) {
      aEffects.actions.push_back(std::move(it));
      continue;
    }
    const bool fenced = note->event == CellEvent::kServerFenced;
    const auto server = mServers.find(note->server);
    if (note->event == CellEvent::kServerRestarted && server != mServers.end()) {
      server->second.gate->BeginSlowStart();
    }
    const bool aboutShard = note->event >= CellEvent::kShardMoved;
    if (aboutShard && !fenced) {
      std::deque<ShardEvent>& history = mHistory[note->shard];
      history.push_back({ mServices.timers.Now(),
                          note->event,
                          note->server,
                          note->epoch,
                          mMoveReasons[note->shard] });
      mMoveReasons.erase(note->shard);
      if (history.size() > kMaxEventsPerShard) {
        history.pop_front();
      }
    }
    aEffects.actions.push_back(std::move(it));
  }
}

void CellRunner::Execute(const Effects& aEffects)
{
  for (const CellAction& it : aEffects.actions) {
    ExecuteAction(it);
  }
  for (const AdmittedOrder& it : aEffects.admitted) {
    RunOrder(it);
  }
  for (const AnsweredOrder& it : aEffects.answered) {
    it.order->done(it.answer);
  }
}

void CellRunner::ExecuteAction(const CellAction& aAction)
{
  if (const auto* note = std::get_if<ReportCellEvent>(&aAction)) {
    Log(*note);
    return;
  }
  mServices.controlWorkers.Post([self = shared_from_this(), aAction] {
    if (const auto* write = std::get_if<WriteCell>(&aAction)) {
      self->ExecuteWrite(*write);
    } else if (std::holds_alternative<ReadCell>(aAction)) {
      self->ExecuteRead();
    } else if (const auto* other = std::get_if<ReadOtherCell>(&aAction)) {
      self->ExecuteReadOther(*other);
    } else if (const auto* fence = std::get_if<FenceServer>(&aAction)) {
      self->ExecuteFence(*fence);
    } else if (const auto* grant = std::get_if<GrantServer>(&aAction)) {
      self->ExecuteGrant(*grant);
    }
  });
}

void CellRunner::ExecuteWrite(const WriteCell& aAction)
{
  const std::string value = EncodeCell(aAction.object);
  Version version = 0;
  const WriteOutcome outcome = leaf::try_handle_all(
    [&]() -> Result<WriteOutcome> {
      BOOST_LEAF_ASSIGN(version, mServices.platform.Put(mCell, aAction.expected, value));
      return WriteOutcome::kWritten;
    },
    [](PlatformError aError) { return WriteOutcomeOf(aError); },
    [] { return WriteOutcome::kUnknown; });
  mServices.metrics.Count("platform_writes_total");
  Dispatch([&](Instant aNow) { mMachine.OnWritten(aNow, aAction.id, outcome, version); });
  if (outcome == WriteOutcome::kWritten) {
    mServices.cache.MergeOne({ mCell, version, value });
  }
}

void CellRunner::ExecuteRead()
{
  mServices.metrics.Count("platform_reads_total");
  PlatformObject object;
  std::optional<CellObject> cell;
  const bool read = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(object, mServices.platform.Get(mCell));
      BOOST_LEAF_ASSIGN(cell, DecodeCell(object.value));
      return true;
    },
    [&](PlatformError aError) { return aError == PlatformError::kNotFound; },
    [] { return false; });
  Dispatch([&](Instant aNow) {
    if (read) {
      mMachine.OnObject(aNow, object.version, cell);
    } else {
      mMachine.OnCellReadFailed(aNow);
    }
  });
  if (read && object.version != 0) {
    mServices.cache.MergeOne(object);
  }
}

void CellRunner::ExecuteReadOther(const ReadOtherCell& aAction)
{
  mServices.metrics.Count("platform_reads_total");
  CellObject cell;
  const bool read = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(object, mServices.platform.Get(aAction.cell));
      BOOST_LEAF_ASSIGN(cell, DecodeCell(object.value));
      return true;
    },
    [] { return false; });
  Dispatch([&](Instant aNow) {
    if (read) {
      mMachine.OnOtherCellRead(aNow, aAction.cell, aAction.ownVersion, cell);
    } else {
      mMachine.OnOtherCellReadFailed(aAction.cell);
    }
  });
}

void CellRunner::ExecuteFence(const FenceServer& aAction)
{
  const auto done = [self = shared_from_this(), server = aAction.server](
                      const ServerReply& aReply) { self->OnFenced(server, aReply); };
  if (const auto port = PortOf(aAction.server)) {
    port->Fence(aAction, mSelf, done);
  } else {
    done(ServerReply::NoAnswer(aAction.number));
  }
}

void CellRunner::OnFenced(const std::string& aServer, const ServerReply& aReply)
{
  Dispatch([&](Instant aNow) {
    const auto it = mServers.find(aServer);
    const bool accepted = aReply.outcome == CallOutcome::kAccepted;
    if (accepted && it != mServers.end() && it->second.incarnation != aReply.incarnation) {
      it->second.incarnation = aReply.incarnation;
      it->second.gate->BeginSlowStart();
    }
    mMachine.OnFenced(aNow, aServer, aReply);
    UpdateLeavingState(aNow, aServer, aReply);
  });
}

void CellRunner::ExecuteGrant(const GrantServer& aAction)
{
  mServices.metrics.Count("server_renewals_total");
  const auto done = [self = shared_from_this(), server = aAction.server](
                      const ServerReply& aReply) { self->OnGranted(server, aReply); };
  if (const auto port = PortOf(aAction.server)) {
    port->Grant(aAction, done);
  } else {
    done(ServerReply::NoAnswer(aAction.number));
  }
}

void CellRunner::OnGranted(const std::string& aServer, const ServerReply& aReply)
{
  Dispatch([&](Instant aNow) {
    mMachine.OnGranted(aNow, aServer, aReply);
    UpdateLeavingState(aNow, aServer, aReply);
  });
}

void CellRunner::Log(const ReportCellEvent& aNote)
{
  const std::string event(NameOf(kCellEventNames, aNote.event));
  mServices.metrics.Count("cell_events_total{event=\"" + event + "\"}");
  mServices.log.Write(EventIdOf(aNote.event),
                      "cell=" + mCell + " shard=" + std::to_string(aNote.shard) +
                        " server=" + aNote.server + " epoch=" + std::to_string(aNote.epoch));
}

std::shared_ptr<ServerPort> CellRunner::PortOf(const std::string& aServer) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mServers.find(aServer);
  return it == mServers.end() ? nullptr : it->second.port;
}

// --- Placement ------------------------------------------------------------------------------

void CellRunner::UpdateReferenceLatencies()
{
  Duration reference = Duration::zero();
  for (const auto& [id, server] : mServers) {
    const Duration latency = server.gate->UsualLatency();
    const bool warm = !server.gate->IsCold() && latency.count() > 0;
    if (warm && (reference.count() == 0 || latency < reference)) {
      reference = latency;
    }
  }
  for (auto& [id, server] : mServers) {
    server.gate->SetWarmLatency(reference);
    if (server.gate->IsCold() != server.loggedCold) {
      server.loggedCold = server.gate->IsCold();
      mServices.log.Write(server.loggedCold ? EventId::kServerCold : EventId::kServerWarm,
                          "cell=" + mCell + " server=" + id +
                            " allowed=" + std::to_string(server.gate->ConcurrencyLimit()));
    }
  }
}

std::vector<ServerSample> CellRunner::TakeServerSamples()
{
  std::vector<ServerSample> samples;
  for (auto& [id, server] : mServers) {
    ServerSample sample;
    sample.id = id;
    sample.draining = server.draining || server.leaving;
    sample.accepting = mMachine.IsUsable(id) && !sample.draining && !mDomainOutSince;
    sample.orders = server.answeredOrders;
    if (server.answeredOrders > 0) {
      sample.latency = std::chrono::duration<double>(server.busyTime).count() /
                       static_cast<double>(server.answeredOrders);
    }
    server.busyTime = Duration::zero();
    server.answeredOrders = 0;
    samples.push_back(std::move(sample));
  }
  return samples;
}

std::vector<ShardSample> CellRunner::TakeShardSamples(const std::vector<ServerSample>& aServers)
{
  std::map<std::string, std::size_t> index;
  for (std::size_t n = 0; n < aServers.size(); ++n) {
    index[aServers[n].id] = n;
  }
  std::vector<ShardSample> samples;
  for (const auto& [shard, record] : mMachine.LastKnownObject().shards) {
    const auto owner = mMachine.OwnerOf(shard);
    const auto it = owner ? index.find(owner->owner) : index.end();
    if (it == index.end() || mMachine.PhaseOf(shard) != ShardPhase::kServing) {
      continue;
    }
    const auto busy = mBusySeconds.find(shard);
    samples.push_back({ shard, it->second, busy == mBusySeconds.end() ? 0.0 : busy->second });
  }
  mBusySeconds.clear();
  return samples;
}

void CellRunner::Plan(Instant aNow, const std::vector<CellLoad>& aCells)
{
  Dispatch([&](Instant) {
    if (mMachine.Role() != CellRole::kAttached) {
      return;
    }
    UpdateReferenceLatencies();
    BeginMoves(aNow);
    BeginTransfers(aNow, aCells);
  });
}

void CellRunner::BeginMoves(Instant aNow)
{
  const std::vector<ServerSample> servers = TakeServerSamples();
  const std::vector<ShardSample> shards = TakeShardSamples(servers);
  mPlanner.SetBudget({ mChurnPercentPerMinute, shards.size() });
  const std::vector<PlannedMove> moves = mPlanner.Plan(aNow, servers, shards);
  for (auto& [id, server] : mServers) {
    const double slowness = mPlanner.SlownessOf(id);
    const bool straggling = slowness >= PlannerRules{}.stragglerSlowness;
    if (straggling != server.loggedStraggling) {
      server.loggedStraggling = straggling;
      mServices.log.Write(straggling ? EventId::kStragglerFound : EventId::kStragglerOver,
                          "cell=" + mCell + " server=" + id +
                            " slowness=" + std::to_string(slowness));
    }
  }
  for (const PlannedMove& it : moves) {
    const std::string& server = servers[it.server].id;
    if (!mMachine.MoveShard(aNow, it.shard, server)) {
      continue;
    }
    mPlanner.OnMoveStarted(aNow, it);
    mMoveReasons[it.shard] = NameOf(kMoveReasonNames, it.reason);
    mServices.log.Write(EventId::kMovePlanned,
                        "cell=" + mCell + " shard=" + std::to_string(it.shard) + " to=" + server +
                          " reason=" + mMoveReasons[it.shard]);
  }
}

void CellRunner::BeginTransfers(Instant aNow, const std::vector<CellLoad>& aCells)
{
  std::vector<CellTransfer> transfers =
    PlanTransfers(mCell, aCells, kMaxTransfersPerRound, kTransferTolerance);
  std::size_t begun = 0;
  std::vector<ShardId> shards;
  for (const auto& [shard, record] : mMachine.LastKnownObject().shards) {
    shards.push_back(shard);
  }
  auto next = shards.begin();
  for (const CellTransfer& it : transfers) {
    std::size_t left = it.shards;
    for (; next != shards.end() && left > 0 && begun < kMaxTransfersPerRound; ++next) {
      if (mMachine.SendShard(aNow, *next, it.toCell)) {
        mMoveReasons[*next] = mDomainOutSince ? "domain-out" : "cell-imbalance";
        --left;
        ++begun;
      }
    }
  }
}

// --- Views ----------------------------------------------------------------------------------

CellRole CellRunner::Role() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Role();
}

std::vector<DaemonRef> CellRunner::DaemonsToConfirmStopped() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.DaemonsToConfirmStopped();
}

CellView CellRunner::View() const
{
  const std::lock_guard lock(mMutex);
  CellView view;
  view.name = mCell;
  view.role = mMachine.Role();
  view.token = mMachine.Token();
  view.attached = mMachine.LastKnownObject().attached;
  view.shards = mMachine.LastKnownObject().shards.size();
  view.unserved = mMachine.UnservedCount();
  view.held = mHeldOrders.size();
  for (const auto& [id, server] : mServers) {
    view.servers.push_back({ id,
                             mMachine.IsUsable(id),
                             server.gate->IsCold(),
                             server.gate->Running(),
                             server.gate->Waiting(),
                             server.gate->ConcurrencyLimit(),
                             server.gate->UsualLatency(),
                             mPlanner.SlownessOf(id) });
  }
  return view;
}

std::vector<ShardEvent> CellRunner::History(ShardId aShard) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mHistory.find(aShard);
  if (it == mHistory.end()) {
    return {};
  }
  return { it->second.begin(), it->second.end() };
}

std::optional<ShardRecord> CellRunner::OwnerOf(ShardId aShard) const
{
  const std::lock_guard lock(mMutex);
  return mMachine.OwnerOf(aShard);
}

std::optional<ShardPhase> CellRunner::PhaseOf(ShardId aShard) const
{
  const std::lock_guard lock(mMutex);
  return mMachine.PhaseOf(aShard);
}

} // namespace hawthornlug
