#include "runtime/forwarder.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// A kept connection that has been idle for longer may be gone without notice.
constexpr Duration kIdleForIdempotent = seconds(7);
constexpr Duration kIdleForUnsafe = milliseconds(2500);
/// A server that does not hold a key is not asked again so soon, unless its owner changes.
constexpr Duration kNotOwnerPause = milliseconds(150);
constexpr unsigned kMaxNotOwner = 4;
constexpr int kFirstFailureStatus = 500;
/// A server is hedged to while at most one in this many of its slots is taken.
constexpr unsigned kHedgeRoom = 2;
/// Callers that a stopping daemon rejects find another one at once.
constexpr Duration kRetryElsewhere = milliseconds(20);
constexpr const char* kTraceHeader = "traceparent";
constexpr std::uint64_t kSampleSteps = 1000000;
/// Shorter waits in the queue get no span.
constexpr Duration kShortestWait = milliseconds(1);
/// Spreads rejected callers evenly: the fractional part of n times the golden ratio.
constexpr double kGoldenRatio = 0.6180339887498949;

bool IsGood(const ForwardOutcome& aOutcome)
{
  return aOutcome.result == ForwardResult::kAnswered &&
         aOutcome.response.status < kFirstFailureStatus;
}

} // namespace

/// One request at one server.
struct Forwarder::Attempt
{
  std::string server;
  double pace = 1.0;
  unsigned outstanding = 0;
  Instant sentAt;
  InFlightSlot slot;
  std::shared_ptr<http::Call> call;
};

/// One request on its way.
struct Forwarder::Flow
{
  std::shared_ptr<http::Exchange> exchange;
  CallerTerms terms;
  RouteRule route;
  std::string service;
  bool keyed = false;
  Instant receivedAt;
  Instant targetAt;
  Instant giveUpAt;
  /// When it began to wait for the server that it has not got yet.
  Instant waitingSince;
  Instant notBefore;
  Duration work = Duration::zero();
  unsigned attempts = 0;
  unsigned notOwner = 0;
  std::vector<std::string> tried;
  /// The attempt that was sent last, for the log.
  std::string server;
  unsigned outstanding = 0;
  Instant sentAt;
  /// Attempts that have no outcome yet; a second one beside the first is a hedge.
  std::list<Attempt> open;
  bool hedged = false;
  ForwardResult lastResult = ForwardResult::kUnreachable;
  ServerBar bar = ServerBar::kNone;
  /// A server's failure, to be passed on if nothing better comes.
  std::optional<http::Response> failure;
  /// A server may have run it: nothing may be promised any more.
  bool mayHaveRun = false;
  bool done = false;
  TraceContext trace;
  /// The span of the caller, 0 if it has none.
  std::uint64_t parentSpan = 0;
};

Forwarder::Forwarder(ForwarderServices aServices, const RetryAllowance& aRetries)
  : mServices(aServices)
  , mAllowance(aRetries)
{
}

Forwarder::~Forwarder() = default;

void Forwarder::SetRetryAllowance(const RetryAllowance& aAllowance)
{
  mAllowance = aAllowance;
  for (auto& [service, budget] : mBudgets) {
    budget.SetAllowance(aAllowance);
  }
}

void Forwarder::BeginTrace(Flow& aFlow) const
{
  const auto caller = TraceContext::Parse(aFlow.exchange->Received().headers.Get(kTraceHeader));
  if (caller) {
    aFlow.trace = caller->Child();
    aFlow.parentSpan = caller->span;
  } else if (mTraceSample > 0.0) {
    const double draw = static_cast<double>(RandomId() % kSampleSteps);
    aFlow.trace = TraceContext::Make(draw < mTraceSample * static_cast<double>(kSampleSteps));
  }
}

void Forwarder::Record(const Flow& aFlow, Span aSpan) const
{
  aSpan.service = aFlow.service;
  aSpan.requestId = aFlow.terms.requestId;
  mServices.spans.Record(aSpan);
}

void Forwarder::RecordSpan(const Flow& aFlow,
                           const char* aName,
                           Instant aStart,
                           Instant aEnd,
                           std::string_view aOutcome) const
{
  if (aFlow.trace.sampled) {
    Record(aFlow,
           { aFlow.trace.Child(),
             aFlow.trace.span,
             aName,
             aStart,
             aEnd,
             {},
             {},
             std::string(aOutcome) });
  }
}

void Forwarder::RecordEntry(const Flow& aFlow, Instant aEnd, const std::string& aOutcome) const
{
  if (aFlow.trace.sampled) {
    Record(aFlow,
           { aFlow.trace, aFlow.parentSpan, "entry", aFlow.receivedAt, aEnd, {}, {}, aOutcome });
  }
}

