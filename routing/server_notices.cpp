#include "routing/server_notices.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// A server that leaves has stopped long before this time has passed.
constexpr Duration kRecentNotice = seconds(60);
/// Notices of servers that are not registered are dropped after this time.
constexpr Duration kForgetAfter = seconds(600);

} // namespace

bool ServerNotices::Record(const ServerRef& aServer, const ServerNotice& aNotice, Instant aNow)
{
  Entry& entry = mEntries[aServer.id];
  if (aServer.incarnation < entry.incarnation) {
    return false;
  }
  if (aServer.incarnation > entry.incarnation) {
    entry = Entry();
    entry.incarnation = aServer.incarnation;
  }
  entry.recordedAt = aNow;
  if (aNotice.pause > Duration::zero()) {
    entry.pausedUntil = std::max(entry.pausedUntil, aNow + aNotice.pause);
  }
  const bool news = aNotice.leaving && !entry.leaving;
  entry.leaving = entry.leaving || aNotice.leaving;
  return news;
}

const ServerNotices::Entry* ServerNotices::Find(const ServerRef& aServer) const
{
  const auto it = mEntries.find(aServer.id);
  const bool applies = it != mEntries.end() && it->second.incarnation >= aServer.incarnation;
  return applies ? &it->second : nullptr;
}

bool ServerNotices::IsLeaving(const ServerRef& aServer) const
{
  const Entry* const entry = Find(aServer);
  return entry != nullptr && entry->leaving;
}

Instant ServerNotices::PausedUntil(const ServerRef& aServer) const
{
  const Entry* const entry = Find(aServer);
  return entry == nullptr ? Instant() : entry->pausedUntil;
}

std::vector<ServerRef> ServerNotices::RecentlyLeaving(Instant aNow) const
{
  std::vector<ServerRef> servers;
  for (const auto& [id, entry] : mEntries) {
    if (entry.leaving && aNow - entry.recordedAt <= kRecentNotice) {
      servers.push_back({ id, entry.incarnation });
    }
  }
  return servers;
}

void ServerNotices::Forget(const IsRegistered& aIsRegistered, Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    return aNow - aItem.second.recordedAt > kForgetAfter && !aIsRegistered(aItem.first);
  });
}

} // namespace hawthornlug
