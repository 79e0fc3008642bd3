#include "runtime/remote_orders.h"

namespace hawthornlug {

void RemoteOrders::Begin(const DaemonRef& aFrom, std::uint64_t aCall)
{
  const std::lock_guard lock(mMutex);
  mOrders.try_emplace(Key(aFrom, aCall));
}

void RemoteOrders::Set(const DaemonRef& aFrom,
                       std::uint64_t aCall,
                       std::shared_ptr<OrderInProgress> aOrder)
{
  const std::lock_guard lock(mMutex);
  const auto it = mOrders.find(Key(aFrom, aCall));
  if (it != mOrders.end()) {
    it->second = std::move(aOrder);
  }
}

void RemoteOrders::End(const DaemonRef& aFrom, std::uint64_t aCall)
{
  const std::lock_guard lock(mMutex);
  mOrders.erase(Key(aFrom, aCall));
}

void RemoteOrders::Abandon(const DaemonRef& aFrom, std::uint64_t aCall)
{
  std::shared_ptr<OrderInProgress> order;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mOrders.find(Key(aFrom, aCall));
    if (it != mOrders.end()) {
      order = it->second;
    }
  }
  if (order) {
    order->Abandon();
  }
}

std::size_t RemoteOrders::Count() const
{
  const std::lock_guard lock(mMutex);
  return mOrders.size();
}

} // namespace hawthornlug
