/// @file
/// When to send a hedge: a second attempt at another server while the first is still unanswered.
#pragma once

#include "core/instant.h"

namespace hawthornlug {

/// A request that has been sent to one server and is not answered yet.
struct RunningRequest
{
  Instant sentAt;
  /// When its target latency will have passed.
  Instant targetAt;
  /// Expected service time on a server of normal speed.
  Duration work = Duration::zero();
};

/// Returns when to send a second attempt: at the last moment at which it can still meet the target,
/// but not while the first is likely to be answered anyway. This helps against servers that are
/// slow for a moment, since their requests are the ones that are late.
Instant HedgeTime(const RunningRequest& aRequest);

} // namespace hawthornlug
