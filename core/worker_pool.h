/// @file
/// A pool of threads that executes tasks.
#pragma once

#include <functional>

namespace hawthornlug {

/// Executes tasks on its own threads; the order of execution is unspecified.
class WorkerPool
{
public:
  virtual ~WorkerPool() = default;

  /// Queues @p aTask; never blocks.
  virtual void Post(std::function<void()> aTask) = 0;
};

} // namespace hawthornlug
