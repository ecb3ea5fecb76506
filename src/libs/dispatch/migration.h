// Which runs are stopped so that their tasks go on at another target.
//
// Load patterns: serving tasks near their bound keep a few tasks that fill at a low pace for as
// long as they run, and one such task holds up the whole step of its job; a target on which all
// that runs stands still holds up every job that has a task there.
#pragma once

#include <cstdint>
#include <optional>

#include "base/name_table.h"
#include "base/time.h"
#include "dispatch/target_tracker.h"
#include "workload/job.h"

namespace mangoroad::dispatch {

struct MigrationSettings {
  /// A task that fills moves when its pace was at most `low_pace` percent for `patience` on end.
  /// A move costs up to about 1 s: the stop, two log entries and the restored checkpoint.
  std::int32_t low_rate_percent = 40;
  base::Duration throttled_delay = std::chrono::milliseconds(1000);
  /// Without checkpoints the work is lost, so only runs with less progress than this move for their
  /// pace. In percent.
  std::int32_t max_lost_progress_percent = 30;
  /// A run stands still when its progress, in whole percent, didn't rise for this time, and for
  /// this part of the estimate, which allows for targets that are ten times slower.
  base::Duration stall_timeout = std::chrono::milliseconds(1500);
  double stall_estimate_fraction = 0.1;
  /// Moves begun in one round; the stops of more would wait for each other at the log.
  std::size_t max_per_round = 16;
  /// Time between two rounds.
  base::Duration interval = std::chrono::milliseconds(200);
};

enum class MigrationReason : std::uint8_t { kThrottled, kStalled };
inline constexpr base::NameTable<MigrationReason, 2> kMigrationReasonNames{{
    {MigrationReason::kThrottled, "slowed"},
    {MigrationReason::kStalled, "stands-still"},
}};

/// Why the run should go on elsewhere, or nothing. Tasks that last and members of gangs stay: the
/// others of their step would miss them.
std::optional<MigrationReason> FindMigrationReason(base::TimePoint now,
                                                   const MigrationSettings& settings,
                                                   const workload::StepSpec& spec,
                                                   const RunView& run);

}  // namespace mangoroad::dispatch
