#include "runtime/attached.h"

#include "core/hashing.h"

namespace hawthornlug {

namespace {

constexpr Duration kKeepAnswers = seconds(30);
constexpr std::size_t kMaxAnswers = 16384;

/// What a request id that was seen before is answered.
OrderAnswer AnswerSeen(const RequestTable::Entry& aEntry)
{
  switch (aEntry.state) {
    case RequestState::kFinished:
      return *aEntry.answer;
    case RequestState::kTombstone:
      return OrderAnswer::NotRun(Refusal::kTombstone);
    default:
      return OrderAnswer::Unknown(Refusal::kInProgress);
  }
}

/// An order in the hands of a cell.
class OrderInCell : public OrderInProgress
{
public:
  OrderInCell(std::shared_ptr<CellRunner> aCell, const PendingOrderPtr& aOrder)
    : mCell(std::move(aCell))
    , mOrder(aOrder)
  {
  }

  void Abandon() override
  {
    if (const PendingOrderPtr it = mOrder.lock()) {
      mCell->Abandon(it);
    }
  }

private:
  std::shared_ptr<CellRunner> mCell;
  std::weak_ptr<PendingOrder> mOrder;
};

} // namespace

Attached::Attached(Services& aServices,
                   const DaemonView& aDirectory,
                   const ShardRoutingTable& aRoutes)
  : mServices(aServices)
  , mDirectory(aDirectory)
  , mRoutes(aRoutes)
  , mRequests(kKeepAnswers, kMaxAnswers)
{
}

std::optional<OrderAnswer> Attached::Accept(const std::string& aRequestId, bool aRepeatable)
{
  if (aRepeatable) {
    return std::nullopt;
  }
  const RequestTable::Entry seen = mRequests.Begin(mServices.timers.Now(), aRequestId);
  if (seen.state == RequestState::kUnseen) {
    return std::nullopt;
  }
  return AnswerSeen(seen);
}

std::shared_ptr<OrderInProgress> Attached::Run(Order aOrder, const Done& aDone)
{
  const Done done =
    [this, once = !aOrder.repeatable, id = aOrder.requestId, aDone](const OrderAnswer& aAnswer) {
      if (once) {
        mRequests.Finish(mServices.timers.Now(), id, aAnswer);
      }
      aDone(aAnswer);
    };
  const auto config = mDirectory.Config();
  const ServiceConfig* service = config->FindService(aOrder.service);
  if (service == nullptr) {
    done(OrderAnswer::NotRun(Refusal::kUnknownService));
    return nullptr;
  }
  const ShardId shard = ShardOf(aOrder.key, service->shards);
  const auto route = mRoutes.Find(aOrder.service, shard);
  const auto cell = route ? mDirectory.FindCell(route->cell) : nullptr;
  if (!cell) {
    OrderAnswer answer = OrderAnswer::NotRun(route ? Refusal::kNotMine : Refusal::kNoRoute);
    answer.redirect = route ? route->attached : DaemonRef{};
    done(answer);
    return nullptr;
  }
  auto pending = std::make_shared<PendingOrder>();
  pending->shard = shard;
  pending->done = done;
  pending->order = std::move(aOrder);
  cell->Submit(pending);
  return std::make_shared<OrderInCell>(cell, pending);
}

OrderAnswer Attached::Ask(const std::string& aRequestId)
{
  const RequestTable::Entry entry = mRequests.Ask(mServices.timers.Now(), aRequestId);
  return AnswerSeen(entry);
}

} // namespace hawthornlug
