#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <vector>

#include "base/random.h"
#include "interference/interference_estimator.h"
#include "interference/mix_history.h"
#include "interference/usage_model.h"

namespace mangoroad::interference {
namespace {

using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

// True slowdown of kind 0 by the other kinds; it grows with the load.
double TrueSlowdown(const std::vector<Neighbour>& neighbours, double load) {
  double slowdown = 1;
  for (const Neighbour& neighbour : neighbours) {
    slowdown += neighbour.share * (neighbour.kind == 1 ? 2.0 : 0.1) * (load > 0.7 ? 1.5 : 0.75);
  }
  return slowdown;
}

void Train(SlowdownModel& model, base::Random& random, int count, double outliers, double factor,
           TimePoint from = kStart) {
  for (int i = 0; i < count; ++i) {
    const std::vector<Neighbour> neighbours{{1, 0.5 * random.Unit()}, {2, 0.5 * random.Unit()}};
    const double load = random.Chance(0.5) ? 0.5 : 0.9;
    double measured =
        1 + factor * (TrueSlowdown(neighbours, load) - 1) + 0.1 * random.Unit() - 0.05;
    if (random.Chance(outliers)) measured = 50;
    model.Observe(from + seconds(i), 0, neighbours, load, measured);
  }
}

double ErrorAt(const SlowdownModel& model, double load, double factor) {
  double worst = 0;
  for (const auto& mix : std::vector<std::vector<Neighbour>>{{{1, 0.4}}, {{2, 0.4}}}) {
    const double expected = 1 + factor * (TrueSlowdown(mix, load) - 1);
    const double predicted = model.Predict(kStart + seconds(2000), 0, mix, load).value;
    worst = std::max(worst, std::abs(predicted - expected));
  }
  return worst;
}

SlowdownModel ThreeKinds() {
  SlowdownModel model;
  for (const char* name : {"a", "b", "c"}) model.KindOf(name);
  return model;
}

// Guards against attributing a slowdown to the wrong neighbour, and against coefficients that
// ignore the load.
TEST_CASE("slowdowns are attributed to the right pair at each load, in spite of outliers") {
  const double outliers = GENERATE(0.0, 0.05);
  base::Random random(3);
  SlowdownModel model = ThreeKinds();
  Train(model, random, 2000, outliers, 1);
  CHECK(ErrorAt(model, 0.5, 1) < 0.15);
  CHECK(ErrorAt(model, 0.9, 1) < 0.15);
}

// Guards against a model that doesn't adapt after the workload has changed.
TEST_CASE("the model adapts to a changed workload") {
  base::Random random(4);
  SlowdownModel model = ThreeKinds();
  Train(model, random, 4000, 0, 1);
  Train(model, random, 300, 0, 2.5, kStart + seconds(4000));
  CHECK(model.ShiftCount() > 0);
  CHECK(ErrorAt(model, 0.9, 2.5) < 0.35);
}

// Guards against a small deviation without measurements, and against one that never grows again.
TEST_CASE("the deviation shrinks with measurements and grows with time") {
  base::Random random(5);
  SlowdownModel model = ThreeKinds();
  const std::vector<Neighbour> mix{{1, 0.5}};
  const double before = model.Predict(kStart, 0, mix, 0.9).deviation;
  Train(model, random, 500, 0, 1);
  const double after = model.Predict(kStart + seconds(500), 0, mix, 0.9).deviation;
  CHECK(after < before / 4);
  CHECK(model.Predict(kStart + seconds(36000), 0, mix, 0.9).deviation > 2 * after);
}

// Guards against a single extreme measurement that overrides what was learned.
TEST_CASE("one measurement changes a coefficient by a limited step") {
  SlowdownModel model = ThreeKinds();
  const std::vector<Neighbour> mix{{1, 1.0}};
  const double before = model.Predict(kStart, 0, mix, 1).value;
  model.Observe(kStart, 0, mix, 1, 1e9);
  model.Observe(kStart, 0, mix, 1, std::nan(""));
  CHECK(model.Predict(kStart, 0, mix, 1).value - before <= 0.5 + 1e-9);
}

// Guards against attributing a late report to the tasks that run when it arrives.
TEST_CASE("a late report is attributed to the tasks that ran when it was taken") {
  MixHistory history;
  history.Begin(kStart, 1, 0, 0.25);
  history.Begin(kStart, 2, 1, 0.5);
  history.End(kStart + seconds(5), 2);
  history.Begin(kStart + seconds(5), 3, 2, 0.5);
  const auto earlier =
      history.MixBefore(kStart + seconds(4), milliseconds(500), 1).value_or(MixHistory::Mix{});
  CHECK(earlier.neighbours.at(0).kind == 1);
  CHECK(earlier.load == Approx(0.75));
  const auto across = history.MixBefore(kStart + milliseconds(5250), milliseconds(500), 1)
                          .value_or(MixHistory::Mix{});
  REQUIRE(across.neighbours.size() == 2);
  CHECK(across.neighbours.at(0).share == Approx(0.25));
  CHECK_FALSE(history.MixBefore(kStart + milliseconds(5250), milliseconds(500), 3));
}

// Guards against exploration on targets whose services are close to their SLO, and against
// unlimited exploration.
TEST_CASE("exploration is limited and avoids services close to their SLO") {
  InterferenceEstimator interference;
  interference.SetService("console", 100, 50);
  const auto report = [&](const char* target, double p99_ms) {
    interference.ObserveService(kStart, target, "console", p99_ms, 10);
  };
  report("calm", 60);
  report("busy", 90);
  CHECK_FALSE(interference.MayExplore(kStart, "calm"));
  int explored = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool may = interference.MayExplore(kStart, "calm");
    CHECK_FALSE(interference.MayExplore(kStart, "busy"));
    CHECK_FALSE(interference.MayExplore(kStart, "never-reported"));
    interference.OnPlaced(may);
    explored += may ? 1 : 0;
  }
  CHECK(explored > 30);
  CHECK(explored <= 50);
  CHECK_FALSE(interference.MayExplore(kStart + seconds(11), "calm"));
}

// Guards against taking a latency that rose with the request rate for interference.
TEST_CASE("the latency of a service is compared with its baseline at the same rate") {
  InterferenceEstimator interference;
  interference.SetService("console", 100);
  const KindId console = interference.KindOf("console");
  const std::vector<Neighbour> noisy{{interference.KindOf("bundle"), 0.5}};
  for (int i = 0; i < 400; ++i) {
    const TimePoint at = kStart + seconds(i);
    interference.ObserveService(at, "quiet", "console", 20, 10);
    interference.ObserveService(at, "quiet", "console", 40, 200);
    if (i == 0) interference.OnTaskStarted(at - seconds(1), "shared", 1, "bundle", 0.5);
    interference.ObserveService(at, "shared", "console", i % 2 == 0 ? 30 : 60,
                                i % 2 == 0 ? 10 : 200);
  }
  const TimePoint now = kStart + seconds(400);
  CHECK(interference.Predict(now, console, noisy, 0.5).value == Approx(1.5).margin(0.1));
  const Estimate use = interference.PredictSloUtilization(now, "shared", console, noisy, 0.5);
  CHECK(use.value == Approx(0.6).margin(0.05));
}

// Guards against reserving wrong declared amounts, against relying on too few measurements, and
// against one outlier that determines the reservation.
TEST_CASE("reservations follow the usage of the row") {
  UsageModel usage;
  base::Random random(6);
  const jobs::Resources declared{8000, 10000, 1};
  for (int i = 0; i < 20; ++i) usage.Observe("r", UsageKind::kMemory, 1000, 10000);
  CHECK(usage.ReserveFor("r", declared) == declared);
  for (int i = 0; i < 2000; ++i) {
    usage.Observe("r", UsageKind::kProcessors, 1000 + 1000 * random.Unit(), 8000);
    usage.Observe("r", UsageKind::kMemory, i == 1000 ? 1e6 : 11000 + 1000 * random.Unit(), 10000);
    usage.Observe("r", UsageKind::kRunTime, 30, 60);
  }
  const jobs::Resources reserve = usage.ReserveFor("r", declared);
  CHECK(reserve.millicores >= 1850);
  CHECK(reserve.millicores < 2300);
  CHECK(reserve.memory_mib >= 11900);
  CHECK(reserve.memory_mib < 14000);
  CHECK(reserve.accelerators == 1);
  const UsageQuantile run_time = usage.RunTimeFor("r", 60);
  CHECK(run_time.low <= 31);
  CHECK(run_time.high == Approx(30).margin(2.5));
  const UsageQuantile wide = usage.Quantile("r", UsageKind::kProcessors, 0.9);
  CHECK(wide.low <= wide.value);
  CHECK(wide.value <= wide.high);
}

// Guards against a reservation of a live service that shrinks to nothing while its load is low.
TEST_CASE("the reservation of a service doesn't fall below its floor") {
  UsageModel usage;
  for (int i = 0; i < 1000; ++i) usage.Observe("s", UsageKind::kProcessors, 100, 4000);
  const jobs::Resources declared{4000, 100, 0};
  CHECK(usage.ReserveFor("s", declared).millicores < 500);
  CHECK(usage.ReserveForService("s", declared, {2000, 50, 0}).millicores == 2000);
}

}  // namespace
}  // namespace mangoroad::interference
