#include "entry/job_service.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "entry/answers.h"
#include "entry/job_json.h"
#include "entry/job_leader.h"
#include "jobs/jobs_codec.h"
#include "log/log.h"
#include "state/state_codec.h"
#include "storage/file_system.h"
#include "storage/parked_jobs.h"

namespace mangoroad::entry {
namespace {

/// Interval at which the records of owned targets are sent to the leader.
constexpr base::Duration kRecordsEvery = std::chrono::seconds(1);
/// Interval at which parked jobs are submitted again.
constexpr base::Duration kParkedEvery = std::chrono::seconds(1);
/// A target sends its report again when it gets no reply in this time.
constexpr base::Duration kReportTime = std::chrono::seconds(3);
constexpr std::int64_t kMaxWaitMs = 60'000;
constexpr std::size_t kMaxListed = 1'000;

std::optional<jobs::JobId> ParseJobId(std::string_view text) {
  jobs::JobId id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return id;
}

std::string EncodeChange(base::WallMilliseconds wall_ms, jobs::Change change) {
  jobs::Command command;
  command.wall_ms = wall_ms;
  command.changes.push_back(std::move(change));
  return jobs::EncodeCommand(command);
}

}  // namespace

struct JobService::Private {
  struct Waiting {
    net::HttpExchangePtr exchange;
    jobs::JobId job = 0;
    base::TimePoint until;
  };
  struct SentReport {
    net::HttpExchangePtr exchange;
    base::TimePoint sent;
  };

  NodeContext& node;
  JobLeader leader;
  std::unique_ptr<storage::FileSystem> files = storage::MakeRealFileSystem();
  std::unique_ptr<storage::ParkedJobs> parked;
  std::vector<Waiting> waiting;
  std::map<std::uint64_t, SentReport> reports;
  std::uint64_t next_report = 1;
  base::TimePoint records_sent;
  base::TimePoint parked_tried;

  explicit Private(NodeContext& context) : node(context), leader(context) {
    if (!context.settings.data_dir) return;
    auto opened = storage::ParkedJobs::Open(*this->files, *context.settings.data_dir + "/parked");
    if (base::Ok(opened)) {
      this->parked = std::move(base::ValueOf(opened));
    } else {
      log::Error(log::Category::kStorage, "parked jobs can't be read",
                 {{"reason", base::ErrorOf(opened).message}});
    }
  }

  const jobs::JobStore& Book() const { return this->node.machine.Jobs(); }

