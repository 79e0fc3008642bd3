/// @file
/// Takes callers' requests to backend servers.
#pragma once

#include "core/decision_log.h"
#include "core/metrics.h"
#include "core/timer_service.h"
#include "http/server.h"
#include "limits/hedge_policy.h"
#include "limits/route_work.h"
#include "limits/shared_retry_budget.h"
#include "limits/waiting_policy.h"
#include "ports/backend_port.h"
#include "ports/caller_headers.h"
#include "ports/span_port.h"
#include "routing/route_table.h"
#include "routing/server_board.h"
#include "runtime/range_runner.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace hawthornlug {

/// Finds the ranges of a keyed service.
class RangeFinder
{
public:
  virtual ~RangeFinder() = default;
  /// Null if the service has no ranges here yet.
  virtual RangeRunner* FindRanges(const std::string& aService) = 0;
};

/// What a forwarder works with.
struct ForwarderServices
{
  RouteTable& routes;
  ServerBoard& board;
  BackendPort& backends;
  CallerHeaders& headers;
  RangeFinder& ranges;
  TimerService& timers;
  DecisionLog& log;
  Metrics& metrics;
  SpanPort& spans;
};

/// The path of a request: route, server, attempts, answer. Runs on the daemon's loop.
class Forwarder : public http::Handler
{
public:
  Forwarder(ForwarderServices aServices, const RetryAllowance& aRetries);
  ~Forwarder() override;

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int aStatus, http::ReadState aState) override;
  /// Looks for servers for the requests that wait.
  void Dispatch();
  /// Sends a second attempt for requests whose first one is late.
  void Hedge();
  /// From @p aFrom on, new requests are rejected: the process ends soon.
  void RefuseFrom(Instant aFrom) { mRefuseFrom = aFrom; }
  void SetDaemons(unsigned aDaemons) { mDaemons = aDaemons; }
  /// Share of the requests without a trace of their caller's whose spans are recorded.
  void SetTraceSample(double aShare) { mTraceSample = aShare; }
  void SetRetryAllowance(const RetryAllowance& aAllowance);
  std::size_t Waiting() const { return mWaiting.size(); }

private:
  struct Attempt;
  struct Flow;
  using FlowPtr = std::shared_ptr<Flow>;

  bool Admit(const FlowPtr& aFlow);
  bool TrySend(const FlowPtr& aFlow, Instant aNow);
  void SendTo(const FlowPtr& aFlow, const ServerChoice& aChoice, Instant aNow);
  void OnOutcome(const FlowPtr& aFlow, const std::string& aServer, ForwardOutcome aOutcome);
  void Learn(const FlowPtr& aFlow,
             const Attempt& aAttempt,
             const ForwardOutcome& aOutcome,
             Instant aNow);
  void TryHedge(const FlowPtr& aFlow, Instant aNow);
  void CancelAttempts(Flow& aFlow);
  void BeginTrace(Flow& aFlow) const;
  /// Records a span below the request's own.
  void RecordSpan(const Flow& aFlow,
                  const char* aName,
                  Instant aStart,
                  Instant aEnd,
                  std::string_view aOutcome) const;
  /// Records the span of the whole request.
  void RecordEntry(const Flow& aFlow, Instant aEnd, const std::string& aOutcome) const;
  void Record(const Flow& aFlow, Span aSpan) const;
  static ServerNeed NeedOf(const Flow& aFlow, Instant aNow);
  /// Tries once more if that is allowed; false if the request must be answered now.
  bool Retry(const FlowPtr& aFlow, ForwardResult aResult, Instant aNow);
  void Wait(const FlowPtr& aFlow);
  bool JudgeWait(const FlowPtr& aFlow, Instant aNow);
  void Refuse(const FlowPtr& aFlow, WaitVerdict aVerdict, const WaitingQueue& aQueue);
  void Finish(const FlowPtr& aFlow, http::Response aResponse, EventId aEvent, const char* aWhy);
  void Answer(const FlowPtr& aFlow,
              int aStatus,
              Duration aRetryAfter,
              EventId aEvent,
              const char* aWhy);
  void Abandon(const FlowPtr& aFlow);
  WaitingRequest View(const Flow& aFlow, Instant aNow) const;
  SharedRetryBudget& BudgetOf(const std::string& aService);

  ForwarderServices mServices;
  RetryAllowance mAllowance;
  std::map<std::string, SharedRetryBudget> mBudgets;
  RouteWork mWork;
  std::list<FlowPtr> mWaiting;
  /// Requests that could be hedged.
  std::list<std::weak_ptr<Flow>> mHedgeable;
  unsigned mDaemons = 1;
  std::uint64_t mRequests = 0;
  bool mDispatching = false;
  Instant mRefuseFrom = Instant::max();
  double mTraceSample = 0.0;
};

} // namespace hawthornlug
