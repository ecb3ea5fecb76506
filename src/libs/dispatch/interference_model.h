// Estimates how much best-effort tasks lengthen the response times of latency-critical tasks on the
// same target, for each pair of images.
//
// Interference differs between kinds of work by a factor of ten and more, so a mix that is harmless
// on one target violates the SLO on the next one. The logarithm of the SLO utilization is modelled
// as linear in the processor shares of the neighbours. The coefficients come from recursive least
// squares with the full covariance: the neighbours on one target change together, and a diagonal
// filter would attribute interference to harmless ones.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangoroad::dispatch {

/// A best-effort task and the fraction of the target's processors that it uses.
struct BestEffortShare {
  std::string_view image;
  double share = 0;
};

struct InterferenceModelSettings {
  /// Prior of the logarithm of the SLO utilization without neighbours.
  double baseline_mean = -0.7;
  double baseline_variance = 1.0;
  /// Prior of the increase of that logarithm by a neighbour that uses the whole target. Above the
  /// mean of harmless pairs, so that unknown pairs are placed conservatively.
  double interference_mean = 2.5;
  double interference_variance = 9.0;
  /// Variance of one measurement: a latency-critical task's own load varies by half within seconds.
  double measurement_variance = 0.6;
  /// The variance is divided by this after each measurement, so that the model follows changes.
  double forgetting_factor = 0.9995;
};

class InterferenceModel {
 public:
  explicit InterferenceModel(InterferenceModelSettings model_settings = {})
      : settings(model_settings) {}

  /// The index of the coefficient of each neighbour and its share. Index 0 is the baseline.
  using Inputs = std::vector<std::pair<std::size_t, double>>;
  /// The neighbours on one target, looked up once for all latency-critical tasks there.
  [[nodiscard]] Inputs InputsOf(const std::vector<BestEffortShare>& neighbours);
  /// Records the SLO utilization (1: exactly at the SLO) of a latency-critical task beside these
  /// neighbours. Values that aren't above 0 are ignored.
  void Observe(std::string_view latency_critical, const Inputs& inputs, double slo_utilization);
  /// Expected increase of the logarithm of the SLO utilization by a neighbour with a share of 1.
  [[nodiscard]] double Interference(std::string_view latency_critical,
                                    std::string_view best_effort) const;

  /// Coefficients of one latency-critical image: the baseline, then one for each best-effort image.
  struct Regression {
    std::vector<double> mean;
    std::vector<std::vector<double>> covariance;
  };
  /// For many look-ups between two observations: the regression of a latency-critical image, or
  /// null, and the index of a best-effort image, or 0.
  [[nodiscard]] const Regression* FindRegression(std::string_view latency_critical) const;
  [[nodiscard]] std::size_t FindImageIndex(std::string_view best_effort) const;
  [[nodiscard]] double InterferenceAt(const Regression* regression, std::size_t index) const;

 private:
  std::size_t AssignImageIndex(std::string_view best_effort);
  void Extend(Regression& regression) const;

  InterferenceModelSettings settings;
  std::map<std::string, std::size_t, std::less<>> image_index;
  std::map<std::string, Regression, std::less<>> regressions;
};

}  // namespace mangoroad::dispatch
