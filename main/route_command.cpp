#include "main/route_command.h"

#include "adapters/asio_timers.h"
#include "adapters/event_loop.h"
#include "adapters/json_spans.h"
#include "adapters/zmq_peers.h"
#include "http/server.h"
#include "main/serve_command.h"
#include "main/settings.h"
#include "platform/backend_calls.h"
#include "platform/host_settings.h"
#include "platform/object_reader.h"
#include "platform/store_client.h"
#include "runtime/router_daemon.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace hawthornlug {

namespace {

constexpr const char* kMetricsPath = "/metrics";
constexpr double kBytesPerSecondPerMbps = 1e6 / 8;
constexpr Duration kReloadInterval = seconds(1);
/// The balancer needs so long to see that this daemon is not ready any more.
constexpr Duration kSeenLeaving = milliseconds(3000);
/// Requests that come later could not be sure to be answered before the process ends.
constexpr Duration kServeOn = milliseconds(2600);
/// This long before the platform ends the process it ends by itself.
constexpr Duration kStopMargin = milliseconds(400);
/// Requests and answers in memory may take one part in this many of it.
constexpr std::size_t kHeldPart = 4;
constexpr Duration kStopPoll = milliseconds(50);
/// Time for the destructors, out of kStopMargin.
constexpr Duration kTearDownLimit = milliseconds(300);

/// Ends the process after @p aLimit with this exit code, if it has not ended by then: the
/// destructors wait for threads, and one of them for whoever reads the log.
void ExitWithin(Duration aLimit, int aCode)
{
  std::thread([aLimit, aCode] {
    std::this_thread::sleep_for(aLimit);
    std::_Exit(aCode);
  }).detach();
}

/// Answers the platform's balancer and shows the metrics.
class SideHandler : public http::Handler
{
public:
  SideHandler(const RouterDaemon& aDaemon, const Metrics& aMetrics, const DecisionLog& aLog)
    : mDaemon(aDaemon)
    , mMetrics(aMetrics)
    , mLog(aLog)
  {
  }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    http::Response response;
    if (aExchange->Received().Path() == kMetricsPath) {
      response.status = 200;
      response.headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.body =
        mMetrics.Text() + "hawthornlug_log_lines_left_out " + std::to_string(mLog.LeftOut()) + "\n";
    } else {
      response.status = mDaemon.IsReady() ? 200 : 503;
    }
    aExchange->Respond(std::move(response));
  }

  void OnBadRequest(int, http::ReadState) override {}

private:
  const RouterDaemon& mDaemon;
  const Metrics& mMetrics;
  const DecisionLog& mLog;
};

LoadFeatures FeaturesOf(const RouteSettings& aSettings, const platform::HostSettings& aHost)
{
  LoadFeatures features = aHost.highLoad ? LoadFeatures::All() : LoadFeatures();
  for (const LoadFeature it : aSettings.without) {
    features.Set(it, false);
  }
  return features;
}

RouterSettings MakeRouterSettings(const platform::HostSettings& aHost)
{
  using std::chrono::system_clock;
  RouterSettings settings;
  settings.self.id = aHost.daemonId;
  settings.self.incarnation = static_cast<Incarnation>(
    std::chrono::duration_cast<std::chrono::microseconds>(system_clock::now().time_since_epoch())
      .count());
  settings.domain = aHost.domain;
  settings.meshEndpoint = "tcp://" + aHost.meshAddress;
  for (const std::string& it : aHost.seeds) {
    settings.seeds.push_back("tcp://" + it);
  }
  settings.retries = { aHost.retryShare, aHost.retryWindow, aHost.retrySlack };
  settings.warmUpOvershoot = aHost.warmUpOvershoot;
  settings.warmUpSlack = aHost.warmUpSlack;
  settings.quotaTolerance = { aHost.quotaWindow, aHost.quotaOvershoot, aHost.quotaSlack };
  settings.power = PowerClassOf(aHost.cores, aHost.linkMbps);
  settings.linkBytesPerSecond = aHost.linkMbps * kBytesPerSecondPerMbps;
  settings.grants.hold = std::min(settings.grants.hold, aHost.longestHold);
  return settings;
}

/// Blocks or unblocks the signals that the daemon handles, for this thread and those it starts.
void BlockHandledSignals(bool aBlocked)
{
  sigset_t handled;
  ::sigemptyset(&handled);
  for (const int it : { SIGTERM, SIGINT, SIGHUP }) {
    ::sigaddset(&handled, it);
  }
  ::pthread_sigmask(aBlocked ? SIG_BLOCK : SIG_UNBLOCK, &handled, nullptr);
}

