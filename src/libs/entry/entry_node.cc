#include "entry/entry_node.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "entry/answers.h"
#include "entry/audit_file.h"
#include "entry/http_router.h"
#include "entry/job_service.h"
#include "entry/key_service.h"
#include "entry/live_service.h"
#include "entry/log_service.h"
#include "entry/node_context.h"
#include "entry/operator_service.h"
#include "entry/target_service.h"
#include "log/log.h"
#include "membership/membership.h"
#include "membership/membership_codec.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_link.h"
#include "settings/settings.h"
#include "storage/file_system.h"
#include "wire/key_ring.h"
#include "wire/record_codec.h"

namespace mangoroad::entry {
namespace {

constexpr base::Duration kServiceTick = std::chrono::milliseconds(10);
constexpr base::Duration kStatusEvery = std::chrono::milliseconds(250);
/// Time for the transfer of leadership before a planned stop goes on.
constexpr base::Duration kHandOver = std::chrono::milliseconds(500);

using StatusRecord = std::tuple<std::uint32_t, std::string, std::string, std::string, std::uint64_t,
                                std::uint64_t, std::uint64_t, std::uint64_t, bool>;
constexpr std::uint32_t kStatusVersion = 1;

std::string EncodeStatus(const NodeStatus& status) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, StatusRecord{kStatusVersion, status.name, status.identity,
                                     status.failure_domain, status.table_version, status.applied,
                                     status.targets, status.served_view, status.draining});
  return {buffer.data(), buffer.size()};
}

std::optional<NodeStatus> DecodeStatus(std::string_view bytes) {
  auto record = wire::UnpackAs<StatusRecord>(bytes);
  if (!record || std::get<0>(*record) != kStatusVersion) return std::nullopt;
  NodeStatus status;
  std::tie(std::ignore, status.name, status.identity, status.failure_domain, status.table_version,
           status.applied, status.targets, status.served_view, status.draining) =
      std::move(*record);
  return status;
}

consensus::Configuration FirstConfiguration(const settings::Settings& settings) {
  consensus::Configuration configuration;
  configuration.voters = settings.voters;
  if (configuration.voters.empty()) configuration.voters = {settings.name};
  std::vector<std::string> names{settings.name};
  std::ranges::transform(settings.peers, std::back_inserter(names), &settings::Peer::name);
  std::ranges::copy_if(names, std::back_inserter(configuration.learners), [&](const auto& name) {
    return std::ranges::find(configuration.voters, name) == configuration.voters.end();
  });
  std::ranges::sort(configuration.voters);
  std::ranges::sort(configuration.learners);
  return configuration;
}

net::PeerLinkSettings LinkSettings(const settings::Settings& settings, std::uint64_t seed) {
  net::PeerLinkSettings links;
  links.name = settings.name;
  links.listen = settings.peer_listen;
  links.seed = seed;
  links.soft_kinds = {std::string(message_kind::kGossip), std::string(message_kind::kNodeStatus),
                      std::string(message_kind::kTargets)};
  for (const settings::Peer& peer : settings.peers) {
    const auto delay = settings.link_delays.find(peer.failure_domain);
    links.peers.push_back({peer.name, peer.endpoint,
                           delay == settings.link_delays.end() ? base::Duration{} : delay->second});
  }
  return links;
}

/// First line of the token file; empty when no file is set or it can't be read, which Start
/// reports.
std::string ReadToken(storage::FileSystem& files, const std::string& path) {
  if (path.empty()) return {};
  const auto content = files.Read(path);
  if (!base::Ok(content)) return {};
  const std::string& text = base::ValueOf(content);
  return text.substr(0, text.find_first_of("\r\n"));
}

membership::MembershipConfig MemberSettings(const settings::Settings& settings,
                                            std::uint64_t incarnation) {
  membership::MembershipConfig config;
  config.name = settings.name;
  config.failure_domain = settings.failure_domain;
  config.incarnation = incarnation;
  std::ranges::transform(settings.peers, std::back_inserter(config.peers), [](const auto& peer) {
    return membership::MembershipConfig::Peer{peer.name, peer.failure_domain};
  });
  return config;
}

}  // namespace

