#include "task_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace mangoroad::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kReportsRemembered = 256;
constexpr double kThrottledSpeed = 0.5;

std::string Text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

template <typename Number>
Number NumberOr(const json& object, const char* name, Number otherwise) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number() ? found->get<Number>() : otherwise;
}

// Value of the word `name=value` in a command.
std::optional<double> WordValue(std::string_view command, std::string_view name) {
  const std::string wanted = fmt::format("{}=", name);
  const std::size_t at = command.find(wanted);
  if (at == std::string_view::npos || (at > 0 && command[at - 1] != ' ')) return std::nullopt;
  command.remove_prefix(at + wanted.size());
  double value = 0.0;
  const auto [end, error] = std::from_chars(command.data(), command.data() + command.size(), value);
  if (error != std::errc()) return std::nullopt;
  return value;
}

TaskAnswer Refuse(int status, std::string_view kind, std::string_view message) {
  return {status, json{{"error", kind}, {"message", message}, {"outcome", "not-run"}}.dump()};
}

const json& Items(const json& object, const char* name) {
  static const json kNone = json::array();
  const auto found = object.find(name);
  return found != object.end() && found->is_array() ? *found : kNone;
}

}  // namespace

struct TaskRunner::Task {
  [[nodiscard]] bool IsRunning() const { return this->state == "running"; }

  json job;
  std::uint64_t token = 0;
  std::string row;
  double processors = 0;
  std::uint64_t memory_mib = 0;
  std::uint32_t accelerators = 0;
  double processors_used = 0;
  std::uint64_t memory_mib_used = 0;
  std::string state = "running";
  base::Duration work{};
  base::Duration done{};
  base::TimePoint updated;
  base::TimePoint lease_end;
  double speed = 1.0;
  std::uint64_t checkpoint = 0;
  int exit_code = 0;
  int planned_exit_code = 0;
};

TaskRunner::TaskRunner(TaskRunnerSettings runner_settings, RecordSink sink)
    : settings(std::move(runner_settings)), record(std::move(sink)), random(settings.seed) {}
TaskRunner::~TaskRunner() = default;

void TaskRunner::WriteRecord(std::string_view event, const Task& task) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  this->record(json{{"event", event},
                    {"time_us", std::chrono::duration_cast<base::Duration>(wall).count()},
                    {"target", this->settings.target},
                    {"incarnation", this->settings.incarnation},
                    {"job", task.job},
                    {"token", task.token},
                    {"row", task.row},
                    {"state", task.state},
                    {"checkpoint", task.checkpoint},
                    {"exit_code", task.exit_code}}
                   .dump());
}

void TaskRunner::Advance(base::TimePoint now, Task& task) {
  const auto elapsed = std::chrono::duration<double, std::micro>(now - task.updated).count();
  task.done += base::Duration(std::llround(elapsed * task.speed / this->slowdown));
  task.done = std::min(task.done, task.work);
  task.updated = now;
}

void TaskRunner::End(base::TimePoint now, Task& task, std::string_view state, int exit_code) {
  this->Advance(now, task);
  task.state = state;
  task.exit_code = exit_code;
  this->WriteRecord("task-end", task);
}

const TaskRunner::SentReport* TaskRunner::FindReport(std::uint64_t sequence) const {
  const auto found = std::ranges::find(this->reports, sequence, &SentReport::sequence);
  return found == this->reports.end() ? nullptr : &*found;
}

std::string TaskRunner::Misfit(const Task& task) const {
  double processors = task.processors;
  std::uint64_t memory_mib = task.memory_mib;
  std::uint32_t accelerators = task.accelerators;
  for (const auto& [job, other] : this->tasks) {
    if (!other.IsRunning()) continue;
    processors += other.processors;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
  }
  if (processors > this->settings.processors + 1e-9) {
    return fmt::format("{} processors exceed {}", processors, this->settings.processors);
  }
  if (memory_mib > this->settings.memory_mib) {
    return fmt::format("{} MiB exceed {}", memory_mib, this->settings.memory_mib);
  }
  if (accelerators > this->settings.accelerators) {
    return fmt::format("{} accelerators exceed {}", accelerators, this->settings.accelerators);
  }
  return {};
}

