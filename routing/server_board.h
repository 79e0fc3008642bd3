/// @file
/// What a daemon knows of the backend servers, and the choice of one for a request.
#pragma once

#include "core/instant.h"
#include "routing/forward_result.h"
#include "routing/route_config.h"
#include "routing/server_entry.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// A daemon's count of its requests at a server; letting go of it takes the request off.
class InFlightSlot
{
public:
  InFlightSlot() = default;
  explicit InFlightSlot(std::shared_ptr<unsigned> aCount);
  ~InFlightSlot();
  InFlightSlot(InFlightSlot&& aOther) noexcept = default;
  InFlightSlot& operator=(InFlightSlot&& aOther) noexcept;
  InFlightSlot(const InFlightSlot&) = delete;
  InFlightSlot& operator=(const InFlightSlot&) = delete;

  void Release();

private:
  std::shared_ptr<unsigned> mCount;
};

/// What a request needs of a server.
struct ServerNeed
{
  std::string service;
  /// How long the request's route takes on a server of normal speed.
  Duration work = Duration::zero();
  /// The route's target latency.
  Duration targetLatency = Duration::zero();
  /// What is left until it is missed; may be negative.
  Duration targetLeft = Duration::zero();
  /// Whether it may be run more than once; only such requests try out failing servers.
  bool idempotent = false;
  /// Servers that have had the request.
  std::vector<std::string> tried;
  /// The owner of the request's key; empty if any server may have it.
  std::string owner;
};

/// Why a server is not used at present.
enum class ServerBar
{
  kNone,
  kUnknown, ///< It is not registered.
  kLeaving,
  kDomainOut,
  kFailing, ///< Its recent answers were failures, or it could not be reached.
  kCold,    ///< It bears no more requests at the moment.
  kFull,
  kTried,
};
inline constexpr EnumNames<8> kServerBarNames = { "none",    "unknown", "leaving", "domain-out",
                                                  "failing", "cold",    "full",    "tried" };

/// The server to use, if any, and why if none.
struct ServerChoice
{
  std::optional<ServerEntry> server;
  ServerBar bar = ServerBar::kUnknown;
  /// When the answer is expected.
  Duration completion = Duration::zero();
  /// Requests known to be at the server, of all daemons.
  unsigned outstanding = 0;
};

/// What was seen of a request at a server.
struct ForwardSample
{
  ForwardResult result = ForwardResult::kUnreachable;
  /// The server answered with a failure of its own.
  bool failed = false;
  Duration elapsed = Duration::zero();
  Duration work = Duration::zero();
  /// Requests known to be there when it was sent, itself not counted.
  unsigned outstanding = 0;
  std::optional<LoadReport> load;
};

/// Keeps the servers and chooses among them. It answers normal load by the expected completion,
/// and overload by letting requests wait here instead of in the servers' own short queues.
class ServerBoard
{
public:
  /// @p aDomain: the daemon's own failure domain.
  explicit ServerBoard(std::string aDomain);

  void Put(const ServerEntry& aEntry, Instant aNow);
  void Remove(const std::string& aId);
  void SetDomainsOut(std::set<std::string> aDomains) { mDomainsOut = std::move(aDomains); }
  void SetRule(const ServiceRule& aRule) { mRules[aRule.name] = aRule; }
  /// How many daemons live in each failure domain.
  void SetDaemons(std::map<std::string, unsigned> aByDomain) { mDaemons = std::move(aByDomain); }
  /// Sets how much more than its rate a cold server takes in any second.
  void SetWarmUpAllowance(double aOvershoot, double aSlack);

  /// Chooses a server with room for the request; does not count it there.
  ServerChoice Choose(const ServerNeed& aNeed, Instant aNow) const;
  /// Counts a request that is about to be sent.
  InFlightSlot Take(const std::string& aId, Instant aNow);
  void OnSample(const std::string& aId, const ForwardSample& aSample, Instant aNow);
  /// What another daemon has in flight; replaces what it told before.
  void SetOthers(const std::string& aDaemon,
                 const std::map<std::uint32_t, unsigned>& aCounts,
                 Instant aNow);

  /// This daemon's requests in flight, by server; only servers that have any.
  std::map<std::uint32_t, unsigned> InFlight() const;
  /// The part of them that daemons of other failure domains need to know: those at servers to
  /// which several domains send, which are keyed ones and those of other domains.
  std::map<std::uint32_t, unsigned> InFlightAtShared() const;
  /// The registered servers of a service.
  std::vector<ServerEntry> ServersOf(const std::string& aService) const;
  const ServerEntry* Find(const std::string& aId) const;
  /// Whether new requests may go to the server, its room left aside.
  bool IsOpen(const std::string& aId) const;
  /// Connections that this daemon may have to a server: its part of what the server takes.
  unsigned ConnectionsTo(const std::string& aId) const;
  /// How long the server takes for work, relative to one of normal speed, at present.
  double PaceOf(const std::string& aId, Instant aNow) const;
  bool IsCold(const std::string& aId, Instant aNow) const;
  bool IsFailing(const std::string& aId, Instant aNow) const;

  /// The number under which daemons tell each other of a server.
  static std::uint32_t NumberOf(const std::string& aId);

private:
  struct Others
  {
    unsigned count = 0;
    Instant at;
  };
  struct Server
  {
    ServerEntry entry;
    std::shared_ptr<unsigned> inFlight = std::make_shared<unsigned>(0);
    std::map<std::string, Others> others;
    std::optional<LoadReport> load;
    Instant loadAt;
    unsigned sentSinceLoad = 0;
    /// Service time relative to the route's usual work, without momentary slowness.
    double pace = 1.0;
    /// Share of recent requests that failed.
    double failures = 0.0;
    Instant sampledAt;
    unsigned failedInRow = 0;
    Instant avoidUntil;
    Instant trickleAt;
    Instant coldUntil;
    Instant coldSentAt;
  };

  /// When a server counts as full.
  enum class Fullness
  {
    kSlots,    ///< All its slots are taken.
    kOneAhead, ///< And one more request waits there, if slots become free fast.
  };

  ServerBar BarOf(const Server& aServer,
                  const ServerNeed& aNeed,
                  Fullness aFullness,
                  Instant aNow) const;
  ServerChoice ChooseAmong(const ServerNeed& aNeed, Fullness aFullness, Instant aNow) const;
  /// How often a slot becomes free while all are taken.
  Duration SlotInterval(const Server& aServer, Duration aWork, Instant aNow) const;
  bool IsOpen(const Server& aServer) const;
  unsigned ConnectionsTo(const Server& aServer) const;
  /// Live daemons of all failure domains.
  unsigned Daemons() const;
  unsigned Outstanding(const Server& aServer, Instant aNow) const;
  /// Share of failures; the older the last sample, the less it counts.
  static double Failures(const Server& aServer, Instant aNow);
  double Slowness(const Server& aServer, Instant aNow) const;
  Duration Completion(const Server& aServer, Duration aWork, Instant aNow) const;
  Duration WarmUpInterval(const Server& aServer) const;
  double CostOf(const Server& aServer, const ServerNeed& aNeed, Instant aNow) const;

  std::string mDomain;
  std::map<std::string, Server> mServers;
  std::map<std::uint32_t, std::string> mByNumber;
  std::map<std::string, ServiceRule> mRules;
  std::map<std::string, unsigned> mDaemons;
  std::set<std::string> mDomainsOut;
  double mWarmUpOvershoot = 1.0;
  double mWarmUpSlack = 0.0;
};

} // namespace hawthornlug
