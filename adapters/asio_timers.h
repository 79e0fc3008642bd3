/// @file
/// Timers and worker threads on standalone Asio.
#pragma once

#include "core/timer_service.h"
#include "core/worker_pool.h"

#include <asio.hpp>
#include <thread>

namespace hawthornlug {

/// TimerService with a thread of its own, on which callbacks run. Its clock (CLOCK_BOOTTIME) also
/// counts the time while the machine is suspended.
class AsioTimers : public TimerService
{
public:
  AsioTimers();
  ~AsioTimers() override;
  AsioTimers(const AsioTimers&) = delete;
  AsioTimers& operator=(const AsioTimers&) = delete;

  Instant Now() const override;
  std::unique_ptr<TimerSubscription> Every(Duration aInterval,
                                           std::function<void(Instant)> aCallback) override;

private:
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mGuard;
  std::thread mThread;
};

/// TimerService whose callbacks run on the thread that runs the given context.
class LoopTimers : public TimerService
{
public:
  explicit LoopTimers(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  Instant Now() const override;
  std::unique_ptr<TimerSubscription> Every(Duration aInterval,
                                           std::function<void(Instant)> aCallback) override;

private:
  asio::io_context& mContext;
};

/// WorkerPool with a fixed number of threads.
class AsioWorkers : public WorkerPool
{
public:
  explicit AsioWorkers(std::size_t aThreads);
  ~AsioWorkers() override;
  AsioWorkers(const AsioWorkers&) = delete;
  AsioWorkers& operator=(const AsioWorkers&) = delete;

  void Post(std::function<void()> aTask) override;
  /// Waits until all posted tasks are done, then ends the threads.
  void Join();

private:
  asio::thread_pool mPool;
};

} // namespace hawthornlug
