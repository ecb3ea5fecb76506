#include "target_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "entry_client.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "record.h"
#include "target_protocol.h"
#include "task_runner.h"

namespace mangoroad::standin {
namespace {

using nlohmann::json;

constexpr base::Duration kTickEvery = std::chrono::milliseconds(10);
constexpr base::Duration kEntryTimeout = std::chrono::milliseconds(450);
constexpr base::Duration kLeaveRetryEvery = std::chrono::milliseconds(500);
constexpr base::Duration kDefaultDeadline = std::chrono::seconds(30);
// The last answers are still being written when their requests have ended.
constexpr base::Duration kFlushTime = std::chrono::milliseconds(200);
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr std::string_view kCallPrefix = "/v1/call/";
constexpr std::string_view kTasksPath = "/v1/tasks";

template <auto kFree>
struct Freer {
  template <typename T>
  void operator()(T* object) const {
    kFree(object);
  }
};
using EventBase = std::unique_ptr<event_base, Freer<event_base_free>>;
using Event = std::unique_ptr<event, Freer<event_free>>;
using Http = std::unique_ptr<evhttp, Freer<evhttp_free>>;
using Buffer = std::unique_ptr<evbuffer, Freer<evbuffer_free>>;

base::TimePoint Now() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(since));
}

timeval ToTimeval(base::Duration duration) {
  return {static_cast<time_t>(duration.count() / 1'000'000),
          static_cast<suseconds_t>(duration.count() % 1'000'000)};
}

