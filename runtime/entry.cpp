#include "runtime/entry.h"

#include "core/hashing.h"
#include "runtime/wire_codec.h"

#include <thread>

namespace hawthornlug {

namespace {

constexpr Duration kRetryPause = milliseconds(10);
/// How often a waiting call looks whether its daemon is still there.
constexpr Duration kLookInterval = milliseconds(50);
/// How long to wait beyond the deadline for the answer of a daemon that refuses at the deadline.
constexpr Duration kAnswerGrace = milliseconds(50);
constexpr Duration kSettlePatience = milliseconds(300);
constexpr double kSampleSteps = 1e6;

/// Whether another try may find the way that this one missed. Nothing has been sent to a server.
bool MayFindAnotherWay(const OrderAnswer& aAnswer)
{
  if (aAnswer.outcome != Outcome::kNotRun) {
    return false;
  }
  return aAnswer.refusal == Refusal::kNotMine || aAnswer.refusal == Refusal::kNoRoute ||
         aAnswer.refusal == Refusal::kUnreachable || aAnswer.refusal == Refusal::kStopping;
}

/// Waits for an answer that comes on another thread.
class Waiter
{
public:
  void Set(const OrderAnswer& aAnswer)
  {
    const std::lock_guard lock(mMutex);
    mAnswer = aAnswer;
    mChanged.notify_one();
  }

  OrderAnswer Wait()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mAnswer.has_value(); });
    return std::move(*mAnswer);
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::optional<OrderAnswer> mAnswer;
};

/// Counts a request while it is in progress.
class InProgressGuard
{
public:
  explicit InProgressGuard(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~InProgressGuard() { --mCount; }
  InProgressGuard(const InProgressGuard&) = delete;
  InProgressGuard& operator=(const InProgressGuard&) = delete;

private:
  std::atomic<std::size_t>& mCount;
};

} // namespace

Entry::Entry(Services& aServices,
             const Directory& aDirectory,
             const RoutingTable& aRoutes,
             Attached& aAttached,
             PeerCalls& aCalls,
             double aTraceSample)
  : mServices(aServices)
  , mDirectory(aDirectory)
  , mRoutes(aRoutes)
  , mAttached(aAttached)
  , mCalls(aCalls)
  , mTraceSample(aTraceSample)
{
}

OrderAnswer Entry::Handle(Order& aOrder)
{
  const InProgressGuard guard(mInProgress);
  const Instant start = mServices.timers.Now();
  const auto config = mDirectory.Config();
  const ServiceConfig* service = config->FindService(aOrder.service);
  if (service == nullptr) {
    return OrderAnswer::NotRun(Refusal::kUnknownService);
  }
  aOrder.deadline = start + service->deadline;
  aOrder.repeatable = service->repeatable.count(aOrder.method) != 0;
  const std::uint64_t parent = aOrder.trace.span;
  if (parent == 0) {
    const double draw = static_cast<double>(RandomId() % static_cast<std::uint64_t>(kSampleSteps));
    aOrder.trace = TraceContext::Make(draw < mTraceSample * kSampleSteps);
  } else {
    aOrder.trace = aOrder.trace.Child();
  }
  OrderAnswer answer = Serve(aOrder, ShardOf(aOrder.key, service->shards));
  RecordSpan(aOrder, aOrder.trace, parent, "entry", start, answer);
  const std::string labels = "{service=\"" + aOrder.service + "\",outcome=\"" +
                             std::string(NameOf(kOutcomeNames, answer.outcome)) + "\"}";
  mServices.metrics.Count("requests_total" + labels);
  mServices.metrics.Observe("request_seconds", mServices.timers.Now() - start);
  return answer;
}

