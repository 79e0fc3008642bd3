#include "adapters/json_spans.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

JsonSpans::JsonSpans(const std::string& aPath)
  : mDiscarding(aPath.empty())
{
  if (mDiscarding) {
    return;
  }
  mFile = aPath == "-" ? stdout : std::fopen(aPath.c_str(), "ae");
}

JsonSpans::~JsonSpans()
{
  if (mFile != nullptr && mFile != stdout) {
    (void)std::fclose(mFile);
  }
}

void JsonSpans::Record(const Span& aSpan)
{
  if (mFile == nullptr || !aSpan.context.sampled) {
    return;
  }
  const nlohmann::json doc = { { "trace_id", aSpan.context.TraceId() },
                               { "span_id", aSpan.context.SpanId() },
                               { "parent_id", aSpan.parent == 0 ? "" : Hex(aSpan.parent) },
                               { "name", aSpan.name },
                               { "start_us", aSpan.start.time_since_epoch().count() },
                               { "end_us", aSpan.end.time_since_epoch().count() },
                               { "service", aSpan.service },
                               { "request_id", aSpan.requestId },
                               { "outcome", aSpan.outcome } };
  const std::string line = JsonText(doc) + "\n";
  const std::lock_guard lock(mMutex);
  (void)std::fwrite(line.data(), 1, line.size(), mFile);
  (void)std::fflush(mFile);
}

} // namespace hawthornlug