struct EntryNode::Private {
  net::EventLoop& loop;
  settings::Settings settings;
  std::uint64_t incarnation = 0;
  std::unique_ptr<storage::FileSystem> files = storage::MakeRealFileSystem();
  metrics::Registry metrics;
  net::HttpClient client;
  ClusterMachine machine;
  TargetDirectory directory;
  std::map<std::string, NodeStatus> nodes;
  LogService log;
  membership::Membership members;
  NodeContext node;
  TargetService targets;
  KeyService keys;
  LiveService live;
  JobService jobs;
  OperatorService operators;
  HttpRouter router;
  std::unique_ptr<AuditFile> audit_file;
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<net::PeerLinks> links;
  std::function<void()> drained;
  base::TimePoint drain_started;
  net::Timer service_timer;
  net::Timer status_timer;
  net::Timer drain_timer;

  Private(net::EventLoop& event_loop, const settings::Settings& node_settings);

  bool Send(std::string_view peer, std::string_view kind, std::string payload);
  void OnEnvelope(const std::string& peer, const wire::Envelope& envelope);
  void OnStatus(const std::string& peer, std::string_view payload);
  void ShareStatus();
  void Handle(const net::HttpExchangePtr& exchange);
  void AddRoutes();
  void Tick();
  void Summarize();
  void TickMembership();
  void FollowAudit();
  void CheckDrained();
  base::Result<base::Done, EntryError> OpenLinks();
};

EntryNode::Private::Private(net::EventLoop& event_loop, const settings::Settings& node_settings)
    : loop(event_loop),
      settings(node_settings),
      // Grows with each start and differs between processes that start in the same millisecond.
      incarnation((static_cast<std::uint64_t>(event_loop.WallNow()) << 16U) |
                  (event_loop.RandomBits() & 0xffffU)),
      client(event_loop, {}),
      log(event_loop, *this->files, this->machine,
          [this](const consensus::ReplicaId& to, std::string message) {
            this->Send(to, message_kind::kRaft, std::move(message));
          }),
      members(MemberSettings(node_settings, this->incarnation), event_loop.Now()),
      node{.loop = this->loop,
           .settings = this->settings,
           .identity = node_settings.name + "." + std::to_string(this->incarnation),
           .client = this->client,
           .metrics = this->metrics,
           .machine = this->machine,
           .log = this->log,
           .directory = this->directory,
           .send = [this](
                       std::string_view peer, std::string_view kind,
                       std::string payload) { return this->Send(peer, kind, std::move(payload)); },
           .nodes = [this]() -> const std::map<std::string, NodeStatus>& { return this->nodes; },
           .alive =
               [this](std::string_view peer) {
                 return this->members.StateOf(peer) == membership::PeerState::kAlive;
               },
           .summary_of =
               [this](std::string_view domain) {
                 return this->members.SummaryOf(this->loop.Now(), domain);
               },
           .started = event_loop.Now()},
      targets(this->node),
      keys(this->node),
      live(this->node, this->targets.Holder(), this->keys),
      jobs(this->node),
      operators(this->node,
                {.owner = this->targets.Owner(),
                 .explain_job = [this](std::uint64_t job) { return this->jobs.Explain(job); },
                 .explain_request =
                     [this](const std::string& request) { return this->live.Explain(request); },
                 .rows_in_use = [this] { return this->live.RowsInUse(); },
                 .token = ReadToken(*this->files, node_settings.operator_token_file),
                 .row_status = [this] { return this->live.RowStatus(); }}) {}

bool EntryNode::Private::Send(std::string_view peer, std::string_view kind, std::string payload) {
  if (this->links == nullptr) return false;
  return this->links->Send(peer, {std::string(kind), std::move(payload)}) ==
         net::SendResult::kQueued;
}

