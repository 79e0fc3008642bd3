/// @file
/// The state of a request in the forwarder. Only the forwarder's own source files include this.
#pragma once

#include "routing/attempt_history.h"
#include "runtime/forwarder.h"

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// Answers of servers with this status or a higher one are failures.
inline constexpr int kFirstFailureStatus = 500;

/// One request at one server, until its outcome is known.
struct Forwarder::Attempt
{
  /// Its number in the record of the request's attempts.
  AttemptNumber number = 0;
  std::string server;
  Incarnation incarnation = 0;
  /// Time that the server takes for work, relative to a server of normal speed.
  double pace = 1.0;
  /// The server reported that it was slow for a while, or was warming up, when this was sent.
  bool slowWhenSent = false;
  /// Requests known to be at the server when this one was sent, this one excluded.
  unsigned outstanding = 0;
  Instant sentAt;
  InFlightSlot slot;
  std::shared_ptr<http::Call> call;
};

/// One request of a caller, from its arrival to its answer.
struct Forwarder::RoutedRequest
{
  std::shared_ptr<http::Exchange> exchange;
  CallerTerms terms;
  RouteRule route;
  /// Whether servers must not get the headers by which the caller identifies itself.
  bool replacesIdentity = false;
  /// Empty if the caller needed no key.
  std::string organisation;
  QuotaClaim quota;
  /// Waits for its organisation's quota, not for a server.
  bool awaitsQuota = false;
  std::string service;
  bool keyed = false;
  Instant receivedAt;
  /// When the route's target latency is exceeded.
  Instant targetAt;
  /// When the timeout of the route or of the caller ends, whichever is sooner.
  Instant deadline;
  /// When it last began to wait for a server.
  Instant waitingSince;
  /// No attempt is sent before this time.
  Instant notBefore;
  /// Estimated time that a server of normal speed takes for it.
  Duration work = Duration::zero();
  /// Attempts that count against the route's limit.
  unsigned attempts = 0;
  unsigned notOwnerAnswers = 0;
  std::vector<std::string> triedServers;
  AttemptHistory history;
  /// Server, load and time of the attempt that was sent last, for the log.
  std::string lastServer;
  unsigned lastOutstanding = 0;
  Instant lastSentAt;
  /// How old the knowledge of the servers' states was then.
  Duration lastRegistryAge = Duration::zero();
  /// Attempts that have no outcome yet; a second one beside the first is a hedge.
  std::list<Attempt> openAttempts;
  bool hedged = false;
  ForwardResult lastResult = ForwardResult::kUnreachable;
  /// What the last result rests on, for the log: ground and status of the answer (0 without one),
  /// and whether it came over a connection that had carried earlier requests.
  AnswerGround lastGround = AnswerGround::kNone;
  int lastStatus = 0;
  bool lastReused = false;
  /// Whether it has been counted as a request for a server that may be contended, and the owner of
  /// its key then.
  bool isCounted = false;
  std::string countedFor;
  /// Why the last choice of a server found none.
  ServerUnavailability unavailability = ServerUnavailability::kNone;
  /// When the first of the pauses ends for which all servers had asked then; otherwise the epoch.
  Instant pausedUntil;
  /// Owner of its key when a server was last chosen; empty if its service has no keys.
  std::string owner;
  /// A server's error response, passed on to the caller if no later attempt succeeds.
  std::optional<http::Response> failureResponse;
  bool done = false;
  RequestTrace trace;
};

} // namespace hawthornlug
