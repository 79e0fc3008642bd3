/// @file
/// The clock and the periodic timers of a daemon.
#pragma once

#include "core/instant.h"

#include <functional>
#include <memory>

namespace hawthornlug {

/// Keeps a periodic timer running; destroying the subscription stops the timer.
class TimerSubscription
{
public:
  virtual ~TimerSubscription() = default;
};

/// Returns the current time and runs periodic timers.
class TimerService
{
public:
  virtual ~TimerService() = default;

  /// Returns the current time of a monotonic clock that goes on while the host is suspended.
  virtual Instant Now() const = 0;

  /// Calls @p aCallback with the current time every @p aInterval until the subscription is
  /// destroyed.
  virtual std::unique_ptr<TimerSubscription> Every(Duration aInterval,
                                                   std::function<void(Instant)> aCallback) = 0;
};

} // namespace hawthornlug
