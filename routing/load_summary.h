/// @file
/// Adds up the requests in flight at servers that several daemons report.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>

namespace hawthornlug {

/// Requests in flight, by the numbers that identify servers in load reports.
using InFlightCounts = std::map<std::uint32_t, unsigned>;

/// Adds each count of @p aMore to the one in @p aCounts.
void AddCounts(InFlightCounts& aCounts, const InFlightCounts& aMore);

/// The latest report of each sender, and their sum. A report that is not renewed expires.
class LoadSummary
{
public:
  /// Replaces the sender's earlier report.
  void Put(const std::string& aSender, InFlightCounts aCounts, Instant aNow);
  /// Discards reports that have expired.
  void Expire(Instant aNow);
  /// The sum of all reports.
  InFlightCounts Total() const;
  /// @p aTotal, which must contain the sender's report, without that report: what the others have
  /// in flight.
  InFlightCounts WithoutSender(InFlightCounts aTotal, const std::string& aSender) const;
  bool IsEmpty() const { return mReports.empty(); }

  /// Calls @p aVisit with the id of each sender.
  template<typename Visitor>
  void ForEachSender(Visitor aVisit) const
  {
    for (const auto& [sender, report] : mReports) {
      aVisit(sender);
    }
  }

private:
  struct Report
  {
    InFlightCounts counts;
    Instant receivedAt;
  };

  std::map<std::string, Report> mReports;
};

} // namespace hawthornlug
