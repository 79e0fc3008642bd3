/// @file
/// Threads that carry out tasks handed to them.
#pragma once

#include <functional>

namespace hawthornlug {

/// Carries out tasks on threads of its own, in no stated order.
class WorkerPool
{
public:
  virtual ~WorkerPool() = default;

  /// Queues @p aTask; never blocks.
  virtual void Post(std::function<void()> aTask) = 0;
};

} // namespace hawthornlug
