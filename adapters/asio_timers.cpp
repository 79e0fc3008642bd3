#include "adapters/asio_timers.h"

#include "adapters/event_loop.h"

#include <ctime>
#include <mutex>

namespace hawthornlug {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;
constexpr std::int64_t kNanosPerMicro = 1000;

/// A repeating timer. Its callback does not run after Cancel() has returned. The mutex is
/// recursive, since the callback may cancel its own timer.
class RepeatingTimer : public std::enable_shared_from_this<RepeatingTimer>
{
public:
  RepeatingTimer(asio::io_context& aContext,
                 const TimerService& aClock,
                 Duration aInterval,
                 std::function<void(Instant)> aCallback)
    : mTimer(aContext)
    , mClock(aClock)
    , mInterval(aInterval)
    , mCallback(std::move(aCallback))
  {
  }

  void Start()
  {
    mTimer.expires_after(mInterval);
    mTimer.async_wait(
      [self = shared_from_this()](const asio::error_code& aError) { self->Fire(aError); });
  }

  void Cancel()
  {
    const std::lock_guard lock(mMutex);
    mCallback = nullptr;
  }

private:
  void Fire(const asio::error_code& aError)
  {
    std::exception_ptr failure;
    {
      const std::lock_guard lock(mMutex);
      if (aError || !mCallback) {
        return;
      }
      try {
        mCallback(mClock.Now());
      } catch (...) {
        // The timer must go on; the event loop reports the exception.
        failure = std::current_exception();
      }
    }
    Start();
    if (failure) {
      std::rethrow_exception(failure);
    }
  }

  asio::steady_timer mTimer;
  const TimerService& mClock;
  const Duration mInterval;
  std::recursive_mutex mMutex;
  std::function<void(Instant)> mCallback;
};

/// Cancels the timer when it is destroyed.
class RepeatingTimerSubscription : public TimerSubscription
{
public:
  explicit RepeatingTimerSubscription(std::shared_ptr<RepeatingTimer> aTimer)
    : mRepeatingTimer(std::move(aTimer))
  {
  }
  ~RepeatingTimerSubscription() override { mRepeatingTimer->Cancel(); }
  RepeatingTimerSubscription(const RepeatingTimerSubscription&) = delete;
  RepeatingTimerSubscription& operator=(const RepeatingTimerSubscription&) = delete;

private:
  std::shared_ptr<RepeatingTimer> mRepeatingTimer;
};

/// Returns the time since boot, including time spent suspended.
Instant BootTime()
{
  std::timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(Duration(now.tv_sec * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro));
}

std::unique_ptr<TimerSubscription> StartRepeatingTimer(asio::io_context& aContext,
                                                       const TimerService& aClock,
                                                       Duration aInterval,
                                                       std::function<void(Instant)> aCallback)
{
  auto timer = std::make_shared<RepeatingTimer>(aContext, aClock, aInterval, std::move(aCallback));
  timer->Start();
  return std::make_unique<RepeatingTimerSubscription>(timer);
}

} // namespace

AsioTimers::AsioTimers()
  : mGuard(asio::make_work_guard(mContext))
  , mThread([this] { RunEventLoop(mContext, WriteTaskError); })
{
}

AsioTimers::~AsioTimers()
{
  mContext.stop();
  mThread.join();
}

Instant AsioTimers::Now() const
{
  return BootTime();
}

std::unique_ptr<TimerSubscription> AsioTimers::Every(Duration aInterval,
                                                     std::function<void(Instant)> aCallback)
{
  return StartRepeatingTimer(mContext, *this, aInterval, std::move(aCallback));
}

Instant LoopTimers::Now() const
{
  return BootTime();
}

std::unique_ptr<TimerSubscription> LoopTimers::Every(Duration aInterval,
                                                     std::function<void(Instant)> aCallback)
{
  return StartRepeatingTimer(mContext, *this, aInterval, std::move(aCallback));
}

AsioWorkers::AsioWorkers(std::size_t aThreads)
  : mPool(aThreads)
{
}

AsioWorkers::~AsioWorkers()
{
  mPool.join();
}

void AsioWorkers::Post(std::function<void()> aTask)
{
  asio::post(mPool, [task = std::move(aTask)] { RunGuarded(task, WriteTaskError); });
}

void AsioWorkers::Join()
{
  mPool.join();
}

} // namespace hawthornlug
