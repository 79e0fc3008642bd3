#include "runtime/daemon.h"

#include "core/hashing.h"
#include "core/json_text.h"
#include "runtime/wire_codec.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr Duration kCellTick = milliseconds(40);
constexpr Duration kMemberTick = milliseconds(50);
constexpr Duration kAttachmentTick = milliseconds(100);
constexpr Duration kEvidenceTick = milliseconds(200);
constexpr Duration kPlanTick = seconds(1);
constexpr Duration kHostsTick = seconds(5);
/// A daemon that has just started waits for news of the others before it takes cells from them.
constexpr Duration kStartGrace = milliseconds(1500);
/// A daemon must have been the preferred one for so long before it is given a cell.
constexpr Duration kPreferredFor = seconds(5);
constexpr Duration kWatchWait = seconds(10);
constexpr Duration kWatchPause = milliseconds(100);
/// How often a daemon that doesn't watch asks the platform itself, in case nobody tells it.
constexpr Duration kOwnLookInterval = seconds(10);
constexpr Duration kLeavePoll = milliseconds(10);

} // namespace

Daemon::Daemon(DaemonSettings aSettings, Services& aServices)
  : mSettings(std::move(aSettings))
  , mServices(aServices)
  , mAttached(aServices, *this, mRoutes)
  , mEntry(aServices, *this, mRoutes, mAttached, mCalls, mSettings.traceSample)
  , mMembership(mSettings.self, MembershipTimings{})
  , mEvidence(mSettings.hostListLag)
{
}

Daemon::~Daemon()
{
  Stop();
}

void Daemon::Start()
{
  mStartedAt = mServices.timers.Now();
  {
    const std::lock_guard lock(mMutex);
    for (const Member& it : mSettings.seeds) {
      mMembership.Learn(mStartedAt, it);
    }
  }
  mServices.cache.SetListener([this](const PlatformObject& aObject) { OnObject(aObject); });
  mServices.peers.SetReceiver(
    [this](wire::Envelope aEnvelope) { OnMessage(std::move(aEnvelope)); });
  TimerService& timers = mServices.timers;
  WorkerPool& workers = mServices.controlWorkers;
  mTimers.push_back(
    mServices.heartbeatTimers.Every(kMemberTick, [this](Instant aNow) { TickMembers(aNow); }));
  mTimers.push_back(timers.Every(kCellTick, [this](Instant aNow) { TickCells(aNow); }));
  mTimers.push_back(timers.Every(kAttachmentTick, [this](Instant aNow) { TickAttachments(aNow); }));
  mTimers.push_back(
    timers.Every(Entry::kTickInterval, [this](Instant aNow) { mEntry.Tick(aNow); }));
  mTimers.push_back(timers.Every(kPlanTick, [this](Instant aNow) { TickPlans(aNow); }));
  mTimers.push_back(timers.Every(kEvidenceTick, [this, &workers](Instant) {
    if (!mSeekingEvidence.exchange(true)) {
      workers.Post([this] { SeekEvidence(); });
    }
  }));
  workers.Post([this] { RefreshHosts(); });
  mTimers.push_back(timers.Every(
    kHostsTick, [this, &workers](Instant) { workers.Post([this] { RefreshHosts(); }); }));
  mWatcher = std::thread([this] { WatchLoop(); });
  mServices.log.Write(EventId::kStarted,
                      "id=" + mSettings.self.id +
                        " incarnation=" + std::to_string(mSettings.self.incarnation) +
                        " domain=" + mSettings.self.domain);
}

void Daemon::Leave(Duration aPatience)
{
  mServices.log.Write(EventId::kStopping, "id=" + mSettings.self.id);
  mLeaving = true;
  {
    const std::lock_guard lock(mMutex);
    mMembership.Leave(mServices.timers.Now());
  }
  const Instant end = mServices.timers.Now() + aPatience;
  const auto attached = [this] {
    const auto cells = mCells.Load();
    return std::any_of(cells->begin(), cells->end(), [](const auto& aCell) {
      return aCell.second->Role() != CellRole::kIdle;
    });
  };
  while (attached() && mServices.timers.Now() < end) {
    std::this_thread::sleep_for(kLeavePoll);
  }
}

