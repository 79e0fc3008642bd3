/// @file
/// A member's side of its exchange with the keeper of a pool.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <string>

namespace hawthornlug {

/// Head of a member's report.
struct QuotaReportHead
{
  /// Rises with each report of a run.
  std::uint64_t sequence = 0;
  /// The part of every quota, from 0 to 1, that the member lends to the pool.
  double share = 0.0;
  /// The keeper's clock in its latest answer that the member has accepted; the epoch if none.
  Instant answeredAt;
};

/// Numbers a member's reports, decides which answers are accepted, and how long the member's share
/// counts as lent.
///
/// A report states the keeper's clock in the latest answer, and the keeper counts the loan from
/// there. So a loan ends a fixed time after that answer, also if a report is delivered late because
/// the keeper was paused or a connection stalled; by then the member may have lent its share
/// elsewhere.
class QuotaLink
{
public:
  /// @p aLendTime: how long after an answer the share counts as lent. It must be longer than the
  /// keeper, and any pool that the keeper lends to, counts the loan. @p aFirstSequence: greater
  /// than any number of an earlier run.
  QuotaLink(Duration aLendTime, std::uint64_t aFirstSequence);

  /// Sets which daemon keeps the pool. Returns whether it was another one before.
  bool Use(const std::string& aKeeper, Instant aNow);
  const std::string& Keeper() const { return mKeeper; }
  /// Whether a report is due when reports are sent at @p aInterval. While one is unanswered, the
  /// next one is delayed: it would make the answer worthless.
  bool IsDue(Duration aInterval, Instant aNow) const;
  /// Begins a report. @p aShare: the own share, of which the report offers nothing as long as it
  /// may be lent to another keeper.
  QuotaReportHead Report(double aShare, Instant aNow);
  /// Whether an answer is accepted: it must come from the keeper and answer the latest report.
  bool Accept(const std::string& aKeeper,
              std::uint64_t aSequence,
              Instant aKeeperClock,
              Instant aNow);
  /// Refuses answers to the reports that have been sent so far.
  void DiscardAnswers() { mAnswerable = false; }
  /// Whether the keeper, or an earlier one, may count the member's share.
  bool IsLent(Instant aNow) const { return aNow < mLentUntil || aNow < mLentElsewhereUntil; }
  /// Tokens that the keeper has granted with its accepted answers, or confirmed, expire then. This
  /// counts from the report, so that they expire here before the keeper considers them expired.
  Instant TokensUntil() const;

private:
  Duration mLendTime;
  std::string mKeeper;
  std::uint64_t mSequence;
  Instant mReportedAt;
  /// Whether the latest report may still be answered, and whether it has been.
  bool mAnswerable = false;
  bool mAnswered = true;
  Instant mAnsweredAt;
  Instant mLentUntil;
  /// Whether the keeper has been offered a share.
  bool mHasLent = false;
  /// Until when the share may be lent to an earlier keeper.
  Instant mLentElsewhereUntil;
};

} // namespace hawthornlug
