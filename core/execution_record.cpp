#include "core/execution_record.h"

namespace hawthornlug {

std::optional<AttemptPermit> ExecutionRecord::Begin()
{
  if (mClosed) {
    return std::nullopt;
  }
  ++mOpenAttempts;
  return AttemptPermit();
}

void ExecutionRecord::End(AttemptEvidence aEvidence)
{
  if (mOpenAttempts == 0) {
    // Nothing is known of an attempt that was not begun here.
    mMayHaveRun = true;
    return;
  }
  --mOpenAttempts;
  mMayHaveRun = mMayHaveRun || aEvidence == AttemptEvidence::kMayHaveRun;
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