void Daemon::Stop()
{
  if (mStopping.exchange(true)) {
    return;
  }
  mTimers.clear();
  {
    const std::lock_guard lock(mWakeMutex);
    mWake.notify_all();
  }
  if (mWatcher.joinable()) {
    mWatcher.join();
  }
  mServices.peers.SetReceiver(nullptr);
  mServices.cache.SetListener(nullptr);
  mServices.log.Write(EventId::kStopped, "id=" + mSettings.self.id);
}

// --- Messages -------------------------------------------------------------------------------

wire::Envelope Daemon::MakeEnvelope() const
{
  wire::Envelope envelope;
  envelope.mutable_from()->set_id(mSettings.self.id);
  envelope.mutable_from()->set_incarnation(mSettings.self.incarnation);
  return envelope;
}

void Daemon::SendTo(const std::string& aDaemon, wire::Envelope aEnvelope)
{
  const auto endpoint = EndpointOf(aDaemon);
  if (endpoint) {
    mServices.peers.Send(*endpoint, std::move(aEnvelope), Delivery::kSoon, nullptr);
  }
}

void Daemon::SendAnswer(const wire::Ref& aTo, std::uint64_t aCall, const OrderAnswer& aAnswer)
{
  wire::Envelope reply = MakeEnvelope();
  reply.set_to_incarnation(aTo.incarnation());
  EncodeAnswer(aAnswer, *reply.mutable_answer());
  reply.mutable_answer()->set_call(aCall);
  SendTo(aTo.id(), std::move(reply));
}

void Daemon::OnMessage(wire::Envelope aEnvelope)
{
  const bool otherRun =
    aEnvelope.to_incarnation() != 0 && aEnvelope.to_incarnation() != mSettings.self.incarnation;
  if (otherRun) {
    mServices.log.Write(EventId::kMessageRefused, "from=" + aEnvelope.from().id());
    return;
  }
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kOrder:
      OnOrder(std::move(aEnvelope));
      break;
    case wire::Envelope::kAnswer:
      mCalls.OnAnswer(aEnvelope.answer().call(), DecodeAnswer(aEnvelope.answer()));
      break;
    case wire::Envelope::kOrderAbandoned:
      mRemoteOrders.Abandon(DecodeRef(aEnvelope.from()), aEnvelope.order_abandoned().call());
      break;
    case wire::Envelope::kQuestion: {
      const wire::OutcomeQuestion& question = aEnvelope.question();
      SendAnswer(aEnvelope.from(), question.call(), mAttached.Ask(question.request_id()));
      break;
    }
    case wire::Envelope::kHeartbeat:
      OnHeartbeat(aEnvelope);
      break;
    case wire::Envelope::kObjectsQuestion: {
      wire::Envelope reply = MakeEnvelope();
      EncodeObjects(mServices.cache.Since(aEnvelope.objects_question().since()),
                    *reply.mutable_objects());
      reply.mutable_objects()->set_since(aEnvelope.objects_question().since());
      SendTo(aEnvelope.from().id(), std::move(reply));
      break;
    }
    case wire::Envelope::kObjects:
      mServices.controlWorkers.Post([this, envelope = std::move(aEnvelope)] {
        mServices.cache.Merge(DecodeObjects(envelope.objects()), envelope.objects().since());
      });
      break;
    // Messages of daemons that route on the users' platform; they are none of this daemon's.
    case wire::Envelope::kBeat:
    case wire::Envelope::kLoad:
    case wire::Envelope::kKeyWork:
    case wire::Envelope::kStoredObjects:
    case wire::Envelope::kStoredObjectsQuestion:
    case wire::Envelope::kRangeTable:
    case wire::Envelope::kRangeTableQuestion:
    case wire::Envelope::BODY_NOT_SET:
      break;
  }
}

