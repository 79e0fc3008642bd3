#include "tests/support/cluster_simulation.h"

#include <algorithm>
#include <sstream>

namespace hawthornlug::testing {

namespace {

/// Timeout of control calls and of calls to the platform.
constexpr Duration kCallTimeout = milliseconds(400);
/// Timeout of an order; a server does not start it later.
constexpr Duration kOrderTimeout = milliseconds(500);

std::string DescribeAction(const CellAction& aAction)
{
  std::ostringstream buf;
  if (const auto* fence = std::get_if<FenceServer>(&aAction)) {
    buf << "fence " << fence->server << " token " << fence->token;
  } else if (const auto* grant = std::get_if<GrantServer>(&aAction)) {
    buf << "grant " << grant->server;
    for (const auto& [shard, epoch] : grant->add) {
      buf << " +" << shard << "@" << epoch;
    }
    for (const ShardId it : grant->remove) {
      buf << " -" << it;
    }
  } else if (const auto* write = std::get_if<WriteCell>(&aAction)) {
    buf << "write v" << write->expected << " token " << write->object.token << " by "
        << write->object.attached.id;
    for (const auto& [shard, record] : write->object.shards) {
      buf << " " << shard << "=" << record.owner << "@" << record.epoch << "/" << record.standby;
    }
    for (const auto& [shard, departure] : write->object.departures) {
      buf << " out " << shard << "@" << departure.epoch << ">" << departure.toCell;
    }
  } else if (std::holds_alternative<ReadCell>(aAction)) {
    buf << "read";
  } else if (const auto* other = std::get_if<ReadOtherCell>(&aAction)) {
    buf << "read " << other->cell;
  }
  return buf.str();
}

/// Whether the action only renews a lease. Such renewals are frequent and are left out of the
/// transcript to keep it readable.
bool IsLeaseRenewal(const CellAction& aAction)
{
  const auto* grant = std::get_if<GrantServer>(&aAction);
  return grant != nullptr && grant->add.empty() && grant->remove.empty();
}

} // namespace

ClusterSimulation::ClusterSimulation(const ClusterShape& aShape)
  : mShape(aShape)
{
  std::int64_t n = 0;
  for (const auto& [cell, servers] : aShape.cells) {
    for (const std::string& it : servers) {
      SimulatedServer server;
      server.id = it;
      server.checked = aShape.unchecked.count(it) == 0;
      // The clocks run at different rates, within the drift that the timings allow for.
      server.clockRatePerMille = 998 + 2 * (n % 3);
      server.clockOffset = 1000000 * ++n;
      mServers[it] = server;
    }
  }
  for (const std::string& it : aShape.daemons) {
    SimulatedDaemon daemon;
    daemon.id = it;
    for (const auto& [cell, servers] : aShape.cells) {
      daemon.machines.emplace(cell, MakeMachine(cell, daemon.Ref()));
    }
    mDaemons.emplace(it, std::move(daemon));
  }
}

CellMachine ClusterSimulation::MakeMachine(const std::string& aCell, const DaemonRef& aSelf) const
{
  CellMachine machine(aCell, aSelf, mShape.timings);
  std::vector<CellServerSpec> specs;
  for (const std::string& it : mShape.cells.at(aCell)) {
    specs.push_back({ it, mShape.unchecked.count(it) == 0, true });
  }
  machine.SetServers(mNow, specs);
  const auto shards = mShape.shards.find(aCell);
  if (shards != mShape.shards.end()) {
    machine.SetInitialShards(shards->second);
  }
  return machine;
}

void ClusterSimulation::Log(const std::string& aLine)
{
  if (!mTranscriptDisabled) {
    std::ostringstream buf;
    buf << (mNow.time_since_epoch() - seconds(100)).count() / 1000 << " ms  " << aLine;
    mTranscript.push_back(buf.str());
  }
}

CellMachine& ClusterSimulation::MachineOf(const std::string& aDaemon, const std::string& aCell)
{
  return mDaemons.at(aDaemon).machines.at(aCell);
}

void ClusterSimulation::DispatchActions(const std::string& aDaemon)
{
  SimulatedDaemon& daemon = mDaemons.at(aDaemon);
  for (auto& [cell, machine] : daemon.machines) {
    for (CellAction& it : machine.TakeActions()) {
      if (const auto* note = std::get_if<ReportCellEvent>(&it)) {
        std::ostringstream buf;
        buf << aDaemon << ": " << NameOf(kCellEventNames, note->event) << " " << note->shard << " "
            << note->server << " @" << note->epoch;
        Log(buf.str());
        continue;
      }
      Message message;
      message.number = ++mLastMessageNumber;
      message.daemon = aDaemon;
      message.cell = cell;
      message.sentAt = mNow;
      if (const auto* fence = std::get_if<FenceServer>(&it)) {
        message.server = fence->server;
      } else if (const auto* grant = std::get_if<GrantServer>(&it)) {
        message.server = grant->server;
      }
      if (!IsLeaseRenewal(it)) {
        Log(aDaemon + " -> " + DescribeAction(it));
      }
      message.action = std::move(it);
      mMessages.push_back(std::move(message));
    }
  }
  CheckInvariants();
}

void ClusterSimulation::Advance(Duration aBy)
{
  mNow += aBy;
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, order] : mOrders) {
    if (!order.finished && order.outcome == OrderOutcome::kUnknown && mNow >= order.deadline) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t it : overdue) {
    FinishOrder(it, OrderOutcome::kUnknown);
  }
  for (auto& [id, daemon] : mDaemons) {
    if (!daemon.alive || daemon.paused) {
      continue;
    }
    for (auto& [cell, machine] : daemon.machines) {
      machine.OnTick(mNow);
    }
    DispatchActions(id);
  }
  CheckInvariants();
}

