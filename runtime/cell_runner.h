/// @file
/// Carries out a cell's decisions: calls the platform and the servers, and runs orders.
#pragma once

#include "config/stored_config.h"
#include "limits/retry_budget.h"
#include "limits/server_gate.h"
#include "ownership/cell_machine.h"
#include "placement/cell_planner.h"
#include "runtime/services.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace hawthornlug {

/// An order that waits for its outcome at the attached daemon.
struct PendingOrder
{
  Order order;
  ShardId shard = 0;
  std::function<void(const OrderAnswer&)> done;
  TicketId ticket = 0;
  unsigned tries = 0;
  Instant arrivedAt;
  /// Not tried again before this.
  Instant notBefore;
  /// The server that it waits for or runs at, empty if none.
  std::string server;
  /// Set while it runs at a server.
  std::shared_ptr<http::Call> call;
  /// Nobody waits for it any more.
  bool abandoned = false;
};
using PendingPtr = std::shared_ptr<PendingOrder>;

/// What an operator sees of a server.
struct ServerView
{
  std::string id;
  bool usable = false;
  bool cold = false;
  std::uint32_t running = 0;
  std::size_t waiting = 0;
  std::uint32_t allowed = 0;
  Duration latency = Duration::zero();
  double slowness = 1.0;
};

/// What an operator sees of a cell.
struct CellView
{
  std::string name;
  CellRole role = CellRole::kIdle;
  FencingToken token = 0;
  DaemonRef attached;
  std::size_t shards = 0;
  std::size_t unserved = 0;
  std::size_t held = 0;
  std::vector<ServerView> servers;
};

/// One change in a shard's past.
struct ShardEvent
{
  Instant at;
  CellEvent event = CellEvent::kTaken;
  std::string server;
  Epoch epoch = 0;
  std::string reason;
};

/// Runs one CellMachine on threads.
class CellRunner : public std::enable_shared_from_this<CellRunner>
{
public:
  CellRunner(std::string aCell, DaemonRef aSelf, Services& aServices);

  /// Puts a configuration of the cell in force.
  void Configure(const CellConfig& aCell, const ServiceConfig& aService, bool aDomainOut);
  void SetInitialShards(std::vector<ShardId> aShards);
  void TakeOver();
  void HandOver(const DaemonRef& aTo);
  void OnHint(Version aVersion, const CellObject& aObject);
  void OnOtherHint(const std::string& aCell, const CellObject& aObject);
  void OnDaemonGone(const DaemonRef& aDaemon);
  void Tick(Instant aNow);
  /// Share of the service's shards that may be moved in a minute for balance, in percent.
  void SetChurn(double aPercentPerMinute);
  /// Plans and begins moves; @p aCells are all cells of the service.
  void Plan(Instant aNow, const std::vector<CellLoad>& aCells);

  /// Takes an order in; never blocks.
  void Submit(const PendingPtr& aOrder);
  /// Nobody waits for the order any more: drops it if it waits; breaks it off if it is repeatable.
  void Abandon(const PendingPtr& aOrder);

  CellRole Role() const;
  /// Daemons of which proof is wanted that they are gone.
  std::vector<DaemonRef> WantedEvidence() const;
  CellView View() const;
  std::vector<ShardEvent> History(ShardId aShard) const;
  std::optional<ShardRecord> OwnerOf(ShardId aShard) const;
  std::optional<ShardPhase> PhaseOf(ShardId aShard) const;

private:
  struct Start
  {
    PendingPtr order;
    Admission admission;
  };

  struct Finished
  {
    PendingPtr order;
    OrderAnswer answer;
  };

  /// What is to be done after the lock has been let go.
  struct Effects
  {
    std::vector<CellAction> actions;
    std::vector<Start> starts;
    std::vector<Finished> finished;
  };

  struct Server
  {
    std::shared_ptr<ServerPort> port;
    std::unique_ptr<ServerGate> gate;
    std::unordered_map<TicketId, PendingPtr> waiting;
    Incarnation incarnation = 0;
    /// Operators drain it.
    bool draining = false;
    /// It says itself that it is about to leave.
    bool leaving = false;
    bool checked = true;
    bool straggling = false;
    bool cold = false;
    /// Time spent on orders since the last plan, and their number.
    Duration busy = Duration::zero();
    std::uint64_t served = 0;
  };

  /// An order without an answer to a server that may still start it until its deadline.
  struct Lingering
  {
    Instant until;
    ShardId shard = 0;
  };

  template<typename Input>
  void Feed(Input aInput);
  void Route(const PendingPtr& aOrder, Effects& aEffects);
  void RouteHeld(Effects& aEffects);
  void Hold(const PendingPtr& aOrder, Effects& aEffects);
  void StartTickets(const std::string& aServer, std::vector<TicketId> aTickets, Effects& aEffects);
  void Collect(Effects& aEffects);
  void Carry(const Effects& aEffects);
  void Perform(const CellAction& aAction);
  void PerformWrite(const WriteCell& aAction);
  void PerformRead();
  void PerformReadOther(const ReadOtherCell& aAction);
  void PerformFence(const FenceServer& aAction);
  void PerformGrant(const GrantServer& aAction);
  void OnFenced(const std::string& aServer, const ServerReply& aReply);
  void OnGranted(const std::string& aServer, const ServerReply& aReply);
  void Log(const CellNote& aNote);
  void RunOrder(const Start& aStart);
  void OnAnswer(const Start& aStart,
                const TraceContext& aSpan,
                Instant aStartedAt,
                SendAnswer aAnswer);
  void FinishOrder(const Start& aStart, SendAnswer aAnswer, Instant aStartedAt);
  bool MayRetry(const PendingOrder& aOrder, Instant aNow, SendResult aResult);
  void RecordSpan(const Start& aStart, const char* aName, Instant aFrom, Instant aTo, bool aServed);
  std::shared_ptr<ServerPort> PortOf(const std::string& aServer) const;
  /// Tells the machine which servers there are and which of them may be given shards.
  void PutServersInForce(Instant aNow);
  /// Takes in what a server said of itself in a control reply.
  void HearServer(Instant aNow, const std::string& aServer, const ServerReply& aReply);
  void SetReferences();
  std::vector<ServerSample> TakeServerSamples();
  std::vector<ShardSample> TakeShardSamples(const std::vector<ServerSample>& aServers);
  void BeginMoves(Instant aNow);
  void BeginTransfers(Instant aNow, const std::vector<CellLoad>& aCells);

  const std::string mCell;
  const DaemonRef mSelf;
  Services& mServices;

  mutable std::mutex mMutex;
  CellMachine mMachine;
  ServiceConfig mService;
  /// The servers as the configuration has them.
  std::vector<CellServerSpec> mSpecs;
  std::map<std::string, Server> mServers;
  std::deque<PendingPtr> mHeld;
  std::vector<Lingering> mLingering;
  RetryBudget mRetries;
  TicketId mNextTicket = 0;
  std::optional<Instant> mDomainOutSince;
  std::map<ShardId, std::deque<ShardEvent>> mHistory;
  std::map<ShardId, std::string> mReasons;
  std::map<ShardId, double> mRecentWork;
  CellPlanner mPlanner;
  double mChurnPercent = 1.0;
};

} // namespace hawthornlug
