/// @file
/// The thread of all HTTP traffic: callers' connections and calls to backend servers.
#pragma once

#include "http/client.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace hawthornlug {

/// Owns a thread with an event loop, and an HTTP client that runs on it.
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

  /// Runs @p aTask on the loop's thread: immediately if called on that thread, otherwise later.
  void Dispatch(std::function<void()> aTask);
  /// Runs @p aTask on the loop's thread and waits until it has returned.
  void DispatchAndWait(const std::function<void()>& aTask);
  /// Ends the thread. Completions of calls in progress are not called.
  void Stop();

private:
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mGuard;
  std::unique_ptr<http::Client> mClient;
  std::thread mThread;
};

} // namespace hawthornlug