void ClusterSimulation::TakeOver(const std::string& aDaemon, const std::string& aCell)
{
  Log("* " + aDaemon + " takes over " + aCell);
  MachineOf(aDaemon, aCell).TakeOver(mNow);
  DispatchActions(aDaemon);
}

void ClusterSimulation::HandOver(const std::string& aDaemon,
                                 const std::string& aCell,
                                 const std::string& aTo)
{
  Log("* " + aDaemon + " hands over " + aCell + " to " + aTo);
  MachineOf(aDaemon, aCell).HandOver(mNow, mDaemons.at(aTo).Ref());
  DispatchActions(aDaemon);
}

bool ClusterSimulation::MoveShard(const std::string& aDaemon,
                                  const std::string& aCell,
                                  ShardId aShard,
                                  const std::string& aServer)
{
  const bool started = MachineOf(aDaemon, aCell).MoveShard(mNow, aShard, aServer);
  if (started) {
    Log("* " + aDaemon + " moves shard " + std::to_string(aShard) + " to " + aServer);
  }
  DispatchActions(aDaemon);
  return started;
}

bool ClusterSimulation::SendShard(const std::string& aDaemon,
                                  const std::string& aCell,
                                  ShardId aShard,
                                  const std::string& aToCell)
{
  const bool started = MachineOf(aDaemon, aCell).SendShard(mNow, aShard, aToCell);
  if (started) {
    Log("* " + aDaemon + " sends shard " + std::to_string(aShard) + " to " + aToCell);
  }
  DispatchActions(aDaemon);
  return started;
}

ServerInstant ClusterSimulation::ServerClock(const SimulatedServer& aServer) const
{
  return aServer.clockOffset + mNow.time_since_epoch().count() * aServer.clockRatePerMille / 1000;
}

bool ClusterSimulation::CanReachServer(const Message& aMessage) const
{
  return mServerPartitions.count({ aMessage.daemon, aMessage.server }) == 0;
}

bool ClusterSimulation::IsDeliverable(const Message& aMessage) const
{
  if (mHeldMessages.count(aMessage.number) != 0) {
    return false;
  }
  if (aMessage.isAnswer) {
    const SimulatedDaemon& daemon = mDaemons.at(aMessage.daemon);
    return daemon.alive && !daemon.paused;
  }
  if (aMessage.server.empty()) {
    return mPlatformUp && mPlatformPartitions.count(aMessage.daemon) == 0;
  }
  const SimulatedServer& server = mServers.at(aMessage.server);
  return server.alive && !server.frozen && CanReachServer(aMessage);
}

void ClusterSimulation::Deliver(std::uint64_t aNumber)
{
  const auto it = std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
    return aMessage.number == aNumber;
  });
  if (it == mMessages.end() || !IsDeliverable(*it)) {
    return;
  }
  if (!it->isAnswer) {
    it->isAnswer = true;
    if (it->server.empty()) {
      ProcessAtPlatform(*it);
    } else {
      ProcessAtServer(*it);
    }
    CheckInvariants();
    if (it->abandoned) {
      mMessages.erase(it);
    }
    return;
  }
  const Message message = *it;
  mMessages.erase(it);
  DeliverAnswer(message);
}

