#include "controller/core_node.h"

#include <algorithm>
#include <utility>

#include "controller/delegation.h"
#include "controller/identity.h"
#include "controller/join_schedule.h"
#include "controller/learner_log.h"
#include "controller/replica_manager.h"
#include "controller/requested_job.h"
#include "entry/log_service.h"
#include "log/log.h"
#include "metrics/activity_meter.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/peer_link.h"
#include "storage/file_system.h"
#include "wire/key_ring.h"
#include "workload/workload_state.h"

namespace mangoroad::controller {
namespace {

constexpr base::Duration kLeadershipCheckInterval = std::chrono::milliseconds(50);
/// Interval of the log line about the leader's own load.
constexpr base::Duration kLoadLogInterval = std::chrono::seconds(1);
constexpr base::Duration kMembershipCheckInterval = std::chrono::milliseconds(300);
/// How long a planned stop waits for another leader; several election time-outs.
constexpr base::Duration kLeadershipTransferTimeout = std::chrono::milliseconds(1000);
/// Limits the disk space used to a few times the size of the state.
constexpr consensus::Index kEntriesPerSnapshot = 4'000;
constexpr const char* kRaftKind = "raft";
constexpr const char* kJoinKind = "join";
constexpr std::size_t kMaxRelayBytes = 1U << 20U;

/// Applies the commands of the log to the workload state.
class WorkloadStateMachine : public entry::AppliedState {
 public:
  workload::WorkloadState state;
  /// The last applied command; empty when it was malformed.
  std::optional<workload::Command> last;
  std::function<void()> on_restored;

  std::string Apply(consensus::Index index, consensus::Term /*term*/,
                    std::string_view command) override {
    this->last = workload::DecodeCommand(command);
    if (!this->last) {
      log::Error(log::Category::kState, "malformed command ignored", {{"index", index}});
      return workload::EncodeOutcome(workload::Outcome::kMalformed);
    }
    return workload::EncodeOutcome(this->state.Apply(*this->last));
  }
  std::string Snapshot() const override { return this->state.Snapshot(); }
  bool Restore(std::string_view snapshot) override {
    if (!this->state.Restore(snapshot)) return false;
    if (this->on_restored) this->on_restored();
    return true;
  }
};

}  // namespace

struct CoreNode::Private : LeaderContext {
  net::EventLoop& loop;
  CoreSettings settings;
  std::unique_ptr<storage::FileSystem> files = storage::MakeRealFileSystem();
  WorkloadStateMachine state_machine;
  metrics::ActivityMeter meter{[this] { return this->loop.Now(); }};
  entry::LogService log_service;
  Delegation delegation;
  RunManager run_manager;
  ReplicaManager replica_manager;
  LearnerLog learner_log;
  JoinSchedule join_schedule;
  std::unique_ptr<net::PeerLinks> links;
  std::unique_ptr<net::HttpServer> relay_server;
  consensus::ReplicaId self;
  consensus::Term leading_term = 0;
  std::string logged_leader;
  bool advance_posted = false;
  /// When the leader timer is due next; its delay is that of all events of the loop.
  base::TimePoint leader_timer_due;
  base::Duration max_loop_delay{};
  base::Duration logged_processor_time{};
  /// Proposals that have ended since the last log line, and the sum of their times.
  std::int64_t commits = 0;
  base::Duration commit_time{};
  dispatch::PlanningEffort logged_effort;
  base::TimePoint next_load_log_at;
  net::PostScope posts{this->loop};
  net::Timer leader_timer;
  net::Timer replica_timer;
  net::Timer stop_timer;
  std::function<void()> on_stopped;

  Private(net::EventLoop& event_loop, TargetCalls& calls, CoreSettings core_settings)
      : loop(event_loop),
        settings(std::move(core_settings)),
        log_service(event_loop, *this->files, this->state_machine,
                    [this](const consensus::ReplicaId& to, std::string message) {
                      this->SendToReplica(to, {kRaftKind, std::move(message)});
                    }),
        delegation(
            event_loop, calls, this->state_machine.state, this->settings.failure_domain,
            this->MakeReportHandlers(),
            [this](const std::string& address, const wire::Envelope& envelope) {
              return this->SendTo(address, envelope);
            },
            [this] { return this->OtherLeader(); }, this->settings.delegation),
        run_manager(this->state_machine.state, this->delegation.Calls(), *this,
                    this->settings.run_manager),
        replica_manager({.voters = 2 * this->settings.tolerated_failures + 1}) {}

