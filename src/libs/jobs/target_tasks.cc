#include "jobs/target_tasks.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace mangoroad::jobs {
namespace {

using base::Duration;
using base::TimePoint;

/// A task whose process exists.
struct Task {
  StartTaskRequest start;
  TimePoint lease_end{};
  bool lease_expired = false;
  /// The leader repeats requests until it sees their effect; the process gets each one once.
  bool stop_requested = false;
  bool checkpoint_requested = false;
  TaskReport report{};
};

struct SentReport {
  std::uint64_t sequence = 0;
  TimePoint sent;
};

/// Newest attempt of a job that was accepted or finally refused, and the result.
struct Attempt {
  Token token = 0;
  TimePoint decided_at;
  StartResult result;
};

}  // namespace

struct TargetTasks::Private {
  TargetTasksSettings settings;
  std::uint64_t sequence = 0;
  std::map<JobId, Task> tasks;
  std::map<JobId, Attempt> attempts;
  /// Reports of ended attempts that aren't acknowledged yet.
  std::vector<TaskReport> ended;
  std::deque<SentReport> sent;
  std::vector<TaskCommand> commands;
  Resources reserved;

  // Stops tasks whose lease has ended, and removes sent reports that no late message can refer to.
  void ExpireLeases(TimePoint now) {
    for (auto& [job, task] : this->tasks) {
      if (task.lease_expired || now < task.lease_end) continue;
      task.lease_expired = true;
      this->commands.push_back({job, task.start.token, TaskAction::kStop});
    }
    while (!this->sent.empty() &&
           this->sent.front().sent + this->settings.attempt_retention < now) {
      this->sent.pop_front();
    }
  }

  void RemoveOldAttempts(TimePoint now) {
    std::erase_if(this->attempts, [&](const auto& entry) {
      return entry.second.decided_at + this->settings.attempt_retention < now &&
             !this->tasks.contains(entry.first);
    });
  }

  std::optional<TimePoint> SentAt(std::uint64_t report) const {
    const auto found = std::ranges::lower_bound(this->sent, report, {}, &SentReport::sequence);
    if (found == this->sent.end() || found->sequence != report) return std::nullopt;
    return found->sent;
  }

  Task* FindRunning(JobId job, Token token) {
    const auto found = this->tasks.find(job);
    if (found == this->tasks.end()) return nullptr;
    Task& task = found->second;
    return task.start.token == token && !task.lease_expired ? &task : nullptr;
  }

  void EndTask(JobId job, TaskState state, std::int32_t exit_code) {
    const auto found = this->tasks.find(job);
    TaskReport report = found->second.report;
    report.state = state;
    report.exit_code = exit_code;
    this->ended.push_back(report);
    this->reserved -= found->second.start.reserved;
    this->tasks.erase(found);
  }

  static StartResult Refuse(StartRefusal refusal, bool final, std::string message) {
    return {refusal, final, std::move(message)};
  }

  StartResult Admit(TimePoint now, const StartTaskRequest& start) {
    if (start.incarnation != this->settings.incarnation) {
      return Refuse(StartRefusal::kOtherIncarnation, false,
                    fmt::format("start for incarnation {} at {}", start.incarnation,
                                this->settings.incarnation));
    }
    const auto attempt = this->attempts.find(start.job);
    if (attempt != this->attempts.end()) {
      if (start.token == attempt->second.token) return attempt->second.result;
      if (start.token < attempt->second.token) {
        return Refuse(StartRefusal::kStaleToken, false,
                      fmt::format("job {}: token {} after {}", start.job, start.token,
                                  attempt->second.token));
      }
    }
    const auto sent_at = this->SentAt(start.report_sequence);
    if (!sent_at || now >= *sent_at + start.lease) {
      return Refuse(StartRefusal::kLeaseEnded, false,
                    fmt::format("job {}: the lease after report {} has ended", start.job,
                                start.report_sequence));
    }
    if (this->tasks.contains(start.job)) {
      return Refuse(StartRefusal::kOldAttemptRunning, false,
                    fmt::format("job {}: an older attempt still has a process", start.job));
    }
    Resources needed = this->reserved;
    needed += start.reserved;
    if (!needed.FitsIn(this->settings.capacity)) {
      return this->RecordResult(now, start,
                                Refuse(StartRefusal::kNoCapacity, true,
                                       fmt::format("job {}: exceeds the capacity of {}", start.job,
                                                   this->settings.target)));
    }
    Task task{.start = start, .lease_end = *sent_at + start.lease};
    task.report = {.job = start.job, .token = start.token, .checkpoint = start.checkpoint};
    this->tasks.emplace(start.job, std::move(task));
    this->reserved = needed;
    return this->RecordResult(now, start, {});
  }

  StartResult RecordResult(TimePoint now, const StartTaskRequest& start, StartResult result) {
    if (result.refusal) {
      this->ended.push_back({.job = start.job, .token = start.token, .state = TaskState::kRefused});
    }
    this->attempts.insert_or_assign(start.job, Attempt{start.token, now, result});
    return result;
  }
};

