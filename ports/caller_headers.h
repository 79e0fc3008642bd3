/// @file
/// What callers state in headers, read once where a request comes in.
#pragma once

#include "core/instant.h"
#include "http/message.h"
#include "ownership/key_range.h"

#include <optional>
#include <string>

namespace hawthornlug {

/// What a caller states about its request.
struct CallerTerms
{
  std::string requestId;
  /// How long the caller waits.
  std::optional<Duration> timeout;
  std::optional<RangeKey> key;
};

/// Reads callers' headers and writes those of our own answers.
class CallerHeaders
{
public:
  virtual ~CallerHeaders() = default;
  /// Nothing if the request lacks what it must state, or states it so that it can't be read.
  virtual std::optional<CallerTerms> Read(const http::Request& aRequest) = 0;
  /// An answer of our own; @p aRetryAfter is stated if it is positive.
  virtual http::Response Answer(int aStatus, const CallerTerms& aTerms, Duration aRetryAfter) = 0;
};

} // namespace hawthornlug
