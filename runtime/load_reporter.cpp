#include "runtime/load_reporter.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Fleets of this many daemons report through relays.
constexpr std::size_t kMinRelayedFleet = 16;
/// Shortest interval between two reports to the same audience.
constexpr Duration kMinReportInterval = milliseconds(20);
/// Unchanged counts are reported again after this time, before the other daemons discard them.
constexpr Duration kRefreshInterval = milliseconds(700);
/// Counts of waiting requests are repeated sooner, since relays discard them after 500 ms.
constexpr Duration kWaitingRefreshInterval = milliseconds(250);
/// Limits of the messages that a daemon sends to its own domain and to the others.
constexpr unsigned kOwnDomainMessagesPerSecond = 200;
constexpr unsigned kForeignMessagesPerSecond = 150;
/// Shortest interval between two reports to the relay.
constexpr Duration kMinRelayInterval = milliseconds(60);
/// Limit of the reports that a relay gets from all its members.
constexpr unsigned kMemberReportsPerSecond = 1000;
/// A relay that has sent nothing for this long is replaced...
constexpr Duration kRelaySilence = milliseconds(700);
/// ...and not preferred again for this long.
constexpr Duration kRelayAvoidance = seconds(3);

} // namespace

LoadReporter::LoadReporter(ServerSelector& aSelector, Mesh& aMesh)
  : mSelector(aSelector)
  , mMesh(aMesh)
  , mLoadRelay(aSelector, aMesh)
  , mRelayChoice(aMesh.Self().id, { 1, kRelaySilence, kRelayAvoidance })
{
}

bool LoadReporter::IsFleetRelayed() const
{
  return mMesh.LivePeers().size() + 1 >= kMinRelayedFleet;
}

void LoadReporter::SetRelays(std::vector<std::string> aOwnDomain,
                             std::set<std::string> aOtherDomains)
{
  const bool isFirst =
    IsFleetRelayed() && !aOwnDomain.empty() && aOwnDomain.front() == mMesh.Self().id;
  mRelayChoice.SetCandidates(std::move(aOwnDomain));
  mLoadRelay.SetRelays(isFirst, std::move(aOtherDomains));
}

void LoadReporter::SetContention(Contention& aContention)
{
  mContention = &aContention;
  mLoadRelay.SetContention(aContention);
}

WaitingCounts LoadReporter::Waiting(Instant aNow) const
{
  return mContention == nullptr ? WaitingCounts{} : mContention->Demand(aNow);
}

void LoadReporter::SetOthersWaiting(const std::string& aSender,
                                    const wire::RouterLoad& aReport,
                                    Instant aNow)
{
  if (mContention != nullptr) {
    mContention->Allotment().SetOthers(aSender, WaitingOf(aReport), aNow);
  }
}

bool LoadReporter::IsDue(const LastReport& aLast,
                         const InFlightCounts& aCounts,
                         const WaitingCounts& aWaiting,
                         Instant aNow)
{
  const Duration refresh = aWaiting.empty() ? kRefreshInterval : kWaitingRefreshInterval;
  return aCounts != aLast.counts || aWaiting != aLast.waiting || aNow - aLast.sentAt >= refresh;
}

void LoadReporter::OnReport(const MeshPeer& aSender, const wire::RouterLoad& aReport, Instant aNow)
{
  const std::optional<LoadScope> scope = ScopeOf(aReport);
  if (!scope) {
    return;
  }
  const std::string& sender = aSender.ref.id;
  switch (*scope) {
    case LoadScope::kMember:
      mLoadRelay.OnMemberReport(sender, CountsOf(aReport), WaitingOf(aReport), aNow);
      SetOthersWaiting(sender, aReport, aNow);
      break;
    case LoadScope::kDomain:
      mLoadRelay.OnDomainReport(sender, CountsOf(aReport), WaitingOf(aReport), aNow);
      // The summaries of this daemon's own relay contain it too.
      if (mRelay.empty()) {
        mSelector.SetPeerCounts(sender, CountsOf(aReport), aNow);
        SetOthersWaiting(sender, aReport, aNow);
      }
      break;
    case LoadScope::kOthers:
      if (sender == mRelay) {
        mRelayChoice.OnHeard(sender, aNow);
        mSelector.SetPeerCounts(sender, CountsOf(aReport), aNow);
        SetOthersWaiting(sender, aReport, aNow);
      }
      break;
    case LoadScope::kSender:
      // Requests that wait are considered with the next tick: to do so with each report would cost
      // more processor time the more daemons there are.
      mSelector.SetPeerCounts(sender, CountsOf(aReport), aNow);
      SetOthersWaiting(sender, aReport, aNow);
      break;
  }
}

