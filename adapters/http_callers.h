/// @file
/// The HTTP interface for callers and operators.
#pragma once

#include "adapters/http_loop.h"
#include "core/errors.h"
#include "http/server.h"
#include "ports/caller_port.h"

#include <memory>
#include <string>

namespace hawthornlug {

/// Serves /{service}/{key}[/rest], /healthz, /readyz, /metrics, /-/status and /-/explain.
class HttpCallers : public http::Handler
{
public:
  HttpCallers(HttpLoop& aLoop,
              RequestHandler& aRequests,
              const OperatorHandler& aOperators,
              CallerLimits aLimits);
  ~HttpCallers() override;
  HttpCallers(const HttpCallers&) = delete;
  HttpCallers& operator=(const HttpCallers&) = delete;

  /// Starts listening. Fails with ListenError.
  Result<void> Listen(const std::string& aHost, int aPort);
  /// From now on, each connection is closed after its next response.
  void Drain();
  /// Stops accepting connections, waits up to @p aTimeout until all requests that have begun to
  /// arrive are answered, then closes all connections and returns.
  void Stop(Duration aTimeout);

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int aStatus, http::ReadState aState) override;

private:
  /// Answers a request to an operator endpoint, such as /metrics. Returns false, without answering,
  /// if the request is a caller's.
  bool HandleOperatorRequest(http::Exchange& aExchange) const;
  void HandleCallerRequest(const std::shared_ptr<http::Exchange>& aExchange);
  /// Sets the service, key and target of @p aOrder from the request target. Returns false if the
  /// service or key is missing, or the key is too long.
  bool ParseTarget(const http::Request& aRequest, Order& aOrder) const;
  bool IsIdle();

  HttpLoop& mLoop;
  RequestHandler& mRequests;
  const OperatorHandler& mOperators;
  const CallerLimits mLimits;
  std::unique_ptr<http::Server> mServer;
};

} // namespace hawthornlug
