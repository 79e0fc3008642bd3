/// @file
/// Decides which server owns each shard of one cell while this daemon is attached to the cell.
#pragma once

#include "ownership/cell_actions.h"

#include <optional>

namespace hawthornlug {

/// A backend server as configured.
struct CellServerSpec
{
  std::string id;
  /// Whether the server checks tokens, grants and deadlines.
  bool checked = true;
  /// Whether new shards may be placed on it.
  bool accepting = true;
};

/// Durations that must be the same on all daemons of a fleet.
struct CellTimings
{
  /// Length of the lease that each grant command gives a server.
  Duration grantTtl = milliseconds(1200);
  /// Interval between two renewals of a server's lease.
  Duration renewInterval = milliseconds(200);
  /// Delay before a failed call to a server or a failed access to the platform is repeated.
  Duration retryDelay = milliseconds(100);
  /// How long the platform may keep failing before planned moves that are not written yet are
  /// abandoned.
  Duration moveWriteTimeout = milliseconds(400);
  /// Longest time that an order may remain unanswered.
  Duration maxOrderDuration = seconds(2);
  /// How much faster one clock may run than another, in parts per thousand.
  std::int64_t clockDriftPerMille = 10;
};

/// Relation of this daemon to the cell. The attached daemon is the cell's leader: the only one
/// that sends orders and commands to its servers.
enum class CellRole
{
  kIdle,     ///< Not attached.
  kTaking,   ///< Is writing itself to the cell's object as the attached daemon.
  kAttached, ///< Leads the cell.
  kLeaving,  ///< Starts no more orders; hands the cell over when those in flight have finished.
};
inline constexpr EnumNames<4> kCellRoleNames = { "idle", "taking", "attached", "leaving" };

/// Progress of a shard towards being served, or of its move to another server or cell.
enum class ShardPhase
{
  kBlocked,   ///< No owner is established: another grant may be live, or no server is usable.
  kWriting,   ///< The new owner is being written to the platform.
  kGranting,  ///< The owner is established; its grant has not been acknowledged yet.
  kServing,   ///< The owner has its grant.
  kStopping,  ///< A move waits for orders in flight to finish.
  kReleasing, ///< A move waits until the owner has released the shard.
  kSending,   ///< The departure to another cell is being written to the platform.
};
inline constexpr EnumNames<7> kShardPhaseNames = { "blocked",  "writing",   "granting", "serving",
                                                   "stopping", "releasing", "sending" };

/// Whether an order may start now.
enum class AdmissionKind
{
  kServe,   ///< Send it to the named server.
  kHold,    ///< The shard belongs to this cell but can't be served yet; let the order wait.
  kNotMine, ///< Another daemon or cell has the shard.
};
inline constexpr EnumNames<3> kAdmissionNames = { "serve", "hold", "not-mine" };

/// The answer to Admit(). The fields after `kind` are set for AdmissionKind::kServe only.
struct Admission
{
  AdmissionKind kind = AdmissionKind::kNotMine;
  std::string server;
  Epoch epoch = 0;
  FencingToken token = 0;
  Incarnation incarnation = 0;
  /// The server's clock showed `reading` at `clockReadAt` or earlier.
  ServerInstant reading = 0;
  Instant clockReadAt;
};

/// State machine of one cell.
///
/// It has no threads, clocks or sockets: inputs are method calls with the time at which they
/// happen, outputs are actions that the caller executes in order. It can be copied, so that tests
/// can explore every order of inputs. The caller serialises calls.
class CellMachine
{
public:
  CellMachine(std::string aCell, DaemonRef aSelf, CellTimings aTimings);

  /// Sets the configured servers. A server that is missing from the list gets no new shards.
  void SetServers(Instant aNow, const std::vector<CellServerSpec>& aServers);
  /// Raises the longest time that an order may remain unanswered. It is never lowered, since
  /// orders that were sent earlier may still be in flight.
  void SetMaxOrderDuration(Duration aLongest);
  /// Sets the shards that the cell starts with if it has no object at the platform yet.
  void SetInitialShards(std::vector<ShardId> aShards);

