/// @file
/// Expected service time of each route.
#pragma once

#include "limits/work_estimator.h"

namespace hawthornlug {

/// Estimates the service time of each route on a server of normal speed from served requests, and
/// nothing else.
class RouteWork : public WorkEstimator
{
public:
  /// Expected service time of a request; a share of the target latency until one has been served.
  Duration Of(const std::string& aRoute, Duration aTargetLatency) const;
  /// Records that a request took @p aElapsed, without queueing, on a server that takes
  /// @p aRelativeServiceTime times as long as one of normal speed.
  void OnServed(const std::string& aRoute, Duration aElapsed, double aRelativeServiceTime);

  Duration Of(const RequestTraits& aRequest, Duration aTargetLatency) const override
  {
    return Of(aRequest.route, aTargetLatency);
  }
  void OnServed(const RequestTraits& aRequest, const ServedRequest& aServed) override
  {
    OnServed(aRequest.route, aServed.elapsed, aServed.relativeServiceTime);
  }
  bool IsMeasured(const std::string&) const override { return false; }
  std::optional<std::size_t> AnswerBytesOf(const std::string&) const override { return {}; }
  Duration RemainingOf(const std::string&, Duration aWork, Duration) const override
  {
    return aWork;
  }
  Duration MeanRemainingOf(const std::string&, Duration aWork) const override { return aWork; }
  std::map<std::string, double> Errors() const override { return {}; }

private:
  struct Estimate
  {
    /// Moving average of the service time in microseconds.
    double micros = 0.0;
    unsigned samples = 0;
  };

  std::map<std::string, Estimate> mEstimates;
};

} // namespace hawthornlug
