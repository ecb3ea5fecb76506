#include "history_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangoroad::load {
namespace {

using nlohmann::json;

// Calls `use` for each line; it throws json::exception for a line without the members it needs.
void ForEachLine(const std::string& name, std::istream& lines, std::vector<std::string>& bad_lines,
                 const std::function<void(const json&)>& use) {
  std::string line;
  for (std::size_t number = 1; std::getline(lines, line); ++number) {
    // Without its line end, the last line was cut when its writer was killed.
    const bool is_cut = lines.eof();
    try {
      use(json::parse(line));
    } catch (const json::exception& error) {
      if (!is_cut) bad_lines.push_back(fmt::format("{}:{}: {}", name, number, error.what()));
    }
  }
}

}  // namespace

void HistoryCheck::ReadRecord(const std::string& name, std::istream& lines) {
  ForEachLine(name, lines, this->report.bad_lines, [this](const json& line) {
    const auto event = line.at("event").get<std::string>();
    if (event == "request-start") {
      this->executions[line.at("path").get<std::string>()].count += 1;
      this->report.executions += 1;
    } else if (event == "task-start") {
      const auto time = line.at("time_us").get<std::int64_t>();
      this->tasks[line.at("job").dump()].push_back({line.at("target").get<std::string>(),
                                                    line.at("token").get<std::uint64_t>(), time,
                                                    time});
      this->report.task_attempts += 1;
    } else if (event == "task-end") {
      auto& attempts = this->tasks[line.at("job").dump()];
      const auto token = line.at("token").get<std::uint64_t>();
      const auto target = line.at("target").get<std::string>();
      const auto found = std::ranges::find_if(attempts, [&](const TaskInterval& attempt) {
        return attempt.token == token && attempt.target == target;
      });
      if (found != attempts.end()) found->end_us = line.at("time_us").get<std::int64_t>();
    }
  });
}

void HistoryCheck::ReadHistory(const std::string& name, std::istream& lines) {
  ForEachLine(name, lines, this->report.bad_lines, [this](const json& line) {
    this->report.requests += 1;
    const auto path = line.at("path").get<std::string>();
    const bool is_once = !line.at("idempotent").get<bool>();
    Execution& execution = this->executions[path];
    execution.is_in_history = true;
    const std::size_t count = execution.count;
    bool is_all_not_run = true;
    for (const json& attempt : line.at("attempts")) {
      const auto outcome = attempt.at("outcome").get<std::string>();
      is_all_not_run = is_all_not_run && outcome == "not-run";
      if (outcome == "ran" && count == 0) {
        this->report.violations.push_back(fmt::format("{}: reported ran, but not run", path));
      }
      if (outcome == "ran" && attempt.at("status") == 200 && !attempt.at("whole").get<bool>()) {
        this->report.violations.push_back(
            fmt::format("{}: the answer isn't whole or belongs to another request", path));
      }
    }
    if (is_all_not_run && count > 0) {
      this->report.violations.push_back(
          fmt::format("{}: reported not-run, but run {} times", path, count));
    }
    if (is_once && count > 1) {
      this->report.violations.push_back(
          fmt::format("{}: not idempotent, but run {} times", path, count));
    }
  });
}

CheckReport HistoryCheck::Finish() {
  for (const auto& [path, execution] : this->executions) {
    if (!execution.is_in_history) this->report.unknown_executions += execution.count;
  }
  for (auto& [job, attempts] : this->tasks) {
    std::ranges::sort(attempts, {}, &TaskInterval::start_us);
    // The attempt among the earlier ones that ends last.
    const TaskInterval* last = nullptr;
    for (const TaskInterval& attempt : attempts) {
      if (last != nullptr && attempt.start_us < last->end_us) {
        this->report.violations.push_back(
            fmt::format("job {}: token {} on {} started while token {} ran on {}", job,
                        attempt.token, attempt.target, last->token, last->target));
      }
      if (last == nullptr || attempt.end_us > last->end_us) last = &attempt;
    }
  }
  return std::move(this->report);
}

}  // namespace mangoroad::load
