// Measures the leader's processor time per start, poll and report at several sizes of the fleet,
// and the delay of its loop on a share of a core; with syncs beside the loop, and on it.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "leader_load.h"
#include "log/log.h"

namespace mangoroad::bench {
namespace {

struct Options {
  std::vector<std::size_t> sizes{122, 245, 490};
  double core_share = 0.4;
  int exchange_us = 60;
  int sync_ms = 9;
  std::string json_file;
};

void Print(const LeaderLoadSettings& settings, const LeaderLoadReport& report) {
  fmt::print(
      "| {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.1f} / {:.1f} "
      "| {:.0f} / {:.0f} |\n",
      settings.targets, settings.sync_on_loop.count() > 0 ? "on the loop" : "beside it",
      report.starts_per_s, report.polls_per_s, report.plans_per_s, report.us_per_start,
      report.us_per_poll, report.us_per_report, report.occupied, report.loop_delay_p50_ms,
      report.loop_delay_p99_ms, report.first_start_p50_ms, report.first_start_p95_ms);
  std::fflush(stdout);
}

int Run(int argc, char** argv) {
  Options options;
  CLI::App app("load of a leader of runs");
  app.add_option("--targets", options.sizes, "sizes of the fleet")->delimiter(',');
  app.add_option("--core-share", options.core_share, "share of a core that the leader has");
  app.add_option("--exchange-us", options.exchange_us,
                 "processor time of one exchange for sockets, HTTP and JSON, in microseconds");
  app.add_option("--sync-ms", options.sync_ms, "duration of a sync in milliseconds");
  app.add_option("--json", options.json_file, "file for the results");
  CLI11_PARSE(app, argc, argv);
  log::Options log_options;
  log_options.levels = "off";
  if (!base::Ok(log::Configure(log_options))) return EXIT_FAILURE;

  fmt::print(
      "| targets | syncs | starts/s | polls/s | plans/s | us a start | us a poll | us a report | "
      "occupied | loop delay p50 / p99 ms | first start p50 / p95 ms |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  nlohmann::json results = nlohmann::json::array();
  for (const std::size_t size : options.sizes) {
    for (const bool is_sync_on_loop : {true, false}) {
      LeaderLoadSettings settings;
      settings.targets = size;
      settings.core_share = options.core_share;
      settings.exchange_cost = std::chrono::microseconds(options.exchange_us);
      if (is_sync_on_loop) settings.sync_on_loop = std::chrono::milliseconds(options.sync_ms);
      const LeaderLoadReport report = MeasureLeaderLoad(settings);
      Print(settings, report);
      results.push_back({{"targets", size},
                         {"sync_on_loop", is_sync_on_loop},
                         {"us_per_start", report.us_per_start},
                         {"us_per_poll", report.us_per_poll},
                         {"us_per_report", report.us_per_report},
                         {"occupied", report.occupied},
                         {"loop_delay_p99_ms", report.loop_delay_p99_ms},
                         {"first_start_p50_ms", report.first_start_p50_ms}});
    }
  }
  if (!options.json_file.empty()) std::ofstream(options.json_file) << results.dump(2) << '\n';
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace mangoroad::bench

int main(int argc, char** argv) { return mangoroad::bench::Run(argc, argv); }