TaskAnswer TaskRunner::Start(base::TimePoint now, std::string_view body) {
  this->Tick(now);
  const json order = json::parse(body, nullptr, false);
  if (!order.is_object() || !order.contains("job") || NumberOr(order, "token", 0ULL) == 0 ||
      NumberOr(order, "lease_ms", 0ULL) == 0) {
    return Refuse(400, "bad-request", "job, token and lease_ms are required");
  }
  Task task;
  task.job = order["job"];
  task.token = NumberOr(order, "token", 0ULL);
  task.row = order.value("row", json("")).is_string() ? order.value("row", "") : "";
  task.processors = NumberOr(order, "processors", 0.0);
  task.memory_mib = NumberOr(order, "memory_mib", 0ULL);
  task.accelerators = NumberOr(order, "accelerators", 0U);
  task.checkpoint = std::min<std::uint64_t>(NumberOr(order, "checkpoint", 0ULL), 1000);
  if (const auto known = this->tasks.find(Text(task.job)); known != this->tasks.end()) {
    const Task& last = known->second;
    if (last.token == task.token && last.IsRunning()) return {200, R"({"state":"running"})"};
    if (last.token >= task.token) {
      return Refuse(409, "old-token",
                    fmt::format("token {} isn't newer than {}", task.token, last.token));
    }
    if (last.IsRunning()) return Refuse(409, "old-attempt-runs", "an older attempt runs here");
  }
  return this->Admit(now, std::move(task), order);
}

TaskAnswer TaskRunner::Admit(base::TimePoint now, Task task, const json& order) {
  if (this->is_leaving) return Refuse(503, "leaving", "the target is leaving");
  const auto incarnation = NumberOr(order, "incarnation", this->settings.incarnation);
  if (incarnation != this->settings.incarnation) {
    return Refuse(409, "other-incarnation",
                  fmt::format("incarnation is {}", this->settings.incarnation));
  }
  // The lease counts from the sending of the report that the order names, so that a start that was
  // delayed on its way doesn't outlive the leader's account of it.
  base::TimePoint lease_start = now;
  if (order.contains("report_sequence")) {
    const SentReport* report = this->FindReport(NumberOr(order, "report_sequence", 0ULL));
    if (report == nullptr) return Refuse(409, "lease-ended", "the report named is unknown");
    lease_start = report->sent;
  }
  task.lease_end = lease_start + std::chrono::milliseconds(NumberOr(order, "lease_ms", 0ULL));
  if (task.lease_end <= now) return Refuse(409, "lease-ended", "the lease has ended");
  if (const std::string misfit = this->Misfit(task); !misfit.empty()) {
    return Refuse(503, "no-capacity", misfit);
  }
  const auto text = order.find("command");
  const std::string command =
      text != order.end() && text->is_string() ? text->get<std::string>() : "";
  const auto run_ms = WordValue(command, "run_ms");
  task.work = run_ms ? base::Duration(std::llround(*run_ms * 1000.0))
                     : this->settings.run_time.Draw(this->random);
  task.done = task.work * static_cast<std::int64_t>(task.checkpoint) / 1000;
  task.processors_used = WordValue(command, "use_processors").value_or(task.processors);
  task.memory_mib_used = static_cast<std::uint64_t>(std::max(
      0.0, WordValue(command, "use_memory_mib").value_or(static_cast<double>(task.memory_mib))));
  task.planned_exit_code = static_cast<int>(WordValue(command, "exit").value_or(0));
  task.updated = now;
  const std::string job = Text(task.job);
  Task& placed = this->tasks.insert_or_assign(job, std::move(task)).first->second;
  this->WriteRecord("task-start", placed);
  if (this->fails_all) this->End(now, placed, "finished", 1);
  return {200, json{{"state", placed.state}}.dump()};
}

bool TaskRunner::Apply(base::TimePoint now, Task& task, std::string_view action) {
  this->Advance(now, task);
  if (action == "throttle") {
    task.speed = kThrottledSpeed;
  } else if (action == "unthrottle") {
    task.speed = 1.0;
  } else if (action == "checkpoint") {
    task.checkpoint =
        task.work.count() == 0
            ? 1000
            : static_cast<std::uint64_t>(1000 * task.done.count() / task.work.count());
    this->WriteRecord("task-checkpoint", task);
  } else if (action == "stop") {
    this->End(now, task, "stopped", 0);
  } else {
    return false;
  }
  return true;
}

TaskAnswer TaskRunner::Act(base::TimePoint now, std::string_view job, std::string_view action,
                           std::string_view body) {
  this->Tick(now);
  const json order = json::parse(body, nullptr, false);
  const auto found = this->tasks.find(job);
  if (found == this->tasks.end()) return Refuse(404, "unknown-job", job);
  Task& task = found->second;
  if (!order.is_object() || NumberOr(order, "token", 0ULL) != task.token) {
    return Refuse(409, "other-token", fmt::format("the token here is {}", task.token));
  }
  if (task.IsRunning() && !this->Apply(now, task, action)) {
    return Refuse(404, "unknown-action", action);
  }
  return {200, json{{"state", task.state}, {"checkpoint", task.checkpoint}}.dump()};
}