void LoadReporter::Tick(Instant aNow)
{
  if (IsFleetRelayed()) {
    ReportToRelay(aNow);
  } else {
    ChangeRelay({}, aNow);
    Broadcast(Mesh::Audience::kOwnDomain, mOwnDomain, aNow);
    Broadcast(Mesh::Audience::kOtherDomains, mOtherDomains, aNow);
  }
  mLoadRelay.Tick(aNow);
}

Duration LoadReporter::IntervalFor(Mesh::Audience aAudience) const
{
  const auto peers = static_cast<Duration::rep>(mMesh.PeersIn(aAudience));
  const unsigned limit = aAudience == Mesh::Audience::kOwnDomain ? kOwnDomainMessagesPerSecond
                                                                 : kForeignMessagesPerSecond;
  return std::max<Duration>(kMinReportInterval, Duration(seconds(1)) * peers / limit);
}

void LoadReporter::Broadcast(Mesh::Audience aAudience, LastReport& aLast, Instant aNow)
{
  if (aNow - aLast.sentAt < IntervalFor(aAudience)) {
    return;
  }
  InFlightCounts counts = aAudience == Mesh::Audience::kOwnDomain
                            ? mSelector.InFlight()
                            : mSelector.InFlightAtSharedServers();
  WaitingCounts waiting = Waiting(aNow);
  const bool idle = counts.empty() && waiting.empty();
  const bool wasIdle = aLast.counts.empty() && aLast.waiting.empty();
  if ((idle && wasIdle) || !IsDue(aLast, counts, waiting, aNow)) {
    return;
  }
  // Sent also when nothing is in flight any more: the other daemons must drop the earlier counts.
  mMesh.Broadcast(MakeLoadMessage(counts, LoadScope::kSender, waiting), aAudience);
  aLast = { std::move(counts), std::move(waiting), aNow };
}

std::string LoadReporter::ChooseRelay(Instant aNow)
{
  const std::vector<std::string> relays = mRelayChoice.Choose(aNow);
  const std::vector<std::string>& preferred = relays.empty() ? mRelayChoice.Candidates() : relays;
  if (preferred.empty() || preferred.front() == mMesh.Self().id) {
    return {};
  }
  return preferred.front();
}

void LoadReporter::ChangeRelay(const std::string& aRelay, Instant aNow)
{
  if (aRelay == mRelay) {
    return;
  }
  const std::vector<std::string> replaced =
    mRelay.empty() ? mLoadRelay.DomainReporters() : std::vector<std::string>{ mRelay };
  for (const std::string& it : replaced) {
    mSelector.SetPeerCounts(it, {}, aNow);
    if (mContention != nullptr) {
      mContention->Allotment().RemoveOthers(it);
    }
  }
  mRelay = aRelay;
  mReportToRelay = {};
}

void LoadReporter::ReportToRelay(Instant aNow)
{
  ChangeRelay(ChooseRelay(aNow), aNow);
  const auto members = static_cast<Duration::rep>(mMesh.PeersIn(Mesh::Audience::kOwnDomain));
  const Duration interval =
    std::max<Duration>(kMinRelayInterval, Duration(seconds(1)) * members / kMemberReportsPerSecond);
  if (mRelay.empty() || aNow - mReportToRelay.sentAt < interval) {
    return;
  }
  InFlightCounts counts = mSelector.InFlight();
  WaitingCounts waiting = Waiting(aNow);
  if (!IsDue(mReportToRelay, counts, waiting, aNow)) {
    return;
  }
  // Sent also when nothing is in flight: only daemons that report get summaries.
  mMesh.Send(mRelay, MakeLoadMessage(counts, LoadScope::kMember, waiting), Delivery::kNowOrNever);
  mReportToRelay = { std::move(counts), std::move(waiting), aNow };
}

} // namespace hawthornlug
