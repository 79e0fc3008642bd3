/// @file
/// Calls to other daemons whose answers are awaited.
#pragma once

#include "routing/order.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace hawthornlug {

/// How a call ended.
enum class CallResult
{
  kAnswered,
  kUnsent, ///< It is certain that nothing was sent.
};
inline constexpr EnumNames<2> kCallResultNames = { "answered", "unsent" };

/// Matches answers to calls by call id. Safe to use from any thread.
class PeerCalls
{
public:
  /// Called at most once, on the thread that reports the result.
  using Completion = std::function<void(CallResult, const OrderAnswer&)>;

  /// Begins a call and returns its id, which is never 0.
  std::uint64_t Begin(Completion aDone);
  /// Removes a call; its completion is not called.
  void Cancel(std::uint64_t aCallId);
  /// Completes a call. An answer to a call that has ended is ignored.
  void OnAnswer(std::uint64_t aCallId, const OrderAnswer& aAnswer);
  /// Completes a call whose message was certainly not sent. Ignored if the call has ended.
  void OnUnsent(std::uint64_t aCallId);

private:
  void Complete(std::uint64_t aCallId, CallResult aResult, const OrderAnswer& aAnswer);

  std::mutex mMutex;
  std::uint64_t mLastId = 0;
  std::unordered_map<std::uint64_t, Completion> mCalls;
};

} // namespace hawthornlug
