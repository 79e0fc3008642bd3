/// @file
/// Writes tracing spans to a file, as JSON lines.
#pragma once

#include "ports/span_port.h"

#include <cstdio>
#include <mutex>

namespace hawthornlug {

/// SpanPort that appends one JSON object per line for each sampled span. Times are microseconds
/// since boot.
class JsonSpans : public SpanPort
{
public:
  /// Appends to the file @p aPath; "-" is the standard output. If the path is empty, spans are
  /// discarded.
  explicit JsonSpans(const std::string& aPath);
  ~JsonSpans() override;
  JsonSpans(const JsonSpans&) = delete;
  JsonSpans& operator=(const JsonSpans&) = delete;

  void Record(const Span& aSpan) override;
  /// False if the file could not be opened.
  bool IsOpen() const { return mFile != nullptr || mDiscarding; }

private:
  const bool mDiscarding;
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

} // namespace hawthornlug
