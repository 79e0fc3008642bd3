#include "runtime/entry.h"

#include "core/hashing.h"

namespace hawthornlug {

namespace {

constexpr double kSampleSteps = 1e6;

/// What was answered before it was taken up.
class NothingInProgress : public OrderInProgress
{
public:
  void Abandon() override {}
};

} // namespace

Entry::Entry(Services& aServices,
             const DaemonView& aDirectory,
             const ShardRoutingTable& aRoutes,
             Attached& aAttached,
             PeerCalls& aCalls,
             double aTraceSample)
  : mParts{ aServices, aDirectory, aRoutes, aAttached, aCalls }
  , mTraceSample(aTraceSample)
{
}

std::shared_ptr<OrderInProgress> Entry::Handle(Order aOrder, Done aDone)
{
  const Instant start = mParts.services.timers.Now();
  const auto config = mParts.directory.Config();
  const ServiceConfig* service = config->FindService(aOrder.service);
  if (service == nullptr) {
    aDone(OrderAnswer::NotRun(Refusal::kUnknownService));
    return std::make_shared<NothingInProgress>();
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
  ++mInProgress;
  const ShardId shard = ShardOf(aOrder.key, service->shards);
  // What is told of the request at its end; its body may be large and is left out.
  Order about;
  about.service = aOrder.service;
  about.requestId = aOrder.requestId;
  about.trace = aOrder.trace;
  auto request = std::make_shared<EntryRequest>(
    mParts,
    std::move(aOrder),
    shard,
    [this, about = std::move(about), parent, start, done = std::move(aDone)](
      const OrderAnswer& aAnswer) {
      Finish(about, parent, start, aAnswer);
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
                   const OrderAnswer& aWhat)
{
  const Instant now = mParts.services.timers.Now();
  RecordOrderSpan(
    mParts.services.spans, aOrder, aOrder.trace, aParent, "entry", aStart, now, aWhat);
  const std::string labels = "{service=\"" + aOrder.service + "\",outcome=\"" +
                             std::string(NameOf(kOutcomeNames, aWhat.outcome)) + "\"}";
  mParts.services.metrics.Count("requests_total" + labels);
  mParts.services.metrics.Observe("request_seconds", now - aStart);
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
