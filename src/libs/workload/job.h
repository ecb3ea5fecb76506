// Jobs of steps and tasks, and the states that each may be in.
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

/// A number that tells lives of a target under one name apart: the Unix millisecond of its start.
using IncarnationNumber = std::int64_t;

/// What one task asks of its target, or what a target has.
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
  /// The caller's estimate of one task's duration; often far off.
  std::int64_t estimate_ms = 0;
  /// Steps whose tasks must all be done first.
  std::vector<std::uint32_t> after;
  std::string required_label;
  /// Rack that holds the data; other racks make the tasks slower.
  std::string data_rack;
  std::string image;
  std::uint32_t max_per_target = 0;  ///< 0: no limit
  /// Tasks that last serve their own users; the tail of their response times stays below this.
  std::int64_t latency_slo_ms = 0;
  /// Tasks of a step that lasts that may be away through the system's own actions.
  std::uint32_t max_unavailable = 0;
  bool checkpoints = false;
  bool gang = false;
  bool same_rack = false;
  bool allows_copies = false;
  bool long_running = false;
  /// Uses only processor time that the other tasks on the target leave.
  bool best_effort = false;

  bool operator==(const StepSpec&) const = default;
};

struct JobSpec {
  std::string payload;  ///< handed to each task unread
  std::vector<StepSpec> steps;
  /// 0: runs once, at once. Otherwise occurrence K is due at first_ms + K x interval_ms of the time
  /// of day.
  std::uint32_t occurrences = 0;
  std::int64_t first_ms = 0;
  std::int64_t interval_ms = 0;

  bool operator==(const JobSpec&) const = default;
};

/// For each step, the longest chain of estimated durations from its start to the end of the job, in
/// ms. The steps must be free of faults.
std::vector<std::int64_t> RemainingCriticalPathsMs(const JobSpec& spec);

/// Empty, or what makes the steps impossible to run, for example a cycle.
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

/// `job.occurrence.step.index`, as it stands in logs.
std::string ToText(const TaskRef& task);

/// One life of one target.
struct TargetIncarnation {
  std::string id;
  IncarnationNumber number = 0;
  auto operator<=>(const TargetIncarnation&) const = default;
};

enum class TaskPhase : std::uint8_t { kWaiting, kRunning, kDone };

/// How a run ended, as its target says.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,           ///< by its own fault or the target's
  kStopped,          ///< on our order
  kLeaseExpired,     ///< its lease ended
  kGangMemberEnded,  ///< another member of its gang ended
  kGangIncomplete,   ///< the other members of its gang didn't come in time
  kLost,             ///< the life of the target, or its lease, is over for certain
  kRefused,          ///< it never began
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
  std::uint32_t run = 0;  ///< the latest one started
  std::int32_t failures = 0;
  TargetIncarnation target;  ///< of the run; kept after its end
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
  /// See RemainingChainsMs.
  std::vector<std::int64_t> remaining_ms;
  JobState state = JobState::kQueued;
  /// Time of day in ms at which the leader took it; orders the queue and is no input of safety.
  std::int64_t accepted_ms = 0;
  std::int64_t finished_ms = 0;
  /// Opened occurrences that aren't done, by number. Jobs without times have only occurrence 0.
  std::map<std::uint32_t, std::vector<Step>> open;
  std::uint32_t next_occurrence = 0;
};

}  // namespace mangoroad::workload