  /// Tries to attach this daemon to the cell.
  void TakeOver(Instant aNow);
  /// Starts no more orders, waits for those in flight and attaches @p aTo to the cell.
  void HandOver(Instant aNow, const DaemonRef& aTo);
  /// Begins a planned move to another server of the cell; returns false if it can't begin now.
  bool MoveShard(Instant aNow, ShardId aShard, const std::string& aServer);
  /// Begins a move to another cell; returns false if it can't begin now.
  bool SendShard(Instant aNow, ShardId aShard, const std::string& aCell);

  void OnTick(Instant aNow);
  /// Result of ReadCell: the current object of this cell, or std::nullopt if it does not exist.
  void OnObject(Instant aNow, Version aVersion, const std::optional<CellObject>& aObject);
  /// ReadCell failed.
  void OnCellReadFailed(Instant aNow);
  /// A cached copy of this cell's object, possibly stale.
  void OnCachedObject(Instant aNow, Version aVersion, const CellObject& aObject);
  /// A cached copy of another cell's object, possibly stale.
  void OnOtherCachedObject(Instant aNow, const std::string& aCell, const CellObject& aObject);
  /// Result of ReadOtherCell: the current object of another cell. @p aOwnVersion is the version
  /// that the request contained.
  void OnOtherCellRead(Instant aNow,
                       const std::string& aCell,
                       Version aOwnVersion,
                       const CellObject& aObject);
  /// ReadOtherCell failed.
  void OnOtherCellReadFailed(const std::string& aCell);
  void OnWritten(Instant aNow, std::uint64_t aId, WriteOutcome aOutcome, Version aVersion);
  void OnFenced(Instant aNow, const std::string& aServer, const ServerReply& aReply);
  void OnGranted(Instant aNow, const std::string& aServer, const ServerReply& aReply);
  /// This incarnation of a daemon is confirmed stopped: it sends no more orders and grants.
  void OnDaemonStopped(Instant aNow, const DaemonRef& aDaemon);

  /// Returns whether an order for @p aShard may start, and at which server.
  Admission Admit(Instant aNow, ShardId aShard) const;
  void OrderStarted(ShardId aShard);
  void OrderFinished(Instant aNow, ShardId aShard);

  /// Returns the actions collected since the last call, oldest first.
  std::vector<CellAction> TakeActions();

  const std::string& Name() const { return mCell; }
  CellRole Role() const { return mRole; }
  FencingToken Token() const { return mToken; }
  /// Daemon incarnations that may be attached or may have granted to a server. Confirming that
  /// they have stopped lets this daemon take the cell over, or serve its shards, earlier.
  std::vector<DaemonRef> DaemonsToConfirmStopped() const;
  /// The last known object of the cell.
  const CellObject& LastKnownObject() const { return mLastKnown; }
  Version LastKnownVersion() const { return mLastKnownVersion; }
  /// Whether the server has accepted this daemon's token and its incarnation is recorded at the
  /// platform, so that shards may be granted to it.
  bool IsUsable(const std::string& aServer) const;
  /// Number of shards of this cell that are not in ShardPhase::kServing.
  std::size_t UnservedCount() const;
  /// The phase of a shard; std::nullopt if the shard is not in this cell.
  std::optional<ShardPhase> PhaseOf(ShardId aShard) const;
  /// The present owner, epoch and standby of a shard, whether or not they are written to the
  /// platform; std::nullopt if the shard is not in this cell.
  std::optional<ShardRecord> OwnerOf(ShardId aShard) const;
  /// The state as text, with times relative to @p aNow. Machines with equal texts behave equally.
  std::string Describe(Instant aNow) const;

private:
  enum class ServerStatus
  {
    kUnknown,       ///< Has not accepted this attachment's token; earlier grants may be live.
    kFenced,        ///< Has accepted this attachment's token.
    kGrantsExpired, ///< All grants to it have expired; it must be fenced again.
  };

  /// What this daemon knows of the grants that a server may have.
  enum class GrantKnowledge
  {
    kUncertain, ///< Grants of earlier leaders may be live.
    kReported,  ///< The server has been fenced and has reported the epochs that it was granted.
    kNone,      ///< No grant of the recorded incarnation can be live.
  };

