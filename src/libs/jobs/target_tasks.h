// Task leases on the target: admission, lease expiry, requests of the leader, and reports.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/task_messages.h"

namespace mangoroad::jobs {

enum class StartRefusal : std::uint8_t {
  kOtherIncarnation,
  kStaleToken,
  /// The process of an older attempt of the job still exists on this target.
  kOldAttemptRunning,
  kNoCapacity,
  /// The report that the start refers to is unknown, or the lease counted from it has ended.
  kLeaseEnded,
};

/// Result of a start: accepted if `refusal` is empty. A repeated start of an attempt that was
/// accepted or finally refused gets the same result.
struct StartResult {
  std::optional<StartRefusal> refusal{};
  /// True if the attempt will never run on this target, so that it may be logged as refused.
  /// Otherwise a repeated start that refers to a newer report may still be accepted.
  bool final = false;
  std::string message{};
};

/// Action that the target has to apply to the process of a task.
struct TaskCommand {
  JobId job = 0;
  Token token = 0;
  TaskAction action = TaskAction::kStop;
};

struct TargetTasksSettings {
  std::string target{};
  std::uint64_t incarnation = 1;
  Resources capacity{};
  /// How long ended attempts are kept in order to refuse late starts; longer than any `hold_s`.
  base::Duration attempt_retention = std::chrono::hours(3);
};

/// Tasks of one target in one incarnation. Each call expires leases first, so a process that was
/// paused never acts under a lease that has ended.
class TargetTasks {
 public:
  explicit TargetTasks(TargetTasksSettings settings);
  ~TargetTasks();
  TargetTasks(TargetTasks&&) noexcept;
  TargetTasks& operator=(TargetTasks&&) noexcept;
  TargetTasks(const TargetTasks&) = delete;
  TargetTasks& operator=(const TargetTasks&) = delete;

  /// Admits or refuses a task. A newer attempt of a job is refused until the process of the older
  /// attempt has ended.
  StartResult Start(base::TimePoint now, const StartTaskRequest& start);

  /// Builds the next report. Leases renewed by its response count from `now`.
  TargetReport MakeReport(base::TimePoint now);

  /// Applies the response to a report. Ignored if it is for another incarnation or an unknown
  /// report.
  void OnResponse(base::TimePoint now, const ReportResponse& response);

  /// Queues the command for one request. Returns false, without effect, if no attempt with this
  /// token runs here under a lease.
  bool HandleRequest(base::TimePoint now, const TaskRequest& request);

  /// Events of a task's process. Each returns false, without effect, if the attempt doesn't run
  /// here under a valid lease; OnStopped() needs the process only.
  bool SetUsage(base::TimePoint now, const TaskReport& usage);
  /// A checkpoint is durable. Also returns false if `number` isn't above the last one.
  bool OnCheckpointDurable(base::TimePoint now, JobId job, Token token, std::uint64_t number);
  bool OnFinished(base::TimePoint now, JobId job, Token token, std::int32_t exit_code);
  /// The process ended after TaskAction::kStop.
  bool OnStopped(base::TimePoint now, JobId job, Token token);

  /// Commands for the processes since the last call, including stops of tasks whose lease has
  /// ended.
  std::vector<TaskCommand> TakeCommands(base::TimePoint now);

  /// True if the attempt runs under a lease that is valid at `now`.
  bool IsRunning(base::TimePoint now, JobId job, Token token) const;
  /// Resources reserved by all tasks whose process hasn't ended.
  Resources Reserved() const;
  /// Earliest end of a lease that is still valid, or nothing.
  std::optional<base::TimePoint> NextLeaseEnd() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::jobs
