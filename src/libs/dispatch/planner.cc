#include "dispatch/planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <ranges>
#include <set>
#include <tuple>
#include <utility>

namespace mangoroad::dispatch {

using workload::Job;
using workload::Start;
using workload::Step;
using workload::StepRef;
using workload::StepSpec;
using workload::TargetRecord;
using workload::Task;
using workload::TaskPhase;

namespace {

/// A result is of some use until three times the objective, so for two more after it is missed.
constexpr std::int64_t kLateFactor = 2;
/// Estimates are off by up to half, so a job counts as late only if its slack is below this
/// fraction of the remaining estimate.
constexpr double kLateEstimateFraction = 0.5;

}  // namespace

Urgency UrgencyOf(const Job& job, std::uint32_t step, std::int64_t time_of_day_ms) {
  const auto allowed = static_cast<std::int64_t>(
                           job.stretch * static_cast<double>(std::ranges::max(job.remaining_ms))) +
                       job.objective_ms;
  Urgency urgency;
  urgency.slack_ms = job.accepted_ms + allowed - time_of_day_ms;
  urgency.is_new = job.state == workload::JobState::kQueued;
  if (urgency.slack_ms < -kLateFactor * allowed) {
    urgency.prospect = Prospect::kOverdue;
  } else if (static_cast<double>(urgency.slack_ms) <
             kLateEstimateFraction * static_cast<double>(job.remaining_ms[step])) {
    urgency.prospect = Prospect::kLate;
  }
  return urgency;
}

namespace {

/// Levels in which the expected rates of a best-effort task are compared.
constexpr double kLevels = 10;
/// Targets that are scored for a step at first, beside those for each of its tasks.
constexpr std::size_t kMinCandidates = 64;
constexpr std::size_t kCandidatesPerTask = 2;
/// True when the task failed or stalled where it ran last, so that another target is better.
bool HasRunBadly(const StepSpec& spec, const Task& task) {
  return spec.long_running ? task.failures > 0 : task.run > 0;
}

}  // namespace

Planner::Request Planner::RequestOf(const Job& job, const StepSpec& spec) const {
  const InterferenceModel& model = this->tracker.Interference();
  Request request{job, spec, spec.resources};
  // A best-effort task takes only the processor time that others leave.
  if (spec.best_effort) request.needed.cpu = 0;
  if (spec.best_effort) request.image_index = model.FindImageIndex(spec.image);
  if (spec.latency_slo_ms > 0) request.regression = model.FindRegression(spec.image);
  return request;
}

namespace {

/// Everything but the resources that decides whether a task finds a target.
std::string PlacementKey(const Job& job, const StepSpec& spec) {
  std::string key = job.service + (spec.long_running ? "|l|" : spec.best_effort ? "|f|" : "|p|");
  if (spec.best_effort) key += spec.image;
  return key + "|" + spec.required_label;
}

}  // namespace

std::uint64_t Planner::FailedRoundOf(const Job& job, const StepSpec& spec) const {
  const std::string key = PlacementKey(job, spec);
  for (const FailedPlacements* failed :
       {&this->failed_placements, &this->earlier_failed_placements}) {
    const auto entry = failed->find(key);
    if (entry != failed->end() && spec.resources.Covers(entry->second.smallest)) {
      return entry->second.round;
    }
  }
  return 0;
}

void Planner::RecordFailedPlacement(const Job& job, const StepSpec& spec) {
  // With a limit per target, a failed placement says nothing about other tasks.
  if (spec.max_per_target > 0) return;
  const FailedPlacement failed{spec.resources, this->round};
  const auto [entry, is_new] = this->failed_placements.emplace(PlacementKey(job, spec), failed);
  if (!is_new && entry->second.smallest.Covers(spec.resources)) entry->second = failed;
}

void Planner::MeasureShortTaskDemand(base::TimePoint now) {
  this->free_cpu.clear();
  this->short_cpu.clear();
  for (const TargetCapacity* capacity : this->capacities) {
    this->free_cpu[capacity->target->service] += std::max<std::int64_t>(0, capacity->free.cpu);
  }
  for (const auto& [id, capacity] : this->measured) {
    if (capacity.short_cpu > 0) this->short_cpu[capacity.target->service] += capacity.short_cpu;
  }
  std::erase_if(this->long_running_waiting_since,
                [&](const auto& entry) { return !this->state.Ready().contains(entry.first); });
  std::map<std::string, std::int64_t> wanted = this->short_cpu;
  // Services without short tasks are observed too, or their headroom would never decay.
  for (const auto& [service, cpu] : this->free_cpu) wanted.emplace(service, 0);
  for (const StepRef& ref : this->state.Ready()) {
    const StepSpec* spec = this->state.SpecOf(ref);
    if (spec->long_running) this->long_running_waiting_since.emplace(ref, now);
    if (spec->long_running || spec->best_effort) continue;
    wanted[this->state.FindJob(ref.job)->service] +=
        spec->resources.cpu * this->state.FindStep(ref)->waiting;
  }
  for (const auto& [service, cpu] : wanted) this->short_task_demand.Observe(now, service, cpu);
}

bool Planner::HasExceededDelay(base::TimePoint now, const StepRef& ref) const {
  const auto since = this->long_running_waiting_since.find(ref);
  return since != this->long_running_waiting_since.end() &&
         now - since->second >= this->limits.long_running_delay;
}

void Planner::ReserveTargetFor(const Job& job, const StepSpec& spec) {
  if (this->reserved_targets >= this->limits.max_reserved_targets) return;
  TargetCapacity* closest = nullptr;
  for (TargetCapacity* capacity : this->capacities) {
    if (capacity->is_reserved || capacity->target->service != job.service) continue;
    if (!capacity->target->capacity.Covers(spec.resources)) continue;
    if (closest == nullptr || capacity->free.cpu > closest->free.cpu) closest = capacity;
  }
  if (closest == nullptr) return;
  closest->is_reserved = true;
  this->reserved_targets += 1;
}

bool Planner::MayStartLongRunning(base::TimePoint now, const StepRef& ref, const Job& job,
                                  const StepSpec& spec) const {
  if (this->HasExceededDelay(now, ref)) return true;
  const auto free = this->free_cpu.find(job.service);
  if (free == this->free_cpu.end()) return false;
  const auto in_use = this->short_cpu.find(job.service);
  const std::int64_t used = in_use == this->short_cpu.end() ? 0 : in_use->second;
  return free->second - spec.resources.cpu + used >= this->short_task_demand.Headroom(job.service);
}

std::vector<StepRef> Planner::OrderSteps(base::TimePoint now, std::int64_t time_of_day_ms) const {
  /// Short tasks soon release their capacity, so long-running tasks come after them until
  /// `long_running_delay` is over.
  enum class StepClass : std::uint8_t { kStarved, kShort, kLongRunning };
  using Key = std::tuple<std::int32_t, StepClass, Urgency, const StepRef*>;
  std::vector<Key> keys;
  keys.reserve(this->state.Ready().size());
  for (const StepRef& ref : this->state.Ready()) {
    const Job& job = *this->state.FindJob(ref.job);
    const StepSpec& spec = job.spec.steps[ref.step];
    Urgency urgency = UrgencyOf(job, ref.step, time_of_day_ms);
    StepClass step_class = StepClass::kShort;
    if (spec.long_running) {
      step_class = this->HasExceededDelay(now, ref) ? StepClass::kStarved : StepClass::kLongRunning;
      // Smallest first, so that as many as possible run again soon.
      if (step_class == StepClass::kStarved) urgency = {.slack_ms = spec.resources.cpu};
    }
    keys.emplace_back(job.priority, step_class, urgency, &ref);
  }
  std::ranges::sort(keys, [](const Key& a, const Key& b) {
    return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a), *std::get<3>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b), *std::get<3>(b));
  });
  std::vector<StepRef> order;
  order.reserve(keys.size());
  std::ranges::transform(keys, std::back_inserter(order),
                         [](const Key& key) { return *std::get<3>(key); });
  return order;
}

