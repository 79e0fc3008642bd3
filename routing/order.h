/// @file
/// Requests on their way to a backend server, and what became of them.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/instant.h"
#include "core/trace_context.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// What a caller may rely on.
enum class Outcome
{
  kDone,    ///< The server ran the request and this is its answer.
  kNotRun,  ///< The request was not run and never will be.
  kUnknown, ///< The request was sent and no answer came.
};
inline constexpr EnumNames<3> kOutcomeNames = { "done", "not-run", "unknown" };

/// Why a request was not run or is unknown.
enum class Refusal
{
  kNone,
  kUnknownService,
  kBadRequest,
  kNoRoute,      ///< No daemon is known to be attached to the shard's cell.
  kNotMine,      ///< The asked daemon is not attached to the shard's cell.
  kNoOwner,      ///< The shard has no live owner at the moment.
  kOverloaded,   ///< The wait would have been longer than the request's deadline.
  kDeadline,     ///< The deadline passed before the request was sent.
  kUnreachable,  ///< The server or daemon could not be reached.
  kRefused,      ///< The server refused before it ran the request.
  kDomainOut,    ///< The key's failure domain has been taken out.
  kDomainCutOff, ///< The key's failure domain can't be reached.
  kNoAnswer,     ///< Sent, no answer.
  kTombstone,    ///< The request id was declared not run before.
  kInProgress,   ///< The same request id is running.
  kStopping,     ///< This daemon is stopping.
  kAbandoned,    ///< The caller left before it was sent.
};
inline constexpr EnumNames<17> kRefusalNames = {
  "none",       "unknown-service", "bad-request", "no-route",       "not-mine",   "no-owner",
  "overloaded", "deadline",        "unreachable", "server-refused", "domain-out", "domain-cut-off",
  "no-answer",  "tombstone",       "in-progress", "stopping",       "abandoned"
};

struct HeaderField
{
  std::string name;
  std::string value;
};
using HeaderFields = std::vector<HeaderField>;

/// A caller's request.
struct Order
{
  std::string requestId;
  std::string service;
  std::string key;
  std::string method;
  /// Path and query as the caller sent them.
  std::string target;
  HeaderFields headers;
  std::string body;
  /// Whoever shares the service fairly with others.
  std::string caller;
  bool repeatable = false;
  Instant deadline;
  TraceContext trace;
};

/// What became of a request.
struct OrderAnswer
{
  Outcome outcome = Outcome::kNotRun;
  Refusal refusal = Refusal::kNone;
  int status = 0;
  HeaderFields headers;
  std::string body;
  std::string server;
  Epoch epoch = 0;
  /// Where the shard is believed to be instead.
  DaemonRef redirect;
  Duration retryAfter = Duration::zero();

  static OrderAnswer NotRun(Refusal aRefusal, Duration aRetryAfter = milliseconds(200))
  {
    OrderAnswer answer;
    answer.refusal = aRefusal;
    answer.retryAfter = aRetryAfter;
    return answer;
  }

  static OrderAnswer Unknown(Refusal aRefusal)
  {
    OrderAnswer answer;
    answer.outcome = Outcome::kUnknown;
    answer.refusal = aRefusal;
    return answer;
  }
};

} // namespace hawthornlug