std::string Header(evhttp_request* request, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string TakeBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

void SetHeader(evhttp_request* request, const char* name, const std::string& value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

void Send(evhttp_request* request, int status, std::string_view outcome, std::string_view body) {
  if (!outcome.empty()) SetHeader(request, "Mangoroad-Outcome", std::string(outcome));
  const Buffer buffer(evbuffer_new());
  evbuffer_add(buffer.get(), body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, buffer.get());
}

void SendError(evhttp_request* request, int status, std::string_view kind, std::string_view message,
               std::string_view outcome) {
  Send(request, status, outcome,
       json{{"error", kind}, {"message", message}, {"outcome", outcome}}.dump());
}

// One request in progress; it holds a slot until it ends.
struct ActiveRequest {
  TargetServer* server = nullptr;
  evhttp_request* request = nullptr;
  Event timer;
  base::TimePoint started;
  std::string id;
  std::string path;
  std::string row;
  std::string holder;
  std::string fence;
  std::string key;
  std::string body;
  FailureMode mode = FailureMode::kNone;
  bool is_late = false;
  std::function<void()> on_end;
};

struct RowWindow {
  metrics::Histogram latency;
};

}  // namespace

struct TargetServer::Private {
  explicit Private(Options given)
      : options(std::move(given)),
        random(options.seed),
        protocol(options.identity, options.entries.size(),
                 std::hash<std::string>()(options.identity.id)),
        runner(RunnerSettings(options), [this](const std::string& line) { record.Write(line); }),
        mode(options.failure),
        loop(event_base_new()),
        http(evhttp_new(loop.get())) {
    for (const settings::Endpoint& entry : options.entries) {
      clients.push_back(std::make_unique<EntryClient>(loop.get(), entry, kEntryTimeout));
      report_clients.push_back(std::make_unique<EntryClient>(loop.get(), entry, kEntryTimeout));
    }
  }

  ~Private() {
    // A request whose connection is gone belongs to this program; the others go with the server.
    for (evhttp_request* request : this->hung) {
      if (evhttp_request_get_connection(request) == nullptr) evhttp_request_free(request);
    }
    // Freeing the server closes its connections, whose callbacks use the members declared after it.
    this->http.reset();
  }

  static TaskRunnerSettings RunnerSettings(const Options& options) {
    TaskRunnerSettings result;
    result.target = options.identity.id;
    result.incarnation = options.identity.incarnation;
    result.processors = options.identity.processors;
    result.memory_mib = options.identity.memory_mib;
    result.accelerators = options.identity.accelerators;
    result.run_time = options.task_time;
    result.usage_lag = options.usage_lag;
    result.seed = options.seed + 1;
    return result;
  }

  int Run();
  void OnRequest(evhttp_request* request);
  void OnCall(evhttp_request* request, const std::string& path);
  void OnTasks(evhttp_request* request, std::string_view path);
  void OnFailureMode(evhttp_request* request);
  bool TrackConnection(evhttp_request* request, const std::string& holder);
  void Begin(std::unique_ptr<ActiveRequest> active, base::Duration deadline);
  void Finish(ActiveRequest* active);
  std::string_view Answer(const ActiveRequest& active);
  void WriteRecord(const ActiveRequest& active, std::string_view event, std::string_view result);
  void OnTick();
  void Announce(base::TimePoint now);
  void Report(base::TimePoint now);
  json TakeServices(base::TimePoint now);
  void BeginLeaving();
  void ContinueLeaving(base::TimePoint now);
  std::string PathOf(std::string_view action) const {
    return "/v1/targets/" + this->options.identity.id + "/" + std::string(action);
  }

  Options options;
  base::Random random;
  Record record;
  TargetProtocol protocol;
  TaskRunner runner;
  FailureMode mode;
  EventBase loop;
  Http http;
  std::vector<std::unique_ptr<EntryClient>> clients;
  std::vector<std::unique_ptr<EntryClient>> report_clients;
  std::vector<Event> events;
  std::list<std::unique_ptr<ActiveRequest>> active_requests;
  std::vector<evhttp_request*> hung;
  std::map<evhttp_connection*, std::string> connections;
  std::map<std::string, RowWindow> rows;
  base::TimePoint window_start = Now();
  base::TimePoint next_report{};
  bool is_report_waiting = false;
  std::optional<base::TimePoint> leave_until;
  base::TimePoint next_leave{};
  bool is_leave_waiting = false;
  bool has_left = false;
  bool is_ending = false;
  int exit_code = 0;
};

int TargetServer::Private::Run() {
  const Identity& identity = this->options.identity;
  if (!this->options.record.empty() && !this->record.Open(this->options.record)) {
    log::Error(log::Category::kTool, "can't open record", {{"file", this->options.record}});
    return 4;
  }
  evhttp_set_allowed_methods(this->http.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                   EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                                                   EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  evhttp_set_max_body_size(this->http.get(), kMaxBodyBytes);
  evhttp_set_gencb(
      this->http.get(),
      [](evhttp_request* request, void* self) { static_cast<Private*>(self)->OnRequest(request); },
      this);
  if (evhttp_bind_socket(this->http.get(), this->options.listen.ip.c_str(),
                         this->options.listen.port) != 0) {
    log::Error(log::Category::kTool, "can't listen", {{"address", identity.address}});
    return 3;
  }
  const auto add_event = [this](evutil_socket_t source, std::int16_t what,
                                event_callback_fn callback, const timeval* interval) {
    this->events.emplace_back(event_new(this->loop.get(), source, what, callback, this));
    event_add(this->events.back().get(), interval);
  };
  const timeval tick = ToTimeval(kTickEvery);
  add_event(
      -1, EV_PERSIST,
      [](evutil_socket_t, std::int16_t, void* self) { static_cast<Private*>(self)->OnTick(); },
      &tick);
  for (const int number : {SIGTERM, SIGINT}) {
    add_event(
        number, EV_SIGNAL | EV_PERSIST,
        [](evutil_socket_t, std::int16_t, void* self) {
          static_cast<Private*>(self)->BeginLeaving();
        },
        nullptr);
  }
  log::Info(
      log::Category::kTool, "target started",
      {{"id", identity.id}, {"address", identity.address}, {"incarnation", identity.incarnation}});
  event_base_dispatch(this->loop.get());
  return this->exit_code;
}

void TargetServer::Private::OnRequest(evhttp_request* request) {
  const std::string path = evhttp_request_get_uri(request);
  const bool is_post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  if (path.starts_with(kCallPrefix)) {
    this->OnCall(request, path);
  } else if (path.starts_with(kTasksPath) && is_post) {
    this->OnTasks(request, std::string_view(path).substr(kTasksPath.size()));
  } else if (path == "/standin/failure" && is_post) {
    this->OnFailureMode(request);
  } else if (path == "/healthz") {
    Send(request, 200, "", "ok\n");
  } else {
    SendError(request, 404, "not-found", path, "not-run");
  }
}

void TargetServer::Private::OnFailureMode(evhttp_request* request) {
  const std::string body = TakeBody(request);
  const auto wanted = base::ValueOfName(kFailureModeNames, body);
  if (!wanted) return SendError(request, 400, "bad-request", "unknown failure mode", "not-run");
  this->mode = *wanted;
  log::Info(log::Category::kTool, "failure mode set", {{"mode", body}});
  Send(request, 200, "", "");
}

bool TargetServer::Private::TrackConnection(evhttp_request* request, const std::string& holder) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (this->connections.contains(connection)) return true;
  if (!this->protocol.OpenConnection(holder)) return false;
  this->connections.emplace(connection, holder);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* self) {
        auto* d = static_cast<Private*>(self);
        const auto found = d->connections.find(closed);
        if (found == d->connections.end()) return;
        d->protocol.CloseConnection(found->second);
        d->connections.erase(found);
      },
      this);
  return true;
}

