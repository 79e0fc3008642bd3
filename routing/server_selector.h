/// @file
/// State of the backend servers as one daemon sees it, and selection of a server for a request.
#pragma once

#include "core/instant.h"
#include "routing/forward_result.h"
#include "routing/load_summary.h"
#include "routing/outstanding_work.h"
#include "routing/route_config.h"
#include "routing/server_entry.h"
#include "routing/server_notices.h"
#include "routing/server_room.h"
#include "routing/server_speeds.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornlug {

/// Counts one of this daemon's requests as in flight at a server until it is released or destroyed.
class InFlightSlot
{
public:
  InFlightSlot() = default;
  /// @p aRequest: the request's number in @p aWork, which may be null.
  explicit InFlightSlot(std::shared_ptr<unsigned> aCounter,
                        std::shared_ptr<OutstandingWork> aWork = nullptr,
                        std::uint64_t aRequest = 0);
  ~InFlightSlot();
  InFlightSlot(InFlightSlot&& aOther) noexcept = default;
  InFlightSlot& operator=(InFlightSlot&& aOther) noexcept;
  InFlightSlot(const InFlightSlot&) = delete;
  InFlightSlot& operator=(const InFlightSlot&) = delete;

  /// Takes the request off the count; does nothing if that was done before.
  void Release();

private:
  /// Requests in flight at the server; null after the release.
  std::shared_ptr<unsigned> mCounter;
  /// Where the request's work is counted; null if it is not.
  std::shared_ptr<OutstandingWork> mWork;
  std::uint64_t mRequest = 0;
};

/// What a request requires of a server, and the data by which servers are compared.
struct ServerRequirements
{
  std::string service;
  /// Expected service time of the request's route on a server of normal speed.
  Duration work = Duration::zero();
  /// The route's target latency.
  Duration targetLatency = Duration::zero();
  /// Time left until the target latency is missed; may be negative.
  Duration timeToTarget = Duration::zero();
  /// Whether the request may be run more than once. Only such requests are used as trial requests
  /// for failing servers.
  bool idempotent = false;
  /// Ids of the servers to which the request has been sent already.
  std::vector<std::string> triedServers;
  /// Id of the server that owns the request's key; empty if any server of the service may run it.
  std::string owner;
  /// The daemon has been allotted room for it, so that it may wait at a server that is full.
  bool allotted = false;
  /// Expected bytes of the request and its answer; none while that is not known.
  std::optional<std::size_t> expectedBytes;
};

/// Why a server can't be chosen for a request at present.
enum class ServerUnavailability
{
  kNone,      ///< It can be chosen.
  kUnknown,   ///< It is not registered.
  kLeaving,   ///< It is draining, or has announced that it leaves.
  kDomainOut, ///< Its failure domain has been taken out of service.
  kFailing,   ///< Its recent answers were failures, or it could not be reached.
  kCold,      ///< It is warming up, and this daemon has no permit to send it a request.
  kFull,      ///< All its slots, or all connections to it, are in use.
  kTried,     ///< The request was sent to it before.
  kPaused,    ///< It has asked this daemon for a pause.
};
inline constexpr EnumNames<9> kServerUnavailabilityNames = { "none",       "unknown", "leaving",
                                                             "domain-out", "failing", "cold",
                                                             "full",       "tried",   "paused" };

/// The chosen server, or the reason why there is none.
struct ServerChoice
{
  std::optional<ServerEntry> server;
  ServerUnavailability unavailability = ServerUnavailability::kUnknown;
  /// Expected time until the server answers.
  Duration completion = Duration::zero();
  /// Requests of all daemons that are known to be at the server.
  unsigned outstanding = 0;
  /// If no server was chosen, and every one that accepts requests at all has asked this daemon for
  /// a pause: when the first of these pauses ends. Otherwise the epoch.
  Instant pausedUntil;
};

/// The result of one request that was forwarded to a server.
struct ForwardSample
{
  ForwardResult result = ForwardResult::kUnreachable;
  /// The server's answer reports a failure of the server.
  bool failed = false;
  /// Time from sending the request to its result.
  Duration elapsed = Duration::zero();
  /// Expected service time on a server of normal speed.
  Duration work = Duration::zero();
  /// Requests that were known to be at the server when this one was sent, without this one.
  unsigned outstanding = 0;
  std::optional<LoadReport> load;
  /// Whether the expected service time follows from measurements.
  bool workIsMeasured = false;
  /// Whether the server was known to be slow for a while when the request was sent.
  bool slowWhenSent = false;
};

