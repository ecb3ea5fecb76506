#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "jobs/jobs_codec.h"
#include "jobs/lease_manager.h"
#include "jobs/target_tasks.h"

namespace mangoroad::jobs {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

Job Started(JobId id, Token token, std::int64_t hold_s = 0) {
  Job job;
  job.id = id;
  job.token = token;
  job.state = JobState::kStarting;
  job.target = "t1";
  job.incarnation = 1;
  job.spec.hold_s = hold_s;
  return job;
}

TargetReport Report(std::uint64_t sequence, std::vector<TaskReport> tasks = {}) {
  return {"t1", 1, sequence, std::move(tasks)};
}

StartTaskRequest Start(JobId job, Token token, std::uint64_t sequence,
                       Resources reserved = {1000, 1, 0}) {
  return {.job = job,
          .token = token,
          .incarnation = 1,
          .report_sequence = sequence,
          .lease = seconds(30),
          .row = "r",
          .command = "c",
          .reserved = reserved};
}

// Guards against a leader that restarts a task while its target may still run it.
TEST_CASE("a lease ends on the leader after it ends on the target") {
  LeaseManager keeper;
  keeper.OnApplied(kStart, Started(1, 5));
  keeper.OnReport(kStart, Report(1, {{.job = 1, .token = 5}}), true);
  const Duration expected = seconds(30) + milliseconds(300) + milliseconds(50);
  CHECK(keeper.ExpiryOf(1) == kStart + expected);
  CHECK(keeper.Tick(kStart + expected - Duration(1)).empty());
  const auto ended = keeper.Tick(kStart + expected);
  REQUIRE(ended.size() == 1);
  CHECK(ended.at(0).token == 5);
  // It is returned again until applied, and is never renewed.
  CHECK(keeper.Tick(kStart + expected + seconds(2)).size() == 1);
  const auto late = keeper.OnReport(kStart + expected, Report(2, {{.job = 1, .token = 5}}), true);
  CHECK(late.response.renewals.empty());
  CHECK(late.response.requests.at(0).action == TaskAction::kStop);
}

// Guards against a task that is restarted during the partition that its row is meant to survive.
TEST_CASE("hold_s extends a lease") {
  LeaseManager keeper;
  keeper.OnApplied(kStart, Started(1, 5, 3600));
  CHECK(keeper.ExpiryOf(1) == kStart + seconds(3636) + milliseconds(50));
}

// Guards against a lease that ends too early because the new leader doesn't know of a renewal by
// the previous one.
TEST_CASE("a new leader treats each lease as renewed at its election") {
  LeaseManager keeper;
  const Job job = Started(1, 5);
  keeper.BecomeLeader(kStart + seconds(10), {&job});
  CHECK(keeper.ExpiryOf(1) == kStart + seconds(40) + milliseconds(350));
  CHECK_FALSE(keeper.LeaseForStart(1));
  CHECK_FALSE(keeper.OnReport(kStart + seconds(11), Report(7), false).accepted);
  CHECK_FALSE(keeper.LeaseForStart(1));
  CHECK(keeper.OnReport(kStart + seconds(11), Report(8), true).unreported == std::vector<JobId>{1});
  CHECK(keeper.LeaseForStart(1).value_or(StartLease{}).report_sequence == 8);
}

// Guards against a lease renewed by an outdated report.
TEST_CASE("repeated and reordered reports are ignored") {
  LeaseManager keeper;
  CHECK(keeper.OnReport(kStart, Report(2), true).accepted);
  CHECK_FALSE(keeper.OnReport(kStart, Report(2), true).accepted);
  CHECK_FALSE(keeper.OnReport(kStart, Report(1), true).accepted);
}

// Guards against a task that runs twice because the declared loss of a target is applied to a newer
// incarnation, for example after a change of leader.
TEST_CASE("the declared loss of an older incarnation leaves newer leases alone") {
  LeaseManager keeper;
  Job job = Started(1, 5);
  job.incarnation = 2;
  keeper.OnApplied(kStart, job);
  keeper.OnTargetLost(kStart, "t1", 1);
  CHECK(keeper.Tick(kStart).empty());
  keeper.OnTargetLost(kStart, "t1", 2);
  CHECK(keeper.Tick(kStart).size() == 1);
}

// Guards against waiting for the end of a lease although its task is known to be lost.
TEST_CASE("a new incarnation and a lost target end leases at once") {
  const bool lost = GENERATE(true, false);
  LeaseManager keeper;
  keeper.OnApplied(kStart, Started(1, 5));
  if (lost) {
    keeper.OnTargetLost(kStart, "t1", 1);
  } else {
    keeper.OnIncarnation(kStart, "t1", 2);
  }
  const auto ended = keeper.Tick(kStart);
  REQUIRE(ended.size() == 1);
  CHECK(ended.at(0).reason ==
        (lost ? LeaseEndReason::kTargetLost : LeaseEndReason::kNewIncarnation));
}

// Guards against losing the end of a task between the target and the log.
TEST_CASE("the end of a task is proposed until acknowledged") {
  LeaseManager keeper;
  keeper.OnApplied(kStart, Started(1, 5));
  const TaskReport finished{.job = 1, .token = 5, .state = TaskState::kFinished, .exit_code = 3};
  for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
    const auto decision = keeper.OnReport(kStart, Report(sequence, {finished}), true);
    REQUIRE(decision.changes.size() == 1);
    CHECK(std::get<JobFinished>(decision.changes.at(0)).exit_code == 3);
  }
  keeper.Acknowledge("t1", 1, 5);
  const auto decision = keeper.OnReport(kStart, Report(3, {finished}), true);
  CHECK(decision.changes.empty());
  CHECK(decision.response.acknowledged.size() == 1);
}

