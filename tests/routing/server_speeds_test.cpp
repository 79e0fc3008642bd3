/// @file
/// Servers' speeds from the samples of many daemons: accuracy, the tail, restarts, bad reports.

#include "routing/server_speeds.h"

#include <catch2/catch.hpp>

#include <random>

using namespace hawthornlug;

namespace {

const Instant kStart{ seconds(100) };

/// A service time relative to the expected one: log-normal with a tail of 3 % at 7 times.
double DrawServiceTime(std::mt19937& aRandom)
{
  std::lognormal_distribution<double> spread(0.0, 0.5);
  std::bernoulli_distribution isLong(0.03);
  const double mean = std::exp(0.125) * (0.97 + 0.03 * 7);
  return spread(aRandom) * (isLong(aRandom) ? 7.0 : 1.0) / mean;
}

ServerSpeeds SpeedsOf(unsigned aServers)
{
  ServerSpeeds speeds;
  for (std::uint32_t n = 0; n < aServers; ++n) {
    speeds.Put(n, "s", 1, kStart);
  }
  return speeds;
}

} // namespace

TEST_CASE("a server without samples has normal speed", "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(2);
  CHECK(speeds.RelativeServiceTimeOf(0, kStart) == Approx(1.0));
  CHECK(speeds.RelativeServiceTimeOf(17, kStart) == Approx(1.0));
  CHECK(speeds.KnownServers(kStart) == 0);
}

// Guards against estimates that the tail distorts, or whose scale drifts away.
TEST_CASE("speeds are found within 15 % from ten samples a second in spite of the tail",
          "[routing][speeds]")
{
  const std::uint32_t seed = GENERATE(1u, 2u, 3u);
  std::mt19937 random(seed);
  constexpr unsigned kServers = 29;
  ServerSpeeds speeds = SpeedsOf(kServers);
  const auto speedOf = [](unsigned aServer) { return 0.5 + 1.2 * aServer / (kServers - 1); };
  const double meanSpeed = 1.1;
  Instant now = kStart;
  for (int n = 0; n < 300; ++n) {
    now += milliseconds(100);
    for (std::uint32_t it = 0; it < kServers; ++it) {
      speeds.OnSample(it, DrawServiceTime(random) * speedOf(it), now);
    }
  }
  for (std::uint32_t it = 0; it < kServers; ++it) {
    INFO("seed " << seed << " server " << it);
    CHECK(speeds.RelativeServiceTimeOf(it, now) == Approx(speedOf(it) / meanSpeed).epsilon(0.15));
  }
  CHECK(speeds.KnownServers(now) == kServers);
}

TEST_CASE("a few samples move the estimate only partly", "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(30);
  for (std::uint32_t it = 1; it < 30; ++it) {
    speeds.Add({ { it, { 100, 100.0 } } }, kStart);
  }
  speeds.OnSample(0, 2.0, kStart);
  CHECK(speeds.RelativeServiceTimeOf(0, kStart) > 1.1);
  CHECK(speeds.RelativeServiceTimeOf(0, kStart) < 1.5);
}

TEST_CASE("one long request hardly changes a known speed", "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(2);
  speeds.Add({ { 0, { 50, 50.0 } }, { 1, { 50, 50.0 } } }, kStart);
  speeds.OnSample(0, 30.0, kStart);
  CHECK(speeds.RelativeServiceTimeOf(0, kStart) < 1.05);
}

TEST_CASE("a new incarnation starts without samples and ignores reports of the earlier one",
          "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(3);
  speeds.Add({ { 0, { 50, 100.0 } }, { 1, { 50, 50.0 } }, { 2, { 50, 50.0 } } }, kStart);
  REQUIRE(speeds.RelativeServiceTimeOf(0, kStart) > 1.3);
  const Instant later = kStart + seconds(1);
  speeds.Put(0, "s", 2, later);
  CHECK(speeds.RelativeServiceTimeOf(0, later) == Approx(1.0));
  // On its way when the server restarted.
  speeds.Add({ { 0, { 50, 100.0 } } }, later + seconds(1));
  CHECK(speeds.RelativeServiceTimeOf(0, later + seconds(1)) == Approx(1.0));
  speeds.Add({ { 0, { 50, 25.0 } } }, later + seconds(6));
  CHECK(speeds.RelativeServiceTimeOf(0, later + seconds(6)) < 0.8);
}

TEST_CASE("implausible and unknown entries of a report are not added", "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(2);
  CHECK_FALSE(speeds.Add({ { 0, { 10, 1e9 } }, { 1, { 10, 20.0 } } }, kStart));
  CHECK(speeds.Add({ { 99, { 10, 10.0 } } }, kStart));
  CHECK(speeds.RelativeServiceTimeOf(0, kStart) == Approx(1.0));
  CHECK(speeds.RelativeServiceTimeOf(1, kStart) > 1.0);
  CHECK(speeds.KnownServers(kStart) == 1);
}

TEST_CASE("own samples are handed out once, and samples fade", "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(2);
  for (int n = 0; n < 8; ++n) {
    speeds.OnSample(0, 1.0, kStart);
  }
  const ServiceTimeSums sums = speeds.TakeOwnSums();
  REQUIRE(sums.size() == 1);
  CHECK(sums.at(0).samples == 8);
  CHECK(sums.at(0).relativeTimes == Approx(8.0));
  CHECK(speeds.TakeOwnSums().empty());
  CHECK(speeds.KnownServers(kStart) == 1);
  CHECK(speeds.KnownServers(kStart + seconds(90)) == 0);
}

TEST_CASE("a removed server leaves nothing behind", "[routing][speeds]")
{
  ServerSpeeds speeds = SpeedsOf(1);
  speeds.OnSample(0, 1.0, kStart);
  speeds.Remove(0);
  CHECK(speeds.ServerCount() == 0);
  CHECK(speeds.TakeOwnSums().empty());
}