void TaskRunner::Tick(base::TimePoint now) {
  for (auto& [job, task] : this->tasks) {
    if (!task.IsRunning()) continue;
    if (now >= task.lease_end) {
      this->End(now, task, "lease-ended", 0);
      continue;
    }
    this->Advance(now, task);
    if (task.done >= task.work) this->End(now, task, "finished", task.planned_exit_code);
  }
}

std::string TaskRunner::MakeReport(base::TimePoint now, const json& services) {
  this->Tick(now);
  this->last_sequence += 1;
  this->reports.push_back({this->last_sequence, now});
  if (this->reports.size() > kReportsRemembered) this->reports.pop_front();
  json items = json::array();
  for (const auto& [job, task] : this->tasks) {
    if (task.state == "acknowledged") continue;
    const auto lag = static_cast<double>(this->settings.usage_lag.count());
    const double seen = std::max(0.0, static_cast<double>(task.done.count()) - lag * task.speed);
    const double work = std::max<double>(1.0, static_cast<double>(task.work.count()));
    items.push_back({{"job", task.job},
                     {"token", task.token},
                     {"state", task.state},
                     {"checkpoint", task.checkpoint},
                     {"processors_used", task.IsRunning() ? task.processors_used : 0.0},
                     {"memory_mib_used", task.IsRunning() ? task.memory_mib_used : 0},
                     {"progress", task.IsRunning() ? seen / work : 1.0},
                     {"slowdown", this->slowdown},
                     {"exit_code", task.exit_code}});
  }
  return json{{"incarnation", this->settings.incarnation},
              {"sequence", this->last_sequence},
              {"taken_ms_ago", this->settings.usage_lag.count() / 1000},
              {"tasks", items},
              {"services", services}}
      .dump();
}

void TaskRunner::OnReportReply(base::TimePoint now, std::string_view body) {
  this->Tick(now);
  const json reply = json::parse(body, nullptr, false);
  if (!reply.is_object()) return;
  const SentReport* report = this->FindReport(NumberOr(reply, "sequence", 0ULL));
  if (report == nullptr) return;
  const auto find = [this](const json& item) -> Task* {
    if (!item.is_object() || !item.contains("job")) return nullptr;
    const auto found = this->tasks.find(Text(item["job"]));
    const bool is_same =
        found != this->tasks.end() && found->second.token == NumberOr(item, "token", 0ULL);
    return is_same ? &found->second : nullptr;
  };
  for (const json& item : Items(reply, "renew")) {
    Task* task = find(item);
    if (task == nullptr || !task->IsRunning()) continue;
    const auto end = report->sent + std::chrono::milliseconds(NumberOr(item, "lease_ms", 0ULL));
    task->lease_end = std::max(task->lease_end, end);
  }
  for (const json& item : Items(reply, "commands")) {
    Task* task = find(item);
    if (task == nullptr || !task->IsRunning()) continue;
    const auto action = item.find("action");
    if (action != item.end() && action->is_string()) {
      this->Apply(now, *task, action->get<std::string>());
    }
  }
  for (const json& item : Items(reply, "acknowledged")) {
    Task* task = find(item);
    // The attempt stays known, so that a late start of it is refused.
    if (task != nullptr && !task->IsRunning()) task->state = "acknowledged";
  }
}

void TaskRunner::SetSlowdown(base::TimePoint now, double factor) {
  this->Tick(now);
  this->slowdown = std::max(factor, 0.01);
}

void TaskRunner::Leave(base::TimePoint now) {
  this->is_leaving = true;
  this->Tick(now);
  for (auto& [job, task] : this->tasks) {
    if (!task.IsRunning()) continue;
    this->Apply(now, task, "checkpoint");
    this->Apply(now, task, "stop");
  }
}

std::size_t TaskRunner::Running() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->tasks, [](const auto& entry) { return entry.second.IsRunning(); }));
}

std::size_t TaskRunner::Unacknowledged() const {
  return static_cast<std::size_t>(std::ranges::count_if(this->tasks, [](const auto& entry) {
    return !entry.second.IsRunning() && entry.second.state != "acknowledged";
  }));
}

double TaskRunner::ReservedShare() const {
  double reserved = 0.0;
  for (const auto& [job, task] : this->tasks) {
    if (task.IsRunning()) reserved += task.processors;
  }
  return std::min(1.0, reserved / std::max(this->settings.processors, 1e-9));
}

}  // namespace mangoroad::standin
