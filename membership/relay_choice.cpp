#include "membership/relay_choice.h"

#include <algorithm>

namespace hawthornlug {

RelayChoice::RelayChoice(std::string aSelf, Settings aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

void RelayChoice::OnHeard(const std::string& aRelay, Instant aNow)
{
  const auto it = mStates.find(aRelay);
  if (it != mStates.end()) {
    it->second.heardAt = aNow;
  }
}

bool RelayChoice::IsSilent(const Candidate& aCandidate, Instant aNow) const
{
  const Instant since = std::max(aCandidate.heardAt, aCandidate.chosenAt);
  return aCandidate.isUsed && aNow - since > mSettings.silence;
}

std::vector<std::string> RelayChoice::Choose(Instant aNow)
{
  for (auto& [id, candidate] : mStates) {
    if (id != mSelf && IsSilent(candidate, aNow)) {
      candidate.avoidedUntil = aNow + mSettings.avoidance;
    }
  }
  std::vector<std::string> relays;
  std::map<std::string, Candidate> states;
  for (const std::string& it : mCandidates) {
    Candidate& candidate = states[it];
    candidate = mStates[it];
    const bool use = relays.size() < mSettings.count && candidate.avoidedUntil <= aNow;
    if (use) {
      candidate.chosenAt = candidate.isUsed ? candidate.chosenAt : aNow;
      relays.push_back(it);
    }
    candidate.isUsed = use;
  }
  // What is known of daemons that are no longer candidates is dropped.
  mStates = std::move(states);
  return relays;
}

} // namespace hawthornlug
