/// @file
/// Estimates of what requests cost, learned from route, method, size of the body and key.
#pragma once

#include "limits/work_estimator.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hawthornlug {

/// A moving average that is exact for its first samples.
struct MovingMean
{
  double mean = 0.0;
  /// Moving average of the squared distance from the mean.
  double variance = 0.0;
  unsigned samples = 0;

  void Add(double aSample);
};

/// How much longer than others the requests take that have some trait in common, such as a method.
/// Keeps a bounded number of classes: one with few samples gives way to a new one.
class TraitFactors
{
public:
  explicit TraitFactors(std::size_t aMaxClasses)
    : mMaxClasses(aMaxClasses)
  {
  }

  /// The factor of a class: 1 unless enough samples show that its requests differ. @p aVariance:
  /// that of a sample, relative to the square of its mean.
  double Of(std::uint64_t aClass, double aVariance) const;
  /// Records a service time divided by the one expected without this trait.
  void Add(std::uint64_t aClass, double aRatio);
  std::size_t Classes() const { return mRatios.size(); }

private:
  std::size_t mMaxClasses;
  std::map<std::uint64_t, MovingMean> mRatios;
  /// The classes by number of samples, so that one with few is found at once.
  std::set<std::pair<unsigned, std::uint64_t>> mBySamples;
};

/// How service times are distributed around their expected value, to tell how long a request that
/// is running still takes.
class RemainingTimes
{
public:
  /// Records a service time divided by the expected one.
  void Add(double aRatio);
  /// Mean remaining time after @p aElapsed, both divided by the expected service time.
  double After(double aElapsed) const;

private:
  /// Bounds of the intervals are powers of the square root of 2, from 1/8 to 64.
  static constexpr std::size_t kIntervals = 19;
  static std::size_t IntervalOf(double aRatio);

  /// Decayed number and sum of the ratios in each interval.
  std::array<double, kIntervals> mCounts{};
  std::array<double, kIntervals> mSums{};
};

/// Estimates costs by multiplying the route's mean with factors for method, body size and key. Each
/// factor is measured on what the others leave unexplained, and used only when it is significant.
/// Memory is bounded by the numbers of routes and of classes in each route.
class RequestCost : public WorkEstimator
{
public:
  Duration Of(const RequestTraits& aRequest, Duration aTargetLatency) const override;
  void OnServed(const RequestTraits& aRequest, const ServedRequest& aServed) override;
  bool IsMeasured(const std::string& aRoute) const override;
  std::optional<std::size_t> AnswerBytesOf(const std::string& aRoute) const override;
  Duration RemainingOf(const std::string& aRoute, Duration aWork, Duration aElapsed) const override;
  Duration MeanRemainingOf(const std::string& aService, Duration aWork) const override;
  std::map<std::string, double> Errors() const override;

private:
  static constexpr std::size_t kMaxMethods = 8;
  static constexpr std::size_t kMaxSizes = 26;
  static constexpr std::size_t kMaxKeys = 512;

  struct Route
  {
    /// Service time in seconds without the factors below.
    MovingMean seconds;
    TraitFactors methods{ kMaxMethods };
    TraitFactors sizes{ kMaxSizes };
    TraitFactors keys{ kMaxKeys };
    /// Service time relative to the estimate.
    MovingMean ratio;
    RemainingTimes remaining;
    MovingMean answerBytes;
    MovingMean absoluteError;
    MovingMean sampleSeconds;
  };
  /// The product of the route's factors for a request, by trait.
  struct Factors
  {
    double method = 1.0;
    double size = 1.0;
    double key = 1.0;

    double Product() const { return method * size * key; }
  };
  /// Moving averages of the service time in seconds and of its square.
  struct ServiceMoments
  {
    MovingMean seconds;
    MovingMean squares;
  };

  static Factors FactorsOf(const Route& aRoute, const RequestTraits& aRequest);

  std::map<std::string, Route> mRoutes;
  std::map<std::string, ServiceMoments> mServices;
};

} // namespace hawthornlug
