// How much kinds of work slow each other, learned from measurements.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

namespace mangoroad::interference {

/// Number of a kind of work (a row) in this model; grows from 0.
using KindId = std::uint32_t;

/// Work of one kind beside a task.
struct Neighbour {
  KindId kind = 0;
  /// Reserved part of the target's processors, 0 to 1.
  double share = 0;
};

/// A value with its standard deviation.
struct Estimate {
  double value = 0;
  double deviation = 0;
};

struct SlowdownSettings {
  /// Slowdown by an unknown neighbour that takes the whole target, less 1, and its deviation. The
  /// mean is above 0 so that an unknown pair isn't taken for a harmless one.
  double prior_mean = 0.6;
  double prior_deviation = 0.8;
  /// Deviation of one measurement of a slowdown, until it is estimated from the data.
  double measurement_deviation = 0.1;
  /// Growth of the variance of a coefficient per hour; what isn't measured is forgotten.
  double variance_growth_per_hour = 0.05;
  /// Residuals beyond this many deviations count as this many.
  double max_normalized_residual = 2.5;
  /// Largest change of a coefficient by one measurement.
  double max_step = 0.5;
  /// Mean normalized residual above which the model assumes that the load has shifted.
  double shift_threshold = 1.2;
};

/// Linear model: slowdown of kind a = 1 + sum over neighbours b of w(a, b, load) * share of b. w is
/// piecewise linear in the load of the target. Each coefficient has a mean and a variance and is
/// updated as in a Kalman filter with diagonal covariance, with clipped residuals.
class SlowdownModel {
 public:
  explicit SlowdownModel(SlowdownSettings settings = {});
  ~SlowdownModel();
  SlowdownModel(SlowdownModel&&) noexcept;
  SlowdownModel& operator=(SlowdownModel&&) noexcept;
  SlowdownModel(const SlowdownModel&) = delete;
  SlowdownModel& operator=(const SlowdownModel&) = delete;

  /// Number of the kind called `name`; adds it when new.
  KindId KindOf(std::string_view name);

  /// Expected slowdown (1 is none) of `kind` beside `neighbours` on a target with `load`, the
  /// reserved part of its processors, 0 to 1.
  Estimate Predict(base::TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                   double load) const;

  /// Learns from a measured slowdown. Values that aren't finite or below 0.1 are ignored.
  void Observe(base::TimePoint now, KindId kind, std::span<const Neighbour> neighbours, double load,
               double slowdown);

  /// Number of times that a shift of the load was assumed.
  std::uint64_t ShiftCount() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::interference