void EntryNode::Private::OnEnvelope(const std::string& peer, const wire::Envelope& envelope) {
  using Handler = void (*)(Private&, const std::string&, std::string_view);
  static const std::map<std::string_view, Handler> kHandlers{
      {message_kind::kRaft, [](Private& self, const std::string& /*from*/,
                               std::string_view payload) { self.log.OnMessage(payload); }},
      {message_kind::kBorrow,
       [](Private& self, const std::string& from, std::string_view payload) {
         self.targets.OnBorrow(from, payload);
       }},
      {message_kind::kLend, [](Private& self, const std::string& /*from*/,
                               std::string_view payload) { self.targets.OnLend(payload); }},
      {message_kind::kTargets,
       [](Private& self, const std::string& from, std::string_view payload) {
         const auto sender = self.nodes.find(from);
         const bool own_domain = sender != self.nodes.end() &&
                                 sender->second.failure_domain == self.settings.failure_domain;
         if (own_domain) self.targets.OnTargets(from, payload);
         self.jobs.OnTargets(payload);
       }},
      {message_kind::kTargetReport,
       [](Private& self, const std::string& from, std::string_view payload) {
         self.jobs.OnTargetReport(from, payload);
       }},
      {message_kind::kTargetReply,
       [](Private& self, const std::string& /*from*/, std::string_view payload) {
         self.jobs.OnTargetReply(payload);
       }},
      {message_kind::kClaim, [](Private& self, const std::string& /*from*/,
                                std::string_view payload) { self.keys.OnMessage(payload); }},
      {message_kind::kRelay, [](Private& self, const std::string& from,
                                std::string_view payload) { self.live.OnRelay(from, payload); }},
      {message_kind::kRelayed,
       [](Private& self, const std::string& from, std::string_view payload) {
         self.live.OnRelayed(from, payload);
       }},
      {message_kind::kGossip,
       [](Private& self, const std::string& from, std::string_view payload) {
         const auto gossip = membership::DecodeGossip(payload);
         if (base::Ok(gossip)) {
           self.members.OnGossip(self.loop.Now(), from, base::ValueOf(gossip));
         } else {
           log::Warning(log::Category::kMembership, "malformed gossip refused", {{"peer", from}});
         }
       }},
      {message_kind::kNodeStatus, [](Private& self, const std::string& from,
                                     std::string_view payload) { self.OnStatus(from, payload); }},
  };
  const auto handler = kHandlers.find(envelope.kind);
  if (handler == kHandlers.end()) {
    log::Warning(log::Category::kNet, "message of unknown kind refused",
                 {{"peer", peer}, {"kind", envelope.kind}});
    return;
  }
  handler->second(*this, peer, envelope.payload);
}

void EntryNode::Private::OnStatus(const std::string& peer, std::string_view payload) {
  auto status = DecodeStatus(payload);
  if (!status || status->name != peer) {
    log::Warning(log::Category::kMembership, "malformed status refused", {{"peer", peer}});
    return;
  }
  status->heard = this->loop.Now();
  this->nodes[peer] = std::move(*status);
}

void EntryNode::Private::ShareStatus() {
  const NodeStatus status{.name = this->settings.name,
                          .identity = this->node.identity,
                          .failure_domain = this->settings.failure_domain,
                          .table_version = this->machine.State().Table().Version(),
                          .applied = this->log.Applied(),
                          .targets = this->targets.Owner().Targets(this->loop.Now()).size(),
                          .served_view = this->keys.ServedView(),
                          .draining = this->node.draining,
                          .heard = {}};
  const std::string payload = EncodeStatus(status);
  for (const settings::Peer& peer : this->settings.peers) {
    this->Send(peer.name, message_kind::kNodeStatus, payload);
  }
}

void EntryNode::Private::Handle(const net::HttpExchangePtr& exchange) {
  switch (this->router.Dispatch(exchange)) {
    case HttpRouter::Match::kFound:
      return;
    case HttpRouter::Match::kUnknownPath:
      ReplyError(*exchange, ErrorKind::kNotFound, "no path '" + exchange->path + "'");
      return;
    case HttpRouter::Match::kWrongMethod:
      ReplyError(*exchange, ErrorKind::kMethod,
                 "path '" + exchange->path + "' has no method " +
                     std::string(base::NameOf(net::kHttpMethodNames, exchange->method)));
      return;
  }
}

