#include "entry/operator_service.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "audit/record.h"
#include "entry/answers.h"
#include "entry/json_reader.h"
#include "entry/operator_json.h"
#include "state/state_codec.h"
#include "table/csv_reader.h"

namespace mangoroad::entry {
namespace {

using nlohmann::json;

constexpr std::string_view kProgramVersion = "0.1.0";
constexpr std::int64_t kMaxLimit = 1'000;
/// An entry VM that wasn't heard of for this long is shown as unreachable.
constexpr base::Duration kReachable = std::chrono::seconds(3);
/// Targets announce twice a second; four missed announcements make one suspected.
constexpr base::Duration kHealthy = std::chrono::seconds(2);

}  // namespace

struct OperatorService::Private {
  using Handler = void (Private::*)(const net::HttpExchangePtr&, const PathParameters&);
  struct Path {
    net::HttpMethod method;
    std::string_view pattern;
    Handler handler;
  };

  NodeContext& node;
  Sources sources;
  base::TimePoint started;

  Private(NodeContext& context, Sources status_sources)
      : node(context), sources(std::move(status_sources)), started(context.loop.Now()) {}

  bool MayChange(const net::HttpExchange& exchange) const;
  const state::ClusterState& State() const { return this->node.machine.State(); }

  std::string TargetStateOf(const TargetInfo& info) const;
  json Problems() const;
  json Replicas() const;
  json Domains() const;
  json JobCounts() const;
  state::Origin ReadOrigin(JsonReader& reader) const;
  template <typename Change>
  void ProposeChange(const net::HttpExchangePtr& exchange, const Change& change);

