#include "membership/membership.h"

#include "core/hashing.h"

#include <algorithm>
#include <utility>

namespace hawthornlug {

namespace {

/// Item by which the daemon of a failure domain is ranked that exchanges heartbeats with the other
/// domains. It has to be the same on all daemons.
constexpr const char* kCrossDomainLinkItem = "links";

} // namespace

Membership::Membership(Member aSelf, MembershipTimings aTimings)
  : mSelf(std::move(aSelf))
  , mTimings(aTimings)
{
}

void Membership::Learn(Instant aNow, const Member& aMember)
{
  if (aMember.id == mSelf.id) {
    return;
  }
  const auto [it, inserted] = mEntries.try_emplace(aMember.id);
  if (!inserted) {
    return;
  }
  it->second.member = aMember;
  it->second.member.version = 0;
  it->second.lastSeenAt = aNow;
  it->second.changedAt = aNow - mTimings.gossipPeriod;
}

void Membership::OnHeartbeat(Instant aNow, const Member& aFrom, const HeartbeatInfo& aHeartbeat)
{
  if (aFrom.id == mSelf.id) {
    return;
  }
  const auto known = mEntries.find(aFrom.id);
  if (known != mEntries.end() && known->second.member.incarnation > aFrom.incarnation) {
    return;
  }
  Merge(aNow, aFrom);
  Entry& entry = mEntries[aFrom.id];
  entry.lastSeenAt = aNow;
  mDomainLastSeenAt[aFrom.domain] = aNow;
  for (const auto& [domain, age] : aHeartbeat.domainAges) {
    const Instant at = aNow - age;
    const auto [it, inserted] = mDomainLastSeenAt.try_emplace(domain, at);
    if (!inserted) {
      it->second = std::max(it->second, at);
    }
  }
  for (const Member& it : aHeartbeat.changes) {
    Merge(aNow, it);
  }
  if (aHeartbeat.requestsFullTable) {
    mFullTableRequests.insert(aFrom.id);
  }
}

void Membership::Merge(Instant aNow, const Member& aMember)
{
  if (aMember.id == mSelf.id) {
    // The next heartbeats override the wrong report with a higher version.
    const bool isWrong = aMember.incarnation == mSelf.incarnation &&
                         aMember.status != mSelf.status && aMember.version >= mSelf.version;
    if (isWrong) {
      mSelf.version = aMember.version + 1;
      mSelfChangedAt = aNow;
    }
    return;
  }
  const auto [it, inserted] = mEntries.try_emplace(aMember.id);
  Entry& entry = it->second;
  const Member& current = entry.member;
  const auto precedence = [](const Member& aItem) {
    return std::make_tuple(aItem.incarnation, aItem.version, aItem.status);
  };
  if (!inserted && precedence(aMember) <= precedence(current)) {
    return;
  }
  const bool reportChange =
    inserted || current.incarnation != aMember.incarnation || current.status != aMember.status;
  entry.member = aMember;
  entry.changedAt = aNow;
  if (aMember.IsLive()) {
    entry.lastSeenAt = aNow;
  }
  if (reportChange) {
    mChanges.push_back({ aMember });
  }
}

void Membership::Leave(Instant aNow)
{
  mSelf.status = MemberStatus::kLeft;
  mSelf.version += 1;
  mSelfChangedAt = aNow;
  mNextHeartbeat = aNow;
}

void Membership::SetRevisions(Version aObjects, Version aConfig)
{
  mObjectsRevision = aObjects;
  mConfigRevision = aConfig;
}

void Membership::SetStatus(Instant aNow, Entry& aEntry, MemberStatus aStatus)
{
  if (aEntry.member.status == aStatus) {
    return;
  }
  aEntry.member.status = aStatus;
  aEntry.changedAt = aNow;
  mChanges.push_back({ aEntry.member });
}

std::vector<OutgoingHeartbeat> Membership::OnTick(Instant aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  for (const std::string& id : WatchedDaemons()) {
    Entry& entry = mEntries[id];
    if (!entry.watched) {
      // Watching begins now: the time before does not count.
      entry.watched = true;
      entry.lastSeenAt = aNow;
    }
    const Duration elapsed = aNow - entry.lastSeenAt;
    if (elapsed >= mTimings.goneAfter) {
      SetStatus(aNow, entry, MemberStatus::kGone);
    } else if (elapsed >= mTimings.suspectAfter) {
      SetStatus(aNow, entry, MemberStatus::kSuspect);
    }
  }
  std::vector<OutgoingHeartbeat> due;
  if (aNow < mNextHeartbeat) {
    return due;
  }
  mNextHeartbeat = aNow + mTimings.heartbeatInterval;
  ++mHeartbeatRounds;
  mHasRecentChange = std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
    return aNow - aEntry.second.changedAt < mTimings.recentChangePeriod;
  });
  for (const std::string& id : HeartbeatTargets()) {
    const bool fullTable = mFullTableRequests.erase(id) != 0;
    due.push_back({ mEntries[id].member, MakeHeartbeat(aNow, fullTable) });
  }
  return due;
}

std::vector<std::string> Membership::RingOf(const std::string& aDomain) const
{
  std::vector<std::string> ring;
  for (const auto& [id, entry] : mEntries) {
    if (entry.member.domain == aDomain && entry.member.IsLive()) {
      ring.push_back(id);
    }
  }
  if (aDomain == mSelf.domain) {
    ring.push_back(mSelf.id);
  }
  std::sort(ring.begin(), ring.end());
  return ring;
}