void TargetServer::Private::OnCall(evhttp_request* request, const std::string& path) {
  auto active = std::make_unique<ActiveRequest>();
  active->request = request;
  active->path = path;
  active->row =
      path.substr(kCallPrefix.size(), path.find('/', kCallPrefix.size()) - kCallPrefix.size());
  active->id = Header(request, "Mangoroad-Request-Id");
  active->holder = Header(request, "Mangoroad-Holder");
  active->fence = Header(request, "Mangoroad-Fence");
  active->key = Header(request, "Idempotency-Key");
  active->mode = this->mode;
  base::Duration deadline = kDefaultDeadline;
  if (const std::string text = Header(request, "Mangoroad-Deadline-Ms"); !text.empty()) {
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds > 86'400'000) {
      return SendError(request, 400, "bad-request", "Mangoroad-Deadline-Ms", "not-run");
    }
    deadline = std::chrono::milliseconds(milliseconds);
  }
  if (deadline.count() <= 0) {
    return SendError(request, 503, "deadline", "the deadline has passed", "not-run");
  }
  if (this->mode == FailureMode::kRefuse) {
    return SendError(request, 503, "refused", "the target refuses all work", "not-run");
  }
  if (!active->holder.empty() && !this->TrackConnection(request, active->holder)) {
    SetHeader(request, "Connection", "close");
    return SendError(request, 503, "no-connection", "all connections are in use", "not-run");
  }
  if (const auto refusal =
          this->protocol.StartRequest(active->holder, active->fence, active->row)) {
    return SendError(request, refusal->status, refusal->kind, refusal->message, "not-run");
  }
  active->body = TakeBody(request);
  this->Begin(std::move(active), deadline);
}

