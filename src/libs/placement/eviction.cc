#include "placement/eviction.h"

#include <algorithm>

namespace mangoroad::placement::internal {
namespace {

// Work lost since the checkpoint that precedes the stop, plus the time of a restart.
constexpr double kRestartSeconds = 5;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool IsNearlyFinished(const Task& task, double running_s, const SchedulerSettings& settings) {
  if (task.progress >= settings.nearly_finished_progress) return true;
  // Measured progress predicts the remaining time better than the declared run time.
  if (task.progress > 0.1) {
    return running_s * (1 - task.progress) / task.progress < settings.nearly_finished_remaining_s;
  }
  const double remaining_s = task.request.run_time_s - running_s;
  return remaining_s > 0 && remaining_s < settings.nearly_finished_remaining_s;
}

// Largest fraction of a missing resource that `reserved` frees, at most 1.
double FreedFraction(const Resources& reserved, const Resources& missing) {
  const auto fraction = [](std::int64_t freed, std::int64_t wanted) {
    return wanted <= 0 ? 0.0 : static_cast<double>(freed) / static_cast<double>(wanted);
  };
  return std::min(1.0, std::max({fraction(reserved.millicores, missing.millicores),
                                 fraction(reserved.memory_mib, missing.memory_mib),
                                 fraction(reserved.accelerators, missing.accelerators)}));
}

bool IsCovered(const Resources& missing) {
  return missing.millicores <= 0 && missing.memory_mib <= 0 && missing.accelerators <= 0;
}

}  // namespace

std::optional<double> EvictionCost(const Task& task, const RowSpec& row, base::TimePoint now,
                                   const SchedulerSettings& settings, bool for_urgent) {
  // Without a token the start isn't logged yet, so no action can be requested.
  if (task.request.urgent || task.stopping || task.token == 0) return std::nullopt;
  const double running_s = Seconds(now - task.started);
  if (IsNearlyFinished(task, running_s, settings)) return std::nullopt;
  const bool often_evicted = task.request.evictions >= settings.max_evictions;
  const bool just_started = now - task.started < settings.min_run_time;
  if (!for_urgent && (often_evicted || just_started)) return std::nullopt;
  const double cores = static_cast<double>(task.request.reservation.millicores) / 1000;
  const double lost_s = task.request.checkpointable ? kRestartSeconds : kRestartSeconds + running_s;
  const double evictions = 1 + static_cast<double>(task.request.evictions);
  const double penalty = often_evicted || just_started ? 10 : 1;
  return cores * lost_s * row.weight * evictions * evictions * penalty;
}

std::optional<VictimSet> ChooseVictims(std::vector<Victim> victims, const Resources& missing) {
  Resources remaining = missing;
  std::vector<Victim> chosen;
  while (!IsCovered(remaining)) {
    const auto best = std::ranges::max_element(victims, {}, [&](const Victim& victim) {
      return FreedFraction(victim.reserved, remaining) / (victim.cost + 1);
    });
    if (best == victims.end() || FreedFraction(best->reserved, remaining) <= 0) return std::nullopt;
    remaining -= best->reserved;
    chosen.push_back(*best);
    victims.erase(best);
  }
  // A victim that was chosen later may make an earlier one unnecessary.
  std::ranges::sort(chosen, std::greater<>(), &Victim::cost);
  VictimSet set;
  for (const Victim& victim : chosen) {
    Resources without = remaining;
    without += victim.reserved;
    if (IsCovered(without)) {
      remaining = without;
      continue;
    }
    set.jobs.push_back(victim.job);
    set.cost += victim.cost;
  }
  return set;
}

}  // namespace mangoroad::placement::internal
