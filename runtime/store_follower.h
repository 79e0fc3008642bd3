/// @file
/// Keeps a daemon's copy of the objects in the store up to date.
#pragma once

#include "config/object_mirror.h"
#include "core/decision_log.h"
#include "core/timer_service.h"
#include "ports/object_store.h"

#include <array>
#include <functional>

namespace hawthornlug {

/// Lists and watches the objects of some kinds and applies them to the mirror. Runs on the daemon's
/// event loop.
class StoreFollower
{
public:
  using Changed = std::function<void(ObjectKind, const std::vector<StoredObject>&)>;
  /// A reading that has been applied shows the state of the store at the given time or later.
  using Current = std::function<void(ObjectKind, Instant)>;

  StoreFollower(ObjectStore& aStore,
                ObjectMirror& aMirror,
                TimerService& aTimers,
                DecisionLog& aLog,
                Changed aChanged,
                Current aCurrent);

  /// Begins to follow a kind.
  void Follow(ObjectKind aKind);
  /// What a daemon reads from the store by itself.
  enum class Reading
  {
    kNothing, ///< Only what ReadOnce() asks for.
    kMissing, ///< Each kind is listed until the mirror has it.
    kWatching,
    /// Watches end soon, so that others are often told that there was no change.
    kWatchingClosely,
  };
  /// Starts calls that are due.
  void Tick(Instant aNow, Reading aReading);
  /// Lists a kind with the next tick, unless a call for it is in progress.
  void ReadOnce(ObjectKind aKind);
  using RefreshDone = std::function<void(bool)>;
  /// Reads, at once, what has changed of a kind. Returns whether a call was begun: none is if one
  /// is in progress. @p aDone is told whether it succeeded.
  bool Refresh(ObjectKind aKind, RefreshDone aDone);
  /// Whether the reading that is being applied was begun by Refresh().
  bool IsRefresh(ObjectKind aKind) const;

  /// Whether this daemon has read a whole list of a kind from the store, if only that there is no
  /// object of it.
  bool HasListed(ObjectKind aKind) const;
  /// Time since the store last answered, or since this daemon began to watch it.
  Duration Age(Instant aNow) const { return aNow - mAnsweredAt; }
  /// Age() as reported to the other daemons: higher while calls fail, so that they stop relying on
  /// this daemon's watch at once instead of after the store's outage has lasted long enough.
  Duration ReportedAge(Instant aNow) const;
  /// Whether several calls in a row have failed.
  bool IsFailing() const;
  /// Whether this daemon watches the store itself.
  bool Watches() const { return mWatches; }
  /// Whether its watches end soon, as those of one daemon do.
  bool WatchesClosely() const { return mWatchesClosely; }
  /// Whether the store has not answered for several seconds.
  bool IsLost() const { return mLost; }
  /// Whether the watch of a daemon that reports this age can be relied on.
  static bool IsReliable(Duration aReportedAge);
  /// Whether registry entries may have expired if the store has not answered for this long.
  static bool IsOutage(Duration aAge);
  /// Notes that the store has answered.
  void OnAnswered(Instant aNow);

private:
  struct Followed
  {
    bool active = false;
    bool busy = false;
    bool mustList = false;
    bool listed = false;
    /// Set by ReadOnce().
    bool wanted = false;
    Instant nextAt;
    unsigned failures = 0;
    /// When the call in progress began, and how long it waits for a change.
    Instant startedAt;
    Duration wait = Duration::zero();
    /// Set while a call of Refresh() is in progress.
    RefreshDone refreshDone;
  };

  void Start(ObjectKind aKind, Instant aNow);
  /// How long a watch that begins now waits for a change.
  Duration WaitOf(ObjectKind aKind, Instant aNow) const;
  /// Calls the store for changes, or for a list where those can't be had.
  void Call(ObjectKind aKind, Duration aWait, Instant aNow);
  bool IsDue(ObjectKind aKind, Instant aNow, Reading aReading) const;
  /// Processes the store's answer; @p aApply applies it to the mirror and returns the changes.
  void OnReading(ObjectKind aKind,
                 const StoreReading& aReading,
                 const std::function<std::vector<StoredObject>()>& aApply);
  void OnDone(ObjectKind aKind,
              const StoreReading& aReading,
              const std::vector<StoredObject>& aChanges);
  void OnFailure(Followed& aFollowed, StoreResult aResult);
  /// Uses what could be read of a list that has a gap.
  void ApplyPart(ObjectKind aKind, const StoreReading& aReading);

  ObjectStore& mStore;
  ObjectMirror& mMirror;
  TimerService& mTimers;
  DecisionLog& mLog;
  Changed mOnChanged;
  Current mOnCurrent;
  std::array<Followed, kObjectKinds> mFollowed;
  Instant mAnsweredAt;
  unsigned mFailedInRow = 0;
  bool mLost = false;
  bool mWatches = false;
  bool mWatchesClosely = false;
};

} // namespace hawthornlug
