#include "routing/attempt_history.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Whether an answer, valid or not, may have been read on a connection that is still open.
bool MayHaveAnswered(ForwardResult aResult)
{
  switch (aResult) {
    case ForwardResult::kAnswered:
    case ForwardResult::kUnstated:
    case ForwardResult::kNotRun:
    case ForwardResult::kNotOwner:
    case ForwardResult::kBroken:
      return true;
    case ForwardResult::kUnreachable:
    case ForwardResult::kConnectionRefused:
    case ForwardResult::kNotAccepted:
    case ForwardResult::kTimedOut:
    case ForwardResult::kTooLarge:
      break;
  }
  return false;
}

} // namespace

void AttemptHistory::OnResult(const std::string& aServer, ForwardResult aResult)
{
  if (MayHaveAnswered(aResult)) {
    mAnswered.push_back(aServer);
  }
}

bool AttemptHistory::NeedsNewConnection(const std::string& aServer) const
{
  return std::find(mAnswered.begin(), mAnswered.end(), aServer) != mAnswered.end();
}

} // namespace hawthornlug
