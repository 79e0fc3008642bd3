/// @file
/// Strict incremental parser of HTTP/1.1 messages.
#pragma once

#include "core/enum_names.h"
#include "http/message.h"

#include <cstddef>
#include <memory>

namespace hawthornlug::http {

/// State of reading the current message.
enum class ReadState
{
  kNeedsMore,
  kComplete,
  kMalformed, ///< The bytes are not a valid message, or are ambiguous.
  kHeaderTooLarge,
  kBodyTooLarge,
};
inline constexpr EnumNames<5> kReadStateNames = { "needs-more",
                                                  "complete",
                                                  "malformed",
                                                  "header-too-large",
                                                  "body-too-large" };

/// Maximum sizes of one message.
struct ReadLimits
{
  std::size_t headerBytes = 16 * 1024;
  std::size_t bodyBytes = 64 * 1024 * 1024;
};

/// Reads messages one after the other from a byte stream. Bytes after a complete message are kept
/// for the next one. Rejects messages that are not well-formed (http/syntax.h), or that two parsers
/// could interpret differently (request smuggling): folded header lines, a bare CR or LF, more than
/// one Content-Length or Transfer-Encoding field, unknown transfer codings, chunks that do not end
/// where their size says.
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
  /// States that the next final response answers a HEAD request and so has no body. Interim
  /// responses may come before it.
  void ExpectHeadResponse();

  /// Adds received bytes to the buffer; Advance() parses them.
  void Append(std::string_view aBytes);
  /// Parses the buffered bytes. After kComplete, the message must be taken with TakeRequest() or
  /// TakeResponse() before the next call.
  ReadState Advance();
  /// Signals the end of the stream, which completes a response without a length. Returns kMalformed
  /// if the message is truncated.
  ReadState Finish();
  /// Drops all bytes that have been received and not been taken.
  void Discard();

  Request TakeRequest();
  Response TakeResponse();

  /// Whether a message has been received in part.
  bool IsInMessage() const;
  /// Whether the header of the current message is complete.
  bool HasHeader() const;
  /// The current message without its body; HasHeader() must be true.
  Request PeekRequest() const;
  /// Whether the sender waits for "100 Continue" before it sends its body.
  bool ExpectsContinue() const;
  /// Number of bytes that were received but not parsed yet.
  std::size_t Buffered() const;
  /// Number of bytes in memory: those not parsed yet, plus the body received so far.
  std::size_t BufferedBytes() const;

private:
  struct Parser;

  ReadState ReadHeader();
  ReadState ReadBody();
  /// Whether all lines of the header are well-formed, and one field at most states the length of
  /// the body.
  bool AreLinesWellFormed(std::string_view aHeader) const;
  /// Whether the header states in an allowed way how long the body is.
  bool IsLengthWellFormed() const;
  void Reset();

  Mode mMode;
  ReadLimits mLimits;
  /// Whether the next final response answers a HEAD request.
  bool mExpectsHeadResponse = false;
  std::unique_ptr<Parser> mParser;
  std::string mBuffer;
};

} // namespace hawthornlug::http
