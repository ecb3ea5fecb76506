// Which waiting tasks start next, and where.
//
// Steps are served by priority and then by how soon their job misses its objective. Work that
// serves goes beside its own kind and away from what disturbs it; work that fills goes where it
// disturbs little, then where the least is used.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/short_work.h"
#include "dispatch/target_book.h"
#include "workload/workload_state.h"

namespace mangoroad::dispatch {

/// What a job can still gain by starting one of its steps now.
enum class Prospect : std::uint8_t {
  kInTime,   ///< it can still meet its objective
  kLate,     ///< it will miss the objective, but is of some use
  kOverdue,  ///< it has missed the objective several times over
};

/// Lower is more urgent. Under overload, work that can still be in time comes before work that is
/// late already, and jobs that have begun before new ones.
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
  /// Targets kept free of short tasks at once while tasks that last find no room.
  std::size_t max_reserved_targets = 1;
  /// A task that fills isn't started where it would get less than this part of full pace: targets
  /// full of slowed tasks end none of them in time.
  double min_rate = 0.8;
  /// A task that lasts yields to short tasks for this long; the platform wants it to run again
  /// within 6 s where there is room.
  base::Duration long_running_delay = std::chrono::milliseconds(2500);
};

/// What a round left waiting, and the room that was left; for logs.
struct Backlog {
  std::size_t short_tasks = 0;
  std::size_t best_effort_tasks = 0;
  std::size_t long_running_tasks = 0;
  std::int64_t largest_short_cpu = 0;  ///< thousandths of a core that a waiting task asks for
  std::int64_t largest_long_running_cpu = 0;
  std::size_t usable_targets = 0;
  std::size_t reserved_targets = 0;
  std::int64_t free_cpu = 0;  ///< thousandths of a core on all usable targets
  std::int64_t largest_free_cpu = 0;
};

/// Decides in rounds, each over a fixed state.
class Planner {
 public:
  Planner(const workload::WorkloadState& run_ledger, TargetTracker& target_book,
          PlanLimits plan_limits)
      : state(run_ledger), tracker(target_book), limits(plan_limits) {}

  /// Starts to log and then to order. `time_of_day_ms` is compared with the jobs' times only to
  /// order them.
  std::vector<workload::Start> Plan(base::TimePoint now, std::int64_t time_of_day_ms);

  /// As of the last plan; the tasks that it starts don't wait.
  [[nodiscard]] Backlog MeasureBacklog() const;
  /// Begins a round of TakeElsewhere over the present state.
  void BeginMigrations(base::TimePoint now) { this->MeasureCapacities(now); }
  /// True when a running task has room at another target, which counts as taken in this round.
  bool AllocateElsewhere(const workload::TaskRef& ref);

  /// The serving tasks of one image on a target.
  struct LatencyCriticalLoad {
    std::string image;
    const InterferenceModel::Regression* regression = nullptr;
    int count = 0;
    /// Highest logarithm of the part of its bound that one of them uses without neighbours.
    double baseline = 0;
    /// What the neighbours add to it.
    double interference = 0;
  };
  struct Neighbour {
    std::size_t index = 0;  ///< of its image in the harm model
    double share = 0;       ///< of the target's processors
  };

  /// Free resources of a target as of the last plan, for logs and tests.
  struct TargetCapacity {
    const workload::TargetRecord* target = nullptr;
    workload::Resources free;
    std::int64_t best_effort_cpu = 0;  ///< thousandths of a core asked for by tasks that fill
    std::vector<LatencyCriticalLoad> latency_critical;
    std::int64_t latency_critical_cpu = 0;  ///< thousandths of a core reserved by them
    std::vector<Neighbour> neighbours;
    /// No short task starts there, so that room for a task that lasts comes together.
    bool is_reserved = false;
  };
  [[nodiscard]] const std::vector<TargetCapacity>& Capacities() const { return this->capacities; }

 private:
  void MeasureCapacities(base::TimePoint now);
  std::vector<workload::StepRef> OrderSteps(base::TimePoint now, std::int64_t time_of_day_ms) const;
  void PlanStep(base::TimePoint now, const workload::StepRef& ref,
                std::vector<workload::Start>& starts);
  void PlanGang(const workload::StepRef& ref, const workload::StepSpec& spec,
                const workload::Step& step, std::vector<workload::Start>& starts);
  TargetCapacity* ChooseTarget(const workload::Job& job, const workload::StepSpec& spec,
                               const workload::Task& task, const std::string& rack,
                               const std::map<std::string, std::uint32_t>& used);
  /// Tasks of the step that run now, by target; only counted where the step limits them.
  static std::map<std::string, std::uint32_t> RunningByTarget(const workload::StepSpec& spec,
                                                              const workload::Step& step);
  void Allocate(TargetCapacity& room, const workload::StepSpec& spec) const;
  void AllocateLatencyCritical(TargetCapacity& room, const workload::StepSpec& spec,
                               double quiet) const;
  /// True when a request that isn't larger found no room earlier in this round; rooms only shrink.
  bool IsKnownNotToFit(const workload::Job& job, const workload::StepSpec& spec) const;
  void RecordFailedPlacement(const workload::Job& job, const workload::StepSpec& spec);
  /// Pace that a task that fills would get on the target, 0 to 1.
  double ExpectedRate(const TargetCapacity& room, const workload::StepSpec& spec) const;
  void MeasureShortTaskDemand(base::TimePoint now);
  /// True when a step that lasts has had waiting tasks for the time it yields to short ones.
  bool HasExceededDelay(base::TimePoint now, const workload::StepRef& ref) const;
  /// Keeps the target that is closest to having room for the task free of short tasks this round.
  void ReserveTargetFor(const workload::Job& job, const workload::StepSpec& spec);
  /// False while a step that lasts is to wait, so that short tasks of the service find room.
  bool MayStartLongRunning(base::TimePoint now, const workload::StepRef& ref,
                           const workload::Job& job, const workload::StepSpec& spec) const;
  static std::int64_t ColocationScore(const TargetCapacity& room, const workload::StepSpec& spec);
  /// How far the bound would be missed on the target if the task came, in steps; 0: not at all.
  int InterferenceLevel(const TargetCapacity& room, const workload::StepSpec& spec) const;

  const workload::WorkloadState& state;
  TargetTracker& tracker;
  PlanLimits limits;
  std::vector<TargetCapacity> capacities;
  ShortTaskDemand short_task_demand;
  std::size_t reserved_targets = 0;
  /// Smallest requests that found no room in this round, by what else they ask for.
  std::map<std::string, workload::Resources> failed_placements;
  /// Since when steps that last have had waiting tasks.
  std::map<workload::StepRef, base::TimePoint> long_running_waiting_since;
  /// Processors of each service that are free, and those in use by short tasks.
  std::map<std::string, std::int64_t> free_cpu;
  std::map<std::string, std::int64_t> short_cpu;
};

}  // namespace mangoroad::dispatch
