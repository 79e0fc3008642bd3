#include "routing/order.h"

namespace hawthornlug {

OrderAnswer Refuse(ExecutionRecord& aRecord, Refusal aRefusal, Duration aRetryAfter)
{
  const auto proof = aRecord.Close();
  return proof ? OrderAnswer::NotRun(*proof, aRefusal, aRetryAfter)
               : OrderAnswer::Unknown(Refusal::kNoAnswer);
}

OrderAnswer RefuseUnsent(Refusal aRefusal, Duration aRetryAfter)
{
  ExecutionRecord record;
  return Refuse(record, aRefusal, aRetryAfter);
}

OrderAnswer RefuseAfter(AttemptEvidence aEvidence, Refusal aRefusal, Duration aRetryAfter)
{
  ExecutionRecord record;
  if (const auto permit = record.Begin()) {
    record.End(permit->Number(), aEvidence);
  }
  return Refuse(record, aRefusal, aRetryAfter);
}

} // namespace hawthornlug
