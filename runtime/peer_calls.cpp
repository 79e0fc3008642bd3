#include "runtime/peer_calls.h"

namespace hawthornlug {

CallState PeerCalls::Call::Wait(Duration aTimeout)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, aTimeout, [this] { return mState != CallState::kWaiting; });
  return mState;
}

OrderAnswer PeerCalls::Call::TakeAnswer()
{
  const std::lock_guard lock(mMutex);
  return std::move(mAnswer);
}

std::pair<std::uint64_t, std::shared_ptr<PeerCalls::Call>> PeerCalls::Begin()
{
  auto call = std::make_shared<Call>();
  const std::lock_guard lock(mMutex);
  const std::uint64_t number = ++mNext;
  mCalls.emplace(number, call);
  return { number, call };
}

void PeerCalls::End(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mCalls.erase(aNumber);
}

std::shared_ptr<PeerCalls::Call> PeerCalls::Find(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  const auto it = mCalls.find(aNumber);
  return it == mCalls.end() ? nullptr : it->second;
}

void PeerCalls::OnAnswer(std::uint64_t aNumber, OrderAnswer aAnswer)
{
  const auto call = Find(aNumber);
  if (!call) {
    return;
  }
  const std::lock_guard lock(call->mMutex);
  call->mAnswer = std::move(aAnswer);
  call->mState = CallState::kAnswered;
  call->mChanged.notify_one();
}

void PeerCalls::OnUnsent(std::uint64_t aNumber)
{
  const auto call = Find(aNumber);
  if (!call) {
    return;
  }
  const std::lock_guard lock(call->mMutex);
  call->mState = CallState::kUnsent;
  call->mChanged.notify_one();
}

} // namespace hawthornlug
