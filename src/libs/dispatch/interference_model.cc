#include "dispatch/interference_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mangoroad::dispatch {
namespace {

/// Limits of the logarithm of a measured SLO utilization, so that single outliers don't dominate.
constexpr double kMinLogUtilization = -3.0;
constexpr double kMaxLogUtilization = 2.5;

}  // namespace

std::size_t InterferenceModel::AssignImageIndex(std::string_view best_effort) {
  const auto known = this->image_index.find(best_effort);
  if (known != this->image_index.end()) return known->second;
  // Index 0 is the baseline.
  return this->image_index.emplace(best_effort, this->image_index.size() + 1).first->second;
}

void InterferenceModel::Extend(Regression& regression) const {
  const std::size_t size = this->image_index.size() + 1;
  while (regression.mean.size() < size) {
    const bool is_baseline = regression.mean.empty();
    regression.mean.push_back(is_baseline ? this->settings.baseline_mean
                                          : this->settings.interference_mean);
    for (std::vector<double>& row : regression.covariance) row.push_back(0);
    std::vector<double> row(regression.mean.size(), 0);
    row.back() =
        is_baseline ? this->settings.baseline_variance : this->settings.interference_variance;
    regression.covariance.push_back(std::move(row));
  }
}

InterferenceModel::Inputs InterferenceModel::InputsOf(
    const std::vector<BestEffortShare>& neighbours) {
  Inputs inputs{{0, 1.0}};
  inputs.reserve(neighbours.size() + 1);
  for (const BestEffortShare& neighbour : neighbours) {
    inputs.emplace_back(this->AssignImageIndex(neighbour.image), neighbour.share);
  }
  return inputs;
}

void InterferenceModel::Observe(std::string_view latency_critical, const Inputs& inputs,
                                double slo_utilization) {
  if (!(slo_utilization > 0)) return;
  const double measured =
      std::clamp(std::log(slo_utilization), kMinLogUtilization, kMaxLogUtilization);
  auto known = this->regressions.find(latency_critical);
  if (known == this->regressions.end()) {
    known = this->regressions.emplace(latency_critical, Regression()).first;
  }
  Regression& regression = known->second;
  this->Extend(regression);
  const std::size_t size = regression.mean.size();
  std::vector<double> gain(size, 0);
  double expected = 0;
  for (const auto& [index, value] : inputs) {
    expected += regression.mean[index] * value;
    for (std::size_t i = 0; i < size; ++i) gain[i] += regression.covariance[i][index] * value;
  }
  double variance = this->settings.measurement_variance;
  for (const auto& [index, value] : inputs) variance += gain[index] * value;
  const double residual = measured - expected;
  for (std::size_t i = 0; i < size; ++i) regression.mean[i] += gain[i] / variance * residual;
  for (std::size_t i = 0; i < size; ++i) {
    for (std::size_t j = 0; j < size; ++j) {
      regression.covariance[i][j] -= gain[i] * gain[j] / variance;
    }
  }
  // Only coefficients that took part in this measurement are forgotten; the prior variance is the
  // upper limit.
  for (const auto& [index, value] : inputs) {
    const double prior_variance =
        index == 0 ? this->settings.baseline_variance : this->settings.interference_variance;
    double& input_variance = regression.covariance[index][index];
    input_variance = std::min(prior_variance, input_variance / this->settings.forgetting_factor);
  }
}

double InterferenceModel::Interference(std::string_view latency_critical,
                                       std::string_view best_effort) const {
  return this->InterferenceAt(this->FindRegression(latency_critical),
                              this->FindImageIndex(best_effort));
}

const InterferenceModel::Regression* InterferenceModel::FindRegression(
    std::string_view latency_critical) const {
  const auto found = this->regressions.find(latency_critical);
  return found == this->regressions.end() ? nullptr : &found->second;
}

std::size_t InterferenceModel::FindImageIndex(std::string_view best_effort) const {
  const auto index = this->image_index.find(best_effort);
  return index == this->image_index.end() ? 0 : index->second;
}

double InterferenceModel::InterferenceAt(const Regression* fit, std::size_t i) const {
  if (fit == nullptr || i == 0 || i >= fit->mean.size()) {
    return this->settings.interference_mean;
  }
  return std::max(0.0, fit->mean[i]);
}

}  // namespace mangoroad::dispatch
