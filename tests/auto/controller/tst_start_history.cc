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

constexpr base::Duration kLive{};

/// The request of run 1; none of them is outstanding by default.
StartHistory::Recent::Request RequestAt(const StartHistory& history, base::TimePoint now,
                                        const workload::TaskRef& task) {
  return history.RecentAt(now).Of(task, 1).value_or(StartHistory::Recent::Request{});
}

const StartWindows kWindows{std::chrono::seconds(5), std::chrono::seconds(2),
                            std::chrono::seconds(16)};

// Guards against a new leader that takes a start for settled while a request is on its way.
TEST_CASE("starts count as recent within the window, and all do while earlier ones aren't known") {
  const workload::TaskRef task{"a", 0, 0, 1};
  const workload::TaskRef other{"a", 0, 0, 2};
  StartHistory history(kWindows);
  history.OnRestored(At(10'000));
  history.OnApplied(At(11'000), kLive, StartOf(task, 3));
  CHECK(history.RecentAt(At(16'999)).Of(other, 1));
  CHECK(history.RecentAt(At(17'000)).Of(task, 3));
  CHECK(!history.RecentAt(At(17'000)).Of(task, 2));
  CHECK(!history.RecentAt(At(17'000)).Of(other, 1));
  CHECK(history.RecentAt(At(18'000)).Of(task, 3));
  CHECK(!history.RecentAt(At(18'001)).Of(task, 3));
  // Old starts are dropped when others come.
  history.OnApplied(At(18'100), kLive, StartOf(other, 1));
  CHECK(history.RecentAt(At(18'200)).Of(other, 1));
  history.OnRestored(At(18'300));
  CHECK(history.RecentAt(At(18'400)).Of(task, 9));
}

// Guards against a new leader that counts less time than a request has left: it may have been sent
// until the end of its window, or until the new term began.
TEST_CASE("a request may be carried out for the longest delay after it may have been sent") {
  const workload::TaskRef task{"a", 0, 0, 1};
  StartHistory history(kWindows);
  history.OnApplied(At(100'000), kLive, StartOf(task, 1));
  CHECK(RequestAt(history, At(102'000), task).latest == At(118'000));
  CHECK(RequestAt(history, At(106'000), task).latest == At(121'000));
  CHECK(!RequestAt(history, At(106'000), task).is_unanswered);
}

// Guards against tasks that wait for half a minute after a restart of all replicas, which apply
// their log again.
TEST_CASE("starts that were read from the log count from when they were proposed") {
  const workload::TaskRef task{"a", 0, 0, 1};
  const workload::TaskRef other{"a", 0, 0, 2};
  StartHistory history(kWindows);
  history.OnApplied(At(100'000), std::chrono::seconds(40), StartOf(task, 1));
  history.OnApplied(At(100'000), std::chrono::seconds(6), StartOf(other, 1));
  CHECK(!history.RecentAt(At(100'500)).Of(task, 1));
  CHECK(RequestAt(history, At(100'500), other).latest == At(115'000));
}

// Guards against a new leader that takes a start for answered of which the former leader had no
// response (issue 43).
TEST_CASE("a start that was committed again is outstanding for the longest delay") {
  const workload::TaskRef task{"a", 0, 0, 1};
  StartHistory history(kWindows);
  history.OnApplied(At(100'000), kLive, StartOf(task, 1));
  history.OnApplied(At(101'000), kLive, StartOf(task, 1));
  CHECK(RequestAt(history, At(115'000), task).is_unanswered);
  CHECK(RequestAt(history, At(115'000), task).latest == At(117'000));
  CHECK(!history.RecentAt(At(122'001)).Of(task, 1));
}

}  // namespace
}  // namespace mangoroad::controller
