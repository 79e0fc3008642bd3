#include "tests/support/world.h"

#include <algorithm>
#include <sstream>

namespace hawthornlug::testing {

namespace {

/// How long a daemon waits for an answer to a control call.
constexpr Duration kCallTimeout = milliseconds(400);
constexpr Duration kOrderTime = milliseconds(500);

std::string NameOfAction(const CellAction& aAction)
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
      buf << " " << shard << "=" << record.owner << "@" << record.epoch << "/" << record.heir;
    }
    for (const auto& [shard, out] : write->object.outs) {
      buf << " out " << shard << "@" << out.epoch << ">" << out.toCell;
    }
  } else if (std::holds_alternative<ReadCell>(aAction)) {
    buf << "read";
  } else if (const auto* other = std::get_if<ReadOtherCell>(&aAction)) {
    buf << "read " << other->cell;
  }
  return buf.str();
}

/// Renewals without changes happen all the time and would drown the transcript.
bool IsRoutine(const CellAction& aAction)
{
  const auto* grant = std::get_if<GrantServer>(&aAction);
  return grant != nullptr && grant->add.empty() && grant->remove.empty();
}

} // namespace

World::World(const WorldShape& aShape)
  : mShape(aShape)
{
  std::int64_t n = 0;
  for (const auto& [cell, servers] : aShape.cells) {
    for (const std::string& it : servers) {
      FakeServer server;
      server.id = it;
      server.checked = aShape.unchecked.count(it) == 0;
      // Clocks differ in rate, within the drift that the timings allow for.
      server.ratePerMille = 998 + 2 * (n % 3);
      server.zero = 1000000 * ++n;
      mServers[it] = server;
    }
  }
  for (const std::string& it : aShape.daemons) {
    FakeDaemon daemon;
    daemon.id = it;
    for (const auto& [cell, servers] : aShape.cells) {
      daemon.machines.emplace(cell, MakeMachine(cell, daemon.Ref()));
    }
    mDaemons.emplace(it, std::move(daemon));
  }
}

CellMachine World::MakeMachine(const std::string& aCell, const DaemonRef& aSelf) const
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

void World::Say(const std::string& aLine)
{
  if (!mQuiet) {
    std::ostringstream buf;
    buf << (mNow.time_since_epoch() - seconds(100)).count() / 1000 << " ms  " << aLine;
    mTranscript.push_back(buf.str());
  }
}

CellMachine& World::MachineOf(const std::string& aDaemon, const std::string& aCell)
{
  return mDaemons.at(aDaemon).machines.at(aCell);
}

void World::Collect(const std::string& aDaemon)
{
  FakeDaemon& daemon = mDaemons.at(aDaemon);
  for (auto& [cell, machine] : daemon.machines) {
    for (CellAction& it : machine.TakeActions()) {
      if (const auto* note = std::get_if<CellNote>(&it)) {
        std::ostringstream buf;
        buf << aDaemon << ": " << NameOf(kCellEventNames, note->event) << " " << note->shard << " "
            << note->server << " @" << note->epoch;
        Say(buf.str());
        continue;
      }
      Message message;
      message.number = ++mNextMessage;
      message.daemon = aDaemon;
      message.cell = cell;
      message.sentAt = mNow;
      if (const auto* fence = std::get_if<FenceServer>(&it)) {
        message.server = fence->server;
      } else if (const auto* grant = std::get_if<GrantServer>(&it)) {
        message.server = grant->server;
      }
      if (!IsRoutine(it)) {
        Say(aDaemon + " -> " + NameOfAction(it));
      }
      message.action = std::move(it);
      mMessages.push_back(std::move(message));
    }
  }
  Check();
}

void World::Advance(Duration aBy)
{
  mNow += aBy;
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, order] : mOrders) {
    if (!order.finished && order.fate == OrderFate::kUnknown && mNow >= order.deadline) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t it : overdue) {
    FinishOrder(it, OrderFate::kUnknown);
  }
  for (auto& [id, daemon] : mDaemons) {
    if (!daemon.alive || daemon.paused) {
      continue;
    }
    for (auto& [cell, machine] : daemon.machines) {
      machine.OnTick(mNow);
    }
    Collect(id);
  }
  Check();
}

