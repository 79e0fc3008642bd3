/// @file
/// A daemon's replica of the objects in the store.
#pragma once

#include "config/stored_object.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// Changes to objects of one kind, complete from revision `since` to revision `at`.
struct MirrorChanges
{
  /// `objects` lists all existing objects; otherwise only those that changed after `since`.
  bool whole = false;
  StoreRevision since;
  StoreRevision at;
  std::vector<StoredObject> objects;
};

/// Applies readings from the store and from other daemons, in any order, and never returns to an
/// older state: a list of a later era of the store replaces all that was read before. Removed
/// objects are kept as tombstones, so that other daemons can be sent the
/// removals.
class ObjectMirror
{
public:
  /// Applies a full list; returns the objects that are new, changed or removed.
  std::vector<StoredObject> ApplyList(ObjectKind aKind, const StoreReading& aReading);
  /// Applies a list that has a gap; returns the objects that are new or changed. Objects that it
  /// lacks stay, and the mirror counts as no more complete than before.
  std::vector<StoredObject> ApplyPart(ObjectKind aKind, const StoreReading& aReading);
  /// Applies the changes after revision @p aSince; returns the objects that are new, changed or
  /// removed. Nothing is applied if the mirror has not reached @p aSince.
  std::vector<StoredObject> ApplyChanges(ObjectKind aKind,
                                         StoreRevision aSince,
                                         const StoreReading& aReading);

  /// Revision up to which the objects of a kind are complete; none if no list has been applied yet.
  StoreRevision At(ObjectKind aKind) const { return Of(aKind).at; }
  /// Revision of the latest change of a kind that is known: nothing of it has changed between that
  /// and At(). Of the same era; its number is 0 if nothing has changed in that.
  StoreRevision ChangedAt(ObjectKind aKind) const;
  /// Takes over from another replica that nothing of a kind has changed between @p aChangedAt and
  /// @p aAt. Returns whether this replica is complete up to @p aAt.
  bool TakeUnchanged(ObjectKind aKind, StoreRevision aChangedAt, StoreRevision aAt);
  /// Size of the values of all objects of a kind.
  std::size_t Bytes(ObjectKind aKind) const;
  /// Returns all objects that are not removed.
  std::vector<StoredObject> All(ObjectKind aKind) const;
  /// Returns what changed after @p aSince, to be sent to another daemon. Returns all objects if the
  /// removals since then are not known any more.
  MirrorChanges ChangesSince(ObjectKind aKind, StoreRevision aSince) const;

private:
  struct Entry
  {
    StoredObject object;
    /// Revision at which the last change was observed. A removed object's own revision is that of
    /// its last write, so a removal is dated by the reading that showed it.
    StoreRevision changedAt;
  };
  /// The objects of one kind.
  struct Kind
  {
    /// Revision up to which the objects are complete.
    StoreRevision at;
    /// Removals before this revision are not known.
    StoreRevision completeFrom;
    /// Revision of the latest change.
    StoreRevision changedAt;
    std::map<std::string, Entry> objects;
  };

  const Kind& Of(ObjectKind aKind) const { return mKinds.at(static_cast<std::size_t>(aKind)); }
  Kind& Of(ObjectKind aKind) { return mKinds.at(static_cast<std::size_t>(aKind)); }
  /// Stores @p aObject if it is newer than the present copy or records the removal of that copy;
  /// returns whether it was stored. @p aAt is the revision of the reading.
  static bool Update(Kind& aKind, const StoredObject& aObject, StoreRevision aAt);
  /// Stores all objects of a reading; returns those that were stored.
  static std::vector<StoredObject> UpdateAll(Kind& aKind, const StoreReading& aReading);

  std::array<Kind, kObjectKinds> mKinds;
};

} // namespace hawthornlug
