/// @file
/// Estimates of what requests cost: traits that distinguish requests, remaining times, bounds.

#include "limits/request_cost.h"
#include "limits/route_work.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace hawthornlug;

namespace {

constexpr Duration kTarget = milliseconds(600);

RequestTraits Traits(const std::string& aMethod = "GET", std::size_t aBytes = 0)
{
  return { "r", "s", aMethod, aBytes, std::nullopt };
}

/// A factor with mean 1: log-normal with a spread of 0.5 and a tail of 3 % at 7 times.
double DrawFactor(std::mt19937& aRandom)
{
  std::lognormal_distribution<double> spread(0.0, 0.5);
  std::bernoulli_distribution isLong(0.03);
  return spread(aRandom) * (isLong(aRandom) ? 7.0 : 1.0) / (std::exp(0.125) * 1.18);
}

/// Reports a request as served that took @p aSeconds on a server of normal speed.
void Serve(RequestCost& aCost, const RequestTraits& aTraits, double aSeconds)
{
  ServedRequest served;
  served.elapsed = FromSeconds(aSeconds);
  served.estimate = aCost.Of(aTraits, kTarget);
  aCost.OnServed(aTraits, served);
}

double SecondsOf(const RequestCost& aCost, const RequestTraits& aTraits)
{
  return InSeconds(aCost.Of(aTraits, kTarget));
}

} // namespace

TEST_CASE("before the first sample the estimates are those of the route's target", "[limits][cost]")
{
  RequestCost cost;
  CHECK(cost.Of(Traits(), kTarget) == RouteWork().Of("r", kTarget));
  CHECK_FALSE(cost.IsMeasured("r"));
  CHECK_FALSE(cost.AnswerBytesOf("r"));
  CHECK(cost.RemainingOf("r", milliseconds(100), milliseconds(500)) == milliseconds(100));
  CHECK(cost.MeanRemainingOf("s", milliseconds(100)) == milliseconds(100));
  CHECK(cost.Errors().empty());
}

// Guards against factors that only reflect the spread and the tail of the service times.
TEST_CASE("requests that cost the same get nearly the same estimate whatever their traits",
          "[limits][cost]")
{
  const std::uint32_t seed = GENERATE(1u, 2u, 3u, 4u);
  std::mt19937 random(seed);
  RequestCost cost;
  std::uniform_int_distribution<std::uint32_t> key(0, 40);
  for (int n = 0; n < 2000; ++n) {
    RequestTraits traits = Traits(n % 2 == 0 ? "GET" : "PUT", std::size_t{ 1 } << (n % 12));
    traits.key = key(random);
    Serve(cost, traits, 0.1 * DrawFactor(random));
  }
  unsigned distinguished = 0;
  for (std::uint32_t it = 0; it <= 40; ++it) {
    RequestTraits traits = Traits();
    traits.key = it;
    const double seconds = SecondsOf(cost, traits);
    distinguished += seconds < 0.07 || seconds > 0.14 ? 1 : 0;
  }
  INFO("seed " << seed);
  CHECK(distinguished <= 2);
  CHECK(cost.IsMeasured("r"));
}

TEST_CASE("body size, method and key that distinguish requests are learned", "[limits][cost]")
{
  std::mt19937 random(5);
  RequestCost cost;
  const auto costOf = [](const RequestTraits& aTraits) {
    return 0.1 * (aTraits.bodyBytes > 1000 ? 3.0 : 1.0) * (aTraits.method == "PUT" ? 2.0 : 1.0) *
           (aTraits.key == 7U ? 4.0 : 1.0);
  };
  for (int n = 0; n < 4000; ++n) {
    RequestTraits traits = Traits(n % 4 == 0 ? "PUT" : "GET", n % 3 == 0 ? 60000 : 0);
    traits.key = static_cast<std::uint32_t>(n % 10);
    Serve(cost, traits, costOf(traits) * DrawFactor(random));
  }
  for (const char* const method : { "GET", "PUT" }) {
    for (const std::size_t bytes : { std::size_t{ 0 }, std::size_t{ 60000 } }) {
      for (const std::uint32_t key : { 3U, 7U }) {
        RequestTraits traits = Traits(method, bytes);
        traits.key = key;
        INFO(method << " " << bytes << " bytes, key " << key);
        CHECK(SecondsOf(cost, traits) == Approx(costOf(traits)).epsilon(0.4));
      }
    }
  }
}

TEST_CASE("a request that has run longer than the mean has more than the mean ahead of it",
          "[limits][cost]")
{
  std::mt19937 random(6);
  RequestCost cost;
  std::vector<double> times;
  for (int n = 0; n < 5000; ++n) {
    times.push_back(0.1 * DrawFactor(random));
    Serve(cost, Traits(), times.back());
  }
  const auto actualAfter = [&](double aElapsed) {
    double sum = 0.0;
    unsigned count = 0;
    for (const double it : times) {
      if (it > aElapsed) {
        sum += it - aElapsed;
        ++count;
      }
    }
    return sum / count;
  };
  const auto after = [&](double aElapsed) {
    return InSeconds(cost.RemainingOf("r", cost.Of(Traits(), kTarget), FromSeconds(aElapsed)));
  };
  CHECK(after(0.0) == Approx(0.1).epsilon(0.25));
  CHECK(after(0.1) == Approx(actualAfter(0.1)).epsilon(0.4));
  CHECK(after(0.3) == Approx(actualAfter(0.3)).epsilon(0.4));
  CHECK(after(0.3) > 0.12);
  // E[x^2] / (2 E[x]) of the distribution above is 0.113 s.
  CHECK(InSeconds(cost.MeanRemainingOf("s", seconds(1))) == Approx(0.113).epsilon(0.4));
}

TEST_CASE("the answer's size and the error are known by route", "[limits][cost]")
{
  RequestCost cost;
  for (int n = 0; n < 100; ++n) {
    ServedRequest served;
    served.elapsed = milliseconds(n % 2 == 0 ? 50 : 150);
    served.estimate = cost.Of(Traits(), kTarget);
    served.answerBytes = 90000;
    cost.OnServed(Traits(), served);
  }
  CHECK(cost.AnswerBytesOf("r") == 90000U);
  CHECK(cost.Errors().at("r") == Approx(0.5).epsilon(0.1));
}

TEST_CASE("unusual service times teach the size of the answer only", "[limits][cost]")
{
  RequestCost cost;
  ServedRequest served;
  served.elapsed = seconds(9);
  served.answerBytes = 10;
  served.isUnusual = true;
  cost.OnServed(Traits(), served);
  CHECK(cost.Of(Traits(), kTarget) == Scaled(kTarget, 0.36));
  CHECK(cost.AnswerBytesOf("r") == 10U);
}

// Guards against memory that grows with the number of keys that callers choose.
TEST_CASE("the number of classes is bounded, and those with many samples stay", "[limits][cost]")
{
  TraitFactors factors(16);
  for (int n = 0; n < 200; ++n) {
    factors.Add(1, 5.0);
  }
  for (std::uint64_t it = 100; it < 10000; ++it) {
    factors.Add(it, 1.0);
  }
  CHECK(factors.Classes() == 16);
  CHECK(factors.Of(1, 0.5) > 4.0);
}
