#include "placement/preemption.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mangoroad::placement::internal {
namespace {

using base::Duration;
using base::TimePoint;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string_view ReasonOf(PreemptionKind kind) {
  return kind == PreemptionKind::kUrgent ? "room for an urgent job"
                                         : "quota of another team is reclaimed";
}

}  // namespace

bool AllowsDomain(const RowSpec& row, std::string_view domain) {
  return row.failure_domains.empty() ||
         std::ranges::find(row.failure_domains, domain) != row.failure_domains.end();
}

bool Preemption::MayClear(const WaitingJob& job, const Target& target) const {
  const RowSpec& row = this->queue.Row(job.row);
  return target.known && target.spec.accepts_starts && !target.suspended &&
         target.reserved_for == 0 && AllowsDomain(row, target.spec.failure_domain) &&
         target.Accepts(row.name) && job.request.reservation.FitsIn(target.Allocatable());
}

bool Preemption::IsAtLimit(PreemptionKind kind) const {
  if (kind == PreemptionKind::kUrgent) return false;
  const double share = kind == PreemptionKind::kReclaim ? this->settings.max_reclaiming_share
                                                        : this->settings.max_reserved_target_share;
  const double most = std::max(1.0, share * static_cast<double>(this->fleet.KnownCount()));
  const auto count = this->counts.find(kind);
  return count != this->counts.end() && static_cast<double>(count->second) >= most;
}

// Cost of draining a target: the time until its tasks are expected to end.
Preemption::Choice Preemption::DrainCost(TimePoint now, TargetNumber target) const {
  double longest = 0;
  for (const JobId job : this->fleet.At(target).tasks) {
    const Task& task = *this->fleet.FindTask(job);
    const double left = task.request.run_time_s - Seconds(now - task.started);
    longest = std::max(longest, left);
  }
  return {target, {{}, longest}};
}

std::optional<Preemption::Choice> Preemption::EvaluateTarget(TimePoint now, const WaitingJob& job,
                                                             PreemptionKind kind,
                                                             TargetNumber target) const {
  if (kind == PreemptionKind::kDrain) {
    // Small jobs fit as soon as some task ends; reserving a target for them would waste capacity.
    Resources quarter = this->fleet.At(target).Allocatable();
    quarter.millicores /= 4;
    quarter.memory_mib /= 4;
    quarter.accelerators = 0;
    if (job.request.reservation.FitsIn(quarter)) return std::nullopt;
    return this->DrainCost(now, target);
  }
  std::vector<Victim> victims;
  for (const JobId candidate : this->fleet.At(target).tasks) {
    const Task& task = *this->fleet.FindTask(candidate);
    const bool borrows = this->queue.QuotaUtilization(this->queue.TeamOf(task.row)) > 1;
    if (kind == PreemptionKind::kReclaim && !borrows) continue;
    const auto cost = EvictionCost(task, this->queue.Row(task.row), now, this->settings,
                                   kind == PreemptionKind::kUrgent);
    if (cost) victims.push_back({candidate, task.request.reservation, *cost});
  }
  Resources missing = job.request.reservation;
  missing -= this->fleet.At(target).Free();
  auto chosen = ChooseVictims(std::move(victims), missing);
  if (!chosen) return std::nullopt;
  return Choice{target, std::move(*chosen)};
}

std::optional<Preemption::Choice> Preemption::ChooseTarget(TimePoint now, const WaitingJob& job,
                                                           PreemptionKind kind) {
  const std::size_t count = this->fleet.Targets().size();
  std::optional<Choice> best;
  std::size_t feasible = 0;
  std::size_t examined = 0;
  // Only urgent work justifies a search of all targets; other searches continue at the cursor.
  const std::size_t most =
      kind == PreemptionKind::kUrgent ? count : 4 * this->settings.eviction_candidates;
  for (std::size_t step = 0; step < count && examined < most; ++step) {
    const auto target = static_cast<TargetNumber>((this->cursor + step) % count);
    if (!this->MayClear(job, this->fleet.At(target))) continue;
    ++examined;
    auto choice = this->EvaluateTarget(now, job, kind, target);
    if (!choice) continue;
    if (!best || choice->victims.cost < best->victims.cost) best = std::move(choice);
    if (++feasible == this->settings.eviction_candidates) break;
  }
  this->cursor += most;
  return best;
}

bool Preemption::Begin(TimePoint now, const WaitingJob& job, PreemptionKind kind) {
  std::vector<Plan>& job_plans = this->plans[job.request.job];
  const bool needs_second_plan =
      kind == PreemptionKind::kUrgent && job_plans.size() == 1 &&
      now - job_plans.front().began >= this->settings.urgent_second_plan_after;
  if ((!job_plans.empty() && !needs_second_plan) || this->IsAtLimit(kind)) {
    if (job_plans.empty()) this->plans.erase(job.request.job);
    return false;
  }
  auto choice = this->ChooseTarget(now, job, kind);
  if (!choice) {
    if (job_plans.empty()) this->plans.erase(job.request.job);
    return false;
  }
  this->fleet.ReserveTarget(choice->target, job.request.job);
  ++this->counts[kind];
  job_plans.push_back({.kind = kind,
                       .target = choice->target,
                       .began = now,
                       .victims = std::move(choice->victims.jobs)});
  return true;
}

