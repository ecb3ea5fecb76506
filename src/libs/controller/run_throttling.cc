// Throttles best-effort tasks that slow latency-critical tasks on the same target, and migrates
// runs.
#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "base/soft_assert.h"
#include "controller/run_manager.h"
#include "log/log.h"

namespace mangoroad::controller {

using dispatch::RunView;
using dispatch::StartRequestState;
using dispatch::TargetView;
using workload::TargetRecord;
using workload::TaskRef;

namespace {

/// SLO utilization from which a latency-critical task beside best-effort tasks is polled more
/// often.
constexpr double kWatchedSloUtilization = 0.5;
/// Targets measure over about this time, so responses that follow sooner, one for each run that
/// ends, show the same measurement again.
constexpr base::Duration kObservationInterval = std::chrono::milliseconds(500);
/// A baseline that has moved by less since the last response changes no placement: the planner
/// compares interference in steps of three times this.
constexpr double kBaselineStep = 0.05;
/// Rate of a task that isn't throttled, in percent.
constexpr std::int32_t kFullRatePercent = 100;
/// Progress from which a long-running task serves requests, in percent.
constexpr std::int32_t kServingProgressPercent = 100;

}  // namespace

std::vector<RunManager::RankedRun> RunManager::RunsByUrgency(TargetView& view) const {
  std::vector<RankedRun> ranked;
  ranked.reserve(view.runs.size());
  bool has_best_effort = false;
  bool has_latency_critical = false;
  for (auto& [task, run] : view.runs) {
    if (run.spec == nullptr || run.is_obsolete) continue;
    has_best_effort = has_best_effort || run.spec->best_effort;
    has_latency_critical = has_latency_critical || run.spec->latency_slo_ms > 0;
    ranked.push_back({&task, &run, run.spec.get(), {}});
  }
  // The order only decides how best-effort runs share what latency-critical ones leave.
  if (!has_best_effort || !has_latency_critical) return ranked;
  const std::int64_t time_of_day_ms = this->context.TimeOfDayMs();
  for (RankedRun& entry : ranked) {
    const workload::Job* job = this->state.FindJob(entry.task->job);
    MANGOROAD_SOFT_ASSERT(job != nullptr, return ranked);
    entry.urgency = dispatch::UrgencyOf(*job, entry.task->step, time_of_day_ms);
  }
  std::ranges::sort(ranked, [](const RankedRun& a, const RankedRun& b) {
    return std::tie(a.urgency, b.run->percent, *a.task) <
           std::tie(b.urgency, a.run->percent, *b.task);
  });
  return ranked;
}

/// Updates the interference model from the response times of the latency-critical tasks, and sets
/// the rates of the best-effort tasks on the same target.
bool RunManager::UpdateThrottling(base::TimePoint now, TargetView& view) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr || record->capacity.cpu <= 0) return false;
  const auto capacity = static_cast<double>(record->capacity.cpu);
  std::vector<dispatch::LatencyCriticalTask> latency_critical;
  std::vector<dispatch::BestEffortTask> best_effort;
  std::vector<RunView*> latency_critical_runs;
  std::vector<RunView*> best_effort_runs;
  std::vector<dispatch::BestEffortShare> shares;
  for (const RankedRun& ranked : this->RunsByUrgency(view)) {
    RunView& run = *ranked.run;
    const workload::StepSpec* spec = ranked.spec;
    const auto usage = static_cast<double>(run.usage);
    if (spec->best_effort) {
      const double full_rate_share = static_cast<double>(spec->resources.cpu) / capacity;
      best_effort.push_back({spec->image, full_rate_share, usage / capacity});
      best_effort_runs.push_back(&run);
      shares.push_back({spec->image, usage / capacity});
    } else if (spec->latency_slo_ms > 0 && run.percent >= kServingProgressPercent) {
      // The usage of a latency-critical task is its tail latency in ms.
      latency_critical.push_back({spec->image, usage / static_cast<double>(spec->latency_slo_ms),
                                  run.baseline, false, run.violating_since});
      latency_critical_runs.push_back(&run);
    }
  }
  const bool is_near_slo =
      std::ranges::any_of(latency_critical, [](const dispatch::LatencyCriticalTask& task) {
        return task.slo_utilization >= kWatchedSloUtilization;
      });
  dispatch::InterferenceModel& model = this->targets.Interference();
  if (!latency_critical.empty() && now - view.observed_at >= kObservationInterval) {
    view.observed_at = now;
    const auto inputs = model.InputsOf(shares);
    for (const dispatch::LatencyCriticalTask& task : latency_critical) {
      model.Observe(task.image, inputs, task.slo_utilization);
    }
  }
  dispatch::PlanThrottling(now, model, this->settings.throttler, latency_critical, best_effort);
  bool has_moved = false;
  for (std::size_t i = 0; i < latency_critical.size(); ++i) {
    RunView& run = *latency_critical_runs[i];
    has_moved = has_moved || std::abs(latency_critical[i].baseline - run.baseline) >= kBaselineStep;
    run.baseline = latency_critical[i].baseline;
    run.violating_since = latency_critical[i].violating_since;
  }
  if (has_moved) view.load_changes += 1;
  bool is_throttled = false;
  bool has_new_rates = false;
  for (std::size_t i = 0; i < best_effort.size(); ++i) {
    RunView& run = *best_effort_runs[i];
    run.wanted_rate_percent = best_effort[i].rate_percent;
    has_new_rates = has_new_rates || run.wanted_rate_percent != run.rate_percent;
    is_throttled = is_throttled || best_effort[i].rate_percent < kFullRatePercent;
  }
  view.is_near_slo =
      !latency_critical.empty() && !best_effort.empty() && (is_near_slo || is_throttled);
  return has_new_rates;
}

