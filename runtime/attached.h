/// @file
/// Accepts and runs orders for the cells that this daemon is attached to, that is, whose leader it
/// is. An order is a caller's request on its way to a backend server.
#pragma once

#include "ports/caller_port.h"
#include "routing/request_table.h"
#include "routing/shard_routing_table.h"
#include "runtime/daemon_view.h"

namespace hawthornlug {

/// Runs each non-repeatable order at most once and reports its outcome. Repeatable orders are not
/// checked for duplicates.
class Attached
{
public:
  /// How long it surely remembers a non-repeatable request from its arrival, unless it says that it
  /// may have forgotten it.
  static constexpr Duration kRequestRetention = seconds(30);

  using Done = RequestHandler::Done;

  Attached(Services& aServices, const DaemonView& aDaemonView, const ShardRoutingTable& aRoutes);

  /// Records that a request has arrived; must be called in the sequence in which requests arrive.
  /// If the id of a non-repeatable request is already recorded as running, answered or declared not
  /// run, returns the answer to give, and the request must not be run.
  std::optional<OrderAnswer> Accept(const std::string& aRequestId, bool aRepeatable);
  /// Runs an accepted order. Returns null if it was refused at once; @p aDone has been called then.
  std::shared_ptr<OrderInProgress> Run(Order aOrder, const Done& aDone);
  /// Returns the outcome of a request. An unknown request id is recorded as not run, and a
  /// non-repeatable request that arrives with it later is refused; the outcome is unknown instead
  /// if the request may have been forgotten.
  OrderAnswer Ask(const std::string& aRequestId);

private:
  Services& mServices;
  const DaemonView& mDaemonView;
  const ShardRoutingTable& mRoutes;
  RequestTable mRequests;
};

} // namespace hawthornlug
