/// @file
/// Decides who owns the shards of one cell while this daemon is attached to it.
#pragma once

#include "ownership/cell_actions.h"

#include <optional>

namespace hawthornlug {

/// A backend server as the configuration has it.
struct CellServerSpec
{
  std::string id;
  /// Whether the server checks tokens, grants and deadlines.
  bool checked = true;
  /// Whether new shards may be placed on it.
  bool accepting = true;
};

/// Durations that the daemons of a fleet must share.
struct CellTimings
{
  Duration grantTtl = milliseconds(1200);
  Duration renewInterval = milliseconds(200);
  Duration retryDelay = milliseconds(100);
  /// How long a planned move waits for the platform before it is given up.
  Duration writePatience = milliseconds(400);
  /// Longest time that an order may stay unanswered.
  Duration longestOrder = seconds(2);
  /// How much faster one clock may run than another, in parts per thousand.
  std::int64_t driftPerMille = 10;
};

/// Relation of this daemon to the cell.
enum class CellRole
{
  kIdle,     ///< Not attached.
  kTaking,   ///< Has asked the platform for the cell.
  kAttached, ///< Alone gives the cell's servers orders.
  kLeaving,  ///< Finishes orders before it passes the cell on.
};
inline constexpr EnumNames<4> kCellRoleNames = { "idle", "taking", "attached", "leaving" };

/// Where a shard stands between two owners.
enum class ShardPhase
{
  kBlocked,   ///< It is not yet certain that no grant lives elsewhere.
  kWriting,   ///< The new owner waits to be written down.
  kGranting,  ///< The owner is certain; its grant is on the way.
  kServing,   ///< The owner holds its grant.
  kStopping,  ///< A move waits for orders in flight.
  kReleasing, ///< A move waits for the owner's release.
  kSending,   ///< The departure to another cell waits to be written down.
};
inline constexpr EnumNames<7> kShardPhaseNames = { "blocked",  "writing",   "granting", "serving",
                                                   "stopping", "releasing", "sending" };

/// Whether an order may start now.
enum class AdmissionKind
{
  kServe,   ///< Send it to the named server.
  kHold,    ///< The shard will be served here shortly.
  kNotMine, ///< Another daemon or cell has the shard.
};
inline constexpr EnumNames<3> kAdmissionNames = { "serve", "hold", "not-mine" };

/// The answer to Admit().
struct Admission
{
  AdmissionKind kind = AdmissionKind::kNotMine;
  std::string server;
  Epoch epoch = 0;
  FencingToken token = 0;
  Incarnation incarnation = 0;
  /// The server's clock read `reading` no later than at `readAt`.
  ServerInstant reading = 0;
  Instant readAt;
};

/// State machine of one cell.
///
/// It has no threads, clocks or sockets: inputs are method calls with the time at which they
/// happen, outputs are actions to be carried out in order. It can be copied, so that tests explore
/// every order of inputs. The caller serialises calls.
class CellMachine
{
public:
  CellMachine(std::string aCell, DaemonRef aSelf, CellTimings aTimings);

  /// Sets the servers in force; a server that is left out accepts nothing more.
  void SetServers(Instant aNow, const std::vector<CellServerSpec>& aServers);
  /// Raises the longest time that an order may stay unanswered; it is never lowered, since
  /// orders that were sent before may still be under way.
  void SetLongestOrder(Duration aLongest);
  /// Sets the shards that the cell starts with when it has no object yet.
  void SetInitialShards(std::vector<ShardId> aShards);

  /// Asks for the attachment.
  void TakeOver(Instant aNow);
  /// Stops new orders, waits for those in flight and passes the cell on.
  void HandOver(Instant aNow, const DaemonRef& aTo);
  /// Begins a planned move inside the cell; false if it can't begin now.
  bool MoveShard(Instant aNow, ShardId aShard, const std::string& aServer);
  /// Begins a move to another cell; false if it can't begin now.
  bool SendShard(Instant aNow, ShardId aShard, const std::string& aCell);

