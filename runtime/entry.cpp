#include "runtime/entry.h"

#include "core/hashing.h"

namespace hawthornlug {

namespace {

/// Number of distinct values of the random draw that decides whether a trace is sampled.
constexpr double kSampleResolution = 1e6;

/// Handle to an order that was refused at once, so that there is nothing to abandon.
class RefusedOrder : public OrderInProgress
{
public:
  void Abandon() override {}
};

} // namespace

Entry::Entry(Services& aServices,
             const DaemonView& aDaemonView,
             const ShardRoutingTable& aRoutes,
             Attached& aAttached,
             PeerCalls& aCalls,
             double aTraceSample)
  : mContext{ aServices, aDaemonView, aRoutes, aAttached, aCalls }
  , mTraceSample(aTraceSample)
{
}

std::shared_ptr<OrderInProgress> Entry::Handle(Order aOrder, Done aDone)
{
  const Instant start = mContext.services.timers.Now();
  const auto config = mContext.daemonView.Config();
  const ServiceConfig* service = config->FindService(aOrder.service);
  if (service == nullptr) {
    aDone(RefuseUnsent(Refusal::kUnknownService));
    return std::make_shared<RefusedOrder>();
  }
  aOrder.deadline = start + service->deadline;
  aOrder.repeatable = service->repeatable.count(aOrder.method) != 0;
  const std::uint64_t parent = aOrder.trace.span;
  if (parent == 0) {
    const double draw =
      static_cast<double>(RandomId() % static_cast<std::uint64_t>(kSampleResolution));
    aOrder.trace = TraceContext::Make(draw < mTraceSample * kSampleResolution);
  } else {
    aOrder.trace = aOrder.trace.Child();
  }
  ++mInProgress;
  const ShardId shard = ShardOf(aOrder.key, service->shards);
  // The fields needed to record the finished request. The body may be large and is not copied.
  Order summary;
  summary.service = aOrder.service;
  summary.requestId = aOrder.requestId;
  summary.trace = aOrder.trace;
  auto request = std::make_shared<EntryRequest>(
    mContext,
    std::move(aOrder),
    shard,
    [this, summary = std::move(summary), parent, start, done = std::move(aDone)](
      const OrderAnswer& aAnswer) {
      Finish(summary, parent, start, aAnswer);
      done(aAnswer);
    });
  {
    const std::lock_guard lock(mMutex);
    mRequests.push_back(request);
  }
  request->Start();
  return request;
}

void Entry::Finish(const Order& aOrder,
                   std::uint64_t aParent,
                   Instant aStart,
                   const OrderAnswer& aAnswer)
{
  const Instant now = mContext.services.timers.Now();
  RecordOrderSpan(
    mContext.services.spans, aOrder, aOrder.trace, aParent, "entry", aStart, now, aAnswer);
  mContext.services.metrics.Count(
    LabelledName("requests_total",
                 { { "service", aOrder.service },
                   { "outcome", NameOf(kOutcomeNames, aAnswer.outcome.Value()) } }));
  if (aAnswer.outcome != Outcome::kDone) {
    mContext.services.metrics.Count(
      LabelledName("refusals_total",
                   { { "outcome", NameOf(kOutcomeNames, aAnswer.outcome.Value()) },
                     { "reason", NameOf(kRefusalNames, aAnswer.refusal) } }));
  }
  mContext.services.metrics.Observe("request_seconds", now - aStart);
  --mInProgress;
}

void Entry::Tick(Instant aNow)
{
  std::vector<std::shared_ptr<EntryRequest>> requests;
  {
    const std::lock_guard lock(mMutex);
    std::erase_if(mRequests, [](const auto& aRequest) { return aRequest->IsDone(); });
    requests.assign(mRequests.begin(), mRequests.end());
  }
  for (const auto& it : requests) {
    it->Tick(aNow);
  }
}

} // namespace hawthornlug
