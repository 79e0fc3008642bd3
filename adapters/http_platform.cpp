#include "adapters/http_platform.h"

#include "http/target.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr std::size_t kIdleConnections = 4;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;

auto Malformed()
{
  return leaf::new_error(PlatformError::kMalformed);
}

http::TargetBuilder TargetOf(const std::string& aObject)
{
  return http::TargetBuilder("/objects").Segments(aObject);
}

/// Whether no part of the request has reached the platform.
bool IsUnsent(http::CallResult aResult)
{
  return aResult == http::CallResult::kRefused || aResult == http::CallResult::kNotSent;
}

/// Whether an answer with this status says that nothing was done.
bool IsRejection(int aStatus)
{
  return aStatus == kServiceUnavailable || (aStatus >= kBadRequest && aStatus < kServerError);
}

PlatformObject ReadObject(const json& aValue)
{
  return { aValue.at("name").get<std::string>(),
           aValue.at("version").get<Version>(),
           aValue.at("value").get<std::string>() };
}

} // namespace

HttpPlatform::HttpPlatform(const std::string& aUrl, Duration aTimeout)
  : mTimeout(aTimeout)
  , mPool(aUrl, kIdleConnections)
{
}

Result<std::string> HttpPlatform::Fetch(const std::string& aTarget, Duration aTimeout)
{
  http::Request request;
  request.method = "GET";
  request.target = aTarget;
  http::CallOutcome outcome = mPool.Send(std::move(request), aTimeout);
  if (outcome.result != http::CallResult::kAnswered) {
    return leaf::new_error(PlatformError::kUnavailable);
  }
  if (outcome.response.status == kNotFound) {
    return leaf::new_error(PlatformError::kNotFound);
  }
  if (outcome.response.status != kOk) {
    return leaf::new_error(PlatformError::kUnavailable);
  }
  return std::move(outcome.response.body);
}

Result<PlatformObject> HttpPlatform::Get(const std::string& aName)
{
  BOOST_LEAF_AUTO(body, Fetch(TargetOf(aName).Build(), mTimeout));
  try {
    return ReadObject(json::parse(body));
  } catch (const json::exception&) {
    return Malformed();
  }
}

Result<Version> HttpPlatform::Put(const std::string& aName,
                                  Version aExpected,
                                  const std::string& aValue)
{
  http::Request request;
  request.method = "PUT";
  request.target = TargetOf(aName).Parameter("expected", aExpected).Build();
  request.body = aValue;
  request.headers.Add("Content-Type", "application/json");
  const http::CallOutcome outcome = mPool.Send(std::move(request), mTimeout);
  if (outcome.result != http::CallResult::kAnswered) {
    return leaf::new_error(IsUnsent(outcome.result) ? PlatformError::kUnavailable
                                                    : PlatformError::kUnknown);
  }
  if (outcome.response.status == kConflict) {
    return leaf::new_error(PlatformError::kConflict);
  }
  if (outcome.response.status != kOk) {
    return leaf::new_error(IsRejection(outcome.response.status) ? PlatformError::kUnavailable
                                                                : PlatformError::kUnknown);
  }
  const json doc = json::parse(outcome.response.body, nullptr, false);
  if (!doc.is_object() || !doc.contains("version")) {
    return leaf::new_error(PlatformError::kUnknown);
  }
  return doc["version"].get<Version>();
}

Result<ObjectChanges> HttpPlatform::Watch(Version aSince, Duration aWait)
{
  const std::string target = http::TargetBuilder("/watch")
                               .Parameter("since", aSince)
                               .Parameter("timeout_ms", static_cast<std::uint64_t>(Millis(aWait)))
                               .Build();
  BOOST_LEAF_AUTO(body, Fetch(target, aWait + mTimeout));
  try {
    const json doc = json::parse(body);
    ObjectChanges changes;
    changes.revision = doc.at("revision").get<Version>();
    for (const json& it : doc.at("objects")) {
      changes.items.push_back(ReadObject(it));
    }
    return changes;
  } catch (const json::exception&) {
    return Malformed();
  }
}

Result<std::vector<ListedHost>> HttpPlatform::Hosts()
{
  BOOST_LEAF_AUTO(body, Fetch("/hosts", mTimeout));
  try {
    std::vector<ListedHost> hosts;
    for (const json& it : json::parse(body)) {
      hosts.push_back({ it.at("id").get<std::string>(),
                        it.at("domain").get<std::string>(),
                        it.at("http").get<std::string>(),
                        it.at("peer").get<std::string>(),
                        it.value("leaving", false) });
    }
    return hosts;
  } catch (const json::exception&) {
    return Malformed();
  }
}

} // namespace hawthornlug
