// status, targets, explain, top
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "mangoctl/session.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

struct StatusOptions {
  std::string failure_domain;
  std::string kind;
  std::string id;
  std::int64_t interval_ms = 2'000;
  std::uint64_t iterations = 0;
};

std::string Counts(const Json& object) {
  std::string text;
  if (!object.is_object()) return text;
  for (const auto& [name, count] : object.items()) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count.dump(), name);
  }
  return text;
}

void PrintProblems(Session& session, const Json& problems) {
  if (!problems.is_array() || problems.empty()) {
    session.out.Line("no problems", Colour::kGreen);
    return;
  }
  for (const Json& problem : problems) {
    const std::string severity = Cell(problem, "severity");
    session.out.Line(fmt::format("{}: {} {}: {} (since {})", severity, Cell(problem, "kind"),
                                 Cell(problem, "subject"), Cell(problem, "message"),
                                 TimeText(Number(problem, "since_ms"))),
                     severity == "critical" ? Colour::kRed : Colour::kYellow);
  }
}

void PrintStatus(Session& session, const Json& status) {
  PrintProblems(session, Field(status, "problems"));
  const Json& log = Field(status, "log");
  session.out.Line(fmt::format("{} in {}: {}, leader {}, quorum {}, term {}, applied {}/{}",
                               Cell(status, "name"), Cell(status, "failure_domain"),
                               Cell(log, "role"), Cell(log, "leader"),
                               Flag(log, "has_quorum") ? "yes" : "no", Cell(log, "term"),
                               Cell(log, "applied_index"), Cell(log, "commit_index")));
  session.out.Line(fmt::format("table: version {}", Cell(Field(status, "table"), "version")));
  session.out.Line("targets: " + Counts(Field(status, "targets")));
  session.out.Line("jobs: " + Counts(Field(status, "jobs")));
}

void Status(Session& session, const StatusOptions&) {
  const auto status = session.Get("/v1/status");
  if (!status) return;
  session.Show(*status, [&] {
    PrintStatus(session, *status);
    session.out.Line("");
    session.out.Columns(
        Lines(Field(*status, "domains"),
              {"name", "reachable", "entry_vms", "targets", "view", "members", "retired"}));
    session.out.Line("");
    session.out.Columns(
        Lines(Field(Field(*status, "log"), "replicas"),
              {"name", "failure_domain", "address", "voter", "reachable", "match_index"}));
  });
}

/// All targets as one answer, with the pages put together.
std::optional<Json> FetchTargets(Session& session, const StatusOptions& options) {
  Json all{{"targets", Json::array()}, {"next", nullptr}};
  std::string after;
  while (true) {
    std::string path = "/v1/targets?limit=1000" + after;
    if (!options.failure_domain.empty()) {
      path += "&failure_domain=" + EncodeUriPart(options.failure_domain);
    }
    const auto answer = session.Get(path);
    if (!answer) return std::nullopt;
    for (const Json& target : Field(*answer, "targets")) all["targets"].push_back(target);
    const std::string next = Cell(*answer, "next");
    if (next.empty()) return all;
    after = "&after=" + EncodeUriPart(next);
  }
}

void Targets(Session& session, const StatusOptions& options) {
  const auto all = FetchTargets(session, options);
  if (!all) return;
  session.Show(*all, [&] {
    session.out.Columns(
        Lines(Field(*all, "targets"), {"id", "failure_domain", "rack", "state", "owner",
                                       "slots_used", "slots", "connections_used", "connections",
                                       "processors_used", "processors", "tasks", "heard_ms_ago"}));
  });
}

void Explain(Session& session, const StatusOptions& options) {
  const auto answer =
      session.Get(fmt::format("/v1/explain/{}/{}", options.kind, EncodeUriPart(options.id)));
  if (!answer) return;
  session.Show(*answer, [&] {
    session.out.Line(fmt::format("{} {} (row {}): {}", Cell(*answer, "kind"), Cell(*answer, "id"),
                                 Cell(*answer, "row"), Cell(*answer, "state")),
                     Colour::kBold);
    session.out.Line(Cell(*answer, "summary"));
    session.out.Columns(Lines(Field(*answer, "steps"), {"time_ms", "step", "detail"}));
    session.out.Columns(
        Lines(Field(*answer, "candidates"), {"target", "failure_domain", "verdict", "detail"}));
  });
}

void Top(Session& session, const StatusOptions& options) {
  constexpr std::string_view kClearScreen = "\x1b[H\x1b[2J";
  // Without a terminal, a list that never ends is of no use.
  const bool is_endless = options.iterations == 0 && session.console.is_terminal;
  const std::uint64_t count = std::max<std::uint64_t>(options.iterations, 1);
  for (std::uint64_t i = 0; is_endless || i < count; ++i) {
    if (i > 0) session.console.sleep(std::chrono::milliseconds(options.interval_ms));
    const auto status = session.Get("/v1/status");
    // An entry VM that restarts must not end the display.
    if (!status && is_endless) continue;
    if (!status) return;
    session.code = ExitCode::kSuccess;
    session.Show(*status, [&] {
      if (session.out.UsesColours()) session.console.out << kClearScreen;
      PrintStatus(session, *status);
      session.out.Columns(
          Lines(Field(*status, "rows"), {"row", "class", "in_progress", "queued", "rate", "p99_ms",
                                         "refused_rate", "running_tasks"}));
      session.console.out << std::flush;
    });
  }
}

}  // namespace

void AddStatusCommands(CLI::App& app, Session& session) {
  auto options = std::make_shared<StatusOptions>();
  const auto add = [&](const char* name, const char* help, auto run) {
    CLI::App* command = app.add_subcommand(name, help);
    command->callback([&session, options, run] { run(session, *options); });
    return command;
  };
  add("status", "show what is wrong, then the state of the system", Status);
  add("targets", "list targets", Targets)
      ->add_option("--failure-domain", options->failure_domain, "only this failure domain");
  CLI::App* explain = add("explain", "tell why a request or job is where it is", Explain);
  explain->add_option("KIND", options->kind, "request or job")
      ->required()
      ->check(CLI::IsMember({"request", "job"}));
  explain->add_option("ID", options->id, "id of the request or job")->required();
  CLI::App* top = add("top", "show the load of the rows again and again", Top);
  top->add_option("--interval-ms", options->interval_ms, "time between two displays")
      ->check(CLI::Range(100, 3'600'000));
  top->add_option("--iterations", options->iterations,
                  "number of displays (default: endless on a terminal, otherwise 1)");
}

}  // namespace mangoroad::mangoctl
