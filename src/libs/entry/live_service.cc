#include "entry/live_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "entry/answers.h"
#include "entry/responder.h"
#include "log/log.h"

namespace mangoroad::entry {
namespace {

constexpr std::size_t kMaxQueued = 10'000;
constexpr std::size_t kKeptRequests = 10'000;
/// Reading from a target pauses while this much waits for the caller.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
/// A connection idle for longer isn't given a request that must not run twice: it may have gone
/// silent.
constexpr base::Duration kMaxIdleNotIdempotent = std::chrono::seconds(1);
constexpr base::Duration kMaxIdle = std::chrono::seconds(30);
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Headers that concern mangoroad itself and are set anew on the way to a target.
bool IsOwnHeader(std::string_view name) {
  constexpr std::string_view kPrefix = "mangoroad-";
  return name.size() > kPrefix.size() &&
         std::ranges::equal(name.substr(0, kPrefix.size()), kPrefix, [](char a, char b) {
           return std::tolower(static_cast<unsigned char>(a)) == b;
         });
}

}  // namespace

struct LiveService::Private {
  struct Request {
    std::string id;
    std::string row;
    bool idempotent = false;
    net::HttpMethod method = net::HttpMethod::kGet;
    std::string target_path;
    net::HttpHeaders headers;
    std::string body;
    base::TimePoint arrived;
    base::TimePoint deadline;
    std::shared_ptr<Responder> responder;
    std::uint32_t attempts = 0;
    std::uint32_t retries = 0;
    // The attempt in progress.
    std::string target;
    lending::TargetIndex target_index = 0;
    net::HttpClient::CallId call = 0;
    bool answering = false;
    bool refused_by_target = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  /// What is kept of a finished request for `mangoctl explain`.
  struct Finished {
    std::string id;
    std::string row;
    std::string target;
    Outcome outcome = Outcome::kUnknown;
    std::string detail;
    base::WallMilliseconds time_ms = 0;
  };

  struct RowFigures {
    std::size_t in_progress = 0;
    std::uint64_t refused = 0;
    std::uint64_t done = 0;
  };

  NodeContext& node;
  lending::Holder& holder;
  std::deque<RequestPtr> queue;
  std::map<std::string, RequestPtr> running;
  std::map<std::string, RowFigures> rows;
  std::deque<Finished> finished;
  std::uint64_t next_request = 1;
  std::size_t next_target = 0;

  Private(NodeContext& context, lending::Holder& capacity) : node(context), holder(capacity) {}

