#include "routing/server_board.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace hawthornlug {

namespace {

/// What another daemon told of its requests is believed for so long.
constexpr Duration kOthersBelieved = milliseconds(1500);
/// A server's own report of its load is used for so long.
constexpr Duration kLoadBelieved = milliseconds(250);
/// How long a slowness that a server told of itself is taken to last.
constexpr Duration kSlownessBelieved = milliseconds(400);
/// News of a free slot takes so long to come round. Where slots become free faster, one request may
/// wait at a server while all are full, so that no slot stands idle meanwhile.
constexpr Duration kNewsDelay = milliseconds(50);
/// Sending to another failure domain costs this share of the route's target latency.
constexpr double kForeignCost = 0.45;
/// Missing the target costs this much for each unit of time.
constexpr double kLateCost = 3.0;
/// Weight of the newest sample of a server's pace and failures.
constexpr double kPaceWeight = 0.15;
constexpr double kFailureWeight = 0.25;
constexpr double kMinPace = 0.3;
constexpr double kMaxPace = 20.0;
constexpr double kFailingShare = 0.6;
constexpr unsigned kFailingInRow = 2;
/// How often a failing server is tried.
constexpr Duration kTrickleInterval = milliseconds(700);
constexpr Duration kAvoidFor = milliseconds(1200);
constexpr double kFailureCost = 2.0;
/// After so long without a sample, failures count half.
constexpr Duration kFailureHalfLife = seconds(2);
/// Part of the connections that a server takes that is used; the rest is for probes and orders.
constexpr double kConnectionsUsed = 0.8;
/// Connections to a server without a bound of its own.
constexpr unsigned kUnboundedConnections = 16;
/// Part of a cold server's bound that is used, since daemons don't know each other's sends.
constexpr double kWarmUpUsed = 0.6;

bool IsHopeless(ForwardResult aResult)
{
  return aResult == ForwardResult::kUnreachable || aResult == ForwardResult::kRefusedPort;
}

} // namespace

InFlightSlot::InFlightSlot(std::shared_ptr<unsigned> aCount)
  : mCount(std::move(aCount))
{
  ++*mCount;
}

InFlightSlot::~InFlightSlot()
{
  Release();
}

InFlightSlot& InFlightSlot::operator=(InFlightSlot&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mCount = std::move(aOther.mCount);
  }
  return *this;
}

void InFlightSlot::Release()
{
  if (mCount) {
    --*mCount;
    mCount.reset();
  }
}

ServerBoard::ServerBoard(std::string aDomain)
  : mDomain(std::move(aDomain))
{
}

std::uint32_t ServerBoard::NumberOf(const std::string& aId)
{
  return static_cast<std::uint32_t>(HashOf(aId));
}

void ServerBoard::SetWarmUpAllowance(double aOvershoot, double aSlack)
{
  mWarmUpOvershoot = aOvershoot;
  mWarmUpSlack = aSlack;
}

void ServerBoard::Put(const ServerEntry& aEntry, Instant aNow)
{
  Server& server = mServers[aEntry.id];
  const bool reborn = !server.entry.id.empty() && server.entry.incarnation != aEntry.incarnation;
  if (reborn) {
    // Nothing that was learned of the earlier run holds for this one but what is still in flight.
    const auto inFlight = server.inFlight;
    server = Server();
    server.inFlight = inFlight;
  }
  const Instant coldUntil = aNow + aEntry.warmUpLeft;
  server.coldUntil = std::max(server.coldUntil, coldUntil);
  server.entry = aEntry;
  mByNumber[NumberOf(aEntry.id)] = aEntry.id;
}

void ServerBoard::Remove(const std::string& aId)
{
  mByNumber.erase(NumberOf(aId));
  mServers.erase(aId);
}

const ServerEntry* ServerBoard::Find(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? nullptr : &it->second.entry;
}

bool ServerBoard::IsOpen(const Server& aServer) const
{
  return aServer.entry.state == ServerState::kReady && !mDomainsOut.contains(aServer.entry.domain);
}

bool ServerBoard::IsOpen(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && IsOpen(it->second);
}

bool ServerBoard::IsCold(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && aNow < it->second.coldUntil;
}

bool ServerBoard::IsFailing(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && aNow < it->second.avoidUntil;
}

unsigned ServerBoard::ConnectionsTo(const Server& aServer) const
{
  const auto rule = mRules.find(aServer.entry.service);
  if (rule == mRules.end() || rule->second.maxConnections == 0) {
    return kUnboundedConnections;
  }
  const double share = kConnectionsUsed * rule->second.maxConnections / std::max(1U, Daemons());
  return std::max(1U, static_cast<unsigned>(share));
}

unsigned ServerBoard::ConnectionsTo(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? 0 : ConnectionsTo(it->second);
}

unsigned ServerBoard::Daemons() const
{
  unsigned daemons = 0;
  for (const auto& [domain, count] : mDaemons) {
    daemons += count;
  }
  return daemons;
}

