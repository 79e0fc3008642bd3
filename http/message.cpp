#include "http/message.h"

#include "http/syntax.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace hawthornlug::http {

namespace {

constexpr std::array<std::string_view, 8> kHopByHopHeaders = {
  "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
  "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade"
};

char ToLower(char aChar)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

/// Calls @p aVisit with each trimmed entry of a comma-separated list.
template<typename F>
void ForEachToken(std::string_view aList, F aVisit)
{
  while (!aList.empty()) {
    const std::size_t comma = aList.find(',');
    aVisit(Trim(aList.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return;
    }
    aList.remove_prefix(comma + 1);
  }
}

void AppendHeaders(std::string& aBuf, const Headers& aHeaders)
{
  for (const Headers::Field& it : aHeaders.Fields()) {
    // Serialize() states the length of the body itself.
    if (EqualsIgnoringCase(it.name, "Content-Length") ||
        EqualsIgnoringCase(it.name, "Transfer-Encoding")) {
      continue;
    }
    aBuf.append(it.name).append(": ").append(it.value).append("\r\n");
  }
}

/// What the Content-Length of @p aResponse is to state; nullopt for a response without that field.
std::optional<std::string> LengthToState(const Response& aResponse, bool aToHead)
{
  if (HasNoBody(aResponse.status)) {
    return std::nullopt;
  }
  if (aToHead && aResponse.body.empty()) {
    // Only the server knows the size of what it did not send (RFC 9110, section 8.6).
    const std::optional<std::string_view> stated = aResponse.headers.Find("Content-Length");
    return stated && IsLength(*stated) ? std::optional(std::string(*stated)) : std::nullopt;
  }
  return std::to_string(aResponse.body.size());
}

} // namespace

bool EqualsIgnoringCase(std::string_view aOne, std::string_view aOther)
{
  return aOne.size() == aOther.size() &&
         std::equal(aOne.begin(), aOne.end(), aOther.begin(), [](char aLeft, char aRight) {
           return ToLower(aLeft) == ToLower(aRight);
         });
}

void Headers::Add(std::string aName, std::string aValue)
{
  mFields.push_back({ std::move(aName), std::move(aValue) });
}

void Headers::Set(std::string_view aName, std::string aValue)
{
  Remove(aName);
  Add(std::string(aName), std::move(aValue));
}

void Headers::Remove(std::string_view aName)
{
  std::erase_if(mFields,
                [&](const Field& aField) { return EqualsIgnoringCase(aField.name, aName); });
}

std::size_t Headers::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(
    std::count_if(mFields.begin(), mFields.end(), [&](const Field& aField) {
      return EqualsIgnoringCase(aField.name, aName);
    }));
}

std::optional<std::string_view> Headers::Find(std::string_view aName) const
{
  for (const Field& it : mFields) {
    if (EqualsIgnoringCase(it.name, aName)) {
      return it.value;
    }
  }
  return std::nullopt;
}

std::string_view Headers::Get(std::string_view aName) const
{
  return Find(aName).value_or(std::string_view());
}

void Headers::RemoveHopByHop()
{
  std::vector<std::string> listed;
  for (const Field& it : mFields) {
    if (EqualsIgnoringCase(it.name, "Connection")) {
      ForEachToken(it.value, [&](std::string_view aEntry) { listed.emplace_back(aEntry); });
    }
  }
  for (const std::string& it : listed) {
    Remove(it);
  }
  for (const std::string_view it : kHopByHopHeaders) {
    Remove(it);
  }
}

std::string_view Request::Path() const
{
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view Request::Query() const
{
  const std::size_t mark = target.find('?');
  return mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
}

std::string_view ReasonPhraseOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string Serialize(const Request& aRequest)
{
  std::string buf;
  buf.reserve(256 + aRequest.body.size());
  buf.append(aRequest.method).append(" ").append(aRequest.target).append(" HTTP/1.1\r\n");
  AppendHeaders(buf, aRequest.headers);
  const bool hasNoBodyByDefault = aRequest.method == "GET" || aRequest.method == "HEAD";
  if (!aRequest.body.empty() || !hasNoBodyByDefault) {
    buf.append("Content-Length: ").append(std::to_string(aRequest.body.size())).append("\r\n");
  }
  buf.append("\r\n").append(aRequest.body);
  return buf;
}

std::string Serialize(const Response& aResponse, bool aToHead)
{
  std::string buf;
  buf.reserve(256 + aResponse.body.size());
  buf.append("HTTP/1.1 ").append(std::to_string(aResponse.status)).append(" ");
  buf.append(ReasonPhraseOf(aResponse.status)).append("\r\n");
  AppendHeaders(buf, aResponse.headers);
  if (const auto length = LengthToState(aResponse, aToHead)) {
    buf.append("Content-Length: ").append(*length).append("\r\n");
  }
  if (!aResponse.keepAlive) {
    buf.append("Connection: close\r\n");
  }
  buf.append("\r\n");
  if (!aToHead && !HasNoBody(aResponse.status)) {
    buf.append(aResponse.body);
  }
  return buf;
}

} // namespace hawthornlug::http
