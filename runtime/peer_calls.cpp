#include "runtime/peer_calls.h"

namespace hawthornlug {

std::uint64_t PeerCalls::Begin(Completion aDone)
{
  const std::lock_guard lock(mMutex);
  const std::uint64_t id = ++mLastId;
  mCalls.emplace(id, std::move(aDone));
  return id;
}

void PeerCalls::Cancel(std::uint64_t aCallId)
{
  const std::lock_guard lock(mMutex);
  mCalls.erase(aCallId);
}

void PeerCalls::OnAnswer(std::uint64_t aCallId, const OrderAnswer& aAnswer)
{
  Complete(aCallId, CallResult::kAnswered, aAnswer);
}

void PeerCalls::OnUnsent(std::uint64_t aCallId)
{
  Complete(aCallId, CallResult::kUnsent, {});
}

void PeerCalls::Complete(std::uint64_t aCallId, CallResult aResult, const OrderAnswer& aAnswer)
{
  Completion done;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mCalls.find(aCallId);
    if (it == mCalls.end()) {
      return;
    }
    done = std::move(it->second);
    mCalls.erase(it);
  }
  done(aResult, aAnswer);
}

} // namespace hawthornlug
