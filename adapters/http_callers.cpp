#include "adapters/http_callers.h"

#include "http/promise.h"
#include "http/syntax.h"
#include "http/target.h"

#include <algorithm>
#include <array>
#include <thread>

namespace hawthornlug {

namespace {

constexpr std::size_t kMaxRequestIdLength = 128;
constexpr Duration kStopPollInterval = milliseconds(5);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr const char* kOutcomeHeader = "Hawthornlug-Outcome";
constexpr const char* kReasonHeader = "Hawthornlug-Reason";
constexpr const char* kRequestIdHeader = "Hawthornlug-Request-Id";
constexpr const char* kServerHeader = "Hawthornlug-Server";
constexpr const char* kEpochHeader = "Hawthornlug-Epoch";
constexpr const char* kServerStatusHeader = "Hawthornlug-Server-Status";
/// Why a server's answer has another status than the server's.
constexpr const char* kServerStatusReason = "server-status";
/// What callers take for our own statements; a server's fields of these names are not passed on.
constexpr std::array kOwnHeaders = { kOutcomeHeader, kReasonHeader, kRequestIdHeader,
                                     kServerHeader,  kEpochHeader,  kServerStatusHeader };

bool IsServedMethod(const std::string& aMethod)
{
  static constexpr std::array<std::string_view, 7> kMethods = { "GET",   "HEAD",   "POST",   "PUT",
                                                                "PATCH", "DELETE", "OPTIONS" };
  return std::find(kMethods.begin(), kMethods.end(), aMethod) != kMethods.end();
}

int HttpStatusOf(const OrderAnswer& aAnswer)
{
  if (aAnswer.outcome == Outcome::kUnknown) {
    return kGatewayTimeout;
  }
  if (aAnswer.refusal == Refusal::kUnknownService) {
    return kNotFound;
  }
  return aAnswer.refusal == Refusal::kBadRequest ? kBadRequest : kServiceUnavailable;
}

http::Response MakeTextResponse(int aStatus, const char* aType, std::string aBody)
{
  http::Response response;
  response.status = aStatus;
  response.headers.Add("Content-Type", aType);
  response.body = std::move(aBody);
  return response;
}

/// Fills @p aResponse with the status, headers and body that state why no server answered.
void DescribeRefusal(const OrderAnswer& aAnswer, http::Response& aResponse)
{
  aResponse.status = HttpStatusOf(aAnswer);
  const std::string outcome(NameOf(kOutcomeNames, aAnswer.outcome.Value()));
  const std::string reason(NameOf(kRefusalNames, aAnswer.refusal));
  aResponse.headers.Add(kReasonHeader, reason);
  if (aAnswer.outcome == Outcome::kNotRun && aResponse.status == kServiceUnavailable) {
    const auto wait = std::chrono::ceil<std::chrono::seconds>(aAnswer.retryAfter).count();
    aResponse.headers.Add("Retry-After", std::to_string(std::max<std::int64_t>(wait, 1)));
  }
  aResponse.headers.Add("Content-Type", "application/json");
  aResponse.body = R"({"outcome":")" + outcome + R"(","reason":")" + reason + "\"}\n";
}

/// Fills @p aResponse with the answer of the server that ran the order. A status by which callers
/// would be told that it has not run is replaced.
void PassOnAnswer(const OrderAnswer& aAnswer, http::Response& aResponse)
{
  aResponse.status = http::PlainStatus(aAnswer.status).Value();
  const bool replaced = aResponse.status != aAnswer.status;
  for (const HeaderField& it : aAnswer.headers) {
    aResponse.headers.Add(it.name, it.value);
  }
  for (const char* it : kOwnHeaders) {
    aResponse.headers.Remove(it);
  }
  if (replaced) {
    aResponse.headers.Remove("Retry-After");
    aResponse.headers.Add(kReasonHeader, kServerStatusReason);
    aResponse.headers.Add(kServerStatusHeader, std::to_string(aAnswer.status));
  }
  aResponse.body = aAnswer.body;
}

http::Response MakeResponse(const std::string& aRequestId, const OrderAnswer& aAnswer)
{
  http::Response response;
  if (aAnswer.outcome == Outcome::kDone) {
    PassOnAnswer(aAnswer, response);
  } else {
    DescribeRefusal(aAnswer, response);
  }
  response.headers.Add(kOutcomeHeader, std::string(NameOf(kOutcomeNames, aAnswer.outcome.Value())));
  response.headers.Add(kRequestIdHeader, aRequestId);
  if (!aAnswer.server.empty()) {
    response.headers.Add(kServerHeader, aAnswer.server);
    response.headers.Add(kEpochHeader, std::to_string(aAnswer.epoch));
  }
  return response;
}

} // namespace

HttpCallers::HttpCallers(HttpLoop& aLoop,
                         RequestHandler& aRequests,
                         const OperatorHandler& aOperators,
                         CallerLimits aLimits)
  : mLoop(aLoop)
  , mRequests(aRequests)
  , mOperators(aOperators)
  , mLimits(aLimits)
{
}

HttpCallers::~HttpCallers()
{
  Stop(Duration::zero());
}

