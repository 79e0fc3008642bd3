#include "adapters/http_loop.h"

#include "adapters/event_loop.h"

#include <future>

namespace hawthornlug {

HttpLoop::HttpLoop()
  : mGuard(asio::make_work_guard(mContext))
  , mClient(std::make_unique<http::Client>(mContext))
  , mThread([this] { RunEventLoop(mContext, WriteTaskError); })
{
}

HttpLoop::~HttpLoop()
{
  Stop();
}

void HttpLoop::Dispatch(std::function<void()> aTask)
{
  asio::dispatch(mContext, std::move(aTask));
}

void HttpLoop::DispatchAndWait(const std::function<void()>& aTask)
{
  // Shared ownership: the loop may still be inside set_value() when the waiting thread returns.
  const auto done = std::make_shared<std::promise<void>>();
  std::future<void> finished = done->get_future();
  Dispatch([&aTask, done] {
    aTask();
    done->set_value();
  });
  finished.wait();
}

void HttpLoop::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

} // namespace hawthornlug
