/// @file
/// The record of a run: what was sent, answered and run, with the time since the start.
#pragma once

#include "http.hh"

#include <cstdio>
#include <mutex>
#include <set>

namespace review {

class Record
{
public:
  explicit Record(const std::string& aFile)
    : mFile(std::fopen(aFile.c_str(), "we"))
    , mStart(Clock::now())
  {
    if (mFile == nullptr) {
      throw std::runtime_error("cannot write " + aFile);
    }
  }
  ~Record() { std::fclose(mFile); }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    std::fprintf(mFile, "%8.3f %s\n", Seconds(), aLine.c_str());
    std::fflush(mFile);
  }

  /// Records that a rule was broken. The same finding is written once.
  void Broken(const std::string& aFinding)
  {
    {
      const std::lock_guard lock(mMutex);
      if (!mFindings.insert(aFinding).second) {
        return;
      }
    }
    Write("BROKEN " + aFinding);
  }

  std::size_t Findings()
  {
    const std::lock_guard lock(mMutex);
    return mFindings.size();
  }

  double Seconds() const { return std::chrono::duration<double>(Clock::now() - mStart).count(); }

private:
  std::FILE* mFile;
  Clock::time_point mStart;
  std::mutex mMutex;
  std::set<std::string> mFindings;
};

} // namespace review
