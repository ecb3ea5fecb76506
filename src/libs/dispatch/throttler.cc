#include "dispatch/throttler.h"

#include <algorithm>
#include <cmath>

namespace mangoroad::dispatch {
namespace {

constexpr std::int32_t kFullRatePercent = 100;
/// Lower limit of the SLO utilization, since tail latencies are measured in whole milliseconds.
constexpr double kMinSloUtilization = 0.05;

void UpdateBaseline(const InterferenceModel& model, const ThrottlerSettings& settings,
                    LatencyCriticalTask& task, const std::vector<BestEffortTask>& best_effort) {
  double interference = 0;
  for (const BestEffortTask& neighbour : best_effort) {
    interference += model.Interference(task.image, neighbour.image) * neighbour.used_share;
  }
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
  bool is_paused = false;
  std::vector<double> budgets;
  for (LatencyCriticalTask& task : critical) {
    UpdateBaseline(model, settings, task, best_effort);
    is_paused = IsPauseDue(now, settings, task) || is_paused;
    budgets.push_back(std::max(0.0, std::log(settings.target_slo_utilization) - task.baseline));
  }
  for (BestEffortTask& neighbour : best_effort) {
    double rate = is_paused ? 0.0 : 1.0;
    for (std::size_t i = 0; i < critical.size(); ++i) {
      const double added =
          model.Interference(critical[i].image, neighbour.image) * neighbour.full_rate_share;
      if (added < settings.negligible_interference || critical[i].is_overloaded_alone) continue;
      rate = std::min(rate, budgets[i] / added);
    }
    neighbour.rate_percent = static_cast<std::int32_t>(rate * kFullRatePercent) /
                             settings.rate_step_percent * settings.rate_step_percent;
    for (std::size_t i = 0; i < critical.size(); ++i) {
      const double added =
          model.Interference(critical[i].image, neighbour.image) * neighbour.full_rate_share;
      budgets[i] = std::max(0.0, budgets[i] - added * neighbour.rate_percent / kFullRatePercent);
    }
  }
}

}  // namespace mangoroad::dispatch
