/// @file
/// Takes in orders for the cells that this daemon is attached to.
#pragma once

#include "ports/caller_port.h"
#include "routing/request_table.h"
#include "routing/shard_routing_table.h"
#include "runtime/daemon_view.h"

namespace hawthornlug {

/// Runs orders at most once each and answers what became of them.
class Attached
{
public:
  using Done = RequestHandler::Done;

  Attached(Services& aServices, const DaemonView& aDirectory, const ShardRoutingTable& aRoutes);

  /// Notes that a request has arrived; to be called in the order of arrival. If its id was seen
  /// before, returns what it is answered, and it must not be run.
  std::optional<OrderAnswer> Accept(const std::string& aRequestId, bool aRepeatable);
  /// Runs an accepted order. Null if it has been answered already.
  std::shared_ptr<OrderInProgress> Run(Order aOrder, const Done& aDone);
  /// Answers what became of a request; one that was never seen is refused from now on.
  OrderAnswer Ask(const std::string& aRequestId);

private:
  Services& mServices;
  const DaemonView& mDirectory;
  const ShardRoutingTable& mRoutes;
  RequestTable mRequests;
};

} // namespace hawthornlug
