#include "runtime/peer_table.h"

#include "runtime/heartbeat_messages.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// A peer counts as lost if no heartbeat has been received from it for this long.
constexpr Duration kPeerTimeout = milliseconds(1300);
/// A peer in another failure domain counts as lost after this time at the earliest, and after this
/// multiple of the interval of its heartbeats.
constexpr Duration kForeignPeerTimeout = milliseconds(2000);
constexpr double kForeignIntervalsToLoss = 2.5;
/// A peer gets heartbeats until nothing has been received from it for this long.
constexpr Duration kForgetAfter = seconds(60);

} // namespace

const MeshPeer* PeerTable::Find(const std::string& aDaemon) const
{
  const auto it = mPeers.find(aDaemon);
  return it == mPeers.end() ? nullptr : &it->second;
}

MeshPeer* PeerTable::FindByContent(std::uint32_t aNumber)
{
  const auto it = mByContent.find(aNumber);
  return it == mByContent.end() ? nullptr : it->second;
}

bool PeerTable::IsNews(const DaemonRef& aDaemon, std::uint64_t aSequence) const
{
  const MeshPeer* const known = Find(aDaemon.id);
  if (known == nullptr || aDaemon.incarnation > known->ref.incarnation) {
    return true;
  }
  return aDaemon.incarnation == known->ref.incarnation && aSequence > known->sequence;
}

bool PeerTable::OnContentChanged(MeshPeer& aPeer)
{
  const std::uint32_t number = ContentNumberOf(aPeer);
  if (number == aPeer.contentNumber) {
    return false;
  }
  const auto old = mByContent.find(aPeer.contentNumber);
  if (old != mByContent.end() && old->second == &aPeer) {
    mByContent.erase(old);
  }
  aPeer.contentNumber = number;
  mByContent[number] = &aPeer;
  return true;
}

bool PeerTable::IsResponsive(const MeshPeer& aPeer, Instant aNow) const
{
  const Duration silence = aNow - aPeer.heartbeatAt;
  if (aPeer.domain == mDomain) {
    return silence < kPeerTimeout;
  }
  return silence <
         std::max(kForeignPeerTimeout, Scaled(aPeer.foreignInterval, kForeignIntervalsToLoss));
}

bool PeerTable::OnHeard(MeshPeer& aPeer, Instant aAt, Instant aNow)
{
  aPeer.heartbeatAt = std::max(aPeer.heartbeatAt, aAt);
  if (aPeer.live || !IsResponsive(aPeer, aNow)) {
    return false;
  }
  SetLive(aPeer, true);
  return true;
}

void PeerTable::SetLive(MeshPeer& aPeer, bool aLive)
{
  const auto it = std::lower_bound(
    mLive.begin(), mLive.end(), aPeer.ref.id, [](const MeshPeer* aOther, const std::string& aId) {
      return aOther->ref.id < aId;
    });
  if (aLive) {
    mLive.insert(it, &aPeer);
  } else {
    mLive.erase(it);
  }
  aPeer.live = aLive;
  ++mChangeCount;
}

std::vector<MeshPeer*> PeerTable::TakeSilent(Instant aNow)
{
  std::vector<MeshPeer*> silent;
  for (const MeshPeer* it : mLive) {
    if (!IsResponsive(*it, aNow)) {
      silent.push_back(&mPeers.at(it->ref.id));
    }
  }
  for (MeshPeer* const it : silent) {
    SetLive(*it, false);
  }
  return silent;
}

bool PeerTable::IsKnown(const MeshPeer& aPeer, Instant aNow) const
{
  return aNow - aPeer.heartbeatAt < kForgetAfter;
}

std::vector<const MeshPeer*> PeerTable::Known(Instant aNow) const
{
  std::vector<const MeshPeer*> known;
  for (const auto& [id, peer] : mPeers) {
    if (IsKnown(peer, aNow)) {
      known.push_back(&peer);
    }
  }
  return known;
}

} // namespace hawthornlug