SharedRetryBudget& Forwarder::BudgetOf(const std::string& aService)
{
  return mBudgets.try_emplace(aService, mAllowance).first->second;
}

void Forwarder::OnBadRequest(int aStatus, http::ReadState aState)
{
  mServices.metrics.Count("bad_requests_total");
  mServices.log.Write(
    EventId::kRequestMalformed,
    { { "status", aStatus }, { "reason", NameOf(http::kReadStateNames, aState) } });
}

void Forwarder::OnRequest(std::shared_ptr<http::Exchange> aExchange)
{
  mServices.metrics.Count("requests_total");
  auto flow = std::make_shared<Flow>();
  flow->exchange = std::move(aExchange);
  flow->receivedAt = mServices.timers.Now();
  flow->waitingSince = flow->receivedAt;
  BeginTrace(*flow);
  if (!Admit(flow)) {
    return;
  }
  flow->exchange->SetAbandoned([this, weak = std::weak_ptr<Flow>(flow)] {
    if (const FlowPtr it = weak.lock()) {
      Abandon(it);
    }
  });
  BudgetOf(flow->service).OnRequest(flow->receivedAt);
  // Requests that wait already go first.
  Wait(flow);
  Dispatch();
}

bool Forwarder::Admit(const FlowPtr& aFlow)
{
  Flow& flow = *aFlow;
  const http::Request& request = flow.exchange->Received();
  const auto terms = mServices.headers.Read(request);
  if (!terms) {
    Answer(aFlow, 400, Duration::zero(), EventId::kRequestMalformed, "headers");
    return false;
  }
  flow.terms = *terms;
  if (mServices.routes.IsEmpty()) {
    Answer(aFlow, 503, milliseconds(500), EventId::kRequestRefused, "no-configuration");
    return false;
  }
  if (flow.receivedAt >= mRefuseFrom) {
    Answer(aFlow, 503, kRetryElsewhere, EventId::kRequestRefused, "stopping");
    return false;
  }
  const RouteRule* const route = mServices.routes.Find(request.headers.Get("Host"), request.Path());
  if (route == nullptr) {
    Answer(aFlow, 404, Duration::zero(), EventId::kRequestRefused, "no-route");
    return false;
  }
  flow.route = *route;
  flow.service = mServices.routes.ChooseService(*route);
  const ServiceRule* const rule = mServices.routes.FindService(flow.service);
  flow.keyed = rule != nullptr && rule->keyed;
  if (flow.keyed && !flow.terms.key) {
    Answer(aFlow, 400, Duration::zero(), EventId::kRequestMalformed, "no-key");
    return false;
  }
  flow.targetAt = flow.receivedAt + route->targetLatency;
  flow.giveUpAt =
    flow.receivedAt + std::min(route->timeout, flow.terms.patience.value_or(route->timeout));
  flow.work = mWork.Of(route->name, route->targetLatency);
  if (flow.keyed) {
    // What is asked for counts, also what can't be served: it shows where servers are wanting.
    RangeRunner* const ranges = mServices.ranges.FindRanges(flow.service);
    if (ranges != nullptr) {
      ranges->NoteWork(*flow.terms.key, flow.work);
    }
  }
  return true;
}

void Forwarder::Wait(const FlowPtr& aFlow)
{
  mWaiting.push_back(aFlow);
}

WaitingRequest Forwarder::View(const Flow& aFlow, Instant aNow) const
{
  WaitingRequest view;
  view.priority = aFlow.route.priority;
  view.waited = aNow - aFlow.waitingSince;
  view.targetLatency = aFlow.route.targetLatency;
  view.targetLeft = aFlow.targetAt - aNow;
  view.timeLeft = aFlow.giveUpAt - aNow;
  view.work = aFlow.work;
  view.answersBehind = static_cast<unsigned>(aFlow.exchange->AnswersBehind());
  return view;
}

void Forwarder::Dispatch()
{
  if (mDispatching || mWaiting.empty()) {
    return;
  }
  mDispatching = true;
  const Instant now = mServices.timers.Now();
  std::vector<std::pair<double, FlowPtr>> order;
  order.reserve(mWaiting.size());
  for (const FlowPtr& it : mWaiting) {
    order.emplace_back(WaitingRank(View(*it, now)), it);
  }
  std::stable_sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  mWaiting.clear();
  for (const auto& [rank, flow] : order) {
    if (flow->done) {
      continue;
    }
    if (TrySend(flow, now) || JudgeWait(flow, now)) {
      continue;
    }
    Wait(flow);
  }
  mDispatching = false;
}

