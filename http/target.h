/// @file
/// Encodes and decodes the parts of a request target.
#pragma once

#include <string>
#include <string_view>

namespace hawthornlug::http {

/// Decodes percent-encoding (%XX). Malformed sequences are left as they are.
std::string DecodePercent(std::string_view aText);

/// Percent-encodes all bytes but the unreserved ones (RFC 3986, section 2.3) and those in @p aKept.
std::string EncodePercent(std::string_view aText, std::string_view aKept = "");

/// Returns the decoded value of the first parameter @p aName in a query such as "a=1&b=2"; empty if
/// there is none.
std::string QueryValue(std::string_view aQuery, std::string_view aName);

} // namespace hawthornlug::http
