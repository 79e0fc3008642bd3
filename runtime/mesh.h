/// @file
/// What routing daemons tell each other, and which of them live.
#pragma once

#include "config/object_mirror.h"
#include "core/decision_log.h"
#include "core/timer_service.h"
#include "ownership/range_directory.h"
#include "ports/peer_port.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// Another routing daemon, by its latest beat.
struct MeshPeer
{
  DaemonRef ref;
  std::string domain;
  std::string endpoint;
  std::uint64_t sequence = 0;
  Instant heardAt;
  std::vector<Version> at;
  Duration storeAge = Duration::zero();
  bool leaving = false;
  /// Services whose ranges it grants, with its term.
  std::map<std::string, std::uint64_t> claims;
};

/// What a daemon says of itself in its beats.
struct MeshSelf
{
  std::vector<Version> at;
  Duration storeAge = Duration::zero();
  bool leaving = false;
  std::map<std::string, std::uint64_t> claims;
  /// Range tables that it has: term and version by service.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> tables;
};

/// Takes what other daemons send; called on the daemon's loop.
class MeshListener
{
public:
  virtual ~MeshListener() = default;

  virtual MeshSelf DescribeSelf() = 0;
  virtual void OnBeat(const MeshPeer& aPeer, const wire::RouterBeat& aBeat) = 0;
  virtual void OnMessage(const MeshPeer& aPeer, const wire::Envelope& aMessage) = 0;
  /// A daemon that was heard is silent now, or has come back as another run.
  virtual void OnPeerLost(const std::string& aDaemon) = 0;
};

/// Sends beats, keeps the list of live daemons, passes messages on. Runs on the daemon's loop.
class Mesh
{
public:
  Mesh(PeerPort& aPort,
       TimerService& aTimers,
       DecisionLog& aLog,
       DaemonRef aSelf,
       std::string aDomain,
       std::string aEndpoint);

  void SetListener(MeshListener& aListener) { mListener = &aListener; }
  /// Begins to send beats to @p aEndpoint, whoever is there.
  void AddEndpoint(const std::string& aEndpoint);
  /// Takes a message; to be called on the loop.
  void Take(const wire::Envelope& aMessage);
  /// Sends beats and notices silence.
  void Tick(Instant aNow);
  /// Sends a beat to all at once, for what they should know at once.
  void BeatNow();

  void Send(const std::string& aDaemon, wire::Envelope aMessage);
  /// Whom a message is for.
  enum class Audience
  {
    kOwnDomain,
    kOtherDomains,
    kAll,
  };
  void Broadcast(const wire::Envelope& aMessage, Audience aAudience);
  /// Number of live peers among those.
  std::size_t PeersIn(Audience aAudience) const;

  bool IsLive(const std::string& aDaemon) const;
  /// Live daemons, this one left out.
  std::vector<const MeshPeer*> LivePeers() const;
  /// Number of live daemons by failure domain, this one counted.
  std::map<std::string, unsigned> DaemonsByDomain() const;
  const DaemonRef& Self() const { return mSelf; }
  const std::string& Domain() const { return mDomain; }

private:
  bool IsIn(Audience aAudience, const MeshPeer& aPeer) const;
  wire::Envelope MakeBeat();
  /// Adds where the sender is to a beat.
  void Introduce(wire::Envelope& aBeat) const;
  void SendBeats(bool aToAll);
  wire::Envelope Address(wire::Envelope aMessage) const;
  void OnBeat(const wire::Envelope& aMessage, Instant aNow);
  bool IsHeard(const MeshPeer& aPeer, Instant aNow) const;

  PeerPort& mPort;
  TimerService& mTimers;
  DecisionLog& mLog;
  DaemonRef mSelf;
  std::string mDomain;
  std::string mEndpoint;
  MeshListener* mListener = nullptr;
  std::map<std::string, MeshPeer> mPeers;
  std::map<std::string, bool> mLive;
  /// Addresses at which no daemon has been heard yet, and when they were last tried.
  std::map<std::string, Instant> mEndpoints;
  std::uint64_t mSequence = 0;
  Instant mBeatAt;
};

} // namespace hawthornlug
