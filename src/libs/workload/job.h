// Jobs, their steps and tasks, and the states of each.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/name_table.h"

namespace mangoroad::workload {

/// Chosen by the caller; 16 hexadecimal digits.
using JobId = std::string;

/// Distinguishes successive processes of a target under one name: the process's start time in Unix
/// milliseconds.
using IncarnationNumber = std::int64_t;

/// Amounts requested by one task, or the capacity of a target.
struct Resources {
  std::int64_t cpu = 0;        ///< thousandths of a core
  std::int64_t memory_mb = 0;  ///< MiB
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;
  [[nodiscard]] bool Covers(const Resources& wanted) const {
    return this->cpu >= wanted.cpu && this->memory_mb >= wanted.memory_mb &&
           this->accelerators >= wanted.accelerators;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

struct StepSpec {
  std::uint32_t count = 1;
  Resources resources;
  /// The caller's estimate of one task's duration; often inaccurate.
  std::int64_t estimate_ms = 0;
  /// Indexes of the steps whose tasks must all be done before this step starts.
  std::vector<std::uint32_t> after;
  std::string required_label;
  /// Rack that holds the data; tasks are slower on other racks.
  std::string data_rack;
  std::string image;
  std::uint32_t max_per_target = 0;  ///< 0: no limit
  /// Upper bound on the tail response time of a long-running task that serves users.
  std::int64_t latency_slo_ms = 0;
  /// Tasks of a long-running step that the scheduler's own actions may interrupt at the same time.
  std::uint32_t max_unavailable = 0;
  bool checkpoints = false;
  bool gang = false;
  bool same_rack = false;
  bool allows_copies = false;
  bool long_running = false;
  /// Uses only processor time that the other tasks on the target leave idle.
  bool best_effort = false;

  bool operator==(const StepSpec&) const = default;
};

struct JobSpec {
  std::string payload;  ///< opaque; passed to each task unchanged
  std::vector<StepSpec> steps;
  /// 0: runs once, immediately. Otherwise the number of occurrences; occurrence K (from 0) is due
  /// at first_ms + K x interval_ms, time of day in Unix milliseconds.
  std::uint32_t occurrences = 0;
  std::int64_t first_ms = 0;
  std::int64_t interval_ms = 0;

  bool operator==(const JobSpec&) const = default;
};

/// For each step, the estimated length of the critical path from its start to the end of the job,
/// in ms. The steps must be valid (see FindSpecError).
std::vector<std::int64_t> RemainingCriticalPathsMs(const JobSpec& spec);

/// Returns why the job can't run, for example a dependency cycle, or an empty string.
std::string FindSpecError(const JobSpec& spec);

struct StepRef {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  auto operator<=>(const StepRef&) const = default;
};

struct TaskRef {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
  [[nodiscard]] StepRef Step() const { return {this->job, this->occurrence, this->step}; }
};

/// Formats `job.occurrence.step.index`, as used in logs.
std::string ToText(const TaskRef& task);

/// One process of a target, from its start to its end.
struct TargetIncarnation {
  std::string id;
  IncarnationNumber number = 0;
  auto operator<=>(const TargetIncarnation&) const = default;
};

enum class TaskPhase : std::uint8_t { kWaiting, kRunning, kDone };

/// How a run ended, as reported by its target or inferred by the leader.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,           ///< through an error of the task or the target
  kStopped,          ///< at the scheduler's request
  kLeaseExpired,     ///< its lease wasn't renewed in time
  kGangMemberEnded,  ///< another member of its gang ended
  kGangIncomplete,   ///< the other members of its gang didn't start in time
  kLost,             ///< its target's incarnation or its lease has certainly ended
  kRefused,          ///< the target didn't start it
};
inline constexpr base::NameTable<RunEnd, 8> kRunEndNames{{
    {RunEnd::kDone, "done"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLeaseExpired, "lapsed"},
    {RunEnd::kGangMemberEnded, "broken"},
    {RunEnd::kGangIncomplete, "alone"},
    {RunEnd::kLost, "lost"},
    {RunEnd::kRefused, "refused"},
}};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t run = 0;  ///< number of the latest run; 0: none
  std::int32_t failures = 0;
  TargetIncarnation target;  ///< of the latest run; kept after its end
  std::string checkpoint;    ///< opaque; empty: none
};

struct Step {
  std::vector<Task> tasks;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t done = 0;
};

enum class JobState : std::uint8_t { kQueued, kRunning, kComplete, kFailed, kCancelled };
inline constexpr base::NameTable<JobState, 5> kJobStateNames{{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kComplete, "complete"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

/// True for states that a job never leaves.
bool IsFinal(JobState state);

struct Job {
  JobId id;
  std::string queue;
  std::string service;
  std::int32_t priority = 0;
  std::int32_t attempts = 1;
  double stretch = 1.0;
  std::int64_t objective_ms = 0;
  JobSpec spec;
  /// Per step, see RemainingCriticalPathsMs.
  std::vector<std::int64_t> remaining_ms;
  JobState state = JobState::kQueued;
  /// Time of day in Unix ms at which the leader accepted it. Only orders the queue: clocks differ
  /// between leaders, so that correctness must not depend on it.
  std::int64_t accepted_ms = 0;
  std::int64_t finished_ms = 0;
  /// Occurrences that are due and not done, by number. Non-periodic jobs have only occurrence 0.
  std::map<std::uint32_t, std::vector<Step>> open;
  std::uint32_t next_occurrence = 0;
};

}  // namespace mangoroad::workload
