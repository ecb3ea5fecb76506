#include "dispatch/throttler.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mangoroad::dispatch {
namespace {

constexpr std::int32_t kFullRatePercent = 100;
/// Lower limit of the SLO utilization, since tail latencies are measured in whole milliseconds.
constexpr double kMinSloUtilization = 0.05;

/// The interference between all pairs of tasks on a target; each image is looked up once.
class PairInterference {
 public:
  PairInterference(const InterferenceModel& interference_model,
                   const std::vector<LatencyCriticalTask>& critical,
                   const std::vector<BestEffortTask>& best_effort)
      : model(interference_model) {
    std::ranges::transform(critical, std::back_inserter(this->regressions), [&](const auto& task) {
      return this->model.FindRegression(task.image);
    });
    std::ranges::transform(best_effort, std::back_inserter(this->images), [&](const auto& task) {
      return this->model.FindImageIndex(task.image);
    });
  }
  [[nodiscard]] double Of(std::size_t critical, std::size_t best_effort) const {
    return this->model.InterferenceAt(this->regressions[critical], this->images[best_effort]);
  }

 private:
  const InterferenceModel& model;
  std::vector<const InterferenceModel::Regression*> regressions;
  std::vector<std::size_t> images;
};

/// `interference` is that of all neighbours together.
void UpdateBaseline(const ThrottlerSettings& settings, double interference,
                    LatencyCriticalTask& task) {
  const double measured = std::log(std::max(task.slo_utilization, kMinSloUtilization));
  const double sample = measured - interference;
  task.is_overloaded_alone = measured - settings.interference_margin * interference >
                             std::log(settings.overload_threshold);
  task.baseline = task.baseline == LatencyCriticalTask::kUnknownBaseline || sample > task.baseline
                      ? sample
                      : task.baseline + settings.smoothing_factor * (sample - task.baseline);
}

/// True while all neighbours are to be paused for this task.
bool IsPauseDue(base::TimePoint now, const ThrottlerSettings& settings, LatencyCriticalTask& task) {
  if (task.slo_utilization < settings.recovered_below) task.violating_since.reset();
  if (task.slo_utilization > 1.0 && !task.violating_since) task.violating_since = now;
  if (!task.violating_since) return false;
  const base::Duration period = settings.pause_delay + settings.pause_duration;
  return (now - *task.violating_since) % period >= settings.pause_delay;
}

}  // namespace

void PlanThrottling(base::TimePoint now, const InterferenceModel& model,
                    const ThrottlerSettings& settings, std::vector<LatencyCriticalTask>& critical,
                    std::vector<BestEffortTask>& best_effort) {
  const PairInterference interference(model, critical, best_effort);
  bool is_paused = false;
  std::vector<double> budgets;
  for (std::size_t i = 0; i < critical.size(); ++i) {
    LatencyCriticalTask& task = critical[i];
    double sum = 0;
    for (std::size_t j = 0; j < best_effort.size(); ++j) {
      sum += interference.Of(i, j) * best_effort[j].used_share;
    }
    UpdateBaseline(settings, sum, task);
    is_paused = IsPauseDue(now, settings, task) || is_paused;
    budgets.push_back(std::max(0.0, std::log(settings.target_slo_utilization) - task.baseline));
  }
  for (std::size_t j = 0; j < best_effort.size(); ++j) {
    BestEffortTask& neighbour = best_effort[j];
    double rate = is_paused ? 0.0 : 1.0;
    for (std::size_t i = 0; i < critical.size(); ++i) {
      const double added = interference.Of(i, j) * neighbour.full_rate_share;
      if (added < settings.negligible_interference || critical[i].is_overloaded_alone) continue;
      rate = std::min(rate, budgets[i] / added);
    }
    neighbour.rate_percent = static_cast<std::int32_t>(rate * kFullRatePercent) /
                             settings.rate_step_percent * settings.rate_step_percent;
    for (std::size_t i = 0; i < critical.size(); ++i) {
      const double added = interference.Of(i, j) * neighbour.full_rate_share;
      budgets[i] = std::max(0.0, budgets[i] - added * neighbour.rate_percent / kFullRatePercent);
    }
  }
}

}  // namespace mangoroad::dispatch
