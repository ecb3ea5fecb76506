#include "dispatch/migration.h"

#include <algorithm>

namespace mangoroad::dispatch {
namespace {

bool IsStalled(base::TimePoint now, const MigrationSettings& settings,
               const workload::StepSpec& spec, const RunView& run) {
  if (run.rate_percent <= settings.low_rate_percent) return false;
  const base::Duration expected = std::chrono::milliseconds(static_cast<std::int64_t>(
      settings.stall_estimate_fraction * static_cast<double>(spec.estimate_ms)));
  return now - run.progressed_at >= std::max(settings.stall_timeout, expected);
}

}  // namespace

std::optional<MigrationReason> FindMigrationReason(base::TimePoint now,
                                                   const MigrationSettings& settings,
                                                   const workload::StepSpec& spec,
                                                   const RunView& run) {
  if (spec.long_running || spec.gang || run.start_request != StartRequestState::kConfirmed) {
    return std::nullopt;
  }
  const bool keeps_work = spec.checkpoints || run.percent < settings.max_lost_progress_percent;
  if (run.throttled_since && keeps_work && now - *run.throttled_since >= settings.throttled_delay) {
    return MigrationReason::kThrottled;
  }
  if (IsStalled(now, settings, spec, run)) return MigrationReason::kStalled;
  return std::nullopt;
}

}  // namespace mangoroad::dispatch
