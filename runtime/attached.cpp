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

} // namespace

Attached::Attached(Services& aServices, const Directory& aDirectory, const RoutingTable& aRoutes)
  : mServices(aServices)
  , mDirectory(aDirectory)
  , mRoutes(aRoutes)
  , mRequests(kKeepAnswers, kMaxAnswers)
{
}

void Attached::Run(Order aOrder, bool aInline, Done aDone)
{
  const auto config = mDirectory.Config();
  const ServiceConfig* service = config->FindService(aOrder.service);
  if (service == nullptr) {
    aDone(OrderAnswer::NotRun(Refusal::kUnknownService));
    return;
  }
  const ShardId shard = ShardOf(aOrder.key, service->shards);
  const auto route = mRoutes.Find(aOrder.service, shard);
  const auto cell = route ? mDirectory.FindCell(route->cell) : nullptr;
  if (!cell) {
    OrderAnswer answer = OrderAnswer::NotRun(route ? Refusal::kNotMine : Refusal::kNoRoute);
    answer.redirect = route ? route->attached : DaemonRef{};
    aDone(answer);
    return;
  }
  const bool once = !aOrder.repeatable;
  if (once) {
    const RequestTable::Entry seen = mRequests.Begin(mServices.timers.Now(), aOrder.requestId);
    if (seen.state != RequestState::kFresh) {
      aDone(AnswerSeen(seen));
      return;
    }
  }
  auto pending = std::make_shared<PendingOrder>();
  pending->shard = shard;
  pending->done =
    [this, once, id = aOrder.requestId, done = std::move(aDone)](const OrderAnswer& aAnswer) {
      if (once) {
        mRequests.Finish(mServices.timers.Now(), id, aAnswer);
      }
      done(aAnswer);
    };
  pending->order = std::move(aOrder);
  cell->Submit(pending, aInline);
}

OrderAnswer Attached::Ask(const std::string& aRequestId)
{
  const RequestTable::Entry entry = mRequests.Ask(mServices.timers.Now(), aRequestId);
  return AnswerSeen(entry);
}

} // namespace hawthornlug