void ClusterSimulation::ReleaseMessage(std::uint64_t aNumber)
{
  Log("* the held message arrives");
  mHeldMessages.erase(aNumber);
  Deliver(aNumber);
}

void ClusterSimulation::ProcessAtPlatform(Message& aMessage)
{
  const std::string name = std::holds_alternative<ReadOtherCell>(aMessage.action)
                             ? std::get<ReadOtherCell>(aMessage.action).cell
                             : aMessage.cell;
  StoredObject& stored = mObjects[name];
  if (const auto* write = std::get_if<WriteCell>(&aMessage.action)) {
    if (stored.version != write->expected) {
      aMessage.writeOutcome = WriteOutcome::kConflict;
      Log("platform: write conflict for " + aMessage.daemon);
      return;
    }
    stored.version = ++mRevision;
    stored.object = write->object;
    aMessage.writeOutcome = WriteOutcome::kWritten;
    aMessage.version = stored.version;
    return;
  }
  aMessage.version = stored.version;
  if (stored.version != 0) {
    aMessage.object = stored.object;
  }
}

void ClusterSimulation::ProcessAtServer(Message& aMessage)
{
  SimulatedServer& server = mServers.at(aMessage.server);
  if (aMessage.orderId) {
    ProcessOrder(aMessage, server);
    return;
  }
  ServerReply& reply = aMessage.reply;
  reply.reading = ServerClock(server);
  reply.incarnation = server.incarnation;
  if (const auto* fence = std::get_if<FenceServer>(&aMessage.action)) {
    reply.number = fence->number;
    const std::pair call{ fence->token, fence->number };
    reply.outcome = CallOutcome::kAccepted;
    if (!server.checked) {
      return;
    }
    if (call <= server.lastAcceptedCall) {
      reply.outcome = CallOutcome::kSuperseded;
      return;
    }
    server.lastAcceptedCall = call;
    reply.grants = server.highestEpochs;
    server.grants.clear();
    server.leaseExpiry = 0;
    return;
  }
  const auto& grant = std::get<GrantServer>(aMessage.action);
  reply.number = grant.number;
  if (grant.incarnation != server.incarnation) {
    reply.outcome = CallOutcome::kRestarted;
    return;
  }
  const std::pair call{ grant.token, grant.number };
  reply.outcome = CallOutcome::kAccepted;
  if (!server.checked) {
    return;
  }
  if (call <= server.lastAcceptedCall || grant.token != server.lastAcceptedCall.first) {
    reply.outcome = CallOutcome::kSuperseded;
    return;
  }
  server.lastAcceptedCall = call;
  server.leaseExpiry = grant.until;
  for (const ShardId it : grant.remove) {
    server.grants.erase(it);
  }
  for (const auto& [shard, epoch] : grant.add) {
    server.grants[shard] = epoch;
    Epoch& highest = server.highestEpochs[shard];
    highest = std::max(highest, epoch);
  }
}

void ClusterSimulation::ProcessOrder(Message& aMessage, SimulatedServer& aServer)
{
  const SimulatedOrder& order = mOrders.at(*aMessage.orderId);
  const Admission& admission = order.admission;
  bool accepted = ServerClock(aServer) <= order.serverDeadline;
  if (aServer.checked) {
    const auto grant = aServer.grants.find(order.shard);
    accepted = accepted && admission.incarnation == aServer.incarnation &&
               admission.token == aServer.lastAcceptedCall.first &&
               ServerClock(aServer) < aServer.leaseExpiry && grant != aServer.grants.end() &&
               grant->second == admission.epoch;
  }
  aMessage.orderOutcome = accepted ? OrderOutcome::kDone : OrderOutcome::kNotRun;
  if (accepted) {
    mExecutions.push_back({ order.id, aServer.id, order.shard, admission.epoch });
    Log(aServer.id + " executes order " + std::to_string(order.id) + " of shard " +
        std::to_string(order.shard) + " @" + std::to_string(admission.epoch));
  }
}

