#include "workload/workload_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/soft_assert.h"
#include "wire/record_codec.h"
#include "workload/workload_codec.h"

namespace mangoroad::workload {
namespace {

struct SnapshotRecord {
  Declaration declaration;
  std::vector<Job> jobs;
  std::vector<TargetRecord> targets;
  std::vector<JobId> finished;
  std::vector<TargetIncarnation> retired;
  std::vector<InheritLease> inherited_leases;
};

auto FieldsOf(IsRecord<SnapshotRecord> auto& r) {
  return std::tie(r.declaration, r.jobs, r.targets, r.finished, r.retired, r.inherited_leases);
}

// As earlier versions wrote it.
struct SnapshotWithoutLeases : SnapshotRecord {};
struct SnapshotWithoutRetired : SnapshotRecord {};

auto FieldsOf(IsRecord<SnapshotWithoutLeases> auto& r) {
  return std::tie(r.declaration, r.jobs, r.targets, r.finished, r.retired);
}
auto FieldsOf(IsRecord<SnapshotWithoutRetired> auto& r) {
  return std::tie(r.declaration, r.jobs, r.targets, r.finished);
}

std::optional<SnapshotRecord> DecodeSnapshot(std::string_view snapshot) {
  if (auto record = wire::DecodeRecord<SnapshotRecord>(snapshot)) return record;
  if (auto record = wire::DecodeRecord<SnapshotWithoutLeases>(snapshot)) return record;
  return wire::DecodeRecord<SnapshotWithoutRetired>(snapshot);
}

bool HasOccurrencesLeft(const Job& job) {
  return job.spec.occurrences > 0 && job.next_occurrence < job.spec.occurrences;
}

}  // namespace

bool TargetRecord::SaysTheSame(const TargetRecord& other) const {
  const auto said = [](const TargetRecord& record) {
    return std::tie(record.incarnation, record.address, record.failure_domain, record.service,
                    record.labels, record.capacity, record.draining);
  };
  return said(*this) == said(other);
}

Outcome WorkloadState::Apply(const Command& command) {
  return std::visit([this](const auto& item) { return this->Handle(item); }, command);
}

Outcome WorkloadState::Handle(const Declare& command) {
  if (command.declaration.version <= this->declaration.version) return Outcome::kAlreadyThere;
  this->declaration = command.declaration;
  return Outcome::kApplied;
}

Outcome WorkloadState::Handle(const Submit& command) {
  if (this->jobs.contains(command.id)) return Outcome::kAlreadyThere;
  const auto queue = std::ranges::find(this->declaration.queues, command.queue, &Queue::name);
  if (queue == this->declaration.queues.end()) return Outcome::kNotFound;
  Job& job = this->jobs[command.id];
  job.id = command.id;
  job.queue = queue->name;
  job.service = queue->service;
  job.priority = queue->priority;
  job.attempts = queue->attempts;
  job.stretch = queue->stretch;
  job.objective_ms = queue->objective_ms;
  job.spec = command.spec;
  job.remaining_ms = RemainingCriticalPathsMs(job.spec);
  job.accepted_ms = command.at_ms;
  this->CountPending(job, +1);
  if (job.spec.occurrences > 0) {
    this->scheduled_jobs.insert(job.id);
  } else {
    this->OpenOccurrence(job, 0);
  }
  return Outcome::kApplied;
}

Outcome WorkloadState::Handle(const Cancel& command) {
  const auto found = this->jobs.find(command.id);
  if (found == this->jobs.end()) {
    // Recorded so that a submission that arrives after its cancellation starts nothing.
    Job& job = this->jobs[command.id];
    job.id = command.id;
    job.state = JobState::kCancelled;
    job.accepted_ms = command.at_ms;
    this->Finish(job, JobState::kCancelled, command.at_ms);
    return Outcome::kNotFound;
  }
  if (!IsFinal(found->second.state)) {
    this->Finish(found->second, JobState::kCancelled, command.at_ms);
  }
  return Outcome::kApplied;
}

Outcome WorkloadState::Handle(const RegisterTarget& command) {
  const TargetRecord& added = command.target;
  if (this->IsRetired(added.incarnation)) return Outcome::kAlreadyThere;
  for (const auto& [id, known] : this->targets) {
    // Delayed announcement of an incarnation that a newer one with its name or address has
    // replaced.
    const bool match = id == added.incarnation.id || known.address == added.address;
    if (match && known.incarnation.number > added.incarnation.number) {
      return Outcome::kAlreadyThere;
    }
  }
  this->RemoveOthersAt(added.address, added.incarnation.id);
  TargetRecord& record = this->targets[added.incarnation.id];
  const bool is_same = record.incarnation == added.incarnation;
  const std::uint64_t acknowledged = is_same ? record.acknowledged : 0;
  const bool draining = added.draining || (is_same && record.draining);
  const TargetIncarnation former = std::exchange(record, added).incarnation;
  if (!is_same) this->ForgetInheritedLease(former);
  record.acknowledged = acknowledged;
  record.draining = draining;
  this->NoteChangeOf(added.incarnation.id);
  return Outcome::kApplied;
}

Outcome WorkloadState::Handle(const CorrectTarget& command) {
  const TargetRecord& corrected = command.target;
  const auto found = this->targets.find(corrected.incarnation.id);
  if (found == this->targets.end() || found->second.incarnation != corrected.incarnation) {
    return Outcome::kNotFound;
  }
  this->RemoveOthersAt(corrected.address, corrected.incarnation.id);
  const std::uint64_t acknowledged = found->second.acknowledged;
  found->second = corrected;
  found->second.acknowledged = acknowledged;
  this->NoteChangeOf(corrected.incarnation.id);
  return Outcome::kApplied;
}

void WorkloadState::RemoveOthersAt(const std::string& address, const std::string& id) {
  std::vector<TargetIncarnation> supplanted;
  std::erase_if(this->targets, [&](const auto& entry) {
    const bool match = entry.second.address == address && entry.first != id;
    if (match) supplanted.push_back(entry.second.incarnation);
    return match;
  });
  for (const TargetIncarnation& other : supplanted) this->ForgetInheritedLease(other);
}

Outcome WorkloadState::Handle(const RemoveTarget& command) {
  const auto found = this->targets.find(command.incarnation.id);
  if (found == this->targets.end() || found->second.incarnation != command.incarnation) {
    return Outcome::kNotFound;
  }
  this->targets.erase(found);
  this->ForgetInheritedLease(command.incarnation);
  return Outcome::kApplied;
}

Outcome WorkloadState::Handle(const InheritLease& command) {
  InheritLease& kept = this->inherited_leases[command.incarnation.id];
  if (kept.incarnation.number > command.incarnation.number) return Outcome::kAlreadyThere;
  const bool is_same = kept.incarnation == command.incarnation;
  const std::int64_t deadline_ms = is_same ? kept.deadline_ms : 0;
  kept = {command.incarnation, std::max(deadline_ms, command.deadline_ms)};
  return Outcome::kApplied;
}

void WorkloadState::ForgetInheritedLease(const TargetIncarnation& incarnation) {
  const auto lease = this->inherited_leases.find(incarnation.id);
  if (lease == this->inherited_leases.end() || lease->second.incarnation != incarnation) return;
  const auto target = this->targets.find(incarnation.id);
  const bool has_record =
      target != this->targets.end() && target->second.incarnation == incarnation;
  if (!has_record && !this->running_on.contains(incarnation)) this->inherited_leases.erase(lease);
}

std::int64_t WorkloadState::InheritedDeadlineMs(const TargetIncarnation& incarnation) const {
  const auto lease = this->inherited_leases.find(incarnation.id);
  const bool match =
      lease != this->inherited_leases.end() && lease->second.incarnation == incarnation;
  return match ? lease->second.deadline_ms : 0;
}

Outcome WorkloadState::Handle(const RetireTarget& command) {
  const Outcome outcome = this->Handle(RemoveTarget{command.incarnation});
  if (this->IsRetired(command.incarnation)) return outcome;
  this->retired.push_back(command.incarnation);
  this->last_retired[command.incarnation.id] = command.incarnation.number;
  if (this->retired.size() <= kMaxRetired) return outcome;
  const TargetIncarnation oldest = this->retired.front();
  this->retired.pop_front();
  const auto last = this->last_retired.find(oldest.id);
  if (last->second == oldest.number) this->last_retired.erase(last);
  return outcome;
}

bool WorkloadState::IsRetired(const TargetIncarnation& incarnation) const {
  const auto last = this->last_retired.find(incarnation.id);
  return last != this->last_retired.end() && incarnation.number <= last->second;
}

Outcome WorkloadState::Handle(const RunChanges& command) {
  this->superseded_runs.clear();
  for (const End& end : command.ends) {
    if (end.number > 0) {
      const auto target = this->targets.find(end.target.id);
      if (target != this->targets.end() && target->second.incarnation == end.target) {
        if (end.number <= target->second.acknowledged) continue;
        target->second.acknowledged = end.number;
      }
    }
    this->ApplyEnd(end, command.at_ms);
  }
  for (const DueOccurrence& due : command.due_occurrences) {
    const auto found = this->jobs.find(due.job);
    if (found == this->jobs.end() || IsFinal(found->second.state) ||
        found->second.next_occurrence != due.number || !HasOccurrencesLeft(found->second)) {
      continue;
    }
    this->OpenOccurrence(found->second, due.number);
    if (!HasOccurrencesLeft(found->second)) this->scheduled_jobs.erase(due.job);
  }
  for (const Start& start : command.starts) this->ApplyStart(start);
  this->RemoveExpiredJobs(command.at_ms);
  return Outcome::kApplied;
}

void WorkloadState::ApplyStart(const Start& start) {
  Step* step = nullptr;
  Job* job = nullptr;
  Task* task = this->Find(start.task, &step, &job);
  if (task == nullptr || IsFinal(job->state) || task->phase != TaskPhase::kWaiting) return;
  if (start.run <= task->run || !this->ready.contains(start.task.Step())) return;
  task->phase = TaskPhase::kRunning;
  task->run = start.run;
  task->target = start.target;
  step->waiting -= 1;
  step->running += 1;
  this->running_on[start.target].insert(start.task);
  this->NoteChangeOf(start.target.id);
  this->CountPending(*job, -1);
  job->state = JobState::kRunning;
  this->UpdateReady(*job, start.task.occurrence, start.task.step);
}

void WorkloadState::StopRunning(const TaskRef& ref, Task& task, Step& step) {
  if (task.phase != TaskPhase::kRunning) return;
  this->NoteChangeOf(task.target.id);
  const auto running = this->running_on.find(task.target);
  if (running != this->running_on.end()) {
    running->second.erase(ref);
    if (running->second.empty()) {
      this->running_on.erase(running);
      this->ForgetInheritedLease(task.target);
    }
  }
  task.phase = TaskPhase::kWaiting;
  step.running -= 1;
  step.waiting += 1;
}

void WorkloadState::MarkDone(Job& job, const TaskRef& ref) {
  Step* step = nullptr;
  Job* same_job = nullptr;
  Task* task = this->Find(ref, &step, &same_job);
  if (task == nullptr || task->phase == TaskPhase::kDone) return;
  if (task->phase == TaskPhase::kRunning) {
    this->superseded_runs.push_back({ref, task->run, task->target, job.spec.steps[ref.step].gang});
  }
  this->StopRunning(ref, *task, *step);
  task->phase = TaskPhase::kDone;
  task->checkpoint.clear();
  step->waiting -= 1;
  step->done += 1;
  if (step->waiting == 0) this->ready.erase(ref.Step());
  if (step->done != step->tasks.size() || IsFinal(job.state)) return;
  for (std::uint32_t next = 0; next < job.spec.steps.size(); ++next) {
    this->UpdateReady(job, ref.occurrence, next);
  }
}

void WorkloadState::ApplyEnd(const End& end, std::int64_t at_ms) {
  Step* step = nullptr;
  Job* job = nullptr;
  Task* task = this->Find(end.task, &step, &job);
  if (task == nullptr) return;
  const StepSpec& spec = job->spec.steps[end.task.step];
  const bool is_current = task->phase == TaskPhase::kRunning && task->run == end.run;
  if (is_current) this->StopRunning(end.task, *task, *step);
  if (end.run == task->run && !end.checkpoint.empty() && task->phase != TaskPhase::kDone) {
    task->checkpoint = end.checkpoint;
  }
  if (end.how == RunEnd::kDone && !spec.long_running) {
    if (spec.gang) {
      // The end of one member completes the whole gang.
      for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
        this->MarkDone(*job, {end.task.job, end.task.occurrence, end.task.step, i});
      }
    } else {
      this->MarkDone(*job, end.task);
    }
  } else if (end.how == RunEnd::kFailed && !spec.long_running && task->phase != TaskPhase::kDone) {
    task->failures += 1;
    if (task->failures >= job->attempts && !IsFinal(job->state)) {
      this->Finish(*job, JobState::kFailed, at_ms);
      return;
    }
  }
  if (IsFinal(job->state)) {
    this->ReleaseEndedOccurrences(*job);
    return;
  }
  this->UpdateReady(*job, end.task.occurrence, end.task.step);
  this->CompleteIfDone(*job, end.task.occurrence, at_ms);
}

