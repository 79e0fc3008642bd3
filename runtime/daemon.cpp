#include "runtime/daemon.h"

#include "core/hashing.h"
#include "core/json_text.h"
#include "runtime/wire_codec.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr Duration kCellTickInterval = milliseconds(40);
constexpr Duration kMembershipTickInterval = milliseconds(50);
constexpr Duration kAttachmentTickInterval = milliseconds(100);
constexpr Duration kProofSearchInterval = milliseconds(200);
constexpr Duration kPlanInterval = seconds(1);
constexpr Duration kHostListInterval = seconds(5);
/// Time after its start during which a daemon waits for heartbeats of the others before it takes
/// over their cells.
constexpr Duration kStartGrace = milliseconds(1500);
/// Time for which daemons other than the attached one must have been preferred before a cell is
/// handed over, unless the attached daemon leaves or drains.
constexpr Duration kHandoverDelay = seconds(5);
/// Longest time that one read of the platform waits for a change.
constexpr Duration kWatchWait = seconds(10);
/// Pause between two rounds of the watch loop; none after a read as the watcher that succeeded.
constexpr Duration kWatchLoopPause = milliseconds(100);
/// Interval at which a daemon that is not the watcher reads the platform itself, in case no other
/// daemon sends it the changes.
constexpr Duration kOwnReadInterval = seconds(10);
constexpr Duration kLeavePollInterval = milliseconds(10);

} // namespace

Daemon::Daemon(DaemonSettings aSettings, Services& aServices)
  : mSettings(std::move(aSettings))
  , mServices(aServices)
  , mAttached(aServices, *this, mRoutes)
  , mEntry(aServices, *this, mRoutes, mAttached, mPeerCalls, mSettings.traceSample)
  , mMembership(mSettings.self, MembershipTimings{})
  , mStopVerifier(mSettings.hostListLag)
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
  mTimers.push_back(mServices.heartbeatTimers.Every(
    kMembershipTickInterval, [this](Instant aNow) { TickMembership(aNow); }));
  mTimers.push_back(timers.Every(kCellTickInterval, [this](Instant aNow) { TickCells(aNow); }));
  mTimers.push_back(
    timers.Every(kAttachmentTickInterval, [this](Instant aNow) { TickAttachments(aNow); }));
  mTimers.push_back(
    timers.Every(Entry::kTickInterval, [this](Instant aNow) { mEntry.Tick(aNow); }));
  mTimers.push_back(timers.Every(kPlanInterval, [this](Instant aNow) { PlanMoves(aNow); }));
  mTimers.push_back(timers.Every(kProofSearchInterval, [this, &workers](Instant) {
    if (!mSearchingStopProofs.exchange(true)) {
      workers.Post([this] { SearchStopProofs(); });
    }
  }));
  workers.Post([this] { RefreshHosts(); });
  mTimers.push_back(timers.Every(
    kHostListInterval, [this, &workers](Instant) { workers.Post([this] { RefreshHosts(); }); }));
  mWatchThread = std::thread([this] { WatchLoop(); });
  mServices.log.Write(EventId::kStarted,
                      "id=" + mSettings.self.id +
                        " incarnation=" + std::to_string(mSettings.self.incarnation) +
                        " domain=" + mSettings.self.domain);
}

void Daemon::AwaitRemoteOrders(Duration aTimeout) const
{
  const Instant end = mServices.timers.Now() + aTimeout;
  while (mRemoteOrders.Count() > 0 && mServices.timers.Now() < end) {
    std::this_thread::sleep_for(kLeavePollInterval);
  }
}

void Daemon::Leave(Duration aTimeout)
{
  mServices.log.Write(EventId::kStopping, "id=" + mSettings.self.id);
  mLeaving = true;
  {
    const std::lock_guard lock(mMutex);
    mMembership.Leave(mServices.timers.Now());
  }
  const Instant end = mServices.timers.Now() + aTimeout;
  const auto hasCells = [this] {
    const auto cells = mCells.Load();
    return std::any_of(cells->begin(), cells->end(), [](const auto& aCell) {
      return aCell.second->Role() != CellRole::kIdle;
    });
  };
  while (hasCells() && mServices.timers.Now() < end) {
    std::this_thread::sleep_for(kLeavePollInterval);
  }
}

