/// @file
/// Orders that other daemons have sent and that are in progress in this daemon.
#pragma once

#include "core/ids.h"
#include "ports/caller_port.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace hawthornlug {

/// Finds the order that a call of another daemon started, so that it can be abandoned. Safe to use
/// from any thread.
class RemoteOrders
{
public:
  /// Adds an order; until Set() is called, Abandon() has no effect on it.
  void Begin(const DaemonRef& aFrom, std::uint64_t aCall);
  /// Sets the handle by which an order is abandoned; no effect if the order has ended.
  void Set(const DaemonRef& aFrom, std::uint64_t aCall, std::shared_ptr<OrderInProgress> aOrder);
  void End(const DaemonRef& aFrom, std::uint64_t aCall);
  void Abandon(const DaemonRef& aFrom, std::uint64_t aCall);
  std::size_t Count() const;

private:
  using Key = std::pair<DaemonRef, std::uint64_t>;

  mutable std::mutex mMutex;
  std::map<Key, std::shared_ptr<OrderInProgress>> mOrders;
};

} // namespace hawthornlug
