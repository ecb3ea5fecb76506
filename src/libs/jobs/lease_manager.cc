#include "jobs/lease_manager.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <ranges>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace mangoroad::jobs {
namespace {

using base::Duration;
using base::TimePoint;

// Requests that are in the log are repeated in each response, since a response can be lost.
std::optional<TaskAction> RequestedAction(JobState state) {
  if (state == JobState::kStopping) return TaskAction::kStop;
  if (state == JobState::kCheckpointing) return TaskAction::kCheckpoint;
  return std::nullopt;
}

// A proposal that isn't applied within this time is assumed lost, by a change of leader or
// overload.
constexpr Duration kReproposeDelay = std::chrono::seconds(1);

struct Lease {
  Token token = 0;
  std::string target;
  std::uint64_t incarnation = 0;
  Duration length{};
  TimePoint end{};
  /// Set once Tick() returned the lease as ended, or the target is known to have lost the task.
  std::optional<LeaseEndReason> ended{};
  JobState state = JobState::kStarting;
  std::uint64_t checkpoint = 0;
};

struct TargetState {
  std::uint64_t incarnation = 0;
  /// Sequence number of the last accepted report of this incarnation; 0 for none.
  std::uint64_t sequence = 0;
  TimePoint received;
  std::set<JobId> leases;
  std::set<std::pair<JobId, Token>> acknowledged;
};

struct Deadline {
  TimePoint at;
  JobId job;
  Token token;
  bool operator>(const Deadline& other) const { return this->at > other.at; }
};

}  // namespace

struct LeaseManager::Private {
  LeaseSettings settings;
  std::unordered_map<JobId, Lease> leases;
  std::unordered_map<std::string, TargetState> targets;
  // One entry per lease. Renewals don't update it; an entry that is due before the lease has ended
  // is queued again with the new end.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines;

  // Time after which the lease has ended on the target, also with the maximum clock drift.
  TimePoint ExpiryAfter(TimePoint received, Duration length) const {
    const Duration allowance = length * this->settings.drift_permille / 1000 + this->settings.slack;
    return received + length + allowance;
  }

  void AddLease(TimePoint now, const Job& job) {
    const Duration hold = std::chrono::seconds(job.spec.hold_s);
    Lease lease{.token = job.token,
                .target = job.target,
                .incarnation = job.incarnation,
                .length = std::max(this->settings.lease, hold),
                .state = job.state,
                .checkpoint = job.checkpoint};
    lease.end = this->ExpiryAfter(now, lease.length);
    TargetState& target = this->targets[job.target];
    target.leases.insert(job.id);
    if (job.incarnation < target.incarnation) {
      lease.ended = LeaseEndReason::kNewIncarnation;
      lease.end = now;
    }
    this->deadlines.push({lease.end, job.id, job.token});
    this->leases.insert_or_assign(job.id, std::move(lease));
  }

  void DropLease(JobId job) {
    const auto lease = this->leases.find(job);
    if (lease == this->leases.end()) return;
    this->targets[lease->second.target].leases.erase(job);
    this->leases.erase(lease);
  }

  void EndLease(TimePoint now, JobId job, LeaseEndReason reason) {
    Lease& lease = this->leases.at(job);
    if (lease.ended) return;
    lease.ended = reason;
    lease.end = now;
    this->deadlines.push({now, job, lease.token});
  }

  Lease* FindValid(JobId job, Token token, TimePoint now) {
    const auto found = this->leases.find(job);
    if (found == this->leases.end()) return nullptr;
    Lease& lease = found->second;
    return lease.token == token && !lease.ended && now < lease.end ? &lease : nullptr;
  }

  // Renews the lease of a running task, or stops the task if it has no valid lease.
  void OnRunning(TimePoint now, const TaskReport& task, ReportDecision& decision) {
    Lease* lease = this->FindValid(task.job, task.token, now);
    if (lease == nullptr) {
      decision.response.requests.push_back({task.job, task.token, TaskAction::kStop});
      return;
    }
    lease->end = this->ExpiryAfter(now, lease->length);
    decision.response.renewals.push_back({task.job, task.token, lease->length});
    if (const auto action = RequestedAction(lease->state)) {
      decision.response.requests.push_back({task.job, task.token, *action});
    }
    if (lease->state == JobState::kStarting) {
      decision.changes.emplace_back(JobRunning{task.job, task.token});
    }
    if (task.checkpoint > lease->checkpoint) {
      decision.changes.emplace_back(Checkpointed{task.job, task.token, task.checkpoint});
    }
  }

  // Proposes the end of a task, or acknowledges it if it is in the log already.
  void OnEnded(TimePoint now, TargetState& target, const TaskReport& task,
               ReportDecision& decision) {
    if (target.acknowledged.contains({task.job, task.token})) {
      decision.response.acknowledged.push_back({task.job, task.token});
      return;
    }
    // Prevents the expiry of the lease from being logged before the reported end.
    if (Lease* lease = this->FindValid(task.job, task.token, now)) {
      lease->end = this->ExpiryAfter(now, lease->length);
    }
    switch (task.state) {
      case TaskState::kFinished:
        if (task.checkpoint > 0) {
          decision.changes.emplace_back(Checkpointed{task.job, task.token, task.checkpoint});
        }
        decision.changes.emplace_back(JobFinished{task.job, task.token, task.exit_code});
        break;
      case TaskState::kRefused:
        decision.changes.emplace_back(StartRefused{task.job, task.token, "refused by target"});
        break;
      default:
        decision.changes.emplace_back(JobEvicted{task.job, task.token, task.checkpoint});
        break;
    }
  }
};

