#include "core/execution_record.h"

namespace hawthornlug {

std::optional<AttemptPermit> ExecutionRecord::Begin()
{
  if (mClosed) {
    return std::nullopt;
  }
  mUnderWay.push_back(++mLastAttempt);
  return AttemptPermit(mLastAttempt);
}

void ExecutionRecord::End(AttemptNumber aAttempt, AttemptEvidence aEvidence)
{
  const bool wasUnderWay = std::erase(mUnderWay, aAttempt) != 0;
  mMayHaveRun = mMayHaveRun || !wasUnderWay || aEvidence == AttemptEvidence::kMayHaveRun;
}

std::optional<NotRunProof> ExecutionRecord::Close()
{
  mClosed = true;
  if (MayHaveRun()) {
    return std::nullopt;
  }
  return NotRunProof();
}

} // namespace hawthornlug
