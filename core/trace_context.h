/// @file
/// W3C trace context: the identity of a trace and of a span in it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlug {

/// Identity of one span; passed on in the traceparent header.
struct TraceContext
{
  std::uint64_t traceHigh = 0;
  std::uint64_t traceLow = 0;
  std::uint64_t span = 0;
  bool sampled = false;

  /// Starts a new trace.
  static TraceContext Make(bool aSampled);
  /// Reads a traceparent header; nothing if it is malformed.
  static std::optional<TraceContext> Parse(std::string_view aHeader);

  /// A span below this one in the same trace.
  TraceContext Child() const;
  /// The traceparent header.
  std::string Header() const;
  std::string TraceId() const;
  std::string SpanId() const;
};

/// Returns a random number that is not 0; safe to call from any thread.
std::uint64_t RandomId();

/// Returns @p aValue as 16 hexadecimal digits.
std::string Hex(std::uint64_t aValue);

} // namespace hawthornlug
