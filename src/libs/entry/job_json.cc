#include "entry/job_json.h"

#include <algorithm>
#include <array>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "base/name_table.h"
#include "entry/json_reader.h"
#include "jobs/jobs_codec.h"
#include "wire/record_codec.h"

namespace mangoroad::entry {
namespace {

constexpr double kMillicores = 1000.0;
constexpr std::int64_t kMaxMemoryMib = 64LL * 1024 * 1024;
constexpr std::size_t kMaxCommandBytes = 64UL * 1024;
constexpr std::int64_t kMaxRunTime = 366LL * 24 * 3600;
constexpr std::uint32_t kFormatVersion = 1;

constexpr base::NameTable<jobs::TaskState, 5> kTaskStateNames{{
    {jobs::TaskState::kRunning, "running"},
    {jobs::TaskState::kFinished, "finished"},
    {jobs::TaskState::kStopped, "stopped"},
    {jobs::TaskState::kLeaseEnded, "lease-ended"},
    {jobs::TaskState::kRefused, "refused"},
}};

constexpr base::NameTable<jobs::TaskAction, 4> kTaskActionNames{{
    {jobs::TaskAction::kThrottle, "throttle"},
    {jobs::TaskAction::kUnthrottle, "unthrottle"},
    {jobs::TaskAction::kCheckpoint, "checkpoint"},
    {jobs::TaskAction::kStop, "stop"},
}};

nlohmann::json SpecObject(const jobs::JobSpec& spec) {
  return {{"row", spec.row},
          {"team", spec.team},
          {"key", spec.key},
          {"command", spec.command},
          {"processors", static_cast<double>(spec.declared.millicores) / kMillicores},
          {"memory_mib", spec.declared.memory_mib},
          {"accelerators", spec.declared.accelerators},
          {"run_time_s", spec.run_time_s},
          {"checkpointable", spec.checkpointable},
          {"urgent", spec.urgent}};
}

nlohmann::json JobObject(const jobs::Job& job) {
  nlohmann::json object = SpecObject(job.spec);
  object["id"] = std::to_string(job.id);
  object["state"] = jobs::NameOf(job.state);
  object["target"] = jobs::HoldsLease(job.state) ? job.target : "";
  object["attempt"] = job.attempt;
  object["checkpoint"] = job.checkpoint;
  const bool ended =
      job.state == jobs::JobState::kSucceeded || job.state == jobs::JobState::kFailed;
  object["exit_code"] = ended ? nlohmann::json(job.exit_code) : nlohmann::json(nullptr);
  object["reason"] = job.reason;
  object["submitted_ms"] = job.submitted_ms;
  object["changed_ms"] = job.changed_ms;
  return object;
}

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string JobJson(const jobs::Job& job) { return Dump(JobObject(job)); }

std::string ParkedJobJson(const std::string& id, const jobs::JobSpec& spec) {
  nlohmann::json object = SpecObject(spec);
  object["id"] = id;
  object["state"] = "parked";
  object["target"] = "";
  object["attempt"] = 0;
  object["checkpoint"] = 0;
  object["exit_code"] = nullptr;
  object["reason"] = "no leader can be reached; the job is stored here and not started";
  object["submitted_ms"] = 0;
  object["changed_ms"] = 0;
  return Dump(object);
}

std::string JobListJson(const std::vector<const jobs::Job*>& listed, std::size_t limit) {
  nlohmann::json items = nlohmann::json::array();
  for (const jobs::Job* job : listed) items.push_back(JobObject(*job));
  nlohmann::json next = nullptr;
  if (!listed.empty() && listed.size() >= limit) next = std::to_string(listed.back()->id);
  return Dump({{"jobs", std::move(items)}, {"next", std::move(next)}});
}

base::Result<jobs::JobSpec, std::string> ReadJobSpec(std::string_view body) {
  JsonReader reader(body);
  jobs::JobSpec spec;
  spec.row = reader.Text("row", Presence::kRequired, 64);
  spec.team = reader.Text("team", Presence::kRequired, 64);
  spec.key = reader.Text("key", Presence::kRequired, 128);
  spec.declared.millicores = static_cast<std::int64_t>(
      reader.Number("processors", Presence::kRequired, 0.001, 4096) * kMillicores);
  spec.declared.memory_mib = reader.Integer("memory_mib", Presence::kRequired, 0, kMaxMemoryMib);
  spec.declared.accelerators = reader.Integer("accelerators", Presence::kOptional, 0, 1024);
  spec.run_time_s = reader.Integer("run_time_s", Presence::kOptional, 0, kMaxRunTime);
  spec.command = reader.Text("command", Presence::kRequired, kMaxCommandBytes);
  spec.checkpointable = reader.Flag("checkpointable", Presence::kOptional);
  spec.urgent = reader.Flag("urgent", Presence::kOptional);
  std::string fault = reader.Fault();
  const bool printable =
      std::ranges::all_of(spec.key, [](unsigned char c) { return c > ' ' && c < 0x7f; });
  if (fault.empty() && !printable) {
    fault = "field 'key' must be printable ASCII characters without space";
  }
  if (!fault.empty()) return fault;
  return spec;
}

base::Result<ParsedReport, std::string> ReadReport(const std::string& target,
                                                   std::string_view body) {
  JsonReader reader(body);
  ParsedReport report;
  report.tasks.target = target;
  report.tasks.incarnation = reader.Unsigned("incarnation", Presence::kRequired);
  report.tasks.sequence = reader.Unsigned("sequence", Presence::kRequired);
  report.age =
      std::chrono::milliseconds(reader.Integer("taken_ms_ago", Presence::kOptional, 0, 3'600'000));
  std::string bad_state;
  for (JsonReader& item : reader.Objects("tasks", Presence::kOptional)) {
    jobs::TaskReport task;
    task.job = item.Unsigned("job", Presence::kRequired);
    task.token = item.Unsigned("token", Presence::kRequired);
    const std::string state = item.Text("state", Presence::kRequired, 32);
    const auto known = base::ValueOfName(kTaskStateNames, state);
    if (!known && bad_state.empty()) bad_state = state;
    task.state = known.value_or(jobs::TaskState::kRunning);
    task.checkpoint = item.Unsigned("checkpoint", Presence::kOptional);
    task.millicores_used = static_cast<std::int64_t>(
        item.Number("processors_used", Presence::kOptional, 0, 4096) * kMillicores);
    task.memory_mib_used = item.Integer("memory_mib_used", Presence::kOptional, 0, kMaxMemoryMib);
    task.progress = item.Number("progress", Presence::kOptional, 0, 1);
    task.slowdown = item.Number("slowdown", Presence::kOptional, 0, 1e6);
    task.exit_code = static_cast<std::int32_t>(
        item.Integer("exit_code", Presence::kOptional, -1'000'000, 1'000'000));
    reader.Absorb(item);
    report.tasks.tasks.push_back(task);
  }
  for (JsonReader& item : reader.Objects("services", Presence::kOptional)) {
    ServiceReport service;
    service.row = item.Text("row", Presence::kRequired, 64);
    service.p99_ms = item.Number("p99_ms", Presence::kRequired, 0, 1e9);
    service.rate = item.Number("rate", Presence::kRequired, 0, 1e9);
    reader.Absorb(item);
    report.services.push_back(std::move(service));
  }
  std::string fault = reader.Fault();
  if (fault.empty() && !bad_state.empty()) fault = "unknown task state '" + bad_state + "'";
  if (!fault.empty()) return fault;
  return report;
}

namespace {

using ReportRecord = std::tuple<std::uint32_t, std::uint64_t, std::string, std::int64_t,
                                std::vector<std::tuple<std::string, double, double>>>;

}  // namespace

std::string EncodeParsedReport(std::uint64_t number, const ParsedReport& report) {
  std::vector<std::tuple<std::string, double, double>> services;
  std::ranges::transform(report.services, std::back_inserter(services),
                         [](const ServiceReport& service) {
                           return std::make_tuple(service.row, service.p99_ms, service.rate);
                         });
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, ReportRecord{kFormatVersion, number, jobs::EncodeTargetReport(report.tasks),
                                     report.age.count(), std::move(services)});
  return {buffer.data(), buffer.size()};
}

std::optional<std::pair<std::uint64_t, ParsedReport>> DecodeParsedReport(std::string_view bytes) {
  const auto record = wire::UnpackAs<ReportRecord>(bytes);
  if (!record || std::get<0>(*record) != kFormatVersion) return std::nullopt;
  const auto tasks = jobs::DecodeTargetReport(std::get<2>(*record));
  if (!base::Ok(tasks)) return std::nullopt;
  ParsedReport report;
  report.tasks = base::ValueOf(tasks);
  report.age = base::Duration(std::get<3>(*record));
  for (const auto& [row, p99_ms, rate] : std::get<4>(*record)) {
    report.services.push_back({row, p99_ms, rate});
  }
  return std::make_pair(std::get<1>(*record), std::move(report));
}

std::string ReportReplyJson(const jobs::ReportResponse& reply) {
  nlohmann::json renew = nlohmann::json::array();
  for (const jobs::Renewal& renewal : reply.renewals) {
    renew.push_back({{"job", renewal.job},
                     {"token", renewal.token},
                     {"lease_ms", base::ToMilliseconds(renewal.lease)}});
  }
  nlohmann::json commands = nlohmann::json::array();
  for (const jobs::TaskRequest& order : reply.requests) {
    commands.push_back({{"job", order.job},
                        {"token", order.token},
                        {"action", base::NameOf(kTaskActionNames, order.action)}});
  }
  nlohmann::json acknowledged = nlohmann::json::array();
  for (const jobs::TaskAcknowledgement& item : reply.acknowledged) {
    acknowledged.push_back({{"job", item.job}, {"token", item.token}});
  }
  return Dump({{"incarnation", reply.incarnation},
               {"sequence", reply.sequence},
               {"renew", std::move(renew)},
               {"commands", std::move(commands)},
               {"acknowledged", std::move(acknowledged)}});
}

std::string StartTaskJson(const jobs::StartTaskRequest& start) {
  return Dump({{"job", start.job},
               {"token", start.token},
               {"incarnation", start.incarnation},
               {"report_sequence", start.report_sequence},
               {"lease_ms", base::ToMilliseconds(start.lease)},
               {"row", start.row},
               {"command", start.command},
               {"processors", static_cast<double>(start.reserved.millicores) / kMillicores},
               {"memory_mib", start.reserved.memory_mib},
               {"accelerators", start.reserved.accelerators},
               {"checkpoint", start.checkpoint}});
}

}  // namespace mangoroad::entry
