#include "adapters/http_platform.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr std::size_t kIdleConnections = 4;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

auto Malformed()
{
  return leaf::new_error(PlatformError::kMalformed);
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
  , mPool(aUrl, kIdleConnections, aTimeout)
{
}

Result<std::string> HttpPlatform::Fetch(const std::string& aPath, Duration aTimeout)
{
  httplib::Request request;
  request.method = "GET";
  request.path = aPath;
  const httplib::Result result = mPool.Send(request, aTimeout);
  if (!result) {
    return leaf::new_error(PlatformError::kUnavailable);
  }
  if (result->status == kNotFound) {
    return leaf::new_error(PlatformError::kNotFound);
  }
  if (result->status != kOk) {
    return leaf::new_error(PlatformError::kUnavailable);
  }
  return result->body;
}

Result<PlatformObject> HttpPlatform::Get(const std::string& aName)
{
  BOOST_LEAF_AUTO(body, Fetch("/objects/" + aName, mTimeout));
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
  httplib::Request request;
  request.method = "PUT";
  request.path = "/objects/" + aName + "?expected=" + std::to_string(aExpected);
  request.body = aValue;
  request.set_header("Content-Type", "application/json");
  const httplib::Result result = mPool.Send(request, mTimeout);
  if (!result) {
    const bool sent = result.error() != httplib::Error::Connection;
    return leaf::new_error(sent ? PlatformError::kUnknown : PlatformError::kUnavailable);
  }
  if (result->status == kConflict) {
    return leaf::new_error(PlatformError::kConflict);
  }
  if (result->status != kOk) {
    return leaf::new_error(PlatformError::kUnavailable);
  }
  const json doc = json::parse(result->body, nullptr, false);
  if (!doc.is_object() || !doc.contains("version")) {
    return leaf::new_error(PlatformError::kUnknown);
  }
  return doc["version"].get<Version>();
}

Result<ObjectChanges> HttpPlatform::Watch(Version aSince, Duration aWait)
{
  const std::string path =
    "/watch?since=" + std::to_string(aSince) + "&timeout_ms=" + std::to_string(Millis(aWait));
  BOOST_LEAF_AUTO(body, Fetch(path, aWait + mTimeout));
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
