#include "entry/job_leader.h"

#include <algorithm>
#include <map>
#include <utility>

#include "interference/interference_estimator.h"
#include "interference/usage_model.h"
#include "jobs/jobs_codec.h"
#include "jobs/lease_manager.h"
#include "log/log.h"
#include "net/http_message.h"
#include "placement/scheduler.h"
#include "placement/sharing_policy.h"
#include "state/state_codec.h"

namespace mangoroad::entry {
namespace {

/// Bounds the starts of one round of the loop, so that requests aren't delayed behind scheduling.
constexpr std::size_t kStartsPerTick = 200;
constexpr base::Duration kStartTimeout = std::chrono::seconds(5);
/// Share of a target's processors that is kept for the live services on it, in percent.
constexpr std::int64_t kServiceReservePercent = 25;

placement::PendingJob PendingOf(const jobs::Job& job, const interference::UsageModel& usage) {
  placement::PendingJob pending;
  pending.job = job.id;
  pending.row = job.spec.row;
  pending.reservation = usage.ReserveFor(job.spec.row, job.spec.declared);
  pending.run_time_s = usage.RunTimeFor(job.spec.row, job.spec.run_time_s).value;
  pending.checkpointable = job.spec.checkpointable;
  pending.urgent = job.spec.urgent;
  pending.attempt = job.attempt + 1;
  pending.evictions = job.evictions;
  return pending;
}

}  // namespace

struct JobLeader::Private {
  NodeContext& node;
  bool active = false;
  consensus::Term term = 0;
  std::uint64_t table_version = 0;
  jobs::LeaseManager leases;
  /// Learned anew by each leader: what an earlier one knew was soft state.
  std::unique_ptr<interference::InterferenceEstimator> model;
  interference::UsageModel usage;
  std::unique_ptr<placement::Scheduler> scheduler;
  std::map<std::string, jobs::Resources, std::less<>> capacities;             // of targets, by id
  std::map<std::string, std::string, std::less<>> addresses;                  // of targets, by id
  std::map<std::string, std::vector<jobs::TaskRequest>, std::less<>> orders;  // by target
  std::map<std::string, std::uint64_t, std::less<>>
      lost;  // incarnations that were told to `leases`

  explicit Private(NodeContext& context) : node(context) {}

  const jobs::JobStore& Book() const { return this->node.machine.Jobs(); }

