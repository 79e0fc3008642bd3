#include "membership/evidence.h"

namespace hawthornlug {

namespace {

/// A run that nobody has asked about for so long is forgotten.
constexpr Duration kForgetAfter = seconds(60);

} // namespace

Evidence::Evidence(Duration aListLag)
  : mListLag(aListLag)
{
}

void Evidence::OnHosts(Instant aNow, std::set<std::string> aListed)
{
  mListReadAt = aNow;
  mListed = std::move(aListed);
  std::erase_if(mAsked,
                [&](const auto& aEntry) { return aNow - aEntry.second.last >= kForgetAfter; });
}

GoneProof Evidence::Judge(Instant aNow,
                          const DaemonRef& aRef,
                          const Membership& aMembers,
                          bool aDomainLost)
{
  const DaemonRef self = aMembers.Self().Ref();
  if (aRef == self) {
    return GoneProof::kNone;
  }
  if (aRef.id == self.id) {
    return GoneProof::kOwnHost;
  }
  if (aDomainLost) {
    return GoneProof::kDomainLost;
  }
  const auto member = aMembers.Find(aRef.id);
  if (member && member->incarnation > aRef.incarnation) {
    return GoneProof::kLaterRun;
  }
  const bool dropped = IsDropped(aNow, aRef);
  // A list that lags must not outweigh the daemon's own heartbeats.
  if (dropped && !aMembers.IsLive(aRef)) {
    return GoneProof::kListDropped;
  }
  return GoneProof::kNone;
}

bool Evidence::IsDropped(Instant aNow, const DaemonRef& aRef)
{
  Asked& asked = mAsked.try_emplace(aRef, Asked{ aNow, aNow }).first->second;
  asked.last = aNow;
  // A host that has just come is missing from a lagging list as well.
  const bool hadTime = mListReadAt && *mListReadAt >= asked.first + mListLag;
  return hadTime && mListed.count(aRef.id) == 0;
}

} // namespace hawthornlug