/// Keeps the state of the registered servers and chooses one for each request: under normal load
/// chiefly by the expected completion, under overload none, so that requests wait in the daemon
/// instead of in the servers' own short queues.
class ServerSelector
{
public:
  /// @p aDomain: the daemon's own failure domain. @p aDaemon: its id, by which daemons that know
  /// the same prefer different servers.
  explicit ServerSelector(std::string aDomain, std::string aDaemon = {});
  ServerSelector(ServerSelector&&) = default;
  ServerSelector& operator=(ServerSelector&&) = default;
  ServerSelector(const ServerSelector&) = delete;
  ServerSelector& operator=(const ServerSelector&) = delete;

  /// Uses and feeds speeds that daemons share instead of this daemon's own measurements alone; to
  /// be called before the first server is added.
  void ShareSpeeds(ServerSpeeds& aSpeeds) { mSpeeds = &aSpeeds; }
  /// Compares servers by the work that requests still require, and other failure domains by the
  /// bytes of a request; to be called before the first server is added.
  void UseEstimates(const WorkEstimator& aEstimates) { mEstimates = &aEstimates; }
  /// Adds or updates a server. A new incarnation starts without the samples of the earlier one.
  void Put(const ServerEntry& aEntry, Instant aNow);
  void Remove(const std::string& aId, Instant aNow);
  /// Everything that the registry had confirmed by @p aAsOf has been put in.
  void SetRegistryAsOf(Instant aAsOf) { mRegistryAsOf = aAsOf; }
  /// Age of the knowledge of the servers' states.
  Duration RegistryAge(Instant aNow) const { return aNow - mRegistryAsOf; }
  /// Records what one incarnation of a server has stated about itself, whether or not it is
  /// registered. Returns whether it is news that this incarnation is leaving.
  bool OnNotice(const ServerRef& aServer, const ServerNotice& aNotice, Instant aNow);
  /// The notices of all servers.
  const ServerNotices& Notices() const { return mNotices; }
  /// Sets the failure domains that have been taken out of service.
  void SetDomainsOutOfService(std::set<std::string> aDomains)
  {
    mDomainsOutOfService = std::move(aDomains);
  }
  void SetServiceRule(const ServiceRule& aRule) { mServiceRules[aRule.name] = aRule; }
  /// Path of the health check of a service's servers; empty if the service is not known.
  std::string HealthPathOf(const std::string& aService) const;
  /// Sets the number of live daemons in each failure domain.
  void SetDaemonCounts(std::map<std::string, unsigned> aByDomain)
  {
    mDaemonsByDomain = std::move(aByDomain);
  }
  /// Sets how far the requests to a cold server may exceed its warm-up rate: in any second, the
  /// rate times @p aOvershoot, plus @p aSlack requests.
  void SetWarmUpAllowance(double aOvershoot, double aSlack);
  /// Requests that a cold server may get in any second from all daemons together; 0 if it is not
  /// registered or its service has no limit.
  double WarmUpLimitOf(const std::string& aId) const;
  /// Sets how many requests this daemon may send to a cold server until @p aUntil; replaces what it
  /// had before.
  void SetPermits(const std::string& aId, unsigned aCount, Instant aUntil);
  /// Whether this daemon may send a request to the server though it is cold.
  bool HasPermit(const std::string& aId, Instant aNow) const;
  /// The servers that are warming up and get requests with permits only.
  std::vector<const ServerEntry*> ColdServers(Instant aNow) const;

  /// Sets whether owners of keys that can be reached get requests while their circuit breakers are
  /// open (LoadFeature::kContention).
  void SetContention(bool aIsOn) { mContention = aIsOn; }
  /// The room of a server for requests that take @p aWork at normal speed; no slots if it is not
  /// registered.
  ServerRoom RoomOf(const std::string& aId, Duration aWork, Instant aNow) const;
  /// The room of all servers of a service that accept requests: those that are failing, paused or
  /// warming up don't count.
  ServerRoom RoomOfService(const std::string& aService, Duration aWork, Instant aNow) const;

  /// Chooses a server with room for the request. Take() must be called to count the request.
  ServerChoice Choose(const ServerRequirements& aNeed, Instant aNow) const;
  /// Counts a request that is about to be sent as in flight until the returned slot is released.
  /// @p aWork: what it is expected to cost.
  InFlightSlot Take(const std::string& aId, Instant aNow, const RunningWork& aWork = {});
  /// Updates a server's averages, failure state and load with the result of a request.
  void OnResult(const std::string& aId, const ForwardSample& aSample, Instant aNow);
  /// Sets another daemon's requests in flight by server number; replaces its earlier report.
  void SetPeerCounts(const std::string& aDaemon, const InFlightCounts& aCounts, Instant aNow);

