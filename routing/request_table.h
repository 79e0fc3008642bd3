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
};
inline constexpr EnumNames<4> kRequestStateNames = { "fresh", "running", "finished", "tombstone" };

/// Tells whether a request was run. An id that is queried before its request arrives becomes a
/// tombstone, so that a request reported as not run is never run later.
class RequestTable
{
public:
  /// Entries are kept for @p aRetention. Beginning, finishing and tombstoning a request each add an
  /// expiry record; when there are more than @p aMaxExpiries of those, the oldest are evicted
  /// early. Running requests are never evicted.
  RequestTable(Duration aRetention, std::size_t aMaxExpiries);

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
  /// Returns the entry of a request; one that is not in the table becomes a tombstone.
  Entry Ask(Instant aNow, const std::string& aRequestId);
  /// Number of entries.
  std::size_t Size() const;

private:
  /// Removes entries whose expiry records are due or exceed the limit.
  void RemoveExpired(Instant aNow);

  struct Expiry
  {
    Instant at;
    std::string requestId;
  };

  const Duration mRetention;
  const std::size_t mMaxExpiries;
  mutable std::mutex mMutex;
  std::unordered_map<std::string, Entry> mEntries;
  /// In order of time.
  std::deque<Expiry> mExpiries;
};

} // namespace hawthornlug
