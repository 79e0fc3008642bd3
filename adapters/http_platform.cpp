#include "adapters/http_platform.h"

#include "core/json_members.h"
#include "http/target.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

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

/// Thrown for a version that is no whole number.
struct VersionError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

Version ReadVersion(const json& aValue)
{
  if (!aValue.is_number_unsigned()) {
    throw VersionError("not a whole number");
  }
  return aValue.get<Version>();
}

PlatformObject ReadObject(const json& aValue)
{
  return { aValue.at("name").get<std::string>(),
           ReadVersion(aValue.at("version")),
           aValue.at("value").get<std::string>() };
}

ListedHost ReadHost(const json& aValue)
{
  return { aValue.at("id").get<std::string>(),
           aValue.at("domain").get<std::string>(),
           aValue.at("http").get<std::string>(),
           aValue.at("peer").get<std::string>(),
           aValue.value("leaving", false) };
}

/// Parses one entry of an answer with @p aRead. Returns nothing if it can't be read: entries have
/// many writers, and the others hold.
template<typename Entry>
std::optional<Entry> TryRead(std::string_view aText, Entry (*aRead)(const json&))
{
  try {
    return aRead(json::parse(aText));
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const VersionError&) {
    return std::nullopt;
  }
}

/// The text of one member of an entry that can't be read as a whole; empty if that can't be read
/// either.
std::string TextOf(std::string_view aEntry, std::string_view aMember)
{
  const std::optional<std::vector<JsonMember>> members = SplitObject(aEntry);
  if (!members) {
    return {};
  }
  const json value = json::parse(ValueOf(*members, aMember), nullptr, false);
  return value.is_string() ? value.get<std::string>() : std::string();
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
  std::optional<PlatformObject> object = TryRead(body, ReadObject);
  if (!object) {
    return Malformed();
  }
  return std::move(*object);
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
  const std::optional<Version> version = TryRead<Version>(
    outcome.response.body, [](const json& aValue) { return ReadVersion(aValue.at("version")); });
  if (!version) {
    return leaf::new_error(PlatformError::kUnknown);
  }
  return *version;
}

Result<ObjectChanges> HttpPlatform::Watch(Version aSince, Duration aWait)
{
  const std::string target = http::TargetBuilder("/watch")
                               .Parameter("since", aSince)
                               .Parameter("timeout_ms", static_cast<std::uint64_t>(Millis(aWait)))
                               .Build();
  BOOST_LEAF_AUTO(body, Fetch(target, aWait + mTimeout));
  const std::vector<JsonMember> members = SplitObject(body).value_or(std::vector<JsonMember>());
  const auto revision = TryRead<Version>(ValueOf(members, "revision"), ReadVersion);
  const auto objects = SplitArray(ValueOf(members, "objects"));
  if (!revision || !objects) {
    return Malformed();
  }
  ObjectChanges changes;
  changes.revision = *revision;
  for (const std::string_view it : *objects) {
    if (std::optional<PlatformObject> object = TryRead(it, ReadObject)) {
      changes.items.push_back(std::move(*object));
    } else {
      changes.unreadable.push_back(TextOf(it, "name"));
    }
  }
  return changes;
}

Result<HostList> HttpPlatform::Hosts()
{
  BOOST_LEAF_AUTO(body, Fetch("/hosts", mTimeout));
  const auto entries = SplitArray(body);
  if (!entries) {
    return Malformed();
  }
  HostList list;
  for (const std::string_view it : *entries) {
    std::optional<ListedHost> host = TryRead(it, ReadHost);
    std::string id = host ? host->id : TextOf(it, "id");
    if (id.empty()) {
      list.isWhole = false;
    } else if (host) {
      list.hosts.push_back(std::move(*host));
    } else {
      list.unreadable.push_back(std::move(id));
    }
  }
  return list;
}

} // namespace hawthornlug
