// Replays of the loads that the planner's rules answer, each on a fleet of a few targets.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "dispatch/planner.h"

namespace mangoroad::dispatch {
namespace {

using std::chrono::milliseconds;
using workload::JobSpec;
using workload::RunChanges;
using workload::Start;
using workload::StepSpec;

constexpr std::int64_t kTargetCpu = 16'000;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

StepSpec Plain(std::uint32_t count, std::int64_t cpu) {
  StepSpec step;
  step.count = count;
  step.resources = {cpu, 100, 0};
  step.estimate_ms = 600;
  return step;
}

StepSpec Lasting(std::uint32_t count, std::int64_t cpu, const std::string& image = "serving") {
  StepSpec step = Plain(count, cpu);
  step.long_running = true;
  step.latency_slo_ms = 20;
  step.image = image;
  return step;
}

StepSpec Filling(std::uint32_t count, std::int64_t cpu, const std::string& image = "heavy") {
  StepSpec step = Plain(count, cpu);
  step.best_effort = true;
  step.image = image;
  return step;
}

class Fleet {
 public:
  explicit Fleet(int targets) {
    workload::Declaration declaration;
    declaration.version = 1;
    declaration.services = {{"audit", true}};
    for (int priority = 0; priority < 3; ++priority) {
      declaration.queues.push_back({"q" + std::to_string(priority), "a",
                                    "/" + std::to_string(priority), "audit", 3000, 500, priority, 3,
                                    1.5});
    }
    this->ledger.Apply(workload::Declare{declaration});
    for (int i = 0; i < targets; ++i) {
      workload::TargetRecord record;
      record.incarnation = {"t" + std::to_string(i), 1};
      record.address = "10.0.0." + std::to_string(i) + ":80";
      record.service = "audit";
      record.rack = "r" + std::to_string(i / 2);
      record.labels = {i % 2 == 0 ? "even" : "odd", record.rack};
      record.capacity = {kTargetCpu, 64'000, 0};
      this->ledger.Apply(workload::RegisterTarget{record});
      this->Hear("t" + std::to_string(i));
    }
  }

  void Hear(const std::string& id) {
    TargetView& view = this->book.FindOrCreate({id, 1});
    view.is_fenced = true;
    view.last_contact = At(this->now_ms);
  }
  void Submit(const std::string& id, int priority, StepSpec step) {
    JobSpec spec;
    spec.steps = {std::move(step)};
    this->ledger.Apply(workload::Submit{id, "q" + std::to_string(priority), spec, this->now_ms});
  }
  /// Plans a round and applies it.
  std::vector<Start> Round() {
    for (const auto& [id, record] : this->ledger.Targets()) this->Hear(id);
    std::vector<Start> starts = this->planner.Plan(At(this->now_ms), this->now_ms);
    RunChanges changes;
    changes.starts = starts;
    this->ledger.Apply(changes);
    return starts;
  }
  void End(const Start& start, workload::RunEnd how) {
    RunChanges changes;
    changes.ends = {{start.task, start.run, start.target, how, {}, 0}};
    this->ledger.Apply(changes);
  }
  static std::size_t CountOf(const std::vector<Start>& starts, const std::string& job) {
    return static_cast<std::size_t>(
        std::ranges::count(starts, job, [](const Start& start) { return start.task.job; }));
  }

  std::int64_t now_ms = 10'000;
  workload::WorkloadState ledger;
  TargetTracker book{{}, {}};
  Planner planner{ledger, book, {}};
};

// Guards against targets that carry more than they can hold.
TEST_CASE("no target gets more than its room") {
  Fleet fleet(3);
  fleet.Submit("a", 0, Plain(100, 3'000));
  std::map<std::string, std::int64_t> used;
  for (const Start& start : fleet.Round()) used[start.target.id] += 3'000;
  CHECK(used.size() == 3);
  for (const auto& [id, cpu] : used) CHECK(cpu <= kTargetCpu);
  CHECK(fleet.Round().empty());
}

// Load: patient work is queued when urgent work arrives.
TEST_CASE("urgent queues are served first") {
  Fleet fleet(1);
  fleet.Submit("patient", 2, Plain(10, 4'000));
  fleet.Submit("urgent", 0, Plain(3, 4'000));
  const auto starts = fleet.Round();
  CHECK(Fleet::CountOf(starts, "urgent") == 3);
  CHECK(Fleet::CountOf(starts, "patient") == 1);
}

// Load: lost targets' tasks that last come back at once while short tasks arrive. The measured day:
// short urgent tasks waited up to 14 s.
TEST_CASE("short tasks start before tasks that last and keep their usual room") {
  Fleet fleet(2);
  fleet.Submit("short-1", 0, Plain(4, 4'000));
  const auto first = fleet.Round();
  REQUIRE(first.size() == 4);
  for (const Start& start : first) fleet.End(start, workload::RunEnd::kDone);
  fleet.Submit("lasting", 0, Lasting(20, 4'000));
  fleet.now_ms += 100;
  const auto lasting = fleet.Round();
  CHECK(lasting.size() >= 3);
  CHECK(lasting.size() <= 5);
  fleet.Submit("short-2", 0, Plain(3, 4'000));
  fleet.now_ms += 100;
  CHECK(Fleet::CountOf(fleet.Round(), "short-2") == 3);
}

// Guards against tasks that last and yield for ever: they must run again within seconds where there
// is room.
TEST_CASE("a task that lasts yields for a limited time only") {
  Fleet fleet(2);
  fleet.Submit("short", 0, Plain(8, 4'000));
  for (const Start& start : fleet.Round()) fleet.End(start, workload::RunEnd::kDone);
  fleet.Submit("lasting", 0, Lasting(8, 4'000));
  const std::size_t at_once = fleet.Round().size();
  CHECK(at_once < 8);
  fleet.now_ms += 3'000;
  CHECK(at_once + fleet.Round().size() == 8);
}

// Load: short tasks fill each gap before it is large enough for a task that lasts. On the measured
// day a task of 10 cores waited 16 s on targets of 64 cores.
TEST_CASE("room for a task that lasts comes together under a stream of short tasks") {
  Fleet fleet(4);
  int number = 0;
  std::vector<std::pair<std::int64_t, Start>> running;
  const auto step = [&] {
    fleet.Submit("short-" + std::to_string(number++), 0, Plain(8, 2'000));
    std::size_t lasting_started = 0;
    for (const Start& start : fleet.Round()) {
      if (start.task.job == "lasting") {
        ++lasting_started;
      } else {
        running.emplace_back(fleet.now_ms + 600 + 37 * (running.size() % 9), start);
      }
    }
    fleet.now_ms += 100;
    std::erase_if(running, [&](const auto& entry) {
      if (entry.first > fleet.now_ms) return false;
      fleet.End(entry.second, workload::RunEnd::kDone);
      return true;
    });
    return lasting_started;
  };
  for (int i = 0; i < 20; ++i) step();
  fleet.Submit("lasting", 0, Lasting(1, 12'000));
  const std::int64_t since = fleet.now_ms;
  while (step() == 0) REQUIRE(fleet.now_ms - since < 6'000);
}

// Guards against room that is kept for short work long after the last of it.
TEST_CASE("room kept for short work is given up when none comes") {
  Fleet fleet(2);
  fleet.Submit("short", 0, Plain(8, 4'000));
  for (const Start& start : fleet.Round()) fleet.End(start, workload::RunEnd::kDone);
  fleet.now_ms += 120'000;
  fleet.Submit("lasting", 0, Lasting(8, 4'000));
  CHECK(fleet.Round().size() == 8);
}

// Load: heavy work that fills arrives while the serving tasks of every target use their bound. On
// the measured day 772 of 3,298 runs were open at the end, each slowed to a fraction.
TEST_CASE("work that fills waits where it would be slowed below a useful pace") {
  Fleet fleet(2);
  fleet.Submit("serving", 0, Lasting(4, 4'000));
  for (const Start& start : fleet.Round()) {
    fleet.book.FindOrCreate(start.target).runs[start.task].baseline = -0.05;
  }
  fleet.Submit("bundle", 2, Filling(12, 2'000));
  CHECK(fleet.Round().empty());
  for (auto& [id, view] : fleet.book.All()) {
    for (auto& [task, run] : view.runs) run.baseline = -2.0;
  }
  CHECK_FALSE(fleet.Round().empty());
}

// Load: fills arrive while serving tasks use 0.6 of their bound, which swings by half within
// seconds. On vp-kochi quiet-1 half of the measurements over the bound came within 0.8 s of a
// start.
TEST_CASE("work that fills is placed with room for the swing of serving tasks") {
  Fleet fleet(2);
  fleet.Submit("serving", 0, Lasting(4, 4'000));
  for (const Start& start : fleet.Round()) {
    fleet.book.FindOrCreate(start.target).runs[start.task].baseline = std::log(0.6);
  }
  fleet.Submit("bundle", 2, Filling(12, 2'000));
  CHECK(fleet.Round().empty());
}

// Guards against one target full of work that fills while the others' processors are unused.
TEST_CASE("work that fills spreads over unused processors") {
  Fleet fleet(4);
  fleet.Submit("bundle", 2, Filling(16, 2'000));
  std::map<std::string, int> used;
  for (const Start& start : fleet.Round()) used[start.target.id] += 1;
  CHECK(used.size() == 4);
  for (const auto& [id, count] : used) CHECK(count == 4);
}

// Load: a backlog in which old work has missed its objective and new work can still be in time.
TEST_CASE("work that can be in time comes before work that is late") {
  Fleet fleet(1);
  fleet.Submit("late", 1, Plain(4, 4'000));
  fleet.now_ms += 5'000;
  fleet.Submit("fresh", 1, Plain(3, 4'000));
  const auto starts = fleet.Round();
  CHECK(Fleet::CountOf(starts, "fresh") == 3);
  CHECK(Fleet::CountOf(starts, "late") == 1);
}

// Load: a target fails all it starts; the second attempt is spent elsewhere.
TEST_CASE("a task isn't tried again where it failed while others have room") {
  Fleet fleet(2);
  fleet.Submit("a", 0, Plain(1, 1'000));
  const auto first = fleet.Round();
  fleet.End(first[0], workload::RunEnd::kFailed);
  const auto second = fleet.Round();
  REQUIRE(second.size() == 1);
  CHECK(second[0].target != first[0].target);
  CHECK(second[0].run == 2);
}

// Load: a run was stopped because it was slowed or stood still; its own target looks free again.
TEST_CASE("a stopped task isn't started again on the target it was stopped on") {
  Fleet fleet(2);
  fleet.Submit("a", 2, Filling(1, 2'000));
  const auto first = fleet.Round();
  REQUIRE(first.size() == 1);
  fleet.End(first[0], workload::RunEnd::kStopped);
  const auto second = fleet.Round();
  REQUIRE(second.size() == 1);
  CHECK(second[0].target != first[0].target);
}

// Guards against runs that are stopped for a place that isn't there, or for one that another run
// has taken in the same round.
TEST_CASE("a running task has room elsewhere only once for each place") {
  Fleet fleet(2);
  fleet.Submit("a", 0, Plain(2, 10'000));
  const auto starts = fleet.Round();
  REQUIRE(starts.size() == 2);
  fleet.planner.BeginMigrations(At(fleet.now_ms));
  CHECK_FALSE(fleet.planner.AllocateElsewhere(starts[0].task));
  fleet.End(starts[1], workload::RunEnd::kDone);
  fleet.planner.BeginMigrations(At(fleet.now_ms));
  CHECK(fleet.planner.AllocateElsewhere(starts[0].task));
  CHECK_FALSE(fleet.planner.AllocateElsewhere(starts[0].task));
}

// Guards against tasks on targets that they may not use.
TEST_CASE("labels, racks and limits a target are kept") {
  Fleet fleet(4);
  StepSpec labelled = Plain(4, 1'000);
  labelled.required_label = "odd";
  fleet.Submit("labelled", 0, labelled);
  StepSpec apart = Plain(6, 1'000);
  apart.max_per_target = 1;
  fleet.Submit("apart", 0, apart);
  StepSpec near = Plain(2, 1'000);
  near.data_rack = "r1";
  fleet.Submit("near", 0, near);
  std::map<std::string, int> apart_on;
  for (const Start& start : fleet.Round()) {
    const auto& record = fleet.ledger.Targets().at(start.target.id);
    if (start.task.job == "labelled") CHECK(record.labels[0] == "odd");
    if (start.task.job == "near") CHECK(record.rack == "r1");
    if (start.task.job == "apart") apart_on[start.target.id] += 1;
  }
  CHECK(apart_on.size() == 4);
  for (const auto& [id, count] : apart_on) CHECK(count == 1);
}

// Guards against a gang that starts in part and waits for members that find no room.
TEST_CASE("a gang starts whole or not at all, on one rack if it can") {
  Fleet fleet(4);
  StepSpec gang = Plain(5, 4'000);
  gang.gang = true;
  gang.same_rack = true;
  fleet.Submit("gang", 0, gang);
  const auto starts = fleet.Round();
  REQUIRE(starts.size() == 5);
  std::set<std::string> racks;
  for (const Start& start : starts) {
    racks.insert(fleet.ledger.Targets().at(start.target.id).rack);
    CHECK(start.run == 1);
  }
  CHECK(racks.size() == 1);
  StepSpec large = Plain(40, 4'000);
  large.gang = true;
  fleet.Submit("large", 0, large);
  CHECK(fleet.Round().empty());
}

// Guards against work for a target that has said that it leaves.
TEST_CASE("a draining target gets nothing") {
  Fleet fleet(2);
  workload::TargetRecord leaving = fleet.ledger.Targets().at("t0");
  leaving.draining = true;
  fleet.ledger.Apply(workload::RegisterTarget{leaving});
  fleet.Submit("a", 0, Plain(10, 1'000));
  for (const Start& start : fleet.Round()) CHECK(start.target.id == "t1");
}

// Guards against a plan whose time grows beyond a round at the size of the grown deployments.
TEST_CASE("tasks beyond the limit of a round wait for the next one") {
  Fleet fleet(64);
  fleet.Submit("a", 0, Plain(1'000, 100));
  CHECK(fleet.Round().size() == PlanLimits{}.max_starts);
  CHECK(fleet.Round().size() == PlanLimits{}.max_starts);
}

}  // namespace
}  // namespace mangoroad::dispatch
