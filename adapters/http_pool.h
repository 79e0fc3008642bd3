/// @file
/// Blocking HTTP calls to one address, over pooled keep-alive connections.
#pragma once

#include "core/instant.h"
#include "http/client.h"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlug {

/// Sends each request on an idle connection, or on a new one if there is none. A connection whose
/// call failed is closed. Safe to use from any thread.
class HttpPool
{
public:
  /// @p aUrl is the base URL, such as http://127.0.0.1:8080; the host may be a name. At most
  /// @p aMaxIdle idle connections are kept.
  HttpPool(std::string_view aUrl, std::size_t aMaxIdle);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Sends @p aRequest, whose Host header is set here, and waits for the whole response, for
  /// @p aTimeout at most. Fails if the response has a header of more than 16 KiB or a body of more
  /// than 16 MiB.
  http::CallOutcome Send(http::Request aRequest, Duration aTimeout);

private:
  struct BlockingClient;

  std::unique_ptr<BlockingClient> Acquire();
  void Release(std::unique_ptr<BlockingClient> aClient);
  /// Addresses of the host, each with its port; empty if its name is not known.
  std::vector<std::string> Addresses() const;

  const std::string mHostPort;
  const std::size_t mMaxIdle;
  std::mutex mMutex;
  std::vector<std::unique_ptr<BlockingClient>> mIdleClients;
};

} // namespace hawthornlug
