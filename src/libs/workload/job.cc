#include "workload/job.h"

#include <algorithm>

namespace mangoroad::workload {

namespace {

constexpr std::size_t kMaxSteps = 1'000;
/// Each replica allocates the tasks of a job as soon as it is accepted, and a core VM has 256 MiB.
constexpr std::uint64_t kMaxTasksOfJob = 100'000;

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  this->cpu += other.cpu;
  this->memory_mb += other.memory_mb;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->cpu -= other.cpu;
  this->memory_mb -= other.memory_mb;
  this->accelerators -= other.accelerators;
  return *this;
}

std::string ToText(const TaskRef& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

bool IsFinal(JobState state) {
  return state == JobState::kComplete || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

std::vector<std::int64_t> RemainingCriticalPathsMs(const JobSpec& spec) {
  std::vector<std::int64_t> paths_ms(spec.steps.size(), 0);
  std::ranges::transform(spec.steps, paths_ms.begin(), &StepSpec::estimate_ms);
  // Each pass propagates path lengths one step backwards, until nothing changes. Without a cycle,
  // as many passes as there are steps are enough.
  bool changed = true;
  for (std::size_t pass = 0; changed && pass < spec.steps.size(); ++pass) {
    changed = false;
    for (std::size_t next = 0; next < spec.steps.size(); ++next) {
      for (const std::uint32_t before : spec.steps[next].after) {
        const std::int64_t length = spec.steps[before].estimate_ms + paths_ms[next];
        if (length <= paths_ms[before]) continue;
        paths_ms[before] = length;
        changed = true;
      }
    }
  }
  return paths_ms;
}

std::string FindSpecError(const JobSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) return "a job has 1 to 1000 steps";
  if (spec.occurrences > 0 && spec.interval_ms < 0) return "the interval is negative";
  std::vector<bool> visited(spec.steps.size(), false);
  std::uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    tasks += step.count;
    if (step.count == 0) return "a step has at least one task";
    if (tasks > kMaxTasksOfJob) return "a job has at most 100000 tasks in all steps";
    if (step.resources.cpu < 0 || step.resources.memory_mb < 0 || step.resources.accelerators < 0) {
      return "a step requests a negative amount of a resource";
    }
    const bool in_range = std::ranges::all_of(
        step.after, [&](std::uint32_t number) { return number < spec.steps.size(); });
    if (!in_range) return "a step depends on a step that doesn't exist";
  }
  // Each pass marks the steps whose predecessors are all marked; a pass that marks none has found a
  // cycle.
  for (std::size_t marked = 0; marked < spec.steps.size();) {
    const std::size_t before = marked;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
      const bool ready =
          !visited[i] && std::ranges::all_of(spec.steps[i].after, [&](std::uint32_t n) {
            return static_cast<bool>(visited[n]);
          });
      if (!ready) continue;
      visited[i] = true;
      ++marked;
    }
    if (marked == before) return "the steps wait for each other in a cycle";
  }
  return {};
}

}  // namespace mangoroad::workload
