// Selects the tasks to evict when capacity is needed.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "placement/fleet.h"
#include "placement/types.h"

namespace mangoroad::placement::internal {

/// Cost of evicting a task in weighted core-seconds: the lost work, which grows with the row's
/// weight and the number of earlier evictions. Nothing when the task must not be evicted: it is
/// urgent, nearly finished, just started or evicted too often. With `for_urgent`, the last two only
/// raise the cost.
std::optional<double> EvictionCost(const Task& task, const RowSpec& row, base::TimePoint now,
                                   const SchedulerSettings& settings, bool for_urgent);

/// A task that may be evicted.
struct Victim {
  JobId job = 0;
  Resources reserved{};
  double cost = 0;
};

struct VictimSet {
  std::vector<JobId> jobs{};
  double cost = 0;
};

/// A set of victims that frees at least `missing` at a low cost (greedy); nothing when all victims
/// together don't free enough.
std::optional<VictimSet> ChooseVictims(std::vector<Victim> victims, const Resources& missing);

}  // namespace mangoroad::placement::internal
