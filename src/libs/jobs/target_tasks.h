// The target's side of task leases: admission, lease clock, orders and reports.
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
  /// An older attempt of the job still has a process here.
  kOldAttemptRunning,
  kNoCapacity,
  /// The report that the start refers to is unknown or its lease has ended.
  kLeaseEnded,
};

/// Answer to a start: accepted when `refusal` is empty. A repeated start of the same attempt gets
/// the answer of the first.
struct StartResult {
  std::optional<StartRefusal> refusal{};
  /// True when the attempt will never run here, so that it may be logged as refused. Otherwise a
  /// repeated start with newer terms may still be accepted.
  bool final = false;
  std::string message{};
};

/// What the target's process has to do with a task.
struct TaskCommand {
  JobId job = 0;
  Token token = 0;
  TaskAction action = TaskAction::kStop;
};

struct TargetTasksSettings {
  std::string target{};
  std::uint64_t incarnation = 1;
  Resources capacity{};
  /// Ended attempts are remembered this long to refuse late starts; longer than any `hold_s`.
  base::Duration attempt_retention = std::chrono::hours(3);
};

/// Tasks of one target in one incarnation. Each call compares leases with the clock first, so a
/// process that was paused acts on no lease that has ended.
class TargetTasks {
 public:
  explicit TargetTasks(TargetTasksSettings settings);
  ~TargetTasks();
  TargetTasks(TargetTasks&&) noexcept;
  TargetTasks& operator=(TargetTasks&&) noexcept;
  TargetTasks(const TargetTasks&) = delete;
  TargetTasks& operator=(const TargetTasks&) = delete;

  /// Admits or refuses a task. A newer token of a job that still runs here is refused until the old
  /// attempt has ended.
  StartResult Start(base::TimePoint now, const StartTaskRequest& start);

  /// Builds the next report; the leases that its reply renews count from now.
  TargetReport MakeReport(base::TimePoint now);

  /// Takes a reply; renewals and orders of other incarnations or unknown reports are ignored.
  void OnResponse(base::TimePoint now, const ReportResponse& response);

  /// Carries out one order; an order with another token is ignored and gives false.
  bool HandleRequest(base::TimePoint now, const TaskRequest& request);

  /// The work itself reports. Each returns false, and changes nothing, when the attempt doesn't run
  /// here under a valid lease.
  bool SetUsage(base::TimePoint now, const TaskReport& usage);
  /// A checkpoint is durable; numbers only grow.
  bool OnCheckpointDurable(base::TimePoint now, JobId job, Token token, std::uint64_t number);
  bool OnFinished(base::TimePoint now, JobId job, Token token, std::int32_t exit_code);
  /// The process ended after TaskAction::kStop.
  bool OnStopped(base::TimePoint now, JobId job, Token token);

  /// Commands for the processes since the last call, with stops of tasks whose lease has ended.
  std::vector<TaskCommand> TakeCommands(base::TimePoint now);

  /// True while the attempt runs under a lease that is valid now.
  bool IsRunning(base::TimePoint now, JobId job, Token token) const;
  /// Reserved by tasks that run, or whose process hasn't ended yet.
  Resources Reserved() const;
  /// The earliest end of a lease, or nothing.
  std::optional<base::TimePoint> NextLeaseEnd() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::jobs
