#include "worker.h"

#include <algorithm>
#include <chrono>

namespace lab2 {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kServiceName = "svc1";
constexpr milliseconds kTick{5};
constexpr std::int64_t kForeverMs = 1'000'000'000;
/// Longer than the system waits for any call.
constexpr milliseconds kHang{4'000};

/// The text of a task is "ms=N", for how long it works, or kLasts.
std::int64_t WorkOf(const std::string& spec) {
  if (spec == kLasts) return kForeverMs;
  return spec.starts_with("ms=") ? std::atoll(spec.c_str() + 3) : 1'000;
}

std::string ToText(const Run& run) {
  return "run " + std::to_string(run.number) + " on " + run.worker + " (incarnation " +
         std::to_string(run.incarnation) + ") from " + std::to_string(run.began) + " to " +
         std::to_string(run.ended) + " ms, " + (run.how.empty() ? "running" : run.how);
}

}  // namespace

std::vector<std::string> FindOverlaps(std::vector<Run> runs, std::int64_t now) {
  std::vector<std::string> found;
  for (Run& run : runs) run.ended = run.ended < 0 ? now : run.ended;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      const std::int64_t common =
          std::min(runs[i].ended, runs[j].ended) - std::max(runs[i].began, runs[j].began);
      if (runs[i].task != runs[j].task || common <= 0) continue;
      found.push_back("TWICE: " + runs[i].task + ": " + std::to_string(common) +
                      " ms at the same time: " + ToText(runs[i]) + "; " + ToText(runs[j]));
    }
  }
  return found;
}

Worker::Worker(Record& case_record, WorkerSettings worker_settings)
    : record(case_record), settings(std::move(worker_settings)) {
  this->server = std::make_unique<Server>(
      this->settings.address, [this](const Request& request) { return this->Handle(request); });
  this->ticker = std::thread([this] {
    Lock lock(this->mutex);
    while (!this->is_stopping) {
      this->Tick();
      this->changed.wait_for(lock, kTick, [this] { return this->is_stopping; });
    }
  });
}

Worker::~Worker() {
  {
    const Lock lock(this->mutex);
    this->is_stopping = true;
  }
  this->changed.notify_all();
  this->server.reset();
  this->ticker.join();
  for (std::thread& announcer : this->announcers) announcer.join();
}

void Worker::Note(const std::string& text) {
  this->record.Write("worker " + this->settings.id + "#" + std::to_string(this->incarnation) +
                     ": " + text);
}

void Worker::SetHook(Hook new_hook) {
  const Lock lock(this->mutex);
  this->hook = std::move(new_hook);
}

std::vector<Run> Worker::Runs() {
  const Lock lock(this->mutex);
  return this->runs;
}

bool Worker::IsAcknowledged() {
  const Lock lock(this->mutex);
  return this->is_acknowledged;
}

void Worker::Up() {
  const Lock lock(this->mutex);
  ++this->incarnation;
  this->is_up = true;
  this->is_draining = this->is_acknowledged = this->is_drain_acknowledged = false;
  this->born = UnixMs();
  this->birth = this->record.Now();
  this->sequence = this->fence = this->lease_until = this->last_end = 0;
  this->closed.clear();
  this->ends.clear();
  this->beat_address.clear();
  this->Note("starts, born " + std::to_string(this->born));
  this->announcers.emplace_back([this, mine = this->incarnation] { this->Announce(mine); });
  this->changed.notify_all();
}

void Worker::EndAll(const std::string& how) {
  this->Tick();
  while (!this->running.empty()) this->Finish(this->running.begin()->first, how, this->Clock());
}

void Worker::Leave(int drain_ms) {
  Lock lock(this->mutex);
  this->is_draining = true;
  this->Note("drains");
  this->changed.notify_all();
  this->changed.wait(lock, [this] { return this->is_drain_acknowledged; });
  this->Note("drain acknowledged");
  lock.unlock();
  SleepMs(drain_ms);
  lock.lock();
  this->Beat(lock, "DELETE");
  this->EndAll("left");
  this->is_up = false;
  this->Note("has left");
  this->changed.notify_all();
}

Response Worker::Reply(int status, const std::string& reason) const {
  json body{{"time-ms", this->Clock()}};
  if (!reason.empty()) body["reason"] = reason;
  return {status, {}, body.dump()};
}