  void GetTable(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void PostTable(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void TableHistory(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void TableStatus(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Audit(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Status(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Targets(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Drain(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Lost(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Retire(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Replicas(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void ExplainJob(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void ExplainRequest(const net::HttpExchangePtr& exchange, const PathParameters& parts);
};

bool OperatorService::Private::MayChange(const net::HttpExchange& exchange) const {
  const std::string& token = this->sources.token;
  if (token.empty()) return true;
  const auto sent = exchange.headers.Find("Mangoroad-Operator-Token");
  // A comparison in constant time doesn't tell how much of a guess was right.
  return sent && sent->size() == token.size() &&
         CRYPTO_memcmp(sent->data(), token.data(), token.size()) == 0;
}

void OperatorService::Private::GetTable(const net::HttpExchangePtr& exchange,
                                        const PathParameters& /*parts*/) {
  const state::TableState& table = this->State().Table();
  const auto version =
      QueryNumber(*exchange, "version", static_cast<std::int64_t>(table.Version()), 0, INT64_MAX);
  if (!version) {
    ReplyError(*exchange, ErrorKind::kBadRequest, "version must be a number");
    return;
  }
  const auto wanted = static_cast<std::uint64_t>(*version);
  const auto content = table.History().At(wanted);
  const state::TableVersion* info = table.History().Find(wanted);
  if (!content || (wanted != 0 && info == nullptr)) {
    ReplyError(*exchange, ErrorKind::kNotFound,
               "table version " + std::to_string(wanted) + " isn't known");
    return;
  }
  json body = VersionJson(info == nullptr ? state::TableVersion{} : *info);
  body["csv"] = table::WriteCsv(*content);
  body["rows"] = content->Rows().size();
  ReplyJson(*exchange, 200, Dump(body));
}

state::Origin OperatorService::Private::ReadOrigin(JsonReader& reader) const {
  state::Origin origin;
  origin.change_id = reader.Text("change_id", Presence::kRequired, state::kMaxChangeIdBytes);
  origin.author = reader.Text("author", Presence::kRequired, state::kMaxAuthorBytes);
  origin.reason = reader.Text("reason", Presence::kOptional, state::kMaxReasonBytes);
  origin.time_ms = this->node.loop.WallNow();
  return origin;
}

void OperatorService::Private::PostTable(const net::HttpExchangePtr& exchange,
                                         const PathParameters& /*parts*/) {
  JsonReader reader(exchange->body);
  state::ApplyTable change;
  change.origin = this->ReadOrigin(reader);
  change.base_version = reader.Unsigned("base_version", Presence::kRequired);
  change.csv = reader.Text("csv", Presence::kRequired, table::kMaxCsvBytes);
  change.rows_in_use = this->sources.rows_in_use();
  if (const std::string fault = reader.Fault(); !fault.empty()) {
    ReplyError(*exchange, ErrorKind::kBadRequest, fault);
    return;
  }
  this->node.log.Propose(
      state::EncodeCommand(change),
      [exchange, change_id = change.origin.change_id](const ProposalResult& result) {
        if (result.fate != ProposalFate::kApplied) {
          ReplyNotApplied(*exchange, result);
          return;
        }
        const auto answer = state::Decode<state::TableAnswer>(result.answer);
        if (!base::Ok(answer)) {
          ReplyError(*exchange, ErrorKind::kRefused, base::ErrorOf(answer).message);
          return;
        }
        ReplyTableAnswer(*exchange, change_id, base::ValueOf(answer));
      });
}

void OperatorService::Private::TableHistory(const net::HttpExchangePtr& exchange,
                                            const PathParameters& /*parts*/) {
  const auto limit = QueryNumber(*exchange, "limit", 100, 1, kMaxLimit);
  const auto before = QueryNumber(*exchange, "before", INT64_MAX, 1, INT64_MAX);
  if (!limit || !before) {
    ReplyError(*exchange, ErrorKind::kBadRequest, "limit must be 1 to 1000, before a version");
    return;
  }
  json versions = json::array();
  json next = nullptr;
  const auto& known = this->State().Table().History().OldestFirst();
  for (auto version = known.rbegin(); version != known.rend(); ++version) {
    if (version->version >= static_cast<std::uint64_t>(*before)) continue;
    if (versions.size() == static_cast<std::size_t>(*limit)) {
      next = versions.back()["version"];
      break;
    }
    json item = VersionJson(*version);
    item["added"] = version->added;
    item["removed"] = version->removed;
    item["changed"] = version->changed;
    versions.push_back(std::move(item));
  }
  ReplyJson(*exchange, 200, Dump({{"versions", std::move(versions)}, {"next", next}}));
}

void OperatorService::Private::TableStatus(const net::HttpExchangePtr& exchange,
                                           const PathParameters& /*parts*/) {
  const base::TimePoint now = this->node.loop.Now();
  const std::uint64_t version = this->State().Table().Version();
  std::uint64_t newest = version;
  bool everywhere = true;
  json vms = json::array();
  vms.push_back({{"name", this->node.settings.name},
                 {"failure_domain", this->node.settings.failure_domain},
                 {"version", version},
                 {"reachable", true},
                 {"heard_ms_ago", 0}});
  const auto& nodes = this->node.nodes();
  for (const settings::Peer& peer : this->node.settings.peers) {
    const auto status = nodes.find(peer.name);
    const bool known = status != nodes.end();
    const bool reachable = known && now - status->second.heard <= kReachable;
    if (known) newest = std::max(newest, status->second.table_version);
    // What isn't known isn't claimed: an entry VM that was never heard of has version 0 here.
    vms.push_back(
        {{"name", peer.name},
         {"failure_domain", peer.failure_domain},
         {"version", known ? status->second.table_version : 0},
         {"reachable", reachable},
         {"heard_ms_ago", known ? base::ToMilliseconds(now - status->second.heard) : -1}});
  }
  for (const json& vm : vms) {
    if (vm["reachable"] == true && vm["version"] != newest) everywhere = false;
  }
  ReplyJson(*exchange, 200,
            Dump({{"version", newest},
                  {"in_force_everywhere", everywhere},
                  {"entry_vms", std::move(vms)}}));
}

void OperatorService::Private::Audit(const net::HttpExchangePtr& exchange,
                                     const PathParameters& /*parts*/) {
  const audit::AuditTrail& trail = this->State().Audit();
  const auto limit = QueryNumber(*exchange, "limit", 100, 1, kMaxLimit);
  const auto from = QueryNumber(*exchange, "from", 0, 0, INT64_MAX);
  const auto since = QueryNumber(*exchange, "since_ms", 0, 0, INT64_MAX);
  const auto until = QueryNumber(*exchange, "until_ms", INT64_MAX, 0, INT64_MAX);
  if (!limit || !from || !since || !until) {
    ReplyError(*exchange, ErrorKind::kBadRequest,
               "limit must be 1 to 1000; from, since_ms and until_ms must be numbers");
    return;
  }
  audit::Query query;
  query.from = static_cast<std::uint64_t>(*from);
  query.limit = static_cast<std::size_t>(*limit) + 1;  // one more tells whether there is a rest
  query.author = net::QueryValue(exchange->query, "author");
  query.row = net::QueryValue(exchange->query, "row");
  query.since_ms = since;
  query.until_ms = until;
  std::vector<audit::Record> records = trail.Search(query);
  json next = nullptr;
  if (records.size() > static_cast<std::size_t>(*limit)) {
    next = records.back().number;
    records.pop_back();
  }
  json lines = json::array();
  for (const audit::Record& record : records) {
    lines.push_back(json::parse(audit::ToJsonLine(record)));
  }
  ReplyJson(*exchange, 200,
            Dump({{"records", std::move(lines)},
                  {"first_number", trail.FirstNumber()},
                  {"last_number", trail.LastNumber()},
                  {"head", trail.Head()},
                  {"next", next}}));
}

std::string OperatorService::Private::TargetStateOf(const TargetInfo& info) const {
  const state::TargetState& marks = this->State().Targets();
  if (marks.IsLost(info.id, info.fence.incarnation)) return "lost";
  if (marks.IsDrained(info.id)) return "drained";
  if (info.leaving) return "leaving";
  return this->node.loop.Now() - info.heard > kHealthy ? "suspected" : "healthy";
}

json OperatorService::Private::Problems() const {
  const base::TimePoint now = this->node.loop.Now();
  json problems = json::array();
  const auto add = [&](std::string_view severity, std::string_view kind, std::string subject,
                       std::string message) {
    problems.push_back({{"severity", severity},
                        {"kind", kind},
                        {"subject", std::move(subject)},
                        {"message", std::move(message)},
                        {"since_ms", 0}});
  };
  if (const std::string fault = this->node.log.StorageFault(); !fault.empty()) {
    add("critical", "disk", this->node.settings.name, fault);
  }
  if (this->node.log.Status().leader.empty()) {
    add("critical", "no-quorum", this->node.settings.name,
        "no leader is known: changes and new jobs wait, live requests go on");
  }
  const auto& nodes = this->node.nodes();
  for (const settings::Peer& peer : this->node.settings.peers) {
    const auto status = nodes.find(peer.name);
    if (status == nodes.end() || now - status->second.heard > kReachable) {
      add("warning", "entry-vm-suspected", peer.name, "not heard of for over 3 s");
    } else if (status->second.table_version < this->State().Table().Version()) {
      add("warning", "table-lag", peer.name,
          "has table version " + std::to_string(status->second.table_version));
    }
  }
  for (const auto& [id, info] : this->node.directory.All()) {
    if (this->TargetStateOf(info) == "suspected") {
      add("warning", "target-suspected", id, "announcements are missing");
    }
  }
  jobs::JobFilter unplaceable;
  unplaceable.state = jobs::JobState::kUnplaceable;
  unplaceable.limit = 20;
  for (const jobs::Job* job : this->node.machine.Jobs().List(unplaceable)) {
    add("warning", "job-unplaceable", std::to_string(job->id), job->reason);
  }
  return problems;
}

json OperatorService::Private::Replicas() const {
  const base::TimePoint now = this->node.loop.Now();
  const consensus::Status status = this->node.log.Status();
  const auto& nodes = this->node.nodes();
  json replicas = json::array();
  const auto add = [&](const std::string& name, const std::string& domain,
                       const std::string& address, bool reachable) {
    const auto peer = std::ranges::find(status.peers, name, &consensus::PeerStatus::id);
    replicas.push_back({{"name", name},
                        {"failure_domain", domain},
                        {"address", address},
                        {"voter", status.configuration.HasVoter(name)},
                        {"reachable", reachable},
                        {"match_index", peer == status.peers.end() ? 0 : peer->match_index}});
  };
  add(this->node.settings.name, this->node.settings.failure_domain,
      this->node.settings.peer_listen.Text(), true);
  for (const settings::Peer& peer : this->node.settings.peers) {
    const auto known = nodes.find(peer.name);
    add(peer.name, peer.failure_domain, peer.endpoint.Text(),
        known != nodes.end() && now - known->second.heard <= kReachable);
  }
  return replicas;
}

json OperatorService::Private::Domains() const {
  const base::TimePoint now = this->node.loop.Now();
  struct Summary {
    int entry_vms = 0;
    std::uint64_t targets = 0;
    bool reachable = false;
  };
  std::map<std::string, Summary> domains;
  Summary& own = domains[this->node.settings.failure_domain];
  own.entry_vms = 1;
  own.reachable = true;
  own.targets = this->sources.owner.Targets(now).size();
  const auto& nodes = this->node.nodes();
  for (const settings::Peer& peer : this->node.settings.peers) {
    Summary& summary = domains[peer.failure_domain];
    ++summary.entry_vms;
    const auto known = nodes.find(peer.name);
    if (known == nodes.end() || now - known->second.heard > kReachable) continue;
    summary.reachable = true;
    summary.targets += known->second.targets;
  }
  const auto& views = this->State().Views().Views();
  json result = json::array();
  for (const auto& [name, summary] : domains) {
    const auto view = views.find(name);
    const state::View known = view == views.end() ? state::View{} : view->second;
    result.push_back({{"name", name},
                      {"reachable", summary.reachable},
                      {"entry_vms", summary.entry_vms},
                      {"targets", summary.targets},
                      {"view", known.number},
                      {"members", known.members},
                      {"retired", known.retired},
                      {"retired_ms", known.retired_ms}});
  }
  return result;
}

json OperatorService::Private::JobCounts() const {
  json counts = json::object();
  for (int state = 0; state <= static_cast<int>(jobs::JobState::kUnplaceable); ++state) {
    const auto value = static_cast<jobs::JobState>(state);
    counts[std::string(jobs::NameOf(value))] = this->node.machine.Jobs().CountOf(value);
  }
  return counts;
}

void OperatorService::Private::Status(const net::HttpExchangePtr& exchange,
                                      const PathParameters& /*parts*/) {
  const base::TimePoint now = this->node.loop.Now();
  const consensus::Status status = this->node.log.Status();
  const bool voter = status.configuration.HasVoter(this->node.settings.name);
  std::map<std::string, int> targets{
      {"healthy", 0}, {"suspected", 0}, {"drained", 0}, {"lost", 0}, {"leaving", 0}};
  for (const auto& [id, info] : this->node.directory.All()) ++targets[this->TargetStateOf(info)];
  targets["total"] = static_cast<int>(this->node.directory.All().size());
  const json body{
      {"name", this->node.settings.name},
      {"failure_domain", this->node.settings.failure_domain},
      {"program_version", kProgramVersion},
      {"time_ms", this->node.loop.WallNow()},
      {"uptime_s", std::chrono::duration_cast<std::chrono::seconds>(now - this->started).count()},
      {"problems", this->Problems()},
      {"log",
       {{"role", voter ? base::NameOf(consensus::kRoleNames, status.role) : "learner"},
        {"leader", status.leader},
        {"has_quorum", !status.leader.empty()},
        {"term", status.term},
        {"commit_index", status.commit_index},
        {"applied_index", this->node.log.Applied()},
        {"replicas", this->Replicas()}}},
      {"table", {{"version", this->State().Table().Version()}}},
      {"domains", this->Domains()},
      {"targets", targets},
      {"jobs", this->JobCounts()},
      {"rows", json::parse(this->sources.row_status())}};
  ReplyJson(*exchange, 200, Dump(body));
}

void OperatorService::Private::Targets(const net::HttpExchangePtr& exchange,
                                       const PathParameters& /*parts*/) {
  const auto limit = QueryNumber(*exchange, "limit", 100, 1, kMaxLimit);
  if (!limit) {
    ReplyError(*exchange, ErrorKind::kBadRequest, "limit must be 1 to 1000");
    return;
  }
  const std::string after = net::QueryValue(exchange->query, "after").value_or("");
  const auto domain = net::QueryValue(exchange->query, "failure_domain");
  std::map<std::string, jobs::Resources> reserved;
  std::map<std::string, int> tasks;
  this->node.machine.Jobs().ForEachActive([&](const jobs::Job& job) {
    if (!jobs::HoldsLease(job.state)) return;
    reserved[job.target] += job.reserved;
    ++tasks[job.target];
  });
  const base::TimePoint now = this->node.loop.Now();
  json items = json::array();
  json next = nullptr;
  for (const auto& [id, info] : this->node.directory.All()) {
    if (id <= after || (domain && info.failure_domain != *domain)) continue;
    if (items.size() == static_cast<std::size_t>(*limit)) {
      next = items.back()["id"];
      break;
    }
    items.push_back({{"id", id},
                     {"address", info.address},
                     {"failure_domain", info.failure_domain},
                     {"rack", info.rack},
                     {"owner", info.owner},
                     {"state", this->TargetStateOf(info)},
                     {"incarnation", info.fence.incarnation},
                     {"epoch", info.fence.epoch},
                     {"processors", static_cast<double>(info.resources.millicores) / 1000},
                     {"processors_used", static_cast<double>(reserved[id].millicores) / 1000},
                     {"memory_mib", info.resources.memory_mib},
                     {"memory_mib_used", reserved[id].memory_mib},
                     {"accelerators", info.resources.accelerators},
                     {"slots", info.capacity.slots},
                     {"slots_used", info.in_use.slots},
                     {"connections", info.capacity.connections},
                     {"connections_used", info.in_use.connections},
                     {"tasks", tasks[id]},
                     {"heard_ms_ago", base::ToMilliseconds(now - info.heard)}});
  }
  ReplyJson(*exchange, 200, Dump({{"targets", std::move(items)}, {"next", next}}));
}

template <typename Change>
void OperatorService::Private::ProposeChange(const net::HttpExchangePtr& exchange,
                                             const Change& change) {
  this->node.log.Propose(state::EncodeCommand(change), [exchange](const ProposalResult& result) {
    if (result.fate != ProposalFate::kApplied) {
      ReplyNotApplied(*exchange, result);
      return;
    }
    const auto answer = state::Decode<state::ChangeAnswer>(result.answer);
    if (!base::Ok(answer)) {
      ReplyError(*exchange, ErrorKind::kRefused, base::ErrorOf(answer).message);
      return;
    }
    ReplyChangeAnswer(*exchange, base::ValueOf(answer));
  });
}

void OperatorService::Private::Drain(const net::HttpExchangePtr& exchange,
                                     const PathParameters& parts) {
  JsonReader reader(exchange->body);
  state::ChangeTarget change;
  change.origin = this->ReadOrigin(reader);
  change.target = parts.front();
  const bool undo = reader.Flag("undo", Presence::kOptional);
  change.action = undo ? state::TargetAction::kUndrain : state::TargetAction::kDrain;
  if (const std::string fault = reader.Fault(); !fault.empty()) {
    ReplyError(*exchange, ErrorKind::kBadRequest, fault);
    return;
  }
  this->ProposeChange(exchange, change);
}

void OperatorService::Private::Lost(const net::HttpExchangePtr& exchange,
                                    const PathParameters& parts) {
  JsonReader reader(exchange->body);
  state::ChangeTarget change;
  change.origin = this->ReadOrigin(reader);
  change.target = parts.front();
  change.incarnation = reader.Unsigned("incarnation", Presence::kRequired);
  const bool undo = reader.Flag("undo", Presence::kOptional);
  change.action = undo ? state::TargetAction::kForget : state::TargetAction::kLost;
  if (const std::string fault = reader.Fault(); !fault.empty()) {
    ReplyError(*exchange, ErrorKind::kBadRequest, fault);
    return;
  }
  this->ProposeChange(exchange, change);
}

void OperatorService::Private::Retire(const net::HttpExchangePtr& exchange,
                                      const PathParameters& parts) {
  JsonReader reader(exchange->body);
  state::ChangeView change;
  change.origin = this->ReadOrigin(reader);
  change.action = state::ViewAction::kRetire;
  change.domain = parts.front();
  if (const std::string fault = reader.Fault(); !fault.empty()) {
    ReplyError(*exchange, ErrorKind::kBadRequest, fault);
    return;
  }
  this->ProposeChange(exchange, change);
}

void OperatorService::Private::Replicas(const net::HttpExchangePtr& exchange,
                                        const PathParameters& /*parts*/) {
  JsonReader reader(exchange->body);
  this->ReadOrigin(reader);
  const std::string action = reader.Text("action", Presence::kRequired, 16);
  const std::string name = reader.Text("name", Presence::kRequired, 64);
  reader.Text("address", Presence::kOptional, 64);
  const bool voter = reader.Flag("voter", Presence::kOptional);
  std::string fault = reader.Fault();
  if (fault.empty() && action != "add" && action != "remove") {
    fault = "field 'action' must be add or remove, not '" + action + "'";
  }
  if (!fault.empty()) {
    ReplyError(*exchange, ErrorKind::kBadRequest, fault);
    return;
  }
  const consensus::Configuration configuration = this->node.log.Status().configuration;
  base::Result<base::Done, std::string> result = base::Done{};
  if (action == "remove") {
    result = this->node.log.Remove(name);
  } else if (!configuration.Has(name)) {
    result = this->node.log.AddLearner(name);
  } else if (voter && !configuration.HasVoter(name)) {
    result = this->node.log.Promote(name);
  }
  if (!base::Ok(result)) {
    ReplyError(*exchange, ErrorKind::kRefused, base::ErrorOf(result));
    return;
  }
  ReplyJson(*exchange, 200,
            Dump({{"result", "accepted"},
                  {"effect", action + " " + name + " was proposed"},
                  {"index", this->node.log.Status().last_index}}));
}

void OperatorService::Private::ExplainJob(const net::HttpExchangePtr& exchange,
                                          const PathParameters& parts) {
  std::uint64_t id = 0;
  const std::string& text = parts.front();
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
  const jobs::Job* job = error == std::errc() ? this->node.machine.Jobs().Find(id) : nullptr;
  if (job == nullptr) {
    ReplyError(*exchange, ErrorKind::kNotFound, "no job '" + text + "'");
    return;
  }
  std::string summary = this->sources.explain_job(id);
  if (summary.empty()) summary = job->reason;
  if (summary.empty()) summary = "the job is " + std::string(jobs::NameOf(job->state));
  ReplyJson(
      *exchange, 200,
      Dump({{"id", text},
            {"kind", "job"},
            {"row", job->spec.row},
            {"state", jobs::NameOf(job->state)},
            {"summary", summary},
            {"steps",
             json::array({{{"time_ms", job->submitted_ms}, {"step", "submitted"}, {"detail", ""}},
                          {{"time_ms", job->changed_ms},
                           {"step", jobs::NameOf(job->state)},
                           {"detail", job->reason}}})},
            {"candidates", json::array()}}));
}

void OperatorService::Private::ExplainRequest(const net::HttpExchangePtr& exchange,
                                              const PathParameters& parts) {
  const std::string body = this->sources.explain_request(parts.front());
  if (body.empty()) {
    ReplyError(*exchange, ErrorKind::kNotFound, "no request '" + parts.front() + "'");
    return;
  }
  ReplyJson(*exchange, 200, body);
}

OperatorService::OperatorService(NodeContext& node, Sources sources)
    : d(std::make_unique<Private>(node, std::move(sources))) {}
OperatorService::~OperatorService() = default;

void OperatorService::AddRoutes(HttpRouter& router) {
  using net::HttpMethod;
  static constexpr Private::Path kPaths[] = {
      {HttpMethod::kGet, "/v1/table", &Private::GetTable},
      {HttpMethod::kPost, "/v1/table", &Private::PostTable},
      {HttpMethod::kGet, "/v1/table/history", &Private::TableHistory},
      {HttpMethod::kGet, "/v1/table/status", &Private::TableStatus},
      {HttpMethod::kGet, "/v1/audit", &Private::Audit},
      {HttpMethod::kGet, "/v1/status", &Private::Status},
      {HttpMethod::kGet, "/v1/targets", &Private::Targets},
      {HttpMethod::kPost, "/v1/targets/{}/drain", &Private::Drain},
      {HttpMethod::kPost, "/v1/targets/{}/lost", &Private::Lost},
      {HttpMethod::kPost, "/v1/domains/{}/retire", &Private::Retire},
      {HttpMethod::kPost, "/v1/replicas", &Private::Replicas},
      {HttpMethod::kGet, "/v1/explain/job/{}", &Private::ExplainJob},
      {HttpMethod::kGet, "/v1/explain/request/{}", &Private::ExplainRequest},
  };
  for (const Private::Path& path : kPaths) {
    router.Add(path.method, path.pattern, [this, path](const auto& exchange, const auto& parts) {
      if (path.method == HttpMethod::kPost && !this->d->MayChange(*exchange)) {
        ReplyError(*exchange, ErrorKind::kOperatorToken,
                   "the header Mangoroad-Operator-Token is missing or wrong");
        return;
      }
      (this->d.get()->*path.handler)(exchange, parts);
    });
  }
}

}  // namespace mangoroad::entry
