// When a run is stopped so that its task goes on elsewhere.
#include <catch2/catch.hpp>

#include "dispatch/migration.h"

namespace mangoroad::dispatch {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

workload::StepSpec FillingWithCheckpoints() {
  workload::StepSpec spec;
  spec.best_effort = true;
  spec.checkpoints = true;
  spec.estimate_ms = 2'000;
  return spec;
}

RunView SlowedRun(std::int64_t since_ms) {
  RunView run;
  run.start_request = StartRequestState::kConfirmed;
  run.rate_percent = 20;
  run.throttled_since = At(since_ms);
  run.progressed_at = At(since_ms);
  run.percent = 60;
  return run;
}

RunView FullPaceRun(std::int64_t progressed_ms) {
  RunView run;
  run.start_request = StartRequestState::kConfirmed;
  run.progressed_at = At(progressed_ms);
  run.percent = 60;
  return run;
}

// Guards against steps that wait for one task that is kept at a low pace for ten seconds and more,
// as on vp-kochi quiet-1.
TEST_CASE("a slowed run moves after its patience, not before") {
  const MigrationSettings settings;
  const workload::StepSpec spec = FillingWithCheckpoints();
  CHECK_FALSE(FindMigrationReason(At(1'900), settings, spec, SlowedRun(1'000)));
  CHECK(FindMigrationReason(At(2'000), settings, spec, SlowedRun(1'000)) ==
        MigrationReason::kThrottled);
}

// Guards against work that is thrown away for a better place.
TEST_CASE("a slowed run without checkpoints moves only while little of it would be lost") {
  const MigrationSettings settings;
  workload::StepSpec spec = FillingWithCheckpoints();
  spec.checkpoints = false;
  RunView run = SlowedRun(1'000);
  CHECK_FALSE(FindMigrationReason(At(5'000), settings, spec, run));
  run.percent = settings.max_lost_progress_percent - 1;
  CHECK(FindMigrationReason(At(5'000), settings, spec, run) == MigrationReason::kThrottled);
}

// Guards against jobs that wait for a target on which nothing makes progress.
TEST_CASE("a run whose progress stands still moves") {
  const MigrationSettings settings;
  workload::StepSpec spec;
  spec.estimate_ms = 600;
  CHECK_FALSE(FindMigrationReason(At(2'400), settings, spec, FullPaceRun(1'000)));
  CHECK(FindMigrationReason(At(2'500), settings, spec, FullPaceRun(1'000)) ==
        MigrationReason::kStalled);
}

// Guards against long tasks that are taken as standing still: one percent of them takes seconds.
TEST_CASE("the time without progress grows with the estimate") {
  const MigrationSettings settings;
  workload::StepSpec spec;
  spec.estimate_ms = 100'000;
  CHECK_FALSE(FindMigrationReason(At(10'900), settings, spec, FullPaceRun(1'000)));
  CHECK(FindMigrationReason(At(11'000), settings, spec, FullPaceRun(1'000)) ==
        MigrationReason::kStalled);
}

// Guards against a slowed run that is taken for one on a broken target.
TEST_CASE("a run at a low pace doesn't count as standing still") {
  const MigrationSettings settings;
  RunView run = FullPaceRun(1'000);
  run.rate_percent = 0;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, FillingWithCheckpoints(), run));
}

// Guards against stops of tasks whose step has promised its callers how many are at work, and of
// gangs, which break as a whole.
TEST_CASE("tasks that last and members of gangs stay, and so do runs without an answer") {
  const MigrationSettings settings;
  workload::StepSpec lasting = FillingWithCheckpoints();
  lasting.long_running = true;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, lasting, SlowedRun(1'000)));
  workload::StepSpec gang = FillingWithCheckpoints();
  gang.gang = true;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, gang, SlowedRun(1'000)));
  RunView unanswered = SlowedRun(1'000);
  unanswered.start_request = StartRequestState::kSent;
  CHECK_FALSE(FindMigrationReason(At(9'000), settings, FillingWithCheckpoints(), unanswered));
}

}  // namespace
}  // namespace mangoroad::dispatch
