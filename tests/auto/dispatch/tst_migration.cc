// Tests which runs are stopped so that their tasks continue on another target.
#include <catch2/catch.hpp>

#include "dispatch/migration.h"

namespace mangoroad::dispatch {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

workload::StepSpec BestEffortWithCheckpoints() {
  workload::StepSpec spec;
  spec.best_effort = true;
  spec.checkpoints = true;
  spec.estimate_ms = 2'000;
  return spec;
}

RunView ThrottledRun(std::int64_t since_ms) {
  RunView run;
  run.start_request = StartRequestState::kConfirmed;
  run.rate_percent = 20;
  run.throttled_since = At(since_ms);
  run.progressed_at = At(since_ms);
  run.percent = 60;
  return run;
}

RunView FullRateRun(std::int64_t progressed_ms) {
  RunView run;
  run.start_request = StartRequestState::kConfirmed;
  run.progressed_at = At(progressed_ms);
  run.percent = 60;
  return run;
}

// Guards against steps that wait for one task that is throttled for ten seconds and more, as seen
// in the load vp-kochi quiet-1.
TEST_CASE("a throttled run migrates after the delay, not before") {
  const MigrationSettings settings;
  const workload::StepSpec spec = BestEffortWithCheckpoints();
  CHECK_FALSE(FindMigrationReason(At(1'900), settings, spec, ThrottledRun(1'000)));
  CHECK(FindMigrationReason(At(2'000), settings, spec, ThrottledRun(1'000)) ==
        MigrationReason::kThrottled);
}

// Guards against losing more work than a migration gains.
TEST_CASE("a throttled run without checkpoints migrates only while little work would be lost") {
  const MigrationSettings settings;
  workload::StepSpec spec = BestEffortWithCheckpoints();
  spec.checkpoints = false;
  RunView run = ThrottledRun(1'000);
  CHECK_FALSE(FindMigrationReason(At(5'000), settings, spec, run));
  run.percent = settings.max_lost_progress_percent - 1;
  CHECK(FindMigrationReason(At(5'000), settings, spec, run) == MigrationReason::kThrottled);
}

// Guards against jobs that wait for a target on which nothing makes progress.
TEST_CASE("a stalled run migrates") {
  const MigrationSettings settings;
  workload::StepSpec spec;
  spec.estimate_ms = 600;
  CHECK_FALSE(FindMigrationReason(At(2'400), settings, spec, FullRateRun(1'000)));
  CHECK(FindMigrationReason(At(2'500), settings, spec, FullRateRun(1'000)) ==
        MigrationReason::kStalled);
}

// Guards against long tasks that are taken for stalled: one percent of progress takes seconds.
TEST_CASE("the stall time-out grows with the estimate") {
  const MigrationSettings settings;
  workload::StepSpec spec;
  spec.estimate_ms = 100'000;
  CHECK_FALSE(FindMigrationReason(At(10'900), settings, spec, FullRateRun(1'000)));
  CHECK(FindMigrationReason(At(11'000), settings, spec, FullRateRun(1'000)) ==
        MigrationReason::kStalled);
}

// Guards against taking a throttled run for one on a faulty target.
TEST_CASE("a run at a low rate doesn't count as stalled") {
  const MigrationSettings settings;
  RunView run = FullRateRun(1'000);
  run.rate_percent = 0;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, BestEffortWithCheckpoints(), run));
}

// Guards against stopping tasks of steps that guarantee a number of available replicas, and members
// of gangs, which fail as a whole.
TEST_CASE("long-running tasks, members of gangs and unconfirmed runs don't migrate") {
  const MigrationSettings settings;
  workload::StepSpec long_running_spec = BestEffortWithCheckpoints();
  long_running_spec.long_running = true;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, long_running_spec, ThrottledRun(1'000)));
  workload::StepSpec gang = BestEffortWithCheckpoints();
  gang.gang = true;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, gang, ThrottledRun(1'000)));
  RunView unconfirmed = ThrottledRun(1'000);
  unconfirmed.start_request = StartRequestState::kSent;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, BestEffortWithCheckpoints(), unconfirmed));
}

}  // namespace
}  // namespace mangoroad::dispatch
