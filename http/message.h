/// @file
/// Complete HTTP/1.1 messages, with their bodies in memory.
#pragma once

#include "core/instant.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlug::http {

/// Header fields in the order in which they were received or added. Names are case-insensitive.
class Headers
{
public:
  struct Field
  {
    std::string name;
    std::string value;
  };

  void Add(std::string aName, std::string aValue);
  /// Replaces all fields named @p aName by a single one.
  void Set(std::string_view aName, std::string aValue);
  void Remove(std::string_view aName);
  /// Returns the value of the first field named @p aName, or nullopt if there is none.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// Returns the value of the first field named @p aName, or an empty string if there is none.
  std::string_view Get(std::string_view aName) const;
  /// Number of fields named @p aName.
  std::size_t Count(std::string_view aName) const;
  /// Removes the hop-by-hop headers: the standard ones and those that Connection lists.
  void RemoveHopByHop();

  const std::vector<Field>& Fields() const { return mFields; }

private:
  std::vector<Field> mFields;
};

/// A complete request.
struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  bool keepAlive = true;
  /// IP address of the peer that sent the request; set only in requests that a Server received.
  std::string senderIp;
  /// Time from the arrival of its first byte until it was passed on; likewise.
  Duration receiveTime = Duration::zero();

  /// Returns the part of the target before the query.
  std::string_view Path() const;
  /// Returns the part of the target after the first '?'; empty if there is none.
  std::string_view Query() const;
};

/// A complete response.
struct Response
{
  int status = 0;
  Headers headers;
  std::string body;
  bool keepAlive = true;
};

/// Compares ASCII text, ignoring case.
bool EqualsIgnoringCase(std::string_view aOne, std::string_view aOther);

/// Returns the bytes of @p aRequest. Adds Content-Length where needed; the headers must contain
/// Host.
std::string Serialize(const Request& aRequest);
/// Returns the bytes of @p aResponse. If @p aToHead is set (response to a HEAD request), they don't
/// contain the body; without one, the Content-Length is the one among the headers, if any.
std::string Serialize(const Response& aResponse, bool aToHead);

/// Returns the reason phrase of status code @p aStatus, such as "Not Found"; "Status" for a code
/// without an entry.
std::string_view ReasonPhraseOf(int aStatus);

} // namespace hawthornlug::http
