/// @file
/// Which of several candidates a daemon uses as its relays.
#pragma once

#include "core/instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// Prefers the first candidates, and replaces one that is silent by the next. Every daemon chooses
/// for itself: a daemon becomes a relay by being used as one, so that a lost relay is replaced
/// without agreement. The state depends only on the arguments of the calls.
class RelayChoice
{
public:
  struct Settings
  {
    /// Number of relays to use.
    std::size_t count = 1;
    /// A relay that has not been heard for this long, nor was chosen since, is replaced...
    Duration silence = Duration::zero();
    /// ...and not preferred again for this long.
    Duration avoidance = Duration::zero();
  };

  RelayChoice(std::string aSelf, Settings aSettings);

  /// Sets the candidates, the preferred ones first. This daemon, which is never silent, may be one
  /// of them.
  void SetCandidates(std::vector<std::string> aCandidates) { mCandidates = std::move(aCandidates); }
  const std::vector<std::string>& Candidates() const { return mCandidates; }
  /// Something that shows that the relay works has been received from it.
  void OnHeard(const std::string& aRelay, Instant aNow);
  /// The relays to use now, the preferred one first; none if all candidates are silent.
  std::vector<std::string> Choose(Instant aNow);

private:
  /// A candidate that is used, or has been silent while it was.
  struct Candidate
  {
    bool isUsed = false;
    Instant chosenAt;
    Instant heardAt;
    Instant avoidedUntil;
  };

  bool IsSilent(const Candidate& aCandidate, Instant aNow) const;

  std::string mSelf;
  Settings mSettings;
  std::vector<std::string> mCandidates;
  std::map<std::string, Candidate> mStates;
};

} // namespace hawthornlug
