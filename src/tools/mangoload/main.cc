#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <string>

#include "history_check.h"
#include "load_run.h"
#include "options.h"

namespace {

namespace load = mangoroad::load;

bool Open(std::ifstream& stream, const std::string& name) {
  stream.open(name);
  if (!stream) fmt::print(stderr, "{}: can't be read\n", name);
  return static_cast<bool>(stream);
}

int RunCheck(const load::CheckOptions& options) {
  load::HistoryCheck check;
  for (const std::string& name : options.records) {
    std::ifstream stream;
    if (!Open(stream, name)) return 2;
    check.ReadRecord(name, stream);
  }
  std::ifstream stream;
  if (!Open(stream, options.history)) return 2;
  check.ReadHistory(options.history, stream);
  const load::CheckReport report = check.Finish();
  for (const std::string& line : report.bad_lines) fmt::print(stderr, "{}\n", line);
  for (const std::string& violation : report.violations) {
    fmt::print("violation: {}\n", violation);
  }
  fmt::print(
      "{} requests, {} executions ({} of no known request), {} task attempts, {} violations\n",
      report.requests, report.executions, report.unknown_executions, report.task_attempts,
      report.violations.size());
  if (!report.bad_lines.empty()) return 2;
  return report.violations.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = load::ParseOptions(argc, argv);
  if (!mangoroad::base::Ok(parsed)) {
    const load::OptionsStop& stop = mangoroad::base::ErrorOf(parsed);
    fmt::print(stop.exit_code == 0 ? stdout : stderr, "{}", stop.text);
    return stop.exit_code;
  }
  (void)std::signal(SIGPIPE, SIG_IGN);
  const load::Options& options = mangoroad::base::ValueOf(parsed);
  return options.is_check ? RunCheck(options.check) : load::RunLoad(options.run);
}