void TargetServer::Private::Begin(std::unique_ptr<ActiveRequest> active, base::Duration deadline) {
  this->WriteRecord(*active, "request-start", "");
  double factor = 1.0 + this->options.interference * this->runner.ReservedShare();
  if (active->mode == FailureMode::kSlow) factor *= this->options.slow_factor;
  const auto drawn = static_cast<double>(this->options.service_time.Draw(this->random).count());
  base::Duration service(std::llround(drawn * factor));
  if (active->mode == FailureMode::kFailAll) service = base::Duration(0);
  active->is_late = service >= deadline || active->mode == FailureMode::kHang;
  active->started = Now();
  ActiveRequest* raw = active.get();
  this->active_requests.push_back(std::move(active));
  raw->on_end = [this, raw] { this->Finish(raw); };
  raw->timer.reset(event_new(
      this->loop.get(), -1, 0,
      [](evutil_socket_t, std::int16_t, void* self) {
        static_cast<ActiveRequest*>(self)->on_end();
      },
      raw));
  const timeval wait = ToTimeval(raw->is_late ? deadline : service);
  event_add(raw->timer.get(), &wait);
}

std::string_view TargetServer::Private::Answer(const ActiveRequest& active) {
  evhttp_request* request = active.request;
  if (active.mode == FailureMode::kHang) {
    this->hung.push_back(request);
    return "hung";
  }
  if (active.is_late) {
    SendError(request, 504, "deadline", "stopped at the deadline", "unknown");
    return "deadline";
  }
  if (active.mode == FailureMode::kFailAll) {
    SendError(request, 500, "failed", "the target fails all work", "ran");
    return "failed";
  }
  std::string body = json{{"target", this->options.identity.id},
                          {"request_id", active.id},
                          {"path", active.path},
                          {"length", active.body.size()}}
                         .dump() +
                     "\n" + active.body;
  if (active.mode == FailureMode::kTruncate) {
    SetHeader(request, "Content-Length", std::to_string(body.size()));
    SetHeader(request, "Connection", "close");
    body.resize(body.size() / 2);
  }
  Send(request, 200, "ran", body);
  return active.mode == FailureMode::kTruncate ? "truncated" : "answered";
}

void TargetServer::Private::Finish(ActiveRequest* active) {
  const std::string_view result = this->Answer(*active);
  this->WriteRecord(*active, "request-end", result);
  this->protocol.EndRequest(active->holder);
  this->rows[active->row].latency.Record(Now() - active->started);
  // The pointer is in the list until here, so the search always succeeds.
  const auto self = std::ranges::find(this->active_requests, active,
                                      [](const auto& entry) { return entry.get(); });
  this->active_requests.erase(self);
}

void TargetServer::Private::WriteRecord(const ActiveRequest& active, std::string_view event,
                                        std::string_view result) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  json line{{"event", event},
            {"time_us", std::chrono::duration_cast<base::Duration>(wall).count()},
            {"target", this->options.identity.id},
            {"incarnation", this->options.identity.incarnation},
            {"request_id", active.id},
            {"path", active.path},
            {"holder", active.holder},
            {"fence", active.fence},
            {"key", active.key}};
  if (!result.empty()) line["result"] = result;
  this->record.Write(line.dump(-1, ' ', false, json::error_handler_t::replace));
}

void TargetServer::Private::OnTasks(evhttp_request* request, std::string_view path) {
  const std::string body = TakeBody(request);
  const std::size_t slash = path.rfind('/');
  TaskAnswer answer{404, R"({"error":"not-found","message":"","outcome":"not-run"})"};
  if (path.empty() && this->mode == FailureMode::kRefuse) {
    answer = {503, R"({"error":"refused","message":"refuses all work","outcome":"not-run"})"};
  } else if (path.empty()) {
    answer = this->runner.Start(Now(), body);
  } else if (slash != 0 && slash != std::string_view::npos) {
    answer = this->runner.Act(Now(), path.substr(1, slash - 1), path.substr(slash + 1), body);
  }
  Send(request, answer.status, answer.status == 200 ? "ran" : "not-run", answer.body);
}

void TargetServer::Private::OnTick() {
  const base::TimePoint now = Now();
  this->runner.SetFailAll(this->mode == FailureMode::kFailAll);
  const double used = this->protocol.InProgress() /
                      std::max(1.0, static_cast<double>(this->options.identity.slots));
  this->runner.SetSlowdown(
      now, (1.0 + this->options.interference * used) *
               (this->mode == FailureMode::kSlow ? this->options.slow_factor : 1.0));
  this->Announce(now);
  this->Report(now);
  if (this->leave_until && !this->is_ending) this->ContinueLeaving(now);
}

