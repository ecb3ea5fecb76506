// Decides which waiting tasks start next, and on which targets.
//
// Steps are ordered by priority and then by how soon their job misses its objective.
// Latency-critical tasks are placed beside tasks of the same image and away from interfering ones;
// best-effort tasks where they interfere little, then on the least used target.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "dispatch/short_task_demand.h"
#include "dispatch/target_tracker.h"
#include "workload/workload_state.h"

namespace mangoroad::dispatch {

/// What a job can still gain by starting one of its steps now.
enum class Prospect : std::uint8_t {
  kInTime,   ///< it can still meet its objective
  kLate,     ///< it will miss the objective, but its result is still of some use
  kOverdue,  ///< it has missed the objective several times over
};

/// Lower is more urgent. Under overload, work that can still meet its objective comes before work
/// that is late already, and jobs that have begun before new ones.
struct Urgency {
  Prospect prospect = Prospect::kInTime;
  bool is_new = false;
  std::int64_t slack_ms = 0;  ///< time left until the objective
  auto operator<=>(const Urgency&) const = default;
};
Urgency UrgencyOf(const workload::Job& job, std::uint32_t step, std::int64_t time_of_day_ms);

struct PlanLimits {
  /// Starts planned in one round; more wait for the next one, so that a round stays short.
  std::size_t max_starts = 400;
  /// Best-effort starts that may be on their way to targets at once; more aren't planned. A leader
  /// that is behind would otherwise put urgent starts, and the ends of all runs, behind thousands
  /// of them, and hold capacity for starts that come too late. At 130 ms from one plan to the next
  /// after the confirmations this is 6,000 starts a second.
  std::size_t max_unconfirmed_best_effort = 800;
  /// Targets that are reserved at once while long-running tasks find no capacity.
  std::size_t max_reserved_targets = 1;
  /// A best-effort task isn't started where its expected rate is below this (1: full rate): on
  /// targets full of throttled tasks, none ends in time.
  double min_rate = 0.8;
  /// A long-running task yields to short tasks for this long; the platform requires it to run again
  /// within 6 s where there is capacity.
  base::Duration long_running_delay = std::chrono::milliseconds(2500);
};

/// The tasks that wait after a round and the remaining free capacity; for logs.
struct Backlog {
  std::size_t short_tasks = 0;
  std::size_t best_effort_tasks = 0;
  std::size_t long_running_tasks = 0;
  std::int64_t largest_short_cpu = 0;  ///< thousandths of a core requested by a waiting task
  std::int64_t largest_long_running_cpu = 0;
  std::size_t usable_targets = 0;
  std::size_t reserved_targets = 0;
  std::int64_t free_cpu = 0;  ///< thousandths of a core on all usable targets
  std::int64_t largest_free_cpu = 0;
};

/// How much the rounds so far had to look at; for logs and tests.
struct PlanningEffort {
  std::uint64_t rounds = 0;
  /// Targets whose free capacity was derived from the tasks that run there.
  std::uint64_t measured_targets = 0;
  /// Targets that were scored for a task or a step.
  std::uint64_t scored_targets = 0;
};

/// Plans in rounds, each over a fixed state. The capacity of a target is kept between rounds until
/// its tasks change, and a step that found no target is only compared with the targets that have
/// changed since, so that a round costs as much as the changes since the last one: neither the size
/// of the fleet nor the length of the backlog multiplies it.
class Planner {
 public:
  Planner(const workload::WorkloadState& workload_state, TargetTracker& target_tracker,
          PlanLimits plan_limits)
      : state(workload_state), tracker(target_tracker), limits(plan_limits) {}

  /// The starts to log and then to send. `time_of_day_ms` only serves to order the jobs by their
  /// times.
  /// `unconfirmed_best_effort`: starts of best-effort tasks that are on their way.
  std::vector<workload::Start> Plan(base::TimePoint now, std::int64_t time_of_day_ms,
                                    std::size_t unconfirmed_best_effort = 0);