  struct ServerState
  {
    CellServerSpec spec;
    ServerStatus status = ServerStatus::kUnknown;
    /// Whether the server has accepted the token at least once during this attachment.
    bool everFenced = false;
    Incarnation incarnation = 0;
    /// Whether a call to the server is in flight.
    bool callInFlight = false;
    /// Number of the last call.
    CallNumber callNumber = 0;
    Instant nextCallAt;
    /// The server's clock in its last accepted reply, and when that reply arrived.
    ServerInstant clockReading = 0;
    Instant clockReadAt;
    /// When every grant that this daemon has sent has expired.
    Instant grantsExpireAt;
    /// Highest epoch of each shard that the server reported when it was fenced.
    std::map<ShardId, Epoch> reportedEpochs;
    /// Grants that the server has acknowledged.
    std::map<ShardId, Epoch> grantedEpochs;
    /// Changes for the next grant command.
    std::map<ShardId, Epoch> pendingAdd;
    std::set<ShardId> pendingRemove;
    /// Changes in the last grant command that are not acknowledged yet.
    std::map<ShardId, Epoch> unackedAdd;
    std::set<ShardId> unackedRemove;
  };

  struct ShardState
  {
    ShardRecord record;
    ShardPhase phase = ShardPhase::kBlocked;
    std::uint32_t ordersInFlight = 0;
    /// Whether this daemon has established the owner under its present token.
    bool ownerKnown = false;
    /// Destination of a move inside the cell.
    std::string moveToServer;
    /// Destination of a move to another cell.
    std::string moveToCell;
    /// The record before a planned move that is not written yet.
    std::optional<ShardRecord> recordBeforeMove;
    /// The event to report when the record has been written.
    CellEvent eventWhenWritten = CellEvent::kShardServing;
  };

  /// Whether the cell may be taken over from a daemon that may still be running.
  bool MayTakeOver() const;
  void ReportEvent(CellEvent aEvent, ShardId aShard, const std::string& aServer, Epoch aEpoch);
  void BecomeIdle();
  void BecomeAttached(Instant aNow);
  void SetLastKnown(Version aVersion, const CellObject& aObject);
  /// Adds the servers that are in the cell's object but not in the configuration.
  void AddUnconfiguredServers();
  void BeginMove(Instant aNow,
                 ShardState& aState,
                 const std::string& aServer,
                 const std::string& aCell);
  void ReceiveShards(const std::string& aCell, const CellObject& aObject);
  /// Remembers the time of the first failure since the platform last worked.
  void MarkPlatformFailing(Instant aNow);
  void StartWrite(CellObject aObject);
  CellObject TakeoverObject() const;
  CellObject InitialObject() const;
  CellObject DesiredObject() const;
  CellObject HandoverObject() const;
  bool NeedsWrite(const CellObject& aDesired) const;

  /// Whether there is nothing to decide until something changes.
  bool IsSettled() const;
  /// Makes all decisions that are possible now.
  void Advance(Instant aNow);
  void CheckGrantExpiries(Instant aNow);
  void AdvanceShards();
  void AdvanceShard(ShardId aShard, ShardState& aState);
  void AdvanceServing(ShardId aShard, ShardState& aState);
  void AdvanceGranting(ShardId aShard, ShardState& aState);
  void AdvanceStopping(ShardId aShard, ShardState& aState);
  void AdvanceWriting(ShardId aShard, ShardState& aState);
  void AdvanceSending(ShardId aShard);
  /// Replaces standbys that are unusable, do not accept shards or are the owner themselves.
  void ChooseStandbys();
  void ReadOtherCells();
  void WriteIfNeeded(Instant aNow);
  /// Sends the calls that are due, and changes of grants at once.
  void SendDueCalls(Instant aNow);
  void AdvanceHandover(Instant aNow);

