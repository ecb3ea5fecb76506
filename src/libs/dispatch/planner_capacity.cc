// The capacity of targets between and within rounds, and what best-effort tasks would get there.
#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "dispatch/planner.h"

namespace mangoroad::dispatch {

using workload::StepSpec;
using workload::TargetRecord;

namespace {

/// Logarithm of the SLO utilization without neighbours that is assumed of a latency-critical task
/// until it is measured, and the lower limit afterwards.
constexpr double kBaselinePrior = -0.8;
/// Logarithm of the SLO utilization up to which best-effort tasks are placed, 0.64. Lower than what
/// the throttler aims at: the load of latency-critical tasks varies by half within seconds, and
/// each start of an interfering task costs about 0.8 s of SLO violation until it is throttled.
constexpr double kPlacementLimit = -0.45;
/// Size of an interference level; finer differences matter less than a target's free processors.
constexpr double kInterferenceStep = 0.15;
constexpr double kNegligibleInterference = 0.06;
/// Fraction of their processors that latency-critical tasks leave unused on average.
constexpr double kUnusedFraction = 0.5;
/// A capacity is measured anew after this time at the latest, since the interference model changes
/// with the measurements of other targets, too.
constexpr base::Duration kMaxCapacityAge = std::chrono::milliseconds(500);

/// Thousandths of a core that are expected to be left to best-effort tasks.
double UnusedCpu(const Planner::TargetCapacity& capacity) {
  return static_cast<double>(capacity.free.cpu) +
         kUnusedFraction * static_cast<double>(capacity.latency_critical_cpu);
}

double ShareOf(const TargetRecord& target, const StepSpec& spec) {
  return target.capacity.cpu <= 0
             ? 0.0
             : static_cast<double>(spec.resources.cpu) / static_cast<double>(target.capacity.cpu);
}

}  // namespace

Planner::UpperBounds Planner::UpperBoundsOf(const TargetCapacity& capacity) const {
  const double best_effort_cpu = UnusedCpu(capacity) / this->limits.min_rate;
  return {capacity.free.cpu,
          static_cast<std::int64_t>(std::ceil(best_effort_cpu)) - capacity.best_effort_cpu,
          capacity.free.cpu - capacity.best_effort_cpu, capacity.changed_round};
}

double Planner::ExpectedRate(const TargetCapacity& capacity, const Request& request) const {
  const StepSpec& spec = request.spec;
  const InterferenceModel& model = this->tracker.Interference();
  const double share = ShareOf(*capacity.target, spec);
  const double wanted = static_cast<double>(capacity.best_effort_cpu + spec.resources.cpu);
  const double unused = UnusedCpu(capacity);
  double rate = wanted <= 0 ? 1.0 : std::min(1.0, std::max(0.0, unused) / wanted);
  for (const LatencyCriticalLoad& load : capacity.latency_critical) {
    const double interference = model.InterferenceAt(load.regression, request.image_index) * share;
    // A task that interferes little may start even if others have used up the budget.
    if (interference < kNegligibleInterference) continue;
    const double budget = kPlacementLimit - load.baseline - load.interference;
    rate = std::min(rate, std::max(0.0, budget / interference));
  }
  return rate;
}

/// Packs latency-critical tasks of one image on few targets, which leaves the others to work that
/// would interfere with them. Lower is better.
std::int64_t Planner::ColocationScore(const TargetCapacity& capacity, const StepSpec& spec) {
  std::int64_t colocation = 0;
  for (const LatencyCriticalLoad& load : capacity.latency_critical) {
    colocation += load.image == spec.image ? -load.count : load.count;
  }
  return colocation;
}

int Planner::InterferenceLevel(const TargetCapacity& capacity, const Request& request) const {
  if (request.spec.latency_slo_ms <= 0) return 0;
  const InterferenceModel& model = this->tracker.Interference();
  double sum = 0;
  for (const Neighbour& neighbour : capacity.neighbours) {
    sum += model.InterferenceAt(request.regression, neighbour.index) * neighbour.share;
  }
  return static_cast<int>(std::max(0.0, kBaselinePrior + sum - kPlacementLimit) /
                          kInterferenceStep);
}

bool Planner::IsUpToDate(base::TimePoint now, const TargetRecord& target, const TargetView& view,
                         const TargetCapacity& capacity) const {
  return capacity.target == &target && !capacity.has_planned_tasks &&
         capacity.state_change == target.last_change &&
         capacity.load_changes == view.load_changes && now - capacity.measured_at < kMaxCapacityAge;
}

void Planner::MeasureCapacity(base::TimePoint now, const TargetRecord& target,
                              const TargetView& view, TargetCapacity& capacity) {
  this->effort.measured_targets += 1;
  capacity = {};
  capacity.target = &target;
  capacity.free = target.capacity;
  capacity.free -= view.orphaned;
  capacity.state_change = target.last_change;
  capacity.changed_round = this->round;
  capacity.load_changes = view.load_changes;
  capacity.measured_at = now;
  static const std::set<TaskRef> none;
  const auto found = this->state.RunningOn().find(target.incarnation);
  const std::set<TaskRef>& running = found == this->state.RunningOn().end() ? none : found->second;
  // Latency-critical tasks first, so that the interference of each neighbour is added to them.
  std::vector<const StepSpec*> others;
  // A run whose task is done already occupies its target until its end is listed: "What is being
  // stopped still counts" (RULES.md, LIMIT).
  for (const auto& [task, view_of_run] : view.runs) {
    if (view_of_run.spec != nullptr && !running.contains(task)) {
      others.push_back(view_of_run.spec.get());
    }
  }
  // Both are in the order of tasks.
  auto run = view.runs.begin();
  for (const TaskRef& task : running) {
    while (run != view.runs.end() && run->first < task) ++run;
    const bool has_view = run != view.runs.end() && run->first == task;
    const StepSpec* spec = has_view ? run->second.spec.get() : nullptr;
    if (spec == nullptr) spec = this->state.SpecOf(task);
    if (spec == nullptr) continue;
    if (!spec->long_running && !spec->best_effort) capacity.short_cpu += spec->resources.cpu;
    if (spec->latency_slo_ms <= 0) {
      others.push_back(spec);
      continue;
    }
    this->AllocateLatencyCritical(capacity, *spec,
                                  has_view ? run->second.baseline : kBaselinePrior);
  }
  for (const StepSpec* spec : others) this->AddTask(capacity, *spec);
}

void Planner::AddUsable(TargetCapacity& capacity) {
  // What was reserved or unusable in the last round has become available.
  if (capacity.is_reserved || !capacity.is_usable) capacity.changed_round = this->round;
  capacity.is_reserved = false;
  capacity.is_usable = true;
  capacity.position = this->capacities.size();
  this->capacities.push_back(&capacity);
  this->upper_bounds.push_back(this->UpperBoundsOf(capacity));
}

void Planner::MeasureCapacities(base::TimePoint now) {
  this->round += 1;
  this->capacities.clear();
  this->upper_bounds.clear();
  auto& views = this->tracker.All();
  auto view = views.begin();
  auto kept = this->measured.begin();
  for (const auto& [id, target] : this->state.Targets()) {
    while (view != views.end() && view->first < id) ++view;
    while (kept != this->measured.end() && kept->first < id) kept = this->measured.erase(kept);
    if (view == views.end()) break;
    if (view->first != id || view->second.incarnation != target.incarnation) continue;
    if (kept == this->measured.end() || kept->first != id) {
      kept = this->measured.emplace_hint(kept, id, TargetCapacity());
    }
    TargetCapacity& capacity = kept->second;
    ++kept;
    if (!this->IsUpToDate(now, target, view->second, capacity)) {
      this->MeasureCapacity(now, target, view->second, capacity);
    }
    if (!target.draining && this->tracker.IsUsable(view->second, now)) {
      this->AddUsable(capacity);
    } else {
      capacity.is_usable = false;
    }
  }
  // The records of targets that have left no longer exist.
  this->measured.erase(kept, this->measured.end());
}

void Planner::AllocateLatencyCritical(TargetCapacity& capacity, const StepSpec& spec,
                                      double baseline) const {
  auto load = std::ranges::find(capacity.latency_critical, spec.image, &LatencyCriticalLoad::image);
  if (load == capacity.latency_critical.end()) {
    const InterferenceModel& model = this->tracker.Interference();
    LatencyCriticalLoad added{spec.image, model.FindRegression(spec.image), 0, kBaselinePrior, 0};
    for (const Neighbour& neighbour : capacity.neighbours) {
      added.interference +=
          model.InterferenceAt(added.regression, neighbour.index) * neighbour.share;
    }
    load = capacity.latency_critical.insert(capacity.latency_critical.end(), std::move(added));
  }
  load->count += 1;
  load->baseline = std::max(load->baseline, baseline);
  capacity.latency_critical_cpu += spec.resources.cpu;
  capacity.free -= spec.resources;
}

void Planner::Allocate(TargetCapacity& capacity, const StepSpec& spec) {
  capacity.has_planned_tasks = true;
  this->AddTask(capacity, spec);
  this->upper_bounds[capacity.position] = this->UpperBoundsOf(capacity);
}

void Planner::AddTask(TargetCapacity& capacity, const StepSpec& spec) const {
  if (spec.latency_slo_ms > 0) return this->AllocateLatencyCritical(capacity, spec, kBaselinePrior);
  workload::Resources used = spec.resources;
  if (spec.best_effort) {
    const InterferenceModel& model = this->tracker.Interference();
    const Neighbour added{model.FindImageIndex(spec.image), ShareOf(*capacity.target, spec)};
    capacity.best_effort_cpu += used.cpu;
    capacity.neighbours.push_back(added);
    for (LatencyCriticalLoad& load : capacity.latency_critical) {
      load.interference += model.InterferenceAt(load.regression, added.index) * added.share;
    }
    used.cpu = 0;
  }
  capacity.free -= used;
}

}  // namespace mangoroad::dispatch