void ClusterSimulation::DeliverAnswer(const Message& aMessage)
{
  if (aMessage.failed) {
    ReportFailure(aMessage);
    return;
  }
  if (aMessage.orderId) {
    FinishOrder(*aMessage.orderId, aMessage.orderOutcome);
    return;
  }
  CellMachine& machine = MachineOf(aMessage.daemon, aMessage.cell);
  if (const auto* fence = std::get_if<FenceServer>(&aMessage.action)) {
    machine.OnFenced(mNow, fence->server, aMessage.reply);
  } else if (const auto* grant = std::get_if<GrantServer>(&aMessage.action)) {
    machine.OnGranted(mNow, grant->server, aMessage.reply);
  } else if (const auto* write = std::get_if<WriteCell>(&aMessage.action)) {
    machine.OnWritten(mNow, write->id, aMessage.writeOutcome, aMessage.version);
  } else if (std::holds_alternative<ReadCell>(aMessage.action)) {
    machine.OnObject(mNow, aMessage.version, aMessage.object);
  } else if (const auto* other = std::get_if<ReadOtherCell>(&aMessage.action)) {
    if (aMessage.object) {
      machine.OnOtherCellRead(mNow, other->cell, other->ownVersion, *aMessage.object);
    } else {
      machine.OnOtherCellReadFailed(other->cell);
    }
  }
  DispatchActions(aMessage.daemon);
}

void ClusterSimulation::TimeOutMessage(std::uint64_t aNumber, bool aDropped)
{
  const auto it = std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
    return aMessage.number == aNumber;
  });
  if (it == mMessages.end() || it->abandoned || it->failed) {
    return;
  }
  Message message = *it;
  // A request that certainly did not arrive is distinguished from one that may be processed later.
  message.neverArrived = aDropped && !message.isAnswer;
  message.failed = true;
  const SimulatedDaemon& daemon = mDaemons.at(message.daemon);
  it->abandoned = true;
  if (aDropped || it->isAnswer) {
    mMessages.erase(it);
  }
  if (!daemon.alive) {
    return;
  }
  if (daemon.paused) {
    // A paused daemon is notified of the failure when it resumes.
    message.number = ++mLastMessageNumber;
    message.isAnswer = true;
    mMessages.push_back(std::move(message));
    return;
  }
  ReportFailure(message);
}

void ClusterSimulation::ReportFailure(Message aMessage)
{
  aMessage.reply = {};
  aMessage.reply.outcome = CallOutcome::kNoAnswer;
  if (aMessage.orderId) {
    FinishOrder(*aMessage.orderId,
                aMessage.neverArrived ? OrderOutcome::kNotRun : OrderOutcome::kUnknown);
    return;
  }
  CellMachine& machine = MachineOf(aMessage.daemon, aMessage.cell);
  if (const auto* fence = std::get_if<FenceServer>(&aMessage.action)) {
    aMessage.reply.number = fence->number;
    machine.OnFenced(mNow, fence->server, aMessage.reply);
  } else if (const auto* grant = std::get_if<GrantServer>(&aMessage.action)) {
    aMessage.reply.number = grant->number;
    machine.OnGranted(mNow, grant->server, aMessage.reply);
  } else if (const auto* write = std::get_if<WriteCell>(&aMessage.action)) {
    machine.OnWritten(mNow,
                      write->id,
                      aMessage.neverArrived ? WriteOutcome::kNotWritten : WriteOutcome::kUnknown,
                      0);
  } else if (std::holds_alternative<ReadCell>(aMessage.action)) {
    machine.OnCellReadFailed(mNow);
  } else if (const auto* other = std::get_if<ReadOtherCell>(&aMessage.action)) {
    machine.OnOtherCellReadFailed(other->cell);
  }
  DispatchActions(aMessage.daemon);
}

std::optional<std::uint64_t> ClusterSimulation::SubmitOrder(const std::string& aDaemon,
                                                            const std::string& aCell,
                                                            ShardId aShard)
{
  CellMachine& machine = MachineOf(aDaemon, aCell);
  const Admission admission = machine.Admit(mNow, aShard);
  if (admission.kind != AdmissionKind::kServe) {
    return std::nullopt;
  }
  SimulatedOrder order;
  order.id = ++mLastOrderId;
  order.daemon = aDaemon;
  order.cell = aCell;
  order.shard = aShard;
  order.admission = admission;
  order.deadline = mNow + kOrderTimeout;
  order.serverDeadline = admission.reading + (order.deadline - admission.clockReadAt).count();
  machine.OrderStarted(aShard);
  Message message;
  message.number = ++mLastMessageNumber;
  message.daemon = aDaemon;
  message.cell = aCell;
  message.server = admission.server;
  message.orderId = order.id;
  message.sentAt = mNow;
  mMessages.push_back(message);
  mOrders.emplace(order.id, order);
  Log(aDaemon + " -> order " + std::to_string(order.id) + " to " + admission.server);
  return order.id;
}