std::vector<std::string> Membership::RingFromSelf() const
{
  std::vector<std::string> ring = RingOf(mSelf.domain);
  const auto self = std::find(ring.begin(), ring.end(), mSelf.id);
  std::rotate(ring.begin(), self, ring.end());
  return ring;
}

std::vector<std::string> Membership::Successors() const
{
  const std::vector<std::string> ring = RingFromSelf();
  const std::size_t n = std::min(mTimings.watcherCount, ring.size() - 1);
  return { ring.begin() + 1, ring.begin() + 1 + static_cast<std::ptrdiff_t>(n) };
}

std::set<std::string> Membership::WatchedDaemons() const
{
  const std::vector<std::string> ring = RingFromSelf();
  const std::size_t n = std::min(mTimings.watcherCount, ring.size() - 1);
  // Only daemons of the own failure domain are watched: missing heartbeats from another domain
  // indicate a failed link, not a failed daemon.
  return { ring.end() - static_cast<std::ptrdiff_t>(n), ring.end() };
}

std::vector<std::string> Membership::HeartbeatTargets() const
{
  std::vector<std::string> targets = Successors();
  // Daemons of this domain that are believed gone still get heartbeats: one that still runs then
  // receives the wrong report about itself and can correct it.
  for (const auto& [id, entry] : mEntries) {
    const bool goneNeighbour =
      entry.member.domain == mSelf.domain && entry.member.status == MemberStatus::kGone;
    if (goneNeighbour) {
      targets.push_back(id);
    }
  }
  for (const std::string& id : mFullTableRequests) {
    if (std::find(targets.begin(), targets.end(), id) == targets.end()) {
      targets.push_back(id);
    }
  }
  const auto first = FirstRanked(mSelf.domain, kCrossDomainLinkItem);
  const bool crossDomain = mHasRecentChange || mHeartbeatRounds % mTimings.crossDomainEvery == 1;
  if (!crossDomain || !first || first->id != mSelf.id) {
    return targets;
  }
  std::set<std::string> domains;
  for (const auto& [id, entry] : mEntries) {
    if (entry.member.domain != mSelf.domain) {
      domains.insert(entry.member.domain);
    }
  }
  for (const std::string& domain : domains) {
    const auto peer = FirstRanked(domain, kCrossDomainLinkItem);
    if (peer) {
      targets.push_back(peer->id);
    }
  }
  return targets;
}

HeartbeatInfo Membership::MakeHeartbeat(Instant aNow, bool aFullTable) const
{
  HeartbeatInfo info;
  info.objectsRevision = mObjectsRevision;
  info.configRevision = mConfigRevision;
  for (const auto& [id, entry] : mEntries) {
    const bool recent = aNow - entry.changedAt < mTimings.gossipPeriod;
    if (entry.member.incarnation != 0 && (aFullTable || recent)) {
      info.changes.push_back(entry.member);
    }
  }
  info.requestsFullTable = std::any_of(mEntries.begin(), mEntries.end(), [](const auto& aEntry) {
    return aEntry.second.member.incarnation == 0;
  });
  for (const auto& [domain, at] : mDomainLastSeenAt) {
    info.domainAges[domain] = aNow - at;
  }
  return info;
}

std::vector<MemberChange> Membership::TakeChanges()
{
  return std::exchange(mChanges, {});
}

std::vector<Member> Membership::All() const
{
  std::vector<Member> all = { mSelf };
  for (const auto& [id, entry] : mEntries) {
    all.push_back(entry.member);
  }
  return all;
}

std::optional<Member> Membership::Find(const std::string& aId) const
{
  if (aId == mSelf.id) {
    return mSelf;
  }
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  return it->second.member;
}

std::vector<Member> Membership::LiveIn(const std::string& aDomain) const
{
  std::vector<Member> live;
  for (const std::string& id : RingOf(aDomain)) {
    const auto member = Find(id);
    if (member && member->IsLive() && member->incarnation != 0) {
      live.push_back(*member);
    }
  }
  return live;
}

bool Membership::IsLive(const DaemonRef& aRef) const
{
  const auto member = Find(aRef.id);
  return member && member->incarnation == aRef.incarnation && member->IsLive();
}

std::optional<Member> Membership::FirstRanked(const std::string& aDomain,
                                              const std::string& aItem) const
{
  std::optional<Member> best;
  std::uint64_t bestWeight = 0;
  for (const std::string& id : RingOf(aDomain)) {
    const std::uint64_t weight = RendezvousWeight(aItem, id);
    if (!best || weight > bestWeight) {
      best = Find(id);
      bestWeight = weight;
    }
  }
  return best;
}

bool Membership::IsIsolated(Instant aNow, const std::string& aDomain) const
{
  if (aDomain == mSelf.domain) {
    return false;
  }
  const auto it = mDomainLastSeenAt.find(aDomain);
  // If no heartbeat was received from the domain yet, the time counts from this daemon's start.
  const Instant since = it == mDomainLastSeenAt.end() ? mStartedAt.value_or(aNow) : it->second;
  return aNow - since >= mTimings.domainIsolatedAfter;
}

} // namespace hawthornlug
