#include "runtime/cell_runner.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Events that are kept for each shard.
constexpr std::size_t kMaxEventsPerShard = 4;
/// Moves to other cells that one plan may begin.
constexpr std::size_t kMaxTransfersPerRound = 64;
/// Worst load over mean load of the cells up to which no shards are moved between them.
constexpr double kTransferTolerance = 1.10;

EventId EventIdOf(CellEvent aEvent)
{
  switch (aEvent) {
    case CellEvent::kTaken:
      return EventId::kCellTaken;
    case CellEvent::kSuperseded:
      return EventId::kCellSuperseded;
    case CellEvent::kHandedOver:
      return EventId::kCellHandedOver;
    case CellEvent::kServerFenced:
      return EventId::kServerFenced;
    case CellEvent::kServerLapsed:
      return EventId::kServerLapsed;
    case CellEvent::kServerRestarted:
      return EventId::kServerRestarted;
    case CellEvent::kShardServing:
      return EventId::kShardServing;
    case CellEvent::kShardMoved:
      return EventId::kShardMoved;
    case CellEvent::kShardInherited:
      return EventId::kShardInherited;
    case CellEvent::kShardRecovered:
      return EventId::kShardRecovered;
    case CellEvent::kShardSent:
      return EventId::kShardSent;
    case CellEvent::kShardReceived:
      return EventId::kShardReceived;
    case CellEvent::kMoveAbandoned:
      return EventId::kMoveAbandoned;
  }
  return EventId::kMessageRefused;
}

WriteOutcome WriteOutcomeOf(PlatformError aError)
{
  switch (aError) {
    case PlatformError::kConflict:
      return WriteOutcome::kConflict;
    case PlatformError::kUnavailable:
    case PlatformError::kNotFound:
      return WriteOutcome::kNotWritten;
    case PlatformError::kUnknown:
    case PlatformError::kMalformed:
      break;
  }
  return WriteOutcome::kUnknown;
}

} // namespace

CellRunner::CellRunner(std::string aCell, DaemonRef aSelf, Services& aServices)
  : mCell(aCell)
  , mSelf(aSelf)
  , mServices(aServices)
  , mMachine(std::move(aCell), std::move(aSelf), CellTimings{})
{
}

// --- Inputs ---------------------------------------------------------------------------------

template<typename Input>
void CellRunner::Dispatch(Input aInput)
{
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    aInput(mServices.timers.Now());
    CollectActions(effects);
    RouteHeldOrders(effects);
  }
  Execute(effects);
}

void CellRunner::Configure(const CellConfig& aCell, const ServiceConfig& aService, bool aDomainOut)
{
  Dispatch([&](Instant aNow) {
    mService = aService;
    if (!aDomainOut) {
      mDomainOutSince.reset();
    } else if (!mDomainOutSince) {
      mDomainOutSince = aNow;
      mServices.log.Write(EventId::kDomainOut, "cell=" + mCell);
    }
    mServerSpecs.clear();
    for (const ServerConfig& it : aCell.servers) {
      const bool checked = it.fencing == Fencing::kChecked;
      Server& server = mServers[it.id];
      if (!server.port) {
        server.port = mServices.servers.Make({ it.id, it.url, checked, aService.connections });
        GateLimits limits;
        limits.slots = aService.slots;
        server.gate = std::make_unique<ServerGate>(limits);
      }
      server.gate->SetSlots(aService.slots);
      server.draining = it.state == UnitState::kDraining;
      server.checksFencing = checked;
      mServerSpecs.push_back({ it.id, checked, !server.draining && !aDomainOut });
    }
    mMachine.SetMaxOrderDuration(aService.deadline);
    ApplyServers(aNow);
  });
}

void CellRunner::ApplyServers(Instant aNow)
{
  std::vector<CellServerSpec> specs = mServerSpecs;
  for (CellServerSpec& it : specs) {
    it.accepting = it.accepting && !mServers.at(it.id).leaving;
  }
  mMachine.SetServers(aNow, specs);
}

