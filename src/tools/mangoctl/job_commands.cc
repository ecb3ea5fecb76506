// job submit|status|wait|cancel|list
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>

#include "mangoctl/session.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

/// Longest wait that one request asks an entry VM for, below its limit of 60 s.
constexpr std::int64_t kWaitPartMs = 20'000;

struct JobOptions {
  std::string id;
  std::string row;
  std::string team;
  std::string key;
  double processors = 1;
  std::uint64_t memory_mib = 0;
  std::uint64_t accelerators = 0;
  std::uint64_t run_time_s = 0;
  bool checkpointable = false;
  bool urgent = false;
  std::string command;
  std::string state;
  std::uint64_t limit = 100;
  std::string after;
  std::int64_t wait_ms = 0;
};

std::string JobPath(const JobOptions& options) { return "/v1/jobs/" + EncodeUriPart(options.id); }

bool IsFinal(const Json& job) {
  constexpr std::array<std::string_view, 4> kFinal{"succeeded", "failed", "cancelled",
                                                   "unplaceable"};
  return std::ranges::find(kFinal, Cell(job, "state")) != kFinal.end();
}

void PrintJob(Session& session, const Json& job) {
  session.Show(job, [&] {
    const std::string reason = Cell(job, "reason");
    session.out.Line(fmt::format("{}: {}{}", Cell(job, "id"), Cell(job, "state"),
                                 reason.empty() ? "" : " (" + reason + ")"),
                     Colour::kBold);
    for (const char* name :
         {"row", "team", "key", "target", "attempt", "checkpoint", "exit_code"}) {
      const std::string value = Cell(job, name);
      if (!value.empty()) session.out.Line(fmt::format("  {}: {}", name, value));
    }
  });
}

void Submit(Session& session, const JobOptions& options) {
  // The key makes a repeated submission the same job, so there is always one.
  const std::string key = options.key.empty() ? MakeChangeId() : options.key;
  const auto job = session.Post("/v1/jobs", {{"row", options.row},
                                             {"team", options.team},
                                             {"key", key},
                                             {"processors", options.processors},
                                             {"memory_mib", options.memory_mib},
                                             {"accelerators", options.accelerators},
                                             {"run_time_s", options.run_time_s},
                                             {"command", options.command},
                                             {"checkpointable", options.checkpointable},
                                             {"urgent", options.urgent}});
  if (job) {
    PrintJob(session, *job);
  } else if (session.code != ExitCode::kError && !session.json) {
    session.console.err << fmt::format("mangoctl: to submit the same job again, use --key {}\n",
                                       key);
  }
}

void ShowJob(Session& session, const JobOptions& options) {
  if (const auto job = session.Get(JobPath(options))) PrintJob(session, *job);
}

void Cancel(Session& session, const JobOptions& options) {
  if (const auto job = session.Post(JobPath(options) + "/cancel", Json::object())) {
    PrintJob(session, *job);
  }
}

void Wait(Session& session, const JobOptions& options) {
  const std::int64_t start = session.console.now_ms();
  while (true) {
    const std::int64_t waited = session.console.now_ms() - start;
    const std::int64_t left = options.wait_ms == 0 ? kWaitPartMs : options.wait_ms - waited;
    const std::int64_t part = std::clamp<std::int64_t>(left, 0, kWaitPartMs);
    session.SetAnswerTimeout(std::chrono::milliseconds(part + session.timeout_ms));
    const auto job = session.Get(fmt::format("{}/wait?timeout_ms={}", JobPath(options), part));
    if (!job) return;
    if (IsFinal(*job)) {
      session.EndProgress();
      PrintJob(session, *job);
      if (Cell(*job, "state") != "succeeded") session.code = ExitCode::kError;
      return;
    }
    if (options.wait_ms != 0 && session.console.now_ms() - start >= options.wait_ms) {
      session.Fail(ExitCode::kError, "timeout",
                   fmt::format("job {} is {} after {} ms", options.id, Cell(*job, "state"),
                               options.wait_ms));
      return;
    }
    session.Progress(fmt::format("job {}: {}, {} s", options.id, Cell(*job, "state"),
                                 (session.console.now_ms() - start) / 1000));
  }
}

void List(Session& session, const JobOptions& options) {
  std::string path = fmt::format("/v1/jobs?limit={}", options.limit);
  const std::array<std::pair<const char*, const std::string*>, 3> filters{
      {{"state", &options.state}, {"row", &options.row}, {"after", &options.after}}};
  for (const auto& [name, value] : filters) {
    if (!value->empty()) path += fmt::format("&{}={}", name, EncodeUriPart(*value));
  }
  const auto answer = session.Get(path);
  if (!answer) return;
  session.Show(*answer, [&] {
    session.out.Columns(Lines(Field(*answer, "jobs"), {"id", "state", "row", "team", "target",
                                                       "attempt", "checkpoint", "reason"}));
    const std::string next = Cell(*answer, "next");
    if (!next.empty()) session.out.Line("more: --after " + next);
  });
}

void AddSubmitOptions(CLI::App* submit, JobOptions& options) {
  submit->add_option("--row", options.row, "row of the table")->required();
  submit->add_option("--team", options.team, "team of the row")->required();
  submit->add_option("--key", options.key,
                     "idempotency key: the same key is the same job (default: random)");
  submit->add_option("--processors", options.processors, "cores")->check(CLI::PositiveNumber);
  submit->add_option("--memory-mib", options.memory_mib, "memory in MiB")->required();
  submit->add_option("--accelerators", options.accelerators, "number of accelerators");
  submit->add_option("--run-time-s", options.run_time_s, "expected run time, 0 = unknown");
  submit->add_flag("--checkpointable", options.checkpointable, "the task can be resumed");
  submit->add_flag("--urgent", options.urgent, "start ahead of the queue");
  submit->add_option("COMMAND", options.command, "command of the task")->required();
}

}  // namespace

void AddJobCommands(CLI::App& app, Session& session) {
  auto options = std::make_shared<JobOptions>();
  CLI::App* job = app.add_subcommand("job", "batch jobs");
  job->require_subcommand(1);
  const auto add = [&](const char* name, const char* help, auto run) {
    CLI::App* command = job->add_subcommand(name, help);
    command->callback([&session, options, run] { run(session, *options); });
    return command;
  };
  AddSubmitOptions(add("submit", "submit a job", Submit), *options);
  CLI::App* status = add("status", "show a job", ShowJob);
  CLI::App* wait = add("wait", "wait for the end of a job; exits with 1 unless it succeeded", Wait);
  CLI::App* cancel = add("cancel", "cancel a job", Cancel);
  for (CLI::App* command : {status, wait, cancel}) {
    command->add_option("ID", options->id, "job id")->required();
  }
  wait->add_option("--wait-ms", options->wait_ms, "longest wait in all, 0 = no limit");
  CLI::App* list = add("list", "list jobs", List);
  list->add_option("--state", options->state, "only jobs in this state");
  list->add_option("--row", options->row, "only jobs of this row");
  list->add_option("--limit", options->limit, "most jobs")->check(CLI::Range(1, 1000));
  list->add_option("--after", options->after, "list jobs after this id");
}

}  // namespace mangoroad::mangoctl
