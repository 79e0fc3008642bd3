/// @file
/// Deterministic simulation of a small cluster around the production CellMachine: the daemons'
/// machines are real; the platform (the store that holds each cell's record), the backend servers
/// and the network are plain values under a manual clock. The test chooses every event.
#pragma once

#include "ownership/cell_machine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug::testing {

/// A backend server that follows the protocol.
struct SimulatedServer
{
  std::string id;
  /// A checked server itself rejects stale tokens, expired leases and shards that it was not
  /// granted; an unchecked one executes every order that reaches it before the order's deadline.
  bool checked = true;
  bool alive = true;
  /// A frozen server keeps its state but processes no messages until it resumes.
  bool frozen = false;
  Incarnation incarnation = 1;
  /// Control calls that are not greater than this one are rejected as superseded.
  std::pair<FencingToken, CallNumber> lastAcceptedCall;
  /// Rate of the server's clock in thousandths of true time.
  std::int64_t clockRatePerMille = 1000;
  /// Added to the scaled time, so that the servers' clocks show unrelated values.
  std::int64_t clockOffset = 0;
  /// By the server's own clock.
  ServerInstant leaseExpiry = 0;
  /// Epoch of each shard that is granted now.
  std::map<ShardId, Epoch> grants;
  /// Highest epoch of each shard that was ever granted to this incarnation.
  std::map<ShardId, Epoch> highestEpochs;
};

/// One execution of an order by a server.
struct OrderExecution
{
  std::uint64_t orderId = 0;
  std::string server;
  ShardId shard = 0;
  Epoch epoch = 0;
};

/// Outcome of an order as its sender knows it.
enum class OrderOutcome
{
  kWaiting,
  kDone,
  /// Certainly not executed, so that a retry is safe.
  kNotRun,
  kUnknown,
};
inline constexpr EnumNames<4> kOrderOutcomeNames = { "waiting", "done", "not-run", "unknown" };

/// An order: a caller's request that a daemon sends to a backend server.
struct SimulatedOrder
{
  std::uint64_t id = 0;
  std::string daemon;
  std::string cell;
  ShardId shard = 0;
  Admission admission;
  /// The server must not start the order after this time by its own clock.
  ServerInstant serverDeadline = 0;
  Instant deadline;
  OrderOutcome outcome = OrderOutcome::kWaiting;
  /// The daemon's machine has been notified that the order ended.
  bool finished = false;
};

/// A control call or an order in transit, or the answer to it.
struct Message
{
  std::uint64_t number = 0;
  std::string daemon;
  std::string cell;
  /// The receiving server; empty if the platform is the receiver.
  std::string server;
  CellAction action;
  /// Set if the message carries an order; `action` is then unused.
  std::optional<std::uint64_t> orderId;
  /// The receiver has processed the message, and the answer is in transit to the sender.
  bool isAnswer = false;
  ServerReply reply;
  WriteOutcome writeOutcome = WriteOutcome::kUnknown;
  /// Version of the object that was read or written.
  Version version = 0;
  std::optional<CellObject> object;
  OrderOutcome orderOutcome = OrderOutcome::kWaiting;
  Instant sentAt;
  /// The sender has timed out or stopped, and will not process an answer.
  bool abandoned = false;
  /// The call failed without an answer; a paused sender is notified when it resumes.
  bool failed = false;
  /// The message was dropped before it reached the receiver, and the sender knows that.
  bool neverArrived = false;
};

struct SimulatedDaemon
{
  std::string id;
  Incarnation incarnation = 1;
  bool alive = true;
  /// A paused daemon keeps its state but processes no ticks and no answers until it resumes.
  bool paused = false;
  /// By cell.
  std::map<std::string, CellMachine> machines;

  DaemonRef Ref() const { return { id, incarnation }; }
};

/// A cell's object in the platform's store; version 0 means that it was never written.
struct StoredObject
{
  Version version = 0;
  CellObject object;
};

