#include "runtime/mesh.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kHeartbeatInterval = milliseconds(400);
/// Daemons of other failure domains get only every second heartbeat.
constexpr std::uint64_t kForeignHeartbeatEvery = 2;
/// A peer counts as lost if no heartbeat has been received from it for this long.
constexpr Duration kPeerTimeout = milliseconds(1300);
/// The same for peers in other failure domains, which send heartbeats half as often.
constexpr Duration kForeignPeerTimeout = milliseconds(2000);
/// The first heartbeats, and some later ones, contain the sender's domain and address.
constexpr std::uint64_t kFirstIntroductions = 5;
constexpr std::uint64_t kIntroductionEvery = 16;
/// A peer gets heartbeats until nothing has been received from it for this long.
constexpr Duration kForgetAfter = seconds(60);
/// Interval between heartbeats to an address at which no daemon has answered yet.
constexpr Duration kEndpointRetryInterval = seconds(1);

} // namespace

Mesh::Mesh(PeerPort& aPort,
           TimerService& aTimers,
           DecisionLog& aLog,
           DaemonRef aSelf,
           std::string aDomain,
           std::string aEndpoint)
  : mPort(aPort)
  , mTimers(aTimers)
  , mLog(aLog)
  , mSelf(std::move(aSelf))
  , mDomain(std::move(aDomain))
  , mEndpoint(std::move(aEndpoint))
{
}

void Mesh::AddEndpoint(const std::string& aEndpoint)
{
  const bool known = std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
    return aPeer.second.endpoint == aEndpoint;
  });
  if (!known && aEndpoint != mEndpoint) {
    mUnansweredEndpoints.try_emplace(aEndpoint, Instant());
  }
}

bool Mesh::IsResponsive(const MeshPeer& aPeer, Instant aNow) const
{
  return aNow - aPeer.heartbeatAt < (aPeer.domain == mDomain ? kPeerTimeout : kForeignPeerTimeout);
}

bool Mesh::IsLive(const std::string& aDaemon) const
{
  const auto it = mLive.find(aDaemon);
  return it != mLive.end() && it->second;
}

std::vector<const MeshPeer*> Mesh::LivePeers() const
{
  std::vector<const MeshPeer*> peers;
  for (const auto& [id, peer] : mPeers) {
    if (IsLive(id)) {
      peers.push_back(&peer);
    }
  }
  return peers;
}

std::vector<const MeshPeer*> Mesh::KnownPeers(Instant aNow) const
{
  std::vector<const MeshPeer*> peers;
  for (const auto& [id, peer] : mPeers) {
    if (aNow - peer.heartbeatAt < kForgetAfter) {
      peers.push_back(&peer);
    }
  }
  return peers;
}

std::map<std::string, unsigned> Mesh::DaemonsByDomain() const
{
  std::map<std::string, unsigned> daemons = { { mDomain, 1 } };
  for (const MeshPeer* it : LivePeers()) {
    ++daemons[it->domain];
  }
  return daemons;
}

wire::Envelope Mesh::WithSender(wire::Envelope aMessage) const
{
  aMessage.mutable_from()->set_id(mSelf.id);
  aMessage.mutable_from()->set_incarnation(mSelf.incarnation);
  return aMessage;
}

void Mesh::Introduce(wire::Envelope& aHeartbeat) const
{
  aHeartbeat.mutable_beat()->set_domain(mDomain);
  aHeartbeat.mutable_beat()->set_endpoint(mEndpoint);
}

wire::Envelope Mesh::MakeHeartbeat()
{
  const MeshSelf self = mListener->DescribeSelf();
  wire::Envelope message;
  wire::RouterBeat* const heartbeat = message.mutable_beat();
  heartbeat->set_sequence(++mSequence);
  // Domain and address are left out of most heartbeats, since traffic between domains is expensive.
  if (mSequence <= kFirstIntroductions || mSequence % kIntroductionEvery == 0) {
    Introduce(message);
  }
  for (const Version it : self.mirrorRevisions) {
    heartbeat->add_at(it);
  }
  heartbeat->set_store_age_ms(
    static_cast<std::uint32_t>(std::min<std::int64_t>(Millis(self.storeAge), 600000)));
  heartbeat->set_leaving(self.leaving);
  for (const auto& [service, term] : self.claims) {
    wire::RangeClaim* const claim = heartbeat->add_claims();
    claim->set_service(service);
    claim->set_term(term);
  }
  for (const auto& [service, table] : self.tables) {
    wire::RangeClaim* const claim = heartbeat->add_tables();
    claim->set_service(service);
    claim->set_term(table.first);
    claim->set_version(table.second);
  }
  return WithSender(std::move(message));
}

void Mesh::SendHeartbeatNow()
{
  SendHeartbeats(true);
}

void Mesh::SendHeartbeats(bool aToAll)
{
  mHeartbeatSentAt = mTimers.Now();
  const wire::Envelope heartbeat = MakeHeartbeat();
  const bool toAll =
    aToAll || mSequence <= kFirstIntroductions || mSequence % kForeignHeartbeatEvery == 0;
  for (const auto& [id, peer] : mPeers) {
    const bool due = toAll || peer.domain == mDomain;
    if (due && mHeartbeatSentAt - peer.heartbeatAt < kForgetAfter) {
      mPort.Send(peer.endpoint, heartbeat, Delivery::kNowOrNever, nullptr);
    }
  }
  wire::Envelope introduction = heartbeat;
  Introduce(introduction);
  for (auto& [endpoint, triedAt] : mUnansweredEndpoints) {
    if (mHeartbeatSentAt - triedAt >= kEndpointRetryInterval) {
      triedAt = mHeartbeatSentAt;
      // The first heartbeat has to wait until the connection is established.
      mPort.Send(endpoint, introduction, Delivery::kSoon, nullptr);
    }
  }
}

