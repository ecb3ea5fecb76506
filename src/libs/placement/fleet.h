// Targets and tasks with their reservations.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/sharing_policy.h"
#include "placement/target_index.h"
#include "placement/types.h"

namespace mangoroad::placement::internal {

/// Number of a team in this leader's memory; stable while the leader lives.
using TeamNumber = std::uint32_t;

/// A task, from the decision to start it until its end is known.
struct Task {
  JobId job = 0;
  RowNumber row = 0;
  TargetNumber target = 0;
  /// 0 until the start is logged.
  Token token = 0;
  PendingJob request{};
  base::TimePoint started{};
  base::TimePoint checkpointed{};
  double progress = 0;
  std::uint64_t checkpoint = 0;
  bool throttled = false;
  /// A checkpoint was requested because a service on the target violates its SLO.
  bool checkpoint_requested = false;
  /// A stop was requested, or the job was cancelled.
  bool stopping = false;
};

struct Target {
  TargetSpec spec{};
  DomainNumber domain = 0;
  /// False for a target that hasn't announced itself to this leader or is unavailable. It only has
  /// tasks that were adopted or started earlier.
  bool known = false;
  /// Suspended by the failure tracker.
  bool suspended = false;
  /// Job for which the target is being cleared; 0 for none.
  JobId reserved_for = 0;
  Resources reserved{};
  std::vector<JobId> tasks{};
  std::vector<RowTotal> row_totals{};

  Resources Free() const;
  /// Capacity without the reserve for services.
  Resources Allocatable() const;
  bool Accepts(std::string_view row) const;
};

/// All targets and tasks, indexed by free and by allocatable capacity.
class Fleet {
 public:
  /// Number of a failure domain; adds it when new, up to kMaxDomains.
  DomainNumber DomainOf(std::string_view name);
  std::size_t DomainCount() const { return this->domain_names.size(); }
  const std::string& DomainName(DomainNumber domain) const { return this->domain_names.at(domain); }

  /// Adds or changes a target. Reservations of an earlier incarnation last until their tasks end.
  TargetNumber SetTarget(const TargetSpec& spec);
  /// The target gets no more work. Its tasks count until they end.
  void RemoveTarget(std::string_view name);
  /// Number of a target. A target that isn't known yet is added for adopted tasks.
  TargetNumber NumberOf(std::string_view name);
  std::optional<TargetNumber> FindTarget(std::string_view name) const;
  Target& At(TargetNumber target) { return this->targets.at(target); }
  const Target& At(TargetNumber target) const { return this->targets.at(target); }
  std::span<const Target> Targets() const { return this->targets; }
  std::size_t KnownCount() const { return this->known_count; }

  void Suspend(TargetNumber target, bool suspended);
  /// Reserves the whole target for one job; 0 ends the reservation.
  void ReserveTarget(TargetNumber target, JobId job);

  /// Adds a task with its reservation. The caller has checked that it fits.
  Task& AddTask(Task task);
  /// Removes a task with its reservation and returns it; nothing when it is unknown.
  std::optional<Task> RemoveTask(JobId job);
  Task* FindTask(JobId job);
  const Task* FindTask(JobId job) const;
  std::size_t TaskCount() const { return this->tasks.size(); }

  /// Targets that may get work, by free capacity.
  const TargetIndex& FreeIndex() const { return this->free_index; }
  /// Known targets by allocatable capacity.
  const TargetIndex& CapacityIndex() const { return this->capacity_index; }
  /// Increases whenever capacity was freed or a target changed.
  std::uint64_t Epoch() const { return this->epoch; }
  void AdvanceEpoch() { ++this->epoch; }

  /// Number of a row's tasks on a rack.
  std::uint32_t CountOnRack(std::string_view rack, RowNumber row) const;

 private:
  void Reindex(TargetNumber target);
  void UpdateRowTotal(Target& target, const Task& task, int sign);

  std::vector<std::string> domain_names;
  std::vector<Target> targets;
  std::unordered_map<std::string, TargetNumber> target_numbers;
  std::unordered_map<JobId, Task> tasks;
  std::unordered_map<std::string, std::unordered_map<RowNumber, std::uint32_t>> rack_counts;
  TargetIndex free_index;
  TargetIndex capacity_index;
  std::size_t known_count = 0;
  std::uint64_t epoch = 1;
};

}  // namespace mangoroad::placement::internal