void Worker::Extend(std::int64_t deadline) {
  this->lease_until = std::max(this->lease_until, std::min(deadline, this->Clock() + kHoldMaxMs));
}

void Worker::Finish(std::string task, const std::string& how, std::int64_t at) {
  const auto found = this->running.find(task);
  const Running run = found->second;
  this->running.erase(found);
  Run& log = this->runs[run.log];
  log.ended = this->birth + at;
  log.how = how;
  this->closed[task] = std::max(this->closed[task], run.number);
  this->ends.push_back({++this->last_end, run.log});
  this->Note("run " + std::to_string(run.number) + " of " + task + " ends, " + how);
  this->changed.notify_all();
}

void Worker::Tick() {
  if (!this->is_up) return;
  const std::int64_t now = this->Clock();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : this->running) {
    if (run.ends_at <= now) {
      over.emplace_back(task, "done");
    } else if (run.stops_at && *run.stops_at <= now) {
      over.emplace_back(task, "stopped");
    } else if (this->lease_until <= now) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) this->Finish(task, how, now);
}

Response Worker::Handle(const Request& request) {
  Lock lock(this->mutex);
  const json call = json::parse(request.body, nullptr, false);
  if (!this->is_up || !call.is_object()) {
    // A process that is gone accepts no connection.
    return {};
  }
  if (this->hook && this->hook(request, call) == Fate::kCarryOutLate) {
    this->Note(request.path + " " + call.value("task-id", "") + " run " +
               std::to_string(call.value("run-id", 0)) + " gets no answer for now");
    this->changed.wait_for(lock, kHang, [this] { return this->is_stopping; });
    return {};
  }
  const int mine = this->incarnation;
  Response response = this->Carry(lock, request, call);
  if (!this->is_up || mine != this->incarnation) return {};
  return response;
}

Response Worker::CarryOut(const Request& request) {
  Lock lock(this->mutex);
  if (!this->is_up) return {};
  this->Note("carries out an earlier call late: " + request.body);
  // Nobody waits for the answer.
  json call = json::parse(request.body, nullptr, false);
  call.erase("wait-ms");
  Response response = this->Carry(lock, request, call);
  this->Note("its result: " + std::to_string(response.status) + " " + response.body);
  return response;
}

Response Worker::Carry(Lock& lock, const Request& request, const json& call) {
  this->Tick();
  const auto named = request.headers.find("x-expect-instance");
  if (named != request.headers.end() && named->second != this->settings.id) return {421, {}, "{}"};
  const std::int64_t call_fence = call.value("fence", std::int64_t{0});
  if (request.path != "/api/hold") {
    this->Note(request.path + " " + call.value("task-id", "") + " run " +
               std::to_string(call.value("run-id", 0)) + ", fence " + std::to_string(call_fence));
  }
  if (call_fence < this->fence) return this->Reply(409, "fence");
  this->fence = call_fence;
  if (request.path == "/api/run-start") return this->StartRun(call);
  if (request.path == "/api/run-stop") return this->StopRun(call);
  if (request.path == "/api/hold") return this->Hold(lock, call);
  if (request.path == "/api/pace") return this->Reply(200);
  return this->Reply(404);
}

Response Worker::StartRun(const json& call) {
  const std::string task = call.value("task-id", "");
  const int number = call.value("run-id", 0);
  const std::int64_t deadline = call.value("deadline-ms", std::int64_t{0});
  if (deadline <= this->Clock()) return this->Reply(409, "late");
  this->Extend(deadline);
  const auto here = this->running.find(task);
  if (here != this->running.end() && here->second.number == number) return this->Reply(200);
  const auto ended = this->closed.find(task);
  if (here != this->running.end() || (ended != this->closed.end() && number <= ended->second)) {
    return this->Reply(409, "old");
  }
  const std::int64_t work = WorkOf(call.value("spec", ""));
  this->running[task] = {this->runs.size(), number, this->Clock() + work, work, std::nullopt};
  this->runs.push_back({.task = task,
                        .number = number,
                        .worker = this->settings.id,
                        .incarnation = this->incarnation,
                        .began = this->record.Now(),
                        .how = {}});
  this->Note("run " + std::to_string(number) + " of " + task + " begins");
  return this->Reply(200);
}

