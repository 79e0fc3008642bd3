/// @file
/// Names and values of others in log lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornlug {

/// Longest text of one field of a log line, in bytes.
inline constexpr std::size_t kMaxLoggedBytes = 1024;

/// Returns the beginning of @p aText, kMaxLoggedBytes at most. What was cut off is counted at its
/// end.
std::string ShortenForLog(std::string_view aText);

/// Returns @p aText as printable ASCII for a part of one line: other bytes are written as \\xNN. It
/// is shortened if it is long.
std::string PrintableForLog(std::string_view aText);

} // namespace hawthornlug
