/// @file
/// What callers were told of their requests, against what servers ran.
#pragma once

#include "http/promise.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// Notes runs and promises by request id, in whichever order they come.
class ToldLedger
{
public:
  /// A server begins to run a request; @p aWhere names the server in what is found.
  void NoteRun(const std::string& aId, const std::string& aWhere = "")
  {
    const unsigned runs = ++mRuns[aId];
    mPlaces[aId] += " " + aWhere;
    if (mPromised.contains(aId)) {
      AddFalsehood(aId, "ran after " + mPromised.at(aId));
    }
    if (runs > 1 && mOnce.contains(aId)) {
      AddFalsehood(aId, "may run once and ran again");
    }
    CheckBehindClose(aId);
  }
  /// A request that may run once is about to be sent.
  void NoteOnce(const std::string& aId) { mOnce.insert(aId); }
  /// A caller was told that its request has not run and never will, by @p aHow.
  void NotePromise(const std::string& aId, const std::string& aHow)
  {
    mPromised[aId] = aHow;
    if (mRuns.contains(aId)) {
      AddFalsehood(aId, "had run and its caller got " + aHow);
    }
  }
  /// A request was sent behind a response that closes its connection: it counts as not read.
  void NoteBehindClose(const std::string& aId)
  {
    mBehindClose.insert(aId);
    CheckBehindClose(aId);
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
  /// How often each request ran.
  const std::map<std::string, unsigned>& AllRuns() const { return mRuns; }
  std::size_t Promises() const { return mPromised.size(); }
  /// Number of promises by how callers got them.
  std::map<std::string, unsigned> PromisesByKind() const
  {
    std::map<std::string, unsigned> counts;
    for (const auto& [id, how] : mPromised) {
      ++counts[how];
    }
    return counts;
  }
  std::size_t SentBehindClose() const { return mBehindClose.size(); }
  /// Those of them that have run; only those that may run once with @p aOnce.
  std::size_t RanBehindClose(bool aOnce) const
  {
    return static_cast<std::size_t>(
      std::count_if(mBehindClose.begin(), mBehindClose.end(), [&](const std::string& aId) {
        return mRuns.contains(aId) && (!aOnce || mOnce.contains(aId));
      }));
  }
  /// One that may run once and was run behind such a response, or nothing.
  std::string ExampleBehindClose() const
  {
    for (const std::string& it : mBehindClose) {
      if (mRuns.contains(it) && mOnce.contains(it)) {
        return it + " at" + mPlaces.at(it);
      }
    }
    return "";
  }
  /// What callers were told that is not true.
  const std::vector<std::string>& Falsehoods() const { return mFalse; }

private:
  void AddFalsehood(const std::string& aId, const std::string& aWhat)
  {
    mFalse.push_back(aId + " " + aWhat + "; run at" + mPlaces[aId]);
  }
  void CheckBehindClose(const std::string& aId)
  {
    if (mBehindClose.contains(aId) && mRuns.contains(aId) && mOnce.contains(aId)) {
      AddFalsehood(aId, "ran though it was sent behind a response that closes");
    }
  }

  std::map<std::string, unsigned> mRuns;
  /// By request id: where it ran.
  std::map<std::string, std::string> mPlaces;
  /// By request id: what its caller got.
  std::map<std::string, std::string> mPromised;
  std::set<std::string> mOnce;
  std::set<std::string> mBehindClose;
  std::vector<std::string> mFalse;
};

} // namespace hawthornlug::test
