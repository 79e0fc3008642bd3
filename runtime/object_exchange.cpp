#include "runtime/object_exchange.h"

#include <algorithm>
#include <utility>

namespace hawthornlug {

namespace {

/// An answer that has not come after this time is asked for again.
constexpr Duration kAnswerTimeout = milliseconds(900);
/// A daemon that is no relay waits this long for one of its own domain to have the objects.
constexpr Duration kOwnDomainPatience = milliseconds(600);
/// Objects that no daemon has delivered after this time are read from the store.
constexpr Duration kDaemonPatience = milliseconds(1500);
/// Interval between two readings of the store by a daemon that is behind.
constexpr Duration kStoreRetryInterval = seconds(1);
/// A configuration that is larger than this is read from the store, not from other daemons.
constexpr std::size_t kLargeConfigurationBytes = 65536;
/// Share of the link that answers may use.
constexpr double kAnswerLinkShare = 0.3;
/// How far ahead answers may use up that share.
constexpr Duration kLinkBurst = seconds(2);
/// How long a daemon that is busy is not asked.
constexpr Duration kBusyTime = milliseconds(500);

wire::Envelope MakeAnswer(std::uint32_t aKind, const MirrorChanges& aChanges)
{
  wire::Envelope message;
  wire::StoredObjects* const objects = message.mutable_stored_objects();
  objects->set_kind(aKind);
  objects->set_whole(aChanges.whole);
  objects->set_since(aChanges.since.Number());
  objects->set_at(aChanges.at.Number());
  objects->set_era(aChanges.at.Era());
  for (const StoredObject& it : aChanges.objects) {
    wire::StoredObjects::Item* const item = objects->add_items();
    item->set_name(it.name);
    item->set_revision(it.revision.Number());
    item->set_era(it.revision.Era());
    item->set_removed(it.removed);
    item->set_value(it.value);
  }
  return message;
}

} // namespace

ObjectExchange::ObjectExchange(ObjectMirror& aMirror,
                               Mesh& aMesh,
                               const ObjectReader& aReader,
                               double aLinkBytesPerSecond,
                               ReadStore aReadStore,
                               Changed aChanged)
  : mMirror(aMirror)
  , mMesh(aMesh)
  , mReader(aReader)
  , mLinkBytesPerSecond(aLinkBytesPerSecond)
  , mReadStore(std::move(aReadStore))
  , mOnChanged(std::move(aChanged))
{
}

std::size_t ObjectExchange::ConfigurationBytes() const
{
  return mMirror.Bytes(ObjectKind::kConfiguration);
}

void ObjectExchange::OnHeartbeat(const MeshPeer& aPeer, Instant aNow)
{
  for (std::size_t n = 0; n < std::min(aPeer.mirrorRevisions.size(), kObjectKinds); ++n) {
    const auto kind = static_cast<ObjectKind>(n);
    const StoreRevision& theirs = aPeer.mirrorRevisions[n];
    if (StoreRevision(theirs.Number(), EraOrOwn(kind, theirs.Era())) > mMirror.At(kind)) {
      CatchUp(kind, aPeer, aNow);
    }
  }
}

StoreEra ObjectExchange::EraOrOwn(ObjectKind aKind, StoreEra aEra) const
{
  return aEra != 0 ? aEra : mMirror.At(aKind).Era();
}

void ObjectExchange::CatchUp(ObjectKind aKind, const MeshPeer& aPeer, Instant aNow)
{
  Progress& progress = ProgressOf(aKind);
  if (progress.behindSince == Instant()) {
    progress.behindSince = aNow;
  }
  if (aNow < progress.answerUntil) {
    return;
  }
  const bool large =
    aKind == ObjectKind::kConfiguration && aPeer.configurationBytes > kLargeConfigurationBytes;
  const bool waitedLong = aNow - progress.behindSince > kDaemonPatience;
  if ((large || waitedLong) && aNow >= progress.storeRetryAt) {
    progress.storeRetryAt = aNow + kStoreRetryInterval;
    progress.answerUntil = aNow + kAnswerTimeout;
    mReadStore(aKind);
    return;
  }
  if (!MayAsk(aPeer, progress, aNow)) {
    return;
  }
  progress.askedInVain += progress.asked.empty() ? 0 : 1;
  progress.asked = aPeer.ref.id;
  progress.answerUntil = aNow + kAnswerTimeout;
  wire::Envelope request;
  request.mutable_stored_objects_question()->set_kind(static_cast<std::uint32_t>(aKind));
  request.mutable_stored_objects_question()->set_since(mMirror.At(aKind).Number());
  request.mutable_stored_objects_question()->set_era(mMirror.At(aKind).Era());
  mMesh.Send(aPeer.ref.id, std::move(request));
}

bool ObjectExchange::MayAsk(const MeshPeer& aPeer, const Progress& aProgress, Instant aNow) const
{
  const auto busy = mBusyUntil.find(aPeer.ref.id);
  if (busy != mBusyUntil.end() && aNow < busy->second) {
    return false;
  }
  return mIsRelay || aPeer.domain == mMesh.Domain() ||
         aNow - aProgress.behindSince > kOwnDomainPatience;
}

bool ObjectExchange::TakeLinkShare(std::size_t aBytes, Instant aNow)
{
  if (mLinkBytesPerSecond <= 0.0) {
    return true;
  }
  if (mLinkUsedUntil > aNow + kLinkBurst) {
    return false;
  }
  const double share = mLinkBytesPerSecond * kAnswerLinkShare;
  mLinkUsedUntil =
    std::max(mLinkUsedUntil, aNow) + FromSeconds(static_cast<double>(aBytes) / share);
  return true;
}

void ObjectExchange::OnQuestion(const std::string& aDaemon,
                                const wire::StoredObjectsQuestion& aQuestion,
                                Instant aNow)
{
  if (aQuestion.kind() >= kObjectKinds) {
    return;
  }
  const MirrorChanges changes = mMirror.ChangesSince(
    static_cast<ObjectKind>(aQuestion.kind()), StoreRevision(aQuestion.since(), aQuestion.era()));
  wire::Envelope answer = MakeAnswer(aQuestion.kind(), changes);
  if (!TakeLinkShare(answer.ByteSizeLong(), aNow)) {
    answer.mutable_stored_objects()->Clear();
    answer.mutable_stored_objects()->set_kind(aQuestion.kind());
    answer.mutable_stored_objects()->set_busy(true);
  }
  mMesh.Send(aDaemon, std::move(answer));
}

void ObjectExchange::OnObjects(const std::string& aDaemon,
                               const wire::StoredObjects& aObjects,
                               Instant aNow)
{
  if (aObjects.kind() >= kObjectKinds) {
    return;
  }
  const auto kind = static_cast<ObjectKind>(aObjects.kind());
  Progress& progress = ProgressOf(kind);
  if (progress.asked == aDaemon) {
    progress.answerUntil = Instant();
    progress.asked.clear();
  }
  if (aObjects.busy()) {
    mBusyUntil[aDaemon] = aNow + kBusyTime;
    return;
  }
  NewsOrigin origin{ aDaemon, std::exchange(progress.askedInVain, 0), Duration::zero() };
  if (progress.behindSince != Instant()) {
    origin.knownFor = aNow - progress.behindSince;
  }
  progress.behindSince = Instant();
  StoreReading reading;
  reading.result = StoreResult::kDone;
  const StoreEra era = EraOrOwn(kind, aObjects.era());
  reading.at = StoreRevision(aObjects.at(), era);
  for (const wire::StoredObjects::Item& it : aObjects.items()) {
    reading.objects.push_back({ it.name(),
                                StoreRevision(it.revision(), it.era() != 0 ? it.era() : era),
                                it.removed(),
                                mReader.Redact(kind, it.value()) });
  }
  const std::vector<StoredObject> changes =
    aObjects.whole() ? mMirror.ApplyList(kind, reading)
                     : mMirror.ApplyChanges(kind, StoreRevision(aObjects.since(), era), reading);
  if (changes.empty()) {
    return;
  }
  mOnChanged(kind, changes, origin);
  if (mIsRelay) {
    // The daemons of this domain wait for it.
    mMesh.SendHeartbeatNow(Mesh::Audience::kOwnDomain);
  }
}

} // namespace hawthornlug
