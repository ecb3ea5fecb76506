#include "options.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <charconv>

namespace mangoroad::load {
namespace {

struct Texts {
  std::vector<std::string> entries;
  std::vector<std::string> rows;
  std::int64_t duration_s = 10;
  std::int64_t warmup_s = 0;
  std::int64_t deadline_ms = 2000;
};

constexpr const char* kFooter =
    "Exit codes: 0 success, 1 the check found violations or the run sent nothing, 2 bad arguments "
    "or files.";

// ROW=RATE[,keyed][,once]
std::string ReadRow(const std::string& text, RowLoad& load) {
  const std::size_t equals = text.find('=');
  if (equals == 0 || equals == std::string::npos) return "is not ROW=RATE[,keyed][,once]";
  load.row = text.substr(0, equals);
  const std::size_t comma = text.find(',', equals);
  const std::string rate = text.substr(equals + 1, comma - equals - 1);
  const char* const last = rate.data() + rate.size();
  const auto [end, error] = std::from_chars(rate.data(), last, load.rate);
  if (error != std::errc() || end != last || !(load.rate > 0.0 && load.rate <= 1e6)) {
    return fmt::format("has the rate '{}', which is not a number up to 1e6", rate);
  }
  std::string options = comma == std::string::npos ? "" : text.substr(comma + 1);
  while (!options.empty()) {
    const std::string word = options.substr(0, options.find(','));
    options.erase(0, word.size() + 1);
    if (word == "keyed") {
      load.is_keyed = true;
    } else if (word == "once") {
      load.is_idempotent = false;
    } else {
      return fmt::format("has the unknown word '{}'; keyed and once are known", word);
    }
  }
  return {};
}

void AddRun(CLI::App& app, RunOptions& run, Texts& texts) {
  app.add_option("--entry", texts.entries, "IP:PORT of an entry VM; repeated")->required();
  app.add_option("--row", texts.rows,
                 "ROW=RATE[,keyed][,once]: requests a second; keyed requests carry an idempotency "
                 "key; once marks a row that isn't idempotent; repeated")
      ->required()
      ->delimiter('\0');
  app.add_option("--duration-s", texts.duration_s, "Time in which requests begin")
      ->capture_default_str()
      ->check(CLI::Range(1, 86'400));
  app.add_option("--warmup-s", texts.warmup_s, "First part of it that the report leaves out")
      ->capture_default_str()
      ->check(CLI::Range(0, 86'400));
  app.add_option("--deadline-ms", texts.deadline_ms, "Deadline of each request")
      ->capture_default_str()
      ->check(CLI::Range(1, 600'000));
  app.add_option("--body-bytes", run.body_bytes, "Bytes of each body")
      ->capture_default_str()
      ->check(CLI::Range(0, 1 << 20));
  app.add_option("--resends", run.resends,
                 "How often a keyed request is resent, to another entry VM, when its outcome isn't "
                 "ran")
      ->capture_default_str()
      ->check(CLI::Range(0, 100));
  app.add_option("--max-in-flight", run.max_in_flight,
                 "Requests beyond it are not sent and counted as such")
      ->capture_default_str();
  app.add_option("--seed", run.seed, "Seed of arrivals and choices")->capture_default_str();
  app.add_option("--history", run.history, "File for the history as JSON lines; overwritten");
}

std::string Convert(const Texts& texts, RunOptions& run) {
  std::string faults;
  for (const std::string& text : texts.entries) {
    auto endpoint = settings::ParseEndpoint(text);
    if (base::Ok(endpoint)) {
      run.entries.push_back(base::ValueOf(endpoint));
    } else {
      faults += fmt::format("--entry: {}\n", base::ErrorOf(endpoint));
    }
  }
  for (const std::string& text : texts.rows) {
    const std::string fault = ReadRow(text, run.rows.emplace_back());
    if (!fault.empty()) faults += fmt::format("--row: '{}' {}\n", text, fault);
  }
  run.duration = std::chrono::seconds(texts.duration_s);
  run.warmup = std::chrono::seconds(texts.warmup_s);
  run.deadline = std::chrono::milliseconds(texts.deadline_ms);
  if (run.warmup >= run.duration) faults += "--warmup-s: not shorter than --duration-s\n";
  return faults;
}

}  // namespace

base::Result<Options, OptionsStop> ParseOptions(int argc, const char* const* argv) {
  CLI::App app("Open-loop load generator and history check.", "mangoload");
  app.footer(kFooter);
  app.require_subcommand(1);
  Options options;
  Texts texts;
  CLI::App* run = app.add_subcommand(
      "run", "Sends requests at Poisson arrivals, whatever the answers, and reports latencies");
  AddRun(*run, options.run, texts);
  CLI::App* check =
      app.add_subcommand("check", "Checks a history against the records of the targets");
  check->add_option("history", options.check.history, "History of mangoload run")->required();
  check->add_option("records", options.check.records, "Records of standin_target")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp&) {
    const auto chosen = app.get_subcommands();
    return OptionsStop{0, chosen.empty() ? app.help() : chosen.front()->help()};
  } catch (const CLI::ParseError& error) {
    return OptionsStop{2, std::string(error.what()) + "\n"};
  }
  options.is_check = check->parsed();
  if (options.is_check) return options;
  if (const std::string faults = Convert(texts, options.run); !faults.empty()) {
    return OptionsStop{2, faults};
  }
  return options;
}

}  // namespace mangoroad::load
