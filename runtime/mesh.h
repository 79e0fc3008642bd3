/// @file
/// Messages between routing daemons, and heartbeats that show which of them are live.
#pragma once

#include "config/object_mirror.h"
#include "core/decision_log.h"
#include "core/timer_service.h"
#include "membership/heartbeat_relays.h"
#include "ownership/range_directory.h"
#include "ports/peer_port.h"
#include "runtime/mesh_peer.h"
#include "runtime/peer_table.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

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

/// Sends heartbeats, keeps the list of live daemons, and delivers messages. In a large fleet
/// heartbeats, and what is meant for all daemons, pass through relays (see HeartbeatRelays). Runs
/// on the daemon's event loop.
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

  /// A message may wait briefly for a connection, since a large fleet's daemons have connections to
  /// few others. What soon gets too old must not: Delivery::kNowOrNever.
  void Send(const std::string& aDaemon,
            wire::Envelope aMessage,
            Delivery aDelivery = Delivery::kSoon);
  /// The live peers that a broadcast goes to.
  enum class Audience
  {
    kOwnDomain,
    kOtherDomains,
    kAll,
  };
  /// Sends a heartbeat immediately, to report a change without delay. In a large fleet the relays
  /// tell the daemons of other failure domains.
  void SendHeartbeatNow(Audience aAudience = Audience::kAll);
  /// Sends one immediately to the own failure domain and to the relays of others.
  void SendHeartbeatToRelays();
  void Broadcast(const wire::Envelope& aMessage, Audience aAudience);
  /// Sends a message to all live daemons. In a large fleet only relays of other failure domains get
  /// it from here, and have to call PassOn().
  void SendToFleet(const wire::Envelope& aMessage);
  /// Sends on what @p aSender has sent to the fleet, if daemons rely on this one for it.
  void PassOn(const MeshPeer& aSender, const wire::Envelope& aMessage);
  /// As SendToFleet(), but in a small fleet, too, other failure domains get a message through one
  /// daemon only: for what is sent often and may be missed. Receivers have to call PassOnThrifty().
  void SendThrifty(const wire::Envelope& aMessage);
  /// Sends on what @p aSender has sent with SendThrifty().
  void PassOnThrifty(const MeshPeer& aSender, const wire::Envelope& aMessage);
  /// Number of live peers in the audience.
  std::size_t PeersIn(Audience aAudience) const;

  bool IsLive(const std::string& aDaemon) const;
  /// All live daemons except this one.
  const std::vector<const MeshPeer*>& LivePeers() const { return mPeers.Live(); }
  /// All daemons that have been heard lately, also those that are silent now.
  std::vector<const MeshPeer*> KnownPeers(Instant aNow) const { return mPeers.Known(aNow); }
  /// Rises whenever it changes which daemons are live, leave, or reach the store.
  std::uint64_t ChangeCount() const { return mPeers.ChangeCount(); }
  /// Number of live daemons by failure domain, this one included.
  std::map<std::string, unsigned> DaemonsByDomain() const;
  const DaemonRef& Self() const { return mSelf; }
  /// This daemon as a candidate for roles.
  RoleCandidate AsCandidate() const { return { mSelf.id, mDomain, mPower }; }
  const std::string& Domain() const { return mDomain; }
  /// The daemons of all domains that rank first as relays, in fleets of any size.
  const std::set<std::string>& Relays() const { return mRelays.FirstRanked(); }