void RunManager::SendThrottleRequests(TargetView& view) {
  for (auto& [task, run] : view.runs) {
    if (run.spec == nullptr || !run.spec->best_effort || run.is_obsolete) continue;
    if (run.is_throttle_in_flight) continue;
    if (run.start_request == StartRequestState::kConfirmed &&
        run.rate_percent != run.wanted_rate_percent) {
      this->SendThrottleRequest(view, task, run);
    }
  }
}

void RunManager::SendThrottleRequest(const TargetView& view, const TaskRef& task, RunView& run) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr || !this->context.MayLead()) return;
  run.is_throttle_in_flight = true;
  const std::int32_t rate_percent = run.wanted_rate_percent;
  this->calls.Throttle(
      this->EndpointOf(*record), {task, run.run, rate_percent, view.fence},
      [this, target = view.incarnation, task, run_number = run.run, rate_percent,
       sent_fence = view.fence,
       sent_generation = this->generation](base::TimePoint now, const CallResponse& response) {
        if (sent_generation != this->generation) return;
        TargetView* view_now = this->targets.Find(target.id);
        if (view_now == nullptr || view_now->incarnation != target) return;
        if (response.clock) view_now->lease.OnClock(now, *response.clock);
        if (response.status == CallStatus::kFenced) this->OnFenced(*view_now, sent_fence);
        const auto found = view_now->runs.find(task);
        if (found == view_now->runs.end() || found->second.run != run_number) return;
        found->second.is_throttle_in_flight = false;
        if (response.status == CallStatus::kDone) {
          this->OnThrottled(now, found->second, rate_percent);
        } else {
          log::Info(log::Category::kInterference, "pace failed",
                    {{"task", workload::ToText(task)},
                     {"run", run_number},
                     {"target", target.id},
                     {"verdict", base::NameOf(kCallStatusNames, response.status)}});
        }
        this->context.RequestAdvance();
      });
}

void RunManager::OnThrottled(base::TimePoint now, RunView& run, std::int32_t rate_percent) const {
  run.rate_percent = rate_percent;
  // The stall time-out starts anew at the new rate.
  run.progressed_at = now;
  if (rate_percent > this->settings.migration.low_rate_percent) {
    run.throttled_since.reset();
  } else if (!run.throttled_since) {
    run.throttled_since = now;
  }
}

void RunManager::MigrateRuns(base::TimePoint now) {
  if (now < this->next_migration_at) return;
  this->next_migration_at = now + this->settings.migration.interval;
  std::size_t migrations = 0;
  bool has_begun = false;
  for (auto& [id, view] : this->targets.All()) {
    const bool is_known = this->RecordOf(view.incarnation) != nullptr;
    if (view.unanswered_requests > 0 || view.replaced_at || !is_known) continue;
    for (auto& [task, run] : view.runs) {
      if (migrations >= this->settings.migration.max_per_round) return;
      const workload::StepSpec* spec = run.spec.get();
      if (spec == nullptr || run.is_migrating || run.is_obsolete) continue;
      const auto reason = dispatch::FindMigrationReason(now, this->settings.migration, *spec, run);
      if (!reason) continue;
      // A best-effort task also stalls where other tasks leave it no processor time, so this isn't
      // held against the target.
      if (*reason == dispatch::MigrationReason::kStalled && !spec->best_effort) {
        this->targets.OnStalled(view, now);
      }
      if (!std::exchange(has_begun, true)) this->planner.BeginMigrations(now);
      if (!this->planner.AllocateElsewhere(task)) continue;
      migrations += 1;
      run.is_migrating = true;
      view.has_pending_requests = true;
      log::Info(log::Category::kJobs, "run is to move",
                {{"task", workload::ToText(task)},
                 {"run", run.run},
                 {"target", view.incarnation.id},
                 {"cause", base::NameOf(dispatch::kMigrationReasonNames, *reason)},
                 {"pace", run.rate_percent},
                 {"progress", run.percent},
                 {"still_ms", base::ToMilliseconds(now - run.progressed_at)}});
    }
  }
}

}  // namespace mangoroad::controller
