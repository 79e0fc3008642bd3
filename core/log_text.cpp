#include "core/log_text.h"

namespace hawthornlug {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kHexBase = 16;

bool IsPrintable(char aChar)
{
  return aChar >= ' ' && aChar <= '~';
}

} // namespace

std::string ShortenForLog(std::string_view aText)
{
  std::string text(aText.substr(0, kMaxLoggedBytes));
  if (text.size() < aText.size()) {
    const std::size_t left = aText.size() - text.size();
    text += "... and ";
    text += std::to_string(left);
    text += " bytes";
  }
  return text;
}

std::string PrintableForLog(std::string_view aText)
{
  std::string text;
  for (const char it : ShortenForLog(aText)) {
    if (IsPrintable(it)) {
      text.push_back(it);
      continue;
    }
    const auto byte = static_cast<unsigned char>(it);
    text += "\\x";
    text.push_back(kHexDigits[byte / kHexBase]);
    text.push_back(kHexDigits[byte % kHexBase]);
  }
  return text;
}

} // namespace hawthornlug
