/// @file
/// Carries out who holds which keys of one service: choosing the daemon that grants, its orders,
/// and telling the others.
#pragma once

#include "core/metrics.h"
#include "ownership/range_directory.h"
#include "ownership/range_granter.h"
#include "placement/key_load.h"
#include "placement/range_planner.h"
#include "ports/backend_port.h"
#include "ports/object_store.h"
#include "routing/server_board.h"
#include "runtime/mesh.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornlug {

/// What a range runner works with.
struct RangeServices
{
  ObjectStore& store;
  BackendPort& backends;
  Mesh& mesh;
  ServerBoard& board;
  TimerService& timers;
  DecisionLog& log;
  Metrics& metrics;
};

/// The ranges of one service, in every daemon. Runs on the daemon's loop.
class RangeRunner
{
public:
  /// @p aChanged is called when owners have changed.
  RangeRunner(std::string aService,
              const GrantTiming& aTiming,
              RangeServices aServices,
              std::function<void()> aChanged);

  /// @p aStoreAge: how long ago this daemon heard from the store.
  void Tick(Instant aNow, Duration aStoreAge, bool aLeaving);
  /// The owner of @p aKey; null while nothing is known of it.
  const DirectoryRange* Find(RangeKey aKey) const { return mDirectory.Find(aKey); }
  /// A request for @p aKey took this much work.
  void NoteWork(RangeKey aKey, Duration aWork);

  void OnBeat(const MeshPeer& aPeer, const wire::RouterBeat& aBeat);
  void OnTable(const wire::RangeTable& aTable);
  void OnTableQuestion(const std::string& aDaemon);
  void OnKeyWork(const wire::KeyWork& aWork);
  /// The store lists the service's record.
  void OnServersChanged(Instant aNow) { mServersChangedAt = aNow; }

  bool IsGranting() const { return mGranter.IsHolder(); }
  std::uint64_t GrantedTerm() const { return mGranter.Term(); }
  const RangeDirectory& Directory() const { return mDirectory; }

private:
  void Elect(Instant aNow, Duration aStoreAge, bool aLeaving);
  /// Rank of this daemon among those that could grant; 0 is the first.
  unsigned Rank() const;
  /// The live daemon that says that it grants the keys.
  std::optional<std::string> Claimant() const;
  /// Reads the owners from the store while nobody has told them.
  void ReadRecord(Instant aNow);
  const StoredObject* FindRecord(const StoreReading& aReading) const;
  void TakeOver(const StoredObject& aRecord, const DaemonRef& aHolder);
  void BeginTakeover();
  void OnRecordListed(const StoreReading& aReading);
  void Plan(Instant aNow);
  /// Keeps reading whether the record still names this daemon.
  void WatchRecord(Instant aNow);
  void OnRecordWatched(const StoreReading& aReading);
  void FeedServers();
  void Carry(const std::vector<GranterAction>& aActions);
  /// Logs an order that was not done.
  void LogFailedOrder(const char* aOrder,
                      const std::string& aServer,
                      const KeyRange& aKeys,
                      OrderResult aResult);
  void Carry(const GrantKeys& aAction);
  void Carry(const ReleaseKeys& aAction);
  void Carry(const WriteRecord& aAction);
  void Publish();
  void LogNotes();
  void ReportWork(Instant aNow);
  wire::Envelope TableMessage(const DirectoryUpdate& aUpdate) const;
  std::vector<std::string> OpenServers() const;

  std::string mService;
  GrantTiming mTiming;
  RangeServices mServices;
  std::function<void()> mChanged;
  RangeGranter mGranter;
  RangeDirectory mDirectory;
  KeyLoad mLoad;
  std::map<RangeKey, Duration> mUnreported;
  Instant mStartedAt;
  Instant mServersChangedAt;
  Instant mClaimSeenAt;
  Instant mTickedAt;
  Instant mPlannedAt;
  Instant mReportedAt;
  Instant mAskedAt;
  Instant mTakeoverRetryAt;
  Instant mReadRetryAt;
  Instant mTakenAt;
  Instant mWatchRetryAt;
  Version mWatchedFrom = 0;
  bool mWatching = false;
  bool mRecordHistoryGone = false;
  bool mListing = false;
  DaemonRef mEarlier;
};

} // namespace hawthornlug
