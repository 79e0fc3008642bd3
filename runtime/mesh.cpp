#include "runtime/mesh.h"

#include "runtime/heartbeat_messages.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kHeartbeatInterval = milliseconds(400);
/// Shortest interval of heartbeats to other failure domains.
constexpr Duration kMinForeignInterval = milliseconds(800);
/// Limit of the heartbeats that a daemon without a role sends to other failure domains.
constexpr unsigned kForeignHeartbeatsPerSecond = 40;
/// The first heartbeats, and some later ones, contain the sender's domain and address.
constexpr std::uint64_t kFirstIntroductions = 5;
constexpr std::uint64_t kIntroductionEvery = 16;
/// Interval between heartbeats to an address at which no daemon has answered yet.
constexpr Duration kEndpointRetryInterval = seconds(1);
/// A new daemon is told of the others if it knows less than this share of them.
constexpr double kKnownPeersShare = 0.8;
/// Relays are ranked anew this soon after the daemons that can be relays have changed.
constexpr Duration kRankInterval = milliseconds(100);
/// ...and at this interval without a change.
constexpr Duration kRankRefreshInterval = seconds(1);
/// Interval at which a relay tells those that use it whom it hears...
constexpr Duration kMembersInterval = milliseconds(250);
/// ...and shortest interval between two changes that it passes on.
constexpr Duration kChangeInterval = milliseconds(60);
/// Shortest interval between two questions for heartbeats that relays have numbered.
constexpr Duration kQuestionInterval = milliseconds(150);

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
  , mPeers(mDomain)
  , mRelays({ mSelf.id, mDomain, mPower })
{
}

void Mesh::AddEndpoint(const std::string& aEndpoint)
{
  if (!mKnownEndpoints.contains(aEndpoint) && aEndpoint != mEndpoint) {
    const bool isNew = mUnansweredEndpoints.try_emplace(aEndpoint, Instant()).second;
    mHasNewEndpoint = mHasNewEndpoint || isNew;
  }
}

bool Mesh::IsLive(const std::string& aDaemon) const
{
  const MeshPeer* const peer = mPeers.Find(aDaemon);
  return peer != nullptr && peer->live;
}

