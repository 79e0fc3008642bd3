/// @file
/// Keep-alive HTTP connections to one address.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornlug {

/// Hands out connections for one call each. A connection whose call failed is closed.
class HttpPool
{
public:
  /// @p aUrl is like http://127.0.0.1:8080; at most @p aMaxIdle idle connections are kept.
  HttpPool(std::string aUrl, std::size_t aMaxIdle, Duration aConnectTimeout);

  /// Carries out @p aRequest, waiting up to @p aTimeout for the answer.
  httplib::Result Send(const httplib::Request& aRequest, Duration aTimeout);

private:
  struct Idle
  {
    std::unique_ptr<httplib::Client> client;
    std::chrono::steady_clock::time_point since;
  };

  std::unique_ptr<httplib::Client> Acquire();
  void Release(std::unique_ptr<httplib::Client> aClient);

  const std::string mUrl;
  const std::size_t mMaxIdle;
  const Duration mConnectTimeout;
  std::mutex mMutex;
  std::vector<Idle> mIdle;
};

} // namespace hawthornlug
