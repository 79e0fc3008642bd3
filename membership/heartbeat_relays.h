/// @file
/// Through which daemons the heartbeats of a large fleet pass.
#pragma once

#include "membership/relay_choice.h"
#include "membership/role_ranking.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// In a small fleet every daemon sends its heartbeats to every other one. In a larger one it sends
/// them to a few relays of its failure domain, which pass on to each other, across domains, and to
/// the daemons that use them whom they hear. So a daemon's messages grow with the number of
/// domains, and those of a relay with the size of its domain. The state depends only on the
/// arguments of the calls.
class HeartbeatRelays
{
public:
  /// How a daemon of the own domain uses this one as a relay.
  struct Member
  {
    Instant heardAt;
    /// It relies on this daemon, and not on another, to be told of other failure domains.
    bool isFirstChoice = false;
  };

  explicit HeartbeatRelays(RoleCandidate aSelf);

  /// Sets the other daemons that can be relays and are live and not stopping. @p aKnownCount:
  /// number of all others that were heard lately. One that is cut off from them keeps to the ways
  /// by which they will reach it again.
  void SetCandidates(std::vector<RoleCandidate> aOthers, std::size_t aKnownCount);
  /// A daemon of the own domain uses this one as a relay.
  void OnMember(const std::string& aDaemon, bool aIsFirstChoice, Instant aNow);
  /// A daemon has passed on heartbeats of others.
  void OnRelay(const std::string& aDaemon, const std::string& aDomain, Instant aNow);

  /// Whether heartbeats pass through relays.
  bool IsFleetRelayed() const { return mIsFleetRelayed; }
  /// Whether this daemon is to pass heartbeats on.
  bool IsRelay(Instant aNow) const;
  /// The relays that this daemon's heartbeats go to, the preferred one first; this daemon may be
  /// one of them. None if no relay answers: then its domain has to be told directly.
  std::vector<std::string> OwnRelays(Instant aNow) { return mOwnRelays.Choose(aNow); }
  /// The daemons of other domains that a relay exchanges heartbeats with.
  std::set<std::string> ForeignRelays(Instant aNow) const;
  /// The daemons that use this one as a relay.
  std::map<std::string, Member> Members(Instant aNow) const;
  /// The daemons, of all domains, that rank first as relays.
  const std::set<std::string>& FirstRanked() const { return mFirstRanked; }

private:
  RoleCandidate mSelf;
  bool mIsFleetRelayed = false;
  RelayChoice mOwnRelays;
  std::set<std::string> mFirstRanked;
  /// A daemon of another domain that has passed on heartbeats.
  struct ForeignReporter
  {
    std::string domain;
    Instant heardAt;
  };

  /// The first-ranked of each other domain that has live daemons.
  std::map<std::string, std::vector<std::string>> mForeignRelays;
  std::map<std::string, Member> mMembers;
  std::map<std::string, ForeignReporter> mForeignReporters;
};

} // namespace hawthornlug
