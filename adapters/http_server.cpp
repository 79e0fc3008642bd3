#include "adapters/http_server.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr Duration kControlTimeout = milliseconds(400);
/// Shorter than the idle timeout of servers, so that no request is sent on a connection that the
/// server is closing.
constexpr Duration kMaxIdleTime = seconds(20);
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kLowestFailure = 400;
constexpr std::string_view kHttpScheme = "http://";
constexpr const char* kRefusedHeader = "Hawthornlug-Refused";
constexpr const char* kRequestIdHeader = "Hawthornlug-Request-Id";

std::string HostPortOf(const std::string& aUrl)
{
  return aUrl.rfind(kHttpScheme, 0) == 0 ? aUrl.substr(kHttpScheme.size()) : aUrl;
}

json EncodeGrants(const std::map<ShardId, Epoch>& aGrants)
{
  json list = json::array();
  for (const auto& [shard, epoch] : aGrants) {
    list.push_back(json::array({ shard, epoch }));
  }
  return list;
}

/// Parses the response to a control call; one that can't be parsed counts as lost.
ServerReply ParseReply(const http::Response& aResponse, CallNumber aNumber)
{
  ServerReply reply;
  reply.number = aNumber;
  if (aResponse.status == kConflict) {
    reply.outcome = CallOutcome::kSuperseded;
    return reply;
  }
  const bool readable = aResponse.status == kOk || aResponse.status == kPreconditionFailed;
  const json doc = readable ? json::parse(aResponse.body, nullptr, false) : json();
  if (!doc.is_object()) {
    return reply;
  }
  try {
    reply.incarnation = doc.value("incarnation", Incarnation{ 0 });
    reply.reading = doc.value("clock_us", ServerInstant{ 0 });
    reply.draining = doc.value("draining", false);
    for (const json& it : doc.value("grants", json::array())) {
      reply.grants[it.at(0).get<ShardId>()] = it.at(1).get<Epoch>();
    }
  } catch (const json::exception&) {
    return ServerReply::NoAnswer(aNumber);
  }
  reply.outcome = aResponse.status == kOk ? CallOutcome::kAccepted : CallOutcome::kRestarted;
  return reply;
}

/// @p aReused: whether the connection has carried an earlier order.
SendAnswer ParseSendAnswer(http::Response aResponse, const std::string& aRequestId, bool aReused)
{
  SendAnswer answer;
  const bool idMatches = aResponse.headers.Get(kRequestIdHeader) == aRequestId;
  const auto refused = aResponse.headers.Find(kRefusedHeader);
  // A refusal on a new connection can only be that of its only order. Any other response that does
  // not carry the id of this order does not tell whether the order ran: a faulty server may have
  // written an earlier response once more.
  const bool belongsToOrder = idMatches || (refused && !aReused);
  if (!belongsToOrder) {
    answer.result = SendResult::kNoAnswer;
    return answer;
  }
  if (refused && aResponse.status < kLowestFailure) {
    // It says both that the order ran and that it didn't.
    answer.result = SendResult::kNoAnswer;
    return answer;
  }
  if (refused) {
    answer.result = *refused == "shed" ? SendResult::kShed : SendResult::kRefused;
    return answer;
  }
  answer.result = SendResult::kAnswered;
  answer.status = aResponse.status;
  answer.body = std::move(aResponse.body);
  aResponse.headers.RemoveHopByHop();
  aResponse.headers.Remove("Content-Length");
  aResponse.headers.Remove(kRequestIdHeader);
  for (const http::Headers::Field& it : aResponse.headers.Fields()) {
    answer.headers.push_back({ it.name, it.value });
  }
  return answer;
}

SendAnswer SendAnswerOf(http::CallOutcome aOutcome, const std::string& aRequestId)
{
  SendAnswer answer;
  switch (aOutcome.result) {
    case http::CallResult::kAnswered:
      return ParseSendAnswer(std::move(aOutcome.response), aRequestId, aOutcome.reused);
    case http::CallResult::kRefused:
    case http::CallResult::kNotSent:
    case http::CallResult::kNotAccepted:
      answer.result = SendResult::kUnreachable;
      break;
    case http::CallResult::kBroken:
    case http::CallResult::kTimedOut:
    case http::CallResult::kTooLarge:
      answer.result = SendResult::kNoAnswer;
      break;
  }
  return answer;
}

/// One order (request of a caller) sent to a server. All but Cancel() runs on the loop's thread.
class OrderCall
  : public http::Call
  , public std::enable_shared_from_this<OrderCall>
{
public:
  OrderCall(HttpLoop& aLoop, ServerPort::SendDone aDone)
    : mLoop(aLoop)
    , mCompletion(std::move(aDone))
  {
  }

  void Start(const std::string& aHostPort,
             const http::Request& aRequest,
             const http::CallOptions& aOptions)
  {
    mCall = mLoop.Client().Send(
      aHostPort,
      aRequest,
      aOptions,
      [self = shared_from_this(), id = aOptions.echoValue](http::CallOutcome aOutcome) {
        self->Complete(SendAnswerOf(std::move(aOutcome), id));
      });
  }

  void Cancel() override
  {
    mLoop.Dispatch([self = shared_from_this()] {
      if (!self->mCompletion) {
        return;
      }
      self->mCall->Cancel();
      SendAnswer answer;
      answer.result = SendResult::kNoAnswer;
      self->Complete(std::move(answer));
    });
  }

private:
  void Complete(SendAnswer aAnswer)
  {
    const ServerPort::SendDone done = std::move(mCompletion);
    mCompletion = nullptr;
    done(std::move(aAnswer));
  }

  HttpLoop& mLoop;
  ServerPort::SendDone mCompletion;
  std::shared_ptr<http::Call> mCall;
};

} // namespace

