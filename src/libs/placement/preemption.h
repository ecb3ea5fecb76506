// Clears targets for urgent jobs, for teams below their quota, and for large jobs that would
// starve.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/eviction.h"
#include "placement/fair_queue.h"
#include "placement/fleet.h"
#include "placement/types.h"

namespace mangoroad::placement::internal {

enum class PreemptionKind : std::uint8_t {
  /// For an urgent job: throttle tasks at once, then checkpoint, then stop them.
  kUrgent,
  /// For a team below its quota: checkpoint, then stop tasks of teams above their quota.
  kReclaim,
  /// For a large job: let the running tasks end; nothing is evicted.
  kDrain,
};

/// Plans, each of which clears one target for one job. A target that is being cleared gets no other
/// work.
class Preemption {
 public:
  Preemption(Fleet& cleared, const FairQueue& waiting, const SchedulerSettings& limits)
      : fleet(cleared), queue(waiting), settings(limits) {}

  /// Starts clearing a target for a waiting job. Returns false when one is being cleared already,
  /// or none can be cleared.
  bool Begin(base::TimePoint now, const WaitingJob& job, PreemptionKind kind);

  /// Adds the action requests that are due, and cancels plans that can no longer succeed.
  void Advance(base::TimePoint now, std::vector<ActionRequest>& action_requests);

  /// A target that was cleared for the job and has enough free capacity now.
  std::optional<TargetNumber> ReadyTarget(const WaitingJob& job) const;
  /// Jobs with a plan, in ascending order.
  std::vector<JobId> JobsWithPlans() const;

  /// The job was placed or no longer waits. Its targets are released, and tasks that were throttled
  /// but not requested to stop are unthrottled.
  void Finish(JobId job, std::vector<ActionRequest>& action_requests);

 private:
  struct Plan {
    PreemptionKind kind = PreemptionKind::kUrgent;
    TargetNumber target = 0;
    base::TimePoint began{};
    std::vector<JobId> victims{};
    /// Checkpoint numbers of the victims when a new checkpoint was requested.
    std::unordered_map<JobId, std::uint64_t> checkpoints{};
    bool throttled = false;
  };
  struct Choice {
    TargetNumber target = 0;
    VictimSet victims{};
  };

  std::optional<Choice> ChooseTarget(base::TimePoint now, const WaitingJob& job,
                                     PreemptionKind kind);
  std::optional<Choice> EvaluateTarget(base::TimePoint now, const WaitingJob& job,
                                       PreemptionKind kind, TargetNumber target) const;
  Choice DrainCost(base::TimePoint now, TargetNumber target) const;
  bool MayClear(const WaitingJob& job, const Target& target) const;
  bool IsAtLimit(PreemptionKind kind) const;
  void AdvancePlan(base::TimePoint now, Plan& plan, std::vector<ActionRequest>& action_requests);
  bool CannotSucceed(const Plan& plan, const WaitingJob& job) const;
  void Release(Plan& plan, std::vector<ActionRequest>& action_requests);

  Fleet& fleet;
  const FairQueue& queue;
  const SchedulerSettings& settings;
  std::unordered_map<JobId, std::vector<Plan>> plans;
  std::unordered_map<PreemptionKind, std::size_t> counts;
  /// Target where the next search begins, so that searches cover different targets.
  std::size_t cursor = 0;
};

/// Whether tasks of the row may run in the failure domain.
bool AllowsDomain(const RowSpec& row, std::string_view domain);

}  // namespace mangoroad::placement::internal
