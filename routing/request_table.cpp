#include "routing/request_table.h"

#include <algorithm>

namespace hawthornlug {

RequestTable::RequestTable(Duration aRetention, std::size_t aMaxEntries)
  : mRetention(aRetention)
  , mMaxEntries(aMaxEntries)
{
}

RequestTable::Entry RequestTable::Begin(Instant aNow, const std::string& aRequestId)
{
  const std::lock_guard lock(mMutex);
  RemoveExpired(aNow);
  const auto [it, inserted] = mEntries.try_emplace(aRequestId);
  if (!inserted && it->second.state != RequestState::kUnseen) {
    return it->second;
  }
  it->second.state = RequestState::kRunning;
  return {};
}

void RequestTable::Finish(Instant aNow, const std::string& aRequestId, const OrderAnswer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  const auto it = mEntries.find(aRequestId);
  if (it == mEntries.end() || it->second.state != RequestState::kRunning) {
    return;
  }
  if (aAnswer.outcome == Outcome::kNotRun) {
    mEntries.erase(it);
    return;
  }
  it->second.state = RequestState::kFinished;
  it->second.answer = std::make_shared<const OrderAnswer>(aAnswer);
  mFinished.push_back({ aNow + mRetention, aRequestId });
  if (mFinished.size() > mMaxEntries) {
    mForgottenUntil = std::max(mForgottenUntil, mFinished.front().at);
    RemoveOldest(mFinished);
  }
}

RequestTable::Entry RequestTable::Ask(Instant aNow, const std::string& aRequestId)
{
  const std::lock_guard lock(mMutex);
  RemoveExpired(aNow);
  const auto it = mEntries.find(aRequestId);
  if (it != mEntries.end()) {
    return it->second;
  }
  if (aNow < mForgottenUntil || mTombstones.size() >= mMaxEntries) {
    return { RequestState::kForgotten, nullptr };
  }
  mTombstones.push_back({ aNow + mRetention, aRequestId });
  Entry tombstone{ RequestState::kTombstone, nullptr };
  mEntries.emplace(aRequestId, tombstone);
  return tombstone;
}

std::size_t RequestTable::Size() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

void RequestTable::RemoveExpired(Instant aNow)
{
  for (Expiries* it : { &mFinished, &mTombstones }) {
    while (!it->empty() && it->front().at <= aNow) {
      RemoveOldest(*it);
    }
  }
}

void RequestTable::RemoveOldest(Expiries& aExpiries)
{
  mEntries.erase(aExpiries.front().requestId);
  aExpiries.pop_front();
}

} // namespace hawthornlug