std::optional<Planner::Score> Planner::ScoreOf(const TargetCapacity& capacity,
                                               const Request& request, const Task& task,
                                               const std::string& rack, const TaskCounts& used) {
  this->effort.scored_targets += 1;
  const StepSpec& spec = request.spec;
  const TargetRecord& target = *capacity.target;
  if (target.service != request.job.service || !capacity.free.Covers(request.needed)) return {};
  if (capacity.is_reserved && !spec.long_running && !spec.best_effort) return {};
  if (!rack.empty() && target.rack != rack) return {};
  if (!spec.required_label.empty() &&
      std::ranges::find(target.labels, spec.required_label) == target.labels.end()) {
    return {};
  }
  const auto here = used.find(target.incarnation.id);
  const std::uint32_t count = here == used.end() ? 0 : here->second;
  if (spec.max_per_target > 0 && count >= spec.max_per_target) return {};
  const double rate = spec.best_effort ? this->ExpectedRate(capacity, request) : 1.0;
  if (spec.best_effort && rate < this->limits.min_rate) return {};
  const int ran_here = HasRunBadly(spec, task) && task.target == target.incarnation ? 1 : 0;
  const int far = !spec.data_rack.empty() && target.rack != spec.data_rack ? 1 : 0;
  const int interference = spec.best_effort ? static_cast<int>((1.0 - rate) * kLevels)
                                            : this->InterferenceLevel(capacity, request);
  const std::int64_t unused = capacity.free.cpu - capacity.best_effort_cpu;
  const std::int64_t colocation = spec.latency_slo_ms > 0 ? ColocationScore(capacity, spec) +
                                                                2 * static_cast<std::int64_t>(count)
                                                          : 0;
  return Score{ran_here, far, interference, colocation, -unused};
}

