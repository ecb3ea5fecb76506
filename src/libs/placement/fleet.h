// Targets and tasks as the scheduler counts them.
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

/// A task from the decision to start it until its end is known.
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
  /// A checkpoint was ordered because of the target's services.
  bool checkpoint_ordered = false;
  /// A stop was ordered, or the job was cancelled.
  bool stopping = false;
};

struct Target {
  TargetSpec spec{};
  DomainNumber domain = 0;
  /// False for a target that hasn't announced itself to this leader; it holds adopted tasks only.
  bool known = false;
  /// Excluded by the failure tracker at present.
  bool suspended = false;
  /// Job for which the target is being cleared; 0 for none.
  JobId held_for = 0;
  Resources reserved{};
  std::vector<JobId> tasks{};
  std::vector<RowMix> mix{};

  Resources Free() const;
  /// Capacity without what services keep.
  Resources Usable() const;
  bool Accepts(std::string_view row) const;
};

/// All targets and tasks, with indexes by free amounts and by capacity.
class Fleet {
 public:
  /// Number of a failure domain; adds it when new, up to kMaxDomains.
  DomainNumber DomainOf(std::string_view name);
  std::size_t DomainCount() const { return this->domain_names.size(); }
  const std::string& DomainName(DomainNumber domain) const { return this->domain_names.at(domain); }

  /// Adds or changes a target. Reservations of its earlier incarnation stay until their tasks end.
  TargetNumber SetTarget(const TargetSpec& spec);
  /// The target takes no work any more; its tasks count until they end.
  void RemoveTarget(std::string_view name);
  /// Number of a target; one that isn't known yet gets a place for adopted tasks.
  TargetNumber NumberOf(std::string_view name);
  std::optional<TargetNumber> FindTarget(std::string_view name) const;
  Target& At(TargetNumber target) { return this->targets.at(target); }
  const Target& At(TargetNumber target) const { return this->targets.at(target); }
  std::span<const Target> Targets() const { return this->targets; }
  std::size_t KnownCount() const { return this->known_count; }

  void Suspend(TargetNumber target, bool suspended);
  void Hold(TargetNumber target, JobId job);

  /// Reserves for a task. The caller has checked that it fits.
  Task& AddTask(Task task);
  /// Releases the task's reservation; gives the task, or nothing when it is unknown.
  std::optional<Task> RemoveTask(JobId job);
  Task* FindTask(JobId job);
  const Task* FindTask(JobId job) const;
  std::size_t TaskCount() const { return this->tasks.size(); }

  /// Targets with free room.
  const TargetIndex& FreeIndex() const { return this->free_index; }
  /// Known targets by what they can hold when empty.
  const TargetIndex& CapacityIndex() const { return this->capacity_index; }
  /// Grows whenever room became free or a target changed.
  std::uint64_t Epoch() const { return this->epoch; }
  void Advance() { ++this->epoch; }

  /// Tasks of a row on a rack.
  std::uint32_t CountOnRack(std::string_view rack, RowNumber row) const;

 private:
  void Reindex(TargetNumber target);
  void ChangeMix(Target& target, const Task& task, int sign);

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
