/// @file
/// Which waiting request goes first, and which should wait no longer.
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
  /// Until the target latency is missed; may be negative.
  Duration targetLeft = Duration::zero();
  /// Until the caller or the route's timeout gives up.
  Duration timeLeft = Duration::zero();
  /// How long a server is expected to take.
  Duration work = Duration::zero();
  /// Answers of the same connection that can't be delivered before this one's.
  unsigned answersBehind = 0;
};

/// What stands before a request.
struct WaitingQueue
{
  /// Servers that could take it sooner or later.
  unsigned usableServers = 0;
  /// Expected wait until one has room, as far as it is known.
  Duration expectedWait = Duration::zero();
  /// The owner of its key is changing.
  bool moving = false;
};

enum class WaitVerdict
{
  kWait,
  kTooLate,   ///< It can't be served before its caller gives up.
  kNoServer,  ///< No server may have it, and none is about to.
  kOverload,  ///< The queue before it is too long.
  kHoldsBack, ///< Answers that are ready wait for it.

};
inline constexpr EnumNames<5> kWaitVerdictNames = { "wait",
                                                    "too-late",
                                                    "no-server",
                                                    "overload",
                                                    "holds-back" };

/// Whether a request should go on waiting. It answers overload: what can't be served is rejected
/// early enough for the caller to do something else.
WaitVerdict JudgeWaiting(const WaitingRequest& aRequest, const WaitingQueue& aQueue);

/// Where a request stands in its queue: lower goes first. Requests that can still meet their
/// target go before those that can't, then by priority, then by what is left; each waits its way
/// up, so that none starves.
double WaitingRank(const WaitingRequest& aRequest);

/// When a rejected caller should come back: when there is room, spread so that callers that were
/// rejected together don't come back together. @p aSpread: from 0 to 1, even over requests.
Duration RetryAfter(const WaitingRequest& aRequest, const WaitingQueue& aQueue, double aSpread);

} // namespace hawthornlug
