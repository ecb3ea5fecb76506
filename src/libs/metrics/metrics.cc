#include "metrics/metrics.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <optional>
#include <variant>

#include "base/soft_assert.h"

namespace mangoroad::metrics {
namespace {

constexpr std::string_view kRefusedSeries = "mangoroad_metrics_refused_series_total";
constexpr std::array<std::string_view, 3> kTypeNames{"counter", "gauge", "histogram"};

// Exported bucket bounds are 10^(n/3) seconds, from 100 µs to 100 s: three a decade keep the text
// small.
constexpr int kFirstBound = -12;
constexpr int kLastBound = 6;

std::string ValidName(std::string_view name) {
  std::string valid(name);
  for (char& c : valid) {
    const bool is_valid = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                          (c >= '0' && c <= '9') || c == '_' || c == ':';
    if (!is_valid) c = '_';
  }
  if (valid.empty() || (valid[0] >= '0' && valid[0] <= '9')) valid.insert(0, "_");
  return valid;
}

std::string Escaped(std::string_view text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
    } else if (c == '\\' || (c == '"' && escape_quotes)) {
      escaped += '\\';
      escaped += c;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

// `{a="1",b="2"}` without braces, which is also the key of a series in its family.
std::string LabelText(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += fmt::format("{}=\"{}\"", ValidName(name), Escaped(value, true));
  }
  return text;
}

std::string Braced(std::string_view labels) {
  return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

std::string NumberText(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  return fmt::format("{}", value);
}

using Series = std::variant<Counter, Gauge, Histogram>;

void AppendSeries(std::string& text, std::string_view name, std::string_view labels,
                  const Counter& counter) {
  fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, Braced(labels), counter.Value());
}

void AppendSeries(std::string& text, std::string_view name, std::string_view labels,
                  const Gauge& gauge) {
  fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, Braced(labels),
                 NumberText(gauge.Value()));
}

void AppendSeries(std::string& text, std::string_view name, std::string_view labels,
                  const Histogram& histogram) {
  const std::string_view comma = labels.empty() ? "" : ",";
  auto out = std::back_inserter(text);
  for (int n = kFirstBound; n <= kLastBound; ++n) {
    const double bound = std::pow(10.0, n / 3.0);
    fmt::format_to(out, "{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, comma, bound,
                   histogram.CountUpTo(bound));
  }
  fmt::format_to(out, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, histogram.Count());
  fmt::format_to(out, "{}_sum{} {}\n", name, Braced(labels),
                 NumberText(std::chrono::duration<double>(histogram.Sum()).count()));
  fmt::format_to(out, "{}_count{} {}\n", name, Braced(labels), histogram.Count());
}

void AppendQuantiles(std::string& text, std::string_view name, std::string_view labels,
                     const Histogram& histogram) {
  static constexpr std::array<double, 3> kQuantiles{0.5, 0.99, 0.999};
  const std::string_view comma = labels.empty() ? "" : ",";
  for (const double quantile : kQuantiles) {
    const auto seconds = std::chrono::duration<double>(histogram.Quantile(quantile)).count();
    fmt::format_to(std::back_inserter(text), "{}{{{}{}quantile=\"{}\"}} {:.6g}\n", name, labels,
                   comma, quantile, seconds);
  }
}

struct Family {
  std::size_t type = 0;
  std::string help;
  std::map<std::string, Series> series;
};

}  // namespace

struct Registry::Private {
  template <typename Metric>
  Metric& Get(std::string_view name, std::string_view help, const Labels& labels);

  std::size_t max_series = 0;
  std::size_t series_count = 0;
  Counter refused;
  std::map<std::string, Family, std::less<>> families;
  // Returned for a name that another type of metric uses.
  Counter mismatched_counter;
  Gauge mismatched_gauge;
  Histogram mismatched_histogram;

 private:
  template <typename Metric>
  Metric& Mismatched() {
    if constexpr (std::is_same_v<Metric, Counter>) return this->mismatched_counter;
    if constexpr (std::is_same_v<Metric, Gauge>) return this->mismatched_gauge;
    if constexpr (std::is_same_v<Metric, Histogram>) return this->mismatched_histogram;
  }
};

template <typename Metric>
Metric& Registry::Private::Get(std::string_view name, std::string_view help, const Labels& labels) {
  const std::size_t type = Series(Metric()).index();
  auto [entry, is_new] = this->families.try_emplace(ValidName(name));
  Family& family = entry->second;
  if (is_new) {
    family.type = type;
    family.help = help;
  }
  MANGOROAD_SOFT_ASSERT(family.type == type, return this->Mismatched<Metric>());
  std::string key = LabelText(labels);
  auto found = family.series.find(key);
  if (found != family.series.end()) return std::get<Metric>(found->second);
  if (this->series_count >= this->max_series) {
    this->refused.Add();
    key = "overflow=\"true\"";
  } else {
    this->series_count += 1;
  }
  return std::get<Metric>(family.series.try_emplace(key, Metric()).first->second);
}

Registry::Registry(std::size_t max_series) : d(std::make_unique<Private>()) {
  this->d->max_series = max_series;
}
Registry::~Registry() = default;
Registry::Registry(Registry&&) noexcept = default;
Registry& Registry::operator=(Registry&&) noexcept = default;

Counter& Registry::GetCounter(std::string_view name, std::string_view help, const Labels& labels) {
  return this->d->Get<Counter>(name, help, labels);
}

Gauge& Registry::GetGauge(std::string_view name, std::string_view help, const Labels& labels) {
  return this->d->Get<Gauge>(name, help, labels);
}

Histogram& Registry::GetHistogram(std::string_view name, std::string_view help,
                                  const Labels& labels) {
  return this->d->Get<Histogram>(name, help, labels);
}

std::string Registry::PrometheusText() const {
  std::string text;
  const auto append_head = [&text](std::string_view name, std::string_view help,
                                   std::string_view type) {
    fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name,
                   Escaped(help, false), name, type);
  };
  for (const auto& [name, family] : this->d->families) {
    append_head(name, family.help, kTypeNames[family.type]);
    for (const auto& [labels, series] : family.series) {
      std::visit([&](const auto& metric) { AppendSeries(text, name, labels, metric); }, series);
    }
    const bool is_histogram =
        !family.series.empty() && std::holds_alternative<Histogram>(family.series.begin()->second);
    if (!is_histogram) continue;
    // A family of its own, since the format allows no quantiles in a histogram.
    const std::string quantile_name = name + "_quantile";
    append_head(quantile_name, "Quantiles of " + name + " since the start", "gauge");
    for (const auto& [labels, series] : family.series) {
      AppendQuantiles(text, quantile_name, labels, std::get<Histogram>(series));
    }
  }
  append_head(kRefusedSeries, "Lookups of series that the bound on series refused.", "counter");
  AppendSeries(text, kRefusedSeries, "", this->d->refused);
  return text;
}

std::size_t Registry::SeriesCount() const { return this->d->series_count; }

}  // namespace mangoroad::metrics
