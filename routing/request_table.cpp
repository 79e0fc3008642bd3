#include "routing/request_table.h"

namespace hawthornlug {

RequestTable::RequestTable(Duration aRetention, std::size_t aMaxExpiries)
  : mRetention(aRetention)
  , mMaxExpiries(aMaxExpiries)
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
  mExpiries.push_back({ aNow + mRetention, aRequestId });
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
  mExpiries.push_back({ aNow + mRetention, aRequestId });
}

RequestTable::Entry RequestTable::Ask(Instant aNow, const std::string& aRequestId)
{
  const std::lock_guard lock(mMutex);
  RemoveExpired(aNow);
  const auto [it, inserted] = mEntries.try_emplace(aRequestId);
  if (inserted || it->second.state == RequestState::kUnseen) {
    it->second.state = RequestState::kTombstone;
    mExpiries.push_back({ aNow + mRetention, aRequestId });
  }
  return it->second;
}

std::size_t RequestTable::Size() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

void RequestTable::RemoveExpired(Instant aNow)
{
  while (!mExpiries.empty() && (mExpiries.front().at <= aNow || mExpiries.size() > mMaxExpiries)) {
    const auto it = mEntries.find(mExpiries.front().requestId);
    // A running request is never removed; Finish() adds a new expiry record for it.
    if (it != mEntries.end() && it->second.state != RequestState::kRunning) {
      mEntries.erase(it);
    }
    mExpiries.pop_front();
  }
}

} // namespace hawthornlug
