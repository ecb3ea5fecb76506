// Slowdown of each kind of work by each other kind, learned from measurements.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

namespace mangoroad::interference {

/// Number of a kind of work (a row) in this model, counted from 0.
using KindId = std::uint32_t;

/// Work of one kind on the same target.
struct Neighbour {
  KindId kind = 0;
  /// Reserved fraction of the target's processors, 0 to 1.
  double share = 0;
};

/// An estimated value with its standard deviation.
struct Estimate {
  double value = 0;
  double deviation = 0;
};

struct SlowdownSettings {
  /// Prior of a coefficient: the slowdown, less 1, by a neighbour that uses the whole target, and
  /// its standard deviation. The mean is above 0 so that an unknown pair isn't assumed to be free
  /// of interference.
  double prior_mean = 0.6;
  double prior_deviation = 0.8;
  /// Initial standard deviation of one measured slowdown; then it is estimated from the residuals.
  double measurement_deviation = 0.1;
  /// Process noise: growth of a coefficient's variance per hour, so that old measurements lose
  /// weight.
  double variance_growth_per_hour = 0.05;
  /// Residuals are clipped to this many standard deviations.
  double max_normalized_residual = 2.5;
  /// Largest change of a coefficient by one measurement.
  double max_step = 0.5;
  /// Absolute mean of the normalized residuals above which the model assumes that the workload has
  /// changed.
  double shift_threshold = 1.2;
};

/// Linear model: slowdown of kind a = 1 + sum over neighbours b of w(a, b, load) * share of b. w is
/// piecewise linear in the load of the target. Each coefficient has a mean and a variance and is
/// updated by a Kalman filter with diagonal covariance and clipped residuals.
class SlowdownModel {
 public:
  explicit SlowdownModel(SlowdownSettings settings = {});
  ~SlowdownModel();
  SlowdownModel(SlowdownModel&&) noexcept;
  SlowdownModel& operator=(SlowdownModel&&) noexcept;
  SlowdownModel(const SlowdownModel&) = delete;
  SlowdownModel& operator=(const SlowdownModel&) = delete;

  /// Number of the kind with this name; adds it when new.
  KindId KindOf(std::string_view name);

  /// Expected slowdown (1 is none) of `kind` beside `neighbours`. `load` is the reserved fraction
  /// of the target's processors, 0 to 1.
  Estimate Predict(base::TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                   double load) const;

  /// Learns from a measured slowdown. Values that aren't finite or below 0.1 are ignored.
  void Observe(base::TimePoint now, KindId kind, std::span<const Neighbour> neighbours, double load,
               double slowdown);

  /// How often a change of the workload was detected.
  std::uint64_t ShiftCount() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::interference
