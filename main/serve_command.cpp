#include "main/serve_command.h"

#include "adapters/asio_timers.h"
#include "adapters/http_callers.h"
#include "adapters/http_platform.h"
#include "adapters/http_server.h"
#include "adapters/json_spans.h"
#include "adapters/zmq_peers.h"
#include "main/settings.h"

#include <csignal>
#include <iostream>

namespace hawthornlug {

namespace {

constexpr Duration kPlatformTimeout = milliseconds(500);
constexpr Duration kLeavePatience = seconds(5);
/// Requests in progress are waited for so long before the process ends.
constexpr Duration kAnswerPatience = seconds(30);
constexpr std::size_t kControlThreads = 16;

/// Waits for SIGTERM or SIGINT.
void WaitForSignal()
{
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const asio::error_code&, int) {});
  context.run();
}

int Serve(const ServeSettings& aSettings)
{
  EventLog log(aSettings.logLevel);
  JsonSpans spans(aSettings.spanFile);
  if (!spans.IsOpen()) {
    log.Write(EventId::kSpanLost, "file=" + aSettings.spanFile);
    return kExitRefused;
  }
  std::unique_ptr<ZmqPeers> peers;
  try {
    peers = std::make_unique<ZmqPeers>(aSettings.peerListen);
  } catch (const zmq::error_t&) {
    log.Write(EventId::kListenFailed, "address=" + aSettings.peerListen);
    return kExitRefused;
  }
  hawthornlug::Metrics metrics;
  ObjectCache cache;
  HttpPlatform platform(aSettings.platformUrl, kPlatformTimeout);
  HttpLoop loop;
  HttpServerFactory servers(loop);
  AsioTimers timers;
  AsioTimers heartbeatTimers;
  AsioWorkers orderWorkers(aSettings.workerThreads);
  AsioWorkers controlWorkers(kControlThreads);
  Services services{ platform,        servers,      *peers,         timers,
                     heartbeatTimers, orderWorkers, controlWorkers, log,
                     metrics,         spans,        cache };
  Daemon daemon(aSettings.daemon, services);
  HttpCallers callers(loop, daemon.Requests(), daemon, aSettings.callerLimits);
  daemon.Start();
  const bool listening = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(callers.Listen(aSettings.httpHost, aSettings.httpPort));
      return true;
    },
    [&](const ListenError& aError) {
      log.Write(EventId::kListenFailed, "address=" + aError.address);
      return false;
    },
    [] { return false; });
  if (listening) {
    WaitForSignal();
    const Instant stopAt = timers.Now() + aSettings.drainWait;
    callers.Drain();
    daemon.Leave(kLeavePatience);
    // The balancer needs time to see that this host is not ready any more.
    while (timers.Now() < stopAt) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
  callers.Stop(kAnswerPatience);
  daemon.AwaitRemoteOrders(kAnswerPatience);
  orderWorkers.Join();
  peers->Stop();
  daemon.Stop();
  controlWorkers.Join();
  loop.Stop();
  return listening ? kExitDone : kExitRefused;
}

} // namespace

int RunServe(const std::vector<std::string>& aArgs)
{
  ServeSettings settings;
  switch (ParseServe(aArgs, settings)) {
    case ParseResult::kHelpShown:
      return kExitDone;
    case ParseResult::kUsageError:
      return kExitUsage;
    case ParseResult::kRun:
      break;
  }
  return Serve(settings);
}

} // namespace hawthornlug
