/// @file
/// Bounds on the memory of the answers that servers are sending.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hawthornlug {

/// Maximum sizes of the bodies of answers, in bytes.
struct AnswerLimits
{
  /// One answer.
  std::size_t one = std::size_t{ 8 } << 20;
  /// All answers that are being received, together.
  std::size_t all = std::size_t{ 32 } << 20;
};

/// The limits for a process that may use @p aProcessBytes of memory.
AnswerLimits AnswerLimitsFor(std::size_t aProcessBytes);

/// Counts the bytes of the answers that are being received, and decides which of them is given up
/// when they are too many together: one of the server that holds the most bytes, and of its answers
/// the largest. So a server whose answers have no end is the first to lose one, and the answers of
/// other servers go on, as long as those take less.
class HeldAnswers
{
public:
  using AnswerId = std::uint64_t;

  /// @p aLimit: maximum number of bytes of all answers together.
  explicit HeldAnswers(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Sets the number of bytes that have been received of an answer of @p aServer.
  void Update(AnswerId aAnswer, const std::string& aServer, std::size_t aBytes);
  /// To be called when an answer is complete or has been given up.
  void Remove(AnswerId aAnswer);
  /// The answer that is to be given up next; none while all together are within the limit.
  std::optional<AnswerId> ToGiveUp() const;
  /// Number of bytes of all answers that are being received.
  std::size_t Bytes() const { return mBytes; }

private:
  struct Answer
  {
    std::string server;
    std::size_t bytes = 0;
  };

  std::size_t mLimit;
  std::size_t mBytes = 0;
  std::map<AnswerId, Answer> mAnswers;
};

} // namespace hawthornlug