void CellRunner::UpdateLeavingState(Instant aNow,
                                    const std::string& aServer,
                                    const ServerReply& aReply)
{
  const auto it = mServers.find(aServer);
  const bool accepted = aReply.outcome == CallOutcome::kAccepted;
  if (!accepted || it == mServers.end() || it->second.leaving == aReply.draining) {
    return;
  }
  it->second.leaving = aReply.draining;
  if (aReply.draining) {
    mServices.log.Write(EventId::kServerLeaving, "cell=" + mCell + " server=" + aServer);
  }
  ApplyServers(aNow);
}

void CellRunner::SetInitialShards(std::vector<ShardId> aShards)
{
  const std::lock_guard lock(mMutex);
  mMachine.SetInitialShards(std::move(aShards));
}

void CellRunner::SetChurnLimit(double aPercentPerMinute)
{
  const std::lock_guard lock(mMutex);
  mChurnPercentPerMinute = aPercentPerMinute;
}

void CellRunner::TakeOver()
{
  Dispatch([&](Instant aNow) { mMachine.TakeOver(aNow); });
}

void CellRunner::HandOver(const DaemonRef& aTo)
{
  Dispatch([&](Instant aNow) { mMachine.HandOver(aNow, aTo); });
}

void CellRunner::OnCachedObject(Version aVersion, const CellObject& aObject)
{
  Dispatch([&](Instant aNow) { mMachine.OnCachedObject(aNow, aVersion, aObject); });
}

void CellRunner::OnOtherCachedObject(const std::string& aCell, const CellObject& aObject)
{
  Dispatch([&](Instant aNow) { mMachine.OnOtherCachedObject(aNow, aCell, aObject); });
}

void CellRunner::OnDaemonStopped(const DaemonRef& aDaemon)
{
  Dispatch([&](Instant aNow) { mMachine.OnDaemonStopped(aNow, aDaemon); });
}

void CellRunner::Tick(Instant aNow)
{
  Dispatch([&](Instant) {
    std::erase_if(mUnansweredOrders, [&](const UnansweredOrder& aItem) {
      if (aItem.until > aNow) {
        return false;
      }
      mMachine.OrderFinished(aNow, aItem.shard);
      return true;
    });
    mMachine.OnTick(aNow);
  });
  Effects effects;
  {
    const std::lock_guard lock(mMutex);
    for (auto& [id, server] : mServers) {
      for (const TicketId ticket : server.gate->Expire(aNow)) {
        const auto it = server.queued.find(ticket);
        RefuseOrder(it->second, Refusal::kDeadline, effects);
        server.queued.erase(it);
      }
    }
  }
  Execute(effects);
}

// --- Effects --------------------------------------------------------------------------------

void CellRunner::CollectActions(Effects& aEffects)
{
  for (CellAction& it : mMachine.TakeActions()) {
    const auto* note = std::get_if<ReportCellEvent>(&it);
    if (note == nullptr) {
      aEffects.actions.push_back(std::move(it));
      continue;
    }
    const bool fenced = note->event == CellEvent::kServerFenced;
    const auto server = mServers.find(note->server);
    if (note->event == CellEvent::kServerRestarted && server != mServers.end()) {
      server->second.gate->BeginSlowStart();
    }
    const bool aboutShard = note->event >= CellEvent::kShardMoved;
    if (aboutShard && !fenced) {
      std::deque<ShardEvent>& history = mHistory[note->shard];
      history.push_back({ mServices.timers.Now(),
                          note->event,
                          note->server,
                          note->epoch,
                          mMoveReasons[note->shard] });
      mMoveReasons.erase(note->shard);
      if (history.size() > kMaxEventsPerShard) {
        history.pop_front();
      }
    }
    aEffects.actions.push_back(std::move(it));
  }
}

void CellRunner::Execute(const Effects& aEffects)
{
  for (const CellAction& it : aEffects.actions) {
    ExecuteAction(it);
  }
  for (const AdmittedOrder& it : aEffects.admitted) {
    RunOrder(it);
  }
  for (const AnsweredOrder& it : aEffects.answered) {
    it.order->done(it.answer);
  }
}

