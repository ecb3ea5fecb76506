#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "placement/scheduler.h"
#include "placement/target_index.h"

namespace mangoroad::placement {
namespace {

using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

/// A scheduler with targets "t0", "t1", ... of equal capacity. Each start is confirmed at once.
struct Fixture {
  explicit Fixture(int targets, Resources capacity = {16000, 60000, 0},
                   std::unique_ptr<SharingPolicy> policy = MakeUnrestrictedSharing())
      : scheduler(std::move(policy)) {
    for (int i = 0; i < targets; ++i) {
      this->scheduler.OnTargetChanged(kStart, {.name = "t" + std::to_string(i),
                                               .failure_domain = i % 2 == 0 ? "a" : "b",
                                               .rack = "r" + std::to_string(i / 8),
                                               .capacity = capacity});
    }
  }

  void Submit(JobId job, const std::string& row, Resources reserve, double run_time_s = 60,
              bool urgent = false) {
    this->scheduler.Submit(this->now, {.job = job,
                                       .row = row,
                                       .reservation = reserve,
                                       .run_time_s = run_time_s,
                                       .checkpointable = true,
                                       .urgent = urgent});
  }

  Decisions Step(base::Duration after = milliseconds(100), std::size_t budget = 1000) {
    this->now += after;
    Decisions decisions = this->scheduler.Schedule(this->now, budget);
    for (const Start& start : decisions.starts) {
      this->running.insert_or_assign(start.job, start);
      this->scheduler.OnTaskStarted(start.job, start.job);
    }
    return decisions;
  }

  void End(JobId job, TaskEnd end) {
    this->running.erase(job);
    this->scheduler.OnTaskEnded(this->now, job, end);
  }