Result<void> HttpCallers::Listen(const std::string& aHost, int aPort)
{
  const std::string address = aHost + ":" + std::to_string(aPort);
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint) {
    return leaf::new_error(ListenError{ address });
  }
  mLoop.DispatchAndWait([&] {
    try {
      mServer = std::make_unique<http::Server>(mLoop.Context(), *endpoint, *this);
    } catch (const std::system_error&) {
      return;
    }
    http::ServerLimits limits;
    limits.read.bodyBytes = mLimits.maxBodyBytes;
    limits.connections = mLimits.maxConnections;
    mServer->SetLimits(limits);
  });
  if (!mServer) {
    return leaf::new_error(ListenError{ address });
  }
  return {};
}

void HttpCallers::Drain()
{
  mLoop.DispatchAndWait([this] { mServer->Drain(); });
}

bool HttpCallers::IsIdle()
{
  bool idle = false;
  mLoop.DispatchAndWait([&] { idle = mServer->IsIdle(); });
  return idle;
}

void HttpCallers::Stop(Duration aTimeout)
{
  if (!mServer) {
    return;
  }
  mLoop.DispatchAndWait([this] { mServer->StopAccepting(); });
  for (Duration waited = Duration::zero(); waited < aTimeout && !IsIdle();
       waited += kStopPollInterval) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  mLoop.DispatchAndWait([this] { mServer.reset(); });
}

void HttpCallers::OnRequest(std::shared_ptr<http::Exchange> aExchange)
{
  if (!HandleOperatorRequest(*aExchange)) {
    HandleCallerRequest(aExchange);
  }
}

void HttpCallers::OnBadRequest(int, http::ReadState) {}

bool HttpCallers::HandleOperatorRequest(http::Exchange& aExchange) const
{
  const http::Request& request = aExchange.Received();
  const std::string_view path = request.Path();
  if (request.method != "GET" && request.method != "HEAD") {
    return false;
  }
  if (path == "/healthz") {
    aExchange.Respond(MakeTextResponse(kOk, "text/plain", "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = mOperators.IsReady();
    aExchange.Respond(MakeTextResponse(
      ready ? kOk : kServiceUnavailable, "text/plain", ready ? "ready\n" : "not ready\n"));
  } else if (path == "/metrics") {
    aExchange.Respond(MakeTextResponse(kOk, "text/plain; version=0.0.4", mOperators.Metrics()));
  } else if (path == "/-/status") {
    aExchange.Respond(MakeTextResponse(kOk, "application/json", mOperators.Status()));
  } else if (path == "/-/explain") {
    const std::string text = mOperators.Explain(http::QueryValue(request.Query(), "service"),
                                                http::QueryValue(request.Query(), "key"));
    aExchange.Respond(
      text.empty()
        ? MakeTextResponse(kNotFound, "application/json", "{\"reason\":\"unknown-service\"}\n")
        : MakeTextResponse(kOk, "application/json", text));
  } else {
    return false;
  }
  return true;
}

bool HttpCallers::ParseTarget(const http::Request& aRequest, Order& aOrder) const
{
  const std::string path = http::DecodePercent(aRequest.Path());
  const std::size_t slash = path.find('/', 1);
  if (slash == std::string::npos) {
    return false;
  }
  const std::size_t end = path.find('/', slash + 1);
  aOrder.service = path.substr(1, slash - 1);
  aOrder.key = path.substr(slash + 1, end == std::string::npos ? end : end - slash - 1);
  aOrder.target = aRequest.target;
  // Both are sent to the server in header fields.
  const bool isText = http::IsText(aOrder.service) && http::IsText(aOrder.key);
  return isText && !aOrder.service.empty() && !aOrder.key.empty() &&
         aOrder.key.size() <= mLimits.maxKeyLength;
}

void HttpCallers::HandleCallerRequest(const std::shared_ptr<http::Exchange>& aExchange)
{
  http::Request& request = aExchange->Received();
  Order order;
  order.method = request.method;
  order.requestId = request.headers.Get("Idempotency-Key");
  order.caller = request.headers.Get("Hawthornlug-Caller");
  if (order.caller.empty()) {
    order.caller = request.senderIp;
  }
  const bool idFits = order.requestId.size() <= kMaxRequestIdLength;
  if (order.requestId.empty()) {
    order.requestId = Hex(RandomId()) + Hex(RandomId());
  }
  const std::string id = order.requestId;
  if (!IsServedMethod(order.method) || !idFits || !ParseTarget(request, order)) {
    aExchange->Respond(MakeResponse(id, Refuse(aExchange->Execution(), Refusal::kBadRequest)));
    return;
  }
  const auto trace = TraceContext::Parse(std::string(request.headers.Get("traceparent")));
  if (trace) {
    order.trace = *trace;
  }
  request.headers.RemoveHopByHop();
  request.headers.Remove("Host");
  for (const http::Headers::Field& it : request.headers.Fields()) {
    order.headers.push_back({ it.name, it.value });
  }
  order.body = std::move(request.body);
  const std::optional<AttemptPermit> permit = aExchange->Execution().Begin();
  if (!permit) {
    return;
  }
  const auto progress = mRequests.Handle(
    std::move(order),
    [&loop = mLoop, aExchange, id, attempt = permit->Number()](const OrderAnswer& aAnswer) {
      const AttemptEvidence evidence = EvidenceOf(aAnswer.outcome);
      loop.Dispatch([aExchange, attempt, evidence, response = MakeResponse(id, aAnswer)] {
        aExchange->Execution().End(attempt, evidence);
        aExchange->Respond(response);
      });
    });
  aExchange->SetAbandoned([progress] { progress->Abandon(); });
}

} // namespace hawthornlug