void Mesh::Tick(Instant aNow)
{
  for (const auto& [id, peer] : mPeers) {
    bool& live = mLive[id];
    if (live && !IsResponsive(peer, aNow)) {
      live = false;
      mLog.Write(EventId::kPeerSilent,
                 { { "peer", id }, { "silent-ms", Millis(aNow - peer.heartbeatAt) } });
      mListener->OnPeerLost(id);
    }
  }
  if (aNow - mHeartbeatSentAt >= kHeartbeatInterval) {
    SendHeartbeats(false);
  }
}

void Mesh::Receive(const wire::Envelope& aMessage)
{
  if (aMessage.from().id().empty() || aMessage.from().id() == mSelf.id || mListener == nullptr) {
    return;
  }
  if (aMessage.has_beat()) {
    OnHeartbeat(aMessage, mTimers.Now());
    return;
  }
  const auto it = mPeers.find(aMessage.from().id());
  // Messages of a daemon whose first heartbeat has not arrived are ignored, and so are late ones of
  // an earlier incarnation.
  if (it != mPeers.end() && it->second.ref.incarnation == aMessage.from().incarnation()) {
    mListener->OnMessage(it->second, aMessage);
  }
}

void Mesh::OnHeartbeat(const wire::Envelope& aMessage, Instant aNow)
{
  const wire::RouterBeat& heartbeat = aMessage.beat();
  const std::string& id = aMessage.from().id();
  const auto known = mPeers.find(id);
  if (known != mPeers.end()) {
    const MeshPeer& peer = known->second;
    const Incarnation incarnation = aMessage.from().incarnation();
    const bool sameIncarnation = incarnation == peer.ref.incarnation;
    if (incarnation < peer.ref.incarnation ||
        (sameIncarnation && heartbeat.sequence() <= peer.sequence)) {
      return;
    }
    if (!sameIncarnation) {
      mListener->OnPeerLost(id);
    }
  }
  const bool introduces = !heartbeat.endpoint().empty();
  if (!introduces && known == mPeers.end()) {
    return;
  }
  MeshPeer& peer = mPeers[id];
  const bool isNewEndpoint = introduces && peer.endpoint != heartbeat.endpoint();
  peer.ref = { id, aMessage.from().incarnation() };
  if (introduces) {
    peer.domain = heartbeat.domain();
    peer.endpoint = heartbeat.endpoint();
  }
  peer.sequence = heartbeat.sequence();
  peer.heartbeatAt = aNow;
  peer.mirrorRevisions.assign(heartbeat.at().begin(), heartbeat.at().end());
  peer.storeAge = milliseconds(heartbeat.store_age_ms());
  peer.leaving = heartbeat.leaving();
  peer.claims.clear();
  for (const wire::RangeClaim& it : heartbeat.claims()) {
    peer.claims[it.service()] = it.term();
  }
  mUnansweredEndpoints.erase(peer.endpoint);
  for (const std::string& it : heartbeat.endpoints()) {
    AddEndpoint(it);
  }
  bool& live = mLive[id];
  if (!live) {
    live = true;
    mLog.Write(EventId::kPeerHeard, { { "peer", id }, { "incarnation", peer.ref.incarnation } });
  }
  if (isNewEndpoint) {
    // The new peer gets the addresses of all other daemons at once.
    wire::Envelope answer = MakeHeartbeat();
    Introduce(answer);
    for (const auto& [other, it] : mPeers) {
      if (other != id) {
        answer.mutable_beat()->add_endpoints(it.endpoint);
      }
    }
    mPort.Send(peer.endpoint, answer, Delivery::kSoon, nullptr);
  }
  mListener->OnHeartbeat(peer, heartbeat);
}

void Mesh::Send(const std::string& aDaemon, wire::Envelope aMessage)
{
  const auto it = mPeers.find(aDaemon);
  if (it != mPeers.end()) {
    mPort.Send(
      it->second.endpoint, WithSender(std::move(aMessage)), Delivery::kNowOrNever, nullptr);
  }
}

bool Mesh::IsIn(Audience aAudience, const MeshPeer& aPeer) const
{
  switch (aAudience) {
    case Audience::kOwnDomain:
      return aPeer.domain == mDomain;
    case Audience::kOtherDomains:
      return aPeer.domain != mDomain;
    case Audience::kAll:
      break;
  }
  return true;
}

void Mesh::Broadcast(const wire::Envelope& aMessage, Audience aAudience)
{
  const wire::Envelope message = WithSender(aMessage);
  for (const MeshPeer* it : LivePeers()) {
    if (IsIn(aAudience, *it)) {
      mPort.Send(it->endpoint, message, Delivery::kNowOrNever, nullptr);
    }
  }
}

std::size_t Mesh::PeersIn(Audience aAudience) const
{
  const std::vector<const MeshPeer*> peers = LivePeers();
  return static_cast<std::size_t>(std::count_if(
    peers.begin(), peers.end(), [&](const auto* aPeer) { return IsIn(aAudience, *aPeer); }));
}

} // namespace hawthornlug