/// The daemons, servers and shards of a simulated cluster.
struct ClusterShape
{
  /// Servers by cell.
  std::map<std::string, std::vector<std::string>> cells;
  std::vector<std::string> daemons;
  /// Shards that each cell owns initially.
  std::map<std::string, std::vector<ShardId>> shards;
  /// Servers that do not check grants, see SimulatedServer::checked.
  std::set<std::string> unchecked;
  CellTimings timings;
};

/// The simulated cluster. It can be copied, so that tests can explore several continuations.
class ClusterSimulation
{
public:
  explicit ClusterSimulation(const ClusterShape& aShape);

  // Events. After those that send or process messages, the invariants are checked.

  /// Advances the clock and ticks the machines of all running daemons.
  void Advance(Duration aBy);
  /// Makes @p aDaemon try to attach itself to @p aCell, that is, to become the one daemon that
  /// leads the cell. The first attempt may only start a read of the cell's object.
  void TakeOver(const std::string& aDaemon, const std::string& aCell);
  void HandOver(const std::string& aDaemon, const std::string& aCell, const std::string& aTo);
  /// Starts to move a shard to another server of the cell; returns false if that is refused.
  bool MoveShard(const std::string& aDaemon,
                 const std::string& aCell,
                 ShardId aShard,
                 const std::string& aServer);
  /// Starts to send a shard to another cell; returns false if that is refused.
  bool SendShard(const std::string& aDaemon,
                 const std::string& aCell,
                 ShardId aShard,
                 const std::string& aToCell);
  /// Lets the receiver process a message, or the sender the answer to it. Does nothing if the
  /// message does not exist or cannot be delivered now.
  void Deliver(std::uint64_t aNumber);
  /// The sender times out without an answer. If @p aDropped, the message is removed, and the sender
  /// knows that a request did not arrive; otherwise a request may still be processed later.
  void TimeOutMessage(std::uint64_t aNumber, bool aDropped);
  /// Delays a message, or the answer to it, until ReleaseMessage() is called.
  void HoldMessage(std::uint64_t aNumber) { mHeldMessages.insert(aNumber); }
  const std::set<std::uint64_t>& HeldMessages() const { return mHeldMessages; }
  /// Delivers a held message.
  void ReleaseMessage(std::uint64_t aNumber);
  /// Submits an order to a daemon; returns the order's id if the daemon sent it to a server.
  std::optional<std::uint64_t> SubmitOrder(const std::string& aDaemon,
                                           const std::string& aCell,
                                           ShardId aShard);
  void KillDaemon(const std::string& aDaemon);
  void RestartDaemon(const std::string& aDaemon);
  void SetDaemonPaused(const std::string& aDaemon, bool aPaused);
  void KillServer(const std::string& aServer);
  void RestartServer(const std::string& aServer);
  void SetServerFrozen(const std::string& aServer, bool aFrozen);
  void SetPlatformUp(bool aUp);
  /// Notifies @p aTo that the incarnation @p aStopped of a daemon has stopped. Returns false and
  /// does nothing if it has not, or if @p aTo is not running.
  bool ConfirmDaemonStopped(const std::string& aTo, const DaemonRef& aStopped);
  /// Gives a daemon copies of all cells' objects. The machines treat them as cached, possibly
  /// stale.
  void SendCachedObjects(const std::string& aDaemon);
  /// Starts or ends a network partition between a daemon and a server.
  void SetServerPartitioned(const std::string& aDaemon,
                            const std::string& aServer,
                            bool aPartitioned);
  /// Starts or ends a network partition between a daemon and the platform.
  void SetPlatformPartitioned(const std::string& aDaemon, bool aPartitioned);

  /// Delivers messages, oldest first, until none is left that can be delivered and whose sender is
  /// still waiting.
  void DeliverAll();
  /// Advances the clock by @p aDuration in steps of @p aStep. In each step, delivers all messages
  /// that can be delivered, times out overdue calls and, while the platform is up, sends the
  /// daemons its objects.
  void RunFor(Duration aDuration, Duration aStep = milliseconds(20));