void ClusterSimulation::FinishOrder(std::uint64_t aOrderId, OrderOutcome aOutcome)
{
  SimulatedOrder& order = mOrders.at(aOrderId);
  if (order.finished) {
    return;
  }
  order.outcome = aOutcome;
  const bool mayStillStart =
    aOutcome == OrderOutcome::kUnknown && !mServers.at(order.admission.server).checked;
  if (mayStillStart && mNow < order.deadline) {
    return;
  }
  order.finished = true;
  Log("order " + std::to_string(aOrderId) + ": outcome " +
      std::string(NameOf(kOrderOutcomeNames, aOutcome)));
  SimulatedDaemon& daemon = mDaemons.at(order.daemon);
  if (daemon.alive) {
    daemon.machines.at(order.cell).OrderFinished(mNow, order.shard);
    DispatchActions(order.daemon);
  }
}

void ClusterSimulation::KillDaemon(const std::string& aDaemon)
{
  SimulatedDaemon& daemon = mDaemons.at(aDaemon);
  Log("* " + aDaemon + " is killed");
  daemon.alive = false;
  daemon.paused = false;
  mStoppedDaemons.insert(daemon.Ref());
  for (Message& it : mMessages) {
    it.abandoned = it.abandoned || it.daemon == aDaemon;
  }
  std::erase_if(mMessages, [&](const Message& aMessage) {
    return aMessage.daemon == aDaemon && aMessage.isAnswer;
  });
  for (auto& [id, order] : mOrders) {
    if (order.daemon == aDaemon && !order.finished) {
      order.finished = true;
      order.outcome = OrderOutcome::kUnknown;
    }
  }
  CheckInvariants();
}

void ClusterSimulation::RestartDaemon(const std::string& aDaemon)
{
  SimulatedDaemon& daemon = mDaemons.at(aDaemon);
  if (daemon.alive) {
    KillDaemon(aDaemon);
  }
  Log("* " + aDaemon + " restarts");
  daemon.alive = true;
  ++daemon.incarnation;
  for (auto& [cell, machine] : daemon.machines) {
    machine = MakeMachine(cell, daemon.Ref());
  }
}

void ClusterSimulation::SetDaemonPaused(const std::string& aDaemon, bool aPaused)
{
  Log("* " + aDaemon + (aPaused ? " is paused" : " resumes"));
  mDaemons.at(aDaemon).paused = aPaused;
}

void ClusterSimulation::KillServer(const std::string& aServer)
{
  SimulatedServer& server = mServers.at(aServer);
  Log("* " + aServer + " is killed");
  server.alive = false;
  server.frozen = false;
  server.grants.clear();
  server.highestEpochs.clear();
  server.leaseExpiry = 0;
  server.lastAcceptedCall = {};
  // Messages that it has not processed are lost with its sockets.
  std::vector<std::uint64_t> dropped;
  for (const Message& it : mMessages) {
    if (it.server == aServer && !it.isAnswer) {
      dropped.push_back(it.number);
    }
  }
  for (const std::uint64_t it : dropped) {
    TimeOutMessage(it, false);
  }
  std::erase_if(mMessages, [&](const Message& aMessage) {
    return aMessage.server == aServer && !aMessage.isAnswer;
  });
}

void ClusterSimulation::RestartServer(const std::string& aServer)
{
  SimulatedServer& server = mServers.at(aServer);
  if (server.alive) {
    KillServer(aServer);
  }
  Log("* " + aServer + " restarts");
  server.alive = true;
  ++server.incarnation;
}

void ClusterSimulation::SetServerFrozen(const std::string& aServer, bool aFrozen)
{
  Log("* " + aServer + (aFrozen ? " freezes" : " resumes"));
  mServers.at(aServer).frozen = aFrozen;
}

void ClusterSimulation::SetPlatformUp(bool aUp)
{
  Log(aUp ? "* the platform is up" : "* the platform is down");
  mPlatformUp = aUp;
}

