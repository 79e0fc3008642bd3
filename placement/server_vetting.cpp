#include "placement/server_vetting.h"

namespace hawthornlug {

namespace {

/// Longer than the timeout of a check.
constexpr Duration kCheckInterval = milliseconds(1000);

} // namespace

bool ServerVetting::IsCheckDue(const ServerRef& aServer, Instant aNow) const
{
  if (mAnswered.contains(aServer)) {
    return false;
  }
  const auto it = mCheckedAt.find(aServer);
  return it == mCheckedAt.end() || aNow - it->second >= kCheckInterval;
}

void ServerVetting::OnCheckSent(const ServerRef& aServer, Instant aNow)
{
  mCheckedAt[aServer] = aNow;
}

void ServerVetting::KeepOnly(const std::set<ServerRef>& aServers)
{
  std::erase_if(mAnswered, [&](const ServerRef& aServer) { return !aServers.contains(aServer); });
  std::erase_if(mCheckedAt, [&](const auto& aIt) { return !aServers.contains(aIt.first); });
}

} // namespace hawthornlug
