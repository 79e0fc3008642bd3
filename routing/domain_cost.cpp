#include "routing/domain_cost.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Smallest cost, as a share of the target latency: the way to another domain and back (twice
/// 0.9 ms), and older knowledge of the servers there.
constexpr double kMinShare = 0.02;
/// Bytes that cost as much as a whole target latency. A request that moves so much stays as long as
/// its own domain answers within the target latency.
constexpr double kBytesOfTarget = 90000.0;
/// Largest cost as a share of the target latency; more bytes change nothing, since only a request
/// that would miss its target goes anyway.
constexpr double kMaxShare = 1.0;
constexpr double kMissedTargetShare = 1.1;
/// Cost of a server whose load is not known, as a share of the service time: a server that is full
/// for about a third of the time, with requests that take about one service time more.
constexpr double kUnknownLoadShare = 0.3;
/// Share of the time to the target within which the own domain must answer. Other daemons wait for
/// the same slot; of several that wait, one gets it.
constexpr double kOwnDomainMargin = 0.25;

} // namespace

double OtherDomainCost(std::size_t aBytes, Duration aTargetLatency)
{
  const double share = kMinShare + static_cast<double>(aBytes) / kBytesOfTarget;
  return std::min(kMaxShare, share) * InSeconds(aTargetLatency);
}

double MissedTargetCost(Duration aTargetLatency)
{
  return kMissedTargetShare * InSeconds(aTargetLatency);
}

double UnknownLoadCost(Duration aWork)
{
  return kUnknownLoadShare * InSeconds(aWork);
}

bool WaitsForOwnDomain(double aOwnCost,
                       Duration aOwnCompletion,
                       double aOtherCost,
                       Duration aTimeToTarget)
{
  return aOwnCost <= aOtherCost && aOwnCompletion <= Scaled(aTimeToTarget, kOwnDomainMargin);
}

} // namespace hawthornlug
