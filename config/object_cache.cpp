#include "config/object_cache.h"

namespace hawthornlug {

void ObjectCache::SetListener(Listener aListener)
{
  const std::lock_guard lock(mMutex);
  mListener = std::move(aListener);
}

void ObjectCache::Merge(const ObjectChanges& aChanges, Version aSince)
{
  for (const PlatformObject& it : aChanges.items) {
    MergeOne(it);
  }
  const std::lock_guard lock(mMutex);
  if (aSince <= mRevision && aChanges.revision > mRevision) {
    mRevision = aChanges.revision;
  }
}

void ObjectCache::MergeOne(const PlatformObject& aObject)
{
  Listener listener;
  {
    const std::lock_guard lock(mMutex);
    PlatformObject& cached = mObjects[aObject.name];
    if (aObject.version <= cached.version) {
      return;
    }
    cached = aObject;
    listener = mListener;
  }
  if (listener) {
    listener(aObject);
  }
}

std::optional<PlatformObject> ObjectCache::Find(const std::string& aName) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aName);
  if (it == mObjects.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::vector<PlatformObject> ObjectCache::List(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  std::vector<PlatformObject> list;
  for (auto it = mObjects.lower_bound(aPrefix); it != mObjects.end(); ++it) {
    if (it->first.rfind(aPrefix, 0) != 0) {
      break;
    }
    list.push_back(it->second);
  }
  return list;
}

ObjectChanges ObjectCache::Since(Version aSince) const
{
  const std::lock_guard lock(mMutex);
  ObjectChanges changes;
  changes.revision = mRevision;
  for (const auto& [name, object] : mObjects) {
    if (object.version > aSince) {
      changes.items.push_back(object);
    }
  }
  return changes;
}

Version ObjectCache::Revision() const
{
  const std::lock_guard lock(mMutex);
  return mRevision;
}

} // namespace hawthornlug
