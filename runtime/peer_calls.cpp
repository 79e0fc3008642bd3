#include "runtime/peer_calls.h"

namespace hawthornlug {

std::uint64_t PeerCalls::Begin(Completion aDone)
{
  const std::lock_guard lock(mMutex);
  const std::uint64_t number = ++mNext;
  mCalls.emplace(number, std::move(aDone));
  return number;
}

void PeerCalls::End(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mCalls.erase(aNumber);
}

void PeerCalls::OnAnswer(std::uint64_t aNumber, const OrderAnswer& aAnswer)
{
  Complete(aNumber, CallEnd::kAnswered, aAnswer);
}

void PeerCalls::OnUnsent(std::uint64_t aNumber)
{
  Complete(aNumber, CallEnd::kUnsent, {});
}

void PeerCalls::Complete(std::uint64_t aNumber, CallEnd aEnd, const OrderAnswer& aAnswer)
{
  Completion done;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mCalls.find(aNumber);
    if (it == mCalls.end()) {
      return;
    }
    done = std::move(it->second);
    mCalls.erase(it);
  }
  done(aEnd, aAnswer);
}

} // namespace hawthornlug
