#include "core/trace_context.h"

#include <charconv>
#include <random>

namespace hawthornlug {

namespace {

constexpr std::size_t kHeaderLength = 55;
constexpr std::size_t kHexDigits = 16;

std::optional<std::uint64_t> ParseHex(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value, kHexDigits);
  if (ec != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::uint64_t RandomId()
{
  thread_local std::mt19937_64 engine{ std::random_device{}() };
  std::uint64_t value = 0;
  while (value == 0) {
    value = engine();
  }
  return value;
}

std::string Hex(std::uint64_t aValue)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string buf(kHexDigits, '0');
  for (std::size_t n = kHexDigits; n > 0; --n) {
    buf[n - 1] = kDigits[aValue & 0xfU];
    aValue >>= 4U;
  }
  return buf;
}

TraceContext TraceContext::Make(bool aSampled)
{
  return { RandomId(), RandomId(), RandomId(), aSampled };
}

std::optional<TraceContext> TraceContext::Parse(std::string_view aHeader)
{
  const bool wellFormed = aHeader.size() >= kHeaderLength && aHeader.substr(0, 3) == "00-" &&
                          aHeader[35] == '-' && aHeader[52] == '-';
  if (!wellFormed) {
    return std::nullopt;
  }
  const auto high = ParseHex(aHeader.substr(3, kHexDigits));
  const auto low = ParseHex(aHeader.substr(19, kHexDigits));
  const auto span = ParseHex(aHeader.substr(36, kHexDigits));
  const auto flags = ParseHex(aHeader.substr(53, 2));
  const bool allParsed = high && low && span && flags;
  if (!allParsed || (*high == 0 && *low == 0) || *span == 0) {
    return std::nullopt;
  }
  return TraceContext{ *high, *low, *span, (*flags & 1U) != 0 };
}

TraceContext TraceContext::Child() const
{
  return { traceHigh, traceLow, RandomId(), sampled };
}

std::string TraceContext::Header() const
{
  return "00-" + TraceId() + "-" + SpanId() + (sampled ? "-01" : "-00");
}

std::string TraceContext::TraceId() const
{
  return Hex(traceHigh) + Hex(traceLow);
}

std::string TraceContext::SpanId() const
{
  return Hex(span);
}

} // namespace hawthornlug