void World::TakeOver(const std::string& aDaemon, const std::string& aCell)
{
  Say("* " + aDaemon + " takes " + aCell);
  MachineOf(aDaemon, aCell).TakeOver(mNow);
  Collect(aDaemon);
}

void World::HandOver(const std::string& aDaemon, const std::string& aCell, const std::string& aTo)
{
  Say("* " + aDaemon + " hands " + aCell + " to " + aTo);
  MachineOf(aDaemon, aCell).HandOver(mNow, mDaemons.at(aTo).Ref());
  Collect(aDaemon);
}

bool World::Move(const std::string& aDaemon,
                 const std::string& aCell,
                 ShardId aShard,
                 const std::string& aServer)
{
  const bool begun = MachineOf(aDaemon, aCell).MoveShard(mNow, aShard, aServer);
  if (begun) {
    Say("* " + aDaemon + " moves " + std::to_string(aShard) + " to " + aServer);
  }
  Collect(aDaemon);
  return begun;
}

bool World::Send(const std::string& aDaemon,
                 const std::string& aCell,
                 ShardId aShard,
                 const std::string& aToCell)
{
  const bool begun = MachineOf(aDaemon, aCell).SendShard(mNow, aShard, aToCell);
  if (begun) {
    Say("* " + aDaemon + " sends " + std::to_string(aShard) + " to " + aToCell);
  }
  Collect(aDaemon);
  return begun;
}

ServerInstant World::Clock(const FakeServer& aServer) const
{
  return aServer.zero + mNow.time_since_epoch().count() * aServer.ratePerMille / 1000;
}

bool World::CanReachServer(const Message& aMessage) const
{
  return mCuts.count({ aMessage.daemon, aMessage.server }) == 0;
}

bool World::IsWorkable(const Message& aMessage) const
{
  if (mHeld.count(aMessage.number) != 0) {
    return false;
  }
  if (aMessage.answering) {
    const FakeDaemon& daemon = mDaemons.at(aMessage.daemon);
    return daemon.alive && !daemon.paused;
  }
  if (aMessage.server.empty()) {
    return mPlatformUp && mPlatformCuts.count(aMessage.daemon) == 0;
  }
  const FakeServer& server = mServers.at(aMessage.server);
  return server.alive && !server.frozen && CanReachServer(aMessage);
}

void World::Deliver(std::uint64_t aNumber)
{
  const auto it = std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
    return aMessage.number == aNumber;
  });
  if (it == mMessages.end() || !IsWorkable(*it)) {
    return;
  }
  if (!it->answering) {
    it->answering = true;
    if (it->server.empty()) {
      WorkAtPlatform(*it);
    } else {
      WorkAtServer(*it);
    }
    Check();
    if (it->abandoned) {
      mMessages.erase(it);
    }
    return;
  }
  const Message message = *it;
  mMessages.erase(it);
  BringAnswer(message);
}

void World::Release(std::uint64_t aNumber)
{
  Say("* what was held arrives");
  mHeld.erase(aNumber);
  Deliver(aNumber);
}

void World::WorkAtPlatform(Message& aMessage)
{
  const std::string name = std::holds_alternative<ReadOtherCell>(aMessage.action)
                             ? std::get<ReadOtherCell>(aMessage.action).cell
                             : aMessage.cell;
  FakeObject& object = mObjects[name];
  if (const auto* write = std::get_if<WriteCell>(&aMessage.action)) {
    if (object.version != write->expected) {
      aMessage.written = WriteOutcome::kConflict;
      Say("platform: conflict for " + aMessage.daemon);
      return;
    }
    object.version = ++mRevision;
    object.object = write->object;
    aMessage.written = WriteOutcome::kWritten;
    aMessage.version = object.version;
    return;
  }
  aMessage.version = object.version;
  if (object.version != 0) {
    aMessage.object = object.object;
  }
}

