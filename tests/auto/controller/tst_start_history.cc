#include <catch2/catch.hpp>

#include "controller/start_history.h"

namespace mangoroad::controller {
namespace {

base::TimePoint At(std::int64_t ms) { return base::TimePoint(std::chrono::milliseconds(ms)); }

workload::RunChanges StartOf(const workload::TaskRef& task, std::uint32_t run) {
  workload::RunChanges changes;
  changes.starts.push_back({task, run, {"t", 1}});
  return changes;
}

// Guards against a new leader that takes a start for settled while a request is on its way.
TEST_CASE("starts count as recent within the window, and all do while earlier ones aren't known") {
  const workload::TaskRef task{"a", 0, 0, 1};
  const workload::TaskRef other{"a", 0, 0, 2};
  StartHistory history(std::chrono::seconds(7));
  history.OnRestored(At(10'000));
  history.OnApplied(At(11'000), StartOf(task, 3));
  CHECK(history.RecentAt(At(16'999)).MayContain(other, 1));
  CHECK(history.RecentAt(At(17'000)).MayContain(task, 3));
  CHECK(!history.RecentAt(At(17'000)).MayContain(task, 2));
  CHECK(!history.RecentAt(At(17'000)).MayContain(other, 1));
  CHECK(history.RecentAt(At(18'000)).MayContain(task, 3));
  CHECK(!history.RecentAt(At(18'001)).MayContain(task, 3));
  // Old starts are dropped when others come.
  history.OnApplied(At(18'100), StartOf(other, 1));
  CHECK(history.RecentAt(At(18'200)).MayContain(other, 1));
  history.OnRestored(At(18'300));
  CHECK(history.RecentAt(At(18'400)).MayContain(task, 9));
}

}  // namespace
}  // namespace mangoroad::controller
