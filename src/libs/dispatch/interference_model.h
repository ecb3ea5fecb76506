// How much tasks that fill lengthen the response times of tasks that serve beside them, learned by
// pairs of images.
//
// Load pattern: kinds of work differ by a factor of ten and more in how much they disturb each
// other, so a mix that is harmless on one target breaks the bound on the next one. The logarithm of
// the used part of the bound is taken as linear in the shares of the neighbours; the coefficients
// come from recursive least squares with the full covariance, since the neighbours on one target
// change together and a diagonal filter would blame the harmless ones.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mangoroad::dispatch {

/// A task that fills, with the part of the target's processors that it uses.
struct BestEffortShare {
  std::string image;
  double share = 0;
};

struct InterferenceModelSettings {
  /// Expected logarithm of the used part of the bound without neighbours, and its variance.
  double baseline_mean = -0.7;
  double baseline_variance = 1.0;
  /// Expected growth of that logarithm by a neighbour that uses the whole target. Above the mean of
  /// harmless pairs, so that an unknown pair is handled with care.
  double interference_mean = 2.5;
  double interference_variance = 9.0;
  /// Variance of one measurement: the serving task's own load swings by half within seconds.
  double measurement_variance = 0.6;
  /// Growth of the covariance per measurement, so that changes are followed.
  double forgetting_factor = 0.9995;
};

class InterferenceModel {
 public:
  explicit InterferenceModel(InterferenceModelSettings model_settings = {})
      : settings(model_settings) {}

  /// A serving task used `use` of its bound (1: at the bound) beside these neighbours. Values that
  /// aren't above 0 are ignored.
  void Observe(const std::string& serving, const std::vector<BestEffortShare>& neighbours,
               double use);
  /// Expected growth of the logarithm of the use by a neighbour of this image, for a share of 1.
  [[nodiscard]] double Interference(const std::string& serving, const std::string& filling) const;

  /// Coefficients of one serving image: the quiet level, then one for each known filling image.
  struct Regression {
    std::vector<double> mean;
    std::vector<std::vector<double>> covariance;
  };
  /// For many look-ups between two observations: the row of a serving image, or null, and the index
  /// of a filling image, or 0.
  [[nodiscard]] const Regression* FindRegression(const std::string& serving) const;
  [[nodiscard]] std::size_t FindImageIndex(const std::string& filling) const;
  [[nodiscard]] double Harm(const Regression* row, std::size_t index) const;

 private:
  std::size_t AssignImageIndex(const std::string& filling);
  void Extend(Regression& regression) const;

  InterferenceModelSettings settings;
  std::map<std::string, std::size_t> image_index;
  std::map<std::string, Regression> regressions;
};

}  // namespace mangoroad::dispatch
