#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"
#include "workload/workload_state.h"

namespace mangoroad::workload {
namespace {

const JobId kJob = "00000000000000aa";
const TargetIncarnation kLife{"t1", 100};

StepSpec PlainStep(std::uint32_t count, std::vector<std::uint32_t> after = {}) {
  StepSpec step;
  step.count = count;
  step.resources = {1000, 512, 0};
  step.after = std::move(after);
  return step;
}

/// A ledger with one queue and one target.
class Fixture {
 public:
  Fixture() {
    Declaration declaration;
    declaration.version = 1;
    declaration.services = {{"audit", true}};
    declaration.queues = {{"match", "a.example", "/m/", "audit", 3000, 300, 0, 2, 1.5}};
    this->ledger.Apply(Declare{declaration});
    this->ledger.Apply(RegisterTarget{Record(kLife, "10.0.0.1:80")});
  }

  static TargetRecord Record(const TargetIncarnation& life, const std::string& address) {
    TargetRecord record;
    record.incarnation = life;
    record.address = address;
    record.service = "audit";
    record.capacity = {16'000, 64'000, 0};
    return record;
  }
  Outcome Submit(std::vector<StepSpec> steps, const JobId& id = kJob) {
    JobSpec spec;
    spec.steps = std::move(steps);
    return this->ledger.Apply(workload::Submit{id, "match", spec, 1'000});
  }
  void Start(std::uint32_t step, std::uint32_t index, std::uint32_t run,
             const TargetIncarnation& life = kLife) {
    RunChanges changes;
    changes.starts = {{{kJob, 0, step, index}, run, life}};
    this->ledger.Apply(changes);
  }
  void End(std::uint32_t step, std::uint32_t index, std::uint32_t run, RunEnd how,
           std::uint64_t number = 0, const TargetIncarnation& life = kLife) {
    RunChanges changes;
    changes.ends = {{{kJob, 0, step, index}, run, life, how, {}, number}};
    changes.at_ms = 2'000;
    this->ledger.Apply(changes);
  }
  JobState State() const { return this->ledger.FindJob(kJob)->state; }
  const Task& TaskAt(std::uint32_t step, std::uint32_t index) const {
    return *this->ledger.FindTask({kJob, 0, step, index});
  }

  WorkloadState ledger;
};

// Guards against a job that runs twice because its submission arrived again.
TEST_CASE("a job that is submitted again stays one job") {
  Fixture fixture;
  CHECK(fixture.Submit({PlainStep(1)}) == Outcome::kApplied);
  fixture.Start(0, 0, 1);
  CHECK(fixture.Submit({PlainStep(5)}) == Outcome::kAlreadyThere);
  CHECK(fixture.ledger.FindJob(kJob)->spec.steps[0].count == 1);
  fixture.End(0, 0, 1, RunEnd::kDone);
  CHECK(fixture.State() == JobState::kComplete);
  CHECK(fixture.Submit({PlainStep(1)}) == Outcome::kAlreadyThere);
  CHECK(fixture.ledger.Ready().empty());
}

// Guards against work that starts although its caller was told that it is cancelled.
TEST_CASE("a cancellation that arrives before the submission holds") {
  Fixture fixture;
  CHECK(fixture.ledger.Apply(Cancel{kJob, 1}) == Outcome::kNotFound);
  CHECK(fixture.Submit({PlainStep(1)}) == Outcome::kAlreadyThere);
  CHECK(fixture.State() == JobState::kCancelled);
  CHECK(fixture.ledger.Ready().empty());
}

// Guards against a step that starts before the one it depends on is done.
TEST_CASE("a step is ready when all tasks before it are done") {
  Fixture fixture;
  fixture.Submit({PlainStep(2), PlainStep(1, {0})});
  fixture.Start(1, 0, 1);
  CHECK(fixture.TaskAt(1, 0).phase == TaskPhase::kWaiting);
  fixture.Start(0, 0, 1);
  fixture.Start(0, 1, 1);
  fixture.End(0, 0, 1, RunEnd::kDone);
  CHECK(fixture.ledger.Ready().empty());
  fixture.End(0, 1, 1, RunEnd::kDone);
  CHECK(fixture.ledger.Ready().contains({kJob, 0, 1}));
}

// Guards against a second run: starts that a deposed leader left in the log must be void.
TEST_CASE("a start is void unless the task waits for exactly this run") {
  Fixture fixture;
  fixture.Submit({PlainStep(1)});
  fixture.Start(0, 0, 1);
  fixture.Start(0, 0, 1, {"t2", 5});
  fixture.Start(0, 0, 2, {"t2", 5});
  CHECK(fixture.TaskAt(0, 0).target == kLife);
  CHECK(fixture.TaskAt(0, 0).run == 1);
  fixture.End(0, 0, 1, RunEnd::kLost);
  fixture.Start(0, 0, 1, {"t2", 5});
  CHECK(fixture.TaskAt(0, 0).phase == TaskPhase::kWaiting);
  fixture.Start(0, 0, 2, {"t2", 5});
  CHECK(fixture.TaskAt(0, 0).phase == TaskPhase::kRunning);
}

// Guards against a task that is done twice when a run that was given up reports its end late.
TEST_CASE("the late end of an earlier run ends the task and its newer run") {
  Fixture fixture;
  fixture.Submit({PlainStep(1)});
  fixture.Start(0, 0, 1);
  fixture.End(0, 0, 1, RunEnd::kLost);
  fixture.Start(0, 0, 2, {"t2", 5});
  fixture.End(0, 0, 1, RunEnd::kDone, 7);
  CHECK(fixture.State() == JobState::kComplete);
  CHECK(fixture.ledger.RunningOn().empty());
}

// Guards against an end that counts twice because the target lists it until it is noted.
TEST_CASE("an end in a target's list counts once") {
  Fixture fixture;
  fixture.Submit({PlainStep(1)});
  fixture.Start(0, 0, 1);
  fixture.End(0, 0, 1, RunEnd::kFailed, 1);
  fixture.End(0, 0, 1, RunEnd::kFailed, 1);
  CHECK(fixture.TaskAt(0, 0).failures == 1);
  CHECK(fixture.State() == JobState::kRunning);
  fixture.Start(0, 0, 2);
  fixture.End(0, 0, 2, RunEnd::kFailed, 2);
  CHECK(fixture.State() == JobState::kFailed);
}

// Guards against runs that are lost or stopped and use up the attempts of a task.
TEST_CASE("only failures count as attempts") {
  Fixture fixture;
  fixture.Submit({PlainStep(1)});
  std::uint32_t run = 0;
  for (const RunEnd how : {RunEnd::kLost, RunEnd::kLeaseExpired, RunEnd::kStopped, RunEnd::kRefused,
                           RunEnd::kGangMemberEnded, RunEnd::kGangIncomplete}) {
    fixture.Start(0, 0, ++run);
    fixture.End(0, 0, run, how);
    CHECK(fixture.TaskAt(0, 0).phase == TaskPhase::kWaiting);
  }
  CHECK(fixture.TaskAt(0, 0).failures == 0);
}

// Guards against a task that lasts and isn't started again, or fails its job.
TEST_CASE("a task that lasts waits again however it ended") {
  Fixture fixture;
  StepSpec step = PlainStep(1);
  step.long_running = true;
  fixture.Submit({step});
  std::uint32_t run = 0;
  for (const RunEnd how : {RunEnd::kDone, RunEnd::kFailed, RunEnd::kFailed, RunEnd::kFailed}) {
    fixture.Start(0, 0, ++run);
    fixture.End(0, 0, run, how);
    CHECK(fixture.ledger.Ready().contains({kJob, 0, 0}));
  }
  fixture.ledger.Apply(Cancel{kJob, 5});
  CHECK(fixture.ledger.Ready().empty());
}

// Guards against members of a gang that run again after the gang is done.
TEST_CASE("one end done stands for the whole gang") {
  Fixture fixture;
  StepSpec step = PlainStep(3);
  step.gang = true;
  fixture.Submit({step});
  for (std::uint32_t i = 0; i < 3; ++i) fixture.Start(0, i, 1);
  fixture.End(0, 1, 1, RunEnd::kDone);
  CHECK(fixture.State() == JobState::kComplete);
  CHECK(fixture.ledger.RunningOn().empty());
}

// Guards against a cancelled job whose running tasks are forgotten before they were stopped.
TEST_CASE("runs of a cancelled job are known until they end") {
  Fixture fixture;
  fixture.Submit({PlainStep(2)});
  fixture.Start(0, 0, 1);
  fixture.ledger.Apply(Cancel{kJob, 5});
  CHECK(fixture.ledger.RunningOn().at(kLife).size() == 1);
  fixture.Start(0, 1, 1);
  CHECK(fixture.ledger.RunningOn().at(kLife).size() == 1);
  fixture.End(0, 0, 1, RunEnd::kStopped);
  CHECK(fixture.ledger.RunningOn().empty());
  CHECK(fixture.ledger.FindJob(kJob)->spec.steps.empty());
}

// Guards against an announcement delayed by a cut that brings a dead life of a target back.
TEST_CASE("a late announcement of an older life changes nothing") {
  Fixture fixture;
  CHECK(fixture.ledger.Apply(RegisterTarget{Fixture::Record({"t1", 200}, "10.0.0.1:80")}) ==
        Outcome::kApplied);
  CHECK(fixture.ledger.Apply(RegisterTarget{Fixture::Record(kLife, "10.0.0.1:80")}) ==
        Outcome::kAlreadyThere);
  CHECK(fixture.ledger.Apply(RegisterTarget{Fixture::Record({"t9", 300}, "10.0.0.1:80")}) ==
        Outcome::kApplied);
  CHECK(fixture.ledger.Targets().size() == 1);
  CHECK(fixture.ledger.Targets().at("t9").incarnation.number == 300);
}

// Guards against work for a target that reported ready in an announcement older than its drain.
TEST_CASE("a life that drains never becomes ready again") {
  Fixture fixture;
  TargetRecord record = Fixture::Record(kLife, "10.0.0.1:80");
  record.draining = true;
  fixture.ledger.Apply(RegisterTarget{record});
  record.draining = false;
  fixture.ledger.Apply(RegisterTarget{record});
  CHECK(fixture.ledger.Targets().at("t1").draining);
}

// Guards against an older declaration that replaces a newer one when operators race.
TEST_CASE("the highest version stays in force") {
  Fixture fixture;
  Declaration declaration;
  declaration.version = 9;
  CHECK(fixture.ledger.Apply(Declare{declaration}) == Outcome::kApplied);
  declaration.text = "other content";
  CHECK(fixture.ledger.Apply(Declare{declaration}) == Outcome::kAlreadyThere);
  declaration.version = 8;
  CHECK(fixture.ledger.Apply(Declare{declaration}) == Outcome::kAlreadyThere);
  CHECK(fixture.ledger.CurrentDeclaration().version == 9);
  CHECK(fixture.ledger.CurrentDeclaration().text.empty());
}

// Guards against occurrences of a job with times that are opened twice or skipped.
TEST_CASE("occurrences are opened once each and in order") {
  Fixture fixture;
  JobSpec spec;
  spec.steps = {PlainStep(1)};
  spec.occurrences = 2;
  fixture.ledger.Apply(Submit{kJob, "match", spec, 1'000});
  CHECK(fixture.ledger.Ready().empty());
  RunChanges changes;
  changes.due_occurrences = {{kJob, 0}, {kJob, 0}, {kJob, 2}};
  fixture.ledger.Apply(changes);
  CHECK(fixture.ledger.Ready().size() == 1);
  fixture.Start(0, 0, 1);
  fixture.End(0, 0, 1, RunEnd::kDone);
  CHECK(fixture.State() == JobState::kRunning);
  changes.due_occurrences = {{kJob, 1}};
  fixture.ledger.Apply(changes);
  changes = {};
  changes.starts = {{{kJob, 1, 0, 0}, 1, kLife}};
  fixture.ledger.Apply(changes);
  changes = {};
  changes.ends = {{{kJob, 1, 0, 0}, 1, kLife, RunEnd::kDone, {}, 0}};
  fixture.ledger.Apply(changes);
  CHECK(fixture.State() == JobState::kComplete);
}

/// Applies random starts and ends, as several leaders might leave them in the log.
void ApplyRandomChange(WorkloadState& ledger, base::Random& random) {
  const TaskRef task{kJob, 0, random.Below(2), random.Below(3)};
  const TargetIncarnation life{"t" + std::to_string(random.Below(3)), 1};
  RunChanges changes;
  if (random.Chance(0.5)) {
    changes.starts = {{task, random.Below(7), life}};
  } else {
    changes.ends = {{task, random.Below(7), life, static_cast<RunEnd>(random.Below(8)), {}, 0}};
  }
  ledger.Apply(changes);
}

// Guards against two runs of a task, and a run after its end, under any order of commands; and
// against a replica that differs after it was restored from a snapshot.
TEST_CASE("random commands keep the invariants of runs") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    base::Random random(seed);
    Fixture fixture;
    StepSpec lasting = PlainStep(3, {0});
    lasting.long_running = true;
    fixture.Submit({PlainStep(3), lasting});
    std::map<TaskRef, std::uint32_t> highest_run;
    std::set<TaskRef> done;
    for (int i = 0; i < 400; ++i) {
      ApplyRandomChange(fixture.ledger, random);
      std::map<TaskRef, int> running;
      for (const auto& [life, tasks] : fixture.ledger.RunningOn()) {
        for (const TaskRef& ref : tasks) {
          running[ref] += 1;
          const Task* task = fixture.ledger.FindTask(ref);
          REQUIRE(task != nullptr);
          REQUIRE(task->target == life);
          REQUIRE(task->phase == TaskPhase::kRunning);
          REQUIRE(task->run >= highest_run[ref]);
          highest_run[ref] = task->run;
          REQUIRE_FALSE(done.contains(ref));
        }
      }
      for (const auto& [ref, count] : running) REQUIRE(count == 1);
      for (std::uint32_t index = 0; index < 3; ++index) {
        const TaskRef ref{kJob, 0, 0, index};
        const Task* task = fixture.ledger.FindTask(ref);
        if (task != nullptr && task->phase == TaskPhase::kDone) done.insert(ref);
      }
    }
    WorkloadState restored;
    REQUIRE(restored.Restore(fixture.ledger.Snapshot()));
    CHECK(restored.Snapshot() == fixture.ledger.Snapshot());
    CHECK(restored.Ready() == fixture.ledger.Ready());
    CHECK(restored.RunningOn() == fixture.ledger.RunningOn());
  }
}

}  // namespace
}  // namespace mangoroad::workload