  void ReplyJob(net::HttpExchange& exchange, int status, jobs::JobId id) const;
  void Submit(const net::HttpExchangePtr& exchange);
  void OnSubmitted(const net::HttpExchangePtr& exchange, const jobs::JobSpec& spec,
                   const ProposalResult& result);
  void Park(const net::HttpExchangePtr& exchange, const jobs::JobSpec& spec,
            const std::string& message);
  void Get(const net::HttpExchangePtr& exchange, const std::string& id) const;
  void List(const net::HttpExchangePtr& exchange) const;
  void Wait(const net::HttpExchangePtr& exchange, const std::string& id);
  void Cancel(const net::HttpExchangePtr& exchange, const std::string& id);
  void CancelParked(const net::HttpExchangePtr& exchange, const std::string& key);
  void Report(const net::HttpExchangePtr& exchange, const std::string& target);
  void AnswerWaiting(base::TimePoint now);
  void SubmitParked(base::TimePoint now);
  void SendRecords(base::TimePoint now);
};

void JobService::Private::ReplyJob(net::HttpExchange& exchange, int status, jobs::JobId id) const {
  const jobs::Job* job = this->Book().Find(id);
  if (job == nullptr) {
    ReplyError(exchange, ErrorKind::kNotFound, "no job " + std::to_string(id));
    return;
  }
  ReplyJson(exchange, status, JobJson(*job));
}

void JobService::Private::Submit(const net::HttpExchangePtr& exchange) {
  auto read = ReadJobSpec(exchange->body);
  if (!base::Ok(read)) {
    ReplyError(*exchange, ErrorKind::kBadRequest, base::ErrorOf(read));
    return;
  }
  jobs::JobSpec spec = std::move(base::ValueOf(read));
  const table::Row* row = this->node.machine.State().Table().Current().Find(spec.row);
  if (row == nullptr) {
    ReplyError(*exchange, ErrorKind::kUnknownRow, "no row '" + spec.row + "' in the table");
    return;
  }
  if (row->work_class != table::WorkClass::kBatch || row->team != spec.team) {
    ReplyError(*exchange, ErrorKind::kRefused,
               "row '" + spec.row + "' is no batch row of team '" + spec.team + "'");
    return;
  }
  spec.retries = row->retries;
  spec.hold_s = row->hold_s;
  spec.urgent = spec.urgent || row->urgent;
  std::string command = state::EncodeCommand(
      state::SubStateKind::kJobs, EncodeChange(this->node.loop.WallNow(), jobs::SubmitJob{spec}));
  this->node.log.Propose(std::move(command), [this, exchange, spec](const auto& result) {
    this->OnSubmitted(exchange, spec, result);
  });
}

void JobService::Private::OnSubmitted(const net::HttpExchangePtr& exchange,
                                      const jobs::JobSpec& spec, const ProposalResult& result) {
  if (result.fate == ProposalFate::kNotAccepted) {
    this->Park(exchange, spec, result.message);
    return;
  }
  if (result.fate == ProposalFate::kUnknown) {
    ReplyError(*exchange, ErrorKind::kNoQuorum,
               result.message + "; send the job again with the same key", Outcome::kUnknown);
    return;
  }
  const auto answers = jobs::DecodeResults(result.answer);
  if (!base::Ok(answers) || base::ValueOf(answers).size() != 1) {
    ReplyError(*exchange, ErrorKind::kRefused, "the job was refused by the log");
    return;
  }
  const jobs::ChangeResult& answer = base::ValueOf(answers).front();
  switch (answer.status) {
    case jobs::ChangeStatus::kCreated:
      this->ReplyJob(*exchange, 201, answer.job);
      return;
    case jobs::ChangeStatus::kExisting:
      this->ReplyJob(*exchange, 200, answer.job);
      return;
    case jobs::ChangeStatus::kKeyReused:
      ReplyError(*exchange, ErrorKind::kKeyReused, answer.message);
      return;
    default:
      ReplyError(*exchange, ErrorKind::kRefused, answer.message);
  }
}

/// Stores a job here until the leader can be reached. The key makes later copies one job.
void JobService::Private::Park(const net::HttpExchangePtr& exchange, const jobs::JobSpec& spec,
                               const std::string& message) {
  if (this->parked == nullptr) {
    ReplyError(*exchange, ErrorKind::kNoQuorum, message);
    return;
  }
  const std::string key = spec.team + "/" + spec.key;
  const std::string record = EncodeChange(this->node.loop.WallNow(), jobs::SubmitJob{spec});
  const auto stored = this->parked->Add(key, record);
  if (!base::Ok(stored)) {
    ReplyError(*exchange, ErrorKind::kNoQuorum, base::ErrorOf(stored).message);
    return;
  }
  log::Info(log::Category::kJobs, "job parked", {{"key", key}});
  ReplyJson(*exchange, 202, ParkedJobJson("parked:" + key, spec));
}

void JobService::Private::Get(const net::HttpExchangePtr& exchange, const std::string& id) const {
  const auto job = ParseJobId(id);
  if (!job) {
    ReplyError(*exchange, ErrorKind::kNotFound, "no job '" + id + "'");
    return;
  }
  this->ReplyJob(*exchange, 200, *job);
}

void JobService::Private::List(const net::HttpExchangePtr& exchange) const {
  jobs::JobFilter filter;
  if (const auto state = net::QueryValue(exchange->query, "state")) {
    filter.state = jobs::JobStateOfName(*state);
    if (!filter.state) {
      ReplyError(*exchange, ErrorKind::kBadRequest, "unknown job state '" + *state + "'");
      return;
    }
  }
  filter.row = net::QueryValue(exchange->query, "row").value_or("");
  const auto limit = ParseJobId(net::QueryValue(exchange->query, "limit").value_or("100"));
  const auto after = ParseJobId(net::QueryValue(exchange->query, "after").value_or("0"));
  if (!limit || *limit == 0 || *limit > kMaxListed || !after) {
    ReplyError(*exchange, ErrorKind::kBadRequest, "limit must be 1 to 1000, after a job id");
    return;
  }
  filter.limit = *limit;
  filter.after = *after;
  ReplyJson(*exchange, 200, JobListJson(this->Book().List(filter), filter.limit));
}

void JobService::Private::Wait(const net::HttpExchangePtr& exchange, const std::string& id) {
  const auto job = ParseJobId(id);
  const auto timeout = ParseJobId(net::QueryValue(exchange->query, "timeout_ms").value_or("10000"));
  if (!job || !timeout || *timeout > kMaxWaitMs) {
    ReplyError(*exchange, ErrorKind::kBadRequest, "timeout_ms must be 0 to 60000");
    return;
  }
  const base::TimePoint now = this->node.loop.Now();
  this->waiting.push_back({exchange, *job, now + std::chrono::milliseconds(*timeout)});
  this->AnswerWaiting(now);
}

void JobService::Private::AnswerWaiting(base::TimePoint now) {
  std::erase_if(this->waiting, [&](const Waiting& item) {
    const jobs::Job* job = this->Book().Find(item.job);
    const bool ready = job == nullptr || jobs::IsTerminal(job->state) ||
                       job->state == jobs::JobState::kUnplaceable || now >= item.until;
    if (ready) this->ReplyJob(*item.exchange, 200, item.job);
    return ready;
  });
}

void JobService::Private::CancelParked(const net::HttpExchangePtr& exchange,
                                       const std::string& key) {
  const std::size_t slash = key.find('/');
  if (this->parked == nullptr || !this->parked->List().contains(key) ||
      slash == std::string::npos) {
    ReplyError(*exchange, ErrorKind::kNotFound, "no parked job '" + key + "'");
    return;
  }
  // The cancellation replaces the submission, so a copy parked elsewhere becomes a cancelled job,
  // too.
  const auto stored = this->parked->Add(
      key, EncodeChange(this->node.loop.WallNow(),
                        jobs::CancelKey{key.substr(0, slash), key.substr(slash + 1)}));
  if (!base::Ok(stored)) {
    ReplyError(*exchange, ErrorKind::kNoQuorum, base::ErrorOf(stored).message);
    return;
  }
  jobs::JobSpec spec;
  spec.team = key.substr(0, slash);
  spec.key = key.substr(slash + 1);
  ReplyJson(*exchange, 200, ParkedJobJson("parked:" + key, spec));
}

void JobService::Private::Cancel(const net::HttpExchangePtr& exchange, const std::string& id) {
  constexpr std::string_view kParkedPrefix = "parked:";
  if (id.starts_with(kParkedPrefix)) {
    this->CancelParked(exchange, id.substr(kParkedPrefix.size()));
    return;
  }
  const auto job = ParseJobId(id);
  if (!job || this->Book().Find(*job) == nullptr) {
    ReplyError(*exchange, ErrorKind::kNotFound, "no job '" + id + "'");
    return;
  }
  std::string command = state::EncodeCommand(
      state::SubStateKind::kJobs, EncodeChange(this->node.loop.WallNow(), jobs::CancelJob{*job}));
  this->node.log.Propose(std::move(command), [this, exchange, job](const ProposalResult& result) {
    if (result.fate == ProposalFate::kApplied) {
      this->ReplyJob(*exchange, 200, *job);
      return;
    }
    const bool unknown = result.fate == ProposalFate::kUnknown;
    ReplyError(*exchange, ErrorKind::kNoQuorum, result.message,
               unknown ? Outcome::kUnknown : Outcome::kNotRun);
  });
}

/// Gives a target's report to the leader and its reply to the target.
void JobService::Private::Report(const net::HttpExchangePtr& exchange, const std::string& target) {
  const auto report = ReadReport(target, exchange->body);
  if (!base::Ok(report)) {
    ReplyError(*exchange, ErrorKind::kBadRequest, base::ErrorOf(report));
    return;
  }
  if (this->leader.Active()) {
    const auto reply = this->leader.OnReport(base::ValueOf(report));
    if (reply) {
      ReplyJson(*exchange, 200, ReportReplyJson(*reply));
    } else {
      ReplyError(*exchange, ErrorKind::kConflict, "the report is older than one taken before");
    }
    return;
  }
  const std::string leader_name = this->node.log.Status().leader;
  const std::uint64_t number = this->next_report++;
  const bool sent =
      !leader_name.empty() && this->node.send(leader_name, message_kind::kTargetReport,
                                              EncodeParsedReport(number, base::ValueOf(report)));
  if (!sent) {
    ReplyError(*exchange, ErrorKind::kNoQuorum, "no leader can be reached");
    return;
  }
  this->reports.emplace(number, SentReport{exchange, this->node.loop.Now()});
}

void JobService::Private::SubmitParked(base::TimePoint now) {
  if (this->parked == nullptr || this->parked->List().empty() ||
      now - this->parked_tried < kParkedEvery || this->node.log.Status().leader.empty()) {
    return;
  }
  this->parked_tried = now;
  for (const auto& [key, record] : this->parked->List()) {
    this->node.log.Propose(
        state::EncodeCommand(state::SubStateKind::kJobs, record),
        [this, stored_key = key, submitted = record](const ProposalResult& result) {
          if (result.fate != ProposalFate::kApplied) return;
          const auto entry = this->parked->List().find(stored_key);
          // A cancellation that was stored meanwhile has to be submitted, too.
          if (entry == this->parked->List().end() || entry->second != submitted) return;
          if (base::Ok(this->parked->Remove(stored_key))) {
            log::Info(log::Category::kJobs, "parked job submitted", {{"key", stored_key}});
          }
        });
  }
}

/// The scheduler needs each target; owners send it their records.
void JobService::Private::SendRecords(base::TimePoint now) {
  if (now - this->records_sent < kRecordsEvery) return;
  this->records_sent = now;
  std::vector<TargetInfo> owned;
  for (const auto& [id, info] : this->node.directory.All()) {
    if (info.owner_identity == this->node.identity) owned.push_back(info);
  }
  if (owned.empty()) return;
  if (this->leader.Active()) {
    this->leader.OnTargetRecords(owned);
    return;
  }
  const std::string leader_name = this->node.log.Status().leader;
  if (leader_name.empty()) return;
  this->node.send(leader_name, message_kind::kTargets, EncodeTargets(owned));
}

JobService::JobService(NodeContext& node) : d(std::make_unique<Private>(node)) {}
JobService::~JobService() = default;

void JobService::AddRoutes(HttpRouter& router) {
  using net::HttpMethod;
  router.Add(HttpMethod::kPost, "/v1/jobs",
             [this](const auto& exchange, const auto&) { this->d->Submit(exchange); });
  router.Add(HttpMethod::kGet, "/v1/jobs",
             [this](const auto& exchange, const auto&) { this->d->List(exchange); });
  router.Add(HttpMethod::kGet, "/v1/jobs/{}", [this](const auto& exchange, const auto& parts) {
    this->d->Get(exchange, parts.front());
  });
  router.Add(HttpMethod::kGet, "/v1/jobs/{}/wait", [this](const auto& exchange, const auto& parts) {
    this->d->Wait(exchange, parts.front());
  });
  router.Add(HttpMethod::kPost, "/v1/jobs/{}/cancel",
             [this](const auto& exchange, const auto& parts) {
               this->d->Cancel(exchange, parts.front());
             });
  router.Add(HttpMethod::kPost, "/v1/targets/{}/report",
             [this](const auto& exchange, const auto& parts) {
               this->d->Report(exchange, parts.front());
             });
}

void JobService::Tick() {
  const base::TimePoint now = this->d->node.loop.Now();
  this->d->leader.Tick();
  this->d->AnswerWaiting(now);
  this->d->SubmitParked(now);
  this->d->SendRecords(now);
  std::erase_if(this->d->reports, [&](const auto& entry) {
    if (now - entry.second.sent < kReportTime) return false;
    ReplyError(*entry.second.exchange, ErrorKind::kNoQuorum, "the leader didn't answer",
               Outcome::kUnknown);
    return true;
  });
}

void JobService::OnApplied(std::string_view command, std::string_view answer) {
  this->d->leader.OnApplied(command, answer);
}

void JobService::OnRestored() { this->d->AnswerWaiting(this->d->node.loop.Now()); }

void JobService::OnTargetReport(std::string_view peer, std::string_view payload) {
  const auto decoded = DecodeParsedReport(payload);
  if (!decoded) {
    log::Warning(log::Category::kJobs, "malformed report refused", {{"peer", peer}});
    return;
  }
  if (!this->d->leader.Active()) return;
  const auto reply = this->d->leader.OnReport(decoded->second);
  if (!reply) return;
  // The number tells the other entry VM which of its requests this answers.
  this->d->node.send(peer, message_kind::kTargetReply,
                     std::to_string(decoded->first) + "\n" + jobs::EncodeReportResponse(*reply));
}

void JobService::OnTargetReply(std::string_view payload) {
  const std::size_t line_end = payload.find('\n');
  if (line_end == std::string_view::npos) return;
  const auto number = ParseJobId(payload.substr(0, line_end));
  const auto reply = jobs::DecodeReportResponse(payload.substr(line_end + 1));
  if (!number || !base::Ok(reply)) {
    log::Warning(log::Category::kJobs, "malformed reply to a report refused");
    return;
  }
  const auto entry = this->d->reports.find(*number);
  if (entry == this->d->reports.end()) return;
  ReplyJson(*entry->second.exchange, 200, ReportReplyJson(base::ValueOf(reply)));
  this->d->reports.erase(entry);
}

void JobService::OnTargets(std::string_view payload) {
  const auto records = DecodeTargets(payload);
  if (records && this->d->leader.Active()) this->d->leader.OnTargetRecords(*records);
}

std::string JobService::Explain(std::uint64_t job) const { return this->d->leader.Explain(job); }

}  // namespace mangoroad::entry