void WorkloadState::CompleteIfDone(Job& job, std::uint32_t occurrence, std::int64_t at_ms) {
  const auto open = job.open.find(occurrence);
  if (open == job.open.end()) return;
  const bool done = std::ranges::all_of(
      open->second, [](const Step& step) { return step.done == step.tasks.size(); });
  if (!done) return;
  job.open.erase(open);
  if (job.open.empty() && !HasOccurrencesLeft(job)) this->Finish(job, JobState::kComplete, at_ms);
}

void WorkloadState::OpenOccurrence(Job& job, std::uint32_t number) {
  std::vector<Step>& steps = job.open[number];
  for (const StepSpec& spec : job.spec.steps) {
    Step& step = steps.emplace_back();
    step.tasks.resize(spec.count);
    step.waiting = spec.count;
  }
  job.next_occurrence = number + 1;
  for (std::uint32_t i = 0; i < steps.size(); ++i) this->UpdateReady(job, number, i);
}

void WorkloadState::Finish(Job& job, JobState state, std::int64_t at_ms) {
  this->CountPending(job, -1);
  job.state = state;
  job.finished_ms = at_ms;
  this->finished.push_back(job.id);
  this->scheduled_jobs.erase(job.id);
  for (const auto& [occurrence, steps] : job.open) {
    for (std::uint32_t i = 0; i < steps.size(); ++i) this->ready.erase({job.id, occurrence, i});
  }
  this->ReleaseEndedOccurrences(job);
}