void EntryNode::Private::AddRoutes() {
  this->targets.AddRoutes(this->router);
  this->live.AddRoutes(this->router);
  this->jobs.AddRoutes(this->router);
  this->operators.AddRoutes(this->router);
  this->router.Add(net::HttpMethod::kGet, "/healthz", [](const auto& exchange, const auto&) {
    exchange->Reply(200, {{"Content-Type", "text/plain"}}, "ok\n");
  });
  this->router.Add(net::HttpMethod::kGet, "/readyz", [this](const auto& exchange, const auto&) {
    // An entry VM is ready once it has a table, so that the balancer doesn't send to an empty one.
    const bool ready = !this->node.draining && this->machine.State().Table().Version() > 0;
    exchange->Reply(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                    ready ? "ready\n" : "not ready\n");
  });
  this->router.Add(net::HttpMethod::kGet, "/metrics", [this](const auto& exchange, const auto&) {
    exchange->Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                    this->metrics.PrometheusText());
  });
}

/// What the other failure domains are told of this one.
void EntryNode::Private::Summarize() {
  membership::DomainSummary summary;
  summary.failure_domain = this->settings.failure_domain;
  for (const auto& [id, info] : this->directory.All()) {
    ++summary.targets;
    if (info.leaving) continue;
    summary.free_slots +=
        static_cast<std::uint32_t>(std::max(0, info.capacity.slots - info.in_use.slots));
  }
  summary.queued = static_cast<std::uint32_t>(this->live.Waiting());
  this->members.SetSummary(summary);
}

void EntryNode::Private::TickMembership() {
  const base::TimePoint now = this->loop.Now();
  const membership::MembershipOutput output = this->members.Tick(now);
  for (const membership::OutgoingGossip& gossip : output.messages) {
    this->Send(gossip.peer, message_kind::kGossip, membership::Encode(gossip.message));
  }
  if (this->links != nullptr) {
    for (const std::string& peer : output.replace_links) this->links->Replace(peer);
  }
  for (const membership::StateChange& change : output.changes) {
    log::Info(log::Category::kMembership, "peer state changed",
              {{"peer", change.peer},
               {"state", base::NameOf(membership::kPeerStateNames, change.state)},
               {"restarted", change.is_restarted}});
  }
}

void EntryNode::Private::FollowAudit() {
  if (this->audit_file == nullptr) return;
  const auto written = this->audit_file->Follow(this->machine.State().Audit());
  if (base::Ok(written)) return;
  log::Error(log::Category::kAudit, "audit file can't be written",
             {{"reason", base::ErrorOf(written).message}});
}

void EntryNode::Private::Tick() {
  this->TickMembership();
  this->targets.Tick();
  this->keys.Tick();
  this->live.Tick();
  this->jobs.Tick();
}

base::Result<base::Done, EntryError> EntryNode::Private::OpenLinks() {
  wire::KeyRing ring;
  if (!this->settings.key_file.empty()) {
    auto read = wire::KeyRing::Load(this->settings.key_file);
    if (!base::Ok(read)) {
      return EntryError{EntryErrorKind::kBadSettings, base::ErrorOf(read).message};
    }
    ring = std::move(base::ValueOf(read));
  }
  if (this->settings.peers.empty()) return base::Done{};
  this->links = std::make_unique<net::PeerLinks>(
      this->loop.Base(), LinkSettings(this->settings, this->loop.RandomBits()), std::move(ring),
      net::PeerLinkCallbacks{.on_envelope =
                                 [this](const std::string& peer, const wire::Envelope& envelope) {
                                   this->OnEnvelope(peer, envelope);
                                 },
                             .on_state =
                                 [](const std::string& peer, bool connected) {
                                   log::Info(log::Category::kNet,
                                             connected ? "link connected" : "link ended",
                                             {{"peer", peer}});
                                 },
                             .on_dropped =
                                 [](const std::string& peer, const std::string& kind) {
                                   log::Debug(log::Category::kNet, "message dropped",
                                              {{"peer", peer}, {"kind", kind}});
                                 }});
  const auto listening = this->links->Listen();
  if (base::Ok(listening)) return base::Done{};
  return EntryError{EntryErrorKind::kCannotListen, base::ErrorOf(listening).message};
}

