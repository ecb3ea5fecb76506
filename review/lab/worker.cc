#include "worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lab {

using nlohmann::json;

namespace {

/// The text of a task is "ms=N ...": it works for so long.
std::int64_t WorkOf(const std::string& spec) {
  return spec.starts_with("ms=") ? std::atoll(spec.c_str() + 3) : 1'000;
}

/// Number of members of the task's gang, 0 when it is in none.
int GangSizeOf(const std::string& spec) {
  const std::size_t found = spec.find("gang=");
  return found == std::string::npos ? 0 : std::atoi(spec.c_str() + found + 5);
}

}  // namespace

std::int64_t Gangs::Join(const std::string& gang, const std::string& task, int count,
                         std::int64_t now) {
  const std::scoped_lock lock(this->mutex);
  Gang& found = this->gangs[gang];
  found.members.insert(task);
  if (found.began < 0 && static_cast<int>(found.members.size()) == count) found.began = now;
  return found.began;
}

std::int64_t Gangs::BeganAt(const std::string& gang) {
  const std::scoped_lock lock(this->mutex);
  return this->gangs[gang].began;
}

void Gangs::Break(const std::string& gang) {
  const std::scoped_lock lock(this->mutex);
  this->gangs[gang].broken = true;
}

bool Gangs::IsBroken(const std::string& gang) {
  const std::scoped_lock lock(this->mutex);
  return this->gangs[gang].broken;
}

Worker::Worker(Record& case_record, WorkerSettings worker_settings)
    : record(case_record), settings(std::move(worker_settings)) {}

Worker::~Worker() { this->Crash(); }

std::int64_t Worker::Clock() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               this->birth)
      .count();
}

