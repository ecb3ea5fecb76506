#include <catch2/catch.hpp>
#include <cmath>
#include <string>
#include <vector>

#include "dispatch/throttler.h"

namespace mangoroad::dispatch {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

/// Has learned that `heavy` interferes with `serving` and `light` doesn't.
InterferenceModel TrainedModel() {
  InterferenceModel model;
  for (int i = 0; i < 3'000; ++i) {
    const bool heavy = i % 2 == 0;
    const bool light = i % 3 == 0;
    std::vector<BestEffortShare> neighbours;
    if (heavy) neighbours.push_back({"heavy", 0.1});
    if (light) neighbours.push_back({"light", 0.1});
    model.Observe("serving", model.InputsOf(neighbours), std::exp(heavy ? -0.3 : -0.8));
  }
  return model;
}

// Guards against throttling harmless tasks together with interfering ones, on a target with many
// kinds of work whose latency-critical task is near its SLO.
TEST_CASE("only interfering neighbours are throttled") {
  std::vector<LatencyCriticalTask> latency_critical{{"serving", 0.95}};
  std::vector<BestEffortTask> tasks{{"heavy", 0.1, 0.1}, {"light", 0.1, 0.1}};
  PlanThrottling(At(0), TrainedModel(), {}, latency_critical, tasks);
  CHECK(tasks[0].rate_percent < 100);
  CHECK(tasks[1].rate_percent == 100);
}

// Guards against a backlog of heavy work in which many tasks run at a fraction of the full rate and
// none ends in time.
TEST_CASE("the most urgent tasks get the full rate first") {
  std::vector<LatencyCriticalTask> latency_critical{{"serving", 0.45}};
  std::vector<BestEffortTask> tasks(6, BestEffortTask{"heavy", 0.1, 0.0});
  PlanThrottling(At(0), TrainedModel(), {}, latency_critical, tasks);
  CHECK(tasks.front().rate_percent >= 80);
  CHECK(tasks.back().rate_percent == 0);
  int partial = 0;
  for (const BestEffortTask& task : tasks) {
    partial += task.rate_percent > 0 && task.rate_percent < 100 ? 1 : 0;
  }
  CHECK(partial <= 1);
}

// Guards against a wrong model: all neighbours of a task that keeps violating its SLO are paused
// before the violation counts against the system (4 s).
TEST_CASE("all neighbours of a task that keeps violating its SLO are paused") {
  const InterferenceModel model = TrainedModel();
  std::vector<LatencyCriticalTask> latency_critical{{"serving", 3.0}};
  std::vector<BestEffortTask> tasks{{"light", 0.1, 0.1}, {"light", 0.1, 0.1}};
  std::vector<std::int64_t> paused_at;
  for (std::int64_t ms = 0; ms < 12'000; ms += 300) {
    PlanThrottling(At(ms), model, {}, latency_critical, tasks);
    if (tasks[0].rate_percent == 0 && tasks[1].rate_percent == 0) paused_at.push_back(ms);
  }
  REQUIRE_FALSE(paused_at.empty());
  CHECK(paused_at.front() < 2'500);
  for (std::size_t i = 1; i < paused_at.size(); ++i) {
    CHECK(paused_at[i] - paused_at[i - 1] < 3'000);
  }
  // Neighbours that aren't the cause keep running between the pauses.
  CHECK(paused_at.size() < 25);
  latency_critical[0].slo_utilization = 0.3;
  PlanThrottling(At(12'300), model, {}, latency_critical, tasks);
  CHECK(tasks[0].rate_percent == 100);
}

// Guards against a noisy measurement just below the SLO that restarts the delay before a pause
// while the violation goes on. Found by a randomized search (pfcad mix, seed 1090722527234; 1 of 9
// runs).
TEST_CASE("a single value just below the SLO doesn't postpone the pause") {
  const InterferenceModel model = TrainedModel();
  std::vector<LatencyCriticalTask> latency_critical{{"serving", 1.2}};
  std::vector<BestEffortTask> tasks{{"light", 0.1, 0.1}};
  std::int64_t paused_at = -1;
  for (std::int64_t ms = 0; ms < 8'000 && paused_at < 0; ms += 300) {
    latency_critical[0].slo_utilization = (ms / 300) % 4 == 3 ? 0.95 : 1.2;
    PlanThrottling(At(ms), model, {}, latency_critical, tasks);
    if (tasks[0].rate_percent == 0) paused_at = ms;
  }
  CHECK(paused_at >= 0);
  CHECK(paused_at < 3'500);
}

// Guards against throttling that can't help, since the task violates its SLO by its own load.
TEST_CASE("neighbours of a task that violates its SLO by its own load aren't throttled at first") {
  std::vector<LatencyCriticalTask> latency_critical{{"serving", 2.5}};
  std::vector<BestEffortTask> tasks{{"heavy", 0.1, 0.0}};
  PlanThrottling(At(0), TrainedModel(), {}, latency_critical, tasks);
  CHECK(latency_critical[0].is_overloaded_alone);
  CHECK(tasks[0].rate_percent == 100);
}

}  // namespace
}  // namespace mangoroad::dispatch
