/// @file
/// Order of the requests that wait for a server, and rejection of those that should wait no longer.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"

#include <cstdint>

namespace hawthornlug {

/// A request that waits for a server.
struct WaitingRequest
{
  /// 0 is the highest.
  int priority = 0;
  Duration waited = Duration::zero();
  Duration targetLatency = Duration::zero();
  /// Time left until the target latency is missed; may be negative.
  Duration timeToTarget = Duration::zero();
  /// Time left until the caller's deadline or the route's timeout.
  Duration timeLeft = Duration::zero();
  /// Expected service time on a server of normal speed.
  Duration work = Duration::zero();
  /// Answers which are ready but can't be delivered before this request's answer, since they follow
  /// it on the same connection.
  unsigned blockedAnswers = 0;
};

/// The situation in which a request waits.
struct WaitConditions
{
  /// Servers that may run the request, now or when they have room.
  unsigned usableServers = 0;
  /// Expected wait until one of them has room; 0 if it is not known.
  Duration expectedWait = Duration::zero();
  /// Whether the owner of the request's key is changing.
  bool moving = false;
  /// No server wants a request from this daemon for this long; 0 if one does, or if that is not
  /// known.
  Duration pausedFor = Duration::zero();
  /// Time until this daemon ends, if it is stopping.
  Duration untilStop = Duration::max();
  /// The expected wait is that behind the requests of all daemons for the same server: a request
  /// that can't meet its target latency is rejected, unless nothing else would use its room.
  bool contended = false;
  /// Other requests for the same server can still meet their target.
  bool othersInTime = false;
};

/// Whether a request goes on waiting, or why it is rejected.
enum class WaitDecision
{
  kWait,
  kTooLate,       ///< It can't be answered before its deadline.
  kNoServer,      ///< No server may run it, and none is expected to become available in time.
  kOverload,      ///< It has waited too long in the queue, or is expected to.
  kBlocksAnswers, ///< It has blocked ready answers on its connection for too long.
  kPaused,        ///< All servers have asked for a pause that ends too late for it.
  kStopping,      ///< This daemon ends before it could be answered.
};
inline constexpr EnumNames<7> kWaitDecisionNames = { "wait",     "too-late",   "no-server",
                                                     "overload", "holds-back", "paused",
                                                     "stopping" };

/// Whether a request that a server takes @p aWork for can be sent by a daemon that ends after
/// @p aUntilStop, and its answer be passed on.
bool FitsBeforeStop(Duration aWork, Duration aUntilStop);

/// Decides whether a request should go on waiting. This sheds load under overload: a request that
/// can't be answered in time is rejected early enough for the caller to do something else.
WaitDecision DecideWait(const WaitingRequest& aRequest, const WaitConditions& aQueue);

/// Rank of a request in its queue; the lowest is served first. Requests that can still meet their
/// target go before those that can't. Among them the rank weighs the time left to the target, the
/// priority and the blocked answers. It falls while a request waits, so that none starves.
double WaitingRank(const WaitingRequest& aRequest);

/// Time after which a rejected caller should retry: when room is expected, or not before servers
/// that have asked for a pause accept requests again; spread so that callers that were rejected
/// together don't retry together. @p aSpread: from 0 to 1, evenly distributed over requests.
Duration RetryAfter(const WaitingRequest& aRequest, const WaitConditions& aQueue, double aSpread);

} // namespace hawthornlug
