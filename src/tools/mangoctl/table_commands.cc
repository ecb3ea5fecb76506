// table check|plan|apply|show|history|status|rollback
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "mangoctl/session.h"
#include "table/csv_reader.h"
#include "table/diff.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{200};

struct TableOptions {
  std::vector<std::string> files;
  std::string file;
  std::vector<std::string> domains;
  bool detailed_exit_code = false;
  bool yes = false;
  bool wait = false;
  std::optional<std::uint64_t> base_version;
  std::optional<std::uint64_t> version;
  std::uint64_t limit = 20;
};

/// A table that was read with the version it is compared with.
struct Planned {
  table::Table table;
  std::uint64_t base_version = 0;
  std::vector<table::RowChange> changes;
};

void PrintFaults(Session& session, const std::vector<table::Fault>& faults) {
  Json list = Json::array();
  for (const table::Fault& fault : faults) {
    list.push_back({{"file", fault.file},
                    {"line", fault.line},
                    {"column", fault.column},
                    {"message", fault.message}});
    if (!session.json) session.console.err << table::ToString(fault) << '\n';
  }
  if (session.json) session.Show({{"faults", std::move(list)}}, [] {});
  session.code = ExitCode::kError;
}

std::optional<table::Table> ReadTable(Session& session, const std::string& path,
                                      const std::vector<std::string>& domains) {
  const auto text = ReadInput(session, path);
  if (!text) return std::nullopt;
  table::ReadOptions options;
  if (!domains.empty()) options.known_domains = domains;
  auto read = table::ReadCsv(path, *text, options);
  if (!base::Ok(read)) {
    PrintFaults(session, base::ErrorOf(read));
    return std::nullopt;
  }
  table::Table made = std::move(base::ValueOf(read));
  if (made.Rows().empty()) {
    PrintFaults(session, {{path, 1, "-", "the table has no rows; a table needs at least one"}});
    return std::nullopt;
  }
  return made;
}

void Check(Session& session, const TableOptions& options) {
  for (const std::string& file : options.files) {
    const auto made = ReadTable(session, file, options.domains);
    if (!made) continue;
    session.Show({{"file", file}, {"rows", made->Rows().size()}, {"faults", Json::array()}}, [&] {
      session.out.Line(fmt::format("{}: {} rows, no faults", file, made->Rows().size()));
    });
  }
}

/// The table of a version at an entry VM, the one in force when no version is given.
std::optional<std::pair<std::uint64_t, table::Table>> Fetch(Session& session,
                                                            std::optional<std::uint64_t> version) {
  const auto answer =
      session.Get(version ? fmt::format("/v1/table?version={}", *version) : "/v1/table");
  if (!answer) return std::nullopt;
  const auto number = static_cast<std::uint64_t>(Number(*answer, "version"));
  const std::string csv = Cell(*answer, "csv");
  if (csv.empty() && number == 0) return std::pair{number, table::Table()};
  auto read = table::ReadCsv(fmt::format("version {}", number), csv);
  if (!base::Ok(read)) {
    session.Fail(
        ExitCode::kError, "bad-answer",
        "the entry VM sent a table with faults: " + table::ToString(base::ErrorOf(read).front()));
    return std::nullopt;
  }
  return std::pair{number, std::move(base::ValueOf(read))};
}

/// Compares `table` with the base version and shows the difference.
std::optional<Planned> Plan(Session& session, table::Table made, const TableOptions& options) {
  const auto base = Fetch(session, options.base_version);
  if (!base) return std::nullopt;
  Planned planned{std::move(made), base->first, {}};
  planned.changes = table::Diff(base->second, planned.table);
  if (!session.json) {
    session.out.Line(fmt::format("changes to version {}:", planned.base_version), Colour::kBold);
    session.out.Diff(planned.changes);
  }
  return planned;
}

