#include "options.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>

#include "log/log.h"

namespace mangoroad::standin {
namespace {

struct Texts {
  std::string listen;
  std::vector<std::string> entries;
  std::string service_time = "exponential:5";
  std::string task_time = "constant:3000";
  std::string failure = "none";
  std::int64_t report_every_ms = 500;
  std::int64_t usage_lag_ms = 0;
  std::int64_t leave_time_s = 30;
};

void AddIdentity(CLI::App& app, Options& options, Texts& texts) {
  Identity& identity = options.identity;
  app.add_option("--id", identity.id, "Id of the target")->required();
  app.add_option("--listen", texts.listen, "IP:PORT to listen on and to announce")->required();
  app.add_option("--entry", texts.entries, "IP:PORT of an entry VM; repeated")->required();
  app.add_option("--failure-domain", identity.failure_domain, "Failure domain")->required();
  app.add_option("--rack", identity.rack, "Rack")->capture_default_str();
  app.add_option("--incarnation", identity.incarnation,
                 "Number of this start; default: milliseconds since 1970");
  app.add_option("--processors", identity.processors, "Cores")->capture_default_str();
  app.add_option("--memory-mib", identity.memory_mib, "Memory in MiB")->capture_default_str();
  app.add_option("--accelerators", identity.accelerators, "Accelerators")->capture_default_str();
  app.add_option("--slots", identity.slots, "Requests in progress at most")->capture_default_str();
  app.add_option("--connections", identity.connections, "Open connections at most")
      ->capture_default_str();
  app.add_option("--kind", identity.kinds, "Row that runs here; repeated; default: all");
}

void AddBehaviour(CLI::App& app, Options& options, Texts& texts) {
  app.add_option("--service-time", texts.service_time,
                 "constant:MS, uniform:LOW:HIGH, exponential:MEAN or lognormal:MEDIAN:SIGMA")
      ->capture_default_str();
  app.add_option("--task-time", texts.task_time,
                 "Run time of tasks whose command has no run_ms=N, in the same form")
      ->capture_default_str();
  app.add_option("--failure", texts.failure,
                 "none, slow, fail-all, truncate, hang or refuse; also set at run time by "
                 "POST /standin/failure with the mode as body")
      ->capture_default_str();
  app.add_option("--slow-factor", options.slow_factor, "Factor of the mode slow")
      ->capture_default_str();
  app.add_option("--interference", options.interference,
                 "Share by which tasks slow requests, and requests slow tasks, at full use")
      ->capture_default_str();
  app.add_option("--record", options.record, "File to append what ran to, as JSON lines");
  app.add_option("--seed", options.seed, "Seed of service times")->capture_default_str();
  app.add_option("--report-every-ms", texts.report_every_ms, "Interval of reports")
      ->capture_default_str()
      ->check(CLI::Range(20, 10'000));
  app.add_option("--usage-lag-ms", texts.usage_lag_ms, "Age of the usage in reports")
      ->capture_default_str()
      ->check(CLI::Range(0, 600'000));
  app.add_option("--leave-time-s", texts.leave_time_s, "Time to leave in on SIGTERM")
      ->capture_default_str()
      ->check(CLI::Range(0, 3600));
  app.add_option("--log-level", options.log_levels, "Log levels as of mangoroadd");
}

template <typename Value>
void Take(base::Result<Value, std::string> parsed, std::string_view flag, Value& target,
          std::string& faults) {
  if (base::Ok(parsed)) {
    target = std::move(base::ValueOf(parsed));
  } else {
    faults += fmt::format("{}: {}\n", flag, base::ErrorOf(parsed));
  }
}

std::string Convert(const Texts& texts, Options& options) {
  std::string faults;
  Take(settings::ParseEndpoint(texts.listen), "--listen", options.listen, faults);
  for (const std::string& entry : texts.entries) {
    Take(settings::ParseEndpoint(entry), "--entry", options.entries.emplace_back(), faults);
  }
  Take(ServiceTime::Parse(texts.service_time), "--service-time", options.service_time, faults);
  Take(ServiceTime::Parse(texts.task_time), "--task-time", options.task_time, faults);
  const auto failure = base::ValueOfName(kFailureModeNames, texts.failure);
  if (!failure) faults += fmt::format("--failure: '{}' is not a failure mode\n", texts.failure);
  const auto levels = log::CheckLevels(options.log_levels);
  if (!base::Ok(levels)) {
    faults += fmt::format("--log-level: {}\n", base::ErrorOf(levels).message);
  }
  options.failure = failure.value_or(FailureMode::kNone);
  options.report_every = std::chrono::milliseconds(texts.report_every_ms);
  options.usage_lag = std::chrono::milliseconds(texts.usage_lag_ms);
  options.leave_time = std::chrono::seconds(texts.leave_time_s);
  options.identity.address = options.listen.Text();
  return faults;
}

}  // namespace

base::Result<Options, OptionsStop> ParseOptions(int argc, const char* const* argv) {
  CLI::App app("Stands in for a target VM: announces itself, runs requests and tasks as timers.",
               "standin_target");
  Options options;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  options.identity.incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
  Texts texts;
  AddIdentity(app, options, texts);
  AddBehaviour(app, options, texts);
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp&) {
    return OptionsStop{0, app.help()};
  } catch (const CLI::ParseError& error) {
    return OptionsStop{2, std::string(error.what()) + "\n"};
  }
  if (const std::string faults = Convert(texts, options); !faults.empty()) {
    return OptionsStop{2, faults};
  }
  return options;
}

}  // namespace mangoroad::standin