void Daemon::OnOrder(wire::Envelope aEnvelope)
{
  const std::uint64_t call = aEnvelope.order().call();
  const auto answer = [this, call, from = aEnvelope.from()](const OrderAnswer& aAnswer) {
    mRemoteOrders.End(DecodeRef(from), call);
    SendAnswer(from, call, aAnswer);
  };
  // Accepted in the order of arrival: a question that comes after an order finds it.
  const auto seen =
    mAttached.Accept(aEnvelope.order().request_id(), aEnvelope.order().repeatable());
  if (seen) {
    answer(*seen);
    return;
  }
  // Time spent waiting for a worker counts against the order's deadline.
  const Instant received = mServices.timers.Now();
  mRemoteOrders.Begin(DecodeRef(aEnvelope.from()), call);
  mServices.orderWorkers.Post([this, answer, received, call, envelope = std::move(aEnvelope)] {
    auto order = mAttached.Run(DecodeOrder(envelope.order(), received), answer);
    mRemoteOrders.Set(DecodeRef(envelope.from()), call, std::move(order));
  });
}

void Daemon::OnHeartbeat(const wire::Envelope& aEnvelope)
{
  Member from;
  HeartbeatInfo info;
  if (!DecodeHeartbeat(aEnvelope.heartbeat(), from, info)) {
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    mMembership.OnHeartbeat(mServices.timers.Now(), from, info);
  }
  const Version own = mServices.cache.Revision();
  if (info.objectsRevision > own) {
    wire::Envelope question = MakeEnvelope();
    question.mutable_objects_question()->set_since(own);
    SendTo(from.id, std::move(question));
  }
}

// --- Objects --------------------------------------------------------------------------------

void Daemon::OnObject(const PlatformObject& aObject)
{
  if (aObject.name == kConfigObject) {
    OnConfigObject(aObject);
  } else if (aObject.name.rfind("cells/", 0) == 0) {
    OnCellObject(aObject);
  }
}

void Daemon::OnConfigObject(const PlatformObject& aObject)
{
  std::optional<StoredConfig> stored = leaf::try_handle_all(
    [&]() -> Result<std::optional<StoredConfig>> {
      BOOST_LEAF_AUTO(read, DecodeStoredConfig(aObject.value));
      return std::optional<StoredConfig>(std::move(read));
    },
    [] { return std::optional<StoredConfig>(); });
  if (!stored) {
    mServices.log.Write(EventId::kConfigRefused, "version=" + std::to_string(aObject.version));
    return;
  }
  {
    const std::lock_guard lock(mConfigMutex);
    if (aObject.version <= mConfigVersion) {
      return;
    }
    mConfig.Store(stored->config);
    ConfigureCells(stored->config);
    mConfigVersion = aObject.version;
  }
  mServices.log.Write(EventId::kConfigInForce,
                      "version=" + std::to_string(aObject.version) + " hash=" + stored->hash);
}

void Daemon::ConfigureCells(const Configuration& aConfig)
{
  const auto current = mCells.Load();
  CellMap cells = *current;
  std::vector<CellConfig> own = CellsOf(aConfig);
  std::erase_if(own, [&](const CellConfig& aCell) {
    const bool mayBeMine = aCell.domain == mSettings.self.domain || IsLost(aConfig, aCell.domain);
    // What was taken from a lost failure domain is handed back when that is in again.
    return !mayBeMine && cells.count(aCell.name) == 0;
  });
  for (const CellConfig& it : own) {
    std::shared_ptr<CellRunner>& runner = cells[it.name];
    if (!runner) {
      runner = std::make_shared<CellRunner>(it.name, Self(), mServices);
      const KnownCell known = KnownCellOf(it.name);
      if (known.object) {
        runner->OnCachedObject(known.version, *known.object);
      }
    }
    const DomainConfig* domain = aConfig.FindDomain(it.domain);
    const bool out = domain == nullptr || domain->state != DomainState::kIn;
    runner->SetChurnLimit(aConfig.placement.churnPercentPerMinute);
    runner->Configure(it, *aConfig.FindService(it.service), out);
  }
  mCells.Store(std::move(cells));
  mCellConfigs.Store(std::move(own));
}

Daemon::KnownCell Daemon::KnownCellOf(const std::string& aCell) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mKnownCells.find(aCell);
  return it == mKnownCells.end() ? KnownCell{} : it->second;
}

