/// @file
/// What backend servers state about themselves in their answers, and for how long it holds.
#pragma once

#include "core/ids.h"
#include "core/instant.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// What a server states about itself in one answer, apart from its load.
struct ServerNotice
{
  /// The server is about to stop and wants no new requests.
  bool leaving = false;
  /// The server wants no requests from this daemon for this long; 0 if it states no pause.
  Duration pause = Duration::zero();

  bool IsEmpty() const { return !leaving && pause == Duration::zero(); }
};

/// Remembers the notices of servers. They are kept apart from the registry, so that a notice holds
/// although the registry still lists the server as ready, or lists it again: it ends only with the
/// server's incarnation or, for a pause, with its time.
class ServerNotices
{
public:
  /// Whether the server with this id is registered.
  using IsRegistered = std::function<bool(const std::string&)>;

  /// Records a notice of one incarnation of a server. Returns whether it is news that this
  /// incarnation is leaving. A notice of an incarnation before the last known one is ignored.
  bool Record(const ServerRef& aServer, const ServerNotice& aNotice, Instant aNow);
  /// Whether this incarnation, or a later one, has announced that it leaves.
  bool IsLeaving(const ServerRef& aServer) const;
  /// Until when this incarnation, or a later one, wants no requests from this daemon; the epoch if
  /// it has stated no pause.
  Instant PausedUntil(const ServerRef& aServer) const;
  /// The servers that have lately announced that they leave, and so may still run.
  std::vector<ServerRef> RecentlyLeaving(Instant aNow) const;
  /// Drops old notices of servers that are not registered.
  void Forget(const IsRegistered& aIsRegistered, Instant aNow);

private:
  struct Entry
  {
    Incarnation incarnation = 0;
    bool leaving = false;
    Instant pausedUntil;
    Instant recordedAt;
  };

  /// The notices that apply to the incarnation; null if there are none.
  const Entry* Find(const ServerRef& aServer) const;

  std::map<std::string, Entry> mEntries;
};

} // namespace hawthornlug
