/// @file
/// Tells registry entries that lapsed in an outage of the store from those of servers that left.
#pragma once

#include "core/instant.h"

#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Keeps the servers whose entries were removed around an outage of the store until it is certain
/// that the entries don't come back: a live server renews its entry soon after the store's return.
class LapsedEntries
{
public:
  /// The store was away at @p aAt, for this daemon or for one that watches it for all.
  void OnOutage(Instant aAt);
  void OnRemoved(const std::string& aServer) { mMissing.insert(aServer); }
  void OnPresent(const std::string& aServer) { mMissing.erase(aServer); }
  /// The servers that are gone for good; each is returned once.
  std::vector<std::string> TakeGone(Instant aNow);

private:
  std::set<std::string> mMissing;
  Instant mOutageAt;
  bool mHadOutage = false;
};

} // namespace hawthornlug