void Daemon::OnCellObject(const PlatformObject& aObject)
{
  std::shared_ptr<const CellObject> object = leaf::try_handle_all(
    [&]() -> Result<std::shared_ptr<const CellObject>> {
      BOOST_LEAF_AUTO(cell, DecodeCell(aObject.value));
      return std::make_shared<const CellObject>(std::move(cell));
    },
    [] { return std::shared_ptr<const CellObject>(); });
  const auto address = ParseCellName(aObject.name);
  if (!object || !address) {
    mServices.log.Write(EventId::kConfigRefused, "object=" + aObject.name);
    return;
  }
  mRoutes.Learn(aObject.name, aObject.version, *object);
  {
    const std::lock_guard lock(mMutex);
    KnownCell& known = mKnownCells[aObject.name];
    if (aObject.version > known.version) {
      known = { aObject.version, object };
    }
  }
  const auto cells = mCells.Load();
  for (const auto& [name, runner] : *cells) {
    if (name == aObject.name) {
      runner->OnCachedObject(aObject.version, *object);
    } else if (name.rfind("cells/" + address->service + "/", 0) == 0) {
      runner->OnOtherCachedObject(aObject.name, *object);
    }
  }
}

void Daemon::WatchLoop()
{
  Instant lastLook;
  while (!mStopping) {
    const Instant now = mServices.timers.Now();
    const bool first = lastLook == Instant();
    const bool watcher = IsWatcher();
    if (first || watcher || now - lastLook >= kOwnLookInterval) {
      lastLook = now;
      const Version since = mServices.cache.Revision();
      const Duration wait = watcher && !first ? kWatchWait : Duration::zero();
      const bool up = leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(changes, mServices.platform.Watch(since, wait));
          mServices.cache.Merge(changes, since);
          return true;
        },
        [] { return false; });
      mServices.metrics.Count("platform_reads_total");
      SetPlatformUp(up);
      if (up && watcher) {
        continue;
      }
    }
    std::unique_lock lock(mWakeMutex);
    mWake.wait_for(lock, kWatchPause, [this] { return mStopping.load(); });
  }
}

void Daemon::SetPlatformUp(bool aUp)
{
  if (mPlatformUp.exchange(aUp) != aUp) {
    mServices.log.Write(aUp ? EventId::kPlatformBack : EventId::kPlatformLost, "");
  }
}

bool Daemon::IsWatcher() const
{
  const std::lock_guard lock(mMutex);
  const auto first = mMembership.FirstRanked(mSettings.self.domain, "watch");
  return first && first->id == mSettings.self.id;
}

// --- Timers ---------------------------------------------------------------------------------

void Daemon::TickCells(Instant aNow)
{
  const auto cells = mCells.Load();
  for (const auto& [name, runner] : *cells) {
    runner->Tick(aNow);
  }
}

void Daemon::TickMembers(Instant aNow)
{
  std::vector<HeartbeatOut> due;
  std::vector<MemberChange> changes;
  Member self;
  {
    const std::lock_guard lock(mMutex);
    mMembership.SetRevisions(mServices.cache.Revision(), mConfigVersion);
    due = mMembership.OnTick(aNow);
    self = mMembership.Self();
    changes = mMembership.TakeChanges();
  }
  for (const HeartbeatOut& it : due) {
    wire::Envelope envelope = MakeEnvelope();
    EncodeHeartbeat(self, it.heartbeat, *envelope.mutable_heartbeat());
    mServices.peers.Send(it.to.peerEndpoint, std::move(envelope), Delivery::kNowOrNever, nullptr);
  }
  for (const MemberChange& it : changes) {
    const bool alive = it.member.status == MemberStatus::kAlive;
    const bool suspect = it.member.status == MemberStatus::kSuspect;
    const EventId event = alive     ? EventId::kMemberAlive
                          : suspect ? EventId::kMemberSuspect
                                    : EventId::kMemberGone;
    mServices.log.Write(event,
                        "id=" + it.member.id +
                          " incarnation=" + std::to_string(it.member.incarnation) +
                          " status=" + std::string(NameOf(kMemberStatusNames, it.member.status)));
  }
}

