/// @file
/// The ports, threads and tables that the parts of a daemon share.
///
/// Lock order, outermost first: Daemon's configuration lock, Entry, EntryRequest, CellRunner,
/// Daemon's table lock, then the tables (ObjectCache, RoutingTable, RequestTable, PeerCalls,
/// RemoteOrders), then Metrics, EventLog and SpanPort. No lock but the configuration lock is held
/// during a callback, and none during a blocking call.
#pragma once

#include "config/object_cache.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "core/timer_service.h"
#include "core/worker_pool.h"
#include "ports/peer_port.h"
#include "ports/platform_port.h"
#include "ports/server_port.h"
#include "ports/span_port.h"

namespace hawthornlug {

/// References to the shared objects of one daemon; all outlive the parts that use them.
struct Services
{
  PlatformPort& platform;
  ServerPortFactory& servers;
  PeerPort& peers;
  TimerService& timers;
  /// Timers for heartbeats only, so that no other work can delay them.
  TimerService& heartbeatTimers;
  /// Starts the orders that other daemons send.
  WorkerPool& orderWorkers;
  /// Makes calls to the platform, which block.
  WorkerPool& controlWorkers;
  EventLog& log;
  Metrics& metrics;
  SpanPort& spans;
  ObjectCache& cache;
};

} // namespace hawthornlug
