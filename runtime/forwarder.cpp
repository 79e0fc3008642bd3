#include "runtime/forwarder.h"

#include "limits/route_work.h"
#include "runtime/forwarder_request.h"
#include "runtime/range_runner.h"

#include <algorithm>
#include <utility>

namespace hawthornlug {

namespace {

/// Idle limits of reused connections. The server may have closed one that was idle for longer
/// without the router having noticed; the limit is lower for requests that can't be repeated.
constexpr Duration kMaxIdleIdempotent = seconds(7);
constexpr Duration kMaxIdleNonIdempotent = milliseconds(2500);
/// Delay before a request for a key is sent again: the server that answered that it doesn't own
/// the key, or the directory, needs time to catch up.
constexpr Duration kKeyedRetryDelay = milliseconds(150);
constexpr unsigned kMaxNotOwnerAnswers = 4;
/// A server gets hedges only while at most one in this many of its slots is taken.
constexpr unsigned kHedgeSlotsPerRequest = 2;
/// Waits in the queue that are no longer than this get no span.
constexpr Duration kMinWaitSpan = milliseconds(1);

bool IsSuccess(const ForwardOutcome& aOutcome)
{
  return aOutcome.result == ForwardResult::kAnswered &&
         aOutcome.response.status < kFirstFailureStatus;
}

/// Whether nothing of the request has reached a server.
bool IsUnsent(ForwardResult aResult)
{
  return EvidenceOf(aResult) == AttemptEvidence::kNothingWritten;
}

/// Whether a server may have run the request.
bool MayHaveRun(ForwardResult aResult)
{
  return EvidenceOf(aResult) == AttemptEvidence::kMayHaveRun;
}

/// Whether a server's application limits this caller: what runs the request elsewhere would do so,
/// too.
bool IsLimitOfCaller(ForwardResult aResult, int aStatus)
{
  return aResult == ForwardResult::kUnstated &&
         (aStatus == static_cast<int>(http::PromiseStatus::kRequestTimeout) ||
          aStatus == static_cast<int>(http::PromiseStatus::kTooManyRequests));
}

/// The status of a request that may have run, if its attempt ended like this.
http::PlainStatus FailureStatusOf(ForwardResult aResult)
{
  return http::PlainStatus(aResult == ForwardResult::kTimedOut ? http::PlainStatus::kGatewayTimeout
                                                               : http::PlainStatus::kBadGateway);
}

} // namespace

Forwarder::Forwarder(ForwarderServices aServices, const RetryAllowance& aRetries)
  : mServices(aServices)
  , mAllowance(aRetries)
  , mAdmission(aServices.routes, aServices.headers)
  , mSpans(aServices.spans)
  , mOrganisations(aServices.metrics, aServices.routes)
  , mWork(std::make_unique<RouteWork>())
{
}

Forwarder::~Forwarder()
{
  QuotaClaim::ReleaseAll(*mOpenClaims);
}

void Forwarder::SetRetryAllowance(const RetryAllowance& aAllowance)
{
  mAllowance = aAllowance;
  for (auto& [service, budget] : mBudgets) {
    budget.SetAllowance(aAllowance);
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

void Forwarder::OnUnreadResponse(std::size_t aBytes)
{
  mServices.metrics.Count("unread_answers_total");
  mServices.log.Write(EventId::kAnswerUnread, { { "bytes", aBytes } });
}

void Forwarder::OnMalformedResponse(int aStatus)
{
  mServices.metrics.Count("malformed_answers_total");
  mServices.log.Write(EventId::kAnswerMalformed, { { "status", aStatus } });
}

void Forwarder::OnFalsePromise(int aStatus)
{
  mServices.metrics.Count("false_promises_total");
  mServices.log.Write(EventId::kFalsePromise, { { "status", aStatus } });
}

void Forwarder::OnRequest(std::shared_ptr<http::Exchange> aExchange)
{
  mServices.metrics.Count("requests_total");
  auto request = std::make_shared<RoutedRequest>();
  request->exchange = std::move(aExchange);
  request->receivedAt = mServices.timers.Now();
  request->waitingSince = request->receivedAt;
  request->trace = mSpans.Begin(request->exchange->Received().headers);
  if (!Admit(request)) {
    return;
  }
  request->exchange->SetAbandoned([this, weak = std::weak_ptr<RoutedRequest>(request)] {
    if (const RoutedRequestPtr it = weak.lock()) {
      Abandon(it);
    }
  });
  BudgetOf(request->service).OnRequest(request->receivedAt);
  // Queued rather than sent directly, so that requests that already wait are considered with it.
  Enqueue(request);
  Dispatch();
}

std::optional<Duration> Forwarder::TimeLimitOf(const http::Request& aHeader)
{
  return mAdmission.TimeLimitOf(aHeader);
}

bool Forwarder::Admit(const RoutedRequestPtr& aRequest)
{
  RoutedRequest& request = *aRequest;
  AdmissionResult admission =
    mAdmission.Check(request.exchange->Received(), request.receivedAt >= mRejectFrom);
  request.terms = std::move(admission.terms);
  request.route = std::move(admission.route);
  request.replacesIdentity = admission.replacesIdentity;
  request.organisation = std::move(admission.organisation);
  request.service = std::move(admission.service);
  request.keyed = admission.keyed;
  request.trace.service = request.service;
  request.trace.requestId = request.terms.requestId;
  if (!request.organisation.empty()) {
    mOrganisations.CountRequest(request.organisation);
  }
  if (admission.refusal) {
    Refuse(aRequest, *admission.refusal);
    return false;
  }
  // The caller has waited since it began to send.
  const Instant begunAt = request.receivedAt - request.exchange->Received().receiveTime;
  request.targetAt = begunAt + request.route.targetLatency;
  request.deadline = begunAt + LongestTime(request.route, request.terms);
  request.work = mWork->Of(TraitsOf(request), request.route.targetLatency);
  if (!request.organisation.empty()) {
    request.quota.Begin(mServices.quotas.Claim(request.organisation, request.receivedAt),
                        mOpenClaims);
    if (const auto refusal = request.quota.Refusal(request.receivedAt)) {
      Refuse(aRequest, *refusal);
      return false;
    }
  }
  if (request.keyed) {
    // Requests that can't be served count too: they show where capacity is missing.
    RangeRunner* const ranges = mServices.ranges.FindRanges(request.service);
    if (ranges != nullptr) {
      ranges->AddWork(*request.terms.key, request.work);
    }
  }
  return true;
}

bool Forwarder::HasQuota(const RoutedRequestPtr& aRequest, Instant aNow)
{
  RoutedRequest& request = *aRequest;
  if (const auto refusal = request.quota.Refusal(aNow)) {
    Refuse(aRequest, *refusal);
    return false;
  }
  if (request.quota.State(aNow) == QuotaState::kGranted) {
    if (std::exchange(request.awaitsQuota, false)) {
      mSpans.RecordStep(request.trace, "queue", request.waitingSince, aNow, "quota-granted");
      // The wait for a server begins now.
      request.waitingSince = aNow;
    }
    return true;
  }
  request.awaitsQuota = true;
  // This wait says nothing about the servers: only the deadline and the end of the process end it.
  const bool stopping = !FitsBeforeStop(request.work, mEndsAt - aNow);
  if (stopping || aNow >= request.deadline) {
    AnswerUnserved(aRequest,
                   stopping ? WaitDecision::kStopping : WaitDecision::kTooLate,
                   DescribeQueue(request, aNow));
  }
  return false;
}

void Forwarder::Enqueue(const RoutedRequestPtr& aRequest)
{
  mWaiting.push_back(aRequest);
}

WaitingRequest Forwarder::DescribeWaiting(const RoutedRequest& aRequest, Instant aNow) const
{
  WaitingRequest view;
  view.priority = aRequest.route.priority;
  if (IsContending(aRequest)) {
    view.priority += mServices.contended->DemotionOf(AsQueued(aRequest));
  }
  view.waited = aNow - aRequest.waitingSince;
  view.targetLatency = aRequest.route.targetLatency;
  view.timeToTarget = aRequest.targetAt - aNow;
  view.timeLeft = aRequest.deadline - aNow;
  view.work = aRequest.work;
  view.blockedAnswers = static_cast<unsigned>(aRequest.exchange->AnswersBehind());
  return view;
}

void Forwarder::Dispatch()
{
  if (mDispatching || mWaiting.empty()) {
    return;
  }
  mDispatching = true;
  const Instant now = mServices.timers.Now();
  std::vector<std::pair<double, RoutedRequestPtr>> order;
  order.reserve(mWaiting.size());
  for (const RoutedRequestPtr& it : mWaiting) {
    order.emplace_back(WaitingRank(DescribeWaiting(*it, now)), it);
  }
  std::stable_sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  mWaiting.clear();
  if (mServices.contended != nullptr) {
    mServices.contended->BeginPass();
  }
  for (const auto& [rank, request] : order) {
    if (request->done) {
      continue;
    }
    if (!HasQuota(request, now)) {
      if (!request->done) {
        Enqueue(request);
      }
      continue;
    }
    const bool mayBeSent = FitsBeforeStop(request->work, mEndsAt - now);
    if ((mayBeSent && TrySend(request, now)) || AnswerIfWaitFutile(request, now)) {
      continue;
    }
    if (IsContending(*request)) {
      mServices.contended->OnWaiting(AsQueued(*request), now);
    }
    Enqueue(request);
  }
  if (mServices.contended != nullptr) {
    mServices.contended->EndPass();
  }
  mDispatching = false;
}

std::map<std::string, unsigned> Forwarder::WaitingForCold() const
{
  std::map<std::string, unsigned> byServer;
  for (const RoutedRequestPtr& it : mWaiting) {
    if (it->keyed && it->unavailability == ServerUnavailability::kCold) {
      ++byServer[it->owner];
    }
  }
  return byServer;
}

RequestTraits Forwarder::TraitsOf(const RoutedRequest& aRequest)
{
  const http::Request& received = aRequest.exchange->Received();
  RequestTraits traits{
    aRequest.route.name, aRequest.service, received.method, received.body.size(), std::nullopt
  };
  if (aRequest.keyed) {
    traits.key = aRequest.terms.key;
  }
  return traits;
}

ServerRequirements Forwarder::NeedOf(const RoutedRequest& aRequest, Instant aNow) const
{
  ServerRequirements need;
  need.service = aRequest.service;
  need.work = aRequest.work;
  need.targetLatency = aRequest.route.targetLatency;
  need.timeToTarget = aRequest.targetAt - aNow;
  need.idempotent = aRequest.route.idempotent;
  need.owner = aRequest.owner;
  if (const auto answerBytes = mWork->AnswerBytesOf(aRequest.route.name)) {
    need.expectedBytes = aRequest.exchange->Received().body.size() + *answerBytes;
  }
  if (!aRequest.keyed) {
    need.triedServers = aRequest.triedServers;
  }
  return need;
}

bool Forwarder::IsContending(const RoutedRequest& aRequest) const
{
  const bool turnedAway = aRequest.unavailability == ServerUnavailability::kNone &&
                          aRequest.attempts > 0 && aRequest.lastResult == ForwardResult::kNotRun;
  return mServices.contended != nullptr &&
         (turnedAway || aRequest.unavailability == ServerUnavailability::kFull);
}

QueuedRequest Forwarder::AsQueued(const RoutedRequest& aRequest)
{
  return { aRequest.service,
           aRequest.owner,
           aRequest.keyed ? aRequest.terms.key : std::nullopt,
           aRequest.route.priority,
           aRequest.work };
}

bool Forwarder::IsHopeless(const RoutedRequest& aRequest, Instant aNow) const
{
  return IsContending(aRequest) && DecideWait(DescribeWaiting(aRequest, aNow),
                                              DescribeQueue(aRequest, aNow)) != WaitDecision::kWait;
}

bool Forwarder::TakeRoom(RoutedRequest& aRequest, Instant aNow)
{
  const bool hasRoom = aRequest.unavailability == ServerUnavailability::kNone;
  const bool isFull = aRequest.unavailability == ServerUnavailability::kFull;
  if (mServices.contended == nullptr || !(hasRoom || isFull)) {
    return true;
  }
  ContendedQueue& contended = *mServices.contended;
  const QueuedRequest queued = AsQueued(aRequest);
  if (!aRequest.isCounted || aRequest.countedFor != aRequest.owner) {
    aRequest.isCounted = true;
    aRequest.countedFor = aRequest.owner;
    contended.OnArrival(queued, aNow);
  }
  if (!hasRoom) {
    return false;
  }
  if (!contended.MaySend(queued, aNow)) {
    aRequest.unavailability = ServerUnavailability::kFull;
    return false;
  }
  contended.OnSent(queued, aNow);
  return true;
}

bool Forwarder::TrySend(const RoutedRequestPtr& aRequest, Instant aNow)
{
  RoutedRequest& request = *aRequest;
  if (aNow < request.notBefore || aNow >= request.deadline) {
    return false;
  }
  if (request.keyed) {
    RangeRunner* const ranges = mServices.ranges.FindRanges(request.service);
    const DirectoryRange* const range =
      ranges == nullptr ? nullptr : ranges->Find(*request.terms.key);
    if (range == nullptr || range->moving) {
      request.unavailability = ServerUnavailability::kUnknown;
      return false;
    }
    request.owner = range->server;
  }
  ServerRequirements need = NeedOf(request, aNow);
  need.allotted =
    mServices.contended != nullptr && mServices.contended->IsLimited(AsQueued(request), aNow);
  const ServerChoice choice = mServices.selector.Choose(need, aNow);
  request.unavailability = choice.unavailability;
  request.pausedUntil = choice.pausedUntil;
  if (!TakeRoom(request, aNow) || !choice.server) {
    return false;
  }
  SendTo(aRequest, choice, aNow);
  return true;
}

WaitConditions Forwarder::DescribeQueue(const RoutedRequest& aRequest, Instant aNow) const
{
  WaitConditions queue;
  const ServerUnavailability reason = aRequest.unavailability;
  // The keys of an owner that is leaving are about to move.
  queue.moving = aRequest.keyed && (reason == ServerUnavailability::kUnknown ||
                                    reason == ServerUnavailability::kLeaving);
  const bool freesSoon =
    reason == ServerUnavailability::kFull || reason == ServerUnavailability::kCold ||
    reason == ServerUnavailability::kPaused || reason == ServerUnavailability::kNone;
  queue.usableServers = freesSoon ? 1 : 0;
  queue.pausedFor = std::max(aRequest.pausedUntil - aNow, Duration::zero());
  queue.untilStop = mEndsAt - aNow;
  if (IsContending(aRequest)) {
    mServices.contended->Describe(queue, AsQueued(aRequest), aNow);
  }
  return queue;
}

bool Forwarder::AnswerIfWaitFutile(const RoutedRequestPtr& aRequest, Instant aNow)
{
  RoutedRequest& request = *aRequest;
  const WaitConditions queue = DescribeQueue(request, aNow);
  const WaitDecision verdict = DecideWait(DescribeWaiting(request, aNow), queue);
  if (verdict == WaitDecision::kWait) {
    return false;
  }
  if (IsContending(request)) {
    mServices.contended->OnRejected(
      AsQueued(request), aNow - request.receivedAt, request.route.targetLatency, aNow);
  }
  AnswerUnserved(aRequest, verdict, queue);
  return true;
}

void Forwarder::SendTo(const RoutedRequestPtr& aRequest, const ServerChoice& aChoice, Instant aNow)
{
  RoutedRequest& request = *aRequest;
  std::optional<AttemptPermit> permit = request.exchange->Execution().Begin();
  if (!permit) {
    return;
  }
  const ServerEntry& server = *aChoice.server;
  if (aNow - request.waitingSince > kMinWaitSpan) {
    mSpans.RecordStep(request.trace, "queue", request.waitingSince, aNow, "sent");
  }
  request.lastServer = server.id;
  request.lastOutstanding = aChoice.outstanding;
  request.lastSentAt = aNow;
  request.lastRegistryAge = mServices.selector.RegistryAge(aNow);
  ++request.attempts;
  Attempt& attempt = request.openAttempts.emplace_back();
  attempt.number = permit->Number();
  attempt.server = server.id;
  attempt.incarnation = server.incarnation;
  attempt.pace = mServices.selector.RelativeServiceTimeOf(server.id, aNow);
  attempt.outstanding = aChoice.outstanding;
  attempt.sentAt = aNow;
  LogIfCold(request, server.id, aNow);
  attempt.slowWhenSent = mServices.selector.IsSlowForAWhile(server.id, aNow) ||
                         mServices.selector.IsCold(server.id, aNow);
  attempt.slot = mServices.selector.Take(server.id, aNow, { request.route.name, request.work });
  ForwardTerms terms;
  terms.address = server.address;
  terms.instance = server.id;
  terms.timeLeft = std::max(request.deadline - aNow, Duration(milliseconds(1)));
  terms.keep = mServices.selector.MaxConnectionsTo(server.id);
  terms.maxIdle = request.route.idempotent ? kMaxIdleIdempotent : kMaxIdleNonIdempotent;
  terms.replacesIdentity = request.replacesIdentity;
  terms.organisation = request.organisation;
  terms.freshConnection = request.history.NeedsNewConnection(server.id);
  terms.awaitAcceptance = !request.route.idempotent;
  attempt.call =
    mServices.backends.Forward(request.exchange->Received(),
                               terms,
                               std::move(*permit),
                               [this, aRequest, id = server.id](ForwardOutcome aOutcome) {
                                 OnOutcome(aRequest, id, std::move(aOutcome));
                               });
  if (request.route.idempotent && !request.keyed && !request.hedged) {
    mHedgeable.push_back(aRequest);
  }
}

void Forwarder::LogIfCold(const RoutedRequest& aRequest,
                          const std::string& aServer,
                          Instant aNow) const
{
  if (!mServices.selector.IsCold(aServer, aNow)) {
    return;
  }
  mServices.metrics.Count("cold_forwards_total");
  mServices.log.Write(EventId::kColdForward,
                      { { "request", aRequest.terms.requestId },
                        { "organisation", aRequest.organisation },
                        { "service", aRequest.service },
                        { "server", aServer },
                        { "attempt", aRequest.attempts },
                        { "daemons", mDaemons } });
}

void Forwarder::UpdateStatistics(const RoutedRequestPtr& aRequest,
                                 const Attempt& aAttempt,
                                 const ForwardOutcome& aOutcome,
                                 Instant aNow)
{
  RoutedRequest& request = *aRequest;
  ForwardSample sample;
  const bool unstated = aOutcome.result == ForwardResult::kUnstated;
  sample.result = unstated ? ForwardResult::kAnswered : aOutcome.result;
  const bool served = IsSuccess(aOutcome);
  sample.failed =
    sample.result == ForwardResult::kAnswered && aOutcome.response.status >= kFirstFailureStatus;
  sample.elapsed = aNow - aAttempt.sentAt;
  sample.work = request.work;
  sample.outstanding = aAttempt.outstanding;
  sample.load = aOutcome.load;
  sample.workIsMeasured = mWork->IsMeasured(request.route.name);
  sample.slowWhenSent = aAttempt.slowWhenSent;
  // A reused connection that ended without an answer was probably closed while idle, which says
  // little about the server. A time-out counts as a failure, although it says nothing about the
  // server if the caller's own deadline was its cause.
  const bool wasIdleTooLong =
    aOutcome.result == ForwardResult::kBroken && aOutcome.reused && !aOutcome.answerBegan;
  if (!wasIdleTooLong) {
    mServices.selector.OnResult(aAttempt.server, sample, aNow);
  }
  const ServerEntry* const server = mServices.selector.Find(aAttempt.server);
  if (served && server != nullptr && aAttempt.outstanding < server->slots) {
    mWork->OnServed(
      TraitsOf(request),
      { sample.elapsed,
        aAttempt.pace,
        request.work,
        aOutcome.response.body.size(),
        aAttempt.slowWhenSent || (aOutcome.load && IsSlowForAWhile(*aOutcome.load)) });
  }
}

void Forwarder::OnOutcome(const RoutedRequestPtr& aRequest,
                          const std::string& aServer,
                          ForwardOutcome aOutcome)
{
  RoutedRequest& request = *aRequest;
  const auto attempt = std::find_if(request.openAttempts.begin(),
                                    request.openAttempts.end(),
                                    [&](const Attempt& aOpen) { return aOpen.server == aServer; });
  if (request.done || attempt == request.openAttempts.end()) {
    return;
  }
  Attempt ended = std::move(*attempt);
  request.openAttempts.erase(attempt);
  // Released before the retry, so that the slot is free for waiting requests at once.
  ended.slot.Release();
  const Instant now = mServices.timers.Now();
  request.exchange->Execution().End(ended.number, EvidenceOf(aOutcome.result));
  request.lastResult = aOutcome.result;
  request.lastGround = aOutcome.ground;
  request.lastStatus = aOutcome.ground == AnswerGround::kNone ? 0 : aOutcome.response.status;
  request.lastReused = aOutcome.reused;
  mSpans.RecordStep(
    request.trace, "server", ended.sentAt, now, NameOf(kForwardResultNames, aOutcome.result));
  mServices.metrics.Count("forwards_total{result=\"" +
                          std::string(NameOf(kForwardResultNames, aOutcome.result)) + "\"}");
  UpdateStatistics(aRequest, ended, aOutcome, now);
  request.history.OnResult(ended.server, aOutcome.result);
  if (MayHaveRun(aOutcome.result)) {
    request.quota.MarkUsed(now);
  }
  if (!aOutcome.notice.IsEmpty()) {
    mServices.notices.OnServerNotice({ ended.server, ended.incarnation }, aOutcome.notice);
  }
  if (!request.openAttempts.empty() && !IsSuccess(aOutcome)) {
    // The other attempt may still succeed.
    request.triedServers.push_back(ended.server);
    return;
  }
  if (aOutcome.result == ForwardResult::kAnswered) {
    if (IsSuccess(aOutcome) || !Retry(aRequest, aOutcome.result, now)) {
      Finish(aRequest, std::move(aOutcome.response), EventId::kRequestDone, "answered");
    } else {
      request.failureResponse = std::move(aOutcome.response);
    }
  } else if (!Retry(aRequest, aOutcome.result, now)) {
    if (!request.exchange->Execution().MayHaveRun() || request.failureResponse) {
      request.pausedUntil = mServices.selector.Choose(NeedOf(request, now), now).pausedUntil;
      AnswerUnserved(aRequest, WaitDecision::kNoServer, DescribeQueue(request, now));
    } else {
      Fail(aRequest,
           FailureStatusOf(aOutcome.result),
           EventId::kRequestFailed,
           NameOf(kForwardResultNames, aOutcome.result).data());
    }
  }
  Dispatch();
}

bool Forwarder::Retry(const RoutedRequestPtr& aRequest, ForwardResult aResult, Instant aNow)
{
  RoutedRequest& request = *aRequest;
  const bool nothingSent = IsUnsent(aResult);
  const bool notRun = !MayHaveRun(aResult);
  if (request.deadline - aNow < request.work / 2) {
    return false;
  }
  if (aResult == ForwardResult::kNotOwner) {
    // Either the directory or the server is out of date. The request is sent again after a delay,
    // when the one that is behind may have caught up; it does not count as an attempt.
    if (++request.notOwnerAnswers > kMaxNotOwnerAnswers ||
        !BudgetOf(request.service).TakeRetry(aNow, mDaemons)) {
      return false;
    }
    --request.attempts;
    request.notBefore = aNow + kKeyedRetryDelay;
  } else {
    request.triedServers.push_back(request.lastServer);
    if (!notRun && !request.route.idempotent) {
      return false;
    }
    if (IsLimitOfCaller(aResult, request.lastStatus)) {
      return false;
    }
    if (nothingSent) {
      --request.attempts;
    }
    if (request.attempts >= request.route.maxAttempts) {
      return false;
    }
    if (aResult == ForwardResult::kNotRun && request.keyed && IsHopeless(request, aNow)) {
      return false;
    }
    if (!nothingSent && !BudgetOf(request.service).TakeRetry(aNow, mDaemons)) {
      return false;
    }
    request.notBefore = request.keyed ? aNow + kKeyedRetryDelay : aNow;
  }
  mServices.metrics.Count("retries_total");
  mServices.log.Write(EventId::kRequestRetried,
                      { { "request", request.terms.requestId },
                        { "organisation", request.organisation },
                        { "service", request.service },
                        { "server", request.lastServer },
                        { "result", NameOf(kForwardResultNames, aResult) },
                        { "ground", NameOf(kAnswerGroundNames, request.lastGround) },
                        { "server-status", request.lastStatus },
                        { "reused", request.lastReused },
                        { "may-have-run", request.exchange->Execution().MayHaveRun() },
                        { "elapsed-ms", Millis(aNow - request.receivedAt) } });
  request.waitingSince = aNow;
  Enqueue(aRequest);
  return true;
}

void Forwarder::Hedge()
{
  const Instant now = mServices.timers.Now();
  std::vector<RoutedRequestPtr> notYetLate;
  for (const std::weak_ptr<RoutedRequest>& weak : mHedgeable) {
    const RoutedRequestPtr request = weak.lock();
    if (!request || request->done || request->openAttempts.size() != 1) {
      continue;
    }
    if (now < HedgeTime({ request->lastSentAt, request->targetAt, request->work })) {
      notYetLate.push_back(request);
      continue;
    }
    TryHedge(request, now);
  }
  mHedgeable.assign(notYetLate.begin(), notYetLate.end());
}

void Forwarder::TryHedge(const RoutedRequestPtr& aRequest, Instant aNow)
{
  RoutedRequest& request = *aRequest;
  if (request.attempts >= request.route.maxAttempts) {
    return;
  }
  ServerRequirements need = NeedOf(request, aNow);
  need.triedServers.push_back(request.openAttempts.front().server);
  const ServerChoice choice = mServices.selector.Choose(need, aNow);
  const bool inTime = choice.server && choice.completion <= request.targetAt - aNow;
  // While requests wait, a hedge would take the slot of another request's first attempt.
  const bool hasRoom = choice.server && mWaiting.empty() &&
                       kHedgeSlotsPerRequest * (choice.outstanding + 1) <= choice.server->slots;
  if (!inTime || !hasRoom || !BudgetOf(request.service).TakeHedge(aNow, mDaemons)) {
    return;
  }
  request.hedged = true;
  mServices.metrics.Count("hedges_total");
  SendTo(aRequest, choice, aNow);
}

} // namespace hawthornlug
