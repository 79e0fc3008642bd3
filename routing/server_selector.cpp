#include "routing/server_selector.h"

#include "core/hashing.h"
#include "routing/choice_spread.h"
#include "routing/domain_cost.h"

#include <algorithm>
#include <cmath>

namespace hawthornlug {

namespace {

/// The in-flight counts that another daemon reported are used for this time.
constexpr Duration kPeerCountLifetime = milliseconds(1500);
/// A server's load report is used to count its outstanding requests for this time.
constexpr Duration kLoadReportLifetime = milliseconds(250);
/// The slowness in a server's load report is used for this time.
constexpr Duration kSlownessLifetime = milliseconds(400);
/// Delay until the daemons know that a slot became free. If slots become free more often than that,
/// one request may wait at a server while all servers are full, so that no slot stays idle until
/// the daemons know of it.
constexpr Duration kFreeSlotReportDelay = milliseconds(50);
/// Cost of sending to another failure domain, as a share of the route's target latency.
constexpr double kOtherDomainCost = 0.45;
/// Cost of each unit of time by which the expected completion exceeds the target latency.
constexpr double kOverTargetCost = 3.0;
/// Weight of the newest sample in the moving averages of a server's relative service time and
/// failure share.
constexpr double kServiceTimeWeight = 0.15;
constexpr double kFailureWeight = 0.25;
/// Samples of the relative service time are clamped to this range.
constexpr double kMinRelativeServiceTime = 0.3;
constexpr double kMaxRelativeServiceTime = 20.0;
/// A server counts as failing when its failure share is above the threshold and this many requests
/// in a row have failed.
constexpr double kFailingThreshold = 0.6;
constexpr unsigned kMinConsecutiveFailures = 2;
/// Cost of a server that this daemon prefers least, as a multiple of the expected service time.
/// What daemons know of each other's requests is some time old: without it, all would choose the
/// same server until the next report.
constexpr double kPreferenceCost = 0.3;
/// Interval between the trial requests by which a failing server can show that it has recovered.
constexpr Duration kTrialInterval = milliseconds(700);
/// How long the circuit breaker of a failing server stays open: until then the server gets nothing
/// but trial requests.
constexpr Duration kCircuitOpenTime = milliseconds(1200);
/// Share of its slots that a failing owner of keys gets while it can be reached.
constexpr unsigned kFailingOwnerDivisor = 2;
/// Requests for which room has been allotted may wait at a server for about this time: daemons know
/// of a free slot only after a report.
constexpr Duration kAllottedQueueTime = milliseconds(100);
/// Cost of a failure share of 1, as a multiple of the expected service time.
constexpr double kFailureCost = 2.0;
/// The failure share halves in this time without a sample.
constexpr Duration kFailureShareHalfLife = seconds(2);
/// Share of a server's connection limit that requests use; the rest is left for health probes and
/// for grant and release commands.
constexpr double kUsableConnectionShare = 0.8;
/// Connections of this daemon to a server whose service sets no limit.
constexpr unsigned kDefaultConnections = 16;

/// Maps a hash to a number from 0 to 1.
double UnitInterval(std::uint64_t aHash)
{
  return static_cast<double>(aHash) / static_cast<double>(UINT64_MAX);
}

bool IsUnreachable(ForwardResult aResult)
{
  return aResult == ForwardResult::kUnreachable || aResult == ForwardResult::kConnectionRefused;
}

} // namespace

InFlightSlot::InFlightSlot(std::shared_ptr<unsigned> aCounter,
                           std::shared_ptr<OutstandingWork> aWork,
                           std::uint64_t aRequest)
  : mCounter(std::move(aCounter))
  , mWork(std::move(aWork))
  , mRequest(aRequest)
{
  ++*mCounter;
}

InFlightSlot::~InFlightSlot()
{
  Release();
}

InFlightSlot& InFlightSlot::operator=(InFlightSlot&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mCounter = std::move(aOther.mCounter);
    mWork = std::move(aOther.mWork);
    mRequest = aOther.mRequest;
  }
  return *this;
}

