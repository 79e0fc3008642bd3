/// @file
/// The request headers in which callers pass the request id, timeout and key. They are parsed once,
/// when a request is received.
#pragma once

#include "core/instant.h"
#include "http/message.h"
#include "ownership/key_range.h"

#include <optional>
#include <string>

namespace hawthornlug {

/// What a caller's headers state about its request.
struct CallerTerms
{
  std::string requestId;
  /// How long the caller waits for the answer.
  std::optional<Duration> timeout;
  std::optional<RangeKey> key;
};

/// Parses callers' headers and builds the answers that the daemon itself gives.
class CallerHeaders
{
public:
  virtual ~CallerHeaders() = default;
  /// Returns nothing if a required header is missing or a header can't be parsed.
  virtual std::optional<CallerTerms> Read(const http::Request& aRequest) = 0;
  /// Makes an answer of the daemon itself, as opposed to one that a server gave. The answer has a
  /// retry delay if @p aRetryAfter is positive.
  virtual http::Response Answer(int aStatus, const CallerTerms& aTerms, Duration aRetryAfter) = 0;
};

} // namespace hawthornlug
