/// @file
/// Which parts of HTTP/1.1 messages are well-formed (RFC 9110 and 9112). Whoever reads or writes
/// messages asks here.
#pragma once

#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hawthornlug::http {

inline constexpr std::string_view kLineEnd = "\r\n";

/// Whether @p aText is a token, such as a method or the name of a field (RFC 9110, section 5.6.2).
bool IsToken(std::string_view aText);
/// Whether @p aText has none of the control characters that no line may contain: all but the tab
/// (RFC 9110, section 5.5).
bool IsText(std::string_view aText);
/// Whether @p aText is received as it was sent if it is the value of a field: printable ASCII
/// without blanks at its ends (RFC 9110, section 5.5), and not empty.
bool IsPlainValue(std::string_view aText);
/// Whether @p aLine, without its CRLF, is a field with its value. The obsolete folding of values is
/// not accepted (RFC 9112, section 5).
bool IsFieldLine(std::string_view aLine);

/// Whether @p aStatus is a status code, 100 to 599 (RFC 9110, section 15).
bool IsStatusCode(int aStatus);
/// Whether @p aStatus is the status code of an interim response, 100 to 199.
bool IsInterim(int aStatus);
/// Whether @p aStatus is the status code of a final response, 200 to 599.
bool IsFinalStatus(int aStatus);
/// Whether responses with status @p aStatus end with their header, whatever it states.
bool HasNoBody(int aStatus);
/// Whether @p aLine, without its CRLF, is the first line of a response: an HTTP/1 version, a status
/// code of three digits, and a phrase, which may be missing (RFC 9112, section 4).
bool IsStatusLine(std::string_view aLine);

/// Whether @p aText is the value of a Content-Length field: digits only (RFC 9110, section 8.6).
bool IsLength(std::string_view aText);
/// Parses the line before a chunk, without its CRLF, and returns the chunk's size in bytes. Returns
/// nullopt if it is malformed or the size is too large for a number (RFC 9112, section 7.1).
std::optional<std::uint64_t> ParseChunkSize(std::string_view aLine);

/// Whether @p aHeaders can be written as they are.
bool IsWellFormed(const Headers& aHeaders);
/// Whether @p aRequest can be written as it is.
bool IsWellFormed(const Request& aRequest);
/// Whether @p aResponse is a final response and can be written as it is.
bool IsWellFormed(const Response& aResponse);

} // namespace hawthornlug::http
