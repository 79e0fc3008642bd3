/// @file
/// Executes the decisions of one cell: calls the platform and the backend servers, and sends orders
/// to the servers. A cell is the servers of one service in one failure domain; at most one daemon,
/// the attached one, leads it.
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

/// A caller's request (order) at the attached daemon, from its arrival until it has been answered.
struct PendingOrder
{
  Order order;
  ShardId shard = 0;
  /// Called once, with the answer.
  std::function<void(const OrderAnswer&)> done;
  TicketId ticket = 0;
  /// Number of retries so far.
  unsigned retries = 0;
  Instant arrivedAt;
  /// Earliest time of the next try.
  Instant notBefore;
  /// The server whose queue it waits in or that it was last sent to; empty if none.
  std::string server;
  /// The call to the server; set while the order runs there.
  std::shared_ptr<http::Call> call;
  /// The caller no longer waits for the answer.
  bool abandoned = false;
  /// The attempts to have a server run it; guarded by the cell's lock.
  ExecutionRecord execution;
  /// The attempt that was begun last; one ends before the next one begins.
  AttemptNumber attempt = 0;
};
using PendingOrderPtr = std::shared_ptr<PendingOrder>;

/// State of a backend server, for operators.
struct ServerView
{
  std::string id;
  bool usable = false;
  /// In slow start after a restart.
  bool cold = false;
  /// Orders that run at the server.
  std::uint32_t running = 0;
  /// Orders in the server's queue.
  std::size_t waiting = 0;
  /// Orders that may run at the same time at present.
  std::uint32_t allowed = 0;
  /// Usual time that the server takes for an order.
  Duration latency = Duration::zero();
  double slowness = 1.0;
};

/// State of a cell, for operators.
struct CellView
{
  std::string name;
  CellRole role = CellRole::kIdle;
  FencingToken token = 0;
  DaemonRef attached;
  std::size_t shards = 0;
  /// Shards of the cell that no server serves at the moment.
  std::size_t unserved = 0;
  /// Orders that wait until their shard is served or for their next try.
  std::size_t held = 0;
  std::vector<ServerView> servers;
};

/// One event in the history of a shard.
struct ShardEvent
{
  Instant at;
  CellEvent event = CellEvent::kTaken;
  std::string server;
  Epoch epoch = 0;
  std::string reason;
};

/// Connects one CellMachine to timers, worker threads and ports. Safe to use from any thread.
class CellRunner : public std::enable_shared_from_this<CellRunner>
{
public:
  CellRunner(std::string aCell, DaemonRef aSelf, Services& aServices);

  /// Applies a configuration of the cell; @p aDomainOut: its failure domain is out of service.
  void Configure(const CellConfig& aCell, const ServiceConfig& aService, bool aDomainOut);
  /// Sets the shards that the cell starts with if the platform has no object of it yet.
  void SetInitialShards(std::vector<ShardId> aShards);
  /// Begins to attach this daemon to the cell.
  void TakeOver();
  /// Begins to pass the cell on to the daemon @p aTo.
  void HandOver(const DaemonRef& aTo);
  /// Processes a cached copy, possibly stale, of this cell's object.
  void OnCachedObject(Version aVersion, const CellObject& aObject);
  /// Processes a cached copy, possibly stale, of another cell's object.
  void OnOtherCachedObject(const std::string& aCell, const CellObject& aObject);
  /// Processes the proof that an incarnation of a daemon has stopped.
  void OnDaemonStopped(const DaemonRef& aDaemon);
  /// Processes what is due at @p aNow; to be called periodically.
  void Tick(Instant aNow);
  /// Limits moves for balance, in percent of the shards per minute.
  void SetChurnLimit(double aPercentPerMinute);
  /// Plans and begins moves of shards if this daemon is attached; @p aCells are all cells of the
  /// service.
  void Plan(Instant aNow, const std::vector<CellLoad>& aCells);

  /// Accepts an order and routes it to the server that owns its shard; never blocks.
  void Submit(const PendingOrderPtr& aOrder);
  /// To be called when the caller no longer waits for the order. An order that has not been sent to
  /// a server yet is dropped; the call of one that runs is cancelled if the order is repeatable.
  void Abandon(const PendingOrderPtr& aOrder);

  CellRole Role() const;
  /// Incarnations of daemons that the cell needs proof of having stopped.
  std::vector<DaemonRef> DaemonsToConfirmStopped() const;
  CellView View() const;
  /// The latest events of a shard, oldest first.
  std::vector<ShardEvent> History(ShardId aShard) const;
  std::optional<ShardRecord> OwnerOf(ShardId aShard) const;
  std::optional<ShardPhase> PhaseOf(ShardId aShard) const;

private:
  /// An order that has been admitted and has a slot at a server.
  struct AdmittedOrder
  {
    PendingOrderPtr order;
    Admission admission;
  };

  /// An order and the answer to report.
  struct AnsweredOrder
  {
    PendingOrderPtr order;
    OrderAnswer answer;
  };

  /// Work to be done after the lock has been released, since it calls ports and callbacks.
  struct Effects
  {
    std::vector<CellAction> actions;
    std::vector<AdmittedOrder> admitted;
    std::vector<AnsweredOrder> answered;
  };

  struct Server
  {
    std::shared_ptr<ServerPort> port;
    std::unique_ptr<ServerGate> gate;
    /// The orders in the gate's queue.
    std::unordered_map<TicketId, PendingOrderPtr> queued;
    Incarnation incarnation = 0;
    /// Set by operators in the configuration.
    bool draining = false;
    /// The server reported that it is about to leave.
    bool leaving = false;
    /// Whether the server checks tokens, grants and deadlines.
    bool checksFencing = true;
    /// States that were logged last.
    bool loggedStraggling = false;
    bool loggedCold = false;
    /// Total latency and number of the orders that the server answered since the last plan.
    Duration busyTime = Duration::zero();
    std::uint64_t answeredOrders = 0;
  };

