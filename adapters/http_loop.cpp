#include "adapters/http_loop.h"

#include <future>

namespace hawthornlug {

HttpLoop::HttpLoop()
  : mGuard(asio::make_work_guard(mContext))
  , mClient(std::make_unique<http::Client>(mContext))
  , mThread([this] { mContext.run(); })
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
  std::promise<void> done;
  Dispatch([&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

void HttpLoop::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

} // namespace hawthornlug