/// Ends a graceful stop once nothing is in progress, or the drain time is over.
void EntryNode::Private::CheckDrained() {
  const base::TimePoint now = this->loop.Now();
  const std::size_t left = this->live.InProgress();
  const base::Duration waited = now - this->drain_started;
  if (waited < kHandOver) return;
  if (left > 0 && waited < this->settings.drain_time) return;
  if (left > 0) {
    log::Warning(log::Category::kEntry, "drain time over, requests abandoned",
                 {{"requests", left}});
  }
  log::Info(log::Category::kEntry, "stopped", {{"waited", waited}});
  this->drain_timer = {};
  this->drained();
}

EntryNode::EntryNode(net::EventLoop& loop, const settings::Settings& settings)
    : d(std::make_unique<Private>(loop, settings)) {}

EntryNode::~EntryNode() = default;

base::Result<base::Done, EntryError> EntryNode::Start() {
  const std::string& token_file = this->d->settings.operator_token_file;
  if (!token_file.empty() && ReadToken(*this->d->files, token_file).empty()) {
    return EntryError{EntryErrorKind::kBadSettings,
                      "--operator-token-file: no token can be read from " + token_file};
  }
  LogOptions options;
  options.self = this->d->settings.name;
  options.first_configuration = FirstConfiguration(this->d->settings);
  const std::optional<std::string>& data_dir = this->d->settings.data_dir;
  if (data_dir) options.folder = *data_dir + "/log";
  options.incarnation = this->d->incarnation;
  options.seed = this->d->loop.RandomBits();
  this->d->log.SetOnApplied(
      [this](consensus::Index /*index*/, std::string_view command, std::string_view answer) {
        this->d->jobs.OnApplied(command, answer);
      });
  this->d->log.SetOnRestored([this] { this->d->jobs.OnRestored(); });
  if (auto opened = this->d->log.Open(std::move(options)); !base::Ok(opened)) return opened;
  if (data_dir) {
    this->d->audit_file = std::make_unique<AuditFile>(*this->d->files, *data_dir + "/audit.jsonl");
    if (const auto opened = this->d->audit_file->Open(); !base::Ok(opened)) {
      return EntryError{EntryErrorKind::kBadData, base::ErrorOf(opened).message};
    }
  }
  if (auto linked = this->d->OpenLinks(); !base::Ok(linked)) return linked;

  net::HttpServerLimits limits;
  limits.max_body_bytes = this->d->settings.limits.body_bytes;
  limits.request_time = this->d->settings.limits.request_time;
  this->d->AddRoutes();
  this->d->server = std::make_unique<net::HttpServer>(
      this->d->loop, limits, [this](const auto& exchange) { this->d->Handle(exchange); });
  const auto listening =
      this->d->server->Listen(this->d->settings.http.ip, this->d->settings.http.port);
  if (!base::Ok(listening)) {
    return EntryError{EntryErrorKind::kCannotListen, base::ErrorOf(listening).message};
  }
  this->d->service_timer = this->d->loop.Every(kServiceTick, [this] { this->d->Tick(); });
  this->d->status_timer = this->d->loop.Every(kStatusEvery, [this] {
    this->d->Summarize();
    this->d->ShareStatus();
    this->d->FollowAudit();
  });
  log::Info(log::Category::kEntry, "started",
            {{"name", this->d->settings.name},
             {"failure_domain", this->d->settings.failure_domain},
             {"http", this->d->settings.http.Text()},
             {"disk", this->d->settings.data_dir.has_value()}});
  return base::Done{};
}

void EntryNode::Drain(std::function<void()> done) {
  if (this->d->node.draining) return;
  log::Info(log::Category::kEntry, "draining", {{"in_progress", this->d->live.InProgress()}});
  this->d->node.draining = true;
  this->d->drained = std::move(done);
  this->d->drain_started = this->d->loop.Now();
  this->d->server->StopListening();
  this->d->log.TransferLeadership();
  this->d->ShareStatus();
  this->d->drain_timer =
      this->d->loop.Every(std::chrono::milliseconds(20), [this] { this->d->CheckDrained(); });
}

}  // namespace mangoroad::entry