struct Target {
  TargetTasks tasks{{.target = "t1", .incarnation = 1, .capacity = {2000, 100, 1}}};
  Target() { this->tasks.MakeReport(kStart); }
};

// Guards against overloading a target when the scheduler's view of it is wrong.
TEST_CASE("a target finally refuses a task that exceeds its free capacity") {
  Target target;
  CHECK_FALSE(target.tasks.Start(kStart, Start(1, 5, 1, {1500, 1, 0})).refusal);
  const StartResult refused = target.tasks.Start(kStart, Start(2, 6, 1, {1500, 1, 0}));
  CHECK(refused.refusal == StartRefusal::kNoCapacity);
  CHECK(refused.final);
  CHECK(target.tasks.OnFinished(kStart, 1, 5, 0));
  // The refusal may already be in the log, so the same attempt must not start later.
  CHECK(target.tasks.Start(kStart, Start(2, 6, 1, {1500, 1, 0})).refusal);
  CHECK_FALSE(target.tasks.Start(kStart, Start(2, 7, 1, {1500, 1, 0})).refusal);
}

// Guards against delayed starts: of an older attempt, beside an older attempt, for another
// incarnation, or after the lease has ended on the leader.
TEST_CASE("a target refuses late starts") {
  Target target;
  CHECK_FALSE(target.tasks.Start(kStart, Start(1, 5, 1)).refusal);
  CHECK_FALSE(target.tasks.Start(kStart, Start(1, 5, 1)).refusal);
  CHECK(target.tasks.Reserved() == Resources{1000, 1, 0});
  CHECK(target.tasks.Start(kStart, Start(1, 6, 1)).refusal == StartRefusal::kOldAttemptRunning);
  CHECK(target.tasks.Start(kStart, Start(1, 4, 1)).refusal == StartRefusal::kStaleToken);
  CHECK(target.tasks.Start(kStart, Start(2, 9, 2)).refusal == StartRefusal::kLeaseEnded);
  CHECK(target.tasks.Start(kStart + seconds(30), Start(2, 9, 1)).refusal ==
        StartRefusal::kLeaseEnded);
  StartTaskRequest other = Start(3, 9, 1);
  other.incarnation = 2;
  CHECK(target.tasks.Start(kStart, other).refusal == StartRefusal::kOtherIncarnation);
}

