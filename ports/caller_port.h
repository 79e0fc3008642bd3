/// @file
/// The interfaces through which a daemon serves callers' requests and operators' queries.
#pragma once

#include "routing/order.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornlug {

/// Limits on what a caller may send.
struct CallerLimits
{
  std::size_t maxKeyLength = 512;
  std::size_t maxBodyBytes = 1 << 20;
  std::size_t maxConnections = 1024;
};

/// A handle on an order (a caller's request on its way to a backend server) that is in progress.
class OrderInProgress
{
public:
  virtual ~OrderInProgress() = default;

  /// To be called when the caller no longer waits for the answer. An order that has not started is
  /// dropped; a running order is cancelled if its method is repeatable. A running order that may be
  /// executed only once continues, since its caller may send the request again to get its outcome.
  virtual void Abandon() = 0;
};

/// Serves callers' requests. Safe to use from any thread; its calls never block.
class RequestHandler
{
public:
  using Done = std::function<void(const OrderAnswer&)>;

  virtual ~RequestHandler() = default;

  /// Serves @p aOrder, whose service, key, method, target, headers, body and caller must be set.
  /// @p aDone is called once with the answer, on any thread, possibly before this returns.
  virtual std::shared_ptr<OrderInProgress> Handle(Order aOrder, Done aDone) = 0;
};

/// Answers operators' queries: Status() and Explain() in JSON, Metrics() as Prometheus text.
class OperatorHandler
{
public:
  virtual ~OperatorHandler() = default;

  /// Whether the daemon is ready to serve requests.
  virtual bool IsReady() const = 0;
  virtual std::string Status() const = 0;
  /// Describes how a request for @p aKey is routed; empty if there is no such service.
  virtual std::string Explain(const std::string& aService, const std::string& aKey) const = 0;
  virtual std::string Metrics() const = 0;
};

} // namespace hawthornlug
