// Messages between the leader and a target about tasks and their leases.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"

namespace mangoroad::jobs {

/// Request to a target to start a task.
struct StartTaskRequest {
  JobId job = 0;
  Token token = 0;
  /// Incarnation that the request is for; any other one refuses it.
  std::uint64_t incarnation = 0;
  /// Sequence number of the report from whose sending the target counts the lease. If it counted
  /// from the receipt of a delayed start, its lease could outlast the leader's.
  std::uint64_t report_sequence = 0;
  base::Duration lease{};
  std::string row{};
  std::string command{};
  Resources reserved{};
  /// Number of the checkpoint to resume from; 0 for none.
  std::uint64_t checkpoint = 0;
};

/// State of a task as a target reports it.
enum class TaskState : std::uint8_t {
  kRunning,
  /// The process exited by itself, with an exit code.
  kFinished,
  /// Stopped at the leader's request.
  kStopped,
  /// Stopped by the target because the lease ended.
  kLeaseEnded,
  /// The start was refused; the attempt never ran.
  kRefused,
};

/// One task in a report.
struct TaskReport {
  JobId job = 0;
  Token token = 0;
  TaskState state = TaskState::kRunning;
  /// Number of the last durable checkpoint; 0 for none.
  std::uint64_t checkpoint = 0;
  std::int64_t millicores_used = 0;
  std::int64_t memory_mib_used = 0;
  /// Completed fraction of the work, 0 to 1.
  double progress = 0;
  /// Measured run time divided by the run time without other tasks on the target; 0 if unknown.
  double slowdown = 0;
  std::int32_t exit_code = 0;
};

/// A target's report. Ended tasks are included until they are acknowledged.
struct TargetReport {
  std::string target{};
  std::uint64_t incarnation = 0;
  /// Increases by one with each report of an incarnation, starting at 1.
  std::uint64_t sequence = 0;
  std::vector<TaskReport> tasks{};
};

/// Extends a lease to `lease` after the sending of the report that the response is for.
struct Renewal {
  JobId job = 0;
  Token token = 0;
  base::Duration lease{};
};

enum class TaskAction : std::uint8_t { kThrottle, kUnthrottle, kCheckpoint, kStop };

struct TaskRequest {
  JobId job = 0;
  Token token = 0;
  TaskAction action = TaskAction::kStop;
};

/// Confirms that the end of a task is in the replicated log.
struct TaskAcknowledgement {
  JobId job = 0;
  Token token = 0;
};

/// Response to the report with number `sequence`.
struct ReportResponse {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<Renewal> renewals{};
  std::vector<TaskRequest> requests{};
  std::vector<TaskAcknowledgement> acknowledged{};
};

}  // namespace mangoroad::jobs
