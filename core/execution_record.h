/// @file
/// What is known of whether a request has run. This is the one place that decides whether a caller
/// may be told that its request has not run and never will; docs/design/promises.md lists all ways
/// by which callers are told so.
#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornlug {

/// What is known of one attempt to have a request run, once the attempt has ended.
enum class AttemptEvidence
{
  kMayHaveRun,     ///< Nothing excludes that it has run or runs now.
  kNothingWritten, ///< No byte of the request was handed to a connection.
  kRefused,        ///< Whoever got it states, in the protocol's words, that it doesn't run it.
};
inline constexpr EnumNames<3> kAttemptEvidenceNames = { "may-have-run",
                                                        "nothing-written",
                                                        "refused" };

/// Proof that a request has not run and never will. Only the record of its attempts makes one.
class NotRunProof
{
  friend class ExecutionRecord;
  NotRunProof() = default;
};

/// Number of an attempt among those of its request, from 1 on.
using AttemptNumber = std::uint32_t;

/// Permission to send one attempt of a request. Only the record of its attempts gives one.
class AttemptPermit
{
public:
  /// The attempt that is to be sent.
  AttemptNumber Number() const { return mNumber; }

  AttemptPermit(AttemptPermit&&) = default;
  AttemptPermit& operator=(AttemptPermit&&) = default;
  AttemptPermit(const AttemptPermit&) = delete;
  AttemptPermit& operator=(const AttemptPermit&) = delete;

private:
  friend class ExecutionRecord;
  explicit AttemptPermit(AttemptNumber aNumber)
    : mNumber(aNumber)
  {
  }

  AttemptNumber mNumber;
};

/// The attempts of one request. Whoever uses it from several threads guards it with a lock.
class ExecutionRecord
{
public:
  ExecutionRecord() = default;
  ExecutionRecord(const ExecutionRecord&) = delete;
  ExecutionRecord& operator=(const ExecutionRecord&) = delete;

  /// Begins an attempt. Returns nothing once the request is closed: it must not be sent then.
  [[nodiscard]] std::optional<AttemptPermit> Begin();
  /// Notes what is known of an attempt that has ended. One that is given up before its end is known
  /// is not noted, and may have run. The end of one that is not under way proves nothing.
  void End(AttemptNumber aAttempt, AttemptEvidence aEvidence);
  /// Whether the request may have run, or may run now.
  bool MayHaveRun() const { return mMayHaveRun || !mUnderWay.empty(); }
  /// Closes the request, so that no attempt can begin any more. Returns the proof that it has not
  /// run, or nothing if it may have run.
  [[nodiscard]] std::optional<NotRunProof> Close();

private:
  AttemptNumber mLastAttempt = 0;
  std::vector<AttemptNumber> mUnderWay;
  bool mMayHaveRun = false;
  bool mClosed = false;
};

} // namespace hawthornlug
