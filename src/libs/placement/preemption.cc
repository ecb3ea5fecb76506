#include "placement/preemption.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mangoroad::placement::internal {
namespace {

using base::Duration;
using base::TimePoint;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string_view ReasonOf(ClearingKind kind) {
  return kind == ClearingKind::kUrgent ? "room for an urgent job"
                                       : "quota of another team is reclaimed";
}

}  // namespace

bool IsInPlace(const RowSpec& row, std::string_view domain) {
  return row.place.empty() || std::ranges::find(row.place, domain) != row.place.end();
}

bool Preemption::MayClear(const WaitingJob& job, const Target& target) const {
  const RowSpec& row = this->queue.Row(job.row);
  return target.known && target.spec.accepts_starts && !target.suspended && target.held_for == 0 &&
         IsInPlace(row, target.spec.failure_domain) && target.Accepts(row.name) &&
         job.request.reserve.FitsIn(target.Usable());
}

bool Preemption::IsAtLimit(ClearingKind kind) const {
  if (kind == ClearingKind::kUrgent) return false;
  const double share =
      kind == ClearingKind::kReclaim ? this->settings.reclaim_share : this->settings.hold_share;
  const double most = std::max(1.0, share * static_cast<double>(this->fleet.KnownCount()));
  const auto count = this->counts.find(kind);
  return count != this->counts.end() && static_cast<double>(count->second) >= most;
}

// The cost of a draining target is the time until its tasks are expected to end.
Preemption::Choice Preemption::DrainCost(TimePoint now, TargetNumber target) const {
  double longest = 0;
  for (const JobId job : this->fleet.At(target).tasks) {
    const Task& task = *this->fleet.FindTask(job);
    const double left = task.request.run_time_s - Seconds(now - task.started);
    longest = std::max(longest, left);
  }
  return {target, {{}, longest}};
}

std::optional<Preemption::Choice> Preemption::Examine(TimePoint now, const WaitingJob& job,
                                                      ClearingKind kind,
                                                      TargetNumber target) const {
  if (kind == ClearingKind::kDrain) {
    // Small jobs get their turn when any task ends; holding a target for them only wastes room.
    Resources quarter = this->fleet.At(target).Usable();
    quarter.millicores /= 4;
    quarter.memory_mib /= 4;
    quarter.accelerators = 0;
    if (job.request.reserve.FitsIn(quarter)) return std::nullopt;
    return this->DrainCost(now, target);
  }
  std::vector<Victim> victims;
  for (const JobId candidate : this->fleet.At(target).tasks) {
    const Task& task = *this->fleet.FindTask(candidate);
    const bool borrows = this->queue.ShareOf(this->queue.TeamOf(task.row)) > 1;
    if (kind == ClearingKind::kReclaim && !borrows) continue;
    const auto cost = EvictionCost(task, this->queue.Row(task.row), now, this->settings,
                                   kind == ClearingKind::kUrgent);
    if (cost) victims.push_back({candidate, task.request.reserve, *cost});
  }
  Resources missing = job.request.reserve;
  missing -= this->fleet.At(target).Free();
  auto chosen = ChooseVictims(std::move(victims), missing);
  if (!chosen) return std::nullopt;
  return Choice{target, std::move(*chosen)};
}

std::optional<Preemption::Choice> Preemption::ChooseTarget(TimePoint now, const WaitingJob& job,
                                                           ClearingKind kind) {
  const std::size_t count = this->fleet.Targets().size();
  std::optional<Choice> best;
  std::size_t feasible = 0;
  std::size_t examined = 0;
  // Only urgent work is worth a search of all targets; the others begin elsewhere the next time.
  const std::size_t most =
      kind == ClearingKind::kUrgent ? count : 4 * this->settings.eviction_candidates;
  for (std::size_t step = 0; step < count && examined < most; ++step) {
    const auto target = static_cast<TargetNumber>((this->cursor + step) % count);
    if (!this->MayClear(job, this->fleet.At(target))) continue;
    ++examined;
    auto choice = this->Examine(now, job, kind, target);
    if (!choice) continue;
    if (!best || choice->victims.cost < best->victims.cost) best = std::move(choice);
    if (++feasible == this->settings.eviction_candidates) break;
  }
  this->cursor += most;
  return best;
}

