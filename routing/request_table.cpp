#include "routing/request_table.h"

namespace hawthornlug {

RequestTable::RequestTable(Duration aKeep, std::size_t aLimit)
  : mKeep(aKeep)
  , mLimit(aLimit)
{
}

RequestTable::Entry RequestTable::Begin(Instant aNow, const std::string& aRequestId)
{
  const std::lock_guard lock(mMutex);
  Forget(aNow);
  const auto [it, fresh] = mEntries.try_emplace(aRequestId);
  if (!fresh && it->second.state != RequestState::kFresh) {
    return it->second;
  }
  it->second.state = RequestState::kRunning;
  mExpiries.push_back({ aNow + mKeep, aRequestId });
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
  mExpiries.push_back({ aNow + mKeep, aRequestId });
}

RequestTable::Entry RequestTable::Ask(Instant aNow, const std::string& aRequestId)
{
  const std::lock_guard lock(mMutex);
  Forget(aNow);
  const auto [it, fresh] = mEntries.try_emplace(aRequestId);
  if (fresh || it->second.state == RequestState::kFresh) {
    it->second.state = RequestState::kTombstone;
    mExpiries.push_back({ aNow + mKeep, aRequestId });
  }
  return it->second;
}

std::size_t RequestTable::Size() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

void RequestTable::Forget(Instant aNow)
{
  while (!mExpiries.empty() && (mExpiries.front().at <= aNow || mExpiries.size() > mLimit)) {
    const auto it = mEntries.find(mExpiries.front().requestId);
    // What still runs is never forgotten; Finish() gives it a new expiry.
    if (it != mEntries.end() && it->second.state != RequestState::kRunning) {
      mEntries.erase(it);
    }
    mExpiries.pop_front();
  }
}

} // namespace hawthornlug