void World::WorkAtServer(Message& aMessage)
{
  FakeServer& server = mServers.at(aMessage.server);
  if (aMessage.order) {
    WorkOnOrder(aMessage, server);
    return;
  }
  ServerReply& reply = aMessage.reply;
  reply.reading = Clock(server);
  reply.incarnation = server.incarnation;
  if (const auto* fence = std::get_if<FenceServer>(&aMessage.action)) {
    reply.number = fence->number;
    const std::pair call{ fence->token, fence->number };
    reply.outcome = CallOutcome::kAccepted;
    if (!server.checked) {
      return;
    }
    if (call <= server.lastCall) {
      reply.outcome = CallOutcome::kSuperseded;
      return;
    }
    server.lastCall = call;
    reply.grants = server.highest;
    server.grants.clear();
    server.leaseUntil = 0;
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
  if (call <= server.lastCall || grant.token != server.lastCall.first) {
    reply.outcome = CallOutcome::kSuperseded;
    return;
  }
  server.lastCall = call;
  server.leaseUntil = grant.until;
  for (const ShardId it : grant.remove) {
    server.grants.erase(it);
  }
  for (const auto& [shard, epoch] : grant.add) {
    server.grants[shard] = epoch;
    Epoch& highest = server.highest[shard];
    highest = std::max(highest, epoch);
  }
}

void World::WorkOnOrder(Message& aMessage, FakeServer& aServer)
{
  const FakeOrder& order = mOrders.at(*aMessage.order);
  const Admission& terms = order.admission;
  bool accepted = Clock(aServer) <= order.serverDeadline;
  if (aServer.checked) {
    const auto grant = aServer.grants.find(order.shard);
    accepted = accepted && terms.incarnation == aServer.incarnation &&
               terms.token == aServer.lastCall.first && Clock(aServer) < aServer.leaseUntil &&
               grant != aServer.grants.end() && grant->second == terms.epoch;
  }
  aMessage.fate = accepted ? OrderFate::kDone : OrderFate::kNotRun;
  if (accepted) {
    mLedger.push_back({ order.id, aServer.id, order.shard, terms.epoch });
    Say(aServer.id + " runs order " + std::to_string(order.id) + " of " +
        std::to_string(order.shard) + " @" + std::to_string(terms.epoch));
  }
}

void World::BringAnswer(const Message& aMessage)
{
  if (aMessage.lost) {
    TellLost(aMessage);
    return;
  }
  if (aMessage.order) {
    FinishOrder(*aMessage.order, aMessage.fate);
    return;
  }
  CellMachine& machine = MachineOf(aMessage.daemon, aMessage.cell);
  if (const auto* fence = std::get_if<FenceServer>(&aMessage.action)) {
    machine.OnFenced(mNow, fence->server, aMessage.reply);
  } else if (const auto* grant = std::get_if<GrantServer>(&aMessage.action)) {
    machine.OnGranted(mNow, grant->server, aMessage.reply);
  } else if (const auto* write = std::get_if<WriteCell>(&aMessage.action)) {
    machine.OnWritten(mNow, write->id, aMessage.written, aMessage.version);
  } else if (std::holds_alternative<ReadCell>(aMessage.action)) {
    machine.OnObject(mNow, aMessage.version, aMessage.object);
  } else if (const auto* other = std::get_if<ReadOtherCell>(&aMessage.action)) {
    if (aMessage.object) {
      machine.OnOtherCell(mNow, other->cell, other->ownVersion, *aMessage.object);
    } else {
      machine.OnOtherReadFailed(other->cell);
    }
  }
  Collect(aMessage.daemon);
}

void World::GiveUp(std::uint64_t aNumber, bool aLost)
{
  const auto it = std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
    return aMessage.number == aNumber;
  });
  if (it == mMessages.end() || it->abandoned || it->lost) {
    return;
  }
  Message message = *it;
  // What was certainly never sent is told from what may have arrived.
  message.unsent = aLost && !message.answering;
  message.lost = true;
  const FakeDaemon& daemon = mDaemons.at(message.daemon);
  it->abandoned = true;
  if (aLost || it->answering) {
    mMessages.erase(it);
  }
  if (!daemon.alive) {
    return;
  }
  if (daemon.paused) {
    // A paused daemon notices when it goes on.
    message.number = ++mNextMessage;
    message.answering = true;
    mMessages.push_back(std::move(message));
    return;
  }
  TellLost(message);
}

