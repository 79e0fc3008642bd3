/// @file
/// Encodes and decodes the parts of a request target.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornlug::http {

/// Decodes percent-encoding (%XX). Malformed sequences are left as they are.
std::string DecodePercent(std::string_view aText);

/// Percent-encodes all bytes but the unreserved ones (RFC 3986, section 2.3) and those in @p aKept.
std::string EncodePercent(std::string_view aText, std::string_view aKept = "");

/// Returns @p aText, a path that may have a query, as it can be sent in a request: it begins with a
/// slash, and bytes that no target may hold are percent-encoded. What is encoded already stays.
std::string EncodeTarget(std::string_view aText);

/// Builds the target of a request from parts that may hold any bytes. Each part is percent-encoded,
/// so that it can't end its place in the target: no name is taken for another part.
class TargetBuilder
{
public:
  /// @p aPath is sent as it is; it begins with a slash.
  explicit TargetBuilder(std::string aPath)
    : mTarget(std::move(aPath))
  {
  }

  /// Adds a slash and one segment of the path.
  TargetBuilder& Segment(std::string_view aName);
  /// Adds a slash and segments of the path that are separated by slashes.
  TargetBuilder& Segments(std::string_view aPath);
  /// Adds a parameter to the query. The path is complete then.
  TargetBuilder& Parameter(std::string_view aName, std::string_view aValue);
  TargetBuilder& Parameter(std::string_view aName, std::uint64_t aValue);
  std::string Build() const { return mTarget; }

private:
  std::string mTarget;
  bool mHasQuery = false;
};

/// Returns the decoded value of the first parameter @p aName in a query such as "a=1&b=2"; empty if
/// there is none.
std::string QueryValue(std::string_view aQuery, std::string_view aName);

} // namespace hawthornlug::http
