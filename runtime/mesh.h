/// @file
/// Messages between routing daemons, and heartbeats that show which of them are live.
#pragma once

#include "config/object_mirror.h"
#include "core/decision_log.h"
#include "core/timer_service.h"
#include "membership/role_ranking.h"
#include "ownership/range_directory.h"
#include "ports/peer_port.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Another routing daemon, as described by its latest heartbeat.
struct MeshPeer
{
  DaemonRef ref;
  std::string domain;
  std::string endpoint;
  std::uint64_t sequence = 0;
  /// When its latest heartbeat was received.
  Instant heartbeatAt;
  /// Revision of its mirror, by kind of object.
  std::vector<Version> mirrorRevisions;
  /// Time since the store last answered it; 0 if it does not watch the store.
  Duration storeAge = Duration::zero();
  bool leaving = false;
  /// Power class of its host.
  unsigned power = 0;
  /// Interval of its heartbeats to other failure domains.
  Duration foreignInterval = Duration::zero();
  /// Size of the configuration that it has.
  std::size_t configurationBytes = 0;
  /// Services that it leads, with its term.
  std::map<std::string, std::uint64_t> claims;
  /// Whether it is heard.
  bool live = false;
};

/// What a daemon reports about itself in its heartbeats; fields as in MeshPeer.
struct MeshSelf
{
  std::vector<Version> mirrorRevisions;
  Duration storeAge = Duration::zero();
  bool leaving = false;
  std::size_t configurationBytes = 0;
  /// Whether daemons of other failure domains rely on this one, and must soon notice if it is lost.
  bool hasRole = false;
  std::map<std::string, std::uint64_t> claims;
  /// Term and version of its range table, by service.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> tables;
};

/// Receives what other daemons send; called on the daemon's event loop.
class MeshListener
{
public:
  virtual ~MeshListener() = default;

  /// Returns the content of this daemon's next heartbeat.
  virtual MeshSelf DescribeSelf() = 0;
  virtual void OnHeartbeat(const MeshPeer& aPeer, const wire::RouterBeat& aHeartbeat) = 0;
  virtual void OnMessage(const MeshPeer& aPeer, const wire::Envelope& aMessage) = 0;
  /// A live daemon's heartbeats have ceased, or it has restarted with a new incarnation.
  virtual void OnPeerLost(const std::string& aDaemon) = 0;
};

/// Sends heartbeats, keeps the list of live daemons, and delivers messages. Runs on the daemon's
/// event loop.
class Mesh
{
public:
  Mesh(PeerPort& aPort,
       TimerService& aTimers,
       DecisionLog& aLog,
       DaemonRef aSelf,
       std::string aDomain,
       std::string aEndpoint,
       unsigned aPower = 0);

  void SetListener(MeshListener& aListener) { mListener = &aListener; }
  /// Begins to send heartbeats to the daemon at @p aEndpoint, whose id is not known yet.
  void AddEndpoint(const std::string& aEndpoint);
  /// Processes a received message; to be called on the event loop.
  void Receive(const wire::Envelope& aMessage);
  /// Sends heartbeats that are due, and detects lost peers.
  void Tick(Instant aNow);

  void Send(const std::string& aDaemon, wire::Envelope aMessage);
  /// The live peers that a broadcast goes to.
  enum class Audience
  {
    kOwnDomain,
    kOtherDomains,
    kAll,
  };
  /// Sends a heartbeat immediately, to report a change without delay.
  void SendHeartbeatNow(Audience aAudience = Audience::kAll);
  /// Sends one immediately to the own failure domain and to some daemons of others.
  void SendHeartbeatTo(const std::set<std::string>& aForeignDaemons);
  void Broadcast(const wire::Envelope& aMessage, Audience aAudience);
  /// Number of live peers in the audience.
  std::size_t PeersIn(Audience aAudience) const;

  bool IsLive(const std::string& aDaemon) const;
  /// All live daemons except this one.
  const std::vector<const MeshPeer*>& LivePeers() const { return mLivePeers; }
  /// All daemons that have been heard lately, also those that are silent now.
  std::vector<const MeshPeer*> KnownPeers(Instant aNow) const;
  /// Rises whenever it changes which daemons are live, leave, or reach the store.
  std::uint64_t ChangeCount() const { return mChangeCount; }
  /// Number of live daemons by failure domain, this one included.
  std::map<std::string, unsigned> DaemonsByDomain() const;
  const DaemonRef& Self() const { return mSelf; }
  /// This daemon as a candidate for roles.
  RoleCandidate AsCandidate() const { return { mSelf.id, mDomain, mPower }; }
  const std::string& Domain() const { return mDomain; }

private:
  bool IsIn(Audience aAudience, const MeshPeer& aPeer) const;
  wire::Envelope MakeHeartbeat();
  /// Adds this daemon's domain and address to a heartbeat.
  void Introduce(wire::Envelope& aHeartbeat) const;
  /// The daemons of other failure domains that a heartbeat goes to.
  using ForeignFilter = std::function<bool(const MeshPeer&)>;
  void SendHeartbeats(const ForeignFilter& aIsRecipient);
  /// Sends a heartbeat at its time: to other failure domains only if one is due there.
  void SendDueHeartbeat();
  /// Sends a heartbeat, with domain and address added, to the addresses that have not answered yet.
  void SendIntroductions(wire::Envelope aHeartbeat);
  /// Interval of heartbeats to other failure domains. It rises with the number of daemons there,
  /// except for a daemon that they rely on.
  Duration ForeignInterval(bool aHasRole) const;
  void SetLive(MeshPeer& aPeer, bool aLive);
  /// Takes a peer that has been silent for too long off the live ones.
  void OnSilent(MeshPeer& aPeer, Instant aNow);
  /// Whether the heartbeat is newer than what is known of its sender, who may have restarted.
  bool IsNews(const wire::Envelope& aHeartbeat);
  /// Copies a heartbeat's content; returns whether that changes which roles the sender can have.
  static bool CopyContent(const wire::RouterBeat& aHeartbeat, MeshPeer& aPeer);
  /// Introduces this daemon to one that is new here, and names others to it that it lacks.
  void AnswerIntroduction(const MeshPeer& aPeer, std::size_t aKnownPeers);
  /// Sets this daemon as the sender of a message.
  wire::Envelope WithSender(wire::Envelope aMessage) const;
  void OnHeartbeat(const wire::Envelope& aMessage, Instant aNow);
  /// Whether a heartbeat of the peer has been received within the timeout of its domain.
  bool IsResponsive(const MeshPeer& aPeer, Instant aNow) const;

  PeerPort& mPort;
  TimerService& mTimers;
  DecisionLog& mLog;
  DaemonRef mSelf;
  std::string mDomain;
  std::string mEndpoint;
  unsigned mPower;
  MeshListener* mListener = nullptr;
  std::map<std::string, MeshPeer> mPeers;
  /// The addresses of the peers.
  std::set<std::string> mKnownEndpoints;
  /// Sorted by id.
  std::vector<const MeshPeer*> mLivePeers;
  std::uint64_t mChangeCount = 0;
  /// Addresses from which no heartbeat has been received yet, and when they were last tried.
  std::map<std::string, Instant> mUnansweredEndpoints;
  /// Whether one of them has not been tried yet.
  bool mHasNewEndpoint = false;
  /// Number of this daemon's latest heartbeat.
  std::uint64_t mSequence = 0;
  Instant mHeartbeatSentAt;
  /// When other failure domains were last sent one.
  Instant mForeignSentAt;
};

} // namespace hawthornlug
