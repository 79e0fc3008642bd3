/// @file
/// Keeps a daemon's mirror of the store up to date.
#pragma once

#include "config/object_mirror.h"
#include "core/decision_log.h"
#include "core/timer_service.h"
#include "ports/object_store.h"

#include <array>
#include <functional>

namespace hawthornlug {

/// Lists and watches kinds of objects. Runs on the daemon's loop.
class StoreFollower
{
public:
  using Changed = std::function<void(ObjectKind, const std::vector<StoredObject>&)>;

  StoreFollower(ObjectStore& aStore,
                ObjectMirror& aMirror,
                TimerService& aTimers,
                DecisionLog& aLog,
                Changed aChanged);

  /// Begins to follow a kind.
  void Follow(ObjectKind aKind);
  /// Starts calls that are due. A daemon that does not watch only lists a kind once.
  void Tick(Instant aNow, bool aWatches);

  /// How long ago the store was last heard.
  Duration Age(Instant aNow) const { return aNow - mHeardAt; }
  /// Age() as the others are told: a daemon whose calls fail is known at once to be no watcher to
  /// rely on, before it has been silent for long.
  Duration ToldAge(Instant aNow) const;
  /// Whether the last calls have failed.
  bool IsFailing() const;
  /// Whether this daemon watches the store itself.
  bool Watches() const { return mWatches; }
  bool IsLost() const { return mLost; }
  /// Whether a daemon that tells this age is one to rely on.
  static bool IsAble(Duration aToldAge);
  /// Whether a silence of the store is long enough for registry entries to lapse.
  static bool IsOutage(Duration aSilence);
  void OnHeard(Instant aNow);

private:
  struct Followed
  {
    bool active = false;
    bool busy = false;
    bool mustList = true;
    Instant nextAt;
    unsigned failures = 0;
  };

  void Start(ObjectKind aKind, Instant aNow);
  bool IsDue(ObjectKind aKind, Instant aNow, bool aWatches) const;
  /// Takes the store's answer; @p aApply puts it into the mirror and returns what is new.
  void OnReading(ObjectKind aKind,
                 const StoreReading& aReading,
                 const std::function<std::vector<StoredObject>()>& aApply);
  void OnFailure(Followed& aFollowed, StoreResult aResult);

  ObjectStore& mStore;
  ObjectMirror& mMirror;
  TimerService& mTimers;
  DecisionLog& mLog;
  Changed mChanged;
  std::array<Followed, kObjectKinds> mFollowed;
  Instant mHeardAt;
  unsigned mFailedInRow = 0;
  bool mLost = false;
  bool mWatches = true;
};

} // namespace hawthornlug
