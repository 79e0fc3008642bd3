/// @file
/// The work that this daemon's requests at a server still require.
#pragma once

#include "limits/work_estimator.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hawthornlug {

/// What a request that is sent to a server is expected to cost.
struct RunningWork
{
  std::string route;
  /// Expected service time on a server of normal speed; 0 if it is not known.
  Duration work = Duration::zero();
};

/// This daemon's requests at one server, with what they are expected to cost.
class OutstandingWork
{
public:
  /// Returns the number by which Remove() identifies the request. @p aRelativeServiceTime: that of
  /// the server at @p aSentAt.
  std::uint64_t Add(RunningWork aWork, double aRelativeServiceTime, Instant aSentAt);
  void Remove(std::uint64_t aRequest) { mRequests.erase(aRequest); }
  std::size_t Requests() const { return mRequests.size(); }
  /// Sum of the requests' mean remaining times on a server of normal speed.
  Duration Remaining(const WorkEstimator& aEstimates, Instant aNow) const;

private:
  struct Request
  {
    RunningWork work;
    double relativeServiceTime = 1.0;
    Instant sentAt;
  };

  std::uint64_t mLastNumber = 0;
  std::map<std::uint64_t, Request> mRequests;
};

/// Expected time until one of @p aSlots slots becomes free for a request that is preceded by
/// @p aOutstanding others with a sum of remaining times of @p aRemaining; 0 while one is free.
Duration TimeToFreeSlot(unsigned aOutstanding, unsigned aSlots, Duration aRemaining);

} // namespace hawthornlug