bool Planner::MayFit(std::size_t position, const Request& request,
                     std::uint64_t since_round) const {
  const UpperBounds& bounds = this->upper_bounds[position];
  const StepSpec& spec = request.spec;
  return bounds.changed_round > since_round &&
         spec.resources.cpu <= (spec.best_effort ? bounds.best_effort_cpu : bounds.free_cpu);
}

Planner::TargetCapacity* Planner::ChooseTarget(const Request& request, const Task& task,
                                               const std::string& rack, const TaskCounts& used,
                                               std::uint64_t since_round) {
  TargetCapacity* best = nullptr;
  Score best_score;
  for (std::size_t i = 0; i < this->capacities.size(); ++i) {
    if (!this->MayFit(i, request, since_round)) continue;
    TargetCapacity* capacity = this->capacities[i];
    const auto score = this->ScoreOf(*capacity, request, task, rack, used);
    if (!score || (best != nullptr && *score >= best_score)) continue;
    best = capacity;
    best_score = *score;
  }
  return best;
}

/// The targets on which tasks of one step can start, best first, for tasks that haven't run yet.
/// Such tasks have the same score on a target, and a start changes only that of its own target.
class Planner::CandidateQueue {
 public:
  /// `tasks`: how many of the step wait.
  CandidateQueue(Planner& owner, const Request& step_request, const TaskCounts& task_counts,
                 std::uint64_t since_round, std::size_t tasks)
      : planner(owner), request(step_request), used(task_counts) {
    for (std::size_t i = 0; i < this->planner.capacities.size(); ++i) {
      if (this->planner.MayFit(i, this->request, since_round)) this->unscored.push_back(i);
    }
    // Where neither neighbours, nor the place of the data, nor labels matter, the targets with the
    // most unused processors are the best or nearly so; the others are scored when these don't
    // suffice.
    const StepSpec& spec = this->request.spec;
    const bool suits_any =
        spec.latency_slo_ms <= 0 && spec.data_rack.empty() && spec.required_label.empty();
    const std::size_t scored = kMinCandidates + kCandidatesPerTask * tasks;
    if (!suits_any || this->unscored.size() <= scored) {
      this->AddUnscored(this->unscored.begin());
      return;
    }
    const auto first_scored = this->unscored.end() - static_cast<std::ptrdiff_t>(scored);
    std::ranges::nth_element(this->unscored, first_scored, {}, [this](std::size_t position) {
      return std::pair(this->planner.upper_bounds[position].unused_cpu, position);
    });
    this->AddUnscored(first_scored);
  }

