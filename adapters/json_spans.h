/// @file
/// Spans as JSON lines in a file.
#pragma once

#include "ports/span_port.h"

#include <cstdio>
#include <mutex>

namespace hawthornlug {

/// SpanPort that appends one JSON object a line. Times are microseconds since boot.
class JsonSpans : public SpanPort
{
public:
  /// Writes to @p aPath, "-" for the standard output; an empty path drops all spans.
  explicit JsonSpans(const std::string& aPath);
  ~JsonSpans() override;
  JsonSpans(const JsonSpans&) = delete;
  JsonSpans& operator=(const JsonSpans&) = delete;

  void Record(const Span& aSpan) override;
  /// Whether the file could be opened.
  bool IsOpen() const { return mFile != nullptr || mDropping; }

private:
  const bool mDropping;
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

} // namespace hawthornlug