void InFlightSlot::Release()
{
  if (mCounter) {
    --*mCounter;
    mCounter.reset();
  }
  if (mWork) {
    mWork->Remove(mRequest);
    mWork.reset();
  }
}

ServerSelector::ServerSelector(std::string aDomain, std::string aDaemon)
  : mDomain(std::move(aDomain))
  , mDaemon(std::move(aDaemon))
{
}

std::uint32_t ServerSelector::HashedIdOf(const std::string& aId)
{
  return static_cast<std::uint32_t>(HashOf(aId));
}

void ServerSelector::SetWarmUpAllowance(double aOvershoot, double aSlack)
{
  mWarmUpOvershoot = aOvershoot;
  mWarmUpSlack = aSlack;
}

void ServerSelector::Put(const ServerEntry& aEntry, Instant aNow)
{
  Server& server = mServers[aEntry.id];
  const bool restarted = !server.entry.id.empty() && server.entry.incarnation != aEntry.incarnation;
  if (restarted) {
    // Samples and reports of the earlier incarnation don't apply to this one. Only the count of
    // requests in flight is kept, since those slots have not been released yet.
    const auto inFlight = server.inFlight;
    const auto work = server.work;
    const std::string service = server.entry.service;
    server = Server();
    server.inFlight = inFlight;
    server.work = work;
    server.entry.service = service;
  }
  const Instant coldUntil = aNow + aEntry.warmUpLeft;
  server.coldUntil = std::max(server.coldUntil, coldUntil);
  if (server.entry.service != aEntry.service) {
    if (!server.entry.service.empty()) {
      mServersByService[server.entry.service].erase(aEntry.id);
    }
    mServersByService[aEntry.service][aEntry.id] = &server;
  }
  server.entry = aEntry;
  ApplyNotices(server);
  server.preference = mDaemon.empty() ? 0.0 : UnitInterval(RendezvousWeight(aEntry.id, mDaemon));
  server.number = HashedIdOf(aEntry.id);
  if (mSpeeds != nullptr) {
    mSpeeds->Put(server.number, aEntry.service, aEntry.incarnation, aNow);
  }
  mServersByNumber[server.number] = &server;
}

void ServerSelector::Remove(const std::string& aId, Instant aNow)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return;
  }
  const auto numbered = mServersByNumber.find(HashedIdOf(aId));
  if (numbered != mServersByNumber.end() && numbered->second == &it->second) {
    mServersByNumber.erase(numbered);
    if (mSpeeds != nullptr) {
      mSpeeds->Remove(HashedIdOf(aId));
    }
  }
  mServersByService[it->second.entry.service].erase(aId);
  mServers.erase(it);
  mNotices.Forget([this](const std::string& aServer) { return mServers.contains(aServer); }, aNow);
}

bool ServerSelector::OnNotice(const ServerRef& aServer, const ServerNotice& aNotice, Instant aNow)
{
  const bool news = mNotices.Record(aServer, aNotice, aNow);
  const auto it = mServers.find(aServer.id);
  if (it != mServers.end()) {
    ApplyNotices(it->second);
  }
  return news;
}

void ServerSelector::ApplyNotices(Server& aServer) const
{
  const ServerRef ref{ aServer.entry.id, aServer.entry.incarnation };
  aServer.leaving = mNotices.IsLeaving(ref);
  aServer.pausedUntil = mNotices.PausedUntil(ref);
}

const ServerEntry* ServerSelector::Find(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? nullptr : &it->second.entry;
}

bool ServerSelector::IsOpen(const Server& aServer) const
{
  return aServer.entry.state == ServerState::kReady && !aServer.leaving &&
         !mDomainsOutOfService.contains(aServer.entry.domain);
}

bool ServerSelector::IsOpen(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && IsOpen(it->second);
}

