#include "controller/run_manager.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "log/log.h"

namespace mangoroad::controller {

using dispatch::RunView;
using dispatch::StartRequestState;
using dispatch::TargetView;
using metrics::Activity;
using metrics::ActivityMeter;
using workload::End;
using workload::RunEnd;
using workload::TargetIncarnation;
using workload::TargetRecord;
using workload::Task;
using workload::TaskPhase;
using workload::TaskRef;

RunManager::RunManager(const workload::WorkloadState& workload_state, TargetCalls& target_calls,
                       LeaderContext& leader_context, RunManagerSettings leader_settings)
    : state(workload_state),
      calls(target_calls),
      context(leader_context),
      settings(leader_settings),
      start_history({leader_settings.start_window, leader_settings.longest_response_time,
                     leader_settings.longest_request_delay}),
      targets(leader_settings.lease, leader_settings.health),
      planner(workload_state, this->targets, leader_settings.plan) {}

void RunManager::BeginTerm(base::TimePoint now, Fence term) {
  this->EndTerm();
  this->leading = true;
  this->fences.BeginTerm(term);
  this->targets.Reset(now);
  this->statistics.Reset();
  const StartHistory::Recent recent = this->start_history.RecentAt(now);
  this->AdoptOutstandingStarts(now, recent);
  for (const auto& [id, record] : this->state.Targets()) {
    TargetView& view = this->targets.FindOrCreate(record.incarnation);
    view.last_contact = now;
    this->InheritLease(now, view);
    this->AdoptRuns(view, recent);
    this->TrackFormerRuns(now, view);
  }
  for (const auto& [target, tasks] : this->state.RunningOn()) {
    if (this->RecordOf(target) == nullptr) this->departed.emplace(target, now);
  }
  for (const auto& [id, view] : this->targets.All()) this->MarkChanged(id);
  this->plan_due = true;
  this->context.RequestAdvance();
}

void RunManager::EndTerm() {
  this->leading = false;
  this->generation += 1;
  this->departed.clear();
  this->ends.clear();
  this->concluded.clear();
  this->orphans.clear();
  this->unconfirmed_starts.clear();
  this->outstanding_starts.Clear();
  this->unanswered_starts.clear();
  this->changed_targets.clear();
  this->proposal_in_flight = false;
  for (const auto& [target, departure] : std::exchange(this->departures, {})) {
    for (const OnAnnounced& done : departure.calls) done(false);
  }
}

const TargetRecord* RunManager::RecordOf(const TargetIncarnation& target) const {
  const auto found = this->state.Targets().find(target.id);
  return found == this->state.Targets().end() || found->second.incarnation != target
             ? nullptr
             : &found->second;
}

TargetEndpoint RunManager::EndpointOf(const TargetRecord& record) const {
  return {record.address, record.incarnation, record.failure_domain};
}

/// Adopts the committed runs of a target. An earlier leader may or may not have sent their start
/// requests.
void RunManager::AdoptRuns(TargetView& view, const StartHistory::Recent& recent) {
  const auto running = this->state.RunningOn().find(view.incarnation);
  if (running == this->state.RunningOn().end()) return;
  for (const TaskRef& ref : running->second) {
    RunView& run = this->AddRun(view, ref);
    run.run = this->state.FindTask(ref)->run;
    run.start_request = StartRequestState::kSent;
    const auto request = recent.Of(ref, run.run);
    run.is_in_doubt = request && request->is_unanswered;
  }
}

void RunManager::AdoptOutstandingStarts(base::TimePoint now, const StartHistory::Recent& recent) {
  const auto adopt = [&](const TaskRef& ref, const Task& task, bool is_running) {
    const auto request = recent.Of(ref, task.run);
    // The run of a waiting task has ended, so a single request was carried out.
    if (!request || (!is_running && !request->is_unanswered)) return;
    const workload::StepSpec* spec = this->state.SpecOf(ref);
    const bool is_long_running = spec != nullptr && spec->long_running;
    // See LatestExecution for long-running tasks.
    const base::TimePoint latest =
        is_long_running ? std::min(now, request->latest) : request->latest;
    this->outstanding_starts.OnSent({.target = task.target, .latest = latest}, ref, task.run);
    if (request->is_unanswered) this->outstanding_starts.OnUnanswered(ref, task.run);
  };
  for (const auto& [target, tasks] : this->state.RunningOn()) {
    for (const TaskRef& ref : tasks) adopt(ref, *this->state.FindTask(ref), true);
  }
  for (const workload::StepRef& ready : this->state.Ready()) {
    TaskRef ref{ready.job, ready.occurrence, ready.step, 0};
    for (const Task& task : this->state.FindStep(ready)->tasks) {
      if (task.phase == TaskPhase::kWaiting && task.run > 0) adopt(ref, task, false);
      ref.index += 1;
    }
  }
}

RunView& RunManager::AddRun(TargetView& view, const TaskRef& task) const {
  RunView& run = view.runs[task];
  const workload::Job* job = this->state.FindJob(task.job);
  const workload::StepSpec* spec = this->state.SpecOf(task);
  run.spec = spec == nullptr ? nullptr : std::make_shared<const workload::StepSpec>(*spec);
  run.is_obsolete = job == nullptr || workload::IsFinal(job->state);
  return run;
}

void RunManager::OnSuperseded(const workload::SupersededRun& superseded) {
  TargetView* view = this->targets.Find(superseded.target.id);
  if (view == nullptr || view->incarnation != superseded.target) return;
  const auto found = view->runs.find(superseded.task);
  if (found == view->runs.end() || found->second.run != superseded.run) return;
  // The members of a gang end together, so one that was at work has ended, too.
  if (superseded.is_gang_member && found->second.start_request == StartRequestState::kConfirmed) {
    view->runs.erase(found);
    return;
  }
  this->MarkObsolete(superseded.task, superseded.run, superseded.target);
}

void RunManager::Conclude(const TaskRef& task, std::uint32_t run, const TargetIncarnation& target,
                          EndEvidence evidence) {
  if (!this->concluded.emplace(task, run).second) return;
  const bool may_have_begun = evidence == EndEvidence::kNotListed ||
                              evidence == EndEvidence::kLeaseExpired ||
                              evidence == EndEvidence::kIncarnationEnded;
  const RunEnd how = may_have_begun ? RunEnd::kLost : RunEnd::kRefused;
  const TargetView* view = this->targets.Find(target.id);
  log::Info(log::Category::kJobs, "run concluded",
            {{"task", workload::ToText(task)},
             {"run", run},
             {"target", target.id},
             {"birth", target.number},
             {"how", base::NameOf(workload::kRunEndNames, how)},
             {"evidence", base::NameOf(kEndEvidenceNames, evidence)},
             {"fence", view == nullptr ? 0 : view->fence}});
  this->ends.push_back({task, run, target, how, {}, 0});
}

void RunManager::StopRunsOf(const workload::JobId& id) {
  const workload::Job* job = this->state.FindJob(id);
  if (job == nullptr || !workload::IsFinal(job->state)) return;
  for (const auto& [occurrence, steps] : job->open) {
    TaskRef ref{id, occurrence, 0, 0};
    for (const workload::Step& step : steps) {
      ref.index = 0;
      for (const Task& task : step.tasks) {
        if (task.phase == TaskPhase::kRunning) this->MarkObsolete(ref, task.run, task.target);
        ref.index += 1;
      }
      ref.step += 1;
    }
  }
}

void RunManager::MarkObsolete(const TaskRef& task, std::uint32_t run,
                              const TargetIncarnation& target) {
  TargetView* view = this->targets.Find(target.id);
  if (view == nullptr || view->incarnation != target) return;
  const auto found = view->runs.find(task);
  if (found == view->runs.end() || found->second.run != run) return;
  found->second.is_obsolete = true;
  view->has_pending_requests = true;
  this->MarkChanged(target.id);
}

void RunManager::GiveUpRuns(base::TimePoint now, const TargetView& view) {
  std::size_t given_up = 0;
  std::size_t held = 0;
  for (const auto& [task, run] : view.runs) {
    const bool is_held = now < this->HeldUntil(task, run.run);
    held += is_held ? 1 : 0;
    if (is_held || this->concluded.contains({task, run.run})) continue;
    given_up += 1;
    this->Conclude(task, run.run, view.incarnation, EndEvidence::kLeaseExpired);
  }
  if (given_up == 0) return;
  log::Warning(log::Category::kJobs, "leases expired",
               {{"target", view.incarnation.id},
                {"birth", view.incarnation.number},
                {"runs", given_up},
                {"held", held},
                {"inherited_deadline_ms", view.lease.InheritedDeadline()}});
}

void RunManager::CheckLeases(base::TimePoint now) {
  for (auto& [id, view] : this->targets.All()) {
    if (!view.former.empty()) this->ForgetEndedFormerRuns(view);
    if (view.runs.empty()) continue;
    const std::optional<base::TimePoint> expiry = this->ExpiryOf(view);
    if (!expiry || now < *expiry) continue;
    this->GiveUpRuns(now, view);
  }
  // Both are in the order of names, so no target has to be looked up.
  auto record = this->state.Targets().begin();
  const auto end = this->state.Targets().end();
  for (const auto& [target, tasks] : this->state.RunningOn()) {
    while (record != end && record->first < target.id) ++record;
    const bool has_record = record != end && record->first == target.id;
    if (has_record && record->second.incarnation == target) continue;
    const base::TimePoint since = this->departed.emplace(target, now).first->second;
    for (const TaskRef& task : tasks) {
      const bool has_ended = has_record ? this->HasFormerRunEnded(now, target, task)
                                        : this->HasDepartedRunEnded(now, target, task, since);
      if (!has_ended) continue;
      this->Conclude(task, this->state.FindTask(task)->run, target,
                     has_record ? EndEvidence::kIncarnationEnded : EndEvidence::kLeaseExpired);
    }
  }
}

std::vector<workload::DueOccurrence> RunManager::DueOccurrences(std::int64_t time_of_day_ms) const {
  std::vector<workload::DueOccurrence> due;
  for (const workload::JobId& id : this->state.ScheduledJobs()) {
    const workload::Job& job = *this->state.FindJob(id);
    if (job.spec.first_ms + job.next_occurrence * job.spec.interval_ms <= time_of_day_ms) {
      due.push_back({id, job.next_occurrence});
    }
  }
  return due;
}

void RunManager::ProposeChanges(base::TimePoint now) {
  if (this->proposal_in_flight) return;
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kPlan);
  const std::int64_t time_of_day_ms = this->context.TimeOfDayMs();
  workload::RunChanges changes;
  changes.at_ms = time_of_day_ms;
  changes.ends = std::exchange(this->ends, {});
  changes.due_occurrences = this->DueOccurrences(time_of_day_ms);
  if (std::exchange(this->plan_due, false)) {
    changes.starts = this->planner.Plan(now, time_of_day_ms, this->unconfirmed_starts.size());
    this->HoldBackStarts(now, changes.starts);
    if (changes.starts.empty()) this->LogBacklog(now);
  }
  const std::vector<workload::Start> unanswered = std::exchange(this->unanswered_starts, {});
  std::ranges::copy(unanswered, std::back_inserter(changes.starts));
  if (changes.ends.empty() && changes.due_occurrences.empty() && changes.starts.empty()) return;
  this->proposal_in_flight = true;
  const std::uint64_t sent_generation = this->generation;
  this->context.Propose(
      changes, [this, sent_generation, unanswered](base::TimePoint, bool applied) {
        if (sent_generation != this->generation) return;
        this->proposal_in_flight = false;
        if (!applied) {
          std::ranges::copy(unanswered, std::back_inserter(this->unanswered_starts));
          // The ends are still listed by the targets, or will be concluded again.
          for (auto& [id, view] : this->targets.All()) {
            view.poll.listed = 0;
            this->MarkChanged(id);
          }
          this->concluded.clear();
          this->plan_due = true;
        }
        this->context.RequestAdvance();
      });
}

