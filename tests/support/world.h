/// @file
/// A small world around the real decision code: a platform, backend servers and a network that are
/// plain values under a manual clock. Everything that happens is chosen by the test.
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

/// A backend server as the protocol wants it.
struct FakeServer
{
  std::string id;
  bool checked = true;
  bool alive = true;
  bool frozen = false;
  Incarnation incarnation = 1;
  std::pair<FencingToken, CallNumber> lastCall;
  /// The server's clock runs at this many parts per thousand of true time, from its own zero.
  std::int64_t ratePerMille = 1000;
  std::int64_t zero = 0;
  ServerInstant leaseUntil = 0;
  std::map<ShardId, Epoch> grants;
  /// The highest epoch of each shard that this run was ever granted.
  std::map<ShardId, Epoch> highest;
};

/// One execution of an order.
struct LedgerEntry
{
  std::uint64_t order = 0;
  std::string server;
  ShardId shard = 0;
  Epoch epoch = 0;
};

/// What the sender of an order was told.
enum class OrderFate
{
  kWaiting,
  kDone,
  kNotRun,
  kUnknown,
};
inline constexpr EnumNames<4> kOrderFateNames = { "waiting", "done", "not-run", "unknown" };

struct FakeOrder
{
  std::uint64_t id = 0;
  std::string daemon;
  std::string cell;
  ShardId shard = 0;
  Admission admission;
  /// The server must not start it later, by its own clock.
  ServerInstant serverDeadline = 0;
  Instant deadline;
  OrderFate fate = OrderFate::kWaiting;
  bool finished = false;
};

/// A message on its way.
struct Message
{
  std::uint64_t number = 0;
  std::string daemon;
  std::string cell;
  /// Empty for the platform.
  std::string server;
  CellAction action;
  std::optional<std::uint64_t> order;
  /// Set once the receiver has worked on it and the answer is on its way back.
  bool answering = false;
  ServerReply reply;
  WriteOutcome written = WriteOutcome::kUnknown;
  Version version = 0;
  std::optional<CellObject> object;
  OrderFate fate = OrderFate::kWaiting;
  Instant sentAt;
  /// The sender has stopped waiting.
  bool abandoned = false;
  /// No answer will come; the sender is told once it can listen.
  bool lost = false;
  bool unsent = false;
};

struct FakeDaemon
{
  std::string id;
  Incarnation incarnation = 1;
  bool alive = true;
  bool paused = false;
  std::map<std::string, CellMachine> machines;

  DaemonRef Ref() const { return { id, incarnation }; }
};

struct FakeObject
{
  Version version = 0;
  CellObject object;
};

/// What a world consists of.
struct WorldShape
{
  /// Servers by cell.
  std::map<std::string, std::vector<std::string>> cells;
  std::vector<std::string> daemons;
  /// Shards by cell at the beginning.
  std::map<std::string, std::vector<ShardId>> shards;
  std::set<std::string> unchecked;
  CellTimings timings;
};

/// The world. It can be copied, so that tests can branch.
class World
{
public:
  explicit World(const WorldShape& aShape);

  // Things that happen. Each checks the invariants afterwards.
  void Advance(Duration aBy);
  void TakeOver(const std::string& aDaemon, const std::string& aCell);
  void HandOver(const std::string& aDaemon, const std::string& aCell, const std::string& aTo);
  bool Move(const std::string& aDaemon,
            const std::string& aCell,
            ShardId aShard,
            const std::string& aServer);
  bool Send(const std::string& aDaemon,
            const std::string& aCell,
            ShardId aShard,
            const std::string& aToCell);
  /// Lets the receiver work on a message, or brings its answer back.
  void Deliver(std::uint64_t aNumber);
  /// The sender hears nothing; the message may still arrive unless @p aLost.
  void GiveUp(std::uint64_t aNumber, bool aLost);
  /// Keeps a message, or the answer to it, on its way until Release().
  void Hold(std::uint64_t aNumber) { mHeld.insert(aNumber); }
  const std::set<std::uint64_t>& Held() const { return mHeld; }
  /// Delivers a message that was held.
  void Release(std::uint64_t aNumber);
  /// Offers an order to a daemon; returns its id if it was sent.
  std::optional<std::uint64_t> Order(const std::string& aDaemon,
                                     const std::string& aCell,
                                     ShardId aShard);
  void KillDaemon(const std::string& aDaemon);
  void RestartDaemon(const std::string& aDaemon);
  void SetPaused(const std::string& aDaemon, bool aPaused);
  void KillServer(const std::string& aServer);
  void RestartServer(const std::string& aServer);
  void SetFrozen(const std::string& aServer, bool aFrozen);
  void SetPlatformUp(bool aUp);
  /// Tells @p aTo that @p aGone is gone, if that is true.
  bool Witness(const std::string& aTo, const DaemonRef& aGone);
  /// Shows a daemon the platform's objects.
  void ShowObjects(const std::string& aDaemon);
  void Cut(const std::string& aDaemon, const std::string& aServer, bool aCut);
  void CutPlatform(const std::string& aDaemon, bool aCut);