  void OnTick(Instant aNow);
  /// A fresh reading of this cell's object; no object when there is none.
  void OnObject(Instant aNow, Version aVersion, const std::optional<CellObject>& aObject);
  /// The platform could not be read.
  void OnReadFailed(Instant aNow);
  /// A copy of this cell's object that may be old.
  void OnHint(Instant aNow, Version aVersion, const CellObject& aObject);
  /// A copy, maybe old, of another cell's object.
  void OnOtherHint(Instant aNow, const std::string& aCell, const CellObject& aObject);
  /// A fresh reading of another cell's object that was asked for at @p aOwnVersion.
  void OnOtherCell(Instant aNow,
                   const std::string& aCell,
                   Version aOwnVersion,
                   const CellObject& aObject);
  /// The other cell could not be read.
  void OnOtherReadFailed(const std::string& aCell);
  void OnWritten(Instant aNow, std::uint64_t aId, WriteOutcome aOutcome, Version aVersion);
  void OnFenced(Instant aNow, const std::string& aServer, const ServerReply& aReply);
  void OnGranted(Instant aNow, const std::string& aServer, const ServerReply& aReply);
  /// It is certain that this run of a daemon gives no more orders and grants.
  void OnDaemonGone(Instant aNow, const DaemonRef& aDaemon);

  /// Says what to do with an order for @p aShard.
  Admission Admit(Instant aNow, ShardId aShard) const;
  void OrderStarted(ShardId aShard);
  void OrderFinished(Instant aNow, ShardId aShard);

  /// Hands over the actions collected so far, oldest first.
  std::vector<CellAction> TakeActions();

  const std::string& Name() const { return mCell; }
  CellRole Role() const { return mRole; }
  FencingToken Token() const { return mToken; }
  /// Runs of daemons of which proof that they are gone would be of use.
  std::vector<DaemonRef> WantedEvidence() const;
  /// The last known record of the cell.
  const CellObject& Base() const { return mBase; }
  Version BaseVersion() const { return mBaseVersion; }
  bool IsUsable(const std::string& aServer) const;
  /// Number of shards that are not served at the moment although they belong here.
  std::size_t Unserved() const;
  /// The phase of a shard; nothing if the shard isn't here.
  std::optional<ShardPhase> PhaseOf(ShardId aShard) const;
  /// The present owner and epoch of a shard, written down or not; nothing if it isn't here.
  std::optional<ShardRecord> OwnerOf(ShardId aShard) const;
  /// The state as text with times relative to @p aNow; equal texts mean equal behaviour.
  std::string Describe(Instant aNow) const;

private:
  enum class ServerStatus
  {
    kUnknown,
    kFenced,
    kLapsed,
  };

  /// What is known for certain of the grants at a server.
  enum class Resolution
  {
    kUnresolved,
    kReadBack,
    kGone,
  };

  struct ServerState
  {
    CellServerSpec spec;
    ServerStatus status = ServerStatus::kUnknown;
    bool everFenced = false;
    Incarnation incarnation = 0;
    bool busy = false;
    CallNumber number = 0;
    Instant nextCallAt;
    ServerInstant reading = 0;
    Instant readAt;
    /// When every grant that this daemon has set is over.
    Instant lapseAt;
    std::map<ShardId, Epoch> reported;
    std::map<ShardId, Epoch> granted;
    std::map<ShardId, Epoch> toAdd;
    std::set<ShardId> toRemove;
    std::map<ShardId, Epoch> sentAdd;
    std::set<ShardId> sentRemove;
  };

  struct ShardState
  {
    ShardRecord record;
    ShardPhase phase = ShardPhase::kBlocked;
    std::uint32_t inFlight = 0;
    /// Whether this daemon has established the owner under its present token.
    bool known = false;
    std::string moveTo;
    std::string toCell;
    /// The record before a planned move that is not written yet.
    std::optional<ShardRecord> before;
    CellEvent cause = CellEvent::kShardServing;
  };