  /// This daemon's requests in flight, without the servers that have none.
  InFlightCounts InFlight() const;
  /// The requests in flight that are reported to daemons of other failure domains: those at shared
  /// servers.
  InFlightCounts InFlightAtSharedServers() const;
  /// Whether a server receives requests from several failure domains: keyed servers do, and for
  /// this daemon's domain the servers of other domains. False if it is not registered.
  bool IsSharedServer(std::uint32_t aNumber) const;
  /// The registered servers of a service.
  std::vector<ServerEntry> ServersOf(const std::string& aService) const;
  /// Whether the servers of a service own keys.
  bool IsKeyed(const std::string& aService) const;
  /// Null if the server is not registered.
  const ServerEntry* Find(const std::string& aId) const;
  /// Whether any server is known.
  bool HasServers() const { return !mServers.empty(); }
  /// Whether the server may get new requests: it is ready, has not announced that it leaves, and
  /// its failure domain is in service. Free slots and pauses are not considered.
  bool IsOpen(const std::string& aId) const;
  /// Connections that this daemon may have to a server: its equal share of the server's limit.
  /// 0 if the server is not registered.
  unsigned MaxConnectionsTo(const std::string& aId) const;
  /// The server's current service time relative to a server of normal speed; above 1 is slower.
  double RelativeServiceTimeOf(const std::string& aId, Instant aNow) const;
  /// Whether the server currently reports that it takes longer than normal.
  bool IsSlowForAWhile(const std::string& aId, Instant aNow) const;
  /// Whether the server is still warming up.
  bool IsCold(const std::string& aId, Instant aNow) const;
  /// Whether the server gets trial requests only because it failed or could not be reached.
  bool IsFailing(const std::string& aId, Instant aNow) const;

  /// A hash of the server id, by which daemons identify the server in their load reports.
  static std::uint32_t HashedIdOf(const std::string& aId);

private:
  /// Requests that another daemon has in flight at a server.
  struct PeerCount
  {
    unsigned count = 0;
    Instant receivedAt;
  };
  struct Server
  {
    ServerEntry entry;
    /// What identifies it in load reports.
    std::uint32_t number = 0;
    /// This daemon's own preference, from 0 to 1; lower is preferred.
    double preference = 0.0;
    std::shared_ptr<unsigned> inFlight = std::make_shared<unsigned>(0);
    /// What this daemon's requests there still require; empty without estimates.
    std::shared_ptr<OutstandingWork> work = std::make_shared<OutstandingWork>();
    /// By daemon id.
    std::map<std::string, PeerCount> peerCounts;
    std::optional<LoadReport> load;
    Instant loadReceivedAt;
    unsigned sentSinceLoadReport = 0;
    /// Moving average of the service time relative to a server of normal speed, without the
    /// slowness that the server itself reports.
    double relativeServiceTime = 1.0;
    /// Moving average of the share of requests that failed.
    double failureShare = 0.0;
    Instant lastSampleAt;
    unsigned consecutiveFailures = 0;
    /// Until then the circuit breaker is open: the server counts as failing and gets trial requests
    /// only.
    Instant circuitOpenUntil;
    /// The last attempt ended without a connection to it.
    bool unreachable = false;
    /// When the next trial request is due.
    Instant nextTrialAt;
    Instant coldUntil;
    /// Requests that this daemon may send while the server is cold, and until when.
    unsigned permits = 0;
    Instant permitsUntil;
    /// The server has announced that it leaves.
    bool leaving = false;
    /// Until then it wants no requests from this daemon.
    Instant pausedUntil;
  };

  /// Up to which number of outstanding requests a server may be chosen.
  enum class CapacityLimit
  {
    kSlots,      ///< As many requests as it has slots.
    kOneWaiting, ///< One more, which waits at the server, if slots become free fast enough.
  };

