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
  Version since = 0;
  Version at = 0;
  std::vector<StoredObject> objects;
};

/// Applies readings from the store and from other daemons, in any order, and never returns to an
/// older state. Removed objects are kept as tombstones, so that other daemons can be sent the
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
                                         Version aSince,
                                         const StoreReading& aReading);

  /// Revision up to which the objects of a kind are complete; 0 if no list has been applied yet.
  Version At(ObjectKind aKind) const { return Of(aKind).at; }
  /// Size of the values of all objects of a kind.
  std::size_t Bytes(ObjectKind aKind) const;
  /// Returns all objects that are not removed.
  std::vector<StoredObject> All(ObjectKind aKind) const;
  /// Returns what changed after @p aSince, to be sent to another daemon. Returns all objects if the
  /// removals since then are not known any more.
  MirrorChanges ChangesSince(ObjectKind aKind, Version aSince) const;

private:
  struct Entry
  {
    StoredObject object;
    /// Revision at which the last change was observed. A removed object's own revision is that of
    /// its last write, so a removal is dated by the reading that showed it.
    Version changedAt = 0;
  };
  /// The objects of one kind.
  struct Kind
  {
    /// Revision up to which the objects are complete.
    Version at = 0;
    /// Removals before this revision are not known.
    Version completeFrom = 0;
    std::map<std::string, Entry> objects;
  };

  const Kind& Of(ObjectKind aKind) const { return mKinds.at(static_cast<std::size_t>(aKind)); }
  Kind& Of(ObjectKind aKind) { return mKinds.at(static_cast<std::size_t>(aKind)); }
  /// Stores @p aObject if it is newer than the present copy or records the removal of that copy;
  /// returns whether it was stored. @p aAt is the revision of the reading.
  static bool Update(Kind& aKind, const StoredObject& aObject, Version aAt);
  /// Stores all objects of a reading; returns those that were stored.
  static std::vector<StoredObject> UpdateAll(Kind& aKind, const StoreReading& aReading);

  std::array<Kind, kObjectKinds> mKinds;
};

} // namespace hawthornlug
