#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "jobs/job_store.h"
#include "jobs/jobs_codec.h"

namespace mangoroad::jobs {
namespace {

JobSpec Spec(std::string key = {}) {
  return {.row = "ledger",
          .team = "audit",
          .key = std::move(key),
          .declared = {2000, 4096, 0},
          .run_time_s = 60,
          .command = "rebuild",
          .checkpointable = true};
}

/// A JobStore and the index of its last log entry.
class Log {
 public:
  ChangeResult Apply(Change change) {
    ++this->index;
    const std::string bytes = this->book.Apply(
        this->index, EncodeCommand({static_cast<std::int64_t>(this->index), {std::move(change)}}));
    return ValueOf(DecodeResults(bytes)).at(0);
  }
  JobId Submit(const std::string& key = {}) { return this->Apply(SubmitJob{Spec(key)}).job; }
  Token Start(JobId job) {
    return this->Apply(JobStarted{job, this->book.Find(job)->attempt + 1, "t1", 1, {2000, 4096, 0}})
        .token;
  }
  JobState StateOf(JobId job) const { return this->book.Find(job)->state; }

  JobStore book;
  std::uint64_t index = 0;
};

// Guards against a job that runs twice because its submission was sent twice.
TEST_CASE("submissions with the same idempotency key create one job") {
  Log log;
  const ChangeResult first = log.Apply(SubmitJob{Spec("k")});
  const ChangeResult second = log.Apply(SubmitJob{Spec("k")});
  CHECK(first.status == ChangeStatus::kCreated);
  CHECK(second.status == ChangeStatus::kExisting);
  CHECK(second.job == first.job);
  JobSpec other = Spec("k");
  other.command = "something else";
  CHECK(log.Apply(SubmitJob{other}).status == ChangeStatus::kKeyReused);
  other.team = "another";
  CHECK(log.Apply(SubmitJob{other}).status == ChangeStatus::kCreated);
}

// Guards against a job that starts although its caller cancelled it: the submission was parked on
// an entry VM, and the cancellation was applied first.
TEST_CASE("a cancellation by key before the submission applies to it") {
  Log log;
  const ChangeResult cancelled = log.Apply(CancelKey{"audit", "k"});
  const ChangeResult submitted = log.Apply(SubmitJob{Spec("k")});
  CHECK(submitted.status == ChangeStatus::kExisting);
  CHECK(submitted.job == cancelled.job);
  CHECK(submitted.state == JobState::kCancelled);
  CHECK(log.book.Find(submitted.job)->spec.command == "rebuild");
  CHECK(log.Apply(JobStarted{submitted.job, 1, "t1", 1, {}}).status == ChangeStatus::kNotPermitted);
}

// Guards against applying the end of an attempt twice, and against applying that of an attempt that
// was replaced.
TEST_CASE("a finished attempt is applied once") {
  Log log;
  const JobId job = log.Submit();
  const Token first = log.Start(job);
  CHECK(log.Apply(LeaseEnded{job, first}).state == JobState::kEvicted);
  const Token second = log.Start(job);
  CHECK(log.Apply(JobFinished{job, first, 0}).status == ChangeStatus::kStaleToken);
  CHECK(log.Apply(JobFinished{job, second, 0}).state == JobState::kSucceeded);
  const ChangeResult repeated = log.Apply(JobFinished{job, second, 0});
  CHECK(repeated.status == ChangeStatus::kRepeated);
  CHECK(repeated.state == JobState::kSucceeded);
}

// Guards against repeating work that the target finished before its lease ended.
TEST_CASE("a late report of the end is accepted unless a later attempt was started") {
  Log log;
  const JobId job = log.Submit();
  const Token token = log.Start(job);
  log.Apply(LeaseEnded{job, token});
  CHECK(log.Apply(JobFinished{job, token, 0}).state == JobState::kSucceeded);
  CHECK(log.Apply(JobStarted{job, 2, "t2", 1, {}}).status == ChangeStatus::kNotPermitted);
}

// Guards against two concurrent attempts of a job, and against starting one attempt twice.
TEST_CASE("each attempt is started by one log entry, with no other attempt beside it") {
  Log log;
  const JobId job = log.Submit();
  log.Start(job);
  CHECK(log.Apply(JobStarted{job, 2, "t2", 1, {}}).status == ChangeStatus::kNotPermitted);
  CHECK(log.Apply(JobStarted{job, 1, "t2", 1, {}}).status == ChangeStatus::kNotPermitted);
  CHECK(log.book.Find(job)->target == "t1");
}

// Guards against resuming from a checkpoint that isn't the last durable one.
TEST_CASE("checkpoint numbers only increase") {
  Log log;
  const JobId job = log.Submit();
  const Token token = log.Start(job);
  CHECK(log.Apply(Checkpointed{job, token, 3}).checkpoint == 3);
  CHECK(log.Apply(Checkpointed{job, token, 2}).status == ChangeStatus::kRepeated);
  CHECK(log.Apply(JobEvicted{job, token, 5}).state == JobState::kEvicted);
  CHECK(log.book.Find(job)->checkpoint == 5);
  CHECK(log.Apply(JobEvicted{job, token, 4}).status == ChangeStatus::kRepeated);
  const Token next = log.Start(job);
  CHECK(log.Apply(Checkpointed{job, token, 9}).status == ChangeStatus::kStaleToken);
  CHECK(log.Apply(Checkpointed{job, next, 6}).checkpoint == 6);
}

// Guards against reporting a job as cancelled while its task still runs.
TEST_CASE("a running job is cancelled once its task has stopped") {
  Log log;
  const JobId job = log.Submit();
  const Token token = log.Start(job);
  CHECK(log.Apply(CancelJob{job}).state == JobState::kStopping);
  CHECK(log.Apply(JobEvicted{job, token, 0}).state == JobState::kCancelled);
  CHECK(log.Apply(CancelJob{job}).status == ChangeStatus::kRepeated);
}

// Guards against failing a job although its row permits retries, and against unlimited retries.
TEST_CASE("failed attempts are retried up to the row's limit") {
  Log log;
  JobSpec spec = Spec();
  spec.retries = 1;
  const JobId job = log.Apply(SubmitJob{spec}).job;
  const Token first = log.Start(job);
  CHECK(log.Apply(JobFinished{job, first, 7}).state == JobState::kQueued);
  CHECK(log.Apply(JobFinished{job, first, 7}).status == ChangeStatus::kRepeated);
  CHECK(log.Apply(JobFinished{job, log.Start(job), 7}).state == JobState::kFailed);
  CHECK(log.book.Find(job)->reason == "exit code 7 on t1");
}

// Guards against transitions out of a terminal state, and against a start while an attempt may run.
TEST_CASE("the transition table lets no job leave a terminal state") {
  for (int state = 0; state <= static_cast<int>(JobState::kUnplaceable); ++state) {
    for (int event = 0; event <= static_cast<int>(JobEvent::kReconsider); ++event) {
      const auto from = static_cast<JobState>(state);
      const auto next = NextState(from, static_cast<JobEvent>(event));
      if (IsTerminal(from)) CHECK_FALSE(next);
      if (next && static_cast<JobEvent>(event) == JobEvent::kStart) CHECK_FALSE(HoldsLease(from));
    }
  }
}

// Guards against unbounded growth of the store, and against removing a key too early, so that a
// repeated submission runs again.
TEST_CASE("terminal jobs are kept up to a limited count and their keys longer") {
  JobStore book({.terminal_jobs = 2, .terminal_keys = 1});
  std::uint64_t index = 0;
  for (const char* key : {"a", "b", "c", "d"}) {
    book.ApplyCommand(++index, {0, {SubmitJob{Spec(key)}, CancelKey{"audit", key}}});
  }
  CHECK(book.CountOf(JobState::kCancelled) == 2);
  CHECK(book.FindKey("audit", "a") == nullptr);
  const ChangeResult answer = book.ApplyCommand(++index, {0, {SubmitJob{Spec("b")}}}).at(0);
  CHECK(answer.status == ChangeStatus::kExisting);
  CHECK(answer.state == JobState::kCancelled);
  CHECK(book.Find(answer.job) == nullptr);
}

// Guards against queueing a job that can never run.
TEST_CASE("a submission with a field out of range is refused") {
  const auto [field, spec] = GENERATE(table<std::string, JobSpec>({
      {"row", {.team = "t", .declared = {1, 0, 0}}},
      {"team", {.row = "r", .declared = {1, 0, 0}}},
      {"key", {.row = "r", .team = "t", .key = std::string(129, 'k'), .declared = {1, 0, 0}}},
      {"key", {.row = "r", .team = "t", .key = "a\nb", .declared = {1, 0, 0}}},
      {"processors", {.row = "r", .team = "t"}},
      {"memory_mib", {.row = "r", .team = "t", .declared = {1, -1, 0}}},
      {"run_time_s", {.row = "r", .team = "t", .declared = {1, 0, 0}, .run_time_s = -1}},
  }));
  Log log;
  const ChangeResult answer = log.Apply(SubmitJob{spec});
  CHECK(answer.status == ChangeStatus::kMalformed);
  CHECK(answer.message.find(field) == 0);
  CHECK(log.book.CountOf(JobState::kQueued) == 0);
}

// Guards against listings that skip or repeat jobs between pages.
TEST_CASE("jobs are listed in pages") {
  Log log;
  for (int i = 0; i < 5; ++i) log.Submit();
  log.Start(2);
  const auto ids = [&](const JobFilter& filter) {
    std::vector<JobId> found;
    for (const Job* job : log.book.List(filter)) found.push_back(job->id);
    return found;
  };
  CHECK(ids({.state = {}, .row = {}, .limit = 2}) == std::vector<JobId>{1, 2});
  CHECK(ids({.state = {}, .row = {}, .after = 2}) == std::vector<JobId>{3, 4, 5});
  CHECK(ids({.state = JobState::kQueued, .row = "ledger"}) == std::vector<JobId>{1, 3, 4, 5});
  CHECK(ids({.state = {}, .row = "other"}).empty());
}

Change RandomChange(base::Random& random) {
  const JobId job = 1 + random.Below(8);
  const Token token = 1 + random.Below(400);
  const std::string key = std::string(1, static_cast<char>('a' + random.Below(6)));
  switch (random.Below(11)) {
    case 0:
      return SubmitJob{Spec(key)};
    case 1:
      return CancelJob{job};
    case 2:
      return CancelKey{"audit", key};
    case 3:
      return JobStarted{job, 1 + random.Below(4), "t", 1, {1, 1, 0}};
    case 4:
      return LeaseEnded{job, token, LeaseEndReason::kTargetLost};
    case 5:
      return JobEvicted{job, token, random.Below(4)};
    case 6:
      return Checkpointed{job, token, random.Below(5)};
    case 7:
      return JobFinished{job, token, static_cast<std::int32_t>(random.Below(2))};
    case 8:
      return JobUnplaceable{job, "too large"};
    case 9:
      return StopRequested{job, token};
    default:
      return JobReconsidered{job};
  }
}

// Guards against replicas that diverge after restoring a snapshot.
TEST_CASE("a restored store gives the same results as the original") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    base::Random random(seed);
    const JobStoreLimits limits{.terminal_jobs = 3, .terminal_keys = 3};
    JobStore original(limits);
    JobStore restored(limits);
    for (std::uint64_t index = 1; index <= 400; ++index) {
      if (random.Chance(0.05)) REQUIRE(base::Ok(restored.Restore(original.Snapshot())));
      const std::string bytes =
          EncodeCommand({static_cast<std::int64_t>(index), {RandomChange(random)}});
      INFO("seed " << seed << " index " << index);
      REQUIRE(original.Apply(index, bytes) == restored.Apply(index, bytes));
    }
    REQUIRE(original.Snapshot() == restored.Snapshot());
  }
}

