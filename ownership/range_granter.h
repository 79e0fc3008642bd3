/// @file
/// Decides who holds which keys of a service: grants, renewals, moves and takeover.
#pragma once

#include "config/stored_object.h"
#include "core/instant.h"
#include "ownership/grant_orders.h"
#include "ownership/range_directory.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornlug {

/// Times by which grants are made.
struct GrantTiming
{
  /// How long a server holds keys after a grant has reached it.
  Duration hold = seconds(4);
  /// How often a grant is renewed.
  Duration renewal = milliseconds(1100);
  /// A server's clock may measure this much too long.
  double clockDrift = 0.02;
  /// Added to every wait for a lapse.
  Duration slack = milliseconds(300);
  /// How long an order may take.
  Duration orderTimeout = milliseconds(600);
  /// A release is answered only when running work has ended.
  Duration releaseTimeout = seconds(3);
  /// A daemon that has not read for so long that the record still names it stops renewing.
  Duration blindRenewal = seconds(12);
  /// How old the news of the record may be when it comes, and how old it may get before new moves
  /// are put off.
  Duration confirmationLag = seconds(3);
};

/// A server as the granting daemon sees it.
struct GrantableServer
{
  Incarnation incarnation = 0;
  std::string address;
  /// The registry has it; else this is what was last known of it.
  bool registered = false;
  /// May be given keys.
  bool open = false;
};

/// Order a server to take keys, or to take them further.
struct GrantKeys
{
  std::uint64_t order = 0;
  std::string server;
  GrantOrder grant;
};

struct ReleaseKeys
{
  std::uint64_t order = 0;
  std::string server;
  ReleaseOrder release;
};

struct WriteRecord
{
  Version expected = 0;
  std::string value;
};

using GranterAction = std::variant<GrantKeys, ReleaseKeys, WriteRecord>;

/// A part of a range that is to change hands.
struct RangeMove
{
  KeyRange keys;
  std::string to;
};

/// What the granter did, for the log.
struct GranterNote
{
  enum class What
  {
    kTaken,
    kSuperseded,
    kMoved,
  };
  What what = What::kTaken;
  KeyRange keys;
  std::string from;
  std::string to;
  FencingToken token = 0;
  std::string reason;
};

/// Where a range stands.
enum class RangePhase
{
  kHeld,      ///< Its owner is granted the keys.
  kReleasing, ///< Its owner is to give the keys up, or their grant is to lapse.
  kReleased,  ///< Nobody holds the keys; the new owner is to be written.
  kWriting,   ///< The new owner is being written.
};
inline constexpr EnumNames<4> kRangePhaseNames = { "held", "releasing", "released", "writing" };

/// One service's ranges, in the daemon that grants them or tries to. No clock, socket or thread:
/// it is told what happens and says what to do.
///
/// Owner and token of each range are in the store before a grant is sent under them, by a
/// conditional write that also names this daemon as the holder. The owner changes from S to T only
/// after S has released the keys and no unanswered grant to S can still count, or after every grant
/// that may have reached S has lapsed, or after S's run has provably ended.
class RangeGranter
{
public:
  RangeGranter(DaemonRef aSelf, GrantTiming aTiming);

  /// Begins to become the holder. @p aCurrent: the record in the store, if there is one.
  /// @p aOwners: servers for the first grant of all keys, used if there is no record.
  void TakeOver(const std::optional<StoredObject>& aCurrent,
                const std::vector<std::string>& aOwners,
                Instant aNow);
  /// Stops being the holder without a word to the servers: their grants go on until they lapse.
  void Resign();
  bool IsHolder() const { return mState == State::kHolding; }
  bool IsIdle() const { return mState == State::kIdle; }
  std::uint64_t Term() const { return mRecord.term; }

  void SetServers(std::map<std::string, GrantableServer> aServers);
  /// The earlier holder is known to have stopped: what it granted lapses from now on.
  void OnEarlierHolderStopped(Instant aNow);
  /// The record was read, and @p aRecord is what the store has.
  void OnRecordRead(const StoredObject& aRecord, Instant aNow);
  /// The record was found not to have changed since Revision().
  void OnRecordUnchanged(Instant aNow) { mConfirmedAt = aNow; }
  /// The record's revision when it was last written here.
  Version Revision() const { return mRevision; }

