/// @file
/// Outcomes of the non-idempotent requests that reached this daemon, kept for a limited time.
#pragma once

#include "routing/order.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace hawthornlug {

/// State of a request id in the table.
enum class RequestState
{
  kUnseen,    ///< Not in the table.
  kRunning,   ///< Accepted by this daemon and not answered yet.
  kFinished,  ///< Answered, or the outcome is unknown.
  kTombstone, ///< Declared not run; a request with this id will be refused.
  kForgotten, ///< Not in the table, but it may have been finished and evicted early.
};
inline constexpr EnumNames<5> kRequestStateNames = { "fresh",
                                                     "running",
                                                     "finished",
                                                     "tombstone",
                                                     "forgotten" };

/// Tells whether a request was run. An id that is queried before its request arrives becomes a
/// tombstone, so that a request reported as not run is never run later.
class RequestTable
{
public:
  /// Finished requests and tombstones are kept for @p aRetention from their end. When more than
  /// @p aMaxEntries requests are finished, the oldest are evicted early. Running requests are never
  /// evicted, and tombstones never early: above @p aMaxEntries of them no more are added.
  RequestTable(Duration aRetention, std::size_t aMaxEntries);

  struct Entry
  {
    RequestState state = RequestState::kUnseen;
    /// Set if the request is finished.
    std::shared_ptr<const OrderAnswer> answer;
  };

  /// Marks a request as running if it is not in the table; returns its entry before the call.
  Entry Begin(Instant aNow, const std::string& aRequestId);
  /// Records the answer of a running request. One that was not run is removed, so that it may be
  /// retried under the same id.
  void Finish(Instant aNow, const std::string& aRequestId, const OrderAnswer& aAnswer);
  /// Returns the entry of a request. One that is not in the table becomes a tombstone, unless it
  /// may have been evicted early.
  Entry Ask(Instant aNow, const std::string& aRequestId);
  /// Number of entries.
  std::size_t Size() const;

private:
  struct Expiry
  {
    Instant at;
    std::string requestId;
  };
  /// In order of time.
  using Expiries = std::deque<Expiry>;

  void RemoveExpired(Instant aNow);
  void RemoveOldest(Expiries& aExpiries);

  const Duration mRetention;
  const std::size_t mMaxEntries;
  mutable std::mutex mMutex;
  std::unordered_map<std::string, Entry> mEntries;
  /// One for each finished request.
  Expiries mFinished;
  /// One for each tombstone.
  Expiries mTombstones;
  /// Until then, some request that was evicted early would have been kept.
  Instant mForgottenUntil;
};

} // namespace hawthornlug
