#include "membership/gap_estimator.h"

#include <algorithm>
#include <cmath>

namespace mangoroad::membership {
namespace {

constexpr double kMeanGain = 1.0 / 16.0;
constexpr double kDeviationGain = 1.0 / 8.0;
constexpr double kDeviations = 8.0;
constexpr double kLowestIntervals = 3.0;
// A peer that is silent for longer is treated as gone whatever the past of its link.
constexpr double kHighestIntervals = 15.0;

}  // namespace

GapEstimator::GapEstimator(base::Duration interval)
    : interval_us(static_cast<double>(interval.count())),
      mean_us(interval_us),
      deviation_us(interval_us / 2.0) {}

void GapEstimator::OnGap(base::Duration gap) {
  // One long outage must not make the estimate useless for the next one.
  const double bounded =
      std::min(static_cast<double>(gap.count()), kHighestIntervals * this->interval_us);
  const double error = bounded - this->mean_us;
  this->mean_us += kMeanGain * error;
  this->deviation_us += kDeviationGain * (std::abs(error) - this->deviation_us);
}

base::Duration GapEstimator::SuspicionTime() const {
  const double wanted = this->mean_us + kDeviations * this->deviation_us;
  return base::Duration(std::llround(std::clamp(wanted, kLowestIntervals * this->interval_us,
                                                kHighestIntervals * this->interval_us)));
}

}  // namespace mangoroad::membership
