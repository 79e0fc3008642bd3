#include "routing/load_summary.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Senders repeat unchanged reports more often than this.
constexpr Duration kReportLifetime = milliseconds(1500);

} // namespace

void AddCounts(InFlightCounts& aCounts, const InFlightCounts& aMore)
{
  for (const auto& [server, n] : aMore) {
    aCounts[server] += n;
  }
}

void LoadSummary::Put(const std::string& aSender, InFlightCounts aCounts, Instant aNow)
{
  mReports[aSender] = { std::move(aCounts), aNow };
}

void LoadSummary::Expire(Instant aNow)
{
  std::erase_if(mReports, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt >= kReportLifetime;
  });
}

InFlightCounts LoadSummary::Total() const
{
  InFlightCounts total;
  for (const auto& [sender, report] : mReports) {
    AddCounts(total, report.counts);
  }
  return total;
}

InFlightCounts LoadSummary::WithoutSender(InFlightCounts aTotal, const std::string& aSender) const
{
  const auto report = mReports.find(aSender);
  if (report == mReports.end()) {
    return aTotal;
  }
  for (const auto& [server, n] : report->second.counts) {
    const auto it = aTotal.find(server);
    if (it != aTotal.end()) {
      it->second -= std::min(it->second, n);
    }
  }
  std::erase_if(aTotal, [](const auto& aEntry) { return aEntry.second == 0; });
  return aTotal;
}

} // namespace hawthornlug
