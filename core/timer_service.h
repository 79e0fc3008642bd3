/// @file
/// Timers that parts of the program subscribe to.
#pragma once

#include "core/instant.h"

#include <functional>
#include <memory>

namespace hawthornlug {

/// Keeps a timer going; letting go of it stops the timer.
class TimerSubscription
{
public:
  virtual ~TimerSubscription() = default;
};

/// Tells the time and calls subscribers at intervals.
class TimerService
{
public:
  virtual ~TimerService() = default;

  /// The present time on the clock that counts through suspension.
  virtual Instant Now() const = 0;

  /// Calls @p aCallback every @p aInterval until the subscription is let go.
  virtual std::unique_ptr<TimerSubscription> Every(Duration aInterval,
                                                   std::function<void(Instant)> aCallback) = 0;
};

} // namespace hawthornlug
