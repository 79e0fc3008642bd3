#include "core/metrics.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("latencies are exported as a summary and as a histogram", "[core]")
{
  Metrics metrics;
  for (const Duration it :
       { milliseconds(3), milliseconds(5), milliseconds(30), milliseconds(9000) }) {
    metrics.Observe("request_seconds", it);
  }
  const std::string text = metrics.Text();
  const auto checkLine = [&](const std::string& aLine) {
    INFO(aLine << "\n" << text);
    CHECK(text.find("hawthornlug_request_seconds" + aLine + "\n") != std::string::npos);
  };
  checkLine("_count 4");
  checkLine("_histogram_bucket{le=\"0.005\"} 2");
  checkLine("_histogram_bucket{le=\"0.01\"} 2");
  checkLine("_histogram_bucket{le=\"0.05\"} 3");
  checkLine("_histogram_bucket{le=\"8\"} 3");
  checkLine("_histogram_bucket{le=\"+Inf\"} 4");
  checkLine("_histogram_count 4");
  checkLine("_histogram_sum 9.038");
  CHECK(text.find("{quantile=\"0.99\"}") != std::string::npos);
}

TEST_CASE("counters and gauges keep their labels", "[core]")
{
  Metrics metrics;
  metrics.Count("answers_total{status=\"200\"}");
  metrics.Count("answers_total{status=\"200\"}", 2);
  metrics.Set("ready", 1.0);
  const std::string text = metrics.Text();
  CHECK(text.find("hawthornlug_answers_total{status=\"200\"} 3\n") != std::string::npos);
  CHECK(text.find("hawthornlug_ready 1\n") != std::string::npos);
}
