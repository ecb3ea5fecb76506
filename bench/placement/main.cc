// Speed and quality of placement against baselines in the same run.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "report.h"

namespace {

using mangoroad::bench::Figure;
using mangoroad::bench::Figures;

// One line for each subject, with its figures by name.
void PrintTable(const Figures& figures) {
  std::string section;
  std::string subject;
  for (const Figure& figure : figures) {
    if (figure.section != section) fmt::print("\n\n{}", figure.section);
    if (figure.section != section || figure.subject != subject) {
      fmt::print("\n  {:<44}", figure.subject);
    }
    section = figure.section;
    subject = figure.subject;
    fmt::print("  {} {:.4g}", figure.name, figure.value);
  }
  fmt::print("\n");
}

bool WriteJson(const Figures& figures, const std::string& path) {
  nlohmann::json document = nlohmann::json::array();
  for (const Figure& figure : figures) {
    document.push_back({{"section", figure.section},
                        {"subject", figure.subject},
                        {"name", figure.name},
                        {"value", figure.value}});
  }
  std::ofstream file(path);
  file << document.dump(2) << '\n';
  return static_cast<bool>(file.flush());
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures placement against baselines.");
  std::string json_path;
  std::string part = "all";
  std::uint64_t seed = 1;
  app.add_option("--json", json_path, "File for the figures as JSON");
  app.add_option("--part", part, "speed, sharing or all")
      ->check(CLI::IsMember({"speed", "sharing", "all"}));
  app.add_option("--seed", seed, "Seed of all random numbers");
  CLI11_PARSE(app, argc, argv);
  Figures figures;
  if (part != "sharing") figures = mangoroad::bench::MeasureSpeed(seed);
  if (part != "speed") {
    const Figures sharing = mangoroad::bench::MeasureSharing(seed);
    figures.insert(figures.end(), sharing.begin(), sharing.end());
  }
  PrintTable(figures);
  if (!json_path.empty() && !WriteJson(figures, json_path)) {
    fmt::print(stderr, "can't write {}\n", json_path);
    return 1;
  }
  return 0;
}
