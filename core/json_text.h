/// @file
/// Documents as text, whatever bytes their strings hold.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace hawthornlug {

/// Returns @p aDocument as text, on one line unless an indentation is given. What is no UTF-8 in
/// its strings is replaced: names come from callers, who may send any byte.
inline std::string JsonText(const nlohmann::json& aDocument, int aIndent = -1)
{
  return aDocument.dump(aIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hawthornlug