bool ServerSelector::IsCold(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && aNow < it->second.coldUntil;
}

bool ServerSelector::IsFailing(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && aNow < it->second.circuitOpenUntil;
}

std::string ServerSelector::HealthPathOf(const std::string& aService) const
{
  const auto rule = mServiceRules.find(aService);
  return rule == mServiceRules.end() ? std::string() : rule->second.healthPath;
}

unsigned ServerSelector::MaxConnectionsTo(const Server& aServer) const
{
  const auto rule = mServiceRules.find(aServer.entry.service);
  if (rule == mServiceRules.end() || rule->second.maxConnections == 0) {
    return kDefaultConnections;
  }
  const double share =
    kUsableConnectionShare * rule->second.maxConnections / std::max(1U, DaemonCount());
  return std::max(1U, static_cast<unsigned>(share));
}

unsigned ServerSelector::MaxConnectionsTo(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? 0 : MaxConnectionsTo(it->second);
}

unsigned ServerSelector::DaemonCount() const
{
  unsigned daemons = 0;
  for (const auto& [domain, count] : mDaemonsByDomain) {
    daemons += count;
  }
  return daemons;
}

unsigned ServerSelector::Outstanding(const Server& aServer, Instant aNow) const
{
  unsigned n = *aServer.inFlight;
  for (const auto& [daemon, report] : aServer.peerCounts) {
    if (aNow - report.receivedAt < kPeerCountLifetime) {
      n += report.count;
    }
  }
  if (aServer.load && aNow - aServer.loadReceivedAt < kLoadReportLifetime) {
    n = std::max(n, aServer.load->running + aServer.load->waiting + aServer.sentSinceLoadReport);
  }
  return n;
}

double ServerSelector::FailureShare(const Server& aServer, Instant aNow)
{
  const double age = InSeconds(aNow - aServer.lastSampleAt) / InSeconds(kFailureShareHalfLife);
  return aServer.failureShare * std::exp2(-std::max(0.0, age));
}

double ServerSelector::ReportedSlowness(const Server& aServer, Instant aNow) const
{
  if (aServer.load && aNow - aServer.loadReceivedAt < kSlownessLifetime) {
    return std::max(0.1, aServer.load->slowness);
  }
  return 1.0;
}

bool ServerSelector::IsSlowForAWhile(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && it->second.load &&
         aNow - it->second.loadReceivedAt < kSlownessLifetime &&
         hawthornlug::IsSlowForAWhile(*it->second.load);
}

double ServerSelector::LastingServiceTimeOf(const Server& aServer, Instant aNow) const
{
  return mSpeeds == nullptr ? aServer.relativeServiceTime
                            : mSpeeds->RelativeServiceTimeOf(aServer.number, aNow);
}

double ServerSelector::RelativeServiceTimeOf(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return 1.0;
  }
  return LastingServiceTimeOf(it->second, aNow) * ReportedSlowness(it->second, aNow);
}

Duration ServerSelector::ExpectedCompletion(const Server& aServer,
                                            Duration aWork,
                                            Instant aNow) const
{
  if (mEstimates != nullptr) {
    const double pace = LastingServiceTimeOf(aServer, aNow) * ReportedSlowness(aServer, aNow);
    return Scaled(aWork + SlotWait(aServer, aWork, aNow), pace);
  }
  const double serviceTime =
    InSeconds(aWork) * LastingServiceTimeOf(aServer, aNow) * ReportedSlowness(aServer, aNow);
  const unsigned slots = std::max(1U, aServer.entry.slots);
  const unsigned outstanding = Outstanding(aServer, aNow);
  const double serviceRounds =
    outstanding < slots ? 0.0 : static_cast<double>(outstanding - slots + 1) / slots;
  return FromSeconds(serviceTime + serviceRounds * serviceTime);
}

