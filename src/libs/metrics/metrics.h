// Counters, gauges and latency histograms with labels, and their Prometheus text format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace mangoroad::metrics {

/// Value that only grows while the process runs.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { this->total += amount; }
  [[nodiscard]] std::uint64_t Value() const { return this->total; }

 private:
  std::uint64_t total = 0;
};

/// Value that goes up and down.
class Gauge {
 public:
  void Set(double new_value) { this->value = new_value; }
  void Add(double amount) { this->value += amount; }
  [[nodiscard]] double Value() const { return this->value; }

 private:
  double value = 0.0;
};

/// Histogram of durations with logarithmic bins from 1 µs to 1,000 s, 60 a decade, so a quantile is
/// within 4% of the true value. Values outside the range count in the first or last bin.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Record(base::Duration duration);
  /// Adds all records of `other`.
  void Merge(const Histogram& other);
  [[nodiscard]] std::uint64_t Count() const;
  /// Sum of all recorded durations.
  [[nodiscard]] base::Duration Sum() const;
  /// Largest recorded duration; zero when there is none.
  [[nodiscard]] base::Duration Max() const;
  /// Duration below which the share `q` (0 to 1) of the records lies; zero when there is none.
  [[nodiscard]] base::Duration Quantile(double q) const;
  /// Number of records of at most `bound` seconds; exact at bounds of 10^(n/3).
  [[nodiscard]] std::uint64_t CountUpTo(double bound_seconds) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

/// Label names and values of one series.
using Labels = std::map<std::string, std::string>;

/// All series of a process, used from one thread. References stay valid for the registry's
/// lifetime.
///
/// The number of series is bounded, since labels may come from callers: a series beyond the bound
/// is counted in one series of its family with the label `overflow="true"`, and
/// `mangoroad_metrics_refused_series_total` grows. Metric and label names must match
/// `[a-zA-Z_][a-zA-Z0-9_]*`; other characters are replaced by `_`.
class Registry {
 public:
  static constexpr std::size_t kDefaultMaxSeries = 10'000;

  explicit Registry(std::size_t max_series = kDefaultMaxSeries);
  ~Registry();
  Registry(Registry&&) noexcept;
  Registry& operator=(Registry&&) noexcept;
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  /// The series of this name and labels, created at the first call. `help` is one line of text and
  /// counts at the first call only. A name that is in use by another type of metric is a
  /// programming error, reported as a soft assert; the series returned is then not exported.
  Counter& GetCounter(std::string_view name, std::string_view help, const Labels& labels = {});
  Gauge& GetGauge(std::string_view name, std::string_view help, const Labels& labels = {});
  Histogram& GetHistogram(std::string_view name, std::string_view help, const Labels& labels = {});

  /// All series in the Prometheus text exposition format 0.0.4; durations are in seconds. Each
  /// histogram is followed by gauges `<name>_quantile` with its quantiles 0.5, 0.99 and 0.999.
  [[nodiscard]] std::string PrometheusText() const;
  [[nodiscard]] std::size_t SeriesCount() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::metrics
