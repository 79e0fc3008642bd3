/// @file
/// Orders sent to other daemons that wait for their answers.
#pragma once

#include "routing/order.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace hawthornlug {

/// How a call stands.
enum class CallState
{
  kWaiting,
  kAnswered,
  kUnsent, ///< For certain nothing was sent.
};
inline constexpr EnumNames<3> kCallStateNames = { "waiting", "answered", "unsent" };

/// Matches answers to calls by number. Safe to use from any thread.
class PeerCalls
{
public:
  /// One call; the caller waits on it.
  class Call
  {
  public:
    /// Waits up to @p aTimeout for a change and returns the state.
    CallState Wait(Duration aTimeout);
    OrderAnswer TakeAnswer();

  private:
    friend class PeerCalls;
    std::mutex mMutex;
    std::condition_variable mChanged;
    CallState mState = CallState::kWaiting;
    OrderAnswer mAnswer;
  };

  /// Begins a call and returns its number with it.
  std::pair<std::uint64_t, std::shared_ptr<Call>> Begin();
  void End(std::uint64_t aNumber);
  /// An answer to a call that has ended is dropped.
  void OnAnswer(std::uint64_t aNumber, OrderAnswer aAnswer);
  void OnUnsent(std::uint64_t aNumber);

private:
  std::shared_ptr<Call> Find(std::uint64_t aNumber);

  std::mutex mMutex;
  std::uint64_t mNext = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Call>> mCalls;
};

} // namespace hawthornlug
