// Decides which waiting job starts on which target, and which running tasks are preempted.
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

/// The leader's scheduler. Its state is soft: a new leader creates a new scheduler, submits the
/// waiting jobs and adopts the tasks that hold leases.
///
/// Resources are reserved from the decision to start until OnTaskEnded() or OnStartDropped(). The
/// caller reports the end only when it is in the log, so that unconfirmed starts and leases that
/// haven't ended still count.
class Scheduler {
 public:
  /// `policy` decides which work may share a target.
  explicit Scheduler(std::unique_ptr<SharingPolicy> policy, SchedulerSettings settings = {});
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Replaces rows and quotas. Jobs of rows that no longer exist become unplaceable.
  void SetRows(base::TimePoint now, const std::vector<RowSpec>& rows,
               const std::vector<TeamSpec>& teams);

  /// A target announced itself or changed. Unplaceable jobs are reconsidered.
  void OnTargetChanged(base::TimePoint now, const TargetSpec& spec);
  /// A target was removed or doesn't answer. It gets no starts; its tasks count until they end.
  void OnTargetUnavailable(base::TimePoint now, std::string_view name);

  /// Queues a job for its next attempt. A job that is known already is ignored.
  void Submit(base::TimePoint now, const PendingJob& job);
  /// Drops a waiting job, or requests the stop of a running one.
  void Cancel(base::TimePoint now, JobId job);
  /// Adds a task that an earlier leader started and that holds a lease.
  void Adopt(base::TimePoint now, const PendingJob& job, std::string_view target, Token token);

  /// The start is in the log.
  void OnTaskStarted(JobId job, Token token);
  /// The start was not logged and never will be. The job is queued again.
  void OnStartDropped(base::TimePoint now, JobId job);
  void OnTaskProgress(base::TimePoint now, JobId job, const TaskProgress& progress);
  /// The end of the attempt is in the log. The caller submits the job again for another attempt.
  void OnTaskEnded(base::TimePoint now, JobId job, TaskEnd end);
  /// Takes the largest SLO utilization (p99 latency divided by the SLO) of a target's services.
  void OnServiceLatency(base::TimePoint now, std::string_view target, double slo_utilization);

  /// Decides on at most `budget` starts. To be called every few milliseconds while jobs wait, and
  /// at least every 100 ms while urgent work waits.
  Decisions Schedule(base::TimePoint now, std::size_t budget);

  std::size_t WaitingCount() const;
  std::size_t RunningCount() const;
  /// Describes to operators why the job waits or where it runs.
  std::string Explain(base::TimePoint now, JobId job) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::placement
