/// @file
/// Connects a daemon's waiting requests to the decisions on contended servers.
#pragma once

#include "core/decision_log.h"
#include "core/metrics.h"
#include "limits/contention.h"
#include "ownership/key_range.h"
#include "routing/server_selector.h"

#include <optional>
#include <string>

namespace hawthornlug {

/// What a waiting request's share of a contended server depends on.
struct QueuedRequest
{
  std::string service;
  /// Owner of its key; empty if its service has no keys.
  std::string owner;
  std::optional<RangeKey> key;
  int priority = 0;
  /// Expected service time on a server of normal speed.
  Duration work = Duration::zero();
};

/// Applies Contention to the forwarder's queue: finds the room of the servers in question, and
/// reports what is decided in metrics and the log. Used only with LoadFeature::kContention.
class ContendedQueue
{
public:
  ContendedQueue(std::string aDaemon,
                 const ServerSelector& aSelector,
                 DecisionLog& aLog,
                 Metrics& aMetrics);

  Contention& Decisions() { return mContention; }
  /// To be called every few milliseconds.
  void Tick(Instant aNow);

  void BeginPass() { mContention.BeginPass(); }
  void EndPass() { mContention.EndPass(); }
  /// Levels by which the request is less urgent than its priority says.
  int DemotionOf(const QueuedRequest& aRequest) const;
  /// Whether the request gets a share of a room that does not suffice for all.
  bool IsLimited(const QueuedRequest& aRequest, Instant aNow);
  bool MaySend(const QueuedRequest& aRequest, Instant aNow);
  void OnArrival(const QueuedRequest& aRequest, Instant aNow);
  /// To be called before the request is counted as in flight.
  void OnSent(const QueuedRequest& aRequest, Instant aNow);
  void OnWaiting(const QueuedRequest& aRequest, Instant aNow);
  void OnRejected(const QueuedRequest& aRequest,
                  Duration aWaited,
                  Duration aTargetLatency,
                  Instant aNow);
  /// Adds the expected wait to the conditions of a request for which no server has room.
  void Describe(WaitConditions& aQueue, const QueuedRequest& aRequest, Instant aNow);

private:
  static ContendingRequest TermsOf(const QueuedRequest& aRequest);
  /// The room of the request's owner or service.
  ServerRoom RoomFor(const QueuedRequest& aRequest, Instant aNow) const;
  /// Logs what has been decided since the last report.
  void Report(Instant aNow, std::size_t aTargets);

  const ServerSelector& mSelector;
  DecisionLog& mLog;
  Metrics& mMetrics;
  Contention mContention;
  ContentionTotals mCounted;
  ContentionTotals mLogged;
  Instant mLoggedAt;
};

} // namespace hawthornlug
