#include "tests/support/router_simulation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace hawthornlug::test {

namespace {

using Json = nlohmann::json;

constexpr Duration kStoreDelay = milliseconds(4);
/// Timeouts of the daemons' calls to the store.
constexpr Duration kCallTimeout = milliseconds(1500);
constexpr Duration kWatchTimeoutMargin = milliseconds(500);
constexpr Duration kServerDelay = milliseconds(2);
constexpr Duration kLinkDelay = milliseconds(1);
constexpr const char* kService = "s";

/// Ends the timer that it belongs to.
class SimulatedSubscription : public TimerSubscription
{
public:
  explicit SimulatedSubscription(std::shared_ptr<bool> aActive)
    : mActive(std::move(aActive))
  {
  }
  ~SimulatedSubscription() override { *mActive = false; }
  SimulatedSubscription(const SimulatedSubscription&) = delete;
  SimulatedSubscription& operator=(const SimulatedSubscription&) = delete;

private:
  std::shared_ptr<bool> mActive;
};

/// Reads the objects that RouterSimulation writes.
class SimulatedReader : public ObjectReader
{
public:
  std::optional<ServerEntry> ReadServer(const StoredObject& aObject) override
  {
    const Json value = Json::parse(aObject.value);
    ServerEntry entry;
    entry.id = aObject.name;
    entry.service = kService;
    entry.address = "127.0.0.1:1";
    entry.domain = value.at("domain");
    entry.incarnation = value.at("incarnation");
    entry.slots = 4;
    if (value.value("leaving", false)) {
      entry.state = ServerState::kDraining;
    }
    return entry;
  }
  std::optional<RouteConfig> ReadConfiguration(const StoredObject& aObject) override
  {
    const Json value = Json::parse(aObject.value);
    if (value.contains("secret")) {
      return std::nullopt;
    }
    RouteConfig config;
    config.version = value.at("version");
    config.services[kService].name = kService;
    config.services[kService].keyed = true;
    RouteRule rule;
    rule.name = "route";
    rule.host = "h";
    rule.pathPrefix = "/";
    rule.shares = { { kService, 1.0 } };
    rule.timeout = milliseconds(1200);
    rule.targetLatency = milliseconds(600);
    config.routes.push_back(rule);
    rule.name = "normal";
    rule.pathPrefix = "/normal/";
    rule.priority = 1;
    config.routes.push_back(rule);
    return config;
  }
  std::string Redact(ObjectKind aKind, std::string aValue) const override
  {
    if (aKind != ObjectKind::kConfiguration) {
      return aValue;
    }
    Json value = Json::parse(aValue);
    value.erase("secret");
    return value.dump();
  }
};

/// Reads the key of a request from the header "Key".
class SimulatedCallerHeaders : public CallerHeaders
{
public:
  std::optional<CallerTerms> Read(const http::Request& aRequest) override
  {
    CallerTerms terms;
    terms.requestId = "r";
    terms.key = static_cast<RangeKey>(std::stoul(std::string(aRequest.headers.Get("Key"))));
    return terms;
  }
  http::Response Refuse(const NotRunProof&,
                        http::PromiseStatus aStatus,
                        const CallerTerms&,
                        Duration aRetryAfter) override
  {
    return MakeAnswer(static_cast<int>(aStatus), aRetryAfter);
  }
  http::Response Fail(http::PlainStatus aStatus, const CallerTerms&) override
  {
    return MakeAnswer(aStatus.Value(), Duration::zero());
  }

private:
  static http::Response MakeAnswer(int aStatus, Duration aRetryAfter)
  {
    http::Response response;
    response.status = aStatus;
    response.headers.Add("Retry-After", std::to_string(InSeconds(aRetryAfter)));
    return response;
  }
};

class UnusedSpans : public SpanPort
{
public:
  void Record(const Span&) override {}
};

/// Passes what a daemon sends to the simulation.
class SimulatedPeers : public PeerPort
{
public:
  using Sender = std::function<void(const std::string&, const wire::Envelope&)>;