// Guards against a task that keeps running after its lease, also in a process that was paused.
TEST_CASE("a task is stopped when its lease ends") {
  Target target;
  target.tasks.Start(kStart, Start(1, 5, 1));
  const TimePoint end = kStart + seconds(30);
  CHECK(target.tasks.NextLeaseEnd() == end);
  CHECK(target.tasks.IsRunning(end - Duration(1), 1, 5));
  CHECK_FALSE(target.tasks.IsRunning(end, 1, 5));
  CHECK_FALSE(target.tasks.OnFinished(end, 1, 5, 0));
  CHECK_FALSE(target.tasks.OnCheckpointDurable(end, 1, 5, 1));
  target.tasks.OnResponse(end,
                          {.incarnation = 1, .sequence = 1, .renewals = {{1, 5, seconds(90)}}});
  CHECK_FALSE(target.tasks.IsRunning(end, 1, 5));
  const auto commands = target.tasks.TakeCommands(end);
  REQUIRE(commands.size() == 1);
  CHECK(commands.at(0).action == TaskAction::kStop);
  CHECK(target.tasks.OnStopped(end, 1, 5));
  CHECK(target.tasks.MakeReport(end).tasks.at(0).state == TaskState::kLeaseEnded);
}

// Guards against a lease counted from the arrival of a delayed response.
TEST_CASE("a renewal counts from the sending of its report") {
  Target target;
  target.tasks.Start(kStart, Start(1, 5, 1));
  target.tasks.MakeReport(kStart + seconds(5));
  const ReportResponse reply{.incarnation = 1, .sequence = 2, .renewals = {{1, 5, seconds(30)}}};
  target.tasks.OnResponse(kStart + seconds(20), reply);
  CHECK(target.tasks.NextLeaseEnd() == kStart + seconds(35));
}

// Guards against a target that stops reporting an ended task before its end is in the log.
TEST_CASE("ended tasks are reported until acknowledged") {
  Target target;
  target.tasks.Start(kStart, Start(1, 5, 1));
  CHECK(target.tasks.OnCheckpointDurable(kStart, 1, 5, 2));
  CHECK_FALSE(target.tasks.OnCheckpointDurable(kStart, 1, 5, 2));
  CHECK_FALSE(target.tasks.HandleRequest(kStart, {1, 4, TaskAction::kStop}));
  CHECK(target.tasks.HandleRequest(kStart, {1, 5, TaskAction::kStop}));
  CHECK(target.tasks.OnStopped(kStart, 1, 5));
  for (int i = 0; i < 2; ++i) {
    const TargetReport report = target.tasks.MakeReport(kStart);
    REQUIRE(report.tasks.size() == 1);
    CHECK(report.tasks.at(0).state == TaskState::kStopped);
    CHECK(report.tasks.at(0).checkpoint == 2);
  }
  target.tasks.OnResponse(kStart, {.incarnation = 1, .sequence = 3, .acknowledged = {{1, 5}}});
  CHECK(target.tasks.MakeReport(kStart).tasks.empty());
}

// Guards against a field that the codec loses in one direction.
TEST_CASE("task messages are unchanged by encoding and decoding") {
  const std::string start = EncodeStartTaskRequest(Start(1, 5, 9, {3, 4, 5}));
  CHECK(EncodeStartTaskRequest(ValueOf(DecodeStartTaskRequest(start))) == start);
  const TargetReport report{
      "t", 3, 4, {{1, 2, TaskState::kFinished, 3, 4, 5, 0.5, 1.25, -7}, {.job = 9}}};
  const std::string bytes = EncodeTargetReport(report);
  CHECK(EncodeTargetReport(ValueOf(DecodeTargetReport(bytes))) == bytes);
  CHECK(ValueOf(DecodeTargetReport(bytes)).tasks.at(0).exit_code == -7);
  const ReportResponse reply{
      1, 2, {{3, 4, seconds(5)}}, {{6, 7, TaskAction::kCheckpoint}}, {{8, 9}}};
  const std::string reply_bytes = EncodeReportResponse(reply);
  CHECK(EncodeReportResponse(ValueOf(DecodeReportResponse(reply_bytes))) == reply_bytes);
}

}  // namespace
}  // namespace mangoroad::jobs
