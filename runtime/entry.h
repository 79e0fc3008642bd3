/// @file
/// Accepts callers' requests at an entry host, the host that a caller has connected to.
#pragma once

#include "runtime/entry_request.h"

#include <atomic>
#include <list>
#include <mutex>

namespace hawthornlug {

/// Starts an EntryRequest for each request of a caller, and records its span and metrics when it
/// has been answered.
class Entry : public RequestHandler
{
public:
  Entry(Services& aServices,
        const DaemonView& aDaemonView,
        const ShardRoutingTable& aRoutes,
        Attached& aAttached,
        PeerCalls& aCalls,
        double aTraceSample);

  std::shared_ptr<OrderInProgress> Handle(Order aOrder, Done aDone) override;
  /// Handles timeouts and retries of the requests in progress; must be called every kTickInterval.
  void Tick(Instant aNow);
  /// Number of requests in progress.
  std::size_t InProgress() const { return mInProgress; }

  static constexpr Duration kTickInterval = milliseconds(10);

private:
  void Finish(const Order& aOrder,
              std::uint64_t aParent,
              Instant aStart,
              const OrderAnswer& aAnswer);

  EntryContext mContext;
  const double mTraceSample;
  std::atomic<std::size_t> mInProgress{ 0 };
  std::mutex mMutex;
  std::list<std::shared_ptr<EntryRequest>> mRequests;
};

} // namespace hawthornlug