void WorkloadState::ReleaseEndedOccurrences(Job& job) {
  std::erase_if(job.open, [](const auto& entry) {
    return std::ranges::all_of(entry.second, [](const Step& step) { return step.running == 0; });
  });
  if (job.open.empty()) {
    job.spec.payload.clear();
    job.spec.steps.clear();
  }
}

void WorkloadState::UpdateReady(const Job& job, std::uint32_t occurrence, std::uint32_t step) {
  const auto open = job.open.find(occurrence);
  if (open == job.open.end() || IsFinal(job.state)) return;
  const std::vector<Step>& steps = open->second;
  const bool is_ready = steps[step].waiting > 0 &&
                        std::ranges::all_of(job.spec.steps[step].after, [&](std::uint32_t before) {
                          return steps[before].done == steps[before].tasks.size();
                        });
  if (is_ready) {
    this->ready.insert({job.id, occurrence, step});
  } else {
    this->ready.erase({job.id, occurrence, step});
  }
}

void WorkloadState::RemoveExpiredJobs(std::int64_t at_ms) {
  while (!this->finished.empty()) {
    const auto job = this->jobs.find(this->finished.front());
    if (job != this->jobs.end()) {
      if (at_ms - job->second.finished_ms < kRetentionMs || !job->second.open.empty()) return;
      this->jobs.erase(job);
    }
    this->finished.pop_front();
  }
}

