/// @file
/// Counters and latency statistics, shown as Prometheus text.
#pragma once

#include "core/instant.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace hawthornlug {

/// Collects what `/metrics` shows. Safe to use from any thread; its lock is taken last.
class Metrics
{
public:
  /// Adds @p aDelta to a counter; @p aName may carry Prometheus labels.
  void Count(const std::string& aName, std::uint64_t aDelta = 1);
  /// Sets a gauge.
  void Set(const std::string& aName, double aValue);
  /// Adds a sample to a summary, which is shown in seconds.
  void Observe(const std::string& aName, Duration aValue);

  /// Everything in Prometheus' text format.
  std::string Text() const;

private:
  using Summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t> mCounters;
  std::map<std::string, double> mGauges;
  std::map<std::string, std::unique_ptr<Summary>> mSummaries;
};

} // namespace hawthornlug
