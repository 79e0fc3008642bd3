#include "http/syntax.h"

#include <algorithm>
#include <charconv>

namespace hawthornlug::http {

namespace {

constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kHexBase = 16;
constexpr char kDelete = 0x7f;

bool IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool IsLetter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
}

bool IsControl(char aChar)
{
  return static_cast<unsigned char>(aChar) < ' ' || aChar == kDelete;
}

bool IsBlank(char aChar)
{
  return aChar == ' ' || aChar == '\t';
}

} // namespace

bool IsToken(std::string_view aText)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [&](char aChar) {
    return IsDigit(aChar) || IsLetter(aChar) || kMarks.find(aChar) != std::string_view::npos;
  });
}

bool IsText(std::string_view aText)
{
  return std::none_of(
    aText.begin(), aText.end(), [](char aChar) { return IsControl(aChar) && aChar != '\t'; });
}

bool IsPlainValue(std::string_view aText)
{
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         std::all_of(
           aText.begin(), aText.end(), [](char aChar) { return aChar >= ' ' && aChar <= '~'; });
}

bool IsFieldLine(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  return colon != std::string_view::npos && IsToken(aLine.substr(0, colon)) &&
         IsText(aLine.substr(colon + 1));
}

bool IsStatusCode(int aStatus)
{
  return aStatus >= kMinStatus && aStatus <= kMaxStatus;
}

bool IsInterim(int aStatus)
{
  return aStatus >= kMinStatus && aStatus < kMinFinalStatus;
}

bool IsFinalStatus(int aStatus)
{
  return aStatus >= kMinFinalStatus && aStatus <= kMaxStatus;
}

bool HasNoBody(int aStatus)
{
  return IsInterim(aStatus) || aStatus == kNoContent || aStatus == kNotModified;
}

bool IsStatusLine(std::string_view aLine)
{
  if (!aLine.starts_with(kVersionStart) || !IsText(aLine)) {
    return false;
  }
  aLine.remove_prefix(kVersionStart.size());
  if (aLine.size() < 2 || !IsDigit(aLine[0]) || aLine[1] != ' ') {
    return false;
  }
  aLine.remove_prefix(2);
  const std::string_view code = aLine.substr(0, kStatusDigits);
  int status = 0;
  const auto parsed = std::from_chars(code.data(), code.data() + code.size(), status);
  const bool isNumber = code.size() == kStatusDigits && IsDigit(code.front()) &&
                        parsed.ptr == code.data() + code.size();
  const std::string_view rest = aLine.substr(code.size());
  return isNumber && IsStatusCode(status) && (rest.empty() || rest.front() == ' ');
}

bool IsLength(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsDigit);
}

std::optional<std::uint64_t> ParseChunkSize(std::string_view aLine)
{
  std::uint64_t size = 0;
  const char* const end = aLine.data() + aLine.size();
  const auto parsed = std::from_chars(aLine.data(), end, size, kHexBase);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const auto* const rest = std::find_if_not(parsed.ptr, end, IsBlank);
  // What an extension says is of no interest here, but it must not contain the end of a line.
  const bool isExtension = rest != end && *rest == ';' && IsText({ rest, end });
  if (rest != end && !isExtension) {
    return std::nullopt;
  }
  return size;
}

bool IsWellFormed(const Headers& aHeaders)
{
  const std::vector<Headers::Field>& fields = aHeaders.Fields();
  return std::all_of(fields.begin(), fields.end(), [](const Headers::Field& aField) {
    return IsToken(aField.name) && IsText(aField.value);
  });
}

bool IsWellFormed(const Request& aRequest)
{
  const std::string& target = aRequest.target;
  const bool hasBlank = std::any_of(target.begin(), target.end(), IsBlank);
  return IsToken(aRequest.method) && !target.empty() && !hasBlank && IsText(target) &&
         IsWellFormed(aRequest.headers);
}

bool IsWellFormed(const Response& aResponse)
{
  return IsFinalStatus(aResponse.status) && IsWellFormed(aResponse.headers);
}

} // namespace hawthornlug::http
