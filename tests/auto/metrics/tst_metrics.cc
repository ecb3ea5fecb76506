#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "base/random.h"
#include "base/soft_assert.h"
#include "metrics/metrics.h"

namespace mangoroad::metrics {
namespace {

using base::Duration;

// Guards against quantiles that hide a slow tail.
TEST_CASE("quantiles are within 4% of the exact ones") {
  base::Random random(GENERATE(1, 2, 3));
  Histogram histogram;
  std::vector<Duration> exact;
  for (int i = 0; i < 20000; ++i) {
    exact.emplace_back(std::llround(std::exp(7.0 + 2.0 * (random.Unit() + random.Unit()))));
    histogram.Record(exact.back());
  }
  std::ranges::sort(exact);
  for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const auto expected = static_cast<double>(exact[static_cast<std::size_t>(q * 20000)].count());
    CHECK(static_cast<double>(histogram.Quantile(q).count()) == Approx(expected).epsilon(0.04));
  }
  CHECK(histogram.Quantile(1.0) == exact.back());
  CHECK(histogram.Count() == 20000);
}

// Guards against records that vanish because they are out of range.
TEST_CASE("values outside the range are counted") {
  Histogram histogram;
  CHECK(histogram.Quantile(0.5) == Duration(0));
  histogram.Record(Duration(-5));
  histogram.Record(Duration(0));
  histogram.Record(std::chrono::hours(1));
  CHECK(histogram.Count() == 3);
  CHECK(histogram.Quantile(0.5) <= Duration(1));
  CHECK(histogram.Quantile(1.0) == Duration(std::chrono::hours(1)));
  CHECK(histogram.Sum() == Duration(std::chrono::hours(1)));
}

// Guards against a merged report that differs from one histogram of all records.
TEST_CASE("merging adds all records") {
  Histogram first;
  Histogram second;
  first.Record(Duration(100));
  second.Record(Duration(900));
  first.Merge(second);
  CHECK(first.Count() == 2);
  CHECK(first.Max() == Duration(900));
  CHECK(first.Sum() == Duration(1000));
}

// Guards against text that a Prometheus server can't read.
TEST_CASE("the Prometheus text has heads, escaped labels and cumulative buckets") {
  Registry registry;
  registry.GetCounter("requests_total", "Requests.", {{"row", "a\"b\n"}}).Add(3);
  registry.GetGauge("queue-length", "Length.").Set(2.5);
  Histogram& histogram = registry.GetHistogram("latency_seconds", "Latency.", {{"row", "x"}});
  histogram.Record(std::chrono::milliseconds(5));
  histogram.Record(std::chrono::milliseconds(50));
  const std::string text = registry.PrometheusText();
  for (const char* line :
       {"# TYPE requests_total counter\nrequests_total{row=\"a\\\"b\\n\"} 3\n",
        "# TYPE queue_length gauge\nqueue_length 2.5\n",
        "latency_seconds_bucket{row=\"x\",le=\"0.00464159\"} 0\n",
        "latency_seconds_bucket{row=\"x\",le=\"0.01\"} 1\n",
        "latency_seconds_bucket{row=\"x\",le=\"0.1\"} 2\n",
        "latency_seconds_bucket{row=\"x\",le=\"+Inf\"} 2\n",
        "latency_seconds_sum{row=\"x\"} 0.055\n", "latency_seconds_count{row=\"x\"} 2\n",
        "# TYPE latency_seconds_quantile gauge\n",
        "latency_seconds_quantile{row=\"x\",quantile=\"0.5\"} ",
        "latency_seconds_quantile{row=\"x\",quantile=\"0.999\"} "}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

// Guards against memory that grows with the number of label values callers invent.
TEST_CASE("the number of series is bounded and no count is lost") {
  Registry registry(10);
  for (int i = 0; i < 100; ++i) {
    registry.GetCounter("calls_total", "Calls.", {{"caller", std::to_string(i)}}).Add();
  }
  CHECK(registry.SeriesCount() == 10);
  const std::string text = registry.PrometheusText();
  CHECK(text.find("calls_total{overflow=\"true\"} 90\n") != std::string::npos);
  CHECK(text.find("mangoroad_metrics_refused_series_total 90\n") != std::string::npos);
}

// Guards against one name exported with two types, which makes a scrape fail.
TEST_CASE("a name has one type") {
  int reports = 0;
  const auto previous = base::SetSoftAssertHandler([&](const base::AssertFailure&) { ++reports; });
  Registry registry;
  registry.GetCounter("name", "Help.").Add();
  registry.GetGauge("name", "Help.").Set(5);
  base::SetSoftAssertHandler(previous);
  CHECK(reports == 1);
  CHECK(registry.PrometheusText().find("name 1\n") != std::string::npos);
}

}  // namespace
}  // namespace mangoroad::metrics
