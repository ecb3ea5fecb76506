// Which tasks to evict when room is needed.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "placement/fleet.h"
#include "placement/types.h"

namespace mangoroad::placement::internal {

/// Cost of evicting a task in weighted core-seconds: lost work, growing with the row's weight and
/// the evictions that the job has had. Nothing when the task is to be left alone: urgent work, work
/// that is nearly finished, was just started or was evicted too often. With `for_urgent`, the last
/// two don't protect a task.
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

/// A cheap set of victims that frees at least `missing`; nothing when all of them don't.
std::optional<VictimSet> ChooseVictims(std::vector<Victim> victims, const Resources& missing);

}  // namespace mangoroad::placement::internal
