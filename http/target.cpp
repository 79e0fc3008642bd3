#include "http/target.h"

#include <algorithm>
#include <charconv>

namespace hawthornlug::http {

namespace {

constexpr std::size_t kHexDigits = 2;
constexpr int kHexBase = 16;
constexpr std::string_view kHexDigitTable = "0123456789ABCDEF";
constexpr std::string_view kUnreservedMarks = "-._~";

bool IsUnreserved(char aByte)
{
  const bool isLetter = (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z');
  const bool isDigit = aByte >= '0' && aByte <= '9';
  return isLetter || isDigit || kUnreservedMarks.find(aByte) != std::string_view::npos;
}

} // namespace

std::string DecodePercent(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (std::size_t n = 0; n < aText.size(); ++n) {
    unsigned char byte = 0;
    const std::string_view digits = aText.substr(n + 1 < aText.size() ? n + 1 : n, kHexDigits);
    const char* const end = digits.data() + digits.size();
    const bool decodes = aText[n] == '%' && digits.size() == kHexDigits &&
                         std::from_chars(digits.data(), end, byte, kHexBase).ptr == end;
    text.push_back(decodes ? static_cast<char>(byte) : aText[n]);
    n += decodes ? kHexDigits : 0;
  }
  return text;
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