  [[nodiscard]] const PlanningEffort& Effort() const { return this->effort; }
  /// As of the last plan; the tasks that it starts don't wait.
  [[nodiscard]] Backlog MeasureBacklog() const;
  /// Begins a round of AllocateElsewhere over the current state.
  void BeginMigrations(base::TimePoint now) { this->MeasureCapacities(now); }
  /// True when a running task fits on another target, whose capacity is then taken for this round.
  bool AllocateElsewhere(const workload::TaskRef& ref);

  /// The latency-critical tasks of one image on a target.
  struct LatencyCriticalLoad {
    std::string image;
    const InterferenceModel::Regression* regression = nullptr;
    int count = 0;
    /// Highest logarithm of the SLO utilization of one of them without neighbours.
    double baseline = 0;
    /// Increase of that logarithm by the neighbours.
    double interference = 0;
  };
  struct Neighbour {
    std::size_t index = 0;  ///< of its image in the interference model
    double share = 0;       ///< of the target's processors
  };

  /// Free resources of a target.
  struct TargetCapacity {
    const workload::TargetRecord* target = nullptr;
    workload::Resources free;
    std::int64_t best_effort_cpu = 0;  ///< thousandths of a core requested by best-effort tasks
    std::vector<LatencyCriticalLoad> latency_critical;
    std::int64_t latency_critical_cpu = 0;  ///< thousandths of a core reserved by them
    std::vector<Neighbour> neighbours;
    /// No short task starts there, so that enough capacity for a long-running task becomes free.
    bool is_reserved = false;
    /// Thousandths of a core requested by short tasks that aren't best-effort.
    std::int64_t short_cpu = 0;
    /// What the values above were derived from; see IsUpToDate.
    std::uint64_t state_change = 0;
    std::uint64_t load_changes = 0;
    base::TimePoint measured_at;
    /// This round has allocated resources here, which the state doesn't contain yet.
    bool has_planned_tasks = false;
    bool is_usable = false;
    /// The latest round since which more may be available here than in the round before.
    std::uint64_t changed_round = 0;
    /// Position in `capacities` and `upper_bounds`, where usable.
    std::size_t position = 0;
  };

 private:
  /// What all tasks of a step have in common, looked up once.
  struct Request {
    const workload::Job& job;
    const workload::StepSpec& spec;
    workload::Resources needed;
    std::size_t image_index = 0;
    const InterferenceModel::Regression* regression = nullptr;
  };
  /// Lower is better: not where it failed or stalled, near its data, little interference,
  /// colocation with its image, then the most unused processors.
  using Score = std::tuple<int, int, int, std::int64_t, std::int64_t>;
  /// Tasks of a step by the target they run on.
  using TaskCounts = std::map<std::string, std::uint32_t>;
  class CandidateQueue;
  /// Upper bounds of what can start on a usable target. Kept apart from TargetCapacity, so that
  /// most targets are ruled out by a scan of a small array.
  struct UpperBounds {
    std::int64_t free_cpu = 0;         ///< thousandths of a core
    std::int64_t best_effort_cpu = 0;  ///< the same for a best-effort task
    std::int64_t unused_cpu = 0;       ///< see ScoreOf
    std::uint64_t changed_round = 0;   ///< see TargetCapacity
  };
  /// The smallest request of its kind that found no target in `round`.
  struct FailedPlacement {
    workload::Resources smallest;
    std::uint64_t round = 0;
  };
  using FailedPlacements = std::map<std::string, FailedPlacement>;

