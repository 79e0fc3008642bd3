#include "runtime/load_relay.h"

#include "runtime/load_messages.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr Duration kMinSummaryInterval = milliseconds(80);
/// Limit of what a member is sent, whatever the number of servers.
constexpr double kSummaryBytesPerSecond = 16000.0;

} // namespace

LoadRelay::LoadRelay(ServerSelector& aSelector, Mesh& aMesh)
  : mSelector(aSelector)
  , mMesh(aMesh)
{
}

void LoadRelay::SetRelays(bool aIsFirst, std::set<std::string> aForeignRelays)
{
  mIsFirst = aIsFirst;
  mForeignRelays = std::move(aForeignRelays);
}

void LoadRelay::OnMemberReport(const std::string& aDaemon,
                               const InFlightCounts& aCounts,
                               WaitingCounts aWaiting,
                               Instant aNow)
{
  mMembers.Put(aDaemon, aCounts, aNow);
  mMembersWaiting.Put(aDaemon, std::move(aWaiting), aNow);
  mSelector.SetPeerCounts(aDaemon, aCounts, aNow);
}

void LoadRelay::OnDomainReport(const std::string& aRelay,
                               const InFlightCounts& aCounts,
                               WaitingCounts aWaiting,
                               Instant aNow)
{
  mDomains.Put(aRelay, aCounts, aNow);
  mDomainsWaiting.Put(aRelay, std::move(aWaiting), aNow);
}

std::vector<std::string> LoadRelay::DomainReporters() const
{
  std::vector<std::string> reporters;
  mDomains.ForEachSender([&](const std::string& aRelay) { reporters.push_back(aRelay); });
  return reporters;
}

void LoadRelay::Tick(Instant aNow)
{
  if (aNow - mSentAt < std::max(kMinSummaryInterval, mInterval)) {
    return;
  }
  mMembers.Expire(aNow);
  mDomains.Expire(aNow);
  mMembersWaiting.Expire(aNow);
  mDomainsWaiting.Expire(aNow);
  if (!mIsFirst && mMembers.IsEmpty()) {
    return;
  }
  mSentAt = aNow;
  mInterval = Duration::zero();
  SendToMembers(aNow);
  SendToOtherDomains(aNow);
}

WaitingCounts LoadRelay::WaitingInDomain(Instant aNow) const
{
  WaitingCounts waiting = mMembersWaiting.Total();
  if (mContention != nullptr) {
    AddWaiting(waiting, mContention->Demand(aNow));
  }
  return waiting;
}

void LoadRelay::SendToMembers(Instant aNow)
{
  InFlightCounts total = mMembers.Total();
  AddCounts(total, mDomains.Total());
  AddCounts(total, mSelector.InFlight());
  WaitingCounts waiting = WaitingInDomain(aNow);
  AddWaiting(waiting, mDomainsWaiting.Total());
  mMembers.ForEachSender([&](const std::string& aMember) {
    const wire::Envelope message = MakeLoadMessage(mMembers.WithoutSender(total, aMember),
                                                   LoadScope::kOthers,
                                                   mMembersWaiting.WithoutSender(waiting, aMember));
    const auto bytes = static_cast<double>(message.ByteSizeLong());
    mInterval = std::max(mInterval, FromSeconds(bytes / kSummaryBytesPerSecond));
    mMesh.Send(aMember, message, Delivery::kNowOrNever);
  });
}

void LoadRelay::SendToOtherDomains(Instant aNow)
{
  InFlightCounts shared = mMembers.Total();
  std::erase_if(shared,
                [this](const auto& aEntry) { return !mSelector.IsSharedServer(aEntry.first); });
  AddCounts(shared, mSelector.InFlightAtSharedServers());
  const wire::Envelope message = MakeLoadMessage(shared, LoadScope::kDomain, WaitingInDomain(aNow));
  for (const std::string& it : mForeignRelays) {
    mMesh.Send(it, message, Delivery::kNowOrNever);
  }
}

} // namespace hawthornlug
