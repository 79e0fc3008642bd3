/// @file
/// Orders sent to other daemons that wait for their answers.
#pragma once

#include "routing/order.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace hawthornlug {

/// How a call ended.
enum class CallEnd
{
  kAnswered,
  kUnsent, ///< For certain nothing was sent.
};
inline constexpr EnumNames<2> kCallEndNames = { "answered", "unsent" };

/// Matches answers to calls by number. Safe to use from any thread.
class PeerCalls
{
public:
  /// Called once at most, on the thread that brings the answer.
  using Completion = std::function<void(CallEnd, const OrderAnswer&)>;

  /// Begins a call and returns its number.
  std::uint64_t Begin(Completion aDone);
  /// Drops a call without completion.
  void End(std::uint64_t aNumber);
  /// An answer to a call that has ended is dropped.
  void OnAnswer(std::uint64_t aNumber, const OrderAnswer& aAnswer);
  void OnUnsent(std::uint64_t aNumber);

private:
  void Complete(std::uint64_t aNumber, CallEnd aEnd, const OrderAnswer& aAnswer);

  std::mutex mMutex;
  std::uint64_t mNext = 0;
  std::unordered_map<std::uint64_t, Completion> mCalls;
};

} // namespace hawthornlug