void World::TellLost(Message aMessage)
{
  aMessage.reply = {};
  aMessage.reply.outcome = CallOutcome::kNoAnswer;
  if (aMessage.order) {
    FinishOrder(*aMessage.order, aMessage.unsent ? OrderFate::kNotRun : OrderFate::kUnknown);
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
    machine.OnWritten(
      mNow, write->id, aMessage.unsent ? WriteOutcome::kNotWritten : WriteOutcome::kUnknown, 0);
  } else if (std::holds_alternative<ReadCell>(aMessage.action)) {
    machine.OnReadFailed(mNow);
  } else if (const auto* other = std::get_if<ReadOtherCell>(&aMessage.action)) {
    machine.OnOtherReadFailed(other->cell);
  }
  Collect(aMessage.daemon);
}

std::optional<std::uint64_t> World::Order(const std::string& aDaemon,
                                          const std::string& aCell,
                                          ShardId aShard)
{
  CellMachine& machine = MachineOf(aDaemon, aCell);
  const Admission admission = machine.Admit(mNow, aShard);
  if (admission.kind != AdmissionKind::kServe) {
    return std::nullopt;
  }
  FakeOrder order;
  order.id = ++mNextOrder;
  order.daemon = aDaemon;
  order.cell = aCell;
  order.shard = aShard;
  order.admission = admission;
  order.deadline = mNow + kOrderTime;
  order.serverDeadline = admission.reading + (order.deadline - admission.readAt).count();
  machine.OrderStarted(aShard);
  Message message;
  message.number = ++mNextMessage;
  message.daemon = aDaemon;
  message.cell = aCell;
  message.server = admission.server;
  message.order = order.id;
  message.sentAt = mNow;
  mMessages.push_back(message);
  mOrders.emplace(order.id, order);
  Say(aDaemon + " -> order " + std::to_string(order.id) + " to " + admission.server);
  return order.id;
}

void World::FinishOrder(std::uint64_t aOrder, OrderFate aFate)
{
  FakeOrder& order = mOrders.at(aOrder);
  if (order.finished) {
    return;
  }
  order.fate = aFate;
  const bool mayStillStart =
    aFate == OrderFate::kUnknown && !mServers.at(order.admission.server).checked;
  if (mayStillStart && mNow < order.deadline) {
    return;
  }
  order.finished = true;
  Say("order " + std::to_string(aOrder) + " is " + std::string(NameOf(kOrderFateNames, aFate)));
  FakeDaemon& daemon = mDaemons.at(order.daemon);
  if (daemon.alive) {
    daemon.machines.at(order.cell).OrderFinished(mNow, order.shard);
    Collect(order.daemon);
  }
}

void World::KillDaemon(const std::string& aDaemon)
{
  FakeDaemon& daemon = mDaemons.at(aDaemon);
  Say("* " + aDaemon + " is killed");
  daemon.alive = false;
  daemon.paused = false;
  mDead.insert(daemon.Ref());
  for (Message& it : mMessages) {
    it.abandoned = it.abandoned || it.daemon == aDaemon;
  }
  std::erase_if(mMessages, [&](const Message& aMessage) {
    return aMessage.daemon == aDaemon && aMessage.answering;
  });
  for (auto& [id, order] : mOrders) {
    if (order.daemon == aDaemon && !order.finished) {
      order.finished = true;
      order.fate = OrderFate::kUnknown;
    }
  }
  Check();
}

void World::RestartDaemon(const std::string& aDaemon)
{
  FakeDaemon& daemon = mDaemons.at(aDaemon);
  if (daemon.alive) {
    KillDaemon(aDaemon);
  }
  Say("* " + aDaemon + " starts again");
  daemon.alive = true;
  ++daemon.incarnation;
  for (auto& [cell, machine] : daemon.machines) {
    machine = MakeMachine(cell, daemon.Ref());
  }
}

void World::SetPaused(const std::string& aDaemon, bool aPaused)
{
  Say("* " + aDaemon + (aPaused ? " is paused" : " goes on"));
  mDaemons.at(aDaemon).paused = aPaused;
}

void World::KillServer(const std::string& aServer)
{
  FakeServer& server = mServers.at(aServer);
  Say("* " + aServer + " is killed");
  server.alive = false;
  server.frozen = false;
  server.grants.clear();
  server.highest.clear();
  server.leaseUntil = 0;
  server.lastCall = {};
  // What waited in its sockets is gone with it.
  std::vector<std::uint64_t> lost;
  for (const Message& it : mMessages) {
    if (it.server == aServer && !it.answering) {
      lost.push_back(it.number);
    }
  }
  for (const std::uint64_t it : lost) {
    GiveUp(it, false);
  }
  std::erase_if(mMessages, [&](const Message& aMessage) {
    return aMessage.server == aServer && !aMessage.answering;
  });
}

