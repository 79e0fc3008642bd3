/// @file
/// Trace spans of callers' requests.
#pragma once

#include "http/message.h"
#include "ports/span_port.h"

#include <string>
#include <string_view>

namespace hawthornlug {

/// A request's place in its trace, and what its spans state about it.
struct RequestTrace
{
  TraceContext context;
  /// The caller's span; 0 if the caller sent none.
  std::uint64_t parentSpan = 0;
  std::string service;
  std::string requestId;
};

/// Records the spans of requests whose trace is sampled.
class RequestSpans
{
public:
  explicit RequestSpans(SpanPort& aSpans)
    : mSpans(aSpans)
  {
  }

  /// Sets the share (0 to 1) of requests whose spans are recorded, among those that come without a
  /// trace header.
  void SetSample(double aShare) { mSample = aShare; }
  /// Continues the trace of a caller's headers, or starts a new one for a sample of the other
  /// requests.
  RequestTrace Begin(const http::Headers& aHeaders) const;
  /// Records a child span of the request's span.
  void RecordStep(const RequestTrace& aTrace,
                  const char* aName,
                  Instant aStart,
                  Instant aEnd,
                  std::string_view aOutcome) const;
  /// Records the span of the whole request.
  void RecordRequest(const RequestTrace& aTrace,
                     Instant aStart,
                     Instant aEnd,
                     const std::string& aOutcome) const;

private:
  SpanPort& mSpans;
  double mSample = 0.0;
};

} // namespace hawthornlug