void RunManager::Advance(base::TimePoint now) {
  if (!this->leading) return;
  this->RetireLeavingTargets(now);
  this->ProposeChanges(now);
  this->SendToChangedTargets(now);
}

void RunManager::Tick(base::TimePoint now) {
  if (!this->leading) return;
  this->CheckLeases(now);
  this->RetireLeavingTargets(now);
  const base::Duration longest_lease = this->LongestExpiry(now) - now;
  this->outstanding_starts.Forget(now - longest_lease);
  std::erase_if(this->orphans,
                [&](const auto& entry) { return entry.second.listed_at + longest_lease < now; });
  this->statistics.LogIfDue(now, this->state.Ready());
  this->MigrateRuns(now);
  this->plan_due = true;
  this->ProposeChanges(now);
  this->SendToAllTargets(now);
}

void RunManager::OnApplied(base::TimePoint now, const workload::Command& command) {
  const auto* changes = std::get_if<workload::RunChanges>(&command);
  if (changes != nullptr) {
    const std::chrono::milliseconds age(this->context.TimeOfDayMs() - changes->at_ms);
    this->start_history.OnApplied(now, age, *changes);
  }
  if (!this->leading) return;
  this->plan_due = true;
  if (const auto* cancel = std::get_if<workload::Cancel>(&command)) this->StopRunsOf(cancel->id);
  if (const auto* registered = std::get_if<workload::RegisterTarget>(&command)) {
    this->OnTargetRegistered(now, registered->target.incarnation);
  }
  if (const auto* submit = std::get_if<workload::Submit>(&command)) {
    this->NoteReadySteps(now, submit->id, 0);
  }
  if (changes == nullptr) {
    this->context.RequestAdvance();
    return;
  }
  for (const End& end : changes->ends) {
    this->concluded.erase({end.task, end.run});
    this->orphans.erase({end.task, end.run});
    this->unconfirmed_starts.erase({end.task, end.run});
    this->statistics.OnRunEnded(end.how);
    TargetView* view = this->targets.Find(end.target.id);
    log::Info(log::Category::kJobs, "run ended",
              {{"task", workload::ToText(end.task)},
               {"run", end.run},
               {"target", end.target.id},
               {"how", base::NameOf(workload::kRunEndNames, end.how)},
               {"number", end.number}});
    if (end.how == RunEnd::kFailed) this->StopRunsOf(end.task.job);
    if (view == nullptr || view->incarnation != end.target) continue;
    this->MarkChanged(end.target.id);
    this->targets.OnRunEnded(*view, end.how, now);
    const auto run = view->runs.find(end.task);
    if (run != view->runs.end() && run->second.run == end.run) {
      view->runs.erase(run);
      view->load_changes += 1;
    }
  }
  std::ranges::for_each(this->state.SupersededRuns(),
                        [this](const auto& superseded) { this->OnSuperseded(superseded); });
  this->NoteStarts(now, *changes);
  for (const workload::Start& start : changes->starts) {
    const Task* task = this->state.FindTask(start.task);
    // The state has ignored a start that contradicts an earlier one.
    const bool is_current = task != nullptr && task->phase == TaskPhase::kRunning &&
                            task->run == start.run && task->target == start.target;
    if (!is_current) continue;
    TargetView& view = this->targets.FindOrCreate(start.target);
    if (view.incarnation != start.target) continue;
    const auto known = view.runs.find(start.task);
    if (known != view.runs.end() && known->second.run == start.run) continue;
    view.runs.erase(start.task);
    RunView& run = this->AddRun(view, start.task);
    run.run = start.run;
    run.requested_at = now;
    run.committed_at = now;
    if (run.spec != nullptr && run.spec->best_effort) {
      this->unconfirmed_starts.emplace(start.task, start.run);
    }
    view.has_pending_requests = true;
    this->MarkChanged(start.target.id);
  }
  this->Advance(now);
}

}  // namespace mangoroad::controller
