/// @file
/// Reads HTTP/1.1 messages out of a stream of bytes, strictly.
#pragma once

#include "core/enum_names.h"
#include "http/message.h"

#include <cstddef>
#include <memory>

namespace hawthornlug::http {

/// How far reading has come.
enum class ReadState
{
  kNeedsMore,
  kComplete,
  kMalformed, ///< The bytes are no message, or one that could be read in two ways.
  kHeaderTooLarge,
  kBodyTooLarge,
};
inline constexpr EnumNames<5> kReadStateNames = { "needs-more",
                                                  "complete",
                                                  "malformed",
                                                  "header-too-large",
                                                  "body-too-large" };

/// Bounds on one message.
struct ReadLimits
{
  std::size_t headerBytes = 16 * 1024;
  std::size_t bodyBytes = 64 * 1024 * 1024;
};

/// Reads one message after the other; bytes behind a complete one are kept for the next.
/// Refuses what two readers could understand differently: folded header lines, a bare CR or LF,
/// several or conflicting lengths, unknown transfer codings.
class MessageReader
{
public:
  enum class Mode
  {
    kRequests,
    kResponses,
  };

  MessageReader(Mode aMode, ReadLimits aLimits);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  void SetLimits(ReadLimits aLimits);
  /// The next answer is one to HEAD, without a body.
  void ExpectHeadAnswer();

  void Append(std::string_view aBytes);
  /// Reads on; after kComplete take the message before calling again.
  ReadState Advance();
  /// The peer has closed in order: completes an answer that ends with its connection.
  ReadState Finish();

  Request TakeRequest();
  Response TakeResponse();

  /// Whether a part of a message has come.
  bool IsInMessage() const;
  /// Whether the header of the message that is being read is complete.
  bool HasHeader() const;
  /// Whether the sender waits for "100 Continue" before it sends its body.
  bool ExpectsContinue() const;
  /// Bytes that came and are not read yet.
  std::size_t Buffered() const;
  /// Bytes in memory: what is not read yet, and the body so far.
  std::size_t HeldBytes() const;

private:
  struct Parser;

  ReadState ReadHeader();
  ReadState ReadBody();
  ReadState CheckHeaderLines(std::string_view aHeader) const;
  void Reset();

  Mode mMode;
  ReadLimits mLimits;
  std::unique_ptr<Parser> mParser;
  std::string mBuffer;
};

} // namespace hawthornlug::http
