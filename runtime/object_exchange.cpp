#include "runtime/object_exchange.h"

#include "config/replica_currency.h"
#include "core/hashing.h"

#include <algorithm>
#include <utility>

namespace hawthornlug {

namespace {

/// An answer that has not come after this time is not waited for.
constexpr Duration kAnswerTimeout = milliseconds(900);
/// Another daemon is asked if an answer has not come after this time...
constexpr Duration kAnswerPatience = milliseconds(150);
/// ...or after this one if it takes links long to carry.
constexpr Duration kLongAnswerPatience = milliseconds(450);
constexpr std::size_t kLongAnswerBytes = 16384;
/// Number of daemons whose answers are waited for at the same time.
constexpr std::size_t kMaxQuestions = 3;
/// A daemon that is no relay waits this long for one of its own domain to have the objects.
constexpr Duration kOwnDomainPatience = milliseconds(300);
/// A large configuration that the store has not delivered after this time is asked for elsewhere.
constexpr Duration kStorePatience = milliseconds(900);
/// Interval between two readings of a large configuration from the store.
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
  for (const ObjectKind it : kReplicatedKinds) {
    if (IsAhead(it, aPeer)) {
      CatchUp(it, aPeer, aNow);
    }
  }
}

StoreEra ObjectExchange::EraOrOwn(ObjectKind aKind, StoreEra aEra) const
{
  return aEra != 0 ? aEra : mMirror.At(aKind).Era();
}

bool ObjectExchange::IsAhead(ObjectKind aKind, const MeshPeer& aPeer) const
{
  const auto n = static_cast<std::size_t>(aKind);
  if (n >= aPeer.mirrorRevisions.size()) {
    return false;
  }
  const StoreRevision own = mMirror.At(aKind);
  // Revisions count the changes of all kinds: most readings are later, and show nothing new.
  const bool statesChange = !own.IsNone() && n < aPeer.mirrorChanges.size();
  const StoreRevision& stated = statesChange ? aPeer.mirrorChanges[n] : aPeer.mirrorRevisions[n];
  return StoreRevision(stated.Number(), EraOrOwn(aKind, stated.Era())) > own;
}

void ObjectExchange::CatchUp(ObjectKind aKind, const MeshPeer& aPeer, Instant aNow)
{
  Progress& progress = ProgressOf(aKind);
  if (progress.behindSince == Instant()) {
    progress.behindSince = aNow;
  }
  const bool large =
    aKind == ObjectKind::kConfiguration && aPeer.configurationBytes > kLargeConfigurationBytes;
  if (large && aNow >= progress.storeRetryAt) {
    progress.storeRetryAt = aNow + kStoreRetryInterval;
    mReadStore(aKind);
  }
  if (large && aNow - progress.behindSince < kStorePatience) {
    return;
  }
  const bool isLong =
    aKind == ObjectKind::kConfiguration && aPeer.configurationBytes > kLongAnswerBytes;
  if (IsQuestionDue(progress, isLong, aNow) && MayAsk(aPeer, progress, aNow)) {
    Ask(aKind, aPeer, aNow);
  }
}

void ObjectExchange::Ask(ObjectKind aKind, const MeshPeer& aPeer, Instant aNow)
{
  ProgressOf(aKind).open.push_back({ aPeer.ref.id, aNow });
  wire::Envelope request;
  request.mutable_stored_objects_question()->set_kind(static_cast<std::uint32_t>(aKind));
  request.mutable_stored_objects_question()->set_since(mMirror.At(aKind).Number());
  request.mutable_stored_objects_question()->set_era(mMirror.At(aKind).Era());
  mMesh.Send(aPeer.ref.id, std::move(request));
}

bool ObjectExchange::IsQuestionDue(const Progress& aProgress, bool aIsLong, Instant aNow)
{
  if (aProgress.open.empty()) {
    return true;
  }
  const Duration patience = aIsLong ? kLongAnswerPatience : kAnswerPatience;
  return aProgress.open.size() < kMaxQuestions && aNow - aProgress.open.back().askedAt >= patience;
}

bool ObjectExchange::MayAsk(const MeshPeer& aPeer, const Progress& aProgress, Instant aNow) const
{
  const auto busy = mBusyUntil.find(aPeer.ref.id);
  const bool isBusy = busy != mBusyUntil.end() && aNow < busy->second;
  const bool wasAsked =
    std::any_of(aProgress.open.begin(), aProgress.open.end(), [&](const Question& aQuestion) {
      return aQuestion.daemon == aPeer.ref.id;
    });
  if (isBusy || wasAsked) {
    return false;
  }
  return mIsRelay || aPeer.domain == mMesh.Domain() ||
         aNow - aProgress.behindSince > kOwnDomainPatience;
}

const MeshPeer* ObjectExchange::NextToAsk(ObjectKind aKind, Instant aNow) const
{
  const Progress& progress = ProgressOf(aKind);
  const MeshPeer* next = nullptr;
  std::pair<bool, std::uint64_t> preference;
  for (const MeshPeer* it : mMesh.LivePeers()) {
    if (!IsAhead(aKind, *it) || !MayAsk(*it, progress, aNow)) {
      continue;
    }
    const std::pair candidate{ it->domain == mMesh.Domain(),
                               RendezvousWeight(mMesh.Self().id, it->ref.id) };
    if (next == nullptr || candidate > preference) {
      next = it;
      preference = candidate;
    }
  }
  return next;
}

bool ObjectExchange::IsBehind(ObjectKind aKind) const
{
  const std::vector<const MeshPeer*>& peers = mMesh.LivePeers();
  return std::any_of(
    peers.begin(), peers.end(), [&](const MeshPeer* aPeer) { return IsAhead(aKind, *aPeer); });
}

void ObjectExchange::DropQuestions(Progress& aProgress,
                                   const std::function<bool(const Question&)>& aIsLost)
{
  aProgress.askedInVain += static_cast<unsigned>(std::erase_if(aProgress.open, aIsLost));
}

void ObjectExchange::Tick(Instant aNow)
{
  for (const ObjectKind it : kReplicatedKinds) {
    Progress& progress = ProgressOf(it);
    if (progress.behindSince == Instant()) {
      continue;
    }
    DropQuestions(progress, [&](const Question& aQuestion) {
      return aNow - aQuestion.askedAt >= kAnswerTimeout;
    });
    if (!IsBehind(it)) {
      progress = Progress{ Instant(), {}, 0, progress.storeRetryAt };
    } else if (const MeshPeer* const peer = NextToAsk(it, aNow)) {
      CatchUp(it, *peer, aNow);
    }
  }
}

void ObjectExchange::OnPeerLost(const std::string& aDaemon)
{
  for (Progress& it : mProgress) {
    DropQuestions(it, [&](const Question& aQuestion) { return aQuestion.daemon == aDaemon; });
  }
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
  std::erase_if(progress.open,
                [&](const Question& aQuestion) { return aQuestion.daemon == aDaemon; });
  if (aObjects.busy()) {
    mBusyUntil[aDaemon] = aNow + kBusyTime;
    return;
  }
  NewsOrigin origin{ aDaemon, std::exchange(progress.askedInVain, 0), Duration::zero() };
  if (progress.behindSince != Instant()) {
    origin.knownFor = aNow - progress.behindSince;
  }
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
  const StoreRevision before = mMirror.At(kind);
  const std::vector<StoredObject> changes =
    aObjects.whole() ? mMirror.ApplyList(kind, reading)
                     : mMirror.ApplyChanges(kind, StoreRevision(aObjects.since(), era), reading);
  if (mMirror.At(kind) > before) {
    // What is newer still is waited for from now on.
    progress.behindSince = IsBehind(kind) ? aNow : Instant();
  }
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
