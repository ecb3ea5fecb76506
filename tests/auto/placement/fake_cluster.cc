#include "fake_cluster.h"

#include <fmt/format.h>

#include <algorithm>

#include "jobs/jobs_codec.h"

namespace mangoroad::placement {
namespace {

using base::Duration;
using base::TimePoint;
using jobs::Change;
using jobs::ChangeResult;
using jobs::ChangeStatus;
using jobs::Job;
using jobs::JobState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kTickEvery = milliseconds(60);
constexpr Duration kReportEvery = milliseconds(500);
constexpr Duration kFaultInjectionTime = seconds(240);
constexpr Duration kMaxTime = seconds(1500);
constexpr int kTargets = 4;
constexpr JobId kJobs = 14;
constexpr Resources kCapacity{4000, 8000, 0};
const TimePoint kStart{seconds(1000)};

}  // namespace

FakeLeader::FakeLeader(FakeCluster& fake_cluster, TimePoint now)
    : cluster(fake_cluster), scheduler(std::make_unique<Scheduler>(MakeUnrestrictedSharing())) {
  this->scheduler->SetRows(now, {{.name = "batch", .team = "t"}}, {});
  std::vector<const Job*> leased;
  std::vector<Change> changes;
  this->cluster.job_store.ForEachActive([&](const Job& job) {
    if (jobs::HoldsLease(job.state)) {
      leased.push_back(&job);
      this->scheduler->Adopt(now, {.job = job.id, .row = job.spec.row, .reservation = job.reserved},
                             job.target, job.token);
    } else {
      if (job.state == JobState::kUnplaceable) changes.emplace_back(jobs::JobReconsidered{job.id});
      this->Queue(now, job);
    }
  });
  this->lease_manager.BecomeLeader(now, leased);
  this->cluster.Propose(std::move(changes));
}

void FakeLeader::Queue(TimePoint now, const Job& job) {
  this->scheduler->Submit(now, {.job = job.id,
                                .row = job.spec.row,
                                .reservation = job.spec.declared,
                                .run_time_s = static_cast<double>(job.spec.run_time_s),
                                .checkpointable = job.spec.checkpointable,
                                .urgent = job.spec.urgent,
                                .attempt = job.attempt + 1,
                                .evictions = job.evictions});
}

void FakeLeader::OnTick(TimePoint now) {
  std::vector<Change> changes;
  for (const jobs::LeaseEnded& ended : this->lease_manager.Tick(now)) changes.emplace_back(ended);
  Decisions decisions = this->scheduler->Schedule(now, 100);
  for (const Start& start : decisions.starts) {
    changes.emplace_back(jobs::JobStarted{start.job, start.attempt, start.target, start.incarnation,
                                          start.reserved});
  }
  for (const ActionRequest& order : decisions.action_requests) {
    if (order.action == jobs::TaskAction::kStop) {
      changes.emplace_back(jobs::StopRequested{order.job, order.token});
    } else if (order.action == jobs::TaskAction::kCheckpoint) {
      changes.emplace_back(jobs::CheckpointRequested{order.job, order.token});
    }
  }
  for (const UnplaceableJob& job : decisions.unplaceable) {
    changes.emplace_back(jobs::JobUnplaceable{job.job, job.reason});
  }
  for (const JobId job : decisions.reconsidered) changes.emplace_back(jobs::JobReconsidered{job});
  this->cluster.Propose(std::move(changes));
}

void FakeLeader::SendStart(const Job& job) {
  const auto terms = this->lease_manager.LeaseForStart(job.id);
  if (!terms) return;
  const jobs::StartTaskRequest start{
      job.id,       job.token,        terms->incarnation, terms->report_sequence, terms->lease,
      job.spec.row, job.spec.command, job.reserved,       job.checkpoint};
  for (FakeTarget& target : this->cluster.targets) {
    if (target.name != job.target) continue;
    this->cluster.Send(target, [&target, start, &fake_cluster = this->cluster] {
      fake_cluster.StartOn(target, start);
    });
  }
  this->cluster.LeaderStep();
}

void FakeLeader::OnReport(TimePoint now, const jobs::TargetReport& report) {
  const jobs::ReportDecision decision =
      this->lease_manager.OnReport(now, report, this->cluster.leader_lease);
  if (!decision.accepted) return;
  if (this->incarnations[report.target] != report.incarnation) {
    this->incarnations[report.target] = report.incarnation;
    this->scheduler->OnTargetChanged(now, {.name = report.target,
                                           .incarnation = report.incarnation,
                                           .failure_domain = "a",
                                           .rack = "r",
                                           .capacity = kCapacity});
  }
  for (const jobs::TaskReport& task : report.tasks) {
    this->scheduler->OnTaskProgress(now, task.job, {task.progress, task.checkpoint});
  }
  for (FakeTarget& target : this->cluster.targets) {
    if (target.name != report.target) continue;
    this->cluster.Send(target, [&target, reply = decision.response, &fake_cluster = this->cluster] {
      fake_cluster.Replied(target, reply);
    });
  }
  for (const JobId job : decision.unreported) this->SendStart(*this->cluster.job_store.Find(job));
  this->cluster.Propose(decision.changes);
}

void FakeLeader::End(TimePoint now, const Job& job, TaskEnd end) {
  this->scheduler->OnTaskEnded(now, job.id, end);
  if (jobs::IsTerminal(job.state)) {
    this->scheduler->Cancel(now, job.id);
  } else {
    this->Queue(now, job);
  }
}

void FakeLeader::OnApplied(TimePoint now, const Change& change, const ChangeResult& answer) {
  const Job* job = this->cluster.job_store.Find(answer.job);
  if (job == nullptr) return;
  this->lease_manager.OnApplied(now, *job);
  const bool done = answer.status == ChangeStatus::kDone;
  if (std::holds_alternative<jobs::SubmitJob>(change)) {
    this->Queue(now, *job);
  } else if (std::holds_alternative<jobs::CancelJob>(change)) {
    this->scheduler->Cancel(now, job->id);
  } else if (std::holds_alternative<jobs::JobStarted>(change)) {
    if (!done) return this->scheduler->OnStartDropped(now, answer.job);
    this->scheduler->OnTaskStarted(job->id, job->token);
    this->SendStart(*job);
  } else if (std::holds_alternative<jobs::LeaseEnded>(change)) {
    if (done) this->End(now, *job, TaskEnd::kLost);
  } else if (const auto* evicted = std::get_if<jobs::JobEvicted>(&change)) {
    if (done) this->End(now, *job, TaskEnd::kEvicted);
    this->lease_manager.Acknowledge(job->target, job->id, evicted->token);
  } else if (const auto* refused = std::get_if<jobs::StartRefused>(&change)) {
    if (done) this->End(now, *job, TaskEnd::kRefused);
    this->lease_manager.Acknowledge(job->target, job->id, refused->token);
  } else if (const auto* ended = std::get_if<jobs::JobFinished>(&change)) {
    if (done) this->End(now, *job, ended->exit_code == 0 ? TaskEnd::kSucceeded : TaskEnd::kFailed);
    // The end may come from the target of an earlier attempt, so it is acknowledged to all targets.
    for (const FakeTarget& target : this->cluster.targets) {
      this->lease_manager.Acknowledge(target.name, job->id, ended->token);
    }
  }
}

TimePoint FakeTarget::Clock(TimePoint now) const {
  return TimePoint(Duration(
      static_cast<Duration::rep>(static_cast<double>((now - kStart).count()) * this->rate)));
}

FakeCluster::FakeCluster(std::uint64_t seed) : random(seed), now(kStart) {
  for (int i = 0; i < kTargets; ++i) {
    FakeTarget target{.name = fmt::format("t{}", i)};
    target.rate = 0.991 + 0.018 * this->random.Unit();
    this->targets.push_back(std::move(target));
  }
  for (FakeTarget& target : this->targets) this->Restart(target);
  for (JobId job = 1; job <= kJobs; ++job) {
    this->work_s[job] = 20 + 80 * this->random.Unit();
    jobs::JobSpec spec{.row = "batch", .team = "t", .key = fmt::format("k{}", job)};
    spec.declared = {1000 + 1000 * this->random.Below(2), 1000, 0};
    spec.run_time_s = 60;
    spec.command = "work";
    spec.checkpointable = this->random.Chance(0.7);
    spec.urgent = this->random.Chance(0.15);
    spec.retries = 2;
    this->At(kStart + this->random.Between(Duration(0), seconds(100)), [this, spec] {
      this->Propose({jobs::SubmitJob{spec}});
      // A caller that got no response sends the same submission again.
      this->At(this->now + seconds(30), [this, spec] { this->Propose({jobs::SubmitJob{spec}}); });
      this->At(kStart + kFaultInjectionTime,
               [this, spec] { this->Propose({jobs::SubmitJob{spec}}); });
    });
  }
}

void FakeCluster::Expect(bool condition, const std::string& text) {
  if (!condition) {
    this->violations.push_back(fmt::format(
        "{:.2f} s: {}", std::chrono::duration<double>(this->now - kStart).count(), text));
  }
}

void FakeCluster::At(TimePoint at, std::function<void()> action) {
  this->events.push({at, this->event_count++, std::move(action)});
}

void FakeCluster::Send(const FakeTarget& target, const std::function<void()>& deliver) {
  if (this->now < target.partitioned_until) return;
  const double loss = this->injecting_faults ? 0.08 : 0;
  const int copies = this->injecting_faults && this->random.Chance(0.05) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (this->random.Chance(loss)) continue;
    Duration delay = this->random.Between(milliseconds(1), milliseconds(10));
    if (this->injecting_faults && this->random.Chance(0.02)) {
      delay = this->random.Between(milliseconds(100), seconds(45));
    }
    this->At(this->now + delay, deliver);
  }
}