// Guards against damaged bytes that crash a replica or change its state.
TEST_CASE("damaged bytes are refused and change nothing") {
  Log log;
  log.Submit("a");
  const std::string snapshot = log.book.Snapshot();
  const std::string command = EncodeCommand({1, {SubmitJob{Spec("b")}}});
  for (std::size_t size = 0; size < command.size(); ++size) {
    const auto answers = DecodeResults(log.book.Apply(9, command.substr(0, size)));
    REQUIRE(ValueOf(answers).at(0).status == ChangeStatus::kMalformed);
  }
  for (std::size_t size = 0; size < snapshot.size(); ++size) {
    REQUIRE_FALSE(base::Ok(log.book.Restore(snapshot.substr(0, size))));
  }
  CHECK(log.book.Snapshot() == snapshot);
  base::Random random(5);
  for (int i = 0; i < 2000; ++i) {
    std::string changed = command;
    changed.at(random.Below(static_cast<std::uint32_t>(changed.size()))) =
        static_cast<char>(random.Below(256));
    log.book.Apply(10, changed);
  }
}

// Guards against a few damaged bytes that cause an allocation of 64 GiB: the address sanitizer
// found this with a large array header. VMs have 256 MB.
TEST_CASE("sizes inside a command can't exceed the command") {
  const std::string array_header("\xdd\xff\xff\xff\xff", 5);
  const std::string text_header("\xdb\xff\xff\xff\xff", 5);
  for (const std::string& bytes : {array_header, text_header, std::string(5'000, '\x91')}) {
    CHECK_FALSE(base::Ok(DecodeCommand(bytes)));
  }
}

}  // namespace
}  // namespace mangoroad::jobs