  explicit SimulatedPeers(Sender aSender)
    : mSender(std::move(aSender))
  {
  }
  void SetReceiver(Receiver) override {}
  void Send(const std::string& aEndpoint, wire::Envelope aMessage, Delivery, Unsent) override
  {
    mSender(aEndpoint, aMessage);
  }
  bool IsRefused(const std::string&) override { return false; }

private:
  Sender mSender;
};

StoreReading RefusedReading()
{
  StoreReading reading;
  reading.result = StoreResult::kRefused;
  return reading;
}

Json ServerValue(const std::string& aDomain, Incarnation aIncarnation)
{
  return { { "domain", aDomain }, { "incarnation", aIncarnation } };
}

std::string EndpointOf(unsigned aDaemon)
{
  constexpr unsigned kPerNetwork = 250;
  return "tcp://10.0." + std::to_string(aDaemon / kPerNetwork) + "." +
         std::to_string(1 + aDaemon % kPerNetwork) + ":7000";
}

} // namespace

std::unique_ptr<TimerSubscription> SimulatedTimers::Every(Duration aInterval,
                                                          std::function<void(Instant)> aCallback)
{
  auto active = std::make_shared<bool>(true);
  auto fire = std::make_shared<std::function<void()>>();
  *fire = [this, active, aInterval, callback = std::move(aCallback), again = std::weak_ptr(fire)] {
    if (!*active) {
      return;
    }
    callback(mNow);
    if (const auto next = again.lock()) {
      After(aInterval, [next] { (*next)(); });
    }
  };
  After(aInterval, [fire] { (*fire)(); });
  return std::make_unique<SimulatedSubscription>(active);
}

void SimulatedTimers::At(Instant aTime, std::function<void()> aEvent)
{
  mEvents.push({ aTime, ++mEventCount, std::move(aEvent) });
}

void SimulatedTimers::Run(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().time <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = std::max(mNow, event.time);
    event.action();
  }
  mNow = end;
}

std::unique_ptr<TimerSubscription> HostTimers::Every(Duration aInterval,
                                                     std::function<void(Instant)> aCallback)
{
  return mTimers.Every(aInterval, [this, callback = std::move(aCallback)](Instant aNow) {
    if (!mFrozen) {
      callback(aNow);
    }
  });
}

void HostTimers::Run(std::function<void()> aTask)
{
  if (mFrozen) {
    mDue.push_back(std::move(aTask));
  } else {
    aTask();
  }
}

void HostTimers::Thaw()
{
  mFrozen = false;
  std::vector<std::function<void()>> due;
  due.swap(mDue);
  for (const auto& it : due) {
    it();
  }
}

std::size_t SimulatedStore::Calls() const
{
  return std::accumulate(mCalls.begin(),
                         mCalls.end(),
                         std::size_t{ 0 },
                         [](auto aSum, auto& aItem) { return aSum + aItem.second; });
}

std::size_t SimulatedStore::Calls(StoreCall aCall) const
{
  const auto it = mCalls.find(aCall);
  return it == mCalls.end() ? 0 : it->second;
}

StoreReading SimulatedStore::ReadingSince(ObjectKind aKind, StoreRevision aSince) const
{
  StoreReading reading;
  reading.result = StoreResult::kDone;
  reading.at = StoreRevision(mRevision);
  for (const auto& [name, object] : mObjects) {
    if (name.first == aKind && object.revision > aSince) {
      reading.objects.push_back(object);
    }
  }
  return reading;
}

void SimulatedStore::AnswerWatchers(ObjectKind aKind)
{
  std::vector<Watcher> answered;
  for (auto it = mWatchers.begin(); it != mWatchers.end();) {
    if (it->second.kind == aKind) {
      answered.push_back(it->second);
      it = mWatchers.erase(it);
    } else {
      ++it;
    }
  }
  for (const Watcher& it : answered) {
    it.reply(ReadingSince(aKind, it.since));
  }
}

void SimulatedStore::Put(ObjectKind aKind, const std::string& aName, const std::string& aValue)
{
  mObjects[{ aKind, aName }] = { aName, StoreRevision(++mRevision), false, aValue };
  AnswerWatchers(aKind);
}

template<typename Answer>
std::shared_ptr<SimulatedStore::Port::Call<Answer>> SimulatedStore::Port::Begin(
  std::function<void(Answer)> aDone,
  Duration aTimeout)
{
  auto call = std::make_shared<Call<Answer>>();
  call->done = std::move(aDone);
  mStore.mTimers.After(aTimeout, [this, call] {
    mHost.Run([call] {
      if (call->done) {
        std::exchange(call->done, nullptr)({});
      }
    });
  });
  return call;
}

