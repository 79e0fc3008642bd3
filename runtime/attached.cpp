#include "runtime/attached.h"

#include "core/hashing.h"

namespace hawthornlug {

namespace {

/// For how many requests the state of a non-repeatable request is kept.
constexpr std::size_t kMaxRetainedRequests = 16384;

/// Returns the answer to a request id that was received before: the stored answer, or why there is
/// none.
OrderAnswer AnswerForKnownRequest(const RequestTable::Entry& aEntry)
{
  switch (aEntry.state) {
    case RequestState::kFinished:
      return *aEntry.answer;
    case RequestState::kTombstone:
      return RefuseUnsent(Refusal::kTombstone);
    case RequestState::kForgotten:
      return OrderAnswer::Unknown(Refusal::kNoAnswer);
    case RequestState::kUnseen:
    case RequestState::kRunning:
      break;
  }
  return OrderAnswer::Unknown(Refusal::kInProgress);
}

/// Handle to an order that has been submitted to a cell.
class SubmittedOrder : public OrderInProgress
{
public:
  SubmittedOrder(std::shared_ptr<CellRunner> aCell, const PendingOrderPtr& aOrder)
    : mCell(std::move(aCell))
    , mOrder(aOrder)
  {
  }

  void Abandon() override
  {
    if (const PendingOrderPtr order = mOrder.lock()) {
      mCell->Abandon(order);
    }
  }

private:
  std::shared_ptr<CellRunner> mCell;
  std::weak_ptr<PendingOrder> mOrder;
};

} // namespace

Attached::Attached(Services& aServices,
                   const DaemonView& aDaemonView,
                   const ShardRoutingTable& aRoutes)
  : mServices(aServices)
  , mDaemonView(aDaemonView)
  , mRoutes(aRoutes)
  , mRequests(kRequestRetention, kMaxRetainedRequests)
{
}

std::optional<OrderAnswer> Attached::Accept(const std::string& aRequestId, bool aRepeatable)
{
  if (aRepeatable) {
    return std::nullopt;
  }
  const RequestTable::Entry entry = mRequests.Begin(mServices.timers.Now(), aRequestId);
  if (entry.state == RequestState::kUnseen) {
    return std::nullopt;
  }
  return AnswerForKnownRequest(entry);
}

std::shared_ptr<OrderInProgress> Attached::Run(Order aOrder, const Done& aDone)
{
  const Done done = [this, atMostOnce = !aOrder.repeatable, id = aOrder.requestId, aDone](
                      const OrderAnswer& aAnswer) {
    if (atMostOnce) {
      mRequests.Finish(mServices.timers.Now(), id, aAnswer);
    }
    aDone(aAnswer);
  };
  const auto config = mDaemonView.Config();
  const ServiceConfig* service = config->FindService(aOrder.service);
  if (service == nullptr) {
    done(RefuseUnsent(Refusal::kUnknownService));
    return nullptr;
  }
  const ShardId shard = ShardOf(aOrder.key, service->shards);
  const auto route = mRoutes.Find(aOrder.service, shard);
  const auto cell = route ? mDaemonView.FindCell(route->cell) : nullptr;
  if (!cell) {
    OrderAnswer answer = RefuseUnsent(route ? Refusal::kNotMine : Refusal::kNoRoute);
    answer.redirect = route ? route->attached : DaemonRef{};
    done(answer);
    return nullptr;
  }
  auto pending = std::make_shared<PendingOrder>();
  pending->shard = shard;
  pending->done = done;
  pending->order = std::move(aOrder);
  cell->Submit(pending);
  return std::make_shared<SubmittedOrder>(cell, pending);
}

OrderAnswer Attached::Ask(const std::string& aRequestId)
{
  const RequestTable::Entry entry = mRequests.Ask(mServices.timers.Now(), aRequestId);
  return AnswerForKnownRequest(entry);
}

} // namespace hawthornlug