void FakeCluster::Propose(std::vector<Change> changes) {
  if (changes.empty() || this->leader == nullptr) return;
  const std::uint64_t proposed_in = this->term;
  this->LeaderStep();
  const Duration delay = this->random.Between(milliseconds(1), milliseconds(8));
  this->At(this->now + delay, [this, proposed_in, changes = std::move(changes)] {
    // Entries of a crashed leader may still be committed, but only before the next election.
    if (proposed_in != this->term) return;
    if (this->leader == nullptr && this->random.Chance(0.5)) return;
    const std::string bytes =
        this->job_store.Apply(++this->log_index, jobs::EncodeCommand({0, changes}));
    const auto answers = jobs::DecodeResults(bytes);
    for (std::size_t i = 0; i < changes.size() && this->leader != nullptr; ++i) {
      this->LeaderStep();
      if (this->leader == nullptr) break;
      this->leader->OnApplied(this->now, changes[i], base::ValueOf(answers).at(i));
    }
  });
}

void FakeCluster::LeaderStep() {
  if (!this->injecting_faults || this->leader == nullptr || --this->steps_left > 0) return;
  // Deferred, so that the leader isn't destroyed during one of its own calls.
  this->At(this->now, [this] { this->LoseLeader(); });
  this->steps_left = ~std::uint64_t{0};
}

