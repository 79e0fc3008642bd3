/// @file
/// Limits retries to a small share of all requests.
#pragma once

#include "core/instant.h"

namespace hawthornlug {

/// A retry costs one credit. Each request earns a fraction of a credit, and credit is added over
/// time. Not thread-safe: calls must be serialised.
class RetryBudget
{
public:
  /// Records the first attempt at a request.
  void OnRequest();
  /// Takes a credit for a retry; false if there is none.
  bool TakeRetry(Instant aNow);

private:
  static constexpr double kCreditPerRequest = 0.2;
  static constexpr double kCreditPerSecond = 50.0;
  static constexpr double kMaxCredit = 200.0;

  double mCredit = kMaxCredit;
  Instant mRefilledAt;
};

} // namespace hawthornlug
