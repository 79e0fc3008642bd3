/// @file
/// A daemon's copy of the objects in the store.
#pragma once

#include "config/stored_object.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// Changes to objects of one kind, complete from one revision to another.
struct MirrorChanges
{
  /// All objects there are; else changes after `since`.
  bool whole = false;
  Version since = 0;
  Version at = 0;
  std::vector<StoredObject> objects;
};

/// Takes readings from the store and from other daemons, in any order, and never goes back to an
/// older state. Removed objects are remembered so that changes can be passed on.
class ObjectMirror
{
public:
  /// Takes a full list; returns what is new or gone.
  std::vector<StoredObject> ApplyList(ObjectKind aKind, const StoreReading& aReading);
  /// Takes changes that follow revision @p aSince; returns what is new. Nothing is taken if the
  /// mirror has not reached @p aSince.
  std::vector<StoredObject> ApplyChanges(ObjectKind aKind,
                                         Version aSince,
                                         const StoreReading& aReading);

  /// Up to which revision the objects of a kind are complete; 0 if nothing is known.
  Version At(ObjectKind aKind) const { return Of(aKind).at; }
  /// All objects that are not removed.
  std::vector<StoredObject> All(ObjectKind aKind) const;
  /// What has changed after @p aSince, for another daemon.
  MirrorChanges ChangesSince(ObjectKind aKind, Version aSince) const;

private:
  struct Entry
  {
    StoredObject object;
    /// When it was seen to change; a removal carries the revision of the object's last change.
    Version changedAt = 0;
  };
  struct Kind
  {
    Version at = 0;
    /// Removals before this revision have been forgotten.
    Version completeFrom = 0;
    std::map<std::string, Entry> objects;
  };

  const Kind& Of(ObjectKind aKind) const { return mKinds.at(static_cast<std::size_t>(aKind)); }
  Kind& Of(ObjectKind aKind) { return mKinds.at(static_cast<std::size_t>(aKind)); }
  /// Takes @p aObject if it is newer than what is known; @p aAt: the revision of the reading.
  static bool Take(Kind& aKind, const StoredObject& aObject, Version aAt);

  std::array<Kind, kObjectKinds> mKinds;
};

} // namespace hawthornlug