void Preemption::AdvancePlan(TimePoint now, Plan& plan,
                             std::vector<ActionRequest>& action_requests) {
  if (plan.kind == PreemptionKind::kDrain) return;
  const bool urgent = plan.kind == PreemptionKind::kUrgent;
  const Duration elapsed = now - plan.began;
  const Duration checkpoint_after = urgent ? this->settings.urgent_checkpoint_after : Duration(0);
  const Duration stop_after =
      urgent ? this->settings.urgent_stop_after : this->settings.reclaim_stop_after;
  const auto request_action = [&](const Task& task, jobs::TaskAction action) {
    action_requests.push_back({task.job, task.token, action, std::string(ReasonOf(plan.kind))});
  };
  for (const JobId job : plan.victims) {
    Task* task = this->fleet.FindTask(job);
    if (task == nullptr || task->target != plan.target || task->stopping) continue;
    if (urgent && !plan.throttled) {
      request_action(*task, jobs::TaskAction::kThrottle);
      task->throttled = true;
    }
    if (elapsed < checkpoint_after) continue;
    const auto [requested, first] = plan.checkpoints.try_emplace(job, task->checkpoint);
    if (first && task->request.checkpointable) request_action(*task, jobs::TaskAction::kCheckpoint);
    const bool written = task->checkpoint > requested->second;
    if (!task->request.checkpointable || written || elapsed >= stop_after) {
      request_action(*task, jobs::TaskAction::kStop);
      task->stopping = true;
    }
  }
  plan.throttled = true;
}

// True when the target is unavailable, or all victims ended without freeing enough capacity.
bool Preemption::CannotSucceed(const Plan& plan, const WaitingJob& job) const {
  const Target& target = this->fleet.At(plan.target);
  if (!target.known || !target.spec.accepts_starts || target.suspended) return true;
  if (plan.kind == PreemptionKind::kDrain) {
    return !job.request.reservation.FitsIn(target.Allocatable());
  }
  const bool waits = std::ranges::any_of(plan.victims, [&](JobId victim) {
    const Task* task = this->fleet.FindTask(victim);
    return task != nullptr && task->target == plan.target;
  });
  return !waits && !job.request.reservation.FitsIn(target.Free());
}

void Preemption::Advance(TimePoint now, std::vector<ActionRequest>& action_requests) {
  for (auto& [job, job_plans] : this->plans) {
    const WaitingJob* waiting = this->queue.Find(job);
    if (waiting == nullptr) continue;
    std::erase_if(job_plans, [&](Plan& plan) {
      if (!this->CannotSucceed(plan, *waiting)) return false;
      this->Release(plan, action_requests);
      return true;
    });
    for (Plan& plan : job_plans) this->AdvancePlan(now, plan, action_requests);
  }
  std::erase_if(this->plans, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<TargetNumber> Preemption::ReadyTarget(const WaitingJob& job) const {
  const auto job_plans = this->plans.find(job.request.job);
  if (job_plans == this->plans.end()) return std::nullopt;
  for (const Plan& plan : job_plans->second) {
    const Target& target = this->fleet.At(plan.target);
    if (target.known && target.spec.accepts_starts && !target.suspended &&
        job.request.reservation.FitsIn(target.Free())) {
      return plan.target;
    }
  }
  return std::nullopt;
}

std::vector<JobId> Preemption::JobsWithPlans() const {
  std::vector<JobId> jobs;
  jobs.reserve(this->plans.size());
  for (const auto& [job, job_plans] : this->plans) jobs.push_back(job);
  std::ranges::sort(jobs);
  return jobs;
}

void Preemption::Release(Plan& plan, std::vector<ActionRequest>& action_requests) {
  this->fleet.ReserveTarget(plan.target, 0);
  --this->counts[plan.kind];
  for (const JobId job : plan.victims) {
    Task* task = this->fleet.FindTask(job);
    if (task == nullptr || task->stopping || !task->throttled || task->target != plan.target) {
      continue;
    }
    task->throttled = false;
    action_requests.push_back(
        {job, task->token, jobs::TaskAction::kUnthrottle, "room was found on another target"});
  }
}

void Preemption::Finish(JobId job, std::vector<ActionRequest>& action_requests) {
  const auto job_plans = this->plans.find(job);
  if (job_plans == this->plans.end()) return;
  for (Plan& plan : job_plans->second) this->Release(plan, action_requests);
  this->plans.erase(job_plans);
}

}  // namespace mangoroad::placement::internal
