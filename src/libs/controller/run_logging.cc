// What a leader logs about waiting and starting tasks.
#include "controller/run_manager.h"
#include "log/log.h"

namespace mangoroad::controller {

using workload::End;

namespace {

/// Minimum time between two log lines about waiting tasks.
constexpr base::Duration kBacklogLogInterval = std::chrono::seconds(1);

}  // namespace

void RunManager::LogBacklog(base::TimePoint now) {
  if (now < this->next_backlog_log_at || this->state.Ready().empty()) return;
  this->next_backlog_log_at = now + kBacklogLogInterval;
  const dispatch::Backlog backlog = this->planner.MeasureBacklog();
  log::Info(log::Category::kJobs, "work waits",
            {{"short_tasks", backlog.short_tasks},
             {"filling_tasks", backlog.best_effort_tasks},
             {"lasting_tasks", backlog.long_running_tasks},
             {"largest_short_cpu", backlog.largest_short_cpu},
             {"largest_lasting_cpu", backlog.largest_long_running_cpu},
             {"unconfirmed_filling", this->unconfirmed_starts.size()},
             {"usable_targets", backlog.usable_targets},
             {"kept_targets", backlog.reserved_targets},
             {"free_cpu", backlog.free_cpu},
             {"largest_free_cpu", backlog.largest_free_cpu}});
}

void RunManager::NoteReadySteps(base::TimePoint now, const workload::JobId& job,
                                std::uint32_t occurrence) {
  const workload::Job* found = this->state.FindJob(job);
  if (found == nullptr) return;
  for (std::uint32_t step = 0; step < found->spec.steps.size(); ++step) {
    const workload::StepRef ref{job, occurrence, step};
    const workload::Step* progress = this->state.FindStep(ref);
    // A step that has become ready again, after a failed run, isn't counted.
    if (progress == nullptr || progress->waiting != progress->tasks.size()) continue;
    if (this->state.Ready().contains(ref)) this->statistics.OnReady(now, ref);
  }
}

/// Notes the steps that have become ready and those of which a task has started.
void RunManager::NoteStarts(base::TimePoint now, const workload::RunChanges& changes) {
  for (const workload::DueOccurrence& due : changes.due_occurrences) {
    this->NoteReadySteps(now, due.job, due.number);
  }
  for (const End& end : changes.ends) {
    const workload::Step* step = this->state.FindStep(end.task.Step());
    if (step == nullptr || step->done != step->tasks.size()) continue;
    this->NoteReadySteps(now, end.task.job, end.task.occurrence);
  }
  for (const workload::Start& start : changes.starts) {
    const workload::StepSpec* spec = this->state.SpecOf(start.task);
    if (spec == nullptr) continue;
    this->statistics.OnStartCommitted(now, start.task.Step(), KindOf(*spec));
  }
}

}  // namespace mangoroad::controller
