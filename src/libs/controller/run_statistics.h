// Counts of a leader's starts, ends and lease renewals, and their delays, for its logs.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "base/name_table.h"
#include "base/time.h"
#include "workload/workload_state.h"

namespace mangoroad::controller {

enum class TaskKind : std::uint8_t { kShort, kBestEffort, kLongRunning };
inline constexpr base::NameTable<TaskKind, 3> kTaskKindNames{{
    {TaskKind::kShort, "short"},
    {TaskKind::kBestEffort, "best-effort"},
    {TaskKind::kLongRunning, "long-running"},
}};
TaskKind KindOf(const workload::StepSpec& spec);

/// Delays of one stage since the last log line.
struct DelaySum {
  std::uint64_t count = 0;
  base::Duration total{};
  base::Duration max{};

  void Add(base::Duration delay);
  [[nodiscard]] base::Duration Mean() const;
};

/// Tells a leader that lacks processor time from one that waits for commits, for planning rounds or
/// for targets. Times are the leader's; nothing of this is replicated.
class RunStatistics {
 public:
  /// Forgets everything at the start of a term.
  void Reset() { *this = RunStatistics(); }

  /// The tasks of a step may start from now on.
  void OnReady(base::TimePoint now, const workload::StepRef& step);
  /// A start of the step has been committed.
  void OnStartCommitted(base::TimePoint now, const workload::StepRef& step, TaskKind kind);
  /// A target has confirmed a start that was committed at `committed_at`.
  void OnStartConfirmed(base::TimePoint now, base::TimePoint committed_at, TaskKind kind);
  void OnRunEnded(workload::RunEnd how) { this->ends[static_cast<std::size_t>(how)] += 1; }
  /// A lease is renewed with this much of it left, by the latest known clock of the target.
  void OnLeaseRenewed(base::Duration left);

  /// Logs one line a second for each kind of task that started, and one for ends and leases.
  void LogIfDue(base::TimePoint now, const std::set<workload::StepRef>& ready);

 private:
  struct KindDelays {
    /// From becoming ready to the commit of the first start of a step.
    DelaySum first_start;
    /// From the commit of a start to its confirmation by the target.
    DelaySum confirmation;
  };

  void LogStarts() const;
  void LogEnds() const;

  std::map<workload::StepRef, base::TimePoint> ready_since;
  std::array<KindDelays, kTaskKindNames.size()> delays{};
  std::array<std::uint64_t, workload::kRunEndNames.size()> ends{};
  std::uint64_t renewals = 0;
  base::Duration least_left = base::Duration::max();
  base::TimePoint next_log_at;
};

}  // namespace mangoroad::controller
