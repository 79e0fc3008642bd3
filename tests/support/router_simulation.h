/// @file
/// Simulates routing daemons with a store, servers and links between them, in simulated time.
#pragma once

#include "runtime/router_daemon.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// The simulated clock. Runs the timers of the daemons and other events in the order of their time.
class SimulatedTimers : public TimerService
{
public:
  Instant Now() const override { return mNow; }
  std::unique_ptr<TimerSubscription> Every(Duration aInterval,
                                           std::function<void(Instant)> aCallback) override;
  /// Calls @p aEvent at a later time.
  void At(Instant aTime, std::function<void()> aEvent);
  void After(Duration aDelay, std::function<void()> aEvent)
  {
    At(mNow + aDelay, std::move(aEvent));
  }
  /// Advances the time by @p aTime and runs everything that is due.
  void Run(Duration aTime);

private:
  struct Event
  {
    Instant time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& aOther) const
    {
      return std::tie(time, order) > std::tie(aOther.time, aOther.order);
    }
  };

  Instant mNow{ seconds(1000) };
  std::uint64_t mEventCount = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
};

/// The timers of one host. While it is frozen nothing runs there; what was due runs when it is
/// thawed.
class HostTimers : public TimerService
{
public:
  explicit HostTimers(SimulatedTimers& aTimers)
    : mTimers(aTimers)
  {
  }
  Instant Now() const override { return mTimers.Now(); }
  std::unique_ptr<TimerSubscription> Every(Duration aInterval,
                                           std::function<void(Instant)> aCallback) override;
  /// Runs @p aTask now, or when the host is thawed.
  void Run(std::function<void()> aTask);
  void Freeze() { mFrozen = true; }
  void Thaw();
  bool IsFrozen() const { return mFrozen; }

private:
  SimulatedTimers& mTimers;
  bool mFrozen = false;
  std::vector<std::function<void()>> mDue;
};

/// What daemons have called the store for.
enum class StoreCall
{
  kList,
  kWatch,
  kWrite,
};

/// The store. Each daemon calls it through a port of its own.
class SimulatedStore
{
public:
  explicit SimulatedStore(SimulatedTimers& aTimers)
    : mTimers(aTimers)
  {
  }

  /// Creates or changes an object, as an operator or a server does.
  void Put(ObjectKind aKind, const std::string& aName, const std::string& aValue);
  /// Calls of all daemons so far.
  std::size_t Calls() const;
  /// Calls of one type so far.
  std::size_t Calls(StoreCall aCall) const;

  class Port : public ObjectStore
  {
  public:
    Port(SimulatedStore& aStore, HostTimers& aHost)
      : mStore(aStore)
      , mHost(aHost)
    {
    }
    void List(ObjectKind aKind, bool aMayBeStale, ReadDone aDone) override;
    void Watch(ObjectKind aKind, StoreRevision aSince, Duration aWait, ReadDone aDone) override;
    void Write(ObjectKind aKind,
               const std::string& aName,
               StoreRevision aExpected,
               const std::string& aValue,
               WriteDone aDone) override;
    /// The store turns this daemon away, or serves it again.
    void SetRefused(bool aRefused) { mRefused = aRefused; }
    /// Calls and answers between this daemon and the store are lost, or pass again.
    void SetCut(bool aCut) { mCut = aCut; }

  private:
    /// A call whose completion has not been called yet.
    template<typename Answer>
    struct Call
    {
      std::function<void(Answer)> done;
    };

    /// Begins a call that ends without an answer after @p aTimeout.
    template<typename Answer>
    std::shared_ptr<Call<Answer>> Begin(std::function<void(Answer)> aDone, Duration aTimeout);
    /// Delivers an answer after the store's delay, unless it is lost.
    template<typename Answer>
    void Reply(const std::shared_ptr<Call<Answer>>& aCall, Answer aAnswer);

    SimulatedStore& mStore;
    HostTimers& mHost;
    bool mRefused = false;
    bool mCut = false;
  };

private:
  struct Watcher
  {
    ObjectKind kind = ObjectKind::kServer;
    StoreRevision since;
    std::function<void(const StoreReading&)> reply;
  };
  using Name = std::pair<ObjectKind, std::string>;

  StoreReading ReadingSince(ObjectKind aKind, StoreRevision aSince) const;
  void AnswerWatchers(ObjectKind aKind);

  SimulatedTimers& mTimers;
  std::map<Name, StoredObject> mObjects;
  std::map<std::uint64_t, Watcher> mWatchers;
  std::uint64_t mWatcherCount = 0;
  std::map<StoreCall, std::size_t> mCalls;
  std::uint64_t mRevision = 1;
};

