/// @file
/// Decides which servers may be given keys: those that are known to answer.
#pragma once

#include "core/ids.h"
#include "core/instant.h"

#include <map>
#include <set>
#include <string>

namespace hawthornlug {

/// A server that has just been registered may never answer: nothing is known of it but its entry.
/// Keys that were moved to it would be taken from a server that works, and be served by nobody
/// until the grants to the new one have lapsed. So a server gets its first keys only after it has
/// answered a health check.
class ServerVetting
{
public:
  /// Whether keys may be moved to the server.
  bool MayOwn(const ServerRef& aServer) const { return mAnswered.contains(aServer); }
  /// Whether a health check is to be sent to the server; at most one is under way, and one that
  /// fails is repeated after a pause.
  bool IsCheckDue(const ServerRef& aServer, Instant aNow) const;
  void OnCheckSent(const ServerRef& aServer, Instant aNow);
  /// The server has answered a health check, or has answered grants as the owner of keys.
  void OnAnswered(const ServerRef& aServer) { mAnswered.insert(aServer); }
  /// Drops what is known of all servers but these.
  void KeepOnly(const std::set<ServerRef>& aServers);

private:
  std::set<ServerRef> mAnswered;
  std::map<ServerRef, Instant> mCheckedAt;
};

} // namespace hawthornlug
