/// @file
/// A limit on retries that holds for all daemons together without communication between them.
#pragma once

#include "core/instant.h"

#include <array>

namespace hawthornlug {

/// Retries that the operators allow: in any window, a share of the requests, plus a slack.
struct RetryAllowance
{
  /// Retries per request.
  double share = 0.2;
  Duration window = seconds(10);
  /// Retries per window, of all daemons together.
  double slack = 0.0;
};

/// One daemon's part of a service's retry budget. Each daemon may use the share of its own requests
/// and an equal part of the slack, so the parts of all daemons never add up to more than the whole.
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(const RetryAllowance& aAllowance)
    : mAllowance(aAllowance)
  {
  }

  void SetAllowance(const RetryAllowance& aAllowance) { mAllowance = aAllowance; }
  /// Records a request of a caller.
  void OnRequest(Instant aNow);
  /// Takes one retry; false if the budget is used up. @p aDaemons: number of daemons that share the
  /// slack.
  bool TakeRetry(Instant aNow, unsigned aDaemons);
  /// Takes one retry for a hedge. Hedges may use a smaller part of the budget than retries, so that
  /// the rest is left for retries of failed attempts.
  bool TakeHedge(Instant aNow, unsigned aDaemons);

private:
  /// Buckets in one window.
  static constexpr std::size_t kBuckets = 20;
  /// Part of the allowance that is used. It leaves a margin because the allowance holds in every
  /// sliding window, while requests and retries are counted in coarse buckets.
  static constexpr double kRetryPart = 0.85;
  /// Part of the allowance up to which hedges are sent.
  static constexpr double kHedgePart = 0.5;

  struct Bucket
  {
    /// Time since the epoch of the clock in bucket widths; negative if the bucket is unused.
    std::int64_t index = -1;
    unsigned requests = 0;
    unsigned retries = 0;
  };

  /// Returns the bucket of the time; resets it if it was last used for an earlier one.
  Bucket& BucketAt(Instant aNow);
  /// Takes one retry if the retries in the window stay within @p aPart of the allowance.
  bool TakeWithin(Instant aNow, unsigned aDaemons, double aPart);

  RetryAllowance mAllowance;
  /// The current bucket and one window before it.
  std::array<Bucket, kBuckets + 1> mBuckets;
};

} // namespace hawthornlug
