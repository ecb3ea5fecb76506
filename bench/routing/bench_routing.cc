// Measures decision cost, goodput under overload and tail latency of the router.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "decision_cost.h"
#include "simulation.h"

namespace mangoroad::bench {
namespace {

using nlohmann::json;
using routing::kStrategyNames;

json ReportDecisions() {
  json rows = json::array();
  fmt::print("decision cost, 0.9 of the slots taken; ratio to random in the same run\n");
  fmt::print("{:<18} {:>8} {:>10} {:>8}\n", "strategy", "targets", "ns", "ratio");
  const std::vector<DecisionCost> costs = MeasureDecisions();
  for (std::size_t i = 0; i < costs.size(); ++i) {
    const DecisionCost& cost = costs[i];
    // The first four rows are those of the random strategy, in the same order of targets.
    const double ratio = cost.nanoseconds / costs[i % 4].nanoseconds;
    const std::string name(base::NameOf(kStrategyNames, cost.strategy));
    fmt::print("{:<18} {:>8} {:>10.1f} {:>8.2f}\n", name, cost.targets, cost.nanoseconds, ratio);
    rows.push_back({{"strategy", name},
                    {"targets", cost.targets},
                    {"ns", cost.nanoseconds},
                    {"ratio", ratio}});
  }
  return rows;
}

json ReportGoodput() {
  json rows = json::array();
  fmt::print("\ngoodput as a part of the best (the smaller of load and capacity); 48 targets\n");
  fmt::print("{:>6} {:>10} {:>12} {:>12} {:>10}\n", "load", "router", "no control", "refused",
             "p99 ms");
  for (const double load : {0.5, 0.9, 1.0, 2.0, 10.0}) {
    Scenario scenario;
    scenario.load = load;
    const double best = std::min(load, 1.0);
    const Measurement router = SimulateRouters(scenario);
    const Measurement baseline = SimulateSharedQueue(scenario);
    fmt::print("{:>6.1f} {:>10.3f} {:>12.3f} {:>12.3f} {:>10.1f}\n", load, router.goodput / best,
               baseline.goodput / best, router.refused, router.PercentileMs(0.99));
    rows.push_back({{"load", load},
                    {"router", router.goodput / best},
                    {"no_control", baseline.goodput / best},
                    {"refused", router.refused},
                    {"p99_ms", router.PercentileMs(0.99)}});
  }
  return rows;
}

json ReportTail(const std::string& title, const Scenario& base_scenario) {
  json rows = json::array();
  fmt::print("\nlatency at {:.2f} load, {}\n", base_scenario.load, title);
  fmt::print("{:<18} {:>8} {:>8} {:>8} {:>10} {:>9}\n", "strategy", "p50 ms", "p99 ms", "p99.9 ms",
             "p99 ratio", "refused");
  const Measurement ideal = SimulateSharedQueue(base_scenario);
  const auto report = [&](const std::string& name, const Measurement& measured) {
    const double ratio = measured.PercentileMs(0.99) / ideal.PercentileMs(0.99);
    fmt::print("{:<18} {:>8.2f} {:>8.2f} {:>8.2f} {:>10.3f} {:>9.4f}\n", name,
               measured.PercentileMs(0.5), measured.PercentileMs(0.99),
               measured.PercentileMs(0.999), ratio, measured.refused);
    rows.push_back({{"strategy", name},
                    {"p50_ms", measured.PercentileMs(0.5)},
                    {"p99_ms", measured.PercentileMs(0.99)},
                    {"p999_ms", measured.PercentileMs(0.999)},
                    {"p99_ratio", ratio},
                    {"refused", measured.refused}});
  };
  report("ideal", ideal);
  for (const auto& [kind, name] : kStrategyNames) {
    Scenario scenario = base_scenario;
    scenario.strategy = kind;
    report(std::string(name), SimulateRouters(scenario));
  }
  return rows;
}

int Run(int argc, char** argv) {
  CLI::App app("Measures decision cost, goodput and tail latency of the router");
  std::string json_file;
  app.add_option("--json", json_file, "Write the figures to this file");
  CLI11_PARSE(app, argc, argv);

  json figures;
  figures["decisions"] = ReportDecisions();
  figures["goodput"] = ReportGoodput();
  figures["tail"] = ReportTail("all slots at one entry VM", {});
  Scenario slow;
  slow.slow_part = 0.1;
  // Slow targets take a part of the capacity; 0.75 of the full speed is 0.8 of what is left.
  slow.load = 0.75;
  figures["tail_slow"] = ReportTail("a tenth of the targets 3 times slower", slow);
  Scenario lent;
  lent.entries = 3;
  figures["tail_lent"] = ReportTail("slots lent among 3 entry VMs", lent);
  if (json_file.empty()) return 0;
  std::ofstream file(json_file);
  file << figures.dump(2) << '\n';
  if (file.good()) return 0;
  fmt::print(stderr, "can't write {}\n", json_file);
  return 1;
}

}  // namespace
}  // namespace mangoroad::bench

int main(int argc, char** argv) { return mangoroad::bench::Run(argc, argv); }
