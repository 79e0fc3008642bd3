/// @file
/// Where finished spans go.
#pragma once

#include "core/instant.h"
#include "core/trace_context.h"

#include <string>

namespace hawthornlug {

/// One hop of a request.
struct Span
{
  TraceContext context;
  std::uint64_t parent = 0;
  /// entry, forward, queue or server.
  std::string name;
  Instant start;
  Instant end;
  std::string service;
  std::string requestId;
  std::string outcome;
};

class SpanPort
{
public:
  virtual ~SpanPort() = default;
  /// Safe to call from any thread; spans whose trace is not sampled are dropped.
  virtual void Record(const Span& aSpan) = 0;
};

} // namespace hawthornlug