  /// An order that was sent to a server that doesn't check deadlines and got no answer. The server
  /// may still start it, so the order counts as in flight until its deadline.
  struct UnansweredOrder
  {
    Instant until; ///< The order's deadline.
    ShardId shard = 0;
  };

  /// Runs @p aInput, which gives the cell machine an input, under the lock, then executes the
  /// effects without the lock.
  template<typename Input>
  void Dispatch(Input aInput);
  /// Admits the order to its server's gate, holds it, or refuses it.
  void RouteOrder(const PendingOrderPtr& aOrder, Effects& aEffects);
  /// Ends the order without a server's answer: it is not run for the reason @p aRefusal, or its
  /// outcome is unknown if it was sent and may have run.
  static void RefuseOrder(const PendingOrderPtr& aOrder,
                          Refusal aRefusal,
                          Effects& aEffects,
                          Duration aRetryAfter = kDefaultRetryAfter);
  /// As above; the answer names the daemon that is attached to the cell.
  void RedirectOrder(const PendingOrderPtr& aOrder, Effects& aEffects) const;
  /// Routes the held orders again and ends those that are past their deadline.
  void RouteHeldOrders(Effects& aEffects);
  /// Keeps the order until its shard is served; refuses it if too many are held.
  void HoldOrder(const PendingOrderPtr& aOrder, Effects& aEffects);
  /// Starts orders that the server's gate has taken out of its queue.
  void StartQueuedOrders(const std::string& aServer,
                         std::vector<TicketId> aTickets,
                         Effects& aEffects);
  /// Takes the machine's actions into @p aEffects and records them in the shards' histories.
  void CollectActions(Effects& aEffects);
  void Execute(const Effects& aEffects);
  void ExecuteAction(const CellAction& aAction);
  void ExecuteWrite(const WriteCell& aAction);
  void ExecuteRead();
  void ExecuteReadOther(const ReadOtherCell& aAction);
  void ExecuteFence(const FenceServer& aAction);
  void ExecuteGrant(const GrantServer& aAction);
  void OnFenced(const std::string& aServer, const ServerReply& aReply);
  void OnGranted(const std::string& aServer, const ServerReply& aReply);
  void Log(const ReportCellEvent& aNote);
  void RunOrder(const AdmittedOrder& aAdmitted);
  /// Begins an attempt. Returns nothing if the order has been answered.
  std::optional<AttemptPermit> BeginAttempt(const PendingOrderPtr& aOrder);
  void OnAnswer(const AdmittedOrder& aAdmitted,
                const TraceContext& aSpan,
                Instant aStartedAt,
                SendAnswer aAnswer);
  void FinishOrder(const AdmittedOrder& aAdmitted, SendAnswer aAnswer, Instant aStartedAt);
  /// Gives back the slot of an order that was not sent.
  void ReturnSlot(const AdmittedOrder& aAdmitted);
  /// Gives back the server's slot and counts what the attempt took.
  void ReleaseSlot(const AdmittedOrder& aAdmitted,
                   SendResult aResult,
                   Instant aNow,
                   Duration aLatency,
                   Effects& aEffects);
  /// Whether a failed order is tried again; takes a credit of the retry budget where one is due.
  bool MayRetry(const PendingOrder& aOrder, Instant aNow, SendResult aResult);
  void RecordSpan(const AdmittedOrder& aAdmitted,
                  const char* aName,
                  Instant aFrom,
                  Instant aTo,
                  bool aServed);
  std::shared_ptr<ServerPort> PortOf(const std::string& aServer) const;
  /// Passes the servers to the machine, with those that may receive shards marked.
  void ApplyServers(Instant aNow);
  /// Updates whether a server is about to leave from its reply to a control call.
  void UpdateLeavingState(Instant aNow, const std::string& aServer, const ServerReply& aReply);
  /// Sets the reference latency of all gates to the lowest usual latency of a warm server, and logs
  /// the servers that became cold or warm.
  void UpdateReferenceLatencies();
  /// Returns the load of the servers since the last call.
  std::vector<ServerSample> TakeServerSamples();
  /// Returns the load of the served shards since the last call.
  std::vector<ShardSample> TakeShardSamples(const std::vector<ServerSample>& aServers);
  /// Begins moves between servers of the cell.
  void BeginMoves(Instant aNow);
  /// Begins moves to other cells.
  void BeginTransfers(Instant aNow, const std::vector<CellLoad>& aCells);

  const std::string mCell;
  const DaemonRef mSelf;
  Services& mServices;

  mutable std::mutex mMutex;
  CellMachine mMachine;
  ServiceConfig mService;
  /// The servers in the configuration.
  std::vector<CellServerSpec> mServerSpecs;
  std::map<std::string, Server> mServers;
  /// Orders that wait until their shard is served or for their next try.
  std::deque<PendingOrderPtr> mHeldOrders;
  std::vector<UnansweredOrder> mUnansweredOrders;
  RetryBudget mRetryBudget;
  TicketId mNextTicket = 0;
  std::optional<Instant> mDomainOutSince;
  std::map<ShardId, std::deque<ShardEvent>> mHistory;
  /// Reasons of the moves that have begun and are not in the history yet.
  std::map<ShardId, std::string> mMoveReasons;
  /// Total latency of the shards' orders since the last plan, in seconds.
  std::map<ShardId, double> mBusySeconds;
  CellPlanner mPlanner;
  double mChurnPercentPerMinute = 1.0;
};

} // namespace hawthornlug