void World::RestartServer(const std::string& aServer)
{
  FakeServer& server = mServers.at(aServer);
  if (server.alive) {
    KillServer(aServer);
  }
  Say("* " + aServer + " starts again");
  server.alive = true;
  ++server.incarnation;
}

void World::SetFrozen(const std::string& aServer, bool aFrozen)
{
  Say("* " + aServer + (aFrozen ? " freezes" : " wakes"));
  mServers.at(aServer).frozen = aFrozen;
}

void World::SetPlatformUp(bool aUp)
{
  Say(aUp ? "* the platform is back" : "* the platform is down");
  mPlatformUp = aUp;
}

void World::Cut(const std::string& aDaemon, const std::string& aServer, bool aCut)
{
  Say("* " + aDaemon + (aCut ? " is cut off from " : " reaches ") + aServer);
  if (aCut) {
    mCuts.insert({ aDaemon, aServer });
  } else {
    mCuts.erase({ aDaemon, aServer });
  }
}

void World::CutPlatform(const std::string& aDaemon, bool aCut)
{
  Say("* " + aDaemon + (aCut ? " is cut off from the platform" : " reaches the platform"));
  if (aCut) {
    mPlatformCuts.insert(aDaemon);
  } else {
    mPlatformCuts.erase(aDaemon);
  }
}

std::vector<DaemonRef> World::Gone() const
{
  return { mDead.begin(), mDead.end() };
}

bool World::Witness(const std::string& aTo, const DaemonRef& aGone)
{
  const FakeDaemon& daemon = mDaemons.at(aTo);
  if (mDead.count(aGone) == 0 || !daemon.alive || daemon.paused) {
    return false;
  }
  for (auto& [cell, machine] : mDaemons.at(aTo).machines) {
    machine.OnDaemonGone(mNow, aGone);
  }
  Collect(aTo);
  return true;
}

void World::ShowObjects(const std::string& aDaemon)
{
  FakeDaemon& daemon = mDaemons.at(aDaemon);
  if (!daemon.alive || daemon.paused || mPlatformCuts.count(aDaemon) != 0) {
    return;
  }
  for (auto& [cell, machine] : daemon.machines) {
    for (const auto& [name, object] : mObjects) {
      if (object.version == 0) {
        continue;
      }
      if (name == cell) {
        machine.OnHint(mNow, object.version, object.object);
      } else {
        machine.OnOtherHint(mNow, name, object.object);
      }
    }
  }
  Collect(aDaemon);
}

void World::Settle()
{
  // Each delivery may cause further messages; a limit keeps a faulty loop from going on for ever.
  for (int round = 0; round < 1000; ++round) {
    // What its sender has given up is late and arrives only when the test says so.
    const auto it = std::find_if(mMessages.begin(), mMessages.end(), [&](const Message& aMessage) {
      return IsWorkable(aMessage) && !aMessage.abandoned;
    });
    if (it == mMessages.end()) {
      return;
    }
    Deliver(it->number);
  }
}

void World::Run(Duration aFor, Duration aStep)
{
  const Instant end = mNow + aFor;
  while (mNow < end) {
    Advance(aStep);
    Settle();
    std::vector<std::uint64_t> late;
    for (const Message& it : mMessages) {
      const Duration patience = it.order ? kOrderTime : kCallTimeout;
      const bool held = mHeld.count(it.number) != 0;
      if (!it.abandoned && !held && mNow - it.sentAt >= patience) {
        late.push_back(it.number);
      }
    }
    for (const std::uint64_t it : late) {
      // A call to the platform while it is down is refused at once: nothing was written.
      const auto message = std::find_if(
        mMessages.begin(), mMessages.end(), [&](const Message& aM) { return aM.number == it; });
      const bool refused = message != mMessages.end() && message->server.empty();
      GiveUp(it, refused);
    }
    for (const auto& [id, daemon] : mDaemons) {
      if (mPlatformUp) {
        ShowObjects(id);
      }
    }
    Settle();
  }
}