std::vector<Member> Daemon::MayAttach(const Configuration& aConfig,
                                      const std::string& aDomain) const
{
  if (!IsLost(aConfig, aDomain)) {
    return mMembership.LiveIn(aDomain);
  }
  // The cells of a lost failure domain are looked after by all others.
  std::vector<Member> members;
  for (const DomainConfig& it : aConfig.domains) {
    if (it.state == DomainState::kLost) {
      continue;
    }
    const std::vector<Member> live = mMembership.LiveIn(it.name);
    members.insert(members.end(), live.begin(), live.end());
  }
  return members;
}

std::optional<Member> Daemon::Candidate(const std::string& aCell, const std::string& aDomain) const
{
  const auto config = mConfig.Load();
  std::optional<Member> best;
  std::uint64_t bestWeight = 0;
  for (const Member& it : MayAttach(*config, aDomain)) {
    const bool leaving = it.id == mSettings.self.id && mLeaving;
    if (leaving || config->IsDraining(it.id)) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(aCell, it.id);
    if (!best || weight > bestWeight) {
      best = it;
      bestWeight = weight;
    }
  }
  return best;
}

void Daemon::TickAttachments(Instant aNow)
{
  const auto configs = mCellConfigs.Load();
  const auto cells = mCells.Load();
  for (const CellConfig& it : *configs) {
    const auto runner = cells->find(it.name);
    if (runner != cells->end()) {
      ConsiderCell(aNow, it, *runner->second);
    }
  }
}

void Daemon::ConsiderCell(Instant aNow, const CellConfig& aCell, CellRunner& aRunner)
{
  const CellRole role = aRunner.Role();
  std::optional<Member> candidate;
  std::optional<DaemonRef> attached;
  bool attachedLive = false;
  bool settled = false;
  {
    const std::lock_guard lock(mMutex);
    candidate = Candidate(aCell.name, aCell.domain);
    const auto known = mKnownCells.find(aCell.name);
    if (known != mKnownCells.end()) {
      attached = known->second.object->attached;
      attachedLive = mMembership.IsLive(*attached) && !IsOfLostDomain(attached->id);
    }
    const auto member = attached ? mMembership.Find(attached->id) : std::nullopt;
    const bool knownLost =
      member && (member->incarnation > attached->incarnation || !member->IsLive());
    settled = knownLost || aNow - mStartedAt >= kStartGrace;
    if (!candidate || candidate->id == mSettings.self.id) {
      mPreferredSince.erase(aCell.name);
    } else {
      mPreferredSince.try_emplace(aCell.name, aNow);
    }
  }
  if (!candidate) {
    return;
  }
  const bool mine = candidate->id == mSettings.self.id;
  if (role == CellRole::kIdle && mine) {
    if (!attached) {
      PrepareLayout(aCell.service);
    } else if (*attached == Self() || (!attachedLive && settled)) {
      aRunner.TakeOver();
    }
    return;
  }
  if (role != CellRole::kAttached || mine) {
    return;
  }
  const bool mustLeave = mLeaving || mConfig.Load()->IsDraining(mSettings.self.id);
  bool preferred = false;
  {
    const std::lock_guard lock(mMutex);
    preferred = aNow - mPreferredSince[aCell.name] >= kPreferredFor;
  }
  if (mustLeave || (preferred && aRunner.View().unserved == 0)) {
    aRunner.HandOver(candidate->Ref());
  }
}

void Daemon::PrepareLayout(const std::string& aService)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mPreparing.insert(aService).second) {
      return;
    }
  }
  mServices.controlWorkers.Post([this, aService] {
    const auto config = mConfig.Load();
    const ServiceConfig* service = config->FindService(aService);
    const std::string name = LayoutName(aService);
    const ServiceLayout layout = leaf::try_handle_all(
      [&]() -> Result<ServiceLayout> {
        const std::string made = EncodeLayout(MakeLayout(*service));
        // Whoever is first decides; a conflict means that the layout is there to be read.
        leaf::try_handle_all(
          [&]() -> Result<void> {
            BOOST_LEAF_CHECK(mServices.platform.Put(name, 0, made));
            return {};
          },
          [] {});
        BOOST_LEAF_AUTO(object, mServices.platform.Get(name));
        return DecodeLayout(object.value);
      },
      [] { return ServiceLayout(); });
    const auto cells = mCells.Load();
    for (const auto& [cell, runner] : *cells) {
      const auto address = ParseCellName(cell);
      if (layout.empty() || !address || address->service != aService) {
        continue;
      }
      std::vector<ShardId> shards;
      const auto range = layout.find(cell);
      if (range != layout.end()) {
        for (ShardId shard = range->second.first; shard < range->second.second; ++shard) {
          shards.push_back(shard);
        }
      }
      runner->SetInitialShards(std::move(shards));
      std::optional<Member> candidate;
      {
        const std::lock_guard lock(mMutex);
        candidate = Candidate(cell, address->domain);
      }
      if (candidate && candidate->id == mSettings.self.id && runner->Role() == CellRole::kIdle) {
        runner->TakeOver();
      }
    }
    const std::lock_guard lock(mMutex);
    mPreparing.erase(aService);
  });
}

