/// @file
/// Strict check of the framing of chunked bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornlug::http {

/// Follows a chunked body, from its first chunk size to the empty line after its trailer, and
/// rejects what the parser of the http_parser library lets pass: it is built without its strict
/// checks, and so takes any two bytes for the end of a chunk.
class ChunkChecker
{
public:
  /// @p aMaxLineBytes is the maximum size of a chunk size with its extension, and of a trailer
  /// field.
  explicit ChunkChecker(std::size_t aMaxLineBytes)
    : mMaxLineBytes(aMaxLineBytes)
  {
  }

  /// Checks the next bytes of the body. Returns false if they are malformed, or go on after its
  /// end.
  bool Check(std::string_view aBytes);
  /// Whether the whole body has been checked.
  bool IsComplete() const { return mPart == Part::kEnd; }
  /// Number of bytes in memory.
  std::size_t BufferedBytes() const { return mLine.size(); }

private:
  enum class Part
  {
    kSize,
    kData,
    kDataEnd,
    kTrailer,
    kEnd,
  };

  bool CheckLine(std::string_view aLine);

  std::size_t mMaxLineBytes;
  Part mPart = Part::kSize;
  /// The line that has been received in part.
  std::string mLine;
  /// Bytes of the current chunk that are still to come.
  std::uint64_t mDataLeft = 0;
};

} // namespace hawthornlug::http
