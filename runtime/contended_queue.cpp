#include "runtime/contended_queue.h"

#include <limits>

namespace hawthornlug {

namespace {

constexpr Duration kLogInterval = seconds(1);
constexpr unsigned kRangeKeyBits = std::numeric_limits<RangeKey>::digits;

} // namespace

ContendedQueue::ContendedQueue(std::string aDaemon,
                               const ServerSelector& aSelector,
                               DecisionLog& aLog,
                               Metrics& aMetrics)
  : mSelector(aSelector)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mContention(std::move(aDaemon))
{
}

void ContendedQueue::Tick(Instant aNow)
{
  mContention.Tick(aNow);
  const std::size_t targets = mContention.Demand(aNow).size();
  mMetrics.Set("contended_targets", static_cast<double>(targets));
  const ContentionTotals& now = mContention.Totals();
  const auto count = [this](const char* aName, std::uint64_t aTotal, std::uint64_t aBefore) {
    if (aTotal > aBefore) {
      mMetrics.Count(aName, aTotal - aBefore);
    }
  };
  count("contention_rejected_total{after=\"arrival\"}",
        now.rejectedAtArrival,
        mCounted.rejectedAtArrival);
  count("contention_rejected_total{after=\"wait\"}", now.rejectedEarly, mCounted.rejectedEarly);
  count(
    "contention_rejected_total{after=\"half-target\"}", now.rejectedLate, mCounted.rejectedLate);
  count("contention_allotted_total", now.allotted, mCounted.allotted);
  mCounted = now;
  Report(aNow, targets);
}

void ContendedQueue::Report(Instant aNow, std::size_t aTargets)
{
  const ContentionTotals& now = mContention.Totals();
  if (aNow - mLoggedAt < kLogInterval || now == mLogged) {
    return;
  }
  mLog.Write(EventId::kServersContended,
             { { "targets", aTargets },
               { "allotted", now.allotted - mLogged.allotted },
               { "rejected-at-arrival", now.rejectedAtArrival - mLogged.rejectedAtArrival },
               { "rejected-early", now.rejectedEarly - mLogged.rejectedEarly },
               { "rejected-late", now.rejectedLate - mLogged.rejectedLate } });
  mLogged = now;
  mLoggedAt = aNow;
}

ContendingRequest ContendedQueue::TermsOf(const QueuedRequest& aRequest)
{
  ContendingRequest terms;
  terms.target = aRequest.owner.empty() ? WaitingTargetOf(aRequest.service)
                                        : ServerSelector::HashedIdOf(aRequest.owner);
  if (aRequest.key) {
    // The keys of two services have nothing to do with each other.
    terms.key = std::uint64_t{ WaitingTargetOf(aRequest.service) } << kRangeKeyBits | *aRequest.key;
  }
  terms.priority = aRequest.priority;
  return terms;
}

ServerRoom ContendedQueue::RoomFor(const QueuedRequest& aRequest, Instant aNow) const
{
  return aRequest.owner.empty() ? mSelector.RoomOfService(aRequest.service, aRequest.work, aNow)
                                : mSelector.RoomOf(aRequest.owner, aRequest.work, aNow);
}

int ContendedQueue::DemotionOf(const QueuedRequest& aRequest) const
{
  return mContention.DemotionOf(TermsOf(aRequest));
}

bool ContendedQueue::IsLimited(const QueuedRequest& aRequest, Instant aNow)
{
  return mContention.IsLimited(TermsOf(aRequest), RoomFor(aRequest, aNow), aNow);
}

bool ContendedQueue::MaySend(const QueuedRequest& aRequest, Instant aNow)
{
  return mContention.MaySend(TermsOf(aRequest), RoomFor(aRequest, aNow), aNow);
}

void ContendedQueue::OnArrival(const QueuedRequest& aRequest, Instant aNow)
{
  mContention.OnArrival(TermsOf(aRequest), RoomFor(aRequest, aNow), aNow);
}

void ContendedQueue::OnSent(const QueuedRequest& aRequest, Instant aNow)
{
  mContention.OnSent(TermsOf(aRequest), RoomFor(aRequest, aNow), aNow);
}

void ContendedQueue::OnWaiting(const QueuedRequest& aRequest, Instant aNow)
{
  mContention.OnWaiting(TermsOf(aRequest), aNow);
}

void ContendedQueue::OnRejected(const QueuedRequest& aRequest,
                                Duration aWaited,
                                Duration aTargetLatency,
                                Instant aNow)
{
  mContention.OnRejected(TermsOf(aRequest), aWaited, aTargetLatency, aNow);
}

void ContendedQueue::Describe(WaitConditions& aQueue, const QueuedRequest& aRequest, Instant aNow)
{
  mContention.Describe(aQueue, TermsOf(aRequest), RoomFor(aRequest, aNow), aNow);
}

} // namespace hawthornlug
