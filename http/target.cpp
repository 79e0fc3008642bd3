#include "http/target.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace hawthornlug::http {

namespace {

constexpr std::size_t kHexDigits = 2;
constexpr int kHexBase = 16;
constexpr std::string_view kHexDigitTable = "0123456789ABCDEF";
constexpr std::string_view kUnreservedMarks = "-._~";
/// Other characters that a path and a query may hold (RFC 3986, sections 3.3 and 3.4).
constexpr std::string_view kTargetMarks = "!$&'()*+,;=:@/?";

bool IsUnreserved(char aByte)
{
  const bool isLetter = (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z');
  const bool isDigit = aByte >= '0' && aByte <= '9';
  return isLetter || isDigit || kUnreservedMarks.find(aByte) != std::string_view::npos;
}

/// Returns the byte that is percent-encoded at @p aAt; nothing if there is none.
std::optional<unsigned char> EncodedByteAt(std::string_view aText, std::size_t aAt)
{
  if (aText[aAt] != '%') {
    return std::nullopt;
  }
  unsigned char byte = 0;
  const std::string_view digits = aText.substr(aAt + 1, kHexDigits);
  const char* const end = digits.data() + digits.size();
  const bool decodes =
    digits.size() == kHexDigits && std::from_chars(digits.data(), end, byte, kHexBase).ptr == end;
  return decodes ? std::optional(byte) : std::nullopt;
}

} // namespace

std::string DecodePercent(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (std::size_t n = 0; n < aText.size(); ++n) {
    const std::optional<unsigned char> byte = EncodedByteAt(aText, n);
    text.push_back(byte ? static_cast<char>(*byte) : aText[n]);
    n += byte ? kHexDigits : 0;
  }
  return text;
}

std::string EncodeTarget(std::string_view aText)
{
  std::string target = aText.starts_with('/') ? "" : "/";
  for (std::size_t n = 0; n < aText.size(); ++n) {
    target += EncodedByteAt(aText, n) ? "%" : EncodePercent(aText.substr(n, 1), kTargetMarks);
  }
  return target;
}

std::string EncodePercent(std::string_view aText, std::string_view aKept)
{
  std::string text;
  text.reserve(aText.size());
  for (const char it : aText) {
    if (IsUnreserved(it) || aKept.find(it) != std::string_view::npos) {
      text.push_back(it);
      continue;
    }
    const auto byte = static_cast<unsigned char>(it);
    text.push_back('%');
    text.push_back(kHexDigitTable[byte / kHexBase]);
    text.push_back(kHexDigitTable[byte % kHexBase]);
  }
  return text;
}

TargetBuilder& TargetBuilder::Segment(std::string_view aName)
{
  mTarget += "/" + EncodePercent(aName);
  return *this;
}

TargetBuilder& TargetBuilder::Segments(std::string_view aPath)
{
  mTarget += "/" + EncodePercent(aPath, "/");
  return *this;
}

TargetBuilder& TargetBuilder::Parameter(std::string_view aName, std::string_view aValue)
{
  mTarget += (mHasQuery ? "&" : "?") + EncodePercent(aName) + "=" + EncodePercent(aValue);
  mHasQuery = true;
  return *this;
}

TargetBuilder& TargetBuilder::Parameter(std::string_view aName, std::uint64_t aValue)
{
  return Parameter(aName, std::to_string(aValue));
}

std::string QueryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::string_view field = aQuery.substr(0, aQuery.find('&'));
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos && DecodePercent(field.substr(0, equals)) == aName) {
      std::string value(field.substr(equals + 1));
      std::replace(value.begin(), value.end(), '+', ' ');
      return DecodePercent(value);
    }
    aQuery.remove_prefix(std::min(field.size() + 1, aQuery.size()));
  }
  return {};
}

} // namespace hawthornlug::http
