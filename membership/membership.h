/// @file
/// Failure detector: which daemons this daemon believes to be running.
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

/// State that a daemon is believed to be in. Of two reports on the same incarnation with the same
/// version, the one with the later value takes precedence.
enum class MemberStatus
{
  kAlive,
  kSuspect, ///< A watcher has received no heartbeat from it for MembershipTimings::suspectAfter.
  kGone,    ///< The same for goneAfter. This is not a proof that it has stopped.
  kLeft,    ///< It has announced that it is stopping.
};
inline constexpr EnumNames<4> kMemberStatusNames = { "alive", "suspect", "gone", "left" };

/// A daemon, and the state that it is believed to be in.
struct Member
{
  std::string id;
  Incarnation incarnation = 0;
  std::string domain;
  std::string httpUrl;
  std::string peerEndpoint;
  MemberStatus status = MemberStatus::kAlive;
  /// Increased only by the daemon itself, to override reports about its current incarnation.
  std::uint64_t version = 0;

  DaemonRef Ref() const { return { id, incarnation }; }
  bool IsLive() const { return status == MemberStatus::kAlive || status == MemberStatus::kSuspect; }
};

/// Contents of a heartbeat from one daemon to another.
struct HeartbeatInfo
{
  /// The members that changed recently, or the whole table.
  std::vector<Member> changes;
  Version objectsRevision = 0;
  Version configRevision = 0;
  /// Time since the last heartbeat from each failure domain, which the sender or a daemon that
  /// sends it heartbeats received.
  std::map<std::string, Duration> domainAges;
  /// Whether the sender asks for the whole table, because it does not have the incarnation of some
  /// daemon yet.
  bool requestsFullTable = false;
};

/// A heartbeat to be sent.
struct OutgoingHeartbeat
{
  Member to;
  HeartbeatInfo heartbeat;
};

/// Intervals and timeouts of the failure detector.
struct MembershipTimings
{
  Duration heartbeatInterval = milliseconds(100);
  /// Heartbeats to other failure domains are sent at one in this many heartbeat intervals.
  std::uint64_t crossDomainEvery = 5;
  /// For this time after a change, heartbeats to other failure domains are sent at every interval.
  Duration recentChangePeriod = milliseconds(500);
  /// A watched daemon is suspected after this time without a heartbeat.
  Duration suspectAfter = milliseconds(400);
  /// A watched daemon is believed gone after this time without a heartbeat.
  Duration goneAfter = milliseconds(550);
  /// A change is included in heartbeats for this time.
  Duration gossipPeriod = seconds(3);
  /// A failure domain from which no heartbeat was received for this time counts as isolated.
  Duration domainIsolatedAfter = milliseconds(1500);
  /// Number of daemons that watch each daemon.
  std::size_t watcherCount = 3;
};

/// A daemon whose incarnation or status changed.
struct MemberChange
{
  Member member;
};

/// Failure detector. The daemons of a failure domain form a ring, sorted by id; each daemon is
/// watched by the next ones on the ring, to which it sends heartbeats. The first-ranked daemons of
/// the failure domains send each other heartbeats, so that a domain that becomes isolated is
/// noticed. The state depends only on the arguments of the calls. Not thread-safe: calls must be
/// serialised.
class Membership
{
public:
  Membership(Member aSelf, MembershipTimings aTimings);

  /// Adds a daemon that is named in the settings or in the platform's list of hosts, if it is not
  /// in the table yet; its incarnation may be unknown (0).
  void Learn(Instant aNow, const Member& aMember);
  void OnHeartbeat(Instant aNow, const Member& aFrom, const HeartbeatInfo& aHeartbeat);
  /// Announces with the next heartbeats that this daemon is stopping.
  void Leave(Instant aNow);
  /// Sets the revisions that are sent in heartbeats.
  void SetRevisions(Version aObjects, Version aConfig);

  /// Updates the status of the watched daemons that sent no heartbeat in time, and returns the
  /// heartbeats that are due.
  std::vector<OutgoingHeartbeat> OnTick(Instant aNow);
  /// Returns the changes since the last call.
  std::vector<MemberChange> TakeChanges();

  const Member& Self() const { return mSelf; }
  /// Returns all daemons in the table, this one first.
  std::vector<Member> All() const;
  std::optional<Member> Find(const std::string& aId) const;
  /// Returns the live daemons of a failure domain whose incarnation is known, this daemon included,
  /// sorted by id.
  std::vector<Member> LiveIn(const std::string& aDomain) const;
  /// Whether this incarnation of a daemon is believed to be running.
  bool IsLive(const DaemonRef& aRef) const;
  /// Returns the live daemon of @p aDomain that ranks first for @p aItem by rendezvous hashing;
  /// nothing if there is none.
  std::optional<Member> FirstRanked(const std::string& aDomain, const std::string& aItem) const;
  /// Whether no heartbeat from a failure domain was received for
  /// MembershipTimings::domainIsolatedAfter, directly or as reported by other daemons.
  bool IsIsolated(Instant aNow, const std::string& aDomain) const;

private:
  struct Entry
  {
    Member member;
    /// When a heartbeat from it, or a report that it is live, was last received.
    Instant lastSeenAt;
    /// When the entry last changed.
    Instant changedAt;
    /// Whether this daemon has begun to watch it.
    bool watched = false;
  };

  /// Takes over a report about a daemon if it takes precedence over the entry in the table. If it
  /// is a wrong report about this daemon, prepares its correction.
  void Merge(Instant aNow, const Member& aMember);
  void SetStatus(Instant aNow, Entry& aEntry, MemberStatus aStatus);
  /// Ids of the live daemons of a failure domain, sorted.
  std::vector<std::string> RingOf(const std::string& aDomain) const;
  /// The ring of this daemon's failure domain, beginning with this daemon.
  std::vector<std::string> RingFromSelf() const;
  /// The daemons that watch this one.
  std::vector<std::string> Successors() const;
  /// The daemons that this one watches.
  std::set<std::string> WatchedDaemons() const;
  /// The daemons that the current heartbeat is sent to.
  std::vector<std::string> HeartbeatTargets() const;
  HeartbeatInfo MakeHeartbeat(Instant aNow, bool aFullTable) const;

  Member mSelf;
  MembershipTimings mTimings;
  std::map<std::string, Entry> mEntries;
  std::map<std::string, Instant> mDomainLastSeenAt;
  /// Daemons that asked for the whole table and have not been sent it yet.
  std::set<std::string> mFullTableRequests;
  Version mObjectsRevision = 0;
  Version mConfigRevision = 0;
  std::optional<Instant> mStartedAt;
  Instant mNextHeartbeat;
  /// Number of heartbeat intervals so far.
  std::uint64_t mHeartbeatRounds = 0;
  /// Whether a daemon changed within the last MembershipTimings::recentChangePeriod.
  bool mHasRecentChange = false;
  Instant mSelfChangedAt;
  std::vector<MemberChange> mChanges;
};

} // namespace hawthornlug
