#include "runtime/load_reporter.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Shortest interval between two reports to the same audience.
constexpr Duration kMinReportInterval = milliseconds(20);
/// Unchanged counts are reported again after this time, before the other daemons discard them.
constexpr Duration kRefreshInterval = milliseconds(700);
/// Limits of the messages that a daemon sends to its own domain and to the others, so that this
/// traffic, and the processor time for it, does not grow with the number of daemons.
constexpr unsigned kOwnDomainMessagesPerSecond = 200;
constexpr unsigned kForeignMessagesPerSecond = 150;

} // namespace

LoadReporter::LoadReporter(const ServerSelector& aSelector, Mesh& aMesh)
  : mSelector(aSelector)
  , mMesh(aMesh)
{
}

void LoadReporter::Tick(Instant aNow)
{
  Report(mOwnDomain, mSelector.InFlight(), IntervalFor(mOwnDomain.audience), aNow);
  Report(
    mOtherDomains, mSelector.InFlightAtSharedServers(), IntervalFor(mOtherDomains.audience), aNow);
}

Duration LoadReporter::IntervalFor(Mesh::Audience aAudience) const
{
  const auto peers = static_cast<Duration::rep>(mMesh.PeersIn(aAudience));
  const unsigned limit = aAudience == Mesh::Audience::kOwnDomain ? kOwnDomainMessagesPerSecond
                                                                 : kForeignMessagesPerSecond;
  return std::max<Duration>(kMinReportInterval, Duration(seconds(1)) * peers / limit);
}

void LoadReporter::Report(LastReport& aLast, Counts aCounts, Duration aInterval, Instant aNow)
{
  if (aNow - aLast.sentAt < aInterval) {
    return;
  }
  const bool refresh = !aCounts.empty() && aNow - aLast.sentAt > kRefreshInterval;
  if (aCounts == aLast.counts && !refresh) {
    return;
  }
  wire::Envelope message;
  // Sent also when nothing is in flight any more: the other daemons must drop the earlier counts.
  wire::RouterLoad* const load = message.mutable_load();
  for (const auto& [server, n] : aCounts) {
    load->add_servers(server);
    load->add_counts(n);
  }
  aLast.counts = std::move(aCounts);
  aLast.sentAt = aNow;
  mMesh.Broadcast(message, aLast.audience);
}

} // namespace hawthornlug