  /// Why the server can't be chosen; kNone if it can.
  ServerUnavailability UnavailabilityOf(const Server& aServer,
                                        const ServerRequirements& aNeed,
                                        CapacityLimit aCapacityLimit,
                                        Instant aNow) const;
  /// Chooses the server with the lowest cost among those below the limit.
  ServerChoice ChooseAmong(const ServerRequirements& aNeed,
                           CapacityLimit aCapacityLimit,
                           Instant aNow) const;
  /// Whether a request is sent to the owner of its key despite the owner's open circuit breaker.
  bool ServesDespiteFailures(const Server& aServer, const ServerRequirements& aNeed) const;
  /// Requests up to which the server may be chosen.
  unsigned CapacityOf(const Server& aServer,
                      const ServerRequirements& aNeed,
                      CapacityLimit aCapacityLimit,
                      Instant aNow) const;
  /// Slots that are used: half of them while the circuit breaker is open.
  unsigned UsableSlots(const Server& aServer, Instant aNow) const;
  ServerRoom RoomOf(const Server& aServer, Duration aWork, Instant aNow) const;
  /// Expected time on a server of normal speed until a slot is free for one more request.
  Duration SlotWait(const Server& aServer, Duration aWork, Instant aNow) const;
  /// Cost in seconds of sending the request to a server of another failure domain.
  double OtherDomainCostOf(const Server& aServer,
                           const ServerRequirements& aNeed,
                           Instant aNow) const;
  /// The server that ranks first so far among those of a domain.
  struct BestServer
  {
    const Server* server = nullptr;
    double rank = 0.0;
  };
  /// The better one of the best servers of the own domain and of the others; null if there is none.
  const Server* BetterOf(const BestServer& aOwn,
                         const BestServer& aOther,
                         const ServerRequirements& aNeed,
                         Instant aNow) const;
  /// Whether the request waits for a full server of the own domain instead of being sent to
  /// @p aOther.
  bool StaysInDomain(const Server& aOther, const ServerRequirements& aNeed, Instant aNow) const;
  /// Mean time between two slots that become free while all are taken.
  Duration SlotInterval(const Server& aServer, Duration aWork, Instant aNow) const;
  bool IsOpen(const Server& aServer) const;
  bool IsShared(const Server& aServer) const;
  /// Copies the notices that apply to the server's incarnation.
  void ApplyNotices(Server& aServer) const;
  unsigned MaxConnectionsTo(const Server& aServer) const;
  /// Live daemons of all failure domains.
  unsigned DaemonCount() const;
  /// Requests of all daemons that are known to be at the server.
  unsigned Outstanding(const Server& aServer, Instant aNow) const;
  /// The failure share, decayed by the age of the last sample.
  static double FailureShare(const Server& aServer, Instant aNow);
  /// The slowness that the server reported; 1 if there is no current report.
  double ReportedSlowness(const Server& aServer, Instant aNow) const;
  /// The server's service time relative to a server of normal speed, without the slowness that it
  /// reports.
  double LastingServiceTimeOf(const Server& aServer, Instant aNow) const;
  /// Passes a request's service time to the shared speeds if it was measured under usual
  /// conditions.
  void ShareSample(const Server& aServer, const ForwardSample& aSample, Instant aNow);
  /// Expected time until a request that is sent now is answered.
  Duration ExpectedCompletion(const Server& aServer, Duration aWork, Instant aNow) const;
  /// Whether requests to the server need permits.
  bool NeedsPermit(const Server& aServer, Instant aNow) const;
  double WarmUpLimitOf(const Server& aServer) const;
  /// The extra cost of the server that this daemon prefers least, as a multiple of the expected
  /// completion; see ChoiceSpread().
  double SpreadOf(const std::string& aService, Instant aNow) const;
  /// Cost in seconds by which servers are compared: the lowest is chosen.
  double CostOf(const Server& aServer, const ServerRequirements& aNeed, Instant aNow) const;
  /// The cost by which servers of the same failure domain are compared: with shared speeds, servers
  /// that this daemon does not prefer cost more. @p aSpread: SpreadOf() the service.
  double RankOf(const Server& aServer,
                const ServerRequirements& aNeed,
                double aSpread,
                Instant aNow) const;

  std::string mDomain;
  std::string mDaemon;
  std::map<std::string, Server> mServers;
  /// The servers of each service, by id; they point into mServers.
  std::map<std::string, std::map<std::string, const Server*>> mServersByService;
  /// The servers by the number that load reports use; they point into mServers.
  std::unordered_map<std::uint32_t, Server*> mServersByNumber;
  /// The numbers of the servers in each daemon's latest report.
  std::map<std::string, std::vector<std::uint32_t>> mReportedByDaemon;
  std::map<std::string, ServiceRule> mServiceRules;
  std::map<std::string, unsigned> mDaemonsByDomain;
  std::set<std::string> mDomainsOutOfService;
  Instant mRegistryAsOf;
  ServerNotices mNotices;
  /// Null if servers are compared by the number of outstanding requests.
  const WorkEstimator* mEstimates = nullptr;
  /// Null if this daemon uses its own measurements alone.
  ServerSpeeds* mSpeeds = nullptr;
  double mWarmUpOvershoot = 1.0;
  double mWarmUpSlack = 0.0;
  bool mContention = false;
};

} // namespace hawthornlug
