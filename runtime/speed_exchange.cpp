#include "runtime/speed_exchange.h"

#include "runtime/load_messages.h"

#include <algorithm>
#include <cmath>

namespace hawthornlug {

namespace {

constexpr Duration kReportInterval = seconds(1);
/// A daemon that has not reported for this long gets no summaries any more.
constexpr Duration kMemberLifetime = milliseconds(3500);
/// Limits of what a member, and a relay of another domain, is sent, whatever the number of servers.
constexpr double kMemberBytesPerSecond = 4000.0;
constexpr double kForeignBytesPerSecond = 1000.0;
/// A report's times are in units of 1/1000.
constexpr double kTimeUnits = 1000.0;

wire::Envelope MakeMessage(const ServiceTimeSums& aSums, LoadScope aScope)
{
  wire::Envelope message;
  wire::ServiceTimes* const report = message.mutable_service_times();
  report->set_scope(static_cast<std::uint32_t>(aScope));
  for (const auto& [server, sum] : aSums) {
    report->add_servers(server);
    report->add_samples(sum.samples);
    const double units = std::clamp(sum.relativeTimes * kTimeUnits, 0.0, 4e9);
    report->add_relative_times(static_cast<std::uint32_t>(std::lround(units)));
  }
  return message;
}

/// Time until the next message like @p aMessage, so that the limit is kept.
Duration IntervalAfter(const wire::Envelope& aMessage, double aBytesPerSecond)
{
  const auto bytes = static_cast<double>(aMessage.ByteSizeLong());
  return std::max<Duration>(kReportInterval, FromSeconds(bytes / aBytesPerSecond));
}

} // namespace

ServiceTimeSums SumsOf(const wire::ServiceTimes& aReport)
{
  ServiceTimeSums sums;
  const int entries =
    std::min({ aReport.servers_size(), aReport.samples_size(), aReport.relative_times_size() });
  for (int n = 0; n < entries; ++n) {
    sums[aReport.servers(n)] = { aReport.samples(n), aReport.relative_times(n) / kTimeUnits };
  }
  return sums;
}

SpeedExchange::SpeedExchange(ServerSpeeds& aSpeeds, Mesh& aMesh, DecisionLog& aLog)
  : mSpeeds(aSpeeds)
  , mMesh(aMesh)
  , mLog(aLog)
{
}

void SpeedExchange::Learn(const MeshPeer& aSender, const ServiceTimeSums& aSums, Instant aNow)
{
  if (!mSpeeds.Add(aSums, aNow)) {
    mLog.Write(EventId::kServiceTimesImplausible, { { "peer", aSender.ref.id } });
  }
}

void SpeedExchange::OnReport(const MeshPeer& aSender,
                             const wire::ServiceTimes& aReport,
                             Instant aNow)
{
  // The values of LoadScope follow one another from 0.
  if (aReport.scope() >= kLoadScopeNames.size()) {
    return;
  }
  const ServiceTimeSums sums = SumsOf(aReport);
  switch (static_cast<LoadScope>(aReport.scope())) {
    case LoadScope::kMember: {
      Member& member = mMembers[aSender.ref.id];
      AddSums(member.sums, sums);
      member.reportedAt = aNow;
      Learn(aSender, sums, aNow);
      break;
    }
    case LoadScope::kDomain:
      if (IsRelay() || !mMembers.empty()) {
        AddSums(mOtherDomains, sums);
      }
      // A daemon that uses a relay gets them from it.
      if (IsRelay()) {
        Learn(aSender, sums, aNow);
      }
      break;
    case LoadScope::kOthers:
      if (mRelay && *mRelay == aSender.ref.id) {
        Learn(aSender, sums, aNow);
      }
      break;
    case LoadScope::kSender:
      Learn(aSender, sums, aNow);
      break;
  }
}

void SpeedExchange::Tick(const std::optional<std::string>& aRelay, Instant aNow)
{
  mRelay = aRelay;
  if (aNow - mReportedAt >= kReportInterval) {
    mReportedAt = aNow;
    Report(aNow);
  }
  SendSummaries(aNow);
}

void SpeedExchange::Report(Instant aNow)
{
  const ServiceTimeSums own = mSpeeds.TakeOwnSums();
  if (IsRelay()) {
    AddSums(mOwn, own);
  } else if (mRelay) {
    // Sent also without measurements: only daemons that report get summaries.
    mMesh.Send(*mRelay, MakeMessage(own, LoadScope::kMember), Delivery::kNowOrNever);
  } else if (!own.empty()) {
    mMesh.Broadcast(MakeMessage(own, LoadScope::kSender), Mesh::Audience::kAll);
  }
  std::erase_if(mMembers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.reportedAt >= kMemberLifetime;
  });
}

void SpeedExchange::SendSummaries(Instant aNow)
{
  if (!IsRelay() && mMembers.empty()) {
    mOwn.clear();
    mOtherDomains.clear();
    mForOtherDomains.clear();
    return;
  }
  if (aNow - mSummarySentAt >= std::max(kReportInterval, mMemberInterval)) {
    SendToMembers(aNow);
  }
  if (aNow - mForeignSentAt >= std::max(kReportInterval, mForeignInterval)) {
    SendToOtherDomains(aNow);
  }
}

void SpeedExchange::SendToMembers(Instant aNow)
{
  mSummarySentAt = aNow;
  ServiceTimeSums domain = std::exchange(mOwn, {});
  for (const auto& [id, member] : mMembers) {
    AddSums(domain, member.sums);
  }
  AddSums(mForOtherDomains, domain);
  ServiceTimeSums total = std::move(domain);
  AddSums(total, std::exchange(mOtherDomains, {}));
  mMemberInterval = IntervalAfter(MakeMessage(total, LoadScope::kOthers), kMemberBytesPerSecond);
  for (auto& [id, member] : mMembers) {
    // Sent also if it is empty. What the member itself has measured it knows.
    mMesh.Send(
      id, MakeMessage(SumsWithout(total, member.sums), LoadScope::kOthers), Delivery::kNowOrNever);
    member.sums.clear();
  }
}

void SpeedExchange::SendToOtherDomains(Instant aNow)
{
  mForeignSentAt = aNow;
  if (mForOtherDomains.empty()) {
    return;
  }
  const wire::Envelope message =
    MakeMessage(std::exchange(mForOtherDomains, {}), LoadScope::kDomain);
  mForeignInterval = IntervalAfter(message, kForeignBytesPerSecond);
  for (const std::string& it : mForeignRelays) {
    mMesh.Send(it, message, Delivery::kNowOrNever);
  }
}

} // namespace hawthornlug
