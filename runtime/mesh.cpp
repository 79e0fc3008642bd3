#include "runtime/mesh.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kBeatInterval = milliseconds(400);
/// To other failure domains only every second beat is sent.
constexpr std::uint64_t kForeignBeatEvery = 2;
/// A daemon that was not heard for so long is taken for lost.
constexpr Duration kSilence = milliseconds(1300);
constexpr Duration kForeignSilence = milliseconds(2000);
/// The first beats, and some later ones, say where the sender is.
constexpr std::uint64_t kIntroductions = 5;
constexpr std::uint64_t kIntroductionEvery = 16;
/// How long a daemon that is silent goes on being sent beats.
constexpr Duration kForgetAfter = seconds(60);
constexpr Duration kEndpointRetry = seconds(1);

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
    mEndpoints.try_emplace(aEndpoint, Instant());
  }
}

bool Mesh::IsHeard(const MeshPeer& aPeer, Instant aNow) const
{
  return aNow - aPeer.heardAt < (aPeer.domain == mDomain ? kSilence : kForeignSilence);
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

std::map<std::string, unsigned> Mesh::DaemonsByDomain() const
{
  std::map<std::string, unsigned> daemons = { { mDomain, 1 } };
  for (const MeshPeer* it : LivePeers()) {
    ++daemons[it->domain];
  }
  return daemons;
}

wire::Envelope Mesh::Address(wire::Envelope aMessage) const
{
  aMessage.mutable_from()->set_id(mSelf.id);
  aMessage.mutable_from()->set_incarnation(mSelf.incarnation);
  return aMessage;
}

void Mesh::Introduce(wire::Envelope& aBeat) const
{
  aBeat.mutable_beat()->set_domain(mDomain);
  aBeat.mutable_beat()->set_endpoint(mEndpoint);
}

wire::Envelope Mesh::MakeBeat()
{
  const MeshSelf self = mListener->DescribeSelf();
  wire::Envelope message;
  wire::RouterBeat* const beat = message.mutable_beat();
  beat->set_sequence(++mSequence);
  // Who the sender is need not be said each time: bytes between domains are dear.
  if (mSequence <= kIntroductions || mSequence % kIntroductionEvery == 0) {
    Introduce(message);
  }
  for (const Version it : self.at) {
    beat->add_at(it);
  }
  beat->set_store_age_ms(
    static_cast<std::uint32_t>(std::min<std::int64_t>(Millis(self.storeAge), 600000)));
  beat->set_leaving(self.leaving);
  for (const auto& [service, term] : self.claims) {
    wire::RangeClaim* const claim = beat->add_claims();
    claim->set_service(service);
    claim->set_term(term);
  }
  for (const auto& [service, table] : self.tables) {
    wire::RangeClaim* const claim = beat->add_tables();
    claim->set_service(service);
    claim->set_term(table.first);
    claim->set_version(table.second);
  }
  return Address(std::move(message));
}

void Mesh::BeatNow()
{
  SendBeats(true);
}

void Mesh::SendBeats(bool aToAll)
{
  mBeatAt = mTimers.Now();
  const wire::Envelope beat = MakeBeat();
  const bool toAll = aToAll || mSequence <= kIntroductions || mSequence % kForeignBeatEvery == 0;
  for (const auto& [id, peer] : mPeers) {
    const bool due = toAll || peer.domain == mDomain;
    if (due && mBeatAt - peer.heardAt < kForgetAfter) {
      mPort.Send(peer.endpoint, beat, Delivery::kNowOrNever, nullptr);
    }
  }
  wire::Envelope introduction = beat;
  Introduce(introduction);
  for (auto& [endpoint, triedAt] : mEndpoints) {
    if (mBeatAt - triedAt >= kEndpointRetry) {
      triedAt = mBeatAt;
      // The first beat has to wait for its connection.
      mPort.Send(endpoint, introduction, Delivery::kSoon, nullptr);
    }
  }
}

void Mesh::Tick(Instant aNow)
{
  for (const auto& [id, peer] : mPeers) {
    bool& live = mLive[id];
    if (live && !IsHeard(peer, aNow)) {
      live = false;
      mLog.Write(EventId::kPeerSilent,
                 { { "peer", id }, { "silent-ms", Millis(aNow - peer.heardAt) } });
      mListener->OnPeerLost(id);
    }
  }
  if (aNow - mBeatAt >= kBeatInterval) {
    SendBeats(false);
  }
}

void Mesh::Take(const wire::Envelope& aMessage)
{
  if (aMessage.from().id() == mSelf.id || mListener == nullptr) {
    return;
  }
  if (aMessage.has_beat()) {
    OnBeat(aMessage, mTimers.Now());
    return;
  }
  const auto it = mPeers.find(aMessage.from().id());
  // Before a daemon's first beat nothing is known of it; an earlier run's messages are late.
  if (it != mPeers.end() && it->second.ref.incarnation == aMessage.from().incarnation()) {
    mListener->OnMessage(it->second, aMessage);
  }
}

void Mesh::OnBeat(const wire::Envelope& aMessage, Instant aNow)
{
  const wire::RouterBeat& beat = aMessage.beat();
  const std::string& id = aMessage.from().id();
  const auto known = mPeers.find(id);
  if (known != mPeers.end()) {
    const MeshPeer& peer = known->second;
    const Incarnation incarnation = aMessage.from().incarnation();
    const bool sameRun = incarnation == peer.ref.incarnation;
    if (incarnation < peer.ref.incarnation || (sameRun && beat.sequence() <= peer.sequence)) {
      return;
    }
    if (!sameRun) {
      mListener->OnPeerLost(id);
    }
  }
  const bool introduces = !beat.endpoint().empty();
  if (!introduces && known == mPeers.end()) {
    return;
  }
  MeshPeer& peer = mPeers[id];
  const bool isNew = introduces && peer.endpoint != beat.endpoint();
  peer.ref = { id, aMessage.from().incarnation() };
  if (introduces) {
    peer.domain = beat.domain();
    peer.endpoint = beat.endpoint();
  }
  peer.sequence = beat.sequence();
  peer.heardAt = aNow;
  peer.at.assign(beat.at().begin(), beat.at().end());
  peer.storeAge = milliseconds(beat.store_age_ms());
  peer.leaving = beat.leaving();
  peer.claims.clear();
  for (const wire::RangeClaim& it : beat.claims()) {
    peer.claims[it.service()] = it.term();
  }
  mEndpoints.erase(peer.endpoint);
  for (const std::string& it : beat.endpoints()) {
    AddEndpoint(it);
  }
  bool& live = mLive[id];
  if (!live) {
    live = true;
    mLog.Write(EventId::kPeerHeard, { { "peer", id }, { "incarnation", peer.ref.incarnation } });
  }
  if (isNew) {
    // It learns at once who else is there.
    wire::Envelope answer = MakeBeat();
    Introduce(answer);
    for (const auto& [other, it] : mPeers) {
      if (other != id) {
        answer.mutable_beat()->add_endpoints(it.endpoint);
      }
    }
    mPort.Send(peer.endpoint, answer, Delivery::kSoon, nullptr);
  }
  mListener->OnBeat(peer, beat);
}

void Mesh::Send(const std::string& aDaemon, wire::Envelope aMessage)
{
  const auto it = mPeers.find(aDaemon);
  if (it != mPeers.end()) {
    mPort.Send(it->second.endpoint, Address(std::move(aMessage)), Delivery::kNowOrNever, nullptr);
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
  const wire::Envelope message = Address(aMessage);
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
