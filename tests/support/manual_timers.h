/// @file
/// A clock that a test moves, and timers that never fire by themselves.
#pragma once

#include "core/timer_service.h"

namespace hawthornlug::test {

class ManualTimers : public TimerService
{
public:
  Instant Now() const override { return now; }
  std::unique_ptr<TimerSubscription> Every(Duration, std::function<void(Instant)>) override
  {
    return nullptr;
  }

  Instant now{ seconds(1000) };
};

} // namespace hawthornlug::test
