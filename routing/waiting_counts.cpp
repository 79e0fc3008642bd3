#include "routing/waiting_counts.h"

#include "core/hashing.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace hawthornlug {

std::uint32_t WaitingTargetOf(const std::string& aService)
{
  return static_cast<std::uint32_t>(HashOf(aService));
}

std::size_t WaitingLevelOf(int aPriority)
{
  return static_cast<std::size_t>(std::clamp(aPriority, 0, static_cast<int>(kWaitingLevels) - 1));
}

unsigned TotalOf(const WaitingLevels& aLevels)
{
  return std::accumulate(aLevels.begin(), aLevels.end(), 0U);
}

void AddWaiting(WaitingCounts& aCounts, const WaitingCounts& aMore)
{
  for (const auto& [target, levels] : aMore) {
    WaitingLevels& sum = aCounts[target];
    for (std::size_t n = 0; n < kWaitingLevels; ++n) {
      sum.at(n) += levels.at(n);
    }
  }
}

void LimitTargets(WaitingCounts& aCounts, std::size_t aMax)
{
  if (aCounts.size() <= aMax) {
    return;
  }
  std::vector<std::pair<unsigned, std::uint32_t>> byDemand;
  for (const auto& [target, levels] : aCounts) {
    byDemand.emplace_back(TotalOf(levels), target);
  }
  std::sort(byDemand.rbegin(), byDemand.rend());
  for (std::size_t n = aMax; n < byDemand.size(); ++n) {
    aCounts.erase(byDemand[n].second);
  }
}

void WaitingSummary::Put(const std::string& aSender, WaitingCounts aCounts, Instant aNow)
{
  mReports[aSender] = { std::move(aCounts), aNow };
}

void WaitingSummary::Expire(Instant aNow)
{
  std::erase_if(mReports, [this, aNow](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt >= mLifetime;
  });
}

WaitingCounts WaitingSummary::Total() const
{
  WaitingCounts total;
  for (const auto& [sender, report] : mReports) {
    AddWaiting(total, report.counts);
  }
  return total;
}

WaitingCounts WaitingSummary::WithoutSender(WaitingCounts aTotal, const std::string& aSender) const
{
  const auto report = mReports.find(aSender);
  if (report == mReports.end()) {
    return aTotal;
  }
  for (const auto& [target, levels] : report->second.counts) {
    const auto it = aTotal.find(target);
    if (it == aTotal.end()) {
      continue;
    }
    for (std::size_t n = 0; n < kWaitingLevels; ++n) {
      it->second.at(n) -= std::min(it->second.at(n), levels.at(n));
    }
  }
  std::erase_if(aTotal, [](const auto& aEntry) { return TotalOf(aEntry.second) == 0; });
  return aTotal;
}

} // namespace hawthornlug
