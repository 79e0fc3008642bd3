#include "http/chunk_checker.h"

#include "http/syntax.h"

#include <algorithm>

namespace hawthornlug::http {

bool ChunkChecker::Check(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    if (mPart == Part::kEnd) {
      return false;
    }
    if (mPart == Part::kData) {
      const std::uint64_t size = std::min<std::uint64_t>(mDataLeft, aBytes.size());
      mDataLeft -= size;
      aBytes.remove_prefix(size);
      mPart = mDataLeft == 0 ? Part::kDataEnd : Part::kData;
      continue;
    }
    const std::size_t end = aBytes.find('\n');
    const std::size_t size = end == std::string_view::npos ? aBytes.size() : end + 1;
    mLine.append(aBytes.substr(0, size));
    aBytes.remove_prefix(size);
    if (mLine.size() > mMaxLineBytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    if (!mLine.ends_with(kLineEnd) ||
        !CheckLine(std::string_view(mLine).substr(0, mLine.size() - kLineEnd.size()))) {
      return false;
    }
    mLine.clear();
  }
  return true;
}

bool ChunkChecker::CheckLine(std::string_view aLine)
{
  switch (mPart) {
    case Part::kSize: {
      const std::optional<std::uint64_t> size = ParseChunkSize(aLine);
      mDataLeft = size.value_or(0);
      mPart = mDataLeft > 0 ? Part::kData : Part::kTrailer;
      return size.has_value();
    }
    case Part::kDataEnd:
      mPart = Part::kSize;
      return aLine.empty();
    case Part::kTrailer:
      mPart = aLine.empty() ? Part::kEnd : Part::kTrailer;
      return aLine.empty() || IsFieldLine(aLine);
    case Part::kData:
    case Part::kEnd:
      break;
  }
  return false;
}

} // namespace hawthornlug::http
