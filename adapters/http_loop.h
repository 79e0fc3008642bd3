/// @file
/// The thread that carries the HTTP engine: callers' connections and calls to backend servers.
#pragma once

#include "http/client.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace hawthornlug {

/// Runs an event loop on a thread of its own, and one HTTP client on it.
class HttpLoop
{
public:
  HttpLoop();
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  asio::io_context& Context() { return mContext; }
  /// To be used on the loop's thread only.
  http::Client& Client() { return *mClient; }

  /// Runs @p aTask on the loop's thread: at once if called there.
  void Dispatch(std::function<void()> aTask);
  /// Runs @p aTask on the loop's thread and returns when that is done.
  void DispatchAndWait(const std::function<void()>& aTask);
  /// Ends the thread; what is under way is dropped without completion.
  void Stop();

private:
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mGuard;
  std::unique_ptr<http::Client> mClient;
  std::thread mThread;
};

} // namespace hawthornlug