  /// The best target, or null. Its score is due for Update after a start there.
  [[nodiscard]] TargetCapacity* Best() {
    if (this->heap.empty()) this->AddUnscored(this->unscored.begin());
    return this->heap.empty() ? nullptr : this->planner.capacities[this->heap.front().second];
  }
  /// Must be called after a start on the best target.
  void Update() {
    std::ranges::pop_heap(this->heap, std::greater());
    const std::size_t index = this->heap.back().second;
    this->heap.pop_back();
    if (this->Add(index)) std::ranges::push_heap(this->heap, std::greater());
  }

 private:
  bool Add(std::size_t index) {
    const auto score = this->planner.ScoreOf(*this->planner.capacities[index], this->request,
                                             Task(), "", this->used);
    if (score) this->heap.emplace_back(*score, index);
    return score.has_value();
  }

  void AddUnscored(std::vector<std::size_t>::iterator first) {
    std::for_each(first, this->unscored.end(),
                  [this](std::size_t position) { this->Add(position); });
    this->unscored.erase(first, this->unscored.end());
    std::ranges::make_heap(this->heap, std::greater());
  }

  Planner& planner;
  const Request& request;
  const TaskCounts& used;
  /// Targets that may be candidates and haven't been scored.
  std::vector<std::size_t> unscored;
  /// With the index of the target, which decides between equal scores.
  std::vector<std::pair<Score, std::size_t>> heap;
};

void Planner::PlanGang(const StepRef& ref, const StepSpec& spec, const Step& step,
                       std::vector<Start>& starts) {
  if (step.waiting != step.tasks.size()) return;
  const Job& job = *this->state.FindJob(ref.job);
  std::uint32_t run = 0;
  for (const Task& task : step.tasks) run = std::max(run, task.run);
  const Request request = this->RequestOf(job, spec);
  // Single racks first; several (the empty name) only when none fits all members.
  std::set<std::string> known_racks;
  if (spec.same_rack) {
    for (const TargetCapacity* entry : this->capacities) known_racks.insert(entry->target->rack);
  }
  std::vector<std::string> racks;
  racks.reserve(known_racks.size() + 1);
  for (const std::string& rack : known_racks) racks.push_back(rack);
  racks.emplace_back();
  for (const std::string& rack : racks) {
    std::vector<std::pair<TargetCapacity*, TargetCapacity>> saved;
    std::vector<Start> planned;
    TaskCounts used;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      TargetCapacity* capacity = this->ChooseTarget(request, step.tasks[i], rack, used);
      if (capacity == nullptr) break;
      saved.emplace_back(capacity, *capacity);
      Allocate(*capacity, spec);
      used[capacity->target->incarnation.id] += 1;
      planned.push_back(
          {{ref.job, ref.occurrence, ref.step, i}, run + 1, capacity->target->incarnation});
    }
    if (planned.size() == step.tasks.size()) {
      starts.insert(starts.end(), planned.begin(), planned.end());
      return;
    }
    // In reverse, so that the first copy of each target is the last one written.
    for (auto& [capacity, before] : std::views::reverse(saved)) {
      *capacity = std::move(before);
      this->upper_bounds[capacity->position] = this->UpperBoundsOf(*capacity);
    }
  }
}

Planner::TaskCounts Planner::RunningByTarget(const StepSpec& spec, const Step& step) {
  TaskCounts running;
  if (spec.max_per_target == 0) return running;
  for (const Task& task : step.tasks) {
    if (task.phase == TaskPhase::kRunning) running[task.target.id] += 1;
  }
  return running;
}

bool Planner::AllocateElsewhere(const TaskRef& ref) {
  const Job* job = this->state.FindJob(ref.job);
  const Step* step = this->state.FindStep(ref.Step());
  const Task* task = this->state.FindTask(ref);
  if (job == nullptr || step == nullptr || task == nullptr) return false;
  const StepSpec& spec = job->spec.steps[ref.step];
  TargetCapacity* capacity =
      this->ChooseTarget(this->RequestOf(*job, spec), *task, "", RunningByTarget(spec, *step));
  if (capacity == nullptr || capacity->target->incarnation == task->target) return false;
  Allocate(*capacity, spec);
  return true;
}

