/// @file
/// Counters, gauges and latency statistics, exported in Prometheus' text format.
#pragma once

#include "core/instant.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <ostream>
#include <string>
#include <string_view>

namespace hawthornlug {

struct MetricLabel
{
  std::string_view name;
  /// Any text.
  std::string_view value;
};

/// Returns the name of a metric with its labels, as Metrics takes it. The values are escaped as
/// Prometheus' text format demands: each metric stays on its line.
std::string LabelledName(std::string_view aName, std::initializer_list<MetricLabel> aLabels);

/// Collects the metrics that `/metrics` returns. Safe to use from any thread, also while holding
/// other locks: no other lock is taken while its own is held.
class Metrics
{
public:
  /// Adds @p aDelta to a counter; @p aName may carry labels, see LabelledName().
  void Count(const std::string& aName, std::uint64_t aDelta = 1);
  /// Sets a gauge.
  void Set(const std::string& aName, double aValue);
  /// Adds a sample to a distribution. It is exported in seconds, as a summary and as a histogram
  /// whose name has the suffix "_histogram"; only the histograms can be added up over daemons.
  void Observe(const std::string& aName, Duration aValue);

  /// Returns all metrics in Prometheus' text format.
  std::string Text() const;

private:
  using Summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square_quantile>>;

  /// Upper bounds of the histograms' buckets, in seconds.
  static constexpr std::array<double, 12> kBucketBounds = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                            0.4,   0.6,  1.0,   2.0,  4.0, 8.0 };

  struct Distribution
  {
    Distribution();

    Summary summary;
    /// Number of samples in each bucket: above the previous bound and up to this one. The last
    /// bucket counts the samples above all bounds.
    std::array<std::uint64_t, kBucketBounds.size() + 1> buckets{};
  };

  static void WriteSummary(std::ostream& aStream,
                           const std::string& aName,
                           const Summary& aSummary);
  static void WriteHistogram(std::ostream& aStream,
                             const std::string& aName,
                             const Distribution& aDistribution);

  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t> mCounters;
  std::map<std::string, double> mGauges;
  std::map<std::string, Distribution> mDistributions;
};

} // namespace hawthornlug
