#include "limits/quota_account.h"

#include <algorithm>
#include <list>

namespace hawthornlug {

namespace {

/// A request for which no pool has answered for this long is rejected.
constexpr Duration kMaxPendingTime = milliseconds(500);
/// When a caller should retry if no pool has answered: by then the members of a lost keeper have
/// another one, and their shares.
constexpr Duration kUnknownRetryAfter = seconds(1);
/// Shortest time after which a caller is told to retry.
constexpr Duration kMinRetryAfter = milliseconds(10);

} // namespace

/// The tokens and claims of one organisation.
struct QuotaAccount::Organisation
{
  QuotaLimit limit;
  /// Tokens that are held; negative if more have been spent, until the pool knows.
  std::int64_t tokens = 0;
  Instant tokensUntil;
  /// Claims that were granted and not used yet.
  std::int64_t granted = 0;
  /// Claims that exist in any state.
  std::int64_t tickets = 0;
  std::uint64_t used = 0;
  /// Requests rejected since the last report; the pool has to know of them, to hand out tokens in
  /// proportion to demand.
  std::uint32_t rejected = 0;
  /// What the latest report has stated, and what the pool is known to know.
  std::uint64_t usedReported = 0;
  std::uint64_t usedKnown = 0;
  std::int64_t debtReported = 0;
  /// Claims that wait, the oldest first.
  std::list<Ticket*> waiting;
  QuotaUseRate arrivals;
  Instant exhaustedUntil;
  Instant retryAt;

  void Expire(Instant aNow)
  {
    if (aNow >= tokensUntil) {
      tokens = std::min<std::int64_t>(tokens, 0);
    }
  }
  bool HasFreeToken() const { return tokens > granted; }
};

/// One request's claim; refers to its organisation as long as that has a limit.
class QuotaAccount::Ticket : public QuotaTicket
{
public:
  Ticket(std::shared_ptr<Organisation> aOrganisation, Instant aNow)
    : mOrganisation(std::move(aOrganisation))
    , mClaimedAt(aNow)
  {
    ++mOrganisation->tickets;
  }
  ~Ticket() override
  {
    Withdraw();
    --mOrganisation->tickets;
    if (mState == QuotaState::kGranted && !mUsed) {
      --mOrganisation->granted;
    }
  }
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;

  QuotaState State(Instant aNow) override
  {
    if (mState == QuotaState::kPending && aNow - mClaimedAt >= kMaxPendingTime) {
      Withdraw();
      mState = QuotaState::kUnknown;
    }
    return mState;
  }

  Duration RetryAfter(Instant aNow) const override
  {
    return mState == QuotaState::kUnknown ? kUnknownRetryAfter
                                          : std::max(kMinRetryAfter, mRetryAt - aNow);
  }

  void MarkUsed(Instant aNow) override
  {
    mOrganisation->Expire(aNow);
    if (mState == QuotaState::kGranted && !mUsed) {
      --mOrganisation->granted;
    }
    mUsed = true;
    --mOrganisation->tokens;
    ++mOrganisation->used;
  }

  /// Appends the claim to those that wait.
  void Wait()
  {
    mOrganisation->waiting.push_back(this);
    mPosition = std::prev(mOrganisation->waiting.end());
    mWaits = true;
  }
  void Grant()
  {
    Withdraw();
    mState = QuotaState::kGranted;
    ++mOrganisation->granted;
  }
  void Reject()
  {
    Withdraw();
    mState = QuotaState::kExceeded;
    mRetryAt = mOrganisation->retryAt;
  }

private:
  void Withdraw()
  {
    if (mWaits) {
      mOrganisation->waiting.erase(mPosition);
      mWaits = false;
    }
  }

