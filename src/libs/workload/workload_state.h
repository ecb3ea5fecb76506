// The replicated state of jobs, runs, targets and the current declaration.
//
// Invariants: a task has at most one run that isn't known to have ended (`running_on` agrees with
// the task), the run numbers of a task increase, a task that is done never runs again, and no run
// of a final job is started. Apply alone maintains them, whatever commands a deposed leader left in
// the log.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "workload/commands.h"

namespace mangoroad::workload {

/// A run that another run's end has made obsolete: another member of its gang is done, or an
/// earlier run of its task.
struct SupersededRun {
  TaskRef task;
  std::uint32_t run = 0;
  TargetIncarnation target;
  bool is_gang_member = false;
  bool operator==(const SupersededRun&) const = default;
};

/// Deterministic: replicas that apply the same commands have the same state.
class WorkloadState {
 public:
  /// Final jobs are kept for at least this long, by the leaders' time of day.
  static constexpr std::int64_t kRetentionMs = 600'000;
  /// Number of targets that have left of which the incarnation is kept. Delayed announcements
  /// arrive seconds later; at 1,100 departures a day these are those of several days.
  static constexpr std::size_t kMaxRetired = 4'096;

  Outcome Apply(const Command& command);

  [[nodiscard]] std::string Snapshot() const;
  /// Returns false and leaves the state unchanged if the bytes aren't a valid snapshot.
  bool Restore(std::string_view snapshot);

  [[nodiscard]] const Declaration& CurrentDeclaration() const { return this->declaration; }
  [[nodiscard]] const Job* FindJob(const JobId& id) const;
  [[nodiscard]] const Step* FindStep(const StepRef& ref) const;
  [[nodiscard]] const StepSpec* SpecOf(const StepRef& ref) const;
  [[nodiscard]] const StepSpec* SpecOf(const TaskRef& ref) const;
  [[nodiscard]] const Task* FindTask(const TaskRef& ref) const;
  /// The checkpoint that a start of this task carries; empty: none. The members of a gang all start
  /// from one checkpoint, which may be that of any of them.
  [[nodiscard]] const std::string& CheckpointOf(const TaskRef& ref) const;
  [[nodiscard]] const std::map<std::string, TargetRecord>& Targets() const { return this->targets; }
  /// Steps that have waiting tasks and whose predecessors are done.
  [[nodiscard]] const std::set<StepRef>& Ready() const { return this->ready; }
  /// Tasks with a run that isn't known to have ended, by the target incarnation it was assigned to.
  [[nodiscard]] const std::map<TargetIncarnation, std::set<TaskRef>>& RunningOn() const {
    return this->running_on;
  }
  /// Those of the last RunChanges. Their tasks may no longer exist.
  [[nodiscard]] const std::vector<SupersededRun>& SupersededRuns() const {
    return this->superseded_runs;
  }
  /// Periodic jobs with occurrences that aren't due yet.
  [[nodiscard]] const std::set<JobId>& ScheduledJobs() const { return this->scheduled_jobs; }
  /// Number of accepted non-periodic jobs of a queue of which no task has started.
  [[nodiscard]] std::size_t Pending(const std::string& queue) const;
  [[nodiscard]] std::size_t JobCount() const { return this->jobs.size(); }
  /// True when the target has taken its leave; see RetireTarget.
  [[nodiscard]] bool IsRetired(const TargetIncarnation& incarnation) const;
  /// True when an incarnation of this target has taken its leave.
  [[nodiscard]] bool HasRetired(const std::string& id) const {
    return this->last_retired.contains(id);
  }
  /// See InheritLease; 0: requests for a former incarnation can't have had an effect.
  [[nodiscard]] std::int64_t InheritedDeadlineMs(const TargetIncarnation& incarnation) const;

 private:
  Outcome Handle(const Declare& command);
  Outcome Handle(const Submit& command);
  Outcome Handle(const Cancel& command);
  Outcome Handle(const RegisterTarget& command);
  Outcome Handle(const RemoveTarget& command);
  Outcome Handle(const RetireTarget& command);
  Outcome Handle(const InheritLease& command);
  Outcome Handle(const CorrectTarget& command);
  /// Removes the records of other targets at an address.
  void RemoveOthersAt(const std::string& address, const std::string& id);
  /// Drops what an incarnation has inherited that has no record and no runs any more.
  void ForgetInheritedLease(const TargetIncarnation& incarnation);
  Outcome Handle(const RunChanges& command);
  void ApplyStart(const Start& start);
  void ApplyEnd(const End& end, std::int64_t at_ms);
  void OpenOccurrence(Job& job, std::uint32_t number);
  void MarkDone(Job& job, const TaskRef& ref);
  void CompleteIfDone(Job& job, std::uint32_t occurrence, std::int64_t at_ms);
  void Finish(Job& job, JobState state, std::int64_t at_ms);
  /// Adds `change` to the number of pending jobs of its queue, if the job is one.
  void CountPending(const Job& job, int change);
  /// Removes the occurrences of a final job that have no running tasks.
  void ReleaseEndedOccurrences(Job& job);
  void UpdateReady(const Job& job, std::uint32_t occurrence, std::uint32_t step);
  void StopRunning(const TaskRef& ref, Task& task, Step& step);
  void NoteChangeOf(const std::string& target_id);
  void RemoveExpiredJobs(std::int64_t at_ms);
  void RebuildIndexes();
  Task* Find(const TaskRef& ref, Step** step, Job** job);

  Declaration declaration;
  std::unordered_map<JobId, Job> jobs;
  std::map<std::string, TargetRecord> targets;
  std::deque<JobId> finished;             ///< in the order in which they became final
  std::deque<TargetIncarnation> retired;  ///< in the order in which they left
  std::map<std::string, InheritLease> inherited_leases;

  // Indexes derived from the members above; not in snapshots.
  std::unordered_map<std::string, IncarnationNumber> last_retired;
  std::set<StepRef> ready;
  std::map<TargetIncarnation, std::set<TaskRef>> running_on;
  std::set<JobId> scheduled_jobs;
  std::map<std::string, std::size_t, std::less<>> pending;  ///< by queue, see Pending
  std::uint64_t last_target_change = 0;
  std::vector<SupersededRun> superseded_runs;
};

}  // namespace mangoroad::workload