void Planner::PlanStep(base::TimePoint now, const StepRef& ref, std::vector<Start>& starts) {
  const StepSpec& spec = *this->state.SpecOf(ref);
  if (spec.best_effort && this->best_effort_budget == 0) return;
  const Step& step = *this->state.FindStep(ref);
  if (spec.gang) {
    this->PlanGang(ref, spec, step, starts);
    return;
  }
  const Job& job = *this->state.FindJob(ref.job);
  const std::uint64_t failed_round = this->FailedRoundOf(job, spec);
  if (failed_round == this->round) return;
  const Request request = this->RequestOf(job, spec);
  TaskCounts used = RunningByTarget(spec, step);
  std::optional<CandidateQueue> candidates;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    if (task.phase != TaskPhase::kWaiting) continue;
    const bool is_first_try = !HasRunBadly(spec, task);
    if (is_first_try && !candidates) {
      candidates.emplace(*this, request, used, failed_round, step.waiting);
    }
    TargetCapacity* capacity = is_first_try
                                   ? candidates->Best()
                                   : this->ChooseTarget(request, task, "", used, failed_round);
    if (capacity == nullptr) this->RecordFailedPlacement(job, spec);
    if (capacity == nullptr && spec.long_running && this->HasExceededDelay(now, ref)) {
      this->ReserveTargetFor(job, spec);
    }
    // All tasks of a step ask for the same resources, so the rest doesn't fit either.
    if (capacity == nullptr || starts.size() >= this->limits.max_starts) return;
    if (spec.long_running && !this->MayStartLongRunning(now, ref, job, spec)) return;
    if (spec.best_effort && this->best_effort_budget == 0) return;
    if (spec.best_effort) this->best_effort_budget -= 1;
    Allocate(*capacity, spec);
    if (!spec.best_effort) this->free_cpu[job.service] -= spec.resources.cpu;
    if (!spec.best_effort && !spec.long_running) this->short_cpu[job.service] += spec.resources.cpu;
    used[capacity->target->incarnation.id] += 1;
    if (is_first_try) {
      candidates->Update();
    } else {
      candidates.reset();
    }
    starts.push_back(
        {{ref.job, ref.occurrence, ref.step, i}, task.run + 1, capacity->target->incarnation});
  }
}

Backlog Planner::MeasureBacklog() const {
  Backlog backlog;
  for (const StepRef& ref : this->state.Ready()) {
    const StepSpec& spec = *this->state.SpecOf(ref);
    const std::size_t waiting = this->state.FindStep(ref)->waiting;
    if (spec.long_running) {
      backlog.long_running_tasks += waiting;
      backlog.largest_long_running_cpu =
          std::max(backlog.largest_long_running_cpu, spec.resources.cpu);
    } else if (spec.best_effort) {
      backlog.best_effort_tasks += waiting;
    } else {
      backlog.short_tasks += waiting;
      backlog.largest_short_cpu = std::max(backlog.largest_short_cpu, spec.resources.cpu);
    }
  }
  backlog.usable_targets = this->capacities.size();
  backlog.reserved_targets = this->reserved_targets;
  for (const TargetCapacity* capacity : this->capacities) {
    backlog.free_cpu += std::max<std::int64_t>(0, capacity->free.cpu);
    backlog.largest_free_cpu = std::max(backlog.largest_free_cpu, capacity->free.cpu);
  }
  return backlog;
}

std::vector<Start> Planner::Plan(base::TimePoint now, std::int64_t time_of_day_ms,
                                 std::size_t unconfirmed_best_effort) {
  std::vector<Start> starts;
  if (this->state.Ready().empty()) return starts;
  this->effort.rounds += 1;
  this->MeasureCapacities(now);
  this->MeasureShortTaskDemand(now);
  this->reserved_targets = 0;
  this->best_effort_budget =
      this->limits.max_unconfirmed_best_effort -
      std::min(this->limits.max_unconfirmed_best_effort, unconfirmed_best_effort);
  this->earlier_failed_placements = std::exchange(this->failed_placements, {});
  for (const StepRef& ref : this->OrderSteps(now, time_of_day_ms)) {
    if (starts.size() >= this->limits.max_starts) break;
    this->PlanStep(now, ref, starts);
  }
  return starts;
}

}  // namespace mangoroad::dispatch