  const std::vector<Message>& Messages() const { return mMessages; }
  const std::vector<std::string>& Transcript() const { return mTranscript; }
  /// Appends a line with the current time to the transcript.
  void Log(const std::string& aLine);
  Instant Now() const { return mNow; }
  const std::vector<OrderExecution>& Executions() const { return mExecutions; }
  const std::map<std::uint64_t, SimulatedOrder>& Orders() const { return mOrders; }
  /// All daemon incarnations that have stopped.
  std::vector<DaemonRef> StoppedDaemons() const;
  CellMachine& MachineOf(const std::string& aDaemon, const std::string& aCell);
  std::map<std::string, SimulatedDaemon>& Daemons() { return mDaemons; }
  std::map<std::string, SimulatedServer>& Servers() { return mServers; }
  const std::map<std::string, StoredObject>& Objects() const { return mObjects; }
  bool IsPlatformUp() const { return mPlatformUp; }
  /// Whether the server is running and holds an unexpired grant of the shard.
  bool HasLiveGrant(const std::string& aServer, ShardId aShard) const;
  /// Number of shards for which at least one running daemon would send an order now.
  std::size_t CountServedShards() const;
  /// The first invariant that was violated; empty while all hold.
  const std::string& Violation() const { return mViolation; }
  /// Stops recording the transcript, for long runs.
  void DisableTranscript() { mTranscriptDisabled = true; }
  /// The whole state as text, with times relative to now, so that equal states compare equal.
  std::string Describe() const;

private:
  /// Sends the actions that a daemon's machines have queued, and logs their events.
  void DispatchActions(const std::string& aDaemon);
  /// Checks that no shard has two live grants, that epochs never fall and are never shared by two
  /// servers, and that no order is executed twice, or executed although it was reported as not
  /// run.
  void CheckInvariants();
  /// The server's clock, in microseconds.
  ServerInstant ServerClock(const SimulatedServer& aServer) const;
  bool CanReachServer(const Message& aMessage) const;
  void ProcessAtPlatform(Message& aMessage);
  void ProcessAtServer(Message& aMessage);
  void ProcessOrder(Message& aMessage, SimulatedServer& aServer);
  /// Notifies the sender that its call failed without an answer.
  void ReportFailure(Message aMessage);
  void DeliverAnswer(const Message& aMessage);
  /// Records the outcome of an order and notifies its daemon's machine. An order of unknown outcome
  /// at an unchecked server may still start, and is finished only at its deadline.
  void FinishOrder(std::uint64_t aOrderId, OrderOutcome aOutcome);
  bool IsDeliverable(const Message& aMessage) const;
  CellMachine MakeMachine(const std::string& aCell, const DaemonRef& aSelf) const;

  ClusterShape mShape;
  Instant mNow{ seconds(100) };
  std::map<std::string, SimulatedDaemon> mDaemons;
  std::map<std::string, SimulatedServer> mServers;
  std::map<std::string, StoredObject> mObjects;
  /// The last version that the platform assigned.
  Version mRevision = 0;
  bool mPlatformUp = true;
  /// Pairs of a daemon and a server that cannot reach each other.
  std::set<std::pair<std::string, std::string>> mServerPartitions;
  /// Daemons that cannot reach the platform.
  std::set<std::string> mPlatformPartitions;
  std::vector<Message> mMessages;
  std::set<std::uint64_t> mHeldMessages;
  std::uint64_t mLastMessageNumber = 0;
  std::uint64_t mLastOrderId = 0;
  std::map<std::uint64_t, SimulatedOrder> mOrders;
  std::vector<OrderExecution> mExecutions;
  /// Number of executions whose epochs have been checked.
  std::size_t mCheckedExecutions = 0;
  std::set<DaemonRef> mStoppedDaemons;
  /// Highest epoch under which each shard was seen granted or executed.
  std::map<ShardId, Epoch> mHighestEpochs;
  /// The one server that owned a shard under an epoch.
  std::map<std::pair<ShardId, Epoch>, std::string> mEpochOwners;
  std::string mViolation;
  bool mTranscriptDisabled = false;
  std::vector<std::string> mTranscript;
};

} // namespace hawthornlug::testing
