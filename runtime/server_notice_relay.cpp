#include "runtime/server_notice_relay.h"

#include "runtime/range_runner.h"

namespace hawthornlug {

namespace {

wire::Envelope MakeReport(const std::vector<ServerRef>& aServers)
{
  wire::Envelope message;
  for (const ServerRef& it : aServers) {
    wire::Ref* const server = message.mutable_servers_leaving()->add_servers();
    server->set_id(it.id);
    server->set_incarnation(it.incarnation);
  }
  return message;
}

} // namespace

ServerNoticeRelay::ServerNoticeRelay(ServerSelector& aSelector,
                                     Mesh& aMesh,
                                     RangeFinder& aRanges,
                                     TimerService& aTimers,
                                     DecisionLog& aLog,
                                     Metrics& aMetrics)
  : mSelector(aSelector)
  , mMesh(aMesh)
  , mRanges(aRanges)
  , mTimers(aTimers)
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

void ServerNoticeRelay::OnServerNotice(const ServerRef& aServer, const ServerNotice& aNotice)
{
  if (aNotice.pause > Duration::zero()) {
    mSelector.OnNotice(aServer, { false, aNotice.pause }, mTimers.Now());
    mMetrics.Count("server_pauses_total");
    mLog.Write(EventId::kServerPaused,
               { { "server", aServer.id }, { "pause-ms", Millis(aNotice.pause) } });
  }
  if (!aNotice.leaving || !RecordLeaving(aServer, mMesh.Self().id)) {
    return;
  }
  const wire::Envelope report = MakeReport({ aServer });
  mMesh.Broadcast(report, Mesh::Audience::kOwnDomain);
  const RangeRunner* const ranges = RangesOf(aServer.id);
  const auto leader = ranges == nullptr ? std::nullopt : ranges->AnnouncedLeader();
  if (leader) {
    mMesh.Send(*leader, report);
  }
}

bool ServerNoticeRelay::RecordLeaving(const ServerRef& aServer, const std::string& aReporter)
{
  if (!mSelector.OnNotice(aServer, { true, Duration::zero() }, mTimers.Now())) {
    return false;
  }
  mMetrics.Count("servers_leaving_total");
  mLog.Write(EventId::kServerSaidLeaving,
             { { "server", aServer.id },
               { "incarnation", aServer.incarnation },
               { "reporter", aReporter } });
  if (RangeRunner* const ranges = RangesOf(aServer.id)) {
    ranges->OnServersChanged(mTimers.Now());
  }
  return true;
}

RangeRunner* ServerNoticeRelay::RangesOf(const std::string& aServer) const
{
  const ServerEntry* const entry = mSelector.Find(aServer);
  return entry == nullptr ? nullptr : mRanges.FindRanges(entry->service);
}

void ServerNoticeRelay::OnPeerReport(const MeshPeer& aPeer, const wire::ServersLeaving& aReport)
{
  for (const wire::Ref& it : aReport.servers()) {
    RecordLeaving({ it.id(), it.incarnation() }, aPeer.ref.id);
  }
}

void ServerNoticeRelay::OnHeartbeat(const MeshPeer& aPeer)
{
  if (aPeer.domain != mMesh.Domain()) {
    return;
  }
  Incarnation& told = mToldIncarnations[aPeer.ref.id];
  if (told == aPeer.ref.incarnation) {
    return;
  }
  told = aPeer.ref.incarnation;
  const std::vector<ServerRef> servers = mSelector.Notices().RecentlyLeaving(mTimers.Now());
  if (!servers.empty()) {
    mMesh.Send(aPeer.ref.id, MakeReport(servers));
  }
}

} // namespace hawthornlug
