#include "config/replica_currency.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Statements that are kept until their changes have been applied.
constexpr std::size_t kMaxAhead = 16;

} // namespace

ReplicaCurrency::ReplicaCurrency(ObjectMirror& aMirror, Instant aStartedAt)
  : mMirror(aMirror)
{
  for (Kind& it : mKinds) {
    it.asOf = aStartedAt;
  }
}

void ReplicaCurrency::OnReading(ObjectKind aKind, Instant aAsOf)
{
  Kind& kind = Of(aKind);
  kind.asOf = std::max(kind.asOf, aAsOf);
  OnApplied(aKind);
}

void ReplicaCurrency::OnStatement(const CurrencyStatement& aStatement)
{
  if (Take(aStatement)) {
    return;
  }
  std::deque<CurrencyStatement>& ahead = Of(aStatement.kind).ahead;
  if (!ahead.empty() && aStatement.at <= ahead.back().at) {
    return;
  }
  if (ahead.size() == kMaxAhead) {
    ahead.pop_back();
  }
  ahead.push_back(aStatement);
}

void ReplicaCurrency::OnApplied(ObjectKind aKind)
{
  std::deque<CurrencyStatement>& ahead = Of(aKind).ahead;
  while (!ahead.empty() && Take(ahead.front())) {
    ahead.pop_front();
  }
}

bool ReplicaCurrency::Take(const CurrencyStatement& aStatement)
{
  if (!mMirror.TakeUnchanged(aStatement.kind, aStatement.changedAt, aStatement.at)) {
    return false;
  }
  Kind& kind = Of(aStatement.kind);
  kind.asOf = std::max(kind.asOf, aStatement.asOf);
  return true;
}

CurrencyStatement ReplicaCurrency::Describe(ObjectKind aKind) const
{
  return { aKind, mMirror.At(aKind), mMirror.ChangedAt(aKind), AsOf(aKind) };
}

} // namespace hawthornlug