Duration ServerSelector::SlotWait(const Server& aServer, Duration aWork, Instant aNow) const
{
  const unsigned outstanding = Outstanding(aServer, aNow);
  if (outstanding < aServer.entry.slots) {
    return Duration::zero();
  }
  const auto own = static_cast<unsigned>(aServer.work->Requests());
  const Duration each = mEstimates->MeanRemainingOf(aServer.entry.service, aWork);
  const Duration others = each * (outstanding - std::min(outstanding, own));
  return TimeToFreeSlot(
    outstanding, aServer.entry.slots, aServer.work->Remaining(*mEstimates, aNow) + others);
}

Duration ServerSelector::SlotInterval(const Server& aServer, Duration aWork, Instant aNow) const
{
  const double serviceTime =
    InSeconds(aWork) * LastingServiceTimeOf(aServer, aNow) * ReportedSlowness(aServer, aNow);
  return FromSeconds(serviceTime / std::max(1U, aServer.entry.slots));
}

double ServerSelector::WarmUpLimitOf(const Server& aServer) const
{
  const auto rule = mServiceRules.find(aServer.entry.service);
  if (rule == mServiceRules.end() || rule->second.warmUpPerSecond <= 0.0) {
    return 0.0;
  }
  return rule->second.warmUpPerSecond * mWarmUpOvershoot + mWarmUpSlack;
}

double ServerSelector::WarmUpLimitOf(const std::string& aId) const
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? 0.0 : WarmUpLimitOf(it->second);
}

bool ServerSelector::NeedsPermit(const Server& aServer, Instant aNow) const
{
  return aNow < aServer.coldUntil && WarmUpLimitOf(aServer) > 0.0;
}

void ServerSelector::SetPermits(const std::string& aId, unsigned aCount, Instant aUntil)
{
  const auto it = mServers.find(aId);
  if (it != mServers.end()) {
    it->second.permits = aCount;
    it->second.permitsUntil = aUntil;
  }
}

bool ServerSelector::HasPermit(const std::string& aId, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it != mServers.end() && it->second.permits > 0 && aNow < it->second.permitsUntil;
}

std::vector<const ServerEntry*> ServerSelector::ColdServers(Instant aNow) const
{
  std::vector<const ServerEntry*> cold;
  for (const auto& [id, server] : mServers) {
    if (NeedsPermit(server, aNow) && IsOpen(server)) {
      cold.push_back(&server.entry);
    }
  }
  return cold;
}

bool ServerSelector::IsKeyed(const std::string& aService) const
{
  const auto rule = mServiceRules.find(aService);
  return rule != mServiceRules.end() && rule->second.keyed;
}

ServerUnavailability ServerSelector::UnavailabilityOf(const Server& aServer,
                                                      const ServerRequirements& aNeed,
                                                      CapacityLimit aCapacityLimit,
                                                      Instant aNow) const
{
  if (aServer.entry.state != ServerState::kReady || aServer.leaving) {
    return ServerUnavailability::kLeaving;
  }
  if (mDomainsOutOfService.contains(aServer.entry.domain)) {
    return ServerUnavailability::kDomainOut;
  }
  if (std::find(aNeed.triedServers.begin(), aNeed.triedServers.end(), aServer.entry.id) !=
      aNeed.triedServers.end()) {
    return ServerUnavailability::kTried;
  }
  if (aNow < aServer.pausedUntil) {
    return ServerUnavailability::kPaused;
  }
  if (aNow < aServer.circuitOpenUntil && !ServesDespiteFailures(aServer, aNeed) &&
      (aNow < aServer.nextTrialAt || !aNeed.idempotent)) {
    return ServerUnavailability::kFailing;
  }
  if (NeedsPermit(aServer, aNow) && (aServer.permits == 0 || aNow >= aServer.permitsUntil)) {
    return ServerUnavailability::kCold;
  }
  const bool connectionsUsed = *aServer.inFlight >= MaxConnectionsTo(aServer);
  if (connectionsUsed ||
      Outstanding(aServer, aNow) >= CapacityOf(aServer, aNeed, aCapacityLimit, aNow)) {
    return ServerUnavailability::kFull;
  }
  return ServerUnavailability::kNone;
}

