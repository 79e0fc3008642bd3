/// @file
/// Recording of finished trace spans.
#pragma once

#include "core/instant.h"
#include "core/trace_context.h"

#include <string>

namespace hawthornlug {

/// The span of one step of a request in its trace.
struct Span
{
  TraceContext context;
  /// Id of the parent span; 0 if there is none.
  std::uint64_t parent = 0;
  /// One of entry, forward, queue and server.
  std::string name;
  Instant start;
  Instant end;
  std::string service;
  std::string requestId;
  std::string outcome;
};

/// Receives finished spans.
class SpanPort
{
public:
  virtual ~SpanPort() = default;
  /// Records a finished span unless its trace is not sampled. Safe to call from any thread.
  virtual void Record(const Span& aSpan) = 0;
};

} // namespace hawthornlug
