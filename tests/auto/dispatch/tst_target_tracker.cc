#include <catch2/catch.hpp>

#include "dispatch/target_tracker.h"

namespace mangoroad::dispatch {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

TargetView& CreateUsable(TargetTracker& tracker) {
  TargetView& view = tracker.FindOrCreate({"t1", 100});
  view.is_fenced = true;
  view.last_contact = At(10'000);
  return view;
}

// Guards against more work for a target that reports good health but fails all its runs.
TEST_CASE("a target that fails several runs in a row is avoided for a while") {
  const HealthLimits limits;
  TargetTracker tracker({}, limits);
  TargetView& view = CreateUsable(tracker);
  for (int i = 0; i + 1 < limits.max_consecutive_failures; ++i) {
    tracker.OnRunEnded(view, workload::RunEnd::kFailed, At(10'000));
  }
  CHECK(tracker.IsUsable(view, At(10'000)));
  tracker.OnRunEnded(view, workload::RunEnd::kDone, At(10'000));
  for (int i = 0; i < limits.max_consecutive_failures; ++i) {
    tracker.OnRunEnded(view, workload::RunEnd::kFailed, At(10'000));
  }
  CHECK_FALSE(tracker.IsUsable(view, At(10'001)));
  view.last_contact = At(20'000);
  CHECK(tracker.IsUsable(view, At(20'000)));
}

// Guards against work for a target that is unreachable, that doesn't respond, or to which requests
// of an earlier leader may still be on the way.
TEST_CASE("silent, unresponsive and unfenced targets get no work") {
  TargetTracker tracker({}, {});
  TargetView& view = CreateUsable(tracker);
  CHECK(tracker.IsUsable(view, At(10'100)));
  CHECK_FALSE(tracker.IsUsable(view, At(20'000)));
  view.unanswered_requests = 1;
  CHECK_FALSE(tracker.IsUsable(view, At(10'100)));
  view.unanswered_requests = 0;
  view.is_fenced = false;
  CHECK_FALSE(tracker.IsUsable(view, At(10'100)));
}

// Guards against state of an ended incarnation that is taken over for the next one.
TEST_CASE("a newer incarnation starts with empty state") {
  TargetTracker tracker({}, {});
  CreateUsable(tracker).runs[{"j", 0, 0, 0}].run = 4;
  CHECK(tracker.FindOrCreate({"t1", 100}).runs.size() == 1);
  CHECK(tracker.FindOrCreate({"t1", 200}).runs.empty());
  CHECK(tracker.FindOrCreate({"t1", 100}).incarnation.number == 200);
}

}  // namespace
}  // namespace mangoroad::dispatch
