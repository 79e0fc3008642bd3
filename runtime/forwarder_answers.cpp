/// @file
/// What a forwarder tells its callers.

#include "runtime/forwarder.h"
#include "runtime/forwarder_request.h"

#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace hawthornlug {

namespace {

/// Spreads the retries of rejected callers evenly: the fractional parts of n times the golden
/// ratio are evenly distributed.
constexpr double kGoldenRatio = 0.6180339887498949;

} // namespace

void Forwarder::AnswerUnserved(const RoutedRequestPtr& aRequest,
                               WaitDecision aVerdict,
                               const WaitConditions& aQueue)
{
  RoutedRequest& request = *aRequest;
  const Instant now = mServices.timers.Now();
  if (aVerdict == WaitDecision::kStopping) {
    TellNotRun(aRequest,
               http::PromiseStatus::kServiceUnavailable,
               kStoppingRetryAfter,
               EventId::kRequestRefused,
               "stopping");
    return;
  }
  ++mRejectedRequests;
  const double turns = static_cast<double>(mRejectedRequests) * kGoldenRatio;
  const double spread = turns - static_cast<double>(static_cast<std::uint64_t>(turns));
  const Duration retryAfter = RetryAfter(DescribeWaiting(request, now), aQueue, spread);
  TellNotRun(aRequest,
             http::PromiseStatus::kServiceUnavailable,
             retryAfter,
             EventId::kRequestRefused,
             NameOf(kWaitDecisionNames, aVerdict).data());
}

void Forwarder::Refuse(const RoutedRequestPtr& aRequest, const AdmissionRefusal& aRefusal)
{
  if (const auto promise = http::PromiseOf(aRefusal.status)) {
    TellNotRun(aRequest, *promise, aRefusal.retryAfter, aRefusal.event, aRefusal.reason);
    return;
  }
  Fail(aRequest, http::PlainStatus(aRefusal.status), aRefusal.event, aRefusal.reason);
}

void Forwarder::TellNotRun(const RoutedRequestPtr& aRequest,
                           http::PromiseStatus aStatus,
                           Duration aRetryAfter,
                           EventId aEvent,
                           const char* aWhy)
{
  const std::optional<NotRunProof> proof = aRequest->exchange->Execution().Close();
  if (!proof) {
    TellFailed(aRequest);
    return;
  }
  http::Response response = mServices.headers.Refuse(*proof, aStatus, aRequest->terms, aRetryAfter);
  Finish(aRequest, std::move(response), aEvent, aWhy);
}

void Forwarder::TellFailed(const RoutedRequestPtr& aRequest)
{
  RoutedRequest& request = *aRequest;
  if (request.failureResponse) {
    Finish(
      aRequest, std::move(*request.failureResponse), EventId::kRequestDone, "failed-at-server");
    return;
  }
  const bool isLate = mServices.timers.Now() >= request.deadline;
  Fail(
    aRequest,
    http::PlainStatus(isLate ? http::PlainStatus::kGatewayTimeout : http::PlainStatus::kBadGateway),
    EventId::kRequestFailed,
    "no-second-server");
}

void Forwarder::Fail(const RoutedRequestPtr& aRequest,
                     http::PlainStatus aStatus,
                     EventId aEvent,
                     const char* aWhy)
{
  Finish(aRequest, mServices.headers.Fail(aStatus, aRequest->terms), aEvent, aWhy);
}

void Forwarder::Finish(const RoutedRequestPtr& aRequest,
                       http::Response aResponse,
                       EventId aEvent,
                       const char* aWhy)
{
  RoutedRequest& request = *aRequest;
  request.done = true;
  // From here on the request can't be sent any more.
  std::ignore = request.exchange->Execution().Close();
  CancelAttempts(request);
  request.quota.Release();
  const Instant now = mServices.timers.Now();
  const Duration elapsed = now - request.receivedAt;
  mServices.metrics.Count("answers_total{status=\"" + std::to_string(aResponse.status) + "\"}");
  const bool served = aEvent == EventId::kRequestDone && aResponse.status < kFirstFailureStatus;
  mOrganisations.CountAnswer(request.organisation, aResponse.status, served);
  mServices.metrics.Observe("request_seconds", elapsed);
  mServices.log.Write(
    aEvent,
    { { "request", request.terms.requestId },
      { "route", request.route.name },
      { "config", mServices.routes.Version() },
      { "organisation", request.organisation },
      { "service", request.service },
      { "key", request.terms.key ? static_cast<std::int64_t>(*request.terms.key) : -1 },
      { "server", request.lastServer },
      { "attempts", request.attempts },
      { "hedged", request.hedged },
      { "outstanding", request.lastOutstanding },
      { "registry-age-ms", Millis(request.lastRegistryAge) },
      { "receive-ms", Millis(request.exchange->Received().receiveTime) },
      { "waited-ms",
        Millis((request.attempts > 0 ? request.lastSentAt : now) - request.receivedAt) },
      { "elapsed-ms", Millis(elapsed) },
      { "bar", NameOf(kServerUnavailabilityNames, request.unavailability) },
      { "last-result",
        request.lastServer.empty() ? "none" : NameOf(kForwardResultNames, request.lastResult) },
      { "ground", NameOf(kAnswerGroundNames, request.lastGround) },
      { "server-status", request.lastStatus },
      { "reused", request.lastReused },
      { "may-have-run", request.exchange->Execution().MayHaveRun() },
      { "status", aResponse.status },
      { "reason", aWhy } });
  mSpans.RecordRequest(request.trace, request.receivedAt, now, std::to_string(aResponse.status));
  request.exchange->Respond(std::move(aResponse));
}

void Forwarder::Abandon(const RoutedRequestPtr& aRequest)
{
  RoutedRequest& request = *aRequest;
  if (request.done) {
    return;
  }
  request.done = true;
  std::ignore = request.exchange->Execution().Close();
  mServices.metrics.Count("abandoned_total");
  mServices.log.Write(EventId::kRequestAbandoned,
                      { { "request", request.terms.requestId },
                        { "organisation", request.organisation },
                        { "service", request.service },
                        { "server", request.lastServer },
                        { "attempts", request.attempts },
                        { "open-attempts", request.openAttempts.size() },
                        { "elapsed-ms", Millis(mServices.timers.Now() - request.receivedAt) } });
  CancelAttempts(request);
  request.quota.Release();
  mSpans.RecordRequest(request.trace, request.receivedAt, mServices.timers.Now(), "abandoned");
}

void Forwarder::CancelAttempts(RoutedRequest& aRequest)
{
  for (const Attempt& it : aRequest.openAttempts) {
    it.call->Cancel();
    // Its server may have begun to run it.
    aRequest.quota.MarkUsed(mServices.timers.Now());
    mSpans.RecordStep(aRequest.trace, "server", it.sentAt, mServices.timers.Now(), "cancelled");
  }
  aRequest.openAttempts.clear();
}

} // namespace hawthornlug