void TargetServer::Private::Announce(base::TimePoint now) {
  const auto announcement = this->protocol.Tick(now);
  if (!announcement) return;
  const std::uint64_t epoch = announcement->epoch;
  this->clients[announcement->entry]->Post(
      this->PathOf("announce"), announcement->body,
      [this, epoch](int status, const std::string& body) {
        const bool was_owned = this->protocol.IsOwned();
        this->protocol.OnReply(Now(), epoch, status, body);
        if (was_owned == this->protocol.IsOwned()) return;
        log::Info(log::Category::kTool, was_owned ? "ownership lost" : "owned",
                  {{"fence", this->protocol.Fence()},
                   {"entry", this->options.entries[this->protocol.Entry()].Text()},
                   {"status", status}});
      });
}

json TargetServer::Private::TakeServices(base::TimePoint now) {
  json services = json::array();
  const double seconds =
      std::max(0.001, std::chrono::duration<double>(now - this->window_start).count());
  for (const auto& [row, window] : this->rows) {
    services.push_back(
        {{"row", row},
         {"p99_ms", static_cast<double>(window.latency.Quantile(0.99).count()) / 1000.0},
         {"rate", static_cast<double>(window.latency.Count()) / seconds}});
  }
  this->rows.clear();
  this->window_start = now;
  return services;
}

void TargetServer::Private::Report(base::TimePoint now) {
  if (this->is_report_waiting || now < this->next_report) return;
  this->is_report_waiting = true;
  this->next_report = now + this->options.report_every;
  const std::string body = this->runner.MakeReport(now, this->TakeServices(now));
  this->report_clients[this->protocol.Entry()]->Post(this->PathOf("report"), body,
                                                     [this](int status, const std::string& reply) {
                                                       this->is_report_waiting = false;
                                                       if (status != 200) return;
                                                       this->runner.OnReportReply(Now(), reply);
                                                     });
}

void TargetServer::Private::BeginLeaving() {
  if (this->leave_until) return;
  const base::TimePoint now = Now();
  log::Info(log::Category::kTool, "leaving", {{"in_progress", this->protocol.InProgress()}});
  this->leave_until = now + this->options.leave_time;
  this->protocol.Leave(now);
  this->runner.Leave(now);
}

void TargetServer::Private::ContinueLeaving(base::TimePoint now) {
  const bool is_done =
      this->has_left && this->protocol.InProgress() == 0 && this->runner.Unacknowledged() == 0;
  if (is_done || now >= this->leave_until.value_or(now)) {
    log::Info(log::Category::kTool, "target ended",
              {{"left", this->has_left},
               {"in_progress", this->protocol.InProgress()},
               {"unacknowledged_tasks", this->runner.Unacknowledged()}});
    this->exit_code = is_done ? 0 : 1;
    this->is_ending = true;
    const timeval flush = ToTimeval(kFlushTime);
    event_base_loopexit(this->loop.get(), &flush);
    return;
  }
  if (this->has_left || this->is_leave_waiting || now < this->next_leave) return;
  this->is_leave_waiting = true;
  this->next_leave = now + kLeaveRetryEvery;
  this->clients[this->protocol.Entry()]->Post(this->PathOf("leave"), "{}",
                                              [this](int status, const std::string&) {
                                                this->is_leave_waiting = false;
                                                if (status != 200 || this->has_left) return;
                                                this->has_left = true;
                                                this->protocol.OnLeft();
                                              });
}

TargetServer::TargetServer(Options options) : d(std::make_unique<Private>(std::move(options))) {}
TargetServer::~TargetServer() = default;
int TargetServer::Run() { return this->d->Run(); }

}  // namespace mangoroad::standin
