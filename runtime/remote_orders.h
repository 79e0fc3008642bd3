/// @file
/// Orders of other daemons that are in progress here.
#pragma once

#include "core/ids.h"
#include "ports/caller_port.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace hawthornlug {

/// Finds the order that another daemon's call began, so that it can be abandoned. Safe to use from
/// any thread.
class RemoteOrders
{
public:
  void Begin(const DaemonRef& aFrom, std::uint64_t aCall);
  /// Sets how to abandon an order that has begun; of no effect if it has ended.
  void Set(const DaemonRef& aFrom, std::uint64_t aCall, std::shared_ptr<OrderInProgress> aOrder);
  void End(const DaemonRef& aFrom, std::uint64_t aCall);
  void Abandon(const DaemonRef& aFrom, std::uint64_t aCall);

private:
  using Key = std::pair<DaemonRef, std::uint64_t>;

  std::mutex mMutex;
  std::map<Key, std::shared_ptr<OrderInProgress>> mOrders;
};

} // namespace hawthornlug
