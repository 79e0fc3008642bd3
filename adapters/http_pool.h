/// @file
/// Pool of keep-alive HTTP connections to one address.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornlug {

/// Sends each request on an idle connection, or on a new one if there is none. A connection whose
/// call failed is closed.
class HttpPool
{
public:
  /// @p aUrl is the base URL, such as http://127.0.0.1:8080. At most @p aMaxIdle idle connections
  /// are kept.
  HttpPool(std::string aUrl, std::size_t aMaxIdle, Duration aConnectTimeout);

  /// Sends @p aRequest and waits for the response. @p aTimeout applies to each read and write.
  /// Fails if the response has a body of more than 16 MiB.
  httplib::Result Send(const httplib::Request& aRequest, Duration aTimeout);

private:
  struct IdleClient
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
  std::vector<IdleClient> mIdleClients;
};

} // namespace hawthornlug
