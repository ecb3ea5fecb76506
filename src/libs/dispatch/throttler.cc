#include "dispatch/throttler.h"

#include <algorithm>
#include <cmath>

namespace mangoroad::dispatch {
namespace {

constexpr std::int32_t kFullPace = 100;
/// Lowest use that counts; tails are measured in whole milliseconds.
constexpr double kLowestUse = 0.05;

void UpdateQuiet(const InterferenceModel& model, const ThrottlerSettings& settings,
                 LatencyCriticalTask& task, const std::vector<BestEffortTask>& filling) {
  double added = 0;
  for (const BestEffortTask& neighbour : filling) {
    added += model.Interference(task.image, neighbour.image) * neighbour.used_share;
  }
  const double measured = std::log(std::max(task.slo_utilization, kLowestUse));
  const double sample = measured - added;
  task.is_overloaded_alone =
      measured - settings.interference_margin * added > std::log(settings.overload_threshold);
  task.baseline = task.baseline == LatencyCriticalTask::kUnknownBaseline || sample > task.baseline
                      ? sample
                      : task.baseline + settings.smoothing_factor * (sample - task.baseline);
}

/// True while all neighbours are to stand still for this task.
bool IsReliefDue(base::TimePoint now, const ThrottlerSettings& settings,
                 LatencyCriticalTask& task) {
  if (task.slo_utilization < settings.recovered_below) task.violating_since.reset();
  if (task.slo_utilization > 1.0 && !task.violating_since) task.violating_since = now;
  if (!task.violating_since) return false;
  const base::Duration round = settings.pause_delay + settings.pause_duration;
  return (now - *task.violating_since) % round >= settings.pause_delay;
}

}  // namespace

void PlanThrottling(base::TimePoint now, const InterferenceModel& model,
                    const ThrottlerSettings& settings, std::vector<LatencyCriticalTask>& serving,
                    std::vector<BestEffortTask>& filling) {
  bool needs_relief = false;
  std::vector<double> budgets;
  for (LatencyCriticalTask& task : serving) {
    UpdateQuiet(model, settings, task, filling);
    needs_relief = IsReliefDue(now, settings, task) || needs_relief;
    budgets.push_back(std::max(0.0, std::log(settings.target_slo_utilization) - task.baseline));
  }
  for (BestEffortTask& neighbour : filling) {
    double rate = needs_relief ? 0.0 : 1.0;
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const double harm =
          model.Interference(serving[i].image, neighbour.image) * neighbour.full_rate_share;
      if (harm < settings.negligible_interference || serving[i].is_overloaded_alone) continue;
      rate = std::min(rate, budgets[i] / harm);
    }
    neighbour.rate_percent = static_cast<std::int32_t>(rate * kFullPace) /
                             settings.rate_step_percent * settings.rate_step_percent;
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const double harm =
          model.Interference(serving[i].image, neighbour.image) * neighbour.full_rate_share;
      budgets[i] = std::max(0.0, budgets[i] - harm * neighbour.rate_percent / kFullPace);
    }
  }
}

}  // namespace mangoroad::dispatch
