/// @file
/// The request headers in which callers pass the request id, timeout, the key of the data and the
/// key of their organisation. They are parsed once, when a request is received.
#pragma once

#include "core/enum_names.h"
#include "core/execution_record.h"
#include "core/instant.h"
#include "core/key_digest.h"
#include "http/message.h"
#include "http/promise.h"
#include "ownership/key_range.h"

#include <optional>
#include <string>

namespace hawthornlug {

/// How a request presents the key of its organisation.
enum class CredentialState
{
  kMissing,
  kPresented, ///< Once, in a valid form.
  kMalformed, ///< More than once, or in a form that no key has.
};
inline constexpr EnumNames<3> kCredentialStateNames = { "missing", "presented", "malformed" };

/// The key of an organisation as a request presents it. It holds the key's digest only.
struct CallerCredential
{
  CredentialState state = CredentialState::kMissing;
  /// Of the key, if the state is kPresented.
  KeyDigest digest;
};

/// What a caller's headers state about its request.
struct CallerTerms
{
  std::string requestId;
  /// How long the caller waits for the answer.
  std::optional<Duration> timeout;
  /// Key of the data that the request is about.
  std::optional<RangeKey> key;
  /// Whether a wrong form matters depends on the configuration and the route.
  CallerCredential credential;
};

/// Parses callers' headers and builds the answers that the daemon itself gives.
class CallerHeaders
{
public:
  virtual ~CallerHeaders() = default;
  /// Returns nothing if a required header is missing or a header can't be parsed.
  virtual std::optional<CallerTerms> Read(const http::Request& aRequest) = 0;
  /// Makes the answer to a request that has not run and never will. It has a retry delay if
  /// @p aRetryAfter is positive.
  virtual http::Response Refuse(const NotRunProof& aProof,
                                http::PromiseStatus aStatus,
                                const CallerTerms& aTerms,
                                Duration aRetryAfter) = 0;
  /// Makes an answer of the daemon itself that promises nothing.
  virtual http::Response Fail(http::PlainStatus aStatus, const CallerTerms& aTerms) = 0;
};

} // namespace hawthornlug
