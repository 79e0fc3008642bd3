#include "membership/heartbeat_relays.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr const char* kRelayRole = "relays";
/// Fleets of this many daemons use relays.
constexpr std::size_t kMinRelayedFleet = 16;
/// Number of relays that each daemon uses, and that each domain is reached by.
constexpr unsigned kRelays = 2;
/// Number of candidates of which they are taken.
constexpr unsigned kRelayCandidates = 6;
/// Two intervals in which a relay passes heartbeats on.
constexpr Duration kRelaySilence = milliseconds(500);
constexpr Duration kRelayAvoidance = seconds(3);
/// A daemon that has not used this one as a relay for this long does not do so any more.
constexpr Duration kMemberTimeout = milliseconds(1300);
/// The relays of a failure domain that is silent are sent heartbeats for this long.
constexpr Duration kReporterMemory = seconds(60);

} // namespace

HeartbeatRelays::HeartbeatRelays(RoleCandidate aSelf)
  : mSelf(std::move(aSelf))
  , mOwnRelays(mSelf.id, { kRelays, kRelaySilence, kRelayAvoidance })
{
}

void HeartbeatRelays::SetCandidates(std::vector<RoleCandidate> aOthers, std::size_t aKnownCount)
{
  mIsFleetRelayed = aKnownCount + 1 >= kMinRelayedFleet;
  aOthers.push_back(mSelf);
  mForeignRelays.clear();
  mFirstRanked = FirstOfEachDomain(kRelayRole, aOthers, kRelays);
  for (auto& [domain, ranked] : RankedByDomain(kRelayRole, aOthers, kRelayCandidates)) {
    if (domain == mSelf.domain) {
      mOwnRelays.SetCandidates(std::move(ranked));
    } else {
      ranked.resize(std::min<std::size_t>(ranked.size(), kRelays));
      mForeignRelays[domain] = std::move(ranked);
    }
  }
}

void HeartbeatRelays::OnMember(const std::string& aDaemon, bool aIsFirstChoice, Instant aNow)
{
  mMembers[aDaemon] = { aNow, aIsFirstChoice };
}

void HeartbeatRelays::OnRelay(const std::string& aDaemon, const std::string& aDomain, Instant aNow)
{
  if (aDomain == mSelf.domain) {
    mOwnRelays.OnHeard(aDaemon, aNow);
  } else {
    mForeignReporters[aDaemon] = { aDomain, aNow };
  }
}

bool HeartbeatRelays::IsRelay(Instant aNow) const
{
  const auto usesThis = [&](const auto& aEntry) {
    return aNow - aEntry.second.heardAt < kMemberTimeout;
  };
  return mFirstRanked.contains(mSelf.id) || std::any_of(mMembers.begin(), mMembers.end(), usesThis);
}

std::set<std::string> HeartbeatRelays::ForeignRelays(Instant aNow) const
{
  std::set<std::string> relays;
  for (const auto& [domain, ids] : mForeignRelays) {
    relays.insert(ids.begin(), ids.end());
  }
  // A domain whose first-ranked daemons were lost is reached by those that its daemons use in their
  // place; one that is silent is found again by those that were its relays.
  for (const auto& [id, reporter] : mForeignReporters) {
    const bool silentDomain = !mForeignRelays.contains(reporter.domain);
    if (aNow - reporter.heardAt < (silentDomain ? kReporterMemory : kMemberTimeout)) {
      relays.insert(id);
    }
  }
  return relays;
}

std::map<std::string, HeartbeatRelays::Member> HeartbeatRelays::Members(Instant aNow) const
{
  std::map<std::string, Member> members = mMembers;
  std::erase_if(members,
                [&](const auto& aEntry) { return aNow - aEntry.second.heardAt >= kMemberTimeout; });
  return members;
}

} // namespace hawthornlug