template<typename Answer>
void SimulatedStore::Port::Reply(const std::shared_ptr<Call<Answer>>& aCall, Answer aAnswer)
{
  mStore.mTimers.After(kStoreDelay, [this, aCall, answer = std::move(aAnswer)] {
    if (mCut) {
      return;
    }
    mHost.Run([aCall, answer] {
      if (aCall->done) {
        std::exchange(aCall->done, nullptr)(answer);
      }
    });
  });
}

void SimulatedStore::Port::List(ObjectKind aKind, bool, ReadDone aDone)
{
  ++mStore.mCalls[StoreCall::kList];
  const auto call = Begin<StoreReading>(std::move(aDone), kCallTimeout);
  if (!mCut) {
    Reply(call, mRefused ? RefusedReading() : mStore.ReadingSince(aKind, StoreRevision()));
  }
}

void SimulatedStore::Port::Watch(ObjectKind aKind,
                                 StoreRevision aSince,
                                 Duration aWait,
                                 ReadDone aDone)
{
  ++mStore.mCalls[StoreCall::kWatch];
  const auto call = Begin<StoreReading>(std::move(aDone), aWait + kWatchTimeoutMargin);
  if (mCut) {
    return;
  }
  if (mRefused) {
    Reply(call, RefusedReading());
    return;
  }
  const StoreReading reading = mStore.ReadingSince(aKind, aSince);
  if (!reading.objects.empty()) {
    Reply(call, reading);
    return;
  }
  const std::uint64_t id = ++mStore.mWatcherCount;
  mStore.mWatchers[id] = { aKind, aSince, [this, call](const StoreReading& aReading) {
                            Reply(call, aReading);
                          } };
  mStore.mTimers.After(aWait, [this, id, aKind, aSince] {
    const auto it = mStore.mWatchers.find(id);
    if (it != mStore.mWatchers.end()) {
      const Watcher watcher = it->second;
      mStore.mWatchers.erase(it);
      watcher.reply(mStore.ReadingSince(aKind, aSince));
    }
  });
}

void SimulatedStore::Port::Write(ObjectKind aKind,
                                 const std::string& aName,
                                 StoreRevision aExpected,
                                 const std::string& aValue,
                                 WriteDone aDone)
{
  ++mStore.mCalls[StoreCall::kWrite];
  const auto call = Begin<StoreWrite>(std::move(aDone), kCallTimeout);
  if (mCut) {
    return;
  }
  StoreWrite write;
  if (mRefused) {
    write.result = StoreResult::kRefused;
    Reply(call, write);
    return;
  }
  StoredObject& object = mStore.mObjects[{ aKind, aName }];
  write.result = StoreResult::kConflict;
  if (object.revision == aExpected) {
    object = { aName, StoreRevision(++mStore.mRevision), false, aValue };
    write.result = StoreResult::kDone;
  }
  write.object = object;
  Reply(call, write);
  if (write.result == StoreResult::kDone) {
    mStore.AnswerWatchers(aKind);
  }
}

void GrantingBackends::Answer(const std::string& aServer, const CommandDone& aDone)
{
  CommandOutcome outcome;
  outcome.result = CommandResult::kDone;
  outcome.serverLeaving = leaving.contains(aServer);
  mTimers.After(kServerDelay, [outcome, aDone] { aDone(outcome); });
}

void GrantingBackends::RunRequests(unsigned aSlots, std::size_t aQueue, Duration aServiceTime)
{
  mSlots = aSlots;
  mQueue = aQueue;
  mServiceTime = aServiceTime;
}

std::shared_ptr<http::Call> GrantingBackends::Forward(const http::Request&,
                                                      const ForwardTerms& aTerms,
                                                      AttemptPermit /*aPermit*/,
                                                      ForwardDone aDone)
{
  struct UncancelledCall : http::Call
  {
    void Cancel() override {}
  };
  if (mSlots == 0) {
    return nullptr;
  }
  mTimers.After(kServerDelay, [this, server = aTerms.instance, done = std::move(aDone)] {
    Accept(server, done);
  });
  return std::make_shared<UncancelledCall>();
}

