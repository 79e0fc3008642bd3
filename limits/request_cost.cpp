#include "limits/request_cost.h"

#include "core/hashing.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace hawthornlug {

namespace {

/// Assumed service time of a route before its first sample, as a share of the target latency.
constexpr double kInitialShare = 0.36;
/// Smallest weight of the newest sample in an average. With a variance of the samples of 1.2 (a
/// tail of 3 % at 7 times), the error of the mean is then 8 %.
constexpr double kMinSampleWeight = 0.01;
/// A route counts as measured from this number of samples on.
constexpr unsigned kMeasuredSamples = 12;
/// A class of requests counts as different if its mean differs by this many standard errors.
constexpr double kSignificance = 3.0;
constexpr unsigned kMinClassSamples = 8;
/// A factor is moved towards 1 as if by this number of samples.
constexpr double kPriorSamples = 4.0;
/// Factors and samples of factors are limited to this range.
constexpr double kMinFactor = 0.05;
constexpr double kMaxFactor = 20.0;
/// Routes and services beyond this number are not learned.
constexpr std::size_t kMaxRoutes = 1024;
/// Weight, in samples, of the assumption that the remaining time is the expected service time,
/// whatever the elapsed one; it decides where few requests took so long.
constexpr double kPriorRemaining = 1.0;
/// The counts of service times decay by this factor with each sample: 300 samples are remembered,
/// of which a tail of 1 to 3 % makes up 3 to 9.
constexpr double kCountDecay = 1.0 - 1.0 / 300.0;
constexpr double kFirstBound = 0.125;

std::uint64_t SizeClassOf(std::size_t aBytes)
{
  return std::min<std::uint64_t>(std::bit_width(aBytes), 25);
}

} // namespace

void MovingMean::Add(double aSample)
{
  ++samples;
  const double weight = std::max(kMinSampleWeight, 1.0 / samples);
  const double distance = aSample - mean;
  mean += weight * distance;
  variance = (1.0 - weight) * (variance + weight * distance * distance);
}

double TraitFactors::Of(std::uint64_t aClass, double aVariance) const
{
  const auto it = mRatios.find(aClass);
  if (it == mRatios.end() || it->second.samples < kMinClassSamples) {
    return 1.0;
  }
  const MovingMean& ratio = it->second;
  const double samples = std::min<double>(ratio.samples, 1.0 / kMinSampleWeight);
  // A class with a large mean has a large spread, too: its own variance counts if it is larger.
  const double variance = std::max(aVariance, ratio.variance);
  if (std::abs(ratio.mean - 1.0) < kSignificance * std::sqrt(variance / samples)) {
    return 1.0;
  }
  const double factor = (samples * ratio.mean + kPriorSamples) / (samples + kPriorSamples);
  return std::clamp(factor, kMinFactor, kMaxFactor);
}

void TraitFactors::Add(std::uint64_t aClass, double aRatio)
{
  if (!mRatios.contains(aClass) && mRatios.size() >= mMaxClasses) {
    const std::uint64_t fewest = mBySamples.begin()->second;
    mBySamples.erase(mBySamples.begin());
    mRatios.erase(fewest);
  }
  MovingMean& ratio = mRatios[aClass];
  mBySamples.erase({ ratio.samples, aClass });
  ratio.Add(std::clamp(aRatio, kMinFactor, kMaxFactor));
  mBySamples.insert({ ratio.samples, aClass });
}

std::size_t RemainingTimes::IntervalOf(double aRatio)
{
  if (aRatio <= kFirstBound) {
    return 0;
  }
  const double steps = 2.0 * std::log2(aRatio / kFirstBound);
  return std::min(kIntervals - 1, 1 + static_cast<std::size_t>(steps));
}

void RemainingTimes::Add(double aRatio)
{
  for (std::size_t n = 0; n < kIntervals; ++n) {
    mCounts.at(n) *= kCountDecay;
    mSums.at(n) *= kCountDecay;
  }
  const std::size_t interval = IntervalOf(aRatio);
  mCounts.at(interval) += 1.0;
  mSums.at(interval) += aRatio;
}

double RemainingTimes::After(double aElapsed) const
{
  double count = 0.0;
  double remaining = 0.0;
  const std::size_t first = IntervalOf(aElapsed);
  for (std::size_t n = first; n < kIntervals; ++n) {
    if (mCounts.at(n) <= 0.0) {
      continue;
    }
    const double mean = mSums.at(n) / mCounts.at(n);
    // Within the interval of the elapsed time, about half of the requests have ended already.
    const double weight = n == first ? 0.5 * mCounts.at(n) : mCounts.at(n);
    count += weight;
    remaining += weight * std::max(n == first ? 0.1 * mean : 0.0, mean - aElapsed);
  }
  return (remaining + kPriorRemaining) / (count + kPriorRemaining);
}

