#include "runtime/load_teller.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Changes are told at most so often.
constexpr Duration kInterval = milliseconds(20);
/// Counts that have not changed are told again, before the others forget them.
constexpr Duration kRefresh = milliseconds(700);
/// Messages that a daemon sends to other domains, so that their bytes don't grow with the fleet.
constexpr unsigned kForeignMessagesPerSecond = 150;

} // namespace

LoadTeller::LoadTeller(const ServerBoard& aBoard, Mesh& aMesh)
  : mBoard(aBoard)
  , mMesh(aMesh)
{
}

void LoadTeller::Tick(Instant aNow)
{
  Tell(mOwnDomain, mBoard.InFlight(), kInterval, aNow);
  Tell(mOtherDomains, mBoard.InFlightAtShared(), ForeignInterval(), aNow);
}

Duration LoadTeller::ForeignInterval() const
{
  const auto peers = static_cast<Duration::rep>(mMesh.PeersIn(Mesh::Audience::kOtherDomains));
  return std::max<Duration>(kInterval, Duration(seconds(1)) * peers / kForeignMessagesPerSecond);
}

void LoadTeller::Tell(Told& aTold, Counts aCounts, Duration aInterval, Instant aNow)
{
  if (aNow - aTold.at < aInterval) {
    return;
  }
  const bool refresh = !aCounts.empty() && aNow - aTold.at > kRefresh;
  if (aCounts == aTold.counts && !refresh) {
    return;
  }
  wire::Envelope message;
  // Set also when nothing is in flight: that is news as well.
  wire::RouterLoad* const load = message.mutable_load();
  for (const auto& [server, n] : aCounts) {
    load->add_servers(server);
    load->add_counts(n);
  }
  aTold.counts = std::move(aCounts);
  aTold.at = aNow;
  mMesh.Broadcast(message, aTold.audience);
}

} // namespace hawthornlug
