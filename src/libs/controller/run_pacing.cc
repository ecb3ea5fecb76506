// The leader's watch over tasks that serve and the paces of those that fill beside them.
#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "controller/run_leader.h"
#include "log/log.h"

namespace mangoroad::controller {

using dispatch::RunView;
using dispatch::StartRequestState;
using dispatch::TargetView;
using workload::TargetRecord;
using workload::TaskRef;

namespace {

/// Part of its bound from which a serving task beside tasks that fill is watched closely.
constexpr double kTenseUse = 0.5;
/// Pace of a task that isn't slowed, in percent.
constexpr std::int32_t kFullPace = 100;
/// Progress at which a task that lasts is at work.
constexpr std::int32_t kAtWorkPercent = 100;

}  // namespace

std::vector<TaskRef> RunLeader::RunsByUrgency(const TargetView& view) const {
  const std::int64_t time_of_day = this->context.TimeOfDayMs();
  std::vector<std::tuple<dispatch::Urgency, std::int32_t, TaskRef>> keys;
  for (const auto& [task, run] : view.runs) {
    const workload::Job* job = this->ledger.FindJob(task.job);
    if (job == nullptr || workload::IsFinal(job->state)) continue;
    keys.emplace_back(dispatch::UrgencyOf(*job, task.step, time_of_day), -run.percent, task);
  }
  std::ranges::sort(keys);
  std::vector<TaskRef> tasks;
  tasks.reserve(keys.size());
  for (auto& key : keys) tasks.push_back(std::move(std::get<2>(key)));
  return tasks;
}

/// Learns from what the serving tasks measured, and sets the pace of those that fill beside them.
void RunLeader::MeasureServing(base::TimePoint now, TargetView& view) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr || record->capacity.cpu <= 0) return;
  const auto room = static_cast<double>(record->capacity.cpu);
  std::vector<dispatch::LatencyCriticalTask> serving;
  std::vector<dispatch::BestEffortTask> filling;
  std::vector<RunView*> serving_runs;
  std::vector<RunView*> filling_runs;
  std::vector<dispatch::BestEffortShare> shares;
  for (const TaskRef& task : this->RunsByUrgency(view)) {
    RunView& run = view.runs.at(task);
    const workload::StepSpec* spec = this->ledger.SpecOf(task.Step());
    if (spec == nullptr) continue;
    const auto usage = static_cast<double>(run.usage);
    if (spec->best_effort) {
      const double full = static_cast<double>(spec->resources.cpu) / room;
      filling.push_back({spec->image, full, usage / room});
      filling_runs.push_back(&run);
      shares.push_back({spec->image, usage / room});
    } else if (spec->latency_slo_ms > 0 && run.percent >= kAtWorkPercent) {
      serving.push_back({spec->image, usage / static_cast<double>(spec->latency_slo_ms),
                         run.baseline, false, run.violating_since});
      serving_runs.push_back(&run);
    }
  }
  const bool is_near_bound = std::ranges::any_of(
      serving,
      [](const dispatch::LatencyCriticalTask& task) { return task.slo_utilization >= kTenseUse; });
  for (const dispatch::LatencyCriticalTask& task : serving) {
    this->book.Interference().Observe(task.image, shares, task.slo_utilization);
  }
  dispatch::PlanThrottling(now, this->book.Interference(), this->settings.pacer, serving, filling);
  for (std::size_t i = 0; i < serving.size(); ++i) {
    serving_runs[i]->baseline = serving[i].baseline;
    serving_runs[i]->violating_since = serving[i].violating_since;
  }
  bool is_slowed = false;
  for (std::size_t i = 0; i < filling.size(); ++i) {
    filling_runs[i]->wanted_rate_percent = filling[i].rate_percent;
    is_slowed = is_slowed || filling[i].rate_percent < kFullPace;
  }
  view.is_near_slo = !serving.empty() && !filling.empty() && (is_near_bound || is_slowed);
}

void RunLeader::SendPaces(TargetView& view) {
  for (auto& [task, run] : view.runs) {
    const workload::StepSpec* spec = this->ledger.SpecOf(task.Step());
    if (spec == nullptr || !spec->best_effort || run.is_throttle_in_flight) continue;
    if (run.start_request == StartRequestState::kConfirmed &&
        run.rate_percent != run.wanted_rate_percent) {
      this->SendPace(view, task, run);
    }
  }
}

void RunLeader::SendPace(const TargetView& view, const TaskRef& task, RunView& run) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr || !this->context.MayLead()) return;
  run.is_throttle_in_flight = true;
  const std::int32_t percent = run.wanted_rate_percent;
  this->calls.Pace(
      this->DestinationOf(*record), {task, run.run, percent, this->fence},
      [this, life = view.incarnation, task, number = run.run, percent,
       sent_generation = this->generation](base::TimePoint now, const OrderAnswer& answer) {
        if (sent_generation != this->generation) return;
        TargetView* view_now = this->book.Find(life.id);
        if (view_now == nullptr || view_now->incarnation != life) return;
        if (answer.clock) view_now->lease.OnClock(now, *answer.clock);
        const auto found = view_now->runs.find(task);
        if (found == view_now->runs.end() || found->second.run != number) return;
        found->second.is_throttle_in_flight = false;
        if (answer.verdict == Verdict::kDone) {
          this->NotePace(now, found->second, percent);
        } else {
          log::Info(log::Category::kInterference, "pace failed",
                    {{"task", workload::ToText(task)},
                     {"run", number},
                     {"target", life.id},
                     {"verdict", base::NameOf(kVerdictNames, answer.verdict)}});
        }
        this->context.RequestAdvance();
      });
}

void RunLeader::NotePace(base::TimePoint now, RunView& run, std::int32_t percent) const {
  run.rate_percent = percent;
  // Progress is judged anew at the new pace.
  run.progressed_at = now;
  if (percent > this->settings.moves.low_rate_percent) {
    run.throttled_since.reset();
  } else if (!run.throttled_since) {
    run.throttled_since = now;
  }
}

void RunLeader::MoveRuns(base::TimePoint now) {
  if (now < this->next_moves) return;
  this->next_moves = now + this->settings.moves.interval;
  std::size_t moved = 0;
  bool is_measured = false;
  for (auto& [id, view] : this->book.All()) {
    if (view.unanswered_requests > 0) continue;
    for (auto& [task, run] : view.runs) {
      if (moved >= this->settings.moves.max_per_round) return;
      const workload::StepSpec* spec = this->ledger.SpecOf(task.Step());
      if (spec == nullptr || run.is_migrating) continue;
      const auto cause = dispatch::FindMigrationReason(now, this->settings.moves, *spec, run);
      if (!cause) continue;
      // A task that fills also stands still where the others leave it no processor time.
      if (*cause == dispatch::MigrationReason::kStalled && !spec->best_effort) {
        this->book.OnStalled(view, now);
      }
      if (!std::exchange(is_measured, true)) this->planner.BeginMigrations(now);
      if (!this->planner.AllocateElsewhere(task)) continue;
      moved += 1;
      run.is_migrating = true;
      view.has_pending_requests = true;
      log::Info(log::Category::kJobs, "run is to move",
                {{"task", workload::ToText(task)},
                 {"run", run.run},
                 {"target", view.incarnation.id},
                 {"cause", base::NameOf(dispatch::kMigrationReasonNames, *cause)},
                 {"pace", run.rate_percent},
                 {"progress", run.percent},
                 {"still_ms", base::ToMilliseconds(now - run.progressed_at)}});
    }
  }
}

}  // namespace mangoroad::controller