  Scheduler scheduler;
  TimePoint now = kStart;
  std::map<JobId, Start> running;
};

std::vector<RowSpec> OneRow(RowSpec row) {
  if (row.name.empty()) row.name = "r";
  if (row.team.empty()) row.team = "team";
  return {row};
}

// Guards against an index that misses a target that fits, or returns one that doesn't.
TEST_CASE("the index finds a target exactly when one fits") {
  base::Random random(9);
  internal::TargetIndex index;
  std::map<internal::TargetNumber, Resources> free;
  const auto amounts = [&](std::uint32_t most) {
    return Resources{random.Below(most), random.Below(most * 4), random.Below(3)};
  };
  for (int step = 0; step < 20000; ++step) {
    const internal::TargetNumber target = random.Below(40);
    if (random.Chance(0.2)) {
      index.Remove(target);
      free.erase(target);
    } else {
      free[target] = amounts(64000);
      index.Set(target, 0, free[target]);
    }
    const Resources need = amounts(80000);
    std::vector<internal::TargetNumber> found;
    index.Collect(
        {.need = need, .largest_first = random.Chance(0.5), .limit = 100, .per_bucket = 100},
        found);
    const auto fitting =
        std::ranges::count_if(free, [&](const auto& entry) { return need.FitsIn(entry.second); });
    REQUIRE(static_cast<std::ptrdiff_t>(found.size()) == fitting);
    for (const auto number : found) REQUIRE(need.FitsIn(free.at(number)));
  }
}

// Guards against exceeding the capacity of a target when some starts are unconfirmed.
TEST_CASE("reservations never exceed what services leave") {
  Fixture f(2);
  f.scheduler.OnTargetChanged(kStart, {.name = "t0",
                                       .failure_domain = "a",
                                       .capacity = {16000, 60000, 0},
                                       .service_reserve = {4000, 0, 0}});
  f.scheduler.SetRows(kStart, OneRow({}), {});
  for (JobId job = 1; job <= 20; ++job) f.Submit(job, "r", {4000, 1000, 0});
  const Decisions decisions = f.scheduler.Schedule(f.now, 100);
  CHECK(decisions.starts.size() == 7);
  CHECK(f.scheduler.Schedule(f.now + seconds(5), 100).starts.empty());
  f.scheduler.OnStartDropped(f.now, decisions.starts.at(0).job);
  CHECK(f.scheduler.Schedule(f.now + seconds(6), 100).starts.size() == 1);
}

// Guards against a team that exceeds its quota while others wait, and against unused idle capacity.
TEST_CASE("teams share by quota, and idle capacity is lent") {
  Fixture f(10);
  f.scheduler.SetRows(kStart, {{.name = "x", .team = "big"}, {.name = "y", .team = "small"}},
                      {{"big", 120000}, {"small", 40000}});
  for (JobId job = 1; job <= 300; ++job) f.Submit(job, job % 2 == 0 ? "x" : "y", {1000, 1000, 0});
  f.Step();
  std::map<bool, int> counts;
  for (const auto& [job, start] : f.running) ++counts[job % 2 == 0];
  CHECK(counts[true] == 120);
  CHECK(counts[false] == 40);
  Fixture alone(10);
  alone.scheduler.SetRows(kStart, {{.name = "y", .team = "small"}}, {{"small", 40000}});
  for (JobId job = 1; job <= 300; ++job) alone.Submit(job, "y", {1000, 1000, 0});
  alone.Step();
  CHECK(alone.running.size() == 160);
}

// Guards against borrowed capacity that is never returned to its owner, and against evicting tasks
// of teams below their quota.
TEST_CASE("borrowed capacity is reclaimed by checkpoint and stop") {
  Fixture f(2);
  f.scheduler.SetRows(kStart, {{.name = "x", .team = "owner"}, {.name = "y", .team = "borrower"}},
                      {{"owner", 16000}, {"borrower", 8000}});
  for (JobId job = 1; job <= 8; ++job) f.Submit(job, "y", {4000, 1000, 0}, 3600);
  f.Step();
  REQUIRE(f.running.size() == 8);
  f.now += seconds(20);
  f.Submit(100, "x", {4000, 1000, 0});
  std::vector<ActionRequest> orders;
  for (int i = 0; i < 40; ++i) {
    for (ActionRequest& order : f.Step().action_requests) orders.push_back(order);
  }
  REQUIRE(orders.size() == 1);
  CHECK(orders.at(0).action == jobs::TaskAction::kCheckpoint);
  f.scheduler.OnTaskProgress(f.now, orders.at(0).job, {0.1, 1});
  const Decisions stops = f.Step();
  REQUIRE(stops.action_requests.size() == 1);
  CHECK(stops.action_requests.at(0).action == jobs::TaskAction::kStop);
  f.End(orders.at(0).job, TaskEnd::kEvicted);
  const Decisions placed = f.Step();
  REQUIRE(placed.starts.size() == 1);
  CHECK(placed.starts.at(0).job == 100);
}

// Guards against an urgent job that waits longer than 5.8 s on a full cluster, with stops that take
// a second to be reported.
TEST_CASE("an urgent job starts within its time: throttle, checkpoint, stop") {
  Fixture f(4);
  f.scheduler.SetRows(kStart, {{.name = "x", .team = "t"}, {.name = "u", .team = "t"}}, {});
  for (JobId job = 1; job <= 16; ++job) f.Submit(job, "x", {4000, 1000, 0}, 3600);
  f.Step();
  REQUIRE(f.running.size() == 16);
  f.Submit(100, "u", {6000, 1000, 0}, 10, true);
  std::vector<jobs::TaskAction> actions;
  std::vector<std::pair<TimePoint, JobId>> stops;
  const TimePoint submitted = f.now;
  while (!f.running.contains(100) && f.now < submitted + seconds(10)) {
    for (const ActionRequest& order : f.Step().action_requests) {
      actions.push_back(order.action);
      if (order.action != jobs::TaskAction::kStop) continue;
      stops.emplace_back(f.now + seconds(1), order.job);
    }
    for (const auto& [at, job] : stops) {
      if (at == f.now) f.End(job, TaskEnd::kEvicted);
    }
  }
  using A = jobs::TaskAction;
  CHECK(actions == std::vector{A::kThrottle, A::kThrottle, A::kCheckpoint, A::kCheckpoint, A::kStop,
                               A::kStop});
  CHECK(f.running.contains(100));
  CHECK(f.now - submitted <= milliseconds(5800));
}

// Guards against a queue that is blocked by a job that fits no target, and against losing that job.
TEST_CASE("a job that fits no target is set aside with the reason and reconsidered") {
  Fixture f(2);
  f.scheduler.SetRows(kStart, OneRow({}), {});
  f.Submit(1, "r", {64000, 1000, 0});
  f.Submit(2, "r", {1000, 1000, 0});
  CHECK(f.Step().starts.size() == 1);
  std::vector<UnplaceableJob> unplaceable;
  for (int i = 0; i < 15 && unplaceable.empty(); ++i) unplaceable = f.Step(seconds(1)).unplaceable;
  REQUIRE(unplaceable.size() == 1);
  CHECK(unplaceable.at(0).job == 1);
  CHECK(unplaceable.at(0).reason.find("64000 millicores") != std::string::npos);
  f.scheduler.OnTargetChanged(
      f.now, {.name = "large", .failure_domain = "a", .capacity = {64000, 60000, 0}});
  const Decisions decisions = f.Step();
  CHECK(decisions.reconsidered == std::vector<JobId>{1});
  CHECK(decisions.starts.size() == 1);
}

// Guards against short jobs that wait behind long ones, and against long ones that starve.
TEST_CASE("short jobs pass long ones and long ones don't starve") {
  Fixture f(1, {1000, 1000, 0});
  f.scheduler.SetRows(kStart, OneRow({}), {});
  f.Submit(1, "r", {1000, 10, 0}, 36000);
  f.Submit(2, "r", {1000, 10, 0}, 1);
  f.now += seconds(1);
  CHECK(f.Step().starts.at(0).job == 2);
  JobId next = 10;
  bool long_started = false;
  for (int i = 0; i < 200'000 && !long_started; ++i) {
    f.Submit(next, "r", {1000, 10, 0}, 30);
    ++next;
    for (const auto& [job, start] : std::map(f.running)) f.End(job, TaskEnd::kSucceeded);
    long_started = !f.Step(seconds(30)).starts.empty() && f.running.contains(1);
  }
  CHECK(long_started);
}

// Guards against a large job that starves because small jobs occupy each target.
TEST_CASE("a large job gets a draining target") {
  Fixture f(4);
  f.scheduler.SetRows(kStart, OneRow({}), {});
  f.Submit(1, "r", {16000, 1000, 0}, 60);
  f.running[1] = {};
  for (JobId job = 10; job < 26; ++job) f.Submit(job, "r", {4000, 1000, 0}, 60);
  f.scheduler.Cancel(f.now, 1);
  f.running.erase(1);
  f.Step();
  REQUIRE(f.running.size() == 16);
  f.Submit(2, "r", {16000, 1000, 0}, 60);
  JobId next = 100;
  base::Random random(2);
  for (int i = 0; i < 600 && !f.running.contains(2); ++i) {
    const auto victim =
        std::next(f.running.begin(), random.Below(static_cast<std::uint32_t>(f.running.size())));
    f.End(victim->first, TaskEnd::kSucceeded);
    f.Submit(next++, "r", {4000, 1000, 0}, 60);
    f.Step(seconds(1));
  }
  CHECK(f.running.contains(2));
}

// Guards against a faulty target on which job after job fails, and against attributing its failures
// to the jobs.
TEST_CASE("a failing target is suspended and probed sparingly") {
  Fixture f(4, {1000, 1000, 0});
  f.scheduler.SetRows(kStart, OneRow({}), {});
  int on_bad = 0;
  for (int i = 0; i < 600; ++i) {
    f.Submit(1000 + i, "r", {1000, 10, 0}, 1);
    for (const Start& start : f.Step(seconds(1)).starts) {
      on_bad += start.target == "t0" ? 1 : 0;
    }
    for (const auto& [job, start] : std::map(f.running)) {
      f.End(job, start.target == "t0" ? TaskEnd::kFailed : TaskEnd::kSucceeded);
    }
  }
  CHECK(on_bad >= 4);
  CHECK(on_bad <= 12);
}

// Guards against a row with a fault of its own that causes targets to be suspended or uses most
// starts.
TEST_CASE("a row that fails everywhere is slowed, and its targets aren't suspended") {
  Fixture f(8, {1000, 1000, 0});
  f.scheduler.SetRows(kStart, {{.name = "bad", .team = "t"}, {.name = "good", .team = "u"}}, {});
  int bad = 0;
  int good = 0;
  for (int i = 0; i < 300; ++i) {
    f.Submit(1000 + i, "bad", {1000, 10, 0}, 1);
    for (int j = 0; j < 4; ++j) f.Submit(10000 + 10 * i + j, "good", {1000, 10, 0}, 1);
    f.Step(seconds(1));
    for (const auto& [job, start] : std::map(f.running)) {
      const bool is_bad = job < 10000;
      bad += is_bad ? 1 : 0;
      good += is_bad ? 0 : 1;
      f.End(job, is_bad ? TaskEnd::kFailed : TaskEnd::kSucceeded);
    }
  }
  CHECK(good >= 1150);
  CHECK(bad >= 4);
  CHECK(bad <= 40);
}

// Guards against exceeding the limits of a row.
TEST_CASE("limits of a row are enforced") {
  Fixture f(4);
  f.scheduler.SetRows(kStart, OneRow({.limit_inflight = 5}), {});
  for (JobId job = 1; job <= 50; ++job) f.Submit(job, "r", {1000, 10, 0});
  f.Step();
  CHECK(f.running.size() == 5);
  f.scheduler.SetRows(f.now, OneRow({.limit_rate = 2}), {});
  std::size_t started = 0;
  for (int i = 0; i < 100; ++i) started += f.Step().starts.size();
  CHECK(started >= 19);
  CHECK(started <= 23);
}

// Guards against tasks outside the failure domains of their row, and against ignoring the preferred
// order.
TEST_CASE("place restricts the failure domains, preferred domains first") {
  Fixture f(2);
  f.scheduler.SetRows(kStart, OneRow({.failure_domains = {"b", "a"}}), {});
  for (JobId job = 1; job <= 5; ++job) f.Submit(job, "r", {4000, 10, 0});
  f.Step();
  CHECK(std::ranges::count(f.running, "t1", [](const auto& e) { return e.second.target; }) == 4);
  f.scheduler.SetRows(f.now, OneRow({.failure_domains = {"b"}}), {});
  f.Submit(6, "r", {4000, 10, 0});
  CHECK(f.Step().starts.empty());
}

// Guards against placing all tasks of a row on one rack.
TEST_CASE("spread uses all racks") {
  Fixture f(32);
  f.scheduler.SetRows(kStart, OneRow({.strategy = StrategyKind::kSpread}), {});
  for (JobId job = 1; job <= 16; ++job) f.Submit(job, "r", {1000, 10, 0});
  f.Step();
  std::set<std::string> targets;
  for (const auto& [job, start] : f.running) targets.insert(start.target);
  CHECK(targets.size() == 16);
}

// Guards against a cancelled job that still starts, and a running one that isn't stopped.
TEST_CASE("cancelled jobs don't start and running ones are stopped") {
  Fixture f(1);
  f.scheduler.SetRows(kStart, OneRow({}), {});
  f.Submit(1, "r", {16000, 10, 0});
  f.Submit(2, "r", {16000, 10, 0});
  f.Step();
  REQUIRE(f.running.contains(1));
  f.scheduler.Cancel(f.now, 2);
  f.scheduler.Cancel(f.now, 1);
  const Decisions decisions = f.Step();
  REQUIRE(decisions.action_requests.size() == 1);
  CHECK(decisions.action_requests.at(0).job == 1);
  f.End(1, TaskEnd::kCancelled);
  CHECK(f.Step(seconds(5)).starts.empty());
  CHECK(f.scheduler.WaitingCount() == 0);
}

// Guards against evicting tasks that will end soon or were evicted too often.
TEST_CASE("nearly finished and often evicted tasks are left alone by reclaim") {
  const bool finished = GENERATE(true, false);
  Fixture f(1);
  f.scheduler.SetRows(kStart, {{.name = "x", .team = "owner"}, {.name = "y", .team = "borrower"}},
                      {{"owner", 16000}});
  f.scheduler.Submit(f.now, {.job = 1,
                             .row = "y",
                             .reservation = {16000, 10, 0},
                             .run_time_s = 3600,
                             .evictions = finished ? 0U : 3U});
  f.Step();
  f.scheduler.OnTaskProgress(f.now, 1, {finished ? 0.95 : 0.2, 0});
  f.Submit(2, "x", {16000, 10, 0});
  for (int i = 0; i < 40; ++i) CHECK(f.Step(seconds(1)).action_requests.empty());
}

// Guards against throttling and releasing a task with each burst of a service, and against a
// service that keeps violating its SLO.
TEST_CASE(
    "a service over its SLO throttles, then checkpoints, then stops the most interfering task") {
  Fixture f(1);
  f.scheduler.SetRows(kStart, OneRow({}), {});
  f.Submit(1, "r", {8000, 10, 0}, 3600);
  f.Step();
  std::vector<jobs::TaskAction> actions;
  const auto report = [&](double use, int times) {
    for (int i = 0; i < times; ++i) {
      f.scheduler.OnServiceLatency(f.now, "t0", use);
      for (const ActionRequest& request : f.Step(milliseconds(500)).action_requests) {
        actions.push_back(request.action);
      }
    }
  };
  using A = jobs::TaskAction;
  report(1.5, 1);
  report(0.9, 3);
  CHECK(actions.empty());
  report(1.5, 3);
  CHECK(actions == std::vector{A::kThrottle});
  report(0.7, 5);
  report(0.9, 2);
  report(0.7, 5);
  CHECK(actions.size() == 1);
  report(0.7, 10);
  CHECK(actions.back() == A::kUnthrottle);
  actions.clear();
  report(1.5, 20);
  CHECK(actions == std::vector{A::kThrottle, A::kCheckpoint, A::kStop});
}

// Guards against tasks that stay throttled forever because the service stays between the
// thresholds.
TEST_CASE("throttled tasks are released when the service keeps its SLO") {
  Fixture f(1);
  f.scheduler.SetRows(kStart, OneRow({}), {});
  f.Submit(1, "r", {8000, 10, 0}, 3600);
  f.Step();
  std::vector<jobs::TaskAction> actions;
  for (int i = 0; i < 60; ++i) {
    f.scheduler.OnServiceLatency(f.now, "t0", i < 4 ? 1.2 : 0.9);
    for (const ActionRequest& request : f.Step(milliseconds(500)).action_requests) {
      actions.push_back(request.action);
    }
  }
  CHECK(actions == std::vector{jobs::TaskAction::kThrottle, jobs::TaskAction::kUnthrottle});
}

// Guards against a search that ends at the used targets, which the policy refuses, and never
// reaches the empty ones at the other end of the index.
TEST_CASE("empty targets are found behind used ones") {
  Fixture f(80, {16000, 60000, 0}, MakeNoSharing());
  f.scheduler.SetRows(kStart, OneRow({}), {});
  for (JobId job = 1; job <= 80; ++job) f.Submit(job, "r", {1000, 10, 0});
  f.Step();
  CHECK(f.running.size() == 80);
}

}  // namespace
}  // namespace mangoroad::placement