void FakeCluster::LoseLeader() {
  if (this->leader == nullptr) return;
  this->leader.reset();
  this->leader_lease = false;
}

void FakeCluster::StartOn(FakeTarget& target, const jobs::StartTaskRequest& start) {
  if (target.IsFrozen(this->now)) {
    this->At(target.frozen_until, [this, &target, start] { this->StartOn(target, start); });
    return;
  }
  const auto answer = target.tasks->Start(target.Clock(this->now), start);
  this->Expect(answer.refusal != jobs::StartRefusal::kNoCapacity,
               fmt::format("job {} exceeds the capacity of {}", start.job, target.name));
  if (answer.refusal || target.processes.contains(start.job)) return;
  if (!target.tasks->IsRunning(target.Clock(this->now), start.job, start.token)) return;
  this->Expect(this->started.emplace(start.job, start.token).second,
               fmt::format("attempt {} of job {} started twice", start.token, start.job));
  target.processes[start.job] = {start.token, static_cast<double>(start.checkpoint),
                                 start.checkpoint};
}

void FakeCluster::Replied(FakeTarget& target, const jobs::ReportResponse& reply) {
  if (target.IsFrozen(this->now)) {
    this->At(target.frozen_until, [this, &target, reply] { this->Replied(target, reply); });
    return;
  }
  target.tasks->OnResponse(target.Clock(this->now), reply);
}

void FakeCluster::Restart(FakeTarget& target) {
  target.processes.clear();
  target.tasks = std::make_unique<jobs::TargetTasks>(jobs::TargetTasksSettings{
      .target = target.name, .incarnation = target.incarnation, .capacity = kCapacity});
}

// Checkpoint number n stands for n seconds of work.
void FakeCluster::Execute(FakeTarget& target) {
  const TimePoint clock = target.Clock(this->now);
  for (const jobs::TaskCommand& command : target.tasks->TakeCommands(clock)) {
    const auto process = target.processes.find(command.job);
    if (process == target.processes.end() || process->second.token != command.token) continue;
    if (command.action == jobs::TaskAction::kStop) {
      target.processes.erase(process);
      target.tasks->OnStopped(clock, command.job, command.token);
    }
  }
  std::vector<std::pair<JobId, jobs::Token>> ended;
  for (auto& [job, process] : target.processes) {
    process.work_s += std::chrono::duration<double>(kStep).count();
    const auto number = static_cast<std::uint64_t>(process.work_s / 5) * 5;
    if (number > process.checkpoint && this->job_store.Find(job)->spec.checkpointable) {
      process.checkpoint = number;
      target.tasks->OnCheckpointDurable(clock, job, process.token, number);
    }
    if (process.work_s >= this->work_s.at(job)) ended.emplace_back(job, process.token);
  }
  for (const auto& [job, token] : ended) {
    target.processes.erase(job);
    const int exit_code = this->injecting_faults && this->random.Chance(0.1) ? 1 : 0;
    if (!target.tasks->OnFinished(clock, job, token, exit_code)) continue;
    if (exit_code == 0) this->finished[job].insert(token);
  }
}

