/// @file
/// What callers were told of their requests, against what servers ran.
#pragma once

#include "http/promise.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// Notes runs and promises by request id, in whichever order they come.
class ToldLedger
{
public:
  /// A server begins to run a request.
  void NoteRun(const std::string& aId)
  {
    const unsigned runs = ++mRuns[aId];
    if (mPromised.contains(aId)) {
      mFalse.push_back(aId + " ran after " + mPromised.at(aId));
    }
    if (runs > 1 && mOnce.contains(aId)) {
      mFalse.push_back(aId + " may run once and ran again");
    }
  }
  /// A request that may run once is about to be sent.
  void NoteOnce(const std::string& aId) { mOnce.insert(aId); }
  /// A caller was told that its request has not run and never will, by @p aHow.
  void NotePromise(const std::string& aId, const std::string& aHow)
  {
    mPromised[aId] = aHow;
    if (mRuns.contains(aId)) {
      mFalse.push_back(aId + " had run and its caller got " + aHow);
    }
  }
  /// A caller got an answer with this status.
  void NoteStatus(const std::string& aId, int aStatus)
  {
    if (http::PromiseOf(aStatus)) {
      NotePromise(aId, std::to_string(aStatus));
    }
  }

  bool HasRun(const std::string& aId) const { return mRuns.contains(aId); }
  unsigned Runs(const std::string& aId) const
  {
    const auto it = mRuns.find(aId);
    return it == mRuns.end() ? 0 : it->second;
  }
  std::size_t Promises() const { return mPromised.size(); }
  /// What callers were told that is not true.
  const std::vector<std::string>& Falsehoods() const { return mFalse; }

private:
  std::map<std::string, unsigned> mRuns;
  /// By request id: what its caller got.
  std::map<std::string, std::string> mPromised;
  std::set<std::string> mOnce;
  std::vector<std::string> mFalse;
};

} // namespace hawthornlug::test