void CellRunner::ExecuteAction(const CellAction& aAction)
{
  if (const auto* note = std::get_if<ReportCellEvent>(&aAction)) {
    Log(*note);
    return;
  }
  mServices.controlWorkers.Post([self = shared_from_this(), aAction] {
    if (const auto* write = std::get_if<WriteCell>(&aAction)) {
      self->ExecuteWrite(*write);
    } else if (std::holds_alternative<ReadCell>(aAction)) {
      self->ExecuteRead();
    } else if (const auto* other = std::get_if<ReadOtherCell>(&aAction)) {
      self->ExecuteReadOther(*other);
    } else if (const auto* fence = std::get_if<FenceServer>(&aAction)) {
      self->ExecuteFence(*fence);
    } else if (const auto* grant = std::get_if<GrantServer>(&aAction)) {
      self->ExecuteGrant(*grant);
    }
  });
}

void CellRunner::ExecuteWrite(const WriteCell& aAction)
{
  const std::string value = EncodeCell(aAction.object);
  Version version = 0;
  const WriteOutcome outcome = leaf::try_handle_all(
    [&]() -> Result<WriteOutcome> {
      BOOST_LEAF_ASSIGN(version, mServices.platform.Put(mCell, aAction.expected, value));
      return WriteOutcome::kWritten;
    },
    [](PlatformError aError) { return WriteOutcomeOf(aError); },
    [] { return WriteOutcome::kUnknown; });
  mServices.metrics.Count("platform_writes_total");
  Dispatch([&](Instant aNow) { mMachine.OnWritten(aNow, aAction.id, outcome, version); });
  if (outcome == WriteOutcome::kWritten) {
    mServices.cache.MergeOne({ mCell, version, value });
  }
}

void CellRunner::ExecuteRead()
{
  mServices.metrics.Count("platform_reads_total");
  PlatformObject object;
  std::optional<CellObject> cell;
  const bool read = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(object, mServices.platform.Get(mCell));
      BOOST_LEAF_ASSIGN(cell, DecodeCell(object.value));
      return true;
    },
    [&](PlatformError aError) { return aError == PlatformError::kNotFound; },
    [] { return false; });
  Dispatch([&](Instant aNow) {
    if (read) {
      mMachine.OnObject(aNow, object.version, cell);
    } else {
      mMachine.OnCellReadFailed(aNow);
    }
  });
  if (read && object.version != 0) {
    mServices.cache.MergeOne(object);
  }
}

void CellRunner::ExecuteReadOther(const ReadOtherCell& aAction)
{
  mServices.metrics.Count("platform_reads_total");
  CellObject cell;
  const bool read = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(object, mServices.platform.Get(aAction.cell));
      BOOST_LEAF_ASSIGN(cell, DecodeCell(object.value));
      return true;
    },
    [] { return false; });
  Dispatch([&](Instant aNow) {
    if (read) {
      mMachine.OnOtherCellRead(aNow, aAction.cell, aAction.ownVersion, cell);
    } else {
      mMachine.OnOtherCellReadFailed(aAction.cell);
    }
  });
}

void CellRunner::ExecuteFence(const FenceServer& aAction)
{
  const auto done = [self = shared_from_this(), server = aAction.server](
                      const ServerReply& aReply) { self->OnFenced(server, aReply); };
  if (const auto port = PortOf(aAction.server)) {
    port->Fence(aAction, mSelf, done);
  } else {
    done(ServerReply::NoAnswer(aAction.number));
  }
}

void CellRunner::OnFenced(const std::string& aServer, const ServerReply& aReply)
{
  Dispatch([&](Instant aNow) {
    const auto it = mServers.find(aServer);
    const bool accepted = aReply.outcome == CallOutcome::kAccepted;
    if (accepted && it != mServers.end() && it->second.incarnation != aReply.incarnation) {
      it->second.incarnation = aReply.incarnation;
      it->second.gate->BeginSlowStart();
    }
    mMachine.OnFenced(aNow, aServer, aReply);
    UpdateLeavingState(aNow, aServer, aReply);
  });
}

