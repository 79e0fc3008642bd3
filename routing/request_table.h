/// @file
/// What became of each non-repeatable request that reached this daemon, for a while.
#pragma once

#include "routing/order.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace hawthornlug {

/// What is known of a request id.
enum class RequestState
{
  kFresh,     ///< Never seen.
  kRunning,   ///< Accepted here and not answered yet.
  kFinished,  ///< Answered.
  kTombstone, ///< Declared not run; it will be refused if it arrives.
};
inline constexpr EnumNames<4> kRequestStateNames = { "fresh", "running", "finished", "tombstone" };

/// Answers "was this run?" truthfully: an id asked about before it arrives is never run after.
class RequestTable
{
public:
  /// Entries are kept for @p aKeep and at most @p aLimit of them.
  RequestTable(Duration aKeep, std::size_t aLimit);

  struct Entry
  {
    RequestState state = RequestState::kFresh;
    std::shared_ptr<const OrderAnswer> answer;
  };

  /// Marks a request as running if it is fresh; returns what was known before.
  Entry Begin(Instant aNow, const std::string& aRequestId);
  /// Records the answer. An order that was not run may be tried again under its id.
  void Finish(Instant aNow, const std::string& aRequestId, const OrderAnswer& aAnswer);
  /// Returns what is known of a request; a fresh one becomes a tombstone.
  Entry Ask(Instant aNow, const std::string& aRequestId);
  std::size_t Size() const;

private:
  void Forget(Instant aNow);

  struct Expiry
  {
    Instant at;
    std::string requestId;
  };

  const Duration mKeep;
  const std::size_t mLimit;
  mutable std::mutex mMutex;
  std::unordered_map<std::string, Entry> mEntries;
  std::deque<Expiry> mExpiries;
};

} // namespace hawthornlug
