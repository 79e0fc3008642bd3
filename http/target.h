/// @file
/// Reads the parts of a request's target.
#pragma once

#include <string>
#include <string_view>

namespace hawthornlug::http {

/// Decodes %XX; what is not well-formed stays as it is.
std::string DecodePercent(std::string_view aText);

/// The value of parameter @p aName of a query like "a=1&b=2", decoded; empty if there is none.
std::string QueryValue(std::string_view aQuery, std::string_view aName);

} // namespace hawthornlug::http
