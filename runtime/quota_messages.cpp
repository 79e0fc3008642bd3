#include "runtime/quota_messages.h"

#include <cmath>

namespace hawthornlug {

namespace {

/// Shares that daemons have added up exceed 1 by rounding errors.
constexpr double kShareTolerance = 1e-6;

} // namespace

std::optional<QuotaLevel> QuotaLevelOf(std::uint32_t aLevel)
{
  if (aLevel >= kQuotaLevelNames.size()) {
    return std::nullopt;
  }
  return static_cast<QuotaLevel>(aLevel);
}

wire::Envelope MakeQuotaReport(QuotaLevel aLevel,
                               const QuotaReportHead& aHead,
                               const QuotaDemands& aDemands)
{
  wire::Envelope message;
  wire::QuotaReport* const report = message.mutable_quota_report();
  report->set_sequence(aHead.sequence);
  report->set_level(static_cast<std::uint32_t>(aLevel));
  report->set_share(aHead.share);
  report->set_answered_us(aHead.answeredAt.time_since_epoch().count());
  for (const auto& [organisation, demand] : aDemands) {
    wire::QuotaReport::Item* const item = report->add_items();
    item->set_organisation(organisation);
    item->set_used(demand.used);
    item->set_held(demand.held);
    item->set_wanted(demand.wanted);
    item->set_waiting(demand.waiting);
  }
  return message;
}

std::optional<QuotaReportHead> QuotaHeadOf(const wire::QuotaReport& aReport)
{
  const double share = aReport.share();
  if (!std::isfinite(share) || share < 0.0 || share > 1.0 + kShareTolerance) {
    return std::nullopt;
  }
  return QuotaReportHead{ aReport.sequence(), share, Instant(Duration(aReport.answered_us())) };
}

QuotaDemands QuotaDemandsOf(const wire::QuotaReport& aReport)
{
  QuotaDemands demands;
  for (const wire::QuotaReport::Item& it : aReport.items()) {
    demands[it.organisation()] = { it.used(), it.held(), it.wanted(), it.waiting() };
  }
  return demands;
}

wire::Envelope MakeQuotaAnswer(QuotaLevel aLevel, const QuotaPoolAnswer& aAnswer, Instant aNow)
{
  wire::Envelope message;
  wire::QuotaAnswer* const answer = message.mutable_quota_answer();
  answer->set_sequence(aAnswer.sequence);
  answer->set_level(static_cast<std::uint32_t>(aLevel));
  answer->set_sent_us(aNow.time_since_epoch().count());
  for (const auto& [organisation, grant] : aAnswer.grants) {
    wire::QuotaAnswer::Item* const item = answer->add_items();
    item->set_organisation(organisation);
    item->set_granted(grant.granted);
    item->set_exhausted(grant.exhausted);
    item->set_retry_after_ms(static_cast<std::uint32_t>(Millis(grant.retryAfter)));
  }
  return message;
}

QuotaGrants QuotaGrantsOf(const wire::QuotaAnswer& aAnswer)
{
  QuotaGrants grants;
  for (const wire::QuotaAnswer::Item& it : aAnswer.items()) {
    grants[it.organisation()] = { it.granted(), it.exhausted(), milliseconds(it.retry_after_ms()) };
  }
  return grants;
}

} // namespace hawthornlug