void ClusterSimulation::SetServerPartitioned(const std::string& aDaemon,
                                             const std::string& aServer,
                                             bool aPartitioned)
{
  Log("* " + aDaemon + (aPartitioned ? " is partitioned from " : " is reconnected to ") + aServer);
  if (aPartitioned) {
    mServerPartitions.insert({ aDaemon, aServer });
  } else {
    mServerPartitions.erase({ aDaemon, aServer });
  }
}

void ClusterSimulation::SetPlatformPartitioned(const std::string& aDaemon, bool aPartitioned)
{
  Log("* " + aDaemon +
      (aPartitioned ? " is partitioned from the platform" : " is reconnected to the platform"));
  if (aPartitioned) {
    mPlatformPartitions.insert(aDaemon);
  } else {
    mPlatformPartitions.erase(aDaemon);
  }
}

std::vector<DaemonRef> ClusterSimulation::StoppedDaemons() const
{
  return { mStoppedDaemons.begin(), mStoppedDaemons.end() };
}

bool ClusterSimulation::ConfirmDaemonStopped(const std::string& aTo, const DaemonRef& aStopped)
{
  const SimulatedDaemon& daemon = mDaemons.at(aTo);
  if (mStoppedDaemons.count(aStopped) == 0 || !daemon.alive || daemon.paused) {
    return false;
  }
  for (auto& [cell, machine] : mDaemons.at(aTo).machines) {
    machine.OnDaemonStopped(mNow, aStopped);
  }
  DispatchActions(aTo);
  return true;
}

void ClusterSimulation::SendCachedObjects(const std::string& aDaemon)
{
  SimulatedDaemon& daemon = mDaemons.at(aDaemon);
  if (!daemon.alive || daemon.paused || mPlatformPartitions.count(aDaemon) != 0) {
    return;
  }
  for (auto& [cell, machine] : daemon.machines) {
    for (const auto& [name, object] : mObjects) {
      if (object.version == 0) {
        continue;
      }
      if (name == cell) {
        machine.OnCachedObject(mNow, object.version, object.object);
      } else {
        machine.OnOtherCachedObject(mNow, name, object.object);
      }
    }
  }
  DispatchActions(aDaemon);
}

void ClusterSimulation::DeliverAll()
{
  // Each delivery may cause further messages; the limit ends an endless exchange of messages.
  for (int round = 0; round < 1000; ++round) {
    // A message whose sender has timed out arrives only when the test delivers it itself.
    const auto it = std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
      return IsDeliverable(aMessage) && !aMessage.abandoned;
    });
    if (it == mMessages.end()) {
      return;
    }
    Deliver(it->number);
  }
}

void ClusterSimulation::RunFor(Duration aDuration, Duration aStep)
{
  const Instant end = mNow + aDuration;
  while (mNow < end) {
    Advance(aStep);
    DeliverAll();
    std::vector<std::uint64_t> overdue;
    for (const Message& it : mMessages) {
      const Duration timeout = it.orderId ? kOrderTimeout : kCallTimeout;
      const bool held = mHeldMessages.count(it.number) != 0;
      if (!it.abandoned && !held && mNow - it.sentAt >= timeout) {
        overdue.push_back(it.number);
      }
    }
    for (const std::uint64_t it : overdue) {
      // A platform that is down or partitioned refuses calls: the sender knows that nothing was
      // written.
      const auto message =
        std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
          return aMessage.number == it;
        });
      const bool refused = message != mMessages.end() && message->server.empty();
      TimeOutMessage(it, refused);
    }
    for (const auto& [id, daemon] : mDaemons) {
      if (mPlatformUp) {
        SendCachedObjects(id);
      }
    }
    DeliverAll();
  }
}

bool ClusterSimulation::HasLiveGrant(const std::string& aServer, ShardId aShard) const
{
  const SimulatedServer& server = mServers.at(aServer);
  return server.alive && ServerClock(server) < server.leaseExpiry &&
         server.grants.count(aShard) != 0;
}

std::size_t ClusterSimulation::CountServedShards() const
{
  std::set<ShardId> served;
  for (const auto& [id, daemon] : mDaemons) {
    for (const auto& [cell, machine] : daemon.machines) {
      for (const auto& [shard, record] : machine.LastKnownObject().shards) {
        const bool serves =
          daemon.alive && machine.Admit(mNow, shard).kind == AdmissionKind::kServe;
        if (serves) {
          served.insert(shard);
        }
      }
    }
  }
  return served.size();
}