/// Servers that grant and release what they are told to. They run requests if that is switched on.
class GrantingBackends : public BackendPort
{
public:
  explicit GrantingBackends(SimulatedTimers& aTimers)
    : mTimers(aTimers)
  {
  }
  std::shared_ptr<http::Call> Forward(const http::Request& aRequest,
                                      const ForwardTerms& aTerms,
                                      AttemptPermit aPermit,
                                      ForwardDone aDone) override;
  void Grant(const GrantCommand& aCommand, Duration aTimeout, CommandDone aDone) override;
  void Release(const ReleaseCommand& aCommand, Duration aTimeout, CommandDone aDone) override;
  void CheckHealth(const std::string& aAddress,
                   const std::string& aPath,
                   Duration aTimeout,
                   HealthDone aDone) override;

  /// Makes each server run @p aSlots requests at a time and queue as many as @p aQueue more.
  void RunRequests(unsigned aSlots, std::size_t aQueue, Duration aServiceTime);

  /// Servers that state in every answer that they leave.
  std::set<std::string> leaving;
  /// Requests that have reached a server, and those of them that it turned away.
  unsigned reached = 0;
  unsigned turnedAway = 0;

private:
  struct RunningServer
  {
    unsigned running = 0;
    std::deque<ForwardDone> queue;
  };

  void Answer(const std::string& aServer, const CommandDone& aDone);
  void Accept(const std::string& aServer, ForwardDone aDone);
  void Start(const std::string& aServer, ForwardDone aDone);

  SimulatedTimers& mTimers;
  std::map<std::string, RunningServer> mServers;
  unsigned mSlots = 0;
  std::size_t mQueue = 0;
  Duration mServiceTime = Duration::zero();
};

/// Daemons "d0", "d1", ... spread over failure domains, with a keyed service "s" whose servers they
/// grant its keys.
class RouterSimulation
{
public:
  struct Shape
  {
    unsigned daemons = 9;
    unsigned domains = 3;
    unsigned servers = 9;
    /// Bytes a second that a daemon's link carries, in each direction; 0 is without limit.
    double linkBytesPerSecond = 0.0;
    LoadFeatures features{};
  };

  explicit RouterSimulation(const Shape& aShape);
  ~RouterSimulation();
  RouterSimulation(const RouterSimulation&) = delete;
  RouterSimulation& operator=(const RouterSimulation&) = delete;

  void Run(Duration aTime) { timers.Run(aTime); }
  /// Writes a configuration whose object has about @p aBytes bytes.
  void Configure(std::uint64_t aVersion, std::size_t aBytes);
  /// Registers a server, or changes its entry.
  void Register(const std::string& aServer, const std::string& aDomain, Incarnation aIncarnation);
  /// A server says in its entry that it leaves.
  void Drain(const std::string& aServer, const std::string& aDomain);
  /// Ends a daemon; it is silent from then on.
  void Kill(unsigned aDaemon);
  /// Starts a daemon that was ended, as a new incarnation that knows nothing.
  void Restart(unsigned aDaemon);
  void Freeze(unsigned aDaemon);
  void Thaw(unsigned aDaemon);
  /// Messages between a daemon and all others are lost, or pass again.
  void CutFromPeers(unsigned aDaemon, bool aCut);
  void CutFromStore(unsigned aDaemon, bool aCut);
  /// The store turns a daemon away, or serves it again.
  void RefuseAtStore(unsigned aDaemon, bool aRefused);
  /// The daemon that grants the keys; none if there is none or several.
  std::optional<unsigned> Leader() const;
  /// How many of the daemons that run have the configuration of this version or a later one.
  unsigned InForce(std::uint64_t aVersion) const;
  unsigned Running() const;
  /// Null if the daemon was ended.
  RouterDaemon* Daemon(unsigned aDaemon) const;
  unsigned DaemonCount() const { return static_cast<unsigned>(mNodes.size()); }
  /// Bytes that all daemons have sent to each other.
  std::size_t BytesSent() const { return mBytesSent; }
  std::size_t MessagesSent() const { return mMessagesSent; }

  SimulatedTimers timers;
  SimulatedStore store{ timers };
  GrantingBackends backends{ timers };
  DecisionLog log{ "simulation" };
  Metrics metrics;

  /// Endpoints of none of the daemons that messages were sent to.
  std::set<std::string> strangers;

private:
  /// One host: its link and its daemon, if that runs.
  struct Node;

  void Start(Node& aNode);
  void Deliver(Node& aFrom, const std::string& aEndpoint, const wire::Envelope& aMessage);

  Shape mShape;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, Node*> mNodesByEndpoint;
  std::size_t mBytesSent = 0;
  std::size_t mMessagesSent = 0;
};

} // namespace hawthornlug::test
