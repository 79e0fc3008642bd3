/// @file
/// A server for tests whose calls block.
#pragma once

#include "tests/support/answer_forms.h"
#include "tests/support/loopback.h"
#include "tests/support/raw_server.h"

#include <string>
#include <thread>

namespace hawthornlug::testing {

/// A server on a thread of its own that answers all requests with one form.
class ServerOnThread
{
public:
  explicit ServerOnThread(const AnswerForm& aForm)
    : mHandler(aForm.bytes, aForm.ends)
    , mServer(mContext, FreeEndpoint(mContext), mHandler)
    , mThread([this] { mContext.run(); })
  {
  }
  ~ServerOnThread()
  {
    mContext.stop();
    mThread.join();
  }
  ServerOnThread(const ServerOnThread&) = delete;
  ServerOnThread& operator=(const ServerOnThread&) = delete;

  std::string Url() const { return "http://" + mServer.Address(); }

private:
  asio::io_context mContext;
  FixedAnswer mHandler;
  RawServer mServer;
  std::thread mThread;
};

} // namespace hawthornlug::testing
