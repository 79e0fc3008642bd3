#include "core/metrics.h"

#include <array>
#include <sstream>

namespace hawthornlug {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };
constexpr double kMicrosPerSecond = 1e6;

} // namespace

void Metrics::Count(const std::string& aName, std::uint64_t aDelta)
{
  const std::lock_guard lock(mMutex);
  mCounters[aName] += aDelta;
}

void Metrics::Set(const std::string& aName, double aValue)
{
  const std::lock_guard lock(mMutex);
  mGauges[aName] = aValue;
}

void Metrics::Observe(const std::string& aName, Duration aValue)
{
  const std::lock_guard lock(mMutex);
  std::unique_ptr<Summary>& summary = mSummaries[aName];
  if (!summary) {
    summary = std::make_unique<Summary>(acc::tag::extended_p_square::probabilities = kQuantiles);
  }
  (*summary)(static_cast<double>(aValue.count()) / kMicrosPerSecond);
}

std::string Metrics::Text() const
{
  const std::lock_guard lock(mMutex);
  std::ostringstream buf;
  for (const auto& [name, value] : mCounters) {
    buf << "hawthornlug_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : mGauges) {
    buf << "hawthornlug_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : mSummaries) {
    for (const double it : kQuantiles) {
      buf << "hawthornlug_" << name << "{quantile=\"" << it << "\"} "
          << acc::quantile(*summary, acc::quantile_probability = it) << '\n';
    }
    buf << "hawthornlug_" << name << "_sum " << acc::sum(*summary) << '\n';
    buf << "hawthornlug_" << name << "_count " << acc::count(*summary) << '\n';
  }
  return buf.str();
}

} // namespace hawthornlug
