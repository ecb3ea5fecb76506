// Slopes of the leader: the job book, leases and reports.

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "entry/job_json.h"
#include "jobs/job_store.h"
#include "jobs/jobs_codec.h"
#include "jobs/lease_manager.h"
#include "slope.h"

namespace mangoroad::bench {
namespace {

constexpr double kRunningTasks = 203'000;
constexpr double kStartsPerSecond = 1'900;
constexpr int kTasksPerTarget = 14;  // 203,000 running tasks on 15,000 targets
/// Transitions logged for one task: submitted, started, running, finished.
constexpr int kChangesPerTask = 4;

jobs::JobSpec SpecOf(int number) {
  return {.row = "ledger-rebuild",
          .team = fmt::format("team-{}", number % 110),
          .key = fmt::format("cycle-2026-12/lot-{}", number),
          .declared = {.millicores = 2000, .memory_mib = 4096},
          .run_time_s = 600,
          .command = fmt::format("rebuild --lot {}", number),
          .checkpointable = true};
}

std::string TargetOf(int number) { return fmt::format("target-{:05}", number / kTasksPerTarget); }

/// A book with `count` running jobs, filled in entries of 100 changes.
std::unique_ptr<jobs::JobStore> RunningBook(int count) {
  auto book = std::make_unique<jobs::JobStore>();
  std::uint64_t index = 1;
  for (int first = 0; first < count; first += 100) {
    jobs::Command submit;
    jobs::Command start;
    for (int number = first; number < std::min(count, first + 100); ++number) {
      submit.changes.emplace_back(jobs::SubmitJob{SpecOf(number)});
      start.changes.emplace_back(jobs::JobStarted{
          static_cast<jobs::JobId>(number + 1), 1, TargetOf(number), 1, {2000, 4096, 0}});
    }
    book->Apply(index++, jobs::EncodeCommand(submit));
    const std::uint64_t token = index++;
    book->Apply(token, jobs::EncodeCommand(start));
    jobs::Command running;
    for (int number = first; number < std::min(count, first + 100); ++number) {
      running.changes.emplace_back(jobs::JobRunning{static_cast<jobs::JobId>(number + 1), token});
    }
    book->Apply(index++, jobs::EncodeCommand(running));
  }
  return book;
}

double BookBytes(double size) {
  const std::int64_t before = HeapBytes();
  const auto book = RunningBook(static_cast<int>(size));
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

double SnapshotBytes(double size) {
  return static_cast<double>(RunningBook(static_cast<int>(size))->Snapshot().size()) / 1e6;
}

/// Processor time to take `size` tasks from submission to the end, in milliseconds.
double LifecycleTime(double size) {
  const int count = static_cast<int>(size);
  return MicrosecondsOf([count] {
           const auto book = RunningBook(count);
           jobs::Command finish;
           book->ForEachActive([&](const jobs::Job& job) {
             finish.changes.emplace_back(jobs::JobFinished{job.id, job.token, 0});
           });
           book->Apply(1'000'000, jobs::EncodeCommand(finish));
         }) /
         1e3;
}

std::vector<const jobs::Job*> ActiveJobs(const jobs::JobStore& book) {
  std::vector<const jobs::Job*> active;
  book.ForEachActive([&](const jobs::Job& job) { active.push_back(&job); });
  return active;
}

double LeaseBytes(double size) {
  const auto book = RunningBook(static_cast<int>(size));
  const auto active = ActiveJobs(*book);
  const std::int64_t before = HeapBytes();
  jobs::LeaseManager keeper;
  keeper.BecomeLeader(base::TimePoint(base::Duration(1)), active);
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

/// Processor time to take one report of each target with its tasks, in milliseconds.
double ReportTime(double size) {
  const int count = static_cast<int>(size);
  const auto book = RunningBook(count);
  const auto active = ActiveJobs(*book);
  jobs::LeaseManager keeper;
  base::TimePoint now(std::chrono::seconds(1));
  keeper.BecomeLeader(now, active);
  std::vector<jobs::TargetReport> reports;
  for (const jobs::Job* job : active) {
    if (reports.empty() || reports.back().target != job->target) {
      reports.push_back({.target = job->target, .incarnation = 1});
    }
    reports.back().tasks.push_back({.job = job->id, .token = job->token});
  }
  std::uint64_t sequence = 0;
  return MicrosecondsOf([&] {
           ++sequence;
           now += std::chrono::seconds(5);
           for (jobs::TargetReport& report : reports) {
             report.sequence = sequence;
             const auto bytes = jobs::EncodeTargetReport(report);
             const auto decoded = jobs::DecodeTargetReport(bytes);
             const auto decision = keeper.OnReport(now, base::ValueOf(decoded), true);
             jobs::EncodeReportResponse(decision.response);
           }
         }) /
         1e3;
}

double ReportBytes(double size) {
  jobs::TargetReport report{.target = TargetOf(1), .incarnation = 7, .sequence = 123'456};
  for (int i = 0; i < static_cast<int>(size); ++i) {
    report.tasks.push_back({.job = 1'000'000U + static_cast<jobs::JobId>(i),
                            .token = 9'000'000,
                            .checkpoint = 3,
                            .millicores_used = 1'800,
                            .memory_mib_used = 3'500,
                            .progress = 0.5,
                            .slowdown = 1.1});
  }
  return static_cast<double>(jobs::EncodeTargetReport(report).size());
}

/// The JSON reply that renews the leases of `size` tasks.
double ReplyBytes(double size) {
  jobs::ReportResponse reply{.incarnation = 1'796'364'193'760, .sequence = 123'456};
  for (int i = 0; i < static_cast<int>(size); ++i) {
    reply.renewals.push_back(
        {1'000'000U + static_cast<jobs::JobId>(i), 9'000'000, std::chrono::seconds(30)});
  }
  return static_cast<double>(entry::ReportReplyJson(reply).size());
}

}  // namespace

std::vector<SlopeSpec> JobSlopes() {
  const std::vector<double> sizes{2'000, 10'000, 20'000, 40'000};
  return {
      {"leader and replicas", "memory of the job book", "MB", "running tasks", sizes, kRunningTasks,
       "one record a job, keys dropped after two days", BookBytes},
      {"leader and replicas", "snapshot of the job book", "MB", "running tasks", sizes,
       kRunningTasks, "msgpack, sent in chunks", SnapshotBytes},
      {"leader and replicas",
       fmt::format("processor time of {} logged changes a task", kChangesPerTask), "ms", "tasks",
       sizes, kStartsPerSecond, "changes batched in one entry", LifecycleTime},
      {"leader", "memory of leases", "MB", "running tasks", sizes, kRunningTasks,
       "renewals kept in memory, not in the log", LeaseBytes},
      {"leader", "processor time for one report of every target", "ms", "running tasks", sizes,
       kRunningTasks, "one report a target renews all its leases", ReportTime},
      {"target",
       "size of a report between entry VMs",
       "bytes",
       "tasks on the target",
       {1, 5, 14, 30},
       kTasksPerTarget,
       "one report a target",
       ReportBytes},
      {"target",
       "size of the JSON reply that renews leases",
       "bytes",
       "tasks on the target",
       {1, 5, 14, 30},
       kTasksPerTarget,
       "one reply for all leases",
       ReplyBytes},
  };
}

}  // namespace mangoroad::bench