void GrantingBackends::Accept(const std::string& aServer, ForwardDone aDone)
{
  ++reached;
  RunningServer& server = mServers[aServer];
  if (server.running < mSlots) {
    Start(aServer, std::move(aDone));
  } else if (server.queue.size() < mQueue) {
    server.queue.push_back(std::move(aDone));
  } else {
    ++turnedAway;
    ForwardOutcome outcome;
    outcome.result = ForwardResult::kNotRun;
    aDone(std::move(outcome));
  }
}

void GrantingBackends::Start(const std::string& aServer, ForwardDone aDone)
{
  ++mServers[aServer].running;
  mTimers.After(mServiceTime, [this, aServer, done = std::move(aDone)] {
    RunningServer& server = mServers[aServer];
    --server.running;
    if (!server.queue.empty()) {
      ForwardDone next = std::move(server.queue.front());
      server.queue.pop_front();
      Start(aServer, std::move(next));
    }
    ForwardOutcome outcome;
    outcome.result = ForwardResult::kAnswered;
    outcome.response.status = 200;
    done(std::move(outcome));
  });
}

void GrantingBackends::Grant(const GrantCommand& aCommand, Duration, CommandDone aDone)
{
  Answer(aCommand.server.id, aDone);
}

void GrantingBackends::Release(const ReleaseCommand& aCommand, Duration, CommandDone aDone)
{
  Answer(aCommand.server.id, aDone);
}

void GrantingBackends::CheckHealth(const std::string&,
                                   const std::string&,
                                   Duration,
                                   HealthDone aDone)
{
  HealthReport report;
  report.answered = true;
  mTimers.After(kServerDelay, [report, aDone] { aDone(report); });
}

struct RouterSimulation::Node
{
  Node(RouterSimulation& aSimulation, unsigned aNumber, const std::string& aDomain)
    : host(aSimulation.timers)
    , store(aSimulation.store, host)
    , peers([this, &aSimulation](const std::string& aEndpoint, const wire::Envelope& aMessage) {
      aSimulation.Deliver(*this, aEndpoint, aMessage);
    })
  {
    settings.self.id = "d" + std::to_string(aNumber);
    settings.domain = aDomain;
    settings.meshEndpoint = EndpointOf(aNumber);
    settings.features = aSimulation.mShape.features;
    settings.linkBytesPerSecond = aSimulation.mShape.linkBytesPerSecond;
    settings.features = aSimulation.mShape.features;
    for (unsigned n = 0; n < 3; ++n) {
      settings.seeds.push_back(EndpointOf(n));
    }
  }

  RouterSettings settings;
  HostTimers host;
  SimulatedStore::Port store;
  SimulatedReader reader;
  SimulatedCallerHeaders headers;
  UnusedSpans spans;
  SimulatedPeers peers;
  /// Until when the link is taken by what was sent and received.
  Instant sendsUntil;
  Instant receivesUntil;
  bool cutFromPeers = false;
  std::unique_ptr<RouterDaemon> daemon;
  /// Daemons that were ended: store and servers may still answer them.
  std::vector<std::unique_ptr<RouterDaemon>> ended;
};

RouterSimulation::RouterSimulation(const Shape& aShape)
  : mShape(aShape)
{
  for (unsigned n = 0; n < aShape.servers; ++n) {
    Register("server-" + std::to_string(n), "domain-" + std::to_string(n % aShape.domains), 1);
  }
  Configure(1, 0);
  for (unsigned n = 0; n < aShape.daemons; ++n) {
    mNodes.push_back(
      std::make_unique<Node>(*this, n, "domain-" + std::to_string(n % aShape.domains)));
    mNodesByEndpoint[EndpointOf(n)] = mNodes.back().get();
  }
  for (const auto& it : mNodes) {
    // Hosts start within a third of a second.
    timers.After(milliseconds(3 * (&it - mNodes.data()) % 300),
                 [this, &node = *it] { Start(node); });
  }
}

RouterSimulation::~RouterSimulation() = default;

void RouterSimulation::Start(Node& aNode)
{
  ++aNode.settings.self.incarnation;
  aNode.daemon = std::make_unique<RouterDaemon>(aNode.settings,
                                                RouterServices{ aNode.store,
                                                                aNode.reader,
                                                                backends,
                                                                aNode.headers,
                                                                aNode.peers,
                                                                aNode.host,
                                                                log,
                                                                metrics,
                                                                aNode.spans });
  aNode.daemon->Start();
}