/// The daemon and everything around it, for as long as the process runs.
class RouteProcess
{
public:
  RouteProcess(RouteSettings aSettings, platform::HostSettings aHost)
    : mSettings(std::move(aSettings))
    , mHost(std::move(aHost))
    , mLog(mHost.daemonId)
    , mSpans(mSettings.spanFile)
    , mTimers(mContext)
    , mStore(mContext, mHost.storeAddress, mLog, mMetrics)
    , mReader(mLog)
    , mBackends(mContext, mLog, mMetrics, AnswerLimitsFor(mHost.memoryBytes))
    , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
  {
    BlockHandledSignals(false);
  }

  int Run()
  {
    RouterSettings settings = MakeRouterSettings(mHost);
    // Nobody would read what is not written anywhere.
    settings.traceSample = mSettings.spanFile.empty() ? 0.0 : mSettings.traceSample;
    settings.features = FeaturesOf(mSettings, mHost);
    if (!mSpans.IsOpen()) {
      mLog.Write(EventId::kSpanLost, { { "file", mSettings.spanFile } });
      return kExitRefused;
    }
    try {
      mPeers = std::make_unique<ZmqPeers>(settings.meshEndpoint, ZmqPeers::Receiving::kWhenPolled);
    } catch (const zmq::error_t&) {
      return FailToListen(settings.meshEndpoint);
    }
    mDaemon = std::make_unique<RouterDaemon>(
      settings,
      RouterServices{
        mStore, mReader, mBackends, mHeaders, *mPeers, mTimers, mLog, mMetrics, mSpans });
    mSide = std::make_unique<SideHandler>(*mDaemon, mMetrics, mLog);
    if (!Listen(mCallers, mHost.callerAddress, mDaemon->Requests()) ||
        !Listen(mReadiness, mHost.readinessAddress, *mSide)) {
      return kExitRefused;
    }
    if (mSettings.metricsPort != 0 &&
        !Listen(mMetricsServer,
                mHost.hostAddress + ":" + std::to_string(mSettings.metricsPort),
                *mSide)) {
      return kExitRefused;
    }
    mPeers->SetReceiver([this](const wire::Envelope& aMessage) { mDaemon->Take(aMessage); });
    AwaitSignal();
    mReloadTimer = mTimers.Every(kReloadInterval, [this](Instant) { Reload(false); });
    mBoundsTimer = mTimers.Every(kReloadInterval, [this](Instant) {
      ApplyBounds();
      PublishMemory();
    });
    mDaemon->Start();
    mLog.Write(EventId::kStarted,
               { { "incarnation", settings.self.incarnation },
                 { "domain", settings.domain },
                 { "callers", mHost.callerAddress },
                 { "mesh", settings.meshEndpoint } });
    RunEventLoop(mContext, [this](const char* aWhat) {
      mMetrics.Count("task_failures_total");
      mLog.Write(EventId::kTaskFailed, { { "what", aWhat } });
    });
    mPeers->Stop();
    mLog.Write(EventId::kStopped, {});
    ExitWithin(kTearDownLimit, kExitDone);
    return kExitDone;
  }

private:
  int FailToListen(const std::string& aAddress)
  {
    mLog.Write(EventId::kListenFailed, { { "address", aAddress } });
    return kExitRefused;
  }

  bool Listen(std::unique_ptr<http::Server>& aServer,
              const std::string& aAddress,
              http::Handler& aHandler)
  {
    const auto endpoint = http::ParseEndpoint(aAddress);
    try {
      if (endpoint) {
        aServer = std::make_unique<http::Server>(mContext, *endpoint, aHandler);
        return true;
      }
    } catch (const std::system_error&) {
      // Told below.
    }
    FailToListen(aAddress);
    return false;
  }

