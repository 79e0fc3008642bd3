#include "runtime/mesh.h"

#include "runtime/store_follower.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kHeartbeatInterval = milliseconds(400);
/// Shortest interval of heartbeats to other failure domains.
constexpr Duration kMinForeignInterval = milliseconds(800);
/// Limit of the heartbeats that a daemon without a role sends to other failure domains.
constexpr unsigned kForeignHeartbeatsPerSecond = 40;
/// A peer counts as lost if no heartbeat has been received from it for this long.
constexpr Duration kPeerTimeout = milliseconds(1300);
/// A peer in another failure domain counts as lost after this time at the earliest, and after this
/// multiple of the interval of its heartbeats.
constexpr Duration kForeignPeerTimeout = milliseconds(2000);
constexpr double kForeignIntervalsToLoss = 2.5;
/// The first heartbeats, and some later ones, contain the sender's domain and address.
constexpr std::uint64_t kFirstIntroductions = 5;
constexpr std::uint64_t kIntroductionEvery = 16;
/// A peer gets heartbeats until nothing has been received from it for this long.
constexpr Duration kForgetAfter = seconds(60);
/// Interval between heartbeats to an address at which no daemon has answered yet.
constexpr Duration kEndpointRetryInterval = seconds(1);
/// A new daemon is told the addresses of the others if it knows less than this share of them.
constexpr double kKnownPeersShare = 0.8;
constexpr std::size_t kBytesPerKilobyte = 1024;

} // namespace

Mesh::Mesh(PeerPort& aPort,
           TimerService& aTimers,
           DecisionLog& aLog,
           DaemonRef aSelf,
           std::string aDomain,
           std::string aEndpoint,
           unsigned aPower)
  : mPort(aPort)
  , mTimers(aTimers)
  , mLog(aLog)
  , mSelf(std::move(aSelf))
  , mDomain(std::move(aDomain))
  , mEndpoint(std::move(aEndpoint))
  , mPower(aPower)
{
}

void Mesh::AddEndpoint(const std::string& aEndpoint)
{
  if (!mKnownEndpoints.contains(aEndpoint) && aEndpoint != mEndpoint) {
    const bool isNew = mUnansweredEndpoints.try_emplace(aEndpoint, Instant()).second;
    mHasNewEndpoint = mHasNewEndpoint || isNew;
  }
}

bool Mesh::IsResponsive(const MeshPeer& aPeer, Instant aNow) const
{
  const Duration silence = aNow - aPeer.heartbeatAt;
  if (aPeer.domain == mDomain) {
    return silence < kPeerTimeout;
  }
  return silence <
         std::max(kForeignPeerTimeout, Scaled(aPeer.foreignInterval, kForeignIntervalsToLoss));
}

bool Mesh::IsLive(const std::string& aDaemon) const
{
  const auto it = mPeers.find(aDaemon);
  return it != mPeers.end() && it->second.live;
}

