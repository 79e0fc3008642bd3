/// @file
/// Exchanges the measured service times of servers with the other daemons.
#pragma once

#include "core/decision_log.h"
#include "routing/server_speeds.h"
#include "runtime/mesh.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace hawthornlug {

/// The measurements in a report; incomplete entries are left out.
ServiceTimeSums SumsOf(const wire::ServiceTimes& aReport);

/// Sends this daemon's measurements once a second and learns those of the others.
///
/// A small fleet is told directly. In a larger one a daemon reports to the relay of its domain that
/// it uses for load reports (see LoadReporter), which adds the reports up and passes the sums on to
/// its members and to the relays of other domains. A report that is lost is not repeated: it only
/// means fewer samples.
class SpeedExchange
{
public:
  SpeedExchange(ServerSpeeds& aSpeeds, Mesh& aMesh, DecisionLog& aLog);

  /// Sets the daemons that pass on reports in the other domains.
  void SetForeignRelays(std::set<std::string> aRelays) { mForeignRelays = std::move(aRelays); }
  /// Takes another daemon's report.
  void OnReport(const MeshPeer& aSender, const wire::ServiceTimes& aReport, Instant aNow);
  /// Sends what is due; to be called every few milliseconds. @p aRelay: the daemon to report to,
  /// empty if this daemon is the relay itself; none if the fleet is so small that it uses no
  /// relays.
  void Tick(const std::optional<std::string>& aRelay, Instant aNow);

private:
  /// What a daemon has reported since the last summary, and when it last reported.
  struct Member
  {
    ServiceTimeSums sums;
    Instant reportedAt;
  };

  bool IsRelay() const { return mRelay && mRelay->empty(); }
  void Report(Instant aNow);
  void SendSummaries(Instant aNow);
  void SendToMembers(Instant aNow);
  void SendToOtherDomains(Instant aNow);
  void Learn(const MeshPeer& aSender, const ServiceTimeSums& aSums, Instant aNow);

  ServerSpeeds& mSpeeds;
  Mesh& mMesh;
  DecisionLog& mLog;
  std::set<std::string> mForeignRelays;
  /// As passed to the last Tick().
  std::optional<std::string> mRelay;
  Instant mReportedAt;
  /// This daemon's own measurements since the last summary, while it is the relay.
  ServiceTimeSums mOwn;
  std::map<std::string, Member> mMembers;
  /// Measurements of other domains since the last summary.
  ServiceTimeSums mOtherDomains;
  /// Measurements of the own domain since the last report to other domains.
  ServiceTimeSums mForOtherDomains;
  Instant mSummarySentAt;
  Instant mForeignSentAt;
  /// Time between two summaries; longer for large ones.
  Duration mMemberInterval = Duration::zero();
  Duration mForeignInterval = Duration::zero();
};

} // namespace hawthornlug