void FakeCluster::StepTarget(FakeTarget& target) {
  if (target.IsFrozen(this->now)) return;
  this->Execute(target);
  if (this->now < target.next_report) return;
  target.next_report = this->now + kReportEvery;
  const jobs::TargetReport report = target.tasks->MakeReport(target.Clock(this->now));
  this->Send(target, [this, report] {
    if (this->leader != nullptr) this->leader->OnReport(this->now, report);
  });
}

// At most one target runs a task, according to the clocks of the targets.
void FakeCluster::CheckRunningTargets() {
  std::map<JobId, std::string> running_on;
  for (const FakeTarget& target : this->targets) {
    if (target.IsFrozen(this->now)) continue;
    for (const auto& [job, process] : target.processes) {
      if (!target.tasks->IsRunning(target.Clock(this->now), job, process.token)) continue;
      const auto [place, first] = running_on.try_emplace(job, target.name);
      this->Expect(first, fmt::format("job {} runs on {} and {}", job, place->second, target.name));
    }
  }
}

void FakeCluster::InjectFaults() {
  const auto pick = [&]() -> FakeTarget& { return this->targets[this->random.Below(kTargets)]; };
  if (this->random.Chance(0.0008)) {
    pick().frozen_until = this->now + this->random.Between(seconds(1), seconds(50));
  }
  if (this->random.Chance(0.0015)) {
    pick().partitioned_until = this->now + this->random.Between(seconds(1), seconds(60));
  }
  if (this->random.Chance(0.0008)) {
    FakeTarget& target = pick();
    ++target.incarnation;
    this->Restart(target);
    // A second restart right after the first one.
    if (this->random.Chance(0.3)) ++target.incarnation;
    this->Restart(target);
  }
  if (this->random.Chance(0.0004) && this->leader != nullptr) {
    // Partitioned from the replicas: the leader receives reports but can't commit, and its lease
    // ends before the next election.
    this->leader_lease = false;
    this->At(this->now + seconds(1), [this] { this->LoseLeader(); });
  }
  if (this->random.Chance(0.0003)) {
    const JobId job = 1 + this->random.Below(kJobs);
    if (const Job* found = this->job_store.Find(job)) {
      this->cancelled.insert(found->id);
      this->Propose({jobs::CancelJob{job}});
    }
  }
}

bool FakeCluster::AllEnded() const {
  return this->job_store.List({.limit = 1000}).size() == kJobs &&
         std::ranges::all_of(this->job_store.List({.limit = 1000}),
                             [](const Job* job) { return jobs::IsTerminal(job->state); });
}

void FakeCluster::CheckEnd() {
  this->Expect(this->AllEnded(), "a job was lost, doubled or never ended");
  for (const Job* job : this->job_store.List({.limit = 1000})) {
    if (job->state == JobState::kSucceeded) {
      this->Expect(this->finished[job->id].contains(job->token),
                   fmt::format("job {} is reported as succeeded by mistake", job->id));
    }
    if (job->state == JobState::kCancelled) {
      this->Expect(this->cancelled.contains(job->id),
                   fmt::format("job {} is reported as cancelled by mistake", job->id));
    }
  }
}

Violations FakeCluster::Run() {
  std::optional<TimePoint> election;
  TimePoint next_tick{};
  while (this->now < kStart + kMaxTime && this->violations.empty()) {
    this->now += kStep;
    this->injecting_faults = this->now < kStart + kFaultInjectionTime;
    if (this->injecting_faults) this->InjectFaults();
    if (this->leader == nullptr) {
      if (!election) election = this->now + this->random.Between(milliseconds(500), seconds(3));
      if (this->now >= *election) {
        ++this->term;
        this->leader_lease = true;
        this->steps_left = 20 + this->random.Below(600);
        this->leader = std::make_unique<FakeLeader>(*this, this->now);
        election.reset();
      }
    }
    const TimePoint step_end = this->now;
    while (!this->events.empty() && this->events.top().at <= step_end) {
      const Event event = this->events.top();
      this->events.pop();
      event.action();
    }
    for (FakeTarget& target : this->targets) this->StepTarget(target);
    if (this->leader != nullptr && this->now >= next_tick) {
      next_tick = this->now + kTickEvery;
      this->leader->OnTick(this->now);
    }
    this->CheckRunningTargets();
    if (!this->injecting_faults && this->AllEnded()) break;
  }
  this->CheckEnd();
  return this->violations;
}

}  // namespace mangoroad::placement