void Daemon::SeekEvidence()
{
  const auto cells = mCells.Load();
  std::map<DaemonRef, GoneProof> proofs;
  for (const auto& [name, runner] : *cells) {
    for (const DaemonRef& it : runner->DaemonsToConfirmStopped()) {
      const auto [proof, fresh] = proofs.try_emplace(it, GoneProof::kNone);
      if (fresh) {
        proof->second = ProofOf(it);
      }
      if (proof->second == GoneProof::kNone) {
        continue;
      }
      mServices.log.Write(EventId::kDaemonProvenGone,
                          "cell=" + name + " id=" + it.id +
                            " incarnation=" + std::to_string(it.incarnation) +
                            " proof=" + std::string(NameOf(kGoneProofNames, proof->second)));
      runner->OnDaemonStopped(it);
    }
  }
  mSeekingEvidence = false;
}

bool Daemon::IsLost(const Configuration& aConfig, const std::string& aDomain)
{
  const DomainConfig* domain = aConfig.FindDomain(aDomain);
  return domain != nullptr && domain->state == DomainState::kLost;
}

bool Daemon::IsOfLostDomain(const std::string& aDaemon) const
{
  const auto member = mMembership.Find(aDaemon);
  return member && IsLost(*mConfig.Load(), member->domain);
}

GoneProof Daemon::ProofOf(const DaemonRef& aRef)
{
  std::string endpoint;
  {
    const std::lock_guard lock(mMutex);
    const GoneProof proof =
      mEvidence.Judge(mServices.timers.Now(), aRef, mMembership, IsOfLostDomain(aRef.id));
    if (proof != GoneProof::kNone) {
      return proof;
    }
    const auto member = mMembership.Find(aRef.id);
    if (!member || aRef == Self() || mMembership.IsLive(aRef)) {
      return GoneProof::kNone;
    }
    endpoint = member->peerEndpoint;
  }
  return mServices.peers.IsRefused(endpoint) ? GoneProof::kPortRefused : GoneProof::kNone;
}

std::vector<CellLoad> Daemon::LoadsOf(const Configuration& aConfig,
                                      const std::string& aService) const
{
  std::map<std::string, CellLoad> loads;
  for (const CellConfig& cell : CellsOf(aConfig)) {
    if (cell.service != aService) {
      continue;
    }
    const DomainConfig* domain = aConfig.FindDomain(cell.domain);
    const bool in = domain != nullptr && domain->state == DomainState::kIn;
    CellLoad& load = loads[cell.name];
    load.cell = cell.name;
    for (const ServerConfig& it : cell.servers) {
      load.servers += in && it.state == UnitState::kIn ? 1 : 0;
    }
  }
  for (auto& [name, load] : loads) {
    const auto known = mKnownCells.find(name);
    if (known == mKnownCells.end()) {
      // Nobody is attached there yet, so nothing can be sent there.
      load.servers = 0;
      continue;
    }
    load.shards += known->second.object->shards.size();
    for (const auto& [shard, out] : known->second.object->outs) {
      const auto target = loads.find(out.toCell);
      const auto there = mKnownCells.find(out.toCell);
      const bool counted =
        there != mKnownCells.end() && there->second.object->shards.count(shard) != 0;
      if (target != loads.end() && !counted) {
        ++target->second.shards;
      }
    }
  }
  std::vector<CellLoad> list;
  list.reserve(loads.size());
  for (const auto& [name, load] : loads) {
    list.push_back(load);
  }
  return list;
}