unsigned ServerBoard::Outstanding(const Server& aServer, Instant aNow) const
{
  unsigned n = *aServer.inFlight;
  for (const auto& [daemon, others] : aServer.others) {
    if (aNow - others.at < kOthersBelieved) {
      n += others.count;
    }
  }
  if (aServer.load && aNow - aServer.loadAt < kLoadBelieved) {
    n = std::max(n, aServer.load->running + aServer.load->waiting + aServer.sentSinceLoad);
  }
  return n;
}

double ServerBoard::Failures(const Server& aServer, Instant aNow)
{
  const double age = InSeconds(aNow - aServer.sampledAt) / InSeconds(kFailureHalfLife);
  return aServer.failures * std::exp2(-std::max(0.0, age));
}

double ServerBoard::Slowness(const Server& aServer, Instant aNow) const
{
  if (aServer.load && aNow - aServer.loadAt < kSlownessBelieved) {
    return std::max(0.1, aServer.load->slowness);
  }
  return 1.0;
}

double ServerBoard::PaceOf(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return 1.0;
  }
  return it->second.pace * Slowness(it->second, aNow);
}

Duration ServerBoard::Completion(const Server& aServer, Duration aWork, Instant aNow) const
{
  const double service = InSeconds(aWork) * aServer.pace * Slowness(aServer, aNow);
  const unsigned slots = std::max(1U, aServer.entry.slots);
  const unsigned outstanding = Outstanding(aServer, aNow);
  const double rounds =
    outstanding < slots ? 0.0 : static_cast<double>(outstanding - slots + 1) / slots;
  return FromSeconds(service + rounds * service);
}

Duration ServerBoard::SlotInterval(const Server& aServer, Duration aWork, Instant aNow) const
{
  const double service = InSeconds(aWork) * aServer.pace * Slowness(aServer, aNow);
  return FromSeconds(service / std::max(1U, aServer.entry.slots));
}

Duration ServerBoard::WarmUpInterval(const Server& aServer) const
{
  const auto rule = mRules.find(aServer.entry.service);
  if (rule == mRules.end() || rule->second.warmUpPerSecond <= 0.0) {
    return Duration::zero();
  }
  // Only daemons of the server's own domain send to it while it is cold, if there are any;
  // keys leave no choice, so all daemons share a keyed server's pace.
  const auto own = mDaemons.find(aServer.entry.domain);
  const bool ownOnly = !rule->second.keyed && own != mDaemons.end() && own->second > 0;
  const unsigned daemons = ownOnly ? own->second : Daemons();
  const double bound = rule->second.warmUpPerSecond * mWarmUpOvershoot +
                       (rule->second.keyed ? mWarmUpSlack : mWarmUpSlack / 4);
  const double rate = kWarmUpUsed * bound / std::max(1U, daemons);
  return Duration(static_cast<Duration::rep>(1e6 / rate));
}

ServerBar ServerBoard::BarOf(const Server& aServer,
                             const ServerNeed& aNeed,
                             Fullness aFullness,
                             Instant aNow) const
{
  if (aServer.entry.state != ServerState::kReady) {
    return ServerBar::kLeaving;
  }
  if (mDomainsOut.contains(aServer.entry.domain)) {
    return ServerBar::kDomainOut;
  }
  if (std::find(aNeed.tried.begin(), aNeed.tried.end(), aServer.entry.id) != aNeed.tried.end()) {
    return ServerBar::kTried;
  }
  if (aNow < aServer.avoidUntil && (aNow < aServer.trickleAt || !aNeed.idempotent)) {
    return ServerBar::kFailing;
  }
  if (aNow < aServer.coldUntil) {
    const auto own = mDaemons.find(aServer.entry.domain);
    const bool domainHasDaemons = own != mDaemons.end() && own->second > 0;
    const bool foreign = aServer.entry.domain != mDomain;
    if (aNeed.owner.empty() && foreign && domainHasDaemons) {
      return ServerBar::kCold;
    }
    if (aNow - aServer.coldSentAt < WarmUpInterval(aServer)) {
      return ServerBar::kCold;
    }
  }
  const bool mayWait =
    aFullness == Fullness::kOneAhead && SlotInterval(aServer, aNeed.work, aNow) < kNewsDelay;
  const unsigned ahead = mayWait ? 1 : 0;
  const bool connected = *aServer.inFlight >= ConnectionsTo(aServer);
  if (connected || Outstanding(aServer, aNow) >= aServer.entry.slots + ahead) {
    return ServerBar::kFull;
  }
  return ServerBar::kNone;
}

double ServerBoard::CostOf(const Server& aServer, const ServerNeed& aNeed, Instant aNow) const
{
  if (aNow < aServer.avoidUntil) {
    // The trickle by which a failing server can show that it has recovered.
    return 0.0;
  }
  const double completion = InSeconds(Completion(aServer, aNeed.work, aNow));
  const double late = std::max(0.0, completion - InSeconds(aNeed.targetLeft));
  double cost = completion + kLateCost * late;
  cost += kFailureCost * Failures(aServer, aNow) * InSeconds(aNeed.work);
  if (aServer.entry.domain != mDomain) {
    cost += kForeignCost * InSeconds(aNeed.targetLatency);
  }
  if (aNow < aServer.coldUntil) {
    // A cold server is slow; its few requests are sent to it all the same, while there are many.
    cost += 0.25 * InSeconds(aNeed.work);
  }
  return cost;
}