  void CheckGrantExpiry(Instant aNow, const std::string& aId, ServerState& aServer);
  /// When all grants of earlier leaders to a server that is not fenced have expired;
  /// std::nullopt while one of these leaders is not confirmed stopped.
  std::optional<Instant> EarlierGrantsExpireAt(const std::string& aId,
                                               const ServerState& aServer) const;
  /// Longest time, by this daemon's clock, that a grant has effect after it was sent. For a server
  /// that does not check grants it includes the longest order.
  Duration MaxGrantLifetime(bool aChecked) const;
  GrantKnowledge GrantKnowledgeOf(const std::string& aServer) const;
  /// Whether neither owner nor standby can have a live grant and no server of the cell is usable.
  bool IsOrphaned(const ShardState& aState) const;
  /// Establishes the owner of a blocked shard if enough is known, or chooses a new one.
  void EstablishOwner(ShardId aShard, ShardState& aState);
  /// Swaps owner and standby if the standby reported a grant under a higher epoch.
  void AdoptReportedOwner(ShardState& aState, ShardId aShard);
  /// Makes the recorded standby the owner before this is written to the platform; returns false
  /// if that is not safe.
  bool PromoteStandby(ShardId aShard, ShardState& aState);
  /// Chooses an owner that gets its grant only after it has been written to the platform.
  void RecoverThroughPlatform(ShardId aShard, ShardState& aState);
  void ClearGrants(ServerState& aServer);
  void StartGranting(ShardId aShard, ShardState& aState);
  /// Called when the old owner can no longer have a grant: starts writing the new owner or the
  /// departure.
  void FinishMove(ShardId aShard, ShardState& aState);
  void AbandonMoves();
  void RaiseEpochsOfBlocked(const std::string& aServer);
  /// Whether the last known object names the present owner and epoch of the shard.
  bool IsOwnerWritten(ShardId aShard, const ShardState& aState) const;
  /// Whether the last known object lists the shard as a departure.
  bool IsDepartureWritten(ShardId aShard) const;
  /// The standby named by the last known object and by every write that may still take effect;
  /// empty if they differ.
  std::string RecordedStandby(ShardId aShard, const ShardRecord& aRecord) const;
  bool IsReleased(ShardId aShard, const ShardState& aState) const;
  /// Chooses a usable server that accepts shards; empty if there is none.
  std::string PickServer(ShardId aShard, const std::string& aExcept) const;
  void SendCall(const std::string& aId, ServerState& aServer);

  std::string mCell;
  DaemonRef mSelf;
  CellTimings mTimings;
  CellRole mRole = CellRole::kIdle;
  FencingToken mToken = 0;
  /// The last known object of the cell; version 0 means that it does not exist.
  CellObject mLastKnown;
  Version mLastKnownVersion = 0;
  /// Whether the object, or its absence, is known at all.
  bool mHasLastKnown = false;
  std::vector<ShardId> mInitialShards;
  std::map<std::string, ServerState> mServers;
  std::map<ShardId, ShardState> mShards;
  /// Shards that have left for another cell whose object does not list them yet.
  std::map<ShardId, DepartureRecord> mDepartures;
  /// Shards that are reported to be on their way to this cell, and their source cells.
  std::map<ShardId, std::string> mIncoming;
  /// Shards that arrived and may not leave until their source cell, given here, no longer lists
  /// them as departures.
  std::map<ShardId, std::string> mArrivals;
  /// Other cells whose objects have to be read.
  std::set<std::string> mCellsToRead;
  /// Daemons confirmed stopped, and when the confirmation came.
  std::map<DaemonRef, Instant> mStoppedDaemons;
  /// The daemon to which the cell is being handed over.
  std::optional<DaemonRef> mHandoverTo;
  Instant mAttachedAt;

  std::optional<CellObject> mWriteInFlight;
  std::uint64_t mWriteId = 0;
  bool mMustRead = false;
  bool mReadInFlight = false;
  std::set<std::string> mCellReadsInFlight;
  /// Earliest time of the next access to the platform.
  Instant mPlatformRetryAt;
  std::optional<Instant> mPlatformFailingSince;
  /// Writes on the present version whose outcome is unknown; any of them may still take effect.
  std::vector<CellObject> mUnconfirmedWrites;
  /// Set when the last pass over all shards left nothing to decide.
  bool mSettled = false;
  std::vector<CellAction> mActions;
};

} // namespace hawthornlug