  void AwaitSignal()
  {
    mSignals.async_wait([this](const asio::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload(true);
      } else {
        BeginStop();
      }
      AwaitSignal();
    });
  }

  /// Reads the settings file anew; what is wrong leaves the settings as they are.
  void Reload(bool aAsked)
  {
    leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(host, platform::ReadHostSettings(mSettings.settingsPath));
        const bool changed = !(host == mHost);
        const bool needsRestart =
          host.callerAddress != mHost.callerAddress ||
          host.readinessAddress != mHost.readinessAddress ||
          host.meshAddress != mHost.meshAddress || host.storeAddress != mHost.storeAddress ||
          host.longestHold != mHost.longestHold || host.highLoad != mHost.highLoad ||
          host.cores != mHost.cores || host.linkMbps != mHost.linkMbps ||
          host.daemonId != mHost.daemonId || host.domain != mHost.domain;
        if (changed || aAsked) {
          mLog.Write(
            EventId::kSettingsReloaded,
            { { "asked", aAsked }, { "changed", changed }, { "needs-restart", needsRestart } });
        }
        if (changed) {
          mHost = std::move(host);
          mDaemon->ApplySettings(MakeRouterSettings(mHost));
        }
        return {};
      },
      [&](const SettingError& aError) {
        mLog.Write(EventId::kSettingsRefused,
                   { { "setting", aError.setting }, { "reason", aError.reason } });
      },
      [&] {
        mLog.Write(EventId::kSettingsRefused, { { "reason", "unknown" } });
      });
  }

  void PublishMemory()
  {
    mMetrics.Set("server_answer_bytes", static_cast<double>(mBackends.BufferedBytes()));
    mMetrics.Set("caller_bytes", static_cast<double>(mCallers->BufferedBytes()));
  }

  void ApplyBounds()
  {
    const std::optional<CallerBounds> bounds = mDaemon->ConfiguredCallerBounds();
    if (!bounds) {
      return;
    }
    http::ServerLimits limits;
    limits.read = { bounds->headerBytes, bounds->bodyBytes };
    limits.headerTimeout = bounds->headerTimeout;
    limits.idleTimeout = bounds->idleTimeout;
    limits.heldBytes = mHost.memoryBytes / kHeldPart;
    mCallers->SetLimits(limits);
  }

  /// Serves on, closing each connection behind its answer, until callers and duties are elsewhere.
  void BeginStop()
  {
    if (mStopTimer) {
      return;
    }
    mLog.Write(EventId::kStopping, { { "unanswered", mCallers->Unanswered() } });
    const Duration stopAfter = mHost.stopGrace - kStopMargin;
    mDaemon->Leave(kServeOn, stopAfter);
    mCallers->Drain();
    mStopAt = mTimers.Now();
    mStopTimer = mTimers.Every(kStopPoll, [this, stopAfter](Instant aNow) {
      const Duration since = aNow - mStopAt;
      const bool idle = mCallers->IsIdle() && mDaemon->LeadsNoRange();
      if ((idle && since > kSeenLeaving) || since > stopAfter) {
        mContext.stop();
      }
    });
  }

  RouteSettings mSettings;
  platform::HostSettings mHost;
  DecisionLog mLog;
  JsonSpans mSpans;
  Metrics mMetrics;
  asio::io_context mContext{ 1 };
  LoopTimers mTimers;
  platform::StoreClient mStore;
  platform::PlatformObjectReader mReader;
  platform::BackendCalls mBackends;
  platform::PlatformCallerHeaders mHeaders;
  std::unique_ptr<ZmqPeers> mPeers;
  std::unique_ptr<RouterDaemon> mDaemon;
  std::unique_ptr<SideHandler> mSide;
  std::unique_ptr<http::Server> mCallers;
  std::unique_ptr<http::Server> mReadiness;
  std::unique_ptr<http::Server> mMetricsServer;
  asio::signal_set mSignals;
  std::unique_ptr<TimerSubscription> mReloadTimer;
  std::unique_ptr<TimerSubscription> mBoundsTimer;
  std::unique_ptr<TimerSubscription> mStopTimer;
  Instant mStopAt;
};

} // namespace

int RunRoute(const std::vector<std::string>& aArgs)
{
  // A SIGHUP that arrives before its handler is set would end the process.
  BlockHandledSignals(true);
  RouteSettings settings;
  switch (ParseRoute(aArgs, settings)) {
    case ParseResult::kHelpShown:
      return kExitDone;
    case ParseResult::kUsageError:
      return kExitUsage;
    case ParseResult::kRun:
      break;
  }
  return leaf::try_handle_all(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(host, platform::ReadHostSettings(settings.settingsPath));
      return RouteProcess(std::move(settings), std::move(host)).Run();
    },
    [](const SettingError& aError) {
      std::cerr << "hawthornlug route: " << aError.setting << ": " << aError.reason << '\n';
      return kExitUsage;
    },
    [] { return kExitUsage; });
}

} // namespace hawthornlug
