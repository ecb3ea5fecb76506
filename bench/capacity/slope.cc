#include "slope.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <limits>
#include <numeric>

namespace mangoroad::bench {
namespace {

/// The smallest of several rounds is the least disturbed by other processes.
constexpr int kRounds = 3;

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}  // namespace

SlopeResult Fit(const SlopeSpec& spec) {
  SlopeResult result;
  std::ranges::transform(spec.sizes, std::back_inserter(result.values), spec.measure);
  const double mean_size = Mean(spec.sizes);
  const double mean_value = Mean(result.values);
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < spec.sizes.size(); ++i) {
    covariance += (spec.sizes[i] - mean_size) * (result.values[i] - mean_value);
    variance += (spec.sizes[i] - mean_size) * (spec.sizes[i] - mean_size);
  }
  result.slope = covariance / variance;
  result.intercept = mean_value - result.slope * mean_size;
  double residual = 0;
  for (std::size_t i = 0; i < spec.sizes.size(); ++i) {
    const double fitted = result.intercept + result.slope * spec.sizes[i];
    residual += (result.values[i] - fitted) * (result.values[i] - fitted);
  }
  const double freedom = std::max(1.0, static_cast<double>(spec.sizes.size()) - 2.0);
  const double error = std::sqrt(residual / freedom / variance);
  result.relative_error =
      result.slope == 0 ? std::numeric_limits<double>::infinity() : std::abs(error / result.slope);
  result.at_target = result.intercept + result.slope * spec.target_size;
  return result;
}

std::int64_t HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double MicrosecondsOf(const std::function<void()>& work) {
  double smallest = std::numeric_limits<double>::infinity();
  for (int round = 0; round < kRounds; ++round) {
    const double before = ProcessorSeconds();
    work();
    smallest = std::min(smallest, ProcessorSeconds() - before);
  }
  return smallest * 1e6;
}

}  // namespace mangoroad::bench
