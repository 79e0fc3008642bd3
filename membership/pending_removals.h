/// @file
/// Distinguishes registry entries that expired during an outage of the store from those of servers
/// that have left.
#pragma once

#include "core/instant.h"

#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Holds back the servers whose registry entries were removed during or shortly after an outage of
/// the store. A live server renews its entry soon after the store is available again; only when
/// this time has passed without a renewal, the server counts as gone. Without an outage a server
/// counts as gone at once.
class PendingRemovals
{
public:
  /// To be called when the store was unavailable at @p aAt, to this daemon or to a daemon that
  /// watches the store on behalf of all. Calls with an earlier time have no effect.
  void OnOutage(Instant aAt);
  /// To be called when the registry entry of a server was removed or has expired.
  void OnRemoved(const std::string& aServer) { mRemovedServers.insert(aServer); }
  /// To be called when the registry has an entry of a server.
  void OnPresent(const std::string& aServer) { mRemovedServers.erase(aServer); }
  /// Returns the servers whose removal has become certain by @p aNow; each is returned once.
  std::vector<std::string> TakeConfirmed(Instant aNow);

private:
  std::set<std::string> mRemovedServers;
  Instant mLastOutageAt;
  bool mHadOutage = false;
};

} // namespace hawthornlug