bool ServerSelector::ServesDespiteFailures(const Server& aServer,
                                           const ServerRequirements& aNeed) const
{
  // No other server may run the request: to turn it away here is no better than to let it fail.
  return mContention && !aNeed.owner.empty() && !aServer.unreachable;
}

unsigned ServerSelector::UsableSlots(const Server& aServer, Instant aNow) const
{
  const bool halved = mContention && IsKeyed(aServer.entry.service) && !aServer.unreachable &&
                      aNow < aServer.circuitOpenUntil;
  return halved ? std::max(1U, aServer.entry.slots / kFailingOwnerDivisor) : aServer.entry.slots;
}

unsigned ServerSelector::CapacityOf(const Server& aServer,
                                    const ServerRequirements& aNeed,
                                    CapacityLimit aCapacityLimit,
                                    Instant aNow) const
{
  const unsigned slots = UsableSlots(aServer, aNow);
  if (slots < aServer.entry.slots || aCapacityLimit != CapacityLimit::kOneWaiting) {
    return slots;
  }
  const Duration slotInterval = SlotInterval(aServer, aNeed.work, aNow);
  if (aNeed.allotted) {
    const Duration::rep interval = std::max<Duration::rep>(1, slotInterval.count());
    const auto ending = static_cast<unsigned>(kAllottedQueueTime.count() / interval);
    return slots + 1 + std::min(ending, slots);
  }
  return slots + (slotInterval < kFreeSlotReportDelay ? 1 : 0);
}

ServerRoom ServerSelector::RoomOf(const Server& aServer, Duration aWork, Instant aNow) const
{
  ServerRoom room;
  room.slots = UsableSlots(aServer, aNow);
  room.outstanding = Outstanding(aServer, aNow);
  const double serviceTime =
    InSeconds(aWork) * LastingServiceTimeOf(aServer, aNow) * ReportedSlowness(aServer, aNow);
  room.perSecond = room.slots / std::max(serviceTime, InSeconds(milliseconds(1)));
  return room;
}

ServerRoom ServerSelector::RoomOf(const std::string& aId, Duration aWork, Instant aNow) const
{
  const auto it = mServers.find(aId);
  return it == mServers.end() ? ServerRoom() : RoomOf(it->second, aWork, aNow);
}

ServerRoom ServerSelector::RoomOfService(const std::string& aService,
                                         Duration aWork,
                                         Instant aNow) const
{
  ServerRoom sum;
  const auto servers = mServersByService.find(aService);
  if (servers == mServersByService.end()) {
    return sum;
  }
  for (const auto& [id, server] : servers->second) {
    if (!IsOpen(*server) || aNow < server->pausedUntil || aNow < server->circuitOpenUntil ||
        NeedsPermit(*server, aNow)) {
      continue;
    }
    const ServerRoom room = RoomOf(*server, aWork, aNow);
    sum.slots += room.slots;
    sum.outstanding += room.outstanding;
    sum.perSecond += room.perSecond;
  }
  return sum;
}

double ServerSelector::SpreadOf(const std::string& aService, Instant aNow) const
{
  const auto it = mServersByService.find(aService);
  if (mSpeeds == nullptr || it == mServersByService.end()) {
    return 0.0;
  }
  unsigned taken = 0;
  unsigned slots = 0;
  for (const auto& [id, server] : it->second) {
    if (server->entry.domain == mDomain && IsOpen(*server)) {
      taken += std::min(Outstanding(*server, aNow), server->entry.slots);
      slots += server->entry.slots;
    }
  }
  return ChoiceSpread(taken, slots);
}

