/// @file
/// When a second attempt is worth while beside one that has not been answered yet.
#pragma once

#include "core/instant.h"

namespace hawthornlug {

/// A request that runs at one server.
struct RunningRequest
{
  Instant sentAt;
  /// When its target latency is missed.
  Instant targetAt;
  /// How long a server of normal speed takes.
  Duration work = Duration::zero();
};

/// When to send a second attempt: at the last moment at which it can still meet the target, but
/// not while the first is likely to be answered anyway. It answers servers that are slow for a
/// moment: their requests are the ones that are late.
Instant HedgeTime(const RunningRequest& aRequest);

} // namespace hawthornlug
