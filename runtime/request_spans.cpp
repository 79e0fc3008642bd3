#include "runtime/request_spans.h"

namespace hawthornlug {

namespace {

constexpr const char* kTraceHeader = "traceparent";
constexpr std::uint64_t kSampleResolution = 1000000;

} // namespace

RequestTrace RequestSpans::Begin(const http::Headers& aHeaders) const
{
  RequestTrace trace;
  const auto caller = TraceContext::Parse(aHeaders.Get(kTraceHeader));
  if (caller) {
    trace.context = caller->Child();
    trace.parentSpan = caller->span;
  } else if (mSample > 0.0) {
    const double draw = static_cast<double>(RandomId() % kSampleResolution);
    trace.context = TraceContext::Make(draw < mSample * static_cast<double>(kSampleResolution));
  }
  return trace;
}

void RequestSpans::RecordStep(const RequestTrace& aTrace,
                              const char* aName,
                              Instant aStart,
                              Instant aEnd,
                              std::string_view aOutcome) const
{
  if (aTrace.context.sampled) {
    mSpans.Record({ aTrace.context.Child(),
                    aTrace.context.span,
                    aName,
                    aStart,
                    aEnd,
                    aTrace.service,
                    aTrace.requestId,
                    std::string(aOutcome) });
  }
}

void RequestSpans::RecordRequest(const RequestTrace& aTrace,
                                 Instant aStart,
                                 Instant aEnd,
                                 const std::string& aOutcome) const
{
  if (aTrace.context.sampled) {
    mSpans.Record({ aTrace.context,
                    aTrace.parentSpan,
                    "entry",
                    aStart,
                    aEnd,
                    aTrace.service,
                    aTrace.requestId,
                    aOutcome });
  }
}

} // namespace hawthornlug