double ServerSelector::CostOf(const Server& aServer,
                              const ServerRequirements& aNeed,
                              Instant aNow) const
{
  if (aNow < aServer.circuitOpenUntil) {
    // A trial request is due; the cost of 0 makes sure that the server gets it.
    return 0.0;
  }
  const double completion = InSeconds(ExpectedCompletion(aServer, aNeed.work, aNow));
  const double late = std::max(0.0, completion - InSeconds(aNeed.timeToTarget));
  double cost = completion + kOverTargetCost * late;
  cost += kFailureCost * FailureShare(aServer, aNow) * InSeconds(aNeed.work);
  if (mSpeeds == nullptr) {
    cost += kPreferenceCost * aServer.preference * InSeconds(aNeed.work);
  }
  if (aServer.entry.domain != mDomain) {
    cost += OtherDomainCostOf(aServer, aNeed, aNow);
  }
  if (mEstimates != nullptr && late > 0.0) {
    cost += MissedTargetCost(aNeed.targetLatency);
  }
  if (aNow < aServer.coldUntil) {
    // A cold server is slow. The extra cost is small, so that under load it still gets the few
    // requests that its warm-up limit allows.
    cost += 0.25 * InSeconds(aNeed.work);
  }
  return cost;
}

double ServerSelector::OtherDomainCostOf(const Server& aServer,
                                         const ServerRequirements& aNeed,
                                         Instant aNow) const
{
  if (mEstimates == nullptr || !aNeed.expectedBytes) {
    return kOtherDomainCost * InSeconds(aNeed.targetLatency);
  }
  // Other domains do not report their requests at their own servers, except those that own keys.
  const bool isLoadKnown = IsKeyed(aServer.entry.service) ||
                           (aServer.load && aNow - aServer.loadReceivedAt < kLoadReportLifetime);
  return OtherDomainCost(*aNeed.expectedBytes, aNeed.targetLatency) +
         (isLoadKnown ? 0.0 : UnknownLoadCost(aNeed.work));
}

const ServerSelector::Server* ServerSelector::BetterOf(const BestServer& aOwn,
                                                       const BestServer& aOther,
                                                       const ServerRequirements& aNeed,
                                                       Instant aNow) const
{
  if (aOwn.server == nullptr || aOther.server == nullptr) {
    return aOwn.server == nullptr ? aOther.server : aOwn.server;
  }
  // That a daemon prefers other servers is no reason to leave its domain.
  const bool isOtherBetter =
    CostOf(*aOther.server, aNeed, aNow) < CostOf(*aOwn.server, aNeed, aNow);
  return isOtherBetter ? aOther.server : aOwn.server;
}

bool ServerSelector::StaysInDomain(const Server& aOther,
                                   const ServerRequirements& aNeed,
                                   Instant aNow) const
{
  const auto it = mServersByService.find(aNeed.service);
  const bool applies = mEstimates != nullptr && aNeed.expectedBytes && aNeed.owner.empty() &&
                       aOther.entry.domain != mDomain && it != mServersByService.end();
  return applies && std::any_of(it->second.begin(), it->second.end(), [&](const auto& aEntry) {
           const Server& server = *aEntry.second;
           const bool isFull = server.entry.domain == mDomain &&
                               Outstanding(server, aNow) >= server.entry.slots &&
                               UnavailabilityOf(server, aNeed, CapacityLimit::kSlots, aNow) ==
                                 ServerUnavailability::kFull;
           return isFull && WaitsForOwnDomain(CostOf(server, aNeed, aNow),
                                              ExpectedCompletion(server, aNeed.work, aNow),
                                              CostOf(aOther, aNeed, aNow),
                                              aNeed.timeToTarget);
         });
}

double ServerSelector::RankOf(const Server& aServer,
                              const ServerRequirements& aNeed,
                              double aSpread,
                              Instant aNow) const
{
  const double cost = CostOf(aServer, aNeed, aNow);
  if (aSpread <= 0.0 || aNow < aServer.circuitOpenUntil) {
    return cost;
  }
  const double completion = InSeconds(ExpectedCompletion(aServer, aNeed.work, aNow));
  return cost + aSpread * aServer.preference * completion;
}

