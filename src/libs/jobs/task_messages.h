// Messages between the leader and a target about tasks and their leases.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"

namespace mangoroad::jobs {

/// Orders a target to start a task.
struct StartTaskRequest {
  JobId job = 0;
  Token token = 0;
  /// Incarnation of the target that is meant; another one refuses.
  std::uint64_t incarnation = 0;
  /// Number of the report from whose sending the target counts the lease. Without it, a start that
  /// is delayed on its way would begin a lease after the leader's account of it has ended.
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
  /// Ended by itself, with an exit code.
  kFinished,
  /// Ended by an order to stop.
  kStopped,
  /// Ended by the target because its lease ended.
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
  /// Finished share of the work, 0 to 1.
  double progress = 0;
  /// Run time divided by that without neighbours, as measured; 0 when unknown.
  double slowdown = 0;
  std::int32_t exit_code = 0;
};

/// A target's report. Ended tasks stay in it until acknowledged.
struct TargetReport {
  std::string target{};
  std::uint64_t incarnation = 0;
  /// Grows by one with each report of an incarnation; the first is 1.
  std::uint64_t sequence = 0;
  std::vector<TaskReport> tasks{};
};

/// Extends a lease to `lease` after the sending of the report that the reply names.
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

/// Names an ended task whose report is in the replicated log.
struct TaskAcknowledgement {
  JobId job = 0;
  Token token = 0;
};

/// Reply to the report `sequence`.
struct ReportResponse {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<Renewal> renewals{};
  std::vector<TaskRequest> requests{};
  std::vector<TaskAcknowledgement> acknowledged{};
};

}  // namespace mangoroad::jobs
