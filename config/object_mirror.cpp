#include "config/object_mirror.h"

#include <algorithm>
#include <set>

namespace hawthornlug {

bool ObjectMirror::Update(Kind& aKind, const StoredObject& aObject, StoreRevision aAt)
{
  Entry& entry = aKind.objects[aObject.name];
  const StoredObject& current = entry.object;
  const bool isFirst = current.name.empty();
  const bool removal = aObject.removed && !current.removed && aObject.revision >= current.revision;
  if (!isFirst && !removal && aObject.revision <= current.revision) {
    return false;
  }
  entry.changedAt = aObject.removed ? std::max(aAt, aObject.revision) : aObject.revision;
  aKind.changedAt = std::max(aKind.changedAt, entry.changedAt);
  entry.object = aObject;
  return true;
}

std::vector<StoredObject> ObjectMirror::UpdateAll(Kind& aKind, const StoreReading& aReading)
{
  std::vector<StoredObject> changes;
  for (const StoredObject& it : aReading.objects) {
    if (Update(aKind, it, aReading.at)) {
      changes.push_back(it);
    }
  }
  return changes;
}

std::vector<StoredObject> ObjectMirror::ApplyPart(ObjectKind aKind, const StoreReading& aReading)
{
  return UpdateAll(Of(aKind), aReading);
}

std::vector<StoredObject> ObjectMirror::ApplyList(ObjectKind aKind, const StoreReading& aReading)
{
  Kind& kind = Of(aKind);
  if (aReading.at < kind.at) {
    return {};
  }
  std::set<std::string> listed;
  for (const StoredObject& it : aReading.objects) {
    listed.insert(it.name);
  }
  std::vector<StoredObject> changes = UpdateAll(kind, aReading);
  for (auto& [name, entry] : kind.objects) {
    // An object that was written after the list was made isn't in the list, but exists.
    StoredObject& object = entry.object;
    if (!object.removed && !listed.contains(name) && object.revision <= aReading.at) {
      object.removed = true;
      entry.changedAt = aReading.at;
      kind.changedAt = std::max(kind.changedAt, aReading.at);
      changes.push_back(object);
    }
  }
  if (kind.at.IsNone() || kind.at.Era() != aReading.at.Era()) {
    kind.completeFrom = aReading.at;
  }
  kind.at = aReading.at;
  return changes;
}

std::vector<StoredObject> ObjectMirror::ApplyChanges(ObjectKind aKind,
                                                     StoreRevision aSince,
                                                     const StoreReading& aReading)
{
  Kind& kind = Of(aKind);
  if (aSince > kind.at || kind.at.IsNone() || aReading.at.Era() != kind.at.Era()) {
    return {};
  }
  std::vector<StoredObject> changes = UpdateAll(kind, aReading);
  kind.at = std::max(kind.at, aReading.at);
  return changes;
}

StoreRevision ObjectMirror::ChangedAt(ObjectKind aKind) const
{
  const Kind& kind = Of(aKind);
  const bool isOfThisEra = kind.changedAt.Era() == kind.at.Era();
  return isOfThisEra ? kind.changedAt : StoreRevision(0, kind.at.Era());
}

bool ObjectMirror::TakeUnchanged(ObjectKind aKind, StoreRevision aChangedAt, StoreRevision aAt)
{
  Kind& kind = Of(aKind);
  if (kind.at.IsNone() || kind.at.Era() != aAt.Era() || kind.at < aChangedAt) {
    return false;
  }
  kind.at = std::max(kind.at, aAt);
  return true;
}

std::size_t ObjectMirror::Bytes(ObjectKind aKind) const
{
  std::size_t bytes = 0;
  for (const auto& [name, entry] : Of(aKind).objects) {
    bytes += entry.object.value.size();
  }
  return bytes;
}

std::vector<StoredObject> ObjectMirror::All(ObjectKind aKind) const
{
  std::vector<StoredObject> all;
  for (const auto& [name, entry] : Of(aKind).objects) {
    if (!entry.object.removed) {
      all.push_back(entry.object);
    }
  }
  return all;
}

MirrorChanges ObjectMirror::ChangesSince(ObjectKind aKind, StoreRevision aSince) const
{
  const Kind& kind = Of(aKind);
  MirrorChanges changes;
  changes.at = kind.at;
  changes.since = aSince;
  changes.whole = aSince < kind.completeFrom;
  for (const auto& [name, entry] : kind.objects) {
    if (changes.whole ? !entry.object.removed : entry.changedAt > aSince) {
      changes.objects.push_back(entry.object);
    }
  }
  return changes;
}

} // namespace hawthornlug
