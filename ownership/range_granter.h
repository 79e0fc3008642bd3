/// @file
/// Decides which server owns which keys of a service: grants, renewals, moves between servers, and
/// takeover by another daemon.
#pragma once

#include "config/stored_object.h"
#include "core/instant.h"
#include "ownership/grant_commands.h"
#include "ownership/range_directory.h"

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornlug {

/// Durations and limits for grants.
struct GrantTiming
{
  /// How long a grant is valid after it has reached the server.
  Duration hold = seconds(4);
  /// Interval between renewals of a grant.
  Duration renewalInterval = milliseconds(1100);
  /// Largest fraction by which a server's clock may run slow, so that its grants last longer.
  double maxClockDrift = 0.02;
  /// Safety margin that is added to every wait for a grant to expire.
  Duration expiryMargin = milliseconds(300);
  /// Timeout of a grant command.
  Duration grantTimeout = milliseconds(600);
  /// Timeout of a release command. It is longer than that of a grant because a server answers a
  /// release only after the running requests for the keys have ended.
  Duration releaseTimeout = seconds(3);
  /// A leader stops renewing grants when its last confirmation that the stored record still names
  /// it is older than this.
  Duration unconfirmedRenewalLimit = seconds(12);
  /// Largest age of a reading of the record when it arrives. Also: no new move starts when the last
  /// confirmation by the record is older than this.
  Duration maxConfirmationAge = seconds(3);
};

/// What the granting daemon has recorded of a server.
struct GrantableServer
{
  Incarnation incarnation = 0;
  std::string address;
  /// The server is in the registry. If false, the other fields are the last known ones.
  bool registered = false;
  /// Keys may be granted to the server.
  bool open = false;
};

/// Action: send a server a command that grants it keys or renews the grant.
struct GrantKeys
{
  /// Identifies the command in OnGranted().
  std::uint64_t order = 0;
  std::string server;
  GrantCommand grant;
};

/// Action: send a server a command to release keys.
struct ReleaseKeys
{
  /// Identifies the command in OnReleased().
  std::uint64_t order = 0;
  std::string server;
  ReleaseCommand release;
};

/// Action: write the record to the store if it still has the expected version.
struct WriteRecord
{
  StoreRevision expected;
  std::string value;
};

using GranterAction = std::variant<GrantKeys, ReleaseKeys, WriteRecord>;

/// A range, or a part of one, that is to be moved to another server.
struct RangeMove
{
  KeyRange keys;
  std::string to;
};

/// What showed that a range's earlier owner no longer held it when it got its present one.
enum class OwnerEndProof
{
  kNone,      ///< No server had owned it.
  kReleased,  ///< The owner has released the keys.
  kLapsed,    ///< Every grant that may have reached the owner has expired.
  kRestarted, ///< The new owner is another incarnation of the same server.
};
inline constexpr EnumNames<4> kOwnerEndProofNames = { "none", "released", "lapsed", "restarted" };

/// A change made or noticed by the granter, for the event log.
struct GranterEvent
{
  enum class Type
  {
    kTaken,      ///< This daemon became leader.
    kSuperseded, ///< Another daemon is leader, or a server has seen a higher token.
    kPaused,     ///< This daemon did not run for a while, so another one may be leader.
    kMoved,      ///< A range has a new owner.
    kRestored,   ///< This daemon, the leader, has written its record to a restored store.
  };
  Type type = Type::kTaken;
  KeyRange keys;
  std::string from;
  std::string to;
  FencingToken token = 0;
  std::string reason;
  /// For kRestored: ranges whose owners have confirmed that they hold them, ranges whose owners may
  /// be others, and the time since this daemon learned of the restore.
  std::size_t confirmed = 0;
  std::size_t uncertain = 0;
  Duration elapsed = Duration::zero();
};

/// Phase of a range: held, or on its way to a new owner.
enum class RangePhase
{
  kHeld,      ///< The owner is sent grants for the keys.
  kReleasing, ///< Waits until the owner has released the keys or its grants have expired.
  kReleased,  ///< No server holds the keys. The new owner has yet to be written to the store.
  kWriting,   ///< The new owner is being written to the store.
};
inline constexpr EnumNames<4> kRangePhaseNames = { "held", "releasing", "released", "writing" };

/// Manages the ranges of one service, in the daemon that is the service's leader or tries to become
/// it. The leader is the only daemon that grants the service's keys. The class uses no clock,
/// socket or thread: callers report what happened, and Tick() returns the actions to execute.
///
/// A grant is sent only after its owner and token are in the store, put there by a conditional
/// write that also names this daemon as leader. The owner of a range changes from S to T only after
/// one of:
/// - S has released the keys, and every unanswered grant to S has expired;
/// - every grant that may have reached S has expired: also those of earlier leaders, until S has
///   accepted this leader's token and refuses them.
/// If the registry has another incarnation of S, the earlier one has ended, but the new one may
/// have accepted a renewal that was meant for it. So the keys are granted to the new one, with a
/// higher token, before they may move.
///
/// A store that was restored from a copy has lost who owned keys since. Its record says so by its
/// era, and then names owners, but proves nothing:
/// - The leader goes on with the tokens that it has, and writes its record anew once the owners
///   have accepted them again. A server that accepts shows that no later leader has given its keys
///   away, since that leader would have made it accept a higher token first. Only then does the
///   leader raise the tokens.
/// - What no owner confirms, and all ranges of a daemon that takes over from an older copy, may be
///   held by any server. They are granted to nobody until every grant of an earlier era has
///   expired.
class RangeGranter
{
public:
  RangeGranter(DaemonRef aSelf, GrantTiming aTiming);

  /// Whether a range that gets a new owner shares its token with the neighbouring ranges of that
  /// owner, so that they become one range. The neighbours' owner does not change. Off by default.
  void SetJoinsNeighbours(bool aJoins) { mJoinsNeighbours = aJoins; }
  /// Limits the release commands that a server has been sent and has not answered. The other ranges
  /// stay with it until it has answered. No limit by default.
  void SetMaxReleases(std::size_t aPerServer) { mMaxReleases = aPerServer; }

  /// Starts a takeover: an attempt to become leader.
  /// @p aCurrent: the stored record, if there is one.
  /// @p aOwners: servers among which all keys are divided if there is no record.
  /// @p aEndedBefore: leaders of lower terms are known to renew no more; see RenewalLimit().
  void TakeOver(const std::optional<StoredObject>& aCurrent,
                const std::vector<std::string>& aOwners,
                Instant aNow,
                std::uint64_t aEndedBefore = 0);
  /// How long a leader may go on renewing after another one has taken over.
  Duration RenewalLimit() const
  {
    return mTiming.unconfirmedRenewalLimit + mTiming.maxConfirmationAge;
  }
  /// Stops being leader. Sends nothing to the servers: their grants stay valid until they expire.
  void Resign();
  bool IsLeader() const { return mState == State::kLeading || mState == State::kRestoring; }
  /// Whether this daemon led when the store was restored and has not written its record anew yet.
  bool IsRestoring() const { return mState == State::kRestoring; }
  bool IsIdle() const { return mState == State::kIdle; }
  std::uint64_t Term() const { return mRecord.term; }

  void SetServers(std::map<std::string, GrantableServer> aServers);
  /// Earlier leaders that are not confirmed to have stopped.
  const std::vector<EarlierLeader>& EarlierLeaders() const { return mEarlierLeaders; }
  /// Reports that an earlier leader is confirmed to have stopped. Once all have, no earlier grant
  /// is renewed, so all expire within the lifetime of one grant.
  void OnEarlierLeaderStopped(const DaemonRef& aLeader, Instant aNow);
  /// Reports the latest era of the store that this daemon knows.
  void OnStoreEra(StoreEra aEra, Instant aNow);
  /// Reports that the store has no record, in this era.
  void OnRecordMissing(StoreEra aEra, Instant aNow);
  /// Reports that @p aRecord was read from the store, which was asked for it at @p aAskedAt.
  void OnRecordRead(const StoredObject& aRecord, Instant aAskedAt, Instant aNow);
  /// Reports that the store, asked at @p aAskedAt, has no record later than Revision().
  void OnRecordUnchanged(Instant aAskedAt, Instant aNow);
  /// When the store last confirmed that the record names this daemon, as the leader.
  Instant ConfirmedAt() const { return mLeadershipConfirmedAt; }
  /// Revision of the record as this daemon last wrote it.
  StoreRevision Revision() const { return mRevision; }

  /// Starts to move the keys; if exactly these keys are being moved already, changes their target.
  /// Ignored if the keys are not all within one range, are a part of a range that is being moved,
  /// belong to the target already, or have a new owner that is being written. Also ignored if the
  /// target may not be granted keys, while this daemon is not leader or its last confirmation
  /// by the record is older than GrantTiming::maxConfirmationAge, and if the move can wait (see
  /// ShouldStay()).
  void Move(const RangeMove& aMove, Instant aNow);

  /// Advances all ranges to @p aNow and returns the actions to execute. Resigns if the last call
  /// was longer than kMaxTickGap ago.
  std::vector<GranterAction> Tick(Instant aNow);
  /// Reports the result of the latest WriteRecord action.
  void OnWritten(const StoreWrite& aWrite, Instant aNow);
  /// Reports the result of a grant command.
  void OnGranted(std::uint64_t aCommandId, CommandResult aResult, Instant aNow);
  /// Reports the result of a release command.
  void OnReleased(std::uint64_t aCommandId, const CommandOutcome& aOutcome, Instant aNow);

  /// Returns what changed in the directory since the last call, as a snapshot the first time;
  /// nothing if there are no changes.
  std::optional<DirectoryUpdate> TakeUpdate();
  /// Returns the directory as last returned by TakeUpdate(), whole.
  DirectoryUpdate DirectorySnapshot() const;
  /// Returns and clears the events since the last call.
  std::vector<GranterEvent> TakeEvents();

  /// A range and its state.
  struct Range
  {
    OwnedRange owned;
    RangePhase phase = RangePhase::kHeld;
    /// The owner has accepted a grant with the current token.
    bool tokenAccepted = false;
    /// While earlier leaders may still grant, the owner must accept one more grant with this
    /// leader's token before it is asked to release the keys: if it has restarted unnoticed, it has
    /// forgotten the token that makes it refuse them.
    bool needsFencing = false;
    /// The owner is taken to serve the keys although it has accepted no grant from this leader.
    bool presumedServing = false;
    /// Number of grant commands that await their result.
    unsigned pendingGrants = 0;
    Instant renewAt;
    /// When the owner last accepted a grant from this leader.
    Instant acceptedAt;
    /// When every grant of this leader that may have reached the owner has expired.
    Instant grantsExpireAt;
    /// When every grant that got no answer has expired.
    Instant unansweredExpireAt;
    /// When the current series of failed grants began; 0 if the last grant was accepted.
    Instant grantsFailingSince;
    /// Server that the range is being moved to.
    std::string target;
    /// Handover data from the previous owner, for the next one.
    std::string handover;
    Instant phaseSince;
    /// When the range last got another owner from this leader.
    Instant movedAt;
    /// When the next command to give up the keys may be sent.
    Instant retryAt;
    /// The owner has been sent a command to give up the keys: it starts no more work on them.
    bool releaseSent = false;
    /// The owner has reported that it released the keys.
    bool releaseAnswered = false;
    /// Set when the range is released.
    OwnerEndProof endProof = OwnerEndProof::kNone;
    /// The range is to be granted to the registered incarnation of its owner.
    bool rebinds = false;
    /// The owner has accepted a grant that was sent in the present era of the store.
    bool confirmedInEra = false;
  };
  /// A leader that was paused for longer may have been superseded meanwhile.
  static constexpr Duration kMaxTickGap = milliseconds(900);
  /// All ranges by first key.
  const std::map<RangeKey, Range>& Ranges() const { return mRanges; }
  /// Whether grants to the owner have failed for longer than kUnresponsiveAfter, so that its keys
  /// should move to another server.
  bool IsOwnerUnresponsive(const Range& aRange, Instant aNow) const;
  /// Whether a move of the range should wait: its owner serves it, but has left a grant unanswered.
  /// That grant may be applied late, so that after a release no server could be given the keys
  /// until it has expired, and nobody would serve them.
  bool ShouldStay(const Range& aRange, Instant aNow) const;

private:
  enum class State
  {
    kIdle,
    kTakingOver,
    kLeading,
    /// Led when the store was restored: renews only, until its record is written anew.
    kRestoring,
  };
  /// A command whose result has not been reported yet.
  struct PendingCommand
  {
    KeyRange keys;
    std::string server;
    FencingToken token = 0;
    /// See GrantCommand::provesToken.
    bool provesToken = false;
    /// Era of the store when it was sent.
    StoreEra era = 0;
  };

  /// Longest time from now for which a grant that is now in a server's hands can be valid, slow
  /// clock and safety margin included.
  Duration MaxGrantLifetime() const;
  /// Whether this daemon may send the owner a grant now. A leader that the store has not confirmed
  /// for a while only renews: an owner whose grants have expired may have restarted, and the keys
  /// may have another owner by now.
  bool MayGrant(const Range& aRange, Instant aNow) const;
  /// Whether every grant that may have reached the owner has expired.
  bool HaveGrantsExpired(const Range& aRange, Instant aNow) const;
  /// Whether the registry has another incarnation of @p aOwner.
  bool HasRestarted(const ServerRef& aOwner) const;
  /// Longest time from now until every grant of a leader has expired that may go on renewing for
  /// RenewalLimit().
  Duration MaxEarlierGrantTime() const;
  /// The fencing token for what the next write changes.
  FencingToken NextToken(const RangeRecord& aRecord) const;
  /// The record of a takeover from @p aCurrent, which may be an older copy.
  RangeRecord RecordToTakeOver(RangeRecord aRecord, std::uint64_t aEndedBefore);
  /// While restoring: takes a record for the older copy, which is to be replaced; returns false if
  /// it is none.
  bool TakeOlderCopy(const StoredObject& aRecord);
  /// Goes on with the owners that are known here, whose confirmation is still to come.
  void BeginRestoring(Instant aNow);
  /// Writes the record anew once the owners have confirmed what they hold, or have had the time.
  void PlanRestoringWrite(Instant aNow);
  void CommitRestored(Instant aNow);
  /// Waits until nobody can hold the range any more.
  void SetUncertain(Range& aRange, Instant aNow);
  /// Starts to grant the range to the registered incarnation of its owner.
  void Rebind(Range& aRange, Instant aNow);
  void ConfirmLeadership(Instant aAskedAt, Instant aNow);
  /// Whether the owner is taken to serve the keys for as long as it holds them.
  static bool IsServed(const Range& aRange);
  /// Gives up a move whose release has not been sent.
  static void CancelMove(Range& aRange, Instant aNow);
  /// Notes that no server holds the range any more.
  void SetReleased(Range& aRange, OwnerEndProof aProof, Instant aNow);
  void TickRange(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  void TickHeld(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  /// Counts the release commands that await their answer.
  void CountReleases();
  void TickReleasing(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  void SendGrant(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  /// Puts new owners of released ranges into a write, and sends or repeats the pending write.
  void PlanWrite(Instant aNow, std::vector<GranterAction>& aActions);
  /// Gives the held neighbours of the ranges whose owner changes in @p aRecord the same token, if
  /// they have the same owner.
  void ShareTokens(RangeRecord& aRecord) const;
  /// Sets a token by which results of earlier grants are not counted any more.
  void SetToken(Range& aRange, FencingToken aToken, Instant aNow);
  /// Continues a held range, whose owner stays the same, with a higher token from the store.
  void RaiseToken(Range& aRange, FencingToken aToken, Instant aNow);
  /// Makes the pending write, which is in the store as @p aRevision, the current record.
  void Commit(StoreRevision aRevision, Instant aNow);
  void CommitTakeover(Instant aNow);
  /// Splits ranges so that @p aKeys is one, and returns it. Null if the keys span two ranges, or
  /// are part of a range that is being moved.
  Range* SplitOff(const KeyRange& aKeys);
  /// Splits the range that contains @p aAt so that a range starts there.
  void SplitAt(RangeKey aAt);
  /// Merges neighbouring held ranges with the same owner and token, once the owner has accepted the
  /// token and no grant is pending.
  void MergeRanges();
  void AddEvent(GranterEvent aEvent) { mEvents.push_back(std::move(aEvent)); }
  DirectoryRange ToDirectoryRange(const Range& aRange) const;

  DaemonRef mSelf;
  GrantTiming mTiming;
  bool mJoinsNeighbours = false;
  std::size_t mMaxReleases = std::numeric_limits<std::size_t>::max();
  /// Release commands that each server has been sent and has not answered.
  std::map<std::string, std::size_t> mSentReleases;
  State mState = State::kIdle;
  RangeRecord mRecord;
  StoreRevision mRevision;
  /// The latest era of the store that is known; nothing before the first.
  std::optional<StoreEra> mEra;
  /// When it began, as far as this daemon knows, and whether it knew an earlier one.
  Instant mEraKnownAt;
  bool mHadEarlierEra = false;
  /// The takeover is from a record of other leaders, or one that the store has lost.
  bool mInherited = false;
  /// While restoring: the record in the restored store has been read, or there is none. Its
  /// revision, and the highest term and token in it.
  bool mRestoredRecordKnown = false;
  StoreRevision mRestoredRevision;
  std::uint64_t mRestoredTerm = 0;
  FencingToken mRestoredToken = 0;
  std::map<RangeKey, Range> mRanges;
  std::map<std::string, GrantableServer> mServers;
  std::map<std::uint64_t, PendingCommand> mPendingCommands;
  std::uint64_t mNextCommandId = 1;
  std::uint64_t mWriteNumber = 0;
  /// The write that is being made. It is repeated unchanged until its outcome is known.
  std::optional<RangeRecord> mPendingWrite;
  bool mWriteSent = false;
  Instant mWriteSentAt;
  Instant mWriteRetryAt;
  Instant mLastTickAt;
  std::vector<EarlierLeader> mEarlierLeaders;
  /// When every grant of an earlier leader has expired.
  Instant mEarlierGrantsExpireAt;
  /// When every grant of leaders that nobody knows has expired, once they have stopped.
  Instant mUnknownGrantsExpireAt;
  /// When the stored record was last confirmed to name this daemon.
  Instant mLeadershipConfirmedAt;
  /// The directory as last returned by TakeUpdate().
  std::map<RangeKey, DirectoryRange> mPublished;
  std::uint64_t mPublishedVersion = 0;
  /// A snapshot has been returned, so that further updates hold changes only.
  bool mSnapshotPublished = false;
  std::vector<GranterEvent> mEvents;
};

} // namespace hawthornlug