void ShowPlan(Session& session, const TableOptions& options) {
  auto made = ReadTable(session, options.file, options.domains);
  if (!made) return;
  const auto planned = Plan(session, std::move(*made), options);
  if (!planned) return;
  if (session.json) {
    session.Show({{"base_version", planned->base_version}, {"diff", ToJson(planned->changes)}},
                 [] {});
  }
  if (options.detailed_exit_code && !planned->changes.empty()) session.code = ExitCode::kChanges;
}

bool IsConfirmed(Session& session, const TableOptions& options) {
  if (options.yes || session.json || !session.console.is_terminal) return true;
  session.console.out << "Apply these changes? [y/N] " << std::flush;
  std::string reply;
  std::getline(session.console.in, reply);
  if (reply == "y" || reply == "yes") return true;
  session.Fail(ExitCode::kError, "not-confirmed", "not applied");
  return false;
}

/// Prints what the message of an error leaves out: faults, problems, and the changes made
/// meanwhile.
void ExplainRefusal(Session& session) {
  const Json answer = Json::parse(session.error_body, nullptr, false);
  if (session.json || !answer.is_object()) return;
  for (const Json& fault : Field(answer, "faults")) {
    session.console.err << fmt::format("{}:{}: {}\n", Cell(fault, "line"), Cell(fault, "column"),
                                       Cell(fault, "message"));
  }
  for (const Json& problem : Field(answer, "problems")) {
    session.console.err << fmt::format("{}: {}\n", Cell(problem, "row"), Cell(problem, "message"));
  }
  if (session.code != ExitCode::kConflict) return;
  session.out.Line(fmt::format("changed from version {} to version {} meanwhile:",
                               Cell(answer, "base_version"), Cell(answer, "current_version")));
  session.out.Diff(DiffFromJson(Field(answer, "diff")));
  if (!Flag(answer, "diff_complete")) session.out.Line("(the difference isn't complete)");
}

/// Waits until the version is in force at each reachable entry VM.
void WaitInForce(Session& session, std::uint64_t version) {
  const std::int64_t end = session.console.now_ms() + session.timeout_ms;
  while (true) {
    const auto status = session.Get("/v1/table/status");
    if (!status) return;
    const auto known = static_cast<std::uint64_t>(Number(*status, "version"));
    if (known >= version && Flag(*status, "in_force_everywhere")) return;
    if (session.console.now_ms() >= end) {
      session.Fail(ExitCode::kError, "not-in-force",
                   fmt::format("version {} was accepted, but isn't in force everywhere after {} ms",
                               version, session.timeout_ms));
      return;
    }
    session.Progress(fmt::format("waiting until version {} is in force everywhere ...", version));
    session.console.sleep(kPollInterval);
  }
}

void ApplyTable(Session& session, table::Table made, const TableOptions& options) {
  const auto planned = Plan(session, std::move(made), options);
  if (!planned) return;
  // A change that is sent again must reach the entry VM even when it is in force already.
  if (planned->changes.empty() && session.change_id.empty()) {
    session.Show({{"result", "unchanged"}, {"version", planned->base_version}},
                 [&] { session.out.Line("nothing to apply"); });
    return;
  }
  if (!IsConfirmed(session, options)) return;
  const auto answer = session.PostChange("/v1/table", {{"base_version", planned->base_version},
                                                       {"csv", table::WriteCsv(planned->table)}});
  if (!answer) {
    ExplainRefusal(session);
    return;
  }
  const auto version = static_cast<std::uint64_t>(Number(*answer, "version"));
  if (options.wait) WaitInForce(session, version);
  session.EndProgress();
  session.Show(*answer, [&] {
    session.out.Line(fmt::format("{}: version {}{} (change {})", Cell(*answer, "result"), version,
                                 Flag(*answer, "resent") ? ", as answered before" : "",
                                 Cell(*answer, "change_id")),
                     Colour::kGreen);
  });
}

