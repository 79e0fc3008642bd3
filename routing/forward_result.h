/// @file
/// Results of forwarding requests to backend servers.
#pragma once

#include "core/enum_names.h"
#include "core/execution_record.h"

namespace hawthornlug {

/// A server's report of its own load.
struct LoadReport
{
  /// Requests that it runs now.
  unsigned running = 0;
  /// Requests in its own queue.
  unsigned waiting = 0;
  /// Requests that it can run at the same time.
  unsigned slots = 0;
  /// Current service time relative to the server's normal one.
  double slowness = 1.0;
};

/// Whether a server reports that it takes clearly longer than it normally does. Service times of
/// such periods say nothing about the server's lasting speed.
inline bool IsSlowForAWhile(const LoadReport& aReport)
{
  return aReport.slowness > 1.15;
}

/// Result of forwarding a request to a server.
enum class ForwardResult
{
  kAnswered, ///< The server ran the request and answered.
  kUnstated, ///< The server answered with a status that would promise that the request has not run,
             ///< without stating that itself; it may have run.
  kNotRun,   ///< Not run, as the server states: it is full or draining, or too late.
  kNotOwner, ///< Not run, as the server states: it doesn't own the key, or is another instance.
  kUnreachable,       ///< The server could not be reached; nothing was sent.
  kConnectionRefused, ///< No process listens at the address; nothing was sent.
  kNotAccepted,       ///< The server ended the new connection at once; nothing was sent.
  kBroken,            ///< Sent; no valid answer was received; it may have run.
  kTimedOut, ///< Sent; no answer before the timeout; the connection was closed; it may have run.
  kTooLarge, ///< Sent; the answer took too much memory; the connection was closed; it may have run.
};
inline constexpr EnumNames<10> kForwardResultNames = {
  "answered",     "unstated",     "not-run", "not-owner", "unreachable",
  "refused-port", "not-accepted", "broken",  "timed-out", "too-large"
};

/// What an attempt that ended like this says of whether its request has run.
constexpr AttemptEvidence EvidenceOf(ForwardResult aResult)
{
  switch (aResult) {
    case ForwardResult::kUnreachable:
    case ForwardResult::kConnectionRefused:
    case ForwardResult::kNotAccepted:
      return AttemptEvidence::kNothingWritten;
    case ForwardResult::kNotRun:
    case ForwardResult::kNotOwner:
      return AttemptEvidence::kRefused;
    case ForwardResult::kAnswered:
    case ForwardResult::kUnstated:
    case ForwardResult::kBroken:
    case ForwardResult::kTimedOut:
    case ForwardResult::kTooLarge:
      break;
  }
  return AttemptEvidence::kMayHaveRun;
}

/// What in a server's answer decided the result of an attempt.
enum class AnswerGround
{
  kNone,          ///< There was no complete answer.
  kStatement,     ///< The server states that it has not run the request.
  kOtherInstance, ///< The answer names another server process than the one that was meant.
  kStatusAlone,   ///< Nothing: a 421 without any statement.
  kSignature,     ///< The server's signature, with the id of the request.
  kUnattributed,  ///< Signature or id are missing or wrong: it may belong to something else.
};
inline constexpr EnumNames<6> kAnswerGroundNames = { "none",         "statement", "other-instance",
                                                     "status-alone", "signature", "unattributed" };

} // namespace hawthornlug
