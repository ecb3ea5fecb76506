#include <catch2/catch.hpp>

#include "controller/outstanding_starts.h"

namespace mangoroad::controller {
namespace {

base::TimePoint At(std::int64_t ms) { return base::TimePoint(std::chrono::milliseconds(ms)); }

const workload::TaskRef kTask{"a", 0, 0, 1};
const workload::TargetIncarnation kTarget{"t", 1};

/// A request that a later incarnation carries out until `latest_ms`.
StartAttempt AttemptAt(const workload::TargetIncarnation& target, std::int64_t latest_ms) {
  return {.target = target, .fence = 1, .deadline = 500, .latest = At(latest_ms)};
}

// Guards against a run that counts as settled because a repeated request was answered, while an
// earlier one may still be carried out.
TEST_CASE("an answer settles only the latest request of a start") {
  OutstandingStarts starts;
  starts.OnSent(AttemptAt(kTarget, 16'000), kTask, 1);
  starts.OnUnanswered(kTask, 1);
  starts.OnSent(AttemptAt(kTarget, 17'000), kTask, 1);
  CHECK(starts.LatestBegin(kTask, 1) == At(17'000));
  starts.OnAnswered(kTask, 1);
  CHECK(starts.LatestBegin(kTask, 1) == At(16'000));
  CHECK(!starts.LatestBegin(kTask, 2));

  starts.OnSent(AttemptAt(kTarget, 18'000), kTask, 2);
  starts.OnAnswered(kTask, 2);
  CHECK(!starts.LatestBegin(kTask, 2));
}

// Guards against tasks that wait for starts that can't be carried out any more, and against a
// response that settles starts at another target or too early.
TEST_CASE("a response after the last moment settles the starts of its target") {
  OutstandingStarts starts;
  const workload::TaskRef other{"a", 0, 0, 2};
  starts.OnSent(AttemptAt(kTarget, 16'000), kTask, 1);
  starts.OnUnanswered(kTask, 1);
  starts.OnSent(AttemptAt({"u", 1}, 16'000), other, 1);
  starts.OnResponded(At(15'999), {kTarget, 2, 0});
  CHECK(starts.LatestBegin(kTask, 1));
  starts.OnResponded(At(16'000), {kTarget, 1, 0});
  CHECK(!starts.LatestBegin(kTask, 1));
  CHECK(starts.LatestBegin(other, 1) == At(16'000));
  starts.Forget(At(16'001));
  CHECK(!starts.LatestBegin(other, 1));
}

// Guards against a run that counts as one that never begins because some time has passed, while its
// target may still carry out the request (review/8, TWICE).
TEST_CASE("only evidence of its target rules out that an outstanding start begins") {
  struct Row {
    const char* name;
    TargetEvidence evidence;
    bool is_ruled_out;
  };
  const Row rows[] = {
      {"the fence and the clock of the request", {kTarget, 1, 500}, false},
      {"a higher fence", {kTarget, 2, 0}, true},
      {"a clock past the deadline", {kTarget, 1, 501}, true},
      {"a higher fence at the next incarnation", {{"t", 2}, 2, 0}, true},
      {"the clock of the next incarnation", {{"t", 2}, 1, 501}, false},
      {"a former incarnation", {{"t", 0}, 2, 501}, false},
      {"another target", {{"u", 1}, 2, 501}, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    OutstandingStarts starts;
    starts.OnSent(AttemptAt(kTarget, 2'000'000), kTask, 1);
    starts.OnUnanswered(kTask, 1);
    starts.OnResponded(At(1'000'000), row.evidence);
    CHECK(starts.MayBeginThere(kTask, 1) == !row.is_ruled_out);
    // A later incarnation may begin it all the same.
    CHECK(starts.LatestBegin(kTask, 1) == At(2'000'000));
  }
}

// Guards against a repeated request that counts as ruled out with the one before, and against
// requests of an earlier leader, whose deadlines aren't known, that count as late.
TEST_CASE("each request of a start has to be ruled out") {
  OutstandingStarts starts;
  starts.OnSent(AttemptAt(kTarget, 16'000), kTask, 1);
  starts.RuleOut(kTask, 1);
  CHECK(!starts.MayBeginThere(kTask, 1));
  StartAttempt repeated = AttemptAt(kTarget, 17'000);
  repeated.fence = 2;
  starts.OnSent(repeated, kTask, 1);
  CHECK(starts.MayBeginThere(kTask, 1));
  starts.OnResponded(At(1'000), {kTarget, 2, 0});
  CHECK(starts.MayBeginThere(kTask, 1));
  starts.OnResponded(At(1'000), {kTarget, 3, 0});
  CHECK(!starts.MayBeginThere(kTask, 1));

  starts.OnSent({.target = kTarget, .latest = At(16'000)}, kTask, 2);
  starts.OnResponded(At(1'000), {kTarget, 0, 1'000'000'000});
  CHECK(starts.MayBeginThere(kTask, 2));
  starts.OnResponded(At(1'000), {kTarget, 1, 0});
  CHECK(!starts.MayBeginThere(kTask, 2));
}

// Guards against a task that starts while a run before its latest one may still begin.
TEST_CASE("all runs of a task with outstanding starts are known") {
  OutstandingStarts starts;
  CHECK(starts.RunsOf(kTask).empty());
  starts.OnSent(AttemptAt(kTarget, 20'000), kTask, 1);
  starts.OnSent(AttemptAt({"u", 1}, 18'000), kTask, 2);
  starts.OnSent(AttemptAt(kTarget, 20'000), {"a", 0, 0, 2}, 3);
  const std::vector<OutstandingStarts::Run> runs = starts.RunsOf(kTask);
  REQUIRE(runs.size() == 2);
  CHECK(runs[0].run == 1);
  CHECK(runs[0].target == kTarget);
  CHECK(runs[0].latest_begin == At(20'000));
  CHECK(runs[1].run == 2);
  CHECK(runs[1].target.id == "u");
}

}  // namespace
}  // namespace mangoroad::controller