ServerChoice ServerSelector::Choose(const ServerRequirements& aNeed, Instant aNow) const
{
  ServerChoice choice = ChooseAmong(aNeed, CapacityLimit::kSlots, aNow);
  if (!choice.server && choice.unavailability == ServerUnavailability::kFull) {
    choice = ChooseAmong(aNeed, CapacityLimit::kOneWaiting, aNow);
  }
  return choice;
}

ServerChoice ServerSelector::ChooseAmong(const ServerRequirements& aNeed,
                                         CapacityLimit aCapacityLimit,
                                         Instant aNow) const
{
  ServerChoice choice;
  BestServer ownBest;
  BestServer otherBest;
  const double spread = SpreadOf(aNeed.service, aNow);
  bool allPaused = true;
  Instant firstPauseEnd = Instant::max();
  const auto consider = [&](const Server& aServer) {
    const ServerUnavailability reason = UnavailabilityOf(aServer, aNeed, aCapacityLimit, aNow);
    if (IsOpen(aServer)) {
      allPaused = allPaused && aNow < aServer.pausedUntil;
      firstPauseEnd = std::min(firstPauseEnd, aServer.pausedUntil);
    }
    if (reason != ServerUnavailability::kNone) {
      // Of several reasons, a full server is reported: it is the one that ends soonest.
      if (choice.unavailability == ServerUnavailability::kUnknown ||
          reason == ServerUnavailability::kFull) {
        choice.unavailability = reason;
      }
      return;
    }
    const bool isOther = mSpeeds != nullptr && aServer.entry.domain != mDomain;
    BestServer& rival = isOther ? otherBest : ownBest;
    const double rank = RankOf(aServer, aNeed, spread, aNow);
    if (rival.server == nullptr || rank < rival.rank) {
      rival = { &aServer, rank };
    }
  };
  if (!aNeed.owner.empty()) {
    const auto owner = mServers.find(aNeed.owner);
    if (owner != mServers.end()) {
      consider(owner->second);
    }
  } else if (const auto it = mServersByService.find(aNeed.service); it != mServersByService.end()) {
    for (const auto& [id, server] : it->second) {
      consider(*server);
    }
  }
  const Server* const best = BetterOf(ownBest, otherBest, aNeed, aNow);
  if (best != nullptr && StaysInDomain(*best, aNeed, aNow)) {
    choice.unavailability = ServerUnavailability::kFull;
  } else if (best != nullptr) {
    choice.server = best->entry;
    choice.unavailability = ServerUnavailability::kNone;
    choice.completion = ExpectedCompletion(*best, aNeed.work, aNow);
    choice.outstanding = Outstanding(*best, aNow);
  } else if (allPaused && firstPauseEnd != Instant::max()) {
    choice.pausedUntil = firstPauseEnd;
  }
  return choice;
}

InFlightSlot ServerSelector::Take(const std::string& aId, Instant aNow, const RunningWork& aWork)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return {};
  }
  Server& server = it->second;
  ++server.sentSinceLoadReport;
  server.permits -= std::min(1U, server.permits);
  if (aNow < server.circuitOpenUntil) {
    server.nextTrialAt = aNow + kTrialInterval;
  }
  if (mEstimates == nullptr) {
    return InFlightSlot(server.inFlight);
  }
  const double pace = LastingServiceTimeOf(server, aNow) * ReportedSlowness(server, aNow);
  return InFlightSlot(server.inFlight, server.work, server.work->Add(aWork, pace, aNow));
}

