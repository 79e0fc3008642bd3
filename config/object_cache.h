/// @file
/// Copies of the platform's objects, which only ever get newer.
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

/// Objects that changed, and the revision up to which nothing is missing.
struct ObjectChanges
{
  Version revision = 0;
  std::vector<PlatformObject> items;
};

/// Cache of all objects. An object is never replaced by an older version of itself.
class ObjectCache
{
public:
  using Listener = std::function<void(const PlatformObject&)>;

  /// Sets who is told of each newer object; called without the cache's lock.
  void SetListener(Listener aListener);

  /// Takes in objects that are newer than the copies here. @p aSince is the revision from which
  /// the changes are complete; the revision here rises only when nothing lies between.
  void Merge(const ObjectChanges& aChanges, Version aSince);
  /// Takes in one object without any claim about others.
  void MergeOne(const PlatformObject& aObject);

  std::optional<PlatformObject> Find(const std::string& aName) const;
  /// Objects whose names begin with @p aPrefix, by name.
  std::vector<PlatformObject> List(const std::string& aPrefix) const;
  /// What changed after @p aSince.
  ObjectChanges Since(Version aSince) const;
  Version Revision() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, PlatformObject> mObjects;
  Version mRevision = 0;
  Listener mListener;
};

} // namespace hawthornlug