bool World::HasLiveGrant(const std::string& aServer, ShardId aShard) const
{
  const FakeServer& server = mServers.at(aServer);
  return server.alive && Clock(server) < server.leaseUntil && server.grants.count(aShard) != 0;
}

std::size_t World::ServedShards() const
{
  std::set<ShardId> served;
  for (const auto& [id, daemon] : mDaemons) {
    for (const auto& [cell, machine] : daemon.machines) {
      for (const auto& [shard, record] : machine.Base().shards) {
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

void World::Check()
{
  if (!mBroken.empty()) {
    return;
  }
  std::map<ShardId, std::string> owners;
  const auto use = [&](ShardId aShard, Epoch aEpoch, const std::string& aServer) {
    const auto [it, fresh] = mEpochOwners.try_emplace({ aShard, aEpoch }, aServer);
    if (!fresh && it->second != aServer) {
      mBroken = "two servers under epoch " + std::to_string(aEpoch) + " of shard " +
                std::to_string(aShard) + ": " + it->second + " and " + aServer;
    }
    Epoch& highest = mHighestEpoch[aShard];
    if (aEpoch < highest) {
      mBroken = "epoch of shard " + std::to_string(aShard) + " falls from " +
                std::to_string(highest) + " to " + std::to_string(aEpoch) + " at " + aServer;
    }
    highest = std::max(highest, aEpoch);
  };
  for (const auto& [id, server] : mServers) {
    for (const auto& [shard, epoch] : server.grants) {
      if (!HasLiveGrant(id, shard)) {
        continue;
      }
      const auto [it, fresh] = owners.emplace(shard, id);
      if (!fresh) {
        mBroken =
          "shard " + std::to_string(shard) + " has two live grants: " + it->second + " and " + id;
        return;
      }
      use(shard, epoch, id);
    }
  }
  std::set<std::uint64_t> ran;
  for (const LedgerEntry& it : mLedger) {
    if (!ran.insert(it.order).second) {
      mBroken = "order " + std::to_string(it.order) + " ran twice";
    }
    if (mOrders.at(it.order).finished && mOrders.at(it.order).fate == OrderFate::kNotRun) {
      mBroken = "order " + std::to_string(it.order) + " was called not run and ran";
    }
  }
  // An execution is checked against what came before it.
  for (; mCheckedEntries < mLedger.size() && mBroken.empty(); ++mCheckedEntries) {
    const LedgerEntry& entry = mLedger[mCheckedEntries];
    use(entry.shard, entry.epoch, entry.server);
  }
  if (!mBroken.empty()) {
    Say("BROKEN: " + mBroken);
  }
}

std::string World::Describe() const
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
    const std::int64_t left = std::max<std::int64_t>(server.leaseUntil - Clock(server), 0);
    buf << id << server.alive << server.frozen << server.incarnation << "." << server.lastCall.first
        << "." << server.lastCall.second << "l" << left;
    for (const auto& [shard, epoch] : server.grants) {
      buf << "g" << shard << "." << epoch;
    }
    for (const auto& [shard, epoch] : server.highest) {
      buf << "H" << shard << "." << epoch;
    }
  }
  for (const auto& [name, object] : mObjects) {
    buf << name << object.version << EncodeCell(object.object);
  }
  buf << mPlatformUp;
  for (const Message& it : mMessages) {
    buf << "m" << it.daemon << it.server << NameOfAction(it.action) << it.answering << it.abandoned
        << static_cast<int>(it.reply.outcome) << static_cast<int>(it.written) << it.version
        << (mNow - it.sentAt).count();
    if (const auto* grant = std::get_if<GrantServer>(&it.action)) {
      buf << "t" << grant->token << "n" << grant->number << "i" << grant->incarnation << "u"
          << std::max<std::int64_t>(grant->until - Clock(mServers.at(it.server)), 0);
    }
  }
  for (const auto& [shard, epoch] : mHighestEpoch) {
    buf << "h" << shard << "." << epoch;
  }
  for (const auto& [cut, server] : mCuts) {
    buf << "c" << cut << server;
  }
  return buf.str();
}

} // namespace hawthornlug::testing
