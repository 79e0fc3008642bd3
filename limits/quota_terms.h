/// @file
/// Types that the parts of the organisations' quotas share.
#pragma once

#include "core/instant.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace hawthornlug {

/// Identifies an organisation in messages.
using OrganisationNumber = std::uint32_t;

/// What all daemons together may send to servers for an organisation.
struct QuotaLimit
{
  /// Requests per second; 0 for no limit.
  double ratePerSecond = 0.0;
  /// Requests that may be sent beyond the rate after a time of less use.
  double burst = 0.0;

  bool operator==(const QuotaLimit&) const = default;
};
using QuotaLimits = std::unordered_map<OrganisationNumber, QuotaLimit>;

/// By how much the operators allow an organisation to exceed its quota: in any window, by a part of
/// what the quota permits in it, plus some requests. Only pools that start use it.
struct QuotaTolerance
{
  /// 0 for no tolerance.
  Duration window = Duration::zero();
  /// Part of what the quota permits.
  double overshoot = 0.0;
  /// Number of requests.
  double slack = 0.0;

  bool operator==(const QuotaTolerance&) const = default;
};

/// Requests by which an organisation may exceed its quota in any window.
inline double ToleratedExcess(const QuotaLimit& aLimit, const QuotaTolerance& aTolerance)
{
  const double quota = aLimit.ratePerSecond * InSeconds(aTolerance.window) + aLimit.burst;
  return aTolerance.overshoot * quota + aTolerance.slack;
}

/// What a pool's member reports about one organisation.
struct QuotaDemand
{
  /// Tokens spent since the start of the member's run.
  std::uint64_t used = 0;
  /// Tokens that the member holds and has not spent.
  std::uint32_t held = 0;
  /// Further tokens that it asks for...
  std::uint32_t wanted = 0;
  /// ...and how many of them are for requests that wait or were rejected since the last report.
  std::uint32_t waiting = 0;
};
using QuotaDemands = std::map<OrganisationNumber, QuotaDemand>;

/// A pool's answer to a demand.
struct QuotaGrant
{
  std::uint32_t granted = 0;
  /// The quota is used up: requests that got no token are to be rejected.
  bool exhausted = false;
  /// When there will be tokens for them.
  Duration retryAfter = Duration::zero();
};
using QuotaGrants = std::map<OrganisationNumber, QuotaGrant>;

/// For how long a pool's statement that a quota is used up counts.
inline constexpr Duration kQuotaExhaustedMemory = milliseconds(500);

/// Estimates the rate of events, with the weight of past ones falling by 1/e each second.
class QuotaUseRate
{
public:
  void Add(double aEvents, Instant aNow)
  {
    mPerSecond = PerSecond(aNow) + aEvents;
    mAt = aNow;
  }
  double PerSecond(Instant aNow) const { return mPerSecond * std::exp(-InSeconds(aNow - mAt)); }
  /// Tokens to hold in advance, so that requests do not wait for the pool. None where requests are
  /// rare, since tokens that are held are not available elsewhere.
  std::uint32_t Reserve(Instant aNow) const
  {
    // A single request counts as 1.
    constexpr double kMinRate = 1.5;
    // A report, its answer, and the time until the next report.
    constexpr double kReserveSeconds = 0.3;
    constexpr double kMaxReserve = 1e6;
    const double rate = PerSecond(aNow);
    return rate < kMinRate
             ? 0
             : static_cast<std::uint32_t>(std::min(std::ceil(rate * kReserveSeconds), kMaxReserve));
  }

private:
  double mPerSecond = 0.0;
  Instant mAt;
};

} // namespace hawthornlug
