#include "adapters/http_callers.h"

namespace hawthornlug {

namespace {

constexpr std::size_t kMaxRequestsPerConnection = 1000000000;
constexpr std::size_t kKeepAliveSeconds = 30;
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Set by the connection's own framing; not passed through.
bool IsFraming(const std::string& aName)
{
  static const std::set<std::string> kNames = { "REMOTE_ADDR", "REMOTE_PORT",   "LOCAL_ADDR",
                                                "LOCAL_PORT",  "Host",          "Connection",
                                                "Keep-Alive",  "Content-Length" };
  return kNames.count(aName) != 0;
}

int StatusOf(const OrderAnswer& aAnswer)
{
  if (aAnswer.outcome == Outcome::kUnknown) {
    return kGatewayTimeout;
  }
  if (aAnswer.refusal == Refusal::kUnknownService) {
    return kNotFound;
  }
  return aAnswer.refusal == Refusal::kBadRequest ? kBadRequest : kUnavailable;
}

void WriteAnswer(const Order& aOrder, const OrderAnswer& aAnswer, httplib::Response& aResponse)
{
  aResponse.set_header("Hawthornlug-Outcome", std::string(NameOf(kOutcomeNames, aAnswer.outcome)));
  aResponse.set_header("Hawthornlug-Request-Id", aOrder.requestId);
  if (!aAnswer.server.empty()) {
    aResponse.set_header("Hawthornlug-Server", aAnswer.server);
    aResponse.set_header("Hawthornlug-Epoch", std::to_string(aAnswer.epoch));
  }
  if (aAnswer.outcome == Outcome::kDone) {
    aResponse.status = aAnswer.status;
    std::string type = "application/octet-stream";
    for (const HeaderField& it : aAnswer.headers) {
      if (it.name == "Content-Type") {
        type = it.value;
      } else {
        aResponse.headers.emplace(it.name, it.value);
      }
    }
    if (!aAnswer.body.empty()) {
      aResponse.set_content(aAnswer.body, type);
    }
    return;
  }
  aResponse.status = StatusOf(aAnswer);
  const std::string reason(NameOf(kRefusalNames, aAnswer.refusal));
  aResponse.set_header("Hawthornlug-Reason", reason);
  if (aAnswer.outcome == Outcome::kNotRun && aResponse.status == kUnavailable) {
    const auto wait = std::chrono::ceil<std::chrono::seconds>(aAnswer.retryAfter).count();
    aResponse.set_header("Retry-After", std::to_string(std::max<std::int64_t>(wait, 1)));
  }
  aResponse.set_content("{\"outcome\":\"" + std::string(NameOf(kOutcomeNames, aAnswer.outcome)) +
                          "\",\"reason\":\"" + reason + "\"}\n",
                        "application/json");
}

} // namespace

HttpCallers::HttpCallers(RequestHandler& aRequests,
                         const OperatorHandler& aOperators,
                         CallerLimits aLimits,
                         std::size_t aThreads)
  : mRequests(aRequests)
  , mOperators(aOperators)
  , mLimits(aLimits)
{
  mServer.new_task_queue = [aThreads] { return new httplib::ThreadPool(aThreads); };
  mServer.set_tcp_nodelay(true);
  mServer.set_keep_alive_max_count(kMaxRequestsPerConnection);
  mServer.set_keep_alive_timeout(kKeepAliveSeconds);
  mServer.set_payload_max_length(aLimits.maxBodyBytes);
  AddRoutes();
}

HttpCallers::~HttpCallers()
{
  Stop();
}

bool HttpCallers::ServeOperator(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string& path = aRequest.path;
  if (path == "/healthz") {
    aResponse.set_content("ok\n", "text/plain");
  } else if (path == "/readyz") {
    const bool ready = mOperators.IsReady();
    aResponse.status = ready ? kOk : kUnavailable;
    aResponse.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  } else if (path == "/metrics") {
    aResponse.set_content(mOperators.Metrics(), "text/plain; version=0.0.4");
  } else if (path == "/-/status") {
    aResponse.set_content(mOperators.Status(), "application/json");
  } else if (path == "/-/explain") {
    const std::string text =
      mOperators.Explain(aRequest.get_param_value("service"), aRequest.get_param_value("key"));
    aResponse.status = text.empty() ? kNotFound : kOk;
    aResponse.set_content(text.empty() ? "{\"reason\":\"unknown-service\"}\n" : text,
                          "application/json");
  } else {
    return false;
  }
  return true;
}

void HttpCallers::AddRoutes()
{
  const auto serve = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    ServeCaller(aRequest, aResponse);
  };
  const char* const kAnyPath = "/.*";
  // The library tries the patterns of a method one after another, so each method has just one.
  mServer.Get(kAnyPath, [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    if (!ServeOperator(aRequest, aResponse)) {
      ServeCaller(aRequest, aResponse);
    }
  });
  mServer.Post(kAnyPath, serve);
  mServer.Put(kAnyPath, serve);
  mServer.Patch(kAnyPath, serve);
  mServer.Delete(kAnyPath, serve);
  mServer.Options(kAnyPath, serve);
}

bool HttpCallers::ReadTarget(const httplib::Request& aRequest, Order& aOrder) const
{
  const std::string& path = aRequest.path;
  const std::size_t slash = path.find('/', 1);
  if (slash == std::string::npos) {
    return false;
  }
  const std::size_t end = path.find('/', slash + 1);
  aOrder.service = path.substr(1, slash - 1);
  aOrder.key = path.substr(slash + 1, end == std::string::npos ? end : end - slash - 1);
  aOrder.target = aRequest.target;
  return !aOrder.service.empty() && !aOrder.key.empty() &&
         aOrder.key.size() <= mLimits.maxKeyLength;
}

void HttpCallers::ServeCaller(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  Order order;
  order.method = aRequest.method;
  order.body = aRequest.body;
  order.requestId = aRequest.get_header_value("Idempotency-Key");
  order.caller = aRequest.get_header_value("Hawthornlug-Caller");
  if (order.caller.empty()) {
    order.caller = aRequest.remote_addr;
  }
  const bool idShaped = order.requestId.size() <= kMaxRequestIdLength;
  if (order.requestId.empty()) {
    order.requestId = Hex(RandomId()) + Hex(RandomId());
  }
  if (!ReadTarget(aRequest, order) || !idShaped) {
    WriteAnswer(order, OrderAnswer::NotRun(Refusal::kBadRequest), aResponse);
    return;
  }
  const auto trace = TraceContext::Parse(aRequest.get_header_value("traceparent"));
  if (trace) {
    order.trace = *trace;
  }
  for (const auto& [name, value] : aRequest.headers) {
    if (!IsFraming(name)) {
      order.headers.push_back({ name, value });
    }
  }
  const OrderAnswer answer = mRequests.Handle(order);
  WriteAnswer(order, answer, aResponse);
}

Result<void> HttpCallers::Listen(const std::string& aHost, int aPort)
{
  if (!mServer.bind_to_port(aHost.c_str(), aPort)) {
    return leaf::new_error(ListenError{ aHost + ":" + std::to_string(aPort) });
  }
  mThread = std::thread([this] { mServer.listen_after_bind(); });
  return {};
}

void HttpCallers::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  mServer.stop();
  mThread.join();
}

} // namespace hawthornlug
