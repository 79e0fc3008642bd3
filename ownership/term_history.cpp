#include "ownership/term_history.h"

namespace hawthornlug {

namespace {

constexpr std::size_t kMaxEntries = 32;

} // namespace

void TermHistory::Note(std::uint64_t aTerm, Instant aNow)
{
  const std::uint64_t latest = mEntries.empty() ? 0 : mEntries.back().term;
  if (aTerm <= latest) {
    return;
  }
  mEntries.push_back({ aTerm, aNow });
  if (mEntries.size() > kMaxEntries) {
    mEntries.pop_front();
  }
}

std::uint64_t TermHistory::KnownFor(Duration aDuration, Instant aNow) const
{
  std::uint64_t term = 0;
  for (const Entry& it : mEntries) {
    if (aNow - it.knownAt < aDuration) {
      break;
    }
    term = it.term;
  }
  return term;
}

} // namespace hawthornlug
