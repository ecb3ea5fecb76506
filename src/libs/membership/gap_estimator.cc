#include "membership/gap_estimator.h"

#include <algorithm>
#include <cmath>

namespace mangoroad::membership {
namespace {

constexpr double kMeanGain = 1.0 / 16.0;
constexpr double kDeviationGain = 1.0 / 8.0;
constexpr double kDeviations = 8.0;
constexpr double kMinIntervals = 3.0;
// A peer without messages for longer is suspected regardless of earlier gaps on its link.
constexpr double kMaxIntervals = 15.0;

}  // namespace

GapEstimator::GapEstimator(base::Duration interval)
    : interval_us(static_cast<double>(interval.count())),
      mean_us(interval_us),
      deviation_us(interval_us / 2.0) {}

void GapEstimator::OnGap(base::Duration gap) {
  // Bounds the effect of one long outage, so that the next one is still detected in time.
  const double bounded =
      std::min(static_cast<double>(gap.count()), kMaxIntervals * this->interval_us);
  const double error = bounded - this->mean_us;
  this->mean_us += kMeanGain * error;
  this->deviation_us += kDeviationGain * (std::abs(error) - this->deviation_us);
}

base::Duration GapEstimator::SuspicionTimeout() const {
  const double timeout_us = this->mean_us + kDeviations * this->deviation_us;
  return base::Duration(std::llround(std::clamp(timeout_us, kMinIntervals * this->interval_us,
                                                kMaxIntervals * this->interval_us)));
}

}  // namespace mangoroad::membership
