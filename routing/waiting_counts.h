/// @file
/// Requests that wait for servers, by target and priority level, as daemons report them.
#pragma once

#include "core/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hawthornlug {

/// Priority levels that are told apart: 0, 1, 2, and 3 and below.
inline constexpr std::size_t kWaitingLevels = 4;
/// Targets in one report; those with the fewest requests are left out.
inline constexpr std::size_t kMaxWaitingTargets = 64;

/// Requests of each priority level.
using WaitingLevels = std::array<unsigned, kWaitingLevels>;
/// Requests by target: the number of a server in load reports, or that of a service.
using WaitingCounts = std::map<std::uint32_t, WaitingLevels>;

/// The number that identifies a service without keys as a target.
std::uint32_t WaitingTargetOf(const std::string& aService);

/// The level of a request; 0 is the most urgent.
std::size_t WaitingLevelOf(int aPriority);

/// Requests of all levels.
unsigned TotalOf(const WaitingLevels& aLevels);

/// Adds each count of @p aMore to the one in @p aCounts.
void AddWaiting(WaitingCounts& aCounts, const WaitingCounts& aMore);

/// Keeps the @p aMax targets with the most requests.
void LimitTargets(WaitingCounts& aCounts, std::size_t aMax);

/// The latest report of each sender, and their sum. A report that is not renewed expires.
class WaitingSummary
{
public:
  /// Time after which a report expires, unless a longer one is set: most of the requests that
  /// waited then have been answered or rejected.
  static constexpr Duration kReportLifetime = milliseconds(500);

  explicit WaitingSummary(Duration aLifetime = kReportLifetime)
    : mLifetime(aLifetime)
  {
  }
  /// Replaces the sender's earlier report.
  void Put(const std::string& aSender, WaitingCounts aCounts, Instant aNow);
  /// Discards the sender's report.
  void Remove(const std::string& aSender) { mReports.erase(aSender); }
  /// Discards reports that have expired.
  void Expire(Instant aNow);
  /// The sum of all reports.
  WaitingCounts Total() const;
  /// @p aTotal, which must contain the sender's report, without that report.
  WaitingCounts WithoutSender(WaitingCounts aTotal, const std::string& aSender) const;
  bool IsEmpty() const { return mReports.empty(); }

private:
  struct Report
  {
    WaitingCounts counts;
    Instant receivedAt;
  };

  Duration mLifetime;
  std::map<std::string, Report> mReports;
};

} // namespace hawthornlug
