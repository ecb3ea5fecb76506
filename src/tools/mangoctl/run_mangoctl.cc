#include "mangoctl/run_mangoctl.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <sstream>

namespace mangoroad::mangoctl {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;

void AddGlobalOptions(CLI::App& app, Session& session) {
  app.add_option("--entry", session.entries,
                 "address IP:PORT of an entry VM; repeatable, the next one is tried when one can't "
                 "be reached (MANGOROAD_ENTRY, separated by commas)")
      ->allow_extra_args(false);
  app.add_flag("--json", session.json, "print JSON");
  app.add_option("--timeout", session.timeout_ms, "longest wait for one entry VM in milliseconds")
      ->check(CLI::Range(std::int64_t{1}, kMaxTimeoutMs));
  app.add_option("--key-file", session.key_file,
                 "file whose first line is the operator token (MANGOROAD_KEY_FILE)");
  app.add_option("--author", session.author, "who makes the change (MANGOROAD_AUTHOR, USER)");
  app.add_option("--reason", session.reason, "why the change is made");
  app.add_option("--change-id", session.change_id,
                 "id of a change to send again after a lost answer");
}

/// Takes what the command line leaves open from the environment.
void ApplyEnvironment(Session& session) {
  const auto& environment = session.console.environment;
  if (session.entries.empty()) {
    std::istringstream list(environment("MANGOROAD_ENTRY").value_or(""));
    for (std::string entry; std::getline(list, entry, ',');) {
      if (!entry.empty()) session.entries.push_back(entry);
    }
  }
  if (session.key_file.empty()) session.key_file = environment("MANGOROAD_KEY_FILE").value_or("");
  for (const char* name : {"MANGOROAD_AUTHOR", "USER"}) {
    if (session.author.empty()) session.author = environment(name).value_or("");
  }
  if (session.author.empty()) session.author = "unknown";
}

}  // namespace

int RunMangoctl(const std::vector<std::string>& arguments, Console& console) {
  Session session(console);
  CLI::App app("Controls mangoroad: the table, targets, jobs and the state of the entry VMs.",
               "mangoctl");
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", "mangoctl 0.1.0");
  AddGlobalOptions(app, session);
  AddTableCommands(app, session);
  AddAuditCommands(app, session);
  AddStatusCommands(app, session);
  AddOperatorCommands(app, session);
  AddJobCommands(app, session);
  // The environment is read before a command runs, which CLI11 starts at the end of parsing.
  app.parse_complete_callback([&session] { ApplyEnvironment(session); });
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  // CLI11 reports wrong arguments, and requests for help, by exceptions; they end here.
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error, console.out, console.err);
    return status == 0 ? 0 : static_cast<int>(ExitCode::kError);
  }
  session.EndProgress();
  return static_cast<int>(session.code);
}

}  // namespace mangoroad::mangoctl
