/// @file
/// Estimates of what requests cost: service time, remaining time and size of the answer.
#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hawthornlug {

/// What is known of a request before a server runs it.
struct RequestTraits
{
  std::string route;
  std::string service;
  std::string method;
  std::size_t bodyBytes = 0;
  /// The request's key if its service owns keys.
  std::optional<std::uint32_t> key;
};

/// One request that a server has served without queueing it.
struct ServedRequest
{
  Duration elapsed = Duration::zero();
  /// The server's service time relative to a server of normal speed.
  double relativeServiceTime = 1.0;
  /// What Of() returned for the request.
  Duration estimate = Duration::zero();
  std::size_t answerBytes = 0;
  /// The server was warming up, or reported that it was slow for a while.
  bool isUnusual = false;
};

/// Estimates costs from the requests that have been served. Times apply to a server of normal
/// speed.
class WorkEstimator
{
public:
  virtual ~WorkEstimator() = default;

  /// Expected service time; a share of the target latency until a request of the route has been
  /// served.
  virtual Duration Of(const RequestTraits& aRequest, Duration aTargetLatency) const = 0;
  virtual void OnServed(const RequestTraits& aRequest, const ServedRequest& aServed) = 0;
  /// Whether Of() follows from enough samples for servers to be compared by it.
  virtual bool IsMeasured(const std::string& aRoute) const = 0;
  /// Expected size of the answer in bytes; none before the first.
  virtual std::optional<std::size_t> AnswerBytesOf(const std::string& aRoute) const = 0;
  /// Mean remaining time of a request that was expected to take @p aWork and has been running for
  /// @p aElapsed.
  virtual Duration RemainingOf(const std::string& aRoute,
                               Duration aWork,
                               Duration aElapsed) const = 0;
  /// Mean remaining time of a running request of the service about which nothing else is known;
  /// @p aWork before the first sample.
  virtual Duration MeanRemainingOf(const std::string& aService, Duration aWork) const = 0;
  /// Mean absolute error of Of() divided by the mean service time, by route.
  virtual std::map<std::string, double> Errors() const = 0;
};

} // namespace hawthornlug
