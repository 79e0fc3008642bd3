#include "core/metrics.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace hawthornlug {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };
constexpr double kMicrosPerSecond = 1e6;

std::string EscapeLabelValue(std::string_view aValue)
{
  std::string text;
  for (const char it : aValue) {
    if (it == '\n') {
      text += "\\n";
      continue;
    }
    if (it == '\\' || it == '"') {
      text += '\\';
    }
    text += it;
  }
  return text;
}

} // namespace

std::string LabelledName(std::string_view aName, std::initializer_list<MetricLabel> aLabels)
{
  std::string name(aName);
  char separator = '{';
  for (const MetricLabel& it : aLabels) {
    name += separator + std::string(it.name) + "=\"" + EscapeLabelValue(it.value) + '"';
    separator = ',';
  }
  return name + '}';
}

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

Metrics::Distribution::Distribution()
  : summary(acc::tag::extended_p_square::probabilities = kQuantiles)
{
}

void Metrics::Observe(const std::string& aName, Duration aValue)
{
  const double value = static_cast<double>(aValue.count()) / kMicrosPerSecond;
  const auto bound = std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), value);
  const std::lock_guard lock(mMutex);
  Distribution& distribution = mDistributions[aName];
  distribution.summary(value);
  ++distribution.buckets.at(static_cast<std::size_t>(bound - kBucketBounds.begin()));
}

void Metrics::WriteSummary(std::ostream& aStream, const std::string& aName, const Summary& aSummary)
{
  for (const double it : kQuantiles) {
    aStream << "hawthornlug_" << aName << "{quantile=\"" << it << "\"} "
            << acc::quantile(aSummary, acc::quantile_probability = it) << '\n';
  }
  aStream << "hawthornlug_" << aName << "_sum " << acc::sum(aSummary) << '\n';
  aStream << "hawthornlug_" << aName << "_count " << acc::count(aSummary) << '\n';
}

void Metrics::WriteHistogram(std::ostream& aStream,
                             const std::string& aName,
                             const Distribution& aDistribution)
{
  const std::string name = "hawthornlug_" + aName + "_histogram";
  std::uint64_t cumulative = 0;
  for (std::size_t n = 0; n < kBucketBounds.size(); ++n) {
    cumulative += aDistribution.buckets.at(n);
    aStream << name << "_bucket{le=\"" << kBucketBounds.at(n) << "\"} " << cumulative << '\n';
  }
  cumulative += aDistribution.buckets.back();
  aStream << name << "_bucket{le=\"+Inf\"} " << cumulative << '\n';
  aStream << name << "_sum " << acc::sum(aDistribution.summary) << '\n';
  aStream << name << "_count " << cumulative << '\n';
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
  for (const auto& [name, distribution] : mDistributions) {
    WriteSummary(buf, name, distribution.summary);
    WriteHistogram(buf, name, distribution);
  }
  return buf.str();
}

} // namespace hawthornlug
