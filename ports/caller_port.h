/// @file
/// What callers and operators ask of a daemon.
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

/// An order that is being served.
class OrderInProgress
{
public:
  virtual ~OrderInProgress() = default;

  /// Nobody waits for it any more. What only waits is dropped; a repeatable order that runs is
  /// broken off; one that may run just once goes on, since its caller may ask for it again.
  virtual void Abandon() = 0;
};

/// Serves callers' requests. Safe to use from any thread; never blocks.
class RequestHandler
{
public:
  using Done = std::function<void(const OrderAnswer&)>;

  virtual ~RequestHandler() = default;

  /// Runs @p aOrder, whose service, key, method, target, headers, body and caller are set.
  /// @p aDone is called once, on any thread, perhaps before this returns.
  virtual std::shared_ptr<OrderInProgress> Handle(Order aOrder, Done aDone) = 0;
};

/// Answers operators' questions, in JSON but for Metrics().
class OperatorHandler
{
public:
  virtual ~OperatorHandler() = default;

  virtual bool IsReady() const = 0;
  virtual std::string Status() const = 0;
  /// Empty if there is no such service.
  virtual std::string Explain(const std::string& aService, const std::string& aKey) const = 0;
  virtual std::string Metrics() const = 0;
};

} // namespace hawthornlug
