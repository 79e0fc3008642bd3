/// @file
/// Takes callers' requests in at one entry host.
#pragma once

#include "runtime/entry_request.h"

#include <atomic>
#include <list>
#include <mutex>

namespace hawthornlug {

/// Serves callers at one entry host.
class Entry : public RequestHandler
{
public:
  Entry(Services& aServices,
        const DaemonView& aDirectory,
        const ShardRoutingTable& aRoutes,
        Attached& aAttached,
        PeerCalls& aCalls,
        double aTraceSample);

  std::shared_ptr<OrderInProgress> Handle(Order aOrder, Done aDone) override;
  /// Looks at what is due; to be called at kTickInterval.
  void Tick(Instant aNow);
  /// Requests in progress.
  std::size_t InProgress() const { return mInProgress; }

  static constexpr Duration kTickInterval = milliseconds(10);

private:
  void Finish(const Order& aOrder, std::uint64_t aParent, Instant aStart, const OrderAnswer& aWhat);

  EntryParts mParts;
  const double mTraceSample;
  std::atomic<std::size_t> mInProgress{ 0 };
  std::mutex mMutex;
  std::list<std::shared_ptr<EntryRequest>> mRequests;
};

} // namespace hawthornlug
