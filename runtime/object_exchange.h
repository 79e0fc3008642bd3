/// @file
/// Passes the objects of the store from daemons that have newer ones to those that lack them.
#pragma once

#include "config/object_mirror.h"
#include "core/instant.h"
#include "ports/object_store.h"
#include "runtime/mesh.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// From whom a daemon has learned of changes.
struct NewsOrigin
{
  /// The daemon's id, or "store".
  std::string source;
  /// Number of questions of this daemon that got no answer before.
  unsigned askedInVain = 0;
  /// Time since this daemon learned that there are changes.
  Duration knownFor = Duration::zero();
};

/// Fetches objects that heartbeats show to be newer than this daemon's, and sends others what they
/// lack. Traffic between failure domains is expensive and links are slow, so:
/// - only a few daemons of a domain, its relays, fetch from other domains; the others fetch from
///   daemons of their own domain, and elsewhere only if none there has the objects soon;
/// - what is large is read from the store instead, which has a faster link than any daemon;
/// - another daemon is asked only if the answer does not come soon: the one that was asked may be
///   lost;
/// - a daemon answers no more than its link carries, and tells the others that it is busy.
/// Runs on the daemon's event loop.
class ObjectExchange
{
public:
  using Changed =
    std::function<void(ObjectKind, const std::vector<StoredObject>&, const NewsOrigin&)>;
  /// Reads a kind from the store, once.
  using ReadStore = std::function<void(ObjectKind)>;

  /// @p aReader removes secrets from what other daemons send: one of an earlier version passes
  /// objects on as they were written. @p aLinkBytesPerSecond: what the host's link carries; 0 if
  /// that is not known.
  ObjectExchange(ObjectMirror& aMirror,
                 Mesh& aMesh,
                 const ObjectReader& aReader,
                 double aLinkBytesPerSecond,
                 ReadStore aReadStore,
                 Changed aChanged);

  /// Whether this daemon is one of its domain's relays.
  void SetIsRelay(bool aIsRelay) { mIsRelay = aIsRelay; }
  /// Asks for what the sender of a heartbeat has newer.
  void OnHeartbeat(const MeshPeer& aPeer, Instant aNow);
  /// Asks others if those that were asked have not answered.
  void Tick(Instant aNow);
  /// A daemon is lost: its answers are not waited for.
  void OnPeerLost(const std::string& aDaemon);
  void OnQuestion(const std::string& aDaemon,
                  const wire::StoredObjectsQuestion& aQuestion,
                  Instant aNow);
  void OnObjects(const std::string& aDaemon, const wire::StoredObjects& aObjects, Instant aNow);
  /// Size of the configuration, for the heartbeats: it decides from where others read it.
  std::size_t ConfigurationBytes() const;

private:
  /// A question to another daemon.
  struct Question
  {
    std::string daemon;
    Instant askedAt;
  };
  /// How far this daemon is behind with one kind of objects, and what it does about it.
  struct Progress
  {
    /// When a newer revision was first seen; the epoch if this daemon has the newest one.
    Instant behindSince;
    /// Questions that have no answer yet, the earlier ones first.
    std::vector<Question> open;
    /// Number of questions since then that got no answer.
    unsigned askedInVain = 0;
    /// No reading of the store begins before this.
    Instant storeRetryAt;
  };

  Progress& ProgressOf(ObjectKind aKind) { return mProgress.at(static_cast<std::size_t>(aKind)); }
  const Progress& ProgressOf(ObjectKind aKind) const
  {
    return mProgress.at(static_cast<std::size_t>(aKind));
  }
  /// The era that a daemon states, or this daemon's if it states none: daemons of earlier versions
  /// pass on numbers only.
  StoreEra EraOrOwn(ObjectKind aKind, StoreEra aEra) const;
  /// Whether another daemon has changes that this one lacks.
  bool IsAhead(ObjectKind aKind, const MeshPeer& aPeer) const;
  void CatchUp(ObjectKind aKind, const MeshPeer& aPeer, Instant aNow);
  void Ask(ObjectKind aKind, const MeshPeer& aPeer, Instant aNow);
  /// Whether it is time for a question, also to another daemon than those that were asked.
  static bool IsQuestionDue(const Progress& aProgress, bool aIsLong, Instant aNow);
  bool MayAsk(const MeshPeer& aPeer, const Progress& aProgress, Instant aNow) const;
  /// The live daemon to ask that has changes which this one lacks; null if there is none.
  const MeshPeer* NextToAsk(ObjectKind aKind, Instant aNow) const;
  /// Whether a live daemon has changes that this one lacks.
  bool IsBehind(ObjectKind aKind) const;
  /// Drops questions that meet a condition, as ones that get no answer.
  static void DropQuestions(Progress& aProgress,
                            const std::function<bool(const Question&)>& aIsLost);
  /// Takes the bytes of an answer from what the link may carry; returns false if it is too much
  /// now.
  bool TakeLinkShare(std::size_t aBytes, Instant aNow);

  ObjectMirror& mMirror;
  Mesh& mMesh;
  const ObjectReader& mReader;
  double mLinkBytesPerSecond;
  ReadStore mReadStore;
  Changed mOnChanged;
  bool mIsRelay = true;
  std::array<Progress, kObjectKinds> mProgress;
  /// Daemons that have said that they are busy, and until when they are not asked.
  std::map<std::string, Instant> mBusyUntil;
  /// What the link's share for answers is used up until.
  Instant mLinkUsedUntil;
};

} // namespace hawthornlug
