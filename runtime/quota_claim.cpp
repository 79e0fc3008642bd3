#include "runtime/quota_claim.h"

#include <utility>
#include <vector>

namespace hawthornlug {

namespace {

/// Retry-After while nothing is known about a quota. Until then the daemons that hand out the quota
/// have been replaced if they were lost (700 ms), or the answer that was lost has been repeated.
constexpr Duration kUnknownRetryAfter = milliseconds(700);

} // namespace

void QuotaClaim::Begin(std::unique_ptr<QuotaTicket> aTicket, std::shared_ptr<OpenClaims> aOpen)
{
  mTicket = std::move(aTicket);
  mOpen = std::move(aOpen);
  mOpen->insert(this);
}

void QuotaClaim::Release()
{
  mTicket.reset();
  if (mOpen) {
    mOpen->erase(this);
    mOpen.reset();
  }
}

void QuotaClaim::ReleaseAll(const OpenClaims& aOpen)
{
  // Each release takes its claim out of the set.
  for (QuotaClaim* const it : std::vector<QuotaClaim*>(aOpen.begin(), aOpen.end())) {
    it->Release();
  }
}

QuotaState QuotaClaim::State(Instant aNow)
{
  if (!mTicket || mGranted) {
    return QuotaState::kGranted;
  }
  const QuotaState state = mTicket->State(aNow);
  mGranted = state == QuotaState::kGranted;
  return state;
}

std::optional<AdmissionRefusal> QuotaClaim::Refusal(Instant aNow)
{
  switch (State(aNow)) {
    case QuotaState::kExceeded:
      return AdmissionRefusal{
        429, mTicket->RetryAfter(aNow), EventId::kOverQuota, "quota-exceeded"
      };
    case QuotaState::kUnknown:
      return AdmissionRefusal{ 503, kUnknownRetryAfter, EventId::kRequestRefused, "quota-unknown" };
    case QuotaState::kGranted:
    case QuotaState::kPending:
      break;
  }
  return std::nullopt;
}

void QuotaClaim::MarkUsed(Instant aNow)
{
  if (mTicket) {
    mTicket->MarkUsed(aNow);
  }
}

} // namespace hawthornlug