ServerNeed Forwarder::NeedOf(const Flow& aFlow, Instant aNow)
{
  ServerNeed need;
  need.service = aFlow.service;
  need.work = aFlow.work;
  need.targetLatency = aFlow.route.targetLatency;
  need.targetLeft = aFlow.targetAt - aNow;
  need.idempotent = aFlow.route.idempotent;
  need.tried = aFlow.tried;
  return need;
}

bool Forwarder::TrySend(const FlowPtr& aFlow, Instant aNow)
{
  Flow& flow = *aFlow;
  if (aNow < flow.notBefore) {
    return false;
  }
  ServerNeed need = NeedOf(flow, aNow);
  if (flow.keyed) {
    RangeRunner* const ranges = mServices.ranges.FindRanges(flow.service);
    const DirectoryRange* const range = ranges == nullptr ? nullptr : ranges->Find(*flow.terms.key);
    if (range == nullptr || range->moving) {
      flow.bar = ServerBar::kUnknown;
      return false;
    }
    need.owner = range->server;
    need.tried.clear();
  }
  const ServerChoice choice = mServices.board.Choose(need, aNow);
  flow.bar = choice.bar;
  if (!choice.server) {
    return false;
  }
  SendTo(aFlow, choice, aNow);
  return true;
}

bool Forwarder::JudgeWait(const FlowPtr& aFlow, Instant aNow)
{
  Flow& flow = *aFlow;
  WaitingQueue queue;
  queue.moving = flow.keyed && flow.bar == ServerBar::kUnknown;
  const bool soon =
    flow.bar == ServerBar::kFull || flow.bar == ServerBar::kCold || flow.bar == ServerBar::kNone;
  queue.usableServers = soon ? 1 : 0;
  const WaitVerdict verdict = JudgeWaiting(View(flow, aNow), queue);
  if (verdict == WaitVerdict::kWait) {
    return false;
  }
  Refuse(aFlow, verdict, queue);
  return true;
}

void Forwarder::Refuse(const FlowPtr& aFlow, WaitVerdict aVerdict, const WaitingQueue& aQueue)
{
  Flow& flow = *aFlow;
  const Instant now = mServices.timers.Now();
  if (flow.failure) {
    Finish(aFlow, std::move(*flow.failure), EventId::kRequestDone, "failed-at-server");
    return;
  }
  if (flow.mayHaveRun) {
    const int status = now >= flow.giveUpAt ? 504 : 502;
    Answer(aFlow, status, Duration::zero(), EventId::kRequestFailed, "no-second-server");
    return;
  }
  ++mRequests;
  const double turns = static_cast<double>(mRequests) * kGoldenRatio;
  const double spread = turns - static_cast<double>(static_cast<std::uint64_t>(turns));
  const Duration retryAfter = RetryAfter(View(flow, now), aQueue, spread);
  Answer(
    aFlow, 503, retryAfter, EventId::kRequestRefused, NameOf(kWaitVerdictNames, aVerdict).data());
}

void Forwarder::SendTo(const FlowPtr& aFlow, const ServerChoice& aChoice, Instant aNow)
{
  Flow& flow = *aFlow;
  const ServerEntry& server = *aChoice.server;
  if (aNow - flow.waitingSince > kShortestWait) {
    RecordSpan(flow, "queue", flow.waitingSince, aNow, "sent");
  }
  flow.server = server.id;
  flow.outstanding = aChoice.outstanding;
  flow.sentAt = aNow;
  ++flow.attempts;
  Attempt& attempt = flow.open.emplace_back();
  attempt.server = server.id;
  attempt.pace = mServices.board.PaceOf(server.id, aNow);
  attempt.outstanding = aChoice.outstanding;
  attempt.sentAt = aNow;
  attempt.slot = mServices.board.Take(server.id, aNow);
  ForwardTerms terms;
  terms.address = server.address;
  terms.instance = server.id;
  terms.timeLeft = std::max(flow.giveUpAt - aNow, Duration(milliseconds(1)));
  terms.keep = mServices.board.ConnectionsTo(server.id);
  terms.maxIdle = flow.route.idempotent ? kIdleForIdempotent : kIdleForUnsafe;
  attempt.call = mServices.backends.Forward(
    flow.exchange->Received(), terms, [this, aFlow, id = server.id](ForwardOutcome aOutcome) {
      OnOutcome(aFlow, id, std::move(aOutcome));
    });
  if (flow.route.idempotent && !flow.keyed && !flow.hedged) {
    mHedgeable.push_back(aFlow);
  }
}