void RouterSimulation::Kill(unsigned aDaemon)
{
  Node& node = *mNodes.at(aDaemon);
  if (node.daemon) {
    node.daemon->Stop();
    node.ended.push_back(std::move(node.daemon));
  }
}

void RouterSimulation::Restart(unsigned aDaemon)
{
  Kill(aDaemon);
  Start(*mNodes.at(aDaemon));
}

void RouterSimulation::Deliver(Node& aFrom,
                               const std::string& aEndpoint,
                               const wire::Envelope& aMessage)
{
  const std::size_t bytes = aMessage.ByteSizeLong();
  mBytesSent += bytes;
  ++mMessagesSent;
  const auto to = mNodesByEndpoint.find(aEndpoint);
  if (to == mNodesByEndpoint.end()) {
    strangers.insert(aEndpoint);
  }
  if (to == mNodesByEndpoint.end() || !aFrom.daemon) {
    return;
  }
  Node& receiver = *to->second;
  Duration onLink = Duration::zero();
  if (mShape.linkBytesPerSecond > 0.0) {
    onLink = FromSeconds(static_cast<double>(bytes) / mShape.linkBytesPerSecond);
  }
  aFrom.sendsUntil = std::max(aFrom.sendsUntil, timers.Now()) + onLink;
  receiver.receivesUntil = std::max(receiver.receivesUntil + onLink, aFrom.sendsUntil);
  timers.At(receiver.receivesUntil + kLinkDelay, [&aFrom, &receiver, message = aMessage] {
    if (aFrom.cutFromPeers || receiver.cutFromPeers) {
      return;
    }
    receiver.host.Run([&receiver, message] {
      if (receiver.daemon) {
        receiver.daemon->Take(message);
      }
    });
  });
}

void RouterSimulation::Configure(std::uint64_t aVersion, std::size_t aBytes)
{
  const Json value = { { "version", aVersion }, { "filling", std::string(aBytes, 'x') } };
  store.Put(ObjectKind::kConfiguration, "main", value.dump());
}

void RouterSimulation::Register(const std::string& aServer,
                                const std::string& aDomain,
                                Incarnation aIncarnation)
{
  store.Put(ObjectKind::kServer, aServer, ServerValue(aDomain, aIncarnation).dump());
}

void RouterSimulation::Drain(const std::string& aServer, const std::string& aDomain)
{
  Json value = ServerValue(aDomain, 1);
  value["leaving"] = true;
  store.Put(ObjectKind::kServer, aServer, value.dump());
}

void RouterSimulation::Freeze(unsigned aDaemon)
{
  mNodes.at(aDaemon)->host.Freeze();
}

void RouterSimulation::Thaw(unsigned aDaemon)
{
  mNodes.at(aDaemon)->host.Thaw();
}

void RouterSimulation::CutFromPeers(unsigned aDaemon, bool aCut)
{
  mNodes.at(aDaemon)->cutFromPeers = aCut;
}

void RouterSimulation::CutFromStore(unsigned aDaemon, bool aCut)
{
  mNodes.at(aDaemon)->store.SetCut(aCut);
}

RouterDaemon* RouterSimulation::Daemon(unsigned aDaemon) const
{
  return mNodes.at(aDaemon)->daemon.get();
}

void RouterSimulation::RefuseAtStore(unsigned aDaemon, bool aRefused)
{
  mNodes.at(aDaemon)->store.SetRefused(aRefused);
}

std::optional<unsigned> RouterSimulation::Leader() const
{
  std::optional<unsigned> leader;
  for (unsigned n = 0; n < mNodes.size(); ++n) {
    if (mNodes[n]->daemon == nullptr || mNodes[n]->daemon->LeadsNoRange()) {
      continue;
    }
    if (leader) {
      return std::nullopt;
    }
    leader = n;
  }
  return leader;
}

unsigned RouterSimulation::Running() const
{
  return static_cast<unsigned>(std::count_if(
    mNodes.begin(), mNodes.end(), [](const auto& aNode) { return aNode->daemon != nullptr; }));
}

unsigned RouterSimulation::InForce(std::uint64_t aVersion) const
{
  return static_cast<unsigned>(std::count_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
    return aNode->daemon && aNode->daemon->ConfigurationVersion() >= aVersion;
  }));
}

} // namespace hawthornlug::test