void ApplyFile(Session& session, const TableOptions& options) {
  auto made = ReadTable(session, options.file, options.domains);
  if (made) ApplyTable(session, std::move(*made), options);
}

void Rollback(Session& session, const TableOptions& options) {
  auto old = Fetch(session, options.version);
  if (!old) return;
  if (session.reason.empty()) session.reason = fmt::format("rollback to version {}", old->first);
  ApplyTable(session, std::move(old->second), options);
}

void ShowTable(Session& session, const TableOptions& options) {
  const auto answer = session.Get(
      options.version ? fmt::format("/v1/table?version={}", *options.version) : "/v1/table");
  if (answer) session.Show(*answer, [&] { session.console.out << Cell(*answer, "csv"); });
}

void History(Session& session, const TableOptions& options) {
  const auto answer = session.Get(fmt::format("/v1/table/history?limit={}", options.limit));
  if (!answer) return;
  session.Show(*answer, [&] {
    session.out.Columns(
        Lines(Field(*answer, "versions"),
              {"version", "time_ms", "author", "rows", "added", "removed", "changed", "reason"}));
  });
}

void Status(Session& session) {
  const auto answer = session.Get("/v1/table/status");
  if (!answer) return;
  session.Show(*answer, [&] {
    const bool everywhere = Flag(*answer, "in_force_everywhere");
    session.out.Line(fmt::format("version {} is {}", Cell(*answer, "version"),
                                 everywhere ? "in force everywhere" : "not in force everywhere"),
                     everywhere ? Colour::kGreen : Colour::kYellow);
    session.out.Columns(Lines(Field(*answer, "entry_vms"),
                              {"name", "failure_domain", "version", "reachable", "heard_ms_ago"}));
  });
}

void AddApplyOptions(CLI::App* command, TableOptions& options) {
  command->add_flag("--yes,-y", options.yes, "don't ask before applying");
  command->add_flag("--wait", options.wait,
                    "wait until the version is in force everywhere, at most for --timeout");
}

}  // namespace

void AddTableCommands(CLI::App& app, Session& session) {
  auto options = std::make_shared<TableOptions>();
  CLI::App* table = app.add_subcommand("table", "the table of the operators");
  table->require_subcommand(1);
  const auto add = [&](const char* name, const char* help, auto run) {
    CLI::App* command = table->add_subcommand(name, help);
    command->callback([&session, options, run] { run(session, *options); });
    return command;
  };
  CLI::App* check = add("check", "check files without an entry VM", Check);
  check->add_option("FILE", options->files, "CSV files, or - for standard input")->required();
  CLI::App* plan = add("plan", "show what a file would change", ShowPlan);
  plan->add_flag("--detailed-exit-code", options->detailed_exit_code,
                 "exit with 2 when there are changes");
  CLI::App* apply = add("apply", "put a file into force", ApplyFile);
  AddApplyOptions(apply, *options);
  for (CLI::App* command : {plan, apply}) {
    command->add_option("FILE", options->file, "CSV file, or - for standard input")->required();
    command->add_option("--base-version", options->base_version,
                        "version that was edited (default: the one in force)");
  }
  for (CLI::App* command : {check, plan, apply}) {
    command
        ->add_option("--domain", options->domains,
                     "known failure domain; repeatable, others are faults when it is given")
        ->allow_extra_args(false);
  }
  add("show", "print the table", ShowTable)
      ->add_option("--version", options->version, "version to print (default: in force)");
  add("history", "list versions, newest first", History)
      ->add_option("--limit", options->limit, "most versions to list")
      ->check(CLI::Range(1, 1000));
  add("status", "show where which version is in force",
      [](Session& run, const TableOptions&) { Status(run); });
  CLI::App* rollback = add("rollback", "put an older version into force as a new one", Rollback);
  rollback->add_option("VERSION", options->version, "version to go back to")->required();
  AddApplyOptions(rollback, *options);
}

}  // namespace mangoroad::mangoctl