ServerChoice ServerBoard::Choose(const ServerNeed& aNeed, Instant aNow) const
{
  ServerChoice choice = ChooseAmong(aNeed, Fullness::kSlots, aNow);
  if (!choice.server && choice.bar == ServerBar::kFull) {
    choice = ChooseAmong(aNeed, Fullness::kOneAhead, aNow);
  }
  return choice;
}

ServerChoice ServerBoard::ChooseAmong(const ServerNeed& aNeed,
                                      Fullness aFullness,
                                      Instant aNow) const
{
  ServerChoice choice;
  const Server* best = nullptr;
  double bestCost = 0.0;
  for (const auto& [id, server] : mServers) {
    const bool fits =
      aNeed.owner.empty() ? server.entry.service == aNeed.service : id == aNeed.owner;
    if (!fits) {
      continue;
    }
    const ServerBar bar = BarOf(server, aNeed, aFullness, aNow);
    if (bar != ServerBar::kNone) {
      // The bar that is told is the one that lifts soonest.
      if (choice.bar == ServerBar::kUnknown || bar == ServerBar::kFull) {
        choice.bar = bar;
      }
      continue;
    }
    const double cost = CostOf(server, aNeed, aNow);
    if (best == nullptr || cost < bestCost) {
      best = &server;
      bestCost = cost;
    }
  }
  if (best != nullptr) {
    choice.server = best->entry;
    choice.bar = ServerBar::kNone;
    choice.completion = Completion(*best, aNeed.work, aNow);
    choice.outstanding = Outstanding(*best, aNow);
  }
  return choice;
}

InFlightSlot ServerBoard::Take(const std::string& aId, Instant aNow)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return {};
  }
  Server& server = it->second;
  ++server.sentSinceLoad;
  server.coldSentAt = aNow;
  if (aNow < server.avoidUntil) {
    server.trickleAt = aNow + kTrickleInterval;
  }
  return InFlightSlot(server.inFlight);
}

void ServerBoard::OnSample(const std::string& aId, const ForwardSample& aSample, Instant aNow)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return;
  }
  Server& server = it->second;
  if (aSample.load) {
    server.load = aSample.load;
    server.loadAt = aNow;
    server.sentSinceLoad = 0;
  }
  const bool answered = aSample.result == ForwardResult::kAnswered;
  if (aSample.result == ForwardResult::kNotOwner) {
    return;
  }
  const bool failed = !answered || aSample.failed;
  server.failures = Failures(server, aNow);
  server.failures += kFailureWeight * ((failed ? 1.0 : 0.0) - server.failures);
  server.sampledAt = aNow;
  server.failedInRow = failed ? server.failedInRow + 1 : 0;
  if (!failed) {
    server.avoidUntil = Instant();
  }
  const bool failing = server.failedInRow >= kFailingInRow && server.failures > kFailingShare;
  if (failing || IsHopeless(aSample.result)) {
    server.avoidUntil = aNow + kAvoidFor;
    server.trickleAt = aNow + kTrickleInterval;
  }
  const bool contended = aSample.outstanding >= server.entry.slots;
  if (answered && !contended && aSample.work > Duration::zero()) {
    const double slowness = aSample.load ? std::max(0.1, aSample.load->slowness) : 1.0;
    const double sample = InSeconds(aSample.elapsed) / InSeconds(aSample.work) / slowness;
    server.pace += kPaceWeight * (std::clamp(sample, kMinPace, kMaxPace) - server.pace);
  }
}

void ServerBoard::SetOthers(const std::string& aDaemon,
                            const std::map<std::uint32_t, unsigned>& aCounts,
                            Instant aNow)
{
  for (auto& [id, server] : mServers) {
    const auto told = aCounts.find(NumberOf(id));
    if (told == aCounts.end()) {
      server.others.erase(aDaemon);
    } else {
      server.others[aDaemon] = { told->second, aNow };
    }
  }
}

std::map<std::uint32_t, unsigned> ServerBoard::InFlight() const
{
  std::map<std::uint32_t, unsigned> counts;
  for (const auto& [id, server] : mServers) {
    if (*server.inFlight > 0) {
      counts[NumberOf(id)] = *server.inFlight;
    }
  }
  return counts;
}

std::map<std::uint32_t, unsigned> ServerBoard::InFlightAtShared() const
{
  std::map<std::uint32_t, unsigned> counts;
  for (const auto& [id, server] : mServers) {
    const auto rule = mRules.find(server.entry.service);
    const bool keyed = rule != mRules.end() && rule->second.keyed;
    if (*server.inFlight > 0 && (keyed || server.entry.domain != mDomain)) {
      counts[NumberOf(id)] = *server.inFlight;
    }
  }
  return counts;
}

std::vector<ServerEntry> ServerBoard::ServersOf(const std::string& aService) const
{
  std::vector<ServerEntry> servers;
  for (const auto& [id, server] : mServers) {
    if (server.entry.service == aService) {
      servers.push_back(server.entry);
    }
  }
  return servers;
}

} // namespace hawthornlug
