/// @file
/// Passes on, for a failure domain, how many requests are in flight at each server.
#pragma once

#include "limits/contention.h"
#include "routing/load_summary.h"
#include "routing/server_selector.h"
#include "runtime/mesh.h"

#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Adds up the reports of daemons of its own failure domain, its members, and sends the sum to each
/// of them and to relays of the other domains. A daemon becomes a relay by being sent reports:
/// which one to report to is the members' decision, so that they can change to another at once.
class LoadRelay
{
public:
  LoadRelay(ServerSelector& aSelector, Mesh& aMesh);

  /// Sets whether this daemon is the one that its domain should report to, and which daemons pass
  /// on reports in the other domains.
  void SetRelays(bool aIsFirst, std::set<std::string> aForeignRelays);
  /// Sets where this daemon's own waiting requests are counted.
  void SetContention(const Contention& aContention) { mContention = &aContention; }
  /// What a daemon of the own domain has in flight, and which of its requests wait.
  void OnMemberReport(const std::string& aDaemon,
                      const InFlightCounts& aCounts,
                      WaitingCounts aWaiting,
                      Instant aNow);
  /// The same of the daemons of another domain, as one of its relays has added it up.
  void OnDomainReport(const std::string& aRelay,
                      const InFlightCounts& aCounts,
                      WaitingCounts aWaiting,
                      Instant aNow);
  /// The relays whose domain reports have not expired.
  std::vector<std::string> DomainReporters() const;
  /// Sends what is due; to be called every few milliseconds.
  void Tick(Instant aNow);

private:
  void SendToMembers(Instant aNow);
  void SendToOtherDomains(Instant aNow);
  /// Waiting requests of this daemon and its members.
  WaitingCounts WaitingInDomain(Instant aNow) const;

  ServerSelector& mSelector;
  Mesh& mMesh;
  bool mIsFirst = false;
  std::set<std::string> mForeignRelays;
  /// The members' reports, by daemon.
  LoadSummary mMembers;
  /// The reports of other domains, by relay.
  LoadSummary mDomains;
  WaitingSummary mMembersWaiting;
  WaitingSummary mDomainsWaiting;
  /// Null if waiting requests are not reported.
  const Contention* mContention = nullptr;
  Instant mSentAt;
  /// Time between two summaries; longer for large ones.
  Duration mInterval = Duration::zero();
};

} // namespace hawthornlug
