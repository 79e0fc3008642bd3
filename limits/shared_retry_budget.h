/// @file
/// A bound on retries that holds for all daemons together, without asking any of them.
#pragma once

#include "core/instant.h"

#include <array>

namespace hawthornlug {

/// What the operators allow: in any window, retries may be a share of the requests, plus a slack.
struct RetryAllowance
{
  double share = 0.2;
  Duration window = seconds(10);
  double slack = 0.0;
};

/// One daemon's part of a service's retry budget. Each daemon takes the share of its own requests
/// and an equal part of the slack; the parts of all daemons never add up to more than the whole.
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(const RetryAllowance& aAllowance)
    : mAllowance(aAllowance)
  {
  }

  void SetAllowance(const RetryAllowance& aAllowance) { mAllowance = aAllowance; }
  /// A request of a caller.
  void OnRequest(Instant aNow);
  /// Takes one retry; false if there is none left. @p aDaemons: how many share the slack.
  bool TakeRetry(Instant aNow, unsigned aDaemons);
  /// Takes one for a hedge; a part of the budget is kept for attempts that failed.
  bool TakeHedge(Instant aNow, unsigned aDaemons);

private:
  static constexpr std::size_t kBuckets = 20;
  /// Part of the allowance that is used: windows slide, buckets are coarse.
  static constexpr double kUsed = 0.85;
  static constexpr double kUsedByHedges = 0.5;

  struct Bucket
  {
    std::int64_t number = -1;
    unsigned requests = 0;
    unsigned retries = 0;
  };

  Bucket& BucketAt(Instant aNow);
  bool Take(Instant aNow, unsigned aDaemons, double aPart);

  RetryAllowance mAllowance;
  std::array<Bucket, kBuckets + 1> mBuckets;
};

} // namespace hawthornlug
