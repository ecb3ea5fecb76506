// Clears targets for work that can't wait: urgent jobs, teams below their quota, and large jobs.
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

enum class ClearingKind : std::uint8_t {
  /// Throttle at once, then checkpoint, then stop.
  kUrgent,
  /// Checkpoint, then stop, tasks of teams above their quota.
  kReclaim,
  /// Wait for tasks to end; nothing is evicted.
  kDrain,
};

/// Plans that clear one target for one job each. A target that is being cleared takes no other
/// work.
class Preemption {
 public:
  Preemption(Fleet& cleared, const FairQueue& waiting, const SchedulerSettings& limits)
      : fleet(cleared), queue(waiting), settings(limits) {}

  /// Starts clearing a target for a waiting job, unless one is being cleared already or none can
  /// be. Gives false then.
  bool Begin(base::TimePoint now, const WaitingJob& job, ClearingKind kind);

  /// Adds the orders that are due, and gives up plans that can no longer succeed.
  void Advance(base::TimePoint now, std::vector<Order>& orders);

  /// A target that is cleared for the job and has room for it now.
  std::optional<TargetNumber> ReadyTarget(const WaitingJob& job) const;
  /// Jobs that have a plan, in order of their numbers.
  std::vector<JobId> Beneficiaries() const;

  /// The job was placed or no longer waits: its targets are released, and tasks that were throttled
  /// but not ordered to stop go on.
  void Finish(JobId job, std::vector<Order>& orders);

 private:
  struct Plan {
    ClearingKind kind = ClearingKind::kUrgent;
    TargetNumber target = 0;
    base::TimePoint began{};
    std::vector<JobId> victims{};
    /// Checkpoint numbers of the victims when the checkpoint was ordered.
    std::unordered_map<JobId, std::uint64_t> checkpoints{};
    bool throttled = false;
  };
  struct Choice {
    TargetNumber target = 0;
    VictimSet victims{};
  };

  std::optional<Choice> ChooseTarget(base::TimePoint now, const WaitingJob& job, ClearingKind kind);
  std::optional<Choice> Examine(base::TimePoint now, const WaitingJob& job, ClearingKind kind,
                                TargetNumber target) const;
  Choice DrainCost(base::TimePoint now, TargetNumber target) const;
  bool MayClear(const WaitingJob& job, const Target& target) const;
  bool IsAtLimit(ClearingKind kind) const;
  void AdvancePlan(base::TimePoint now, Plan& plan, std::vector<Order>& orders);
  bool IsHopeless(const Plan& plan, const WaitingJob& job) const;
  void Release(Plan& plan, std::vector<Order>& orders);

  Fleet& fleet;
  const FairQueue& queue;
  const SchedulerSettings& settings;
  std::unordered_map<JobId, std::vector<Plan>> plans;
  std::unordered_map<ClearingKind, std::size_t> counts;
  /// Where the next search begins, so that each takes a different part of the targets.
  std::size_t cursor = 0;
};

/// True when `place` is empty or names the domain.
bool IsInPlace(const RowSpec& row, std::string_view domain);

}  // namespace mangoroad::placement::internal