void Worker::Start() {
  {
    const std::scoped_lock lock(this->mutex);
    this->alive = true;
    this->stopping = false;
    this->announced = false;
    this->born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    this->birth = std::chrono::steady_clock::now();
    this->fence = 0;
    this->lease_until = 0;
    this->running.clear();
    this->closed.clear();
    this->ends.clear();
    this->last_end = 0;
  }
  this->record.Write("worker " + this->settings.id + " starts, born " +
                     std::to_string(this->born_ms));
  this->server = std::make_unique<Server>(
      this->settings.address, [this](const Request& request) { return this->Handle(request); });
  this->ticker = std::thread([this] {
    while (!this->stopping) {
      this->Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  this->announcer = std::thread([this] { this->Announce(); });
}

void Worker::Crash() {
  if (this->server == nullptr) return;
  {
    const std::scoped_lock lock(this->mutex);
    this->alive = false;
    this->stopping = true;
    while (!this->running.empty()) this->Finish(this->running.begin()->first, "crashed");
  }
  this->record.Write("worker " + this->settings.id + " is down");
  this->changed.notify_all();
  this->server->Stop();
  this->server.reset();
  this->ticker.join();
  this->announcer.join();
}

bool Worker::IsIdle() {
  const std::scoped_lock lock(this->mutex);
  return this->running.empty() && this->ends.empty();
}

std::vector<RunOnWorker> Worker::Runs() {
  const std::scoped_lock lock(this->mutex);
  return this->runs;
}

Response Worker::Reply(int status, const std::string& reason) {
  json body{{"time-ms", this->Clock()}};
  if (!reason.empty()) body["reason"] = reason;
  return {status, {}, body.dump()};
}

/// A deadline never shortens, and a longer one than the limit is shortened to it.
void Worker::Extend(std::int64_t deadline) {
  const std::int64_t longest = this->Clock() + this->settings.hold_max_ms;
  this->lease_until = std::max(this->lease_until, std::min(deadline, longest));
}

void Worker::Finish(const std::string& task, const std::string& how) {
  const auto found = this->running.find(task);
  if (found == this->running.end()) return;
  RunOnWorker& log = this->runs[found->second.log];
  log.ended = this->record.Now();
  log.how = how;
  const int number = found->second.number;
  if (!found->second.gang.empty() && how != "done") this->settings.gangs->Break(found->second.gang);
  this->running.erase(found);
  this->closed[task] = std::max(this->closed[task], number);
  if (how != "crashed") this->ends.push_back({++this->last_end, task, number, how});
  this->record.Write("worker " + this->settings.id + ": run " + std::to_string(number) + " of " +
                     task + " ends, " + how);
  this->changed.notify_all();
}

void Worker::Tick() {
  const std::scoped_lock lock(this->mutex);
  if (!this->alive) return;
  const std::int64_t now = this->Clock();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : this->running) {
    if (!run.gang.empty()) {
      const std::int64_t began = this->settings.gangs->BeganAt(run.gang);
      const std::int64_t work = WorkOf(this->runs[run.log].spec);
      if (began >= 0 && this->record.Now() >= began + work) {
        over.emplace_back(task, "done");
        continue;
      }
      if (this->settings.gangs->IsBroken(run.gang)) {
        over.emplace_back(task, "broken");
        continue;
      }
      if (began < 0 && now >= run.joined_at + this->settings.gang_ms) {
        over.emplace_back(task, "alone");
        continue;
      }
    }
    if (run.gang.empty() && now >= run.ends_at) {
      over.emplace_back(task, "done");
    } else if (run.stops_at && now >= *run.stops_at) {
      over.emplace_back(task, "stopped");
    } else if (now >= this->lease_until) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) this->Finish(task, how);
}

void Worker::Cut(bool on) {
  this->record.Write("worker " + this->settings.id +
                     (on ? " is cut off and runs on" : " is no longer cut off"));
  this->cut = on;
}

Response Worker::Handle(const Request& request) {
  const auto wait_for_end_of_cut = [this] {
    while (this->cut && !this->stopping) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  };
  // What arrives during a cut is lost, and so is what is answered.
  if (this->cut) {
    wait_for_end_of_cut();
    return {};
  }
  const Response response = this->Carry(request);
  if (request.path == "/api/run-start" && response.status == 200 &&
      this->cut_after_start.exchange(false)) {
    this->Cut(true);
  }
  if (!this->cut) return response;
  wait_for_end_of_cut();
  return {};
}

Response Worker::Carry(const Request& request) {
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != this->settings.id) {
    const std::scoped_lock lock(this->mutex);
    return this->Reply(421);
  }
  if (request.path == "/api/run-start") return this->StartRun(request.body);
  if (request.path == "/api/run-stop") return this->StopRun(request.body);
  if (request.path == "/api/hold") return this->Hold(request.body);
  const std::scoped_lock lock(this->mutex);
  return this->Reply(request.path == "/api/pace" ? 200 : 404);
}

Response Worker::StartRun(const std::string& body) {
  const json call = json::parse(body, nullptr, false);
  const std::scoped_lock lock(this->mutex);
  if (!this->alive) return {};
  if (!call.is_object()) return this->Reply(400);
  const std::string task = call.value("task-id", "");
  const int number = call.value("run-id", 0);
  const std::string spec = call.value("spec", "");
  const std::int64_t call_fence = call.value("fence", std::int64_t{0});
  const std::int64_t deadline = call.value("deadline-ms", std::int64_t{0});
  const auto answer = [&](int status, const std::string& reason) {
    this->record.Write("worker " + this->settings.id + ": start of run " + std::to_string(number) +
                       " of " + task + ", fence " + std::to_string(call_fence) + ": " +
                       std::to_string(status) + " " + reason);
    return this->Reply(status, reason);
  };
  if (call_fence < this->fence) return answer(409, "fence");
  this->fence = call_fence;
  if (deadline <= this->Clock()) return answer(409, "late");
  const auto here = this->running.find(task);
  if (here != this->running.end() && here->second.number == number) {
    this->Extend(deadline);
    return answer(200, "(already there)");
  }
  this->Extend(deadline);
  const auto ended = this->closed.find(task);
  if (here != this->running.end() || (ended != this->closed.end() && number <= ended->second)) {
    return answer(409, "old");
  }
  const auto used = static_cast<std::int64_t>(this->running.size()) * this->settings.task_cpu;
  if (used + this->settings.task_cpu > this->settings.cpu) return answer(409, "room");
  Run run;
  run.number = number;
  run.ends_at = this->Clock() + WorkOf(spec);
  run.log = this->runs.size();
  if (const int size = GangSizeOf(spec); size > 0) {
    run.gang = task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
    run.joined_at = this->Clock();
    this->settings.gangs->Join(run.gang, task, size, this->record.Now());
  }
  this->runs.push_back({task, number, this->settings.id, spec, this->record.Now(), -1, ""});
  this->running.emplace(task, run);
  return answer(200, "");
}

Response Worker::StopRun(const std::string& body) {
  const json call = json::parse(body, nullptr, false);
  const std::scoped_lock lock(this->mutex);
  if (!this->alive) return {};
  if (!call.is_object()) return this->Reply(400);
  const std::string task = call.value("task-id", "");
  const int number = call.value("run-id", 0);
  const std::int64_t call_fence = call.value("fence", std::int64_t{0});
  this->record.Write("worker " + this->settings.id + ": stop of run " + std::to_string(number) +
                     " of " + task);
  if (call_fence < this->fence) return this->Reply(409, "fence");
  this->fence = call_fence;
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.number == number) {
    // Half of the time that a stop may take.
    if (!found->second.stops_at) {
      found->second.stops_at = this->Clock() + this->settings.stop_ms / 2;
    }
  } else {
    this->closed[task] = std::max(this->closed[task], number);
  }
  return this->Reply(200);
}

