/// @file
/// The HTTP interface for callers and operators.
#pragma once

#include "core/errors.h"
#include "ports/caller_port.h"

#include <httplib.h>
#include <string>
#include <thread>

namespace hawthornlug {

/// Serves /{service}/{key}[/rest], /healthz, /readyz, /metrics, /-/status and /-/explain.
class HttpCallers
{
public:
  HttpCallers(RequestHandler& aRequests,
              const OperatorHandler& aOperators,
              CallerLimits aLimits,
              std::size_t aThreads);
  ~HttpCallers();
  HttpCallers(const HttpCallers&) = delete;
  HttpCallers& operator=(const HttpCallers&) = delete;

  /// Begins to listen; fails with ListenError.
  Result<void> Listen(const std::string& aHost, int aPort);
  /// Takes no new connections, answers what is in progress, then returns.
  void Stop();

private:
  void AddRoutes();
  /// Answers operators' addresses; false if the request is a caller's.
  bool ServeOperator(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ServeCaller(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool ReadTarget(const httplib::Request& aRequest, Order& aOrder) const;

  RequestHandler& mRequests;
  const OperatorHandler& mOperators;
  const CallerLimits mLimits;
  httplib::Server mServer;
  std::thread mThread;
};

} // namespace hawthornlug