void Forwarder::Learn(const FlowPtr& aFlow,
                      const Attempt& aAttempt,
                      const ForwardOutcome& aOutcome,
                      Instant aNow)
{
  Flow& flow = *aFlow;
  ForwardSample sample;
  sample.result = aOutcome.result;
  const bool served = IsGood(aOutcome);
  sample.failed = aOutcome.result == ForwardResult::kAnswered && !served;
  sample.elapsed = aNow - aAttempt.sentAt;
  sample.work = flow.work;
  sample.outstanding = aAttempt.outstanding;
  sample.load = aOutcome.load;
  // A caller's own deadline says nothing of the server, and a closed idle connection little.
  const bool telling = aOutcome.result != ForwardResult::kBroken || !aOutcome.reused;
  if (telling) {
    mServices.board.OnSample(aAttempt.server, sample, aNow);
  }
  const ServerEntry* const server = mServices.board.Find(aAttempt.server);
  if (served && server != nullptr && aAttempt.outstanding < server->slots) {
    mWork.OnServed(flow.route.name, sample.elapsed, aAttempt.pace);
  }
}

void Forwarder::OnOutcome(const FlowPtr& aFlow, const std::string& aServer, ForwardOutcome aOutcome)
{
  Flow& flow = *aFlow;
  const auto attempt = std::find_if(flow.open.begin(), flow.open.end(), [&](const Attempt& aOpen) {
    return aOpen.server == aServer;
  });
  if (flow.done || attempt == flow.open.end()) {
    return;
  }
  Attempt ended = std::move(*attempt);
  flow.open.erase(attempt);
  // Whoever waits may have the slot at once.
  ended.slot.Release();
  const Instant now = mServices.timers.Now();
  flow.lastResult = aOutcome.result;
  RecordSpan(flow, "server", ended.sentAt, now, NameOf(kForwardResultNames, aOutcome.result));
  mServices.metrics.Count("forwards_total{result=\"" +
                          std::string(NameOf(kForwardResultNames, aOutcome.result)) + "\"}");
  Learn(aFlow, ended, aOutcome, now);
  if (!flow.open.empty() && !IsGood(aOutcome)) {
    // The other attempt may still be answered.
    flow.mayHaveRun = true;
    flow.tried.push_back(ended.server);
    return;
  }
  if (aOutcome.result == ForwardResult::kAnswered) {
    flow.mayHaveRun = true;
    if (IsGood(aOutcome) || !Retry(aFlow, aOutcome.result, now)) {
      Finish(aFlow, std::move(aOutcome.response), EventId::kRequestDone, "answered");
    } else {
      flow.failure = std::move(aOutcome.response);
    }
  } else if (!Retry(aFlow, aOutcome.result, now)) {
    if (!flow.mayHaveRun || flow.failure) {
      Refuse(aFlow, WaitVerdict::kNoServer, {});
    } else {
      const int status = aOutcome.result == ForwardResult::kTimedOut ? 504 : 502;
      Answer(aFlow,
             status,
             Duration::zero(),
             EventId::kRequestFailed,
             NameOf(kForwardResultNames, aOutcome.result).data());
    }
  }
  Dispatch();
}

bool Forwarder::Retry(const FlowPtr& aFlow, ForwardResult aResult, Instant aNow)
{
  Flow& flow = *aFlow;
  const bool nothingSent =
    aResult == ForwardResult::kUnreachable || aResult == ForwardResult::kRefusedPort;
  const bool notRun =
    nothingSent || aResult == ForwardResult::kNotRun || aResult == ForwardResult::kNotOwner;
  flow.mayHaveRun = flow.mayHaveRun || !notRun;
  if (flow.giveUpAt - aNow < flow.work / 2) {
    return false;
  }
  if (aResult == ForwardResult::kNotOwner) {
    // The directory is behind, or the server is: it is asked again when either has caught up.
    if (++flow.notOwner > kMaxNotOwner || !BudgetOf(flow.service).TakeRetry(aNow, mDaemons)) {
      return false;
    }
    --flow.attempts;
    flow.notBefore = aNow + kNotOwnerPause;
  } else {
    flow.tried.push_back(flow.server);
    if (!notRun && !flow.route.idempotent) {
      return false;
    }
    if (nothingSent) {
      --flow.attempts;
    }
    if (flow.attempts >= flow.route.maxAttempts) {
      return false;
    }
    if (!nothingSent && !BudgetOf(flow.service).TakeRetry(aNow, mDaemons)) {
      return false;
    }
    flow.notBefore = flow.keyed ? aNow + kNotOwnerPause : aNow;
  }
  mServices.metrics.Count("retries_total");
  mServices.log.Write(EventId::kRequestRetried,
                      { { "request", flow.terms.requestId },
                        { "service", flow.service },
                        { "server", flow.server },
                        { "result", NameOf(kForwardResultNames, aResult) },
                        { "elapsed-ms", Millis(aNow - flow.receivedAt) } });
  flow.waitingSince = aNow;
  Wait(aFlow);
  return true;
}