  void Propose(const workload::Command& command, OnProposed done) override {
    this->ProposeWith(
        command,
        [this, done = std::move(done)](const entry::ProposalResult& result) {
          done(this->loop.Now(), result.fate == entry::ProposalFate::kApplied);
        },
        std::nullopt);
  }
  bool MayLead() override { return this->log_service.MayLead(); }
  void RequestAdvance() override {
    if (std::exchange(this->advance_posted, true)) return;
    this->posts.Post([this] {
      this->advance_posted = false;
      this->run_manager.Advance(this->loop.Now());
    });
  }
  std::int64_t TimeOfDayMs() override { return this->loop.WallNow(); }
  metrics::ActivityMeter& Meter() override { return this->meter; }

  void ProposeWith(const workload::Command& command, entry::LogService::OnProposal done,
                   std::optional<base::Duration> timeout = entry::LogService::kProposalTime) {
    this->log_service.Propose(
        workload::EncodeCommand(command),
        [this, proposed_at = this->loop.Now(),
         done = std::move(done)](const entry::ProposalResult& result) {
          this->commits += 1;
          this->commit_time += this->loop.Now() - proposed_at;
          done(result);
        },
        entry::IfLost::kReport, timeout);
  }
  std::string PeerName(std::string_view ip) const {
    return std::string(ip) + ":" + std::to_string(this->settings.peer_port);
  }
  ReportHandlers MakeReportHandlers();
  KnownLeader OtherLeader() const;
  bool SendTo(const std::string& address, const wire::Envelope& envelope);
  void SendToReplica(const consensus::ReplicaId& to, const wire::Envelope& envelope);
  void OnEnvelope(const std::string& from, wire::Envelope envelope);
  void OnJoin(const std::string& id);
  void CheckLeadership();
  void MeasureLoopDelay(base::TimePoint now);
  void LogLoad(base::TimePoint now);
  void ManageReplicas();
  void AskToJoin(const consensus::Status& status);
  void ApplyReplicaChange(const ReplicaChange& change);
  base::Result<base::Done, entry::EntryError> OpenLinks();
  void Submit(const std::string& queue, const workload::JobId& id, CallerRequest request,
              const OnReply& done);
  void Cancel(const workload::JobId& id, const OnReply& done);
  void Reply(const OnReply& done, CallerReply reply) const;
  RelayReply NotLeaderReply() const;
};

ReportHandlers CoreNode::Private::MakeReportHandlers() {
  return {
      .on_contact =
          [this](base::TimePoint now, const TargetContact& contact) {
            this->run_manager.NoteContact(now, contact);
          },
      .on_report =
          [this](base::TimePoint now, const Announcement& announcement,
                 const std::function<void(bool)>& done) {
            if (!this->MayLead()) return done(false);
            this->run_manager.Announce(now, announcement, done);
          },
      .target_count = [this] { return this->state_machine.state.Targets().size(); },
  };
}

KnownLeader CoreNode::Private::OtherLeader() const {
  const consensus::Status status = this->log_service.Status();
  const bool is_other = status.role != consensus::Role::kLeader && !status.leader.empty();
  return {is_other ? AddressOf(status.leader) : std::string(), status.term};
}

bool CoreNode::Private::SendTo(const std::string& address, const wire::Envelope& envelope) {
  if (this->links == nullptr || address == AddressOf(this->self)) return false;
  const net::SendResult result = this->links->Send(address, envelope);
  if (result == net::SendResult::kUnknownPeer) {
    this->links->AddPeer({address, {IpOf(address), this->settings.peer_port}, {}});
  }
  return result == net::SendResult::kQueued;
}

void CoreNode::Private::SendToReplica(const consensus::ReplicaId& to,
                                      const wire::Envelope& envelope) {
  this->SendTo(AddressOf(to), envelope);
}

void CoreNode::Private::OnEnvelope(const std::string& from, wire::Envelope envelope) {
  const metrics::ActivityMeter::Scope measured(this->meter, metrics::Activity::kDelegates);
  if (envelope.kind == kRaftKind) {
    this->log_service.OnMessage(envelope.payload);
  } else if (envelope.kind == kJoinKind) {
    this->OnJoin(envelope.payload);
  } else if (const std::string kind = envelope.kind;
             !this->delegation.OnEnvelope(from, std::move(envelope))) {
    log::Warning(log::Category::kNet, "unknown kind of message", {{"kind", kind}});
  }
}

void CoreNode::Private::OnJoin(const std::string& id) {
  const consensus::Status status = this->log_service.Status();
  if (status.role == consensus::Role::kLeader) {
    if (!status.configuration.Has(id)) this->replica_manager.OnJoinRequest(id);
  } else if (!status.leader.empty() && AddressOf(status.leader) != AddressOf(id)) {
    this->SendToReplica(status.leader, {kJoinKind, id});
  }
}

void CoreNode::Private::MeasureLoopDelay(base::TimePoint now) {
  if (this->leader_timer_due != base::TimePoint{}) {
    this->max_loop_delay = std::max(this->max_loop_delay, now - this->leader_timer_due);
  }
  this->leader_timer_due = now + kLeadershipCheckInterval;
}

/// Logs what the loop's time went into. The times are elapsed times: they include those during
/// which the VM gave this process no processor.
void CoreNode::Private::LogLoad(base::TimePoint now) {
  if (now < this->next_load_log_at) return;
  this->next_load_log_at = now + kLoadLogInterval;
  const auto totals = this->meter.Take();
  const base::Duration delay = std::exchange(this->max_loop_delay, {});
  const std::int64_t ended = std::exchange(this->commits, 0);
  const base::Duration spent = std::exchange(this->commit_time, {});
  const base::Duration processor_time = this->loop.ProcessorTime();
  const base::Duration used =
      processor_time - std::exchange(this->logged_processor_time, processor_time);
  const dispatch::PlanningEffort plans = this->run_manager.Effort();
  const dispatch::PlanningEffort before = std::exchange(this->logged_effort, plans);
  if (!this->run_manager.IsLeading()) return;
  const auto of = [&](metrics::Activity activity) {
    return totals[static_cast<std::size_t>(activity)];
  };
  const auto ms = [&](metrics::Activity activity) {
    return base::ToMilliseconds(of(activity).time);
  };
  using metrics::Activity;
  log::Info(log::Category::kPlacement, "leader load",
            {{"loop_delay_ms", base::ToMilliseconds(delay)},
             {"processor_ms", base::ToMilliseconds(used)},
             {"commits", ended},
             {"mean_commit_ms", base::ToMilliseconds(ended == 0 ? spent : spent / ended)},
             {"plan_ms", ms(Activity::kPlan)},
             {"plans", plans.rounds - before.rounds},
             {"measured_targets", plans.measured_targets - before.measured_targets},
             {"scored_targets", plans.scored_targets - before.scored_targets},
             {"polls_ms", ms(Activity::kPolls)},
             {"requests_ms", ms(Activity::kRequests)},
             {"responses_ms", ms(Activity::kResponses)},
             {"responses", of(Activity::kResponses).calls},
             {"delegates_ms", ms(Activity::kDelegates)},
             {"delegates", this->delegation.Calls().DelegateCount()},
             {"delegated_calls", this->delegation.Calls().PendingCalls()},
             {"reports_ms", ms(Activity::kReports)},
             {"reports", of(Activity::kReports).calls},
             {"callers_ms", ms(Activity::kCallers)},
             {"callers", of(Activity::kCallers).calls},
             {"consensus_ms", ms(Activity::kConsensus)},
             {"apply_ms", ms(Activity::kApply)},
             {"snapshot_ms", ms(Activity::kSnapshot)},
             {"disk_ms", ms(Activity::kDisk)},
             {"disk_writes", of(Activity::kDisk).calls},
             {"other_ms", ms(Activity::kOther)}});
}

void CoreNode::Private::CheckLeadership() {
  this->MeasureLoopDelay(this->loop.Now());
  this->LogLoad(this->loop.Now());
  const consensus::Status status = this->log_service.Status();
  if (status.leader != this->logged_leader) {
    this->logged_leader = status.leader;
    log::Info(log::Category::kConsensus, "leader changed",
              {{"leader", status.leader}, {"term", status.term}, {"commit", status.commit_index}});
  }
  const bool leads = status.role == consensus::Role::kLeader;
  if (this->run_manager.IsLeading() && (!leads || status.term != this->leading_term)) {
    log::Info(log::Category::kConsensus, "leadership lost", {{"term", this->leading_term}});
    this->run_manager.EndTerm();
    this->delegation.Calls().EndTerm();
  }
  if (!this->run_manager.IsLeading() && leads && this->log_service.MayLead()) {
    this->leading_term = status.term;
    log::Info(log::Category::kConsensus, "leadership taken",
              {{"term", status.term}, {"jobs", this->state_machine.state.JobCount()}});
    this->delegation.Calls().BeginTerm(this->loop.Now(), status.term);
    this->run_manager.BeginTerm(this->loop.Now(), status.term);
  }
  this->delegation.Tick();
  this->run_manager.Tick(this->loop.Now());
}

void CoreNode::Private::AskToJoin(const consensus::Status& status) {
  std::vector<std::string> ips = this->settings.seeds;
  std::ranges::transform(status.configuration.voters, std::back_inserter(ips),
                         [](const auto& id) { return IpOf(id); });
  for (const std::string& ip : ips) {
    this->SendToReplica(this->PeerName(ip), {kJoinKind, this->self});
  }
}

void CoreNode::Private::ApplyReplicaChange(const ReplicaChange& change) {
  base::Result<base::Done, std::string> result;
  switch (change.kind) {
    case ReplicaChangeKind::kAddLearner:
      result = this->log_service.AddLearner(change.id);
      break;
    case ReplicaChangeKind::kPromote:
      result = this->log_service.Promote(change.id);
      break;
    case ReplicaChangeKind::kRemove:
      result = this->log_service.Remove(change.id);
      break;
  }
  log::Info(log::Category::kMembership, "change of replicas",
            {{"change", base::NameOf(kReplicaChangeNames, change.kind)},
             {"replica", change.id},
             {"result", base::Ok(result) ? "proposed" : base::ErrorOf(result)}});
}

void CoreNode::Private::ManageReplicas() {
  const consensus::Status status = this->log_service.Status();
  if (status.role != consensus::Role::kLeader) {
    if (this->join_schedule.IsRequestDue(this->loop.Now(), this->self, status)) {
      this->AskToJoin(status);
    }
    return;
  }
  if (!this->log_service.MayLead()) return;
  this->learner_log.LogIfDue(this->loop.Now(), status);
  if (const auto change = this->replica_manager.NextChange(this->loop.Now(), this->self, status)) {
    this->ApplyReplicaChange(*change);
  }
}

base::Result<base::Done, entry::EntryError> CoreNode::Private::OpenLinks() {
  auto keys = wire::KeyRing::Parse(this->settings.link_keys);
  if (!base::Ok(keys)) {
    return entry::EntryError{entry::EntryErrorKind::kBadSettings, base::ErrorOf(keys).message};
  }
  net::PeerLinkSettings link_settings;
  link_settings.name = this->PeerName(this->settings.ip);
  link_settings.listen = {this->settings.ip, this->settings.peer_port};
  link_settings.accept_unknown = true;
  link_settings.seed = this->loop.RandomBits();
  for (const std::string& ip : this->settings.seeds) {
    if (ip == this->settings.ip) continue;
    link_settings.peers.push_back({this->PeerName(ip), {ip, this->settings.peer_port}, {}});
  }
  net::PeerLinkCallbacks callbacks;
  callbacks.on_envelope = [this](const std::string& peer, wire::Envelope envelope) {
    this->OnEnvelope(peer, std::move(envelope));
  };
  this->links =
      std::make_unique<net::PeerLinks>(this->loop.Base(), std::move(link_settings),
                                       std::move(base::ValueOf(keys)), std::move(callbacks));
  if (const auto listening = this->links->Listen(); !base::Ok(listening)) {
    return entry::EntryError{entry::EntryErrorKind::kCannotListen,
                             base::ErrorOf(listening).message};
  }
  return base::Done{};
}

CoreNode::CoreNode(net::EventLoop& loop, TargetCalls& calls, CoreSettings settings)
    : d(std::make_unique<Private>(loop, calls, std::move(settings))) {}

CoreNode::~CoreNode() = default;

base::Result<base::Done, entry::EntryError> CoreNode::Start() {
  Private& node = *this->d;
  const std::string address = node.PeerName(node.settings.ip);
  std::vector<consensus::ReplicaId> first_voters;
  first_voters.reserve(node.settings.seeds.size());
  for (const std::string& ip : node.settings.seeds) first_voters.push_back(node.PeerName(ip));
  const auto loaded =
      LoadIdentity(*node.files, node.settings.data_folder, address, node.settings.is_first_start,
                   first_voters, node.loop.RandomBits());
  if (!base::Ok(loaded)) return base::ErrorOf(loaded);
  const Identity& identity = base::ValueOf(loaded);
  node.self = identity.id;
  entry::LogOptions options;
  options.self = node.self;
  for (const consensus::ReplicaId& voter : identity.first_voters) {
    options.first_configuration = consensus::WithVoter(options.first_configuration, voter);
  }
  options.folder = node.settings.data_folder + "/log";
  options.incarnation = node.loop.RandomBits();
  options.seed = node.loop.RandomBits();
  options.snapshot_every = kEntriesPerSnapshot;
  options.meter = &node.meter;
  node.run_manager.OnRestored(node.loop.Now());
  node.state_machine.on_restored = [&node] { node.run_manager.OnRestored(node.loop.Now()); };
  if (auto opened = node.log_service.Open(std::move(options)); !base::Ok(opened)) return opened;
  node.log_service.SetOnApplied([&node](consensus::Index, std::string_view, std::string_view) {
    if (!node.state_machine.last) return;
    node.run_manager.OnApplied(node.loop.Now(), *node.state_machine.last);
  });
  if (auto opened = node.OpenLinks(); !base::Ok(opened)) return opened;
  node.relay_server = std::make_unique<net::HttpServer>(
      node.loop,
      net::HttpServerLimits{.max_body_bytes = kMaxRelayBytes,
                            .max_connections = node.settings.max_relay_connections},
      [this](const net::HttpExchangePtr& exchange) {
        auto request = DecodeCallerRequest(exchange->body);
        if (!request) {
          exchange->Reply(400, {}, "");
          return;
        }
        this->HandleCallerRequest(std::move(*request), [exchange](const RelayReply& reply) {
          exchange->Reply(200, {}, EncodeRelayReply(reply));
        });
      });
  const auto listening = node.relay_server->Listen(node.settings.ip, node.settings.relay_port);
  if (!base::Ok(listening)) {
    return entry::EntryError{entry::EntryErrorKind::kCannotListen,
                             base::ErrorOf(listening).message};
  }
  node.leader_timer =
      node.loop.Every(kLeadershipCheckInterval, [&node] { node.CheckLeadership(); });
  node.replica_timer =
      node.loop.Every(kMembershipCheckInterval, [&node] { node.ManageReplicas(); });
  log::Info(log::Category::kEntry, "core started",
            {{"replica", node.self}, {"first_start", node.settings.is_first_start}});
  return base::Done{};
}

void CoreNode::Stop(std::function<void()> done) {
  Private& node = *this->d;
  log::Info(log::Category::kEntry, "core stops", {{"replica", node.self}});
  if (node.log_service.Status().role != consensus::Role::kLeader) return done();
  node.log_service.TransferLeadership();
  const base::TimePoint until = node.loop.Now() + kLeadershipTransferTimeout;
  node.on_stopped = std::move(done);
  node.stop_timer = node.loop.Every(kLeadershipCheckInterval, [&node, until] {
    const consensus::Status status = node.log_service.Status();
    const bool handed_over = status.role != consensus::Role::kLeader && !status.leader.empty();
    if (!handed_over && node.loop.Now() < until) return;
    if (const auto callback = std::exchange(node.on_stopped, nullptr)) callback();
  });
}

void CoreNode::UpdateSeeds(std::vector<std::string> seeds) {
  this->d->settings.seeds = std::move(seeds);
}

bool CoreNode::IsActiveLeader() const {
  return this->d->run_manager.IsLeading() && this->d->log_service.MayLead();
}

std::optional<std::string> CoreNode::OtherLeader() const {
  const consensus::Status status = this->d->log_service.Status();
  if (status.role == consensus::Role::kLeader || status.leader.empty()) return std::nullopt;
  return IpOf(status.leader);
}

void CoreNode::Declare(workload::Declaration declaration,
                       std::function<void(DeclareOutcome)> done) {
  if (!this->IsActiveLeader()) return done(DeclareOutcome::kNotLeader);
  const std::uint64_t version = declaration.version;
  if (version <= this->InForce().version) return done(DeclareOutcome::kInForce);
  this->d->ProposeWith(
      workload::Declare{std::move(declaration)},
      [version, done = std::move(done)](const entry::ProposalResult& result) {
        log::Info(
            log::Category::kTable, "declaration proposed",
            {{"version", version}, {"fate", base::NameOf(entry::kProposalFateNames, result.fate)}});
        done(result.fate == entry::ProposalFate::kApplied       ? DeclareOutcome::kInForce
             : result.fate == entry::ProposalFate::kNotAccepted ? DeclareOutcome::kNotLeader
                                                                : DeclareOutcome::kUnknown);
      });
}

const workload::Declaration& CoreNode::InForce() const {
  return this->d->state_machine.state.CurrentDeclaration();
}

void CoreNode::Announce(const Announcement& announcement, const RunManager::OnAnnounced& done) {
  const base::TimePoint now = this->d->loop.Now();
  if (this->IsActiveLeader()) return this->d->run_manager.Announce(now, announcement, done);
  this->d->delegation.Delegate().Announce(now, announcement, done);
}

bool CoreNode::TakesAnnouncements() const {
  return this->IsActiveLeader() || this->d->delegation.Delegate().TakesReports(this->d->loop.Now());
}

std::string CoreNode::AnnounceTo(const workload::TargetRecord& target) const {
  const std::string delegate =
      this->IsActiveLeader() ? this->d->delegation.Calls().DelegateOf(
                                   {target.address, target.incarnation, target.failure_domain})
                             : this->d->delegation.Delegate().AnnounceTo(target);
  return delegate.empty() ? this->d->settings.ip : IpOf(delegate);
}

void CoreNode::Leave(const std::string& id,
                     std::optional<workload::IncarnationNumber> incarnation_number,
                     const RunManager::OnAnnounced& done) {
  if (!this->IsActiveLeader()) return done(false);
  this->d->run_manager.Leave(this->d->loop.Now(), id, incarnation_number, done);
}

RelayReply CoreNode::Private::NotLeaderReply() const {
  const consensus::Status status = this->log_service.Status();
  RelayReply reply;
  if (status.role != consensus::Role::kLeader && !status.leader.empty()) {
    reply.leader = IpOf(status.leader);
  }
  std::ranges::transform(status.configuration.voters, std::back_inserter(reply.members),
                         [](const auto& id) { return IpOf(id); });
  std::ranges::transform(status.configuration.learners, std::back_inserter(reply.members),
                         [](const auto& id) { return IpOf(id); });
  return reply;
}

void CoreNode::Private::Reply(const OnReply& done, CallerReply reply) const {
  RelayReply relay;
  relay.answered = true;
  relay.reply = std::move(reply);
  done(relay);
}

void CoreNode::Private::Submit(const std::string& queue, const workload::JobId& id,
                               CallerRequest request, const OnReply& done) {
  std::string fault = "the job can't be read";
  if (request.spec) fault = workload::FindSpecError(*request.spec);
  if (!request.spec || !fault.empty()) {
    CallerReply reply{CallerOutcome::kMalformed};
    reply.reason = fault;
    return this->Reply(done, std::move(reply));
  }
  const workload::Submit command{id, queue, std::move(*request.spec), this->loop.WallNow()};
  this->ProposeWith(command, [this, id, queue, done](const entry::ProposalResult& result) {
    const auto outcome = workload::DecodeOutcome(result.answer);
    log::Info(log::Category::kJobs, "job submitted",
              {{"job", id},
               {"queue", queue},
               {"fate", base::NameOf(entry::kProposalFateNames, result.fate)},
               {"outcome", base::NameOf(workload::kOutcomeNames, outcome)}});
    if (result.fate == entry::ProposalFate::kNotAccepted) return done(this->NotLeaderReply());
    if (result.fate == entry::ProposalFate::kUnknown) {
      return this->Reply(done, {CallerOutcome::kUnknown});
    }
    this->Reply(done, {outcome == workload::Outcome::kNotFound ? CallerOutcome::kNoQueue
                                                               : CallerOutcome::kAccepted});
  });
}

void CoreNode::Private::Cancel(const workload::JobId& id, const OnReply& done) {
  const workload::Job* job = this->state_machine.state.FindJob(id);
  if (job != nullptr && workload::IsFinal(job->state)) {
    return this->Reply(done, {CallerOutcome::kCancelled});
  }
  this->ProposeWith(
      workload::Cancel{id, this->loop.WallNow()},
      [this, id, done](const entry::ProposalResult& result) {
        log::Info(log::Category::kJobs, "job cancelled",
                  {{"job", id}, {"fate", base::NameOf(entry::kProposalFateNames, result.fate)}});
        if (result.fate == entry::ProposalFate::kNotAccepted) return done(this->NotLeaderReply());
        if (result.fate == entry::ProposalFate::kUnknown) {
          return this->Reply(done, {CallerOutcome::kUnknown});
        }
        const bool found = workload::DecodeOutcome(result.answer) != workload::Outcome::kNotFound;
        this->Reply(done, {found ? CallerOutcome::kCancelled : CallerOutcome::kNoJob});
      });
}

void CoreNode::HandleCallerRequest(CallerRequest request, const OnReply& done) {
  Private& node = *this->d;
  const metrics::ActivityMeter::Scope measured(node.meter, metrics::Activity::kCallers);
  if (!this->IsActiveLeader()) return done(node.NotLeaderReply());
  if (request.verb == CallerVerb::kProbe) {
    RelayReply reply = node.NotLeaderReply();
    reply.answered = true;
    return done(reply);
  }
  const workload::Declaration& declaration = this->InForce();
  if (declaration.version == 0) return node.Reply(done, {CallerOutcome::kUnavailable});
  const workload::WorkloadState& state = node.state_machine.state;
  const RequestedJob requested = FindRequestedJob(state, declaration, request.host, request.path);
  if (requested.is_queue_itself && request.verb == CallerVerb::kRead) {
    CallerReply reply{CallerOutcome::kPending};
    reply.pending = state.Pending(requested.queue->name);
    return node.Reply(done, std::move(reply));
  }
  if (requested.id.empty()) return node.Reply(done, {CallerOutcome::kNoQueue});
  if (request.verb == CallerVerb::kSubmit) {
    if (requested.job != nullptr) return node.Reply(done, {CallerOutcome::kAccepted});
    return node.Submit(requested.queue->name, requested.id, std::move(request), done);
  }
  if (request.verb == CallerVerb::kCancel) return node.Cancel(requested.id, done);
  if (requested.job == nullptr) return node.Reply(done, {CallerOutcome::kNoJob});
  CallerReply reply{CallerOutcome::kState};
  reply.state = requested.job->state;
  node.Reply(done, std::move(reply));
}

}  // namespace mangoroad::controller