  std::shared_ptr<Organisation> mOrganisation;
  Instant mClaimedAt;
  QuotaState mState = QuotaState::kPending;
  bool mUsed = false;
  Instant mRetryAt;
  bool mWaits = false;
  std::list<Ticket*>::iterator mPosition;
};

QuotaAccount::QuotaAccount() = default;
QuotaAccount::~QuotaAccount() = default;

bool QuotaAccount::SetLimits(const QuotaLimits& aLimits)
{
  std::erase_if(mOrganisations, [&](const auto& aEntry) {
    if (aLimits.contains(aEntry.first)) {
      return false;
    }
    while (!aEntry.second->waiting.empty()) {
      aEntry.second->waiting.front()->Grant();
    }
    return true;
  });
  bool lowered = false;
  for (const auto& [number, limit] : aLimits) {
    std::shared_ptr<Organisation>& organisation = mOrganisations[number];
    if (!organisation) {
      organisation = std::make_shared<Organisation>();
    } else if (limit.burst < organisation->limit.burst ||
               limit.ratePerSecond < organisation->limit.ratePerSecond) {
      organisation->tokens = std::min<std::int64_t>(organisation->tokens, 0);
      lowered = true;
    } else if (limit != organisation->limit) {
      organisation->exhaustedUntil = Instant();
    }
    organisation->limit = limit;
  }
  return lowered;
}

std::unique_ptr<QuotaTicket> QuotaAccount::Claim(std::optional<OrganisationNumber> aOrganisation,
                                                 Instant aNow)
{
  const auto found = aOrganisation ? mOrganisations.find(*aOrganisation) : mOrganisations.end();
  if (found == mOrganisations.end()) {
    auto ticket = std::make_unique<Ticket>(std::make_shared<Organisation>(), aNow);
    ticket->Grant();
    return ticket;
  }
  Organisation& organisation = *found->second;
  auto ticket = std::make_unique<Ticket>(found->second, aNow);
  mActive.insert(found->first);
  organisation.arrivals.Add(1.0, aNow);
  organisation.Expire(aNow);
  if (organisation.HasFreeToken()) {
    ticket->Grant();
  } else if (aNow < organisation.exhaustedUntil) {
    ++organisation.rejected;
    ticket->Reject();
  } else {
    ticket->Wait();
    mUrgent = true;
  }
  return ticket;
}

QuotaDemands QuotaAccount::Demands(Instant aNow)
{
  mUrgent = false;
  QuotaDemands demands;
  for (auto it = mActive.begin(); it != mActive.end();) {
    const auto found = mOrganisations.find(*it);
    if (found == mOrganisations.end()) {
      it = mActive.erase(it);
      continue;
    }
    Organisation& organisation = *found->second;
    organisation.Expire(aNow);
    // Claims that nobody has asked for since their time has passed need no token.
    while (!organisation.waiting.empty() &&
           organisation.waiting.front()->State(aNow) != QuotaState::kPending) {
    }
    const std::int64_t held = std::max<std::int64_t>(organisation.tokens, 0);
    const std::int64_t unbacked = std::max<std::int64_t>(organisation.granted - held, 0);
    const auto waiting =
      static_cast<std::int64_t>(organisation.waiting.size()) + organisation.rejected + unbacked;
    const std::int64_t free = held - organisation.granted + unbacked;
    const std::int64_t reserve = organisation.arrivals.Reserve(aNow);
    QuotaDemand demand;
    demand.used = organisation.used;
    demand.held = static_cast<std::uint32_t>(held);
    demand.waiting = static_cast<std::uint32_t>(waiting);
    demand.wanted = static_cast<std::uint32_t>(waiting + std::max<std::int64_t>(reserve - free, 0));
    // An organisation stays listed while it has requests: each of their further attempts must be
    // seen by a pool that knows the number used before.
    if (demand.wanted == 0 && held == 0 && organisation.tickets == 0 &&
        organisation.used == organisation.usedKnown) {
      it = mActive.erase(it);
      continue;
    }
    organisation.rejected = 0;
    organisation.usedReported = organisation.used;
    organisation.debtReported = std::max<std::int64_t>(-organisation.tokens, 0);
    demands.emplace_hint(demands.end(), *it, demand);
    ++it;
  }
  mReported.clear();
  for (const auto& [number, demand] : demands) {
    mReported.push_back(number);
  }
  return demands;
}

bool QuotaAccount::OnGrants(const QuotaGrants& aGrants, Instant aUntil, Instant aNow)
{
  for (const OrganisationNumber it : mReported) {
    const auto found = mOrganisations.find(it);
    if (found != mOrganisations.end()) {
      Organisation& organisation = *found->second;
      organisation.Expire(aNow);
      organisation.tokensUntil = aUntil;
      organisation.usedKnown = organisation.usedReported;
      // The pool has charged itself for what was spent beyond the tokens.
      organisation.tokens += organisation.debtReported;
      organisation.debtReported = 0;
    }
  }
  bool decided = false;
  for (const auto& [number, grant] : aGrants) {
    const auto found = mOrganisations.find(number);
    if (found == mOrganisations.end()) {
      continue;
    }
    Organisation& organisation = *found->second;
    organisation.tokens += aNow < aUntil ? grant.granted : 0;
    organisation.exhaustedUntil = grant.exhausted ? aNow + kQuotaExhaustedMemory : Instant();
    organisation.retryAt = aNow + grant.retryAfter;
    while (!organisation.waiting.empty() && (organisation.HasFreeToken() || grant.exhausted)) {
      Ticket& ticket = *organisation.waiting.front();
      if (ticket.State(aNow) == QuotaState::kPending) {
        if (organisation.HasFreeToken()) {
          ticket.Grant();
        } else {
          ticket.Reject();
        }
      }
      decided = true;
    }
  }
  return decided;
}

void QuotaAccount::DropTokens()
{
  for (const OrganisationNumber it : mActive) {
    const auto found = mOrganisations.find(it);
    if (found != mOrganisations.end()) {
      found->second->tokens = std::min<std::int64_t>(found->second->tokens, 0);
      found->second->debtReported = 0;
    }
  }
}

} // namespace hawthornlug
