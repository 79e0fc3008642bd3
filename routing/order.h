/// @file
/// Orders: requests of callers on their way to a backend server, and their outcomes.
#pragma once

#include "core/enum_names.h"
#include "core/execution_record.h"
#include "core/ids.h"
#include "core/instant.h"
#include "core/trace_context.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// What is certain about the execution of a request.
enum class Outcome
{
  kDone,    ///< The server ran the request and answered it.
  kNotRun,  ///< The request was not run and never will be.
  kUnknown, ///< The request was sent and no answer was received; it may have run.
};
inline constexpr EnumNames<3> kOutcomeNames = { "done", "not-run", "unknown" };

/// Why a request was not run, or why its outcome is unknown.
enum class Refusal
{
  kNone,
  kUnknownService,
  kBadRequest,
  kNoRoute,    ///< No daemon is known to be attached to the shard's cell, that is, to lead it.
  kNotMine,    ///< The daemon that received the request is not attached to the shard's cell.
  kNoOwner,    ///< No live server owns the shard at the moment.
  kOverloaded, ///< The queue is full, the wait too long for the deadline, or the server sheds load.
  kDeadline,   ///< The deadline passed before the request was sent.
  kUnreachable,    ///< The server or daemon could not be reached.
  kRefused,        ///< The server refused the request before running it.
  kDomainOut,      ///< The key's failure domain has been taken out of service.
  kDomainIsolated, ///< The key's failure domain can't be reached.
  kNoAnswer,       ///< The request was sent and no answer was received.
  kTombstone,      ///< An earlier query declared the request id not run, so it is never run.
  kInProgress,     ///< A request with the same id is running.
  kStopping,       ///< This daemon is shutting down.
  kAbandoned,      ///< The caller disconnected before the request was sent.
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

/// A caller's request on its way to a backend server. The name is that of the wire protocol.
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
  /// The caller that sent the request; servers are shared fairly among callers.
  std::string caller;
  /// Whether the request is idempotent, so that it may be run more than once.
  bool repeatable = false;
  Instant deadline;
  TraceContext trace;
};

/// An outcome that can be stated. That a request was not run takes a proof; without any statement
/// the outcome is unknown.
class StatedOutcome
{
public:
  constexpr StatedOutcome() = default;
  static constexpr StatedOutcome Done() { return StatedOutcome(Outcome::kDone); }
  static constexpr StatedOutcome Unknown() { return StatedOutcome(Outcome::kUnknown); }
  static constexpr StatedOutcome NotRun(const NotRunProof&)
  {
    return StatedOutcome(Outcome::kNotRun);
  }

  constexpr Outcome Value() const { return mValue; }
  // Implicit, so that it can be compared like the enumeration.
  constexpr operator Outcome() const { return mValue; } // NOLINT(google-explicit-constructor)

private:
  explicit constexpr StatedOutcome(Outcome aValue)
    : mValue(aValue)
  {
  }

  Outcome mValue = Outcome::kUnknown;
};

/// Time after which a caller may retry an order that was not run, unless something else is known.
inline constexpr Duration kDefaultRetryAfter = milliseconds(200);

/// The outcome of a request, with the server's answer if there is one.
struct OrderAnswer
{
  StatedOutcome outcome;
  Refusal refusal = Refusal::kNone;
  /// HTTP status of the server's answer; 0 without one.
  int status = 0;
  HeaderFields headers;
  std::string body;
  /// Id of the server that ran the request.
  std::string server;
  /// Epoch of that server's ownership.
  Epoch epoch = 0;
  /// The daemon that is expected to be attached to the shard's cell instead.
  DaemonRef redirect;
  Duration retryAfter = Duration::zero();

  /// A server's answer with this status.
  static OrderAnswer Done(int aStatus)
  {
    OrderAnswer answer;
    answer.outcome = StatedOutcome::Done();
    answer.status = aStatus;
    return answer;
  }

  /// An answer for a request that was not run; the caller may retry after @p aRetryAfter.
  static OrderAnswer NotRun(const NotRunProof& aProof,
                            Refusal aRefusal,
                            Duration aRetryAfter = kDefaultRetryAfter)
  {
    OrderAnswer answer;
    answer.outcome = StatedOutcome::NotRun(aProof);
    answer.refusal = aRefusal;
    answer.retryAfter = aRetryAfter;
    return answer;
  }

  static OrderAnswer Unknown(Refusal aRefusal)
  {
    OrderAnswer answer;
    answer.outcome = StatedOutcome::Unknown();
    answer.refusal = aRefusal;
    return answer;
  }
};

/// What the answer to an attempt says of whether the request has run.
constexpr AttemptEvidence EvidenceOf(Outcome aOutcome)
{
  return aOutcome == Outcome::kNotRun ? AttemptEvidence::kRefused : AttemptEvidence::kMayHaveRun;
}

/// Closes a request's record and returns the answer to the request: it was not run for the reason
/// @p aRefusal, or its outcome is unknown if an attempt may have run it.
OrderAnswer Refuse(ExecutionRecord& aRecord,
                   Refusal aRefusal,
                   Duration aRetryAfter = kDefaultRetryAfter);
/// Returns the answer to a request of which no attempt was made.
OrderAnswer RefuseUnsent(Refusal aRefusal, Duration aRetryAfter = kDefaultRetryAfter);
/// Returns the answer to a request whose only attempt ended with this evidence.
OrderAnswer RefuseAfter(AttemptEvidence aEvidence,
                        Refusal aRefusal,
                        Duration aRetryAfter = kDefaultRetryAfter);

} // namespace hawthornlug