private:
  bool IsIn(Audience aAudience, const MeshPeer& aPeer) const;
  wire::Envelope MakeHeartbeat();
  /// Adds this daemon's domain and address to a heartbeat.
  void Introduce(wire::Envelope& aHeartbeat) const;
  wire::Envelope MakeIntroducedHeartbeat();
  /// Adds which daemons are heard, those of the own domain or all.
  void AddAllHeard(Audience aAudience, wire::Envelope& aHeartbeat) const;
  /// The daemons of other failure domains that a heartbeat goes to.
  using ForeignFilter = std::function<bool(const MeshPeer&)>;
  void SendHeartbeats(const ForeignFilter& aIsRecipient);
  /// Sends a message to daemons that may not have a connection from this one yet.
  void SendSoon(const std::set<std::string>& aDaemons, const wire::Envelope& aMessage);

  /// Sends a small fleet's heartbeat at its time: to other failure domains only if one is due
  /// there.
  void SendDueHeartbeat();
  /// Whether a small fleet's heartbeat is due, in the own failure domain or in others.
  bool IsHeartbeatDue(Instant aNow) const;
  /// Whether other failure domains are to be sent a heartbeat directly now.
  bool IsForeignHeartbeatDue(bool aHasRole, Instant aNow) const;
  /// Interval of heartbeats to other failure domains. It rises with the number of daemons there,
  /// except for a daemon that they rely on.
  Duration ForeignInterval(bool aHasRole) const;
  /// Sends a heartbeat, with domain and address added, to the addresses that have not answered yet.
  void SendIntroductions();

  /// Sends what is due in a fleet with relays.
  void TickRelayed(Instant aNow);
  void UpdateRelays(Instant aNow);
  /// Sends a heartbeat to the relays of the own domain, and to daemons that have to be told
  /// directly.
  void SendToOwnRelays(const std::vector<std::string>& aRelays, Instant aNow);
  /// The daemons that no relay tells of this one. @p aForeignDue: whether those of other failure
  /// domains are to be told now.
  std::set<std::string> PeersWithoutRelay(bool aHasRelays, bool aForeignDue, Instant aNow) const;
  /// As a relay, tells those that use it, and the relays of other domains, whom it hears.
  void TellMembers(Instant aNow);
  void TellOtherDomains(Instant aNow);
  /// Adds the heartbeats whose content has changed, those of the own domain or all.
  void AddChanged(Audience aAudience, Instant aNow, wire::Envelope& aHeartbeat) const;

  void OnSilent(const MeshPeer& aPeer, Instant aNow);
  void OnHeartbeat(const wire::Envelope& aMessage, Instant aNow);
  /// What a heartbeat has changed.
  struct Update
  {
    MeshPeer& peer;
    /// The daemon, its run or its address was not known.
    bool isNewHere = false;
  };
  Update UpdatePeer(const DaemonRef& aDaemon, const wire::RouterBeat& aHeartbeat);
  /// Records that a daemon ran at @p aAt; returns whether it was not live before and is now.
  bool Hear(MeshPeer& aPeer, Instant aAt, Instant aNow);
  /// Takes what a relay passes on.
  void OnRelayed(const MeshPeer& aRelay, const wire::RouterBeat& aHeartbeat, Instant aNow);
  void OnRelayedBeat(const wire::RelayedBeat& aRelayed, Instant aNow);
  /// Returns the numbers of the content that is not known here.
  wire::RelayedBeatsQuestion HearAll(const wire::RouterBeat& aHeartbeat, Instant aNow);
  void OnRelayedBeatsQuestion(const std::string& aDaemon,
                              const wire::RelayedBeatsQuestion& aQuestion);
  /// Introduces this daemon to one that is new here, and names others to it that it lacks.
  void AnswerIntroduction(const MeshPeer& aPeer, std::size_t aKnownPeers);
  /// Sets this daemon as the sender of a message.
  wire::Envelope WithSender(wire::Envelope aMessage) const;

  PeerPort& mPort;
  TimerService& mTimers;
  DecisionLog& mLog;
  DaemonRef mSelf;
  std::string mDomain;
  std::string mEndpoint;
  unsigned mPower;
  MeshListener* mListener = nullptr;
  PeerTable mPeers;
  HeartbeatRelays mRelays;
  /// When the relays were last ranked, and for which number of changes.
  Instant mRelaysRankedAt;
  std::optional<std::uint64_t> mRelaysRankedFor;
  /// The relays that the latest heartbeat went to.
  std::vector<std::string> mUsedRelays;
  /// Daemons whose heartbeats have new content that has not been passed on yet.
  std::set<std::string> mChanged;
  Instant mToldMembersAt;
  Instant mToldDomainsAt;
  Instant mAskedAt;
  /// Number of the content of this daemon's own heartbeats.
  std::uint32_t mOwnContentNumber = 0;
  /// The addresses of the peers.
  std::set<std::string> mKnownEndpoints;
  /// Addresses from which no heartbeat has been received yet, and when they were last tried.
  std::map<std::string, Instant> mUnansweredEndpoints;
  /// Whether one of them has not been tried yet.
  bool mHasNewEndpoint = false;
  /// Number of this daemon's latest heartbeat.
  std::uint64_t mSequence = 0;
  Instant mHeartbeatSentAt;
  /// When other failure domains were last sent one.
  Instant mForeignSentAt;
  Instant mIntroducedAt;
};

} // namespace hawthornlug
