/// @file
/// What callers and operators ask of a daemon.
#pragma once

#include "routing/order.h"

#include <string>

namespace hawthornlug {

/// Limits on what a caller may send.
struct CallerLimits
{
  std::size_t maxKeyLength = 512;
  std::size_t maxBodyBytes = 1 << 20;
};

/// Serves callers' requests; blocks until the outcome is certain. Safe to use from any thread.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;

  /// Runs @p aOrder, whose service, key, method, target, headers, body and caller are set.
  virtual OrderAnswer Handle(Order& aOrder) = 0;
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