void CellRunner::ExecuteGrant(const GrantServer& aAction)
{
  mServices.metrics.Count("server_renewals_total");
  const auto done = [self = shared_from_this(), server = aAction.server](
                      const ServerReply& aReply) { self->OnGranted(server, aReply); };
  if (const auto port = PortOf(aAction.server)) {
    port->Grant(aAction, done);
  } else {
    done(ServerReply::NoAnswer(aAction.number));
  }
}

void CellRunner::OnGranted(const std::string& aServer, const ServerReply& aReply)
{
  Dispatch([&](Instant aNow) {
    mMachine.OnGranted(aNow, aServer, aReply);
    UpdateLeavingState(aNow, aServer, aReply);
  });
}

void CellRunner::Log(const ReportCellEvent& aNote)
{
  const std::string event(NameOf(kCellEventNames, aNote.event));
  mServices.metrics.Count("cell_events_total{event=\"" + event + "\"}");
  mServices.log.Write(EventIdOf(aNote.event),
                      "cell=" + mCell + " shard=" + std::to_string(aNote.shard) +
                        " server=" + aNote.server + " epoch=" + std::to_string(aNote.epoch));
}

std::shared_ptr<ServerPort> CellRunner::PortOf(const std::string& aServer) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mServers.find(aServer);
  return it == mServers.end() ? nullptr : it->second.port;
}

// --- Placement ------------------------------------------------------------------------------

void CellRunner::UpdateReferenceLatencies()
{
  Duration reference = Duration::zero();
  for (const auto& [id, server] : mServers) {
    const Duration latency = server.gate->UsualLatency();
    const bool warm = !server.gate->IsCold() && latency.count() > 0;
    if (warm && (reference.count() == 0 || latency < reference)) {
      reference = latency;
    }
  }
  for (auto& [id, server] : mServers) {
    server.gate->SetWarmLatency(reference);
    if (server.gate->IsCold() != server.loggedCold) {
      server.loggedCold = server.gate->IsCold();
      mServices.log.Write(server.loggedCold ? EventId::kServerCold : EventId::kServerWarm,
                          "cell=" + mCell + " server=" + id +
                            " allowed=" + std::to_string(server.gate->ConcurrencyLimit()));
    }
  }
}

std::vector<ServerSample> CellRunner::TakeServerSamples()
{
  std::vector<ServerSample> samples;
  for (auto& [id, server] : mServers) {
    ServerSample sample;
    sample.id = id;
    sample.draining = server.draining || server.leaving;
    sample.accepting = mMachine.IsUsable(id) && !sample.draining && !mDomainOutSince;
    sample.orders = server.answeredOrders;
    if (server.answeredOrders > 0) {
      sample.latency = std::chrono::duration<double>(server.busyTime).count() /
                       static_cast<double>(server.answeredOrders);
    }
    server.busyTime = Duration::zero();
    server.answeredOrders = 0;
    samples.push_back(std::move(sample));
  }
  return samples;
}

std::vector<ShardSample> CellRunner::TakeShardSamples(const std::vector<ServerSample>& aServers)
{
  std::map<std::string, std::size_t> index;
  for (std::size_t n = 0; n < aServers.size(); ++n) {
    index[aServers[n].id] = n;
  }
  std::vector<ShardSample> samples;
  for (const auto& [shard, record] : mMachine.LastKnownObject().shards) {
    const auto owner = mMachine.OwnerOf(shard);
    const auto it = owner ? index.find(owner->owner) : index.end();
    if (it == index.end() || mMachine.PhaseOf(shard) != ShardPhase::kServing) {
      continue;
    }
    const auto busy = mBusySeconds.find(shard);
    samples.push_back({ shard, it->second, busy == mBusySeconds.end() ? 0.0 : busy->second });
  }
  mBusySeconds.clear();
  return samples;
}

void CellRunner::Plan(Instant aNow, const std::vector<CellLoad>& aCells)
{
  Dispatch([&](Instant) {
    if (mMachine.Role() != CellRole::kAttached) {
      return;
    }
    UpdateReferenceLatencies();
    BeginMoves(aNow);
    BeginTransfers(aNow, aCells);
  });
}