  void OnCall(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Refuse(const RequestPtr& request, ErrorKind kind, std::string_view message, Outcome outcome);
  void Remember(const Request& request, Outcome outcome, std::string detail);
  bool Dispatch(const RequestPtr& request);
  const TargetInfo* Choose(const Request& request, bool& any_known);
  void Send(const RequestPtr& request, const TargetInfo& target, lending::Fence fence);
  void OnHeaders(const RequestPtr& request, const net::HttpAnswer& answer);
  void OnBody(const RequestPtr& request, std::string_view bytes);
  void OnEnd(const RequestPtr& request, std::optional<net::HttpFailure> failure);
  void Retry(const RequestPtr& request, ErrorKind kind, std::string_view message, Outcome outcome);
  void DrainQueue();
};

void LiveService::Private::OnCall(const net::HttpExchangePtr& exchange,
                                  const PathParameters& parts) {
  const base::TimePoint now = this->node.loop.Now();
  const std::string& row_name = parts.front();
  if (this->node.draining) {
    ReplyError(*exchange, ErrorKind::kDraining, "this entry VM is being stopped");
    return;
  }
  const table::Row* row = this->node.machine.State().Table().Current().Find(row_name);
  if (row == nullptr || row->work_class == table::WorkClass::kBatch) {
    ReplyError(*exchange, ErrorKind::kUnknownRow,
               "no service or session row '" + row_name + "' in the table");
    return;
  }
  std::int64_t deadline_ms = row->deadline_ms;
  if (const auto text = exchange->headers.Find("Mangoroad-Deadline-Ms")) {
    const auto parsed = ParseNumber(*text);
    if (!parsed || *parsed < 1 || *parsed > kMaxDeadlineMs) {
      ReplyError(*exchange, ErrorKind::kBadRequest,
                 "Mangoroad-Deadline-Ms must be 1 to 86400000, not '" + std::string(*text) + "'");
      return;
    }
    deadline_ms = *parsed;
  }
  auto request = std::make_shared<Request>();
  request->id = fmt::format("{}-{}", this->node.identity, this->next_request++);
  request->row = row_name;
  request->idempotent = row->idempotent;
  request->retries = row->retries;
  request->method = exchange->method;
  request->target_path = exchange->path;
  if (!exchange->query.empty()) request->target_path += "?" + exchange->query;
  for (const auto& [name, value] : exchange->headers.Fields()) {
    if (!net::IsHopByHopHeader(name) && !IsOwnHeader(name)) request->headers.Add(name, value);
  }
  request->body = exchange->body;
  request->arrived = now;
  request->deadline =
      now + std::chrono::milliseconds(deadline_ms == 0 ? kMaxDeadlineMs : deadline_ms);
  request->responder = std::make_shared<HttpResponder>(exchange);
  ++this->rows[row_name].in_progress;
  if (this->Dispatch(request)) return;
  if (this->queue.size() >= kMaxQueued) {
    this->Refuse(request, ErrorKind::kOverloaded, "the queue is full", Outcome::kNotRun);
    return;
  }
  this->queue.push_back(std::move(request));
}

void LiveService::Private::Remember(const Request& request, Outcome outcome, std::string detail) {
  RowFigures& figures = this->rows[request.row];
  --figures.in_progress;
  if (outcome == Outcome::kRan) {
    ++figures.done;
  } else {
    ++figures.refused;
  }
  this->running.erase(request.id);
  this->node.metrics
      .GetCounter(
          "mangoroad_requests_total", "Live requests by outcome",
          {{"row", request.row}, {"outcome", std::string(base::NameOf(kOutcomeNames, outcome))}})
      .Add();
  this->node.metrics
      .GetHistogram("mangoroad_request_seconds", "Time from arrival to the end of the answer",
                    {{"row", request.row}})
      .Record(this->node.loop.Now() - request.arrived);
  this->finished.push_back({request.id, request.row, request.target, outcome, std::move(detail),
                            this->node.loop.WallNow()});
  if (this->finished.size() > kKeptRequests) this->finished.pop_front();
}

void LiveService::Private::Refuse(const RequestPtr& request, ErrorKind kind,
                                  std::string_view message, Outcome outcome) {
  request->responder->Refuse(kind, message, outcome);
  this->Remember(*request, outcome, std::string(message));
}

/// The next target in turn that serves the row and has a free slot.
const TargetInfo* LiveService::Private::Choose(const Request& request, bool& any_known) {
  const base::TimePoint now = this->node.loop.Now();
  const auto& targets = this->node.directory.All();
  if (targets.empty()) return nullptr;
  auto candidate =
      std::next(targets.begin(), static_cast<std::ptrdiff_t>(this->next_target++ % targets.size()));
  for (std::size_t tried = 0; tried < targets.size(); ++tried, ++candidate) {
    if (candidate == targets.end()) candidate = targets.begin();
    const TargetInfo& info = candidate->second;
    const bool serves =
        info.kinds.empty() || std::ranges::find(info.kinds, request.row) != info.kinds.end();
    if (!serves || info.leaving || this->node.machine.State().Targets().IsDrained(info.id)) {
      continue;
    }
    any_known = true;
    const auto index = this->holder.Find(info.id);
    if (index && this->holder.Free(now, *index).slots > 0) return &info;
  }
  return nullptr;
}

/// True when the request was sent or refused; false when it has to wait.
bool LiveService::Private::Dispatch(const RequestPtr& request) {
  const base::TimePoint now = this->node.loop.Now();
  if (now >= request->deadline) {
    this->Refuse(request, ErrorKind::kDeadline, "no slot was free before the deadline",
                 Outcome::kNotRun);
    return true;
  }
  bool any_known = false;
  const TargetInfo* target = this->Choose(*request, any_known);
  if (target == nullptr) {
    if (any_known) return false;
    this->Refuse(request, ErrorKind::kNoTarget, "no target serves row '" + request->row + "'",
                 Outcome::kNotRun);
    return true;
  }
  const auto index = this->holder.Find(target->id);
  const auto fence = this->holder.Start(now, *index);
  if (!fence) return false;
  request->target_index = *index;
  this->Send(request, *target, *fence);
  return true;
}

void LiveService::Private::Send(const RequestPtr& request, const TargetInfo& target,
                                lending::Fence fence) {
  const base::TimePoint now = this->node.loop.Now();
  ++request->attempts;
  request->target = target.id;
  request->refused_by_target = false;
  net::HttpClientRequest call;
  call.address = *net::ParseAddress(target.address);
  call.method = request->method;
  call.target = request->target_path;
  call.headers = request->headers;
  call.headers.Add("Mangoroad-Row", request->row);
  call.headers.Add("Mangoroad-Request-Id", request->id);
  call.headers.Add("Mangoroad-Fence", fmt::format("{}.{}", fence.incarnation, fence.epoch));
  call.headers.Add("Mangoroad-Holder", this->node.identity);
  const base::Duration left = request->deadline - now;
  call.headers.Add(
      "Mangoroad-Deadline-Ms",
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  call.body = request->body;
  call.timeout = left;
  call.max_idle = request->idempotent ? kMaxIdle : kMaxIdleNotIdempotent;
  this->running[request->id] = request;
  request->call = this->node.client.Send(
      std::move(call),
      {.on_headers = [this, request](const auto& answer) { this->OnHeaders(request, answer); },
       .on_body = [this, request](std::string_view bytes) { this->OnBody(request, bytes); },
       .on_end = [this, request](auto failure) { this->OnEnd(request, failure); }});
}

void LiveService::Private::OnHeaders(const RequestPtr& request, const net::HttpAnswer& answer) {
  request->refused_by_target =
      answer.headers.Find(kOutcomeHeader) == base::NameOf(kOutcomeNames, Outcome::kNotRun);
  if (request->refused_by_target) return;
  request->answering = true;
  request->responder->OnClosed([this, request] { this->node.client.Cancel(request->call); });
  request->responder->OnDrained([this, request] { this->node.client.Pause(request->call, false); });
  request->responder->Start(answer.status, answer.headers);
}

void LiveService::Private::OnBody(const RequestPtr& request, std::string_view bytes) {
  if (!request->answering) return;
  request->responder->Body(bytes);
  if (request->responder->UnsentBytes() > kMaxUnsentBytes) {
    this->node.client.Pause(request->call, true);
  }
}

void LiveService::Private::OnEnd(const RequestPtr& request,
                                 std::optional<net::HttpFailure> failure) {
  const bool may_still_run = failure && *failure != net::HttpFailure::kNotConnected;
  if (may_still_run) {
    // The target stops the request at its deadline; until then its slot counts as taken.
    this->holder.Abandon(request->target_index, request->deadline);
  } else {
    this->holder.End(request->target_index);
  }
  if (request->answering) {
    if (failure) {
      request->responder->Abort();
      this->Remember(
          *request, Outcome::kUnknown,
          "the answer was cut off: " + std::string(base::NameOf(net::kHttpFailureNames, *failure)));
    } else {
      request->responder->End();
      this->Remember(*request, Outcome::kRan, "answered");
    }
  } else if (request->refused_by_target) {
    this->Retry(request, ErrorKind::kOverloaded, "the target refused the request",
                Outcome::kNotRun);
  } else if (failure == net::HttpFailure::kNotConnected) {
    this->Retry(request, ErrorKind::kTargetFailed, "the target can't be reached", Outcome::kNotRun);
  } else if (failure == net::HttpFailure::kTimeout) {
    this->Refuse(request, ErrorKind::kDeadline, "no answer before the deadline", Outcome::kUnknown);
  } else {
    this->Retry(request, ErrorKind::kTargetFailed, "the target didn't answer", Outcome::kUnknown);
  }
  this->DrainQueue();
}

/// Sends the request to another target when that can't run it twice, else answers it.
void LiveService::Private::Retry(const RequestPtr& request, ErrorKind kind,
                                 std::string_view message, Outcome outcome) {
  const bool safe = outcome == Outcome::kNotRun || request->idempotent;
  if (!safe || request->attempts > request->retries || this->node.loop.Now() >= request->deadline) {
    this->Refuse(request, kind, message, outcome);
    return;
  }
  this->queue.push_front(request);
}

void LiveService::Private::DrainQueue() {
  while (!this->queue.empty()) {
    const RequestPtr request = this->queue.front();
    this->queue.pop_front();
    if (this->Dispatch(request)) continue;
    this->queue.push_front(request);
    return;
  }
}

LiveService::LiveService(NodeContext& node, lending::Holder& holder)
    : d(std::make_unique<Private>(node, holder)) {}
LiveService::~LiveService() = default;

void LiveService::AddRoutes(HttpRouter& router) {
  router.Add(std::nullopt, "/v1/call/{}/{...}",
             [this](const auto& exchange, const auto& parts) { this->d->OnCall(exchange, parts); });
}

void LiveService::Tick() { this->d->DrainQueue(); }

std::size_t LiveService::InProgress() const {
  return this->d->queue.size() + this->d->running.size();
}

std::vector<std::string> LiveService::RowsInUse() const {
  std::vector<std::string> used;
  for (const auto& [row, figures] : this->d->rows) {
    if (figures.in_progress > 0) used.push_back(row);
  }
  return used;
}

std::string LiveService::RowStatus() const {
  nlohmann::json items = nlohmann::json::array();
  for (const table::Row& row : this->d->node.machine.State().Table().Current().Rows()) {
    const auto figures = this->d->rows.find(row.row);
    const auto known = figures == this->d->rows.end() ? Private::RowFigures{} : figures->second;
    const auto queued = std::ranges::count_if(
        this->d->queue, [&](const auto& request) { return request->row == row.row; });
    const auto p99 =
        this->d->node.metrics
            .GetHistogram("mangoroad_request_seconds", "Time from arrival to the end of the answer",
                          {{"row", row.row}})
            .Quantile(0.99);
    items.push_back({{"row", row.row},
                     {"class", base::NameOf(table::kWorkClassNames, row.work_class)},
                     {"in_progress", known.in_progress},
                     {"queued", queued},
                     {"rate", known.done},
                     {"p99_ms", static_cast<double>(p99.count()) / 1000},
                     {"refused_rate", known.refused},
                     {"running_tasks", 0}});
  }
  return items.dump();
}

std::string LiveService::Explain(const std::string& request) const {
  const auto entry = std::ranges::find(this->d->finished, request, &Private::Finished::id);
  if (entry == this->d->finished.end()) return {};
  const std::string_view outcome = base::NameOf(kOutcomeNames, entry->outcome);
  const nlohmann::json body{
      {"id", entry->id},
      {"kind", "request"},
      {"row", entry->row},
      {"state", outcome},
      {"summary", entry->detail},
      {"steps", nlohmann::json::array(
                    {{{"time_ms", entry->time_ms}, {"step", outcome}, {"detail", entry->detail}}})},
      {"candidates",
       nlohmann::json::array({{{"target", entry->target},
                               {"failure_domain", this->d->node.settings.failure_domain},
                               {"verdict", "chosen"},
                               {"detail", ""}}})}};
  return body.dump();
}

}  // namespace mangoroad::entry
