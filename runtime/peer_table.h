/// @file
/// The other daemons that a daemon has heard of.
#pragma once

#include "core/ids.h"
#include "runtime/mesh_peer.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornlug {

/// Keeps what heartbeats tell of other daemons, and which of them are live. Sends nothing; the
/// state depends only on the arguments of the calls.
class PeerTable
{
public:
  explicit PeerTable(std::string aDomain)
    : mDomain(std::move(aDomain))
  {
  }

  /// The daemon's entry; a new one if it is not known yet.
  MeshPeer& At(const std::string& aDaemon) { return mPeers[aDaemon]; }
  /// Null if the daemon is not known.
  const MeshPeer* Find(const std::string& aDaemon) const;
  /// The daemon whose heartbeat has this content; null if there is none.
  MeshPeer* FindByContent(std::uint32_t aNumber);
  /// Whether the daemon's heartbeat is newer than what is known of it.
  bool IsNews(const DaemonRef& aDaemon, std::uint64_t aSequence) const;

  /// To be called after the content of an entry has been changed. Returns whether the number of the
  /// content is another one than before.
  bool OnContentChanged(MeshPeer& aPeer);
  /// A heartbeat shows that the daemon ran at @p aAt. Returns whether it was not live before and is
  /// now.
  bool OnHeard(MeshPeer& aPeer, Instant aAt, Instant aNow);
  /// Takes the daemons that have been silent for too long off the live ones, and returns them.
  std::vector<MeshPeer*> TakeSilent(Instant aNow);
  /// Something that decides over roles has changed.
  void CountChange() { ++mChangeCount; }

  const std::map<std::string, MeshPeer>& All() const { return mPeers; }
  /// Sorted by id.
  const std::vector<const MeshPeer*>& Live() const { return mLive; }
  /// Those that have been heard lately, also if they are silent now.
  std::vector<const MeshPeer*> Known(Instant aNow) const;
  bool IsKnown(const MeshPeer& aPeer, Instant aNow) const;
  /// Rises whenever it changes which daemons are live, leave, or reach the store.
  std::uint64_t ChangeCount() const { return mChangeCount; }

private:
  /// Whether a heartbeat of the peer has been received within the timeout of its domain.
  bool IsResponsive(const MeshPeer& aPeer, Instant aNow) const;
  void SetLive(MeshPeer& aPeer, bool aLive);

  std::string mDomain;
  std::map<std::string, MeshPeer> mPeers;
  std::vector<const MeshPeer*> mLive;
  std::unordered_map<std::uint32_t, MeshPeer*> mByContent;
  std::uint64_t mChangeCount = 0;
};

} // namespace hawthornlug