TargetTasks::TargetTasks(TargetTasksSettings settings) : d(std::make_unique<Private>()) {
  this->d->settings = std::move(settings);
}
TargetTasks::~TargetTasks() = default;
TargetTasks::TargetTasks(TargetTasks&&) noexcept = default;
TargetTasks& TargetTasks::operator=(TargetTasks&&) noexcept = default;

StartResult TargetTasks::Start(TimePoint now, const StartTaskRequest& start) {
  this->d->ExpireLeases(now);
  return this->d->Admit(now, start);
}

TargetReport TargetTasks::MakeReport(TimePoint now) {
  this->d->ExpireLeases(now);
  this->d->RemoveOldAttempts(now);
  this->d->sent.push_back({++this->d->sequence, now});
  TargetReport report{.target = this->d->settings.target,
                      .incarnation = this->d->settings.incarnation,
                      .sequence = this->d->sequence,
                      .tasks = this->d->ended};
  for (const auto& [job, task] : this->d->tasks) report.tasks.push_back(task.report);
  return report;
}

void TargetTasks::OnResponse(TimePoint now, const ReportResponse& response) {
  this->d->ExpireLeases(now);
  const auto sent_at = this->d->SentAt(response.sequence);
  if (response.incarnation != this->d->settings.incarnation || !sent_at) return;
  for (const Renewal& renewal : response.renewals) {
    Task* task = this->d->FindRunning(renewal.job, renewal.token);
    if (task != nullptr) task->lease_end = std::max(task->lease_end, *sent_at + renewal.lease);
  }
  for (const TaskAcknowledgement& acknowledgement : response.acknowledged) {
    std::erase_if(this->d->ended, [&](const TaskReport& report) {
      return report.job == acknowledgement.job && report.token == acknowledgement.token;
    });
  }
  for (const TaskRequest& request : response.requests) this->HandleRequest(now, request);
}

bool TargetTasks::HandleRequest(TimePoint now, const TaskRequest& request) {
  this->d->ExpireLeases(now);
  Task* task = this->d->FindRunning(request.job, request.token);
  if (task == nullptr) return false;
  if (request.action == TaskAction::kStop && std::exchange(task->stop_requested, true)) return true;
  if (request.action == TaskAction::kCheckpoint &&
      std::exchange(task->checkpoint_requested, true)) {
    return true;
  }
  this->d->commands.push_back({request.job, request.token, request.action});
  return true;
}

bool TargetTasks::SetUsage(TimePoint now, const TaskReport& usage) {
  this->d->ExpireLeases(now);
  Task* task = this->d->FindRunning(usage.job, usage.token);
  if (task == nullptr) return false;
  task->report.millicores_used = usage.millicores_used;
  task->report.memory_mib_used = usage.memory_mib_used;
  task->report.progress = usage.progress;
  task->report.slowdown = usage.slowdown;
  return true;
}

bool TargetTasks::OnCheckpointDurable(TimePoint now, JobId job, Token token, std::uint64_t number) {
  this->d->ExpireLeases(now);
  Task* task = this->d->FindRunning(job, token);
  if (task == nullptr || number <= task->report.checkpoint) return false;
  task->report.checkpoint = number;
  task->checkpoint_requested = false;
  return true;
}

bool TargetTasks::OnFinished(TimePoint now, JobId job, Token token, std::int32_t exit_code) {
  this->d->ExpireLeases(now);
  if (this->d->FindRunning(job, token) == nullptr) return false;
  this->d->EndTask(job, TaskState::kFinished, exit_code);
  return true;
}

bool TargetTasks::OnStopped(TimePoint now, JobId job, Token token) {
  this->d->ExpireLeases(now);
  const auto task = this->d->tasks.find(job);
  if (task == this->d->tasks.end() || task->second.start.token != token) return false;
  this->d->EndTask(job, task->second.lease_expired ? TaskState::kLeaseEnded : TaskState::kStopped,
                   0);
  return true;
}

std::vector<TaskCommand> TargetTasks::TakeCommands(TimePoint now) {
  this->d->ExpireLeases(now);
  return std::exchange(this->d->commands, {});
}

bool TargetTasks::IsRunning(TimePoint now, JobId job, Token token) const {
  const Task* task = this->d->FindRunning(job, token);
  return task != nullptr && now < task->lease_end;
}

Resources TargetTasks::Reserved() const { return this->d->reserved; }

std::optional<TimePoint> TargetTasks::NextLeaseEnd() const {
  std::optional<TimePoint> earliest;
  for (const auto& [job, task] : this->d->tasks) {
    if (!task.lease_expired && (!earliest || task.lease_end < *earliest)) earliest = task.lease_end;
  }
  return earliest;
}

}  // namespace mangoroad::jobs