void CellRunner::BeginMoves(Instant aNow)
{
  const std::vector<ServerSample> servers = TakeServerSamples();
  const std::vector<ShardSample> shards = TakeShardSamples(servers);
  mPlanner.SetBudget({ mChurnPercentPerMinute, shards.size() });
  const std::vector<PlannedMove> moves = mPlanner.Plan(aNow, servers, shards);
  for (auto& [id, server] : mServers) {
    const double slowness = mPlanner.SlownessOf(id);
    const bool straggling = slowness >= PlannerRules{}.stragglerSlowness;
    if (straggling != server.loggedStraggling) {
      server.loggedStraggling = straggling;
      mServices.log.Write(straggling ? EventId::kStragglerFound : EventId::kStragglerOver,
                          "cell=" + mCell + " server=" + id +
                            " slowness=" + std::to_string(slowness));
    }
  }
  for (const PlannedMove& it : moves) {
    const std::string& server = servers[it.server].id;
    if (!mMachine.MoveShard(aNow, it.shard, server)) {
      continue;
    }
    mPlanner.OnMoveStarted(aNow, it);
    mMoveReasons[it.shard] = NameOf(kMoveReasonNames, it.reason);
    mServices.log.Write(EventId::kMovePlanned,
                        "cell=" + mCell + " shard=" + std::to_string(it.shard) + " to=" + server +
                          " reason=" + mMoveReasons[it.shard]);
  }
}

void CellRunner::BeginTransfers(Instant aNow, const std::vector<CellLoad>& aCells)
{
  std::vector<CellTransfer> transfers =
    PlanTransfers(mCell, aCells, kMaxTransfersPerRound, kTransferTolerance);
  std::size_t begun = 0;
  std::vector<ShardId> shards;
  for (const auto& [shard, record] : mMachine.LastKnownObject().shards) {
    shards.push_back(shard);
  }
  auto next = shards.begin();
  for (const CellTransfer& it : transfers) {
    std::size_t left = it.shards;
    for (; next != shards.end() && left > 0 && begun < kMaxTransfersPerRound; ++next) {
      if (mMachine.SendShard(aNow, *next, it.toCell)) {
        mMoveReasons[*next] = mDomainOutSince ? "domain-out" : "cell-imbalance";
        --left;
        ++begun;
      }
    }
  }
}

// --- Views ----------------------------------------------------------------------------------

CellRole CellRunner::Role() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Role();
}

std::vector<DaemonRef> CellRunner::DaemonsToConfirmStopped() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.DaemonsToConfirmStopped();
}

CellView CellRunner::View() const
{
  const std::lock_guard lock(mMutex);
  CellView view;
  view.name = mCell;
  view.role = mMachine.Role();
  view.token = mMachine.Token();
  view.attached = mMachine.LastKnownObject().attached;
  view.shards = mMachine.LastKnownObject().shards.size();
  view.unserved = mMachine.UnservedCount();
  view.held = mHeldOrders.size();
  for (const auto& [id, server] : mServers) {
    view.servers.push_back({ id,
                             mMachine.IsUsable(id),
                             server.gate->IsCold(),
                             server.gate->Running(),
                             server.gate->Waiting(),
                             server.gate->ConcurrencyLimit(),
                             server.gate->UsualLatency(),
                             mPlanner.SlownessOf(id) });
  }
  return view;
}

std::vector<ShardEvent> CellRunner::History(ShardId aShard) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mHistory.find(aShard);
  if (it == mHistory.end()) {
    return {};
  }
  return { it->second.begin(), it->second.end() };
}

std::optional<ShardRecord> CellRunner::OwnerOf(ShardId aShard) const
{
  const std::lock_guard lock(mMutex);
  return mMachine.OwnerOf(aShard);
}

std::optional<ShardPhase> CellRunner::PhaseOf(ShardId aShard) const
{
  const std::lock_guard lock(mMutex);
  return mMachine.PhaseOf(aShard);
}

} // namespace hawthornlug
