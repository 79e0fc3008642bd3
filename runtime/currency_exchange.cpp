#include "runtime/currency_exchange.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Readings are stated if they show a state that is later by this than the last stated one.
constexpr Duration kStatementInterval = milliseconds(150);
/// Older statements would not change what a daemon does.
constexpr Duration kMaxStatedAge = seconds(60);

} // namespace

CurrencyExchange::CurrencyExchange(ObjectMirror& aMirror, Mesh& aMesh, Instant aStartedAt)
  : mMesh(aMesh)
  , mCurrency(aMirror, aStartedAt)
{
}

void CurrencyExchange::OnReading(ObjectKind aKind, Instant aAsOf, bool aIsStated)
{
  mCurrency.OnReading(aKind, aAsOf);
  if (!aIsStated) {
    return;
  }
  Instant& readAsOf = mReadAsOf.at(static_cast<std::size_t>(aKind));
  readAsOf = std::max(readAsOf, aAsOf);
}

void CurrencyExchange::Tick(Instant aNow)
{
  bool hasNews = false;
  for (std::size_t n = 0; n < kObjectKinds; ++n) {
    hasNews = hasNews || mReadAsOf[n] - mStatedAsOf[n] >= kStatementInterval;
  }
  if (!hasNews) {
    return;
  }
  mStatedAsOf = mReadAsOf;
  mMesh.SendThrifty(MakeStatements(aNow));
}

wire::Envelope CurrencyExchange::MakeStatements(Instant aNow) const
{
  wire::Envelope message;
  for (const ObjectKind it : kReplicatedKinds) {
    const CurrencyStatement statement = mCurrency.Describe(it);
    const Duration age = std::max(aNow - statement.asOf, Duration::zero());
    if (statement.at.IsNone() || age > kMaxStatedAge) {
      continue;
    }
    wire::StoreCurrency::Kind* const kind = message.mutable_store_currency()->add_kinds();
    kind->set_kind(static_cast<std::uint32_t>(it));
    kind->set_at(statement.at.Number());
    kind->set_era(statement.at.Era());
    kind->set_changed_at(statement.changedAt.Number());
    kind->set_age_ms(static_cast<std::uint32_t>(Millis(age)));
  }
  return message;
}

void CurrencyExchange::OnStatements(const MeshPeer& aPeer,
                                    const wire::Envelope& aMessage,
                                    Instant aNow)
{
  for (const wire::StoreCurrency::Kind& it : aMessage.store_currency().kinds()) {
    const Duration age = milliseconds(it.age_ms());
    if (it.kind() >= kObjectKinds || it.at() == 0 || age > kMaxStatedAge) {
      continue;
    }
    mCurrency.OnStatement({ static_cast<ObjectKind>(it.kind()),
                            StoreRevision(it.at(), it.era()),
                            StoreRevision(it.changed_at(), it.era()),
                            aNow - age });
  }
  mMesh.PassOnThrifty(aPeer, aMessage);
}

} // namespace hawthornlug
