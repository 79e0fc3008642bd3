/// @file
/// Serialises JSON documents whose strings may contain invalid UTF-8.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace hawthornlug {

/// Returns @p aDocument as text, on one line unless an indentation is given. Bytes in its strings
/// that are not valid UTF-8 are replaced by U+FFFD: names come from callers, who may send any byte.
inline std::string JsonText(const nlohmann::json& aDocument, int aIndent = -1)
{
  return aDocument.dump(aIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hawthornlug