void Daemon::TickPlans(Instant aNow)
{
  const auto config = mConfig.Load();
  const auto cells = mCells.Load();
  for (const auto& [name, runner] : *cells) {
    const auto address = ParseCellName(name);
    if (!address || runner->Role() != CellRole::kAttached) {
      continue;
    }
    std::vector<CellLoad> loads;
    std::vector<std::pair<std::string, KnownCell>> others;
    {
      const std::lock_guard lock(mMutex);
      loads = LoadsOf(*config, address->service);
      for (const auto& [cell, known] : mKnownCells) {
        if (cell != name && cell.rfind("cells/" + address->service + "/", 0) == 0) {
          others.emplace_back(cell, known);
        }
      }
    }
    for (const auto& [cell, known] : others) {
      runner->OnOtherCachedObject(cell, *known.object);
    }
    runner->Plan(aNow, loads);
  }
}

void Daemon::RefreshHosts()
{
  std::vector<ListedHost> hosts;
  const bool read = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(hosts, mServices.platform.Hosts());
      return true;
    },
    [] { return false; });
  mServices.metrics.Count("platform_reads_total");
  if (!read) {
    return;
  }
  const Instant now = mServices.timers.Now();
  const std::lock_guard lock(mMutex);
  std::set<std::string> listed;
  for (const ListedHost& it : hosts) {
    listed.insert(it.id);
    Member member;
    member.id = it.id;
    member.domain = it.domain;
    member.httpUrl = it.httpUrl;
    member.peerEndpoint = it.peerEndpoint;
    mMembership.Learn(now, member);
  }
  mEvidence.OnHosts(now, std::move(listed));
}

// --- Directory ------------------------------------------------------------------------------

DaemonRef Daemon::Self() const
{
  return mSettings.self.Ref();
}

std::shared_ptr<const Configuration> Daemon::Config() const
{
  return mConfig.Load();
}

std::shared_ptr<CellRunner> Daemon::FindCell(const std::string& aCell) const
{
  const auto cells = mCells.Load();
  const auto it = cells->find(aCell);
  return it == cells->end() ? nullptr : it->second;
}

bool Daemon::IsLive(const DaemonRef& aRef) const
{
  const std::lock_guard lock(mMutex);
  return mMembership.IsLive(aRef);
}

std::optional<std::string> Daemon::EndpointOf(const std::string& aDaemon) const
{
  const std::lock_guard lock(mMutex);
  const auto member = mMembership.Find(aDaemon);
  if (!member || member->peerEndpoint.empty()) {
    return std::nullopt;
  }
  return member->peerEndpoint;
}

bool Daemon::IsCutOff(const std::string& aDomain) const
{
  const Instant now = mServices.timers.Now();
  const std::lock_guard lock(mMutex);
  return mMembership.IsCutOff(now, aDomain);
}

// --- Operators ------------------------------------------------------------------------------

bool Daemon::IsReady() const
{
  const auto config = mConfig.Load();
  if (mLeaving || mConfigVersion == 0 || config->IsDraining(mSettings.self.id)) {
    return false;
  }
  for (const ServiceConfig& service : config->services) {
    for (ShardId shard = 0; shard < service.shards; ++shard) {
      if (!mRoutes.Find(service.name, shard)) {
        return false;
      }
    }
  }
  const auto cells = mCells.Load();
  return std::all_of(cells->begin(), cells->end(), [](const auto& aCell) {
    return aCell.second->View().unserved == 0;
  });
}

