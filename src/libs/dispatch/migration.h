// Decides which runs are stopped so that their tasks continue on another target.
//
// Two load patterns call for migration. Latency-critical tasks near their SLO keep a few
// best-effort tasks throttled for as long as they run, and one such task delays the whole step of
// its job. A target on which all runs are stalled delays every job that has a task there.
#pragma once

#include <cstdint>
#include <optional>

#include "base/name_table.h"
#include "base/time.h"
#include "dispatch/target_tracker.h"
#include "workload/job.h"

namespace mangoroad::dispatch {

struct MigrationSettings {
  /// A best-effort task migrates when its rate was at most `low_rate_percent` throughout
  /// `throttled_delay`. A migration costs up to about 1 s: the stop, two log entries and the
  /// restored checkpoint.
  std::int32_t low_rate_percent = 40;
  base::Duration throttled_delay = std::chrono::milliseconds(1000);
  /// Without checkpoints the work is lost, so throttled runs migrate only below this progress.
  std::int32_t max_lost_progress_percent = 30;
  /// A run is stalled when its progress, in whole percent, didn't rise for this time and for this
  /// fraction of its estimate, which allows for targets that are ten times slower.
  base::Duration stall_timeout = std::chrono::milliseconds(1500);
  double stall_estimate_fraction = 0.1;
  /// Migrations started in one round; the stops of more would queue up at the replicated log.
  std::size_t max_per_round = 16;
  /// Time between two rounds.
  base::Duration interval = std::chrono::milliseconds(200);
};

enum class MigrationReason : std::uint8_t { kThrottled, kStalled };
inline constexpr base::NameTable<MigrationReason, 2> kMigrationReasonNames{{
    {MigrationReason::kThrottled, "slowed"},
    {MigrationReason::kStalled, "stands-still"},
}};

/// Why the run should migrate, or nothing. Long-running tasks and members of gangs never migrate,
/// since the other tasks of their step depend on them.
std::optional<MigrationReason> FindMigrationReason(base::TimePoint now,
                                                   const MigrationSettings& settings,
                                                   const workload::StepSpec& spec,
                                                   const RunView& run);

}  // namespace mangoroad::dispatch
