/// @file
/// Keeps retries a small share of all requests.
#pragma once

#include "core/instant.h"

namespace hawthornlug {

/// A retry costs one credit; each request earns a part of one. The caller serialises calls.
class RetryBudget
{
public:
  /// A request that is tried for the first time.
  void OnRequest();
  /// Takes a credit for a retry; false when there is none.
  bool TakeRetry(Instant aNow);

private:
  static constexpr double kCreditPerRequest = 0.2;
  static constexpr double kCreditPerSecond = 50.0;
  static constexpr double kMaxCredit = 200.0;

  double mCredit = kMaxCredit;
  Instant mRefilledAt;
};

} // namespace hawthornlug
