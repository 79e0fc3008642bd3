/// @file
/// Takes callers' requests in and finds the daemon that runs them.
#pragma once

#include "ports/caller_port.h"
#include "runtime/attached.h"
#include "runtime/peer_calls.h"

#include <atomic>

namespace hawthornlug {

/// Serves callers at one entry host.
class Entry : public RequestHandler
{
public:
  Entry(Services& aServices,
        const Directory& aDirectory,
        const RoutingTable& aRoutes,
        Attached& aAttached,
        PeerCalls& aCalls,
        double aTraceSample);

  OrderAnswer Handle(Order& aOrder) override;
  /// Requests in progress.
  std::size_t InProgress() const { return mInProgress; }

private:
  OrderAnswer Serve(const Order& aOrder, ShardId aShard);
  OrderAnswer TryOnce(const Order& aOrder, ShardId aShard);
  OrderAnswer RunHere(const Order& aOrder);
  OrderAnswer Forward(const Order& aOrder, const DaemonRef& aTo);
  /// Settles what became of an order whose answer is overdue.
  /// Waits for the answer to an order that was sent; asks what became of it if none comes.
  OrderAnswer Await(const Order& aOrder,
                    const DaemonRef& aTo,
                    const std::string& aEndpoint,
                    PeerCalls::Call& aCall);
  /// Waits until there is an answer, @p aTo is believed gone, or it is @p aEnd.
  CallState WaitWhileLive(const DaemonRef& aTo, Instant aEnd, PeerCalls::Call& aCall);
  OrderAnswer Settle(const Order& aOrder, const DaemonRef& aTo, const std::string& aEndpoint);
  void RecordSpan(const Order& aOrder,
                  const TraceContext& aContext,
                  std::uint64_t aParent,
                  const char* aName,
                  Instant aStart,
                  const OrderAnswer& aAnswer);

  Services& mServices;
  const Directory& mDirectory;
  const RoutingTable& mRoutes;
  Attached& mAttached;
  PeerCalls& mCalls;
  const double mTraceSample;
  std::atomic<std::size_t> mInProgress{ 0 };
};

} // namespace hawthornlug
