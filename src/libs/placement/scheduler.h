// Decides which waiting job starts where, and what has to make room.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "placement/sharing_policy.h"
#include "placement/types.h"

namespace mangoroad::placement {

/// The leader's scheduler. It keeps nothing that the replicated log has to know: a new leader makes
/// a new one, submits the jobs that wait and adopts the tasks that hold leases.
///
/// A reservation counts from the decision to start until OnTaskEnded() or OnStartDropped(). The
/// caller reports the end only when the log has it, so starts that aren't confirmed and leases that
/// haven't ended are counted.
class Scheduler {
 public:
  /// `policy` decides what may share a target.
  explicit Scheduler(std::unique_ptr<SharingPolicy> policy, SchedulerSettings settings = {});
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Replaces rows and quotas. Jobs of rows that no longer exist become unplaceable.
  void SetRows(base::TimePoint now, const std::vector<RowSpec>& rows,
               const std::vector<TeamSpec>& teams);

  /// A target announced itself or changed. Unplaceable jobs are compared with it.
  void OnTargetChanged(base::TimePoint now, const TargetSpec& spec);
  /// A target is gone or silent: it gets no starts. Its tasks count until they end.
  void OnTargetGone(base::TimePoint now, std::string_view name);

  /// Queues a job for its next attempt. A job that is known already is ignored.
  void Submit(base::TimePoint now, const PendingJob& job);
  /// The job is cancelled: if it waits, it is dropped; if it runs, a stop is ordered.
  void Cancel(base::TimePoint now, JobId job);
  /// A task that an earlier leader started and that holds a lease.
  void Adopt(base::TimePoint now, const PendingJob& job, std::string_view target, Token token);

  /// The start is in the log.
  void OnTaskStarted(JobId job, Token token);
  /// The start was not logged and never will be; the job waits again.
  void OnStartDropped(base::TimePoint now, JobId job);
  void OnTaskProgress(base::TimePoint now, JobId job, const TaskProgress& progress);
  /// The log has the end of the attempt. The job is submitted again if it has another attempt.
  void OnTaskEnded(base::TimePoint now, JobId job, TaskEnd end);
  /// Largest p99/bound over the services of a target.
  void OnServiceLatency(base::TimePoint now, std::string_view target, double latency_use);

  /// Decides at most `budget` starts. To be called every few milliseconds while jobs wait, and at
  /// least every 100 ms while urgent work waits.
  Decisions Schedule(base::TimePoint now, std::size_t budget);

  std::size_t WaitingCount() const;
  std::size_t RunningCount() const;
  /// Why the job waits or where it runs, in words for operators.
  std::string Explain(base::TimePoint now, JobId job) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::placement
