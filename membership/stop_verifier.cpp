#include "membership/stop_verifier.h"

namespace hawthornlug {

namespace {

/// The query times of an incarnation are dropped this long after the last query.
constexpr Duration kQueryRetention = seconds(60);

} // namespace

StopVerifier::StopVerifier(Duration aListLag)
  : mListLag(aListLag)
{
}

void StopVerifier::OnHostList(Instant aNow, std::set<std::string> aListedHosts)
{
  mListReadAt = aNow;
  mListedHosts = std::move(aListedHosts);
  std::erase_if(mQueryTimes,
                [&](const auto& aEntry) { return aNow - aEntry.second.last >= kQueryRetention; });
}

StopProof StopVerifier::FindProof(Instant aNow,
                                  const DaemonRef& aRef,
                                  const Membership& aMembers,
                                  bool aDomainLost)
{
  const DaemonRef self = aMembers.Self().Ref();
  if (aRef == self) {
    return StopProof::kNone;
  }
  if (aRef.id == self.id) {
    return StopProof::kOwnHost;
  }
  if (aDomainLost) {
    return StopProof::kDomainLost;
  }
  const auto member = aMembers.Find(aRef.id);
  if (member && member->incarnation > aRef.incarnation) {
    return StopProof::kLaterIncarnation;
  }
  const bool dropped = IsDroppedFromList(aNow, aRef);
  // Heartbeats of the daemon itself take precedence over a list that may be out of date.
  if (dropped && !aMembers.IsLive(aRef)) {
    return StopProof::kListDropped;
  }
  return StopProof::kNone;
}

bool StopVerifier::IsDroppedFromList(Instant aNow, const DaemonRef& aRef)
{
  QueryTimes& times = mQueryTimes.try_emplace(aRef, QueryTimes{ aNow, aNow }).first->second;
  times.last = aNow;
  // A host that was just added is also missing from a list that is out of date. Therefore the list
  // must have been read at least mListLag after the first query.
  const bool listIsRecent = mListReadAt && *mListReadAt >= times.first + mListLag;
  return listIsRecent && mListedHosts.count(aRef.id) == 0;
}

} // namespace hawthornlug
