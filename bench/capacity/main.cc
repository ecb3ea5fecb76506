// Measures the slopes of docs/CAPACITY.md and prints its table.

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "slope.h"

namespace mangoroad::bench {
namespace {

void AddSlopes(std::vector<SlopeSpec>& all, std::vector<SlopeSpec> some) {
  std::ranges::move(some, std::back_inserter(all));
}

int Run(const std::string& json_file) {
  std::vector<SlopeSpec> specs;
  AddSlopes(specs, JobSlopes());
  AddSlopes(specs, LiveSlopes());

  nlohmann::json report = nlohmann::json::array();
  fmt::print(
      "| role | quantity | sizes | measured | slope | error | target size | at target | mechanism "
      "|\n");
  fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const SlopeSpec& spec : specs) {
    const SlopeResult result = Fit(spec);
    fmt::print(
        "| {} | {} | {:.0f} {} | {:.4g} {} | {:.4g} {} each | {:.1f}% | {:.0f} | {:.4g} {} | {} "
        "|\n",
        spec.role, spec.quantity, fmt::join(spec.sizes, ", "), spec.per,
        fmt::join(result.values, ", "), spec.unit, result.slope, spec.unit,
        result.relative_error * 100, spec.target_size, result.at_target, spec.unit, spec.mechanism);
    std::fflush(stdout);
    report.push_back({{"role", spec.role},
                      {"quantity", spec.quantity},
                      {"unit", spec.unit},
                      {"per", spec.per},
                      {"sizes", spec.sizes},
                      {"values", result.values},
                      {"slope", result.slope},
                      {"intercept", result.intercept},
                      {"relative_error", result.relative_error},
                      {"target_size", spec.target_size},
                      {"at_target", result.at_target},
                      {"mechanism", spec.mechanism}});
  }
  if (json_file.empty()) return 0;
  std::ofstream(json_file) << report.dump(2) << '\n';
  return 0;
}

}  // namespace
}  // namespace mangoroad::bench

int main(int argc, char** argv) {
  if (argc == 1) return mangoroad::bench::Run("");
  if (argc == 3 && std::string_view(argv[1]) == "--json") return mangoroad::bench::Run(argv[2]);
  fmt::print(stderr, "usage: {} [--json FILE]\n", argv[0]);
  return 2;
}
