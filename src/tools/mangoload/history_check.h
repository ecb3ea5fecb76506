// Check of a history of requests against the records of the targets that ran them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace mangoroad::load {

/// Names a violation or a line that can't be read.
struct CheckReport {
  std::vector<std::string> violations;
  /// Lines that aren't valid; a cut last line of a killed target's record isn't one of them.
  std::vector<std::string> bad_lines;
  std::size_t requests = 0;
  std::size_t executions = 0;
  std::size_t task_attempts = 0;
  /// Requests that some target ran without a line in the history, e.g. of another run.
  std::size_t unknown_executions = 0;

  [[nodiscard]] bool IsClean() const { return this->violations.empty() && this->bad_lines.empty(); }
};

/// Verifies that nothing whose every attempt was reported `not-run` was run, that no non-idempotent
/// request ran twice, that each answer with the outcome `ran` belongs to its request, is whole and
/// was run, and that no two attempts of a task ran at the same time.
class HistoryCheck {
 public:
  /// Reads a target's record; `name` is for messages. All records come before the history.
  void ReadRecord(const std::string& name, std::istream& lines);
  /// Reads the history of a run of mangoload.
  void ReadHistory(const std::string& name, std::istream& lines);
  /// Checks what spans several lines and returns all findings.
  CheckReport Finish();

 private:
  struct TaskInterval {
    std::string target;
    std::uint64_t token = 0;
    std::int64_t start_us = 0;
    /// Start when the end isn't recorded, since the target was killed.
    std::int64_t end_us = 0;
  };
  struct Execution {
    std::size_t count = 0;
    bool is_in_history = false;
  };

  CheckReport report;
  std::map<std::string, Execution> executions;
  std::map<std::string, std::vector<TaskInterval>> tasks;
};

}  // namespace mangoroad::load
