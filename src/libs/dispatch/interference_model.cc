#include "dispatch/interference_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mangoroad::dispatch {
namespace {

/// Bounds of the logarithm of a measured use; single peaks beyond say no more than these.
constexpr double kLowestLog = -3.0;
constexpr double kHighestLog = 2.5;

}  // namespace

std::size_t InterferenceModel::AssignImageIndex(const std::string& filling) {
  // Index 0 is the quiet level.
  return this->image_index.emplace(filling, this->image_index.size() + 1).first->second;
}

void InterferenceModel::Extend(Regression& regression) const {
  const std::size_t size = this->image_index.size() + 1;
  while (regression.mean.size() < size) {
    const bool is_quiet = regression.mean.empty();
    regression.mean.push_back(is_quiet ? this->settings.baseline_mean
                                       : this->settings.interference_mean);
    for (std::vector<double>& row : regression.covariance) row.push_back(0);
    std::vector<double> row(regression.mean.size(), 0);
    row.back() = is_quiet ? this->settings.baseline_variance : this->settings.interference_variance;
    regression.covariance.push_back(std::move(row));
  }
}

void InterferenceModel::Observe(const std::string& serving,
                                const std::vector<BestEffortShare>& neighbours, double use) {
  if (!(use > 0)) return;
  const double measured = std::clamp(std::log(use), kLowestLog, kHighestLog);
  std::vector<std::pair<std::size_t, double>> inputs{{0, 1.0}};
  for (const BestEffortShare& neighbour : neighbours) {
    inputs.emplace_back(this->AssignImageIndex(neighbour.image), neighbour.share);
  }
  Regression& regression = this->regressions[serving];
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
  // Forgetting only where something was learned; the prior bounds the growth.
  for (const auto& [index, value] : inputs) {
    const double bound =
        index == 0 ? this->settings.baseline_variance : this->settings.interference_variance;
    double& own = regression.covariance[index][index];
    own = std::min(bound, own / this->settings.forgetting_factor);
  }
}

double InterferenceModel::Interference(const std::string& serving,
                                       const std::string& filling) const {
  return this->Harm(this->FindRegression(serving), this->FindImageIndex(filling));
}

const InterferenceModel::Regression* InterferenceModel::FindRegression(
    const std::string& serving) const {
  const auto row = this->regressions.find(serving);
  return row == this->regressions.end() ? nullptr : &row->second;
}

std::size_t InterferenceModel::FindImageIndex(const std::string& filling) const {
  const auto index = this->image_index.find(filling);
  return index == this->image_index.end() ? 0 : index->second;
}

double InterferenceModel::Harm(const Regression* row, std::size_t index) const {
  if (row == nullptr || index == 0 || index >= row->mean.size())
    return this->settings.interference_mean;
  return std::max(0.0, row->mean[index]);
}

}  // namespace mangoroad::dispatch
