/// @file
/// Puts notices of backend servers into effect and tells other daemons which servers leave.
#pragma once

#include "core/metrics.h"
#include "routing/server_selector.h"
#include "runtime/mesh.h"
#include "runtime/range_finder.h"
#include "runtime/server_notice_sink.h"

#include <map>
#include <string>

namespace hawthornlug {

/// Records notices in the server selector and passes on that a server leaves: to the daemons of the
/// own failure domain, and to the daemon that grants the server its keys, so that it moves them. A
/// pause concerns this daemon alone and is not passed on. What other daemons report only keeps new
/// requests from the server; requests in progress there are left alone. Runs on the daemon's event
/// loop.
class ServerNoticeRelay : public ServerNoticeSink
{
public:
  ServerNoticeRelay(ServerSelector& aSelector,
                    Mesh& aMesh,
                    RangeFinder& aRanges,
                    TimerService& aTimers,
                    DecisionLog& aLog,
                    Metrics& aMetrics);

  void OnServerNotice(const ServerRef& aServer, const ServerNotice& aNotice) override;
  /// Records what another daemon has learned from servers' answers.
  void OnPeerReport(const MeshPeer& aPeer, const wire::ServersLeaving& aReport);
  /// Tells a daemon of the own failure domain that has (re)started which servers leave.
  void OnHeartbeat(const MeshPeer& aPeer);

private:
  /// Records that a server leaves, and if this daemon grants its keys makes it move them. Returns
  /// whether that is news.
  bool RecordLeaving(const ServerRef& aServer, const std::string& aReporter);
  /// The ranges of the server's service; null if it has none here or is not known.
  RangeRunner* RangesOf(const std::string& aServer) const;

  ServerSelector& mSelector;
  Mesh& mMesh;
  RangeFinder& mRanges;
  TimerService& mTimers;
  DecisionLog& mLog;
  Metrics& mMetrics;
  /// The incarnation of each daemon of the own domain that has been told.
  std::map<std::string, Incarnation> mToldIncarnations;
};

} // namespace hawthornlug
