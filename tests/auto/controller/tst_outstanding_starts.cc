#include <catch2/catch.hpp>

#include "controller/outstanding_starts.h"

namespace mangoroad::controller {
namespace {

base::TimePoint At(std::int64_t ms) { return base::TimePoint(std::chrono::milliseconds(ms)); }

const workload::TaskRef kTask{"a", 0, 0, 1};

// Guards against a run that counts as settled because a repeated request was answered, while an
// earlier one may still be carried out.
TEST_CASE("an answer settles only the latest request of a start") {
  OutstandingStarts starts;
  starts.OnSent(At(16'000), "t", kTask, 1);
  starts.OnUnanswered(kTask, 1);
  starts.OnSent(At(17'000), "t", kTask, 1);
  CHECK(starts.LatestBegin(kTask, 1) == At(17'000));
  starts.OnAnswered(kTask, 1);
  CHECK(starts.LatestBegin(kTask, 1) == At(16'000));
  CHECK(!starts.LatestBegin(kTask, 2));

  starts.OnSent(At(18'000), "t", kTask, 2);
  starts.OnAnswered(kTask, 2);
  CHECK(!starts.LatestBegin(kTask, 2));
}

// Guards against tasks that wait for starts that can't be carried out any more, and against a
// response that settles starts at another target or too early.
TEST_CASE("a response after the last moment settles the starts of its target") {
  OutstandingStarts starts;
  const workload::TaskRef other{"a", 0, 0, 2};
  starts.OnSent(At(16'000), "t", kTask, 1);
  starts.OnUnanswered(kTask, 1);
  starts.OnSent(At(16'000), "u", other, 1);
  starts.OnResponded(At(15'999), "t");
  CHECK(starts.LatestBegin(kTask, 1));
  starts.OnResponded(At(16'000), "t");
  CHECK(!starts.LatestBegin(kTask, 1));
  CHECK(starts.LatestBegin(other, 1) == At(16'000));
  starts.Forget(At(16'001));
  CHECK(!starts.LatestBegin(other, 1));
}

// Guards against a task that starts while a run before its latest one may still begin.
TEST_CASE("of several runs of a task the one that may begin latest counts") {
  OutstandingStarts starts;
  CHECK(!starts.LatestRunOf(kTask));
  starts.OnSent(At(20'000), "t", kTask, 1);
  starts.OnSent(At(18'000), "u", kTask, 2);
  const OutstandingStarts::Run latest =
      starts.LatestRunOf(kTask).value_or(OutstandingStarts::Run{});
  CHECK(latest.run == 1);
  CHECK(latest.target_id == "t");
  CHECK(latest.latest_begin == At(20'000));
}

}  // namespace
}  // namespace mangoroad::controller