RequestCost::Factors RequestCost::FactorsOf(const Route& aRoute, const RequestTraits& aRequest)
{
  const double mean = std::max(aRoute.seconds.mean, 1e-6);
  const double variance =
    std::max(0.1, std::max(aRoute.ratio.variance, aRoute.seconds.variance / (mean * mean)));
  Factors factors;
  factors.method = aRoute.methods.Of(HashOf(aRequest.method), variance);
  factors.size = aRoute.sizes.Of(SizeClassOf(aRequest.bodyBytes), variance);
  if (aRequest.key) {
    factors.key = aRoute.keys.Of(*aRequest.key, variance);
  }
  return factors;
}

Duration RequestCost::Of(const RequestTraits& aRequest, Duration aTargetLatency) const
{
  const auto it = mRoutes.find(aRequest.route);
  if (it == mRoutes.end() || it->second.seconds.samples == 0) {
    return Scaled(aTargetLatency, kInitialShare);
  }
  const double factor = FactorsOf(it->second, aRequest).Product();
  return FromSeconds(it->second.seconds.mean * std::clamp(factor, kMinFactor, kMaxFactor));
}

void RequestCost::OnServed(const RequestTraits& aRequest, const ServedRequest& aServed)
{
  if (!mRoutes.contains(aRequest.route) && mRoutes.size() >= kMaxRoutes) {
    return;
  }
  Route& route = mRoutes[aRequest.route];
  route.answerBytes.Add(static_cast<double>(aServed.answerBytes));
  if (aServed.isUnusual) {
    return;
  }
  const double seconds = InSeconds(aServed.elapsed) / std::max(0.1, aServed.relativeServiceTime);
  if (aServed.estimate > Duration::zero() && route.seconds.samples > 0) {
    route.ratio.Add(seconds / InSeconds(aServed.estimate));
    route.remaining.Add(seconds / InSeconds(aServed.estimate));
    route.absoluteError.Add(std::abs(seconds - InSeconds(aServed.estimate)));
    route.sampleSeconds.Add(seconds);
  }
  const Factors factors = FactorsOf(route, aRequest);
  if (route.seconds.samples >= kMeasuredSamples) {
    // What the route's mean and the other factors leave unexplained.
    const double ratio = seconds / std::max(1e-6, route.seconds.mean) / factors.Product();
    route.methods.Add(HashOf(aRequest.method), ratio * factors.method);
    route.sizes.Add(SizeClassOf(aRequest.bodyBytes), ratio * factors.size);
    if (aRequest.key) {
      route.keys.Add(*aRequest.key, ratio * factors.key);
    }
  }
  route.seconds.Add(seconds / factors.Product());
  if (mServices.contains(aRequest.service) || mServices.size() < kMaxRoutes) {
    ServiceMoments& service = mServices[aRequest.service];
    service.seconds.Add(seconds);
    service.squares.Add(seconds * seconds);
  }
}

bool RequestCost::IsMeasured(const std::string& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  return it != mRoutes.end() && it->second.seconds.samples >= kMeasuredSamples;
}

std::optional<std::size_t> RequestCost::AnswerBytesOf(const std::string& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end() || it->second.answerBytes.samples == 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it->second.answerBytes.mean);
}

Duration RequestCost::RemainingOf(const std::string& aRoute,
                                  Duration aWork,
                                  Duration aElapsed) const
{
  const auto it = mRoutes.find(aRoute);
  if (it == mRoutes.end() || aWork <= Duration::zero()) {
    return aWork;
  }
  return Scaled(aWork, it->second.remaining.After(InSeconds(aElapsed) / InSeconds(aWork)));
}

Duration RequestCost::MeanRemainingOf(const std::string& aService, Duration aWork) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end() || it->second.seconds.samples < kMeasuredSamples) {
    return aWork;
  }
  // A request that is found running is long rather than short: of times x, the mean remaining one
  // is E[x^2] / (2 E[x]).
  return FromSeconds(it->second.squares.mean / (2.0 * std::max(1e-6, it->second.seconds.mean)));
}

std::map<std::string, double> RequestCost::Errors() const
{
  std::map<std::string, double> errors;
  for (const auto& [name, route] : mRoutes) {
    if (route.sampleSeconds.samples >= kMeasuredSamples) {
      errors[name] = route.absoluteError.mean / std::max(1e-6, route.sampleSeconds.mean);
    }
  }
  return errors;
}

} // namespace hawthornlug
