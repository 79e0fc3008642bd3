/// @file
/// Assigns the keys of one service to its servers: elects the leader (the daemon that grants the
/// keys), executes the leader's commands and distributes the range table to the other daemons.
#pragma once

#include "core/load_features.h"
#include "core/metrics.h"
#include "ownership/range_directory.h"
#include "ownership/range_granter.h"
#include "ownership/term_history.h"
#include "placement/fleet_planner.h"
#include "placement/key_load.h"
#include "placement/key_profile.h"
#include "placement/range_planner.h"
#include "placement/server_vetting.h"
#include "ports/backend_port.h"
#include "ports/object_store.h"
#include "routing/server_selector.h"
#include "runtime/mesh.h"
#include "runtime/placement_report.h"
#include "runtime/server_notice_sink.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// The components that a range runner uses.
struct RangeServices
{
  ObjectStore& store;
  BackendPort& backends;
  Mesh& mesh;
  ServerSelector& selector;
  ServerNoticeSink& notices;
  TimerService& timers;
  DecisionLog& log;
  Metrics& metrics;
};

/// What a range runner needs to know of its daemon.
struct RangeDaemonState
{
  /// Time since the store last answered this daemon; 0 if the daemon does not watch the store.
  Duration storeAge = Duration::zero();
  /// The daemon is stopping.
  bool leaving = false;
  /// The daemon may read the ranges' record while no other daemon has told it the owners.
  bool readsRecord = false;
  /// The latest era of the store that the daemon knows; nothing before the first.
  std::optional<StoreEra> storeEra = std::nullopt;
};

/// How a leader is known to have stopped granting.
enum class EarlierLeaderEnd
{
  kRestarted, ///< A later process of its daemon is heard.
  kNoClaim,   ///< Its heartbeats no longer claim the service.
};
inline constexpr EnumNames<2> kEarlierLeaderEndNames = { "restarted", "no-claim" };

/// The key ranges of one service. Every daemon has one for each keyed service; in the leader it
/// also grants the keys. Runs on the daemon's event loop.
class RangeRunner
{
public:
  /// @p aChanged is called after every change of the range table.
  RangeRunner(std::string aService,
              const GrantTiming& aTiming,
              RangeServices aServices,
              std::function<void()> aChanged,
              const LoadFeatures& aFeatures = {});

  /// To be called every few milliseconds.
  void Tick(Instant aNow, const RangeDaemonState& aDaemon);
  /// The range that contains @p aKey, with its owner; null while it is not known.
  const DirectoryRange* Find(RangeKey aKey) const { return mDirectory.Find(aKey); }
  /// Adds the estimated work of a request for @p aKey, for the planning of the ranges.
  void AddWork(RangeKey aKey, Duration aWork);

  /// Requests a newer range table from the sender, and resigns if the sender leads with a higher
  /// term.
  void OnHeartbeat(const MeshPeer& aPeer, const wire::RouterBeat& aHeartbeat);
  /// Takes the leader's table; returns whether it was newer.
  bool OnRangeTable(const wire::RangeTable& aTable);
  void OnRangeTableRequest(const std::string& aDaemon);
  void OnKeyWorkReport(const wire::KeyWork& aWork);
  /// A server of the service was registered, its entry has changed, or it has announced that it
  /// leaves.
  void OnServersChanged(Instant aNow) { mServersChangedAt = aNow; }

