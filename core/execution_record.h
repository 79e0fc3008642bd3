/// @file
/// What is known of whether a request has run. This is the one place that decides whether a caller
/// may be told that its request has not run and never will; docs/design/promises.md lists all ways
/// by which callers are told so.
#pragma once

#include "core/enum_names.h"

#include <optional>

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

/// Permission to send one attempt of a request. Only the record of its attempts gives one.
class AttemptPermit
{
public:
  AttemptPermit(AttemptPermit&&) = default;
  AttemptPermit& operator=(AttemptPermit&&) = default;
  AttemptPermit(const AttemptPermit&) = delete;
  AttemptPermit& operator=(const AttemptPermit&) = delete;

private:
  friend class ExecutionRecord;
  AttemptPermit() = default;
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
  /// is not noted, and may have run.
  void End(AttemptEvidence aEvidence);
  /// Whether the request may have run, or may run now.
  bool MayHaveRun() const { return mMayHaveRun || mOpenAttempts > 0; }
  /// Closes the request, so that no attempt can begin any more. Returns the proof that it has not
  /// run, or nothing if it may have run.
  [[nodiscard]] std::optional<NotRunProof> Close();

private:
  unsigned mOpenAttempts = 0;
  bool mMayHaveRun = false;
  bool mClosed = false;
};

} // namespace hawthornlug