  /// Delivers all messages in order, as a sound network does, until none is left.
  void Settle();
  /// Lets time pass in small steps, delivering everything that can be delivered at each.
  void Run(Duration aFor, Duration aStep = milliseconds(20));

  const std::vector<Message>& Messages() const { return mMessages; }
  const std::vector<std::string>& Transcript() const { return mTranscript; }
  void Say(const std::string& aLine);
  Instant Now() const { return mNow; }
  const std::vector<LedgerEntry>& Ledger() const { return mLedger; }
  const std::map<std::uint64_t, FakeOrder>& Orders() const { return mOrders; }
  std::vector<DaemonRef> Gone() const;
  CellMachine& MachineOf(const std::string& aDaemon, const std::string& aCell);
  std::map<std::string, FakeDaemon>& Daemons() { return mDaemons; }
  std::map<std::string, FakeServer>& Servers() { return mServers; }
  const std::map<std::string, FakeObject>& Objects() const { return mObjects; }
  bool IsPlatformUp() const { return mPlatformUp; }
  bool HasLiveGrant(const std::string& aServer, ShardId aShard) const;
  /// Number of shards for which some daemon would send an order now.
  std::size_t ServedShards() const;
  /// Empty while all invariants hold, else what was broken first.
  const std::string& Broken() const { return mBroken; }
  /// Turns the transcript off, for long runs.
  void SetQuiet() { mQuiet = true; }
  /// The state as text with times relative to now.
  std::string Describe() const;

private:
  void Collect(const std::string& aDaemon);
  void Check();
  ServerInstant Clock(const FakeServer& aServer) const;
  bool CanReachServer(const Message& aMessage) const;
  void WorkAtPlatform(Message& aMessage);
  void WorkAtServer(Message& aMessage);
  void WorkOnOrder(Message& aMessage, FakeServer& aServer);
  void TellLost(Message aMessage);
  void BringAnswer(const Message& aMessage);
  void FinishOrder(std::uint64_t aOrder, OrderFate aFate);
  bool IsWorkable(const Message& aMessage) const;
  CellMachine MakeMachine(const std::string& aCell, const DaemonRef& aSelf) const;

  WorldShape mShape;
  Instant mNow{ seconds(100) };
  std::map<std::string, FakeDaemon> mDaemons;
  std::map<std::string, FakeServer> mServers;
  std::map<std::string, FakeObject> mObjects;
  Version mRevision = 0;
  bool mPlatformUp = true;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::set<std::string> mPlatformCuts;
  std::vector<Message> mMessages;
  std::set<std::uint64_t> mHeld;
  std::uint64_t mNextMessage = 0;
  std::uint64_t mNextOrder = 0;
  std::map<std::uint64_t, FakeOrder> mOrders;
  std::vector<LedgerEntry> mLedger;
  std::size_t mCheckedEntries = 0;
  std::set<DaemonRef> mDead;
  std::map<ShardId, Epoch> mHighestEpoch;
  std::map<std::pair<ShardId, Epoch>, std::string> mEpochOwners;
  std::string mBroken;
  bool mQuiet = false;
  std::vector<std::string> mTranscript;
};

} // namespace hawthornlug::testing
