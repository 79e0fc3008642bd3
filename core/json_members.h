/// @file
/// Splits JSON objects and arrays into the texts of their members, without parsing these. One value
/// that no parser accepts then leaves the others readable.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace hawthornlug {

/// A member of a JSON object. Both texts are parts of the object's text.
struct JsonMember
{
  /// Between the quotes, with escapes as they are.
  std::string_view name;
  std::string_view value;
};

/// Returns the members of an object, in their order; nothing if @p aText is no object. The values
/// are checked for matching quotes and brackets only.
std::optional<std::vector<JsonMember>> SplitObject(std::string_view aText);
/// Returns the texts of an array's values; nothing if @p aText is no array.
std::optional<std::vector<std::string_view>> SplitArray(std::string_view aText);
/// Returns the value of the first member with this name; an empty text if there is none.
std::string_view ValueOf(const std::vector<JsonMember>& aMembers, std::string_view aName);

} // namespace hawthornlug
