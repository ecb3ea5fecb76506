#include "interference/usage_model.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangoroad::interference {
namespace {

namespace histogram = boost::histogram;

constexpr double kLowestRatio = 0.01;
constexpr double kHighestRatio = 100;
constexpr unsigned kBins = 120;
constexpr std::size_t kUsageKinds = 3;
// Half-width of a 95% confidence interval in standard errors.
constexpr double kConfidenceFactor = 1.96;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Ratios = histogram::histogram<std::tuple<Axis>, histogram::dense_storage<double>>;

Ratios MakeRatios() {
  return histogram::make_histogram_with(histogram::dense_storage<double>(),
                                        Axis(kBins, kLowestRatio, kHighestRatio));
}

struct Distribution {
  Ratios ratios = MakeRatios();
  double count = 0;
  int since_decay = 0;
};

// Quantile `q` of the distribution: the upper edge of its bin.
double QuantileOf(const Distribution& distribution, double q) {
  const double wanted_weight = q * distribution.count;
  double cumulative_weight = 0;
  double value = kHighestRatio;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    cumulative_weight += distribution.ratios.at(bin);
    if (cumulative_weight >= wanted_weight) {
      value = distribution.ratios.axis(0).bin(bin).upper();
      break;
    }
  }
  return value;
}

}  // namespace

struct UsageModel::Private {
  // Measurements between decays. Each decay scales every bin, so it isn't done every time.
  static constexpr int kDecayInterval = 64;

  UsageSettings settings;
  std::unordered_map<std::string, std::array<Distribution, kUsageKinds>> rows;

  void Decay(Distribution& distribution) const {
    if (++distribution.since_decay < kDecayInterval) return;
    distribution.since_decay = 0;
    const double factor = std::exp2(-kDecayInterval / this->settings.half_life);
    distribution.ratios *= factor;
    distribution.count *= factor;
  }

  std::int64_t AmountToReserve(const UsageQuantile& quantile, std::int64_t declared) const {
    if (declared <= 0 || quantile.count < this->settings.min_count) return declared;
    const double ratio =
        std::clamp(quantile.high, this->settings.min_ratio, this->settings.max_ratio);
    return std::max<std::int64_t>(
        1, static_cast<std::int64_t>(std::ceil(ratio * static_cast<double>(declared))));
  }
};

UsageModel::UsageModel(UsageSettings settings) : d(std::make_unique<Private>()) {
  this->d->settings = settings;
}
UsageModel::~UsageModel() = default;
UsageModel::UsageModel(UsageModel&&) noexcept = default;
UsageModel& UsageModel::operator=(UsageModel&&) noexcept = default;

void UsageModel::Observe(std::string_view row, UsageKind kind, double used, double declared) {
  if (!std::isfinite(used) || !std::isfinite(declared) || used <= 0 || declared <= 0) return;
  Distribution& distribution = this->d->rows[std::string(row)].at(static_cast<std::size_t>(kind));
  const double ratio = std::clamp(used / declared, kLowestRatio, kHighestRatio * 0.999);
  distribution.ratios(ratio);
  distribution.count += 1;
  this->d->Decay(distribution);
}

UsageQuantile UsageModel::Quantile(std::string_view row, UsageKind kind, double q) const {
  const auto known = this->d->rows.find(std::string(row));
  if (known == this->d->rows.end()) return {};
  const Distribution& distribution = known->second.at(static_cast<std::size_t>(kind));
  if (distribution.count <= 0) return {};
  // Standard error of the rank of an order statistic.
  const double width = kConfidenceFactor * std::sqrt(q * (1 - q) / distribution.count);
  return {QuantileOf(distribution, q), QuantileOf(distribution, std::max(0.0, q - width)),
          QuantileOf(distribution, std::min(1.0, q + width)), distribution.count};
}

jobs::Resources UsageModel::ReserveFor(std::string_view row,
                                       const jobs::Resources& declared) const {
  const UsageSettings& settings = this->d->settings;
  jobs::Resources reserve = declared;
  reserve.millicores = this->d->AmountToReserve(
      this->Quantile(row, UsageKind::kProcessors, settings.processors_quantile),
      declared.millicores);
  reserve.memory_mib = this->d->AmountToReserve(
      this->Quantile(row, UsageKind::kMemory, settings.memory_quantile), declared.memory_mib);
  return reserve;
}

jobs::Resources UsageModel::ReserveForService(std::string_view row, const jobs::Resources& declared,
                                              const jobs::Resources& floor) const {
  jobs::Resources reserve = this->ReserveFor(row, declared);
  reserve.millicores = std::max(reserve.millicores, floor.millicores);
  reserve.memory_mib = std::max(reserve.memory_mib, floor.memory_mib);
  reserve.accelerators = std::max(reserve.accelerators, floor.accelerators);
  return reserve;
}

UsageQuantile UsageModel::RunTimeFor(std::string_view row, std::int64_t declared_s) const {
  const auto declared = static_cast<double>(declared_s);
  UsageQuantile quantile = this->Quantile(row, UsageKind::kRunTime, 0.5);
  if (quantile.count < this->d->settings.min_count) return {declared, declared, declared, 0};
  return {quantile.value * declared, quantile.low * declared, quantile.high * declared,
          quantile.count};
}

}  // namespace mangoroad::interference