LeaseManager::LeaseManager(LeaseSettings settings) : d(std::make_unique<Private>()) {
  this->d->settings = settings;
}
LeaseManager::~LeaseManager() = default;
LeaseManager::LeaseManager(LeaseManager&&) noexcept = default;
LeaseManager& LeaseManager::operator=(LeaseManager&&) noexcept = default;

void LeaseManager::BecomeLeader(TimePoint now, const std::vector<const Job*>& leased_jobs) {
  const LeaseSettings settings = this->d->settings;
  this->d = std::make_unique<Private>();
  this->d->settings = settings;
  for (const Job* job : leased_jobs) {
    if (HoldsLease(job->state)) this->d->AddLease(now, *job);
  }
}

void LeaseManager::OnApplied(TimePoint now, const Job& job) {
  const auto lease = this->d->leases.find(job.id);
  if (!HoldsLease(job.state)) {
    this->d->DropLease(job.id);
  } else if (lease == this->d->leases.end() || lease->second.token != job.token) {
    this->d->DropLease(job.id);
    this->d->AddLease(now, job);
  } else {
    lease->second.state = job.state;
    lease->second.checkpoint = job.checkpoint;
  }
}

std::optional<StartLease> LeaseManager::LeaseForStart(JobId job) {
  const auto found = this->d->leases.find(job);
  if (found == this->d->leases.end() || found->second.ended) return std::nullopt;
  Lease& lease = found->second;
  const TargetState& target = this->d->targets[lease.target];
  if (target.sequence == 0 || target.incarnation != lease.incarnation) return std::nullopt;
  lease.end = std::max(lease.end, this->d->ExpiryAfter(target.received, lease.length));
  return StartLease{lease.incarnation, target.sequence, lease.length};
}

ReportDecision LeaseManager::OnReport(TimePoint now, const TargetReport& report,
                                      bool has_leader_lease) {
  ReportDecision decision;
  if (!has_leader_lease) return decision;
  this->OnIncarnation(now, report.target, report.incarnation);
  TargetState& target = this->d->targets[report.target];
  if (report.incarnation < target.incarnation || report.sequence <= target.sequence) {
    return decision;
  }
  target.sequence = report.sequence;
  target.received = now;
  decision.accepted = true;
  decision.response.incarnation = report.incarnation;
  decision.response.sequence = report.sequence;
  std::vector<JobId> reported;
  std::set<std::pair<JobId, Token>> still_reported;
  for (const TaskReport& task : report.tasks) {
    reported.push_back(task.job);
    if (task.state == TaskState::kRunning) {
      this->d->OnRunning(now, task, decision);
    } else {
      if (target.acknowledged.contains({task.job, task.token})) {
        still_reported.emplace(task.job, task.token);
      }
      this->d->OnEnded(now, target, task, decision);
    }
  }
  target.acknowledged = std::move(still_reported);
  std::ranges::sort(reported);
  std::ranges::copy_if(target.leases, std::back_inserter(decision.unreported), [&](JobId job) {
    return !this->d->leases.at(job).ended && !std::ranges::binary_search(reported, job);
  });
  return decision;
}

void LeaseManager::Acknowledge(std::string_view target, JobId job, Token token) {
  this->d->targets[std::string(target)].acknowledged.emplace(job, token);
}

void LeaseManager::OnIncarnation(TimePoint now, std::string_view target,
                                 std::uint64_t incarnation) {
  TargetState& state = this->d->targets[std::string(target)];
  if (incarnation <= state.incarnation) return;
  state.incarnation = incarnation;
  state.sequence = 0;
  state.acknowledged.clear();
  for (const JobId job : state.leases) {
    if (this->d->leases.at(job).incarnation < incarnation) {
      this->d->EndLease(now, job, LeaseEndReason::kNewIncarnation);
    }
  }
}

void LeaseManager::OnTargetLost(TimePoint now, std::string_view target, std::uint64_t incarnation) {
  const auto state = this->d->targets.find(std::string(target));
  if (state == this->d->targets.end()) return;
  for (const JobId job : state->second.leases) {
    if (this->d->leases.at(job).incarnation <= incarnation) {
      this->d->EndLease(now, job, LeaseEndReason::kTargetLost);
    }
  }
}

std::vector<LeaseEnded> LeaseManager::Tick(TimePoint now) {
  std::vector<LeaseEnded> ended;
  auto& deadlines = this->d->deadlines;
  while (!deadlines.empty() && deadlines.top().at <= now) {
    const Deadline deadline = deadlines.top();
    deadlines.pop();
    const auto found = this->d->leases.find(deadline.job);
    if (found == this->d->leases.end() || found->second.token != deadline.token) continue;
    Lease& lease = found->second;
    if (now < lease.end) {
      deadlines.push({lease.end, deadline.job, deadline.token});
      continue;
    }
    if (!lease.ended) lease.ended = LeaseEndReason::kExpired;
    lease.end = now + kReproposeDelay;
    ended.push_back({deadline.job, deadline.token, *lease.ended});
    deadlines.push({lease.end, deadline.job, deadline.token});
  }
  return ended;
}

std::optional<TimePoint> LeaseManager::ExpiryOf(JobId job) const {
  const auto lease = this->d->leases.find(job);
  if (lease == this->d->leases.end()) return std::nullopt;
  return lease->second.end;
}

std::size_t LeaseManager::Count() const { return this->d->leases.size(); }

}  // namespace mangoroad::jobs