std::map<std::string, unsigned> Mesh::DaemonsByDomain() const
{
  std::map<std::string, unsigned> daemons = { { mDomain, 1 } };
  for (const MeshPeer* it : mPeers.Live()) {
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
  aHeartbeat.mutable_beat()->set_can_relay(true);
  aHeartbeat.mutable_beat()->set_known_peers(static_cast<std::uint32_t>(mPeers.All().size()));
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
  WriteContent(self, *heartbeat);
  const Duration foreignInterval = ForeignInterval(self.hasRole);
  heartbeat->set_direct(!mRelays.IsFleetRelayed());
  if (foreignInterval > kMinForeignInterval && !mRelays.IsFleetRelayed()) {
    heartbeat->set_foreign_interval_ms(static_cast<std::uint32_t>(Millis(foreignInterval)));
  }
  return WithSender(std::move(message));
}

wire::Envelope Mesh::MakeIntroducedHeartbeat()
{
  wire::Envelope heartbeat = MakeHeartbeat();
  Introduce(heartbeat);
  MeshPeer self;
  self.ref = mSelf;
  CopyIntroduction(heartbeat.beat(), self);
  CopyContent(heartbeat.beat(), self);
  mOwnContentNumber = ContentNumberOf(self);
  return heartbeat;
}

void Mesh::AddAllHeard(Audience aAudience, wire::Envelope& aHeartbeat) const
{
  const Instant now = mTimers.Now();
  for (const MeshPeer* it : mPeers.Live()) {
    if (IsIn(aAudience, *it)) {
      AddHeard(*it, now, *aHeartbeat.mutable_beat());
    }
  }
}

void Mesh::AddChanged(Audience aAudience, Instant aNow, wire::Envelope& aHeartbeat) const
{
  for (const MeshPeer* it : mPeers.Live()) {
    // How long the store has been silent is not part of the content's number.
    const bool watchesStore = it->storeAge > Duration::zero();
    if (IsIn(aAudience, *it) && (watchesStore || mChanged.contains(it->ref.id))) {
      *aHeartbeat.mutable_beat()->add_relayed() = MakeRelayedBeat(*it, aNow);
    }
  }
}

void Mesh::SendHeartbeatNow(Audience aAudience)
{
  const bool toAll = aAudience == Audience::kAll;
  if (mRelays.IsFleetRelayed() && toAll) {
    SendHeartbeatToRelays();
    return;
  }
  SendHeartbeats([toAll](const MeshPeer&) { return toAll; });
  mForeignSentAt = toAll ? mHeartbeatSentAt : mForeignSentAt;
}

void Mesh::SendHeartbeatToRelays()
{
  const std::set<std::string> relays =
    mRelays.IsFleetRelayed() ? mRelays.ForeignRelays(mTimers.Now()) : mRelays.FirstRanked();
  SendHeartbeats([&](const MeshPeer& aPeer) { return relays.contains(aPeer.ref.id); });
}

void Mesh::SendHeartbeats(const ForeignFilter& aIsRecipient)
{
  const Instant now = mTimers.Now();
  const bool relayed = mRelays.IsFleetRelayed();
  const wire::Envelope heartbeat = relayed ? MakeIntroducedHeartbeat() : MakeHeartbeat();
  const Delivery delivery = relayed ? Delivery::kSoon : Delivery::kNowOrNever;
  for (const auto& [id, peer] : mPeers.All()) {
    const bool due = peer.domain == mDomain || aIsRecipient(peer);
    if (due && mPeers.IsKnown(peer, now)) {
      mPort.Send(peer.endpoint, heartbeat, delivery, nullptr);
    }
  }
  if (!relayed) {
    mHeartbeatSentAt = now;
  }
}

void Mesh::SendSoon(const std::set<std::string>& aDaemons, const wire::Envelope& aMessage)
{
  const Instant now = mTimers.Now();
  for (const std::string& it : aDaemons) {
    const MeshPeer* const peer = mPeers.Find(it);
    if (peer != nullptr && mPeers.IsKnown(*peer, now)) {
      mPort.Send(peer->endpoint, aMessage, Delivery::kSoon, nullptr);
    }
  }
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

bool Mesh::IsForeignHeartbeatDue(bool aHasRole, Instant aNow) const
{
  // Half a heartbeat early is better than half a heartbeat late.
  return aNow - mForeignSentAt >= ForeignInterval(aHasRole) - kHeartbeatInterval / 2;
}

bool Mesh::IsHeartbeatDue(Instant aNow) const
{
  if (aNow - mHeartbeatSentAt >= kHeartbeatInterval) {
    return true;
  }
  // Changes may be told to the own domain so often that none is due there.
  return aNow - mForeignSentAt >= kMinForeignInterval &&
         IsForeignHeartbeatDue(mListener->DescribeSelf().hasRole, aNow);
}

void Mesh::SendDueHeartbeat()
{
  const bool foreignDue = IsForeignHeartbeatDue(mListener->DescribeSelf().hasRole, mTimers.Now());
  const bool introducing = mSequence < kFirstIntroductions;
  SendHeartbeatNow(foreignDue || introducing ? Audience::kAll : Audience::kOwnDomain);
}

void Mesh::SendIntroductions()
{
  mHasNewEndpoint = false;
  mIntroducedAt = mTimers.Now();
  if (mUnansweredEndpoints.empty()) {
    return;
  }
  const wire::Envelope heartbeat = MakeIntroducedHeartbeat();
  for (auto& [endpoint, triedAt] : mUnansweredEndpoints) {
    if (mIntroducedAt - triedAt >= kEndpointRetryInterval) {
      triedAt = mIntroducedAt;
      // The first heartbeat has to wait until the connection is established.
      mPort.Send(endpoint, heartbeat, Delivery::kSoon, nullptr);
    }
  }
}

void Mesh::UpdateRelays(Instant aNow)
{
  const bool current = mRelaysRankedFor == mPeers.ChangeCount();
  if (aNow - mRelaysRankedAt < (current ? kRankRefreshInterval : kRankInterval)) {
    return;
  }
  mRelaysRankedFor = mPeers.ChangeCount();
  mRelaysRankedAt = aNow;
  std::vector<RoleCandidate> candidates;
  for (const MeshPeer* it : mPeers.Live()) {
    if (!it->leaving && it->canRelay) {
      candidates.push_back({ it->ref.id, it->domain, it->power });
    }
  }
  mRelays.SetCandidates(std::move(candidates), mPeers.Known(aNow).size());
}

void Mesh::TickRelayed(Instant aNow)
{
  const std::vector<std::string> relays = mRelays.OwnRelays(aNow);
  if (relays != mUsedRelays || aNow - mHeartbeatSentAt >= kHeartbeatInterval) {
    mUsedRelays = relays;
    SendToOwnRelays(relays, aNow);
  }
  const bool hasNews = !mChanged.empty() && aNow - mToldMembersAt >= kChangeInterval;
  if (mRelays.IsRelay(aNow)) {
    if (hasNews || aNow - mToldMembersAt >= kMembersInterval) {
      TellMembers(aNow);
    }
    if (hasNews || aNow - mToldDomainsAt >= kHeartbeatInterval) {
      TellOtherDomains(aNow);
    }
  }
  if (hasNews) {
    mChanged.clear();
  }
}

std::set<std::string> Mesh::PeersWithoutRelay(bool aHasRelays, bool aForeignDue, Instant aNow) const
{
  std::set<std::string> peers;
  for (const auto& [id, peer] : mPeers.All()) {
    const bool isNeighbour = peer.domain == mDomain;
    // One that is silent may be able to hear this daemon sooner than any relay.
    const bool unreached = isNeighbour && (!peer.live || !aHasRelays);
    const bool needsDirect = peer.UsesNoRelay(aNow) && (isNeighbour || aForeignDue);
    if (unreached || needsDirect) {
      peers.insert(id);
    }
  }
  return peers;
}

void Mesh::SendToOwnRelays(const std::vector<std::string>& aRelays, Instant aNow)
{
  mHeartbeatSentAt = aNow;
  wire::Envelope heartbeat = MakeIntroducedHeartbeat();
  const bool foreignDue = IsForeignHeartbeatDue(false, aNow);
  mForeignSentAt = foreignDue ? aNow : mForeignSentAt;
  std::set<std::string> toldDirectly = PeersWithoutRelay(!aRelays.empty(), foreignDue, aNow);
  for (const std::string& it : aRelays) {
    // It takes only the first of two messages with one heartbeat: the one that uses it as a relay.
    toldDirectly.erase(it);
  }
  SendSoon(toldDirectly, heartbeat);
  RelayUse use = RelayUse::kFirstChoice;
  for (const std::string& it : aRelays) {
    heartbeat.mutable_beat()->set_relay_use(static_cast<std::uint32_t>(use));
    if (it != mSelf.id) {
      SendSoon({ it }, heartbeat);
    }
    use = RelayUse::kReserve;
  }
}

void Mesh::TellMembers(Instant aNow)
{
  mToldMembersAt = aNow;
  const std::map<std::string, HeartbeatRelays::Member> members = mRelays.Members(aNow);
  if (members.empty()) {
    return;
  }
  wire::Envelope toReserve = MakeIntroducedHeartbeat();
  AddChanged(Audience::kAll, aNow, toReserve);
  wire::Envelope toFirstChoice = toReserve;
  AddAllHeard(Audience::kOwnDomain, toReserve);
  AddAllHeard(Audience::kAll, toFirstChoice);
  for (const auto& [id, member] : members) {
    SendSoon({ id }, member.isFirstChoice ? toFirstChoice : toReserve);
  }
}

void Mesh::TellOtherDomains(Instant aNow)
{
  mToldDomainsAt = aNow;
  wire::Envelope heartbeat = MakeIntroducedHeartbeat();
  AddChanged(Audience::kOwnDomain, aNow, heartbeat);
  AddAllHeard(Audience::kOwnDomain, heartbeat);
  SendSoon(mRelays.ForeignRelays(aNow), heartbeat);
}

void Mesh::Tick(Instant aNow)
{
  for (const MeshPeer* it : mPeers.TakeSilent(aNow)) {
    OnSilent(*it, aNow);
  }
  UpdateRelays(aNow);
  if (mRelays.IsFleetRelayed()) {
    TickRelayed(aNow);
  } else if (IsHeartbeatDue(aNow)) {
    SendDueHeartbeat();
  }
  // A daemon that starts learns of the others one after the other, and must soon know them all.
  if (mHasNewEndpoint || aNow - mIntroducedAt >= kHeartbeatInterval) {
    SendIntroductions();
  }
}

void Mesh::OnSilent(const MeshPeer& aPeer, Instant aNow)
{
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
  const MeshPeer* const peer = mPeers.Find(aMessage.from().id());
  // Messages of a daemon whose first heartbeat has not arrived are ignored, and so are late ones of
  // an earlier incarnation.
  if (peer == nullptr || peer->ref.incarnation != aMessage.from().incarnation()) {
    return;
  }
  if (aMessage.has_relayed_beats_question()) {
    OnRelayedBeatsQuestion(peer->ref.id, aMessage.relayed_beats_question());
    return;
  }
  mListener->OnMessage(*peer, aMessage);
}

Mesh::Update Mesh::UpdatePeer(const DaemonRef& aDaemon, const wire::RouterBeat& aHeartbeat)
{
  const bool isKnown = mPeers.Find(aDaemon.id) != nullptr;
  MeshPeer& peer = mPeers.At(aDaemon.id);
  const bool isNewRun = peer.ref.incarnation != aDaemon.incarnation;
  if (isKnown && isNewRun) {
    mListener->OnPeerLost(aDaemon.id);
  }
  peer.ref = aDaemon;
  const bool introduces = !aHeartbeat.endpoint().empty();
  const bool isNewHere = introduces && (isNewRun || peer.endpoint != aHeartbeat.endpoint());
  if (introduces) {
    CopyIntroduction(aHeartbeat, peer);
    mKnownEndpoints.insert(peer.endpoint);
  }
  mUnansweredEndpoints.erase(peer.endpoint);
  if (CopyContent(aHeartbeat, peer) || isNewHere) {
    mPeers.CountChange();
  }
  if (mPeers.OnContentChanged(peer)) {
    mChanged.insert(aDaemon.id);
  }
  return { peer, isNewHere };
}

bool Mesh::Hear(MeshPeer& aPeer, Instant aAt, Instant aNow)
{
  const bool isBack = mPeers.OnHeard(aPeer, aAt, aNow);
  if (isBack) {
    mLog.Write(EventId::kPeerHeard,
               { { "peer", aPeer.ref.id }, { "incarnation", aPeer.ref.incarnation } });
  }
  return isBack;
}

void Mesh::OnHeartbeat(const wire::Envelope& aMessage, Instant aNow)
{
  const wire::RouterBeat& heartbeat = aMessage.beat();
  const DaemonRef sender{ aMessage.from().id(), aMessage.from().incarnation() };
  // The sender's address and domain are needed first.
  const bool isStranger = mPeers.Find(sender.id) == nullptr && heartbeat.endpoint().empty();
  if (isStranger || !mPeers.IsNews(sender, heartbeat.sequence())) {
    return;
  }
  const Update update = UpdatePeer(sender, heartbeat);
  MeshPeer& peer = update.peer;
  CopyDirectContent(heartbeat, aNow, peer);
  const bool isBack = Hear(peer, aNow, aNow);
  for (const std::string& it : heartbeat.endpoints()) {
    AddEndpoint(it);
  }
  const RelayUse use = RelayUseOf(heartbeat);
  if (use != RelayUse::kNone && peer.domain == mDomain) {
    mRelays.OnMember(sender.id, use == RelayUse::kFirstChoice, aNow);
  }
  if (update.isNewHere || isBack) {
    AnswerIntroduction(peer, heartbeat.known_peers());
  }
  OnRelayed(peer, heartbeat, aNow);
  mListener->OnHeartbeat(peer, heartbeat);
}

void Mesh::OnRelayed(const MeshPeer& aRelay, const wire::RouterBeat& aHeartbeat, Instant aNow)
{
  if (aHeartbeat.heard().empty() && aHeartbeat.relayed().empty()) {
    return;
  }
  mRelays.OnRelay(aRelay.ref.id, aRelay.domain, aNow);
  for (const wire::RelayedBeat& it : aHeartbeat.relayed()) {
    OnRelayedBeat(it, aNow);
  }
  wire::Envelope question;
  *question.mutable_relayed_beats_question() = HearAll(aHeartbeat, aNow);
  if (!question.relayed_beats_question().numbers().empty() &&
      aNow - mAskedAt >= kQuestionInterval) {
    mAskedAt = aNow;
    Send(aRelay.ref.id, std::move(question));
  }
}

wire::RelayedBeatsQuestion Mesh::HearAll(const wire::RouterBeat& aHeartbeat, Instant aNow)
{
  wire::RelayedBeatsQuestion unknown;
  for (int n = 0; n < std::min(aHeartbeat.heard_size(), aHeartbeat.heard_ages_size()); ++n) {
    const std::uint32_t number = aHeartbeat.heard(n);
    if (number == mOwnContentNumber) {
      continue;
    }
    if (MeshPeer* const peer = mPeers.FindByContent(number)) {
      peer->foreignInterval = Duration::zero();
      Hear(*peer, aNow - AgeFromUnits(aHeartbeat.heard_ages(n)), aNow);
    } else {
      unknown.add_numbers(number);
    }
  }
  return unknown;
}

void Mesh::OnRelayedBeat(const wire::RelayedBeat& aRelayed, Instant aNow)
{
  const DaemonRef daemon{ aRelayed.from().id(), aRelayed.from().incarnation() };
  const wire::RouterBeat& heartbeat = aRelayed.beat();
  if (daemon.id.empty() || heartbeat.endpoint().empty()) {
    mLog.Write(EventId::kMessageMalformed, { { "message", "relayed-heartbeat" } });
    return;
  }
  if (daemon.id == mSelf.id || !mPeers.IsNews(daemon, heartbeat.sequence())) {
    return;
  }
  MeshPeer& peer = UpdatePeer(daemon, heartbeat).peer;
  Hear(peer, aNow - AgeFromUnits(aRelayed.age()), aNow);
  mListener->OnHeartbeat(peer, heartbeat);
}

void Mesh::OnRelayedBeatsQuestion(const std::string& aDaemon,
                                  const wire::RelayedBeatsQuestion& aQuestion)
{
  const Instant now = mTimers.Now();
  std::set<const MeshPeer*> asked;
  for (const std::uint32_t it : aQuestion.numbers()) {
    if (const MeshPeer* const peer = mPeers.FindByContent(it)) {
      asked.insert(peer);
    }
  }
  wire::Envelope answer = MakeIntroducedHeartbeat();
  for (const MeshPeer* it : asked) {
    *answer.mutable_beat()->add_relayed() = MakeRelayedBeat(*it, now);
  }
  SendSoon({ aDaemon }, answer);
}

void Mesh::AnswerIntroduction(const MeshPeer& aPeer, std::size_t aKnownPeers)
{
  wire::Envelope answer = MakeIntroducedHeartbeat();
  // The daemons that answer first name all others; the later answers need not.
  const auto enough = kKnownPeersShare * static_cast<double>(mPeers.All().size());
  if (static_cast<double>(aKnownPeers) < enough) {
    if (mRelays.IsFleetRelayed() && aPeer.canRelay) {
      AddAllHeard(Audience::kAll, answer);
    } else {
      for (const auto& [id, it] : mPeers.All()) {
        if (id != aPeer.ref.id) {
          answer.mutable_beat()->add_endpoints(it.endpoint);
        }
      }
    }
  }
  mPort.Send(aPeer.endpoint, answer, Delivery::kSoon, nullptr);
}

void Mesh::Send(const std::string& aDaemon, wire::Envelope aMessage, Delivery aDelivery)
{
  const MeshPeer* const peer = mPeers.Find(aDaemon);
  if (peer != nullptr) {
    mPort.Send(peer->endpoint, WithSender(std::move(aMessage)), aDelivery, nullptr);
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
  const Delivery delivery = mRelays.IsFleetRelayed() ? Delivery::kSoon : Delivery::kNowOrNever;
  for (const MeshPeer* it : mPeers.Live()) {
    if (IsIn(aAudience, *it)) {
      mPort.Send(it->endpoint, message, delivery, nullptr);
    }
  }
}

void Mesh::SendToFleet(const wire::Envelope& aMessage)
{
  if (!mRelays.IsFleetRelayed()) {
    Broadcast(aMessage, Audience::kAll);
    return;
  }
  const Instant now = mTimers.Now();
  std::set<std::string> receivers = mRelays.ForeignRelays(now);
  for (const MeshPeer* it : mPeers.Live()) {
    if (it->domain == mDomain || it->UsesNoRelay(now)) {
      receivers.insert(it->ref.id);
    }
  }
  SendSoon(receivers, WithSender(aMessage));
}

void Mesh::PassOn(const MeshPeer& aSender, const wire::Envelope& aMessage)
{
  if (aSender.domain == mDomain || !mRelays.IsFleetRelayed()) {
    return;
  }
  std::set<std::string> receivers;
  for (const auto& [id, member] : mRelays.Members(mTimers.Now())) {
    if (member.isFirstChoice) {
      receivers.insert(id);
    }
  }
  SendSoon(receivers, WithSender(aMessage));
}

void Mesh::SendThrifty(const wire::Envelope& aMessage)
{
  if (mRelays.IsFleetRelayed()) {
    SendToFleet(aMessage);
    return;
  }
  std::set<std::string> toldDomains = { mDomain };
  std::set<std::string> receivers;
  for (const MeshPeer* it : mPeers.Live()) {
    const bool isFirst =
      mRelays.FirstRanked().contains(it->ref.id) && toldDomains.insert(it->domain).second;
    if (it->domain == mDomain || isFirst) {
      receivers.insert(it->ref.id);
    }
  }
  SendSoon(receivers, WithSender(aMessage));
}

void Mesh::PassOnThrifty(const MeshPeer& aSender, const wire::Envelope& aMessage)
{
  if (mRelays.IsFleetRelayed()) {
    PassOn(aSender, aMessage);
  } else if (aSender.domain != mDomain) {
    Broadcast(aMessage, Audience::kOwnDomain);
  }
}

std::size_t Mesh::PeersIn(Audience aAudience) const
{
  const std::vector<const MeshPeer*>& live = mPeers.Live();
  return static_cast<std::size_t>(std::count_if(
    live.begin(), live.end(), [&](const auto* aPeer) { return IsIn(aAudience, *aPeer); }));
}

} // namespace hawthornlug
