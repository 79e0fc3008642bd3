#include "adapters/asio_timers.h"

#include <ctime>
#include <mutex>

namespace hawthornlug {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1000000;
constexpr std::int64_t kNanosPerMicro = 1000;

/// A repeating timer. Its callback does not run after Cancel() has returned.
class Repeater : public std::enable_shared_from_this<Repeater>
{
public:
  Repeater(asio::io_context& aContext,
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
    {
      const std::lock_guard lock(mMutex);
      if (aError || !mCallback) {
        return;
      }
      mCallback(mClock.Now());
    }
    Start();
  }

  asio::steady_timer mTimer;
  const TimerService& mClock;
  const Duration mInterval;
  std::recursive_mutex mMutex;
  std::function<void(Instant)> mCallback;
};

class Subscription : public TimerSubscription
{
public:
  explicit Subscription(std::shared_ptr<Repeater> aRepeater)
    : mRepeater(std::move(aRepeater))
  {
  }
  ~Subscription() override { mRepeater->Cancel(); }
  Subscription(const Subscription&) = delete;
  Subscription& operator=(const Subscription&) = delete;

private:
  std::shared_ptr<Repeater> mRepeater;
};

Instant BootTime()
{
  std::timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(Duration(now.tv_sec * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro));
}

std::unique_ptr<TimerSubscription> Repeat(asio::io_context& aContext,
                                          const TimerService& aClock,
                                          Duration aInterval,
                                          std::function<void(Instant)> aCallback)
{
  auto repeater = std::make_shared<Repeater>(aContext, aClock, aInterval, std::move(aCallback));
  repeater->Start();
  return std::make_unique<Subscription>(repeater);
}

} // namespace

AsioTimers::AsioTimers()
  : mGuard(asio::make_work_guard(mContext))
  , mThread([this] { mContext.run(); })
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
  return Repeat(mContext, *this, aInterval, std::move(aCallback));
}

Instant LoopTimers::Now() const
{
  return BootTime();
}

std::unique_ptr<TimerSubscription> LoopTimers::Every(Duration aInterval,
                                                     std::function<void(Instant)> aCallback)
{
  return Repeat(mContext, *this, aInterval, std::move(aCallback));
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
  asio::post(mPool, std::move(aTask));
}

void AsioWorkers::Join()
{
  mPool.join();
}

} // namespace hawthornlug
