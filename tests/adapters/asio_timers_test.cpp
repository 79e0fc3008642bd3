/// @file
/// Timers and worker threads go on after a task that throws.

#include "adapters/asio_timers.h"
#include "adapters/event_loop.h"
#include "tests/support/loopback.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <thread>

using namespace hawthornlug;
using namespace hawthornlug::testing;

namespace {

/// Waits up to kLongest for @p aCount to reach @p aGoal.
bool Reaches(const std::atomic<int>& aCount, int aGoal)
{
  const auto end = std::chrono::steady_clock::now() + kLongest;
  while (aCount < aGoal && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return aCount >= aGoal;
}

} // namespace

TEST_CASE("a timer whose callback throws fires again", "[adapters][reports]")
{
  std::atomic<int> fired = 0;
  AsioTimers timers;
  const auto timer = timers.Every(milliseconds(1), [&](Instant) {
    if (++fired == 1) {
      throw std::runtime_error("thrown on purpose");
    }
  });
  CHECK(Reaches(fired, 3));
}

TEST_CASE("a worker whose task throws executes the next one", "[adapters][reports]")
{
  std::atomic<int> done = 0;
  AsioWorkers workers(1);
  workers.Post([] { throw std::runtime_error("thrown on purpose"); });
  workers.Post([] { throw 1; });
  workers.Post([&] { ++done; });
  CHECK(Reaches(done, 1));
}

TEST_CASE("an event loop reports what a handler throws and goes on", "[adapters][reports]")
{
  asio::io_context context;
  std::vector<std::string> reported;
  bool later = false;
  asio::post(context, [] { throw std::runtime_error("thrown on purpose"); });
  asio::post(context, [&] { later = true; });
  RunEventLoop(context, [&](const char* aWhat) { reported.emplace_back(aWhat); });
  CHECK(reported == std::vector<std::string>{ "thrown on purpose" });
  CHECK(later);
}
