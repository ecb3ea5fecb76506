// The replicated state of jobs, runs, targets and the declaration in force.
//
// Invariants: a task has at most one run that isn't known to be over (`running_on` and its task
// agree), run numbers of a task rise, a task that is done never runs again, and a final job never
// gets another start. Each is kept by Apply alone, whatever commands a deposed leader leaves in the
// log.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "workload/commands.h"

namespace mangoroad::workload {

/// Deterministic: replicas that apply the same commands have the same state.
class WorkloadState {
 public:
  /// Final jobs are known for at least this long, in ms of the leaders' time of day.
  static constexpr std::int64_t kRetentionMs = 600'000;

  Outcome Apply(const Command& command);

  [[nodiscard]] std::string Snapshot() const;
  /// False when the bytes are no snapshot; the state is then unchanged.
  bool Restore(std::string_view snapshot);

  [[nodiscard]] const Declaration& CurrentDeclaration() const { return this->declaration; }
  [[nodiscard]] const Job* FindJob(const JobId& id) const;
  [[nodiscard]] const Step* FindStep(const StepRef& ref) const;
  [[nodiscard]] const StepSpec* SpecOf(const StepRef& ref) const;
  [[nodiscard]] const Task* FindTask(const TaskRef& ref) const;
  [[nodiscard]] const std::map<std::string, TargetRecord>& Targets() const { return this->targets; }
  /// Steps whose turn has come and that have waiting tasks.
  [[nodiscard]] const std::set<StepRef>& Ready() const { return this->ready; }
  /// Tasks with a run that isn't known to be over, by the life of its target.
  [[nodiscard]] const std::map<TargetIncarnation, std::set<TaskRef>>& RunningOn() const {
    return this->running_on;
  }
  /// Jobs with occurrences that aren't open yet.
  [[nodiscard]] const std::set<JobId>& ScheduledJobs() const { return this->scheduled_jobs; }
  /// Accepted jobs of a queue without times for which no task has started.
  [[nodiscard]] std::size_t Pending(const std::string& queue) const;
  [[nodiscard]] std::size_t JobCount() const { return this->jobs.size(); }

 private:
  Outcome Handle(const Declare& command);
  Outcome Handle(const Submit& command);
  Outcome Handle(const Cancel& command);
  Outcome Handle(const RegisterTarget& command);
  Outcome Handle(const RemoveTarget& command);
  Outcome Handle(const RunChanges& command);
  void ApplyStart(const Start& start);
  void ApplyEnd(const End& end, std::int64_t at_ms);
  void OpenOccurrence(Job& job, std::uint32_t number);
  void MarkDone(Job& job, const TaskRef& ref);
  void CompleteIfDone(Job& job, std::uint32_t occurrence, std::int64_t at_ms);
  void Finish(Job& job, JobState state, std::int64_t at_ms);
  /// Forgets the occurrences of a final job whose runs are all over.
  void ReleaseEndedOccurrences(Job& job);
  void UpdateReady(const Job& job, std::uint32_t occurrence, std::uint32_t step);
  void StopRunning(const TaskRef& ref, Task& task, Step& step);
  void RemoveExpiredJobs(std::int64_t at_ms);
  void RebuildIndexes();
  Task* Find(const TaskRef& ref, Step** step, Job** job);

  Declaration declaration;
  std::unordered_map<JobId, Job> jobs;
  std::map<std::string, TargetRecord> targets;
  std::deque<JobId> finished;  ///< in the order in which they became final

  // Derived from the above.
  std::set<StepRef> ready;
  std::map<TargetIncarnation, std::set<TaskRef>> running_on;
  std::set<JobId> scheduled_jobs;
};

}  // namespace mangoroad::workload
