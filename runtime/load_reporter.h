/// @file
/// Reports to the other daemons how many requests this one has in flight at each server.
#pragma once

#include "limits/contention.h"
#include "membership/relay_choice.h"
#include "routing/load_summary.h"
#include "routing/server_selector.h"
#include "runtime/load_messages.h"
#include "runtime/load_relay.h"
#include "runtime/mesh.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Sends the counts when they have changed, and learns those of the other daemons.
///
/// A small fleet is told directly: the daemon's own failure domain, where traffic is cheap, all
/// counts, and the other domains those at servers that several domains use. In a larger fleet the
/// daemon reports to a relay of its domain (see LoadRelay) and gets the sum of the others from it,
/// so that its messages do not grow with the number of daemons.
class LoadReporter
{
public:
  LoadReporter(ServerSelector& aSelector, Mesh& aMesh);

  /// Sets the daemons that may be relays: those of the own domain, the preferred one first, and
  /// those of the other domains.
  void SetRelays(std::vector<std::string> aOwnDomain, std::set<std::string> aOtherDomains);
  /// Makes the reports contain the requests that wait for servers, and hands over those of the
  /// other daemons.
  void SetContention(Contention& aContention);
  /// The daemon that this one reports to, empty if it is the relay itself; none if the fleet is so
  /// small that it uses no relays.
  std::optional<std::string> RelayInUse() const
  {
    return IsFleetRelayed() ? std::optional<std::string>(mRelay) : std::nullopt;
  }
  /// Takes another daemon's report.
  void OnReport(const MeshPeer& aSender, const wire::RouterLoad& aReport, Instant aNow);
  /// To be called every few milliseconds.
  void Tick(Instant aNow);

private:
  /// The latest report to one audience.
  struct LastReport
  {
    InFlightCounts counts;
    WaitingCounts waiting;
    Instant sentAt;
  };

  bool IsFleetRelayed() const;
  /// Reports to an audience if the counts have changed, or need a refresh, and the interval has
  /// passed.
  void Broadcast(Mesh::Audience aAudience, LastReport& aLast, Instant aNow);
  /// Shortest interval between two reports to the audience.
  Duration IntervalFor(Mesh::Audience aAudience) const;
  /// The daemon to report to; empty if this daemon is the relay itself, or there is none.
  std::string ChooseRelay(Instant aNow);
  void ReportToRelay(Instant aNow);
  /// This daemon's waiting requests; none if they are not reported.
  WaitingCounts Waiting(Instant aNow) const;
  /// Whether a report differs from the last one, or has to be repeated.
  static bool IsDue(const LastReport& aLast,
                    const InFlightCounts& aCounts,
                    const WaitingCounts& aWaiting,
                    Instant aNow);
  /// Records the requests that wait at other daemons.
  void SetOthersWaiting(const std::string& aSender, const wire::RouterLoad& aReport, Instant aNow);
  void ChangeRelay(const std::string& aRelay, Instant aNow);

  ServerSelector& mSelector;
  Mesh& mMesh;
  LoadRelay mLoadRelay;
  LastReport mOwnDomain;
  LastReport mOtherDomains;
  /// Candidates of the own domain; this daemon may be one of them.
  RelayChoice mRelayChoice;
  /// The daemon that is reported to; empty if there is none.
  std::string mRelay;
  LastReport mReportToRelay;
  /// Null if waiting requests are not reported.
  Contention* mContention = nullptr;
};

} // namespace hawthornlug