void Forwarder::Answer(const FlowPtr& aFlow,
                       int aStatus,
                       Duration aRetryAfter,
                       EventId aEvent,
                       const char* aWhy)
{
  Finish(aFlow, mServices.headers.Answer(aStatus, aFlow->terms, aRetryAfter), aEvent, aWhy);
}

void Forwarder::Finish(const FlowPtr& aFlow,
                       http::Response aResponse,
                       EventId aEvent,
                       const char* aWhy)
{
  Flow& flow = *aFlow;
  flow.done = true;
  CancelAttempts(flow);
  const Instant now = mServices.timers.Now();
  const Duration elapsed = now - flow.receivedAt;
  mServices.metrics.Count("answers_total{status=\"" + std::to_string(aResponse.status) + "\"}");
  mServices.metrics.Observe("request_seconds", elapsed);
  mServices.log.Write(
    aEvent,
    { { "request", flow.terms.requestId },
      { "route", flow.route.name },
      { "config", mServices.routes.Version() },
      { "service", flow.service },
      { "key", flow.terms.key ? static_cast<std::int64_t>(*flow.terms.key) : -1 },
      { "server", flow.server },
      { "attempts", flow.attempts },
      { "hedged", flow.hedged },
      { "outstanding", flow.outstanding },
      { "waited-ms", Millis((flow.attempts > 0 ? flow.sentAt : now) - flow.receivedAt) },
      { "elapsed-ms", Millis(elapsed) },
      { "bar", NameOf(kServerBarNames, flow.bar) },
      { "last-result", flow.attempts > 0 ? NameOf(kForwardResultNames, flow.lastResult) : "none" },
      { "status", aResponse.status },
      { "reason", aWhy } });
  RecordEntry(flow, now, std::to_string(aResponse.status));
  flow.exchange->Respond(std::move(aResponse));
}

void Forwarder::Abandon(const FlowPtr& aFlow)
{
  Flow& flow = *aFlow;
  if (flow.done) {
    return;
  }
  flow.done = true;
  mServices.metrics.Count("abandoned_total");
  mServices.log.Write(EventId::kRequestAbandoned,
                      { { "request", flow.terms.requestId },
                        { "service", flow.service },
                        { "server", flow.server },
                        { "elapsed-ms", Millis(mServices.timers.Now() - flow.receivedAt) } });
  CancelAttempts(flow);
  RecordEntry(flow, mServices.timers.Now(), "abandoned");
}

void Forwarder::CancelAttempts(Flow& aFlow)
{
  for (const Attempt& it : aFlow.open) {
    it.call->Cancel();
    RecordSpan(aFlow, "server", it.sentAt, mServices.timers.Now(), "cancelled");
  }
  aFlow.open.clear();
}

void Forwarder::Hedge()
{
  const Instant now = mServices.timers.Now();
  std::vector<FlowPtr> later;
  for (const std::weak_ptr<Flow>& weak : mHedgeable) {
    const FlowPtr flow = weak.lock();
    if (!flow || flow->done || flow->open.size() != 1) {
      continue;
    }
    if (now < HedgeTime({ flow->sentAt, flow->targetAt, flow->work })) {
      later.push_back(flow);
      continue;
    }
    TryHedge(flow, now);
  }
  mHedgeable.assign(later.begin(), later.end());
}

void Forwarder::TryHedge(const FlowPtr& aFlow, Instant aNow)
{
  Flow& flow = *aFlow;
  if (flow.attempts >= flow.route.maxAttempts) {
    return;
  }
  ServerNeed need = NeedOf(flow, aNow);
  need.tried.push_back(flow.open.front().server);
  const ServerChoice choice = mServices.board.Choose(need, aNow);
  const bool inTime = choice.server && choice.completion <= flow.targetAt - aNow;
  // Where requests wait, a second attempt takes the slot of another's first.
  const bool roomy = choice.server && mWaiting.empty() &&
                     kHedgeRoom * (choice.outstanding + 1) <= choice.server->slots;
  if (!inTime || !roomy || !BudgetOf(flow.service).TakeHedge(aNow, mDaemons)) {
    return;
  }
  flow.hedged = true;
  mServices.metrics.Count("hedges_total");
  SendTo(aFlow, choice, aNow);
}

} // namespace hawthornlug