Response Worker::Hold(const std::string& body) {
  const json call = json::parse(body, nullptr, false);
  std::unique_lock lock(this->mutex);
  if (!this->alive) return {};
  if (!call.is_object()) return this->Reply(400);
  const std::int64_t call_fence = call.value("fence", std::int64_t{0});
  if (call_fence < this->fence) return this->Reply(409, "fence");
  this->fence = call_fence;
  const std::int64_t acknowledged = call.value("ack-seq", std::int64_t{0});
  std::erase_if(this->ends, [&](const End& end) { return end.number <= acknowledged; });
  if (call.contains("deadline-ms")) this->Extend(call["deadline-ms"].get<std::int64_t>());
  const auto wait = std::chrono::milliseconds(call.value("wait-ms", std::int64_t{0}));
  this->changed.wait_for(lock, wait, [this] { return !this->alive || !this->ends.empty(); });
  if (!this->alive) return {};
  json answer{{"time-ms", this->Clock()},
              {"born", this->born_ms},
              {"running", json::array()},
              {"finished", json::array()}};
  for (const auto& [task, run] : this->running) {
    const std::int64_t left = std::max<std::int64_t>(0, run.ends_at - this->Clock());
    const std::int64_t whole = std::max<std::int64_t>(1, WorkOf(this->runs[run.log].spec));
    answer["running"].push_back(
        {task, run.number, "", 100 - 100 * left / whole, this->settings.task_cpu});
  }
  for (const End& end : this->ends) {
    if (answer["finished"].size() >= 500) break;
    answer["finished"].push_back({end.number, end.task, end.run, end.how, ""});
  }
  return {200, {}, answer.dump()};
}

/// Announces itself at once and then about every `beat_ms`. A heartbeat without a 2xx within a
/// second goes to the next node.
void Worker::Announce() {
  std::size_t next = 0;
  std::string beat_address;
  std::int64_t sequence = 0;
  while (!this->stopping) {
    json body{
        {"service", this->settings.service},
        {"addr", ToText(this->settings.address)},
        {"zone", this->settings.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold-left-ms", 0},
        {"room", {{"cpu", this->settings.cpu}, {"mem-mb", this->settings.memory_mb}, {"gpu", 0}}},
        {"labels", {"a", this->settings.rack}},
        {"time-ms", this->Clock()},
        {"born", this->born_ms},
        {"seq", ++sequence}};
    if (this->cut) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      continue;
    }
    Address to = beat_address.empty() ? this->settings.control[next] : ParseAddress(beat_address);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    Response response;
    for (int redirects = 0; redirects <= 2; ++redirects) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                            end - std::chrono::steady_clock::now())
                            .count();
      if (left <= 0) break;
      response = Send(to, {"PUT", "/api/instances/" + this->settings.id, {}, body.dump()},
                      static_cast<int>(left));
      if (response.status != 307 || !response.headers.contains("location")) break;
      const std::string location = response.headers["location"].substr(7);
      to = ParseAddress(location.substr(0, location.find('/')));
    }
    const bool ok = response.status >= 200 && response.status < 300;
    if (sequence <= 2 || !ok) {
      this->record.Write("worker " + this->settings.id + ": heartbeat " + std::to_string(sequence) +
                         " to " + ToText(to) + ": " +
                         (response.status == 0 ? "no answer" : std::to_string(response.status)));
    }
    if (!ok) {
      beat_address.clear();
      next = (next + 1) % this->settings.control.size();
      for (int i = 0; i < 10 && !this->stopping; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      continue;
    }
    this->announced = true;
    const json parsed = json::parse(response.body, nullptr, false);
    if (parsed.is_object()) beat_address = parsed.value("beat-addr", "");
    for (int i = 0; i < this->settings.beat_ms / 10 && !this->stopping; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
}

}  // namespace lab