void Daemon::Stop()
{
  if (mStopping.exchange(true)) {
    return;
  }
  mTimers.clear();
  {
    const std::lock_guard lock(mStopMutex);
    mStopSignal.notify_all();
  }
  if (mWatchThread.joinable()) {
    mWatchThread.join();
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
  const bool otherIncarnation =
    aEnvelope.to_incarnation() != 0 && aEnvelope.to_incarnation() != mSettings.self.incarnation;
  if (otherIncarnation) {
    mServices.log.Write(EventId::kMessageRefused, "from=" + aEnvelope.from().id());
    return;
  }
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kOrder:
      OnOrder(std::move(aEnvelope));
      break;
    case wire::Envelope::kAnswer:
      mPeerCalls.OnAnswer(aEnvelope.answer().call(), DecodeAnswer(aEnvelope.answer()));
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
    // Sent only between daemons that route on the users' platform (RouterDaemon); ignored here.
    case wire::Envelope::kBeat:
    case wire::Envelope::kLoad:
    case wire::Envelope::kKeyWork:
    case wire::Envelope::kStoredObjects:
    case wire::Envelope::kStoredObjectsQuestion:
    case wire::Envelope::kRangeTable:
    case wire::Envelope::kRangeTableQuestion:
    case wire::Envelope::kWarmUpQuestion:
    case wire::Envelope::kWarmUpAnswer:
    case wire::Envelope::kServersLeaving:
    case wire::Envelope::kRelayedBeatsQuestion:
    case wire::Envelope::kQuotaReport:
    case wire::Envelope::kQuotaAnswer:
    case wire::Envelope::kServiceTimes:
    case wire::Envelope::kStoreCurrency:
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
  // Accepted here, not on a worker, and so in the order of arrival: a question about an order's
  // outcome that arrives after the order finds it.
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
  const Version ownRevision = mServices.cache.Revision();
  if (info.objectsRevision > ownRevision) {
    wire::Envelope question = MakeEnvelope();
    question.mutable_objects_question()->set_since(ownRevision);
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
  std::vector<CellConfig> configs = CellsOf(aConfig);
  std::erase_if(configs, [&](const CellConfig& aCell) {
    const bool mayAttach =
      aCell.domain == mSettings.self.domain || IsDomainLost(aConfig, aCell.domain);
    // A cell that was taken over from a lost failure domain is kept, so that it can be handed back
    // when the domain is in service again.
    return !mayAttach && cells.count(aCell.name) == 0;
  });
  for (const CellConfig& it : configs) {
    std::shared_ptr<CellRunner>& runner = cells[it.name];
    if (!runner) {
      runner = std::make_shared<CellRunner>(it.name, Self(), mServices);
      const KnownCell known = KnownCellOf(it.name);
      if (known.object) {
        runner->OnCachedObject(known.version, *known.object);
      }
    }
    const DomainConfig* domain = aConfig.FindDomain(it.domain);
    const bool domainOut = domain == nullptr || domain->state != DomainState::kIn;
    runner->SetChurnLimit(aConfig.placement.churnPercentPerMinute);
    runner->Configure(it, *aConfig.FindService(it.service), domainOut);
  }
  mCells.Store(std::move(cells));
  mCellConfigs.Store(std::move(configs));
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
  Instant lastRead;
  while (!mStopping) {
    const Instant now = mServices.timers.Now();
    const bool first = lastRead == Instant();
    const bool watcher = IsWatcher();
    if (first || watcher || now - lastRead >= kOwnReadInterval) {
      lastRead = now;
      const Version since = mServices.cache.Revision();
      const Duration wait = watcher && !first ? kWatchWait : Duration::zero();
      const bool up = leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(changes, mServices.platform.Watch(since, wait));
          for (const std::string& it : changes.unreadable) {
            mServices.log.Write(EventId::kObjectUnreadable, "object=" + it);
          }
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
    std::unique_lock lock(mStopMutex);
    mStopSignal.wait_for(lock, kWatchLoopPause, [this] { return mStopping.load(); });
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

void Daemon::TickMembership(Instant aNow)
{
  std::vector<OutgoingHeartbeat> due;
  std::vector<MemberChange> changes;
  Member self;
  {
    const std::lock_guard lock(mMutex);
    mMembership.SetRevisions(mServices.cache.Revision(), mConfigVersion);
    due = mMembership.OnTick(aNow);
    self = mMembership.Self();
    changes = mMembership.TakeChanges();
  }
  for (const OutgoingHeartbeat& it : due) {
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

std::vector<Member> Daemon::AttachableDaemons(const Configuration& aConfig,
                                              const std::string& aDomain) const
{
  if (!IsDomainLost(aConfig, aDomain)) {
    return mMembership.LiveIn(aDomain);
  }
  // The cells of a lost failure domain are distributed over the daemons of all other domains.
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

std::optional<Member> Daemon::PreferredDaemon(const std::string& aCell,
                                              const std::string& aDomain) const
{
  const auto config = mConfig.Load();
  std::optional<Member> best;
  std::uint64_t bestWeight = 0;
  for (const Member& it : AttachableDaemons(*config, aDomain)) {
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
      UpdateAttachment(aNow, it, *runner->second);
    }
  }
}

void Daemon::UpdateAttachment(Instant aNow, const CellConfig& aCell, CellRunner& aRunner)
{
  const CellRole role = aRunner.Role();
  std::optional<Member> preferred;
  std::optional<DaemonRef> attached;
  bool attachedLive = false;
  bool mayReplace = false;
  {
    const std::lock_guard lock(mMutex);
    preferred = PreferredDaemon(aCell.name, aCell.domain);
    const auto known = mKnownCells.find(aCell.name);
    if (known != mKnownCells.end()) {
      attached = known->second.object->attached;
      attachedLive = mMembership.IsLive(*attached) && !IsInLostDomain(attached->id);
    }
    const auto member = attached ? mMembership.Find(attached->id) : std::nullopt;
    const bool knownNotLive =
      member && (member->incarnation > attached->incarnation || !member->IsLive());
    mayReplace = knownNotLive || aNow - mStartedAt >= kStartGrace;
    if (!preferred || preferred->id == mSettings.self.id) {
      mOtherPreferredSince.erase(aCell.name);
    } else {
      mOtherPreferredSince.try_emplace(aCell.name, aNow);
    }
  }
  if (!preferred) {
    return;
  }
  const bool selfPreferred = preferred->id == mSettings.self.id;
  if (role == CellRole::kIdle && selfPreferred) {
    if (!attached) {
      PrepareLayout(aCell.service);
    } else if (*attached == Self() || (!attachedLive && mayReplace)) {
      aRunner.TakeOver();
    }
    return;
  }
  if (role != CellRole::kAttached || selfPreferred) {
    return;
  }
  const bool mustLeave = mLeaving || mConfig.Load()->IsDraining(mSettings.self.id);
  bool longPreferred = false;
  {
    const std::lock_guard lock(mMutex);
    longPreferred = aNow - mOtherPreferredSince[aCell.name] >= kHandoverDelay;
  }
  if (mustLeave || (longPreferred && aRunner.View().unserved == 0)) {
    aRunner.HandOver(preferred->Ref());
  }
}

void Daemon::PrepareLayout(const std::string& aService)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mLayoutsInPreparation.insert(aService).second) {
      return;
    }
  }
  mServices.controlWorkers.Post([this, aService] {
    const auto config = mConfig.Load();
    const ServiceConfig* service = config->FindService(aService);
    const std::string name = LayoutName(aService);
    const ServiceLayout layout = leaf::try_handle_all(
      [&]() -> Result<ServiceLayout> {
        const std::string newLayout = EncodeLayout(MakeLayout(*service));
        // The first daemon to write the layout decides it. A conflict means that there is one,
        // which is read below.
        leaf::try_handle_all(
          [&]() -> Result<void> {
            BOOST_LEAF_CHECK(mServices.platform.Put(name, 0, newLayout));
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
      std::optional<Member> preferred;
      {
        const std::lock_guard lock(mMutex);
        preferred = PreferredDaemon(cell, address->domain);
      }
      if (preferred && preferred->id == mSettings.self.id && runner->Role() == CellRole::kIdle) {
        runner->TakeOver();
      }
    }
    const std::lock_guard lock(mMutex);
    mLayoutsInPreparation.erase(aService);
  });
}

void Daemon::SearchStopProofs()
{
  const auto cells = mCells.Load();
  std::map<DaemonRef, StopProof> proofs;
  for (const auto& [name, runner] : *cells) {
    for (const DaemonRef& it : runner->DaemonsToConfirmStopped()) {
      const auto [proof, inserted] = proofs.try_emplace(it, StopProof::kNone);
      if (inserted) {
        proof->second = StopProofOf(it);
      }
      if (proof->second == StopProof::kNone) {
        continue;
      }
      mServices.log.Write(EventId::kDaemonProvenGone,
                          "cell=" + name + " id=" + it.id +
                            " incarnation=" + std::to_string(it.incarnation) +
                            " proof=" + std::string(NameOf(kStopProofNames, proof->second)));
      runner->OnDaemonStopped(it);
    }
  }
  mSearchingStopProofs = false;
}

bool Daemon::IsDomainLost(const Configuration& aConfig, const std::string& aDomain)
{
  const DomainConfig* domain = aConfig.FindDomain(aDomain);
  return domain != nullptr && domain->state == DomainState::kLost;
}

bool Daemon::IsInLostDomain(const std::string& aDaemon) const
{
  const auto member = mMembership.Find(aDaemon);
  return member && IsDomainLost(*mConfig.Load(), member->domain);
}

StopProof Daemon::StopProofOf(const DaemonRef& aRef)
{
  std::string endpoint;
  {
    const std::lock_guard lock(mMutex);
    const StopProof proof =
      mStopVerifier.FindProof(mServices.timers.Now(), aRef, mMembership, IsInLostDomain(aRef.id));
    if (proof != StopProof::kNone) {
      return proof;
    }
    const auto member = mMembership.Find(aRef.id);
    if (!member || aRef == Self() || mMembership.IsLive(aRef)) {
      return StopProof::kNone;
    }
    endpoint = member->peerEndpoint;
  }
  return mServices.peers.IsRefused(endpoint) ? StopProof::kPortRefused : StopProof::kNone;
}

std::vector<CellLoad> Daemon::CellLoadsOf(const Configuration& aConfig,
                                          const std::string& aService) const
{
  std::map<std::string, CellLoad> loads;
  for (const CellConfig& cell : CellsOf(aConfig)) {
    if (cell.service != aService) {
      continue;
    }
    const DomainConfig* domain = aConfig.FindDomain(cell.domain);
    const bool inService = domain != nullptr && domain->state == DomainState::kIn;
    CellLoad& load = loads[cell.name];
    load.cell = cell.name;
    for (const ServerConfig& it : cell.servers) {
      load.servers += inService && it.state == UnitState::kIn ? 1 : 0;
    }
  }
  for (auto& [name, load] : loads) {
    const auto known = mKnownCells.find(name);
    if (known == mKnownCells.end()) {
      // No daemon has been attached to the cell yet, so no shards can be sent to it.
      load.servers = 0;
      continue;
    }
    load.shards += known->second.object->shards.size();
    for (const auto& [shard, departure] : known->second.object->departures) {
      const auto target = loads.find(departure.toCell);
      const auto targetCell = mKnownCells.find(departure.toCell);
      const bool counted =
        targetCell != mKnownCells.end() && targetCell->second.object->shards.count(shard) != 0;
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

void Daemon::PlanMoves(Instant aNow)
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
      loads = CellLoadsOf(*config, address->service);
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
  HostList list;
  const bool read = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(list, mServices.platform.Hosts());
      return true;
    },
    [] { return false; });
  mServices.metrics.Count("platform_reads_total");
  if (!read) {
    return;
  }
  const Instant now = mServices.timers.Now();
  const std::lock_guard lock(mMutex);
  std::set<std::string> listed(list.unreadable.begin(), list.unreadable.end());
  for (const ListedHost& it : list.hosts) {
    listed.insert(it.id);
    Member member;
    member.id = it.id;
    member.domain = it.domain;
    member.httpUrl = it.httpUrl;
    member.peerEndpoint = it.peerEndpoint;
    mMembership.Learn(now, member);
  }
  if (list.isWhole) {
    mStopVerifier.OnHostList(now, std::move(listed));
  }
}

// --- DaemonView -----------------------------------------------------------------------------

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

bool Daemon::IsIsolated(const std::string& aDomain) const
{
  const Instant now = mServices.timers.Now();
  const std::lock_guard lock(mMutex);
  return mMembership.IsIsolated(now, aDomain);
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
    doc["heir"] = record->standby;
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