  void MeasureCapacities(base::TimePoint now);
  void AddUsable(TargetCapacity& capacity);
  [[nodiscard]] UpperBounds UpperBoundsOf(const TargetCapacity& capacity) const;
  bool IsUpToDate(base::TimePoint now, const workload::TargetRecord& target, const TargetView& view,
                  const TargetCapacity& capacity) const;
  void MeasureCapacity(base::TimePoint now, const workload::TargetRecord& target,
                       const TargetView& view, TargetCapacity& capacity);
  Request RequestOf(const workload::Job& job, const workload::StepSpec& spec) const;
  std::vector<workload::StepRef> OrderSteps(base::TimePoint now, std::int64_t time_of_day_ms) const;
  void PlanStep(base::TimePoint now, const workload::StepRef& ref,
                std::vector<workload::Start>& starts);
  void PlanGang(const workload::StepRef& ref, const workload::StepSpec& spec,
                const workload::Step& step, std::vector<workload::Start>& starts);
  /// Nothing when the task can't start there. `rack` is empty when any will do.
  std::optional<Score> ScoreOf(const TargetCapacity& capacity, const Request& request,
                               const workload::Task& task, const std::string& rack,
                               const TaskCounts& used);
  /// False when the target can't be a candidate, or hasn't changed after `since_round`.
  [[nodiscard]] bool MayFit(std::size_t position, const Request& request,
                            std::uint64_t since_round) const;
  /// The best of the targets that have changed after `since_round`; 0: of all.
  TargetCapacity* ChooseTarget(const Request& request, const workload::Task& task,
                               const std::string& rack, const TaskCounts& used,
                               std::uint64_t since_round = 0);
  /// Tasks of the step that run now; only counted where the step limits them.
  static TaskCounts RunningByTarget(const workload::StepSpec& spec, const workload::Step& step);
  void Allocate(TargetCapacity& capacity, const workload::StepSpec& spec);
  void AddTask(TargetCapacity& capacity, const workload::StepSpec& spec) const;
  void AllocateLatencyCritical(TargetCapacity& capacity, const workload::StepSpec& spec,
                               double baseline) const;
  /// The last plan's round in which a request that isn't larger found no target, 0 if none did.
  /// Within a round, free capacity only shrinks.
  [[nodiscard]] std::uint64_t FailedRoundOf(const workload::Job& job,
                                            const workload::StepSpec& spec) const;
  void RecordFailedPlacement(const workload::Job& job, const workload::StepSpec& spec);
  /// Rate that a best-effort task would get on the target, 0 to 1.
  double ExpectedRate(const TargetCapacity& capacity, const Request& request) const;
  void MeasureShortTaskDemand(base::TimePoint now);
  /// True when a long-running step has had waiting tasks for `long_running_delay`.
  bool HasExceededDelay(base::TimePoint now, const workload::StepRef& ref) const;
  /// Reserves the target with the most free processors, of those large enough, for this round.
  void ReserveTargetFor(const workload::Job& job, const workload::StepSpec& spec);
  /// False while a long-running step has to wait to leave headroom for short tasks of its service.
  bool MayStartLongRunning(base::TimePoint now, const workload::StepRef& ref,
                           const workload::Job& job, const workload::StepSpec& spec) const;
  static std::int64_t ColocationScore(const TargetCapacity& capacity,
                                      const workload::StepSpec& spec);
  /// How much the task would suffer from interference on the target, in coarse levels; 0: not at
  /// all.
  int InterferenceLevel(const TargetCapacity& capacity, const Request& request) const;

  const workload::WorkloadState& state;
  TargetTracker& tracker;
  PlanLimits limits;
  /// Number of the current round; also counts rounds of migrations.
  std::uint64_t round = 0;
  /// By target, of all registered targets that the tracker knows. In the order of the state's
  /// targets and the tracker's views, so that all three are read side by side without look-ups.
  std::map<std::string, TargetCapacity> measured;
  /// The usable ones of this round, by name, and what can start there.
  std::vector<TargetCapacity*> capacities;
  std::vector<UpperBounds> upper_bounds;
  PlanningEffort effort;
  ShortTaskDemand short_task_demand;
  std::size_t reserved_targets = 0;
  /// Best-effort starts that this plan may still contain.
  std::size_t best_effort_budget = 0;
  /// Requests that found no target in this plan and in the one before, by their other
  /// requirements.
  FailedPlacements failed_placements;
  FailedPlacements earlier_failed_placements;
  /// Since when long-running steps have had waiting tasks.
  std::map<workload::StepRef, base::TimePoint> long_running_waiting_since;
  /// Free processors of each service, and those in use by short tasks; thousandths of a core.
  std::map<std::string, std::int64_t> free_cpu;
  std::map<std::string, std::int64_t> short_cpu;
};

}  // namespace mangoroad::dispatch
