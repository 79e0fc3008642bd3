/// @file
/// Reports and answers about quotas as messages between daemons.
#pragma once

#include "core/enum_names.h"
#include "limits/quota_link.h"
#include "limits/quota_pool.h"
#include "limits/quota_terms.h"
#include "proto/peer.pb.h"

#include <optional>

namespace hawthornlug {

/// Which pool a message is about. The values are part of the protocol between daemons.
enum class QuotaLevel : std::uint32_t
{
  kDomain = 0, ///< That of a failure domain.
  kFleet = 1,  ///< That of all daemons.
};
inline constexpr EnumNames<2> kQuotaLevelNames = { "domain", "fleet" };

/// The level in a message; none if the sender's version has levels that this one lacks.
std::optional<QuotaLevel> QuotaLevelOf(std::uint32_t aLevel);

wire::Envelope MakeQuotaReport(QuotaLevel aLevel,
                               const QuotaReportHead& aHead,
                               const QuotaDemands& aDemands);
/// The head of a report; none if the share is not a number from 0 to 1.
std::optional<QuotaReportHead> QuotaHeadOf(const wire::QuotaReport& aReport);
QuotaDemands QuotaDemandsOf(const wire::QuotaReport& aReport);

wire::Envelope MakeQuotaAnswer(QuotaLevel aLevel, const QuotaPoolAnswer& aAnswer, Instant aNow);
QuotaGrants QuotaGrantsOf(const wire::QuotaAnswer& aAnswer);

} // namespace hawthornlug