  /// Wants @p aMove made; ignored if the keys are on the move already or the target isn't open.
  void Move(const RangeMove& aMove, Instant aNow);

  /// What is to be done now.
  std::vector<GranterAction> Tick(Instant aNow);
  void OnWritten(const StoreWrite& aWrite, Instant aNow);
  void OnGranted(std::uint64_t aOrder, OrderResult aResult, Instant aNow);
  void OnReleased(std::uint64_t aOrder, const OrderOutcome& aOutcome, Instant aNow);

  /// Changes of the directory since the last call; nothing if there are none.
  std::optional<DirectoryUpdate> TakeUpdate();
  DirectoryUpdate WholeDirectory() const;
  std::vector<GranterNote> TakeNotes();

  struct Range
  {
    OwnedRange owned;
    RangePhase phase = RangePhase::kHeld;
    /// The owner has accepted a grant under the present token.
    bool confirmed = false;
    /// The owner holds the keys under an earlier holder's grant, as far as is known.
    bool inherited = false;
    /// Orders without an answer yet.
    unsigned outstanding = 0;
    Instant renewAt;
    /// When every grant that may have reached the owner has lapsed.
    Instant lapseAt;
    /// When every grant whose answer never came has lapsed.
    Instant unansweredUntil;
    /// Since when grants have failed; 0 if the last was accepted.
    Instant failingSince;
    std::string target;
    std::string handover;
    Instant phaseSince;
    Instant retryAt;
    bool releaseAnswered = false;
    /// Another server was met at the owner's address, which is used again only after the server
    /// that had it has ended.
    bool ownerEnded = false;
  };
  /// All ranges by first key.
  const std::map<RangeKey, Range>& Ranges() const { return mRanges; }
  /// Whether the owner has not answered grants for so long that its keys should go elsewhere.
  bool IsOwnerSilent(const Range& aRange, Instant aNow) const;

private:
  enum class State
  {
    kIdle,
    kTaking,
    kHolding,
  };
  struct Pending
  {
    KeyRange keys;
    std::string server;
    FencingToken token = 0;
  };

  Duration LongestHold() const;
  bool IsGone(const ServerRef& aOwner) const;
  void TickRange(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  void TickHeld(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  void TickReleasing(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  void SendGrant(Range& aRange, Instant aNow, std::vector<GranterAction>& aActions);
  void PlanWrite(Instant aNow, std::vector<GranterAction>& aActions);
  void Commit(Version aRevision, Instant aNow);
  void CommitTakeover(Instant aNow);
  void Supersede(const StoredObject& aObject);
  Range* Cut(const KeyRange& aKeys);
  void Split(RangeKey aAt);
  void Join();
  void Note(GranterNote aNote) { mNotes.push_back(std::move(aNote)); }
  DirectoryRange View(const Range& aRange) const;

  DaemonRef mSelf;
  GrantTiming mTiming;
  State mState = State::kIdle;
  RangeRecord mRecord;
  Version mRevision = 0;
  std::map<RangeKey, Range> mRanges;
  std::map<std::string, GrantableServer> mServers;
  std::map<std::uint64_t, Pending> mPending;
  std::uint64_t mNextOrder = 1;
  std::uint64_t mWriteNumber = 0;
  /// The write under way: it is repeated as it is until it is known what came of it.
  std::optional<RangeRecord> mWriting;
  bool mWriteSent = false;
  Instant mWriteRetryAt;
  bool mEarlierMayGrant = false;
  /// When the record was last known to name this daemon.
  Instant mConfirmedAt;
  /// The directory as it was last told.
  std::map<RangeKey, DirectoryRange> mTold;
  std::uint64_t mToldVersion = 0;
  bool mToldWhole = false;
  std::vector<GranterNote> mNotes;
};

} // namespace hawthornlug
