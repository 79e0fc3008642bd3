/// @file
/// What daemons report about themselves in their heartbeats.
#pragma once

#include "core/ids.h"
#include "core/instant.h"
#include "core/store_revision.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// A daemon counts as using no relay for this long after it has said so.
inline constexpr Duration kUsesNoRelayMemory = seconds(2);

/// Another routing daemon, as described by its latest heartbeat.
struct MeshPeer
{
  DaemonRef ref;
  std::string domain;
  std::string endpoint;
  std::uint64_t sequence = 0;
  /// When its latest heartbeat was received, or was sent if a relay has passed it on.
  Instant heartbeatAt;
  /// Revision of its mirror, by kind of object; of the latest heartbeat that came directly.
  std::vector<StoreRevision> mirrorRevisions;
  /// Revision of the latest change in its mirror, by kind; empty if its version does not say.
  std::vector<StoreRevision> mirrorChanges;
  /// Time since the store last answered it; 0 if it does not watch the store.
  Duration storeAge = Duration::zero();
  /// The latest era of the store that it has acted on; 0 if it knows none.
  StoreEra storeEra = 0;
  bool leaving = false;
  /// Power class of its host.
  unsigned power = 0;
  /// Whether it can be a relay, and understands what relays send.
  bool canRelay = false;
  /// When it last sent a heartbeat that says that it uses no relay.
  Instant usedNoRelayAt;
  /// Interval of its heartbeats to other failure domains; 0 if relays pass them on.
  Duration foreignInterval = Duration::zero();
  /// Size of the configuration that it has; of the latest heartbeat that came directly.
  std::size_t configurationBytes = 0;
  /// Services that it leads, with its term.
  std::map<std::string, std::uint64_t> claims;
  /// Number by which relays refer to the content of its heartbeat.
  std::uint32_t contentNumber = 0;
  /// Whether it is heard.
  bool live = false;

  /// Whether it has to be sent directly what others get through relays.
  bool UsesNoRelay(Instant aNow) const
  {
    return !canRelay || aNow - usedNoRelayAt < kUsesNoRelayMemory;
  }
};

/// What a daemon reports about itself in its heartbeats; fields as in MeshPeer.
struct MeshSelf
{
  std::vector<StoreRevision> mirrorRevisions;
  std::vector<StoreRevision> mirrorChanges;
  Duration storeAge = Duration::zero();
  StoreEra storeEra = 0;
  bool leaving = false;
  std::size_t configurationBytes = 0;
  /// Whether daemons of other failure domains rely on this one, and must soon notice if it is lost.
  bool hasRole = false;
  std::map<std::string, std::uint64_t> claims;
  /// Term and version of its range table, by service.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> tables;
};

} // namespace hawthornlug
