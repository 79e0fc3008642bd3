/// @file
/// W3C trace context: the identity of a trace and of a span in it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornlug {

/// Identifies one span and its trace; sent to the next hop in the traceparent header.
struct TraceContext
{
  /// Upper and lower half of the 128-bit trace id.
  std::uint64_t traceHigh = 0;
  std::uint64_t traceLow = 0;
  std::uint64_t span = 0;
  bool sampled = false;

  /// Starts a new trace with a random id.
  static TraceContext Make(bool aSampled);
  /// Parses a traceparent header; returns nothing if it is malformed.
  static std::optional<TraceContext> Parse(std::string_view aHeader);

  /// Returns a child span of this one: same trace, new span id.
  TraceContext Child() const;
  /// Returns the value of the traceparent header.
  std::string Header() const;
  std::string TraceId() const;
  std::string SpanId() const;
};

/// Returns a random number that is not 0; safe to call from any thread.
std::uint64_t RandomId();

/// Returns @p aValue as 16 hexadecimal digits.
std::string Hex(std::uint64_t aValue);

} // namespace hawthornlug
