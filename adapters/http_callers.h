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

  /// Begins to listen; fails with ListenError.
  Result<void> Listen(const std::string& aHost, int aPort);
  /// From now on each answer closes its connection.
  void Drain();
  /// Takes no new connections, answers what is in progress for up to @p aPatience, then returns.
  void Stop(Duration aPatience);

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int aStatus, http::ReadState aState) override;

private:
  /// Answers operators' addresses; false if the request is a caller's.
  bool ServeOperator(http::Exchange& aExchange) const;
  void ServeCaller(const std::shared_ptr<http::Exchange>& aExchange);
  /// Reads service, key and target; false if there are none.
  bool ReadTarget(const http::Request& aRequest, Order& aOrder) const;
  std::size_t Unanswered();

  HttpLoop& mLoop;
  RequestHandler& mRequests;
  const OperatorHandler& mOperators;
  const CallerLimits mLimits;
  std::unique_ptr<http::Server> mServer;
};

} // namespace hawthornlug