void ServerSelector::OnResult(const std::string& aId, const ForwardSample& aSample, Instant aNow)
{
  const auto it = mServers.find(aId);
  if (it == mServers.end()) {
    return;
  }
  Server& server = it->second;
  if (aSample.load) {
    server.load = aSample.load;
    server.loadReceivedAt = aNow;
    server.sentSinceLoadReport = 0;
  }
  server.unreachable = IsUnreachable(aSample.result);
  const bool answered = aSample.result == ForwardResult::kAnswered;
  if (aSample.result == ForwardResult::kNotOwner) {
    return;
  }
  const bool failed = !answered || aSample.failed;
  server.failureShare = FailureShare(server, aNow);
  server.failureShare += kFailureWeight * ((failed ? 1.0 : 0.0) - server.failureShare);
  server.lastSampleAt = aNow;
  server.consecutiveFailures = failed ? server.consecutiveFailures + 1 : 0;
  if (!failed) {
    server.circuitOpenUntil = Instant();
  }
  const bool failing = server.consecutiveFailures >= kMinConsecutiveFailures &&
                       server.failureShare > kFailingThreshold;
  if (failing || IsUnreachable(aSample.result)) {
    server.circuitOpenUntil = aNow + kCircuitOpenTime;
    server.nextTrialAt = aNow + kTrialInterval;
  }
  const bool contended = aSample.outstanding >= server.entry.slots;
  if (mSpeeds != nullptr) {
    if (!failed && !contended) {
      ShareSample(server, aSample, aNow);
    }
    return;
  }
  if (answered && !contended && aSample.work > Duration::zero()) {
    const double slowness = aSample.load ? std::max(0.1, aSample.load->slowness) : 1.0;
    const double sample = InSeconds(aSample.elapsed) / InSeconds(aSample.work) / slowness;
    server.relativeServiceTime +=
      kServiceTimeWeight * (std::clamp(sample, kMinRelativeServiceTime, kMaxRelativeServiceTime) -
                            server.relativeServiceTime);
  }
}

void ServerSelector::ShareSample(const Server& aServer, const ForwardSample& aSample, Instant aNow)
{
  const bool slowForAWhile =
    aSample.slowWhenSent || (aSample.load && hawthornlug::IsSlowForAWhile(*aSample.load));
  const bool usual = aNow >= aServer.coldUntil && !slowForAWhile;
  if (usual && aSample.workIsMeasured && aSample.work > Duration::zero()) {
    mSpeeds->OnSample(aServer.number, InSeconds(aSample.elapsed) / InSeconds(aSample.work), aNow);
  }
}

void ServerSelector::SetPeerCounts(const std::string& aDaemon,
                                   const InFlightCounts& aCounts,
                                   Instant aNow)
{
  std::vector<std::uint32_t>& reported = mReportedByDaemon[aDaemon];
  for (const std::uint32_t number : reported) {
    const auto it = mServersByNumber.find(number);
    if (it != mServersByNumber.end() && !aCounts.contains(number)) {
      it->second->peerCounts.erase(aDaemon);
    }
  }
  reported.clear();
  for (const auto& [number, count] : aCounts) {
    const auto it = mServersByNumber.find(number);
    if (it != mServersByNumber.end()) {
      it->second->peerCounts[aDaemon] = { count, aNow };
      reported.push_back(number);
    }
  }
}

InFlightCounts ServerSelector::InFlight() const
{
  InFlightCounts counts;
  for (const auto& [id, server] : mServers) {
    if (*server.inFlight > 0) {
      counts[server.number] = *server.inFlight;
    }
  }
  return counts;
}

InFlightCounts ServerSelector::InFlightAtSharedServers() const
{
  InFlightCounts counts;
  for (const auto& [id, server] : mServers) {
    if (*server.inFlight > 0 && IsShared(server)) {
      counts[server.number] = *server.inFlight;
    }
  }
  return counts;
}

bool ServerSelector::IsShared(const Server& aServer) const
{
  return aServer.entry.domain != mDomain || IsKeyed(aServer.entry.service);
}

bool ServerSelector::IsSharedServer(std::uint32_t aNumber) const
{
  const auto it = mServersByNumber.find(aNumber);
  return it != mServersByNumber.end() && IsShared(*it->second);
}

std::vector<ServerEntry> ServerSelector::ServersOf(const std::string& aService) const
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