  void Lead();
  void Retire();
  void LoadRows();
  void Enqueue(const jobs::Job& job);
  void Propose(std::vector<jobs::Change> changes);
  void OnChange(const jobs::Change& change, const jobs::ChangeResult& answer);
  double ShareOf(const jobs::Job& job) const;
  void Learn(base::TimePoint now, const ParsedReport& report);
  void EndTask(const jobs::Job& job, const jobs::Change& change);
  void SendStart(const jobs::Job& job);
  void Schedule();
  void NoteLostTargets();
};

/// Takes over from an earlier leader: leases count from now, and waiting jobs are queued again.
void JobLeader::Private::Lead() {
  const base::TimePoint now = this->node.loop.Now();
  this->active = true;
  this->term = this->node.log.Status().term;
  this->model = std::make_unique<interference::InterferenceEstimator>();
  this->scheduler = std::make_unique<placement::Scheduler>(
      placement::MakeModelSharing(placement::MakeLearnedPredictor(*this->model)));
  this->table_version = 0;
  this->LoadRows();
  std::vector<const jobs::Job*> held;
  std::vector<jobs::Change> changes;
  this->Book().ForEachActive([&](const jobs::Job& job) {
    if (jobs::HoldsLease(job.state)) held.push_back(&job);
    if (job.state == jobs::JobState::kUnplaceable) {
      // The new scheduler hasn't compared the job with any target yet.
      changes.emplace_back(jobs::JobReconsidered{job.id});
    }
  });
  this->leases.BecomeLeader(now, held);
  this->lost.clear();
  for (const auto& [id, info] : this->node.directory.All()) {
    this->leases.OnIncarnation(now, id, info.fence.incarnation);
  }
  this->Book().ForEachActive([&](const jobs::Job& job) { this->Enqueue(job); });
  this->Propose(std::move(changes));
  log::Info(log::Category::kJobs, "scheduling starts",
            {{"term", this->term}, {"leases", held.size()}});
}

void JobLeader::Private::Retire() {
  this->active = false;
  this->scheduler.reset();
  this->model.reset();
  this->orders.clear();
  log::Info(log::Category::kJobs, "scheduling ends", {{"term", this->term}});
}

void JobLeader::Private::LoadRows() {
  const state::TableState& table = this->node.machine.State().Table();
  if (this->table_version == table.Version() && table.Version() != 0) return;
  this->table_version = table.Version();
  std::vector<placement::RowSpec> rows;
  std::map<std::string, placement::TeamSpec> teams;
  for (const table::Row& row : table.Current().Rows()) {
    if (row.work_class != table::WorkClass::kBatch) {
      this->model->SetService(row.row, static_cast<double>(row.deadline_ms));
      continue;
    }
    placement::RowSpec spec;
    spec.name = row.row;
    spec.team = row.team;
    spec.weight = row.weight;
    spec.failure_domains = row.place;
    spec.limit_inflight = row.limit_inflight;
    spec.limit_rate = row.limit_rate;
    spec.urgent = row.urgent;
    rows.push_back(std::move(spec));
    teams[row.team] = {row.team, static_cast<std::int64_t>(row.quota_processors) * 1000};
  }
  std::vector<placement::TeamSpec> team_list;
  std::ranges::transform(teams, std::back_inserter(team_list),
                         [](const auto& entry) { return entry.second; });
  this->scheduler->SetRows(this->node.loop.Now(), rows, team_list);
}

void JobLeader::Private::Enqueue(const jobs::Job& job) {
  const base::TimePoint now = this->node.loop.Now();
  if (jobs::IsTerminal(job.state)) return;
  if (jobs::HoldsLease(job.state)) {
    placement::PendingJob pending = PendingOf(job, this->usage);
    pending.reservation = job.reserved;
    pending.attempt = job.attempt;
    this->scheduler->Adopt(now, pending, job.target, job.token);
    this->model->OnTaskStarted(now, job.target, job.id, job.spec.row, this->ShareOf(job));
  } else {
    this->scheduler->Submit(now, PendingOf(job, this->usage));
  }
}

void JobLeader::Private::Propose(std::vector<jobs::Change> changes) {
  if (changes.empty()) return;
  jobs::Command command;
  command.wall_ms = this->node.loop.WallNow();
  command.changes = std::move(changes);
  std::vector<jobs::JobId> starts;
  for (const jobs::Change& change : command.changes) {
    if (const auto* start = std::get_if<jobs::JobStarted>(&change)) starts.push_back(start->job);
  }
  this->node.log.Propose(
      state::EncodeCommand(state::SubStateKind::kJobs, jobs::EncodeCommand(command)),
      [this, starts](const ProposalResult& result) {
        // A start whose fate is unknown stays reserved until this leader steps down.
        if (!this->active || result.fate != ProposalFate::kNotAccepted) return;
        for (const jobs::JobId job : starts) {
          this->scheduler->OnStartDropped(this->node.loop.Now(), job);
        }
      });
}

void JobLeader::Private::SendStart(const jobs::Job& job) {
  const auto terms = this->leases.LeaseForStart(job.id);
  const auto address = this->addresses.find(job.target);
  if (!terms || address == this->addresses.end()) return;
  const auto parsed = net::ParseAddress(address->second);
  if (!parsed) return;
  jobs::StartTaskRequest start;
  start.job = job.id;
  start.token = job.token;
  start.incarnation = terms->incarnation;
  start.report_sequence = terms->report_sequence;
  start.lease = terms->lease;
  start.row = job.spec.row;
  start.command = job.spec.command;
  start.reserved = job.reserved;
  start.checkpoint = job.checkpoint;
  net::HttpClientRequest request;
  request.address = *parsed;
  request.method = net::HttpMethod::kPost;
  request.target = "/v1/tasks";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = StartTaskJson(start);
  request.timeout = kStartTimeout;
  this->node.client.SendWhole(
      std::move(request), [job_id = job.id, target = job.target](auto failure, const auto& answer,
                                                                 const std::string& /*body*/) {
        // The next report of the target tells whether the task runs; nothing is concluded here.
        if (!failure && answer.status < 300) return;
        log::Warning(log::Category::kJobs, "start not confirmed",
                     {{"job", job_id}, {"target", target}, {"status", answer.status}});
      });
}

void JobLeader::Private::EndTask(const jobs::Job& job, const jobs::Change& change) {
  const base::TimePoint now = this->node.loop.Now();
  placement::TaskEnd end = placement::TaskEnd::kLost;
  if (std::holds_alternative<jobs::JobFinished>(change)) {
    end = job.exit_code == 0 ? placement::TaskEnd::kSucceeded : placement::TaskEnd::kFailed;
  } else if (std::holds_alternative<jobs::JobEvicted>(change)) {
    end = placement::TaskEnd::kEvicted;
  } else if (std::holds_alternative<jobs::StartRefused>(change)) {
    end = placement::TaskEnd::kRefused;
  }
  if (job.state == jobs::JobState::kCancelled) end = placement::TaskEnd::kCancelled;
  this->scheduler->OnTaskEnded(now, job.id, end);
  this->model->OnTaskEnded(now, job.target, job.id);
  if (!jobs::IsTerminal(job.state)) this->scheduler->Submit(now, PendingOf(job, this->usage));
}

/// Follows what the log has applied; decisions count only from then on.
void JobLeader::Private::OnChange(const jobs::Change& change, const jobs::ChangeResult& answer) {
  const base::TimePoint now = this->node.loop.Now();
  const jobs::Job* job = this->Book().Find(answer.job);
  if (job == nullptr) return;
  const bool applied =
      answer.status == jobs::ChangeStatus::kDone || answer.status == jobs::ChangeStatus::kCreated;
  if (std::holds_alternative<jobs::JobStarted>(change)) {
    if (!applied) {
      this->scheduler->OnStartDropped(now, answer.job);
      return;
    }
    this->leases.OnApplied(now, *job);
    this->scheduler->OnTaskStarted(job->id, job->token);
    this->model->OnTaskStarted(now, job->target, job->id, job->spec.row, this->ShareOf(*job));
    this->SendStart(*job);
    return;
  }
  const bool ends = std::holds_alternative<jobs::JobFinished>(change) ||
                    std::holds_alternative<jobs::JobEvicted>(change) ||
                    std::holds_alternative<jobs::LeaseEnded>(change) ||
                    std::holds_alternative<jobs::StartRefused>(change);
  if (ends) this->leases.Acknowledge(job->target, job->id, answer.token);
  if (!applied) return;
  this->leases.OnApplied(now, *job);
  if (ends) {
    this->EndTask(*job, change);
  } else if (std::holds_alternative<jobs::SubmitJob>(change)) {
    this->Enqueue(*job);
  } else if (std::holds_alternative<jobs::CancelJob>(change) ||
             std::holds_alternative<jobs::CancelKey>(change)) {
    this->scheduler->Cancel(now, job->id);
  }
}

/// Part of the target's processors that the task reserves.
double JobLeader::Private::ShareOf(const jobs::Job& job) const {
  const auto capacity = this->capacities.find(job.target);
  if (capacity == this->capacities.end() || capacity->second.millicores == 0) return 0;
  return std::min(1.0, static_cast<double>(job.reserved.millicores) /
                           static_cast<double>(capacity->second.millicores));
}

/// Learns usage and interference from the measurements of a report, which are `report.age` old.
void JobLeader::Private::Learn(base::TimePoint now, const ParsedReport& report) {
  using interference::UsageKind;
  const base::TimePoint taken_at = now - report.age;
  const std::string& target = report.tasks.target;
  this->model->OnReport(taken_at, target);
  for (const jobs::TaskReport& task : report.tasks.tasks) {
    const jobs::Job* job = this->Book().Find(task.job);
    if (job == nullptr || task.state != jobs::TaskState::kRunning) continue;
    this->scheduler->OnTaskProgress(now, task.job, {task.progress, task.checkpoint});
    if (task.slowdown > 0) this->model->ObserveTask(taken_at, target, task.job, task.slowdown);
    this->usage.Observe(job->spec.row, UsageKind::kProcessors,
                        static_cast<double>(task.millicores_used),
                        static_cast<double>(job->spec.declared.millicores));
    this->usage.Observe(job->spec.row, UsageKind::kMemory,
                        static_cast<double>(task.memory_mib_used),
                        static_cast<double>(job->spec.declared.memory_mib));
  }
  double worst = 0;
  const table::Table& table = this->node.machine.State().Table().Current();
  for (const ServiceReport& service : report.services) {
    this->model->ObserveService(taken_at, target, service.row, service.p99_ms, service.rate);
    const table::Row* row = table.Find(service.row);
    if (row == nullptr || row->deadline_ms == 0) continue;
    worst = std::max(worst, service.p99_ms / static_cast<double>(row->deadline_ms));
  }
  if (!report.services.empty()) this->scheduler->OnServiceLatency(now, target, worst);
}

void JobLeader::Private::NoteLostTargets() {
  for (const auto& [id, mark] : this->node.machine.State().Targets().Marks()) {
    if (mark.lost_incarnation == 0) continue;
    std::uint64_t& told = this->lost[id];
    if (told == mark.lost_incarnation) continue;
    told = mark.lost_incarnation;
    this->leases.OnTargetLost(this->node.loop.Now(), id, mark.lost_incarnation);
  }
}

void JobLeader::Private::Schedule() {
  const base::TimePoint now = this->node.loop.Now();
  std::vector<jobs::Change> changes;
  for (const jobs::LeaseEnded& ended : this->leases.Tick(now)) changes.emplace_back(ended);
  placement::Decisions decisions = this->scheduler->Schedule(now, kStartsPerTick);
  for (placement::Start& start : decisions.starts) {
    changes.emplace_back(jobs::JobStarted{start.job, start.attempt, std::move(start.target),
                                          start.incarnation, start.reserved});
  }
  for (placement::UnplaceableJob& job : decisions.unplaceable) {
    changes.emplace_back(jobs::JobUnplaceable{job.job, std::move(job.reason)});
  }
  for (const jobs::JobId job : decisions.reconsidered) {
    changes.emplace_back(jobs::JobReconsidered{job});
  }
  for (const placement::ActionRequest& order : decisions.action_requests) {
    const jobs::Job* job = this->Book().Find(order.job);
    if (job == nullptr) continue;
    this->orders[job->target].push_back({order.job, order.token, order.action});
    if (order.action == jobs::TaskAction::kCheckpoint) {
      changes.emplace_back(jobs::CheckpointRequested{order.job, order.token});
    } else if (order.action == jobs::TaskAction::kStop) {
      changes.emplace_back(jobs::StopRequested{order.job, order.token});
    }
  }
  this->Propose(std::move(changes));
}

JobLeader::JobLeader(NodeContext& node) : d(std::make_unique<Private>(node)) {}
JobLeader::~JobLeader() = default;

bool JobLeader::Active() const { return this->d->active; }

void JobLeader::Tick() {
  const bool may_lead = this->d->node.log.MayLead();
  if (this->d->active && (!may_lead || this->d->term != this->d->node.log.Status().term)) {
    this->d->Retire();
  }
  if (!may_lead) return;
  if (!this->d->active) this->d->Lead();
  this->d->LoadRows();
  this->d->NoteLostTargets();
  this->d->Schedule();
}

void JobLeader::OnApplied(std::string_view command, std::string_view answer) {
  if (!this->d->active) return;
  const auto envelope = state::Decode<state::Envelope>(command);
  if (!base::Ok(envelope) || base::ValueOf(envelope).kind != state::SubStateKind::kJobs) {
    return;
  }
  const auto decoded = jobs::DecodeCommand(base::ValueOf(envelope).payload);
  const auto answers = jobs::DecodeResults(answer);
  if (!base::Ok(decoded) || !base::Ok(answers)) return;
  const auto& changes = base::ValueOf(decoded).changes;
  const std::size_t count = std::min(changes.size(), base::ValueOf(answers).size());
  for (std::size_t i = 0; i < count; ++i) {
    this->d->OnChange(changes[i], base::ValueOf(answers)[i]);
  }
}

void JobLeader::OnTargetRecords(const std::vector<TargetInfo>& targets) {
  const base::TimePoint now = this->d->node.loop.Now();
  for (const TargetInfo& info : targets) {
    this->d->addresses[info.id] = info.address;
    this->d->capacities[info.id] = info.resources;
    if (!this->d->active) continue;
    this->d->leases.OnIncarnation(now, info.id, info.fence.incarnation);
    placement::TargetSpec spec;
    spec.name = info.id;
    spec.incarnation = info.fence.incarnation;
    spec.failure_domain = info.failure_domain;
    spec.rack = info.rack;
    spec.capacity = info.resources;
    if (info.capacity.slots > 0) {
      spec.service_reserve.millicores = info.resources.millicores * kServiceReservePercent / 100;
      spec.service_reserve.memory_mib = info.resources.memory_mib * kServiceReservePercent / 100;
    }
    spec.accepted_rows = info.kinds;
    const state::TargetState& marks = this->d->node.machine.State().Targets();
    spec.accepts_starts = !info.leaving && !marks.IsDrained(info.id) &&
                          !marks.IsLost(info.id, info.fence.incarnation);
    this->d->scheduler->OnTargetChanged(now, spec);
  }
}

std::optional<jobs::ReportResponse> JobLeader::OnReport(const ParsedReport& report) {
  const base::TimePoint now = this->d->node.loop.Now();
  jobs::ReportDecision decision =
      this->d->leases.OnReport(now, report.tasks, this->d->node.log.MayLead());
  if (!decision.accepted) return std::nullopt;
  this->d->Learn(now, report);
  this->d->Propose(std::move(decision.changes));
  for (const jobs::JobId id : decision.unreported) {
    if (const jobs::Job* job = this->d->Book().Find(id)) this->d->SendStart(*job);
  }
  if (const auto waiting = this->d->orders.find(report.tasks.target);
      waiting != this->d->orders.end()) {
    std::ranges::move(waiting->second, std::back_inserter(decision.response.requests));
    this->d->orders.erase(waiting);
  }
  return decision.response;
}

std::string JobLeader::Explain(std::uint64_t job) const {
  if (!this->d->active) return {};
  return this->d->scheduler->Explain(this->d->node.loop.Now(), job);
}

}  // namespace mangoroad::entry
