/// @file
/// Daemons as real processes that are paused or ended under more load than their servers can bear:
/// what their callers are told, against what servers ran until well after.

#include "http/promise.h"
#include "tests/support/loopback.h"
#include "tests/support/platform_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace hawthornlug::test;
using namespace hawthornlug::testing;
namespace http = hawthornlug::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kStart{ 12 };
constexpr seconds kGrace{ 12 };
constexpr unsigned kDaemons = 2;
/// Time from a process's end until its servers' record is read.
constexpr seconds kAfterwards{ 1 };
constexpr milliseconds kInterval{ 2 };
/// Callers wait for longer than any pause of a daemon.
constexpr seconds kPatience{ 5 };
constexpr const char* kDeadlineMs = "700";

/// Sends requests of both kinds to all daemons, on connections that are kept for as long as the
/// daemons keep them, and notes what is promised.
class PressingCallers
{
public:
  explicit PressingCallers(PlatformFleet& aFleet)
    : mFleet(aFleet)
    , mClient(aFleet.Context())
    , mTimer(aFleet.Context())
  {
  }

  void SetOn(bool aOn)
  {
    mOn = aOn;
    if (aOn) {
      Next();
      return;
    }
    mTimer.cancel();
    CHECK(mFleet.RunUntil([this] { return mUnderWay == 0; }, 2 * kPatience));
  }
  /// Compares what was promised with what servers have run.
  void Check() const
  {
    for (const auto& [id, status] : mPromised) {
      INFO(id << " was answered " << status);
      CHECK_FALSE(mFleet.Ledger().told.HasRun(id));
    }
    for (const auto& [id, runs] : mFleet.Ledger().told.AllRuns()) {
      INFO(id << " may run once, and ran " << runs << " times");
      CHECK((runs == 1 || !id.starts_with("once-")));
    }
  }
  std::size_t Promises() const { return mPromised.size(); }
  unsigned Served() const { return mServed; }

private:
  void Next()
  {
    mTimer.expires_after(kInterval);
    mTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError && mOn) {
        Send(++mSent);
        Next();
      }
    });
  }

  void Send(unsigned aNumber)
  {
    const bool once = aNumber % 4 < 2;
    const std::string id = (once ? "once-" : "more-") + std::to_string(aNumber);
    http::Request request;
    request.method = once ? "POST" : "GET";
    request.target = once ? "/write/x" : "/read/x";
    request.headers.Add("Host", "h.example");
    request.headers.Add("X-Hawthornlug-Attempt-Id", id);
    request.headers.Add("X-Hawthornlug-Deadline-Ms", kDeadlineMs);
    http::CallOptions options;
    options.timeout = kPatience;
    ++mUnderWay;
    mClient.Send(mFleet.CallersAddress(aNumber % kDaemons),
                 request,
                 options,
                 [this, id](const http::CallOutcome& aOutcome) {
                   --mUnderWay;
                   if (aOutcome.result != http::CallResult::kAnswered) {
                     return;
                   }
                   const int status = aOutcome.response.status;
                   mServed += status == 200 ? 1 : 0;
                   if (http::PromiseOf(status)) {
                     mPromised[id] = status;
                   }
                 });
  }

  PlatformFleet& mFleet;
  http::Client mClient;
  asio::steady_timer mTimer;
  bool mOn = false;
  unsigned mSent = 0;
  unsigned mUnderWay = 0;
  unsigned mServed = 0;
  /// Statuses by request id.
  std::map<std::string, int> mPromised;
};

void AwaitReady(PlatformFleet& aFleet)
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    REQUIRE(aFleet.RunUntil([&] { return aFleet.IsReady(n); }, kStart));
  }
}

} // namespace

TEST_CASE("a daemon that was paused under load promises nothing false", "[promises][process]")
{
  PlatformFleet fleet(kDaemons, 1, 0);
  AwaitReady(fleet);
  PressingCallers callers(fleet);
  callers.SetOn(true);
  fleet.RunFor(seconds(1));
  for (const milliseconds pause : { milliseconds(300), milliseconds(700), milliseconds(1200) }) {
    fleet.Signal(0, SIGSTOP);
    fleet.RunFor(pause);
    fleet.Signal(0, SIGCONT);
    fleet.RunFor(milliseconds(500));
  }
  callers.SetOn(false);
  fleet.RunFor(kAfterwards);
  CHECK(callers.Promises() > 0);
  CHECK(callers.Served() > 0);
  callers.Check();
}

TEST_CASE("a daemon that is ended under load promises nothing false", "[promises][process]")
{
  PlatformFleet fleet(kDaemons, 1, 0);
  AwaitReady(fleet);
  PressingCallers callers(fleet);
  callers.SetOn(true);
  fleet.RunFor(seconds(1));
  const std::size_t before = callers.Promises();
  fleet.Signal(0, SIGTERM);
  CHECK(fleet.AwaitEnd(0, kGrace) == 0);
  fleet.RunFor(kAfterwards);
  callers.SetOn(false);
  CHECK(callers.Promises() > before);
  CHECK(callers.Served() > 0);
  callers.Check();
}