  /// Whether the cell may be taken from a daemon that may still be running.
  bool MayTake() const;
  void Note(CellEvent aEvent, ShardId aShard, const std::string& aServer, Epoch aEpoch);
  void BecomeIdle();
  void AttachAfterWrite(Instant aNow);
  void AdoptBase(Version aVersion, const CellObject& aObject);
  void AddUnlistedServers();
  void BeginMove(Instant aNow,
                 ShardState& aState,
                 const std::string& aServer,
                 const std::string& aCell);
  void ReceiveShards(const std::string& aCell, const CellObject& aObject);
  void WriteFailed(Instant aNow);
  void StartWrite(CellObject aObject);
  CellObject TakenObject() const;
  CellObject InitialObject() const;
  CellObject DesiredObject() const;
  CellObject HandedOverObject() const;
  bool NeedsWrite(const CellObject& aDesired) const;

  /// Whether there is nothing to decide until something changes.
  bool IsSettled() const;
  void Pump(Instant aNow);
  void PumpServers(Instant aNow);
  void PumpShards();
  void PumpShard(ShardId aShard, ShardState& aState);
  void PumpServing(ShardId aShard, ShardState& aState);
  void PumpGranting(ShardId aShard, ShardState& aState);
  void PumpStopping(ShardId aShard, ShardState& aState);
  void PumpWriting(ShardId aShard, ShardState& aState);
  void PumpSending(ShardId aShard);
  void PumpHeirs();
  void PumpReceives();
  void PumpWrites(Instant aNow);
  void PumpCalls(Instant aNow);
  void PumpLeave(Instant aNow);

  void CheckLapse(Instant aNow, const std::string& aId, ServerState& aServer);
  std::optional<Instant> LapseByEvidence(const std::string& aId, const ServerState& aServer) const;
  Duration LapseBound(bool aChecked) const;
  Resolution Resolve(const std::string& aServer) const;
  /// Whether all who may have had a grant are gone and no server of the cell is left.
  bool IsStranded(const ShardState& aState) const;
  void Unblock(ShardId aShard, ShardState& aState);
  void AdoptReported(ShardState& aState, ShardId aShard);
  bool InheritFromMemory(ShardId aShard, ShardState& aState);
  void RecoverThroughPlatform(ShardId aShard, ShardState& aState);
  void ForgetGrants(ServerState& aServer);
  void StartGranting(ShardId aShard, ShardState& aState);
  void FinishMove(ShardId aShard, ShardState& aState);
  void AbandonMoves();
  void RaiseEpochsOfBlocked(const std::string& aServer);
  bool HasWritten(ShardId aShard, const ShardState& aState) const;
  bool HasSent(ShardId aShard) const;
  /// The heir that every record of the shard which may stand names; empty if they differ.
  std::string RecordedHeir(ShardId aShard, const ShardRecord& aRecord) const;
  bool IsReleased(ShardId aShard, const ShardState& aState) const;
  std::string PickServer(ShardId aShard, const std::string& aExcept) const;
  void SendCall(const std::string& aId, ServerState& aServer);

  std::string mCell;
  DaemonRef mSelf;
  CellTimings mTimings;
  CellRole mRole = CellRole::kIdle;
  FencingToken mToken = 0;
  CellObject mBase;
  Version mBaseVersion = 0;
  bool mBaseKnown = false;
  std::vector<ShardId> mInitialShards;
  std::map<std::string, ServerState> mServers;
  std::map<ShardId, ShardState> mShards;
  std::map<ShardId, OutRecord> mOuts;
  /// Shards that are said to be on their way here, and from where.
  std::map<ShardId, std::string> mIncoming;
  /// Shards that arrived and may not leave before their source forgets them.
  std::map<ShardId, std::string> mArrived;
  /// Cells to be read afresh.
  std::set<std::string> mToRead;
  std::map<DaemonRef, Instant> mGone;
  std::optional<DaemonRef> mLeaveTo;
  Instant mTakenAt;

  std::optional<CellObject> mWriting;
  std::uint64_t mWriteId = 0;
  bool mMustRead = false;
  bool mReading = false;
  std::set<std::string> mReadingOther;
  Instant mRetryAt;
  std::optional<Instant> mWriteFailingSince;
  /// Writes on the present version whose answers were lost; any of them may still take effect.
  std::vector<CellObject> mUnknownWrites;
  /// Set when the last look at all shards left nothing to do.
  bool mSettled = false;
  std::vector<CellAction> mActions;
};

} // namespace hawthornlug
