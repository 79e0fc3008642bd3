#include "membership/pending_removals.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Entries that expired during an outage of the store are renewed within this time after its end,
/// or not at all.
constexpr Duration kEntryRenewalTime = milliseconds(2200);

} // namespace

void PendingRemovals::OnOutage(Instant aAt)
{
  mLastOutageAt = mHadOutage ? std::max(mLastOutageAt, aAt) : aAt;
  mHadOutage = true;
}

std::vector<std::string> PendingRemovals::TakeConfirmed(Instant aNow)
{
  if (mHadOutage && aNow < mLastOutageAt + kEntryRenewalTime) {
    return {};
  }
  std::vector<std::string> gone(mRemovedServers.begin(), mRemovedServers.end());
  mRemovedServers.clear();
  return gone;
}

} // namespace hawthornlug