std::string Daemon::Status() const
{
  json doc;
  doc["id"] = mSettings.self.id;
  doc["incarnation"] = mSettings.self.incarnation;
  doc["domain"] = mSettings.self.domain;
  doc["ready"] = IsReady();
  doc["config_version"] = mConfigVersion.load();
  doc["objects_revision"] = mServices.cache.Revision();
  doc["platform_up"] = mPlatformUp.load();
  doc["in_progress"] = mEntry.InProgress();
  doc["members"] = json::array();
  {
    const std::lock_guard lock(mMutex);
    for (const Member& it : mMembership.All()) {
      doc["members"].push_back({ { "id", it.id },
                                 { "incarnation", it.incarnation },
                                 { "domain", it.domain },
                                 { "http", it.httpUrl },
                                 { "status", NameOf(kMemberStatusNames, it.status) } });
    }
  }
  doc["cells"] = json::array();
  const auto cells = mCells.Load();
  for (const auto& [name, runner] : *cells) {
    const CellView view = runner->View();
    json servers = json::array();
    for (const ServerView& it : view.servers) {
      servers.push_back({ { "id", it.id },
                          { "usable", it.usable },
                          { "cold", it.cold },
                          { "running", it.running },
                          { "waiting", it.waiting },
                          { "allowed", it.allowed },
                          { "latency_us", it.latency.count() } });
    }
    doc["cells"].push_back({ { "name", view.name },
                             { "role", NameOf(kCellRoleNames, view.role) },
                             { "token", view.token },
                             { "attached", view.attached.id },
                             { "shards", view.shards },
                             { "unserved", view.unserved },
                             { "held", view.held },
                             { "servers", servers } });
  }
  return JsonText(doc, 2) + "\n";
}

std::string Daemon::Explain(const std::string& aService, const std::string& aKey) const
{
  const auto config = mConfig.Load();
  const ServiceConfig* service = config->FindService(aService);
  if (service == nullptr) {
    return {};
  }
  const ShardId shard = ShardOf(aKey, service->shards);
  json doc = { { "service", aService }, { "key", aKey }, { "shard", shard } };
  const auto route = mRoutes.Find(aService, shard);
  if (!route) {
    doc["reason"] = "no cell is known to hold the shard";
    return JsonText(doc, 2) + "\n";
  }
  doc["cell"] = route->cell;
  doc["domain"] = route->domain;
  doc["attached"] = { { "id", route->attached.id },
                      { "incarnation", route->attached.incarnation },
                      { "live", IsLive(route->attached) } };
  std::optional<ShardRecord> record;
  {
    const std::lock_guard lock(mMutex);
    const auto member = mMembership.Find(route->attached.id);
    doc["attached"]["http"] = member ? member->httpUrl : "";
    const auto known = mKnownCells.find(route->cell);
    if (known != mKnownCells.end()) {
      const auto it = known->second.object->shards.find(shard);
      if (it != known->second.object->shards.end()) {
        record = it->second;
      }
    }
  }
  doc["source"] = "record";
  const auto runner = FindCell(route->cell);
  const bool here = runner && route->attached == Self();
  if (here) {
    doc["source"] = "attached daemon";
    record = runner->OwnerOf(shard);
    const auto phase = runner->PhaseOf(shard);
    doc["phase"] = phase ? NameOf(kShardPhaseNames, *phase) : "elsewhere";
    doc["moves"] = json::array();
    const Instant now = mServices.timers.Now();
    for (const ShardEvent& it : runner->History(shard)) {
      doc["moves"].push_back({ { "seconds_ago", Millis(now - it.at) / 1000 },
                               { "event", NameOf(kCellEventNames, it.event) },
                               { "server", it.server },
                               { "epoch", it.epoch },
                               { "reason", it.reason } });
    }
    doc["reason"] = doc["moves"].empty() ? "first layout of the service, or before this daemon"
                                         : "last move below";
  }
  if (record) {
    doc["owner"] = record->owner;
    doc["epoch"] = record->epoch;
    doc["heir"] = record->heir;
  }
  return JsonText(doc, 2) + "\n";
}

std::string Daemon::Metrics() const
{
  std::size_t unserved = 0;
  std::size_t attached = 0;
  const auto cells = mCells.Load();
  for (const auto& [name, runner] : *cells) {
    const CellView view = runner->View();
    unserved += view.unserved;
    attached += view.role == CellRole::kAttached ? 1 : 0;
  }
  mServices.metrics.Set("cells_attached", static_cast<double>(attached));
  mServices.metrics.Set("shards_unserved", static_cast<double>(unserved));
  mServices.metrics.Set("config_version", static_cast<double>(mConfigVersion.load()));
  mServices.metrics.Set("ready", IsReady() ? 1.0 : 0.0);
  return mServices.metrics.Text();
}

} // namespace hawthornlug
