#include "adapters/http_server.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr Duration kControlTimeout = milliseconds(400);
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kPrecondition = 412;
constexpr const char* kRefusedHeader = "Hawthornlug-Refused";
constexpr const char* kRequestIdHeader = "Hawthornlug-Request-Id";

/// Headers that belong to one connection, not to the message.
bool IsHopByHop(const std::string& aName)
{
  static const std::set<std::string> kNames = { "connection", "keep-alive",     "proxy-connection",
                                                "te",         "trailer",        "transfer-encoding",
                                                "upgrade",    "content-length", "accept-encoding" };
  std::string name = aName;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return kNames.count(name) != 0;
}

json EncodeGrants(const std::map<ShardId, Epoch>& aGrants)
{
  json list = json::array();
  for (const auto& [shard, epoch] : aGrants) {
    list.push_back(json::array({ shard, epoch }));
  }
  return list;
}

SendAnswer ReadAnswer(const httplib::Response& aResponse, const std::string& aRequestId)
{
  SendAnswer answer;
  const auto refused = aResponse.headers.find(kRefusedHeader);
  if (refused != aResponse.headers.end()) {
    answer.result = refused->second == "shed" ? SendResult::kShed : SendResult::kRefused;
    return answer;
  }
  // An answer that isn't to this request proves nothing about it.
  if (aResponse.get_header_value(kRequestIdHeader) != aRequestId) {
    answer.result = SendResult::kNoAnswer;
    return answer;
  }
  answer.result = SendResult::kAnswered;
  answer.status = aResponse.status;
  answer.body = aResponse.body;
  for (const auto& [name, value] : aResponse.headers) {
    if (!IsHopByHop(name) && name != kRequestIdHeader) {
      answer.headers.push_back({ name, value });
    }
  }
  return answer;
}

} // namespace

HttpServer::HttpServer(const ServerAddress& aAddress)
  : mAddress(aAddress)
  , mOrders(aAddress.url, aAddress.connections, kConnectTimeout)
  , mControl(aAddress.url, 1, kConnectTimeout)
{
}

ServerReply HttpServer::Control(const std::string& aPath,
                                const std::string& aBody,
                                CallNumber aNumber)
{
  httplib::Request request;
  request.method = "POST";
  request.path = aPath;
  request.body = aBody;
  request.set_header("Content-Type", "application/json");
  ServerReply reply;
  reply.number = aNumber;
  const httplib::Result result = mControl.Send(request, kControlTimeout);
  if (!result) {
    return reply;
  }
  if (result->status == kConflict) {
    reply.outcome = CallOutcome::kSuperseded;
    return reply;
  }
  const bool read = result->status == kOk || result->status == kPrecondition;
  const json doc = read ? json::parse(result->body, nullptr, false) : json();
  if (!doc.is_object()) {
    return reply;
  }
  reply.incarnation = doc.value("incarnation", Incarnation{ 0 });
  reply.reading = doc.value("clock_us", ServerInstant{ 0 });
  reply.outcome = result->status == kOk ? CallOutcome::kAccepted : CallOutcome::kRestarted;
  reply.draining = doc.value("draining", false);
  for (const json& it : doc.value("grants", json::array())) {
    reply.grants[it.at(0).get<ShardId>()] = it.at(1).get<Epoch>();
  }
  return reply;
}

ServerReply HttpServer::Fence(const FenceServer& aCall, const DaemonRef& aDaemon)
{
  if (!mAddress.checked) {
    return Control("/_/probe", "{}", aCall.number);
  }
  const json body = { { "token", aCall.token },
                      { "number", aCall.number },
                      { "daemon", aDaemon.id } };
  return Control("/_/fence", body.dump(), aCall.number);
}

ServerReply HttpServer::Grant(const GrantServer& aCall)
{
  if (!mAddress.checked) {
    const json body = { { "incarnation", aCall.incarnation } };
    return Control("/_/probe", body.dump(), aCall.number);
  }
  const json body = { { "token", aCall.token },
                      { "number", aCall.number },
                      { "incarnation", aCall.incarnation },
                      { "until_us", aCall.until },
                      { "add", EncodeGrants(aCall.add) },
                      { "remove", aCall.remove } };
  return Control("/_/grants", body.dump(), aCall.number);
}

SendAnswer HttpServer::Send(const Order& aOrder, const SendTerms& aTerms)
{
  httplib::Request request;
  request.method = aOrder.method;
  request.path = aOrder.target;
  request.body = aOrder.body;
  for (const HeaderField& it : aOrder.headers) {
    if (!IsHopByHop(it.name)) {
      request.headers.emplace(it.name, it.value);
    }
  }
  request.headers.erase("traceparent");
  request.headers.emplace("traceparent", aTerms.span.Header());
  request.headers.emplace(kRequestIdHeader, aOrder.requestId);
  request.headers.emplace("Hawthornlug-Service", aOrder.service);
  request.headers.emplace("Hawthornlug-Key", aOrder.key);
  request.headers.emplace("Hawthornlug-Shard", std::to_string(aTerms.shard));
  request.headers.emplace("Hawthornlug-Epoch", std::to_string(aTerms.epoch));
  request.headers.emplace("Hawthornlug-Token", std::to_string(aTerms.token));
  request.headers.emplace("Hawthornlug-Incarnation", std::to_string(aTerms.incarnation));
  request.headers.emplace("Hawthornlug-Deadline", std::to_string(aTerms.deadline));
  const httplib::Result result = mOrders.Send(request, aTerms.patience);
  if (result) {
    return ReadAnswer(*result, aOrder.requestId);
  }
  SendAnswer answer;
  answer.result =
    result.error() == httplib::Error::Connection ? SendResult::kUnreachable : SendResult::kNoAnswer;
  return answer;
}

void HttpServer::Cancel(const std::string& aRequestId)
{
  const json body = { { "request_id", aRequestId } };
  Control("/_/cancel", body.dump(), 0);
}

std::unique_ptr<ServerPort> HttpServerFactory::Make(const ServerAddress& aAddress)
{
  return std::make_unique<HttpServer>(aAddress);
}

} // namespace hawthornlug