OrderAnswer Entry::Serve(const Order& aOrder, ShardId aShard)
{
  while (true) {
    OrderAnswer answer = TryOnce(aOrder, aShard);
    const Instant now = mServices.timers.Now();
    const bool repeatLost = answer.outcome == Outcome::kUnknown && aOrder.repeatable &&
                            answer.refusal != Refusal::kInProgress;
    const bool again = MayFindAnotherWay(answer) || repeatLost;
    if (!again || now + kRetryPause >= aOrder.deadline) {
      return answer;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
}

OrderAnswer Entry::TryOnce(const Order& aOrder, ShardId aShard)
{
  const auto route = mRoutes.Find(aOrder.service, aShard);
  if (!route) {
    return OrderAnswer::NotRun(Refusal::kNoRoute);
  }
  if (route->attached == mDirectory.Self()) {
    return RunHere(aOrder);
  }
  if (mDirectory.IsCutOff(route->domain)) {
    return OrderAnswer::NotRun(Refusal::kDomainCutOff, seconds(1));
  }
  if (!mDirectory.IsLive(route->attached)) {
    return OrderAnswer::NotRun(Refusal::kNoRoute);
  }
  return Forward(aOrder, route->attached);
}

OrderAnswer Entry::RunHere(const Order& aOrder)
{
  if (auto seen = mAttached.Accept(aOrder.requestId, aOrder.repeatable)) {
    return std::move(*seen);
  }
  auto waiter = std::make_shared<Waiter>();
  mAttached.Run(aOrder, [waiter](const OrderAnswer& aAnswer) { waiter->Set(aAnswer); });
  return waiter->Wait();
}

OrderAnswer Entry::Forward(const Order& aOrder, const DaemonRef& aTo)
{
  const auto endpoint = mDirectory.EndpointOf(aTo.id);
  if (!endpoint) {
    return OrderAnswer::NotRun(Refusal::kNoRoute);
  }
  const Instant start = mServices.timers.Now();
  const auto [number, call] = mCalls.Begin();
  wire::Envelope envelope;
  envelope.mutable_from()->set_id(mDirectory.Self().id);
  envelope.mutable_from()->set_incarnation(mDirectory.Self().incarnation);
  envelope.set_to_incarnation(aTo.incarnation);
  Order order = aOrder;
  order.trace = aOrder.trace.Child();
  EncodeOrder(order, start, *envelope.mutable_order());
  envelope.mutable_order()->set_call(number);
  mServices.peers.Send(*endpoint,
                       std::move(envelope),
                       Delivery::kNowOrNever,
                       [this, number = number] { mCalls.OnUnsent(number); });
  OrderAnswer answer = Await(aOrder, aTo, *endpoint, *call);
  mCalls.End(number);
  RecordSpan(aOrder, order.trace, aOrder.trace.span, "forward", start, answer);
  return answer;
}

OrderAnswer Entry::Await(const Order& aOrder,
                         const DaemonRef& aTo,
                         const std::string& aEndpoint,
                         PeerCalls::Call& aCall)
{
  const Instant end = aOrder.deadline + kAnswerGrace;
  while (true) {
    const CallState state = WaitWhileLive(aTo, end, aCall);
    if (state == CallState::kAnswered) {
      return aCall.TakeAnswer();
    }
    if (state == CallState::kUnsent) {
      return OrderAnswer::NotRun(Refusal::kUnreachable);
    }
    if (aOrder.repeatable) {
      return OrderAnswer::Unknown(Refusal::kNoAnswer);
    }
    OrderAnswer settled = Settle(aOrder, aTo, aEndpoint);
    if (aCall.Wait(Duration::zero()) == CallState::kAnswered) {
      return aCall.TakeAnswer();
    }
    // A daemon that says it has the order in hand is there, however silent it seemed.
    const bool inHand =
      settled.outcome == Outcome::kUnknown && settled.refusal == Refusal::kInProgress;
    if (!inHand || mServices.timers.Now() >= end) {
      return settled;
    }
  }
}

CallState Entry::WaitWhileLive(const DaemonRef& aTo, Instant aEnd, PeerCalls::Call& aCall)
{
  CallState state = CallState::kWaiting;
  bool lost = false;
  while (state == CallState::kWaiting && !lost) {
    const Instant now = mServices.timers.Now();
    if (now >= aEnd) {
      return state;
    }
    state = aCall.Wait(std::min(kLookInterval, aEnd - now));
    lost = !mDirectory.IsLive(aTo);
  }
  return state;
}

OrderAnswer Entry::Settle(const Order& aOrder, const DaemonRef& aTo, const std::string& aEndpoint)
{
  const auto [number, call] = mCalls.Begin();
  wire::Envelope envelope;
  envelope.mutable_from()->set_id(mDirectory.Self().id);
  envelope.mutable_from()->set_incarnation(mDirectory.Self().incarnation);
  // Only the run that may have taken the order can say that it did not.
  envelope.set_to_incarnation(aTo.incarnation);
  envelope.mutable_question()->set_call(number);
  envelope.mutable_question()->set_request_id(aOrder.requestId);
  mServices.peers.Send(aEndpoint, std::move(envelope), Delivery::kSoon, [this, number = number] {
    mCalls.OnUnsent(number);
  });
  const CallState state = call->Wait(kSettlePatience);
  mCalls.End(number);
  return state == CallState::kAnswered ? call->TakeAnswer()
                                       : OrderAnswer::Unknown(Refusal::kNoAnswer);
}

void Entry::RecordSpan(const Order& aOrder,
                       const TraceContext& aContext,
                       std::uint64_t aParent,
                       const char* aName,
                       Instant aStart,
                       const OrderAnswer& aAnswer)
{
  if (!aContext.sampled) {
    return;
  }
  Span span;
  span.context = aContext;
  span.parent = aParent;
  span.name = aName;
  span.start = aStart;
  span.end = mServices.timers.Now();
  span.service = aOrder.service;
  span.requestId = aOrder.requestId;
  span.outcome = NameOf(kOutcomeNames, aAnswer.outcome);
  mServices.spans.Record(span);
}

} // namespace hawthornlug
