/// @file
/// Which daemons run, as far as this daemon can tell.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/instant.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// What is believed of a daemon. A later value outweighs an earlier one of the same version.
enum class MemberStatus
{
  kAlive,
  kSuspect, ///< One watcher has not heard from it for a while.
  kGone,    ///< All watchers that count have not; not a proof that it has stopped.
  kLeft,    ///< It said itself that it stops.
};
inline constexpr EnumNames<4> kMemberStatusNames = { "alive", "suspect", "gone", "left" };

/// One daemon.
struct Member
{
  std::string id;
  Incarnation incarnation = 0;
  std::string domain;
  std::string httpUrl;
  std::string peerEndpoint;
  MemberStatus status = MemberStatus::kAlive;
  /// Counts what has been said about this incarnation.
  std::uint64_t version = 0;

  DaemonRef Ref() const { return { id, incarnation }; }
  bool IsLive() const { return status == MemberStatus::kAlive || status == MemberStatus::kSuspect; }
};

/// What a daemon tells those that watch it.
struct HeartbeatInfo
{
  /// What changed lately, or the whole table.
  std::vector<Member> changes;
  Version objectsRevision = 0;
  Version configRevision = 0;
  /// How long ago anything was heard from each failure domain.
  std::map<std::string, Duration> domainAges;
  /// The sender knows little yet and asks for the whole table.
  bool wantTable = false;
};

/// A heartbeat to be sent.
struct HeartbeatOut
{
  Member to;
  HeartbeatInfo heartbeat;
};

struct MembershipTimings
{
  Duration heartbeatInterval = milliseconds(100);
  /// Heartbeats between failure domains are sent with one in so many.
  std::uint64_t farEvery = 5;
  /// While a change is so fresh, each heartbeat goes to the other failure domains too.
  Duration newsFor = milliseconds(500);
  Duration suspectAfter = milliseconds(400);
  Duration goneAfter = milliseconds(550);
  /// How long a change is repeated in heartbeats.
  Duration gossipFor = seconds(3);
  /// A failure domain that was not heard for so long counts as cut off.
  Duration domainCutAfter = milliseconds(1500);
  std::size_t watchers = 3;
};

/// A change of what is believed of a daemon.
struct MemberChange
{
  Member member;
};

/// Failure detector: each daemon is watched by the next ones on its failure domain's ring, and the
/// first-ranked daemons of the failure domains watch each other. Purely a function of its inputs;
/// the caller serialises calls.
class Membership
{
public:
  Membership(Member aSelf, MembershipTimings aTimings);

  /// Adds a daemon that settings or the platform's list name; its incarnation may be unknown (0).
  void Learn(Instant aNow, const Member& aMember);
  void OnHeartbeat(Instant aNow, const Member& aFrom, const HeartbeatInfo& aHeartbeat);
  /// Marks this daemon as leaving.
  void Leave(Instant aNow);
  void SetRevisions(Version aObjects, Version aConfig);

  /// Suspects silent daemons and returns the heartbeats that are due.
  std::vector<HeartbeatOut> OnTick(Instant aNow);
  std::vector<MemberChange> TakeChanges();

  const Member& Self() const { return mSelf; }
  std::vector<Member> All() const;
  std::optional<Member> Find(const std::string& aId) const;
  /// Live daemons of a failure domain, this one included, by id.
  std::vector<Member> LiveIn(const std::string& aDomain) const;
  bool IsLive(const DaemonRef& aRef) const;
  /// The live daemon of @p aDomain that ranks first for @p aItem; nothing if there is none.
  std::optional<Member> FirstRanked(const std::string& aDomain, const std::string& aItem) const;
  /// Whether nothing has been heard of a failure domain for long.
  bool IsCutOff(Instant aNow, const std::string& aDomain) const;

private:
  struct Entry
  {
    Member member;
    Instant heardAt;
    Instant changedAt;
    bool watched = false;
  };

  void Merge(Instant aNow, const Member& aMember);
  void SetStatus(Instant aNow, Entry& aEntry, MemberStatus aStatus);
  std::vector<std::string> RingOf(const std::string& aDomain) const;
  /// The own failure domain's ring, beginning with this daemon.
  std::vector<std::string> RingFromSelf() const;
  std::vector<std::string> Successors() const;
  std::set<std::string> Watched() const;
  /// Those that get the present heartbeat.
  std::vector<std::string> Links() const;
  HeartbeatInfo MakeHeartbeat(Instant aNow, bool aWhole) const;

  Member mSelf;
  MembershipTimings mTimings;
  std::map<std::string, Entry> mEntries;
  std::map<std::string, Instant> mDomainHeardAt;
  std::set<std::string> mWantTable;
  Version mObjectsRevision = 0;
  Version mConfigRevision = 0;
  std::optional<Instant> mStartedAt;
  Instant mNextHeartbeat;
  std::uint64_t mHeartbeats = 0;
  bool mNews = false;
  Instant mSelfChangedAt;
  std::vector<MemberChange> mChanges;
};

} // namespace hawthornlug
