/// @file
/// The servers' relative service times, learned from the measurements of all daemons together.
#pragma once

#include "core/ids.h"
#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace hawthornlug {

/// Number and sum of the measured service times of one server, relative to a server of normal
/// speed.
struct ServiceTimeSum
{
  unsigned samples = 0;
  double relativeTimes = 0.0;
};

/// Measurements by the numbers that identify servers in load reports.
using ServiceTimeSums = std::map<std::uint32_t, ServiceTimeSum>;

/// Adds the measurements of @p aMore to those in @p aSums.
void AddSums(ServiceTimeSums& aSums, const ServiceTimeSums& aMore);

/// @p aTotal, which must contain @p aPart, without it.
ServiceTimeSums SumsWithout(ServiceTimeSums aTotal, const ServiceTimeSums& aPart);

/// Estimates how long each server takes for work, relative to the mean of its service.
///
/// Each daemon measures a server too rarely to know its speed: with 88 daemons about once in eight
/// seconds. Therefore the daemons exchange sums and numbers of samples, and each adds up all of
/// them. A server with few samples counts partly as a server of normal speed.
class ServerSpeeds
{
public:
  /// Adds or updates a server. Another incarnation starts without samples.
  void Put(std::uint32_t aNumber,
           const std::string& aService,
           Incarnation aIncarnation,
           Instant aNow);
  void Remove(std::uint32_t aNumber);
  /// Records a measurement of this daemon: the service time divided by the expected one on a server
  /// of normal speed. Values far from the server's estimate are clamped, so that a rare long
  /// request does not change it much.
  void OnSample(std::uint32_t aNumber, double aRelativeTime, Instant aNow);
  /// Adds measurements of other daemons. Returns false, and adds nothing of them, for each server
  /// whose mean is not plausible; servers that are not registered are left out silently.
  bool Add(const ServiceTimeSums& aSums, Instant aNow);
  /// This daemon's measurements since the last call.
  ServiceTimeSums TakeOwnSums();

  /// The server's service time relative to the mean of its service; 1 while nothing is known.
  double RelativeServiceTimeOf(std::uint32_t aNumber, Instant aNow) const;
  std::size_t ServerCount() const { return mServers.size(); }
  /// Number of servers with enough samples for the estimate to follow from them.
  std::size_t KnownServers(Instant aNow) const;

private:
  struct Server
  {
    std::string service;
    Incarnation incarnation = 0;
    Instant startedAt;
    /// Decayed number and sum of the samples, as of updatedAt.
    double samples = 0.0;
    double relativeTimes = 0.0;
    Instant updatedAt;
  };
  struct Service
  {
    std::set<std::uint32_t> servers;
    /// Mean of the samples' means over the servers, and when it was computed.
    double mean = 1.0;
    Instant meanAt;
    bool hasMean = false;
  };

  static double SamplesOf(const Server& aServer, Instant aNow);
  static void AddTo(Server& aServer, const ServiceTimeSum& aSum, Instant aNow);
  /// The server's estimate in the scale of the samples, which its service's mean defines.
  double UnscaledEstimate(const Server& aServer, double aServiceMean, Instant aNow) const;
  double MeanOf(const std::string& aService, Instant aNow) const;

  std::unordered_map<std::uint32_t, Server> mServers;
  /// The means are cached, since each choice of a server needs them.
  mutable std::map<std::string, Service> mServices;
  ServiceTimeSums mOwnSums;
};

} // namespace hawthornlug