bool Preemption::Begin(TimePoint now, const WaitingJob& job, ClearingKind kind) {
  std::vector<Plan>& own = this->plans[job.request.job];
  const bool late = kind == ClearingKind::kUrgent && own.size() == 1 &&
                    now - own.front().began >= this->settings.urgent_second_plan_after;
  if ((!own.empty() && !late) || this->IsAtLimit(kind)) {
    if (own.empty()) this->plans.erase(job.request.job);
    return false;
  }
  auto choice = this->ChooseTarget(now, job, kind);
  if (!choice) {
    if (own.empty()) this->plans.erase(job.request.job);
    return false;
  }
  this->fleet.Hold(choice->target, job.request.job);
  ++this->counts[kind];
  own.push_back({.kind = kind,
                 .target = choice->target,
                 .began = now,
                 .victims = std::move(choice->victims.jobs)});
  return true;
}

void Preemption::AdvancePlan(TimePoint now, Plan& plan, std::vector<Order>& orders) {
  if (plan.kind == ClearingKind::kDrain) return;
  const bool urgent = plan.kind == ClearingKind::kUrgent;
  const Duration elapsed = now - plan.began;
  const Duration checkpoint_after = urgent ? this->settings.urgent_checkpoint_after : Duration(0);
  const Duration stop_after =
      urgent ? this->settings.urgent_stop_after : this->settings.reclaim_stop_after;
  const auto order = [&](const Task& task, jobs::TaskAction action) {
    orders.push_back({task.job, task.token, action, std::string(ReasonOf(plan.kind))});
  };
  for (const JobId job : plan.victims) {
    Task* task = this->fleet.FindTask(job);
    if (task == nullptr || task->target != plan.target || task->stopping) continue;
    if (urgent && !plan.throttled) {
      order(*task, jobs::TaskAction::kThrottle);
      task->throttled = true;
    }
    if (elapsed < checkpoint_after) continue;
    const auto [ordered, first] = plan.checkpoints.try_emplace(job, task->checkpoint);
    if (first && task->request.checkpointable) order(*task, jobs::TaskAction::kCheckpoint);
    const bool written = task->checkpoint > ordered->second;
    if (!task->request.checkpointable || written || elapsed >= stop_after) {
      order(*task, jobs::TaskAction::kStop);
      task->stopping = true;
    }
  }
  plan.throttled = true;
}

// The target left, or all victims ended without making enough room.
bool Preemption::IsHopeless(const Plan& plan, const WaitingJob& job) const {
  const Target& target = this->fleet.At(plan.target);
  if (!target.known || !target.spec.accepts_starts || target.suspended) return true;
  if (plan.kind == ClearingKind::kDrain) return !job.request.reserve.FitsIn(target.Usable());
  const bool waits = std::ranges::any_of(plan.victims, [&](JobId victim) {
    const Task* task = this->fleet.FindTask(victim);
    return task != nullptr && task->target == plan.target;
  });
  return !waits && !job.request.reserve.FitsIn(target.Free());
}

void Preemption::Advance(TimePoint now, std::vector<Order>& orders) {
  for (auto& [job, own] : this->plans) {
    const WaitingJob* waiting = this->queue.Find(job);
    if (waiting == nullptr) continue;
    std::erase_if(own, [&](Plan& plan) {
      if (!this->IsHopeless(plan, *waiting)) return false;
      this->Release(plan, orders);
      return true;
    });
    for (Plan& plan : own) this->AdvancePlan(now, plan, orders);
  }
  std::erase_if(this->plans, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<TargetNumber> Preemption::ReadyTarget(const WaitingJob& job) const {
  const auto own = this->plans.find(job.request.job);
  if (own == this->plans.end()) return std::nullopt;
  for (const Plan& plan : own->second) {
    const Target& target = this->fleet.At(plan.target);
    if (target.known && target.spec.accepts_starts && !target.suspended &&
        job.request.reserve.FitsIn(target.Free())) {
      return plan.target;
    }
  }
  return std::nullopt;
}

std::vector<JobId> Preemption::Beneficiaries() const {
  std::vector<JobId> jobs;
  jobs.reserve(this->plans.size());
  for (const auto& [job, own] : this->plans) jobs.push_back(job);
  std::ranges::sort(jobs);
  return jobs;
}

void Preemption::Release(Plan& plan, std::vector<Order>& orders) {
  this->fleet.Hold(plan.target, 0);
  --this->counts[plan.kind];
  for (const JobId job : plan.victims) {
    Task* task = this->fleet.FindTask(job);
    if (task == nullptr || task->stopping || !task->throttled || task->target != plan.target) {
      continue;
    }
    task->throttled = false;
    orders.push_back({job, task->token, jobs::TaskAction::kUnthrottle, "room found elsewhere"});
  }
}

void Preemption::Finish(JobId job, std::vector<Order>& orders) {
  const auto own = this->plans.find(job);
  if (own == this->plans.end()) return;
  for (Plan& plan : own->second) this->Release(plan, orders);
  this->plans.erase(own);
}

}  // namespace mangoroad::placement::internal