void Mesh::SetLive(MeshPeer& aPeer, bool aLive)
{
  const auto it = std::lower_bound(
    mLivePeers.begin(),
    mLivePeers.end(),
    aPeer.ref.id,
    [](const MeshPeer* aOther, const std::string& aId) { return aOther->ref.id < aId; });
  if (aLive) {
    mLivePeers.insert(it, &aPeer);
  } else {
    mLivePeers.erase(it);
  }
  aPeer.live = aLive;
  ++mChangeCount;
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
  for (const MeshPeer* it : mLivePeers) {
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
  aHeartbeat.mutable_beat()->set_power(mPower);
  aHeartbeat.mutable_beat()->set_known_peers(static_cast<std::uint32_t>(mPeers.size()));
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
  heartbeat->set_configuration_kb(
    static_cast<std::uint32_t>(self.configurationBytes / kBytesPerKilobyte));
  const Duration foreignInterval = ForeignInterval(self.hasRole);
  if (foreignInterval > kMinForeignInterval) {
    heartbeat->set_foreign_interval_ms(static_cast<std::uint32_t>(Millis(foreignInterval)));
  }
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

void Mesh::SendHeartbeatNow(Audience aAudience)
{
  const bool toAll = aAudience == Audience::kAll;
  SendHeartbeats([toAll](const MeshPeer&) { return toAll; });
  mForeignSentAt = toAll ? mHeartbeatSentAt : mForeignSentAt;
}

void Mesh::SendHeartbeatTo(const std::set<std::string>& aForeignDaemons)
{
  SendHeartbeats([&](const MeshPeer& aPeer) { return aForeignDaemons.contains(aPeer.ref.id); });
}

Duration Mesh::ForeignInterval(bool aHasRole) const
{
  if (aHasRole) {
    return kMinForeignInterval;
  }
  const auto peers = static_cast<Duration::rep>(PeersIn(Audience::kOtherDomains));
  return std::max<Duration>(kMinForeignInterval,
                            Duration(seconds(1)) * peers / kForeignHeartbeatsPerSecond);
}

void Mesh::SendDueHeartbeat()
{
  const Duration interval = ForeignInterval(mListener->DescribeSelf().hasRole);
  // Half a heartbeat early is better than half a heartbeat late.
  const bool foreignDue = mTimers.Now() - mForeignSentAt >= interval - kHeartbeatInterval / 2;
  const bool introducing = mSequence < kFirstIntroductions;
  SendHeartbeatNow(foreignDue || introducing ? Audience::kAll : Audience::kOwnDomain);
}

void Mesh::SendHeartbeats(const ForeignFilter& aIsRecipient)
{
  mHeartbeatSentAt = mTimers.Now();
  const wire::Envelope heartbeat = MakeHeartbeat();
  for (const auto& [id, peer] : mPeers) {
    const bool due = peer.domain == mDomain || aIsRecipient(peer);
    if (due && mHeartbeatSentAt - peer.heartbeatAt < kForgetAfter) {
      mPort.Send(peer.endpoint, heartbeat, Delivery::kNowOrNever, nullptr);
    }
  }
  SendIntroductions(heartbeat);
}

void Mesh::SendIntroductions(wire::Envelope aHeartbeat)
{
  mHasNewEndpoint = false;
  Introduce(aHeartbeat);
  const Instant now = mTimers.Now();
  for (auto& [endpoint, triedAt] : mUnansweredEndpoints) {
    if (now - triedAt >= kEndpointRetryInterval) {
      triedAt = now;
      // The first heartbeat has to wait until the connection is established.
      mPort.Send(endpoint, aHeartbeat, Delivery::kSoon, nullptr);
    }
  }
}

void Mesh::Tick(Instant aNow)
{
  std::vector<std::string> silent;
  for (const MeshPeer* it : mLivePeers) {
    if (!IsResponsive(*it, aNow)) {
      silent.push_back(it->ref.id);
    }
  }
  for (const std::string& it : silent) {
    OnSilent(mPeers.at(it), aNow);
  }
  if (aNow - mHeartbeatSentAt >= kHeartbeatInterval) {
    SendDueHeartbeat();
  } else if (mHasNewEndpoint) {
    // A daemon that starts learns of the others one after the other, and must soon know them all.
    SendIntroductions(MakeHeartbeat());
  }
}

void Mesh::OnSilent(MeshPeer& aPeer, Instant aNow)
{
  SetLive(aPeer, false);
  mLog.Write(EventId::kPeerSilent,
             { { "peer", aPeer.ref.id }, { "silent-ms", Millis(aNow - aPeer.heartbeatAt) } });
  mListener->OnPeerLost(aPeer.ref.id);
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

bool Mesh::IsNews(const wire::Envelope& aHeartbeat)
{
  const auto known = mPeers.find(aHeartbeat.from().id());
  if (known == mPeers.end()) {
    // The sender's address and domain are needed first.
    return !aHeartbeat.beat().endpoint().empty();
  }
  const MeshPeer& peer = known->second;
  const Incarnation incarnation = aHeartbeat.from().incarnation();
  if (incarnation == peer.ref.incarnation) {
    return aHeartbeat.beat().sequence() > peer.sequence;
  }
  return incarnation > peer.ref.incarnation;
}

bool Mesh::CopyContent(const wire::RouterBeat& aHeartbeat, MeshPeer& aPeer)
{
  const Duration storeAge = milliseconds(aHeartbeat.store_age_ms());
  const bool eligibilityChanges =
    aPeer.leaving != aHeartbeat.leaving() ||
    StoreFollower::IsReliable(aPeer.storeAge) != StoreFollower::IsReliable(storeAge);
  aPeer.sequence = aHeartbeat.sequence();
  aPeer.mirrorRevisions.assign(aHeartbeat.at().begin(), aHeartbeat.at().end());
  aPeer.storeAge = storeAge;
  aPeer.leaving = aHeartbeat.leaving();
  aPeer.foreignInterval = milliseconds(aHeartbeat.foreign_interval_ms());
  aPeer.configurationBytes = aHeartbeat.configuration_kb() * kBytesPerKilobyte;
  aPeer.claims.clear();
  for (const wire::RangeClaim& it : aHeartbeat.claims()) {
    aPeer.claims[it.service()] = it.term();
  }
  return eligibilityChanges;
}

void Mesh::OnHeartbeat(const wire::Envelope& aMessage, Instant aNow)
{
  if (!IsNews(aMessage)) {
    return;
  }
  const wire::RouterBeat& heartbeat = aMessage.beat();
  const std::string& id = aMessage.from().id();
  const bool isKnown = mPeers.contains(id);
  MeshPeer& peer = mPeers[id];
  const bool isNewRun = peer.ref.incarnation != aMessage.from().incarnation();
  if (isKnown && isNewRun) {
    mListener->OnPeerLost(id);
  }
  peer.ref = { id, aMessage.from().incarnation() };
  const bool introduces = !heartbeat.endpoint().empty();
  const bool isNewHere = introduces && (isNewRun || peer.endpoint != heartbeat.endpoint());
  if (introduces) {
    peer.domain = heartbeat.domain();
    peer.endpoint = heartbeat.endpoint();
    peer.power = heartbeat.power();
    mKnownEndpoints.insert(peer.endpoint);
  }
  peer.heartbeatAt = aNow;
  if (CopyContent(heartbeat, peer) || isNewHere) {
    ++mChangeCount;
  }
  mUnansweredEndpoints.erase(peer.endpoint);
  for (const std::string& it : heartbeat.endpoints()) {
    AddEndpoint(it);
  }
  if (!peer.live) {
    SetLive(peer, true);
    mLog.Write(EventId::kPeerHeard, { { "peer", id }, { "incarnation", peer.ref.incarnation } });
  }
  if (isNewHere) {
    AnswerIntroduction(peer, heartbeat.known_peers());
  }
  mListener->OnHeartbeat(peer, heartbeat);
}

void Mesh::AnswerIntroduction(const MeshPeer& aPeer, std::size_t aKnownPeers)
{
  wire::Envelope answer = MakeHeartbeat();
  Introduce(answer);
  // The daemons that answer first name all others; the later answers need not.
  if (static_cast<double>(aKnownPeers) < kKnownPeersShare * static_cast<double>(mPeers.size())) {
    for (const auto& [id, it] : mPeers) {
      if (id != aPeer.ref.id) {
        answer.mutable_beat()->add_endpoints(it.endpoint);
      }
    }
  }
  mPort.Send(aPeer.endpoint, answer, Delivery::kSoon, nullptr);
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
  for (const MeshPeer* it : mLivePeers) {
    if (IsIn(aAudience, *it)) {
      mPort.Send(it->endpoint, message, Delivery::kNowOrNever, nullptr);
    }
  }
}

std::size_t Mesh::PeersIn(Audience aAudience) const
{
  return static_cast<std::size_t>(
    std::count_if(mLivePeers.begin(), mLivePeers.end(), [&](const auto* aPeer) {
      return IsIn(aAudience, *aPeer);
    }));
}

} // namespace hawthornlug