  /// The live daemon that claims in its heartbeats to lead the service, with the highest term; none
  /// if its term is lower than this daemon's.
  std::optional<std::string> AnnouncedLeader() const;
  /// Whether this daemon is the service's leader.
  bool IsLeader() const { return mGranter.IsLeader(); }
  std::uint64_t LeaderTerm() const { return mGranter.Term(); }
  const RangeDirectory& Directory() const { return mDirectory; }

private:
  /// Takes over if there has been no leader for long enough.
  void Elect(Instant aNow, const RangeDaemonState& aDaemon);
  /// Rank of this daemon among those that could become leader; 0 takes over first.
  unsigned Rank() const;
  /// Reads the owners from the store while no range table has been received.
  void ReadRecord(Instant aNow);
  const StoredObject* FindRecord(const StoreReading& aReading) const;
  /// Notes a reading of the record, and logs it if its revision is lower than that of one before.
  void NoteRecord(const StoredObject& aRecord, Instant aAskedAt);
  void TakeOver(const StoredObject& aRecord);
  void BeginTakeover();
  /// Whether this daemon, as the leader, has lost the store while others reach it: it could finish
  /// no move, and the keys that are moving would be served by nobody.
  bool ShouldYield(Instant aNow) const;
  void OnRecordListed(const StoreReading& aReading);
  void Plan(Instant aNow);
  /// Plans with PlanFleet() and begins the moves.
  void PlanByCost(const std::vector<PlannedRange>& aRanges,
                  const std::vector<PlannedServer>& aServers,
                  Instant aNow);
  /// Whether exactly these keys are on their way to this target.
  bool IsMoving(const RangeMove& aMove) const;
  /// Servers with a range whose owner has left grants unanswered for long.
  std::set<std::string> UnresponsiveOwners(Instant aNow) const;
  std::vector<PlannedServer> ServersToPlan(const std::set<std::string>& aUnresponsive,
                                           Instant aNow) const;
  std::vector<PlannedRange> RangesToPlan(const std::set<std::string>& aUnresponsive,
                                         Instant aNow) const;
  /// Adds work to the measure that the planning uses.
  void CountWork(RangeKey aKey, Duration aWork, Instant aNow);
  /// Watches the range record, as the leader: it must still name this daemon.
  void WatchRecord(Instant aNow);
  /// @p aIsList: all records were listed, not only changes.
  void OnRecordWatched(const StoreReading& aReading, bool aIsList);
  /// Passes the service's servers to the granter.
  void UpdateGrantableServers();
  /// Sends health checks to the servers that have not answered anything yet.
  void VetServers(Instant aNow);
  void OnVettingAnswered(const ServerRef& aServer, const HealthReport& aReport);
  /// How @p aLeader is known to grant no more, and by which daemon's heartbeat.
  struct ProvenEnd
  {
    EarlierLeaderEnd end = EarlierLeaderEnd::kRestarted;
    const MeshPeer* peer = nullptr;
  };
  /// Nothing if the daemon may still grant.
  std::optional<ProvenEnd> EndOf(const DaemonRef& aLeader) const;
  /// Acts on the era of the store, if it is a new one.
  void UpdateEra(const std::optional<StoreEra>& aEra, Instant aNow);
  /// Whether another daemon should take over from this record, an older copy: one that ran before
  /// the restore can tell sooner that no earlier leader is left.
  bool ShouldLetOthersRestore(const StoredObject& aRecord, Instant aNow) const;
  /// Whether no daemon grants keys on the strength of an earlier era of the store any more.
  bool HaveEarlierErasEnded(Instant aNow) const;
  /// Reports earlier leaders as stopped once their heartbeats confirm that.
  void CheckEarlierLeaders();
  void Execute(const std::vector<GranterAction>& aActions);
  /// Logs a grant or release command that failed, and passes on the server's notice.
  void OnCommandAnswered(const char* aCommand,
                         const ServerRef& aServer,
                         const KeyRange& aKeys,
                         const CommandOutcome& aOutcome);
  void Execute(const GrantKeys& aAction);
  void Execute(const ReleaseKeys& aAction);
  void Execute(const WriteRecord& aAction);
  /// Sends changes of the range table to all daemons.
  void Publish();
  void LogGranterEvents();
  /// Sends the collected work to the leader, or adds it to the own statistics if this is the
  /// leader.
  void ReportWork(Instant aNow);
  wire::Envelope MakeTableMessage(const DirectoryUpdate& aUpdate) const;
  std::vector<std::string> OpenServers() const;

  std::string mService;
  GrantTiming mTiming;
  RangeServices mServices;
  std::function<void()> mOnRangesChanged;
  RangeGranter mGranter;
  RangeDirectory mDirectory;
  TermHistory mTerms;
  /// Moves are limited by what moving costs.
  bool mPlansByCost = false;
  /// Work by key; which of the two measures is kept depends on mPlansByCost.
  KeyLoad mKeyLoad;
  KeyProfile mKeyProfile;
  PlacementReport mReport;
  ServerVetting mVetting;
  /// Work of requests that has not been reported to the leader yet.
  std::map<RangeKey, Duration> mUnreportedWork;
  /// The latest era of the store that is known, and since when.
  std::optional<StoreEra> mEra;
  Instant mEraKnownAt;
  Instant mStartedAt;
  Instant mServersChangedAt;
  Instant mServersUpdatedAt;
  /// When the ranges were last compared with what the other daemons were told.
  Instant mPublishedAt;
  /// When there last was a leader.
  Instant mLeaderSeenAt;
  Instant mPlannedAt;
  Instant mReportedAt;
  Instant mTableRequestedAt;
  Instant mTakeoverRetryAt;
  Instant mReadRetryAt;
  /// When this daemon last became leader.
  Instant mBecameLeaderAt;
  Instant mWatchRetryAt;
  /// The highest revision of the record that was read, and when the store was asked for it.
  StoreRevision mRecordRevision;
  Instant mRecordAskedAt;
  /// Revision from which the range record is watched.
  StoreRevision mWatchRevision;
  bool mWatching = false;
  /// When the store was last asked for changes of the range record.
  Instant mWatchSentAt;
  /// The changes since that revision are gone or can't be read: the record must be listed.
  bool mMustListRecord = false;
  /// Whether a list call for the range record is in progress.
  bool mListing = false;
};

} // namespace hawthornlug