Response Worker::StopRun(const json& call) {
  const std::string task = call.value("task-id", "");
  const int number = call.value("run-id", 0);
  const auto found = this->running.find(task);
  if (found == this->running.end() || found->second.number != number) {
    this->closed[task] = std::max(this->closed[task], number);
  } else if (!found->second.stops_at) {
    found->second.stops_at = this->Clock() + kStopMs;
  }
  return this->Reply(200);
}

Response Worker::Hold(Lock& lock, const json& call) {
  const std::int64_t reached = call.value("ack-seq", std::int64_t{0});
  const std::size_t forgotten =
      std::erase_if(this->ends, [&](const End& end) { return end.number <= reached; });
  if (forgotten > 0) this->Note("ends up to " + std::to_string(reached) + " are taken note of");
  if (call.contains("deadline-ms")) this->Extend(call["deadline-ms"].get<std::int64_t>());
  const int mine = this->incarnation;
  this->changed.wait_for(lock, milliseconds(call.value("wait-ms", std::int64_t{0})), [&] {
    return this->is_stopping || !this->is_up || mine != this->incarnation || !this->ends.empty();
  });
  json answer{{"time-ms", this->Clock()},
              {"born", this->born},
              {"running", json::array()},
              {"finished", json::array()}};
  for (const auto& [task, run] : this->running) {
    const std::int64_t done = 100 - 100 * (run.ends_at - this->Clock()) / run.work_ms;
    const std::int64_t percent = run.work_ms == kForeverMs ? 100 : done;
    answer["running"].push_back(
        {task, run.number, "", std::clamp<std::int64_t>(percent, 0, 100), 1'000});
  }
  for (const End& end : this->ends) {
    const Run& log = this->runs[end.log];
    answer["finished"].push_back({end.number, log.task, log.number, log.how, ""});
  }
  return {200, {}, answer.dump()};
}

json Worker::Describe() const {
  return {{"service", kServiceName},
          {"addr", this->settings.address.Text()},
          {"zone", this->settings.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", this->is_draining ? "draining" : "ready"},
          {"cold-left-ms", 0},
          {"room", {{"cpu", this->settings.cpu}, {"mem-mb", 64'000}, {"gpu", 0}}},
          {"labels", {"a", this->settings.rack}},
          {"time-ms", this->Clock()},
          {"born", this->born},
          {"seq", this->sequence}};
}

json Worker::HeartbeatBody() {
  const Lock lock(this->mutex);
  return this->Describe();
}

void Worker::Crash() {
  const Lock lock(this->mutex);
  this->EndAll("crashed");
  this->is_up = false;
  this->Note("crashes");
  this->changed.notify_all();
}

bool Worker::AllEndsAcknowledged() {
  const Lock lock(this->mutex);
  return this->last_end > 0 && this->ends.empty();
}

/// Sends a heartbeat, or the leave, without the lock.
Response Worker::Beat(Lock& lock, const std::string& method) {
  ++this->sequence;
  const json body = this->Describe();
  const Request request{method, "/api/instances/" + this->settings.id, {}, body.dump()};
  for (int attempt = 0; attempt < 6; ++attempt) {
    const Address to = this->beat_address.empty() || method == "DELETE"
                           ? this->settings.control[this->next_control]
                           : ParseAddress(this->beat_address);
    lock.unlock();
    Response response = SendAndFollow(to, request, 1'000);
    lock.lock();
    if (response.status >= 200 && response.status < 300) return response;
    this->beat_address.clear();
    this->next_control = (this->next_control + 1) % this->settings.control.size();
  }
  return {};
}

void Worker::Announce(int mine) {
  Lock lock(this->mutex);
  const auto is_over = [&] {
    return this->is_stopping || !this->is_up || this->incarnation != mine;
  };
  this->changed.wait_for(lock, milliseconds(this->settings.first_beat_ms), is_over);
  while (!is_over()) {
    const bool is_drain = this->is_draining;
    const Response response = this->Beat(lock, "PUT");
    if (is_over()) return;
    if (response.status != 0) {
      this->is_acknowledged = true;
      this->is_drain_acknowledged = this->is_drain_acknowledged || is_drain;
      const json answer = json::parse(response.body, nullptr, false);
      this->beat_address = answer.is_object() ? answer.value("beat-addr", "") : "";
      this->changed.notify_all();
    }
    this->changed.wait_for(lock, milliseconds(kBeatMs), [&] {
      return is_over() || (this->is_draining && !this->is_drain_acknowledged);
    });
  }
}

}  // namespace lab2