HttpServer::HttpServer(HttpLoop& aLoop, const ServerAddress& aAddress)
  : mLoop(aLoop)
  , mAddress(aAddress)
  , mHostPort(HostPortOf(aAddress.url))
{
}

void HttpServer::PostControl(const std::string& aPath,
                             std::string aBody,
                             CallNumber aNumber,
                             ReplyDone aDone)
{
  http::Request request;
  request.method = "POST";
  request.target = aPath;
  request.headers.Add("Host", mHostPort);
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(aBody);
  http::CallOptions options;
  options.timeout = kControlTimeout;
  options.maxIdle = kMaxIdleTime;
  mLoop.Dispatch([&loop = mLoop,
                  address = mHostPort,
                  request = std::move(request),
                  options,
                  aNumber,
                  done = std::move(aDone)] {
    loop.Client().Send(
      address, request, options, [aNumber, done](const http::CallOutcome& aOutcome) {
        if (!done) {
          return;
        }
        const bool answered = aOutcome.result == http::CallResult::kAnswered;
        done(answered ? ParseReply(aOutcome.response, aNumber) : ServerReply::NoAnswer(aNumber));
      });
  });
}

void HttpServer::Fence(const FenceServer& aCall, const DaemonRef& aDaemon, ReplyDone aDone)
{
  if (!mAddress.checked) {
    PostControl("/_/probe", "{}", aCall.number, std::move(aDone));
    return;
  }
  const json body = { { "token", aCall.token },
                      { "number", aCall.number },
                      { "daemon", aDaemon.id } };
  PostControl("/_/fence", JsonText(body), aCall.number, std::move(aDone));
}

void HttpServer::Grant(const GrantServer& aCall, ReplyDone aDone)
{
  if (!mAddress.checked) {
    const json body = { { "incarnation", aCall.incarnation } };
    PostControl("/_/probe", JsonText(body), aCall.number, std::move(aDone));
    return;
  }
  const json body = { { "token", aCall.token },
                      { "number", aCall.number },
                      { "incarnation", aCall.incarnation },
                      { "until_us", aCall.until },
                      { "add", EncodeGrants(aCall.add) },
                      { "remove", aCall.remove } };
  PostControl("/_/grants", JsonText(body), aCall.number, std::move(aDone));
}

http::Request HttpServer::MakeRequest(const Order& aOrder, const SendTerms& aTerms) const
{
  http::Request request;
  request.method = aOrder.method;
  request.target = aOrder.target;
  request.body = aOrder.body;
  http::Headers& headers = request.headers;
  for (const HeaderField& it : aOrder.headers) {
    headers.Add(it.name, it.value);
  }
  headers.RemoveHopByHop();
  headers.Remove("Content-Length");
  headers.Remove("Accept-Encoding");
  headers.Set("Host", mHostPort);
  headers.Set("traceparent", aTerms.span.Header());
  headers.Set(kRequestIdHeader, aOrder.requestId);
  headers.Set("Hawthornlug-Service", aOrder.service);
  headers.Set("Hawthornlug-Key", aOrder.key);
  headers.Set("Hawthornlug-Shard", std::to_string(aTerms.shard));
  headers.Set("Hawthornlug-Epoch", std::to_string(aTerms.epoch));
  headers.Set("Hawthornlug-Token", std::to_string(aTerms.token));
  headers.Set("Hawthornlug-Incarnation", std::to_string(aTerms.incarnation));
  headers.Set("Hawthornlug-Deadline", std::to_string(aTerms.deadline));
  return request;
}

std::shared_ptr<http::Call> HttpServer::Send(const Order& aOrder,
                                             const SendTerms& aTerms,
                                             [[maybe_unused]] AttemptPermit aPermit,
                                             SendDone aDone)
{
  http::CallOptions options;
  options.timeout = aTerms.timeout;
  options.maxIdle = kMaxIdleTime;
  options.keep = mAddress.connections;
  options.echoHeader = kRequestIdHeader;
  options.echoValue = aOrder.requestId;
  // A refused order may be sent again under its id. On a connection that had carried the refusal, a
  // faulty server could write it once more, and the order would be taken for refused while it runs.
  options.lastHeader = kRefusedHeader;
  auto call = std::make_shared<OrderCall>(mLoop, std::move(aDone));
  mLoop.Dispatch([call, address = mHostPort, request = MakeRequest(aOrder, aTerms), options] {
    call->Start(address, request, options);
  });
  return call;
}

void HttpServer::Cancel(const std::string& aRequestId)
{
  const json body = { { "request_id", aRequestId } };
  PostControl("/_/cancel", JsonText(body), 0, nullptr);
}

std::unique_ptr<ServerPort> HttpServerFactory::Make(const ServerAddress& aAddress)
{
  return std::make_unique<HttpServer>(mLoop, aAddress);
}

} // namespace hawthornlug