void ClusterSimulation::CheckInvariants()
{
  if (!mViolation.empty()) {
    return;
  }
  std::map<ShardId, std::string> owners;
  const auto checkEpoch = [&](ShardId aShard, Epoch aEpoch, const std::string& aServer) {
    const auto [it, inserted] = mEpochOwners.try_emplace({ aShard, aEpoch }, aServer);
    if (!inserted && it->second != aServer) {
      mViolation = "two servers share epoch " + std::to_string(aEpoch) + " of shard " +
                   std::to_string(aShard) + ": " + it->second + " and " + aServer;
    }
    Epoch& highest = mHighestEpochs[aShard];
    if (aEpoch < highest) {
      mViolation = "epoch of shard " + std::to_string(aShard) + " falls from " +
                   std::to_string(highest) + " to " + std::to_string(aEpoch) + " at " + aServer;
    }
    highest = std::max(highest, aEpoch);
  };
  for (const auto& [id, server] : mServers) {
    for (const auto& [shard, epoch] : server.grants) {
      if (!HasLiveGrant(id, shard)) {
        continue;
      }
      const auto [it, inserted] = owners.emplace(shard, id);
      if (!inserted) {
        mViolation =
          "shard " + std::to_string(shard) + " has two live grants: " + it->second + " and " + id;
        return;
      }
      checkEpoch(shard, epoch, id);
    }
  }
  std::set<std::uint64_t> executed;
  for (const OrderExecution& it : mExecutions) {
    if (!executed.insert(it.orderId).second) {
      mViolation = "order " + std::to_string(it.orderId) + " was executed twice";
    }
    if (mOrders.at(it.orderId).finished &&
        mOrders.at(it.orderId).outcome == OrderOutcome::kNotRun) {
      mViolation =
        "order " + std::to_string(it.orderId) + " was reported as not run but was executed";
    }
  }
  // Executions are checked in their order, each against the epochs seen before it.
  for (; mCheckedExecutions < mExecutions.size() && mViolation.empty(); ++mCheckedExecutions) {
    const OrderExecution& execution = mExecutions[mCheckedExecutions];
    checkEpoch(execution.shard, execution.epoch, execution.server);
  }
  if (!mViolation.empty()) {
    Log("VIOLATION: " + mViolation);
  }
}

std::string ClusterSimulation::Describe() const
{
  std::ostringstream buf;
  for (const auto& [id, daemon] : mDaemons) {
    buf << id << daemon.incarnation << daemon.alive << daemon.paused;
    if (!daemon.alive) {
      continue;
    }
    for (const auto& [cell, machine] : daemon.machines) {
      buf << machine.Describe(mNow);
    }
  }
  for (const auto& [id, server] : mServers) {
    const std::int64_t leaseLeft =
      std::max<std::int64_t>(server.leaseExpiry - ServerClock(server), 0);
    buf << id << server.alive << server.frozen << server.incarnation << "."
        << server.lastAcceptedCall.first << "." << server.lastAcceptedCall.second << "l"
        << leaseLeft;
    for (const auto& [shard, epoch] : server.grants) {
      buf << "g" << shard << "." << epoch;
    }
    for (const auto& [shard, epoch] : server.highestEpochs) {
      buf << "H" << shard << "." << epoch;
    }
  }
  for (const auto& [name, object] : mObjects) {
    buf << name << object.version << EncodeCell(object.object);
  }
  buf << mPlatformUp;
  for (const Message& it : mMessages) {
    buf << "m" << it.daemon << it.server << DescribeAction(it.action) << it.isAnswer << it.abandoned
        << static_cast<int>(it.reply.outcome) << static_cast<int>(it.writeOutcome) << it.version
        << (mNow - it.sentAt).count();
    if (const auto* grant = std::get_if<GrantServer>(&it.action)) {
      buf << "t" << grant->token << "n" << grant->number << "i" << grant->incarnation << "u"
          << std::max<std::int64_t>(grant->until - ServerClock(mServers.at(it.server)), 0);
    }
  }
  for (const auto& [shard, epoch] : mHighestEpochs) {
    buf << "h" << shard << "." << epoch;
  }
  for (const auto& [daemon, server] : mServerPartitions) {
    buf << "c" << daemon << server;
  }
  return buf.str();
}

} // namespace hawthornlug::testing
