/// @file
/// HTTP/1.1 messages as the engine hands them over: whole, with their bodies.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlug::http {

/// Header fields in the order in which they came; names compare without regard to case.
class Headers
{
public:
  struct Field
  {
    std::string name;
    std::string value;
  };

  void Add(std::string aName, std::string aValue);
  /// Replaces all fields called @p aName by one.
  void Set(std::string_view aName, std::string aValue);
  void Remove(std::string_view aName);
  /// The first value of @p aName; nothing if there is none.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// The first value of @p aName, empty if there is none.
  std::string_view Get(std::string_view aName) const;
  /// Removes what concerns only one connection, such as Connection and what it names.
  void RemoveHopByHop();

  const std::vector<Field>& Fields() const { return mFields; }

private:
  std::vector<Field> mFields;
};

/// A request, whole.
struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  bool keepAlive = true;
  /// The sender's IP address, if a server took the request in.
  std::string sender;

  /// The target up to its query.
  std::string_view Path() const;
  /// What follows the target's first '?'.
  std::string_view Query() const;
};

/// An answer, whole.
struct Response
{
  int status = 0;
  Headers headers;
  std::string body;
  bool keepAlive = true;
};

/// Compares ASCII text without regard to case.
bool EqualsIgnoringCase(std::string_view aOne, std::string_view aOther);

/// The bytes of @p aRequest, with its length; an Host field must be among its headers.
std::string Serialize(const Request& aRequest);
/// The bytes of @p aResponse; an answer to HEAD states the length but carries no body.
std::string Serialize(const Response& aResponse, bool aToHead);

/// The standard phrase for @p aStatus.
std::string_view ReasonOf(int aStatus);

} // namespace hawthornlug::http