Task* WorkloadState::Find(const TaskRef& ref, Step** step, Job** job) {
  const auto found = this->jobs.find(ref.job);
  if (found == this->jobs.end()) return nullptr;
  const auto open = found->second.open.find(ref.occurrence);
  if (open == found->second.open.end() || ref.step >= open->second.size()) return nullptr;
  Step& found_step = open->second[ref.step];
  if (ref.index >= found_step.tasks.size()) return nullptr;
  *job = &found->second;
  *step = &found_step;
  return &found_step.tasks[ref.index];
}

const Job* WorkloadState::FindJob(const JobId& id) const {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const Step* WorkloadState::FindStep(const StepRef& ref) const {
  const Job* job = this->FindJob(ref.job);
  if (job == nullptr) return nullptr;
  const auto open = job->open.find(ref.occurrence);
  if (open == job->open.end() || ref.step >= open->second.size()) return nullptr;
  return &open->second[ref.step];
}

const StepSpec* WorkloadState::SpecOf(const StepRef& ref) const {
  const Job* job = this->FindJob(ref.job);
  if (job == nullptr || ref.step >= job->spec.steps.size()) return nullptr;
  return &job->spec.steps[ref.step];
}

// The two functions below are called for each row of each list, so they copy no reference.

const StepSpec* WorkloadState::SpecOf(const TaskRef& ref) const {
  const Job* job = this->FindJob(ref.job);
  if (job == nullptr || ref.step >= job->spec.steps.size()) return nullptr;
  return &job->spec.steps[ref.step];
}

const Task* WorkloadState::FindTask(const TaskRef& ref) const {
  const Job* job = this->FindJob(ref.job);
  if (job == nullptr) return nullptr;
  const auto open = job->open.find(ref.occurrence);
  if (open == job->open.end() || ref.step >= open->second.size()) return nullptr;
  const Step& step = open->second[ref.step];
  return ref.index >= step.tasks.size() ? nullptr : &step.tasks[ref.index];
}

const std::string& WorkloadState::CheckpointOf(const TaskRef& ref) const {
  static const std::string none;
  const Task* task = this->FindTask(ref);
  if (task == nullptr) return none;
  const StepSpec* spec = this->SpecOf(ref);
  if (spec == nullptr || !spec->gang) return task->checkpoint;
  const std::vector<Task>& members = this->FindStep(ref.Step())->tasks;
  const auto found =
      std::ranges::find_if(members, [](const Task& member) { return !member.checkpoint.empty(); });
  return found == members.end() ? none : found->checkpoint;
}

void WorkloadState::NoteChangeOf(const std::string& target_id) {
  const auto target = this->targets.find(target_id);
  if (target != this->targets.end()) target->second.last_change = ++this->last_target_change;
}

void WorkloadState::CountPending(const Job& job, int change) {
  const bool is_pending = job.state == JobState::kQueued && job.spec.occurrences == 0;
  if (is_pending) this->pending[job.queue] += static_cast<std::size_t>(change);
}

std::size_t WorkloadState::Pending(const std::string& queue) const {
  const auto found = this->pending.find(queue);
  return found == this->pending.end() ? 0 : found->second;
}

std::string WorkloadState::Snapshot() const {
  SnapshotRecord record;
  record.declaration = this->declaration;
  for (const auto& [id, job] : this->jobs) record.jobs.push_back(job);
  std::ranges::sort(record.jobs, {}, &Job::id);
  for (const auto& [id, target] : this->targets) record.targets.push_back(target);
  record.finished.assign(this->finished.begin(), this->finished.end());
  record.retired.assign(this->retired.begin(), this->retired.end());
  for (const auto& [id, lease] : this->inherited_leases) record.inherited_leases.push_back(lease);
  return wire::EncodeRecord(record);
}

bool WorkloadState::Restore(std::string_view snapshot) {
  auto record = DecodeSnapshot(snapshot);
  if (!record) return false;
  this->declaration = std::move(record->declaration);
  this->jobs.clear();
  for (Job& job : record->jobs) {
    const JobId id = job.id;
    this->jobs.emplace(id, std::move(job));
  }
  this->targets.clear();
  for (TargetRecord& target : record->targets) {
    const std::string id = target.incarnation.id;
    this->targets.emplace(id, std::move(target));
  }
  this->finished.assign(record->finished.begin(), record->finished.end());
  this->retired.assign(record->retired.begin(), record->retired.end());
  this->inherited_leases.clear();
  for (const InheritLease& lease : record->inherited_leases) {
    this->inherited_leases.emplace(lease.incarnation.id, lease);
  }
  this->RebuildIndexes();
  return true;
}

void WorkloadState::RebuildIndexes() {
  this->last_retired.clear();
  for (const TargetIncarnation& target : this->retired) {
    this->last_retired[target.id] = target.number;
  }
  for (auto& [id, target] : this->targets) target.last_change = ++this->last_target_change;
  this->ready.clear();
  this->running_on.clear();
  this->scheduled_jobs.clear();
  this->pending.clear();
  for (const auto& [id, job] : this->jobs) {
    this->CountPending(job, +1);
    if (!IsFinal(job.state) && HasOccurrencesLeft(job)) this->scheduled_jobs.insert(id);
    for (const auto& [occurrence, steps] : job.open) {
      for (std::uint32_t step = 0; step < steps.size(); ++step) {
        this->UpdateReady(job, occurrence, step);
        for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
          const Task& task = steps[step].tasks[index];
          if (task.phase != TaskPhase::kRunning) continue;
          this->running_on[task.target].insert({id, occurrence, step, index});
        }
      }
    }
  }
}

}  // namespace mangoroad::workload
