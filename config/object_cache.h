/// @file
/// A cache of the platform's objects whose entries are only replaced by newer versions.
#pragma once

#include "core/ids.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// One object of the platform.
struct PlatformObject
{
  std::string name;
  Version version = 0;
  std::string value;
};

/// Objects that changed, and the revision up to which the list of changes is complete.
struct ObjectChanges
{
  Version revision = 0;
  std::vector<PlatformObject> items;
  /// Names of changed objects that can't be read; empty where the name can't be read either.
  std::vector<std::string> unreadable = {};
};

/// Cache of all platform objects. An object is never replaced by an older version of itself.
class ObjectCache
{
public:
  using Listener = std::function<void(const PlatformObject&)>;

  /// Sets the function that is called with each newer object, after the cache's lock is released.
  void SetListener(Listener aListener);

  /// Stores the objects that are newer than their cached copies. @p aSince is the revision from
  /// which the changes are complete; the cache's revision advances only if there is no gap between
  /// the two.
  void Merge(const ObjectChanges& aChanges, Version aSince);
  /// Stores one object if it is newer than its cached copy; the cache's revision stays.
  void MergeOne(const PlatformObject& aObject);

  std::optional<PlatformObject> Find(const std::string& aName) const;
  /// Returns the objects whose names begin with @p aPrefix, sorted by name.
  std::vector<PlatformObject> List(const std::string& aPrefix) const;
  /// Returns the objects that changed after revision @p aSince.
  ObjectChanges Since(Version aSince) const;
  /// Revision up to which the cache has all changes.
  Version Revision() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, PlatformObject> mObjects;
  Version mRevision = 0;
  Listener mListener;
};

} // namespace hawthornlug
